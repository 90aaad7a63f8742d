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
mod operator;
mod problem;
mod replica;
mod sessions;
mod validate;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyssopdyke::process::{DataDir, Journal};
use hyssopdyke_platform::admin;
use hyssopdyke_wire::ledger::{Configuration, Snapshot, Voter};
use hyssopdyke_wire::{Key, Purpose};
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::log::Events;
use crate::metrics::Metrics;
use crate::reload;
use crate::settings::{self, Control, Settings, Vm};
use crate::stop::Stop;
use consensus::{Consensus, Local, Members};
use handle::{Handle, Leadership};
use identity::Identity;
use leases::Leases;
use operator::Orders;

/// Time in which another VM must have taken over before this one stops.
const HANDOVER: Duration = Duration::from_secs(1);

/// Time between two looks for a VM that can take over.
const HANDOVER_RETRY: Duration = Duration::from_millis(50);

/// Runs a control VM until it is asked to stop.
pub(crate) async fn run(
    settings: Settings<Control>,
    events: Events,
    seeds: reload::ControlAddresses,
    mut stop: Stop,
) -> Result<()> {
    let Settings { common, role } = settings;
    let key = Key::derive(&common.cluster.passphrase, Purpose::Session);
    let folder = DataDir::open(&role.data)
        .wrap_err_with(|| format!("[control] data: {}", role.data.display()))?;
    let bind = async |name: &str, port: u16| {
        let address = SocketAddr::new(common.vm.address, port);
        TcpListener::bind(address).await.wrap_err_with(|| format!("[control] {name}: {address}"))
    };
    let sessions = bind("session_port", role.session_port).await?;
    let api = TcpListener::bind(role.api)
        .await
        .wrap_err_with(|| format!("[control] api: {}", role.api))?;
    let replicas = bind("replica_port", role.replica_port).await?;

    let (journal, identity) =
        open(folder, &role, &voter_name(&role, &common.vm), replicas.local_addr()?)?;
    if journal.truncated_bytes() > 0 {
        warn!(events.logger(), "unsynced end of the log cut off"; "bytes" => journal.truncated_bytes());
    }
    info!(events.logger(), "control started"; "identity" => identity,
        "sessions" => %sessions.local_addr()?, "api" => %api.local_addr()?,
        "entries" => journal.last_index());

    let metrics = Metrics::open("control", &common, &events).await?;
    let address = replicas.local_addr()?;
    let local = Local { name: voter_name(&role, &common.vm), identity, address };
    let members = Members {
        seeds,
        port: address.port(),
        votes: (!role.seeds.is_empty()).then_some(2 * role.tolerance + 1),
    };
    let outgoing = replica::Outgoing::new(key.clone());
    let (handle, consensus) =
        Consensus::open(local, journal, members, outgoing, metrics, events.clone());
    let leases = Arc::new(Leases::new(role.lease));
    let mut router = api::router(handle.clone(), Arc::clone(&leases));
    if role.platform {
        let operator = Orders::new(handle.clone(), api.local_addr()?.port(), events.clone());
        router = router.merge(admin::router(operator));
    }
    let stopped = {
        let handle = handle.clone();
        async move {
            stop.requested().await;
            hand_over(&handle).await;
        }
    };
    tokio::select! {
        result = consensus.run() => result.wrap_err("the log failed")?,
        result = replica::serve(replicas, key.clone(), handle.clone()) => result?,
        result = sessions::serve(sessions, key, handle.clone(), Arc::clone(&leases), events.clone())
            => result?,
        result = axum::serve(api, router) => result?,
        () = leases::expire(handle, leases, events.clone()) => {}
        () = stopped => {}
    }
    info!(events.logger(), "control stopped");
    Ok(())
}

/// Lets another VM lead before this one stops, so that orders need not wait for an election.
async fn hand_over(handle: &Handle) {
    let mut leadership = handle.leadership.clone();
    let followed = async {
        loop {
            match handle.hand_over().await {
                Ok(()) => break,
                // No other VM is ready yet.
                Err(handle::Error::Busy) => sleep(HANDOVER_RETRY).await,
                Err(_) => return,
            }
        }
        let is_followed = |now: &Leadership| now.since.is_none() && now.leader.is_some();
        let _ = leadership.wait_for(is_followed).await;
    };
    // Without a successor in time the others elect one by themselves.
    let _ = timeout(HANDOVER, followed).await;
}

/// Opens the journal, which is formed anew in an empty folder.
///
/// A VM that has no other voters in its settings forms a system of its own; the others do so only
/// where the folder was prepared with `--form`, which stores the first voters.
fn open(
    mut folder: DataDir,
    settings: &Control,
    name: &str,
    address: SocketAddr,
) -> Result<(Journal<DataDir>, u64)> {
    let is_seed =
        settings.seeds.is_empty() || settings.seeds.iter().any(|seed| seed.ip() == address.ip());
    let forms = settings.bootstrap && is_seed;
    let identity = Identity::open(&mut folder, forms, name)?;
    let mut journal = Journal::open(folder)?;
    let is_new = journal.last_index() == 0 && journal.snapshot().configuration.is_none();
    if forms && is_new {
        let configuration = first_configuration(settings, name, address);
        let snapshot = Snapshot { configuration: Some(configuration), ..Snapshot::default() };
        journal.store_snapshot(snapshot)?;
    }
    Ok((journal, identity))
}

/// Name under which a control VM votes: where seeds form the system, these are all that the
/// others know of it.
fn voter_name(settings: &Control, vm: &Vm) -> Box<str> {
    if settings.seeds.is_empty() { vm.name.clone() } else { vm.address.to_string().into() }
}

fn first_configuration(settings: &Control, name: &str, address: SocketAddr) -> Configuration {
    let own =
        Voter { name: name.into(), identity: identity::first(name), address: address.to_string() };
    let seeds = settings.seeds.iter().map(|seed| settings::Voter {
        name: seed.ip().to_string().into(),
        address: SocketAddr::new(seed.ip(), settings.replica_port),
    });
    let others = settings.voters.iter().cloned().chain(seeds);
    let others = others.filter(|voter| *voter.name != *name);
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
