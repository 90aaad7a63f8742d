//! EVAC: daemons beside targets are killed in a deployment whose manifests have taken many routes
//! away; later a zone is emptied.

use std::net::Ipv4Addr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::clients::{Clients, Habit};
use crate::deployment::{Class, Deployment, Layout, Machine};
use crate::http;
use crate::manifest::{self, Route};
use crate::record::Record;
use crate::targets::Targets;

const SERVICE: &str = "cuedesk";

/// As on the installation, with fewer machines of the classes `edge` and `side`.
const LAYOUT: Layout = Layout {
    zones: &["dkr-plateau", "dkr-medina", "dkr-ouakam", "dkr-yoff"],
    services: &[SERVICE],
    core: 5,
    edge: 4,
    side: 12,
    tolerance: 2,
    heartbeat_ms: 1200,
};

/// Share of the side machines whose daemons are killed at the same moment.
const KILLED_SHARE: f64 = 0.34;

/// Routes that come with each manifest and go with the next.
const PASSING_ROUTES: usize = 350;
const CHANGES: u64 = 14;
const CHANGE_GAP: Duration = Duration::from_millis(350);

const RESTART_DELAY: Duration = Duration::from_millis(500);
const EVACUATE: Duration = Duration::from_millis(5000);
const SETTLE: Duration = Duration::from_secs(12);
const OBSERVED: Duration = Duration::from_secs(9);
/// One request in each flow.
const HABIT: Habit = Habit { flows_per_s: 250, requests: 1, pause: Duration::ZERO };

/// Span in which no request may reach a target of a zone.
struct Span {
    zone: &'static str,
    from: Instant,
    to: Instant,
}

pub(crate) fn play(root: &Path, folder: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let mut deployment = Deployment::start(LAYOUT, root, folder, record)?;
    let targets = Targets::start(&deployment, record)?;
    let operators = deployment.operator_addresses();
    let put = |version: u64| {
        let body = encode(&deployment, version);
        http::order(&operators, "PUT", "/hyssopdyke/config", &body)?;
        record.line(&format!("operator: manifest {version} is acknowledged"));
        Ok::<(), String>(())
    };
    put(1)?;
    deployment.wait_ready()?;
    sleep(Duration::from_secs(3));
    let clients = Clients::start(&deployment, HABIT, record)?;
    for version in 2..=CHANGES + 1 {
        put(version)?;
        sleep(CHANGE_GAP);
    }
    sleep(Duration::from_secs(4));
    let (answered, unanswered) = clients.counts();
    record.line(&format!("before: {answered} requests answered, {unanswered} not"));
    if answered < 10 * unanswered.max(10) {
        return Err("the deployment does not serve".to_owned());
    }

    let count = (f64::from(LAYOUT.side) * KILLED_SHARE) as u8;
    let killed: Vec<Machine> = (0..count).map(|number| (Class::Side, number)).collect();
    if has_trouble {
        deployment.kill(&killed)?;
        sleep(RESTART_DELAY);
        for machine in &killed {
            deployment.start_process(*machine)?;
        }
        record.line("the killed processes are started again");
    }
    sleep(SETTLE);

    let mut spans = Vec::new();
    for zone in LAYOUT.zones {
        let path = format!("/hyssopdyke/evacuations/{zone}");
        http::order(&operators, "POST", &path, "")?;
        let acknowledged = Instant::now();
        record.line(&format!("operator: evacuation of {zone} is acknowledged"));
        sleep(EVACUATE + OBSERVED);
        spans.push(Span { zone, from: acknowledged + EVACUATE, to: Instant::now() });
        record.line(&format!("operator: takes {zone} back"));
        http::order(&operators, "DELETE", &path, "")?;
        sleep(Duration::from_secs(1));
    }
    clients.stop();
    targets.stop();
    let (answered, unanswered) = clients.counts();
    record.line(&format!("at the end: {answered} requests answered, {unanswered} not"));
    let ended = deployment.ended();
    record.line(&format!("processes that ended by themselves: {ended:?}"));

    let mut broken = 0;
    for run in targets.runs() {
        let Some(sent) = clients.sent_at(&run.id) else { continue };
        let is_in = |at: Instant, span: &Span| span.from < at && at < span.to;
        let span = spans
            .iter()
            .find(|span| span.zone == run.zone && is_in(sent, span) && is_in(run.opening_at, span));
        if let Some(span) = span {
            broken += 1;
            let late = run.opening_at.duration_since(span.from) + EVACUATE;
            record.line(&format!(
                "EVAC: {} reached the target on {} {} ms after the evacuation's ack",
                run.id,
                deployment.name((Class::Side, run.side)),
                late.as_millis()
            ));
        }
    }
    record.line(&format!("requests that reached an emptied zone too late: {broken}"));
    Ok(broken > 0)
}

/// Returns the manifest of a version: the route that has traffic, those without, and passing ones.
fn encode(deployment: &Deployment, version: u64) -> String {
    let (host, port) = (*deployment.route().ip(), deployment.route().port());
    let mut routes = vec![Route { name: "main".to_owned(), host, port, service: SERVICE }];
    routes.extend(manifest::idle_routes(SERVICE));
    let passing = (0..PASSING_ROUTES).filter(|_| version > 1).map(|index| Route {
        name: format!("p{version}-{index}"),
        host: Ipv4Addr::new(127, 1, 1 + (index / 200) as u8, (index % 200) as u8 + 1),
        port: 9000 + version as u16,
        service: SERVICE,
    });
    routes.extend(passing);
    manifest::encode(version, &routes, &[SERVICE])
}
