use std::fmt;

use hdrhistogram::Histogram;
use mh_route::fair::{Demand, max_min};

use crate::arrivals::ORG_FRACTIONS;

/// Results of one run.
pub struct Stats {
    pub latency: Histogram<u64>,
    pub requested: [u64; ORG_FRACTIONS.len()],
    pub served: [u64; ORG_FRACTIONS.len()],
    pub refused: u64,
    pub failed: u64,
    /// Requests sent to the unreachable domain later than 1 s after it became unreachable.
    pub sent_to_unreachable: u64,
}

impl Stats {
    pub fn new() -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are supported"),
            requested: Default::default(),
            served: Default::default(),
            refused: 0,
            failed: 0,
            sent_to_unreachable: 0,
        }
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requested: u64 = self.requested.iter().sum();
        let percent = |n: u64| 100.0 * n as f64 / requested.max(1) as f64;
        let worst = self
            .requested
            .iter()
            .zip(&self.served)
            .map(|(a, s)| *s as f64 / (*a).max(1) as f64);
        let demands = self.requested.map(|a| Demand {
            amount: a as f64,
            weight: 1.0,
        });
        let fair = max_min(self.served.iter().sum::<u64>() as f64, &demands);
        let worst_of_fair = fair.iter().zip(&self.served).map(|(f, s)| *s as f64 / f.max(1.0));
        let ms = |q: f64| self.latency.value_at_quantile(q) as f64 / 1e3;
        write!(
            f,
            "{:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.1} | {:.1} | {}",
            ms(0.5),
            ms(0.99),
            ms(0.999),
            percent(self.refused),
            percent(self.failed),
            100.0 * worst.fold(f64::INFINITY, f64::min),
            100.0 * worst_of_fair.fold(f64::INFINITY, f64::min),
            self.sent_to_unreachable
        )
    }
}
