//! Admin requests of the platform's operators.

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

/// Handler that executes admin requests through the log, if this VM leads.
#[derive(Clone)]
pub(super) struct Admin {
    handle: Handle,
    /// Port at which every control VM serves admin requests.
    port: u16,
    events: Events,
}

impl Admin {
    pub(super) const fn new(handle: Handle, port: u16, events: Events) -> Self {
        Self { handle, port, events }
    }

    /// Logs the outcome of a request.
    fn log_outcome(
        &self,
        order: &str,
        subject: &str,
        since: Instant,
        result: &Result<(), admin::Error>,
    ) {
        let took_us = clock::now().duration_since(since).as_micros() as u64;
        match result {
            Ok(()) => info!(self.events.logger(), "order carried out"; "order" => order,
                "subject" => subject, "took_us" => took_us),
            Err(error) => info!(self.events.logger(), "order not carried out"; "order" => order,
                "subject" => subject, "took_us" => took_us, "reason" => %error),
        }
    }

    async fn propose(&self, body: command::Body) -> Result<Outcome, admin::Error> {
        match self.handle.propose(body).await {
            Ok(outcome) => Ok(outcome),
            Err(error) => Err(self.to_admin_error(&error).await),
        }
    }

    /// Converts an error of the log, and names the leader if one is known.
    async fn to_admin_error(&self, error: &Error) -> admin::Error {
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

impl Handler for Admin {
    async fn declare(&self, declare: Declare) -> Result<(), admin::Error> {
        let (since, version) = (clock::now(), declare.version.to_string());
        let result = self.propose(command::Body::Declare(declare)).await.map(|_| ());
        self.log_outcome("declare", &version, since, &result);
        result
    }

    fn record_invalid_manifest(&self, reason: &manifest::Error) {
        info!(self.events.logger(), "order refused"; "reason" => %reason);
    }

    async fn declaration(&self) -> Result<Option<Bytes>, admin::Error> {
        if let Err(error) = self.handle.confirm_leadership().await {
            return Err(self.to_admin_error(&error).await);
        }
        let registry = self.handle.registry().await;
        Ok(registry.declaration().map(|(_, document)| document.clone()))
    }

    async fn set_domain_out(&self, domain: &str, out: bool) -> Result<(), admin::Error> {
        let since = clock::now();
        let result = self.write_out(domain, out).await;
        let order = if out { "take out" } else { "take in" };
        self.log_outcome(order, domain, since, &result);
        result
    }
}

impl Admin {
    async fn write_out(&self, domain: &str, out: bool) -> Result<(), admin::Error> {
        validate::check_name(domain)
            .map_err(|error| admin::Error::Invalid(error.to_string().into()))?;
        if self.handle.confirm_leadership().await.is_ok() && self.is_out(domain).await == out {
            return Ok(());
        }
        let body = Some(Body::Domain(Domain { out }));
        let resource = Resource { name: domain.to_owned(), body, ..Resource::default() };
        let write = Write { resource: Some(resource), ..Write::default() };
        self.propose(command::Body::Write(write)).await.map(|_| ())
    }

    async fn is_out(&self, domain: &str) -> bool {
        let registry = self.handle.registry().await;
        let domain = registry.store().get(Kind::Domain, domain);
        matches!(domain.and_then(|domain| domain.body.as_ref()), Some(Body::Domain(domain)) if domain.out)
    }
}
