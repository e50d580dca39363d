//! Log lines for routing and placement decisions.

use crate::catalogue::Offset;
use crate::names::{HostName, ServiceName, UpstreamName};
use crate::verdict::Verdict;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Log target of decision lines.
pub const LOG_TARGET: &str = "decision";

/// A decision about a request or a placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Display)]
#[serde(tag = "decision", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Candidates were ranked.
    Candidates {
        /// Upstreams with their scores in milliseconds of expected wait, best first.
        ranked: Vec<(UpstreamName, f64)>,
    },
    /// An upstream was chosen.
    Chosen {
        /// The upstream.
        upstream: UpstreamName,
        /// Admission owner, or this daemon when none replied.
        owner: HostName,
        /// Time from the first admission request to the grant.
        waited_ms: u64,
    },
    /// The owner had no free capacity.
    Busy {
        /// The upstream.
        upstream: UpstreamName,
        /// Wait estimated by the owner.
        expected_wait_ms: u64,
    },
    /// The request was refused.
    Refused {
        /// Error code.
        code: String,
        /// Time after which the caller may retry.
        retry_after_ms: Option<u64>,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Whether another attempt follows.
        retried: bool,
        /// Cause of the failure.
        reason: String,
    },
    /// A generation was resumed on a new connection.
    Resumed {
        /// The upstream.
        upstream: UpstreamName,
        /// Index of the next token due.
        next_index: u64,
        /// Why the previous connection closed.
        reason: String,
    },
    /// The claim of an at-most-once call was decided.
    Claimed {
        /// Outcome of the claim.
        answer: String,
    },
    /// An engine was ordered to load a model.
    Ordered {
        /// The engine to load it.
        upstream: UpstreamName,
        /// Model name.
        model: String,
        /// Model version.
        version: String,
        /// Fencing number of the order.
        fencing: Offset,
    },
    /// The request ended.
    Ended {
        /// Tokens delivered, or the HTTP status of a call.
        result: u64,
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

/// A decision, as logged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionLine {
    /// Request ID, or `placement` for a placement decision.
    pub request: String,
    /// The service.
    pub service: ServiceName,
    /// The host that decided.
    pub host: HostName,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

impl DecisionLine {
    /// Logs the line.
    pub fn log(&self) {
        let text = serde_json::to_string(self).unwrap_or_default();
        log::info!(target: LOG_TARGET, request = self.request.as_str(), line = text.as_str(); "{}", self.decision);
    }
}
