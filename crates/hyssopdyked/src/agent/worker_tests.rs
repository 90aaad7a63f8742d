//! One agent among stand-ins of its peers, its upstream and a caller.

use std::net::SocketAddr;
use std::time::Duration;

use hyssopdyke::process::{Phase, UpstreamReport};
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke::version::Store;
use hyssopdyke_platform::PlatformCodec;
use hyssopdyke_wire::datagram::{
    Datagram, Forward, Offer, Owner, Report, Stage, Unknown, datagram::Body,
};
use hyssopdyke_wire::resource::{
    self, Class, Listener, Protocol, Resource, Route, Service, Split, resource::Body as Kind,
};
use hyssopdyke_wire::{Key, Purpose};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use super::*;
use crate::settings::{Cluster, Log, LogFormat, PacketFormat, Vm};

const PASSPHRASE: &str = "for tests only, long";

/// Identity of the agent's process.
const BOOT: u64 = 7;

/// Time in which a datagram on loopback has come, also beside load.
const ARRIVAL: Duration = Duration::from_secs(20);

/// Time in which a datagram that is not sent would have come.
const SILENCE: Duration = Duration::from_millis(100);

const SYN: u8 = 2;
const ACK: u8 = 4;
const RST: u8 = 64;
const BOUNCED: u8 = 128;

/// Address and port of the service.
const SERVICE: ([u8; 4], u16) = ([198, 18, 0, 1], 443);

/// Sequence number of the caller's first packet.
const FIRST: u32 = 100;

/// Sequence number of the first packet of the agent's upstream, and of another one.
const OWN: u32 = 500;
const OTHER: u32 = 900;

struct Rig {
    worker: Worker<PlatformCodec>,
    /// Stand-ins of the other members, in the order of `vm-1`, `vm-2`.
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

/// A service of three members with one route.
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
            boot: BOOT + index as u64,
            ..resource::Upstream::default()
        };
        put(&format!("vm-{index}"), 3 + index as u64, Kind::Upstream(upstream));
    }
    store
}

impl Rig {
    async fn open() -> Self {
        let (own, peers) = (link(), vec![link(), link()]);
        let links = std::iter::once(&own).chain(&peers);
        let addresses: Vec<_> = links.map(|link| link.local_addr().unwrap()).collect();
        let upstream = UdpSocket::bind(loopback()).await.unwrap();
        let caller = UdpSocket::bind(loopback()).await.unwrap();
        let common = Common {
            vm: Vm { name: "vm-0".into(), domain: "d".into(), address: loopback().ip() },
            cluster: Cluster { passphrase: PASSPHRASE.into(), control: Vec::new() },
            log: Log {
                level: slog::Level::Critical,
                format: LogFormat::Json,
                statsd: None,
                metrics: None,
            },
        };
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
        let membership = Membership::with_lease(BOOT, "d", &store(&addresses), events.clone());
        let (_, reports) = mpsc::channel(1);
        let answers = Tunnel::bind(loopback()).unwrap();
        let sockets = Sockets { link: own, answers, reports };
        let border = PlatformCodec { caller_port: caller.local_addr().unwrap().port() };
        let mut worker =
            Worker::new(border, &common, settings, BOOT, sockets, membership, metrics, events);
        worker.is_fresh = false;
        worker.view_changed();
        let (acknowledge, _) = tokio::sync::oneshot::channel();
        worker.reported_by_upstream(Delivery::Report(report(), acknowledge));
        let mut rig = Self { worker, peers, upstream, caller };
        // Also lets the runtime see that the sockets can be written to.
        rig.drain().await;
        for (peer, stage) in
            [(0, Stage::Records), (0, Stage::Own), (1, Stage::Records), (1, Stage::Own)]
        {
            let epoch = rig.worker.pool.as_ref().unwrap().epoch;
            let stage = stage as i32;
            rig.tell(peer, Body::Report(Report { epoch, parts: 1, stage, ..Report::default() }))
                .await;
        }
        rig.drain().await;
        rig
    }

    /// The identity of a stand-in.
    fn id(peer: usize) -> vm::Id {
        vm::id(&format!("vm-{}", peer + 1))
    }

    /// A port of the caller whose flow has a given member for its home.
    fn port_at_home(&self, home: vm::Id) -> u16 {
        let pool = self.worker.pool.clone().unwrap();
        let is_there = |port: &u16| {
            let hash = self.worker.hash(&self.flow(*port));
            pool.home(hash).is_some_and(|member| member.vm == home)
        };
        (1000..u16::MAX).find(is_there).unwrap()
    }

    fn flow(&self, port: u16) -> Flow {
        self.packet(port, FIRST, 0, SYN, b"").1.inbound_flow()
    }

    /// A packet of the caller.
    fn packet(&self, port: u16, seq: u32, ack: u32, flags: u8, data: &[u8]) -> (Bytes, Packet) {
        let caller = ([127, 0, 0, 1], port);
        let bytes = encode(caller, SERVICE, (seq, ack), flags, data);
        let packet = self.worker.border.parse(&bytes).unwrap();
        (bytes, packet)
    }

    /// What the caller sends once it goes on with the upstream that has answered with `number`.
    fn request(&self, port: u16, number: u32) -> Bytes {
        self.packet(port, FIRST + 1, number + 1, ACK, b"question").0
    }

    /// Lets a stand-in send a message, and the agent take it.
    async fn tell(&mut self, peer: usize, body: Body) {
        let to = self.worker.link.local_addr().unwrap();
        let message = Datagram { revision: self.worker.membership.revision(), body: Some(body) };
        assert!(self.peers[peer].send(&message, to));
        timeout(ARRIVAL, self.worker.link.readable()).await.unwrap().unwrap();
        self.worker.receive_batch().unwrap();
    }

    /// Lets the upstream send a packet, and the agent take it.
    async fn answer(&mut self, packet: &[u8]) {
        let to = self.worker.answers.local_addr().unwrap();
        self.upstream.send_to(packet, to).await.unwrap();
        timeout(ARRIVAL, self.worker.answers.readable()).await.unwrap().unwrap();
        self.worker.answer_batch().unwrap();
    }

    /// The next message for a stand-in that `choose` takes.
    async fn heard<T>(&mut self, peer: usize, choose: impl Fn(Body) -> Option<T>) -> T {
        let link = &mut self.peers[peer];
        let wanted = async {
            loop {
                link.readable().await.unwrap();
                while let Some((message, _)) = link.try_recv().unwrap() {
                    if let Some(found) = message.unwrap().body.and_then(&choose) {
                        return found;
                    }
                }
            }
        };
        timeout(ARRIVAL, wanted).await.unwrap()
    }

    /// Drops all that was sent so far.
    async fn drain(&mut self) {
        let mut bytes = [0; 2048];
        for peer in &mut self.peers {
            while let Ok(Ok(())) = timeout(SILENCE, peer.readable()).await {
                while peer.try_recv().unwrap().is_some() {}
            }
        }
        while self.upstream.try_recv(&mut bytes).is_ok() {}
        while self.caller.try_recv(&mut bytes).is_ok() {}
    }

    /// The next packet at a socket.
    async fn next(socket: &UdpSocket) -> Vec<u8> {
        let mut bytes = vec![0; 2048];
        let length = timeout(ARRIVAL, socket.recv(&mut bytes)).await.unwrap().unwrap();
        bytes.truncate(length);
        bytes
    }

    async fn is_silent(socket: &UdpSocket) -> bool {
        timeout(SILENCE, socket.recv(&mut [0; 2048])).await.is_err()
    }

    /// Opens a flow at the agent's upstream, at the offer of a stand-in.
    async fn take_flow(&mut self, port: u16, home: usize) {
        let (packet, _) = self.packet(port, FIRST, 0, SYN, b"");
        let offer = Offer { packet, patience_ms: 1000, ..Offer::default() };
        self.tell(home, Body::Offer(offer)).await;
        assert_eq!(Self::next(&self.upstream).await[12], SYN);
        self.answer(&encode(SERVICE, ([127, 0, 0, 1], port), (OWN, FIRST + 1), SYN | ACK, b""))
            .await;
        assert_eq!(Self::next(&self.caller).await[12], SYN | ACK);
        self.drain().await;
    }
}

/// The platform's form of a packet.
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

/// The upstream has started after the agent.
fn report() -> UpstreamReport {
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

fn forward(packet: Bytes) -> Body {
    Body::Forward(Forward { packet, hops: 1, ..Forward::default() })
}

fn question(body: Body) -> Option<Forward> {
    match body {
        Body::Forward(forward) if forward.search => Some(forward),
        _ => None,
    }
}

fn passed(body: Body) -> Option<Bytes> {
    match body {
        Body::Forward(forward) => Some(forward.packet),
        _ => None,
    }
}

fn missed(flow: Flow, packet: Bytes) -> Body {
    Body::Unknown(Unknown { flow: Some(flow.into()), searched: true, packet })
}

#[tokio::test]
async fn search_allmiss() {
    // A caller whose flow nobody serves is reset, once every member has said so.
    let mut rig = Rig::open().await;
    let port = rig.port_at_home(rig.worker.me);
    let (request, flow) = (rig.request(port, OTHER), rig.flow(port));
    rig.tell(0, forward(request.clone())).await;
    for peer in [0, 1] {
        assert_eq!(rig.heard(peer, question).await.packet, request);
    }
    rig.tell(0, missed(flow, request.clone())).await;
    let early = rig.caller.try_recv(&mut [0; 2048]);
    assert!(early.is_err(), "reset before all members were heard");
    rig.tell(1, missed(flow, request)).await;
    let reset = Rig::next(&rig.caller).await;
    assert_eq!((reset[12], &reset[..4]), (RST, &(OTHER + 1).to_le_bytes()[..]));
}

#[tokio::test]
async fn search_newermembers() {
    // Whoever is ahead of this agent may know a member that was not asked.
    let mut rig = Rig::open().await;
    let port = rig.port_at_home(rig.worker.me);
    let (request, flow) = (rig.request(port, OTHER), rig.flow(port));
    rig.tell(0, forward(request.clone())).await;
    rig.tell(0, missed(flow, request.clone())).await;
    let to = rig.worker.link.local_addr().unwrap();
    let revision = rig.worker.membership.revision() + 1;
    let message = Datagram { revision, body: Some(missed(flow, request)) };
    assert!(rig.peers[1].send(&message, to));
    timeout(ARRIVAL, rig.worker.link.readable()).await.unwrap().unwrap();
    rig.worker.receive_batch().unwrap();
    assert!(Rig::is_silent(&rig.caller).await);
}

#[tokio::test]
async fn search_found() {
    // The report of a new flow is on its way while its caller's packet comes through the home.
    let mut rig = Rig::open().await;
    let port = rig.port_at_home(Rig::id(0));
    rig.take_flow(port, 1).await;
    let (packet, search) = (rig.request(port, OWN), true);
    let question = Forward { packet: packet.clone(), search, ..Forward::default() };
    rig.tell(0, Body::Forward(question)).await;
    assert_eq!(Rig::next(&rig.upstream).await, packet);
    let reported = |body| match body {
        Body::Report(report) => report.opened.first().cloned(),
        _ => None,
    };
    let record = rig.heard(0, reported).await;
    assert_eq!((record.owner, record.isn), (rig.worker.me, FIRST));
}

#[tokio::test]
async fn contested_callergoeson() {
    // Two upstreams have taken a flow, and the other one is on record; the caller goes on here.
    let mut rig = Rig::open().await;
    let port = rig.port_at_home(Rig::id(0));
    rig.take_flow(port, 1).await;
    let owner = Owner { flow: Some(rig.flow(port).into()), vm: Rig::id(1) };
    rig.tell(0, Body::Owner(owner)).await;
    assert_eq!(rig.worker.table.slots(), 0);
    let request = rig.request(port, OWN);
    rig.tell(1, forward(request.clone())).await;
    assert_eq!(Rig::next(&rig.upstream).await, request);
    let insists = |body| match body {
        Body::Accepted(accepted) => Some(accepted.confirmed),
        _ => None,
    };
    assert!(rig.heard(0, insists).await);
}

#[tokio::test]
async fn contested_otherupstream() {
    // As before, and the caller goes on with the other one: nobody here may reset it.
    let mut rig = Rig::open().await;
    let port = rig.port_at_home(Rig::id(0));
    rig.take_flow(port, 1).await;
    let owner = Owner { flow: Some(rig.flow(port).into()), vm: Rig::id(1) };
    rig.tell(0, Body::Owner(owner)).await;
    let request = rig.request(port, OTHER);
    rig.tell(1, forward(request.clone())).await;
    assert_eq!(rig.heard(0, passed).await, request);
    assert!(Rig::is_silent(&rig.upstream).await && Rig::is_silent(&rig.caller).await);
}

#[tokio::test]
async fn returned_middle() {
    // That this upstream does not hold a flow does not show that no other one does.
    let mut rig = Rig::open().await;
    let port = rig.port_at_home(Rig::id(0));
    rig.take_flow(port, 0).await;
    let request = rig.request(port, OWN);
    rig.tell(1, forward(request.clone())).await;
    let mut returned = Rig::next(&rig.upstream).await;
    returned[12] |= BOUNCED;
    rig.answer(&returned).await;
    assert_eq!(rig.heard(0, passed).await, request);
    assert!(Rig::is_silent(&rig.caller).await);
}

#[tokio::test]
async fn answered_lateopening() {
    // The upstream opens a flow after it was placed at another one.
    let mut rig = Rig::open().await;
    let port = rig.port_at_home(Rig::id(0));
    let opening = encode(SERVICE, ([127, 0, 0, 1], port), (OWN, FIRST + 1), SYN | ACK, b"");
    rig.answer(&opening).await;
    assert!(rig.worker.table.is_empty());
    assert!(Rig::is_silent(&rig.caller).await);
}

#[tokio::test]
async fn prune_farewell() {
    // A member that leaves hands over a record that another one keeps, while this agent has yet to
    // drop what it keeps no more since the last change of members.
    let mut rig = Rig::open().await;
    let flow = rig.flow(rig.port_at_home(Rig::id(1)));
    rig.worker.outbox.retain(|_, _| false);
    rig.worker.must_prune = true;
    let record = Record { flow: Some(flow.into()), isn: FIRST, owner: Rig::id(0) };
    rig.tell(0, Body::Report(Report { opened: vec![record], ..Report::default() })).await;
    rig.worker.prune();
    assert!(rig.worker.directory.get(&flow).is_some(), "a leaver's record was dropped");
}
