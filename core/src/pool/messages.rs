//! Requests and reports to a pool, and its replies.

use crate::names::{FailureDomain, HostName, KindName, OrganisationName, RunId, UpstreamName};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};

/// Prefill speed of an engine that also decodes, in tokens per millisecond: half of the figure in
/// the users' data sheets, as each step of about 8 ms carries a prefill chunk that takes as long
/// again.
const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Time from the end of prefill until the caller has the first event, in milliseconds: four tokens
/// and the way back to the caller.
const FIRST_EVENT_MS: f64 = 100.0;

/// A run's request for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The run.
    pub run: RunId,
    /// The daemon that holds its caller's connection.
    pub holder: HostName,
    /// The failure domain of that daemon; its engines are preferred.
    pub holder_domain: FailureDomain,
    /// Its kind.
    pub kind: KindName,
    /// Its organisation.
    pub organisation: OrganisationName,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When its first event must reach the caller to be on time.
    pub first_event_deadline: Time,
    /// When it stops waiting and is refused.
    pub patience_until: Time,
    /// Engines that refused it and must not be chosen.
    pub avoid: Vec<UpstreamName>,
}

impl PlacementRequest {
    /// Expected time to prefill its prompt, in milliseconds.
    pub(super) fn prefill_ms(&self) -> f64 {
        f64::from(self.prompt_tokens) / PREFILL_TOKENS_PER_MS
    }

    /// Whether its first event meets the deadline at an engine with a prefill backlog of `wait_ms`.
    pub(super) fn is_on_time_after(&self, now: Time, wait_ms: f64) -> bool {
        let first_event = now.0 as f64 + wait_ms + self.prefill_ms() + FIRST_EVENT_MS;
        first_event <= self.first_event_deadline.0 as f64
    }

    /// Whether it can still meet its deadline at an engine without a prefill backlog.
    pub(super) fn can_be_on_time(&self, now: Time) -> bool {
        self.is_on_time_after(now, 0.0)
    }
}

/// The engines assigned to a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The engine that runs it.
    pub engine: UpstreamName,
    /// The engine that keeps a copy of its memory, if any.
    pub backup: Option<UpstreamName>,
}

/// The immediate reply to a placement request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// The run starts.
    Placed(Placement),
    /// The run waits; an [`Event`] reports the outcome.
    Queued,
    /// The run does not start; the caller may retry after this time.
    Refused(Millis),
}

/// The outcome of a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The run starts.
    Placed(RunId, Placement),
    /// The run does not start; the caller may retry after this time.
    Refused(RunId, Millis),
}

/// A run as its holder reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunState {
    /// The run.
    pub run: RunId,
    /// Its kind.
    pub kind: KindName,
    /// Its organisation.
    pub organisation: OrganisationName,
    /// The engine that runs it.
    pub engine: UpstreamName,
    /// The engine that keeps a copy of its memory, if any.
    pub backup: Option<UpstreamName>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens of the answer written so far.
    pub written: u32,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The engine that it is moving to, while a move is in progress.
    pub moving_to: Option<UpstreamName>,
    /// Engines that refused it since it was ordered to move.
    pub refused: Vec<UpstreamName>,
}

/// A run that completed on its own, so that its answer length can be learned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Its kind.
    pub kind: KindName,
    /// Its organisation.
    pub organisation: OrganisationName,
    /// Length of its answer, in tokens.
    pub written: u32,
}

/// A daemon's report of its runs in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report<'a> {
    /// Every run that the daemon holds; the pool drops others of the same holder.
    pub runs: &'a [RunState],
    /// Runs that completed on their own since the last report.
    pub ended: &'a [EndedRun],
    /// Runs that the daemon has stopped holding since the last report.
    pub released: &'a [RunId],
}

/// Engines, runs and memory use of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occupancy {
    /// Engines that may get new runs.
    pub engines: usize,
    /// Placed runs.
    pub running: usize,
    /// Queued runs.
    pub waiting: usize,
    /// Memory of the placed runs without backup copies, in tokens.
    pub tokens: u64,
    /// Prompts of the queued runs, in tokens.
    pub waiting_tokens: u64,
    /// Total memory of the engines that may get new runs, in tokens.
    pub memory_tokens: u64,
}

/// Use of an engine by other daemons' runs, as the owner reports it to one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUse {
    /// The engine.
    pub engine: UpstreamName,
    /// Runs held by daemons other than the receiver.
    pub running: u32,
    /// Memory of their runs and backup copies there, in tokens.
    pub tokens: u64,
}
