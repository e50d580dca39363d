//! Finds out from the daemons' logs how requests were lost or late.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Ids that are shown for one cause.
const IDS_SHOWN: usize = 3;

/// One line of a daemon's log.
#[derive(Clone, Debug, Deserialize)]
pub struct LogLine {
    /// When it was written.
    pub timestamp: String,
    /// What it says.
    pub message: String,
    /// Its fields.
    #[serde(default)]
    pub kvs: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; whatever stands before its JSON is passed over. `None` for other lines.
    pub fn parse(line: &str) -> Option<Self> {
        serde_json::from_str(line.get(line.find('{')?..)?).ok()
    }

    /// The request that it is about.
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

    /// How this line says that its request was lost or late.
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
        let (objective, first) = (self.number("objective_ms"), self.number("first_ms"));
        let max_pause = self.number("max_pause_ms");
        if self.text("outcome") != "complete" {
            return Some(format!("stream {}", self.text("outcome")));
        }
        if first > objective {
            let is_queued = self.number("placed_ms") * 2 > objective;
            let place = if is_queued { "waited for a place" } else { "waited at its engine" };
            return Some(format!("late first event: {place}"));
        }
        if max_pause > 0 && self.number("longest_pause_ms") > max_pause {
            let how = if self.number("moves") > 0 { "moved" } else { "not moved" };
            return Some(format!("pause between events: {how}"));
        }
        None
    }
}

/// Requests lost or late for one cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// How many.
    pub count: usize,
    /// A few of them.
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
        if losses.ids.len() < IDS_SHOWN {
            losses.ids.extend(line.request().map(str::to_owned));
        }
    }
    causes
}
