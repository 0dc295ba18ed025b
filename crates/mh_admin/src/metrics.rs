use std::fmt;
use std::sync::Arc;

use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Metric whose value is read when the metrics are collected.
pub struct Metric {
    /// Name, without the `_total` suffix that the exporter adds to counters.
    pub name: &'static str,
    /// Help text with the meaning and unit.
    pub help: &'static str,
    /// Whether the value never decreases; exported as a counter instead of a gauge.
    pub is_counter: bool,
    /// Reads the value.
    pub read: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl fmt::Debug for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metric")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Metrics of the process, recorded with `opentelemetry` and exported in the Prometheus text format.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // Instruments stop reporting when their provider is dropped.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the registry and registers `metrics`.
    ///
    /// # Errors
    ///
    /// The exporter's error if a name is not valid.
    pub fn new(metrics: Vec<Metric>) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("mangohook");
        for metric in metrics {
            let read = metric.read;
            // The provider owns the instrument, so the returned handle can be dropped.
            if metric.is_counter {
                let counter = meter.u64_observable_counter(metric.name).with_description(metric.help);
                let _ = counter
                    .with_callback(move |observer| observer.observe(read(), &[]))
                    .build();
            } else {
                let gauge = meter.u64_observable_gauge(metric.name).with_description(metric.help);
                let _ = gauge
                    .with_callback(move |observer| observer.observe(read(), &[]))
                    .build();
            }
        }
        Ok(Self {
            registry,
            meter,
            _provider: provider,
        })
    }

    /// Creates a histogram with `bounds` as the upper bounds of its buckets.
    pub fn histogram(&self, name: &'static str, help: &'static str, bounds: &[f64]) -> Histogram<u64> {
        let histogram = self.meter.u64_histogram(name).with_description(help);
        histogram.with_boundaries(bounds.to_vec()).build()
    }

    /// Creates a counter whose values are distinguished by labels.
    pub fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(help).build()
    }

    /// Renders the current values in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        // Encoding into memory fails only for invalid metric names, which the registry rejects at registration.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }
}
