//! Simulates seeded random scenarios of a fleet under faults, and reports violations of the invariants.
//!
//! `cargo run --release -p mh_shift --example shift_histories -- --histories 10000 --seed 1 --threads 3`

#[path = "../tests/sim/mod.rs"]
mod sim;

use mh_shift::TerminalState;
use sim::scenario::Scenario;
use sim::{Report, Sim};

fn arg(name: &str, default: u64) -> u64 {
    let args: Vec<String> = std::env::args().collect();
    let value = args.iter().position(|a| a == name).and_then(|at| args.get(at + 1));
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn main() {
    let (histories, seed, threads) = (arg("--histories", 1_000), arg("--seed", 1), arg("--threads", 3));
    let run = |thread: u64| -> Vec<(Scenario, Report)> {
        let seeds = (0..histories).filter(|n| n % threads == thread).map(|n| seed + n);
        seeds
            .map(|s| (Scenario::random(s), Sim::new(Scenario::random(s)).run()))
            .collect()
    };
    let all: Vec<(Scenario, Report)> = std::thread::scope(|scope| {
        let jobs: Vec<_> = (0..threads).map(|t| scope.spawn(move || run(t))).collect();
        jobs.into_iter()
            .flat_map(|j| j.join().expect("no panic in a history"))
            .collect()
    });
    let count = |f: &dyn Fn(&(Scenario, Report)) -> bool| all.iter().filter(|h| f(h)).count();
    let done = |r: &Report| r.end == Some(TerminalState::Done);
    let late = |(p, r): &(Scenario, Report)| r.end_s.is_some_and(|s| s > p.deadline_s);
    println!("histories                              {}", all.len());
    println!(
        "requests                               {}",
        all.iter().map(|(_, r)| r.requests).sum::<u64>()
    );
    println!(
        "violations                             {}",
        all.iter().map(|(_, r)| r.violations.len()).sum::<usize>()
    );
    println!("done                                   {}", count(&|(_, r)| done(r)));
    println!(
        "taken back                             {}",
        count(&|(_, r)| r.end.is_some() && !done(r))
    );
    println!(
        "no terminal row at the end             {}",
        count(&|(_, r)| r.end.is_none())
    );
    println!(
        "Done written after the deadline        {}",
        count(&|h| late(h) && done(&h.1))
    );
    println!(
        "TakenBack written after the deadline   {}",
        count(&|h| late(h) && !done(&h.1))
    );
    println!(
        "table reachable, no end by deadline    {}",
        count(&|h| h.0.outages.is_empty() && (late(h) || h.1.end.is_none()))
    );
    println!(
        "fault present and shown                {}",
        count(&|(_, r)| r.shown_s.is_some())
    );
    println!(
        "  done despite the fault               {}",
        count(&|(_, r)| r.shown_s.is_some() && done(r))
    );
    let mut lines: Vec<&String> = all.iter().flat_map(|(_, r)| &r.violations).collect();
    lines.truncate(20);
    for line in lines {
        println!("{line}");
    }
    std::process::exit(i32::from(all.iter().any(|(_, r)| !r.violations.is_empty())));
}
