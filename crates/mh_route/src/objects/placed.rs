use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::WorkTimes;
use super::track::Track;
use crate::clock::{Clock, Micros, micros};
use crate::{Outcome, ServerSpec};

/// A server chosen for one request, which counts as in flight until [`done`](Self::done) or drop.
#[derive(Debug)]
#[must_use = "dropping it gives the slot back"]
pub struct Placed {
    pub(crate) spec: Arc<ServerSpec>,
    pub(crate) run: u64,
    pub(crate) track: Arc<Track>,
    pub(crate) work: Arc<WorkTimes>,
    pub(crate) clock: Clock,
    pub(crate) object: Option<u64>,
    pub(crate) warm: bool,
    pub(crate) cold: bool,
    pub(crate) wait_us: u64,
    pub(crate) work_us: u64,
}

impl Placed {
    /// The server.
    pub fn spec(&self) -> &Arc<ServerSpec> {
        &self.spec
    }

    /// Start of the server's process as the register states it.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Whether the server is expected to hold the object.
    pub fn is_warm(&self) -> bool {
        self.warm
    }

    /// Whether the server is cold.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Predicted time until the answer.
    pub fn forecast(&self) -> Duration {
        Duration::from_micros(self.wait_us + self.work_us + self.track.path_us())
    }

    /// Records how long connecting to the server took.
    pub fn connected(&self, took: Duration) {
        self.track.on_path(micros(took));
    }

    /// Records the number of requests running and waiting that the server reported.
    pub fn reported(&self, now: Instant, load: u32) {
        self.track.on_load(self.clock.micros(now), load);
    }

    /// Records how the request ended and gives the slot back.
    pub fn done(self, now: Instant, outcome: Outcome) {
        let at = self.clock.micros(now);
        match outcome {
            Outcome::Answered { status, latency } => self.answered(at, status, micros(latency)),
            Outcome::Failed | Outcome::TimedOut => self.track.on_failure(at),
            // A refusal for load shows a live server; its report tells the load.
            Outcome::Shed | Outcome::Closing | Outcome::Cancelled => {}
        }
    }

    fn answered(&self, at: Micros, status: u16, latency_us: u64) {
        let is_error = status >= 500;
        let observed = latency_us.saturating_sub(self.wait_us + self.track.path_us()).max(1);
        let expected = self.work.expected_us(self.warm);
        self.track.on_answer(at, is_error, observed as f64, expected as f64);
        if !is_error {
            self.work.observe(self.warm, observed);
            if let Some(object) = self.object {
                self.track.recent.note(object, at);
            }
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.track.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
