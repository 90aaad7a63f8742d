//! The upstream beside the agent: what it says, and whether it answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eyre::Result;
use hyssopdyke::connection::{self, Flow};
use hyssopdyke::process::{Change, Phase};
use hyssopdyke::request::PacketCodec;
use hyssopdyke::version::Capacity;
use hyssopdyke_platform::reports::Delivery;
use slog::{info, warn};

use super::worker::Worker;
use crate::clock;
use crate::log::unusual;
use crate::node::Session;

/// Heartbeats within which an upstream has reported to an agent that has just started.
const FIRST_HEARTBEATS: u32 = 5;

/// Age after which a flow is over, also where neither end has said so.
const FLOW_AGE: Duration = Duration::from_mins(1);

/// Time in which an upstream on the same VM must answer a first packet: less than callers wait
/// before they repeat it, so that the copy goes elsewhere.
pub(super) const ANSWERING: Duration = Duration::from_millis(120);

/// Time in which a caller goes on with a flow that was opened for it: the way there and back, and one
/// repetition of a lost packet.
const CONFIRMING: Duration = Duration::from_millis(300);

impl<B: PacketCodec> Worker<B> {
    /// Takes in a report of the upstream; it counts before it is acknowledged.
    pub(super) fn reported_by_upstream(&mut self, delivery: Delivery) {
        let now = clock::now();
        let (report, acknowledge) = match delivery {
            Delivery::Report(report, acknowledge) => (report, acknowledge),
            Delivery::Malformed(error) => {
                self.metrics.count("reports.unreadable");
                unusual!(self.events, "report of the upstream refused"; "reason" => %error);
                return;
            }
        };
        self.hear_upstream(now);
        let phase = report.phase;
        let change = self.upstream.report(report, now);
        match change {
            Change::None | Change::Capacity => {}
            Change::First | Change::Restarted => {
                let name = self.upstream.last_report().map(|last| last.instance.clone());
                info!(self.events.logger(), "upstream started"; "upstream" => ?name,
                    "phase" => ?phase, "change" => ?change);
                if change == Change::Restarted {
                    self.lose_all();
                }
                self.declare_limit();
                self.exchange_loads(now);
            }
            Change::Phase => {
                info!(self.events.logger(), "upstream changed"; "phase" => ?phase);
                if phase == Phase::Gone {
                    self.lose_all();
                }
                self.exchange_loads(now);
            }
        }
        // An upstream that does not wait for the acknowledgement has made up its mind.
        let _ = acknowledge.send(());
    }

    /// Leaves with the upstream, and comes back with it: an agent without one only makes others
    /// wait for it.
    pub(super) async fn follow_upstream(&mut self, session: &mut Session) -> Result<()> {
        let is_there = self.has_upstream(clock::now());
        if is_there && self.is_leaving {
            info!(self.events.logger(), "agent joins with its upstream");
            self.is_leaving = false;
            session.rejoin();
        } else if !is_there && !self.is_leaving {
            info!(self.events.logger(), "agent leaves with its upstream");
            self.finish(session).await?;
            session.leave().await;
        }
        Ok(())
    }

    /// Whether there is an upstream, or may be one that has not reported yet.
    fn has_upstream(&self, now: Instant) -> bool {
        let is_new =
            now.duration_since(self.started.0) < self.settings.heartbeat * FIRST_HEARTBEATS;
        self.settings.reports.is_none() || self.upstream.is_present(now, is_new)
    }

    /// Whether new flows may go to the upstream.
    pub(super) fn is_serving(&self, now: Instant) -> bool {
        let is_reported = self.settings.reports.is_none() || self.upstream.is_serving(now);
        is_reported && !self.is_upstream_silent
    }

    /// What the agent's upstream bears.
    pub(super) fn bounds(&self) -> Capacity {
        let pool = self.pool.as_ref();
        let bounds = pool.and_then(|pool| pool.services.get(&self.settings.service));
        bounds.copied().unwrap_or_default()
    }

    /// Holds the learned limit within what is declared.
    pub(super) fn declare_limit(&mut self) {
        let bounds = self.bounds();
        let told = self.upstream.last_report().map_or(u32::MAX, |report| report.slots.max(1));
        self.limit.set_bounds(bounds.cold_slots, bounds.slots.min(told));
    }

    /// Whether the upstream may hold flows that this process does not know: it has run before the
    /// process has, and not all of its flows of that time are over.
    pub(super) fn is_incomplete(&self, now: Instant) -> bool {
        let is_older = match self.upstream.last_report() {
            Some(report) => report.started_ms < self.started.1,
            None => true,
        };
        is_older && now.duration_since(self.started.0) < FLOW_AGE
    }

    /// Notes that the upstream has sent something.
    pub(super) fn hear_upstream(&mut self, now: Instant) {
        self.upstream_heard = Some(now);
        if std::mem::take(&mut self.is_upstream_silent) {
            info!(self.events.logger(), "upstream answers again");
            self.exchange_loads(now);
        }
    }

    /// Spares an upstream that has sent nothing since it was asked to take a flow.
    pub(super) fn look_after_opening(&mut self, now: Instant) {
        while let Some((since, flow)) = take_due(&mut self.opening, ANSWERING, now) {
            self.confirming.push_back((since, flow));
            let is_taken = self.table.get(&flow).is_none_or(connection::State::is_open);
            let is_heard = self.upstream_heard.is_some_and(|heard| heard > since);
            if !is_taken && !is_heard && !self.is_upstream_silent {
                warn!(self.events.logger(), "upstream does not answer"; "flow" => %flow,
                    "after_ms" => ANSWERING.as_millis() as u64);
                self.is_upstream_silent = true;
                self.exchange_loads(now);
            }
        }
    }

    /// Frees the slots of flows whose callers have not gone on with them.
    pub(super) fn look_after_confirming(&mut self, now: Instant) {
        while let Some((_, flow)) = take_due(&mut self.confirming, CONFIRMING, now) {
            if B::RESOLVES_DUPLICATE_OPENS {
                self.table.release_unconfirmed(&flow);
            }
        }
    }

    pub(super) fn upstream_failed(&mut self, flow: &Flow, now: Instant) {
        let since = self.table.get(flow).map_or(now, |connection| connection.admitted_at);
        let was_ejected = self.limit.is_ejected(now);
        self.limit.record_failure(since, now);
        self.metrics.count("failed");
        unusual!(self.events, "flow failed at the upstream"; "flow" => %flow,
            "age_us" => now.duration_since(since).as_micros() as u64,
            "limit" => self.limit.current());
        if !was_ejected && self.limit.is_ejected(now) {
            warn!(self.events.logger(), "upstream ejected"; "limit" => self.limit.current());
            // The other members must not wait for the next exchange to spare the upstream.
            self.exchange_loads(now);
        }
    }

    /// Gives all flows up, as the upstream does not hold them any more.
    fn lose_all(&mut self) {
        let flows: Vec<Flow> = self.table.iter().map(|(flow, _)| *flow).collect();
        for flow in flows {
            unusual!(self.events, "flow ended with its upstream"; "flow" => %flow);
            self.metrics.count("reset.gone");
            self.reset_caller(&flow);
            self.forget(&flow);
        }
        self.limit.reset_to_cold(clock::now());
    }
}

/// The oldest of some flows, if it has waited for a time.
fn take_due(
    flows: &mut VecDeque<(Instant, Flow)>,
    age: Duration,
    now: Instant,
) -> Option<(Instant, Flow)> {
    flows.pop_front_if(|(since, _)| now.duration_since(*since) >= age)
}
