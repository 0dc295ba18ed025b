use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use super::server_stats::ObjectServerStats;
use super::{ServerLoad, WorkTimes};
use crate::admission::ServerQueue;
use crate::clock::{Clock, Micros, micros};
use crate::{Outcome, ServerSpec};

/// Server chosen for one request, which counts as in flight until [`done`](Self::done) or drop.
#[derive(Debug)]
#[must_use = "dropping a placement releases its slot"]
pub struct Placement {
    pub(crate) spec: Arc<ServerSpec>,
    pub(crate) run: u64,
    pub(crate) stats: Arc<ObjectServerStats>,
    pub(crate) work_times: Arc<WorkTimes>,
    pub(crate) clock: Clock,
    pub(crate) object: Option<u64>,
    pub(crate) holds_object: bool,
    pub(crate) cold: bool,
    pub(crate) wait_us: u64,
    pub(crate) work_us: u64,
    /// Factor of the server's stated speed when the request was placed, if known.
    pub(crate) speed_at_start: Option<f64>,
    /// Speed in percent that the server stated in its answer; 0 for none.
    pub(crate) speed_at_answer: AtomicU32,
    /// Requests, running and queued, that the server stated in its answer; 0 for none.
    pub(crate) load_at_answer: AtomicU32,
}

impl Placement {
    /// Specification of the chosen server.
    pub fn spec(&self) -> &Arc<ServerSpec> {
        &self.spec
    }

    /// Start time of the server's process according to the server list.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Whether the server is expected to hold the object.
    pub fn holds_object(&self) -> bool {
        self.holds_object
    }

    /// Whether the server is cold, that is, started recently.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Predicted wait for a slot.
    pub fn wait(&self) -> Duration {
        Duration::from_micros(self.wait_us)
    }

    /// Predicted time until the response.
    pub fn forecast(&self) -> Duration {
        Duration::from_micros(self.wait_us + self.work_us + self.stats.round_trip_us())
    }

    /// Predicted work at the server.
    pub fn work(&self) -> Duration {
        Duration::from_micros(self.work_us)
    }

    /// What the request finds at the server.
    pub fn queue(&self, now: Instant) -> ServerQueue {
        let at = self.clock.micros(now);
        ServerQueue {
            wait: self.wait(),
            delay: self.work() / self.spec.slots.max(1),
            is_full_behind: self.stats.is_full(at),
            callers: self.stats.recent_callers.ages(at),
        }
    }

    /// Records the time that connecting to the server took.
    pub fn connected(&self, took: Duration) {
        self.stats.on_round_trip(micros(took));
    }

    /// Records the number of running and queued requests of a server that states nothing else.
    pub fn reported(&self, now: Instant, load: u32) {
        self.reported_load(
            now,
            &ServerLoad {
                running: load,
                waiting: 0,
                slots: None,
                speed: None,
            },
        );
    }

    /// Records the load that the server stated in its answer.
    pub fn reported_load(&self, now: Instant, load: &ServerLoad) {
        self.load_at_answer.store(load.total(), Ordering::Relaxed);
        self.speed_at_answer
            .store(load.speed.unwrap_or_default(), Ordering::Relaxed);
        self.stats.on_direct_report(self.clock.micros(now), load);
    }

    /// Gives the server back because a limit that it stated admits no request for the time `left`.
    pub fn full(self, now: Instant, left: Duration) {
        self.stats.set_full(self.clock.micros(now) + micros(left));
    }

    /// Records the outcome of the request and releases its slot.
    pub fn done(self, now: Instant, outcome: Outcome) {
        let at = self.clock.micros(now);
        match outcome {
            Outcome::Answered { status, latency } => self.answered(at, status, micros(latency)),
            Outcome::Failed | Outcome::TimedOut => self.stats.on_failure(at),
            // A refusal because of overload is not a failure.
            Outcome::Shed => {
                let total = self.load_at_answer.load(Ordering::Relaxed);
                // With fewer requests than slots, it was not the queue that was full.
                if total > self.spec.slots {
                    self.stats.on_refused(total);
                }
            }
            Outcome::Closing | Outcome::Cancelled => {}
        }
    }

    fn answered(&self, at: Micros, status: u16, latency_us: u64) {
        let is_error = status >= 500;
        if !is_error && self.work_us > 0 {
            let forecast_us = self.wait_us + self.work_us + self.stats.round_trip_us();
            self.work_times.observe_forecast(forecast_us, latency_us);
        }
        let observed_us = latency_us
            .saturating_sub(self.wait_us + self.stats.round_trip_us())
            .max(1);
        let expected_us = self.work_times.expected_us(self.holds_object);
        let work_us = self.usual_work_us(observed_us, expected_us);
        self.stats.on_answer(at, is_error, work_us as f64, expected_us as f64);
        if !is_error {
            self.work_times.observe(self.holds_object, work_us);
            if let Some(object) = self.object {
                self.stats.recent_objects.record(object, at);
            }
        }
    }

    /// Time that the work would have taken at the usual speed.
    ///
    /// Speeds known at the start and at the answer give a range; the value closest to the expected time is the one that
    /// attributes least to the server itself.
    fn usual_work_us(&self, observed_us: u64, expected_us: u64) -> u64 {
        let at_answer = self.speed_at_answer.load(Ordering::Relaxed);
        let at_answer = (at_answer > 0).then(|| f64::from(at_answer) / 100.0);
        if expected_us == 0 || (at_answer.is_none() && self.speed_at_start.is_none()) {
            return observed_us;
        }
        let (start, answer) = (self.speed_at_start.unwrap_or(1.0), at_answer.unwrap_or(1.0));
        let shortest = observed_us as f64 / start.max(answer);
        let longest = observed_us as f64 / start.min(answer);
        (expected_us as f64).clamp(shortest, longest).max(1.0) as u64
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.stats.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
