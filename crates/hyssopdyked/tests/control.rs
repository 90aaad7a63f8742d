//! Tests of control: accepted writes are durable, revisions are monotonic, and concurrent writes have
//! one winner.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use hyssopctl::{Client, Error, Precondition};
use hyssopdyke_wire::resource::{Domain, Kind, Resource, resource::Body};
use standin::{Layout, Process, ServiceLayout, Tally, unserved_service};
use support::{Bench, TIMEOUT, wait_for};

fn layout(control: u8) -> Layout {
    let services = vec![ServiceLayout::new("dispatch", 3)];
    Layout { control, services, ..Layout::default() }
}

fn put_service(client: &Client, name: &str, connections: u32) -> Resource {
    let key = Client::idempotency_key();
    client
        .put(Kind::Service, &unserved_service(name, connections), Precondition::None, &key)
        .unwrap()
}

fn get_connections(client: &Client, name: &str) -> u32 {
    match client.get(Kind::Service, name).unwrap().body {
        Some(Body::Service(service)) => service.connections,
        other => panic!("{other:?}"),
    }
}

fn get_leader(client: &Client) -> Box<str> {
    client.members().unwrap().leader.unwrap()
}

/// Asserts that no process has returned to an earlier revision.
fn assert_monotonic(bench: &Bench) {
    for file in std::fs::read_dir(bench.cluster.folder()).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let mut last = (0, 0);
        for line in std::fs::read_to_string(&path).unwrap().lines() {
            let event: serde_json::Value = serde_json::from_str(line).unwrap();
            if event["event"] != "revision in use" {
                continue;
            }
            let (pid, revision) =
                (event["pid"].as_u64().unwrap(), event["revision"].as_u64().unwrap());
            assert!(pid != last.0 || revision >= last.1, "{}: {line}", path.display());
            last = (pid, revision);
        }
    }
}

#[test]
fn write_leader_killed() {
    let mut bench = Bench::start("write_leader_killed", layout(3));
    for round in 1..=3 {
        let client = bench.cluster.client().clone();
        put_service(&client, "probe", round);
        let killed = get_leader(&client);
        bench.cluster.process(&killed).unwrap().kill().unwrap();
        assert_eq!(get_connections(&client, "probe"), round, "an accepted write is lost");
        assert_ne!(get_leader(&client), killed);
        let written = put_service(&client, "probe", round + 100);
        client.wait(written.revision, TIMEOUT).unwrap();
        bench.cluster.restart(&killed).unwrap();
    }
    assert_monotonic(&bench);
}

#[test]
fn write_all_restarted() {
    let mut bench = Bench::start("write_all_restarted", layout(3));
    let client = bench.cluster.client().clone();
    put_service(&client, "probe", 7);
    for name in ["control-1", "control-2", "control-3"] {
        bench.cluster.process(name).unwrap().kill().unwrap();
    }
    for name in ["control-1", "control-2", "control-3"] {
        bench.cluster.restart(name).unwrap();
    }
    assert_eq!(get_connections(&client, "probe"), 7);
    bench.cluster.wait_in_force(TIMEOUT).unwrap();
    assert_monotonic(&bench);
}

#[test]
fn write_race() {
    let mut bench = Bench::start("write_race", layout(3));
    let client = bench.cluster.client().clone();
    let first = put_service(&client, "probe", 1);
    let precondition = Precondition::Generation(first.generation);
    let results: Vec<_> = std::thread::scope(|scope| {
        let writers = (0..4).map(|index| {
            let client = client.clone();
            scope.spawn(move || {
                let key = format!("race-{index}");
                let resource = unserved_service("probe", 10 + index);
                (index, client.put(Kind::Service, &resource, precondition, &key))
            })
        });
        let writers: Vec<_> = writers.collect();
        writers.into_iter().map(|writer| writer.join().unwrap()).collect()
    });
    let winners: Vec<u32> =
        results.iter().filter(|(_, result)| result.is_ok()).map(|(index, _)| *index).collect();
    assert_eq!(winners.len(), 1, "{results:?}");
    for (_, result) in &results {
        if let Err(Error::Conflict(problem)) = result {
            let current = problem.current.as_ref().unwrap();
            assert!(current.generation > first.generation);
        } else {
            assert!(result.is_ok(), "{result:?}");
        }
    }
    // A retry gets the answer of the first request, even from another leader and after a later
    // change.
    let winner = winners[0];
    let (_, answer) = results.into_iter().find(|(index, _)| *index == winner).unwrap();
    put_service(&client, "probe", 500);
    bench.cluster.process(&get_leader(&client)).unwrap().kill().unwrap();
    let (resource, key) = (unserved_service("probe", 10 + winner), format!("race-{winner}"));
    let retry = client.put(Kind::Service, &resource, precondition, &key).unwrap();
    assert_eq!(retry, answer.unwrap());
    assert_eq!(get_connections(&client, "probe"), 500, "the retry was applied again");
}

#[test]
fn read_leader_frozen() {
    let mut bench = Bench::start("read_leader_frozen", layout(3));
    let client = bench.cluster.client().clone();
    put_service(&client, "probe", 1);
    let frozen = get_leader(&client);
    bench.cluster.process(&frozen).unwrap().freeze().unwrap();
    put_service(&client, "probe", 2);
    bench.cluster.process(&frozen).unwrap().thaw().unwrap();
    // The former leader must not answer reads from its old state.
    for _ in 0..20 {
        assert_eq!(get_connections(&client, "probe"), 2);
    }
    bench.cluster.wait_in_force(TIMEOUT).unwrap();
    assert_monotonic(&bench);
}

#[test]
fn disk_lost() {
    let mut bench = Bench::start("disk_lost", layout(3));
    let client = bench.cluster.client().clone();
    for round in 0..20 {
        put_service(&client, "probe", 1 + round);
    }
    let lost = if &*get_leader(&client) == "control-2" { "control-3" } else { "control-2" };
    bench.cluster.process(lost).unwrap().kill().unwrap();
    std::fs::remove_dir_all(bench.cluster.folder().join(format!("{lost}.data"))).unwrap();
    bench.cluster.restart(lost).unwrap();
    // The repaired VM gets its vote back automatically. Then the loss of another VM loses no data.
    wait_for("the repaired VM gets its vote", || {
        let leader = get_leader(&client);
        bench.count_events(&leader, "voters change") > 0
    });
    put_service(&client, "probe", 77);
    let second = get_leader(&client);
    bench.cluster.process(&second).unwrap().kill().unwrap();
    assert_eq!(get_connections(&client, "probe"), 77);
    put_service(&client, "probe", 78);
    assert_eq!(get_connections(&client, "probe"), 78);
}

#[test]
fn disk_lost_by_majority() {
    let mut bench = Bench::start("disk_lost_by_majority", layout(3));
    let client = bench.cluster.client().clone().with_retry_timeout(Duration::from_secs(3));
    put_service(&client, "probe", 1);
    // Two VMs that have lost their disks must not form a new system.
    for name in ["control-1", "control-2"] {
        bench.cluster.process(name).unwrap().kill().unwrap();
        std::fs::remove_dir_all(bench.cluster.folder().join(format!("{name}.data"))).unwrap();
    }
    bench.cluster.process("control-3").unwrap().kill().unwrap();
    for name in ["control-1", "control-2"] {
        bench.cluster.restart(name).unwrap();
    }
    assert!(matches!(client.status(), Err(Error::Unavailable(_))));
}

#[test]
fn folder_second_process() {
    let bench = Bench::start("folder_second_process", layout(1));
    let folder = bench.cluster.folder().to_path_buf();
    let config = folder.join("control-1.ini");
    let arguments = ["control".as_ref(), "--config".as_ref(), config.as_os_str()];
    let binary = env!("CARGO_BIN_EXE_hyssopdyked").as_ref();
    let mut second = Process::spawn(binary, arguments, folder.join("second.log")).unwrap();
    assert_eq!(second.wait(TIMEOUT).unwrap().unwrap().code(), Some(1));
    let log = std::fs::read_to_string(folder.join("second.log")).unwrap();
    assert!(log.contains("in use by another process"), "{log}");
}

#[test]
fn traffic_without_control() {
    let mut bench = Bench::start("traffic_without_control", layout(1));
    bench.start_streams(10, Duration::from_secs(9));
    bench.wait_established(10);
    bench.cluster.process("control-1").unwrap().kill().unwrap();
    // The requests take 6 s, twice the length of a lease. The daemons continue because they receive
    // each other's messages.
    bench.send_requests(240, Duration::from_millis(25));
    assert_eq!(bench.wait_finished(), Tally { whole: 250, ..Tally::default() });
    bench.cluster.restart("control-1").unwrap();
    bench.cluster.wait_in_force(TIMEOUT).unwrap();
    bench.send_requests(10, Duration::from_millis(10));
    assert_eq!(bench.wait_finished(), Tally { whole: 260, ..Tally::default() });
    bench.assert_invariants();
    assert_monotonic(&bench);
}

#[test]
fn writes_with_restarts() {
    let mut bench = Bench::start("writes_with_restarts", layout(3));
    let client = bench.cluster.client().clone();
    let mut last = 0;
    for round in 0..150 {
        match round {
            20 => bench.cluster.process("entry-1").unwrap().kill().unwrap(),
            40 => bench.cluster.process("dispatch-1").unwrap().kill().unwrap(),
            100 => bench.cluster.restart("entry-1").unwrap(),
            110 => bench.cluster.restart("dispatch-1").unwrap(),
            _ => {}
        }
        last = put_service(&client, "probe", 1 + round).revision;
    }
    client.wait(last, TIMEOUT).unwrap();
    bench.cluster.wait_in_force(TIMEOUT).unwrap();
    assert_monotonic(&bench);
}

#[test]
fn watch_resumes() {
    let bench = Bench::start("watch_resumes", layout(1));
    let client = bench.cluster.client();
    let first = put_service(client, "probe", 1);
    let mut watch = client.watch(first.revision - 1).unwrap();
    let page = watch.next().unwrap().unwrap();
    assert_eq!(page.resources, std::slice::from_ref(&first));
    let second = put_service(client, "probe", 2);
    let page = watch.next().unwrap().unwrap();
    assert_eq!((page.after, page.resources), (first.revision, vec![second.clone()]));
    let mut resumed = client.watch(first.revision).unwrap();
    assert_eq!(resumed.next().unwrap().unwrap().resources, [second]);
    assert!(matches!(client.watch(9999), Err(Error::Refused(problem)) if problem.code == "gone"));
}

#[test]
fn write_invalid() {
    let bench = Bench::start("write_invalid", layout(1));
    let client = bench.cluster.client();
    let mut clash = unserved_service("other", 5);
    if let Some(Body::Service(body)) = &mut clash.body {
        body.listeners[0].address = "10.100.0.1".into();
    }
    let mut slots = unserved_service("other", 5);
    if let Some(Body::Service(body)) = &mut slots.body {
        body.cold_slots = 9;
    }
    let cases = [
        (unserved_service("bad name", 1), "400"),
        (unserved_service("other", 0), "connections: 0 is not between 1 and 1000000"),
        (slots, "cold_slots: 9 is not between 1 and 5"),
        (clash, "listeners: 10.100.0.1:80 also belongs to service dispatch"),
    ];
    for (resource, expected) in cases {
        let key = Client::idempotency_key();
        let result = client.put(Kind::Service, &resource, Precondition::None, &key);
        let shown = result.map_err(|error| error.to_string()).unwrap_err();
        assert!(shown.contains(expected) || expected == "400", "{shown}");
    }
    assert!(client.get(Kind::Service, "other").is_err());
}

#[test]
fn write_during_renewals() {
    // Each write makes every daemon renew its lease at once, so that renewals read the state while
    // the next write waits for access to it.
    let bench = Bench::start("write_during_renewals", layout(1));
    let client = bench.cluster.client().clone();
    let writers = (0..4).map(|writer| {
        let client = client.clone();
        std::thread::spawn(move || {
            for round in 0..150 {
                let body = Some(Body::Domain(Domain { out: round % 2 == 0 }));
                let name = format!("domain-{writer}");
                let resource = Resource { name, body, ..Resource::default() };
                let key = Client::idempotency_key();
                client.put(Kind::Domain, &resource, Precondition::None, &key).unwrap();
            }
        })
    });
    for writer in writers.collect::<Vec<_>>() {
        writer.join().unwrap();
    }
    let revision = client.status().unwrap().revision;
    client.wait(revision, TIMEOUT).unwrap();
}
