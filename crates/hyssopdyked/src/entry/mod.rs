//! The entry: receives packets from the fabric and forwards each to an agent.
//!
//! An entry has no state that must survive its loss. It forwards a packet to the owner of its flow
//! if the owner is in its cache, and otherwise to the home of the flow.

mod worker;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyssopdyke::request::{PacketCodec, Tunneled};
use hyssopdyke_platform::{PlatformCodec, readiness};
use hyssopdyke_wire::resource;
use hyssopdyke_wire::session::hello;
use hyssopdyke_wire::{Key, Purpose};
use slog::info;
use tokio::time::sleep;

use crate::log::Events;
use crate::metrics::Metrics;
use crate::node::{Announcement, Link, Membership, Server, Session, Tunnel};
use crate::reload::ControlAddresses;
use crate::settings::{Entry, PacketFormat, Settings};
use crate::stop::Stop;
use worker::Worker;

/// Part of the grace time of a stop that is reserved for returning the lease.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an entry until a stop is requested.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a socket fails.
pub(crate) async fn run(
    settings: Settings<Entry>,
    events: Events,
    control: ControlAddresses,
    stop: Stop,
) -> Result<()> {
    let fabric = settings.role.fabric;
    match settings.role.packets {
        PacketFormat::Tunneled => serve(Tunneled { fabric }, settings, events, control, stop).await,
        PacketFormat::Platform => {
            serve(PlatformCodec { caller_port: fabric.port() }, settings, events, control, stop)
                .await
        }
    }
}

async fn serve(
    codec: impl PacketCodec,
    settings: Settings<Entry>,
    events: Events,
    control: ControlAddresses,
    mut stop: Stop,
) -> Result<()> {
    let Settings { common, role } = settings;
    let key = Key::derive(&common.cluster.passphrase, Purpose::Datagram);
    let fabric =
        Tunnel::bind(role.fabric).wrap_err_with(|| format!("[entry] fabric: {}", role.fabric))?;
    let peer_address = SocketAddr::new(common.vm.address, role.peer_port);
    let link = Link::bind(peer_address, key)
        .wrap_err_with(|| format!("[entry] peer_port: {peer_address}"))?;
    let boot = rand::random();
    let announcement = Announcement {
        name: common.vm.name.clone(),
        role: hello::Role::Entry(resource::Entry {
            domain: common.vm.domain.to_string(),
            address: link.local_addr()?.to_string(),
            boot,
            incarnation: 0,
        }),
    };
    info!(events.logger(), "entry started";
        "fabric" => %fabric.local_addr()?, "peers" => %link.local_addr()?);
    let mut session = Session::spawn(&common.cluster, control, announcement, events.clone());
    let membership = Membership::new(boot, common.vm.domain.clone(), events.clone());
    let metrics = Metrics::open("entry", &common, &events).await?;
    let mut worker = Worker::new(codec, fabric, link, membership, metrics, &role, events.clone())?;
    let router = readiness::router(worker.subscribe_readiness());
    let _readiness = Server::bind("[entry] readiness", role.readiness, router).await?;
    tokio::select! {
        biased;
        () = stop.requested() => {}
        result = worker.run(&mut session) => return result,
    }
    info!(events.logger(), "entry leaves");
    tokio::select! {
        biased;
        () = sleep(role.grace.saturating_sub(LEAVE_TIMEOUT)) => {}
        result = worker.drain(&mut session) => result?,
    }
    session.leave(false).await;
    info!(events.logger(), "entry stopped");
    Ok(())
}
