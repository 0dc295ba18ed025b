//! Acceptance of batches and reports from the store and from other VMs.

use std::time::Duration;

use mh_types::Revision;

use super::*;
use crate::{CallerLimits, Plan};

/// Returns the version with this number in the first era.
fn at(number: u64) -> StoreVersion {
    StoreVersion::new(0, number)
}

fn batch(version: u64, last_changed_version: u64, domains: &[&str]) -> Batch {
    Batch {
        version: at(version),
        last_changed_version: at(last_changed_version),
        clock: Duration::ZERO,
        updates: domains
            .iter()
            .map(|domain| Update::Drained((*domain).into(), true))
            .collect(),
    }
}

/// Returns states that hold every feed up to version 10.
fn states() -> FeedStates {
    let mut states = FeedStates::default();
    for feed in Feed::ALL {
        states.accept(feed, &batch(10, 10, &[]), None, &Origin::Store, Instant::now());
    }
    states
}

fn report(held: u64, changed: u64) -> ReaderReport {
    ReaderReport {
        clock: Duration::ZERO,
        feeds: [FeedVersions {
            held: at(held),
            changed: at(changed),
        }; Feed::ALL.len()],
        register_down: None,
        changes: None,
        plan_change: None,
    }
}

/// Guards against a stale replica of the store that reverts a change received from another VM meanwhile.
#[test]
fn a_stale_read_is_not_accepted() {
    let mut states = states();
    states.accept(
        Feed::Settings,
        &batch(12, 12, &["a"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );

    let outcome = states.accept(
        Feed::Settings,
        &batch(11, 11, &["b"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );
    let snapshot_outcome = states.accept(
        Feed::Settings,
        &batch(11, 11, &["b"]),
        None,
        &Origin::Store,
        Instant::now(),
    );

    assert!(matches!(outcome, AcceptOutcome::Unchanged), "{outcome:?}");
    assert!(
        matches!(snapshot_outcome, AcceptOutcome::Unchanged),
        "{snapshot_outcome:?}"
    );
    assert_eq!(states.versions(Feed::Settings).unwrap().changed, at(12));
}

/// Guards against a version that moves on without the changes before it: the state was read anew, at an earlier version,
/// while changes after a later one were on their way.
#[test]
fn changes_after_a_later_version_than_the_held_one_are_not_accepted() {
    let mut states = states();

    let outcome = states.accept(
        Feed::Settings,
        &batch(20, 18, &["b"]),
        Some(at(15)),
        &Origin::Store,
        Instant::now(),
    );

    assert!(matches!(outcome, AcceptOutcome::Unchanged), "{outcome:?}");
    assert_eq!(states.versions(Feed::Settings).unwrap().held, at(10));
}

/// Guards against rebuilding the request state twice for a change that both readers report.
#[test]
fn a_known_change_is_not_accepted_again() {
    let mut states = states();
    states.accept(
        Feed::Settings,
        &batch(12, 12, &["a"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );

    let outcome = states.accept(
        Feed::Settings,
        &batch(15, 12, &["a"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );

    assert!(matches!(outcome, AcceptOutcome::Unchanged), "{outcome:?}");
    assert_eq!(
        states.versions(Feed::Settings),
        Some(FeedVersions {
            held: at(15),
            changed: at(12)
        })
    );
}

/// Guards against a VM that counts as up to date although it missed the datagram with a change.
#[test]
fn a_missed_change_is_detected_by_its_version() {
    let mut states = states();

    assert!(
        states
            .compare(&report(14, 10), &"vm-2".into(), Instant::now())
            .is_empty()
    );
    assert_eq!(states.versions(Feed::Servers).unwrap().held, at(14));
    assert_eq!(
        states.compare(&report(16, 15), &"vm-2".into(), Instant::now()),
        Vec::from(Feed::ALL)
    );
    assert_eq!(states.versions(Feed::Servers).unwrap().held, at(14));
}

/// Guards against outdated reports from a VM whose own calls to the store fail.
#[test]
fn no_versions_are_reported_while_a_feed_fails() {
    let mut states = states();
    assert!(states.reportable_versions().is_some());

    states.set_failing(Feed::Servers, true);

    assert!(states.reportable_versions().is_none());
}

/// Guards against losing changes between the version that another VM holds and the newest one.
#[test]
fn missed_changes_come_from_the_log() {
    let mut states = states();
    states.accept(
        Feed::Settings,
        &batch(12, 12, &["a"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );
    states.accept(
        Feed::Settings,
        &batch(14, 14, &["b"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );

    assert_eq!(states.since(Feed::Settings, at(10)).unwrap().len(), 2);
    assert_eq!(states.since(Feed::Settings, at(13)).unwrap().len(), 1);
    assert!(states.since(Feed::Settings, at(9)).is_none());
}

/// Guards against sending every plan of a series to each VM of a region. Five plans at once saturate the reader's
/// link for seconds, and the other VMs accept a withdrawn key for over 3 s.
#[test]
fn only_the_last_change_of_each_subject_is_sent() {
    let mut states = states();
    for version in 11..16 {
        let plan = Plan::new(
            Revision(version),
            Vec::new(),
            Vec::new(),
            Vec::new(),
            CallerLimits::default(),
        );
        let mut read = batch(version, version, &["a"]);
        read.updates.push(Update::Plan(plan.into()));
        states.accept(Feed::Settings, &read, Some(at(10)), &Origin::Store, Instant::now());
    }

    let updates = states.since(Feed::Settings, at(10)).unwrap();

    assert!(
        matches!(&updates[..], [Update::Drained(..), Update::Plan(plan)] if plan.revision.0 == 15),
        "{updates:?}"
    );
}

/// Returns a batch of the era after the first restore of the store.
fn restored_batch(number: u64, domains: &[&str]) -> Batch {
    Batch {
        version: StoreVersion::new(1, number),
        last_changed_version: StoreVersion::new(1, number),
        ..batch(0, 0, domains)
    }
}

/// Guards against a VM that ignores the restored store until its numbers have passed those from before.
#[test]
fn a_full_read_of_a_later_era_is_accepted_with_a_lower_number() {
    let mut states = states();

    let outcome = states.accept(
        Feed::Settings,
        &restored_batch(4, &["a"]),
        None,
        &Origin::Store,
        Instant::now(),
    );

    assert!(matches!(outcome, AcceptOutcome::Snapshot), "{outcome:?}");
    assert_eq!(states.versions(Feed::Settings).unwrap().held, StoreVersion::new(1, 4));
}

/// Guards against changes of the restored store that are applied to the state from before, and against late answers
/// from before that are applied to the restored state.
#[test]
fn changes_of_another_era_are_not_applied() {
    let mut states = states();

    let outcome = states.accept(
        Feed::Settings,
        &restored_batch(12, &["a"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );
    assert!(matches!(outcome, AcceptOutcome::Unchanged), "{outcome:?}");
    let late = states.accept(
        Feed::Servers,
        &batch(30, 30, &["b"]),
        Some(at(10)),
        &Origin::Store,
        Instant::now(),
    );
    let late_snapshot = states.accept(
        Feed::Servers,
        &batch(30, 30, &["b"]),
        None,
        &Origin::Store,
        Instant::now(),
    );

    assert!(matches!(late, AcceptOutcome::Unchanged), "{late:?}");
    assert!(matches!(late_snapshot, AcceptOutcome::Unchanged), "{late_snapshot:?}");
}

/// Guards against a VM that never contacts the store itself and counts as up to date in the restored store, because it
/// holds a higher number from before.
#[test]
fn a_report_of_a_later_era_shows_that_everything_is_missing() {
    let mut states = states();
    let versions = FeedVersions {
        held: StoreVersion::new(1, 6),
        changed: StoreVersion::new(1, 5),
    };
    let report = ReaderReport {
        feeds: [versions; Feed::ALL.len()],
        ..report(0, 0)
    };

    assert_eq!(
        states.compare(&report, &"vm-2".into(), Instant::now()),
        Vec::from(Feed::ALL)
    );
    assert!(states.reportable_versions().is_none());
    assert_eq!(states.versions(Feed::Settings).unwrap().held, at(10));
}
