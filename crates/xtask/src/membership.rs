//! The `membership` task: compares ways to tell the homes of a group which flows they must know.
//!
//! All members of a group are replaced one after the other: each leaves, and a new process joins in
//! its place. The model counts the full reports that each change costs the group, by the library's
//! own ranking and plans. Each report is answered by one acknowledgement, and has a second part for
//! each further 24 flows.

use std::collections::{BTreeMap, HashSet};

use clap::Command;
use hyssopdyke::process::ReportPlan;
use hyssopdyke::version::{Pool, Ranking, Registry, View};
use hyssopdyke::vm;
use hyssopdyke_wire::ledger::{Command as Entry, Register, Unregister, Write, command};
use hyssopdyke_wire::resource::{Kind, Resource, Service, Upstream, resource::Body};

/// Sizes of the groups.
const SIZES: [usize; 5] = [10, 17, 34, 68, 136];

/// Parts into which the flows are divided by their hash, each with a home of its own.
const SLOTS: usize = 16;

/// Reports of the costliest change, and of all changes together.
#[derive(Debug, Default)]
struct Cost {
    most: usize,
    total: usize,
    changes: usize,
}

impl Cost {
    fn add(&mut self, reports: usize) {
        self.most = self.most.max(reports);
        self.total += reports;
        self.changes += 1;
    }
}

/// Creates the `membership` command.
pub(crate) fn command() -> Command {
    Command::new("membership").about("Count the reports that changes of members cost a group")
}

/// Prints the reports that each way costs a group.
pub(crate) fn run() {
    println!("reports a change, mean / most, while all members of a group are replaced");
    println!("{:>8} {:>16} {:>16} {:>16}", "members", "each to each", "bounded homes", "slots");
    for size in SIZES {
        let ways = [each_to_each(size), bounded_homes(size), slots(size)];
        let columns = ways.map(|cost| {
            let mean = cost.total as f64 / cost.changes as f64;
            format!("{:>16}", format!("{mean:.0} / {}", cost.most))
        });
        println!("{size:>8} {}", columns.join(" "));
    }
}

/// Each member reports its flows and its records to each other one, at each change.
fn each_to_each(size: usize) -> Cost {
    let mut cost = Cost::default();
    for _ in 0..size {
        for members in [size - 1, size] {
            cost.add(2 * members * (members - 1));
        }
    }
    cost
}

/// The product's way: the homes are a bounded number of members, and a report is made once for each
/// change of the homes and for each new process.
fn bounded_homes(size: usize) -> Cost {
    let mut group = Group::new(size);
    let mut cost = Cost::default();
    group.reports();
    for index in 0..size {
        group.leave(index);
        cost.add(group.reports());
        group.join(index);
        cost.add(group.reports());
    }
    cost
}

/// Flows are divided into slots by their hash, and each slot has a home. All members report to the
/// new home of a slot that has moved, and to a new process.
fn slots(size: usize) -> Cost {
    let mut cost = Cost::default();
    let mut members: Vec<vm::Id> = (0..size).map(id).collect();
    let mut homes = slot_homes(&members);
    let mut change = |members: &[vm::Id], newcomers: usize| {
        let next = slot_homes(members);
        let moved: HashSet<vm::Id> =
            next.iter().zip(&homes).filter(|(new, old)| new != old).map(|(new, _)| *new).collect();
        let others = members.len() - 1;
        // A new process needs the records of its flows, and reports its flows to all homes.
        cost.add(2 * moved.len() * others + newcomers * (others + SLOTS));
        homes = next;
    };
    for index in 0..size {
        members.retain(|member| *member != id(index));
        change(&members, 0);
        members.push(id(index));
        change(&members, 1);
    }
    cost
}

fn slot_homes(members: &[vm::Id]) -> Vec<vm::Id> {
    let slots = (0..SLOTS as u64).map(|slot| slot.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    slots.filter_map(|slot| Ranking::top_two(slot, members.iter().copied()).0).collect()
}

/// A group whose members apply each change at once.
struct Group {
    registry: Registry,
    plans: BTreeMap<vm::Id, ReportPlan>,
    processes: u64,
}

impl Group {
    fn new(size: usize) -> Self {
        let mut registry = Registry::new();
        let body = Some(Body::Service(Service { connections: 1, ..Service::default() }));
        let resource = Some(Resource { name: "s".into(), body, ..Resource::default() });
        apply(&mut registry, command::Body::Write(Write { resource, ..Write::default() }));
        let mut group = Self { registry, plans: BTreeMap::new(), processes: 0 };
        (0..size).for_each(|index| group.join(index));
        group
    }

    fn join(&mut self, index: usize) {
        self.processes += 1;
        let upstream = Upstream {
            domain: "d".into(),
            service: "s".into(),
            address: format!("10.0.{}.{}:5556", index / 250, index % 250),
            boot: self.processes,
            bounded_homes: true,
            ..Upstream::default()
        };
        let body = Some(Body::Upstream(upstream));
        let resource = Some(Resource { name: name(index), body, ..Resource::default() });
        apply(&mut self.registry, command::Body::Register(Register { resource }));
        self.plans.remove(&id(index));
    }

    fn leave(&mut self, index: usize) {
        let view = View::new(self.registry.store());
        let boot = view.pool("s").and_then(|pool| pool.member(id(index))).map_or(0, |m| m.boot);
        let kind = Kind::Upstream as i32;
        let unregister = Unregister { kind, name: name(index), boot, ..Unregister::default() };
        apply(&mut self.registry, command::Body::Unregister(unregister));
        self.plans.remove(&id(index));
    }

    /// Returns the number of reports that the members make for the changes since the last call.
    fn reports(&mut self) -> usize {
        let view = View::new(self.registry.store());
        let Some(pool) = view.pool("s") else { return 0 };
        pool.members.iter().map(|member| reports_of(&mut self.plans, pool, member.vm)).sum()
    }
}

fn reports_of(plans: &mut BTreeMap<vm::Id, ReportPlan>, pool: &Pool, vm: vm::Id) -> usize {
    let plan = plans.entry(vm).or_default();
    plan.retain(|other| pool.member(other).is_some());
    plan.take_due_owned(pool, vm).len() + plan.take_due_records(pool, vm).len()
}

fn apply(registry: &mut Registry, body: command::Body) {
    registry.apply(Entry { body: Some(body) });
}

fn name(index: usize) -> String {
    format!("vm-{index}")
}

fn id(index: usize) -> vm::Id {
    vm::id(&name(index))
}
