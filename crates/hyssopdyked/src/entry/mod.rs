//! The entry: takes packets from the fabric and forwards each to an agent.
//!
//! An entry keeps nothing that matters if it is lost. A packet goes to the owner of its flow
//! where the entry was told of it, and to the home of the flow otherwise.

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

/// Part of the time for a stop in which the lease is given back.
const LEAVING: Duration = Duration::from_millis(500);

/// Runs an entry until it is asked to stop.
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
    border: impl PacketCodec,
    settings: Settings<Entry>,
    events: Events,
    control: ControlAddresses,
    mut stop: Stop,
) -> Result<()> {
    let Settings { common, role } = settings;
    let key = Key::derive(&common.cluster.passphrase, Purpose::Datagram);
    let fabric =
        Tunnel::bind(role.fabric).wrap_err_with(|| format!("[entry] fabric: {}", role.fabric))?;
    let peers = SocketAddr::new(common.vm.address, role.peer_port);
    let link = Link::bind(peers, key).wrap_err_with(|| format!("[entry] peer_port: {peers}"))?;
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
    let mut worker = Worker::new(border, fabric, link, membership, metrics, &role, events.clone())?;
    let router = readiness::router(worker.ready());
    let _readiness = Server::bind("[entry] readiness", role.readiness, router).await?;
    tokio::select! {
        result = worker.run(&mut session) => return result,
        () = stop.requested() => {}
    }
    info!(events.logger(), "entry leaves");
    tokio::select! {
        result = worker.finish(&mut session) => result?,
        () = sleep(role.grace.saturating_sub(LEAVING)) => {}
    }
    session.leave().await;
    info!(events.logger(), "entry stopped");
    Ok(())
}
