use std::fmt;
use std::sync::Arc;

use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// One value that is read when metrics are collected.
pub struct Metric {
    /// Name, without the prefix of the exporter.
    pub name: &'static str,
    /// Meaning and unit.
    pub help: &'static str,
    /// Whether the value only rises.
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

/// The process's metrics, by `opentelemetry`, in the Prometheus text format.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // Instruments stop reporting when their provider is dropped.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers `metrics`.
    ///
    /// # Errors
    ///
    /// The exporter's error when a name is not valid.
    pub fn new(metrics: Vec<Metric>) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("mangohook");
        for metric in metrics {
            let read = metric.read;
            // The instrument lives in the provider; the handle is not needed.
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

    /// A histogram with these upper bounds of its buckets.
    pub fn histogram(&self, name: &'static str, help: &'static str, bounds: &[f64]) -> Histogram<u64> {
        let histogram = self.meter.u64_histogram(name).with_description(help);
        histogram.with_boundaries(bounds.to_vec()).build()
    }

    /// A counter whose values are told apart by labels.
    pub fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(help).build()
    }

    /// The current values.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        // Encoding into memory fails only for invalid metric names, which the registry has refused before.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }
}
