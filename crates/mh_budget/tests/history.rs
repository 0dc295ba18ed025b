//! Guards against any interval `t` in which all VMs together admit more than `burst + rate * t`, under simulated
//! faults.

mod simulation;

use simulation::Simulation;

const HISTORIES: u64 = 200;
const SECONDS: u64 = 12;

#[test]
fn no_interval_exceeds_the_budget_under_faults() {
    let histories = std::env::var("MH_BUDGET_HISTORIES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(HISTORIES);
    let mut faults = [0; 6];
    for seed in 0..histories {
        let report = Simulation::new(seed).run(SECONDS);
        assert_eq!(report.violation, None, "seed {seed}");
        let counts = [
            report.kills,
            report.pauses,
            report.takeovers,
            report.handovers,
            report.loan_requests_answered,
            report.asked_peers,
        ];
        faults.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    assert!(
        faults.iter().all(|count| *count > 0),
        "a kind of fault never happened: {faults:?}"
    );
}
