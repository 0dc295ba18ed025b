//! Conditions under which a VM falls back to the old version on its own, and validation of specifications.

use std::time::Duration;

use jiff::Timestamp;
use mh_shift::{
    Evidence, Fault, FaultKind, Fraction, Guard, Rows, Settings, Shift, ShiftSpec, Side, SpecError, StepRow,
    TakeBackReason, VmContext, WriteId,
};
use mh_types::{DomainName, Incarnation, RouteName, VmName};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn wall(time: &str) -> Timestamp {
    format!("2026-12-04T{time}Z").parse().expect("a valid time")
}

fn spec() -> ShiftSpec {
    ShiftSpec {
        name: "nets/stock-v2".into(),
        service: "nets/stock".into(),
        from: "v1".into(),
        to: "v2".into(),
        cap: Fraction::from_millionths(500_000),
        deadline: wall("12:10:00"),
        guard: Guard::default(),
        steps: vec![Fraction::from_millionths(500_000)],
    }
}

fn shift(now: Instant, vm: usize) -> Shift {
    let context = VmContext {
        vm: VmName::from(format!("vm{vm}")),
        incarnation: Incarnation(1),
        domain: DomainName::from(format!("d{vm}")),
        rank: vm as u32,
        routes: vec![RouteName::from("nets/a"), RouteName::from("nets/b")],
        domains: (0..3).map(|d| DomainName::from(format!("d{d}"))).collect(),
    };
    Shift::new(now, spec(), Settings::default(), context).expect("a valid specification")
}

/// VM 0 at half of the requests, in contact with VM 1 since `now`.
fn running(now: Instant, at: Timestamp) -> (Shift, Evidence) {
    let (mut vm, evidence) = (shift(now, 0), shift(now, 1).evidence());
    let write = WriteId {
        vm: "vm1".into(),
        incarnation: Incarnation(1),
        number: 0,
    };
    vm.on_rows(
        now,
        Rows {
            step: Some(StepRow {
                number: 1,
                share: spec().cap,
                write,
            }),
            end: None,
        },
    );
    vm.merge(now, now, &VmName::from("vm1"), &evidence);
    vm.evaluate(now, at);
    (vm, evidence)
}

fn count_new(vm: &Shift, now: Instant, requests: usize) -> usize {
    let route = RouteName::from("nets/a");
    (0..requests).filter(|_| vm.pick(now, &route) == Side::New).count()
}

/// Guards against a VM that keeps using the new version although its control path is stalled or it lost contact.
#[test]
fn gate_closes_when_the_contact_lease_expires() {
    let now = Instant::now();
    let (mut vm, evidence) = running(now, wall("12:00:00"));
    assert_eq!(count_new(&vm, now + SECOND, 100), 50);

    assert_eq!(count_new(&vm, now + 2 * SECOND, 100), 0);
    vm.merge(now + 2 * SECOND, now, &VmName::from("vm1"), &evidence);
    vm.evaluate(now + 2 * SECOND, wall("12:00:02"));

    // The second copy answers a request that was sent too long ago to extend the lease.
    assert_eq!(count_new(&vm, now + 2 * SECOND, 100), 0);
}

/// Guards against a VM that reads its clock before the deadline and picks the new version after it.
#[test]
fn gate_closes_before_the_deadline() {
    let now = Instant::now();
    let (vm, _) = running(now, wall("12:09:58.7"));

    assert_eq!(count_new(&vm, now + Duration::from_millis(700), 100), 50);
    assert_eq!(count_new(&vm, now + Duration::from_millis(800), 100), 0);
}

/// Guards against a stop that waits for the table, or is undone by a step that was written before it.
#[test]
fn stop_overrides_a_step_read_later() {
    let now = Instant::now();
    let (mut vm, _) = running(now, wall("12:00:00"));
    let fault = Fault {
        kind: FaultKind::Slow,
        route: None,
        by: "vm2".into(),
    };

    vm.on_fault(fault.clone());
    let write = WriteId {
        vm: "vm1".into(),
        incarnation: Incarnation(1),
        number: 2,
    };
    vm.on_rows(
        now,
        Rows {
            step: Some(StepRow {
                number: 2,
                share: spec().cap,
                write,
            }),
            end: None,
        },
    );
    vm.evaluate(now, wall("12:00:00"));

    assert_eq!(count_new(&vm, now, 100), 0);
    assert_eq!(vm.evidence().stop, Some(TakeBackReason::Fault(fault)));
}

/// Guards against a stop that reaches only the VMs that got the direct message.
#[test]
fn stop_propagates_with_evidence() {
    let now = Instant::now();
    let ((mut vm, _), (mut stopped, _)) = (running(now, wall("12:00:00")), running(now, wall("12:00:00")));
    stopped.on_stop(TakeBackReason::Operator);

    vm.merge(now, now, &VmName::from("vm2"), &stopped.evidence());

    assert_eq!(vm.stop_reason(), Some(&TakeBackReason::Operator));
    assert_eq!(count_new(&vm, now, 100), 0);
}

/// Guards against a lowered cap that takes effect only with the next step.
#[test]
fn lowered_cap_takes_effect_at_once() {
    let now = Instant::now();
    let (mut vm, _) = running(now, wall("12:00:00"));

    vm.lower_cap(Fraction::from_millionths(100_000));

    assert_eq!(count_new(&vm, now, 1_000), 100);
}

/// Guards against a periodic mix of routes in which every new-version request is of the same route.
#[test]
fn alternating_routes_both_reach_the_new_version() {
    let now = Instant::now();
    let (mut vm, _) = running(now, wall("12:00:00"));
    vm.lower_cap(Fraction::from_millionths(10_000));

    let routes = ["nets/a", "nets/b"].map(RouteName::from);
    let mut new = [0; 2];
    for i in 0..20_000 {
        new[i % 2] += usize::from(vm.pick(now, &routes[i % 2]) == Side::New);
    }

    assert!(new[0] >= 90 && new[1] >= 90, "{new:?}");
}

/// Guards against accepting a specification that cannot be executed.
#[test]
fn invalid_specifications_are_rejected() {
    let steps = |millionths: &[u32]| millionths.iter().map(|m| Fraction::from_millionths(*m)).collect();

    assert_eq!(
        ShiftSpec {
            to: "v1".into(),
            ..spec()
        }
        .check(),
        Err(SpecError::SameVersion)
    );
    assert_eq!(
        ShiftSpec {
            cap: Fraction::ZERO,
            ..spec()
        }
        .check(),
        Err(SpecError::CapZero)
    );
    assert_eq!(
        ShiftSpec {
            steps: steps(&[5, 5]),
            ..spec()
        }
        .check(),
        Err(SpecError::StepsNotRising)
    );
    assert_eq!(
        ShiftSpec {
            steps: vec![],
            ..spec()
        }
        .check(),
        Err(SpecError::StepsNotRising)
    );
    let guard = Guard {
        max_latency_factor: 1.0,
        ..Guard::default()
    };
    assert_eq!(ShiftSpec { guard, ..spec() }.check(), Err(SpecError::LatencyFactor));
}
