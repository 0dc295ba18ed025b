//! Runs seeded simulations with random faults and prints a table of the results.
//!
//! Arguments: `--histories N --seed S`, and `--all-only 1` for only the rows with all faults.

#[allow(dead_code, reason = "the other items are used by the tests")]
mod sim;

use mh_member::Membership;
use sim::{Faults, Findings, HeartbeatMesh, Protocol, run_history};

fn arg(name: &str, default: u64) -> u64 {
    let args: Vec<String> = std::env::args().collect();
    let index = args.iter().position(|arg| arg == name);
    index
        .and_then(|index| args.get(index + 1))
        .map_or(default, |text| text.parse().expect("a number"))
}

fn row<P: Protocol>(name: &str, histories: u64, seed: u64, faults: Faults) {
    let mut sum = Findings::default();
    let mut histories_with_mismatches = 0;
    let (mut false_deaths, mut late_deaths) = (vec![], vec![]);
    for seed in seed..seed + histories {
        let findings = run_history::<P>(seed, faults);
        sum.false_deaths += findings.false_deaths;
        sum.checks += findings.checks;
        sum.peak_msgs = sum.peak_msgs.max(findings.peak_msgs);
        sum.peak_bytes = sum.peak_bytes.max(findings.peak_bytes);
        sum.largest_msg = sum.largest_msg.max(findings.largest_msg);
        false_deaths.push((findings.longest_false_death, seed));
        late_deaths.push((findings.longest_late_death, seed));
        histories_with_mismatches += u64::from(!findings.final_mismatches.is_empty());
        if let Some(first) = findings.final_mismatches.first()
            && histories_with_mismatches <= 3
        {
            eprintln!(
                "{name}, seed {seed}: {} pairs with a wrong state at the end: {first}",
                findings.final_mismatches.len()
            );
        }
    }
    false_deaths.sort();
    late_deaths.sort();
    let p99 = |all: &[(std::time::Duration, u64)]| all[all.len() * 99 / 100].0.as_secs_f64();
    let (worst_false, false_seed) = false_deaths[false_deaths.len() - 1];
    let (worst_late, late_seed) = late_deaths[late_deaths.len() - 1];
    println!(
        "| {name} | {:.4}% | {:.1} | {:.1} ({false_seed}) | {:.1} | {:.1} ({late_seed}) | {histories_with_mismatches} | {} | {} | {} |",
        sum.false_deaths as f64 / sum.checks as f64 * 100.0,
        p99(&false_deaths),
        worst_false.as_secs_f64(),
        p99(&late_deaths),
        worst_late.as_secs_f64(),
        sum.peak_msgs,
        sum.peak_bytes,
        sum.largest_msg,
    );
}

fn main() {
    let (histories, seed) = (arg("--histories", 200), arg("--seed", 0));
    println!(
        "| faults | false deaths | false death p99, s | longest (seed) | late death p99, s | longest (seed) | mismatches at the end | messages/s | bytes/s | largest message |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let none = Faults::default();
    if arg("--all-only", 0) == 1 {
        row::<Membership>("all", histories, seed, Faults::ALL);
        return row::<HeartbeatMesh>("all, heartbeat mesh", histories, seed, Faults::ALL);
    }
    row::<Membership>("none", histories, seed, none);
    row::<Membership>("kills and restarts", histories, seed, Faults { kills: true, ..none });
    row::<Membership>("pauses", histories, seed, Faults { pauses: true, ..none });
    row::<Membership>(
        "one-way blocked links",
        histories,
        seed,
        Faults {
            one_way_blocks: true,
            ..none
        },
    );
    row::<Membership>(
        "partitions",
        histories,
        seed,
        Faults {
            partitions: true,
            ..none
        },
    );
    row::<Membership>(
        "loss, duplication, delay",
        histories,
        seed,
        Faults { loss: true, ..none },
    );
    row::<Membership>("list", histories, seed, Faults { list: true, ..none });
    row::<Membership>("all", histories, seed, Faults::ALL);
    row::<HeartbeatMesh>("all, heartbeat mesh", histories, seed, Faults::ALL);
}
