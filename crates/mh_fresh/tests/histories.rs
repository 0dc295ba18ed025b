//! Randomised simulations of several VMs under faults; `MH_FRESH_HISTORIES` sets the number of histories.

#[path = "../examples/histories/history.rs"]
mod history;
#[path = "../examples/histories/simulation.rs"]
mod simulation;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

fn config(parts: u32) -> Config {
    let histories = std::env::var("MH_FRESH_HISTORIES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(200);
    Config {
        cases: histories / parts,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Runs one of four parts, which the test threads run in parallel.
fn run_part(part: u64) {
    let seeds = (0_u64..250_000).prop_map(|seed| seed * 4 + part);
    let result = TestRunner::new(config(4)).run(&seeds, |seed| {
        let sim = history::run(seed);
        prop_assert!(
            sim.counts.current_checks > 0,
            "seed {seed} performed no check of a current VM"
        );
        prop_assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}

/// Guards against a current VM that lacks a change accepted longer ago than the bound, a change reported as accepted
/// that is not, a held revision that decreases, and a fleet that does not become current after the faults end.
#[test]
fn no_current_vm_misses_an_accepted_change_part_0() {
    run_part(0);
}

/// Guards against a current VM that lacks a change accepted longer ago than the bound, a change reported as accepted
/// that is not, a held revision that decreases, and a fleet that does not become current after the faults end.
#[test]
fn no_current_vm_misses_an_accepted_change_part_1() {
    run_part(1);
}

/// Guards against a current VM that lacks a change accepted longer ago than the bound, a change reported as accepted
/// that is not, a held revision that decreases, and a fleet that does not become current after the faults end.
#[test]
fn no_current_vm_misses_an_accepted_change_part_2() {
    run_part(2);
}

/// Guards against a current VM that lacks a change accepted longer ago than the bound, a change reported as accepted
/// that is not, a held revision that decreases, and a fleet that does not become current after the faults end.
#[test]
fn no_current_vm_misses_an_accepted_change_part_3() {
    run_part(3);
}
