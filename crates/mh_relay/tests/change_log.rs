//! Changes that a VM which missed some receives from another VM.

use std::collections::HashMap;

use mh_relay::ChangeLog;
use mh_types::StoreVersion;
use proptest::prelude::*;

/// Returns the version with this number in the first era.
fn at(number: u64) -> StoreVersion {
    StoreVersion::new(0, number)
}

/// Guards against losing changes between a VM's version and the newest one.
#[test]
fn since_returns_later_changes_in_order() {
    let mut log = ChangeLog::default();
    log.reset(at(10));
    log.push(at(12), [("x", "a")]);
    log.push(at(17), [("y", "b"), ("z", "c")]);

    assert_eq!(log.since(at(10)), Some(vec!["a", "b", "c"]));
    assert_eq!(log.since(at(12)), Some(vec!["b", "c"]));
    assert_eq!(log.since(at(17)), Some(vec![]));
    assert_eq!(log.since(at(9)), None);
}

/// Guards against changes that a VM takes for the ones it misses, although the store gave their numbers out again.
#[test]
fn versions_of_an_earlier_era_are_not_continued() {
    let mut log = ChangeLog::default();
    log.reset(StoreVersion::new(1, 10));
    log.push(StoreVersion::new(1, 12), [("x", "a")]);

    assert_eq!(log.since(at(11)), None);
    assert_eq!(log.since(at(500)), None);
    assert_eq!(log.since(StoreVersion::new(1, 11)), Some(vec!["a"]));
}

/// Guards against a log that keeps every plan in memory: 1,400 plans a day of up to 100 KB each would take up to
/// 140 MB.
#[test]
fn later_change_replaces_earlier_one_of_same_key() {
    let mut log = ChangeLog::default();
    for version in 1..2000 {
        log.push(at(version), [("plan", version)]);
    }

    assert_eq!(log.since(at(0)), Some(vec![1999]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a log that returns an incomplete set of changes after dropping some. Applying the returned
    /// changes to a stale state must produce the complete state.
    #[test]
    fn bounded_log_is_complete_or_returns_none(
        batches in prop::collection::vec(prop::collection::vec(0_u32..9000, 0..900), 1..16),
        from in 0_u64..18,
    ) {
        let mut log = ChangeLog::default();
        let (mut complete, mut stale) = (HashMap::new(), HashMap::new());
        for (n, batch) in batches.iter().enumerate() {
            let version = n as u64 + 1;
            let changes: Vec<(u32, (u32, u64))> = batch.iter().map(|key| (*key, (*key, version))).collect();
            complete.extend(changes.iter().map(|(key, update)| (*key, *update)));
            if version <= from {
                stale.clone_from(&complete);
            }
            log.push(at(version), changes);
        }

        if let Some(updates) = log.since(at(from)) {
            stale.extend(updates.into_iter().map(|update| (update.0, update)));
            prop_assert_eq!(stale, complete);
        } else {
            prop_assert!(complete.len() > 2048);
        }
    }
}
