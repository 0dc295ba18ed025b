use super::AdmissionRequest;
use super::decayed_share::DecayedShare;
use crate::clock::Micros;

/// Share of its requests that every rank and organisation keeps.
const MIN_ADMITTED: f64 = 0.25;

/// Most attempts of one request that are plausible. With more attempts for each new request, callers have less time than
/// their routes from the start, and are taken for callers that returned.
const MAX_ATTEMPTS: f64 = 20.0;

/// Admitted requests of one rank or group of organisations.
#[derive(Debug)]
pub(super) struct Admitted {
    requests: DecayedShare,
    attempts: DecayedShare,
}

impl Admitted {
    pub(super) fn new(half_life_us: f64) -> Self {
        Self {
            requests: DecayedShare::new(half_life_us),
            attempts: DecayedShare::new(half_life_us),
        }
    }

    pub(super) fn record(&self, now: Micros, request: &AdmissionRequest, is_admitted: bool) {
        self.requests.add(now, request.is_new(), is_admitted);
        self.attempts.record(now, is_admitted);
    }

    /// Whether fewer than the minimum are admitted if one more request is refused.
    pub(super) fn is_below_minimum(&self, now: Micros) -> bool {
        let tells_new_requests = self.requests.weight(now) * MAX_ATTEMPTS >= self.attempts.weight(now);
        let share = if tells_new_requests {
            &self.requests
        } else {
            &self.attempts
        };
        share.share(now, 1.0) < MIN_ADMITTED
    }

    /// Share of admitted requests.
    pub(super) fn share(&self, now: Micros) -> f64 {
        self.requests.share(now, 0.0).min(1.0)
    }

    /// Admitted requests a second.
    pub(super) fn per_s(&self, now: Micros) -> f64 {
        self.requests.hits_per_s(now)
    }
}
