//! A resource for write tests that carries no traffic.

use hyssopdyke_wire::resource::{Class, Listener, Protocol, Resource, Service, resource::Body};

/// Returns a service that has no upstreams and no callers.
#[must_use]
pub fn unserved_service(name: &str, connections: u32) -> Resource {
    let listener = Listener {
        address: "10.100.9.9".into(),
        port: 80,
        protocol: Protocol::Tcp as i32,
        class: Class::Request as i32,
    };
    let service = Service {
        listeners: vec![listener],
        connections,
        slots: 5,
        cold_slots: 1,
        ..Service::default()
    };
    Resource { name: name.into(), body: Some(Body::Service(service)), ..Resource::default() }
}
