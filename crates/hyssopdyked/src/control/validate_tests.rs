//! Properties of the checks of what operators write.

use hyssopdyke_wire::resource::{Route, Split};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn any_listener() -> impl Strategy<Value = Listener> {
    let address = prop_oneof!["127.0.0.[1-9]", "::1", "[0-9.:]{0,12}", ".{0,12}"];
    let port = prop_oneof![0..3_u32, 65_534..65_538_u32, any::<u32>()];
    (address, port, -1..5_i32, -1..5_i32).prop_map(|(address, port, protocol, class)| Listener {
        address,
        port,
        protocol,
        class,
    })
}

/// The address of a control VM was reported as that of a listener.
#[test]
fn check_member_address() {
    assert_eq!(check_member("vm-1", "127.0.0.1:5560"), Ok(()));
    let error = check_member("vm-1", "127.0.0.1").unwrap_err();
    assert_eq!(error.to_string(), "member vm-1: address \"127.0.0.1\" is not a socket address");
}

/// An operator deleted a service to which a route sent new flows.
#[test]
fn check_unused_routed() {
    let splits = [("a", 1), ("b", 0)];
    let split = |(service, weight): (&str, u32)| Split { service: service.into(), weight };
    let route = Route { splits: splits.map(split).into(), ..Route::default() };
    let mut store = Store::new();
    let body = Some(Body::Route(route));
    store.put(Resource { name: "r".into(), revision: 1, body, ..Resource::default() });
    let error = Error::ServiceInUse { service: "a".into(), route: "r".into() };
    assert_eq!(check_unused(&store, "a"), Err(error));
    assert_eq!(check_unused(&store, "b"), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A name that an operator may write fits into a path and a log line.
    #[test]
    fn check_name_any(name in prop_oneof!["[a-zA-Z0-9.-]{0,70}", ".{0,70}"]) {
        let is_valid = (1..=63).contains(&name.len())
            && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.');
        prop_assert_eq!(check_name(&name).is_ok(), is_valid);
    }

    /// A service that passes the check has numbers within their ranges, and listeners that no other
    /// service has.
    #[test]
    fn check_service_any(
        numbers in prop::array::uniform3(prop_oneof![0..3_u32, 999_999..1_000_002_u32, any::<u32>()]),
        listeners in prop::collection::vec(any_listener(), 0..3),
        used in any_listener(),
    ) {
        let mut store = Store::new();
        let other = Service { listeners: vec![used.clone()], ..Service::default() };
        store.put(Resource { name: "b".into(), revision: 1, body: Some(Body::Service(other)), ..Resource::default() });
        let [connections, slots, cold_slots] = numbers;
        let service = Service { listeners, connections, slots, cold_slots, ..Service::default() };
        if check_service(&store, "a", &service).is_err() {
            return Ok(());
        }
        prop_assert!((1..=MAX_CAPACITY).contains(&connections));
        prop_assert!(cold_slots >= 1 && cold_slots <= slots && slots <= MAX_CAPACITY);
        for listener in &service.listeners {
            prop_assert!(listener.address.parse::<IpAddr>().is_ok());
            prop_assert!((1..=65_535).contains(&listener.port));
            let place = |it: &Listener| (it.address.clone(), it.port, it.protocol);
            prop_assert_ne!(place(listener), place(&used));
        }
    }
}
