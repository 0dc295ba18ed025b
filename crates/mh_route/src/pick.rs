use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

use crate::clock::{Clock, Micros, micros};
use crate::domain_stats::DomainStats;
use crate::server_stats::ServerStats;
use crate::service_stats::ServiceStats;
use crate::{Outcome, ServerSpec};

/// Server chosen for one request, which counts as in flight until [`done`](Self::done) or drop.
///
/// Dropping it without an outcome counts as [`Outcome::Cancelled`].
#[derive(Debug)]
#[must_use = "dropping a pick releases its slot"]
pub struct Pick {
    pub(crate) spec: Arc<ServerSpec>,
    pub(crate) stats: Arc<ServerStats>,
    pub(crate) domain_stats: Arc<DomainStats>,
    pub(crate) service_stats: Arc<ServiceStats>,
    pub(crate) clock: Clock,
    pub(crate) sent_at: Micros,
    /// Whether the request is the trial of a failed server.
    pub(crate) trial: bool,
    pub(crate) ended: bool,
    /// Whether the request was sent and no part of its response has arrived.
    pub(crate) awaiting_response: bool,
}

impl Pick {
    /// Specification of the chosen server.
    pub fn spec(&self) -> &Arc<ServerSpec> {
        &self.spec
    }

    /// Whether the request is the trial of a failed server.
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// Excludes the request from the detection of silent servers, because its response has begun or its caller is still
    /// sending the body.
    pub fn exempt_from_silence(&mut self, now: Instant) {
        if self.awaiting_response {
            self.awaiting_response = false;
            let waiting = self.stats.stop_waiting();
            self.stats.restart_silence_timer(waiting, self.clock.micros(now));
        }
    }

    /// Records the outcome of the request and releases its slot.
    pub fn done(mut self, now: Instant, outcome: Outcome) {
        let now = self.clock.micros(now);
        let (in_flight, waiting) = self.end();
        let (stats, domain_stats) = (&self.stats, &self.domain_stats);
        match outcome {
            Outcome::Answered { status, latency } => {
                let latency_us = micros(latency);
                stats.answered.fetch_add(1, Ordering::Relaxed);
                stats.on_status(status);
                stats.latency.observe(latency_us, now);
                self.service_stats.latency.observe(latency_us, now);
                stats.raise_limit();
                stats.restart_silence_timer(waiting, now);
                // A server that shuts down still answers earlier requests, so only a trial shows that it is back.
                if self.trial {
                    stats.closing.store(false, Ordering::Relaxed);
                }
                if !stats.closing.load(Ordering::Relaxed) {
                    stats.breaker.on_answer(now);
                }
                domain_stats.breaker.on_answer(now);
            }
            Outcome::Shed => {
                stats.shed.fetch_add(1, Ordering::Relaxed);
                stats.lower_limit(in_flight);
                stats.restart_silence_timer(waiting, now);
                if !stats.closing.load(Ordering::Relaxed) {
                    stats.breaker.on_answer(now);
                }
                domain_stats.breaker.on_answer(now);
            }
            Outcome::Closing => {
                stats.closing.store(true, Ordering::Relaxed);
                stats.restart_silence_timer(waiting, now);
                stats.breaker.trip_for_longest_wait(now);
                if self.trial {
                    stats.breaker.on_failure(now, true);
                }
                domain_stats.breaker.on_answer(now);
            }
            Outcome::Failed | Outcome::TimedOut => {
                stats.failed.fetch_add(1, Ordering::Relaxed);
                if waiting == 0 {
                    stats.restart_silence_timer(0, now);
                }
                stats.breaker.on_failure(now, self.trial);
                domain_stats.breaker.on_failure(now, self.trial);
            }
            Outcome::Cancelled => {
                let inconclusive = stats.on_cancelled(self.sent_at, waiting, now);
                if inconclusive {
                    self.release_trial();
                } else if self.trial {
                    stats.breaker.on_failure(now, true);
                    domain_stats.breaker.on_failure(now, true);
                }
            }
        }
    }

    /// Releases the slot; returns how many requests are still in flight and how many of them await a response.
    fn end(&mut self) -> (u32, u32) {
        self.ended = true;
        let waiting = if self.awaiting_response {
            self.awaiting_response = false;
            self.stats.stop_waiting()
        } else {
            self.stats.waiting()
        };
        (self.stats.release(), waiting)
    }

    /// Releases the slot and the trial of a request that was not sent.
    pub(crate) fn abandon(mut self) {
        self.end();
        self.release_trial();
    }

    fn release_trial(&self) {
        if self.trial {
            self.stats.breaker.release_trial();
            self.domain_stats.breaker.release_trial();
        }
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        // Drop has no time to judge a trial by, so the trial stays reserved until it times out.
        if !self.ended {
            self.end();
        }
    }
}
