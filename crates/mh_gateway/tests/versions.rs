//! Which versions of a service requests may use: decided for a version and all its servers, from the orders and records of
//! shifts.

mod fixtures;

use std::time::Duration;

use fixtures::{SERVICE, at, batch, listed, order, removed, server, state_with, usable};
use mh_gateway::{DeploymentState, Feed, LiveState, RegisteredServer, ShiftPhase, ShiftRecord, Update};
use mh_types::{ServerName, StoreVersion, VersionName};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn record(to: &str, order: u64, phase: ShiftPhase, version: u64) -> Update {
    let record = ShiftRecord {
        to: to.into(),
        order: at(order),
        started: SECOND * order as u32,
        phase,
        version: at(version),
        written_in: Some(0),
    };
    Update::Shift(SERVICE.into(), Some(record))
}

fn apply(deployment: &mut DeploymentState, feed: Feed, version: u64, updates: Vec<Update>, now: Instant) {
    deployment.apply(feed, &batch(version, updates), false, now);
}

/// Two servers of v1, and two of v2, whose shift was ordered and rolled back.
fn after_a_rollback(now: Instant) -> DeploymentState {
    let mut deployment = state_with(vec![listed("a1", "v1"), listed("a2", "v1")], now);
    apply(
        &mut deployment,
        Feed::Servers,
        5,
        vec![listed("b1", "v2"), listed("b2", "v2")],
        now,
    );
    apply(&mut deployment, Feed::Settings, 6, vec![order("v2", 6)], now);
    apply(
        &mut deployment,
        Feed::Shifts,
        7,
        vec![record("v2", 6, ShiftPhase::Exposing, 7)],
        now,
    );
    apply(
        &mut deployment,
        Feed::Shifts,
        8,
        vec![record("v2", 6, ShiftPhase::TakenBack, 8)],
        now,
    );
    deployment
}

/// Orders v3 and registers its servers.
fn order_next(deployment: &mut DeploymentState, now: Instant) {
    apply(
        deployment,
        Feed::Servers,
        9,
        vec![listed("c1", "v3"), listed("c2", "v3")],
        now,
    );
    apply(deployment, Feed::Settings, 10, vec![order("v3", 10)], now);
}

/// The servers of v1 and v3.
fn old_and_next() -> [ServerName; 4] {
    ["a1", "a2", "c1", "c2"].map(ServerName::from)
}

/// Guards against requests to a version that was rolled back once the next one is ordered: 466 to 487 of 2,990 requests
/// went to its servers until they had drained, and a third of them failed.
#[test]
fn a_rolled_back_version_stays_unused_after_the_next_order() {
    let now = Instant::now();
    let mut deployment = after_a_rollback(now);
    assert_eq!(usable(&mut deployment, now), ["a1".into(), "a2".into()]);

    order_next(&mut deployment, now);

    assert_eq!(usable(&mut deployment, now), old_and_next());
    for (phase, version) in [
        (ShiftPhase::Exposing, 11),
        (ShiftPhase::Switching, 12),
        (ShiftPhase::Done, 13),
    ] {
        apply(
            &mut deployment,
            Feed::Shifts,
            version,
            vec![record("v3", 10, phase, version)],
            now,
        );
        let found = usable(&mut deployment, now + SECOND * 60);
        assert!(
            !found.contains(&"b1".into()) && !found.contains(&"b2".into()),
            "{phase:?} {found:?}"
        );
    }
}

/// Guards against the first of two bad versions being used after the second was rolled back.
#[test]
fn two_bad_versions_in_a_row_stay_unused() {
    let now = Instant::now();
    let mut deployment = after_a_rollback(now);
    order_next(&mut deployment, now);
    apply(
        &mut deployment,
        Feed::Shifts,
        11,
        vec![record("v3", 10, ShiftPhase::Exposing, 11)],
        now,
    );

    apply(
        &mut deployment,
        Feed::Shifts,
        12,
        vec![record("v3", 10, ShiftPhase::TakenBack, 12)],
        now,
    );
    apply(&mut deployment, Feed::Settings, 13, vec![order("v4", 13)], now);

    assert_eq!(usable(&mut deployment, now + SECOND * 60), ["a1".into(), "a2".into()]);
}

/// Guards against servers of a version that was rolled back being used because they register later than the others, or
/// again under their names.
#[test]
fn late_and_restarted_servers_are_used_like_the_others_of_their_version() {
    let now = Instant::now();
    let mut deployment = after_a_rollback(now);
    order_next(&mut deployment, now);
    let restarted = RegisteredServer { run: 2, ..server("v2") };

    let joining = vec![
        Update::Server("b1".into(), Some(restarted)),
        listed("b3", "v2"),
        removed("b2"),
    ];
    apply(&mut deployment, Feed::Servers, 11, joining, now);

    assert_eq!(usable(&mut deployment, now + SECOND * 60), old_and_next());
}

/// Guards against a version that was rolled back being used while the store is away, or because the others' entries
/// expired meanwhile.
#[test]
fn a_rolled_back_version_stays_unused_while_the_store_is_away() {
    let now = Instant::now();
    let mut deployment = after_a_rollback(now);
    order_next(&mut deployment, now);
    for feed in Feed::ALL {
        deployment.on_feed_lost(feed);
    }
    assert!(!usable(&mut deployment, now + SECOND * 60).contains(&"b1".into()));

    let back = now + SECOND * 61;
    deployment.on_feed_recovered(Feed::Servers, back, true);
    deployment.apply(Feed::Servers, &batch(20, vec![listed("b1", "v2")]), true, back);

    let found = usable(&mut deployment, back + SECOND * 20);
    assert!(found.is_empty(), "{found:?}");
}

/// Guards against all servers of a new version but the first being used before its order arrives.
#[test]
fn all_servers_of_a_version_wait_for_its_order() {
    let now = Instant::now();
    let mut deployment = state_with(vec![listed("a1", "v1")], now);

    apply(
        &mut deployment,
        Feed::Servers,
        5,
        vec![listed("b1", "v2"), listed("b2", "v2")],
        now,
    );
    apply(
        &mut deployment,
        Feed::Servers,
        6,
        vec![listed("b3", "v2")],
        now + SECOND,
    );

    assert_eq!(usable(&mut deployment, now + SECOND * 7), ["a1".into()]);
    // The settings are read, and name no order.
    assert_eq!(usable(&mut deployment, now + SECOND * 8).len(), 4);
}

/// Guards against a version that was rolled back and is ordered again being denied its requests.
#[test]
fn a_version_that_is_ordered_again_can_end_done() {
    let now = Instant::now();
    let mut deployment = after_a_rollback(now);

    apply(&mut deployment, Feed::Settings, 10, vec![order("v2", 10)], now);
    assert_eq!(usable(&mut deployment, now).len(), 4);
    let live = deployment.build_live_state(&LiveState::default(), 1, now);
    assert_eq!(live.shifts[SERVICE].phase, ShiftPhase::Exposing);
    for (phase, version) in [
        (ShiftPhase::Exposing, 11),
        (ShiftPhase::Switching, 12),
        (ShiftPhase::Done, 13),
    ] {
        apply(
            &mut deployment,
            Feed::Shifts,
            version,
            vec![record("v2", 10, phase, version)],
            now,
        );
        assert!(usable(&mut deployment, now).contains(&"b1".into()), "{phase:?}");
    }

    // It serves as the old version of the next shift.
    apply(&mut deployment, Feed::Settings, 14, vec![order("v3", 14)], now);
    assert_eq!(usable(&mut deployment, now), ["b1".into(), "b2".into()]);
}

/// Guards against a version whose shift was replaced before it ended being used like a proven one.
#[test]
fn a_version_whose_shift_was_replaced_stays_unused() {
    let now = Instant::now();
    let mut deployment = state_with(vec![listed("a1", "v1")], now);
    apply(&mut deployment, Feed::Servers, 5, vec![listed("b1", "v2")], now);
    apply(&mut deployment, Feed::Settings, 6, vec![order("v2", 6)], now);
    apply(
        &mut deployment,
        Feed::Shifts,
        7,
        vec![record("v2", 6, ShiftPhase::Exposing, 7)],
        now,
    );

    apply(&mut deployment, Feed::Settings, 8, vec![order("v3", 8)], now);
    assert_eq!(usable(&mut deployment, now + SECOND * 60), ["a1".into()]);

    apply(
        &mut deployment,
        Feed::Shifts,
        9,
        vec![record("v3", 8, ShiftPhase::Exposing, 9)],
        now,
    );
    assert_eq!(usable(&mut deployment, now + SECOND * 60), ["a1".into()]);
}

fn retired(versions: &[&str]) -> Update {
    let versions = versions.iter().map(|version| VersionName::from(*version));
    Update::RetiredVersions(SERVICE.into(), versions.collect())
}

/// Guards against a VM that starts after the next order and knows nothing of the rollback before it, whether it reads the
/// store or is told by another VM.
#[test]
fn a_vm_that_starts_after_the_next_order_learns_of_the_rollback() {
    let now = Instant::now();
    let mut running = after_a_rollback(now);
    order_next(&mut running, now);
    let exposing = vec![retired(&["v2"]), record("v3", 10, ShiftPhase::Exposing, 11)];
    apply(&mut running, Feed::Shifts, 11, exposing.clone(), now);

    for shifts in [exposing, running.snapshot(Feed::Shifts, now)] {
        let mut started = fixtures::deployment();
        let settings = running.snapshot(Feed::Settings, now);
        started.apply(Feed::Settings, &batch(20, settings), true, now);
        started.apply(
            Feed::Servers,
            &batch(20, running.snapshot(Feed::Servers, now)),
            true,
            now,
        );
        started.apply(Feed::Shifts, &batch(20, shifts), true, now);

        assert_eq!(usable(&mut started, now + SECOND * 60), old_and_next());
    }
}

/// Guards against a VM that has missed the end of a shift and takes the version that serves for one that was replaced.
#[test]
fn a_missed_record_is_made_up_for_by_the_next_one() {
    let now = Instant::now();
    let mut deployment = state_with(vec![listed("a1", "v1")], now);
    apply(&mut deployment, Feed::Servers, 5, vec![listed("b1", "v2")], now);
    apply(&mut deployment, Feed::Settings, 6, vec![order("v2", 6)], now);
    apply(
        &mut deployment,
        Feed::Shifts,
        7,
        vec![record("v2", 6, ShiftPhase::Exposing, 7)],
        now,
    );

    // v2 was done meanwhile, and v3 is ordered.
    apply(&mut deployment, Feed::Settings, 9, vec![order("v3", 9)], now);
    let next = vec![retired(&["v1"]), record("v3", 9, ShiftPhase::Exposing, 10)];
    apply(&mut deployment, Feed::Shifts, 10, next, now);

    assert_eq!(usable(&mut deployment, now + SECOND * 60), ["b1".into()]);
}

/// Guards against a record of an earlier release, which names no retired versions, that makes a VM forget them.
#[test]
fn a_record_of_an_earlier_release_opens_no_version() {
    let now = Instant::now();
    let mut deployment = after_a_rollback(now);
    apply(
        &mut deployment,
        Feed::Shifts,
        9,
        vec![record("v2", 6, ShiftPhase::TakenBack, 9), retired(&["v2"])],
        now,
    );
    order_next(&mut deployment, now);

    apply(
        &mut deployment,
        Feed::Shifts,
        11,
        vec![record("v3", 10, ShiftPhase::Exposing, 11)],
        now,
    );
    // A full read, too.
    let whole = batch(12, vec![record("v3", 10, ShiftPhase::Switching, 12)]);
    deployment.apply(Feed::Shifts, &whole, true, now);

    assert_eq!(usable(&mut deployment, now + SECOND * 60), old_and_next());
}

/// Guards against a store restored from a copy from before a rollback that makes the VMs use the version again.
#[test]
fn a_restored_store_opens_no_version() {
    let now = Instant::now();
    let mut deployment = after_a_rollback(now);
    order_next(&mut deployment, now);
    apply(
        &mut deployment,
        Feed::Shifts,
        11,
        vec![record("v3", 10, ShiftPhase::Exposing, 11), retired(&["v2"])],
        now,
    );

    let mut restored = batch(6, vec![record("v2", 6, ShiftPhase::Exposing, 6), retired(&["v0"])]);
    restored.version = StoreVersion::new(1, 6);
    deployment.apply(Feed::Shifts, &restored, true, now);

    assert_eq!(usable(&mut deployment, now + SECOND * 60), old_and_next());
}
