//! Tests of control VMs that find each other by seeds and replace each other.

#![allow(clippy::unwrap_used)]

mod support;

use hyssopctl::Client;
use standin::{Layout, ServiceLayout};
use support::{Bench, TIMEOUT, wait_for};

const DOMAIN: &str = "fj-west-a";

fn start_bench(name: &str) -> Bench {
    let services = vec![ServiceLayout::new("dispatch", 2)];
    Bench::start(name, Layout { control: 3, has_seeds: true, services, ..Layout::default() })
}

/// Returns the names of the voters, or nothing if control does not answer.
fn voters(client: &Client) -> Vec<Box<str>> {
    let members = client.members().map(|members| members.voters).unwrap_or_default();
    members.into_iter().map(|voter| voter.name).collect()
}

fn voter_name(bench: &Bench, index: u8) -> Box<str> {
    bench.cluster.control_ip(index).to_string().into()
}

fn kill(bench: &mut Bench, index: u8) {
    bench.cluster.process(&format!("control-{}", index + 1)).unwrap().kill().unwrap();
}

/// Returns whether control accepts a write.
fn can_write(client: &Client) -> bool {
    use hyssopctl::Precondition;
    use hyssopdyke_wire::resource::{Domain, Kind, Resource, resource::Body};
    let body = Some(Body::Domain(Domain { out: false }));
    let resource = Resource { name: DOMAIN.into(), body, ..Resource::default() };
    let key = Client::idempotency_key();
    client.put(Kind::Domain, &resource, Precondition::None, &key).is_ok()
}

#[test]
fn members_replaced_twice() {
    // Control VMs are lost for good, one after another. Each is replaced by an empty VM with
    // another address. After each replacement the loss of any one VM must be tolerated.
    let mut bench = start_bench("members_replaced_twice");
    let mut alive = vec![0, 1, 2];
    for (gone, new) in [(2, 3), (0, 4)] {
        kill(&mut bench, gone);
        alive.retain(|index| *index != gone);
        bench.cluster.add_control_vm(new).unwrap();
        alive.push(new);
        let client = bench.cluster.client_of(alive.clone());
        let expected: Vec<Box<str>> =
            alive.iter().map(|index| voter_name(&bench, *index)).collect();
        wait_for("the new control VM has the vote of the lost one", || {
            let mut voters = voters(&client);
            let mut expected = expected.clone();
            voters.sort();
            expected.sort();
            voters == expected
        });
        wait_for("writes are accepted", || can_write(&client));
    }
    // The voters are now 1, 3 and 4. Any one of them may be lost.
    kill(&mut bench, 1);
    let client = bench.cluster.client_of([3, 4]);
    wait_for("writes are accepted by the two replacements", || can_write(&client));
    bench.send_requests(20, std::time::Duration::from_millis(10));
    let tally = bench.wait_finished();
    assert_eq!(tally.whole, 20, "{tally:?}");
}

#[test]
fn members_wiped() {
    // A control VM that has lost its disk has no vote until it has replicated all acknowledged
    // writes. Then it gets its vote back, and another VM may be lost.
    let mut bench = start_bench("members_wiped");
    let client = bench.cluster.client_of([0, 1, 2]);
    assert!(can_write(&client));
    kill(&mut bench, 1);
    bench.cluster.wipe_control("control-2").unwrap();
    bench.cluster.restart("control-2").unwrap();
    let is_admitted = || {
        let events = |vm| bench.count_events(vm, "voters change");
        events("control-1") + events("control-3") > 0
    };
    wait_for("the emptied control VM gets its vote", is_admitted);
    kill(&mut bench, 0);
    let client = bench.cluster.client_of([1, 2]);
    wait_for("writes are accepted", || can_write(&client));
    assert_eq!(voters(&client).len(), 3);
}

#[test]
fn members_standby() {
    // A surplus control VM gets no vote, so that the quorum stays small.
    let mut bench = start_bench("members_standby");
    bench.cluster.add_control_vm(3).unwrap();
    let client = bench.cluster.client_of([0, 1, 2]);
    wait_for("the standby follows", || bench.count_events("control-4", "following") > 0);
    assert!(can_write(&client));
    assert_eq!(voters(&client).len(), 3);
    assert!(!voters(&client).contains(&voter_name(&bench, 3)));
}

#[test]
fn members_handover() {
    // A leader that receives a stop signal hands leadership over before it ends.
    let mut bench = start_bench("members_handover");
    let client = bench.cluster.client_of([0, 1, 2]);
    let leader = client.members().unwrap().leader.unwrap();
    let index = (0..3).find(|index| voter_name(&bench, *index) == leader).unwrap();
    let vm = format!("control-{}", index + 1);
    bench.cluster.process(&vm).unwrap().terminate().unwrap();
    let status = bench.cluster.process(&vm).unwrap().wait(TIMEOUT).unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    assert_eq!(bench.count_events(&vm, "handing over"), 1);
    let log = std::fs::read_to_string(bench.cluster.folder().join(format!("{vm}.log"))).unwrap();
    let followings = log.lines().filter(|line| line.contains("\"event\":\"following\"")).count();
    assert!(followings >= 1, "the leader stopped before it had a successor");
}
