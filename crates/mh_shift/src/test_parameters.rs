use crate::Guard;
use crate::scores::{ERROR_TESTS, TESTS};

/// Error probabilities assumed for a faulty version, in addition to the limit of the guard.
const FAULT_ERROR_RATES: [f64; ERROR_TESTS - 1] = [0.2, 0.7];
/// Probabilities assumed for a request of a faulty version to exceed the latency threshold, which is the median latency
/// of a version at the limit.
const FAULT_SLOW_RATES: [f64; TESTS - ERROR_TESTS] = [0.5, 0.9];
/// Fraction of the allowed error excess that is always tolerated.
const TOLERATED_EXCESS_FRACTION: f64 = 0.25;
/// Fraction of slow requests that is always tolerated.
const TOLERATED_SLOW_FRACTION: f64 = 0.15;

/// Parameters of the tests: assumed failure rates of a faulty version, and evidence of one result against the tolerated
/// rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestParameters {
    /// Failure probabilities of a faulty version when the old version never fails.
    pub(crate) fault_rates: [f64; TESTS],
    /// Evidence, in nats, of one failure against the tolerated rate.
    pub(crate) failure_nats: [f64; TESTS],
    /// Evidence, in nats, of one success against the tolerated rate; negative.
    pub(crate) success_nats: [f64; TESTS],
}

impl TestParameters {
    pub(crate) fn new(guard: &Guard) -> Self {
        let excess = guard.max_error_excess.as_f64().min(0.95);
        let fault_rates = [
            excess,
            FAULT_ERROR_RATES[0].max(excess),
            FAULT_ERROR_RATES[1].max(excess),
            FAULT_SLOW_RATES[0],
            FAULT_SLOW_RATES[1],
        ];
        let tolerated_errors = excess * TOLERATED_EXCESS_FRACTION;
        let tolerated = [
            tolerated_errors,
            tolerated_errors,
            tolerated_errors,
            TOLERATED_SLOW_FRACTION,
            TOLERATED_SLOW_FRACTION,
        ];
        Self {
            fault_rates,
            failure_nats: std::array::from_fn(|t| (fault_rates[t] / tolerated[t]).ln()),
            success_nats: std::array::from_fn(|t| ((1.0 - fault_rates[t]) / (1.0 - tolerated[t])).ln()),
        }
    }
}
