//! Tests of the reports that changes of members cost a group, without processes or network.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssopdyke::process::{Barrier, Due, ReportPlan};
use hyssopdyke::version::{Pool, Registry, View};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::Stage;
use hyssopdyke_wire::ledger::{Command, Register, Unregister, Write, command};
use hyssopdyke_wire::resource::{Domain, Kind, Resource, Service, Upstream, resource::Body};

/// Homes in a large group.
const HOMES: usize = 16;

/// Sizes of the groups whose costs are compared.
const SIZES: [usize; 4] = [17, 34, 68, 136];

/// Control with one service.
struct Control {
    registry: Registry,
    next_process: u64,
}

impl Control {
    fn new() -> Self {
        let mut registry = Registry::new();
        let service = Service { connections: 9, ..Service::default() };
        registry.apply(write("s", Body::Service(service)));
        Self { registry, next_process: 1 }
    }

    fn with_members(count: usize) -> Self {
        let mut control = Self::new();
        for index in 0..count {
            control.register(index);
        }
        control
    }

    /// Registers a new process of a member, and returns its identity.
    fn register(&mut self, index: usize) -> u64 {
        self.register_version(index, true)
    }

    fn register_version(&mut self, index: usize, bounded_homes: bool) -> u64 {
        let boot = self.next_process;
        self.next_process += 1;
        let upstream = Upstream {
            domain: format!("d-{}", index % 5),
            service: "s".into(),
            address: format!("10.0.{}.{}:5556", index / 250, index % 250),
            boot,
            bounded_homes,
            ..Upstream::default()
        };
        let body = Some(Body::Upstream(upstream));
        let resource = Some(Resource { name: name(index), body, ..Resource::default() });
        let body = Some(command::Body::Register(Register { resource }));
        self.registry.apply(Command { body });
        boot
    }

    fn unregister(&mut self, index: usize, boot: u64) {
        let kind = Kind::Upstream as i32;
        let unregister = Unregister { kind, name: name(index), boot, ..Unregister::default() };
        self.registry.apply(Command { body: Some(command::Body::Unregister(unregister)) });
    }

    fn set_out(&mut self, domain: usize, out: bool) {
        self.registry.apply(write(&format!("d-{domain}"), Body::Domain(Domain { out })));
    }

    fn pool(&self) -> Arc<Pool> {
        Arc::clone(View::new(self.registry.store()).pool("s").unwrap())
    }
}

fn write(name: &str, body: Body) -> Command {
    let resource = Some(Resource { name: name.into(), body: Some(body), ..Resource::default() });
    Command { body: Some(command::Body::Write(Write { resource, ..Write::default() })) }
}

fn name(index: usize) -> String {
    format!("vm-{index}")
}

fn id(index: usize) -> vm::Id {
    vm::id(&name(index))
}

/// Plans of all members of a group, which apply each change at once.
#[derive(Default)]
struct Group {
    plans: BTreeMap<vm::Id, ReportPlan>,
}

impl Group {
    /// Returns the number of full reports that each member makes for a change.
    fn apply(&mut self, pool: &Pool) -> BTreeMap<vm::Id, usize> {
        let mut counts = BTreeMap::new();
        for member in &pool.members {
            let plan = self.plans.entry(member.vm).or_default();
            plan.retain(|vm| pool.member(vm).is_some());
            let owned = plan.take_due_owned(pool, member.vm).len();
            let records = plan.take_due_records(pool, member.vm).len();
            counts.insert(member.vm, owned + records);
        }
        counts
    }

    fn restart(&mut self, vm: vm::Id) {
        self.plans.remove(&vm);
    }
}

fn total(counts: &BTreeMap<vm::Id, usize>) -> usize {
    counts.values().sum()
}

#[test]
fn leave_other_member() {
    for size in SIZES {
        let mut control = Control::with_members(size);
        let mut group = Group::default();
        group.apply(&control.pool());
        let pool = control.pool();
        assert_eq!(pool.homes.len(), HOMES);
        let leaving = (0..size).find(|index| !pool.is_home(id(*index))).unwrap();
        control.unregister(leaving, leaving as u64 + 1);
        let after = control.pool();
        assert!(after.epoch > pool.epoch);
        assert_eq!((after.home_epoch, &after.homes), (pool.home_epoch, &pool.homes));
        assert_eq!(total(&group.apply(&after)), 0, "{size}");
    }
}

#[test]
fn join_other_member() {
    for size in SIZES {
        let mut control = Control::with_members(size);
        let mut group = Group::default();
        group.apply(&control.pool());
        let homes = control.pool().homes.clone();
        let joining = (size..size + 100).find(|index| {
            let mut next = Control::with_members(size);
            next.register(*index);
            next.pool().homes == homes
        });
        let joining = joining.unwrap();
        control.register(joining);
        let counts = group.apply(&control.pool());
        for (vm, count) in counts {
            // Each member has one report for the new one, which has one for each home.
            assert_eq!(count, if vm == id(joining) { HOMES + size } else { 1 }, "{size}");
        }
    }
}

#[test]
fn restart_home() {
    // The flows of the homes have not moved, so that only the restarted home needs reports.
    for size in SIZES {
        let mut control = Control::with_members(size);
        let mut group = Group::default();
        let pool = control.pool();
        group.apply(&pool);
        let restarted = (0..size).find(|index| pool.is_home(id(*index))).unwrap();
        control.register(restarted);
        group.restart(id(restarted));
        let after = control.pool();
        assert_eq!(after.home_epoch, pool.home_epoch);
        for (vm, count) in group.apply(&after) {
            let own = HOMES - 1 + size - 1;
            assert_eq!(count, if vm == id(restarted) { own } else { 2 }, "{size}");
        }
    }
}

#[test]
fn replace_each_member() {
    // Over a rolling replacement of all members, the mean cost of a change must not grow faster
    // than the group.
    let means: Vec<f64> = SIZES
        .iter()
        .map(|size| {
            let mut control = Control::with_members(*size);
            let mut group = Group::default();
            group.apply(&control.pool());
            let mut sent = 0;
            for index in 0..*size {
                control.unregister(index, index as u64 + 1);
                sent += total(&group.apply(&control.pool()));
                group.restart(id(index));
                control.register(index);
                sent += total(&group.apply(&control.pool()));
            }
            sent as f64 / (2 * size) as f64
        })
        .collect();
    for (size, mean) in SIZES.iter().zip(&means).skip(1) {
        let growth = mean / means[0];
        assert!(growth <= *size as f64 / SIZES[0] as f64, "{means:?}");
    }
}

#[test]
fn home_epoch_homes_return() {
    // A home that leaves and returns, and a home that came and left again, give the same homes as
    // before. Reports for the former ones must not count.
    let mut control = Control::with_members(40);
    let first = control.pool();
    let index = (0..40).find(|index| first.is_home(id(*index))).unwrap();
    control.unregister(index, index as u64 + 1);
    let without = control.pool();
    assert!(without.home_epoch > first.home_epoch);
    control.register(index);
    let returned = control.pool();
    assert_eq!(returned.homes, first.homes);
    assert!(returned.home_epoch > without.home_epoch);
    // The same without a new process: the failure domain is taken out and back.
    control.set_out(index % 5, true);
    let out = control.pool();
    assert!(out.home_epoch > returned.home_epoch);
    control.set_out(index % 5, false);
    let back = control.pool();
    assert_eq!(back.homes, first.homes);
    assert!(back.home_epoch > out.home_epoch);
}

#[test]
fn home_epoch_restored() {
    let mut control = Control::with_members(40);
    let restored = Registry::restore(control.registry.snapshot(1, 1));
    let mut other = Control { registry: restored, next_process: control.next_process };
    for control in [&mut control, &mut other] {
        let pool = control.pool();
        let index = (0..40).find(|index| !pool.is_home(id(*index))).unwrap();
        control.unregister(index, index as u64 + 1);
        assert_eq!(control.pool().home_epoch, pool.home_epoch);
    }
    assert_eq!(control.registry.snapshot(1, 1), other.registry.snapshot(1, 1));
}

#[test]
fn homes_former_version() {
    // An agent of an earlier version takes all members as homes, and reports at each change.
    let mut control = Control::with_members(30);
    let boot = control.register_version(30, false);
    let pool = control.pool();
    assert_eq!(pool.homes.len(), 31);
    assert_eq!(pool.home_epoch, pool.epoch);
    control.unregister(30, boot);
    let pool = control.pool();
    assert_eq!(pool.homes.len(), HOMES);
    assert_eq!(pool.home_epoch, pool.epoch);
}

/// A member whose view may be behind, with the state that it needs to report and to count reports.
struct Member {
    vm: vm::Id,
    pool: Arc<Pool>,
    plan: ReportPlan,
    outbox: Vec<(Due, Stage)>,
    records: Barrier,
    owned: Barrier,
    is_recovering: bool,
}

impl Member {
    fn new(vm: vm::Id) -> Self {
        let pool = Control::new().pool();
        let (records, owned) = (Barrier::new(), Barrier::new());
        let (plan, outbox) = (ReportPlan::new(), Vec::new());
        Self { vm, pool, plan, outbox, records, owned, is_recovering: true }
    }

    fn apply(&mut self, pool: &Arc<Pool>) {
        let incarnation = |pool: &Pool| pool.find(self.vm).map(|member| member.incarnation);
        if incarnation(pool) != incarnation(&self.pool) {
            self.plan.clear();
            self.outbox.clear();
        }
        self.pool = Arc::clone(pool);
        if let Some(epoch) = pool.report_epoch(self.vm) {
            self.owned.forget_before(epoch);
        }
        self.plan.retain(|vm| pool.member(vm).is_some());
        self.outbox.retain(|(due, stage)| due.is_needed(pool, *stage));
        if !self.is_recovering {
            self.report_owned();
        }
        let due = self.plan.take_due_records(pool, self.vm);
        self.outbox.extend(due.into_iter().map(|due| (due, Stage::Records)));
        self.resume();
    }

    fn report_owned(&mut self) {
        let due = self.plan.take_due_owned(&self.pool, self.vm);
        self.outbox.extend(due.into_iter().map(|due| (due, Stage::Own)));
    }

    /// Counts a report, and returns whether it is acknowledged.
    fn receive(&mut self, from: vm::Id, due: Due, stage: Stage) -> bool {
        if self.pool.find(from).is_none() || !due.is_expected(&self.pool, stage) {
            return false;
        }
        match stage {
            Stage::Own => self.owned.record_part(from, due.epoch, 0, 1),
            _ => self.records.record_part(from, due.epoch, 0, 1),
        }
        self.resume();
        true
    }

    fn resume(&mut self) {
        if self.is_recovering && self.has_records() {
            self.is_recovering = false;
            self.report_owned();
        }
    }

    fn others(&self) -> impl Iterator<Item = vm::Id> {
        self.pool.members.iter().map(|member| member.vm).filter(|vm| *vm != self.vm)
    }

    fn has_records(&self) -> bool {
        let epoch = self.pool.member(self.vm).and_then(|_| self.pool.report_epoch(self.vm));
        epoch.is_some_and(|epoch| self.records.is_complete_since(epoch, self.others()))
    }

    fn has_flows(&self) -> bool {
        let epoch = self.pool.report_epoch(self.vm);
        self.has_records()
            && epoch.is_some_and(|epoch| self.owned.is_complete(epoch, self.others()))
    }
}

/// Delivers one report of a member, if it has any.
fn deliver(members: &mut BTreeMap<usize, Member>, index: usize, choice: usize) {
    let Some(sender) = members.get_mut(&index) else { return };
    if sender.outbox.is_empty() || sender.pool.find(sender.vm).is_none() {
        return;
    }
    let position = choice % sender.outbox.len();
    let (from, (due, stage)) = (sender.vm, sender.outbox[position]);
    let receiver = members.values_mut().find(|member| member.vm == due.to);
    if receiver.is_some_and(|receiver| receiver.receive(from, due, stage)) {
        let sender = members.get_mut(&index).unwrap();
        sender.outbox.retain(|queued| *queued != (due, stage));
    }
}

#[test]
fn reports_complete_after_any_changes() {
    // Members that lag behind, restart, leave and return while reports are under way: once all have
    // caught up, each home has the reports of all members, and each process those of its flows.
    for seed in (1..120).map(|seed: u64| (seed << 32) | 0x4000) {
        arbtest::arbtest(|source| {
            let size = source.int_in_range(2..=24_usize)?;
            let mut control = Control::new();
            let mut processes: BTreeMap<usize, u64> = BTreeMap::new();
            let mut members: BTreeMap<usize, Member> = BTreeMap::new();
            for index in 0..size {
                processes.insert(index, control.register(index));
                members.insert(index, Member::new(id(index)));
            }
            for _ in 0..source.int_in_range(0..=60)? {
                let index = source.int_in_range(0..=size - 1)?;
                match source.int_in_range(0..=9)? {
                    0 => {
                        processes.insert(index, control.register(index));
                        members.insert(index, Member::new(id(index)));
                    }
                    1 => control.unregister(index, processes[&index]),
                    2 => control.set_out(index % 5, source.ratio(1, 3)?),
                    3..=5 => members.get_mut(&index).unwrap().apply(&control.pool()),
                    _ => deliver(&mut members, index, source.int_in_range(0..=99)?),
                }
            }
            for domain in 0..5 {
                control.set_out(domain, false);
            }
            // A process that lost its lease registers again under the same identity.
            for (index, boot) in &mut processes {
                if control.pool().member(id(*index)).is_none() {
                    *boot = control.register(*index);
                }
            }
            let pool = control.pool();
            for member in members.values_mut() {
                member.apply(&pool);
            }
            for _ in 0..size * size * 4 {
                let busy = members.iter().find(|(_, member)| !member.outbox.is_empty());
                let Some(index) = busy.map(|(index, _)| *index) else { break };
                deliver(&mut members, index, 0);
            }
            for member in members.values() {
                assert!(!member.is_recovering, "recovery never ended");
                assert!(!pool.is_home(member.vm) || member.has_flows(), "a home lacks reports");
            }
            Ok(())
        })
        .seed(seed);
    }
}
