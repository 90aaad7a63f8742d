//! Places flows on two members of different speed. The slow member declines when it is full.

use hyssopdyke::process::Limit;
use hyssopdyke::request::{Candidate, Scheduler};
use hyssopdyke::vm;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn main() {
    let mut scheduler = Scheduler::new(SmallRng::seed_from_u64(1));
    let slow = Candidate { vm: vm::id("slow"), weight: 1000 };
    let fast = Candidate { vm: vm::id("fast"), weight: 3000 };
    // The slow member is cold and runs only one request at a time.
    let limit = Limit::new(1, 5);
    let (mut at_slow, mut at_fast, mut declined) = (0, 0, 0);
    for _ in 0..12 {
        match scheduler.pick(&[slow, fast]) {
            Some(vm) if vm == slow.vm && at_slow >= limit.current() => {
                declined += 1;
                at_fast += u32::from(scheduler.pick(&[fast]).is_some());
            }
            Some(vm) if vm == slow.vm => at_slow += 1,
            _ => at_fast += 1,
        }
    }
    println!("slow {at_slow}, fast {at_fast}, declined {declined}");
}
