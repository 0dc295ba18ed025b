//! Detection of faults of the new version, without false alarms for faults that affect both versions.

mod naive_policy;
mod sim;

use std::time::Duration;

use mh_shift::{
    Decision, Evidence, Fraction, Guard, Sample, Settings, Shift, ShiftSpec, Side, StepRow, TakeBackReason, VmContext,
};
use mh_types::{DomainName, Incarnation, RouteName, VmName};
use naive_policy::NaivePolicy;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sim::rng::Rng;
use tokio::time::Instant;

const WALL: &str = "2026-12-04T12:00:00Z";

fn shift(now: Instant, vm: usize) -> Shift {
    let spec = ShiftSpec {
        name: "nets/stock-v2".into(),
        service: "nets/stock".into(),
        from: "v1".into(),
        to: "v2".into(),
        cap: Fraction::from_millionths(500_000),
        deadline: "2026-12-04T12:30:00Z".parse().expect("a valid time"),
        guard: Guard::default(),
        steps: ShiftSpec::default_steps(),
    };
    let context = VmContext {
        vm: VmName::from(format!("vm{vm}")),
        incarnation: Incarnation(1),
        domain: DomainName::from(format!("d{vm}")),
        rank: vm as u32,
        routes: vec![RouteName::from("nets/stock")],
        domains: (0..3).map(|d| DomainName::from(format!("d{d}"))).collect(),
    };
    Shift::new(now, spec, Settings::default(), context).expect("a valid specification")
}

/// Feeds one interval of 40 old and `new` new requests, which fail with the given probabilities.
fn observe_interval(
    shift: &Shift,
    rng: &mut Rng,
    new: usize,
    old_errors: f64,
    new_errors: f64,
    naive: &mut NaivePolicy,
) {
    let (route, domain) = (RouteName::from("nets/stock"), DomainName::from("d0"));
    for i in 0..40 + new {
        let (side, p) = if i < 40 {
            (Side::Old, old_errors)
        } else {
            (Side::New, new_errors)
        };
        let ok = !rng.chance(p);
        naive.observe(side, ok);
        shift.observe(&Sample {
            route: &route,
            side,
            domain: &domain,
            ok,
            latency: Duration::from_millis(10),
        });
    }
}

/// Guards against taking a version back for a fault that affects both versions: a plain error threshold reports it, the
/// comparison does not.
#[test]
fn fault_of_both_versions_is_not_attributed_to_the_new_one() {
    let (start, wall) = (Instant::now(), WALL.parse().expect("a valid time"));
    let (mut shift, mut rng, mut naive) = (shift(start, 0), Rng(3), NaivePolicy::new(0.05, 0.02, 3));

    for second in 1..=120_u32 {
        let errors = if (second / 10) % 2 == 1 { 0.5 } else { 0.001 };
        observe_interval(&shift, &mut rng, 4, errors, errors, &mut naive);
        shift.evaluate(start + Duration::from_secs(second.into()), wall);
    }

    assert!(naive.detects_fault());
    assert_eq!(shift.stop_reason(), None);
}

/// Guards against more false alarms than the setting allows, for versions that fail as often as the old one.
#[test]
fn false_alarms_stay_within_the_setting() {
    let (start, wall) = (Instant::now(), WALL.parse().expect("a valid time"));
    let false_alarms = (0..300_u64).filter(|seed| {
        let (mut shift, mut rng, mut naive) = (shift(start, 0), Rng(*seed), NaivePolicy::new(0.05, 0.02, *seed));
        for second in 1..=60_u32 {
            let errors = 0.05 + 0.4 * f64::from(second % 7 / 6);
            observe_interval(&shift, &mut rng, 6, errors, errors, &mut naive);
            shift.evaluate(start + Duration::from_secs(second.into()), wall);
        }
        shift.stop_reason().is_some()
    });

    // The setting allows 0.001 per shift.
    assert!(false_alarms.count() <= 2);
}

/// Guards against missing a late fault because the version was good for a long time before.
#[test]
fn late_fault_is_detected() {
    let (start, wall) = (Instant::now(), WALL.parse().expect("a valid time"));
    let (mut shift, mut rng, mut naive) = (shift(start, 0), Rng(5), NaivePolicy::new(0.05, 0.02, 5));
    for second in 1..=600_u32 {
        observe_interval(&shift, &mut rng, 4, 0.02, 0.01, &mut naive);
        shift.evaluate(start + Duration::from_secs(second.into()), wall);
    }
    assert_eq!(shift.stop_reason(), None);

    for second in 601..=605_u32 {
        observe_interval(&shift, &mut rng, 4, 0.02, 0.9, &mut naive);
        shift.evaluate(start + Duration::from_secs(second.into()), wall);
    }

    assert!(matches!(shift.stop_reason(), Some(TakeBackReason::Fault(_))));
}

/// Guards against reporting a few errors in thousands of requests only because the old version had none.
#[test]
fn errors_below_the_tolerated_rate_are_not_a_fault() {
    let (start, wall) = (Instant::now(), WALL.parse().expect("a valid time"));
    let (mut shift, mut rng, mut naive) = (shift(start, 0), Rng(6), NaivePolicy::new(0.05, 0.02, 6));

    for second in 1..=1_000_u32 {
        let new_errors = if second % 100 == 0 { 1.0 } else { 0.0 };
        observe_interval(&shift, &mut rng, 1, 0.0, new_errors, &mut naive);
        observe_interval(&shift, &mut rng, 9, 0.0, 0.0, &mut naive);
        shift.evaluate(start + Duration::from_secs(second.into()), wall);
    }

    assert_eq!(shift.stop_reason(), None);
}

/// Evidence of VM 1 and VM 2 over `n` intervals, in order.
fn evidence_messages(start: Instant, n: u32, new_errors: f64, seed: u64) -> Vec<Evidence> {
    let wall = WALL.parse().expect("a valid time");
    let (mut rng, mut naive) = (Rng(seed), NaivePolicy::new(0.05, 0.02, seed));
    let mut peers = [shift(start, 1), shift(start, 2)];
    let mut sent = vec![];
    for second in 1..=n {
        for peer in &mut peers {
            observe_interval(peer, &mut rng, 5, 0.01, new_errors, &mut naive);
            peer.evaluate(start + Duration::from_secs(second.into()), wall);
            sent.push(Evidence {
                stop: None,
                ..peer.evidence()
            });
        }
    }
    sent
}

/// Decision of VM 0 from the messages, once the dwell time is over.
fn decision_after(start: Instant, sent: &[Evidence]) -> Decision {
    let mut vm = shift(start, 0);
    let end = start + Duration::from_mins(1);
    let write = mh_shift::WriteId {
        vm: "vm0".into(),
        incarnation: Incarnation(1),
        number: 0,
    };
    let row = StepRow {
        number: 1,
        share: Fraction::from_millionths(10_000),
        write,
    };
    vm.on_rows(
        start,
        mh_shift::Rows {
            step: Some(row),
            end: None,
        },
    );
    for e in sent {
        vm.merge(end, end, &e.vm, e);
    }
    vm.evaluate(end, WALL.parse().expect("a valid time"));
    vm.evaluate(end + Duration::from_millis(10), WALL.parse().expect("a valid time"))
}

/// Guards against evidence being counted twice or lost when messages are duplicated, reordered or late.
#[test]
fn duplicate_and_reordered_evidence_counts_once() {
    let config = Config {
        cases: 40,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]));
    let start = Instant::now();
    // Only clearly good and clearly bad versions: in between, one order of messages can let the test peak above the
    // threshold where another order does not.
    let cases = (4_u32..40, any::<u64>(), prop_oneof![Just(0.01), Just(0.9)]);

    let result = runner.run(&cases, |(n, seed, errors)| {
        let in_order = evidence_messages(start, n, errors, seed);
        let mut rng = Rng(seed);
        let mut shuffled = in_order[..2].to_vec();
        shuffled.extend((0..in_order.len() * 2).map(|_| in_order[rng.below(in_order.len())].clone()));
        shuffled.extend_from_slice(&in_order[in_order.len() - 2..]);
        shuffled.extend((0..10).map(|_| in_order[rng.below(in_order.len())].clone()));
        prop_assert_eq!(decision_after(start, &shuffled), decision_after(start, &in_order));
        Ok(())
    });

    assert_eq!(result, Ok(()));
}
