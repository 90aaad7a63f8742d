//! Tests with invalid input at every socket.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use bytes::BytesMut;
use etherparse::PacketBuilder;
use hyssopdyke_wire::datagram::{Datagram, Forward, datagram::Body};
use hyssopdyke_wire::resource::{Kind, Upstream, resource};
use hyssopdyke_wire::session::{Frame, Hello, Renew, frame, hello};
use hyssopdyke_wire::{Codec, Key, Purpose};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::{Cluster, Layout, ServiceLayout, Tally};
use support::{Bench, TIMEOUT, wait_for};
use tokio_util::codec::{Decoder, Encoder};

/// Returns the address that the first event of a VM's log has under a key.
fn logged_address(bench: &Bench, vm: &str, key: &str) -> SocketAddr {
    let log = std::fs::read_to_string(bench.cluster.folder().join(format!("{vm}.log"))).unwrap();
    let event: serde_json::Value = serde_json::from_str(log.lines().next().unwrap()).unwrap();
    event[key].as_str().unwrap().parse().unwrap()
}

fn random_bytes(random: &mut SmallRng) -> Vec<u8> {
    let length = random.random_range(0..3000);
    (0..length).map(|_| random.random()).collect()
}

/// Creates a UDP packet of a caller to a service.
fn caller_packet(source_port: u16, service: (Ipv4Addr, u16), payload: &[u8]) -> Vec<u8> {
    let ip = PacketBuilder::ipv4([10, 66, 0, 1], service.0.octets(), 64);
    let mut bytes = Vec::new();
    ip.udp(source_port, service.1).write(&mut bytes, payload).unwrap();
    bytes
}

#[test]
fn forward_foreign_service() {
    // A peer may have a wrong view of a service's members. The agent must not deliver packets of
    // another service to its upstream.
    let services = vec![ServiceLayout::new("dispatch", 1), ServiceLayout::new("survey", 1)];
    let bench = Bench::start("forward_foreign_service", Layout { services, ..Layout::default() });
    let key = Key::derive(Cluster::passphrase(), Purpose::Datagram);
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = logged_address(&bench, "dispatch-1", "peers");
    let send = |body: Body| {
        let mut sealed = BytesMut::new();
        key.seal(&Datagram { revision: 0, body: Some(body) }, &mut sealed);
        sender.send_to(&sealed, target).unwrap();
    };
    let forward = |service| {
        let packet = caller_packet(4000, service, b"x").into();
        Body::Forward(Forward { packet, hops: 2, ..Forward::default() })
    };
    for _ in 0..20 {
        send(forward(bench.cluster.stream_address(1)));
    }
    // The packet of the agent's own service is sent last. Its arrival shows that the foreign
    // packets were received before.
    send(forward(bench.cluster.stream_address(0)));
    wait_for("the packet of the own service arrives", || {
        bench.cluster.upstream_stats()["dispatch-1"].packets > 0
    });
    let all_stats = bench.cluster.upstream_stats();
    assert_eq!((all_stats["dispatch-1"].packets, all_stats["dispatch-1"].foreign_packets), (1, 0));
    assert_eq!(all_stats["survey-1"].packets, 0);
}

#[test]
fn datagrams_single_owner() {
    // Duplicates of a UDP flow's datagrams that pass through two entries must reach the same
    // upstream.
    const FLOWS: u16 = 40;
    let bench = Bench::start_single_service("datagrams_single_owner", 3);
    let service = bench.cluster.stream_address(0);
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for round in 0..5 {
        for flow in 0..FLOWS {
            for entry in 0..2 {
                let bytes = caller_packet(5000 + flow, service, &[round]);
                sender.send_to(&bytes, bench.cluster.entry_address(entry)).unwrap();
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let sources = || -> Vec<usize> {
        let all_stats = bench.cluster.upstream_stats();
        all_stats.values().map(|stats| stats.sources.len()).collect()
    };
    wait_for("every flow has an owner", || sources().iter().sum::<usize>() >= usize::from(FLOWS));
    let total: u64 = bench.cluster.upstream_stats().values().map(|stats| stats.packets).sum();
    assert!(total >= u64::from(FLOWS) * 5, "{total} packets");
    assert_eq!(sources().iter().sum::<usize>(), usize::from(FLOWS), "{:?}", sources());
}

/// Session of a daemon's process with control.
struct RawSession {
    stream: TcpStream,
    codec: Codec<Frame>,
    received: BytesMut,
}

impl RawSession {
    /// Announces an agent's process.
    fn open(control: SocketAddr, name: &str, boot: u64) -> Self {
        let stream = TcpStream::connect(control).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let key = Key::derive(Cluster::passphrase(), Purpose::Session);
        let mut session = Self { stream, codec: Codec::new(key), received: BytesMut::new() };
        let role = hello::Role::Upstream(Upstream {
            domain: "fj-west-a".into(),
            service: "dispatch".into(),
            address: "127.0.0.1:9".into(),
            boot,
            ..Upstream::default()
        });
        session.send(frame::Body::Hello(Hello {
            name: name.into(),
            revision: 0,
            role: Some(role),
        }));
        session
    }

    fn send(&mut self, body: frame::Body) {
        let mut bytes = BytesMut::new();
        self.codec.encode(Frame { body: Some(body) }, &mut bytes).unwrap();
        // Control may have closed the session.
        let _ = self.stream.write_all(&bytes);
    }

    /// Renews the lease. Returns whether control has granted it.
    fn renew(&mut self, sequence: u64) -> bool {
        self.send(frame::Body::Renew(Renew { sequence, ..Renew::default() }));
        let mut bytes = [0; 4096];
        loop {
            match self.codec.decode(&mut self.received).unwrap().and_then(|frame| frame.body) {
                Some(frame::Body::Granted(granted)) if granted.sequence == sequence => return true,
                Some(_) => continue,
                None => {}
            }
            match self.stream.read(&mut bytes) {
                Ok(0) | Err(_) => return false,
                Ok(length) => self.received.extend_from_slice(&bytes[..length]),
            }
        }
    }
}

#[test]
fn session_of_former_process() {
    // A renewal of a former process was held up by a partition, and arrived after the next process had
    // registered. It took that one's place, which lost its membership until its next renewal.
    let bench = Bench::start_single_service("session_of_former_process", 1);
    let control = logged_address(&bench, "control-1", "sessions");
    let mut former = RawSession::open(control, "agent-x", 1);
    assert!(former.renew(1));
    let mut present = RawSession::open(control, "agent-x", 2);
    assert!(present.renew(1));
    assert!(!former.renew(2), "a former process was registered again");
    assert!(present.renew(2));
    let client = bench.cluster.client_of([0]);
    let registered = client.get(Kind::Upstream, "agent-x").unwrap();
    assert!(
        matches!(&registered.body, Some(resource::Body::Upstream(upstream)) if upstream.boot == 2),
        "{registered:?}"
    );
}

#[test]
fn sockets_random_bytes() {
    let mut bench = Bench::start_single_service("sockets_random_bytes", 2);
    let mut random = SmallRng::seed_from_u64(7);
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let datagrams = [
        ("entry-1", "fabric"),
        ("entry-1", "peers"),
        ("entry-2", "peers"),
        ("dispatch-1", "peers"),
        ("dispatch-1", "answers"),
        ("dispatch-2", "peers"),
    ];
    let targets: Vec<SocketAddr> =
        datagrams.iter().map(|(vm, key)| logged_address(&bench, vm, key)).collect();
    let streams: Vec<SocketAddr> =
        ["sessions", "api"].iter().map(|key| logged_address(&bench, "control-1", key)).collect();
    bench.start_streams(5, Duration::from_secs(4));
    for _ in 0..300 {
        for target in &targets {
            let _ = sender.send_to(&random_bytes(&mut random), target);
        }
        for target in &streams {
            let mut stream = TcpStream::connect(target).unwrap();
            // The peer may close the connection before the write ends.
            let _ = stream.write_all(&random_bytes(&mut random));
        }
    }
    bench.send_requests(50, Duration::from_millis(5));
    assert_eq!(bench.wait_finished(), Tally { whole: 55, ..Tally::default() });
    for vm in ["entry-1", "entry-2", "dispatch-1", "dispatch-2", "control-1"] {
        assert!(bench.cluster.process(vm).unwrap().is_running().unwrap(), "{vm} has ended");
    }
    assert!(bench.count_events("dispatch-1", "datagrams of no peer") > 0);
    bench.assert_invariants();
}
