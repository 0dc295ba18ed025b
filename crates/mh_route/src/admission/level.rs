use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::fleet::Fleet;
use super::rate::Rate;
use super::return_schedule::ReturnSchedule;
use super::{CallerTime, LevelIndex, ServerQueue};
use crate::clock::{Micros, micros};
use crate::mean::Mean;

/// Servers that a request may be sent to, by its object.
const SERVERS_PER_REQUEST: f64 = 2.0;

/// Requests that a server would have got since its last one if it got as many as others, from which their absence shows that
/// it gets none: fewer than one server in 20 misses as many by chance.
const TELLING_ABSENCE: f64 = 3.0;

/// Requests of one urgency.
#[derive(Debug)]
pub(super) struct Level {
    /// Priority of the organisations, then of the routes.
    pub(super) urgency: (u32, u32),
    pub(super) requests: Rate,
    pub(super) admitted: Rate,
    pub(super) returns: ReturnSchedule,
    /// Wait for a slot with which its callers are answered in time.
    bearable_wait: Mean,
    /// Time by which one of its requests delays those behind it.
    delay: Mean,
    first_at: AtomicU64,
    /// Time from which the next request is admitted although it gives way.
    next_exception_at: AtomicU64,
}

impl Level {
    pub(super) fn new(urgency: (u32, u32)) -> Self {
        Self {
            urgency,
            requests: Rate::default(),
            admitted: Rate::default(),
            returns: ReturnSchedule::default(),
            bearable_wait: Mean::default(),
            delay: Mean::default(),
            first_at: AtomicU64::new(0),
            next_exception_at: AtomicU64::new(0),
        }
    }

    /// Records a request.
    pub(super) fn record(&self, now: Micros, time: &CallerTime) {
        self.requests.record(now);
        self.first_at
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .ok();
        self.bearable_wait.observe(micros(time.bearable_wait()));
    }

    /// Records the time by which a request delays those behind it.
    pub(super) fn record_delay(&self, delay: Duration) {
        self.delay.observe(micros(delay));
    }

    /// Wait for a slot with which its callers are answered in time, on average.
    pub(super) fn bearable_wait(&self) -> Duration {
        Duration::from_micros(self.bearable_wait.us())
    }

    /// Longest wait at a server with which its callers are admitted and answered in time. `limit` is the longest wait with
    /// which they give way to none themselves.
    pub(super) fn longest_wait(&self, limit: Option<Duration>) -> Duration {
        let bearable = self.bearable_wait();
        let delay = Duration::from_micros(self.delay.us());
        limit.map_or(bearable, |limit| bearable.min(limit.saturating_sub(delay)))
    }

    /// Callers a second, from all VMs, that may be sent to the server of `queue`. All servers are taken to get as many, unless
    /// the time since this one got any tells otherwise.
    pub(super) fn arrivals_per_s(&self, now: Micros, index: LevelIndex, queue: &ServerQueue, fleet: Fleet) -> f64 {
        let from_here = self.requests.per_s(now) * SERVERS_PER_REQUEST / f64::from(fleet.servers);
        let observed = Duration::from_micros(now.saturating_sub(self.first_at.load(Ordering::Relaxed)));
        let age = queue.callers[index.at_server()].unwrap_or(observed);
        if from_here * age.as_secs_f64() < TELLING_ABSENCE {
            from_here * f64::from(fleet.vms)
        } else {
            0.0
        }
    }

    /// Takes one of the exceptions that come at least `gap` apart.
    pub(super) fn try_exception(&self, now: Micros, gap: Duration) -> bool {
        let step = |next: u64| (now >= next).then(|| now.saturating_add(micros(gap)));
        self.next_exception_at
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}
