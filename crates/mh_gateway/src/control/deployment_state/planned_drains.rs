use std::collections::HashMap;
use std::time::Duration;

use mh_types::DomainName;
use tokio::time::Instant;

/// Number of steps in which a drained failure domain gives up its objects. Each step rebuilds the state that requests
/// use once.
const STEPS: u32 = 5;

/// Drains of failure domains that this VM saw begin, for moving their objects in steps.
#[derive(Debug, Default)]
pub(super) struct PlannedDrains {
    spread: Duration,
    started: HashMap<DomainName, Instant>,
}

impl PlannedDrains {
    /// Creates the state; a `spread` of zero moves all objects at once.
    pub(super) fn new(spread: Duration) -> Self {
        Self {
            spread,
            started: HashMap::new(),
        }
    }

    /// Records that a drain began.
    pub(super) fn on_start(&mut self, domain: &DomainName, now: Instant) {
        self.started.insert(domain.clone(), now);
    }

    /// Forgets the drains for which `is_drained` is false.
    pub(super) fn retain(&mut self, is_drained: impl Fn(&DomainName) -> bool) {
        self.started.retain(|domain, _| is_drained(domain));
    }

    /// Part of its objects that a drained domain keeps at `now`, in percent. Zero from the end of the spread on, and
    /// for drains that began before this VM read the settings.
    pub(super) fn kept_percent(&self, domain: &DomainName, now: Instant) -> u8 {
        let Some(started) = self.started.get(domain).filter(|_| !self.spread.is_zero()) else {
            return 0;
        };
        let step = self.spread / STEPS;
        let done = now.saturating_duration_since(*started).as_micros() / step.as_micros().max(1) + 1;
        let left = u128::from(STEPS).saturating_sub(done);
        u8::try_from(left * 100 / u128::from(STEPS)).unwrap_or_default()
    }

    /// Times at which domains give up a part of their objects.
    pub(super) fn steps(&self) -> impl Iterator<Item = Instant> {
        let step = self.spread / STEPS;
        let steps = self.started.values();
        steps.flat_map(move |started| (1..STEPS).map(move |n| *started + step * n))
    }
}
