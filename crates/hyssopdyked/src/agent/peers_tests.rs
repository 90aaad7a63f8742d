//! Tests of the state that an agent has of the other members.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hyssopdyke::request::Candidate;
use hyssopdyke::version::{Member, Pool};
use hyssopdyke_wire::datagram::Load;

use super::{Peers, expected_wait};

const SECOND: Duration = Duration::from_secs(1);

fn member(vm: u64, service: &str) -> Member {
    Member {
        vm,
        name: vm.to_string().into(),
        service: service.into(),
        domain: "d".into(),
        address: ([10, 0, 0, vm as u8], 5556).into(),
        boot: vm,
        incarnation: 1,
        has_bounded_homes: true,
        is_draining: false,
    }
}

fn pool() -> Pool {
    let members = vec![member(1, "a"), member(2, "a"), member(3, "b")];
    Pool {
        epoch: 1,
        home_epoch: 1,
        homes: vec![1, 2, 3],
        services: BTreeMap::new(),
        members,
        out_members: vec![member(4, "a")],
        away: Vec::new(),
    }
}

fn ids(candidates: &[Candidate]) -> Vec<u64> {
    candidates.iter().map(|candidate| candidate.vm).collect()
}

#[test]
fn heardmembers_meandsilent() {
    let (start, pool) = (Instant::now(), pool());
    let mut peers = Peers::default();
    peers.update_members(&pool, start);
    // Any member may have opened a flow whose report is still in flight.
    assert_eq!(peers.reachable_members(&pool, 1, start).collect::<Vec<_>>(), [1, 2, 3, 4]);
    // The agent itself stays in the list, although it sends no datagrams to itself.
    let later = start + 3 * SECOND;
    peers.mark_seen(([10, 0, 0, 4], 5556).into(), later);
    assert_eq!(peers.reachable_members(&pool, 1, later).collect::<Vec<_>>(), [1, 4]);
}

#[test]
fn candidates_closedandsuspect() {
    let (start, pool) = (Instant::now(), pool());
    let mut peers = Peers::default();
    peers.update_members(&pool, start);
    assert_eq!(ids(&peers.candidates(&pool, "a", &[])), [1, 2]);
    peers.suspect(1);
    assert_eq!(ids(&peers.candidates(&pool, "a", &[])), [2]);
    assert_eq!(
        ids(&peers.candidates(&pool, "a", &[2])),
        [1],
        "a suspect is asked if there is no other member"
    );
    peers.mark_seen(([10, 0, 0, 1], 5556).into(), start);
    peers.record_load(2, Load { closed: true, ..Load::default() });
    assert_eq!(ids(&peers.candidates(&pool, "a", &[])), [1]);
}

#[test]
fn wait_bythroughput() {
    // Two slots of 20 ms each serve 100 requests per second, so the third request in the queue
    // waits 30 ms.
    let busy = Load { weight: 100_000, queue: 2, ..Load::default() };
    assert_eq!(expected_wait(&busy), Duration::from_millis(30));
    assert_eq!(expected_wait(&Load { room: 1, ..busy }), Duration::ZERO);
    let mut peers = Peers::default();
    peers.record_load(1, busy);
    peers.record_load(2, Load { weight: 300_000, queue: 4, ..Load::default() });
    let all = [Candidate { vm: 1, weight: 1 }, Candidate { vm: 2, weight: 1 }];
    assert_eq!(
        peers.shortest_wait(&all),
        Some(2),
        "the longer queue at the faster upstream has the shorter wait"
    );
}

#[test]
fn wait_unknownthroughput() {
    // An upstream that has just started has not answered yet. After an outage, flows must not queue
    // there without bound.
    let started = Load { room: 1, ..Load::default() };
    assert_eq!(expected_wait(&started), Duration::ZERO);
    let full = Load { room: 0, queue: 0, ..Load::default() };
    assert_eq!(expected_wait(&full), Duration::from_millis(50));
    assert!(expected_wait(&Load { queue: 9, ..full }) >= Duration::from_millis(500));
}

#[test]
fn room_of_unknown_load() {
    // A home that has just started knows no loads. Its flows must not wait until they come.
    let mut peers = Peers::default();
    peers.record_load(1, Load { room: 0, ..Load::default() });
    peers.record_load(2, Load { room: 3, ..Load::default() });
    let all = [1, 2, 3].map(|vm| Candidate { vm, weight: 0 });
    assert_eq!(ids(&peers.with_room(&all)), [2, 3]);
}
