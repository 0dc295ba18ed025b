use std::time::Duration;

use tokio::time::Instant;

/// Time between the ends of two checks. A check costs a few connections to servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Result of a check: how many of the contacted servers could be reached.
///
/// A check may end at the first server that is reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckResult {
    /// Servers to which a connection was opened.
    pub reached: usize,
    /// Servers that refused a connection or did not answer in time.
    pub failed: usize,
}

/// Whether this VM can reach backend servers itself.
#[derive(Debug, Default)]
pub struct Reachability {
    is_cut_off: bool,
    is_checking: bool,
    next_check_at: Option<Instant>,
}

impl Reachability {
    /// Returns whether no server can be reached.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns whether a check should start now, because a connection to a server failed or because this VM is cut off;
    /// the caller then reports its result to [`on_check`](Self::on_check).
    pub fn start_check(&mut self, now: Instant) -> bool {
        let is_due = !self.is_checking && self.next_check_at.is_none_or(|at| now >= at);
        self.is_checking |= is_due;
        is_due
    }

    /// Returns whether a check is running.
    pub fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Records the result of a check; returns whether it changed [`is_cut_off`](Self::is_cut_off). A check that contacted
    /// no server changes nothing.
    pub fn on_check(&mut self, now: Instant, result: CheckResult) -> bool {
        self.is_checking = false;
        self.next_check_at = Some(now + CHECK_INTERVAL);
        let before = self.is_cut_off;
        if result.reached > 0 {
            self.is_cut_off = false;
        } else if result.failed > 0 {
            self.is_cut_off = true;
        }
        before != self.is_cut_off
    }
}
