//! Limit on requests to the new version.

mod naive_policy;
mod sim;

use mh_shift::{Fraction, ShareLimiter, Side};
use naive_policy::NaivePolicy;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sim::cap_checker::CapChecker;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Guards against an interval in which a VM sends more than its share plus one request to the new version, while the
/// share changes and some requests are not eligible.
#[test]
fn no_interval_exceeds_the_largest_share() {
    let steps = proptest::collection::vec((0_u32..=1_000_000, 1_usize..60, any::<u64>()), 1..12);
    let test = |steps: Vec<(u32, usize, u64)>| {
        let limiter = ShareLimiter::new();
        let top = Fraction::from_millionths(steps.iter().map(|s| s.0).max().unwrap_or(0));
        let mut limit = CapChecker::default();
        for (millionths, requests, eligible) in steps {
            limiter.set(Fraction::from_millionths(millionths));
            for i in 0..requests {
                let new = limiter.try_take(eligible >> (i % 64) & 1 == 1);
                prop_assert!(limit.count(new, top));
            }
        }
        Ok(())
    };

    let result = runner(300).run(&steps, test);

    assert_eq!(result, Ok(()));
}

/// Guards against a limiter that sends less than the share allows.
#[test]
fn share_is_used_in_full() {
    for millionths in [1_000, 10_000, 333_333, 500_000, 900_000, 1_000_000] {
        let limiter = ShareLimiter::new();
        limiter.set(Fraction::from_millionths(millionths));

        let new = (0..100_000).filter(|_| limiter.try_take(true)).count();

        assert_eq!(new, millionths as usize / 10);
    }
}

/// Guards against updates lost between threads of the request path, which would break the limit.
#[test]
fn limit_holds_with_several_threads() {
    let limiter = ShareLimiter::new();
    limiter.set(Fraction::from_millionths(70_000));

    let take = || (0..50_000).filter(|_| limiter.try_take(true)).count();
    let new: usize = std::thread::scope(|s| {
        let jobs: Vec<_> = (0..4).map(|_| s.spawn(take)).collect();
        jobs.into_iter().map(|j| j.join().expect("no panic")).sum()
    });

    assert_eq!(new, 14_000);
}

/// Guards against a check of the limit that cannot fail: a random draw with the same share exceeds it over the same
/// number of requests.
#[test]
fn random_draw_exceeds_the_share() {
    let cap = Fraction::from_millionths(50_000);
    let (mut counted, mut drawn) = (CapChecker::default(), CapChecker::default());
    let mut naive = NaivePolicy::new(cap.as_f64(), 0.02, 1);
    let limiter = ShareLimiter::new();
    limiter.set(cap);

    let counted_holds = (0..2_000).all(|_| counted.count(limiter.try_take(true), cap));
    let drawn_holds = (0..2_000).all(|_| drawn.count(naive.pick() == Side::New, cap));

    assert!(counted_holds);
    assert!(!drawn_holds);
}
