//! Canary release: only a few VMs send requests to the new version until a verdict is reached.
//!
//! The alternative in this crate, [`Shift`](crate::Shift), lets every VM send a share and combines evidence from all of
//! them. That is too slow when the number of bad answers is bounded over the whole fleet: with 85 VMs, fifty bad
//! answers can arrive before any VM has seen two of them. Each of the few VMs that hold a [`Canary`] sees enough
//! requests to decide alone, and the first that finds a fault ends the shift for all.

mod answer_counts;
mod sample;
mod thresholds;
mod verdict;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use mh_sync::Mutex;
use mh_types::RouteName;

pub use sample::{CanaryFault, CanarySample};
pub use thresholds::CanaryThresholds;
pub use verdict::Verdict;

use answer_counts::AnswerCounts;

/// Credit that one request to the new version costs.
const REQUEST_COST: u64 = 1_000_000;

/// Evidence of one VM about a new version, and the limit on the requests that it sends there.
#[derive(Debug)]
pub struct Canary {
    thresholds: CanaryThresholds,
    credit: AtomicU64,
    /// Whether a fault was found.
    is_stopped: AtomicBool,
    routes: Mutex<HashMap<RouteName, VersionAnswers>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct VersionAnswers {
    old: AnswerCounts,
    new: AnswerCounts,
}

impl Canary {
    /// Creates a canary without evidence.
    pub fn new(thresholds: CanaryThresholds) -> Self {
        Self {
            thresholds,
            credit: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            routes: Mutex::default(),
        }
    }

    /// Counts a request of the service and returns whether it may go to the new version. None may after a fault was found,
    /// also while the rollback cannot be recorded.
    ///
    /// Each request earns the share as credit, so the limit holds for any interval. At most one request's worth of
    /// credit is carried over.
    pub fn try_take(&self) -> bool {
        if self.is_stopped.load(Ordering::Relaxed) {
            return false;
        }
        let earned = (self.thresholds.share.clamp(0.0, 1.0) * REQUEST_COST as f64) as u64;
        let step = |credit: u64| {
            let credit = (credit + earned).min(2 * REQUEST_COST - 1);
            Some(if credit >= REQUEST_COST {
                credit - REQUEST_COST
            } else {
                credit
            })
        };
        let before = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        before.is_ok_and(|before| before + earned >= REQUEST_COST)
    }

    /// Records the result of a request to either version.
    pub fn observe(&self, route: &RouteName, sample: CanarySample) {
        let mut routes = self.routes.lock();
        let answers = routes.entry(route.clone()).or_default();
        let side = if sample.is_new {
            &mut answers.new
        } else {
            &mut answers.old
        };
        side.add(&sample);
    }

    /// Verdict on the evidence so far; a fault ends the exposure.
    pub fn verdict(&self) -> Verdict {
        let verdict = self.evaluate();
        if verdict.is_fault() {
            self.is_stopped.store(true, Ordering::Relaxed);
        }
        verdict
    }

    fn evaluate(&self) -> Verdict {
        let routes = self.routes.lock();
        let mut all = VersionAnswers::default();
        for answers in routes.values() {
            if let Some(reason) = self.fault(answers) {
                return reason;
            }
            all.old.merge(&answers.old);
            all.new.merge(&answers.new);
        }
        if let Some(reason) = self.fault(&all) {
            return reason;
        }
        if all.new.seen() >= self.thresholds.min_good {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }

    /// Evidence by route, for log lines.
    pub fn summary(&self) -> String {
        let routes = self.routes.lock();
        let answers = routes
            .iter()
            .map(|(route, answers)| format!("{route}: old {} new {}", answers.old, answers.new));
        answers.collect::<Vec<_>>().join("; ")
    }

    fn fault(&self, answers: &VersionAnswers) -> Option<Verdict> {
        let thresholds = &self.thresholds;
        let (new, old) = (&answers.new, &answers.old);
        // Errors are also compared without timeouts: under overload both versions time out, and a joint count would
        // hide the errors of the new one.
        let failure_counts = [(new.errors(), old.errors()), (new.bad(), old.bad())];
        let failing = failure_counts.into_iter().any(|(new_bad, old_bad)| {
            let rate = new.rate(new_bad);
            new_bad >= thresholds.min_bad
                && rate >= thresholds.min_bad_rate
                && rate >= old.rate(old_bad) * thresholds.min_bad_ratio
        });
        if failing {
            return Some(Verdict::Failing);
        }
        let slow = new.timed() >= thresholds.min_timed
            && new.mean_ratio() >= old.mean_ratio().max(1.0) * thresholds.slow_ratio;
        slow.then_some(Verdict::Slow)
    }
}
