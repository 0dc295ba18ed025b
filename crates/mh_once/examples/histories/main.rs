//! Runs seeded simulated histories with faults and prints a summary.
//!
//! `cargo run --release -p mh_once --example histories -- --histories 10000 --seed 0`

mod sim;

use sim::{Config, Faults, Report, run};

fn argument(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn run_all(first: u64, count: u64, cfg: impl Fn(u64) -> Config) -> Report {
    let mut sum = Report::default();
    (first..first + count).for_each(|seed| sum.add(run(cfg(seed))));
    sum
}

fn percent(part: usize, of: usize) -> f64 {
    100.0 * part as f64 / of.max(1) as f64
}

fn print_row(name: &str, report: &Report) {
    println!(
        "| {name} | {} | {} | {:.2}% | {:.2}% | {:.2}% | {:.2}% | {} |",
        report.operations,
        report.executed,
        percent(report.ended_answered, report.operations),
        percent(report.ended_not_run, report.operations),
        percent(report.ended_unknown, report.operations),
        percent(report.unknown_not_executed, report.operations),
        report.violations.len(),
    );
}

fn main() {
    let (histories, seed) = (argument("--histories", 1_000), argument("--seed", 0));

    println!("histories {histories}, first seed {seed}\n");
    println!("| faults | operations | runs | answered | not run | unknown | unknown, did not run | violations |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let all = run_all(seed, histories, Config::all_faults);
    print_row("all, small tables, short lifetime", &all);
    let separate_memory = run_all(seed, histories, |seed| Config {
        separate_memory: true,
        ..Config::all_faults(seed)
    });
    print_row("all, separate memory on each VM", &separate_memory);
    let kinds = [
        ("none", Faults::NONE),
        (
            "VMs killed and restarted",
            Faults {
                kill: true,
                ..Faults::NONE
            },
        ),
        (
            "VMs paused",
            Faults {
                pause: true,
                ..Faults::NONE
            },
        ),
        (
            "forwards lost, duplicated, late",
            Faults {
                forward: true,
                ..Faults::NONE
            },
        ),
        (
            "table down, slow, replies lost",
            Faults {
                table: true,
                ..Faults::NONE
            },
        ),
        (
            "backend late, silent, answers lost",
            Faults {
                backend: true,
                ..Faults::NONE
            },
        ),
        (
            "callers disconnected",
            Faults {
                caller: true,
                ..Faults::NONE
            },
        ),
    ];
    for (name, faults) in kinds {
        print_row(
            name,
            &run_all(seed, histories, |seed| Config {
                seed,
                faults,
                separate_memory: false,
                small_limits: false,
            }),
        );
    }
    println!(
        "\nall faults: {} requests, {} claims, {} table writes",
        all.attempts, all.claims, all.table_writes
    );
    println!("replies by result code (0 is an answer): {:?}", all.codes);
    all.violations
        .iter()
        .take(20)
        .for_each(|violation| println!("VIOLATION {violation}"));
    if !all.violations.is_empty() {
        std::process::exit(1);
    }
}
