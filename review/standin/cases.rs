//! The cases.

use std::time::{Duration, Instant};

use crate::client::Phase;
use crate::cluster::{BEAT, Cluster, Failure, ZONES, manifest};
use crate::net::{self, Record};

pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn seconds(count: f64) {
    std::thread::sleep(Duration::from_secs_f64(count));
}

/// Another writer sends one liveness report with a service that nobody named.
pub fn foreign_report(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let mut cluster = Cluster::start(&|host| manifest(7, host, 2.0, 0.0), record)?;
    let route = cluster.route(8443);
    cluster.open_long(route, 45)?;
    // Nothing happens for longer than stability_window_ms (4,000).
    seconds(6.0);
    let before = cluster.clients.state.lock().unwrap().broken.len();
    if before > 0 || cluster.clients.count(Phase::Open) < 45 {
        return Err("flows broke before the disruption".to_string());
    }
    if has_trouble {
        let body = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,\"born\":{}}}",
            cluster.targets[0].settings.app, ZONES[0], net::unix_ms()
        );
        let path = "/hyssopdyke/targets/i-0therwr1t";
        let second = Duration::from_secs(1);
        let answer = net::call(cluster.reports(0), "PUT", path, &body, second);
        let status = answer.ok().map(|answer| answer.status);
        record.line(&format!("another writer PUT {path} {body} -> {status:?}"));
    }
    seconds(7.0);
    cluster.summary();
    let ended = cluster.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended: {ended:?}"));
    }
    let state = cluster.clients.state.lock().unwrap();
    let resets = state.broken.iter().filter(|broken| !broken.by_target).count();
    let sent: u32 = cluster.targets.iter().map(|t| t.state.lock().unwrap().resets).sum();
    Ok(Verdict {
        is_broken: resets > 0,
        text: format!(
            "{resets} of 45 open flows got a reset that their target did not send (targets sent \
             {sent}); all targets live"
        ),
    })
}

const WARMUP_PER_S: f64 = 4.0;
const WARMUP: Duration = Duration::from_secs(4);

/// A zone's evacuation is withdrawn shortly after its target has become cold. Without the trouble,
/// the target has become cold longer before, so that a regular report has said so.
pub fn failback(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let document = |host| manifest(7, host, WARMUP.as_secs_f64(), WARMUP_PER_S);
    let mut cluster = Cluster::start(&document, record)?;
    let route = cluster.route(8443);
    let open_for = |length: f64| {
        // 90 flows a second over the three targets.
        let start = Instant::now();
        let mut count = 0;
        while start.elapsed().as_secs_f64() < length {
            cluster.clients.open(route, false);
            count += 1;
            let due = Duration::from_secs_f64(f64::from(count) / 90.0);
            std::thread::sleep(due.saturating_sub(start.elapsed()));
        }
    };
    open_for(5.0);
    let target = &cluster.targets[0];
    let path = format!("/hyssopdyke/evacuations/{}", ZONES[0]);
    let limit = Duration::from_secs(5);
    std::thread::scope(|scope| {
        let order = scope.spawn(|| cluster.order("POST", &path, "", limit));
        open_for(6.0);
        order.join().unwrap()
    })?;
    // The target becomes cold right after a regular report, so that the next one is due later.
    let start = Instant::now();
    let beats = target.state.lock().unwrap().acks;
    while target.state.lock().unwrap().acks == beats {
        if start.elapsed() > 2 * BEAT {
            return Err("the target does not report".to_string());
        }
        open_for(0.02);
    }
    let cold_from = Instant::now();
    target.state.lock().unwrap().cold_until = Some(cold_from + WARMUP);
    record.line("target t0 is cold from now on, for warmup_s (4 s)");
    if !has_trouble {
        open_for(1.6);
    }
    std::thread::scope(|scope| {
        let order = scope.spawn(|| cluster.order("DELETE", &path, "", limit));
        open_for(5.0);
        order.join().unwrap()
    })?;
    seconds(1.0);
    cluster.summary();
    let state = cluster.targets[0].state.lock().unwrap();
    let openings: Vec<Instant> = state
        .openings
        .iter()
        .map(|(at, _)| *at)
        .filter(|at| *at >= cold_from && *at < cold_from + WARMUP)
        .collect();
    let after = state.openings.iter().filter(|(at, _)| *at >= cold_from + WARMUP).count();
    drop(state);
    let second = Duration::from_secs(1);
    let within = |from: &Instant| {
        openings.iter().filter(|at| *at >= from && at.duration_since(*from) < second).count()
    };
    let most = openings.iter().map(within).max().unwrap_or(0);
    let bound = WARMUP_PER_S * 1.5 + 5.0;
    let ended = cluster.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended: {ended:?}"));
    }
    if after == 0 {
        return Err("the target got no flows after the evacuation".to_string());
    }
    Ok(Verdict {
        is_broken: most as f64 > bound,
        text: format!(
            "the cold target got at most {most} opening packets in one second; the bound is \
             {WARMUP_PER_S} x 1.5 + 5 = {bound}"
        ),
    })
}

/// The operator sends manifests that are invalid.
pub fn invalid_manifest(_record: &Record, _has_trouble: bool) -> Result<Verdict, Failure> {
    Err("not written".to_string())
}
