//! FLOW: one manifest moves a route to another service and no longer declares the former one, whose
//! targets go on.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::clients::{Clients, Habit};
use crate::deployment::{Deployment, Layout};
use crate::http;
use crate::manifest::{self, Route};
use crate::record::Record;
use crate::targets::Targets;

const FORMER: &str = "dispatch";
const LATTER: &str = "dispatch-b";

const LAYOUT: Layout = Layout {
    zones: &["fj-west-a", "fj-west-b", "fj-west-c"],
    services: &[FORMER, LATTER],
    core: 3,
    edge: 4,
    side: 12,
    tolerance: 1,
    heartbeat_ms: 770,
};

/// Flows that last for some ten seconds.
const HABIT: Habit = Habit { flows_per_s: 5, requests: 20, pause: Duration::from_millis(500) };

pub(crate) fn play(root: &Path, folder: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let mut deployment = Deployment::start(LAYOUT, root, folder, record)?;
    let targets = Targets::start(&deployment, record)?;
    let operators = deployment.operator_addresses();
    let put = |version: u64, service: &'static str, services: &[&str]| {
        let (host, port) = (*deployment.route().ip(), deployment.route().port());
        let mut routes = vec![Route { name: "main".to_owned(), host, port, service }];
        routes.extend(manifest::idle_routes(LATTER));
        let body = manifest::encode(version, &routes, services);
        http::order(&operators, "PUT", "/hyssopdyke/config", &body)?;
        record.line(&format!(
            "operator: manifest {version} is acknowledged: route to {service}, services {services:?}"
        ));
        Ok::<(), String>(())
    };
    put(1, FORMER, &[FORMER, LATTER])?;
    deployment.wait_ready()?;
    sleep(Duration::from_secs(3));
    let clients = Clients::start(&deployment, HABIT, record)?;
    sleep(Duration::from_secs(10));
    let (answered, unanswered) = clients.counts();
    record.line(&format!("before: {answered} requests answered, {unanswered} not"));
    if answered < 100 || unanswered > 0 || clients.resets() > 0 {
        return Err("the deployment does not serve".to_owned());
    }
    if has_trouble {
        put(2, LATTER, &[LATTER])?;
    } else {
        put(2, FORMER, &[FORMER, LATTER])?;
    }
    sleep(Duration::from_secs(12));
    clients.stop();
    targets.stop();
    let (answered, unanswered) = clients.counts();
    let ended = deployment.ended();
    record.line(&format!("processes that ended by themselves: {ended:?}"));
    record.line(&format!(
        "at the end: {answered} requests answered, {unanswered} not, {} open flows reset",
        clients.resets()
    ));
    Ok(clients.resets() > 0)
}
