//! Control: accepted writes last, versions do not revert, races have one winner.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use hyssopctl::{Client, Error, Precondition};
use hyssopdyke_wire::resource::{Domain, Kind, Resource, resource::Body};
use standin::{Layout, Process, ServiceLayout, Tally, unserved_service};
use support::{Bench, PATIENCE, wait};

fn layout(control: u8) -> Layout {
    let services = vec![ServiceLayout::new("dispatch", 3)];
    Layout { control, services, ..Layout::default() }
}

fn write(client: &Client, name: &str, connections: u32) -> Resource {
    let key = Client::idempotency_key();
    client
        .put(Kind::Service, &unserved_service(name, connections), Precondition::None, &key)
        .unwrap()
}

fn connections(client: &Client, name: &str) -> u32 {
    match client.get(Kind::Service, name).unwrap().body {
        Some(Body::Service(service)) => service.connections,
        other => panic!("{other:?}"),
    }
}

fn leader(client: &Client) -> Box<str> {
    client.members().unwrap().leader.unwrap()
}

/// Asserts that no process has gone back to an earlier revision.
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
fn write_leaderkilled() {
    let mut bench = Bench::start("write_leaderkilled", layout(3));
    for round in 1..=3 {
        let client = bench.cluster.client().clone();
        write(&client, "probe", round);
        let killed = leader(&client);
        bench.cluster.process(&killed).unwrap().kill().unwrap();
        assert_eq!(connections(&client, "probe"), round, "an accepted write is lost");
        assert_ne!(leader(&client), killed);
        let written = write(&client, "probe", round + 100);
        client.wait(written.revision, PATIENCE).unwrap();
        bench.cluster.restart(&killed).unwrap();
    }
    assert_monotonic(&bench);
}

#[test]
fn write_allrestart() {
    let mut bench = Bench::start("write_allrestart", layout(3));
    let client = bench.cluster.client().clone();
    write(&client, "probe", 7);
    for name in ["control-1", "control-2", "control-3"] {
        bench.cluster.process(name).unwrap().kill().unwrap();
    }
    for name in ["control-1", "control-2", "control-3"] {
        bench.cluster.restart(name).unwrap();
    }
    assert_eq!(connections(&client, "probe"), 7);
    bench.cluster.wait_in_force(PATIENCE).unwrap();
    assert_monotonic(&bench);
}

#[test]
fn write_race() {
    let mut bench = Bench::start("write_race", layout(3));
    let client = bench.cluster.client().clone();
    let first = write(&client, "probe", 1);
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
    // A repeat gets the first answer, also from another leader and after a later change.
    let winner = winners[0];
    let (_, answer) = results.into_iter().find(|(index, _)| *index == winner).unwrap();
    write(&client, "probe", 500);
    bench.cluster.process(&leader(&client)).unwrap().kill().unwrap();
    let (resource, key) = (unserved_service("probe", 10 + winner), format!("race-{winner}"));
    let repeat = client.put(Kind::Service, &resource, precondition, &key).unwrap();
    assert_eq!(repeat, answer.unwrap());
    assert_eq!(connections(&client, "probe"), 500, "a repeat was applied again");
}

#[test]
fn read_leaderfrozen() {
    let mut bench = Bench::start("read_leaderfrozen", layout(3));
    let client = bench.cluster.client().clone();
    write(&client, "probe", 1);
    let frozen = leader(&client);
    bench.cluster.process(&frozen).unwrap().freeze().unwrap();
    write(&client, "probe", 2);
    bench.cluster.process(&frozen).unwrap().thaw().unwrap();
    // The former leader must not answer from its old state.
    for _ in 0..20 {
        assert_eq!(connections(&client, "probe"), 2);
    }
    bench.cluster.wait_in_force(PATIENCE).unwrap();
    assert_monotonic(&bench);
}

#[test]
fn disk_lost() {
    let mut bench = Bench::start("disk_lost", layout(3));
    let client = bench.cluster.client().clone();
    for round in 0..20 {
        write(&client, "probe", 1 + round);
    }
    let lost = if &*leader(&client) == "control-2" { "control-3" } else { "control-2" };
    bench.cluster.process(lost).unwrap().kill().unwrap();
    std::fs::remove_dir_all(bench.cluster.folder().join(format!("{lost}.data"))).unwrap();
    bench.cluster.restart(lost).unwrap();
    // The repaired VM gets its vote back by itself; a second loss then loses nothing.
    wait("the repaired VM is admitted", || {
        let leader = leader(&client);
        bench.events(&leader, "voters change") > 0
    });
    write(&client, "probe", 77);
    let second = leader(&client);
    bench.cluster.process(&second).unwrap().kill().unwrap();
    assert_eq!(connections(&client, "probe"), 77);
    write(&client, "probe", 78);
    assert_eq!(connections(&client, "probe"), 78);
}

#[test]
fn disk_lostbymajority() {
    let mut bench = Bench::start("disk_lostbymajority", layout(3));
    let client = bench.cluster.client().clone().with_retry_timeout(Duration::from_secs(3));
    write(&client, "probe", 1);
    // Two VMs that have lost their disks must not form a system of their own.
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
fn folder_secondprocess() {
    let bench = Bench::start("folder_secondprocess", layout(1));
    let folder = bench.cluster.folder().to_path_buf();
    let config = folder.join("control-1.ini");
    let arguments = ["control".as_ref(), "--config".as_ref(), config.as_os_str()];
    let binary = env!("CARGO_BIN_EXE_hyssopdyked").as_ref();
    let mut second = Process::spawn(binary, arguments, folder.join("second.log")).unwrap();
    assert_eq!(second.wait(PATIENCE).unwrap().unwrap().code(), Some(1));
    let log = std::fs::read_to_string(folder.join("second.log")).unwrap();
    assert!(log.contains("in use by another process"), "{log}");
}

#[test]
fn traffic_nocontrol() {
    let mut bench = Bench::start("traffic_nocontrol", layout(1));
    bench.streams(10, Duration::from_secs(9));
    bench.wait_established(10);
    bench.cluster.process("control-1").unwrap().kill().unwrap();
    // Twice the length of a lease: the daemons go on because they hear each other.
    bench.requests(240, Duration::from_millis(25));
    assert_eq!(bench.finish(), Tally { whole: 250, ..Tally::default() });
    bench.cluster.restart("control-1").unwrap();
    bench.cluster.wait_in_force(PATIENCE).unwrap();
    bench.requests(10, Duration::from_millis(10));
    assert_eq!(bench.finish(), Tally { whole: 260, ..Tally::default() });
    bench.assert_sound();
    assert_monotonic(&bench);
}

#[test]
fn burst_withrestarts() {
    let mut bench = Bench::start("burst_withrestarts", layout(3));
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
        last = write(&client, "probe", 1 + round).revision;
    }
    client.wait(last, PATIENCE).unwrap();
    bench.cluster.wait_in_force(PATIENCE).unwrap();
    assert_monotonic(&bench);
}

#[test]
fn watch_resumes() {
    let bench = Bench::start("watch_resumes", layout(1));
    let client = bench.cluster.client();
    let first = write(client, "probe", 1);
    let mut watch = client.watch(first.revision - 1).unwrap();
    let page = watch.next().unwrap().unwrap();
    assert_eq!(page.resources, std::slice::from_ref(&first));
    let second = write(client, "probe", 2);
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
fn write_manywhilerenewed() {
    // Each write makes every daemon renew its lease at once, so that renewals read the state while
    // the next write waits for it.
    let bench = Bench::start("write_manywhilerenewed", layout(1));
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
    client.wait(revision, PATIENCE).unwrap();
}
