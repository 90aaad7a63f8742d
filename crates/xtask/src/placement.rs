//! The `placement` task: compares placement policies on a queueing model.
//!
//! Members have five slots and speeds of 1 to 4; requests arrive at random times and have
//! exponentially distributed service times. A request that finds no free slot is refused, except
//! under two policies: the product's, which waits briefly, and the ideal one, which sees every
//! free slot and also waits. The model shows differences between policies; it does not replace
//! measurements of the daemons.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use clap::{Arg, ArgMatches, Command, value_parser};
use hyssopdyke::request::{Candidate, Scheduler};
use hyssopdyke::version::Ranking;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of slots of each member.
const SLOTS: usize = 5;

/// Longest time that a flow waits for a free slot, in mean service times of the slowest member.
const MAX_WAIT: f64 = 0.3;

/// Time between two tries of a waiting flow, in the same unit.
const RETRY_INTERVAL: f64 = 0.05;

/// Time between two reports of occupied slots, in the same unit.
const REPORT_INTERVAL: f64 = 0.5;

/// Number of requests of one run, and how many of them at its start are not counted.
const REQUESTS: usize = 200_000;
const WARM_UP_REQUESTS: usize = 20_000;

/// Source of the weights of the weighted draw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Weights {
    /// The true speeds.
    Exact,
    /// Equal weights.
    Equal,
    /// Speeds that are learned from answers and reach the homes ten mean service times later. The
    /// initial values are wrong.
    Delayed,
}

/// Policy that chooses a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Rendezvous,
    WeightedRendezvous,
    RoundRobin,
    LeastReported,
    /// The weighted draw with a number of tries. With `notifies`, a member that frees a slot
    /// notifies the home of a waiting flow.
    Draw {
        weights: Weights,
        tries: usize,
        notifies: bool,
    },
    Ideal,
}

const POLICIES: [(&str, Policy); 11] = [
    ("rendezvous", Policy::Rendezvous),
    ("weighted rendezvous", Policy::WeightedRendezvous),
    ("round robin", Policy::RoundRobin),
    ("least used, reports 0.5 old", Policy::LeastReported),
    ("weighted draw, 4 tries, wait", draw(Weights::Exact, 4, false)),
    ("8 tries, wait", draw(Weights::Exact, 8, false)),
    ("4 tries, slot notification", draw(Weights::Exact, 4, true)),
    ("8 tries, slot notification", draw(Weights::Exact, 8, true)),
    ("  equal weights", draw(Weights::Equal, 8, true)),
    ("  learned weights, delay 10", draw(Weights::Delayed, 8, true)),
    ("ideal: any free slot, wait", Policy::Ideal),
];

const fn draw(weights: Weights, tries: usize, notifies: bool) -> Policy {
    Policy::Draw { weights, tries, notifies }
}

pub(crate) fn command() -> Command {
    Command::new("placement")
        .about("Compare placement policies on a queueing model")
        .arg(Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64)))
}

pub(crate) fn run(matches: &ArgMatches) {
    let seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    for members in [7_u32, 3] {
        let speeds: Vec<f64> = (0..members)
            .map(|index| 1.0 + 3.0 * f64::from(index) / f64::from(members - 1))
            .collect();
        println!(
            "{members} members, speeds 1 to 4: imbalance (max/mean) and share of refused requests"
        );
        println!("{:<30} {:>14} {:>14} {:>14} {:>14}", "", "30%", "70%", "90%", "120%");
        for (name, policy) in POLICIES {
            let cells = [0.3, 0.7, 0.9, 1.2].map(|load| {
                let result = Model::new(&speeds, policy, seed).run(load);
                format!("{:.3} / {:4.1}%", result.imbalance, result.refused * 100.0)
            });
            println!(
                "{name:<30} {:>14} {:>14} {:>14} {:>14}",
                cells[0], cells[1], cells[2], cells[3]
            );
        }
    }
}

struct Outcome {
    imbalance: f64,
    refused: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Kind {
    Arrival,
    Done { member: usize, started: f64 },
    Retry { arrived: f64 },
    Report,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Event {
    at: f64,
    kind: Kind,
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at)
    }
}

struct Model {
    speeds: Vec<f64>,
    policy: Policy,
    rng: SmallRng,
    draw: Scheduler<SmallRng>,
    events: BinaryHeap<Reverse<Event>>,
    now: f64,
    running: Vec<usize>,
    reported: Vec<usize>,
    /// Occupied slot time of each member since the warm-up.
    used: Vec<f64>,
    last_change: Vec<f64>,
    learned: Vec<f64>,
    published: Vec<(f64, Vec<f64>)>,
    next: usize,
    refused: usize,
    counted_from: f64,
    /// Arrival times of the waiting flows, oldest first.
    waiting: VecDeque<f64>,
}

impl Model {
    fn new(speeds: &[f64], policy: Policy, seed: u64) -> Self {
        let count = speeds.len();
        Self {
            speeds: speeds.into(),
            policy,
            rng: SmallRng::seed_from_u64(seed),
            draw: Scheduler::new(SmallRng::seed_from_u64(seed + 1)),
            events: BinaryHeap::new(),
            now: 0.0,
            running: vec![0; count],
            reported: vec![0; count],
            used: vec![0.0; count],
            last_change: vec![0.0; count],
            learned: vec![1.0; count],
            published: vec![(0.0, vec![1.0; count])],
            next: 0,
            refused: 0,
            counted_from: 0.0,
            waiting: VecDeque::new(),
        }
    }

    fn run(mut self, load: f64) -> Outcome {
        let rate = load * SLOTS as f64 * self.speeds.iter().sum::<f64>();
        let mut arrivals = 0;
        self.schedule(0.0, Kind::Arrival);
        self.schedule(REPORT_INTERVAL, Kind::Report);
        while let Some(Reverse(event)) = self.events.pop() {
            self.now = event.at;
            match event.kind {
                Kind::Arrival => {
                    arrivals += 1;
                    if arrivals == WARM_UP_REQUESTS {
                        self.start_counting();
                    }
                    if arrivals == REQUESTS {
                        break;
                    }
                    let pause = self.exponential() / rate;
                    self.schedule(pause, Kind::Arrival);
                    self.place(self.now);
                }
                Kind::Done { member, started } => self.complete(member, started),
                Kind::Retry { arrived } => {
                    // A flow that was notified of a free slot in the meantime is no longer waiting.
                    let is_same = |other: &f64| other.total_cmp(&arrived).is_eq();
                    let waiting = self.waiting.iter().position(is_same);
                    if waiting.and_then(|index| self.waiting.remove(index)).is_some() {
                        self.place(arrived);
                    }
                }
                Kind::Report => {
                    self.reported.clone_from(&self.running);
                    self.published.push((self.now, self.learned.clone()));
                    self.published.retain(|(at, _)| *at + 11.0 > self.now);
                    self.schedule(REPORT_INTERVAL, Kind::Report);
                }
            }
        }
        for member in 0..self.speeds.len() {
            self.account_usage(member);
        }
        let time = self.now - self.counted_from;
        let utilization: Vec<f64> = self.used.iter().map(|used| used / time).collect();
        let mean = utilization.iter().sum::<f64>() / utilization.len() as f64;
        let highest = utilization.iter().copied().fold(0.0, f64::max);
        let refused = self.refused as f64 / (REQUESTS - WARM_UP_REQUESTS) as f64;
        Outcome { imbalance: highest / mean, refused }
    }

    fn start_counting(&mut self) {
        for member in 0..self.speeds.len() {
            self.account_usage(member);
            self.used[member] = 0.0;
        }
        (self.refused, self.counted_from) = (0, self.now);
    }

    fn place(&mut self, arrived: f64) {
        match self.choose(arrived > self.now - f64::EPSILON) {
            Some(member) => self.start(member),
            None if self.can_wait() && self.now - arrived + RETRY_INTERVAL <= MAX_WAIT => {
                self.schedule(RETRY_INTERVAL, Kind::Retry { arrived });
                self.waiting.push_back(arrived);
            }
            None => self.refused += 1,
        }
    }

    fn start(&mut self, member: usize) {
        self.account_usage(member);
        self.running[member] += 1;
        let time = self.exponential() / self.speeds[member];
        self.schedule(time, Kind::Done { member, started: self.now });
    }

    const fn can_wait(&self) -> bool {
        matches!(self.policy, Policy::Draw { .. } | Policy::Ideal)
    }

    fn choose(&mut self, is_first: bool) -> Option<usize> {
        let count = self.speeds.len();
        let chosen = match self.policy {
            Policy::Rendezvous => {
                let flow = self.rng.random();
                Ranking::top_two(flow, 0..count as u64).0.map_or(0, |member| member as usize)
            }
            Policy::WeightedRendezvous => {
                let flow: u64 = self.rng.random();
                let score = |member: &usize| {
                    let weight = Ranking::weight(flow, *member as u64) as f64 / u64::MAX as f64;
                    -self.speeds[*member] / weight.max(1e-300).ln()
                };
                let best = (0..count).max_by(|a, b| score(a).total_cmp(&score(b)));
                best.unwrap_or(0)
            }
            Policy::RoundRobin => {
                self.next += 1;
                self.next % count
            }
            Policy::LeastReported => {
                let least = (0..count).min_by_key(|member| self.reported[*member]);
                least.unwrap_or(0)
            }
            Policy::Draw { weights, tries, .. } => {
                return self.draw_member(weights, if is_first { tries } else { 1 });
            }
            Policy::Ideal => {
                let free = (0..count).filter(|member| self.running[*member] < SLOTS);
                return free.min_by_key(|member| self.running[*member]);
            }
        };
        (self.running[chosen] < SLOTS).then_some(chosen)
    }

    fn draw_member(&mut self, weights: Weights, tries: usize) -> Option<usize> {
        let weight = |model: &Self, member: usize| match weights {
            Weights::Exact => model.speeds[member],
            Weights::Equal => 1.0,
            Weights::Delayed => model.published.first().map_or(1.0, |(_, weights)| weights[member]),
        };
        let mut candidates: Vec<Candidate> = (0..self.speeds.len())
            .map(|member| Candidate {
                vm: member as u64,
                weight: (weight(self, member) * 1000.0) as u32,
            })
            .collect();
        for _ in 0..tries {
            let chosen = self.draw.pick(&candidates)? as usize;
            if self.running[chosen] < SLOTS {
                return Some(chosen);
            }
            candidates.retain(|candidate| candidate.vm != chosen as u64);
        }
        None
    }

    fn complete(&mut self, member: usize, started: f64) {
        self.account_usage(member);
        self.running[member] -= 1;
        let rate = 1.0 / (self.now - started).max(1e-6);
        // The mean service time is smoothed; the weight is its inverse.
        let time = 0.95 / self.learned[member] + 0.05 / rate;
        self.learned[member] = 1.0 / time;
        if matches!(self.policy, Policy::Draw { notifies: true, .. })
            && self.waiting.pop_front().is_some()
        {
            self.start(member);
        }
    }

    fn account_usage(&mut self, member: usize) {
        self.used[member] += self.running[member] as f64 * (self.now - self.last_change[member]);
        self.last_change[member] = self.now;
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn schedule(&mut self, after: f64, kind: Kind) {
        self.events.push(Reverse(Event { at: self.now + after, kind }));
    }
}
