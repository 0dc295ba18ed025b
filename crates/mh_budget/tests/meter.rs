//! Guards against a meter that admits more than its share, or less than its share minus the documented rounding.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mh_budget::{Allowance, MICROTOKENS_PER_TOKEN, Meter, MeterWriter, TokenMove};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn at(start: Instant, micros: u64) -> Instant {
    start + Duration::from_micros(micros)
}

/// A full meter of `rate` per second and `burst`, valid for 16 s.
fn full_meter(start: Instant, rate: u64, burst: u64) -> (Meter, MeterWriter) {
    let (meter, mut writer) = Meter::new(start, burst * MICROTOKENS_PER_TOKEN);
    let allowance = Allowance::own(
        rate * MICROTOKENS_PER_TOKEN,
        burst * MICROTOKENS_PER_TOKEN,
        at(start, 16_000_000),
    );
    writer.set_share(start, &allowance, TokenMove::Add(burst * MICROTOKENS_PER_TOKEN));
    (meter, writer)
}

/// Exact token bucket in 10⁻¹² tokens, without concurrency, as a reference.
struct NaiveBucket {
    rate: i128,
    burst: i128,
    level: i128,
    at: u64,
}

impl NaiveBucket {
    fn fill(&mut self, at: u64) {
        let filled = self.rate * i128::from(at.saturating_sub(self.at)) * 1_000_000;
        self.level = (self.level + filled).min(self.burst);
        self.at = self.at.max(at);
    }

    fn set(&mut self, rate: u64, burst: u64) {
        self.rate = i128::from(rate);
        self.burst = i128::from(burst) * 1_000_000_000_000;
        self.level = self.level.min(self.burst);
    }

    fn take(&mut self, n: u32) -> bool {
        let cost = i128::from(n) * 1_000_000_000_000;
        let holds = self.level >= cost;
        self.level -= if holds { cost } else { 0 };
        holds
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against admitting what the naive bucket refuses, and against losing more than two steps per take and one
    /// microsecond of rate per change of share.
    #[test]
    fn meter_agrees_with_the_naive_bucket(
        steps in prop::collection::vec((1..40_000u64, 1..4u32, 0..20u32), 1..300),
        burst in 4..2_000u64,
        rate in 1..5_000u64,
    ) {
        let start = Instant::now();
        let (meter, mut writer) = full_meter(start, rate, burst);
        let mut naive = NaiveBucket { rate: 0, burst: 0, level: 0, at: 0 };
        naive.set(rate, burst);
        naive.level = naive.burst;
        let (mut now, mut slack) = (0, i128::from(rate) * 1_000_000);
        for (gap, n, kind) in steps {
            now += gap;
            naive.fill(now);
            if kind == 0 {
                let (rate, burst) = (rate * u64::from(n) / 4, burst * u64::from(n) / 4);
                naive.set(rate, burst);
                let allowance = Allowance::own(
                    rate * MICROTOKENS_PER_TOKEN,
                    burst * MICROTOKENS_PER_TOKEN,
                    at(start, now + 16_000_000),
                );
                writer.set_share(at(start, now), &allowance, TokenMove::Keep);
                slack += 5_000_000_000 + i128::from(meter.step_microtokens()) * 1_000_000;
            } else {
                let admitted = meter.try_take(at(start, now), n);
                if admitted {
                    prop_assert!(naive.take(n), "admitted {n} on {} at {now} us", naive.level);
                    slack += i128::from(meter.step_microtokens()) * 2_000_000 + i128::from(rate) * 1_000_000;
                } else {
                    let short = i128::from(n) * 1_000_000_000_000 - naive.level + slack;
                    prop_assert!(short > 0, "refused {n} on {} with slack {slack}", naive.level);
                }
            }
        }
    }
}

/// Guards against lost updates: a token admitted twice by threads that take while the share is halved and restored.
#[test]
fn concurrent_takes_never_exceed_the_bucket() {
    let start = Instant::now();
    let (meter, mut writer) = full_meter(start, 1_000, 500);
    let (clock, admitted) = (AtomicU64::new(0), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..20_000 {
                    let now = clock.fetch_add(10, Ordering::Relaxed);
                    admitted.fetch_add(u64::from(meter.try_take(at(start, now), 1)), Ordering::Relaxed);
                }
            });
        }
        for i in 0..500 {
            let part = 1 + i % 2;
            let now = clock.load(Ordering::Relaxed);
            let allowance = Allowance::own(
                500 * part * MICROTOKENS_PER_TOKEN,
                250 * part * MICROTOKENS_PER_TOKEN,
                at(start, now + 16_000_000),
            );
            writer.set_share(at(start, now), &allowance, TokenMove::Keep);
            std::thread::yield_now();
        }
        let whole = Allowance::own(
            1_000 * MICROTOKENS_PER_TOKEN,
            500 * MICROTOKENS_PER_TOKEN,
            at(start, 16_000_000),
        );
        writer.set_share(at(start, clock.load(Ordering::Relaxed)), &whole, TokenMove::Keep);
    });
    // 80,000 takes of 10 us are 0.8 s: at most 500 + 1,000 * 0.8.
    let admitted = admitted.into_inner();
    assert!((500..=1_300).contains(&admitted), "{admitted}");
}

/// Guards against admission on a borrowed share that has ended, with no tick in between.
#[test]
fn borrowed_share_ends_without_a_tick() {
    let start = Instant::now();
    let (meter, mut writer) = Meter::new(start, 100 * MICROTOKENS_PER_TOKEN);
    let allowance = Allowance {
        with_loans_rate: 0,
        with_loans_burst: 100 * MICROTOKENS_PER_TOKEN,
        with_loans_until: at(start, 1_000_000),
        own_rate: 0,
        own_burst: 3 * MICROTOKENS_PER_TOKEN,
        own_until: at(start, 2_000_000),
    };
    writer.set_share(start, &allowance, TokenMove::Add(100 * MICROTOKENS_PER_TOKEN));
    assert!(meter.try_take(at(start, 999_999), 50));
    assert!(
        !meter.try_take(at(start, 1_000_000), 4),
        "admitted on a borrowed share that ended"
    );
    assert!(meter.try_take(at(start, 1_000_000), 3));
}

/// Guards against a process that resumes after a long pause and admits requests before its first tick.
#[test]
fn meter_stops_admitting_when_its_allowance_expires() {
    let start = Instant::now();
    let (meter, mut writer) = Meter::new(start, 100 * MICROTOKENS_PER_TOKEN);
    let allowance = Allowance::own(
        1_000 * MICROTOKENS_PER_TOKEN,
        100 * MICROTOKENS_PER_TOKEN,
        at(start, 1_000_000),
    );
    writer.set_share(start, &allowance, TokenMove::Add(100 * MICROTOKENS_PER_TOKEN));
    assert!(meter.try_take(at(start, 999_998), 1));
    assert!(
        !meter.try_take(at(start, 1_000_000), 0),
        "a meter past its validity admitted"
    );
    assert!(!meter.try_take(at(start, 9_000_000), 1));
}

/// Guards against admission on a share that ended while the thread was paused between reading the clock and taking
/// tokens.
#[test]
fn take_is_rejected_when_the_share_ended_during_a_pause() {
    let start = Instant::now();
    let (meter, _writer) = full_meter(start, 1, 100);
    let reads = Cell::new(0);
    let clock = || {
        reads.set(reads.get() + 1);
        if reads.get() == 1 {
            at(start, 1_000)
        } else {
            at(start, 20_000_000)
        }
    };
    assert!(!meter.try_take_with(clock, 1));
    assert_eq!(reads.get(), 2);
}

/// Guards against a refill that counts the microsecond of a take from a full bucket twice.
#[test]
fn full_bucket_does_not_refill_before_the_take() {
    let start = Instant::now();
    let (meter, _writer) = full_meter(start, 1_000_000, 10);
    let late = start + Duration::from_nanos(5_000_900);
    assert!(meter.try_take(late, 10));
    assert!(
        !meter.try_take(late + Duration::from_nanos(200), 1),
        "admitted a second time after 0.2 us at one token per us"
    );
}
