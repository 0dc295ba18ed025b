use std::time::Duration;

use tokio::time::Instant;

/// Lease on the contact of this VM with a majority of the failure domains.
///
/// A VM outside the majority cannot learn of a fault that the others found, so it must not use the new version.
#[derive(Debug)]
pub(crate) struct MajorityLease {
    lease: Duration,
    own_domain: usize,
    /// Send time of the latest answered request, by failure domain.
    last_answered_request_at: Vec<Option<Instant>>,
}

impl MajorityLease {
    pub(crate) fn new(lease: Duration, own_domain: usize, domains: usize) -> Self {
        Self {
            lease,
            own_domain,
            last_answered_request_at: vec![None; domains],
        }
    }

    /// Records that a VM of the domain answered a request sent at `asked_at`.
    pub(crate) fn record_answer(&mut self, domain: usize, asked_at: Instant) {
        if let Some(at) = self.last_answered_request_at.get_mut(domain) {
            *at = (*at).max(Some(asked_at));
        }
    }

    /// Instant at which the lease expires if no further answer arrives; `None` when it has expired.
    pub(crate) fn expires_at(&self, now: Instant) -> Option<Instant> {
        let expiry = |(d, at): (usize, &Option<Instant>)| {
            if d == self.own_domain {
                Some(now + self.lease)
            } else {
                at.map(|a| a + self.lease)
            }
        };
        let mut expiries: Vec<Option<Instant>> = self.last_answered_request_at.iter().enumerate().map(expiry).collect();
        expiries.sort_unstable_by(|a, b| b.cmp(a));
        expiries.get(expiries.len() / 2).copied().flatten().filter(|e| *e > now)
    }
}
