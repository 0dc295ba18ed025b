use std::time::Duration;

use mh_budget::{Allowance, Meter, MeterWriter, TokenMove};
use tokio::time::Instant;

use crate::PlanOrg;

/// Millionths of a request, the unit of the meter.
const MICROS: f64 = 1e6;

/// Largest burst of one VM, in requests; it sets the resolution of the meter.
const MAX_BURST: f64 = 100_000.0;

/// Part of the burst that a new meter starts with. A VM that restarts forgets what it admitted; half of its burst
/// keeps a fleet that restarts as a whole within the quota's tolerance.
const FIRST_PART: f64 = 0.5;

/// Smallest burst of one VM; below one request nothing would ever be admitted.
const MIN_BURST: f64 = 1.0;

/// Time for which a share holds without being renewed; the meter counts no longer spans.
const SHARE_LIFE: Duration = Duration::from_secs(15);

/// This VM's share of one organisation's quota.
#[derive(Debug)]
pub struct Quota {
    meter: Meter,
    writer: MeterWriter,
    rate: f64,
    burst: f64,
}

impl Quota {
    /// The share of one of `vms` VMs.
    pub fn new(org: &PlanOrg, vms: u32, now: Instant) -> Self {
        let (meter, writer) = Meter::new(now, (MAX_BURST * MICROS) as u64);
        let mut quota = Self {
            meter,
            writer,
            rate: 0.0,
            burst: 0.0,
        };
        quota.set(org, vms, now);
        let first = (quota.burst * FIRST_PART * MICROS) as u64;
        quota.share(now, TokenMove::Add(first));
        quota
    }

    /// The meter that requests take from.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Rate of this VM's share, in requests a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the share, or renews it.
    pub fn set(&mut self, org: &PlanOrg, vms: u32, now: Instant) {
        let vms = f64::from(vms.max(1));
        self.rate = org.rate_per_s / vms;
        self.burst = (org.burst / vms).clamp(MIN_BURST, MAX_BURST);
        self.share(now, TokenMove::Keep);
    }

    fn share(&mut self, now: Instant, tokens: TokenMove) {
        let rate = (self.rate * MICROS) as u64;
        let burst = (self.burst * MICROS) as u64;
        self.writer
            .set_share(now, &Allowance::own(rate, burst, now + SHARE_LIFE), tokens);
    }
}
