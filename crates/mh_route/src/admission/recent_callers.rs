use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::LevelIndex;
use crate::clock::Micros;

/// Levels that are told apart at each server; less urgent ones share the last.
pub(crate) const LEVELS: usize = 8;

/// Times since callers of each level could last have been sent to one server; `None` for never.
pub type CallerAges = [Option<Duration>; LEVELS];

/// Times at which callers of each level could last have been sent to one server, whether or not they were.
#[derive(Debug, Default)]
pub(crate) struct RecentCallers([AtomicU64; LEVELS]);

impl RecentCallers {
    pub(crate) fn record(&self, now: Micros, level: LevelIndex) {
        self.0[level.at_server()].fetch_max(now, Ordering::Relaxed);
    }

    pub(crate) fn ages(&self, now: Micros) -> CallerAges {
        let age = |at: &AtomicU64| match at.load(Ordering::Relaxed) {
            0 => None,
            at => Some(Duration::from_micros(now.saturating_sub(at))),
        };
        std::array::from_fn(|level| age(&self.0[level]))
    }
}
