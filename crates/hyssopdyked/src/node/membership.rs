//! A daemon's membership in the cluster: its current revision, and whether it may act.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyssopdyke::process::Lease;
use hyssopdyke::version::{Cursor, Gap, Replica, Source, View};
use hyssopdyke_wire::datagram::{Datagram, Load, Ping, Pong, Pull, datagram::Body};
use hyssopdyke_wire::resource::Page;
use slog::{debug, info};

use super::{Link, Session, Update};
use crate::clock;
use crate::log::Events;

/// Duration of a lease until control grants one with another duration.
const DEFAULT_LEASE: Duration = Duration::from_secs(3);

/// Time within which a process connected to control has had a renewal granted. It sends one renewal
/// per second.
const RENEWAL_WINDOW: Duration = Duration::from_millis(1600);

/// Minimum interval between two pulls.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a higher revision in a peer's message counts: longer than its pages take.
const BEHIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of peers to ping at once while control does not answer.
const MAX_PINGED_PEERS: usize = 3;

/// Size in bytes after which no further revision is added to a page, so that it fits a datagram.
const PAGE_BYTES: usize = 1000;

/// The state of one daemon's membership.
pub(crate) struct Membership {
    boot: u64,
    domain: Box<str>,
    replica: Replica,
    view: Arc<View>,
    lease: Lease,
    /// Whether the daemon was allowed to act until the current view was applied.
    was_active: bool,
    last_pull: Option<Instant>,
    /// When a peer's page last brought something new.
    last_progress: Option<Instant>,
    /// When a peer last sent a higher revision than the current one, and that revision.
    newer_revision: Option<(u64, Instant)>,
    /// Time since which peers have sent higher revisions without an update of this daemon.
    behind_since: Option<Instant>,
    nonce: u64,
    events: Events,
}

impl Membership {
    /// Creates a membership without state or lease.
    pub(crate) fn new(boot: u64, domain: Box<str>, events: Events) -> Self {
        Self {
            boot,
            domain,
            replica: Replica::new(),
            view: Arc::new(View::default()),
            lease: Lease::new(DEFAULT_LEASE),
            was_active: false,
            last_pull: None,
            last_progress: None,
            newer_revision: None,
            behind_since: None,
            nonce: rand::random(),
            events,
        }
    }

    /// Returns the view of the current revision.
    pub(crate) const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the current revision.
    pub(crate) fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// Returns whether the daemon may deliver packets at `now`.
    pub(crate) fn may_act(&self, now: Instant) -> bool {
        self.lease.is_valid(now) && self.view.is_registered(self.boot)
    }

    /// Returns whether the daemon was allowed to act until it applied the current view.
    ///
    /// A daemon that was suspended may receive a revision late that was already in force everywhere
    /// else.
    pub(crate) const fn was_active(&self) -> bool {
        self.was_active
    }

    /// Applies an update from control and all queued ones; returns whether the view has changed.
    ///
    /// The view is rebuilt once for all updates, since many changes may arrive together.
    pub(crate) fn apply_updates(&mut self, first: Update, session: &mut Session) -> bool {
        let mut next = Some(first);
        let mut is_changed = false;
        while let Some(update) = next {
            match update {
                Update::Granted { sent, length, revision } => {
                    self.lease.grant(sent, length, revision);
                }
                Update::Page(page) => match self.apply_page(Source::Control, page) {
                    Ok(is_new) => is_changed |= is_new,
                    // Control goes on after the page, so that only a new session brings it again.
                    Err(_) => session.reconnect(),
                },
            }
            next = session.try_next_update();
        }
        if is_changed {
            self.rebuild_view();
        }
        self.lease.record_revision(self.revision());
        is_changed
    }

    /// Returns whether a peer has lately sent a higher revision than the current one.
    ///
    /// Peers that have it send it again, and pages with it. One that nobody sends any more may never
    /// have been control's.
    pub(crate) fn is_behind(&self, now: Instant) -> bool {
        self.newer_revision.is_some_and(|(revision, at)| {
            revision > self.revision() && now.duration_since(at) < BEHIND_TIMEOUT
        })
    }

    /// Pulls changes from a peer whose message has a newer revision.
    pub(crate) fn pull_if_newer(&mut self, link: &mut Link, from: SocketAddr, revision: u64) {
        let now = clock::now();
        if revision > self.revision() {
            self.newer_revision = Some((revision, now));
            self.behind_since.get_or_insert(now);
        }
        let is_due =
            self.last_pull.is_none_or(|last| now.duration_since(last) >= MIN_PULL_INTERVAL);
        if revision <= self.replica.cursor(Source::Peers).after || !is_due {
            return;
        }
        // The peers that had the rest of an update may be gone.
        let has_progress = |last: Instant| now.duration_since(last) < BEHIND_TIMEOUT;
        if !self.last_progress.is_some_and(has_progress) {
            self.replica.restart(Source::Peers);
        }
        self.pull(link, from);
    }

    /// Sends a peer the changes that it pulls.
    pub(crate) fn answer_pull(&self, link: &mut Link, from: SocketAddr, pull: Pull) {
        let reset_at = Some(pull.reset_at).filter(|revision| *revision != 0);
        let cursor = Cursor { after: pull.after, reset_at };
        let page = self.replica.store().changes_since(cursor, PAGE_BYTES);
        link.send(&self.message(Body::Page(page)), from);
    }

    /// Applies a page from a peer; returns whether the view has changed.
    pub(crate) fn receive_page(&mut self, link: &mut Link, from: SocketAddr, page: Page) -> bool {
        let before = self.replica.cursor(Source::Peers);
        let is_last = page.complete;
        let changed = self.apply_page(Source::Peers, page).unwrap_or(false);
        if changed {
            self.rebuild_view();
        }
        // Several peers may have sent the same page.
        if self.replica.cursor(Source::Peers) != before {
            self.last_progress = Some(clock::now());
            if !is_last {
                self.pull(link, from);
            }
        }
        changed
    }

    /// Returns whether a peer is in another failure domain.
    pub(crate) fn is_in_other_domain(&self, peer: SocketAddr) -> bool {
        self.view.domain_of(peer).is_some_and(|domain| *domain != *self.domain)
    }

    /// Returns the number of failure domains besides this process's own.
    pub(crate) fn other_domain_count(&self) -> usize {
        self.view.count_other_domains(&self.domain)
    }

    /// Returns whether control has granted this process a renewal recently.
    pub(crate) fn is_renewed(&self, now: Instant) -> bool {
        self.lease.is_renewed_within(RENEWAL_WINDOW, now)
    }

    /// Pings peers in other failure domains. Their answers extend the lease while control does not
    /// renew it.
    pub(crate) fn ping_peers(&mut self, link: &mut Link, now: Instant) {
        let peers = self.view.peers_outside(&self.domain);
        if peers.is_empty() {
            return;
        }
        for index in 0..MAX_PINGED_PEERS.min(peers.len()) {
            let peer = peers[(self.nonce as usize).wrapping_add(index) % peers.len()];
            let ping = self.new_ping(None, now);
            link.send(&self.message(Body::Ping(ping)), peer);
        }
    }

    /// Creates a report of the load. It asks for an answer only if the lease needs one, since
    /// control has not renewed it recently.
    pub(crate) fn new_load_ping(&mut self, load: Load, now: Instant) -> Ping {
        if self.is_renewed(now) {
            return Ping { nonce: 0, load: Some(load) };
        }
        self.new_ping(Some(load), now)
    }

    /// Creates a ping with a new nonce, which the peer returns in its answer.
    pub(crate) fn new_ping(&mut self, load: Option<Load>, now: Instant) -> Ping {
        // 0 stands for a ping without an answer.
        self.nonce = self.nonce.checked_add(1).unwrap_or(1);
        self.lease.record_ping(self.nonce, now);
        Ping { nonce: self.nonce, load }
    }

    /// Creates the answer to a peer's ping.
    ///
    /// Only a process that may act itself confirms others: two processes that were suspended must
    /// not reactivate each other with an old revision.
    pub(crate) fn answer_ping(&self, ping: Ping, now: Instant) -> Pong {
        Pong { nonce: ping.nonce, active: self.may_act(now) }
    }

    /// Handles a peer's answer to a ping; `revision` is the peer's.
    pub(crate) fn receive_pong(&mut self, from: SocketAddr, revision: u64, pong: Pong) {
        // A peer with a newer revision may already have this domain as taken out.
        let is_current = revision <= self.revision() && !self.is_stuck(clock::now());
        if self.is_in_other_domain(from) && pong.active && is_current {
            self.lease.record_pong(pong.nonce);
        }
    }

    /// Creates a message with the current revision.
    pub(crate) fn message(&self, body: Body) -> Datagram {
        Datagram { revision: self.revision(), body: Some(body) }
    }

    /// Returns whether peers have sent higher revisions for a whole lease without an update of this
    /// daemon. Peers at the same revision do not know more than it does, and must not confirm it.
    fn is_stuck(&self, now: Instant) -> bool {
        let since = self.behind_since.filter(|_| self.is_behind(now));
        since.is_some_and(|since| now.duration_since(since) >= self.lease.length())
    }

    fn pull(&mut self, link: &mut Link, from: SocketAddr) {
        self.last_pull = Some(clock::now());
        let Cursor { after, reset_at } = self.replica.cursor(Source::Peers);
        let pull = Pull { after, reset_at: reset_at.unwrap_or(0) };
        link.send(&self.message(Body::Pull(pull)), from);
    }

    /// Applies a page to the replica; returns whether the replica has a newer revision.
    fn apply_page(&mut self, source: Source, page: Page) -> Result<bool, Gap> {
        self.replica.apply(source, page).inspect_err(|gap| {
            debug!(self.events.logger(), "page refused"; "source" => ?source, "reason" => %gap);
        })
    }

    fn rebuild_view(&mut self) {
        self.was_active = self.may_act(clock::now());
        self.behind_since = None;
        self.view = Arc::new(View::new(self.replica.store()));
        self.lease.record_revision(self.revision());
        self.events.set_revision(self.revision());
        info!(self.events.logger(), "revision in use");
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
