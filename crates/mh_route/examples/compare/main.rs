//! Compares policies for choosing a server in a discrete-event simulation, with the same arrivals for each policy.
//!
//! ```sh
//! cargo run --release -p mh_route --example compare -- --seed 1 --seconds 60
//! ```

mod arrivals;
mod policy;
mod run;
mod server;
mod stats;

use arrivals::Arrivals;
use policy::Policy;

/// Value of `--name` on the command line.
fn argument(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|a| a != name).skip(1);
    args.next().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn main() {
    let seed = argument("--seed", 1);
    let seconds = argument("--seconds", 60);
    let columns = [
        "load",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "refused %",
        "failed %",
        "worst organisation, % of its requests served",
        "worst organisation, % of its max-min share",
        "sent to the unreachable domain after 1 s",
    ];
    println!("| {} |", columns.join(" | "));
    println!("|{}", " --- |".repeat(columns.len()));
    for load in [60_u64, 85, 110] {
        let arrivals = Arrivals::generate(load as f64 / 100.0, seconds, seed);
        for policy in Policy::ALL {
            let stats = run::run(policy, &arrivals, seconds, seed);
            println!("| {load}% | {} | {stats} |", policy.title());
        }
    }
}
