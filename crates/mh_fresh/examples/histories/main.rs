//! Runs seeded histories of several simulated VMs under faults and counts violations.
//!
//! `cargo run --release -p mh_fresh --example histories -- --histories 10000 --seed 1 --threads 3`

mod history;
mod simulation;

use std::thread;

fn option(name: &str, default: u64) -> u64 {
    let args: Vec<String> = std::env::args().collect();
    let value = args
        .iter()
        .position(|arg| arg == name)
        .and_then(|index| args.get(index + 1)?.parse().ok());
    value.unwrap_or(default)
}

fn main() {
    let (histories, seed, threads) = (option("--histories", 1000), option("--seed", 1), option("--threads", 3));
    let handles = (0..threads).map(|part| {
        thread::spawn(move || {
            let (mut failed, mut sums) = (Vec::new(), [0; 4]);
            for seed in (seed..seed + histories).filter(|seed| seed % threads == part) {
                let sim = history::run(seed);
                let counts = &sim.counts;
                for (sum, n) in
                    sums.iter_mut()
                        .zip([counts.msgs, counts.commits, counts.accepted, counts.current_checks])
                {
                    *sum += n;
                }
                if let Some(first) = sim.violations.first() {
                    failed.push((seed, sim.violations.len(), first.clone()));
                }
            }
            (failed, sums)
        })
    });
    let handles: Vec<_> = handles.collect();
    let (mut failed, mut sums) = (Vec::new(), [0; 4]);
    for handle in handles {
        let (part, part_sums) = handle.join().expect("a history thread panicked");
        failed.extend(part);
        sums.iter_mut()
            .zip(part_sums)
            .for_each(|(sum, n): (&mut u64, u64)| *sum += n);
    }
    failed.sort();
    for (seed, count, first) in failed.iter().take(20) {
        println!("seed {seed}: {count} violations, first: {first}");
    }
    let [msgs, commits, accepted, checks] = sums;
    println!(
        "{histories} histories from seed {seed}: {} with violations",
        failed.len()
    );
    println!("{msgs} messages, {commits} commits, {accepted} accepted, {checks} checks of current VMs");
    assert!(failed.is_empty(), "found violations");
}
