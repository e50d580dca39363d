//! What a pool is asked and told, and what it answers.

use crate::names::{FailureDomain, HostName, KindName, OrganisationName, RunId, UpstreamName};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};

/// Tokens of a prompt that an engine reads in a millisecond while it also writes: half of what the
/// users' sheets say, as each step of about 8 ms carries a chunk that takes as long again.
const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Time from the end of a prompt to the first event at its caller, in milliseconds: four tokens and
/// the way back.
const FIRST_EVENT_MS: f64 = 100.0;

/// What a run asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The run.
    pub run: RunId,
    /// The daemon that holds its caller's connection.
    pub holder: HostName,
    /// Where that daemon stands.
    pub holder_domain: FailureDomain,
    /// Its kind.
    pub kind: KindName,
    /// Its organisation.
    pub organisation: OrganisationName,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// 0 goes first.
    pub priority: u8,
    /// When its first event must be there to be on time.
    pub first_event_deadline: Time,
    /// When it stops waiting.
    pub patience_until: Time,
    /// Engines that refused it.
    pub avoid: Vec<UpstreamName>,
}

impl PlacementRequest {
    /// Time for reading its prompt, in milliseconds.
    pub(super) fn prefill_ms(&self) -> f64 {
        f64::from(self.prompt_tokens) / PREFILL_TOKENS_PER_MS
    }

    /// Whether it is on time at an engine that reads other prompts for `wait_ms` before its own.
    pub(super) fn is_on_time_after(&self, now: Time, wait_ms: f64) -> bool {
        let first_event = now.0 as f64 + wait_ms + self.prefill_ms() + FIRST_EVENT_MS;
        first_event <= self.first_event_deadline.0 as f64
    }

    /// Whether it can still be on time.
    pub(super) fn can_be_on_time(&self, now: Time) -> bool {
        self.is_on_time_after(now, 0.0)
    }
}

/// Where a run goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Its engine.
    pub engine: UpstreamName,
    /// The engine that keeps a copy of its memory.
    pub backup: Option<UpstreamName>,
}

/// What a run is told at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// It starts there.
    Placed(Placement),
    /// It waits; an `Event` says how that ends.
    Queued,
    /// It does not run, and may come back after this time.
    Refused(Millis),
}

/// How a wait ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It starts there.
    Placed(RunId, Placement),
    /// It does not run, and may come back after this time.
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
    /// Its engine.
    pub engine: UpstreamName,
    /// The engine that keeps a copy of its memory.
    pub backup: Option<UpstreamName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer so far.
    pub written: u32,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// 0 goes first.
    pub priority: u8,
    /// The engine to which it is being moved.
    pub moving_to: Option<UpstreamName>,
    /// Engines that refused it since it was to move.
    pub refused: Vec<UpstreamName>,
}

/// A run that ended by itself, whose length may be learned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Its kind.
    pub kind: KindName,
    /// Its organisation.
    pub organisation: OrganisationName,
    /// Tokens of its answer.
    pub written: u32,
}

/// What a daemon reports of its runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report<'a> {
    /// All that it holds.
    pub runs: &'a [RunState],
    /// Those that ended by themselves since its last report.
    pub ended: &'a [EndedRun],
    /// Those that it does not hold any more since then.
    pub released: &'a [RunId],
}

/// How full a pool is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occupancy {
    /// Engines that get work.
    pub engines: usize,
    /// Runs that have a place.
    pub running: usize,
    /// Runs that wait.
    pub waiting: usize,
    /// Memory of the runs, without copies, in tokens.
    pub tokens: u64,
    /// Prompts of those that wait, in tokens.
    pub waiting_tokens: u64,
    /// Memory of the engines that get work, in tokens.
    pub memory_tokens: u64,
}

/// What runs at an engine, as the owner tells other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUse {
    /// The engine.
    pub engine: UpstreamName,
    /// Runs of other daemons than the one that is told.
    pub running: u32,
    /// Their memory and copies, in tokens.
    pub tokens: u64,
}
