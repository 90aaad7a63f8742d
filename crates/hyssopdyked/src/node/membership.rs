//! A daemon's place in the system: the revision that it acts by, and its right to act.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyssopdyke::process::Lease;
use hyssopdyke::version::{Replica, View};
use hyssopdyke_wire::datagram::{Datagram, Load, Ping, Pong, Pull, datagram::Body};
use hyssopdyke_wire::resource::Page;
use slog::{debug, info};

use super::{Link, Session, Update};
use crate::clock;
use crate::log::Events;

/// Length of a lease until control names another.
const LEASE: Duration = Duration::from_secs(3);

/// Time within which a process that control hears was granted a renewal: it sends one a second.
const RENEWED: Duration = Duration::from_millis(1600);

/// Least time between two pulls.
const PULL_INTERVAL: Duration = Duration::from_millis(50);

/// Peers that are asked at a time while control does not answer.
const VOUCHING_PEERS: usize = 3;

/// Bytes of resources in a page that fits a datagram.
const PAGE_BYTES: usize = 1000;

/// The state of one daemon's membership.
pub(crate) struct Membership {
    boot: u64,
    domain: Box<str>,
    replica: Replica,
    view: Arc<View>,
    lease: Lease,
    /// The daemon might act until the current view was taken in.
    was_active: bool,
    pulled: Option<Instant>,
    /// Highest revision that a peer has shown.
    newest: u64,
    nonce: u64,
    events: Events,
}

impl Membership {
    /// A daemon that knows nothing yet.
    pub(crate) fn new(boot: u64, domain: Box<str>, events: Events) -> Self {
        Self {
            boot,
            domain,
            replica: Replica::new(),
            view: Arc::new(View::default()),
            lease: Lease::new(LEASE),
            was_active: false,
            pulled: None,
            newest: 0,
            nonce: rand::random(),
            events,
        }
    }

    /// Routes of the current revision.
    pub(crate) const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Current revision.
    pub(crate) fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// Whether the daemon may deliver packets at `now`.
    pub(crate) fn may_act(&self, now: Instant) -> bool {
        self.lease.is_valid(now) && self.view.is_registered(self.boot)
    }

    /// Whether the daemon might act until it took in the current view: one that was frozen may
    /// learn late of what had been in force everywhere else.
    pub(crate) const fn was_active(&self) -> bool {
        self.was_active
    }

    /// Takes in an update of control and those that wait behind it; true if the view has changed.
    ///
    /// The view is made once for all of them, since many changes may come at a time.
    pub(crate) fn apply_updates(&mut self, first: Update, session: &mut Session) -> bool {
        let mut next = Some(first);
        let mut is_newer = false;
        while let Some(update) = next {
            match update {
                Update::Granted { sent, length, revision } => {
                    self.lease.grant(sent, length, revision);
                }
                Update::Page(page) => is_newer |= self.take_in(page),
            }
            next = session.try_next_update();
        }
        if is_newer {
            self.renew_view();
        }
        self.lease.record_revision(self.revision());
        is_newer
    }

    /// Whether a peer has shown a revision that is not in use here yet.
    pub(crate) fn is_behind(&self) -> bool {
        self.newest > self.revision()
    }

    /// Pulls from a peer whose message shows a newer revision.
    pub(crate) fn pull_if_newer(&mut self, link: &mut Link, from: SocketAddr, revision: u64) {
        self.newest = self.newest.max(revision);
        let now = clock::now();
        let is_due = self.pulled.is_none_or(|last| now.duration_since(last) >= PULL_INTERVAL);
        if revision <= self.replica.cursor() || !is_due {
            return;
        }
        self.pulled = Some(now);
        self.pull(link, from);
    }

    /// Answers a peer's pull.
    pub(crate) fn answer_pull(&self, link: &mut Link, from: SocketAddr, pull: Pull) {
        let page = self.replica.store().changes_since(pull.after, PAGE_BYTES);
        link.send(&self.message(Body::Page(page)), from);
    }

    /// Takes in a page of a peer; true if the view has changed.
    pub(crate) fn receive_page(&mut self, link: &mut Link, from: SocketAddr, page: Page) -> bool {
        let is_last = page.complete;
        let changed = self.take_in(page);
        if changed {
            self.renew_view();
        }
        if !is_last {
            self.pull(link, from);
        }
        changed
    }

    /// Whether a peer is in another failure domain.
    pub(crate) fn is_in_other_domain(&self, peer: SocketAddr) -> bool {
        self.view.domain_of(peer).is_some_and(|domain| *domain != *self.domain)
    }

    /// Failure domains besides this process's own.
    pub(crate) fn other_domain_count(&self) -> usize {
        self.view.count_other_domains(&self.domain)
    }

    /// Whether control has answered this process lately.
    pub(crate) fn is_renewed(&self, now: Instant) -> bool {
        self.lease.is_renewed_within(RENEWED, now)
    }

    /// Asks peers to vouch for this process while control does not renew its lease.
    pub(crate) fn ping_peers(&mut self, link: &mut Link, now: Instant) {
        let peers = self.view.peers_outside(&self.domain);
        if peers.is_empty() {
            return;
        }
        for index in 0..VOUCHING_PEERS.min(peers.len()) {
            let peer = peers[(self.nonce as usize).wrapping_add(index) % peers.len()];
            let ping = self.new_ping(None, now);
            link.send(&self.message(Body::Ping(ping)), peer);
        }
    }

    /// A question that a peer answers with its number.
    pub(crate) fn new_ping(&mut self, load: Option<Load>, now: Instant) -> Ping {
        self.nonce = self.nonce.wrapping_add(1);
        self.lease.record_ping(self.nonce, now);
        Ping { nonce: self.nonce, load }
    }

    /// The answer to a peer's ping.
    ///
    /// Only a process that may act itself vouches for others: two that were frozen must not
    /// bring each other back by an old revision.
    pub(crate) fn answer_ping(&self, ping: Ping, now: Instant) -> Pong {
        Pong { nonce: ping.nonce, active: self.may_act(now) }
    }

    /// Takes in a peer's answer to a ping, sent at `revision`.
    pub(crate) fn receive_pong(&mut self, from: SocketAddr, revision: u64, pong: Pong) {
        // A peer that is ahead may know that this domain was taken out.
        if self.is_in_other_domain(from) && pong.active && revision <= self.revision() {
            self.lease.record_pong(pong.nonce);
        }
    }

    /// A message at the current revision.
    pub(crate) fn message(&self, body: Body) -> Datagram {
        Datagram { revision: self.revision(), body: Some(body) }
    }

    fn pull(&self, link: &mut Link, from: SocketAddr) {
        let pull = Pull { after: self.replica.cursor() };
        link.send(&self.message(Body::Pull(pull)), from);
    }

    /// Takes in a page; true if the copy has moved to a later revision.
    fn take_in(&mut self, page: Page) -> bool {
        self.replica.apply(page).unwrap_or_else(|gap| {
            debug!(self.events.logger(), "page refused"; "reason" => %gap);
            false
        })
    }

    fn renew_view(&mut self) {
        self.was_active = self.may_act(clock::now());
        self.view = Arc::new(View::new(self.replica.store()));
        self.lease.record_revision(self.revision());
        self.events.set_revision(self.revision());
        info!(self.events.logger(), "revision in use");
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
