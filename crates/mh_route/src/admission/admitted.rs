use super::decayed_share::DecayedShare;
use crate::clock::Micros;

/// Share of its requests that every rank and organisation keeps, so that urgent requests starve no others.
const MIN_ADMITTED: f64 = 0.25;

/// Half-life of the share; a VM sees few requests of some organisations.
const HALF_LIFE_US: f64 = 10_000_000.0;

/// Admitted requests of one rank or group of organisations.
#[derive(Debug)]
pub(super) struct Admitted(DecayedShare);

impl Admitted {
    pub(super) fn new() -> Self {
        Self(DecayedShare::new(HALF_LIFE_US))
    }

    pub(super) fn record(&self, now: Micros, is_admitted: bool) {
        self.0.record(now, is_admitted);
    }

    /// Whether fewer than the minimum are admitted if one more request is refused.
    pub(super) fn is_below_minimum(&self, now: Micros) -> bool {
        self.0.share(now, 1.0) < MIN_ADMITTED
    }

    /// Share of admitted requests.
    pub(super) fn share(&self, now: Micros) -> f64 {
        self.0.share(now, 0.0)
    }

    /// Admitted requests a second.
    pub(super) fn per_s(&self, now: Micros) -> f64 {
        self.0.hits_per_s(now)
    }
}
