//! Reports between the members of a service, which keep each flow known to its home.

use std::net::SocketAddr;
use std::time::Instant;

use hyssopdyke::connection::{self, Flow};
use hyssopdyke::process::Barrier;
use hyssopdyke::request::PacketCodec;
use hyssopdyke::version::{Member, Pool};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Record, Report, Reported, Stage, datagram::Body};
use slog::info;

use super::worker::{Increment, Worker};
use crate::clock;
use crate::log::unusual;

/// Records in one report, so that it fits a datagram.
const RECORDS: usize = 24;

impl<B: PacketCodec> Worker<B> {
    /// Whether every other member has reported the flows whose home this agent is.
    fn knows_all_flows(&self) -> bool {
        self.knows_records() && self.has_all(&self.own_barrier)
    }

    /// Whether every other member has reported its records of this agent's flows.
    fn knows_records(&self) -> bool {
        self.has_all(&self.records_barrier)
    }

    /// Whether a flow that is in no table of this agent is one that nobody has reported.
    pub(super) fn is_sure(&self, now: Instant) -> bool {
        if B::CAN_RESET_OPEN_FLOWS { self.knows_all_flows() } else { self.knows_flows_of_all(now) }
    }

    /// Whether all agents that can be heard have reported their flows, also those in failure
    /// domains that are out.
    fn knows_flows_of_all(&self, now: Instant) -> bool {
        let Some(pool) = &self.pool else { return false };
        let heard = self.peers.heard_members(pool, self.me, now);
        self.own_barrier.is_complete(pool.epoch, heard.filter(|vm| *vm != self.me))
    }

    fn has_all(&self, barrier: &Barrier) -> bool {
        let Some(pool) = &self.pool else {
            return false;
        };
        let others = pool.members.iter().map(|member| member.vm).filter(|vm| *vm != self.me);
        barrier.is_complete(pool.epoch, others)
    }

    /// Reports all flows anew, since homes have moved.
    pub(super) fn epoch_changed(&mut self, pool: &Pool) {
        self.peers.follow(pool, clock::now());
        self.draw.retain(|vm| pool.member(vm).is_some());
        self.records_barrier.retain(|vm| pool.member(vm).is_some());
        self.own_barrier.retain(|vm| pool.find(vm).is_some());
        self.outbox.retain(|_, _| false);
        self.increments.clear();
        self.searches.clear();
        self.mark_absent();
        if B::CAN_RESET_OPEN_FLOWS {
            self.directory.retain(|_, record| !is_owned_by(record, &pool.out_members));
        }
        if !self.is_member {
            // Homes have moved for the flows that are served on for a while, too.
            return self.report_own(pool);
        }
        let me = self.me;
        for member in pool.members.iter().filter(|member| member.vm != me) {
            let records = self.records_for(pool, member.vm);
            self.report_all(pool, member.vm, Stage::Records, &records);
        }
        if !self.is_fresh {
            self.report_own(pool);
        }
        if self.is_leaving {
            self.report_farewell();
        }
        self.must_prune = true;
        self.release_held();
    }

    /// Tells every other member all that this agent knows, before it stops.
    ///
    /// Several agents may stop at the same time, a flow's owner and its holder among them.
    pub(super) fn report_farewell(&mut self) {
        let Some(pool) = self.pool.clone() else { return };
        let own = self.table.iter().filter(|(_, state)| !state.is_closed());
        let own = own.map(|(flow, state)| self.record(flow, state.isn));
        let held = self.directory.iter().filter_map(|(flow, record)| match record {
            connection::Record::Owned { owner, isn, .. } => Some(message(flow, *isn, *owner)),
            connection::Record::Offered(_) => None,
        });
        let records: Vec<Record> = own.chain(held).collect();
        let me = self.me;
        for member in pool.members.iter().filter(|member| member.vm != me) {
            for chunk in records.chunks(RECORDS) {
                let (epoch, opened) = (pool.epoch, chunk.to_vec());
                self.outbox.push(member.vm, |sequence| Report {
                    sequence,
                    epoch,
                    opened,
                    ..Report::default()
                });
            }
        }
    }

    /// Drops the records of others' flows that other members keep, once these know them.
    pub(super) fn prune(&mut self) {
        let Some(pool) = self.pool.clone() else { return };
        if !self.must_prune || !self.outbox.is_empty() || !self.knows_all_flows() {
            return;
        }
        self.must_prune = false;
        let (me, keys) = (self.me, self.keys);
        self.directory.retain(|flow, record| match record {
            connection::Record::Owned { owner, absent_since: None, .. } => {
                pool.is_record_holder(flow.hash(keys), *owner, me)
            }
            _ => true,
        });
    }

    /// Reports this agent's flows to the members that keep records of them.
    fn report_own(&mut self, pool: &Pool) {
        let me = self.me;
        for member in pool.members.iter().filter(|member| member.vm != me) {
            let own = self.table.iter().filter(|(flow, state)| {
                !state.is_closed() && pool.is_record_holder(self.hash(flow), me, member.vm)
            });
            let own: Vec<Record> = own.map(|(flow, state)| self.record(flow, state.isn)).collect();
            self.report_all(pool, member.vm, Stage::Own, &own);
        }
    }

    fn report_all(&mut self, pool: &Pool, to: vm::Id, stage: Stage, records: &[Record]) {
        let parts = records.len().div_ceil(RECORDS).max(1) as u32;
        let mut chunks = records.chunks(RECORDS);
        for part in 0..parts {
            let opened = chunks.next().unwrap_or_default().to_vec();
            let (epoch, stage) = (pool.epoch, stage as i32);
            self.outbox.push(to, |sequence| Report {
                sequence,
                epoch,
                opened,
                part,
                parts,
                stage,
                ..Report::default()
            });
        }
    }

    /// What a member must know besides this agent's flows: the flows that it owns itself and may
    /// have forgotten, and the flows of missing owners whose home it is.
    fn records_for(&self, pool: &Pool, to: vm::Id) -> Vec<Record> {
        let records = self.directory.iter().filter_map(|(flow, record)| match record {
            connection::Record::Owned { owner, isn, absent_since } => {
                let is_lost = absent_since.is_some() && pool.top_two(self.hash(flow)).0 == Some(to);
                (*owner == to || is_lost).then(|| message(flow, *isn, *owner))
            }
            connection::Record::Offered(_) => None,
        });
        records.collect()
    }

    /// Notes a flow for the report to the member that must know of it besides the home.
    pub(super) fn note_opened(&mut self, flow: &Flow, home: vm::Id, isn: u32) {
        let record = self.record(flow, isn);
        if let Some(holder) = self.holder(flow) {
            // The home learns of the flow from the answer to its offer.
            if holder != home {
                self.increments.entry(holder).or_default().opened.push(record);
            }
        }
    }

    /// Notes the end of a flow for the report to the member that knows of it.
    pub(super) fn note_ended(&mut self, flow: &Flow, isn: u32) {
        let record = self.record(flow, isn);
        if let Some(holder) = self.holder(flow) {
            self.increments.entry(holder).or_default().ended.push(record);
        }
    }

    /// The other member that keeps a record of a flow of this agent.
    pub(super) fn holder(&self, flow: &Flow) -> Option<vm::Id> {
        let (first, second) = self.pool.as_ref()?.top_two(self.hash(flow));
        if first == Some(self.me) { second } else { first }
    }

    /// Turns what was noted into reports.
    pub(super) fn flush_increments(&mut self) {
        let epoch = self.pool.as_ref().map_or(0, |pool| pool.epoch);
        for (to, increment) in std::mem::take(&mut self.increments) {
            let Increment { opened, ended } = increment;
            let mut opened = opened.chunks(RECORDS);
            let mut ended = ended.chunks(RECORDS);
            loop {
                let (opened, ended) = (opened.next(), ended.next());
                if opened.is_none() && ended.is_none() {
                    break;
                }
                let opened = opened.unwrap_or_default().to_vec();
                let ended = ended.unwrap_or_default().to_vec();
                self.outbox.push(to, |sequence| Report {
                    sequence,
                    epoch,
                    opened,
                    ended,
                    ..Report::default()
                });
            }
        }
    }

    /// Sends the reports that are due.
    pub(super) fn send_reports(&mut self) {
        let is_known = self.is_member || self.is_out;
        let Some(pool) = self.pool.clone().filter(|_| is_known) else {
            return;
        };
        let now = clock::now();
        let (link, membership) = (&mut self.link, &self.membership);
        self.outbox.send_due(now, |to, report| {
            if let Some(member) = pool.member(to) {
                link.send(&membership.message(Body::Report(report.clone())), member.address);
            }
        });
    }

    /// Takes in a member's report.
    pub(super) fn reported(&mut self, report: &Report, from: SocketAddr) {
        let Some(sender) = self.peers.id(from) else {
            return self.metrics.count("dropped.no_peer");
        };
        let Some(pool) = self.pool.clone() else {
            return;
        };
        // A report for members that this agent does not know yet is sent again later.
        if report.parts > 0 && report.epoch != pool.epoch {
            return self.metrics.count("dropped.epoch");
        }
        if report.parts == 0 && self.is_farewell(&pool, report) {
            // What a leaver hands over is kept until the members have changed.
            self.must_prune = false;
        }
        for record in &report.opened {
            self.note_record(&pool, record);
        }
        for record in &report.ended {
            if let Ok(flow) = Flow::try_from(record.flow.as_ref()) {
                self.directory.remove_owned(&flow, record.owner, Some(record.isn));
            }
        }
        self.send_to(from, Body::Reported(Reported { sequence: report.sequence }));
        let barrier = match report.stage() {
            Stage::Records => &mut self.records_barrier,
            Stage::Own => &mut self.own_barrier,
            Stage::Unspecified => return,
        };
        barrier.record_part(sender, report.epoch, report.part, report.parts);
        self.release_held();
    }

    /// Whether a report brings records that other members keep.
    fn is_farewell(&self, pool: &Pool, report: &Report) -> bool {
        report.opened.iter().any(|record| {
            let flow = Flow::try_from(record.flow.as_ref());
            flow.is_ok_and(|flow| !pool.is_record_holder(self.hash(&flow), record.owner, self.me))
        })
    }

    fn note_record(&mut self, pool: &Pool, record: &Record) {
        let Ok(flow) = Flow::try_from(record.flow.as_ref()) else {
            return self.metrics.count("unexpected");
        };
        if record.owner == self.me {
            return self.adopt(flow, record.isn);
        }
        if B::CAN_RESET_OPEN_FLOWS
            && pool.out_members.iter().any(|member| member.vm == record.owner)
        {
            return;
        }
        self.owned(flow, record.owner, record.isn);
        // What a farewell brings besides is kept until the members have changed: the owner, and
        // who would keep the record, may be about to stop.
        if pool.find(record.owner).is_none() {
            self.mark_absent();
        }
    }

    /// Takes back a flow that a former process of this agent admitted.
    fn adopt(&mut self, flow: Flow, isn: u32) {
        if !self.is_fresh || self.table.get(&flow).is_some() {
            return;
        }
        let view = self.membership.view();
        let Some(route) = view.route(flow.service, flow.protocol) else {
            return;
        };
        let connection = connection::State::adopted(isn, clock::now(), route.class);
        unusual!(self.events, "flow adopted"; "flow" => %flow);
        self.metrics.count("adopted");
        self.table.insert(flow, connection);
    }

    /// Goes on where it had to wait for the reports of other members.
    fn release_held(&mut self) {
        if !self.is_member || !self.knows_records() {
            return;
        }
        if self.is_fresh {
            self.is_fresh = false;
            info!(self.events.logger(), "flows taken over"; "flows" => self.table.len());
            if let Some(pool) = self.pool.clone() {
                self.report_own(&pool);
            }
            self.verify_adopted(clock::now());
        }
        self.take_held();
    }

    /// Takes the packets that waited, once all reports have come.
    pub(super) fn take_held(&mut self) {
        if !self.held.is_empty() && self.is_sure(clock::now()) {
            for (forward, from) in std::mem::take(&mut self.held) {
                self.forwarded(forward, from);
            }
        }
    }

    /// The record of a flow of this agent.
    fn record(&self, flow: &Flow, isn: u32) -> Record {
        message(flow, isn, self.me)
    }
}

/// Whether a record's owner is one of some members.
fn is_owned_by(record: &connection::Record, members: &[Member]) -> bool {
    matches!(record, connection::Record::Owned { owner, .. }
        if members.iter().any(|member| member.vm == *owner))
}

/// The record of a flow, as it is sent.
fn message(flow: &Flow, isn: u32, owner: vm::Id) -> Record {
    Record { flow: Some((*flow).into()), isn, owner }
}
