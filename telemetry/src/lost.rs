//! Finds causes of lost and late requests in daemons' logs.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Maximum number of example IDs per cause.
const MAX_EXAMPLE_IDS: usize = 3;

/// A line of a daemon's log.
#[derive(Clone, Debug, Deserialize)]
pub struct LogLine {
    /// Time of writing.
    pub timestamp: String,
    /// Log message.
    pub message: String,
    /// Key-value pairs.
    #[serde(default)]
    pub kvs: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, ignoring any text before the JSON object. `None` if the line is no log line.
    pub fn parse(line: &str) -> Option<Self> {
        serde_json::from_str(line.get(line.find('{')?..)?).ok()
    }

    /// ID of the request that the line is about, if any.
    pub fn request(&self) -> Option<&str> {
        let id = self.kvs.get("request").or_else(|| self.kvs.get("run"))?;
        id.as_str().filter(|id| !id.is_empty())
    }

    fn text(&self, key: &str) -> &str {
        self.kvs.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    fn number(&self, key: &str) -> u64 {
        self.kvs.get(key).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Why the request was lost or late; `None` if neither is reported.
    fn cause(&self) -> Option<String> {
        match self.message.as_str() {
            "refused" => Some(format!("refused: {}", self.text("refusal"))),
            "answered" if self.number("status") >= 500 => {
                Some(format!("answered {}", self.number("status")))
            }
            "stream ended" => self.stream_cause(),
            _ => None,
        }
    }

    fn stream_cause(&self) -> Option<String> {
        let (objective_ms, first_ms) = (self.number("objective_ms"), self.number("first_ms"));
        let max_pause_ms = self.number("max_pause_ms");
        if self.text("outcome") != "complete" {
            return Some(format!("stream {}", self.text("outcome")));
        }
        if first_ms > objective_ms {
            let was_placed_late = self.number("placed_ms") * 2 > objective_ms;
            let stage =
                if was_placed_late { "waited for placement" } else { "waited at its engine" };
            return Some(format!("late first event: {stage}"));
        }
        if max_pause_ms > 0 && self.number("longest_pause_ms") > max_pause_ms {
            let moved = if self.number("moves") > 0 { "moved" } else { "not moved" };
            return Some(format!("pause between events: {moved}"));
        }
        None
    }
}

/// Requests lost or late for one cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Number of requests.
    pub count: usize,
    /// A few example IDs.
    pub ids: Vec<String>,
}

/// Counts lost and late requests by cause.
pub fn losses<'a>(lines: impl IntoIterator<Item = &'a LogLine>) -> BTreeMap<String, Losses> {
    let mut causes: BTreeMap<String, Losses> = BTreeMap::new();
    for line in lines {
        let Some(cause) = line.cause() else {
            continue;
        };
        let losses = causes.entry(cause).or_default();
        losses.count += 1;
        if losses.ids.len() < MAX_EXAMPLE_IDS {
            losses.ids.extend(line.request().map(str::to_owned));
        }
    }
    causes
}
