//! Tests of the guarantees in simulated histories with faults: at most one run, no false "not run", and the first
//! answer for every repeat.

#[path = "../examples/histories/sim/mod.rs"]
mod sim;

use sim::{Config, Faults, Report, run};

/// Number of histories per test; the environment variable `MH_ONCE_HISTORIES` overrides it.
const HISTORIES: u64 = 300;

fn run_all(cfg: impl Fn(u64) -> Config) -> Report {
    let count = std::env::var("MH_ONCE_HISTORIES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(HISTORIES);
    let mut sum = Report::default();
    (0..count).for_each(|seed| sum.add(run(cfg(seed))));
    sum
}

fn first_violations(report: &Report) -> &[String] {
    &report.violations[..report.violations.len().min(5)]
}

/// Guards against any combination of faults that makes an operation run twice, gives a false "not run", gives a repeat
/// a different answer, or makes an operation table exceed its limits.
#[test]
fn no_history_breaks_a_guarantee() {
    let report = run_all(Config::all_faults);

    assert!(
        report.violations.is_empty(),
        "{} violations: {:#?}",
        report.violations.len(),
        first_violations(&report)
    );
    assert!(
        report.executed > report.operations / 2,
        "too few operations ran for a meaningful test: {report:?}"
    );
}

/// Guards against histories that no longer produce the result codes that they are meant to cover.
#[test]
fn histories_reach_every_refusal() {
    let report = run_all(Config::all_faults);

    for code in [
        0, 1012, 1015, 1016, 1017, 1018, 1019, 1022, 2001, 2005, 4001, 4003, 4005,
    ] {
        assert!(
            report.codes.contains_key(&code),
            "no reply with code {code}: {:?}",
            report.codes
        );
    }
}

/// Guards against checks that do not detect operations that run twice, which the implementation with separate memory on
/// each VM allows.
#[test]
fn separate_memory_is_caught_running_operations_twice() {
    let report = run_all(|seed| Config {
        separate_memory: true,
        ..Config::all_faults(seed)
    });

    assert!(
        report
            .violations
            .iter()
            .any(|violation| violation.contains("ran twice")),
        "no operation ran twice with separate memory on each VM"
    );
}

/// Guards against operations that end as "unknown" although there were no faults.
#[test]
fn without_faults_every_operation_is_answered() {
    let report = run_all(|seed| Config {
        seed,
        faults: Faults::NONE,
        separate_memory: false,
        small_limits: false,
    });

    assert!(report.violations.is_empty(), "{:#?}", first_violations(&report));
    assert_eq!(report.ended_unknown, 0, "{report:?}");
}
