//! The agent: admits flows to one upstream and delivers their packets.
//!
//! An agent owns the flows of its upstream, is the home of a share of its service's flows, and
//! alone decides how much load its upstream takes. One task handles all flows, since a flow is only
//! a row in its tables. The sockets, the session with control and the signals have tasks of their
//! own.

mod home;
mod owner;
mod peers;
mod placement;
mod report;
mod search;
mod upstream;
mod waiting;
mod worker;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyssopdyke::request::{PacketCodec, Tunneled};
use hyssopdyke_platform::{PlatformCodec, readiness, reports};
use hyssopdyke_wire::session::hello;
use hyssopdyke_wire::{Key, Purpose, resource};
use slog::info;
use tokio::sync::mpsc;

use crate::clock;
use crate::log::Events;
use crate::metrics::Metrics;
use crate::node::{Announcement, Link, Membership, Server, Session, Tunnel};
use crate::reload::ControlAddresses;
use crate::settings::{Agent, PacketFormat, Settings};
use crate::stop::Stop;
use worker::{Sockets, Worker};

/// Time within which an agent that has stopped is expected back at its upstream. Until then, the
/// upstream's flows are kept.
pub(crate) const RETURN_TIMEOUT: Duration = Duration::from_secs(30);

/// Age after which a flow counts as ended even if neither end has closed it.
pub(crate) const MAX_FLOW_AGE: Duration = Duration::from_mins(1);

/// Maximum number of upstream reports that wait to be handled.
const MAX_QUEUED_REPORTS: usize = 16;

/// Runs an agent until a stop is requested.
///
/// # Errors
///
/// Returns an error if a socket cannot be bound or fails, or if the metrics cannot be opened.
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
    codec: impl PacketCodec,
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
    let process_identity = rand::random();
    let announcement = Announcement {
        name: common.vm.name.clone(),
        role: hello::Role::Upstream(resource::Upstream {
            domain: common.vm.domain.to_string(),
            service: role.service.to_string(),
            address: link.local_addr()?.to_string(),
            boot: process_identity,
            bounded_homes: true,
            ..resource::Upstream::default()
        }),
    };
    info!(events.logger(), "agent started"; "service" => &*role.service,
        "answers" => %answers.local_addr()?, "peers" => %link.local_addr()?);
    let mut session = Session::spawn(&common.cluster, control, announcement, events.clone());
    let membership = Membership::new(process_identity, common.vm.domain.clone(), events.clone());
    let metrics = Metrics::open("agent", &common, &events).await?;
    let (deliveries, received) = mpsc::channel(MAX_QUEUED_REPORTS);
    let sender = reports::Sender {
        service: role.service.clone(),
        zone: common.vm.domain.clone(),
        address: role.upstream,
    };
    let router = reports::router(sender, deliveries);
    let _reports = Server::bind("[agent] reports", role.reports, router).await?;
    let sockets = Sockets { link, answers, reports: received };
    let readiness = role.readiness;
    let mut worker = Worker::new(
        codec,
        &common,
        role,
        process_identity,
        sockets,
        membership,
        metrics,
        events.clone(),
    );
    let router = readiness::router(worker.readiness());
    let _readiness = Server::bind("[agent] readiness", readiness, router).await?;
    tokio::select! {
        biased;
        () = stop.requested() => {}
        result = worker.run(&mut session) => return result,
    }
    let (open, unconfirmed) = worker.count_flows();
    info!(events.logger(), "agent leaves"; "flows" => open, "unconfirmed" => unconfirmed);
    worker.drain_reports(&mut session).await?;
    session.leave(worker.leaves_upstream(clock::now())).await;
    info!(events.logger(), "agent stopped");
    Ok(())
}
