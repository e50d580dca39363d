//! One request on its way.

use crate::reclaim::workload::{Arrival, Kind, TOKENS_PER_EVENT};
use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::time::{Millis, Time};

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has not arrived.
    Comes,
    /// It waits for a place, or until it may come back.
    Asks {
        again_at: Time,
    },
    /// It is at an engine.
    Runs {
        host: usize,
    },
    /// It is at none for a moment, its memory on the way from one to another.
    Moves {
        from: usize,
        to: usize,
    },
    Whole {
        at: Time,
    },
    Refused,
    Lost,
}

/// What happened to its engine under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hit {
    Reclaim,
    Crash,
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: RunId,
    pub(super) phase: Phase,
    pub(super) asked_first_at: Time,
    pub(super) came_back: bool,
    pub(super) avoid: Vec<UpstreamName>,
    pub(super) backup: Option<usize>,
    pub(super) written: u32,
    pub(super) moving_to: Option<UpstreamName>,
    pub(super) refused_by: Vec<UpstreamName>,
    pub(super) hit: Option<Hit>,
    /// Whether it has moved since its last event.
    pub(super) has_moved: bool,
    first_event_at: Option<Time>,
    last_event_at: Time,
    longest_gap: Millis,
}

impl Run {
    pub(super) fn new(arrival: &Arrival) -> Self {
        Self {
            id: RunId::from(format!("run-{}-{}", arrival.at.0, arrival.daemon)),
            phase: Phase::Comes,
            asked_first_at: Time(0),
            came_back: false,
            avoid: Vec::new(),
            backup: None,
            written: 0,
            moving_to: None,
            refused_by: Vec::new(),
            hit: None,
            has_moved: false,
            first_event_at: None,
            last_event_at: Time(0),
            longest_gap: Millis(0),
        }
    }

    pub(super) fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Whole { .. } | Phase::Refused | Phase::Lost)
    }

    /// When it asks for a place again, if it waits for one.
    pub(super) fn asks_at(&self) -> Option<Time> {
        match self.phase {
            Phase::Asks { again_at } => Some(again_at),
            _ => None,
        }
    }

    /// Notes one more token; returns the pause at the caller, in milliseconds, when it ends one over
    /// a move.
    pub(super) fn note_token(&mut self, now: Time) -> Option<u32> {
        self.written += 1;
        if !self.written.is_multiple_of(TOKENS_PER_EVENT) {
            return None;
        }
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            self.last_event_at = now;
            return None;
        }
        let gap = now.since(self.last_event_at);
        self.last_event_at = now;
        self.longest_gap = self.longest_gap.max(gap);
        std::mem::take(&mut self.has_moved).then_some(gap.0 as u32)
    }

    /// Whether its first event and all pauses were in time.
    pub(super) fn is_on_time(&self, arrival: &Arrival, kind: &Kind) -> bool {
        let is_first =
            self.first_event_at.is_some_and(|first| first.since(arrival.at) <= kind.objective);
        is_first && self.longest_gap <= kind.max_gap
    }
}
