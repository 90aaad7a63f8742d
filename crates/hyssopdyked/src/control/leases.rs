//! The leases of daemons, as recorded by the leader.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyssopdyke::version::Store;
use hyssopdyke_wire::ledger::{Unregister, command};
use hyssopdyke_wire::resource::{Acknowledgement, Kind, Status, Usage, resource::Body};
use slog::info;
use tokio::time::interval;

use super::handle::Handle;
use crate::agent::RETURN_TIMEOUT;
use crate::clock;
use crate::log::Events;

/// Interval between checks for expired leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks beyond which this process is taken to have been suspended.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Margin added to a lease before it counts as expired, to cover the validity of the leader's own
/// leadership.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// Time that a new leader adds to all leases, so that daemons can find it: they wait for an answer
/// from the former leader, and then try one control VM after another.
const TAKEOVER_GRACE: Duration = Duration::from_millis(1500);

/// Kind and name of a daemon.
type DaemonId = (Kind, Box<str>);

/// Last renewal of a daemon.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    boot: u64,
    revision: u64,
    usage: Usage,
    renewed_at: Instant,
}

/// Number of daemons up to which most or all leases may expire at once.
const SMALL_SYSTEM_DAEMONS: usize = 4;

/// Renewals that this leader has received from daemons.
pub(super) struct Leases {
    duration: Duration,
    renewals: Mutex<HashMap<DaemonId, Renewal>>,
}

impl Leases {
    pub(super) fn new(duration: Duration) -> Self {
        Self { duration, renewals: Mutex::new(HashMap::new()) }
    }

    /// Returns the duration of a lease.
    pub(super) const fn duration(&self) -> Duration {
        self.duration
    }

    /// Records a renewal.
    pub(super) fn record_renewal(&self, daemon: DaemonId, boot: u64, revision: u64, usage: Usage) {
        let renewal = Renewal { boot, revision, usage, renewed_at: clock::now() };
        self.lock().insert(daemon, renewal);
    }

    /// Returns the revision that each registered daemon has acknowledged.
    pub(super) fn status(&self, store: &Store) -> Status {
        let renewals = self.lock();
        let daemons: Vec<Acknowledgement> = registered_daemons(store)
            .map(|(kind, name, boot)| {
                let renewal = renewals.get(&(kind, name.clone()));
                let renewal = renewal.filter(|renewal| renewal.boot == boot);
                Acknowledgement {
                    name: name.into(),
                    kind: kind as i32,
                    revision: renewal.map_or(0, |renewal| renewal.revision),
                    usage: renewal.map(|renewal| renewal.usage),
                }
            })
            .collect();
        let revision = store.revision();
        let min_revision = daemons.iter().map(|daemon| daemon.revision).min();
        Status { revision, in_force: min_revision.unwrap_or(revision).min(revision), daemons }
    }

    /// Returns the daemons whose lease has expired; time before `since` does not count.
    fn expired(&self, store: &Store, since: Instant, now: Instant) -> Vec<Unregister> {
        let renewals = self.lock();
        let since = since + TAKEOVER_GRACE;
        let (mut expired, mut valid) = (Vec::new(), 0);
        for (kind, name, boot) in registered_daemons(store) {
            let renewal = renewals.get(&(kind, name.clone()));
            let renewed =
                renewal.filter(|renewal| renewal.boot == boot).map(|renewal| renewal.renewed_at);
            let start = renewed.map_or(since, |renewed| renewed.max(since));
            if now.saturating_duration_since(start) > self.duration + EXPIRY_MARGIN {
                expired.push((kind, name, boot));
            } else {
                valid += 1;
            }
        }
        // If most leases expire at once, renewals most likely do not reach this VM. Daemons that
        // still serve must not be unregistered for that, and their peers detect failed daemons.
        if expired.len() > valid && valid + expired.len() > SMALL_SYSTEM_DAEMONS {
            return Vec::new();
        }
        expired.into_iter().map(|(kind, name, boot)| unregister(kind, &name, boot)).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<DaemonId, Renewal>> {
        // Each change of the map is a single insertion, so the map is consistent after a panic.
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns kind, name and boot number of each registered daemon.
fn registered_daemons(store: &Store) -> impl Iterator<Item = (Kind, Box<str>, u64)> {
    let upstreams = store.list(Kind::Upstream).filter_map(|resource| match &resource.body {
        Some(Body::Upstream(upstream)) => Some((Kind::Upstream, resource, upstream.boot)),
        _ => None,
    });
    let entries = store.list(Kind::Entry).filter_map(|resource| match &resource.body {
        Some(Body::Entry(entry)) => Some((Kind::Entry, resource, entry.boot)),
        _ => None,
    });
    let daemons = upstreams.chain(entries);
    daemons
        .filter(|(_, _, boot)| *boot != 0)
        .map(|(kind, resource, boot)| (kind, resource.name.as_str().into(), boot))
}

/// Builds the command by which a daemon ends that does not return.
fn unregister(kind: Kind, name: &str, boot: u64) -> Unregister {
    Unregister { kind: kind as i32, name: name.into(), boot, returns: false }
}

/// Agents that have stopped and are expected back, with the time since which this VM knows that.
#[derive(Debug, Default)]
struct Absences {
    since: HashMap<Box<str>, Instant>,
}

impl Absences {
    /// Returns the agents that did not return in time.
    fn expired(&mut self, store: &Store, now: Instant) -> Vec<Unregister> {
        let away = store.list(Kind::Upstream).filter_map(|resource| match &resource.body {
            Some(Body::Upstream(upstream)) if upstream.away => Some(resource.name.as_str()),
            _ => None,
        });
        let former = std::mem::take(&mut self.since);
        let since = |name: &str| former.get(name).copied().unwrap_or(now);
        self.since = away.map(|name| (name.into(), since(name))).collect();
        let is_expired = |since: Instant| now.duration_since(since) >= RETURN_TIMEOUT;
        let expired = self.since.iter().filter(|(_, since)| is_expired(**since));
        expired.map(|(name, _)| unregister(Kind::Upstream, name, 0)).collect()
    }
}

/// Unregisters daemons whose lease has expired, and agents that did not return, while this VM leads.
pub(super) async fn expire(handle: Handle, leases: Arc<Leases>, events: Events) {
    let mut absences = Absences::default();
    let mut ticks = interval(CHECK_INTERVAL);
    let mut last = clock::now();
    let mut resumed = last;
    loop {
        ticks.tick().await;
        let now = clock::now();
        // Renewals that arrived while this process was suspended are still in the queue.
        if now.duration_since(last) > PAUSE_THRESHOLD {
            resumed = now;
        }
        last = now;
        let since = handle.leadership.borrow().since;
        let Some(since) = since else {
            // Agents may return and stop again while another VM leads.
            absences = Absences::default();
            continue;
        };
        let mut expired = leases.expired(handle.registry().await.store(), since.max(resumed), now);
        for unregister in &expired {
            info!(events.logger(), "lease ended"; "daemon" => unregister.name.as_str());
        }
        let absent = absences.expired(handle.registry().await.store(), now);
        for unregister in &absent {
            info!(events.logger(), "agent did not return"; "daemon" => unregister.name.as_str(),
                "after_s" => RETURN_TIMEOUT.as_secs());
        }
        expired.extend(absent);
        // The leases of a failure domain may expire together; their commands share a sync of the
        // log. Without a majority the daemons stay registered, and the next check retries.
        let proposals = expired
            .into_iter()
            .map(|unregister| handle.propose(command::Body::Unregister(unregister)));
        futures_util::future::join_all(proposals).await;
    }
}

#[cfg(test)]
#[path = "leases_tests.rs"]
mod tests;
