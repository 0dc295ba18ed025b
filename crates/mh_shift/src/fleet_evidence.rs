use std::collections::HashMap;

use mh_types::{Incarnation, VmName};

use crate::FaultKind;
use crate::scores::{ERROR_TESTS, Scores, TESTS};
use crate::sequential_test::SequentialTest;
use crate::test_parameters::TestParameters;

/// Prior weight spread evenly over the time of the shift, for faults that start at any time.
const TIME_WEIGHT: f64 = 0.25;
/// Prior weight spread evenly over the steps, for faults that appear with more load.
const STEP_WEIGHT: f64 = 0.25;
/// Fraction of the logarithmic alarm threshold that the excess over the tolerated rate must reach.
///
/// The comparison alone guarantees the bound on false alarms; the excess is an additional condition for versions that
/// are worse than the old one.
const EXCESS_THRESHOLD_FRACTION: f64 = 0.5;
/// Test level from which the share is not raised.
const HOLD_LEVEL: f64 = 0.5;

/// Finished requests of both versions in one scope, over all VMs.
#[derive(Clone, Copy, Debug, Default)]
struct VersionCounts {
    new: u64,
    old: u64,
}

/// Latest cumulative evidence received from one VM.
#[derive(Debug)]
struct VmEvidence {
    incarnation: Incarnation,
    seq: u64,
    scores: Vec<Scores>,
    domain_new: Vec<u32>,
}

/// Combined evidence of all VMs, as one VM knows it.
#[derive(Debug)]
pub(crate) struct FleetEvidence {
    vms: HashMap<VmName, VmEvidence>,
    parameters: TestParameters,
    /// Evidence that the new version is worse than the old one at the same time and in the same failure domain.
    comparison: Vec<[SequentialTest; TESTS]>,
    /// Evidence that the new version fails, or is slow, more often than is tolerated.
    excess: Vec<[SequentialTest; TESTS]>,
    since_step: Vec<VersionCounts>,
    domain_new: Vec<u64>,
    log_threshold: f64,
}

impl FleetEvidence {
    pub(crate) fn new(routes: usize, domains: usize, parameters: TestParameters, false_alarm_probability: f64) -> Self {
        let scopes = routes + 1;
        Self {
            vms: HashMap::new(),
            parameters,
            comparison: vec![[SequentialTest::new(); TESTS]; scopes],
            excess: vec![[SequentialTest::new(); TESTS]; scopes],
            since_step: vec![VersionCounts::default(); scopes],
            domain_new: vec![0; domains],
            log_threshold: ((scopes * TESTS) as f64 / false_alarm_probability).ln(),
        }
    }

    /// Replaces a VM's evidence; returns false, without a change, when `scores` has another length or is not newer.
    pub(crate) fn apply(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        seq: u64,
        scores: &[Scores],
        domain_new: impl Iterator<Item = (usize, u32)>,
    ) -> bool {
        if scores.len() != self.comparison.len() {
            return false;
        }
        let known = self.vms.get(vm);
        if known.is_some_and(|entry| (entry.incarnation, entry.seq) >= (incarnation, seq)) {
            return false;
        }
        // Contributions of an earlier incarnation stay counted. The first counts of a new incarnation may date from
        // before the current step, so they count as evidence of a fault but not as support for the next step.
        let same_incarnation = known.is_some_and(|entry| entry.incarnation == incarnation);
        if !same_incarnation {
            let blank = VmEvidence {
                incarnation,
                seq,
                scores: vec![Scores::default(); scores.len()],
                domain_new: vec![0; self.domain_new.len()],
            };
            self.vms.insert(vm.clone(), blank);
        }
        let Some(entry) = self.vms.get_mut(vm) else {
            return false;
        };
        entry.seq = seq;
        for (at, s) in scores.iter().enumerate() {
            let previous = entry.scores[at];
            if *s == previous {
                continue;
            }
            let new = u64::from(s.new.wrapping_sub(previous.new));
            for t in 0..TESTS {
                let failed = if t < ERROR_TESTS {
                    s.new_errors.wrapping_sub(previous.new_errors)
                } else {
                    s.new_slow.wrapping_sub(previous.new_slow)
                };
                self.comparison[at][t]
                    .multiply_by_log_ratio(f64::from(s.millinats[t].wrapping_sub(previous.millinats[t])) / 1_000.0);
                let failed = failed.min(new as u32);
                let excess = f64::from(failed) * self.parameters.failure_nats[t]
                    + (new - u64::from(failed)) as f64 * self.parameters.success_nats[t];
                self.excess[at][t].multiply_by_log_ratio(excess);
            }
            if same_incarnation {
                self.since_step[at].new += new;
                self.since_step[at].old += u64::from(s.old.wrapping_sub(previous.old));
            }
            entry.scores[at] = *s;
        }
        for (at, new) in domain_new {
            let (Some(previous), Some(sum)) = (entry.domain_new.get_mut(at), self.domain_new.get_mut(at)) else {
                continue;
            };
            if same_incarnation {
                *sum += u64::from(new.wrapping_sub(*previous));
            }
            *previous = new;
        }
        true
    }

    /// Resets the evidence that supports a step up, and adds prior weight for faults that start with this step.
    pub(crate) fn on_step(&mut self, steps: usize) {
        self.since_step.fill(VersionCounts::default());
        self.domain_new.fill(0);
        self.add_start_time(STEP_WEIGHT / steps.max(1) as f64);
    }

    /// Adds prior weight for faults that start now; `part` is the fraction of the shift's duration since the last call.
    pub(crate) fn on_time_passed(&mut self, part: f64) {
        self.add_start_time(TIME_WEIGHT * part);
    }

    fn add_start_time(&mut self, weight: f64) {
        self.comparison
            .iter_mut()
            .chain(&mut self.excess)
            .flatten()
            .for_each(|test| test.add_start_time(weight));
    }

    /// Scope and kind of a detected fault; the scope after the last route stands for all routes.
    ///
    /// A fault is reported only when the new version is both worse than the old one and worse than tolerated. The
    /// comparison alone would report three errors in 10,000 requests when the old version had none.
    pub(crate) fn fault(&self) -> Option<(usize, FaultKind)> {
        (0..self.comparison.len()).find_map(|scope| {
            let test = (0..TESTS).find(|t| self.level(scope, *t) >= 1.0)?;
            Some((
                scope,
                if test < ERROR_TESTS {
                    FaultKind::Errors
                } else {
                    FaultKind::Slow
                },
            ))
        })
    }

    /// Whether some test is halfway to an alarm, in which case the share is not raised.
    pub(crate) fn is_suspicious(&self) -> bool {
        (0..self.comparison.len()).any(|scope| (0..TESTS).any(|t| self.level(scope, t) >= HOLD_LEVEL))
    }

    /// Level of a test; 1 raises the alarm.
    fn level(&self, scope: usize, test: usize) -> f64 {
        let worse = self.comparison[scope][test].log_sum() / self.log_threshold;
        let excess = self.excess[scope][test].log_sum() / (self.log_threshold * EXCESS_THRESHOLD_FRACTION);
        worse.min(excess)
    }

    /// Whether, since the last step, each route with traffic has `min_samples` new-version requests and a majority of
    /// the failure domains has some.
    pub(crate) fn supports_step(&self, min_samples: u32) -> bool {
        let enough = |c: &VersionCounts| c.new >= u64::from(min_samples) || c.new + c.old == 0;
        let Some((all, routes)) = self.since_step.split_last() else {
            return false;
        };
        let domains = self.domain_new.iter().filter(|n| **n > 0).count();
        all.new >= u64::from(min_samples) && routes.iter().all(enough) && 2 * domains > self.domain_new.len()
    }
}
