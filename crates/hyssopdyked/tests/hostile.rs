//! Bytes that no peer would send, at every socket.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::Tally;
use support::Bench;

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
