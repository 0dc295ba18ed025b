use std::time::Duration;

use hyper::HeaderMap;
use mh_types::{Code, Run};
use tokio::time::Instant;

use crate::headers::DEADLINE_HEADER;
use crate::refusal::Refusal;

/// Time by which a request must be answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// Reads the caller's deadline from its header and returns the earlier of it and the route's.
    ///
    /// # Errors
    ///
    /// [`Code::DeadlineInvalid`] if the header is not a number of milliseconds.
    pub(crate) fn read(now: Instant, headers: &HeaderMap, route_limit: Duration) -> Result<Self, Refusal> {
        if !headers.contains_key(DEADLINE_HEADER) {
            return Ok(Self(now + route_limit));
        }
        let stated = stated_deadline(headers).ok_or_else(|| Refusal::new(Code::DeadlineInvalid, Run::NotRun))?;
        Ok(Self(now + route_limit.min(stated)))
    }

    pub(crate) fn after(now: Instant, left: Duration) -> Self {
        Self(now + left)
    }

    pub(crate) fn instant(self) -> Instant {
        self.0
    }

    pub(crate) fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }
}

/// Time for which the caller says that it waits; `None` if it does not, or if the header is not a number of milliseconds.
pub(crate) fn stated_deadline(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(DEADLINE_HEADER)?;
    value.to_str().ok()?.trim().parse().ok().map(Duration::from_millis)
}
