//! The cases.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use crate::client::Phase;
use crate::record::Record;
use crate::system::{Failure, Layout, SERVICE, System};
use crate::target::{Opening, Target};

const ROUTE_PORT: u16 = 8443;

/// Warm-up of the manifest, and the bounds of the settings.
const WARMUP: Duration = Duration::from_secs(4);
const WARMUP_PER_S: f64 = 4.0;
const WARMUP_FACTOR: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;
const FLOW_MAX: Duration = Duration::from_secs(60);

pub type Verdict = (bool, String);

pub fn run(case: &str, has_trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    match case {
        "restarted-target" => restarted_target(has_trouble, record),
        "idle-flow" => idle_flow(has_trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

fn manifest(version: u64, host: Ipv4Addr, warmup_per_s: f64, idle_ms: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-a3hwrr6\",\"host\":\"{host}\",\
         \"path_prefix\":\"/{ROUTE_PORT}/\",\"type\":\"idempotent\",\"timeout_ms\":6000,\
         \"slo_latency_ms\":100,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":2000,\
         \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":{:.1},\"warmup_per_s\":{warmup_per_s:.1}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":{idle_ms}}}}}",
        WARMUP.as_secs_f64()
    )
}

/// Opens short flows at a steady rate for some seconds.
fn open_for(system: &System, route: SocketAddrV4, seconds: f64, per_s: f64) {
    let start = Instant::now();
    let mut opened = 0.0;
    while start.elapsed().as_secs_f64() < seconds {
        while opened < start.elapsed().as_secs_f64() * per_s {
            system.clients.open(route, None);
            opened += 1.0;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Judges FAILBACK for one boot of a target: the most opening packets that it took while cold, that
/// were sent and arrived inside one second.
fn failback(system: &System, target: &Target) -> Verdict {
    let limit = WARMUP_PER_S * WARMUP_FACTOR + WARMUP_SLACK;
    let openings = target.openings.lock().unwrap().clone();
    let mut cold: Vec<(Instant, Instant)> = openings
        .iter()
        .filter(|opening| opening.is_cold)
        .filter_map(|opening| {
            let copies = system.clients.visit(opening.port, |flow| flow.copies.clone())?;
            Some((*copies.get(opening.copy as usize)?, opening.at))
        })
        .collect();
    cold.sort();
    for (sent, arrived) in &cold {
        let since = |at: &Instant| (*at - system.record.start).as_millis();
        system.record.line(&format!(
            "target {} took, while cold, a flow sent at {} ms, arrived at {} ms",
            target.place.name, since(sent), since(arrived)
        ));
    }
    let second = Duration::from_secs(1);
    let most = cold.iter().map(|(from, _)| {
        cold.iter().filter(|(sent, arrived)| sent >= from && *arrived < *from + second).count()
    });
    let most = most.max().unwrap_or(0);
    let is_unanswered = |opening: &&Opening| {
        let phase = system.clients.visit(opening.port, |flow| flow.phase);
        opening.is_cold && phase == Some(Phase::TimedOut)
    };
    let unanswered = openings.iter().filter(is_unanswered).count();
    let ended = system.ended();
    let is_broken = most as f64 > limit;
    let text = format!(
        "FAILBACK: a cold target took {most} new flows in one second, {limit} are allowed; {} \
         answers; {unanswered} of the flows that it took while cold got no answer in time, and {} \
         flows in all; processes that ended by themselves: {ended:?}",
        system.clients.answers(),
        system.clients.count(Phase::TimedOut)
    );
    (is_broken, text)
}

/// A target crashes and is back, cold, half a second later.
fn restarted_target(has_trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    const FLOWS_PER_S: f64 = 350.0;
    const LIMIT: Duration = Duration::from_secs(1);
    let layout = Layout { entries: 4, sides: 8 };
    let document = |host| manifest(7, host, WARMUP_PER_S, 15_000);
    let (system, targets) = System::start(layout, document, LIMIT, record)?;
    let route = system.route(ROUTE_PORT);
    for _ in 0..120 {
        system.clients.open(route, Some(Duration::from_millis(500)));
    }
    open_for(&system, route, 5.0, FLOWS_PER_S);
    let mut judged = targets[0].clone();
    if has_trouble {
        targets[0].crash();
        open_for(&system, route, 0.5, FLOWS_PER_S);
        let first_report = std::env::var("FIRST_REPORT_MS").ok().and_then(|ms| ms.parse().ok());
        let first_report = Duration::from_millis(first_report.unwrap_or(600));
        judged = system.start_target(0, Some(WARMUP), first_report)?;
    }
    open_for(&system, route, 6.0, FLOWS_PER_S);
    Ok(failback(&system, &judged))
}

/// Two entries of four are killed while flows are nearly as long silent as the manifest allows.
fn idle_flow(has_trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    const IDLE_MS: u32 = 15_000;
    const FLOWS: usize = 600;
    const LIMIT: Duration = Duration::from_secs(4);
    let pause = Duration::from_millis(14_800);
    let layout = Layout { entries: 4, sides: 3 };
    let document = |host| manifest(7, host, 0.0, IDLE_MS);
    let (system, targets) = System::start(layout, document, LIMIT, record)?;
    let route = system.route(ROUTE_PORT);
    let start = Instant::now();
    let mut ports = Vec::new();
    while start.elapsed() < pause {
        let due = start.elapsed().as_secs_f64() / pause.as_secs_f64() * FLOWS as f64;
        while (ports.len() as f64) < due {
            ports.push(system.clients.open(route, Some(pause)));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    sleep(3.0);
    let open = system.clients.count(Phase::Open);
    if open < ports.len() {
        return Err(format!("only {open} of {} flows are open before the disruption", ports.len()));
    }
    if has_trouble {
        let killed = [1, 2];
        for index in killed {
            system.kill(&System::name("edge", index));
        }
        sleep(2.0);
        for index in killed {
            system.start_entry(index)?;
        }
    }
    sleep(14.0);
    let held = |port: &u16| targets.iter().any(|t| t.opened.lock().unwrap().contains_key(port));
    let is_broken = |port: &u16| {
        let idle = Duration::from_millis(IDLE_MS.into());
        let is_reset = |flow: &crate::client::Flow| {
            let age = flow.reset_at.map(|at| at - flow.started);
            let is_young = age.is_some_and(|age| age < FLOW_MAX);
            flow.phase == Phase::Reset && is_young && flow.idle_before < idle
        };
        held(port) && system.clients.visit(*port, is_reset) == Some(true)
    };
    let broken = ports.iter().filter(|port| is_broken(port)).count();
    let text = format!(
        "FLOW: {broken} of {open} open flows got a reset that their live targets did not send; \
         {} requests got no answer in time; processes that ended by themselves: {:?}",
        system.clients.count(Phase::TimedOut),
        system.ended()
    );
    Ok((broken > 0, text))
}
