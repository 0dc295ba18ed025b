//! Acceptance of changes, roster changes and the change log.

mod common;

use common::{attesting_vm, ms, report, roster, start};
use mh_fresh::prelude::*;
use mh_fresh::{ChangesSince, HeldRevisions, RosterError};
use mh_types::{Incarnation, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn holding(held: u64, held_ms: u32) -> HeldRevisions {
    HeldRevisions {
        held: Revision(held),
        held_ms,
        steady: Revision(1),
    }
}

/// Guards against counting VMs that held a revision at different times towards one majority.
///
/// `b` held revision 5 and restarted before `c` received it, so no majority ever held it simultaneously.
#[test]
fn acceptance_requires_overlapping_intervals() {
    let now = start();
    let five = ["a", "b", "c", "d", "e"];
    let mut tracker = attesting_vm("a", &five, now, 5);
    let early = now + ms(100);
    let late = now + ms(900);

    tracker.on_report(
        early,
        early,
        &Report {
            holding: holding(5, 50),
            ..report("b", 5)
        },
    );
    tracker.on_report(
        late,
        late,
        &Report {
            holding: holding(5, 300),
            ..report("c", 5)
        },
    );
    let before_overlap = tracker.acceptance(Revision(5));
    tracker.on_report(
        late,
        late,
        &Report {
            holding: holding(5, 200),
            ..report("d", 5)
        },
    );

    assert_eq!(
        before_overlap,
        Acceptance::Pending {
            missing: vec!["d".into(), "e".into()]
        }
    );
    assert!(tracker.acceptance(Revision(5)).is_accepted());
}

/// Guards against never detecting acceptance during a burst of changes, which keeps `held_ms` near zero.
#[test]
fn older_change_is_accepted_during_a_burst_of_changes() {
    let now = start();
    let mut tracker = attesting_vm("a", &["a", "b", "c"], now, 3);
    let later = now + ms(5_000);
    tracker.on_apply(later, Revision(9), None);

    let burst = HeldRevisions {
        held: Revision(9),
        held_ms: 0,
        steady: Revision(3),
    };
    tracker.on_report(
        later - ms(900),
        later,
        &Report {
            holding: burst,
            ..report("b", 9)
        },
    );

    assert!(tracker.acceptance(Revision(3)).is_accepted());
    assert!(!tracker.acceptance(Revision(9)).is_accepted());
}

/// Guards against a VM concluding acceptance when it may not hold the roster whose majority has to accept.
#[test]
fn a_vm_that_does_not_hold_a_change_does_not_conclude_its_acceptance() {
    let now = start();
    // `z` is not a member, so the revision it holds does not count towards the majority.
    let mut tracker = attesting_vm("z", &["a", "b", "c"], now, 4);

    tracker.on_report(now, now, &report("b", 5));
    tracker.on_report(now, now, &report("c", 5));
    let behind = tracker.acceptance(Revision(5)).is_accepted();
    tracker.on_report(
        now,
        now,
        &Report {
            accepted: Revision(5),
            ..report("b", 5)
        },
    );

    assert!(!behind);
    assert!(
        tracker.acceptance(Revision(5)).is_accepted(),
        "acceptance relayed by a peer"
    );
}

/// Guards against two concurrent roster changes, and against accepting a change that only a majority of the new roster
/// holds.
#[test]
fn a_roster_change_requires_majorities_of_both_rosters_before_the_next() {
    let now = start();
    let mut tracker = attesting_vm("a", &["a", "b", "c", "d"], now, 4);
    let next = tracker.roster().remove(Revision(5), &"d".into()).unwrap();
    tracker.on_apply(now, Revision(5), Some(next));

    let later = now + ms(100);
    let held = Report {
        holding: holding(5, 50),
        ..report("b", 5)
    };
    tracker.on_report(later, later, &held);
    let two_of_three = tracker.roster().remove(Revision(6), &"b".into());
    tracker.on_report(later, later, &Report { vm: "d".into(), ..held });

    assert_eq!(
        two_of_three,
        Err(RosterError::PreviousNotAccepted { revision: Revision(5) })
    );
    assert_eq!(
        tracker
            .roster()
            .remove(Revision(6), &"b".into())
            .unwrap()
            .members()
            .len(),
        2
    );
}

/// Guards against accepting an invalid roster change: a duplicate, unknown or last member, or an old revision.
#[test]
fn invalid_roster_changes_are_rejected() {
    let one = roster(&["a"]);

    assert_eq!(
        one.add(Revision(2), "a".into(), "a".into()),
        Err(RosterError::AlreadyMember("a".into()))
    );
    assert_eq!(
        one.remove(Revision(2), &"b".into()),
        Err(RosterError::NotMember("b".into()))
    );
    assert_eq!(
        one.remove(Revision(2), &"a".into()),
        Err(RosterError::LastMember("a".into()))
    );
    assert!(matches!(
        one.add(Revision(1), "b".into(), "a".into()),
        Err(RosterError::RevisionNotNewer { .. })
    ));
}

/// Reference implementation that tests every moment at which an interval begins.
fn brute_force_accepts(intervals: &[Option<(u64, u64)>]) -> bool {
    let holds = |moment: u64| {
        intervals
            .iter()
            .flatten()
            .filter(|(from, until)| (*from..=*until).contains(&moment))
            .count()
    };
    intervals
        .iter()
        .flatten()
        .any(|&(from, _)| holds(from) > intervals.len() / 2)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an interval sweep that differs from the brute-force reference, with duplicate and reordered
    /// reports.
    #[test]
    fn acceptance_agrees_with_brute_force(
        reports in prop::collection::vec(prop::option::of((0_u64..900, 0_u64..900)), 6),
        order in prop::collection::vec(0_usize..6, 6..20),
        own_since in 0_u64..900,
    ) {
        let now = start();
        let names = ["a", "b", "c", "d", "e", "f", "g"];
        let mut tracker = attesting_vm("a", &names, now, 1);
        tracker.on_apply(now + ms(own_since), Revision(5), None);
        let mut intervals = vec![Some((own_since * 1_000, 1_000_000)), None, None, None, None, None, None];
        for at in order {
            let Some((requested_ms, held_ms)) = reports[at] else { continue };
            let sent = Report { holding: holding(5, held_ms as u32), ..report(names[at + 1], 5) };
            tracker.on_report(now + ms(requested_ms), now + ms(1_000), &sent);
            // In microseconds: a reported holding time is shortened by 200 ppm for clock drift.
            let (from, requested_ms) = (1_000_000 - held_ms * 1_000 + held_ms / 5, requested_ms * 1_000);
            intervals[at + 1] = (from <= requested_ms).then_some((from, requested_ms));
        }
        prop_assert_eq!(tracker.acceptance(Revision(5)).is_accepted(), brute_force_accepts(&intervals));
    }

    /// Guards against serving a peer changes with a gap; compares the log with a list of every change.
    #[test]
    fn the_change_log_agrees_with_a_full_list(
        capacity in 1_usize..6,
        steps in prop::collection::vec((0_u64..40, any::<bool>()), 1..40),
        since in 0_u64..45,
    ) {
        let mut log = ChangeLog::new(capacity);
        let (mut full, mut begin): (Vec<u64>, u64) = (Vec::new(), 0);
        for (step, (revision, whole)) in steps.into_iter().enumerate() {
            let newest = begin + full.len() as u64;
            let revision = if step % 3 == 0 { revision } else { newest + 1 };
            if whole && step % 5 == 0 {
                log.reset(Revision(revision));
            } else {
                log.push(Revision(revision), revision);
            }
            if revision > newest && (whole && step % 5 == 0 || revision != newest + 1) {
                full.clear();
                begin = revision - u64::from(!(whole && step % 5 == 0));
            }
            if revision > newest && !(whole && step % 5 == 0) {
                full.push(revision);
            }
        }
        let kept = begin + full.len().saturating_sub(capacity) as u64;
        let expected = full.iter().filter(|&&n| n > since).map(|n| (Revision(*n), n)).collect();
        let expected = if since < kept { ChangesSince::TooOld } else { ChangesSince::Changes(expected) };
        prop_assert_eq!(log.since(Revision(since)), expected);
        prop_assert!(log.len() <= capacity);
    }
}

/// Guards against counting a report from an earlier incarnation of a member as evidence that it holds a revision.
#[test]
fn a_report_from_an_older_run_does_not_count_towards_acceptance() {
    let now = start();
    let mut tracker = attesting_vm("a", &["a", "b", "c"], now, 5);
    tracker.on_report(
        now,
        now,
        &Report {
            incarnation: Incarnation(3),
            vouched_ms: None,
            ..report("b", 0)
        },
    );

    tracker.on_report(now, now, &report("b", 5));

    assert!(!tracker.acceptance(Revision(5)).is_accepted());
}
