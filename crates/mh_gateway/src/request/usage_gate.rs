use std::sync::{Arc, OnceLock};

use mh_sync::Mutex;
use mh_types::{Incarnation, OrgName};
use mh_usage::{Begun, Params, UsageCounter, WallClock};
use tokio::time::Instant;

use crate::PlanOrg;

/// Counts the requests that servers begin, if usage reports are made.
#[derive(Debug, Default)]
pub struct UsageGate(OnceLock<Mutex<(UsageCounter, WallClock)>>);

impl UsageGate {
    /// Begins to count.
    pub fn enable(&self, incarnation: Incarnation, params: Params) {
        let now = Instant::now();
        let state = (
            UsageCounter::new(incarnation, params),
            WallClock::new(now, machine_wall()),
        );
        // A second call has no effect.
        let _ = self.0.set(Mutex::new(state));
    }

    /// Runs `f` with the counter and the clock; `None` if no reports are made.
    pub fn with<T>(&self, f: impl FnOnce(&mut UsageCounter, &mut WallClock) -> T) -> Option<T> {
        let state = self.0.get()?;
        let mut state = state.lock();
        let (counter, clock) = &mut *state;
        Some(f(counter, clock))
    }

    /// Counts a request of `org` that is about to be sent to a server.
    pub(super) fn begin(self: &Arc<Self>, org: Option<&PlanOrg>) -> Option<UsageMark> {
        let org: &OrgName = &org?.name;
        let now = Instant::now();
        let begun = self.with(|counter, clock| counter.begin(clock.wall(now), org))?;
        Some(UsageMark {
            gate: Arc::clone(self),
            begun,
            may_have_run: true,
        })
    }
}

/// Returns the machine's wall clock as the time since the start of 1970.
pub(crate) fn machine_wall() -> std::time::Duration {
    std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default()
}

/// A counted request. When it is dropped, it counts as possibly run unless [`UsageMark::not_run`] was called.
#[derive(Debug)]
pub(super) struct UsageMark {
    gate: Arc<UsageGate>,
    begun: Begun,
    may_have_run: bool,
}

impl UsageMark {
    /// Takes the request back.
    pub(super) fn not_run(mut self) {
        self.may_have_run = false;
    }
}

impl Drop for UsageMark {
    fn drop(&mut self) {
        self.gate
            .with(|counter, _| counter.settle(&self.begun, self.may_have_run));
    }
}
