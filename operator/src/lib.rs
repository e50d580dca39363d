//! The administration API of daemons, for operators' tools, and a client.

pub mod client;

use magnoliawinch::catalogue::{Change, Offset};
use magnoliawinch::decision::DecisionLine;
use magnoliawinch::ini::Document;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{HostName, ServiceName};
use serde::{Deserialize, Serialize};

/// A service in force; response to `GET /services/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInForce {
    /// Revision of the service; zero if it was never published.
    pub revision: Offset,
    /// Publisher of the revision.
    pub author: String,
    /// The service file.
    pub document: Document,
}

/// The services in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceList {
    /// Names and revisions of the services.
    pub services: Vec<ServiceRevision>,
}

/// A service and its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRevision {
    /// The service.
    pub service: ServiceName,
    /// Revision of the service.
    pub revision: Offset,
}

/// Body of `POST /changes`, which publishes a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// The change.
    pub change: Change,
}

/// Outcome of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Published {
    /// The change was accepted.
    Accepted {
        /// New revision of the service.
        revision: Offset,
    },
    /// The change was refused.
    Refused {
        /// Human-readable reason.
        reason: String,
    },
    /// The log did not confirm the change in time; it may still be accepted.
    Unknown {
        /// Human-readable reason.
        reason: String,
    },
}

/// Hosts with a configuration offset in force; response to `GET /in-force?offset=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Hosts that have applied the offset.
    pub reached: Vec<HostName>,
    /// Hosts that have not, or did not respond.
    pub behind: Vec<HostName>,
}

/// A daemon's state; response to `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// This daemon.
    pub own: Member,
    /// Other members it knows.
    pub others: Vec<Member>,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Last configuration offset applied.
    pub through: Offset,
    /// Number of requests in progress.
    pub in_progress: u64,
    /// Upstreams whose admission owner it is.
    pub upstreams: Vec<UpstreamStatus>,
    /// Processor time of the control thread, in milliseconds.
    pub control_cpu_ms: u64,
}

/// An upstream as its admission owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Upstream name.
    pub upstream: String,
    /// Number of active grants.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Fraction of its bounds in use; can exceed 1.
    pub utilisation: f64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Logged decisions about a request; response to `GET /explain/REQUEST`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Decision lines, in order.
    pub lines: Vec<DecisionLine>,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error message.
    pub message: String,
}
