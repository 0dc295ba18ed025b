//! Retired versions that the stored record lacks.

use std::collections::BTreeMap;

use mh_types::{ServiceName, StoreVersion};

use super::super::DeploymentState;
use super::*;
use crate::{Batch, Bounds, Feed, Update};

const SECOND: Duration = Duration::from_secs(1);

fn record(to: &str, order: u64, phase: ShiftPhase) -> ShiftRecord {
    ShiftRecord {
        to: to.into(),
        order: StoreVersion::new(0, order),
        started: SECOND * order as u32,
        phase,
        version: StoreVersion::new(0, order + 1),
        written_in: Some(0),
    }
}

fn apply(deployment: &mut DeploymentState, clock: u32, updates: Vec<Update>, now: Instant) {
    let version = StoreVersion::new(0, u64::from(clock));
    let batch = Batch {
        version,
        last_changed_version: version,
        clock: SECOND * clock,
        updates,
    };
    deployment.apply(Feed::Shifts, &batch, false, now);
}

fn shift(record: ShiftRecord) -> Update {
    Update::Shift("stock".into(), Some(record))
}

/// Guards against VMs that start beside an earlier release, whose records name no retired versions, and use a version that
/// was rolled back; and against all VMs completing such a record at once.
#[test]
fn a_record_of_an_earlier_release_is_completed_by_one_vm_after_the_other() {
    let now = Instant::now();
    let mut deployment = DeploymentState::new("north".into(), BTreeMap::default(), Bounds::default());
    apply(
        &mut deployment,
        6,
        vec![shift(record("v2", 5, ShiftPhase::TakenBack))],
        now,
    );
    let written = record("v3", 10, ShiftPhase::Exposing);
    apply(&mut deployment, 10, vec![shift(written.clone())], now);
    let mut incomplete = |rank: usize, at: Instant| deployment.incomplete_records(at, |_: &ServiceName| Some(rank));

    let due = incomplete(0, now);

    assert_eq!(
        (due[0].1.record.clone(), due[0].1.retired.clone()),
        (written.clone(), vec!["v2".into()])
    );
    assert!(incomplete(10, now + SECOND).is_empty());
    assert_eq!(incomplete(10, now + SECOND * 2).len(), 1);
    assert!(deployment.incomplete_records(now, |_| None).is_empty());
    apply(
        &mut deployment,
        11,
        vec![
            shift(written),
            Update::RetiredVersions("stock".into(), vec!["v2".into()]),
        ],
        now,
    );
    assert!(deployment.incomplete_records(now + SECOND * 60, |_| Some(0)).is_empty());
}

/// Guards against all VMs writing at once that notice an old record of an earlier release at the same time, as at an upgrade.
#[test]
fn an_old_record_is_not_completed_by_all_vms_at_once() {
    let now = Instant::now();
    let mut deployment = DeploymentState::new("north".into(), BTreeMap::default(), Bounds::default());
    apply(
        &mut deployment,
        6,
        vec![shift(record("v2", 5, ShiftPhase::TakenBack))],
        now,
    );
    apply(
        &mut deployment,
        100,
        vec![shift(record("v3", 10, ShiftPhase::Exposing))],
        now,
    );

    assert!(deployment.incomplete_records(now, |_| Some(1)).is_empty());
    assert_eq!(deployment.incomplete_records(now, |_| Some(0)).len(), 1);
}

/// Guards against a record that retires the version it is about, or leaves one out that was replaced.
#[test]
fn each_record_names_the_versions_that_are_over_with_it() {
    let now = Instant::now();
    let mut versions = ServiceVersions::default();
    versions.add(&"v1".into(), true, now);
    versions.add(&"v2".into(), false, now);
    versions.on_record(&record("v2", 5, ShiftPhase::TakenBack), None);
    versions.add(&"v3".into(), false, now);

    let named = [
        ShiftPhase::Exposing,
        ShiftPhase::Switching,
        ShiftPhase::Done,
        ShiftPhase::TakenBack,
    ]
    .map(|phase| versions.retired_by(&record("v3", 10, phase)));
    let ordered_again = versions.retired_by(&record("v2", 10, ShiftPhase::Exposing));

    let expected: [&[&str]; 4] = [&["v2"], &["v2"], &["v1", "v2"], &["v2", "v3"]];
    for (named, expected) in named.iter().zip(expected) {
        assert!(
            named.iter().map(VersionName::as_str).eq(expected.iter().copied()),
            "{named:?}"
        );
    }
    assert!(ordered_again.is_empty());
}
