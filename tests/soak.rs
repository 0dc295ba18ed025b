//! A randomized soak of real VM processes under faults from outside.
//!
//! A run with one seed starts VM processes, servers and a stand-in of the store, harms links, processes, servers and the
//! store in overlapping series, and checks what callers and servers see all the while: whole answers of their own
//! requests, nothing run twice or after it was refused, the right organisation and no key at a server, quotas, settings
//! that never go back, planned stops that cut nothing, and service again in the end.
//!
//! `SOAK_SEEDS=100..150 SOAK_ROUNDS=2 cargo test --test soak` runs other seeds, three at a time. Promises with a bound in
//! time are left to benches: other tests may run beside this one.

#[path = "soak/client.rs"]
mod client;
#[path = "../platform/tests/fake_store/mod.rs"]
mod fake_store;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/ledger.rs"]
mod ledger;
#[path = "../platform/tests/operator/mod.rs"]
mod operator;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/server.rs"]
mod server;
#[path = "soak/step.rs"]
mod step;
#[path = "soak/vm.rs"]
mod vm;

use std::ops::Range;
use std::time::Duration;

use fleet::{Fleet, LIMITED};
use rand::SeedableRng;
use rand::rngs::StdRng;
use step::{Step, Timed};
use tokio::time::Instant;

/// Seeds of the short run, of which each that ever failed stays with a line on the cause.
const SEEDS: Range<u64> = 1..3;

/// Seeds that run at a time.
const AT_A_TIME: usize = 3;

/// Calm between a storm and planned work, so that the promises of planned work hold in it.
const CALM: Duration = Duration::from_secs(4);

/// Fewest answers of a run; with fewer, the checks have seen nothing.
const MIN_ANSWERS: usize = 200;

/// Takes the steps at their times. In planned work a VM that was told to stop ends by itself.
async fn play(fleet: &mut Fleet, steps: Vec<Timed>, is_planned: bool) {
    let started = Instant::now();
    for (at, step) in steps {
        tokio::time::sleep_until(started + at).await;
        if let (Step::Start(vm), true) = (step, is_planned) {
            fleet.wait_for_end(vm).await;
        }
        fleet.step(step).await;
    }
}

async fn run(seed: u64, rounds: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start().await;
    for _ in 0..rounds {
        let (vms, servers) = (fleet.vm_count(), fleet.server_count());
        fleet.set_calm(false);
        play(&mut fleet, step::storm(&mut rng, vms, servers), false).await;
        for vm in 0..vms {
            fleet.step(Step::Resume(vm)).await;
            if fleet.has_ended(vm) {
                fleet.step(Step::Start(vm)).await;
            }
        }
        fleet.all_serve().await;
        fleet.set_calm(true);
        tokio::time::sleep(CALM).await;
        play(&mut fleet, step::planned(&mut rng, vms, servers), true).await;
    }
    fleet.all_serve().await;
    let mut violations = fleet.ledger.violations(LIMITED);
    if fleet.ledger.answers() < MIN_ANSWERS {
        violations.push(format!("only {} answers", fleet.ledger.answers()));
    }
    if violations.is_empty() {
        return Ok(());
    }
    let logs = fleet.folder.path().to_owned();
    // The logs stay for whoever traces the failure.
    fleet.folder.disable_cleanup(true);
    Err(format!(
        "seed {seed}, logs in {}:\n{}",
        logs.display(),
        violations.join("\n")
    ))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.collect();
    };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    (from.parse().expect("a number")..to.parse().expect("a number")).collect()
}

/// Guards against any order of faults in which a request runs twice, an answer reaches the wrong caller, a refusal is
/// untrue, settings go back, a planned stop cuts a request, or the system does not serve again.
#[tokio::test(flavor = "multi_thread")]
async fn every_promise_holds_under_random_faults() {
    let rounds = std::env::var("SOAK_ROUNDS").map_or(1, |text| text.parse().expect("a number"));
    let mut failures = Vec::new();
    for seeds in seeds().chunks(AT_A_TIME) {
        let runs = seeds.iter().map(|seed| tokio::spawn(run(*seed, rounds)));
        for run in runs.collect::<Vec<_>>() {
            if let Err(failure) = run.await.expect("a run does not panic") {
                eprintln!("{failure}");
                failures.push(failure);
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}
