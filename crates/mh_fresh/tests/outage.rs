//! Small fleets during a table outage, compared with a simple lease and with serving stale settings.

#[allow(dead_code, reason = "only `small_fleet` is used here")]
#[path = "../examples/histories/history.rs"]
mod history;
#[allow(dead_code, reason = "the histories example uses the rest")]
#[path = "../examples/histories/simulation.rs"]
mod simulation;

use history::small_fleet;
use simulation::{Operation, Simulation, VmPlacement};

const OUTAGE_MS: u64 = 60_000;

fn warmed_up_fleet(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, &small_fleet());
    sim.run_until(sim.now + 6_000);
    sim
}

/// Counts for each VM how often it was current and how often not, checked every 20 ms until `until`.
fn checks(sim: &mut Simulation, until: u64) -> Vec<(u32, u32)> {
    let mut checks = vec![(0, 0); sim.vms.len()];
    while sim.now < until {
        sim.run_until(sim.now + 20);
        for (at, (current, refusing)) in checks.iter_mut().enumerate() {
            *(if sim.is_current(at) { current } else { refusing }) += 1;
        }
    }
    checks
}

fn never_refused(checks: &[(u32, u32)]) -> bool {
    checks.iter().all(|&(current, refusing)| current > 0 && refusing == 0)
}

/// Guards against refused requests while a majority is connected, both when the table outage begins and during it.
#[test]
fn every_vm_stays_current_during_a_table_outage() {
    for seed in 0..4 {
        let mut sim = warmed_up_fleet(seed);
        sim.faults.table_down = true;
        let until = sim.now + OUTAGE_MS;

        let checks = checks(&mut sim, until);

        assert!(never_refused(&checks), "seed {seed}: {checks:?}");
    }
}

/// Guards against the failure of one VM, even a delegate, making its failure domain stale during a table outage.
#[test]
fn other_vms_stay_current_when_one_vm_fails_during_the_outage() {
    for failed in 0..7 {
        let mut sim = warmed_up_fleet(100 + failed as u64);
        sim.faults.table_down = true;
        sim.run_until(sim.now + 5_000);
        sim.kill(failed);
        let until = sim.now + OUTAGE_MS;

        let mut checks = checks(&mut sim, until);

        checks.remove(failed);
        assert!(never_refused(&checks), "VM {failed} killed: {checks:?}");
    }
}

/// Guards against a restarted VM that waits for the table, or attests before it is current.
#[test]
fn a_restarted_vm_and_a_new_vm_become_current_during_the_outage() {
    let mut sim = warmed_up_fleet(7);
    sim.submit(2, Operation::Plain);
    sim.run_until(sim.now + 6_000);
    sim.faults.table_down = true;
    sim.run_until(sim.now + 5_000);

    sim.restart(0);
    sim.restart(8); // Not in the roster.
    let attested_at_once = sim.vms[0].tracker.attests();
    sim.run_until(sim.now + 3_000);

    assert!(!attested_at_once);
    assert!(sim.is_current(0) && sim.is_current(8));
    assert!(sim.vms[0].tracker.attests());
    assert_eq!(sim.vms[0].tracker.held(), sim.head());
}

/// Guards against serving without evidence: by the minority that remains when a majority restarts during a table
/// outage, and by the restarted VMs.
#[test]
fn no_vm_is_current_without_a_majority_and_the_table() {
    let mut sim = warmed_up_fleet(8);
    sim.faults.table_down = true;
    for at in 0..4 {
        sim.restart(at);
    }

    sim.run_until(sim.now + 5_000);
    let checks = checks(&mut sim, 90_000);

    assert!(checks.iter().all(|&(current, _)| current == 0), "{checks:?}");
}

/// Guards against a regression to a simpler scheme: a simple lease refuses requests during an outage, and serving stale
/// settings misses changes.
#[test]
fn majority_scheme_differs_from_a_simple_lease_and_from_serving_stale_settings() {
    let mut sim = warmed_up_fleet(9);
    let other_domains: Vec<usize> = (0..=sim.table_domain()).filter(|&domain| domain != 3).collect();
    sim.isolate(3, other_domains);
    sim.run_until(sim.now + 100);
    assert!(sim.submit(0, Operation::Plain));
    sim.run_until(sim.now + 3_000);
    sim.faults.table_down = true;
    sim.run_until(sim.now + 10_000);

    let lease: Vec<bool> = (0..7)
        .map(|at| {
            sim.vms[at]
                .lease_at
                .is_some_and(|head_read_at| head_read_at + 2_000 >= sim.now)
        })
        .collect();
    let majority: Vec<bool> = (0..7).map(|at| sim.is_current(at)).collect();
    let serve_stale_misses: Vec<bool> = (0..7).map(|at| sim.missed_revision(at).is_some()).collect();

    assert_eq!(lease, [false; 7]);
    assert_eq!(majority, [true, true, true, true, true, true, false]);
    assert_eq!(serve_stale_misses, [false, false, false, false, false, false, true]);
}

/// Guards against refused requests during asymmetric partitions: a VM that receives messages but cannot send, and the
/// reverse.
#[test]
fn every_vm_stays_current_during_asymmetric_partitions() {
    for seed in 0..4 {
        let mut sim = warmed_up_fleet(20 + seed);
        sim.faults.table_down = true;
        sim.blocked_links.insert((0, 1));
        sim.blocked_links.insert((2, 0));
        sim.run_until(sim.now + 5_000);
        let until = sim.now + 20_000;

        let checks = checks(&mut sim, until);

        assert!(never_refused(&checks), "seed {seed}: {checks:?}");
    }
}

fn roster_fleet(domains: usize, members: usize) -> Vec<VmPlacement> {
    (0..domains * members)
        .map(|at| VmPlacement {
            domain: at % domains,
            region: at % domains / 2,
            in_roster: true,
        })
        .collect()
}

/// Guards against a burst of table reads after 40 restarts in one failure domain and after the end of an outage.
#[test]
fn restarts_and_outages_cause_no_burst_of_table_reads() {
    let mut sim = Simulation::new(30, &roster_fleet(2, 45));
    sim.run_until(sim.now + 5_000);
    let reads = |sim: &mut Simulation, ms: u64| {
        let before = sim.counts.table_reads;
        sim.run_until(sim.now + ms);
        sim.counts.table_reads - before
    };

    let baseline = reads(&mut sim, 10_000);
    (0..40).for_each(|n| sim.restart(2 * n));
    let restarts = reads(&mut sim, 10_000);
    sim.faults.table_down = true;
    sim.run_until(sim.now + 60_000);
    let during_outage = reads(&mut sim, 20_000);
    sim.faults.table_down = false;
    let after_outage = reads(&mut sim, 10_000);

    // Two delegates that poll every 250 to 500 ms read at most 80 times in 10 s.
    assert!(baseline <= 80, "{baseline}");
    assert!(restarts <= baseline + 20, "{restarts} after {baseline}");
    // Two delegates, each of which reads every 4 to 8 s.
    assert!(during_outage <= 12, "{during_outage}");
    assert!(after_outage <= 80, "{after_outage}");
}
