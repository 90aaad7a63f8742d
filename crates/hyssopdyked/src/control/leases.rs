//! The leases of the daemons, as the leader sees them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyssopdyke::version::Store;
use hyssopdyke_wire::ledger::{Unregister, command};
use hyssopdyke_wire::resource::{Acknowledgement, Kind, Status, Usage, resource::Body};
use slog::info;
use tokio::time::interval;

use super::handle::Handle;
use crate::clock;
use crate::log::Events;

/// Time between two looks at the leases.
const INTERVAL: Duration = Duration::from_millis(100);

/// A pause of this length between two looks means that this process was frozen.
const FREEZE: Duration = Duration::from_millis(500);

/// What is added to a lease before it counts as ended, for the leader's own validity.
const MARGIN: Duration = Duration::from_millis(100);

/// Time that a new leader adds to a lease, in which daemons find it: they wait for an answer of
/// the former leader, and try one control VM after another.
const TAKEOVER: Duration = Duration::from_millis(1500);

/// A daemon by kind and name.
type Key = (Kind, Box<str>);

/// Last renewal of a daemon.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    boot: u64,
    revision: u64,
    usage: Usage,
    at: Instant,
}

/// Up to this number of daemons all of them may well be gone.
const FEW: usize = 4;

/// Renewals of all daemons that this leader has heard.
pub(super) struct Leases {
    length: Duration,
    renewals: Mutex<HashMap<Key, Renewal>>,
}

impl Leases {
    pub(super) fn new(length: Duration) -> Self {
        Self { length, renewals: Mutex::new(HashMap::new()) }
    }

    /// Length of a lease.
    pub(super) const fn length(&self) -> Duration {
        self.length
    }

    /// Notes a renewal.
    pub(super) fn renew(&self, key: Key, boot: u64, revision: u64, usage: Usage) {
        let renewal = Renewal { boot, revision, usage, at: clock::now() };
        self.lock().insert(key, renewal);
    }

    /// Which revision each daemon that holds a lease has acknowledged.
    pub(super) fn status(&self, store: &Store) -> Status {
        let renewals = self.lock();
        let daemons: Vec<Acknowledgement> = registered(store)
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
        let least = daemons.iter().map(|daemon| daemon.revision).min();
        Status { revision, in_force: least.unwrap_or(revision).min(revision), daemons }
    }

    /// Daemons whose lease has ended, not counting time before `since`.
    fn ended(&self, store: &Store, since: Instant, now: Instant) -> Vec<Unregister> {
        let renewals = self.lock();
        let since = since + TAKEOVER;
        let (mut ended, mut held) = (Vec::new(), 0);
        for (kind, name, boot) in registered(store) {
            let renewal = renewals.get(&(kind, name.clone()));
            let heard = renewal.filter(|renewal| renewal.boot == boot).map(|renewal| renewal.at);
            let start = heard.map_or(since, |heard| heard.max(since));
            if now.saturating_duration_since(start) > self.length + MARGIN {
                ended.push((kind, name, boot));
            } else {
                held += 1;
            }
        }
        // Where most are silent at once it is more likely that this VM is not heard: daemons that
        // serve must not be struck off for that, and those that are gone are found out by others.
        if ended.len() > held && held + ended.len() > FEW {
            return Vec::new();
        }
        ended
            .into_iter()
            .map(|(kind, name, boot)| Unregister { kind: kind as i32, name: name.into(), boot })
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Key, Renewal>> {
        // Each change of the map is a single insertion, so it is whole after a panic too.
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Kind, name and process of each daemon that holds a lease.
fn registered(store: &Store) -> impl Iterator<Item = (Kind, Box<str>, u64)> {
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

/// Takes daemons whose lease has ended off the record, for as long as this VM leads.
pub(super) async fn expire(handle: Handle, leases: Arc<Leases>, events: Events) {
    let mut looks = interval(INTERVAL);
    let mut last = clock::now();
    let mut thawed = last;
    loop {
        looks.tick().await;
        let now = clock::now();
        // Renewals that waited while this process was frozen are still to be taken.
        if now.duration_since(last) > FREEZE {
            thawed = now;
        }
        last = now;
        let since = handle.leadership.borrow().since;
        let Some(since) = since else { continue };
        let ended = leases.ended(handle.registry().await.store(), since.max(thawed), now);
        for unregister in &ended {
            info!(events.logger(), "lease ended"; "daemon" => unregister.name.as_str());
        }
        // Many leases may end at once with a failure domain; they share a sync of the log. Without
        // a majority the daemons stay on record, and are looked at again.
        let proposals = ended.into_iter().map(|one| handle.propose(command::Body::Unregister(one)));
        futures_util::future::join_all(proposals).await;
    }
}
