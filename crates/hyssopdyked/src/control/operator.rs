//! Orders of the platform's operators.

use bytes::Bytes;
use hyssopdyke::version::Outcome;
use hyssopdyke_platform::admin::{self, Handler};
use hyssopdyke_platform::manifest;
use hyssopdyke_wire::ledger::{Declare, Write, command};
use hyssopdyke_wire::resource::{Domain, Kind, Resource, resource::Body};
use slog::info;
use std::net::SocketAddr;
use std::time::Instant;

use super::handle::{Error, Handle};
use super::validate;
use crate::clock;
use crate::log::Events;

/// Carries out orders by the log, where this VM leads.
#[derive(Clone)]
pub(super) struct Orders {
    handle: Handle,
    /// Port at which every control VM takes orders.
    port: u16,
    events: Events,
}

impl Orders {
    pub(super) const fn new(handle: Handle, port: u16, events: Events) -> Self {
        Self { handle, port, events }
    }

    /// Writes what became of an order.
    fn note(&self, order: &str, subject: &str, since: Instant, result: &Result<(), admin::Error>) {
        let took_us = clock::now().duration_since(since).as_micros() as u64;
        match result {
            Ok(()) => info!(self.events.logger(), "order carried out"; "order" => order,
                "subject" => subject, "took_us" => took_us),
            Err(refusal) => info!(self.events.logger(), "order not carried out"; "order" => order,
                "subject" => subject, "took_us" => took_us, "reason" => %refusal),
        }
    }

    async fn propose(&self, body: command::Body) -> Result<Outcome, admin::Error> {
        match self.handle.propose(body).await {
            Ok(outcome) => Ok(outcome),
            Err(error) => Err(self.refusal(&error).await),
        }
    }

    /// Names the leader, where one is known.
    async fn refusal(&self, error: &Error) -> admin::Error {
        if let Error::NotLeader(Some(leader)) = error {
            let registry = self.handle.registry().await;
            let voters = &registry.configuration().voters;
            let voter = voters.iter().find(|voter| voter.name == **leader);
            let address = voter.and_then(|voter| voter.address.parse::<SocketAddr>().ok());
            if let Some(address) = address {
                return admin::Error::NotLeader(SocketAddr::new(address.ip(), self.port));
            }
        }
        admin::Error::Unavailable(error.to_string().into())
    }
}

impl Handler for Orders {
    async fn declare(&self, declare: Declare) -> Result<(), admin::Error> {
        let (since, version) = (clock::now(), declare.version.to_string());
        let result = self.propose(command::Body::Declare(declare)).await.map(|_| ());
        self.note("declare", &version, since, &result);
        result
    }

    fn record_invalid_manifest(&self, reason: &manifest::Error) {
        info!(self.events.logger(), "order refused"; "reason" => %reason);
    }

    async fn declaration(&self) -> Result<Option<Bytes>, admin::Error> {
        if let Err(error) = self.handle.confirm().await {
            return Err(self.refusal(&error).await);
        }
        let registry = self.handle.registry().await;
        Ok(registry.declaration().map(|(_, document)| document.clone()))
    }

    async fn set_domain_out(&self, domain: &str, out: bool) -> Result<(), admin::Error> {
        let since = clock::now();
        let result = self.write_out(domain, out).await;
        let order = if out { "take out" } else { "take in" };
        self.note(order, domain, since, &result);
        result
    }
}

impl Orders {
    async fn write_out(&self, domain: &str, out: bool) -> Result<(), admin::Error> {
        validate::name(domain).map_err(|fault| admin::Error::Invalid(fault.to_string().into()))?;
        if self.handle.confirm().await.is_ok() && self.is_out(domain).await == out {
            return Ok(());
        }
        let body = Some(Body::Domain(Domain { out }));
        let resource = Resource { name: domain.to_owned(), body, ..Resource::default() };
        let write = Write { resource: Some(resource), ..Write::default() };
        self.propose(command::Body::Write(write)).await.map(|_| ())
    }

    async fn is_out(&self, domain: &str) -> bool {
        let registry = self.handle.registry().await;
        let held = registry.store().get(Kind::Domain, domain);
        matches!(held.and_then(|held| held.body.as_ref()), Some(Body::Domain(held)) if held.out)
    }
}
