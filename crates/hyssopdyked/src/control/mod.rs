//! A control VM: stores the declared state in a log replicated to a majority of the control VMs,
//! grants leases to daemons, and serves operators.
//!
//! Only the leader serves daemons and operators; the other control VMs reject requests and name the
//! leader. A control VM with a new data folder gets a new identity and has no vote until it has all
//! entries and the leader has added it to the voters.

mod api;
mod consensus;
mod handle;
mod identity;
mod leases;
mod operator;
mod problem;
mod replica;
mod retention;
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
use consensus::{Consensus, Discovery, Local};
use handle::{Handle, Leadership};
use identity::Identity;
use leases::Leases;
use operator::Admin;

/// Maximum time that a stopping leader waits for another VM to take over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between attempts to find a VM that can take over.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a control VM until a stop is requested.
///
/// # Errors
///
/// Returns an error if the data folder or a port cannot be opened, or if the log fails.
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
    let discovery = Discovery {
        seeds,
        port: address.port(),
        target_voters: (!role.seeds.is_empty()).then_some(2 * role.tolerance + 1),
    };
    let connections = replica::Connections::new(key.clone());
    let (handle, consensus) =
        Consensus::open(local, journal, discovery, connections, metrics, events.clone());
    let leases = Arc::new(Leases::new(role.lease));
    let mut router = api::router(handle.clone(), Arc::clone(&leases));
    if role.platform {
        let operator = Admin::new(handle.clone(), api.local_addr()?.port(), events.clone());
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
        () = leases::expire(handle.clone(), leases, events.clone()) => {}
        () = retention::expire(handle, events.clone()) => {}
        () = stopped => {}
    }
    info!(events.logger(), "control stopped");
    Ok(())
}

/// Hands leadership over to another VM before this one stops, so that requests need not wait for an
/// election.
async fn hand_over(handle: &Handle) {
    let mut leadership = handle.leadership.clone();
    let handed_over = async {
        loop {
            match handle.hand_over().await {
                Ok(()) => break,
                // No other voter has all entries yet.
                Err(handle::Error::ChangeInProgress) => sleep(HANDOVER_RETRY_INTERVAL).await,
                Err(_) => return,
            }
        }
        let has_successor =
            |current: &Leadership| current.since.is_none() && current.leader.is_some();
        let _ = leadership.wait_for(has_successor).await;
    };
    // If no VM takes over within the timeout, the others start an election.
    let _ = timeout(HANDOVER_TIMEOUT, handed_over).await;
}

/// Opens the identity and the journal of a data folder.
///
/// A new folder gets the initial configuration, which contains the first voters, only with `--form`
/// or the setting `form`, and only if this VM is a seed or the settings have no seeds. Without other
/// voters and seeds in the settings, this VM is the only voter.
fn open(
    mut folder: DataDir,
    settings: &Control,
    name: &str,
    address: SocketAddr,
) -> Result<(Journal<DataDir>, u64)> {
    let is_seed =
        settings.seeds.is_empty() || settings.seeds.iter().any(|seed| seed.ip() == address.ip());
    let is_bootstrap = settings.bootstrap && is_seed;
    let identity = Identity::open(&mut folder, is_bootstrap, name)?;
    let mut journal = Journal::open(folder)?;
    let is_new = journal.last_index() == 0 && journal.snapshot().configuration.is_none();
    if is_bootstrap && is_new {
        let configuration = initial_configuration(settings, name, address);
        let snapshot = Snapshot { configuration: Some(configuration), ..Snapshot::default() };
        journal.store_snapshot(snapshot)?;
    }
    Ok((journal, identity))
}

/// Returns the name under which a control VM votes.
///
/// With seeds it is the VM's address, because the other VMs have only the addresses of the seeds.
fn voter_name(settings: &Control, vm: &Vm) -> Box<str> {
    if settings.seeds.is_empty() { vm.name.clone() } else { vm.address.to_string().into() }
}

fn initial_configuration(settings: &Control, name: &str, address: SocketAddr) -> Configuration {
    let local = Voter {
        name: name.into(),
        identity: identity::bootstrap(name),
        address: address.to_string(),
    };
    let seeds = settings.seeds.iter().map(|seed| settings::Voter {
        name: seed.ip().to_string().into(),
        address: SocketAddr::new(seed.ip(), settings.replica_port),
    });
    let others = settings.voters.iter().cloned().chain(seeds);
    let others = others.filter(|voter| *voter.name != *name);
    let mut voters: Vec<Voter> = others
        .map(|voter| Voter {
            name: voter.name.to_string(),
            identity: identity::bootstrap(&voter.name),
            address: voter.address.to_string(),
        })
        .chain([local])
        .collect();
    voters.sort_by(|a, b| a.name.cmp(&b.name));
    Configuration { voters }
}
