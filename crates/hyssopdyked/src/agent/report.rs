//! Reports between the members of a service, which give the home of each flow a record of it.

use std::net::SocketAddr;
use std::time::Instant;

use hyssopdyke::connection::{self, Custody, Flow};
use hyssopdyke::process::Due;
use hyssopdyke::request::PacketCodec;
use hyssopdyke::version::{Member, Pool};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Record, Report, Reported, Stage, datagram::Body};
use slog::info;

use super::worker::Worker;
use crate::clock;
use crate::log::unusual;

/// Maximum number of records in one report, so that the report fits into a datagram.
const MAX_RECORDS_PER_REPORT: usize = 24;

impl<C: PacketCodec> Worker<C> {
    /// Returns whether every other member has reported the flows whose home is this agent, since
    /// this agent became a home or the homes changed.
    ///
    /// Members that join later owe it nothing: it has placed their flows itself, or holds their
    /// records.
    fn has_all_flow_reports(&self) -> bool {
        let Some(epoch) = self.report_epoch() else { return false };
        self.settled_epoch == Some(epoch)
            || self.has_all_record_reports()
                && self.owned_barrier.is_complete(epoch, self.other_members())
    }

    /// Returns whether every other member has reported its records of this agent's flows.
    fn has_all_record_reports(&self) -> bool {
        let epoch = self.report_epoch();
        epoch.is_some_and(|epoch| {
            self.records_barrier.is_complete_since(epoch, self.other_members())
        })
    }

    /// Returns whether all required reports have arrived, so that a flow in no table of this agent
    /// is one that no member has reported.
    pub(super) fn has_required_reports(&self, now: Instant) -> bool {
        self.has_all_flow_reports()
            || !C::CAN_RESET_OPEN_FLOWS && self.has_reachable_flow_reports(now)
    }

    /// Returns whether all reachable agents have reported their flows and their records, including
    /// those in failure domains that are out.
    fn has_reachable_flow_reports(&self, now: Instant) -> bool {
        let (Some(pool), Some(epoch)) = (&self.pool, self.report_epoch()) else { return false };
        let reachable = || {
            let members = self.peers.reachable_members(pool, self.own_id, now);
            members.filter(|vm| *vm != self.own_id)
        };
        self.owned_barrier.is_complete(epoch, reachable())
            && self.records_barrier.is_complete_since(epoch, reachable())
    }

    /// Returns the revision from which on this agent needs the reports of the other members.
    fn report_epoch(&self) -> Option<u64> {
        self.pool.as_ref()?.report_epoch(self.own_id)
    }

    /// Returns the other members whose reports this agent needs. An agent whose failure domain is out
    /// goes on to serve its flows if they cannot be reset; while it does not know them, searches ask it.
    fn other_members(&self) -> impl Iterator<Item = vm::Id> {
        let members = self.pool.iter().flat_map(|pool| &pool.members);
        let out_members = self
            .pool
            .iter()
            .flat_map(|pool| &pool.out_members)
            .filter(|member| !C::CAN_RESET_OPEN_FLOWS && self.peers.knows_flows(member.vm));
        members.chain(out_members).map(|member| member.vm).filter(|vm| *vm != self.own_id)
    }

    /// Applies a new membership epoch, and makes the reports that are due for it.
    pub(super) fn handle_epoch_change(&mut self, pool: &Pool, is_home_change: bool) {
        self.peers.update_members(pool, clock::now());
        self.scheduler.retain(|vm| pool.member(vm).is_some());
        if let Some(epoch) = pool.report_epoch(self.own_id) {
            self.owned_barrier.forget_before(epoch);
        }
        self.report_plan.retain(|vm| pool.member(vm).is_some());
        self.outbox.retain(|to, report| is_needed(pool, to, report, is_home_change));
        self.searches.clear();
        if is_home_change {
            self.pending_records.clear();
        } else {
            self.queue_lost_records(pool);
        }
        self.mark_absent();
        if C::CAN_RESET_OPEN_FLOWS {
            self.directory.retain(|_, record| !is_owned_by(record, &pool.out_members));
        }
        // A former member queues its reports as well, and sends them once it is a member again.
        if !self.is_recovering {
            self.queue_owned_flows(pool);
        }
        for Due { to, epoch } in self.report_plan.take_due_records(pool, self.own_id) {
            let records = self.records_for(pool, to);
            self.queue_full_report(to, epoch, Stage::Records, &records);
        }
        if is_home_change {
            let (own_id, keys) = (self.own_id, self.flow_hash_keys);
            self.directory.mark_moved(clock::now(), |flow, owner| {
                pool.is_record_holder(flow.hash(keys), owner, own_id)
            });
        }
        if self.is_member && is_home_change {
            // A new home does not know any loads.
            self.exchange_loads(clock::now());
        }
        if self.is_member && self.is_leaving && is_home_change {
            self.queue_final_reports();
        }
        self.resume_after_report();
    }

    /// Queues the records of flows whose owner has just left, and whose home may not have them yet
    /// since a recent change of the homes.
    fn queue_lost_records(&mut self, pool: &Pool) {
        let own_id = self.own_id;
        let lost = self.directory.iter().filter_map(|(flow, record)| match record {
            connection::Record::Owned {
                owner,
                isn,
                is_confirmed,
                absent_since: None,
                custody: Custody::Moved(_),
            } if pool.find(*owner).is_none() => {
                let home = pool.top_two(self.hash(flow)).0.filter(|home| *home != own_id)?;
                Some((home, wire_record(flow, *isn, *owner, *is_confirmed)))
            }
            _ => None,
        });
        let lost: Vec<(vm::Id, Record)> = lost.collect();
        for (home, record) in lost {
            self.pending_records.entry(home).or_default().opened.push(record);
        }
    }

    /// Queues reports of all records to every home before this agent stops.
    ///
    /// Several agents may stop at the same time, among them a flow's owner and the holder of its
    /// record. Flows that another upstream was offered as well, and that their callers have not
    /// confirmed here, are reported as ended.
    pub(super) fn queue_final_reports(&mut self) {
        let Some(pool) = self.pool.clone() else { return };
        let open = || self.table.iter().filter(|(_, state)| !state.is_closed());
        let owned = open().filter(|(_, state)| is_settled::<C>(state));
        let owned = owned.map(|(flow, state)| self.record(flow, state));
        let contested = open().filter(|(_, state)| state.is_contested());
        let contested: Vec<Record> =
            contested.map(|(flow, state)| self.record(flow, state)).collect();
        let recorded = self.directory.iter().filter_map(|(flow, record)| match record {
            connection::Record::Owned {
                owner, isn, is_confirmed, custody: Custody::Kept, ..
            } => Some(wire_record(flow, *isn, *owner, *is_confirmed)),
            _ => None,
        });
        let records: Vec<Record> = owned.chain(recorded).collect();
        let own_id = self.own_id;
        for home in pool.homes.iter().copied().filter(|home| *home != own_id) {
            self.queue_changes(home, pool.epoch, &records, &contested);
        }
    }

    /// Queues reports of flows that were opened and flows that have ended.
    fn queue_changes(&mut self, to: vm::Id, epoch: u64, opened: &[Record], ended: &[Record]) {
        let mut opened = opened.chunks(MAX_RECORDS_PER_REPORT);
        let mut ended = ended.chunks(MAX_RECORDS_PER_REPORT);
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

    /// Queues reports of this agent's flows to the homes that need them.
    fn queue_owned_flows(&mut self, pool: &Pool) {
        let own_id = self.own_id;
        for Due { to, epoch } in self.report_plan.take_due_owned(pool, own_id) {
            let owned = self.table.iter().filter(|(flow, state)| {
                let is_open = !state.is_closed() && !state.is_contested();
                is_open && pool.is_record_holder(self.hash(flow), own_id, to)
            });
            let owned: Vec<Record> = owned.map(|(flow, state)| self.record(flow, state)).collect();
            self.queue_full_report(to, epoch, Stage::Own, &owned);
        }
    }

    fn queue_full_report(&mut self, to: vm::Id, epoch: u64, stage: Stage, records: &[Record]) {
        let parts = records.len().div_ceil(MAX_RECORDS_PER_REPORT).max(1) as u32;
        let mut chunks = records.chunks(MAX_RECORDS_PER_REPORT);
        for part in 0..parts {
            let opened = chunks.next().unwrap_or_default().to_vec();
            let stage = stage as i32;
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

    /// Returns the records that a member needs besides those of this agent's flows: the flows that
    /// the member owns and may have lost, and the flows of absent owners whose home the member is.
    ///
    /// The latter come from the member that has kept the record until now, or from the second-ranked
    /// home, which may have a copy from a member that has left.
    pub(super) fn records_for(&self, pool: &Pool, to: vm::Id) -> Vec<Record> {
        let records = self.directory.iter().filter_map(|(flow, record)| match record {
            connection::Record::Owned { owner, isn, is_confirmed, absent_since, custody } => {
                let (first, second) = pool.top_two(self.hash(flow));
                let is_sender = *custody == Custody::Kept || second == Some(self.own_id);
                let is_lost = absent_since.is_some() && first == Some(to) && is_sender;
                let is_own = *owner == to && *is_confirmed;
                (is_own || is_lost).then(|| wire_record(flow, *isn, *owner, *is_confirmed))
            }
            connection::Record::Offered(_) => None,
        });
        records.collect()
    }

    /// Queues a flow that was opened or confirmed for the report to the member that keeps its record
    /// besides `home`, which knows already.
    pub(super) fn queue_opened(&mut self, flow: &Flow, home: vm::Id) {
        let Some(state) = self.table.get(flow) else { return };
        let record = self.record(flow, state);
        if let Some(holder) = self.holder(flow).filter(|holder| *holder != home) {
            self.pending_records.entry(holder).or_default().opened.push(record);
        }
    }

    /// Queues the end of a flow for the report to the member that keeps its record.
    pub(super) fn queue_ended(&mut self, flow: &Flow, isn: u32) {
        let record = wire_record(flow, isn, self.own_id, true);
        if let Some(holder) = self.holder(flow) {
            self.pending_records.entry(holder).or_default().ended.push(record);
        }
    }

    /// Queues the end of a flow for reports to all homes.
    pub(super) fn queue_ended_everywhere(&mut self, flow: &Flow, isn: u32) {
        let record = wire_record(flow, isn, self.own_id, true);
        let homes = self.pool.iter().flat_map(|pool| pool.homes.iter().copied());
        for home in homes.filter(|home| *home != self.own_id) {
            self.pending_records.entry(home).or_default().ended.push(record.clone());
        }
    }

    /// Returns the other member that keeps the record of a flow of this agent.
    pub(super) fn holder(&self, flow: &Flow) -> Option<vm::Id> {
        let (first, second) = self.pool.as_ref()?.top_two(self.hash(flow));
        if first == Some(self.own_id) { second } else { first }
    }

    /// Moves the pending records into reports in the outbox.
    pub(super) fn flush_pending_records(&mut self) {
        let epoch = self.pool.as_ref().map_or(0, |pool| pool.epoch);
        for (to, pending) in std::mem::take(&mut self.pending_records) {
            self.queue_changes(to, epoch, &pending.opened, &pending.ended);
        }
    }

    /// Sends the reports that are due.
    pub(super) fn send_reports(&mut self) {
        let is_known = self.is_member || self.is_domain_out;
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

    /// Handles a member's report and acknowledges it.
    pub(super) fn handle_report(&mut self, report: &Report, from: SocketAddr) {
        let Some(sender) = self.peers.id(from) else {
            return self.metrics.count("dropped.no_peer");
        };
        let Some(pool) = self.pool.clone() else {
            return;
        };
        // The sender retries a report for homes that this agent does not know yet.
        let due = Due { to: self.own_id, epoch: report.epoch };
        if report.parts > 0 && !due.is_expected(&pool, report.stage()) {
            return self.metrics.count("dropped.epoch");
        }
        for record in &report.opened {
            self.apply_record(&pool, record);
        }
        for record in &report.ended {
            if let Ok(flow) = Flow::try_from(record.flow.as_ref()) {
                self.directory.remove_owned(&flow, record.owner, Some(record.isn));
            }
        }
        self.send_to(from, Body::Reported(Reported { sequence: report.sequence }));
        let barrier = match report.stage() {
            Stage::Records => &mut self.records_barrier,
            Stage::Own => &mut self.owned_barrier,
            Stage::Unspecified => return,
        };
        barrier.record_part(sender, report.epoch, report.part, report.parts);
        self.resume_after_report();
    }

    fn apply_record(&mut self, pool: &Pool, record: &Record) {
        let Ok(flow) = Flow::try_from(record.flow.as_ref()) else {
            return self.metrics.count("unexpected");
        };
        if record.owner == self.own_id {
            // A caller that has not confirmed the flow may use another upstream.
            if !record.unconfirmed {
                self.adopt(flow, record.isn);
            }
            return;
        }
        if C::CAN_RESET_OPEN_FLOWS
            && pool.out_members.iter().any(|member| member.vm == record.owner)
        {
            return;
        }
        self.record_owner(flow, record.owner, record.isn, !record.unconfirmed);
        if !pool.is_record_holder(self.hash(&flow), record.owner, self.own_id) {
            // From the final report of a leaving member: the owner of the flow, and the member that
            // would keep its record next, may be about to stop as well.
            self.directory.mark_handed_over(&flow, clock::now());
        }
        if pool.find(record.owner).is_none() {
            self.mark_absent();
        }
    }

    /// Adopts a flow that a former process of this agent admitted.
    fn adopt(&mut self, flow: Flow, isn: u32) {
        let is_known = self.table.get(&flow).is_some() || self.disowned.contains(&flow);
        if !self.is_recovering || is_known {
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

    /// Resumes the work that waits for the reports of other members.
    fn resume_after_report(&mut self) {
        if !self.is_member || !self.has_all_record_reports() {
            return;
        }
        if self.has_all_flow_reports() {
            self.settled_epoch = self.report_epoch();
        }
        if self.is_recovering {
            self.is_recovering = false;
            self.disowned.clear();
            info!(self.events.logger(), "flows taken over"; "flows" => self.table.len());
            if let Some(pool) = self.pool.clone() {
                self.queue_owned_flows(&pool);
            }
            self.verify_adopted(clock::now());
        }
        self.process_held_packets();
    }

    /// Processes the held packets once all required reports have arrived.
    pub(super) fn process_held_packets(&mut self) {
        if !self.held_packets.is_empty() && self.has_required_reports(clock::now()) {
            for (forward, from) in std::mem::take(&mut self.held_packets) {
                self.handle_forward(forward, from);
            }
        }
    }

    /// Returns the record of a flow of this agent.
    fn record(&self, flow: &Flow, state: &connection::State) -> Record {
        let is_confirmed = !C::RESOLVES_DUPLICATE_OPENS || state.is_confirmed();
        wire_record(flow, state.isn, self.own_id, is_confirmed)
    }
}

/// Returns whether the caller of a flow certainly uses this agent's upstream: where callers may be
/// offered several, they have to confirm one, and the upstream of an adopted flow has to send a packet.
fn is_settled<C: PacketCodec>(state: &connection::State) -> bool {
    !C::RESOLVES_DUPLICATE_OPENS || state.is_confirmed() && !state.is_unverified()
}

/// Returns whether the owner of a record is one of `members`.
fn is_owned_by(record: &connection::Record, members: &[Member]) -> bool {
    matches!(record, connection::Record::Owned { owner, .. }
        if members.iter().any(|member| member.vm == *owner))
}

/// Returns whether a report that was queued before a change of members is still needed.
fn is_needed(pool: &Pool, to: vm::Id, report: &Report, is_home_change: bool) -> bool {
    if report.parts > 0 {
        return Due { to, epoch: report.epoch }.is_needed(pool, report.stage());
    }
    // Full reports replace those of single flows when the homes change.
    !is_home_change && pool.member(to).is_some()
}

/// Builds the record of a flow for a report.
pub(super) fn wire_record(flow: &Flow, isn: u32, owner: vm::Id, is_confirmed: bool) -> Record {
    Record { flow: Some((*flow).into()), isn, owner, unconfirmed: !is_confirmed }
}
