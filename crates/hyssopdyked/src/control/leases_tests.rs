//! Tests of the time that control waits for agents.

use hyssopdyke_wire::resource::{Resource, Upstream};

use super::*;

fn put(store: &mut Store, away: bool) {
    let upstream = Upstream { away, ..Upstream::default() };
    let body = Some(Body::Upstream(upstream));
    let revision = store.revision() + 1;
    store.put(Resource { name: "a".into(), revision, body, ..Resource::default() });
}

#[test]
fn absences_expire() {
    let mut store = Store::new();
    let mut absences = Absences::default();
    let start = Instant::now();
    put(&mut store, true);
    assert_eq!(absences.expired(&store, start), []);
    let late = start + RETURN_TIMEOUT;
    assert_eq!(absences.expired(&store, late), [unregister(Kind::Upstream, "a", 0)]);
    // An agent that was back meanwhile is waited for again.
    put(&mut store, false);
    assert_eq!(absences.expired(&store, late), []);
    put(&mut store, true);
    assert_eq!(absences.expired(&store, late), []);
}
