//! Bytes that no peer would send, at every socket.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use bytes::BytesMut;
use etherparse::PacketBuilder;
use hyssopdyke_wire::datagram::{Datagram, Forward, datagram::Body};
use hyssopdyke_wire::{Key, Purpose};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::{Cluster, Layout, ServiceLayout, Tally};
use support::{Bench, wait};

/// Addresses that a log's first event names under a key.
fn address(bench: &Bench, vm: &str, key: &str) -> SocketAddr {
    let log = std::fs::read_to_string(bench.cluster.folder().join(format!("{vm}.log"))).unwrap();
    let event: serde_json::Value = serde_json::from_str(log.lines().next().unwrap()).unwrap();
    event[key].as_str().unwrap().parse().unwrap()
}

fn noise(random: &mut SmallRng) -> Vec<u8> {
    let length = random.random_range(0..3000);
    (0..length).map(|_| random.random()).collect()
}

/// A packet of a caller to an address and port.
fn packet(source_port: u16, service: (Ipv4Addr, u16), payload: &[u8]) -> Vec<u8> {
    let ip = PacketBuilder::ipv4([10, 66, 0, 1], service.0.octets(), 64);
    let mut bytes = Vec::new();
    ip.udp(source_port, service.1).write(&mut bytes, payload).unwrap();
    bytes
}

#[test]
fn forward_foreignservice() {
    // A peer that is wrong about a service's members must not make an agent deliver to it.
    let services = vec![ServiceLayout::new("dispatch", 1), ServiceLayout::new("survey", 1)];
    let bench = Bench::start("forward_foreignservice", Layout { services, ..Layout::default() });
    let key = Key::derive(Cluster::passphrase(), Purpose::Datagram);
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = address(&bench, "dispatch-1", "peers");
    let send = |body: Body| {
        let mut sealed = BytesMut::new();
        key.seal(&Datagram { revision: 0, body: Some(body) }, &mut sealed);
        sender.send_to(&sealed, target).unwrap();
    };
    let forward = |service| {
        let packet = packet(4000, service, b"x").into();
        Body::Forward(Forward { packet, hops: 2, ..Forward::default() })
    };
    for _ in 0..20 {
        send(forward(bench.cluster.stream_address(1)));
    }
    // The same for its own service arrives, so the foreign ones have come before it.
    send(forward(bench.cluster.stream_address(0)));
    wait("the own packet arrives", || bench.cluster.upstream_stats()["dispatch-1"].packets > 0);
    let all_stats = bench.cluster.upstream_stats();
    assert_eq!((all_stats["dispatch-1"].packets, all_stats["dispatch-1"].foreign_packets), (1, 0));
    assert_eq!(all_stats["survey-1"].packets, 0);
}

#[test]
fn datagrams_oneowner() {
    // Copies of a UDP flow's datagrams through two entries all reach one upstream.
    const FLOWS: u16 = 40;
    let bench = Bench::single("datagrams_oneowner", 3);
    let service = bench.cluster.stream_address(0);
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for round in 0..5 {
        for flow in 0..FLOWS {
            for entry in 0..2 {
                let bytes = packet(5000 + flow, service, &[round]);
                sender.send_to(&bytes, bench.cluster.entry_address(entry)).unwrap();
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let sources = || -> Vec<usize> {
        let all_stats = bench.cluster.upstream_stats();
        all_stats.values().map(|stats| stats.sources.len()).collect()
    };
    wait("every flow has an owner", || sources().iter().sum::<usize>() >= usize::from(FLOWS));
    let total: u64 = bench.cluster.upstream_stats().values().map(|stats| stats.packets).sum();
    assert!(total >= u64::from(FLOWS) * 5, "{total} packets");
    assert_eq!(sources().iter().sum::<usize>(), usize::from(FLOWS), "{:?}", sources());
}

#[test]
fn sockets_noise() {
    let mut bench = Bench::single("sockets_noise", 2);
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
        datagrams.iter().map(|(vm, key)| address(&bench, vm, key)).collect();
    let streams: Vec<SocketAddr> =
        ["sessions", "api"].iter().map(|key| address(&bench, "control-1", key)).collect();
    bench.streams(5, Duration::from_secs(4));
    for _ in 0..300 {
        for target in &targets {
            let _ = sender.send_to(&noise(&mut random), target);
        }
        for target in &streams {
            let mut stream = TcpStream::connect(target).unwrap();
            // The peer may close before all is written.
            let _ = stream.write_all(&noise(&mut random));
        }
    }
    bench.requests(50, Duration::from_millis(5));
    assert_eq!(bench.finish(), Tally { whole: 55, ..Tally::default() });
    for vm in ["entry-1", "entry-2", "dispatch-1", "dispatch-2", "control-1"] {
        assert!(bench.cluster.process(vm).unwrap().is_running().unwrap(), "{vm} has ended");
    }
    assert!(bench.events("dispatch-1", "datagrams of no peer") > 0);
    bench.assert_sound();
}
