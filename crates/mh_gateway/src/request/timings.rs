use std::time::Duration;

use mh_admin::Metrics;
use mh_types::Code;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// Upper bounds of the latency buckets, in milliseconds.
const BUCKET_BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10_000.0, 30_000.0,
];

/// Latency histograms and the counter of refusals.
#[derive(Debug)]
pub(crate) struct Timings {
    request: Histogram<u64>,
    waiting: Histogram<u64>,
    server: Histogram<u64>,
    refusals: Counter<u64>,
}

impl Timings {
    /// Registers the instruments with `metrics`.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            request: metrics.histogram(
                "request_ms",
                "Time from a request's head to its answer's head",
                &BUCKET_BOUNDS_MS,
            ),
            waiting: metrics.histogram(
                "waiting_ms",
                "Time until a request is first sent to a server",
                &BUCKET_BOUNDS_MS,
            ),
            server: metrics.histogram(
                "server_ms",
                "Time from sending a request to its whole answer",
                &BUCKET_BOUNDS_MS,
            ),
            refusals: metrics.counter("refusals", "Requests refused or failed, by result code"),
        }
    }

    pub(super) fn on_request_end(&self, elapsed: Duration) {
        self.request.record(elapsed.as_millis() as u64, &[]);
    }

    pub(super) fn on_refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    pub(super) fn on_sent(&self, elapsed: Duration) {
        self.waiting.record(elapsed.as_millis() as u64, &[]);
    }

    pub(super) fn on_answer(&self, elapsed: Duration) {
        self.server.record(elapsed.as_millis() as u64, &[]);
    }
}
