use std::time::Duration;

use tokio::time::Instant;

use crate::likelihood_ratio::{log_likelihood_ratio, odds_ratio};
use crate::request_counts::RequestCounts;
use crate::scores::{ERROR_TESTS, Scores, TESTS};
use crate::test_parameters::TestParameters;
use crate::version_selector::VersionSelector;
use crate::{Guard, Settings};

/// Number of old-version samples of one VM that closes an interval before its longest duration.
///
/// With this many, one interval gives close to the largest evidence that one error can give; shorter intervals detect a
/// fault sooner.
const MIN_CONTROL_SAMPLES: u64 = 48;
/// Shortest interval; with shorter ones, requests in flight across a boundary distort the comparison.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Factor by which the weight of past intervals decays with each interval.
const RATE_DECAY: f64 = 0.98;

/// Decayed counts of the old version, from which the odds ratios of the tests are derived.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    total: f64,
    errors: f64,
    slow: f64,
}

impl Baseline {
    fn add(&mut self, t: RequestCounts) {
        self.total = self.total * RATE_DECAY + t.total as f64;
        self.errors = self.errors * RATE_DECAY + t.errors as f64;
        self.slow = self.slow * RATE_DECAY + t.slow as f64;
    }

    fn rate(&self, failures: f64) -> f64 {
        ((failures + 0.5) / (self.total + 1.0)).clamp(0.001, 0.9)
    }
}

/// Turns the counts of simultaneous old-version and new-version requests at one VM into cumulative evidence.
#[derive(Debug)]
pub(crate) struct LocalEvidence {
    parameters: TestParameters,
    max_interval: Duration,
    interval_start: Instant,
    route_baselines: Vec<Baseline>,
    domain_baselines: Vec<Baseline>,
    nats: Vec<[f64; TESTS]>,
    counts: Vec<(RequestCounts, u64)>,
    domain_new: Vec<u32>,
}

impl LocalEvidence {
    pub(crate) fn new(now: Instant, selector: &VersionSelector, guard: &Guard, settings: &Settings) -> Self {
        let (routes, domains) = (selector.routes().len(), selector.domains().len());
        Self {
            parameters: TestParameters::new(guard),
            max_interval: settings.max_interval,
            interval_start: now,
            route_baselines: vec![Baseline::default(); routes * domains],
            domain_baselines: vec![Baseline::default(); domains],
            nats: vec![[0.0; TESTS]; routes + 1],
            counts: vec![(RequestCounts::default(), 0); routes + 1],
            domain_new: vec![0; domains],
        }
    }

    /// Closes the interval when it is complete, and returns whether it did.
    ///
    /// The end of an interval depends on counts and time only: a dependence on results would bias the evidence.
    pub(crate) fn try_close_interval(&mut self, now: Instant, selector: &VersionSelector) -> bool {
        let age = now.saturating_duration_since(self.interval_start);
        if age < MIN_INTERVAL || (age < self.max_interval && selector.old_total() < MIN_CONTROL_SAMPLES) {
            return false;
        }
        self.interval_start = now;
        let all = selector.routes().len();
        for d in 0..selector.domains().len() {
            let (mut old_sum, mut new_sum) = (RequestCounts::default(), RequestCounts::default());
            for r in 0..all {
                let (old, new) = selector.counters(r, d).drain();
                let baseline = &mut self.route_baselines[r * selector.domains().len() + d];
                add_nats(&mut self.nats[r], &self.parameters, baseline, old, new);
                baseline.add(old);
                self.counts[r].0 += new;
                self.counts[r].1 += old.total;
                old_sum += old;
                new_sum += new;
            }
            add_nats(
                &mut self.nats[all],
                &self.parameters,
                &self.domain_baselines[d],
                old_sum,
                new_sum,
            );
            self.domain_baselines[d].add(old_sum);
            self.counts[all].0 += new_sum;
            self.counts[all].1 += old_sum.total;
            self.domain_new[d] += new_sum.total as u32;
        }
        true
    }

    /// Cumulative scores, one for each route and the last for all routes together.
    pub(crate) fn scores(&self) -> Vec<Scores> {
        let score = |(nats, &(new, old)): (&[f64; TESTS], &(RequestCounts, u64))| Scores {
            new: new.total as u32,
            new_errors: new.errors as u32,
            new_slow: new.slow as u32,
            old: old as u32,
            millinats: nats.map(|n| (n * 1_000.0).round() as i32),
        };
        self.nats.iter().zip(&self.counts).map(score).collect()
    }

    /// New-version requests finished in each failure domain.
    pub(crate) fn domain_new(&self) -> &[u32] {
        &self.domain_new
    }
}

/// Adds the evidence of one interval to each test.
fn add_nats(
    nats: &mut [f64; TESTS],
    parameters: &TestParameters,
    baseline: &Baseline,
    old: RequestCounts,
    new: RequestCounts,
) {
    if new.total == 0 || old.total == 0 {
        return;
    }
    for (test, sum) in nats.iter_mut().enumerate() {
        let errors = test < ERROR_TESTS;
        let (new_failed, old_failed) = if errors {
            (new.errors, old.errors)
        } else {
            (new.slow, old.slow)
        };
        let rate = baseline.rate(if errors { baseline.errors } else { baseline.slow });
        let fault_rate = rate + (1.0 - rate) * parameters.fault_rates[test];
        *sum += log_likelihood_ratio(
            new.total,
            new_failed,
            old.total,
            old_failed,
            odds_ratio(rate, fault_rate),
        );
    }
}
