use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{Fingerprint, QuarantineEntry, ServerRun};

/// Length of the first quarantine of a request; it doubles with each further one.
const FIRST_QUARANTINE: Duration = Duration::from_mins(1);

/// Longest quarantine, so that a request that was repaired at the servers runs again within the hour.
const MAX_QUARANTINE: Duration = Duration::from_hours(1);

/// Time after the last crash for which a request without a quarantine is remembered.
const SUSPECT_LIFETIME: Duration = Duration::from_mins(10);

/// Crashes of different servers that begin the first quarantine. Requests that ran beside others in two crashes are
/// common when many servers crash.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Time within which reports of the same run are about the same crash. Later ones are about a further crash of a server
/// whose restart the VMs have not read yet.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Crashes after which a request is no longer repeated at a second server on behalf of one attempt of its caller.
const CRASHES_TO_STOP_RETRIES: usize = 2;

/// What is known of one request that was lost in crashes.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Crashes with the request since the last quarantine: runs of servers, and when each was reported last.
    crashed: SmallVec<[(ServerRun, Instant); CRASHES_TO_QUARANTINE]>,
    pub(crate) first_crash_at: Instant,
    pub(crate) last_crash_at: Instant,
    /// End of the latest quarantine.
    pub(crate) quarantined_until: Option<Instant>,
    /// Number of quarantines.
    pub(crate) count: u32,
}

impl Record {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            crashed: SmallVec::new(),
            first_crash_at: now,
            last_crash_at: now,
            quarantined_until: None,
            count: 0,
        }
    }

    /// Creates the record of a request that another VM quarantined.
    pub(crate) fn from_entry(now: Instant, entry: &QuarantineEntry) -> Self {
        let remaining = Duration::from_millis(entry.remaining_ms).min(MAX_QUARANTINE);
        Self {
            crashed: SmallVec::new(),
            first_crash_at: now
                .checked_sub(Duration::from_millis(entry.first_crash_ms))
                .unwrap_or(now),
            last_crash_at: now,
            quarantined_until: Some(now + remaining),
            count: entry.count.max(1),
        }
    }

    /// Returns the entry for other VMs; `None` if the request is not in quarantine.
    pub(crate) fn entry(&self, now: Instant, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        let remaining = self.remaining(now)?;
        Some(QuarantineEntry {
            fingerprint,
            first_crash_ms: now.saturating_duration_since(self.first_crash_at).as_millis() as u64,
            remaining_ms: remaining.as_millis() as u64,
            count: self.count,
        })
    }

    /// Returns the time until the quarantine ends; `None` outside of one.
    pub(crate) fn remaining(&self, now: Instant) -> Option<Duration> {
        let until = self.quarantined_until.filter(|until| *until > now)?;
        Some(until - now)
    }

    /// Returns how strongly earlier crashes point to this request.
    pub(crate) fn suspicion(&self) -> usize {
        self.crashed.len() + self.count as usize * CRASHES_TO_QUARANTINE
    }

    /// Records a crash; returns whether a quarantine begins with it.
    pub(crate) fn on_crash(&mut self, now: Instant, server: ServerRun) -> bool {
        self.last_crash_at = now;
        let same_run = self.crashed.iter_mut().rfind(|(run, _)| *run == server);
        if let Some((_, reported_at)) = same_run.filter(|(_, at)| now < *at + REPORT_TIME) {
            *reported_at = now;
            return false;
        }
        self.crashed.push((server, now));
        // After a quarantine the first further crash is enough.
        let enough = if self.count == 0 { CRASHES_TO_QUARANTINE } else { 1 };
        // Reports of requests that were sent before the quarantine arrive while it lasts.
        if self.crashed.len() < enough || self.remaining(now).is_some() {
            return false;
        }
        let factor = 2_u32.saturating_pow(self.count);
        self.quarantined_until = Some(now + FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE));
        self.count = self.count.saturating_add(1);
        self.crashed.clear();
        true
    }

    /// Returns whether another server may get the request within one attempt of its caller.
    pub(crate) fn allows_retry(&self) -> bool {
        self.count == 0 && self.crashed.len() < CRASHES_TO_STOP_RETRIES
    }

    /// Returns when the record is forgotten.
    pub(crate) fn expires_at(&self) -> Instant {
        match self.quarantined_until {
            Some(until) => until + SUSPECT_LIFETIME,
            None => self.last_crash_at + SUSPECT_LIFETIME,
        }
    }
}
