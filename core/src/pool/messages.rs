//! Requests and reports to a pool, and its replies.

use crate::names::{FailureDomain, HostName, KindName, OrganisationName, RunId, UpstreamName};
use crate::quarantine::Fingerprint;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};

/// Prefill speed of an engine that also decodes: half of the figure in the users' data sheets, as
/// each step of about 8 ms carries a prefill chunk that takes as long again.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Time from the end of prefill to the caller's first event: four tokens and the way back.
const FIRST_EVENT_MS: f64 = 100.0;

/// A run's request for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The run.
    pub run: RunId,
    /// Daemon that holds its caller's connection.
    pub holder: HostName,
    /// Failure domain of that daemon, whose engines are preferred.
    pub holder_domain: FailureDomain,
    /// Request kind of the run.
    pub kind: KindName,
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Maximum answer length, in tokens.
    pub max_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When its first event must reach the caller to be on time.
    pub first_event_deadline: Time,
    /// When it is refused if still waiting.
    pub patience_until: Time,
    /// Engines that refused it, or want no requests of its holder, and must not be chosen.
    pub avoid: Vec<UpstreamName>,
    /// Longest pause between events for which it is on time.
    pub max_pause: Option<Millis>,
    /// What all attempts of its caller share; `None` if its holder does not send it.
    pub fingerprint: Option<Fingerprint>,
}

impl PlacementRequest {
    /// Time to prefill the prompt at an engine of the usual speed.
    pub(super) fn prefill_ms(&self) -> f64 {
        f64::from(self.prompt_tokens) / PREFILL_TOKENS_PER_MS
    }

    /// Time to the first event at an engine without a prefill backlog, in milliseconds.
    pub(super) fn first_event_ms(&self) -> f64 {
        self.prefill_ms() + FIRST_EVENT_MS
    }

    /// Whether its first event meets the deadline at an engine that has a prefill backlog of `wait_ms`
    /// and takes `prefill_ms` for the prompt.
    pub(super) fn is_on_time_after(&self, now: Time, wait_ms: f64, prefill_ms: f64) -> bool {
        let first_event = now.0 as f64 + wait_ms + prefill_ms + FIRST_EVENT_MS;
        first_event <= self.first_event_deadline.0 as f64
    }

    /// Whether it can still meet its deadline at an engine without a prefill backlog.
    pub(super) fn can_be_on_time(&self, now: Time) -> bool {
        self.is_on_time_after(now, 0.0, self.prefill_ms())
    }
}

/// Engines assigned to a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Engine that runs it.
    pub engine: UpstreamName,
    /// Engine that keeps a copy of its memory, if any.
    pub backup: Option<UpstreamName>,
    /// Slowdown of the engine's machine up to which the prompt makes no stream there late, in hundredths
    /// of the usual time. The holder checks the machine before it sends the request; `None` if no stream
    /// is at risk.
    pub max_slowdown_percent: Option<u32>,
}

impl Placement {
    /// A run at `engine` without a backup.
    pub fn new(engine: UpstreamName) -> Self {
        Self { engine, backup: None, max_slowdown_percent: None }
    }
}

/// Immediate reply to a placement request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// The run starts.
    Placed(Placement),
    /// The run waits; an [`Event`] reports the outcome.
    Queued,
    /// The run does not start; the caller may retry after this time.
    Refused(Millis),
    /// The run does not start: the request avoids all engines that may get new runs.
    AllAvoided,
}

/// Outcome of a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The run starts.
    Placed(RunId, Placement),
    /// The run does not start; the caller may retry after this time.
    Refused(RunId, Millis),
}

/// A run as reported by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunState {
    /// The run.
    pub run: RunId,
    /// Request kind of the run.
    pub kind: KindName,
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Engine that runs it.
    pub engine: UpstreamName,
    /// Engine that keeps a copy of its memory, if any.
    pub backup: Option<UpstreamName>,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Answer tokens written so far.
    pub written: u32,
    /// Maximum answer length, in tokens.
    pub max_tokens: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Target of the move in progress, if any.
    pub moving_to: Option<UpstreamName>,
    /// Whether its memory has arrived there, so that the links are free.
    pub is_copied: bool,
    /// Engines that refused it since it was ordered to move.
    pub refused: Vec<UpstreamName>,
    /// Longest pause between events for which it is on time.
    pub max_pause: Option<Millis>,
}

/// How long work takes on an engine's machine, as a response of the engine stated it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSlowdown {
    /// The engine.
    pub engine: UpstreamName,
    /// Hundredths of the usual time.
    pub percent: u32,
    /// Time since the response.
    pub age: Millis,
}

/// A run that completed on its own, to learn its answer length.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Request kind of the run.
    pub kind: KindName,
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Answer length, in tokens.
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
    /// The newest figures of the engines that have responded to the daemon since the last report.
    pub slowdowns: &'a [EngineSlowdown],
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
    /// Memory of placed runs without backup copies, in tokens.
    pub tokens: u64,
    /// Prompts of queued runs, in tokens.
    pub waiting_tokens: u64,
    /// Memory of all engines that may get new runs, in tokens.
    pub memory_tokens: u64,
}

/// An engine's use by other daemons' runs, as the owner reports it to one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUse {
    /// The engine.
    pub engine: UpstreamName,
    /// Runs held by daemons other than the receiver.
    pub running: u32,
    /// Memory of their runs and backup copies there, in tokens.
    pub tokens: u64,
}
