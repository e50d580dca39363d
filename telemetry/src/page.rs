//! Counters and latency histograms, served as text.

use cadence::{Counted, MetricSink, StatsdClient, Timed};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Prefix of every metric.
const PREFIX: &str = "magnoliawinch";

/// Significant digits of the histograms.
const DIGITS: u8 = 2;

/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug)]
enum Value {
    Count(i64),
    Times(Box<Histogram<u64>>),
}

/// Folds metrics as they are sent.
#[derive(Debug, Default)]
struct Page {
    values: Mutex<BTreeMap<String, Value>>,
}

impl Page {
    /// Folds a line `name:value|type|#tags`.
    fn fold(&self, line: &str) -> Option<()> {
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
                Value::Times(_) => return None,
            },
            _ => {
                let histogram = Histogram::new(DIGITS).ok()?;
                match values.entry(key).or_insert_with(|| Value::Times(Box::new(histogram))) {
                    Value::Times(times) => times.saturating_record(number.max(0) as u64),
                    Value::Count(_) => return None,
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
                Value::Count(count) => {
                    let _ = writeln!(text, "{key} {count}");
                }
                Value::Times(times) => {
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
struct PageSink(Arc<Page>);

impl MetricSink for PageSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        metric.lines().for_each(|line| {
            if self.0.fold(line).is_none() {
                log::warn!(line; "a metric cannot be read");
            }
        });
        Ok(metric.len())
    }
}

/// The metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    page: Arc<Page>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// No metric yet.
    pub fn new() -> Self {
        let page = Arc::<Page>::default();
        let client = StatsdClient::from_sink(PREFIX, PageSink(Arc::clone(&page)));
        Self { client, page }
    }

    /// Counts one event `name` of a kind `tag`.
    pub fn count(&self, name: &str, tag: &str) {
        self.client.count_with_tags(name, 1).with_tag_value(tag).send();
    }

    /// Records a time `name` of a kind `tag`.
    pub fn time(&self, name: &str, tag: &str, span: Duration) {
        self.client.time_with_tags(name, span).with_tag_value(tag).send();
    }

    /// All metrics as text, a line each.
    pub fn text(&self) -> String {
        self.page.text()
    }
}
