//! Benchmarks of home lookup, placement and packet parsing.

#![allow(missing_docs, clippy::unwrap_used)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use etherparse::PacketBuilder;
use hyssopdyke::request::{Candidate, Packet, Scheduler};
use hyssopdyke::version::Ranking;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Numbers of upstreams of one service: the expected number, a large one, and all upstreams.
const SIZES: [u64; 3] = [11, 200, 5900];

fn home(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("home");
    for size in SIZES {
        let members: Vec<u64> = (0..size).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
        group.bench_with_input(BenchmarkId::from_parameter(size), &members, |bencher, members| {
            let mut flow = 0_u64;
            bencher.iter(|| {
                flow = flow.wrapping_add(0x1234_5678_9abc_def1);
                black_box(Ranking::top_two(flow, members.iter().copied()))
            });
        });
    }
    group.finish();
}

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("draw");
    for size in SIZES {
        let candidates: Vec<Candidate> =
            (0..size).map(|vm| Candidate { vm, weight: 100 + (vm % 7) as u32 }).collect();
        let mut scheduler = Scheduler::new(SmallRng::seed_from_u64(1));
        group.bench_with_input(BenchmarkId::from_parameter(size), &candidates, |bencher, all| {
            bencher.iter(|| black_box(scheduler.pick(all)));
        });
    }
    group.finish();
}

fn parse(criterion: &mut Criterion) {
    let mut bytes = Vec::new();
    let ip = PacketBuilder::ipv4([10, 0, 0, 1], [10, 1, 0, 1], 64);
    ip.tcp(4000, 80, 1, 1000).write(&mut bytes, &[0; 64]).unwrap();
    criterion.bench_function("parse", |bencher| {
        bencher.iter(|| Packet::parse(black_box(&bytes)));
    });
    let flow = Packet::parse(&bytes).unwrap().inbound_flow();
    criterion.bench_function("hash", |bencher| {
        bencher.iter(|| black_box(&flow).hash((1, 2)));
    });
}

criterion_group!(benches, home, pick, parse);
criterion_main!(benches);
