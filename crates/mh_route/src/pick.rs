use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

use crate::clock::{Clock, Micros, micros};
use crate::place::Place;
use crate::seen::Seen;
use crate::shared::Shared;
use crate::{Outcome, ServerSpec};

/// A server chosen for one request, which counts as in flight until [`done`](Self::done) or drop.
///
/// Dropping it without an outcome counts as [`Outcome::Cancelled`].
#[derive(Debug)]
#[must_use = "dropping a pick gives the slot back"]
pub struct Pick {
    pub(crate) spec: Arc<ServerSpec>,
    pub(crate) seen: Arc<Seen>,
    pub(crate) place: Arc<Place>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) clock: Clock,
    pub(crate) sent_at: Micros,
    /// The request tries out a failed server.
    pub(crate) trial: bool,
    pub(crate) ended: bool,
    /// The request was sent, and nothing of its answer has arrived.
    pub(crate) waits: bool,
}

impl Pick {
    /// Settings of the chosen server.
    pub fn spec(&self) -> &Arc<ServerSpec> {
        &self.spec
    }

    /// Whether the request tries out a server that has failed.
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// Leaves the request out of the detection of silent servers, because its answer began or its caller still sends it.
    pub fn exempt_from_silence(&mut self, now: Instant) {
        if self.waits {
            self.waits = false;
            let waiting = self.seen.stop_waiting();
            self.seen.on_heard(waiting, self.clock.micros(now));
        }
    }

    /// Records how the request ended and gives the slot back.
    pub fn done(mut self, now: Instant, outcome: Outcome) {
        let now = self.clock.micros(now);
        let (in_flight, waiting) = self.end();
        let (seen, place) = (&self.seen, &self.place);
        match outcome {
            Outcome::Answered { status, latency } => {
                let latency_us = micros(latency);
                seen.answered.fetch_add(1, Ordering::Relaxed);
                seen.on_status(status);
                seen.latency.observe(latency_us, now);
                self.shared.latency.observe(latency_us, now);
                seen.grow_limit();
                seen.on_heard(waiting, now);
                // A leaving server still answers what it took earlier, so only a trial shows that it came back.
                if self.trial {
                    seen.closing.store(false, Ordering::Relaxed);
                }
                if !seen.closing.load(Ordering::Relaxed) {
                    seen.breaker.on_answer(now);
                }
                place.breaker.on_answer(now);
            }
            Outcome::Shed => {
                seen.shed.fetch_add(1, Ordering::Relaxed);
                seen.on_shed(in_flight);
                seen.on_heard(waiting, now);
                if !seen.closing.load(Ordering::Relaxed) {
                    seen.breaker.on_answer(now);
                }
                place.breaker.on_answer(now);
            }
            Outcome::Closing => {
                seen.closing.store(true, Ordering::Relaxed);
                seen.on_heard(waiting, now);
                seen.breaker.close_long(now);
                if self.trial {
                    seen.breaker.on_failure(now, true);
                }
                place.breaker.on_answer(now);
            }
            Outcome::Failed | Outcome::TimedOut => {
                seen.failed.fetch_add(1, Ordering::Relaxed);
                if waiting == 0 {
                    seen.on_heard(0, now);
                }
                seen.breaker.on_failure(now, self.trial);
                place.breaker.on_failure(now, self.trial);
            }
            Outcome::Cancelled => {
                let told_nothing = seen.on_given_up(self.sent_at, waiting, now);
                if told_nothing {
                    self.drop_trial();
                } else if self.trial {
                    seen.breaker.on_failure(now, true);
                    place.breaker.on_failure(now, true);
                }
            }
        }
    }

    /// Gives the slot back; returns how many requests are still in flight and how many of them wait.
    fn end(&mut self) -> (u32, u32) {
        self.ended = true;
        let waiting = if self.waits {
            self.waits = false;
            self.seen.stop_waiting()
        } else {
            self.seen.waiting()
        };
        (self.seen.release(), waiting)
    }

    /// Gives everything back for a request that was not sent.
    pub(crate) fn abandon(mut self) {
        self.end();
        self.drop_trial();
    }

    fn drop_trial(&self) {
        if self.trial {
            self.seen.breaker.drop_trial();
            self.place.breaker.drop_trial();
        }
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        // Without a clock nothing tells whether a dropped trial failed, so the next one waits until it expires.
        if !self.ended {
            self.end();
        }
    }
}
