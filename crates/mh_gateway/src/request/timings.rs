use std::time::Duration;

use mh_admin::Metrics;
use mh_types::Code;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// Upper bounds of the buckets of latencies, in milliseconds.
const BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10_000.0, 30_000.0,
];

/// Where requests spend their time, and how they end.
#[derive(Debug)]
pub(crate) struct Timings {
    whole: Histogram<u64>,
    waiting: Histogram<u64>,
    server: Histogram<u64>,
    ends: Counter<u64>,
}

impl Timings {
    /// Instruments of `metrics`.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            whole: metrics.histogram(
                "request_ms",
                "Time from a request's head to its answer's head",
                &BOUNDS_MS,
            ),
            waiting: metrics.histogram(
                "waiting_ms",
                "Time until a request is first sent to a server",
                &BOUNDS_MS,
            ),
            server: metrics.histogram(
                "server_ms",
                "Time from sending a request to its whole answer",
                &BOUNDS_MS,
            ),
            ends: metrics.counter("refusals", "Requests refused or failed, by result code"),
        }
    }

    pub(super) fn on_end(&self, took: Duration) {
        self.whole.record(took.as_millis() as u64, &[]);
    }

    pub(super) fn on_refusal(&self, code: Code) {
        self.ends.add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    pub(super) fn on_sent(&self, waited: Duration) {
        self.waiting.record(waited.as_millis() as u64, &[]);
    }

    pub(super) fn on_answer(&self, took: Duration) {
        self.server.record(took.as_millis() as u64, &[]);
    }
}
