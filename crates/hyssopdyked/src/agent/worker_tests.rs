//! Tests of one agent with simulated peers, upstream and caller.

use std::net::SocketAddr;
use std::time::Duration;

use hyssopdyke::connection;
use hyssopdyke::process::{Phase, UpstreamReport};
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke::version::{Member, Store};
use hyssopdyke_platform::PlatformCodec;
use hyssopdyke_wire::datagram::{
    Datagram, Declined, Forward, Offer, Owner, Ping, Reason, Report, Room, Stage, Unknown,
    datagram::Body,
};
use hyssopdyke_wire::resource::{
    self, Class, Listener, Protocol, Resource, Route, Service, Split, resource::Body as Kind,
};
use hyssopdyke_wire::{Key, Purpose};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use super::*;
use crate::settings::PacketFormat;
use crate::settings::sample::{self, PASSPHRASE};

/// Identity of the agent's process.
const PROCESS_IDENTITY: u64 = 7;

/// Time within which a datagram on loopback arrives, even under load.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a datagram counts as not sent.
const SILENCE_WAIT: Duration = Duration::from_millis(100);

const SYN: u8 = 2;
const ACK: u8 = 4;
const RST: u8 = 64;
const RETURNED: u8 = 128;

/// Address and port of the service.
const SERVICE: ([u8; 4], u16) = ([198, 18, 0, 1], 443);

/// Sequence number of the caller's first packet.
const CALLER_ISN: u32 = 100;

/// Initial sequence numbers of the agent's upstream and of another upstream.
const UPSTREAM_ISN: u32 = 500;
const OTHER_UPSTREAM_ISN: u32 = 900;

struct Harness {
    worker: Worker<PlatformCodec>,
    /// Sockets of the simulated peers `vm-1` and `vm-2`, in this order.
    peers: Vec<Link>,
    upstream: UdpSocket,
    caller: UdpSocket,
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn link() -> Link {
    Link::bind(loopback(), Key::derive(PASSPHRASE, Purpose::Datagram)).unwrap()
}

/// Returns the state of a service of three members with one route.
fn store(addresses: &[SocketAddr]) -> Store {
    let mut store = Store::new();
    let mut put = |name: &str, revision, body| {
        let name = name.to_owned();
        store.put(Resource { name, revision, generation: revision, body: Some(body) });
    };
    let service = Service { connections: 10, slots: 2, epoch: 3, ..Service::default() };
    put("a", 1, Kind::Service(service));
    let listener = Listener {
        address: "198.18.0.1".into(),
        port: SERVICE.1.into(),
        protocol: Protocol::Tcp as i32,
        class: Class::Exchange as i32,
    };
    let splits = vec![Split { service: "a".into(), weight: 1 }];
    let route = Route { listener: Some(listener), splits, objective_ms: 100, ..Route::default() };
    put("r", 2, Kind::Route(route));
    for (index, address) in addresses.iter().enumerate() {
        let upstream = resource::Upstream {
            domain: "d".into(),
            service: "a".into(),
            address: address.to_string(),
            boot: PROCESS_IDENTITY + index as u64,
            ..resource::Upstream::default()
        };
        put(&format!("vm-{index}"), 3 + index as u64, Kind::Upstream(upstream));
    }
    store
}

impl Harness {
    async fn open() -> Self {
        let (own, peers) = (link(), vec![link(), link()]);
        let links = std::iter::once(&own).chain(&peers);
        let addresses: Vec<_> = links.map(|link| link.local_addr().unwrap()).collect();
        let upstream = UdpSocket::bind(loopback()).await.unwrap();
        let caller = UdpSocket::bind(loopback()).await.unwrap();
        let common = sample::common("vm-0");
        let settings = Agent {
            service: "a".into(),
            peer_port: 0,
            packets: PacketFormat::Platform,
            answers: loopback(),
            upstream: upstream.local_addr().unwrap(),
            fabric: caller.local_addr().unwrap(),
            readiness: None,
            reports: Some(loopback()),
            heartbeat: Duration::from_mins(10),
            probe_after: Duration::from_secs(30),
            datagram_idle: Duration::from_mins(1),
        };
        let (events, _writer) = Events::open("agent", &common);
        let metrics = Metrics::open("agent", &common, &events).await.unwrap();
        let membership =
            Membership::with_lease(PROCESS_IDENTITY, "d", &store(&addresses), events.clone());
        let (_, reports) = mpsc::channel(1);
        let answers = Tunnel::bind(loopback()).unwrap();
        let sockets = Sockets { link: own, answers, reports };
        let codec = PlatformCodec { caller_port: caller.local_addr().unwrap().port() };
        let mut worker = Worker::new(
            codec,
            &common,
            settings,
            PROCESS_IDENTITY,
            sockets,
            membership,
            metrics,
            events,
        );
        worker.is_recovering = false;
        worker.handle_view_change();
        let (acknowledge, _) = tokio::sync::oneshot::channel();
        worker.handle_upstream_report(Delivery::Report(upstream_report(), acknowledge));
        let mut harness = Self { worker, peers, upstream, caller };
        // Also lets the runtime register that the sockets are writable.
        harness.drain().await;
        for (peer, stage) in
            [(0, Stage::Records), (0, Stage::Own), (1, Stage::Records), (1, Stage::Own)]
        {
            let epoch = harness.worker.pool.as_ref().unwrap().epoch;
            let stage = stage as i32;
            harness
                .send_from_peer(
                    peer,
                    Body::Report(Report { epoch, parts: 1, stage, ..Report::default() }),
                )
                .await;
        }
        harness.drain().await;
        harness
    }

    /// Returns the identity of a simulated peer.
    fn id(peer: usize) -> vm::Id {
        vm::id(&format!("vm-{}", peer + 1))
    }

    /// Returns a caller's port whose flow has the given home.
    fn port_at_home(&self, home: vm::Id) -> u16 {
        let pool = self.worker.pool.clone().unwrap();
        let is_at_home = |port: &u16| {
            let hash = self.worker.hash(&self.flow(*port));
            pool.home(hash).is_some_and(|member| member.vm == home)
        };
        (1000..u16::MAX).find(is_at_home).unwrap()
    }

    fn flow(&self, port: u16) -> Flow {
        self.packet(port, CALLER_ISN, 0, SYN, b"").1.inbound_flow()
    }

    /// Builds a packet of the caller.
    fn packet(&self, port: u16, seq: u32, ack: u32, flags: u8, data: &[u8]) -> (Bytes, Packet) {
        let caller = ([127, 0, 0, 1], port);
        let bytes = encode(caller, SERVICE, (seq, ack), flags, data);
        let packet = self.worker.codec.parse(&bytes).unwrap();
        (bytes, packet)
    }

    /// Builds the caller's request to the upstream that opened the flow with the sequence number
    /// `isn`.
    fn request(&self, port: u16, isn: u32) -> Bytes {
        self.packet(port, CALLER_ISN + 1, isn + 1, ACK, b"question").0
    }

    /// Sends a message from a simulated peer, and lets the agent handle it.
    async fn send_from_peer(&mut self, peer: usize, body: Body) {
        let to = self.worker.link.local_addr().unwrap();
        let message = Datagram { revision: self.worker.membership.revision(), body: Some(body) };
        assert!(self.peers[peer].send(&message, to));
        timeout(ARRIVAL_TIMEOUT, self.worker.link.readable()).await.unwrap().unwrap();
        self.worker.receive_datagrams().unwrap();
    }

    /// Sends a packet from the upstream, and lets the agent handle it.
    async fn send_from_upstream(&mut self, packet: &[u8]) {
        let to = self.worker.answers.local_addr().unwrap();
        self.upstream.send_to(packet, to).await.unwrap();
        timeout(ARRIVAL_TIMEOUT, self.worker.answers.readable()).await.unwrap().unwrap();
        self.worker.receive_answers().unwrap();
    }

    /// Returns the next message to a simulated peer that `select` accepts.
    async fn receive_at_peer<T>(&mut self, peer: usize, select: impl Fn(Body) -> Option<T>) -> T {
        let link = &mut self.peers[peer];
        let wanted = async {
            loop {
                link.readable().await.unwrap();
                while let Some((message, _)) = link.try_recv().unwrap() {
                    if let Some(found) = message.unwrap().body.and_then(&select) {
                        return found;
                    }
                }
            }
        };
        timeout(ARRIVAL_TIMEOUT, wanted).await.unwrap()
    }

    /// Lets a simulated peer search for a flow, and asserts that it gets no answer.
    async fn assert_search_unanswered(&mut self, peer: usize, packet: Bytes) {
        let search = Forward { packet, search: true, hops: 1, ..Forward::default() };
        self.send_from_peer(peer, Body::Forward(search)).await;
        let miss = |body| matches!(body, Body::Unknown(_)).then_some(());
        let answer = self.receive_at_peer(peer, miss);
        assert!(timeout(SILENCE_WAIT, answer).await.is_err(), "the home was told of a miss");
    }

    /// Lets a caller open a flow whose home this agent is, while no upstream has a free slot.
    async fn place_while_full(&mut self, port: u16) {
        // The agent's own upstream takes no new flows.
        self.worker.is_leaving = true;
        let (packet, _) = self.packet(port, CALLER_ISN, 0, SYN, b"");
        self.send_from_peer(0, forward(packet)).await;
        let flow = self.flow(port);
        while let Some(candidate) =
            self.worker.directory.offer_mut(&flow).and_then(|offer| offer.candidate)
        {
            let peer = usize::from(candidate != Self::id(0));
            let load = Some(Load { weight: 100_000, queue: 3, ..Load::default() });
            let (flow, reason) = (Some(flow.into()), Reason::Full as i32);
            let declined = Declined { flow, reason, load, ..Declined::default() };
            self.send_from_peer(peer, Body::Declined(declined)).await;
        }
    }

    /// Applies a change of the members that moves no home.
    fn change_members(&mut self, change: impl FnOnce(&mut Pool)) {
        let mut pool = Pool::clone(self.worker.pool.as_ref().unwrap());
        pool.epoch += 1;
        change(&mut pool);
        let pool = Arc::new(pool);
        self.worker.pool = Some(Arc::clone(&pool));
        self.worker.handle_epoch_change(&pool, false);
    }

    /// Discards everything that the agent has sent so far.
    async fn drain(&mut self) {
        let mut bytes = [0; 2048];
        for peer in &mut self.peers {
            while let Ok(Ok(())) = timeout(SILENCE_WAIT, peer.readable()).await {
                while peer.try_recv().unwrap().is_some() {}
            }
        }
        while self.upstream.try_recv(&mut bytes).is_ok() {}
        while self.caller.try_recv(&mut bytes).is_ok() {}
    }

    /// Returns the next packet that arrives at a socket.
    async fn receive(socket: &UdpSocket) -> Vec<u8> {
        let mut bytes = vec![0; 2048];
        let length = timeout(ARRIVAL_TIMEOUT, socket.recv(&mut bytes)).await.unwrap().unwrap();
        bytes.truncate(length);
        bytes
    }

    async fn is_silent(socket: &UdpSocket) -> bool {
        timeout(SILENCE_WAIT, socket.recv(&mut [0; 2048])).await.is_err()
    }

    /// Opens a flow at the agent's upstream by the offer of a simulated peer.
    async fn open_flow(&mut self, port: u16, home: usize) {
        let (packet, _) = self.packet(port, CALLER_ISN, 0, SYN, b"");
        let offer = Offer { packet, patience_ms: 1000, ..Offer::default() };
        self.send_from_peer(home, Body::Offer(offer)).await;
        assert_eq!(Self::receive(&self.upstream).await[12], SYN);
        self.send_from_upstream(&encode(
            SERVICE,
            ([127, 0, 0, 1], port),
            (UPSTREAM_ISN, CALLER_ISN + 1),
            SYN | ACK,
            b"",
        ))
        .await;
        assert_eq!(Self::receive(&self.caller).await[12], SYN | ACK);
        self.drain().await;
    }
}

/// Encodes a packet in the platform's format.
fn encode(
    source: ([u8; 4], u16),
    destination: ([u8; 4], u16),
    (seq, ack): (u32, u32),
    flags: u8,
    data: &[u8],
) -> Bytes {
    let mut bytes = Vec::new();
    bytes.extend(seq.to_le_bytes());
    bytes.extend(ack.to_le_bytes());
    bytes.extend([0; 4]);
    bytes.extend([flags, 0]);
    bytes.extend([9; 4]);
    bytes.extend((data.len() as u16).to_le_bytes());
    bytes.extend(u32::from_be_bytes(source.0).to_le_bytes());
    bytes.extend(u32::from_be_bytes(destination.0).to_le_bytes());
    bytes.extend(destination.1.to_le_bytes());
    bytes.extend(source.1.to_le_bytes());
    bytes.extend(data);
    bytes.into()
}

/// Builds the report of an upstream that started after the agent.
fn upstream_report() -> UpstreamReport {
    UpstreamReport {
        instance: "i-1".into(),
        started_ms: u64::MAX,
        sequence: 1,
        service: Some("a".into()),
        slots: 2,
        warmup_left: Duration::ZERO,
        phase: Phase::Serving,
    }
}

/// Builds the record of a flow that its caller has confirmed.
fn record(flow: Flow, owner: vm::Id) -> Record {
    Record { flow: Some(flow.into()), isn: CALLER_ISN, owner, unconfirmed: false }
}

/// Returns the records of opened flows in an incremental report.
fn opened_records(body: Body) -> Option<Vec<Record>> {
    match body {
        Body::Report(report) if report.parts == 0 && !report.opened.is_empty() => {
            Some(report.opened)
        }
        _ => None,
    }
}

fn forward(packet: Bytes) -> Body {
    Body::Forward(Forward { packet, hops: 1, ..Forward::default() })
}

fn search_request(body: Body) -> Option<Forward> {
    match body {
        Body::Forward(forward) if forward.search => Some(forward),
        _ => None,
    }
}

fn forwarded_packet(body: Body) -> Option<Bytes> {
    match body {
        Body::Forward(forward) => Some(forward.packet),
        _ => None,
    }
}

fn search_miss(flow: Flow, packet: Bytes) -> Body {
    Body::Unknown(Unknown { flow: Some(flow.into()), searched: true, packet, unsure: false })
}

#[tokio::test]
async fn search_allmiss() {
    // The caller of a flow that no member serves is reset only after every member has answered.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(harness.worker.own_id);
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.send_from_peer(0, forward(request.clone())).await;
    for peer in [0, 1] {
        assert_eq!(harness.receive_at_peer(peer, search_request).await.packet, request);
    }
    harness.send_from_peer(0, search_miss(flow, request.clone())).await;
    let early = harness.caller.try_recv(&mut [0; 2048]);
    assert!(early.is_err(), "reset before all members had answered");
    harness.send_from_peer(1, search_miss(flow, request)).await;
    let reset = Harness::receive(&harness.caller).await;
    assert_eq!((reset[12], &reset[..4]), (RST, &(OTHER_UPSTREAM_ISN + 1).to_le_bytes()[..]));
}

#[tokio::test]
async fn search_only_unknowing_members() {
    // After a loss of power, callers send packets of thousands of lost flows. Members that know all
    // flows of their upstreams and are no homes need not be asked about each.
    let mut harness = Harness::open().await;
    let (own_id, knowing) = (harness.worker.own_id, Harness::id(0));
    harness.change_members(|pool| pool.homes = vec![own_id]);
    harness.worker.peers.record_load(knowing, Load { knows_flows: true, ..Load::default() });
    let port = harness.port_at_home(own_id);
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.send_from_peer(0, forward(request.clone())).await;
    harness.receive_at_peer(1, search_request).await;
    let asked = harness.receive_at_peer(0, search_request);
    assert!(timeout(SILENCE_WAIT, asked).await.is_err());
    harness.send_from_peer(1, search_miss(flow, request)).await;
    assert_eq!(Harness::receive(&harness.caller).await[12], RST);
}

#[tokio::test]
async fn search_placed_by_other_home() {
    // This agent has placed a flow in place of its home, and the owner's report has not reached the
    // home yet. If this agent answered that it does not serve the flow, its caller would be reset.
    let mut harness = Harness::open().await;
    let (home, owner) = (Harness::id(0), Harness::id(1));
    let port = harness.port_at_home(home);
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.worker.directory.record_owner(flow, owner, CALLER_ISN);
    let search = Forward { packet: request.clone(), search: true, hops: 1, ..Forward::default() };
    harness.send_from_peer(0, Body::Forward(search)).await;
    let passed_on = harness.receive_at_peer(1, search_request).await;
    // Two outdated records that name each other's agents must not pass a search on for ever.
    assert_eq!((passed_on.packet, passed_on.hops), (request.clone(), 0));
    let miss = |body| matches!(body, Body::Unknown(_)).then_some(());
    let answer = harness.receive_at_peer(0, miss);
    assert!(timeout(SILENCE_WAIT, answer).await.is_err(), "the home was told of a miss");
    // The record was stale: the next search is answered.
    harness.send_from_peer(1, search_miss(flow, request.clone())).await;
    let search = Forward { packet: request, search: true, ..Forward::default() };
    harness.send_from_peer(0, Body::Forward(search)).await;
    harness.receive_at_peer(0, miss).await;
}

#[tokio::test]
async fn search_before_first_report() {
    // All agents of a service were restarted together. Until the upstreams' first reports, each answered
    // that its upstream holds none of the open flows.
    let mut harness = Harness::open().await;
    harness.worker.upstream = Upstream::new(harness.worker.settings.heartbeat);
    let port = harness.port_at_home(Harness::id(0));
    let (request, flow) = (harness.request(port, UPSTREAM_ISN), harness.flow(port));
    let search = Forward { packet: request.clone(), search: true, hops: 1, ..Forward::default() };
    harness.send_from_peer(0, Body::Forward(search.clone())).await;
    let unsure = |body| match body {
        Body::Unknown(unknown) if unknown.unsure && !unknown.searched => Some(unknown.flow),
        _ => None,
    };
    assert_eq!(harness.receive_at_peer(0, unsure).await, Some(flow.into()));
    // Only the second step of a search may reach upstreams that do not hold the flow.
    assert!(Harness::is_silent(&harness.upstream).await);
    let search = Forward { ask_upstream: true, ..search };
    harness.send_from_peer(0, Body::Forward(search.clone())).await;
    assert_eq!(Harness::receive(&harness.upstream).await, request);
    let miss = |body| match body {
        Body::Unknown(unknown) if unknown.searched => Some(unknown.flow),
        _ => None,
    };
    let early = harness.receive_at_peer(0, miss);
    assert!(timeout(SILENCE_WAIT, early).await.is_err(), "answered for the upstream");
    let mut returned = request.to_vec();
    returned[12] |= RETURNED;
    harness.send_from_upstream(&returned).await;
    assert_eq!(harness.receive_at_peer(0, miss).await, Some(flow.into()));
    // The upstream is not asked again.
    harness.send_from_peer(0, Body::Forward(search)).await;
    assert_eq!(harness.receive_at_peer(0, miss).await, Some(flow.into()));
    assert!(Harness::is_silent(&harness.upstream).await);
}

#[tokio::test]
async fn search_in_two_steps() {
    // Searches sent the packets of open flows to every upstream that might hold them.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(harness.worker.own_id);
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.send_from_peer(0, forward(request.clone())).await;
    let unsure = Unknown {
        flow: Some(flow.into()),
        packet: request.clone(),
        unsure: true,
        ..Unknown::default()
    };
    for peer in [0, 1] {
        assert!(!harness.receive_at_peer(peer, search_request).await.ask_upstream);
    }
    harness.send_from_peer(0, Body::Unknown(unsure)).await;
    harness.send_from_peer(1, search_miss(flow, request.clone())).await;
    assert!(harness.receive_at_peer(0, search_request).await.ask_upstream);
    let asked = harness.receive_at_peer(1, search_request);
    assert!(timeout(SILENCE_WAIT, asked).await.is_err(), "this one was sure");
    harness.send_from_peer(0, search_miss(flow, request)).await;
    assert_eq!(Harness::receive(&harness.caller).await[12], RST);
}

#[tokio::test]
async fn search_absent_owner() {
    // Open flows were reset while their owner restarted: members that had the flow on record answered
    // that they do not serve it, because the owner was not a member.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(Harness::id(0));
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.worker.directory.record_owner(flow, Harness::id(1), CALLER_ISN);
    harness.change_members(|pool| pool.members.retain(|member| member.vm != Harness::id(1)));
    harness.assert_search_unanswered(0, request).await;
}

#[tokio::test]
async fn search_agent_away() {
    // Open flows were reset while their owner restarted and no member had a record of them.
    let mut harness = Harness::open().await;
    harness.change_members(|pool| pool.away.push(vm::id("vm-3")));
    let port = harness.port_at_home(harness.worker.own_id);
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.send_from_peer(0, forward(request.clone())).await;
    for peer in [0, 1] {
        harness.send_from_peer(peer, search_miss(flow, request.clone())).await;
    }
    assert!(Harness::is_silent(&harness.caller).await, "reset while an agent is expected back");
    // Nor does this agent answer for others.
    harness.assert_search_unanswered(0, request).await;
}

#[tokio::test]
async fn leave_without_upstream() {
    // After a loss of power, agents of VMs without an upstream started and stopped again. Callers of lost
    // flows waited for each of them to return, as if its upstream went on.
    let mut harness = Harness::open().await;
    assert!(harness.worker.leaves_upstream(clock::now()));
    harness.worker.upstream = Upstream::new(harness.worker.settings.heartbeat);
    assert!(harness.worker.leaves_upstream(clock::now()), "the upstream may still report");
    let due = harness.worker.started + harness.worker.settings.heartbeat;
    harness.worker.record_upstream_activity(due);
    assert!(!harness.worker.leaves_upstream(due), "packets show no upstream that goes on");
}

#[tokio::test]
async fn search_before_records() {
    // Open flows were reset by a new home before the former homes' records had reached it.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(harness.worker.own_id);
    let request = harness.request(port, OTHER_UPSTREAM_ISN);
    harness.worker.records_barrier = Barrier::new();
    harness.worker.settled_epoch = None;
    harness.send_from_peer(0, forward(request.clone())).await;
    let search = harness.receive_at_peer(1, search_request);
    assert!(timeout(SILENCE_WAIT, search).await.is_err(), "searched without the records");
    for peer in [0, 1] {
        let epoch = harness.worker.pool.as_ref().unwrap().epoch;
        let stage = Stage::Records as i32;
        let report = Report { epoch, parts: 1, stage, ..Report::default() };
        harness.send_from_peer(peer, Body::Report(report)).await;
    }
    assert_eq!(harness.receive_at_peer(1, search_request).await.packet, request);
}

/// Open flows of a domain that was just taken out were reset by a new home, which had the reports of
/// all other domains.
#[tokio::test]
async fn search_before_reports_of_out_domain() {
    let mut harness = Harness::open().await;
    let mut pool = Pool::clone(harness.worker.pool.as_ref().unwrap());
    let is_out = |member: &mut Member| member.vm == Harness::id(1);
    pool.out_members = pool.members.extract_if(.., is_out).collect();
    pool.homes = vec![harness.worker.own_id];
    let epoch = pool.epoch;
    harness.worker.pool = Some(Arc::new(pool));
    harness.worker.records_barrier = Barrier::new();
    harness.worker.owned_barrier = Barrier::new();
    harness.worker.settled_epoch = None;
    for peer in [0, 1] {
        let load = Load { knows_flows: true, ..Load::default() };
        harness.send_from_peer(peer, Body::Ping(Ping { nonce: 0, load: Some(load) })).await;
    }
    let report = |stage: Stage, opened| {
        let stage = stage as i32;
        Body::Report(Report { epoch, parts: 1, stage, opened, ..Report::default() })
    };
    harness.send_from_peer(0, report(Stage::Records, Vec::new())).await;
    harness.send_from_peer(0, report(Stage::Own, Vec::new())).await;
    let port = harness.port_at_home(harness.worker.own_id);
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.send_from_peer(0, forward(request.clone())).await;
    assert!(Harness::is_silent(&harness.caller).await, "reset before the owner has reported");
    let record = record(flow, Harness::id(1));
    harness.send_from_peer(1, report(Stage::Records, Vec::new())).await;
    harness.send_from_peer(1, report(Stage::Own, vec![record])).await;
    let forwarded = |body| match body {
        Body::Forward(forward) if !forward.search => Some(forward.packet),
        _ => None,
    };
    assert_eq!(harness.receive_at_peer(1, forwarded).await, request);
}

#[tokio::test]
async fn search_behind_peer() {
    // A peer with a newer revision may have a member that was not asked, so the caller is not
    // reset.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(harness.worker.own_id);
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    harness.send_from_peer(0, forward(request.clone())).await;
    harness.send_from_peer(0, search_miss(flow, request.clone())).await;
    let to = harness.worker.link.local_addr().unwrap();
    let revision = harness.worker.membership.revision() + 1;
    let message = Datagram { revision, body: Some(search_miss(flow, request)) };
    assert!(harness.peers[1].send(&message, to));
    timeout(ARRIVAL_TIMEOUT, harness.worker.link.readable()).await.unwrap().unwrap();
    harness.worker.receive_datagrams().unwrap();
    assert!(Harness::is_silent(&harness.caller).await);
}

#[tokio::test]
async fn search_found() {
    // The caller's packet reaches the home while the report of its new flow is still in flight.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(Harness::id(0));
    harness.open_flow(port, 1).await;
    let (packet, search) = (harness.request(port, UPSTREAM_ISN), true);
    let request = Forward { packet: packet.clone(), search, ..Forward::default() };
    harness.send_from_peer(0, Body::Forward(request)).await;
    assert_eq!(Harness::receive(&harness.upstream).await, packet);
    let reported = |body| match body {
        Body::Report(report) => report.opened.first().cloned(),
        _ => None,
    };
    let record = harness.receive_at_peer(0, reported).await;
    assert_eq!((record.owner, record.isn), (harness.worker.own_id, CALLER_ISN));
}

#[tokio::test]
async fn contested_callergoeson() {
    // Two upstreams have opened a flow and the other one is on record, but the caller uses this
    // one.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(Harness::id(0));
    harness.open_flow(port, 1).await;
    let owner =
        Owner { flow: Some(harness.flow(port).into()), vm: Harness::id(1), ..Owner::default() };
    harness.send_from_peer(0, Body::Owner(owner)).await;
    assert_eq!(harness.worker.table.slots(), 0);
    let request = harness.request(port, UPSTREAM_ISN);
    harness.send_from_peer(1, forward(request.clone())).await;
    assert_eq!(Harness::receive(&harness.upstream).await, request);
    let confirmation = |body| match body {
        Body::Accepted(accepted) => Some(accepted.confirmed),
        _ => None,
    };
    assert!(harness.receive_at_peer(0, confirmation).await);
}

#[tokio::test]
async fn contested_other_upstream() {
    // Two upstreams have opened a flow and the caller uses the other one, so this agent must not
    // reset it.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(Harness::id(0));
    harness.open_flow(port, 1).await;
    let owner =
        Owner { flow: Some(harness.flow(port).into()), vm: Harness::id(1), ..Owner::default() };
    harness.send_from_peer(0, Body::Owner(owner)).await;
    let request = harness.request(port, OTHER_UPSTREAM_ISN);
    harness.send_from_peer(1, forward(request.clone())).await;
    assert_eq!(harness.receive_at_peer(0, forwarded_packet).await, request);
    assert!(
        Harness::is_silent(&harness.upstream).await && Harness::is_silent(&harness.caller).await
    );
}

#[tokio::test]
async fn returned_middle() {
    // Another upstream may hold a flow that this upstream returns, so the caller is not reset.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(Harness::id(0));
    harness.open_flow(port, 0).await;
    let request = harness.request(port, UPSTREAM_ISN);
    harness.send_from_peer(1, forward(request.clone())).await;
    let mut returned = Harness::receive(&harness.upstream).await;
    returned[12] |= RETURNED;
    harness.send_from_upstream(&returned).await;
    assert_eq!(harness.receive_at_peer(0, forwarded_packet).await, request);
    assert!(Harness::is_silent(&harness.caller).await);
}

#[tokio::test]
async fn answered_lateopening() {
    // The upstream opens a flow after the flow was placed at another upstream.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(Harness::id(0));
    let opening =
        encode(SERVICE, ([127, 0, 0, 1], port), (UPSTREAM_ISN, CALLER_ISN + 1), SYN | ACK, b"");
    harness.send_from_upstream(&opening).await;
    assert!(harness.worker.table.is_empty());
    assert!(Harness::is_silent(&harness.caller).await);
}

#[tokio::test]
async fn prune_farewell() {
    // A leaving member hands over a record that another member keeps, while this agent still has to
    // drop the records that it no longer keeps since the last change of members. The new record
    // must survive until the members have changed, but not for good.
    let mut harness = Harness::open().await;
    let (kept, handed_over) = (Harness::id(1), Harness::id(0));
    let flow = harness.flow(harness.port_at_home(kept));
    let record = record(flow, handed_over);
    harness
        .send_from_peer(0, Body::Report(Report { opened: vec![record], ..Report::default() }))
        .await;
    let now = clock::now();
    harness.worker.sweep_records(now + Duration::from_secs(5));
    assert!(
        harness.worker.directory.get(&flow).is_some(),
        "the record of a leaving member was dropped"
    );
    harness.worker.sweep_records(now + Duration::from_secs(20));
    assert!(harness.worker.directory.get(&flow).is_none(), "a copy was kept for good");
}

#[tokio::test]
async fn final_reports_without_copies() {
    // Members leave one after the other, each with copies of the records of those before. If the
    // copies were passed on, each leaving member would send more than the one before.
    let mut harness = Harness::open().await;
    let flow = harness.flow(harness.port_at_home(Harness::id(1)));
    let record = record(flow, Harness::id(0));
    harness
        .send_from_peer(0, Body::Report(Report { opened: vec![record], ..Report::default() }))
        .await;
    harness.worker.outbox.retain(|_, _| false);
    harness.worker.queue_final_reports();
    assert!(harness.worker.outbox.is_empty());
}

#[tokio::test]
async fn final_reports_unconfirmed() {
    // Copies of a flow's first packet were admitted by two agents. The one that the caller does not
    // use reported the flow as its own when it stopped, took it over when it started, and got the
    // caller's packets.
    let mut harness = Harness::open().await;
    for (port, home) in [(1001, 0), (1002, 1)] {
        harness.open_flow(port, home).await;
    }
    let (unused, used) = (harness.flow(1001), harness.flow(1002));
    let other = Owner { flow: Some(unused.into()), vm: Harness::id(1), ..Owner::default() };
    harness.send_from_peer(0, Body::Owner(other)).await;
    let request = harness.request(1002, UPSTREAM_ISN);
    harness.send_from_peer(0, forward(request)).await;
    harness.worker.outbox.retain(|_, _| false);
    harness.worker.is_leaving = true;
    harness.worker.queue_final_reports();
    harness.worker.send_reports();
    let final_report = |body| match body {
        Body::Report(report) => Some(report),
        _ => None,
    };
    let report = harness.receive_at_peer(0, final_report).await;
    let flows = |records: &[Record]| -> Vec<Flow> {
        records.iter().map(|record| Flow::try_from(record.flow.as_ref()).unwrap()).collect()
    };
    assert_eq!((flows(&report.opened), flows(&report.ended)), (vec![used], vec![unused]));
}

#[tokio::test]
async fn adopt_flow_of_other_upstream() {
    // A restarted agent took over a flow that its caller uses at another upstream. It did so again after its
    // upstream had returned a packet, and handed the flow on as its own at each stop.
    let mut harness = Harness::open().await;
    harness.worker.is_recovering = true;
    let flow = harness.flow(1001);
    let record = record(flow, harness.worker.own_id);
    let report = Body::Report(Report { opened: vec![record], ..Report::default() });
    harness.send_from_peer(0, report.clone()).await;
    assert!(harness.worker.table.get(&flow).is_some(), "not adopted");
    harness.worker.outbox.retain(|_, _| false);
    harness.worker.queue_final_reports();
    assert!(harness.worker.outbox.is_empty(), "reported without a packet of the upstream");
    let mut returned = harness.request(1001, OTHER_UPSTREAM_ISN).to_vec();
    returned[12] |= RETURNED;
    harness.send_from_upstream(&returned).await;
    harness.send_from_peer(0, report).await;
    assert!(harness.worker.table.get(&flow).is_none(), "adopted again");
    harness.worker.flush_pending_records();
    harness.worker.send_reports();
    for peer in [0, 1] {
        let ended = |body| match body {
            Body::Report(report) => report.ended.first().cloned(),
            _ => None,
        };
        let ended = harness.receive_at_peer(peer, ended).await;
        assert_eq!((Flow::try_from(ended.flow.as_ref()).unwrap(), ended.isn), (flow, CALLER_ISN));
    }
}

#[tokio::test]
async fn join_settled_home() {
    // A member joins and has not reported yet. The homes are the same, so that a packet of an
    // unknown flow is searched at once instead of held until the new member has reported.
    let mut harness = Harness::open().await;
    harness.change_members(|pool| {
        let mut joined = pool.members[0].clone();
        joined.vm = u64::MAX;
        joined.incarnation = pool.epoch;
        pool.members.push(joined);
    });
    let port = harness.port_at_home(vm::id("vm-0"));
    let packet = harness.request(port, UPSTREAM_ISN);
    harness.send_from_peer(0, forward(packet)).await;
    assert!(harness.worker.held_packets.is_empty());
    harness.receive_at_peer(1, search_request).await;
}

#[tokio::test]
async fn leave_moved_record() {
    // This agent still has the record of a flow whose home is another member since the homes have
    // changed. The owner leaves before it has reported the flow there.
    let mut harness = Harness::open().await;
    let (home, owner) = (Harness::id(0), Harness::id(1));
    let flow = harness.flow(harness.port_at_home(home));
    harness.worker.directory.record_owner(flow, owner, CALLER_ISN);
    harness.worker.directory.mark_moved(clock::now(), |_, _| false);
    harness.change_members(|pool| pool.members.retain(|member| member.vm != owner));
    harness.worker.tick();
    let report = harness
        .receive_at_peer(0, |body| match body {
            Body::Report(report) if report.parts == 0 => Some(report),
            _ => None,
        })
        .await;
    assert_eq!(report.opened, [record(flow, owner)]);
}

#[tokio::test]
async fn forward_before_membership() {
    // After a loss of power, the first packet of a caller arrives before the agent is a member. It
    // is placed as soon as the agent may act, not when the caller sends a copy.
    let mut harness = Harness::open().await;
    harness.worker.early_packets = Some(HoldQueue::new(8, Duration::from_mins(1)));
    harness.worker.is_member = false;
    let port = harness.port_at_home(vm::id("vm-0"));
    let (packet, _) = harness.packet(port, CALLER_ISN, 0, SYN, b"");
    harness.send_from_peer(0, forward(packet)).await;
    harness.worker.tick();
    assert!(Harness::is_silent(&harness.upstream).await);
    harness.worker.is_member = true;
    harness.worker.tick();
    assert!(harness.worker.directory.get(&harness.flow(port)).is_some());
    // Later packets of a process that may not act are stale: it was suspended.
    assert!(harness.worker.early_packets.is_none());
}

#[tokio::test]
async fn load_ping_current_and_behind() {
    // A report of the load needs no answer, unless its sender has missed a revision.
    let mut harness = Harness::open().await;
    let is_pong = |body| matches!(body, Body::Pong(_)).then_some(());
    let ping = Body::Ping(Ping { nonce: 0, load: Some(Load::default()) });
    harness.send_from_peer(0, ping.clone()).await;
    let answer = harness.receive_at_peer(0, is_pong);
    assert!(timeout(SILENCE_WAIT, answer).await.is_err(), "an answer that nobody needs");
    let to = harness.worker.link.local_addr().unwrap();
    let behind = Datagram { revision: 1, body: Some(ping) };
    assert!(harness.peers[0].send(&behind, to));
    timeout(ARRIVAL_TIMEOUT, harness.worker.link.readable()).await.unwrap().unwrap();
    harness.worker.receive_datagrams().unwrap();
    harness.receive_at_peer(0, is_pong).await;
}

#[tokio::test]
async fn offer_ejected_upstream() {
    // Only homes know how many upstreams are ejected. An ejected upstream takes a flow if its home
    // says that too few others are left.
    for needs_ejected in [false, true] {
        let mut harness = Harness::open().await;
        let now = clock::now();
        for failure in 0..20 {
            let at = now + Duration::from_millis(failure);
            harness.worker.limit.record_failure(at, at);
        }
        assert!(harness.worker.limit.is_ejected(clock::now()));
        let port = harness.port_at_home(Harness::id(0));
        let (packet, _) = harness.packet(port, CALLER_ISN, 0, SYN, b"");
        let offer = Offer { packet, patience_ms: 1000, needs_ejected, ..Offer::default() };
        harness.send_from_peer(0, Body::Offer(offer)).await;
        assert_eq!(harness.worker.table.is_empty(), !needs_ejected);
    }
}

#[tokio::test]
async fn full_waits_for_room() {
    // A flow that finds no slot waits at its home, and is offered to the first upstream with room.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(vm::id("vm-0"));
    harness.place_while_full(port).await;
    assert!(Harness::is_silent(&harness.caller).await, "the flow was refused");
    harness.drain().await;
    harness.send_from_peer(1, Body::Room(Room {})).await;
    let is_offer = |body| matches!(body, Body::Offer(_)).then_some(());
    harness.receive_at_peer(1, is_offer).await;
}

#[tokio::test]
async fn full_refused_when_expired() {
    // The caller has stopped to wait: the flow is given up. Its first packet may have reached other
    // members by then, so that nothing is said.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(vm::id("vm-0"));
    harness.place_while_full(port).await;
    let flow = harness.flow(port);
    let offer = harness.worker.directory.offer_mut(&flow).unwrap();
    offer.age_at_arrival = Duration::from_secs(2);
    offer.sent_at = clock::now().checked_sub(Duration::from_secs(1)).unwrap();
    harness.worker.tick();
    assert!(harness.worker.directory.get(&flow).is_none());
    assert!(Harness::is_silent(&harness.caller).await);
}

#[tokio::test]
async fn held_past_its_time() {
    // A packet that was held for longer than its caller waits is not offered to any upstream.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(vm::id("vm-0"));
    let (packet, _) = harness.packet(port, CALLER_ISN, 0, SYN, b"");
    let late = Forward { packet, hops: 1, held_ms: 5000, ..Forward::default() };
    harness.send_from_peer(0, Body::Forward(late)).await;
    assert!(harness.worker.directory.get(&harness.flow(port)).is_none());
    assert!(Harness::is_silent(&harness.upstream).await);
}

#[tokio::test]
async fn waiting_without_route() {
    // The route of a flow that waits for room was removed: its record must not stay for good.
    let mut harness = Harness::open().await;
    let mut flow = harness.flow(1000);
    flow.service.set_port(SERVICE.1 + 1);
    let received_at = clock::now().checked_sub(Duration::from_secs(1)).unwrap();
    let offer = connection::Offer::new(Bytes::new(), "a".into(), 0, received_at);
    harness.worker.directory.insert_offer(flow, offer);
    harness.worker.tick();
    assert!(harness.worker.directory.get(&flow).is_none());
}

#[tokio::test]
async fn search_without_upstream() {
    // The VM lost power, and its upstream has not come back. The agent is no member then, but homes
    // wait for its answer until its former lease has ended.
    let mut harness = Harness::open().await;
    harness.worker.is_member = false;
    harness.worker.upstream = Upstream::new(harness.worker.settings.heartbeat);
    let port = harness.port_at_home(Harness::id(0));
    let (request, flow) = (harness.request(port, OTHER_UPSTREAM_ISN), harness.flow(port));
    let search = || Forward { packet: request.clone(), search: true, ..Forward::default() };
    let miss = |body| match body {
        Body::Unknown(unknown) if unknown.searched => Some(unknown.flow),
        _ => None,
    };
    harness.send_from_peer(0, Body::Forward(search())).await;
    let early = harness.receive_at_peer(0, miss);
    assert!(timeout(SILENCE_WAIT, early).await.is_err(), "the upstream may still report");
    harness.worker.settings.heartbeat = Duration::from_millis(1);
    harness.worker.started = clock::now().checked_sub(Duration::from_secs(1)).unwrap();
    harness.send_from_peer(0, Body::Forward(search())).await;
    assert_eq!(harness.receive_at_peer(0, miss).await, Some(flow.into()));
}

#[tokio::test]
async fn full_refused_under_overload() {
    // Long after an outage, a flow that finds no slot is refused at once: under lasting overload it
    // would wait in vain, or take the place of another.
    let mut harness = Harness::open().await;
    harness.worker.serving_since = clock::now().checked_sub(Duration::from_mins(1));
    let port = harness.port_at_home(vm::id("vm-0"));
    harness.place_while_full(port).await;
    assert_eq!(Harness::receive(&harness.caller).await[12], RST);
}

/// Lets the agent handle a report of its upstream. Returns whether it was acknowledged.
async fn report_upstream(harness: &mut Harness, report: UpstreamReport) -> bool {
    let (acknowledge, acknowledged) = tokio::sync::oneshot::channel();
    harness.worker.handle_upstream_report(Delivery::Report(report, acknowledge));
    acknowledged.await.is_ok()
}

#[tokio::test]
async fn report_of_other_process() {
    // One report like the upstream's own but for its start reset the open flows of the upstream.
    let mut harness = Harness::open().await;
    harness.open_flow(1001, 0).await;
    for (instance, started_ms) in [("i-1", u64::MAX - 1), ("i-1", 0), ("i-2", u64::MAX)] {
        let other = UpstreamReport { instance: instance.into(), started_ms, ..upstream_report() };
        assert!(!report_upstream(&mut harness, other).await, "acknowledged, but not applied");
    }
    assert!(report_upstream(&mut harness, UpstreamReport::gone("i-1".into())).await);
    harness.worker.sweep();
    assert!(harness.worker.table.get(&harness.flow(1001)).is_some());
    assert!(Harness::is_silent(&harness.caller).await, "a flow of a live upstream was reset");
}

#[tokio::test]
async fn report_of_successor() {
    // The upstream has crashed and started again. Callers of its former process are told as soon as the
    // upstream returns a packet, and keep the flows that the new process has answered.
    let mut harness = Harness::open().await;
    for port in [1001, 1002] {
        harness.open_flow(port, 0).await;
        harness.send_from_peer(0, forward(harness.request(port, UPSTREAM_ISN))).await;
        assert_eq!(Harness::receive(&harness.upstream).await[12], ACK);
    }
    let successor = UpstreamReport { instance: "i-2".into(), ..upstream_report() };
    assert!(!report_upstream(&mut harness, successor).await);
    harness.open_flow(1003, 0).await;
    let mut returned = harness.request(1002, UPSTREAM_ISN).to_vec();
    returned[12] |= RETURNED;
    harness.send_from_upstream(&returned).await;
    assert_eq!(Harness::receive(&harness.caller).await[12], RST);
    let held: Vec<bool> = [1001, 1002, 1003]
        .map(|port| harness.worker.table.get(&harness.flow(port)).is_some())
        .to_vec();
    assert_eq!(held, [false, false, true]);
}

#[tokio::test]
async fn record_unconfirmed_then_confirmed() {
    // Until the caller acknowledges the upstream, other members know the flow only as accepted.
    let mut harness = Harness::open().await;
    // The home has placed the flow in place of the other peer, which keeps its record.
    let port = harness.port_at_home(Harness::id(1));
    harness.open_flow(port, 0).await;
    let flow = harness.flow(port);
    let expected = record(flow, harness.worker.own_id);
    harness.worker.outbox.retain(|_, _| false);
    harness.worker.queue_opened(&flow, 0);
    harness.worker.tick();
    let accepted = harness.receive_at_peer(1, opened_records).await;
    assert_eq!(accepted, [Record { unconfirmed: true, ..expected.clone() }]);
    harness.worker.outbox.retain(|_, _| false);
    harness.send_from_peer(0, forward(harness.request(port, UPSTREAM_ISN))).await;
    harness.worker.tick();
    assert_eq!(harness.receive_at_peer(1, opened_records).await, [expected]);
}

#[tokio::test]
async fn adopt_unconfirmed() {
    // Copies of a first packet were accepted by several agents, which all took the flow over when they
    // started again. Packets of the open flow reached their upstreams, while its own agent was down.
    let mut harness = Harness::open().await;
    harness.worker.is_recovering = true;
    let flow = harness.flow(1001);
    let accepted = Record { unconfirmed: true, ..record(flow, harness.worker.own_id) };
    let report = Body::Report(Report { opened: vec![accepted], ..Report::default() });
    harness.send_from_peer(0, report).await;
    assert!(harness.worker.table.get(&flow).is_none(), "taken over, though not confirmed");
    // Nor does this agent let another one take over a flow that it has only accepted.
    let (peer, other) = (Harness::id(0), harness.flow(1002));
    harness.worker.directory.record_acceptance(other, peer, CALLER_ISN);
    let pool = harness.worker.pool.clone().unwrap();
    assert!(harness.worker.records_for(&pool, peer).is_empty());
    harness.worker.directory.record_owner(other, peer, CALLER_ISN);
    assert_eq!(harness.worker.records_for(&pool, peer), [record(other, peer)]);
}

#[tokio::test]
async fn confirmed_after_restart() {
    // The agent stopped between the upstream's answer and the caller's confirmation. Its next process
    // asks the upstream before it gives the flow up.
    let mut harness = Harness::open().await;
    harness.worker.upstream = Upstream::new(harness.worker.settings.heartbeat);
    let port = harness.port_at_home(Harness::id(0));
    let (request, flow) = (harness.request(port, UPSTREAM_ISN), harness.flow(port));
    let from_home = Forward { packet: request.clone(), hops: 0, ..Forward::default() };
    harness.send_from_peer(0, Body::Forward(from_home)).await;
    assert_eq!(Harness::receive(&harness.upstream).await, request);
    let caller = ([127, 0, 0, 1], port);
    let answer = encode(SERVICE, caller, (UPSTREAM_ISN + 1, CALLER_ISN + 9), ACK, b"answer");
    harness.send_from_upstream(&answer).await;
    assert_eq!(Harness::receive(&harness.caller).await, answer);
    assert!(harness.worker.table.get(&flow).is_some_and(connection::State::is_confirmed));
}

#[tokio::test]
async fn acknowledged_before_answer() {
    // The caller acknowledges another upstream, before the agent's own has answered its first packet.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(Harness::id(0));
    let (packet, _) = harness.packet(port, CALLER_ISN, 0, SYN, b"");
    let offer = Offer { packet, patience_ms: 1000, ..Offer::default() };
    harness.send_from_peer(0, Body::Offer(offer)).await;
    assert_eq!(Harness::receive(&harness.upstream).await[12], SYN);
    let request = harness.request(port, OTHER_UPSTREAM_ISN);
    harness.send_from_peer(0, forward(request)).await;
    assert!(Harness::is_silent(&harness.upstream).await, "a packet for another upstream");
    assert!(harness.worker.table.get(&harness.flow(port)).is_none());
}

#[tokio::test]
async fn first_packet_again_while_owner_absent() {
    // The only agent that has accepted a flow stopped before its upstream's answer reached the caller.
    // The caller's copies waited for it to return, instead of going to another upstream.
    let mut harness = Harness::open().await;
    let port = harness.port_at_home(harness.worker.own_id);
    let (flow, peer) = (harness.flow(port), Harness::id(0));
    harness.worker.directory.record_acceptance(flow, peer, CALLER_ISN);
    harness.change_members(|pool| pool.members.retain(|member| member.vm != peer));
    let (copy, _) = harness.packet(port, CALLER_ISN, 1, SYN, b"");
    harness.send_from_peer(1, forward(copy)).await;
    let is_waiting = matches!(
        harness.worker.directory.get(&flow),
        Some(connection::Record::Owned { absent_since: Some(_), .. })
    );
    assert!(!is_waiting, "waits for an agent that may never have had the flow");
}

#[tokio::test]
async fn forward_to_cached_owner() {
    // The records of a flow were lost while its owner and its home restarted. The entry still had the
    // owner in its cache, which was told to forget it, and a search sent the packet to all upstreams.
    let mut harness = Harness::open().await;
    harness.worker.upstream = Upstream::new(harness.worker.settings.heartbeat);
    let port = harness.port_at_home(Harness::id(0));
    let request = harness.request(port, OTHER_UPSTREAM_ISN);
    let cached = Forward { packet: request.clone(), hops: 2, cached: true, ..Forward::default() };
    harness.send_from_peer(0, Body::Forward(cached.clone())).await;
    assert_eq!(Harness::receive(&harness.upstream).await, request);
    let passed_on = harness.receive_at_peer(0, forwarded_packet);
    assert!(timeout(SILENCE_WAIT, passed_on).await.is_err(), "its upstream may answer");
    let mut returned = request.to_vec();
    returned[12] |= RETURNED;
    harness.send_from_upstream(&returned).await;
    harness.send_from_peer(0, Body::Forward(cached)).await;
    assert_eq!(harness.receive_at_peer(0, forwarded_packet).await, request);
    assert!(Harness::is_silent(&harness.upstream).await, "asked again");
}
