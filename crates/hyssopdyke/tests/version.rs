//! Tests of the version module: stores, replicas, the registry and views.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use hyssopdyke::version::{self, Groups, Outcome, Ranking, Registry, View};
use hyssopdyke::vm;
use hyssopdyke_wire::ledger::{Command, Declare, Forget, Register, Unregister, Write, command};
use hyssopdyke_wire::resource::{
    Class, Domain, Kind, Listener, Protocol, Resource, Route, Service, Split, State, Upstream,
    resource::Body,
};

fn domain(name: &str, out: bool) -> Resource {
    let body = Some(Body::Domain(Domain { out }));
    Resource { name: name.into(), body, ..Resource::default() }
}

fn listener(address: &str) -> Listener {
    Listener {
        address: address.into(),
        port: 80,
        protocol: Protocol::Tcp as i32,
        class: Class::Request as i32,
    }
}

fn service(name: &str) -> Resource {
    let listeners = vec![listener("10.0.0.1")];
    let service =
        Service { listeners, connections: 9, slots: 5, cold_slots: 1, ..Service::default() };
    Resource { name: name.into(), body: Some(Body::Service(service)), ..Resource::default() }
}

fn write(key: &str, expected: Option<u64>, resource: Resource) -> Command {
    let write = Write { idempotency_key: key.into(), expected, resource: Some(resource) };
    Command { body: Some(command::Body::Write(write)) }
}

fn register(name: &str, boot: u64, port: u16) -> Command {
    let upstream = Upstream {
        domain: "d".into(),
        service: "s".into(),
        address: format!("127.0.0.1:{port}"),
        boot,
        ..Upstream::default()
    };
    let body = Some(Body::Upstream(upstream));
    let resource = Some(Resource { name: name.into(), body, ..Resource::default() });
    Command { body: Some(command::Body::Register(Register { resource })) }
}

fn unregister(name: &str, boot: u64) -> Command {
    let kind = Kind::Upstream as i32;
    let unregister = Unregister { kind, name: name.into(), boot, ..Unregister::default() };
    Command { body: Some(command::Body::Unregister(unregister)) }
}

#[test]
fn write_retried() {
    let mut registry = Registry::new();
    let first = registry.apply(write("k", Some(0), domain("d", false)));
    let Outcome::Written(written) = &first else { panic!("{first:?}") };
    registry.apply(write("l", Some(written.generation), domain("d", true)));
    let mut restored = Registry::restore(registry.snapshot(9, 1));
    for registry in [&mut registry, &mut restored] {
        let revision = registry.store().revision();
        assert_eq!(registry.apply(write("k", Some(0), domain("d", false))), first);
        assert_eq!(registry.store().revision(), revision, "a retried write changed the store");
        let conflict = registry.apply(write("m", Some(written.generation), domain("d", false)));
        assert!(matches!(conflict, Outcome::Conflict(Some(current)) if current.generation == 2));
    }
}

#[test]
fn register_epochs() {
    let mut registry = Registry::new();
    registry.apply(write("k", None, service("s")));
    let epoch = |registry: &Registry| View::new(registry.store()).pool("s").unwrap().epoch;
    let first = epoch(&registry);
    registry.apply(register("a", 1, 1));
    let second = epoch(&registry);
    assert!(second > first);
    registry.apply(register("a", 1, 1));
    assert_eq!(epoch(&registry), second, "a repeated registration changed the epoch");
    registry.apply(register("a", 2, 1));
    let third = epoch(&registry);
    assert!(third > second, "a restart did not change the epoch");
    registry.apply(unregister("a", 1));
    assert_eq!(epoch(&registry), third, "a former process unregistered its successor");
    registry.apply(write("w", None, domain("d", true)));
    assert!(epoch(&registry) > third);
    assert_eq!(View::new(registry.store()).pool("s").unwrap().members, []);
    let service = registry.store().get(Kind::Service, "s").unwrap();
    assert_eq!(service.generation, 1, "a change of members changed the service's generation");
}

#[test]
fn unregister_returning() {
    // A restarting agent was forgotten at once, so that its upstream's flows counted as unknown.
    let mut registry = Registry::new();
    registry.apply(write("k", None, service("s")));
    registry.apply(register("a", 1, 1));
    let returning = |boot| {
        let (kind, name) = (Kind::Upstream as i32, "a".into());
        let unregister = Unregister { kind, name, boot, returns: true };
        Command { body: Some(command::Body::Unregister(unregister)) }
    };
    let pool = |registry: &Registry| View::new(registry.store()).pool("s").unwrap().clone();
    registry.apply(returning(1));
    let restored = Registry::restore(registry.snapshot(9, 1));
    for registry in [&registry, &restored] {
        assert_eq!((pool(registry).members.len(), &*pool(registry).away), (0, &[vm::id("a")][..]));
    }
    registry.apply(register("a", 2, 1));
    assert_eq!((pool(&registry).members.len(), pool(&registry).away.len()), (1, 0));
    registry.apply(returning(2));
    let epoch = pool(&registry).epoch;
    registry.apply(unregister("a", 0));
    assert_eq!((pool(&registry).away.len(), pool(&registry).epoch), (0, epoch));
    assert!(registry.store().get(Kind::Upstream, "a").is_none());
}

#[test]
fn unregister_draining() {
    let mut registry = Registry::new();
    registry.apply(write("k", None, service("s")));
    registry.apply(register("a", 1, 1));
    let state = State::Draining as i32;
    let body = Some(Body::Upstream(Upstream { state, ..Upstream::default() }));
    let drained = Resource { name: "a".into(), body, ..Resource::default() };
    registry.apply(write("d", None, drained));
    registry.apply(unregister("a", 1));
    assert_eq!(View::new(registry.store()).pool("s").unwrap().members.len(), 0);
    registry.apply(register("a", 2, 1));
    let view = View::new(registry.store());
    assert!(view.pool("s").unwrap().members[0].is_draining, "draining ended with a restart");
}

#[test]
fn top_two_member_removed() {
    let members: Vec<u64> = (0..7).map(|n| vm::id(&format!("vm-{n}"))).collect();
    let mut counts = BTreeMap::new();
    for flow in 0..7000_u64 {
        let hash = flow.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (first, second) = Ranking::top_two(hash, members.iter().copied());
        *counts.entry(first).or_insert(0) += 1;
        let remaining = members.iter().copied().filter(|member| *member != members[3]);
        let new_first = Ranking::top_two(hash, remaining).0;
        let expected = if first == Some(members[3]) { second } else { first };
        assert_eq!(new_first, expected);
    }
    for count in counts.values() {
        assert!((850..1150).contains(count), "{counts:?}");
    }
}

/// Creates a declaration of two services, and of one route to the services named in `to`.
fn declare(version: u64, to: &[&str]) -> Command {
    declare_only(version, to, &["a", "b"])
}

/// Declares one route to the services `to`, and `services` alone.
fn declare_only(version: u64, to: &[&str], services: &[&str]) -> Command {
    let service = |name: &str| Resource {
        name: name.into(),
        body: Some(Body::Service(Service { connections: 9, ..Service::default() })),
        ..Resource::default()
    };
    let listener = Listener {
        address: "198.18.0.1".into(),
        port: 443,
        protocol: Protocol::Tcp as i32,
        class: Class::Stream as i32,
    };
    let splits = to.iter().map(|name| Split { service: (*name).into(), weight: 1 }).collect();
    let route = Route { listener: Some(listener), splits, ..Route::default() };
    let body = Some(Body::Route(route));
    let route = Resource { name: "198.18.0.1:443".into(), body, ..Resource::default() };
    let mut resources: Vec<Resource> = services.iter().map(|name| service(name)).collect();
    resources.push(route);
    let declare =
        Declare { version, resources, document: version.to_string().into(), ..Declare::default() };
    Command { body: Some(command::Body::Declare(declare)) }
}

/// Returns the declared route.
fn route(view: &View) -> &version::Route {
    let tcp = hyssopdyke::connection::Protocol::Tcp;
    view.route("198.18.0.1:443".parse().unwrap(), tcp).unwrap()
}

#[test]
fn declare_highest_version_wins() {
    let mut registry = Registry::new();
    assert_eq!(registry.apply(declare(5, &["a"])), Outcome::Declared(5));
    let revision = registry.store().revision();
    // A retried declaration, other content with the same version, and a late declaration with a
    // lower version change nothing.
    for (version, to) in [(5, "a"), (5, "b"), (3, "b")] {
        assert_eq!(registry.apply(declare(version, &[to])), Outcome::Declared(5));
        assert_eq!(registry.store().revision(), revision);
        assert_eq!(registry.declaration().unwrap(), (5, &"5".into()));
    }
    assert_eq!(registry.apply(declare(9, &["b"])), Outcome::Declared(9));
    let restored = Registry::restore(registry.snapshot(1, 1));
    assert_eq!(restored.declaration().unwrap(), (9, &"9".into()));
}

#[test]
fn declare_route_changes_service() {
    // Flows stay with their upstreams when their route switches to another service, so homes must
    // still be chosen among the members of both services.
    let mut registry = Registry::new();
    registry.apply(declare(1, &["a"]));
    assert_eq!(Groups::new(registry.store()).group_of("b"), Some("b"));
    registry.apply(declare(2, &["b"]));
    assert_eq!(Groups::new(registry.store()).group_of("b"), Some("a"));
    let view = View::new(registry.store());
    let route = route(&view);
    assert!(route.allows("b") && !route.allows("a"));
    assert!(route.pool.services.contains_key("a"));
    let epoch = route.pool.epoch;
    assert_eq!(epoch, registry.store().revision(), "homes changed without a new epoch");
    // Later changes of the weights alone do not change homes.
    registry.apply(declare(3, &["b", "a"]));
    let view = View::new(registry.store());
    assert_eq!(view.pool("a").unwrap().epoch, epoch);
}

fn forget(upto: u64) -> Command {
    Command { body: Some(command::Body::Forget(Forget { upto })) }
}

fn delete_service(name: &str) -> Command {
    let body = Some(Body::Deleted(Kind::Service as i32));
    write(name, None, Resource { name: name.into(), body, ..Resource::default() })
}

fn services(registry: &Registry) -> Vec<String> {
    registry.store().list(Kind::Service).map(|service| service.name.clone()).collect()
}

/// Returns whether the upstreams of a service are members of the group that serves the route.
fn serves_route(registry: &Registry, service: &str) -> bool {
    let view = View::new(registry.store());
    let pool = &route(&view).pool;
    pool.services.contains_key(service) && view.pool(service) == Some(pool)
}

/// A declaration that moved a route and dropped its former service had the open flows there reset.
#[test]
fn declare_drops_former_service() {
    for declared_between in [false, true] {
        let mut registry = Registry::new();
        registry.apply(declare(1, &["a"]));
        if declared_between {
            registry.apply(declare(2, &["b"]));
        }
        registry.apply(declare_only(3, &["b"], &["b"]));
        let view = View::new(registry.store());
        let route = route(&view);
        assert!(route.allows("b") && !route.allows("a"));
        assert!(route.pool.services.contains_key("a"), "upstreams of a are no members any more");
    }
}

/// Flows of services that a route had several changes ago, and never again, were reset.
#[test]
fn declare_back_and_forth() {
    let mut registry = Registry::new();
    for (version, to) in (1..).zip(["a", "b", "a", "c", "b", "d"]) {
        registry.apply(declare_only(version, &[to], &[to]));
        let restored = Registry::restore(registry.snapshot(1, 1));
        assert_eq!(services(&restored), services(&registry));
    }
    assert_eq!(services(&registry), ["a", "b", "c", "d"]);
    for service in ["a", "b", "c", "d"] {
        assert!(serves_route(&registry, service), "{service}");
    }
    // A service that is declared again is not retired.
    registry.apply(declare_only(7, &["c"], &["c", "d"]));
    let retired = registry.store().list(Kind::Service).filter(
        |service| matches!(&service.body, Some(Body::Service(service)) if service.retired != 0),
    );
    assert_eq!(retired.map(|service| service.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
}

/// What routes keep of former services had no end.
#[test]
fn forget_former_services() {
    let mut registry = Registry::new();
    registry.apply(declare_only(1, &["a"], &["a"]));
    registry.apply(declare_only(2, &["b"], &["b"]));
    let second = registry.store().revision();
    registry.apply(declare_only(3, &["c"], &["c"]));
    assert!(!registry.has_former_services(second - 1));
    assert!(registry.has_former_services(second));
    registry.apply(forget(second));
    assert_eq!(services(&registry), ["b", "c"]);
    assert!(!registry.has_former_services(second));
    // The same command again changes nothing.
    let revision = registry.store().revision();
    registry.apply(forget(second));
    assert_eq!(registry.store().revision(), revision);
    registry.apply(forget(revision));
    assert_eq!(services(&registry), ["c"]);
    assert_eq!(Groups::new(registry.store()).members().len(), 1);
}

/// A route that has a service again starts its time anew when it leaves it.
#[test]
fn forget_service_again_former() {
    let mut registry = Registry::new();
    registry.apply(declare_only(1, &["a"], &["a"]));
    registry.apply(declare_only(2, &["b"], &["b"]));
    let second = registry.store().revision();
    registry.apply(declare_only(3, &["a"], &["a"]));
    registry.apply(declare_only(4, &["b"], &["b"]));
    registry.apply(forget(second));
    assert!(serves_route(&registry, "a"));
}

/// A link between declared services stayed for good.
#[test]
fn forget_declared_service() {
    let mut registry = Registry::new();
    registry.apply(declare(1, &["a"]));
    registry.apply(declare(2, &["b"]));
    let epoch = View::new(registry.store()).pool("b").unwrap().epoch;
    registry.apply(forget(registry.store().revision()));
    assert_eq!(services(&registry), ["a", "b"]);
    let view = View::new(registry.store());
    assert_ne!(view.pool("a"), view.pool("b"));
    assert!(view.pool("b").unwrap().epoch > epoch, "homes changed without a new epoch");
}

/// A declaration that drops the route ends what was kept of its former services.
#[test]
fn declare_drops_route_of_former_service() {
    let mut registry = Registry::new();
    registry.apply(declare_only(1, &["a"], &["a"]));
    registry.apply(declare_only(2, &["b"], &["b"]));
    let Some(command::Body::Declare(last)) = declare_only(3, &["b"], &["b"]).body else { return };
    let resources = last.resources.into_iter().filter(|resource| resource.name == "b").collect();
    let body = command::Body::Declare(Declare { resources, ..last });
    registry.apply(Command { body: Some(body) });
    assert_eq!(services(&registry), ["b"]);
}

/// More former services than there may be are evicted, oldest first, unless they have upstreams.
#[test]
fn declare_many_former_services() {
    let mut registry = Registry::new();
    let names: Vec<String> = (0..300).map(|index| format!("s{index:04}")).collect();
    registry.apply(declare_only(1, &["s0000"], &["s0000"]));
    registry.apply(register_service("agent-1", "s0000"));
    for (version, name) in (2..).zip(&names) {
        registry.apply(declare_only(version, &[name], &[name]));
    }
    let kept = services(&registry);
    assert_eq!(kept.len(), 257);
    assert_eq!(kept[..2], ["s0000", "s0044"]);
}

fn register_service(name: &str, service: &str) -> Command {
    let mut command = register(name, 1, 5562);
    if let Some(command::Body::Register(Register { resource: Some(resource) })) = &mut command.body
        && let Some(Body::Upstream(upstream)) = &mut resource.body
    {
        upstream.service = service.into();
    }
    command
}

/// An operator deleted the former service of a route, and the flows there were reset.
#[test]
fn write_deletes_former_service() {
    let mut registry = Registry::new();
    registry.apply(declare(1, &["a"]));
    registry.apply(declare(2, &["b"]));
    registry.apply(delete_service("a"));
    assert!(serves_route(&registry, "a"));
    registry.apply(delete_service("b"));
    assert!(serves_route(&registry, "b"), "a route sends its new flows there");
    registry.apply(declare_only(3, &["b"], &["b"]));
    registry.apply(forget(registry.store().revision()));
    assert_eq!(services(&registry), ["b"]);
}

/// A route took the place of a service's listener, and the flows of the service were reset.
#[test]
fn declare_route_of_listener() {
    let mut registry = Registry::new();
    let listener = Listener { port: 443, ..listener("198.18.0.1") };
    let body = Service { listeners: vec![listener], connections: 9, ..Service::default() };
    let body = Some(Body::Service(body));
    registry.apply(write("k", None, Resource { name: "a".into(), body, ..Resource::default() }));
    registry.apply(declare_only(1, &["b"], &["b"]));
    assert!(serves_route(&registry, "a"));
    assert!(!route(&View::new(registry.store())).allows("a"));
}
