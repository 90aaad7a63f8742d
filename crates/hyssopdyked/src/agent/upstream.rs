//! State of the upstream beside the agent: its reports, its limit, and whether it answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eyre::Result;
use hyssopdyke::connection::{self, Flow};
use hyssopdyke::process::Change;
use hyssopdyke::request::PacketCodec;
use hyssopdyke::version::Capacity;
use hyssopdyke_platform::reports::Delivery;
use slog::{info, warn};

use super::MAX_FLOW_AGE;
use super::worker::Worker;
use crate::clock;
use crate::log::unusual;
use crate::node::Session;

/// Number of heartbeat intervals within which an upstream reports to an agent that has just
/// started.
const STARTUP_HEARTBEATS: u32 = 5;

/// Heartbeats after the start of a process without a report after which there is no upstream.
const MISSED_HEARTBEATS: u32 = 2;

/// Time within which an upstream on the same VM must answer a first packet. Shorter than the time
/// after which callers retransmit the packet, so that the retransmission goes to another upstream.
pub(super) const UPSTREAM_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Time within which a caller confirms a flow that was opened for it: one round trip and one
/// retransmission of a lost packet.
pub(super) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

impl<C: PacketCodec> Worker<C> {
    /// Applies a report of the upstream, and acknowledges it afterwards.
    pub(super) fn handle_upstream_report(&mut self, delivery: Delivery) {
        let now = clock::now();
        let (report, acknowledge) = match delivery {
            Delivery::Report(report, acknowledge) => (report, acknowledge),
            Delivery::Rejected(error) => {
                self.metrics.count("reports.unreadable");
                unusual!(self.events, "upstream report rejected"; "reason" => %error);
                return;
            }
        };
        self.record_upstream_activity(now);
        let change = self.upstream.report(report, now);
        self.handle_upstream_change(change, now);
        if change == Change::Unproven {
            // What is not acknowledged is reported again.
            self.metrics.count("reports.unproven");
            return unusual!(self.events, "upstream report of another process";
                "followed" => ?self.upstream.last_report().map(|last| &last.instance));
        }
        // The upstream may have closed its request without waiting for the acknowledgement.
        let _ = acknowledge.send(());
    }

    /// Handles a change of the upstream's status.
    pub(super) fn handle_upstream_change(&mut self, change: Change, now: Instant) {
        let last = self.upstream.last_report();
        let (name, phase) = last.map(|last| (last.instance.clone(), last.phase)).unzip();
        match change {
            Change::None | Change::Unproven | Change::Capacity => return,
            Change::First | Change::Started | Change::Corrected => {
                info!(self.events.logger(), "upstream started"; "upstream" => ?name,
                    "phase" => ?phase, "change" => ?change);
                if change == Change::Started {
                    self.drop_former_flows();
                }
                self.apply_declared_limit();
            }
            Change::Phase => {
                info!(self.events.logger(), "upstream changed"; "phase" => ?phase);
                if self.upstream.is_gone() {
                    self.drop_flows(|_| true);
                }
            }
        }
        self.exchange_loads(now);
    }

    /// Leaves the membership when the upstream is gone, and rejoins when the upstream is back. An
    /// agent without an upstream only makes other members wait for it.
    pub(super) async fn follow_upstream(&mut self, session: &mut Session) -> Result<()> {
        let is_upstream_present = self.has_upstream(clock::now());
        if is_upstream_present && self.is_leaving {
            info!(self.events.logger(), "agent rejoins with its upstream");
            self.is_leaving = false;
            session.rejoin();
        } else if !is_upstream_present && !self.is_leaving {
            info!(self.events.logger(), "agent leaves with its upstream");
            self.drain_reports(session).await?;
            session.leave(false).await;
        }
        Ok(())
    }

    /// Returns whether an upstream is present, or may be present but has not reported yet.
    fn has_upstream(&self, now: Instant) -> bool {
        let is_starting =
            now.duration_since(self.started) < self.settings.heartbeat * STARTUP_HEARTBEATS;
        self.settings.reports.is_none() || self.upstream.is_present(now, is_starting)
    }

    /// Returns whether new flows may go to the upstream.
    pub(super) fn is_serving(&self, now: Instant) -> bool {
        let is_reported = self.settings.reports.is_none() || self.upstream.is_serving(now);
        is_reported && !self.is_upstream_unresponsive
    }

    /// Returns the declared capacity of the agent's upstream.
    pub(super) fn capacity(&self) -> Capacity {
        let pool = self.pool.as_ref();
        let capacity = pool.and_then(|pool| pool.services.get(&self.settings.service));
        capacity.copied().unwrap_or_default()
    }

    /// Keeps the learned limit within the declared capacity.
    pub(super) fn apply_declared_limit(&mut self) {
        let capacity = self.capacity();
        let reported_slots =
            self.upstream.last_report().map_or(u32::MAX, |report| report.slots.max(1));
        self.limit.set_bounds(capacity.cold_slots, capacity.slots.min(reported_slots));
    }

    /// Returns whether the upstream may hold flows that this process has no entry for: the upstream
    /// started before this process, so that a former process may have served it, and some of its
    /// flows from that time may still be open.
    pub(super) fn may_have_unknown_flows(&self, now: Instant) -> bool {
        let is_older = self.upstream.may_predate(self.started, self.capacity().warmup);
        is_older && now.duration_since(self.started) < MAX_FLOW_AGE
    }

    /// Returns whether this agent has no upstream: the upstream has ended, or would have reported since
    /// the start of this process.
    pub(super) fn has_no_upstream(&self, now: Instant) -> bool {
        let is_late =
            now.duration_since(self.started) >= self.settings.heartbeat * MISSED_HEARTBEATS;
        let never_reported = self.upstream.last_report().is_none() && is_late;
        self.settings.reports.is_some() && (self.upstream.is_gone() || never_reported)
    }

    /// Returns whether an upstream that may hold flows goes on when this process stops: it has
    /// reported to this process, or its first report is not due yet.
    ///
    /// Its packets show nothing: an upstream that has left still answers on flows that have ended.
    pub(super) fn leaves_upstream(&self, now: Instant) -> bool {
        let is_due = now.duration_since(self.started) >= self.settings.heartbeat;
        let has_reported = self.settings.reports.is_none() || self.upstream.last_report().is_some();
        self.has_upstream(now) && (has_reported || !is_due)
    }

    /// Records that the upstream has sent a packet or a report.
    pub(super) fn record_upstream_activity(&mut self, now: Instant) {
        self.upstream_last_seen = Some(now);
        if std::mem::take(&mut self.is_upstream_unresponsive) {
            info!(self.events.logger(), "upstream answers again");
            self.exchange_loads(now);
        }
    }

    /// Marks the upstream as unresponsive if it has sent nothing since it was asked to open a flow,
    /// so that new flows go to other upstreams.
    pub(super) fn check_opening(&mut self, now: Instant) {
        while let Some((since, flow)) =
            take_due(&mut self.opening_flows, UPSTREAM_ANSWER_TIMEOUT, now)
        {
            self.unconfirmed_flows.push_back((since, flow));
            let is_open = self.table.get(&flow).is_none_or(connection::State::is_open);
            let has_answered = self.upstream_last_seen.is_some_and(|seen| seen > since);
            if !is_open && !has_answered && !self.is_upstream_unresponsive {
                warn!(self.events.logger(), "upstream does not answer"; "flow" => %flow,
                    "after_ms" => UPSTREAM_ANSWER_TIMEOUT.as_millis() as u64);
                self.is_upstream_unresponsive = true;
                self.exchange_loads(now);
            }
        }
    }

    /// Releases the slots of flows that their callers have not confirmed in time.
    pub(super) fn release_unconfirmed(&mut self, now: Instant) {
        while let Some((_, flow)) = take_due(&mut self.unconfirmed_flows, CONFIRM_TIMEOUT, now) {
            if C::RESOLVES_DUPLICATE_OPENS {
                self.table.release_unconfirmed(&flow);
            }
        }
    }

    pub(super) fn record_upstream_failure(&mut self, flow: &Flow, now: Instant) {
        let since = self.table.get(flow).map_or(now, |connection| connection.admitted_at);
        let was_ejected = self.limit.is_ejected(now);
        self.limit.record_failure(since, now);
        self.metrics.count("failed");
        unusual!(self.events, "flow failed at the upstream"; "flow" => %flow,
            "age_us" => now.duration_since(since).as_micros() as u64,
            "limit" => self.limit.current());
        if !was_ejected && self.limit.is_ejected(now) {
            warn!(self.events.logger(), "upstream ejected"; "limit" => self.limit.current());
            // The other members must stop using the upstream before the next regular exchange of
            // loads.
            self.exchange_loads(now);
        }
    }

    /// Drops the flows that a former process of the upstream held.
    fn drop_former_flows(&mut self) {
        let Some(since) = self.upstream.succeeded_at() else { return };
        self.drop_flows(|state| state.is_open() && state.upstream_seen() < since);
    }

    /// Resets the callers of flows that the upstream no longer holds, and removes the flows.
    fn drop_flows(&mut self, is_lost: impl Fn(&connection::State) -> bool) {
        let lost = self.table.iter().filter(|(_, state)| is_lost(state));
        let flows: Vec<Flow> = lost.map(|(flow, _)| *flow).collect();
        for flow in flows {
            unusual!(self.events, "flow ended with its upstream"; "flow" => %flow);
            self.metrics.count("reset.gone");
            self.reset_caller(&flow);
            self.end_flow(&flow);
        }
        self.limit.reset_to_cold(clock::now());
    }
}

/// Removes and returns the oldest flow if it is at least `age` old.
fn take_due(
    flows: &mut VecDeque<(Instant, Flow)>,
    age: Duration,
    now: Instant,
) -> Option<(Instant, Flow)> {
    flows.pop_front_if(|(since, _)| now.duration_since(*since) >= age)
}
