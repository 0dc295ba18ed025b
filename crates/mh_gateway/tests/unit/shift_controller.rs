//! Transitions between the phases of a shift.

use std::time::Duration;

use mh_shift::Verdict;
use mh_types::StoreVersion;

use super::{next_phase, next_record};
use crate::{ShiftOrder, ShiftPhase, ShiftRecord};

const SECOND: Duration = Duration::from_secs(1);

fn order() -> ShiftOrder {
    ShiftOrder {
        to: "v2".into(),
        duration: SECOND * 16,
        version: StoreVersion::new(0, 5),
    }
}

fn record(phase: ShiftPhase) -> ShiftRecord {
    ShiftRecord {
        to: "v2".into(),
        order: StoreVersion::new(0, 5),
        started: SECOND * 100,
        phase,
        version: StoreVersion::new(0, 9),
        written_in: Some(0),
    }
}

/// Returns the next phase `ms` milliseconds before the deadline.
fn phase_before_deadline(phase: ShiftPhase, verdict: Verdict, ms: u64) -> Option<ShiftPhase> {
    let clock = (SECOND * 116).saturating_sub(Duration::from_millis(ms));
    next_phase(&record(phase), &order(), verdict, Duration::ZERO, clock)
}

/// Guards against further exposure of a version that was found bad, in any phase.
#[test]
fn fault_rolls_shift_back() {
    for verdict in [Verdict::Failing, Verdict::Slow] {
        for phase in [ShiftPhase::Exposing, ShiftPhase::Switching] {
            assert_eq!(
                phase_before_deadline(phase, verdict, 15_000),
                Some(ShiftPhase::TakenBack)
            );
        }
    }
}

/// Guards against a shift to a good version that misses its deadline.
#[test]
fn a_good_version_is_done_before_the_deadline() {
    assert_eq!(phase_before_deadline(ShiftPhase::Exposing, Verdict::Good, 5_000), None);
    assert_eq!(
        phase_before_deadline(ShiftPhase::Exposing, Verdict::Good, 1_000),
        Some(ShiftPhase::Switching)
    );
    assert_eq!(phase_before_deadline(ShiftPhase::Switching, Verdict::Good, 1_000), None);
    assert_eq!(
        phase_before_deadline(ShiftPhase::Switching, Verdict::Good, 500),
        Some(ShiftPhase::Done)
    );
}

/// Guards against completing a shift without evidence: if all VMs restart between the switch and the end, they must
/// not record a bad version as done.
#[test]
fn shift_without_evidence_is_rolled_back() {
    assert_eq!(
        phase_before_deadline(ShiftPhase::Switching, Verdict::Undecided, 500),
        None
    );
    assert_eq!(
        phase_before_deadline(ShiftPhase::Switching, Verdict::Undecided, 0),
        Some(ShiftPhase::TakenBack)
    );
    assert_eq!(
        phase_before_deadline(ShiftPhase::Exposing, Verdict::Good, 0),
        Some(ShiftPhase::TakenBack)
    );
}

/// Guards against a phase change after the end of a shift.
#[test]
fn ended_shift_changes_no_phase() {
    for phase in [ShiftPhase::Done, ShiftPhase::TakenBack] {
        assert_eq!(phase_before_deadline(phase, Verdict::Failing, 0), None);
    }
}

/// Guards against applying the record of the previous order to a new order.
#[test]
fn a_new_order_starts_a_new_record() {
    let newer = ShiftOrder {
        version: StoreVersion::new(0, 6),
        ..order()
    };

    let due = next_record(
        &newer,
        Some(&record(ShiftPhase::Done)),
        0,
        Verdict::Undecided,
        StoreVersion::ZERO,
        SECOND * 200,
    );

    let due = due.expect("a record is due");
    assert_eq!(
        (due.phase, due.order, due.version, due.started),
        (
            ShiftPhase::Exposing,
            newer.version,
            StoreVersion::new(0, 9),
            SECOND * 200
        )
    );
}
