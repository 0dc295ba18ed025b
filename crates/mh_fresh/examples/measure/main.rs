//! Measures key withdrawal, refused requests, control traffic, state and CPU, compared with a simple lease and with
//! serving stale settings.
//!
//! `cargo run --release -p mh_fresh --example measure -- --part today|target|cost --seed 1 --outage-s 600 --only table`

mod cost;
mod scenario;
#[allow(dead_code, reason = "the histories example uses the rest")]
#[path = "../histories/simulation.rs"]
mod simulation;

use scenario::{Scenario, target_fleet, today_fleet};

fn option(name: &str) -> Option<String> {
    let args: Vec<String> = std::env::args().collect();
    args.iter()
        .position(|arg| arg == name)
        .and_then(|index| args.get(index + 1).cloned())
}

fn main() {
    let seed = option("--seed").and_then(|text| text.parse().ok()).unwrap_or(1);
    let outage_s = option("--outage-s").and_then(|text| text.parse().ok()).unwrap_or(600);
    let part = option("--part").unwrap_or_else(|| "today".to_owned());
    let fleet = match part.as_str() {
        "today" => today_fleet(),
        "target" => target_fleet(),
        _ => return cost::run(),
    };
    println!(
        "{} VMs, seed {seed}; seconds from the commit until the last VM refuses the key / % of VM time refused",
        fleet.len()
    );
    println!(
        "| scenario | majority attestation | simple lease | serving stale | table reads/s | messages/s per VM, mean/max | bytes/s per VM, mean/max |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let only_table = option("--only").is_some_and(|name| name == "table");
    for scenario in Scenario::ALL
        .into_iter()
        .filter(|&scenario| !only_table || scenario == Scenario::TableOutage)
    {
        println!("{}", scenario::run(seed, &fleet, scenario, outage_s));
    }
}
