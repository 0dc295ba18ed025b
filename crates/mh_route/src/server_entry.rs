use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::clock::Micros;
use crate::domain_stats::DomainStats;
use crate::server_stats::ServerStats;
use crate::{ServerSpec, SlotFractions, Tier};

/// Maximum of requests in flight at one server, in multiples of this VM's fair share of its slots.
pub(crate) const SERVER_QUEUE_FACTOR: f64 = 3.0;

/// Maximum of requests in flight at all servers, in multiples of this VM's fair share of all slots.
pub(crate) const TOTAL_QUEUE_FACTOR: f64 = 5.0;

/// Half-life of the weight of a load report, in mean latencies of the service. The load of a server changes within a
/// few of them, and VMs that all followed a report of the load one second ago would overload the same server.
const REPORT_HALF_LIFE_LATENCIES: f64 = 4.0;

/// Age up to which a report that the server is unhealthy counts, in microseconds.
const UNHEALTHY_REPORT_LIFE_US: f64 = 2_000_000.0;

/// A response received by this VM within this time, in microseconds, overrides a report that the server is unhealthy.
const RECENT_OWN_ANSWER_US: Micros = 1_000_000;

/// Extra cost of a server whose responses are all errors, in multiples of its predicted wait. Errors are often faster
/// than successful responses and would attract traffic otherwise.
const ERROR_COST_FACTOR: f64 = 9.0;

/// Random spread of the predicted wait with a fresh load report; it keeps VMs from all choosing the same server.
const MIN_SPREAD: f64 = 0.05;

/// Additional spread without a fresh load report.
const STALE_EXTRA_SPREAD: f64 = 0.1;

/// A server in one pool: its specification, and the measurements that successive pools share.
#[derive(Debug)]
pub(crate) struct ServerEntry {
    pub(crate) spec: Arc<ServerSpec>,
    pub(crate) stats: Arc<ServerStats>,
    pub(crate) domain_stats: Arc<DomainStats>,
    pub(crate) tier: Tier,
}

/// Prediction for one more request at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Relative cost of sending one more request, in microseconds.
    pub(crate) cost_us: f64,
    /// Whether a slot is likely free.
    pub(crate) has_free_slot: bool,
}

impl ServerEntry {
    /// Requests that this VM may have in flight at the server, with `ramp` as the fraction of the full load.
    pub(crate) fn limit(&self, slot_fractions: &SlotFractions, ramp: f64, prior_us: f64, now: Micros) -> u32 {
        let fraction = self.tier.fraction(slot_fractions);
        // The queue is bounded in time, so a server that is slower than the others gets a shorter queue.
        let speed =
            (prior_us / self.stats.latency.expected_us(prior_us, now).max(1.0)).clamp(1.0 / SERVER_QUEUE_FACTOR, 1.0);
        let slots = f64::from(self.spec.slots) * fraction * SERVER_QUEUE_FACTOR * speed * ramp;
        let connections = (f64::from(self.spec.connections) * fraction).max(1.0);
        let limit = slots.ceil().clamp(1.0, connections) as u32;
        self.stats.learned_limit().map_or(limit, |learned| limit.min(learned))
    }

    /// Predicts the wait; `draw` is a random number from 0 to 1 and `prior_us` the mean latency of the service.
    pub(crate) fn forecast(&self, slot_fractions: &SlotFractions, prior_us: f64, draw: f64, now: Micros) -> Forecast {
        let stats = &self.stats;
        let fraction = self.tier.fraction(slot_fractions).max(1e-3);
        let slots = f64::from(self.spec.slots.max(1));
        let own = f64::from(stats.in_flight.load(Ordering::Relaxed));
        let latency = stats.latency.expected_us(prior_us, now).max(1.0);

        let report_at = stats.report_at.load(Ordering::Relaxed);
        let report_age = now.saturating_sub(report_at) as f64;
        let freshness = if report_at == 0 {
            0.0
        } else {
            (-report_age / (REPORT_HALF_LIFE_LATENCIES * prior_us)).exp2()
        };
        // A report of low load has little weight if this VM itself measures a high latency.
        let trust = freshness * (prior_us / latency).clamp(0.0, 1.0);
        let reported_others = f64::from(stats.report_others.load(Ordering::Relaxed));
        let guessed_others = own * (1.0 / fraction - 1.0).min(slots);
        let load = own + trust * reported_others + (1.0 - trust) * guessed_others;

        let own_age = now.saturating_sub(stats.latency.at());
        let unhealthy = report_at != 0
            && report_age < UNHEALTHY_REPORT_LIFE_US
            && !stats.report_healthy.load(Ordering::Relaxed)
            && (stats.latency.at() == 0 || own_age > RECENT_OWN_ANSWER_US);
        let spread = MIN_SPREAD + STALE_EXTRA_SPREAD * (1.0 - freshness);
        let busy = (load + 1.0) / slots;
        let wait = latency * (1.0 + busy.min(1.0) / 4.0 + (busy - 1.0).max(0.0));
        Forecast {
            cost_us: wait * (1.0 + ERROR_COST_FACTOR * stats.error_rate()) * (1.0 + spread * (2.0 * draw - 1.0)),
            has_free_slot: !unhealthy && load + 1.0 <= slots.max(1.0),
        }
    }
}
