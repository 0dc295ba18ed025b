//! What a VM that missed changes gets from another one.

use mh_relay::ChangeLog;
use proptest::prelude::*;

/// Guards against changes that are lost between the version that a VM holds and the newest one.
#[test]
fn changes_after_a_version_are_told_in_order() {
    let mut log = ChangeLog::default();
    log.reset(10);
    log.push(12, vec!["a"]);
    log.push(17, vec!["b", "c"]);

    assert_eq!(log.since(10), Some(vec!["a", "b", "c"]));
    assert_eq!(log.since(12), Some(vec!["b", "c"]));
    assert_eq!(log.since(17), Some(vec![]));
    assert_eq!(log.since(9), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a log that claims to hold changes that it dropped, compared with one that drops nothing.
    #[test]
    fn a_bounded_log_tells_the_same_as_an_unbounded_one_or_nothing(
        sizes in prop::collection::vec(0_usize..900, 1..30),
        from in 0_u64..40,
    ) {
        let mut log = ChangeLog::default();
        let mut all: Vec<(u64, u32)> = Vec::new();
        let mut next = 0;
        for (n, size) in sizes.iter().enumerate() {
            let version = n as u64 + 1;
            let changes: Vec<u32> = (next..next + *size as u32).collect();
            next += *size as u32;
            all.extend(changes.iter().map(|change| (version, *change)));
            log.push(version, changes);
        }

        let expected: Vec<u32> = all.iter().filter(|(version, _)| *version > from).map(|(_, change)| *change).collect();
        if let Some(told) = log.since(from) {
            prop_assert_eq!(told, expected);
        } else {
            prop_assert!(expected.len() < all.len() || all.len() > 4096);
        }
    }
}
