//! Manifests of the operator.

use std::net::Ipv4Addr;

/// Routes without traffic.
pub(crate) const IDLE_ROUTES: usize = 40;

/// A route to one service.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) name: String,
    pub(crate) host: Ipv4Addr,
    pub(crate) port: u16,
    pub(crate) service: &'static str,
}

/// Returns the routes without traffic.
pub(crate) fn idle_routes(service: &'static str) -> Vec<Route> {
    let route = |index| Route {
        name: format!("i{index}"),
        host: Ipv4Addr::new(127, 1, 0, index as u8 + 1),
        port: 8443,
        service,
    };
    (0..IDLE_ROUTES).map(route).collect()
}

/// Returns a whole manifest.
pub(crate) fn encode(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes = routes.iter().map(|Route { name, host, port, service }| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"/{port}/\",\
             \"type\":\"idempotent\",\"timeout_ms\":1000,\"slo_latency_ms\":200,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":2}}"
        )
    });
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":2000,\
             \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,\"warmup_per_s\":0.0}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    )
}
