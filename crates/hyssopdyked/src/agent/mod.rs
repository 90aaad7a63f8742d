//! The agent: the last gate before one upstream.
//!
//! An agent is the owner of its upstream's flows, the home of a share of its service's flows, and
//! the only judge of what its upstream bears. One task does the work of all flows, since a flow
//! is a row in its tables; the sockets, the session with control and the signals have tasks of
//! their own.

mod home;
mod owner;
mod peers;
mod placement;
mod report;
mod search;
mod upstream;
mod worker;

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use hyssopdyke::request::{PacketCodec, Tunneled};
use hyssopdyke_platform::{PlatformCodec, readiness, reports};
use hyssopdyke_wire::session::hello;
use hyssopdyke_wire::{Key, Purpose, resource};
use slog::info;
use tokio::sync::mpsc;

use crate::log::Events;
use crate::metrics::Metrics;
use crate::node::{Announcement, Link, Membership, Server, Session, Tunnel};
use crate::reload::ControlAddresses;
use crate::settings::{Agent, PacketFormat, Settings};
use crate::stop::Stop;
use worker::{Sockets, Worker};

/// Reports of the upstream that may wait.
const REPORTS: usize = 16;

/// Runs an agent until it is asked to stop.
pub(crate) async fn run(
    settings: Settings<Agent>,
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
    settings: Settings<Agent>,
    events: Events,
    control: ControlAddresses,
    mut stop: Stop,
) -> Result<()> {
    let Settings { common, role } = settings;
    let key = Key::derive(&common.cluster.passphrase, Purpose::Datagram);
    let answers = Tunnel::bind(role.answers)
        .wrap_err_with(|| format!("[agent] answers: {}", role.answers))?;
    let peers = SocketAddr::new(common.vm.address, role.peer_port);
    let link = Link::bind(peers, key).wrap_err_with(|| format!("[agent] peer_port: {peers}"))?;
    let boot = rand::random();
    let announcement = Announcement {
        name: common.vm.name.clone(),
        role: hello::Role::Upstream(resource::Upstream {
            domain: common.vm.domain.to_string(),
            service: role.service.to_string(),
            address: link.local_addr()?.to_string(),
            boot,
            ..resource::Upstream::default()
        }),
    };
    info!(events.logger(), "agent started"; "service" => &*role.service,
        "answers" => %answers.local_addr()?, "peers" => %link.local_addr()?);
    let mut session = Session::spawn(&common.cluster, control, announcement, events.clone());
    let membership = Membership::new(boot, common.vm.domain.clone(), events.clone());
    let metrics = Metrics::open("agent", &common, &events).await?;
    let (deliveries, received) = mpsc::channel(REPORTS);
    let _reports =
        Server::bind("[agent] reports", role.reports, reports::router(deliveries)).await?;
    let sockets = Sockets { link, answers, reports: received };
    let readiness = role.readiness;
    let mut worker =
        Worker::new(border, &common, role, boot, sockets, membership, metrics, events.clone());
    let router = readiness::router(worker.ready());
    let _readiness = Server::bind("[agent] readiness", readiness, router).await?;
    tokio::select! {
        result = worker.run(&mut session) => return result,
        () = stop.requested() => {}
    }
    info!(events.logger(), "agent leaves");
    worker.finish(&mut session).await?;
    session.leave().await;
    info!(events.logger(), "agent stopped");
    Ok(())
}
