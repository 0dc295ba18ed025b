//! Runs many seeded simulations with faults and reports violations of the budget.
//!
//! `cargo run --release -p mh_budget --example histories -- --histories 10000 --seed 0 --seconds 20`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use simulation::Simulation;

/// Number of threads that run simulations.
const THREADS: u64 = 3;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let arg = |name: &str, default: u64| {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1))
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    let (histories, seed, seconds) = (arg("--histories", 1_000), arg("--seed", 0), arg("--seconds", 20));
    let run = |thread: u64| {
        let seeds = (seed..seed + histories).filter(move |seed| seed % THREADS == thread);
        seeds
            .map(|seed| (seed, Simulation::new(seed).run(seconds)))
            .collect::<Vec<_>>()
    };
    let reports: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || run(thread))).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a simulation panicked"))
            .collect()
    });
    let violations: Vec<_> = reports
        .iter()
        .filter_map(|(seed, report)| Some((seed, report.violation.as_ref()?)))
        .collect();
    for (seed, violation) in violations.iter().take(10) {
        println!("seed {seed}: {violation}");
    }
    let sum = |of: fn(&simulation::Report) -> u64| reports.iter().map(|(_, report)| of(report)).sum::<u64>();
    println!("| quantity | count |\n| --- | ---: |");
    println!("| histories | {} |", reports.len());
    println!("| violations | {} |", violations.len());
    println!("| tokens admitted | {} |", sum(|r| r.admitted));
    println!("| messages | {} |", sum(|r| r.messages));
    println!("| answers to loan requests | {} |", sum(|r| r.loan_requests_answered));
    println!("| requests passed to a peer | {} |", sum(|r| r.asked_peers));
    println!("| kills with restart | {} |", sum(|r| r.kills));
    println!("| pauses | {} |", sum(|r| r.pauses));
    println!("| slots taken over | {} |", sum(|r| r.takeovers));
    println!("| slots handed over | {} |", sum(|r| r.handovers));
}
