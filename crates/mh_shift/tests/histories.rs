//! Simulated shifts of ten VMs under faults of the network, the table, the VMs and the new version.

mod sim;

use mh_shift::{Fraction, TakeBackReason, TerminalState};
use sim::scenario::{Action, Scenario, VersionFault};
use sim::{Report, Sim};

fn scenario_count() -> u64 {
    std::env::var("MH_SHIFT_HISTORIES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(120)
}

fn run_all(scenarios: &[Scenario]) -> Vec<Report> {
    let chunk = scenarios.len().div_ceil(3).max(1);
    std::thread::scope(|scope| {
        let job = |c: &[Scenario]| c.iter().cloned().map(|p| Sim::new(p).run()).collect::<Vec<_>>();
        let jobs: Vec<_> = scenarios.chunks(chunk).map(|c| scope.spawn(move || job(c))).collect();
        jobs.into_iter()
            .flat_map(|j| j.join().expect("no panic in a history"))
            .collect()
    })
}

fn violations(reports: &[Report]) -> Vec<&String> {
    reports.iter().flat_map(|r| &r.violations).collect()
}

/// Guards against an exceeded cap, two terminal states, use of the new version after a stop or past the deadline, and a
/// shift without a terminal state by its deadline although the table is reachable.
#[test]
fn invariants_hold_in_random_scenarios() {
    let scenarios: Vec<Scenario> = (1..=scenario_count()).map(Scenario::random).collect();

    let reports = run_all(&scenarios);

    assert_eq!(violations(&reports), Vec::<&String>::new());
    let pairs = || scenarios.iter().zip(&reports);
    let late = |(p, r): &(&Scenario, &Report)| p.outages.is_empty() && r.end_s.is_none_or(|s| s > p.deadline_s);
    assert_eq!(
        pairs().filter(late).map(|(p, _)| p.seed).collect::<Vec<_>>(),
        Vec::<u64>::new()
    );
    let fails_at_once = |p: &Scenario| {
        p.version_fault
            .as_ref()
            .is_some_and(|b| b.errors > 0.9 && b.from_s == 0.0 && b.route.is_none() && b.min_share == Fraction::ZERO)
    };
    let missed = pairs().filter(|(p, r)| fails_at_once(p) && r.end == Some(TerminalState::Done));
    assert_eq!(missed.map(|(p, _)| p.seed).collect::<Vec<_>>(), Vec::<u64>::new());
    assert!(reports.iter().filter(|r| r.end == Some(TerminalState::Done)).count() > scenarios.len() / 10);
}

/// Guards against two terminal states when the table is unavailable across the deadline and an operator takes the shift
/// back while it finishes.
#[test]
fn one_terminal_state_with_a_table_outage_across_the_deadline() {
    let scenario = |seed: u64| {
        let mut scenario = Scenario::short(seed);
        let from = 8.0 + (seed % 9) as f64;
        scenario.outages = vec![(from, 18.0)];
        scenario.reply_loss_rate = 0.5;
        scenario.slow_table_rate = 0.5;
        scenario.actions = vec![
            (7.0 + (seed % 5) as f64, Action::TakeBack { vm: 3 }),
            (8.0, Action::KillWriter { for_s: 4.0 }),
        ];
        scenario
    };
    let scenarios: Vec<Scenario> = (1..=30).map(scenario).collect();

    let reports = run_all(&scenarios);

    assert_eq!(violations(&reports), Vec::<&String>::new());
    assert!(reports.iter().all(|r| r.end.is_some()));
}

/// Guards against a VM that keeps using the new version past the deadline because it was paused.
#[test]
fn paused_vm_uses_the_old_version_when_it_resumes() {
    let scenario = |seed: u64| {
        let mut scenario = Scenario::short(seed);
        scenario.guard.min_samples = 1_000_000;
        scenario.steps = vec![Fraction::from_millionths(500_000)];
        scenario.outages = vec![(5.0, 40.0)];
        scenario.actions = (0..10)
            .map(|vm| (14.0 + 0.15 * vm as f64, Action::Pause { vm, for_s: 3.0 }))
            .collect();
        scenario
    };
    let scenarios: Vec<Scenario> = (1..=6).map(scenario).collect();

    let reports = run_all(&scenarios);

    assert_eq!(violations(&reports), Vec::<&String>::new());
    assert!(reports.iter().all(|r| r.new_before_end > 0));
}

/// Guards against a partitioned failure domain that keeps using the new version because it cannot learn that the shift
/// was taken back.
#[test]
fn partitioned_domain_uses_the_old_version() {
    let scenario = |seed: u64| {
        let mut scenario = Scenario::short(seed);
        scenario.guard.min_samples = 40;
        scenario.cut_domain(1, 6.0, 30.0);
        scenario.actions = vec![(6.1, Action::TakeBack { vm: 0 })];
        scenario
    };
    let scenarios: Vec<Scenario> = (1..=6).map(scenario).collect();

    let reports = run_all(&scenarios);

    assert_eq!(violations(&reports), Vec::<&String>::new());
    assert!(
        reports
            .iter()
            .all(|r| r.end == Some(TerminalState::TakenBack(TakeBackReason::Operator)))
    );
}

/// Guards against a faulty version that gets more than 1% of all requests, or is used after its fault was detected.
#[test]
fn faulty_versions_are_stopped() {
    let bad = |errors, slow, route| VersionFault {
        errors,
        slow,
        route,
        ..VersionFault::default()
    };
    let kinds = [
        bad(1.0, 1.0, None),
        bad(0.3, 1.0, None),
        bad(0.0, 5.0, None),
        bad(1.0, 1.0, Some(2)),
    ];
    let scenario = |(n, bad): (usize, VersionFault)| Scenario {
        version_fault: Some(bad),
        deadline_s: 60.0,
        end_s: 20.0,
        ..Scenario::fault_free(n as u64 + 1)
    };
    let scenarios: Vec<Scenario> = kinds.into_iter().enumerate().map(scenario).collect();

    let reports = run_all(&scenarios);

    assert_eq!(violations(&reports), Vec::<&String>::new());
    for r in &reports {
        assert!(
            matches!(r.end, Some(TerminalState::TakenBack(TakeBackReason::Fault(_)))),
            "{r:?}"
        );
        assert!(r.faulty_requests * 100 <= r.requests, "{r:?}");
    }
}
