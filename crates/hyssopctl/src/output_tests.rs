use hyssopctl::{Members, Voter};
use hyssopdyke_wire::resource::{
    Acknowledgement, Domain, Kind, Resource, Route, Service, Split, State, Status, Upstream, Usage,
    resource::Body,
};

use super::{describe, removal, summary};

fn daemon(name: &str, revision: u64, usage: Usage) -> Acknowledgement {
    Acknowledgement { name: name.into(), kind: 3, revision, usage: Some(usage) }
}

fn members(count: usize) -> Members {
    let voter = |n| Voter {
        name: format!("c{n}").into(),
        address: "127.0.0.1:1".into(),
        identity: "00".into(),
    };
    Members { leader: Some("c0".into()), term: 1, voters: (0..count).map(voter).collect() }
}

#[test]
fn summary_healthy() {
    let status =
        Status { revision: 4, in_force: 4, daemons: vec![daemon("a", 4, Usage::default())] };
    assert_eq!(
        summary(&status, &members(3), &[], &[]),
        ["Revision 4 is in force on 1 daemons.", "c0 leads 3 control VMs.",]
    );
}

#[test]
fn summary_problems() {
    let ejected = Usage { ejected: true, connections: 9, ..Usage::default() };
    let daemons = vec![daemon("a", 3, Usage::default()), daemon("b", 4, ejected)];
    let status = Status { revision: 4, in_force: 3, daemons };
    let domain = Body::Domain(Domain { out: true });
    let domain = Resource { name: "d".into(), body: Some(domain), ..Resource::default() };
    let state = State::Draining as i32;
    let upstream = Body::Upstream(Upstream { state, ..Upstream::default() });
    let upstream = Resource { name: "b".into(), body: Some(upstream), ..Resource::default() };
    assert_eq!(
        summary(&status, &members(1), &[domain], &[upstream]),
        [
            "a is behind: it uses revision 3 of 4.",
            "b is ejected: flows through its upstream fail.",
            "Failure domain d is out.",
            "b is draining; 9 flows remain.",
            "Control has a single VM: if it is lost, the configuration is lost.",
            "Revision 4 is accepted; revision 3 is in force.",
            "c0 leads 1 control VMs.",
        ]
    );
}

/// A service that was kept for its flows was shown as removed.
#[test]
fn removal_retired() {
    let written =
        |body| Resource { name: "a".into(), revision: 7, body: Some(body), ..Resource::default() };
    let retired = written(Body::Service(Service { retired: 7, ..Service::default() }));
    assert_eq!(
        removal(&retired),
        "a is retired since revision 7, and removed once its flows have ended"
    );
    assert_eq!(describe(&retired), "retired, 0 connections, 0 slots, 0 cold");
    let removed = written(Body::Deleted(Kind::Service as i32));
    assert_eq!(removal(&removed), "a is removed in revision 7");
}

#[test]
fn describe_former_services() {
    let splits = vec![Split { service: "b".into(), weight: 1000 }];
    let body = Body::Route(Route { splits, former: vec!["a".into()], ..Route::default() });
    let route = Resource { body: Some(body), ..Resource::default() };
    assert_eq!(describe(&route), "b 1000; formerly a");
}
