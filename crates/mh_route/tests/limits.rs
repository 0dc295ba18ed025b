//! Limits of requests in flight, budgets, retries and fair admission.

mod common;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use common::{answered, idempotent, ms, server, spec, vm_location};
use mh_route::fair::{Demand, FairAdmission, max_min};
use mh_route::prelude::*;
use mh_types::Code;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio::time::Instant;

/// Guards against overload by several VMs: each must keep to its share of the slots, and a refusal must tell whether
/// capacity or a usable server was missing.
#[test]
fn picks_stop_at_the_fair_share() {
    let now = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1"), spec("s2", "a1")], now);
    let request = PickRequest {
        share: SlotFractions::even(4, 4, 4),
        ..PickRequest::default()
    };

    let held: Vec<_> = std::iter::from_fn(|| pool.pick(now, &request, 1).ok()).collect();

    // 4 slots, a fourth of them, times 3 for the queue, at each of 2 servers.
    assert_eq!(held.len(), 6);
    assert_eq!(pool.pick(now, &request, 1).unwrap_err().code(), Code::NoCapacity);
    let unknown = PickRequest {
        version: Some(&"v9".into()),
        ..request
    };
    assert_eq!(pool.pick(now, &unknown, 1).unwrap_err().code(), Code::NoServer);
}

/// Guards against overload of the working servers sending requests to failed ones.
#[test]
fn overload_does_not_reach_failed_servers() {
    let now = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1"), spec("s2", "b1")], now);
    let far = PickRequest {
        exclude: &["s1".into()],
        ..idempotent()
    };
    for _ in 0..2 {
        pool.pick(now, &far, 0).unwrap().done(now, Outcome::Failed);
    }

    let held: Vec<_> = std::iter::from_fn(|| pool.pick(now, &idempotent(), 1).ok()).collect();

    assert!(held.iter().all(|p| p.spec().name.as_str() == "s1"));
    assert_eq!(pool.pick(now, &idempotent(), 1).unwrap_err(), PickError::NoCapacity);
}

/// Guards against refusing a request because the budget of one region is used up while another region could take it,
/// and against leaking its slot.
#[test]
fn refused_charge_tries_the_next_server_and_releases_the_slot() {
    let now = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1"), spec("s2", "b1")], now);
    let region_b_has_budget = AtomicBool::new(true);
    let charge = |s: &ServerSpec| s.region.as_str() == "b" && region_b_has_budget.load(Ordering::Relaxed);
    let request = PickRequest {
        charge: Some(&charge),
        ..PickRequest::default()
    };

    let far = pool.pick(now, &request, 0).unwrap();
    region_b_has_budget.store(false, Ordering::Relaxed);
    let refused = pool.pick(now, &request, 0).unwrap_err();

    assert_eq!(far.spec().name.as_str(), "s2");
    assert_eq!(refused, PickError::NoCapacity);
    assert_eq!(server(&pool.view(), "s1").in_flight, 0);
    drop(far);
    assert_eq!(server(&pool.view(), "s2").in_flight, 0);
}

/// Guards against sending a server as many requests as before after it refused one because of overload.
#[test]
fn refusals_lower_the_limit_and_responses_raise_it() {
    let now = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1")], now);
    let mut held: Vec<_> = std::iter::from_fn(|| pool.pick(now, &PickRequest::default(), 1).ok()).collect();
    let full = held.len();

    held.pop().unwrap().done(now, Outcome::Shed);
    let lowered = server(&pool.view(), "s1").learned_limit.unwrap();
    for pick in held {
        pick.done(now, answered(10));
    }
    let raised = server(&pool.view(), "s1").learned_limit.unwrap();

    assert!(lowered as usize <= full * 2 / 3);
    assert!(raised > lowered);
}

/// Guards against checking the limit only before another thread takes the last slots: here other requests fill the
/// second server after the scan of the first request.
#[test]
fn limit_holds_when_other_requests_take_slots_during_a_pick() {
    let now = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1"), spec("s2", "b1")], now);
    let others = Mutex::new(Vec::new());
    let charge = |s: &ServerSpec| {
        if s.name.as_str() == "s1" {
            let far = PickRequest {
                exclude: &["s1".into()],
                ..PickRequest::default()
            };
            others
                .lock()
                .unwrap()
                .extend(std::iter::from_fn(|| pool.pick(now, &far, 0).ok()));
        }
        s.name.as_str() == "s2"
    };

    let refused = pool.pick(
        now,
        &PickRequest {
            charge: Some(&charge),
            ..PickRequest::default()
        },
        0,
    );

    assert_eq!(others.lock().unwrap().len(), 12, "3 times the 4 slots");
    assert_eq!(refused.unwrap_err(), PickError::NoCapacity);
}

/// Guards against lost or duplicate counts and against an exceeded limit under concurrency.
#[test]
fn counts_and_limits_hold_with_concurrent_threads() {
    let now = Instant::now();
    let pool = Pool::new(&vm_location(), &[spec("s1", "a1"), spec("s2", "a1")], now);
    let over_limit = AtomicBool::new(false);

    std::thread::scope(|scope| {
        for thread in 0..4_u64 {
            let (pool, over_limit) = (&pool, &over_limit);
            scope.spawn(move || {
                for i in 0..3000 {
                    let at = now + ms(i / 10);
                    let held: Vec<_> = (0..6)
                        .filter_map(|k| pool.pick(at, &idempotent(), i * 7 + k).ok())
                        .collect();
                    if pool.view().servers.iter().any(|s| s.in_flight > 12) {
                        over_limit.store(true, Ordering::Relaxed);
                    }
                    for (k, pick) in held.into_iter().enumerate() {
                        if !(k as u64 + thread + i).is_multiple_of(3) {
                            pick.done(at, answered(1));
                        }
                    }
                }
            });
        }
    });

    assert!(
        !over_limit.load(Ordering::Relaxed),
        "more in flight than 3 times the 4 slots"
    );
    assert!(pool.view().servers.iter().all(|s| s.in_flight == 0));
}

/// Guards against retry storms, retries of requests that are not idempotent, and retries while capacity is short.
#[test]
fn retries_stay_within_their_budget() {
    let now = Instant::now();
    let budget = RetryBudget::new(0.1, 1.0, now);
    (0..1000).for_each(|_| budget.on_request());

    assert!(!budget.try_retry(now, false));
    let taken = (0..1000).filter(|_| budget.try_retry(now, true)).count();
    assert_eq!(taken, 21, "20 saved and one at the minimum rate");
    assert!(!budget.try_retry(now + ms(500), true));
    assert!(budget.try_retry(now + ms(1001), true));
    budget.on_no_capacity(now + ms(3000));
    assert!(!budget.try_retry(now + ms(3500), true));
    assert!(budget.try_retry(now + ms(4100), true));
}

/// Guards against one organisation using the capacity of the others, and against refusals when capacity is sufficient.
#[test]
fn admission_divides_capacity_fairly() {
    let admission = FairAdmission::new(&[("t/big".into(), 1.0), ("t/small".into(), 1.0)]);
    let run_period = |served: u64| {
        assert!((0..900).all(|_| admission.admit(0, 0)));
        assert!((0..100).all(|_| admission.admit(1, 0)));
        (0..served).for_each(|_| admission.on_served());
        (served..1000).for_each(|_| admission.on_refused());
        admission.on_tick();
    };

    run_period(600);
    let (big, small) = (admission.admitted_fraction(0), admission.admitted_fraction(1));
    (0..5).for_each(|_| run_period(1000));

    assert!((big - 500.0 / 900.0).abs() < 1e-6, "{big}");
    assert!((small - 1.0).abs() < 1e-6);
    assert!(
        (admission.admitted_fraction(0) - 1.0).abs() < 1e-6,
        "the limit is lifted again"
    );
}

/// Reference implementation that fills all demands together in small steps until no capacity is left.
fn naive_max_min(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let step = capacity / 50_000.0;
    let mut allocated = vec![0.0; demands.len()];
    let mut capacity = capacity;
    while capacity > 0.0 {
        let open: Vec<usize> = (0..demands.len())
            .filter(|i| allocated[*i] < demands[*i].amount)
            .collect();
        let weight: f64 = open.iter().map(|i| demands[*i].weight).sum();
        if open.is_empty() || step <= 0.0 {
            break;
        }
        for i in open {
            allocated[i] += step * demands[i].weight / weight;
        }
        capacity -= step;
    }
    allocated
}

proptest! {
    #![proptest_config(Config { cases: 60, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    /// Guards against an unfair division and against unused capacity, by comparison with the reference implementation.
    #[test]
    fn max_min_matches_stepwise_filling(
        capacity in 1.0_f64..500.0,
        demands in prop::collection::vec((0.0_f64..100.0, 0.5_f64..4.0), 1..9),
    ) {
        let demands: Vec<Demand> = demands.into_iter().map(|(amount, weight)| Demand { amount, weight }).collect();

        let allocated = max_min(capacity, &demands);

        for (fast, slow) in allocated.iter().zip(naive_max_min(capacity, &demands)) {
            prop_assert!((fast - slow).abs() < 0.1, "{fast} instead of {slow}");
        }
    }
}
