//! Counters, gauges and latency histograms, rendered as text.

use cadence::{Counted, Gauged, MetricSink, StatsdClient, Timed};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Prefix of all metric names.
const PREFIX: &str = "magnoliawinch";

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug)]
enum Value {
    Count(i64),
    Gauge(i64),
    /// Durations, in milliseconds.
    Durations(Box<Histogram<u64>>),
}

/// Metrics by name and tags.
#[derive(Debug, Default)]
struct Registry {
    values: Mutex<BTreeMap<String, Value>>,
}

impl Registry {
    /// Adds a statsd line `name:value|type|#tags`; `None` if malformed or if the metric has another
    /// type.
    fn add(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let mut parts = rest.split('|');
        let number: i64 = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let tags = parts.next().unwrap_or_default().trim_start_matches('#');
        let key = format!("{name}{{{tags}}}");
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => match values.entry(key).or_insert(Value::Count(0)) {
                Value::Count(count) => *count += number,
                Value::Gauge(_) | Value::Durations(_) => return None,
            },
            "g" => match values.entry(key).or_insert(Value::Gauge(0)) {
                Value::Gauge(current) => *current = number,
                Value::Count(_) | Value::Durations(_) => return None,
            },
            _ => {
                let histogram = Histogram::new(SIGNIFICANT_DIGITS).ok()?;
                match values.entry(key).or_insert_with(|| Value::Durations(Box::new(histogram))) {
                    Value::Durations(times) => times.saturating_record(number.max(0) as u64),
                    Value::Count(_) | Value::Gauge(_) => return None,
                }
            }
        }
        Some(())
    }

    fn text(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (key, value) in values.iter() {
            match value {
                Value::Count(count) | Value::Gauge(count) => {
                    let _ = writeln!(text, "{key} {count}");
                }
                Value::Durations(times) => {
                    let _ = writeln!(text, "{key} count {}", times.len());
                    for quantile in QUANTILES {
                        let ms = times.value_at_quantile(quantile);
                        let _ = writeln!(text, "{key} quantile {quantile} {ms} ms");
                    }
                }
            }
        }
        text
    }
}

#[derive(Debug)]
struct RegistrySink(Arc<Registry>);

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        metric.lines().for_each(|line| {
            if self.0.add(line).is_none() {
                log::warn!(line; "ignoring a malformed metric");
            }
        });
        Ok(metric.len())
    }
}

/// Metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    registry: Arc<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates an empty set of metrics.
    pub fn new() -> Self {
        let registry = Arc::<Registry>::default();
        let client = StatsdClient::from_sink(PREFIX, RegistrySink(Arc::clone(&registry)));
        Self { client, registry }
    }

    /// Adds one to counter `name` with `tag`.
    pub fn count(&self, name: &str, tag: &str) {
        self.client.count_with_tags(name, 1).with_tag_value(tag).send();
    }

    /// Adds `amount` to counter `name` with `tag`.
    pub fn add(&self, name: &str, tag: &str, amount: usize) {
        if amount > 0 {
            self.client.count_with_tags(name, amount as i64).with_tag_value(tag).send();
        }
    }

    /// Sets gauge `name` with `tag`.
    pub fn set(&self, name: &str, tag: &str, value: u64) {
        self.client.gauge_with_tags(name, value).with_tag_value(tag).send();
    }

    /// Records a duration in histogram `name` with `tag`.
    pub fn time(&self, name: &str, tag: &str, duration: Duration) {
        self.client.time_with_tags(name, duration).with_tag_value(tag).send();
    }

    /// All metrics as text: one line per counter or gauge, several per histogram.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
