//! Which runs had just begun on an upstream when it ended, and which have outlived their start.
//!
//! A part of a prompt that ends engines does so within moments after the engine has begun to write
//! an answer on it. A run that has been written for longer is not the cause of an end.

use crate::names::{RunId, UpstreamName};
use crate::prompt_parts::PromptParts;
use crate::time::{Millis, Time};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Time after the start of an answer within which the answer may be the cause of an end.
pub const CRASH_DELAY: Millis = Millis(500);

/// Time in which word of an end reaches all daemons.
const NEWS_DELAY: Millis = Millis(300);

/// Time for which a run whose answer broke off is kept: until another incarnation of its upstream is
/// listed.
const BROKEN_RETENTION: Millis = Millis(8_000);

/// Completed runs for which it is open whether their upstreams outlive them, and broken ones.
const MAX_ENDED: usize = 4_096;

/// A run that may be the cause of its upstream's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRun {
    /// The run.
    pub run: RunId,
    /// PromptParts of its prompt.
    pub parts: PromptParts,
    /// When its answer began; `None` if nothing of it had arrived.
    pub begun_at: Option<Time>,
}

/// A run during which, and for some moments after its start, its upstream has lived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Survivor {
    /// PromptParts of its prompt.
    pub parts: PromptParts,
    /// When its answer began.
    pub begun_at: Time,
}

#[derive(Clone, Debug)]
struct ActiveRun {
    born: u64,
    parts: PromptParts,
    begun_at: Option<Time>,
    has_survived: bool,
}

/// How a run ended for this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    Complete,
    Broken,
}

#[derive(Clone, Debug)]
struct EndedRun {
    run: RunId,
    upstream: UpstreamName,
    active: ActiveRun,
    end: RunEnd,
    at: Time,
}

impl EndedRun {
    /// Whether it is too late for the end of its upstream to be learned.
    fn is_settled(&self, now: Time) -> bool {
        match self.end {
            RunEnd::Complete => {
                let begun_at = self.active.begun_at.unwrap_or(self.at);
                now.since(begun_at).0 >= CRASH_DELAY.0 + NEWS_DELAY.0
            }
            RunEnd::Broken => now.since(self.at) >= BROKEN_RETENTION,
        }
    }
}

/// The runs of one daemon whose prompts have parts that others may share.
#[derive(Clone, Debug, Default)]
pub struct RunStarts {
    active: BTreeMap<(RunId, UpstreamName), ActiveRun>,
    /// In the order of their ends.
    ended: VecDeque<EndedRun>,
    survivors: Vec<Survivor>,
}

impl RunStarts {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run was sent to an upstream, at first or to continue there.
    pub fn sent(&mut self, run: &RunId, upstream: &UpstreamName, born: u64, parts: &PromptParts) {
        if !parts.is_empty() {
            let parts = Arc::clone(parts);
            let active = ActiveRun { born, parts, begun_at: None, has_survived: false };
            self.active.insert((run.clone(), upstream.clone()), active);
        }
    }

    /// Forgets a run that an upstream did not run.
    pub fn not_run(&mut self, run: &RunId, upstream: &UpstreamName) {
        self.active.remove(&(run.clone(), upstream.clone()));
    }

    /// Records that an upstream has begun to answer a run.
    pub fn begun(&mut self, now: Time, run: &RunId, upstream: &UpstreamName) {
        if let Some(active) = self.active.get_mut(&(run.clone(), upstream.clone())) {
            active.begun_at = Some(now);
        }
    }

    /// Records that more of the answer to a run has arrived; returns whether later parts of it need not
    /// be recorded.
    pub fn progressed(&mut self, now: Time, run: &RunId, upstream: &UpstreamName) -> bool {
        let Some(active) = self.active.get_mut(&(run.clone(), upstream.clone())) else {
            return true;
        };
        let Some(begun_at) = active.begun_at.filter(|_| !active.has_survived) else {
            return true;
        };
        if now.since(begun_at) <= CRASH_DELAY {
            return false;
        }
        active.has_survived = true;
        self.survivors.push(Survivor { parts: Arc::clone(&active.parts), begun_at });
        true
    }

    /// Records that the answer to a run is complete.
    pub fn completed(&mut self, now: Time, run: &RunId, upstream: &UpstreamName) {
        self.end(now, run, upstream, RunEnd::Complete);
    }

    /// Records that the answer to a run ended before it was complete.
    pub fn broke(&mut self, now: Time, run: &RunId, upstream: &UpstreamName) {
        self.end(now, run, upstream, RunEnd::Broken);
    }

    /// Records that the caller of a run has left, or has its answer.
    pub fn dropped(&mut self, now: Time, run: &RunId) {
        let first = (run.clone(), UpstreamName::new(""));
        let of_run = self.active.range(first..).take_while(|((other, _), _)| other == run);
        let upstreams: Vec<_> = of_run.map(|((_, upstream), _)| upstream.clone()).collect();
        for upstream in upstreams {
            self.broke(now, run, &upstream);
        }
    }

    fn end(&mut self, now: Time, run: &RunId, upstream: &UpstreamName, end: RunEnd) {
        let active = self.active.remove(&(run.clone(), upstream.clone()));
        let Some(active) = active.filter(|active| !active.has_survived) else {
            return;
        };
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        let (run, upstream) = (run.clone(), upstream.clone());
        self.ended.push_back(EndedRun { run, upstream, active, end, at: now });
    }

    /// Returns and forgets the runs that may be the cause of an upstream's end at `ended_at`: those
    /// whose answers had just begun, and those of which nothing had arrived.
    pub fn take_suspects(
        &mut self,
        ended_at: Time,
        upstream: &UpstreamName,
        born: u64,
    ) -> Vec<SuspectRun> {
        let is_suspect = |on: &UpstreamName, active: &ActiveRun| {
            let begun_at = active.begun_at;
            let is_recent = begun_at.is_none_or(|at| ended_at.since(at) <= CRASH_DELAY);
            on == upstream && active.born == born && is_recent
        };
        let active = self.active.extract_if(.., |(_, on), active| is_suspect(on, active));
        let mut suspects: Vec<_> =
            active.map(|((run, _), active)| SuspectRun::new(run, active)).collect();
        self.ended.retain(|ended| {
            let is_suspect = is_suspect(&ended.upstream, &ended.active);
            if is_suspect {
                suspects.push(SuspectRun::new(ended.run.clone(), ended.active.clone()));
            }
            !is_suspect
        });
        suspects.sort_by(|a, b| a.run.cmp(&b.run));
        suspects
    }

    /// Returns the runs that have outlived their start since the last call; drops old ones.
    pub fn take_survivors(&mut self, now: Time) -> Vec<Survivor> {
        let mut survivors = std::mem::take(&mut self.survivors);
        self.ended.retain(|ended| {
            let is_settled = ended.is_settled(now);
            if is_settled && ended.end == RunEnd::Complete {
                let begun_at = ended.active.begun_at.unwrap_or(ended.at);
                survivors.push(Survivor { parts: Arc::clone(&ended.active.parts), begun_at });
            }
            !is_settled
        });
        survivors
    }
}

impl SuspectRun {
    fn new(run: RunId, active: ActiveRun) -> Self {
        Self { run, parts: active.parts, begun_at: active.begun_at }
    }
}
