//! The log line of each routing or placement decision.

use crate::catalogue::Offset;
use crate::names::{HostName, ServiceName, UpstreamName};
use crate::verdict::Verdict;
use serde::{Deserialize, Serialize};
use strum::Display;

/// The target under which decision lines are logged.
pub const LOG_TARGET: &str = "decision";

/// What was decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Display)]
#[serde(tag = "decision", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Candidates were ranked.
    Candidates {
        /// Upstreams with their scores in milliseconds, best first.
        ranked: Vec<(UpstreamName, f64)>,
    },
    /// An upstream was chosen.
    Chosen {
        /// The upstream.
        upstream: UpstreamName,
        /// Its admission owner; this daemon itself when no owner answered.
        owner: HostName,
        /// Time from the first question to the grant.
        waited_ms: u64,
    },
    /// The owner had no room.
    Busy {
        /// The upstream.
        upstream: UpstreamName,
        /// The wait it named.
        expected_wait_ms: u64,
    },
    /// The request was refused.
    Refused {
        /// The error's code.
        code: String,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The upstream.
        upstream: UpstreamName,
        /// What is known.
        verdict: Verdict,
        /// Whether another attempt follows.
        retried: bool,
        /// Why.
        reason: String,
    },
    /// A generation was resumed on a new connection.
    Resumed {
        /// The upstream.
        upstream: UpstreamName,
        /// The token due next.
        next_index: u64,
        /// Why.
        reason: String,
    },
    /// The claim of a call that must run at most once was decided.
    Claimed {
        /// The answer.
        answer: String,
    },
    /// An engine was ordered to load a model.
    Ordered {
        /// The engine.
        upstream: UpstreamName,
        /// The model.
        model: String,
        /// Its version.
        version: String,
        /// The fencing number of the order.
        fencing: Offset,
    },
    /// The request ended.
    Ended {
        /// Tokens handed on, or the status of a call.
        result: u64,
        /// What is known.
        verdict: Verdict,
    },
}

/// A decision about one request, as logged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionLine {
    /// The request.
    pub request: String,
    /// The service.
    pub service: ServiceName,
    /// The host that decided.
    pub host: HostName,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
}

impl DecisionLine {
    /// Writes the line to the log.
    pub fn log(&self) {
        let text = serde_json::to_string(self).unwrap_or_default();
        log::info!(target: LOG_TARGET, request = self.request.as_str(), line = text.as_str(); "{}", self.decision);
    }
}
