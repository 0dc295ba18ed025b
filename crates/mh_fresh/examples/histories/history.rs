//! One seeded history: random faults, operator commits and roster changes, then a recovery phase without faults.

use rand::RngExt;

use crate::simulation::{Faults, Operation, Simulation, VmPlacement};

const FAULT_PHASE_MS: u64 = 30_000;
const RECOVERY_MS: u64 = 15_000;

/// Returns seven roster members in four failure domains of three regions, and two VMs outside the roster.
pub fn small_fleet() -> Vec<VmPlacement> {
    let domains = [0, 0, 1, 1, 2, 2, 3, 3, 1];
    let placement = |(index, domain): (usize, usize)| VmPlacement {
        domain,
        region: domain.min(2),
        in_roster: index < 7,
    };
    domains.into_iter().enumerate().map(placement).collect()
}

/// Runs the history of `seed` and returns the simulation in its final state.
pub fn run(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, &small_fleet());
    // Every fifth history has a fleet of three, where one restart already leaves only the attestations of a bare
    // majority.
    if seed.is_multiple_of(5) {
        let three = [0, 1, 2].map(|domain| VmPlacement {
            domain,
            region: domain,
            in_roster: true,
        });
        sim = Simulation::new(seed, &three);
    }
    let start = sim.now;
    sim.run_until(start + 2_000);
    while sim.now < start + FAULT_PHASE_MS {
        inject_fault(&mut sim);
        let pause = sim.rng.random_range(20..600);
        sim.run_until(sim.now + pause);
    }
    sim.faults = Faults::default();
    sim.blocked_links.clear();
    for index in 0..sim.vms.len() {
        if !sim.vms[index].alive {
            sim.restart(index);
        }
    }
    sim.run_until(sim.now + RECOVERY_MS);
    for index in 0..sim.vms.len() {
        if !sim.is_current(index) || sim.vms[index].tracker.held() != sim.head() {
            let state = sim.vms[index].tracker.status(sim.at(sim.now));
            sim.violations.push(format!(
                "{} is not current after the recovery phase: {state:?}",
                sim.vms[index].name
            ));
        }
    }
    sim
}

fn inject_fault(sim: &mut Simulation) {
    let count = sim.vms.len();
    let vm = sim.rng.random_range(0..count);
    let domains = sim.table_domain() + 1;
    match sim.rng.random_range(0..24) {
        0..7 => drop(sim.submit(vm, Operation::Plain)),
        7 => {
            // Two operators commit concurrently through two VMs.
            sim.submit(vm, Operation::Plain);
            sim.submit((vm + 1) % count, Operation::Plain);
        }
        8 | 9 => drop(sim.submit(vm, Operation::Remove((vm + 3) % count))),
        10 | 11 => drop(sim.submit(vm, Operation::Add(count - 1 - vm % 2))),
        12 => sim.kill(vm),
        13..16 => sim.restart(vm),
        16 => {
            let length = sim.rng.random_range(50..6_000);
            sim.pause(vm, length);
        }
        17 => {
            // A directed link between two domains, one of which may be the table.
            let (a, b) = (sim.rng.random_range(0..domains), sim.rng.random_range(0..domains));
            sim.blocked_links.insert((a, b));
        }
        18 => {
            let a = sim.rng.random_range(0..domains);
            sim.isolate(a, (0..domains).filter(|&b| b != a));
        }
        19 | 20 => sim.blocked_links.clear(),
        21 => sim.faults.table_down = !sim.faults.table_down,
        22 => {
            let faults = Faults {
                loss: sim.rng.random_range(0.0..0.3),
                duplication: sim.rng.random_range(0.0..0.3),
                extra_delay_ms: sim.rng.random_range(0..1_500),
                table_down: sim.faults.table_down,
                table_delay_ms: sim.rng.random_range(0..1_500),
                table_reply_loss: sim.rng.random_range(0.0..0.6),
            };
            sim.faults = faults;
        }
        _ => {
            sim.faults = Faults {
                table_down: sim.faults.table_down,
                ..Faults::default()
            }
        }
    }
}
