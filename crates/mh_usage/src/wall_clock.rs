use std::time::Duration;

use tokio::time::Instant;

/// Largest change of the wall clock that is followed at once; time synchronisation slews in smaller steps.
const MAX_SLEW: Duration = Duration::from_millis(100);

/// Time for which a larger change must persist.
const MIN_STEP_AGE: Duration = Duration::from_mins(1);

/// Largest difference from the other VMs' clocks that is left uncorrected. It is below 5% of a window of 5 s.
const MAX_DIFFERENCE: Duration = Duration::from_millis(200);

/// Age after which the other VMs' time is no longer used.
const MAX_FLEET_AGE: Duration = Duration::from_secs(30);

/// Wall time that follows the monotonic clock, so that a jump of the machine's wall clock has no effect.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// A wall time and the monotonic time at which it was valid.
    anchor: (Duration, Instant),
    /// When the machine's wall clock first differed by more than [`MAX_SLEW`].
    step_since: Option<Instant>,
    /// Median time of the VMs, and when it was received.
    fleet: Option<(Duration, Instant)>,
}

impl WallClock {
    /// Starts from the machine's wall clock.
    pub fn new(now: Instant, wall: Duration) -> Self {
        Self {
            anchor: (wall, now),
            step_since: None,
            fleet: None,
        }
    }

    /// Compares with a reading of the machine's wall clock.
    pub fn observe(&mut self, now: Instant, wall: Duration) {
        if self.own(now).abs_diff(wall) <= MAX_SLEW {
            self.anchor = (wall, now);
            self.step_since = None;
        } else if now.saturating_duration_since(*self.step_since.get_or_insert(now)) >= MIN_STEP_AGE {
            *self = Self {
                fleet: self.fleet,
                ..Self::new(now, wall)
            };
        }
    }

    /// Records the median time of the VMs. A VM that starts while its wall clock is wrong is corrected by it.
    pub fn observe_fleet(&mut self, now: Instant, wall: Duration) {
        self.fleet = Some((wall, now));
    }

    /// Returns this VM's time, without the correction by other VMs.
    pub fn own(&self, now: Instant) -> Duration {
        self.anchor.0 + now.saturating_duration_since(self.anchor.1)
    }

    /// Returns the time since the start of 1970.
    pub fn wall(&self, now: Instant) -> Duration {
        let own = self.own(now);
        let fleet = self
            .fleet
            .filter(|(_, at)| now.saturating_duration_since(*at) <= MAX_FLEET_AGE);
        let fleet = fleet.map(|(wall, at)| wall + now.saturating_duration_since(at));
        fleet
            .filter(|fleet| fleet.abs_diff(own) > MAX_DIFFERENCE)
            .unwrap_or(own)
    }
}
