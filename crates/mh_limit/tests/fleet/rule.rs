use std::time::Duration;

use super::Fleet;
use super::arrival::Arrival;

/// Window of the rule that binds the server's arrivals.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first statement from which on the rule binds.
const STABLE: Duration = Duration::from_secs(3);

impl Fleet {
    /// Returns the largest excess of the arrivals that `counts` accepts over what the rule allows in any window. The rule
    /// binds from [`STABLE`] after the first statement on; while windows reach back before that, only the VMs count that
    /// had passed on a statement.
    pub fn max_excess(&self, counts: impl Fn(&Arrival) -> bool) -> f64 {
        let Some((first, _)) = self.stated.first() else {
            return 0.0;
        };
        let is_counted = |a: &&Arrival| counts(a) && (a.is_told || a.at > *first + STABLE);
        let counted: Vec<Duration> = self.arrivals.iter().filter(is_counted).map(|a| a.at).collect();
        let mut max = f64::MIN;
        let mut from = 0;
        for (index, at) in counted.iter().enumerate() {
            while counted[from] + WINDOW < *at {
                from += 1;
            }
            let Some(limit) = self.highest_limit(*at).filter(|_| *at >= *first + STABLE) else {
                continue;
            };
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            max = max.max((index - from + 1) as f64 - allowed);
        }
        assert!(max > f64::MIN, "no window was checked");
        max
    }

    /// Highest limit stated in the window before `at` and in the second before it; `None` if it stated none for a part
    /// of that time.
    fn highest_limit(&self, at: Duration) -> Option<f64> {
        let from = at.saturating_sub(WINDOW + Duration::from_secs(1));
        let held = self.stated.iter().rev().find(|(since, _)| *since <= from);
        let later = self.stated.iter().filter(|(since, _)| *since > from && *since <= at);
        held.into_iter()
            .chain(later)
            .map(|(_, limit)| *limit)
            .try_fold(0.0, |max, limit| Some(limit?.max(max)))
    }
}
