//! The administration API: what operators' tools and a daemon say to each other.

pub mod client;

use magnoliawinch::catalogue::{Change, Offset};
use magnoliawinch::decision::DecisionLine;
use magnoliawinch::ini::Document;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{HostName, ServiceName};
use serde::{Deserialize, Serialize};

/// A service in force, as `GET /services/NAME` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInForce {
    /// Its revision; zero when it was never published.
    pub revision: Offset,
    /// Who published it.
    pub author: String,
    /// Its file.
    pub document: Document,
}

/// The services in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceList {
    /// Names and revisions.
    pub services: Vec<ServiceRevision>,
}

/// A service's revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRevision {
    /// The service.
    pub service: ServiceName,
    /// Its revision.
    pub revision: Offset,
}

/// Publishes a change, as the body of `POST /changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// The change.
    pub change: Change,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Published {
    /// It is accepted.
    Accepted {
        /// Its revision.
        revision: Offset,
    },
    /// It is refused.
    Refused {
        /// Why.
        reason: String,
    },
    /// The log did not confirm it in time; it may still be accepted.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// Where an offset is in force, as `GET /in-force?offset=N` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Hosts that have folded it.
    pub reached: Vec<HostName>,
    /// Hosts that have not, or did not say.
    pub behind: Vec<HostName>,
}

/// A daemon's state, as `GET /status` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// This daemon.
    pub own: Member,
    /// The others.
    pub others: Vec<Member>,
    /// Whether it takes requests.
    pub ready: bool,
    /// The last configuration offset it has folded.
    pub through: Offset,
    /// Requests in progress.
    pub in_progress: u64,
    /// Upstreams whose admission it owns.
    pub upstreams: Vec<UpstreamStatus>,
    /// Processor time of the control thread, in milliseconds.
    pub control_cpu_ms: u64,
}

/// An upstream as its admission owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub upstream: String,
    /// Grants in progress.
    pub running: usize,
    /// Requests that wait.
    pub queued: usize,
    /// Part of its bounds in use.
    pub utilisation: f64,
    /// Whether it leaves.
    pub leaving: bool,
}

/// The decision lines of one request, as `GET /explain/REQUEST` shows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The lines in order.
    pub lines: Vec<DecisionLine>,
}

/// An error of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub message: String,
}
