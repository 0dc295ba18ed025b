//! Changes that a VM which missed some receives from another VM.

use std::collections::HashMap;

use mh_relay::ChangeLog;
use proptest::prelude::*;

/// Guards against losing changes between a VM's version and the newest one.
#[test]
fn since_returns_later_changes_in_order() {
    let mut log = ChangeLog::default();
    log.reset(10);
    log.push(12, [("x", "a")]);
    log.push(17, [("y", "b"), ("z", "c")]);

    assert_eq!(log.since(10), Some(vec!["a", "b", "c"]));
    assert_eq!(log.since(12), Some(vec!["b", "c"]));
    assert_eq!(log.since(17), Some(vec![]));
    assert_eq!(log.since(9), None);
}

/// Guards against a log that keeps every plan in memory: 1,400 plans a day of up to 100 KB each would take up to
/// 140 MB.
#[test]
fn later_change_replaces_earlier_one_of_same_key() {
    let mut log = ChangeLog::default();
    for version in 1..2000 {
        log.push(version, [("plan", version)]);
    }

    assert_eq!(log.since(0), Some(vec![1999]));
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
            log.push(version, changes);
        }

        if let Some(updates) = log.since(from) {
            stale.extend(updates.into_iter().map(|update| (update.0, update)));
            prop_assert_eq!(stale, complete);
        } else {
            prop_assert!(complete.len() > 2048);
        }
    }
}
