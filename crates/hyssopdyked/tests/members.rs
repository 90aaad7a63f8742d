//! Control VMs that find each other by seeds, and take each other's place.

#![allow(clippy::unwrap_used)]

mod support;

use hyssopctl::Client;
use standin::{Layout, ServiceLayout};
use support::{Bench, PATIENCE, wait};

const DOMAIN: &str = "fj-west-a";

fn bench(name: &str) -> Bench {
    let services = vec![ServiceLayout::new("dispatch", 2)];
    Bench::start(name, Layout { control: 3, has_seeds: true, services, ..Layout::default() })
}

/// Names of the voters, as a control VM of those the client asks sees them.
fn voters(client: &Client) -> Vec<Box<str>> {
    let members = client.members().map(|members| members.voters).unwrap_or_default();
    members.into_iter().map(|voter| voter.name).collect()
}

fn name(bench: &Bench, index: u8) -> Box<str> {
    bench.cluster.control_ip(index).to_string().into()
}

fn kill(bench: &mut Bench, index: u8) {
    bench.cluster.process(&format!("control-{}", index + 1)).unwrap().kill().unwrap();
}

/// Whether an operator's write is carried out.
fn writes(client: &Client) -> bool {
    use hyssopctl::Precondition;
    use hyssopdyke_wire::resource::{Domain, Kind, Resource, resource::Body};
    let body = Some(Body::Domain(Domain { out: false }));
    let resource = Resource { name: DOMAIN.into(), body, ..Resource::default() };
    let key = Client::idempotency_key();
    client.put(Kind::Domain, &resource, Precondition::None, &key).is_ok()
}

#[test]
fn members_replacedtwice() {
    // One control VM after another is gone for good, and an empty one comes at another address.
    // After each replacement any one of those that are left may be lost.
    let mut bench = bench("members_replacedtwice");
    let mut alive = vec![0, 1, 2];
    for (gone, new) in [(2, 3), (0, 4)] {
        kill(&mut bench, gone);
        alive.retain(|index| *index != gone);
        bench.cluster.add_control_vm(new).unwrap();
        alive.push(new);
        let client = bench.cluster.client_of(alive.clone());
        let expected: Vec<Box<str>> = alive.iter().map(|index| name(&bench, *index)).collect();
        wait("the new control VM has the vote of the one that is gone", || {
            let mut voters = voters(&client);
            let mut expected = expected.clone();
            voters.sort();
            expected.sort();
            voters == expected
        });
        wait("writes are carried out", || writes(&client));
    }
    // Of 1, 3 and 4 any one may be lost now.
    kill(&mut bench, 1);
    let client = bench.cluster.client_of([3, 4]);
    wait("writes are carried out by two that came later", || writes(&client));
    bench.requests(20, std::time::Duration::from_millis(10));
    let tally = bench.finish();
    assert_eq!(tally.whole, 20, "{tally:?}");
}

#[test]
fn members_wiped() {
    // A control VM that has lost its disk has no vote until it holds all that was acknowledged,
    // and then gets its own back; whereupon another may be lost.
    let mut bench = bench("members_wiped");
    let client = bench.cluster.client_of([0, 1, 2]);
    assert!(writes(&client));
    kill(&mut bench, 1);
    bench.cluster.wipe_control("control-2").unwrap();
    bench.cluster.restart("control-2").unwrap();
    let admitted = || {
        let events = |vm| bench.events(vm, "voters change");
        events("control-1") + events("control-3") > 0
    };
    wait("the emptied control VM is admitted", admitted);
    kill(&mut bench, 0);
    let client = bench.cluster.client_of([1, 2]);
    wait("writes are carried out", || writes(&client));
    assert_eq!(voters(&client).len(), 3);
}

#[test]
fn members_standby() {
    // A control VM that nobody needs gets no vote, so that the others' majority stays small.
    let mut bench = bench("members_standby");
    bench.cluster.add_control_vm(3).unwrap();
    let client = bench.cluster.client_of([0, 1, 2]);
    wait("the standby follows", || bench.events("control-4", "following") > 0);
    assert!(writes(&client));
    assert_eq!(voters(&client).len(), 3);
    assert!(!voters(&client).contains(&name(&bench, 3)));
}

#[test]
fn members_handover() {
    // A leader that is asked to stop lets another lead before it goes.
    let mut bench = bench("members_handover");
    let client = bench.cluster.client_of([0, 1, 2]);
    let leader = client.members().unwrap().leader.unwrap();
    let index = (0..3).find(|index| name(&bench, *index) == leader).unwrap();
    let vm = format!("control-{}", index + 1);
    bench.cluster.process(&vm).unwrap().terminate().unwrap();
    let status = bench.cluster.process(&vm).unwrap().wait(PATIENCE).unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    assert_eq!(bench.events(&vm, "handing over"), 1);
    let log = std::fs::read_to_string(bench.cluster.folder().join(format!("{vm}.log"))).unwrap();
    let followed = log.lines().filter(|line| line.contains("\"event\":\"following\"")).count();
    assert!(followed >= 1, "the leader stopped before it had a successor");
}
