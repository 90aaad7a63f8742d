//! A control VM: keeps the declared state in a log that a majority of control VMs has synced,
//! grants leases to daemons, and serves operators.
//!
//! Only the leader serves daemons and operators; the others refuse and name it. A control VM
//! whose data folder is new gets a new identity and has no vote until the leader has caught it up
//! and admitted it.

mod api;
mod consensus;
mod handle;
mod identity;
mod leases;
mod problem;
mod replica;
mod sessions;
mod validate;

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr};
use hyssopdyke::process::{Folder, Journal};
use hyssopdyke_wire::ledger::{Configuration, Snapshot, Voter};
use hyssopdyke_wire::{Key, Purpose};
use slog::{info, warn};
use tokio::net::TcpListener;

use crate::log::Events;
use crate::metrics::Metrics;
use crate::settings::{Control, Settings};
use crate::stop::Stop;
use consensus::Consensus;
use identity::Identity;
use leases::Leases;

/// Runs a control VM until it is asked to stop.
pub(crate) async fn run(settings: Settings<Control>, events: Events, mut stop: Stop) -> Result<()> {
    let Settings { common, role } = settings;
    let key = Key::derive(&common.cluster.passphrase, Purpose::Session);
    let folder = Folder::open(&role.data)
        .wrap_err_with(|| format!("[control] data: {}", role.data.display()))?;
    let bind = async |name: &str, port: u16| {
        let address = SocketAddr::new(common.vm.address, port);
        TcpListener::bind(address).await.wrap_err_with(|| format!("[control] {name}: {address}"))
    };
    let sessions = bind("session_port", role.session_port).await?;
    let api = bind("api_port", role.api_port).await?;
    let replicas = bind("replica_port", role.replica_port).await?;

    let (journal, identity) = open(folder, &role, &common.vm.name, replicas.local_addr()?)?;
    if journal.cut_bytes() > 0 {
        warn!(events.logger(), "unsynced end of the log cut off"; "bytes" => journal.cut_bytes());
    }
    info!(events.logger(), "control started"; "identity" => identity,
        "sessions" => %sessions.local_addr()?, "api" => %api.local_addr()?,
        "entries" => journal.last_index());

    let metrics = Metrics::open("control", &common)?;
    let (name, address) = (common.vm.name.clone(), replicas.local_addr()?);
    let outgoing = replica::Outgoing::new(key.clone());
    let (handle, consensus) =
        Consensus::open(name, identity, address, journal, outgoing, metrics, events.clone());
    let leases = Arc::new(Leases::new(role.lease));
    tokio::select! {
        result = consensus.run() => result.wrap_err("the log failed")?,
        result = replica::serve(replicas, key.clone(), handle.clone()) => result?,
        result = sessions::serve(sessions, key, handle.clone(), Arc::clone(&leases), events.clone())
            => result?,
        result = api::serve(api, handle.clone(), Arc::clone(&leases)) => result?,
        () = leases::expire(handle, leases, events.clone()) => {}
        () = stop.asked() => {}
    }
    info!(events.logger(), "control stopped");
    Ok(())
}

/// Opens the journal, which is formed anew in an empty folder.
///
/// A VM that has no other voters in its settings forms a system of its own; the others do so only
/// where the folder was prepared with `--form`, which stores the first voters.
fn open(
    mut folder: Folder,
    settings: &Control,
    name: &str,
    address: SocketAddr,
) -> Result<(Journal<Folder>, u64)> {
    let identity = Identity::open(&mut folder, settings.form, name)?;
    let mut journal = Journal::open(folder)?;
    let is_new = journal.last_index() == 0 && journal.snapshot().configuration.is_none();
    if settings.form && is_new {
        let configuration = first_configuration(settings, name, address);
        let snapshot = Snapshot { configuration: Some(configuration), ..Snapshot::default() };
        journal.store_snapshot(snapshot)?;
    }
    Ok((journal, identity))
}

fn first_configuration(settings: &Control, name: &str, address: SocketAddr) -> Configuration {
    let own =
        Voter { name: name.into(), identity: identity::first(name), address: address.to_string() };
    let others = settings.voters.iter().filter(|voter| *voter.name != *name);
    let mut voters: Vec<Voter> = others
        .map(|voter| Voter {
            name: voter.name.to_string(),
            identity: identity::first(&voter.name),
            address: voter.address.to_string(),
        })
        .chain([own])
        .collect();
    voters.sort_by(|a, b| a.name.cmp(&b.name));
    Configuration { voters }
}
