//! Verdict of a VM that sends requests to a new version.

use mh_shift::{Canary, CanaryFault, CanarySample, CanaryThresholds, Verdict};
use mh_types::RouteName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn canary(share: f64) -> Canary {
    Canary::new(CanaryThresholds {
        share,
        ..CanaryThresholds::default()
    })
}

fn route(name: &str) -> RouteName {
    RouteName::from(name)
}

fn good(is_new: bool) -> CanarySample {
    CanarySample {
        is_new,
        fault: None,
        time_ratio: Some(1.0),
    }
}

fn bad(is_new: bool, fault: CanaryFault) -> CanarySample {
    CanarySample {
        is_new,
        fault: Some(fault),
        time_ratio: None,
    }
}

fn observe(canary: &Canary, name: &str, count: usize, sample: CanarySample) {
    for _ in 0..count {
        canary.observe(&route(name), sample);
    }
}

/// Guards against a verdict of "good" without evidence.
#[test]
fn no_verdict_without_evidence() {
    let canary = canary(0.1);
    observe(&canary, "r", 100, good(false));

    assert_eq!(canary.verdict(), Verdict::Undecided);
}

/// Guards against further requests to a version whose fault was found, while the store is away and the rollback is not
/// recorded.
#[test]
fn nothing_is_exposed_after_a_fault() {
    let canary = canary(1.0);
    assert!(canary.try_take());
    observe(&canary, "r", 50, good(false));
    observe(&canary, "r", 10, bad(true, CanaryFault::Error));

    assert!(canary.verdict().is_fault());

    assert!((0..100).all(|_| !canary.try_take()));
}

/// Guards against missing a version that fails half of its requests.
#[test]
fn failing_version_is_detected_after_a_few_answers() {
    let canary = canary(0.1);
    observe(&canary, "r", 50, good(false));
    observe(&canary, "r", 3, good(true));

    observe(&canary, "r", 3, bad(true, CanaryFault::Error));

    assert_eq!(canary.verdict(), Verdict::Failing);
}

/// Guards against missing a fault of one route because the answers of the others are good.
#[test]
fn fault_of_one_route_is_detected() {
    let canary = canary(0.1);
    observe(&canary, "a", 200, good(true));

    observe(&canary, "b", 3, bad(true, CanaryFault::Error));

    assert_eq!(canary.verdict(), Verdict::Failing);
}

/// Guards against a failing verdict for a fault that affects the old version as well.
#[test]
fn fault_of_both_versions_is_not_attributed_to_the_new_one() {
    let canary = canary(0.1);
    observe(&canary, "r", 10, good(false));
    observe(&canary, "r", 5, bad(false, CanaryFault::Error));
    observe(&canary, "r", 10, good(true));

    observe(&canary, "r", 5, bad(true, CanaryFault::Error));

    assert_eq!(canary.verdict(), Verdict::Good);
}

/// Guards against overload hiding the errors of the new version, because both versions time out.
#[test]
fn errors_are_detected_despite_overload_timeouts() {
    let canary = canary(0.1);
    observe(&canary, "r", 10, good(false));
    observe(&canary, "r", 8, bad(false, CanaryFault::TimedOut));
    observe(&canary, "r", 6, good(true));
    observe(&canary, "r", 5, bad(true, CanaryFault::TimedOut));

    observe(&canary, "r", 4, bad(true, CanaryFault::Error));

    assert_eq!(canary.verdict(), Verdict::Failing);
}

/// Guards against earlier good answers hiding a late fault, here errors that begin after 1000 good answers.
#[test]
fn late_fault_is_detected() {
    let canary = canary(0.1);
    observe(&canary, "r", 1000, good(false));
    observe(&canary, "r", 1000, good(true));

    observe(&canary, "r", 10, bad(true, CanaryFault::Error));

    assert_eq!(canary.verdict(), Verdict::Failing);
}

/// Guards against missing a version that is only slow.
#[test]
fn slow_version_is_detected() {
    let canary = canary(0.1);
    observe(&canary, "r", 50, good(false));

    observe(
        &canary,
        "r",
        6,
        CanarySample {
            time_ratio: Some(4.0),
            ..good(true)
        },
    );

    assert_eq!(canary.verdict(), Verdict::Slow);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Guards against sending more than the share to the new version in any interval of requests.
    #[test]
    fn exposure_never_exceeds_the_share(share in 0.0_f64..=1.0, before in 0_usize..100, interval in 1_usize..500) {
        let canary = canary(share);
        for _ in 0..before {
            canary.try_take();
        }

        let exposed = (0..interval).filter(|_| canary.try_take()).count();

        prop_assert!(exposed as f64 <= share * interval as f64 + 1.0 + 1e-3, "{exposed}");
    }
}
