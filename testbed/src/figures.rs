//! Latency figures.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Largest latency that is told apart, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// Digits that are kept.
const DIGITS: u8 = 3;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// A histogram of times.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self::new()
    }
}

impl Latencies {
    /// An empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS);
        Self { histogram: histogram.expect("the bounds are valid") }
    }

    /// Adds a time.
    pub fn add(&mut self, span: Duration) {
        self.histogram.saturating_record(span.as_micros() as u64);
    }

    /// Adds times.
    pub fn extend(&mut self, spans: &[Duration]) {
        spans.iter().for_each(|span| self.add(*span));
    }

    /// Adds another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.histogram += &other.histogram;
    }

    /// The time below which a part `p` of all lies, in milliseconds.
    pub fn quantile_ms(&self, p: f64) -> f64 {
        self.histogram.value_at_quantile(p) as f64 / MICROS_PER_MILLI
    }

    /// The mean, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.histogram.mean() / MICROS_PER_MILLI
    }

    /// The number of times.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }
}

/// How long an answer stood still: the time between tokens beyond `target`, summed.
pub fn stall(between: &[Duration], target: Duration) -> Duration {
    between.iter().map(|span| span.saturating_sub(target)).sum()
}
