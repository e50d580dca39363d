//! State of one request.

use crate::reclaim::workload::{Arrival, Kind, TOKENS_PER_EVENT};
use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::time::{Millis, Time};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    NotArrived,
    /// Waits for an engine, or until it may retry after a refusal.
    Waiting {
        retry_at: Time,
    },
    Running {
        host: usize,
    },
    /// Stopped while the rest of its memory is copied to another engine.
    Moving {
        from: usize,
        to: usize,
    },
    Completed {
        at: Time,
    },
    Refused,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    Reclaim,
    Crash,
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: RunId,
    pub(super) phase: Phase,
    /// When placement was first requested, or first since a refusal; zero before that.
    pub(super) first_requested_at: Time,
    pub(super) has_retried: bool,
    pub(super) avoid: Vec<UpstreamName>,
    pub(super) backup: Option<usize>,
    pub(super) written: u32,
    pub(super) moving_to: Option<UpstreamName>,
    pub(super) refused_by: Vec<UpstreamName>,
    /// Loss of the run's engine; `Reclaim` also if the run moved away before.
    pub(super) engine_loss: Option<LossCause>,
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
            phase: Phase::NotArrived,
            first_requested_at: Time(0),
            has_retried: false,
            avoid: Vec::new(),
            backup: None,
            written: 0,
            moving_to: None,
            refused_by: Vec::new(),
            engine_loss: None,
            has_moved: false,
            first_event_at: None,
            last_event_at: Time(0),
            longest_gap: Millis(0),
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Completed { .. } | Phase::Refused | Phase::Lost)
    }

    /// When it requests placement again, if it waits.
    pub(super) fn retry_at(&self) -> Option<Time> {
        match self.phase {
            Phase::Waiting { retry_at } => Some(retry_at),
            _ => None,
        }
    }

    /// Records a token. If it completes the first event after a move, returns the pause that the
    /// caller saw, in milliseconds.
    pub(super) fn record_token(&mut self, now: Time) -> Option<u32> {
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

    /// Whether its first event met the latency objective and no gap between events was longer than
    /// allowed.
    pub(super) fn is_on_time(&self, arrival: &Arrival, kind: &Kind) -> bool {
        let is_first_on_time =
            self.first_event_at.is_some_and(|first| first.since(arrival.at) <= kind.objective);
        is_first_on_time && self.longest_gap <= kind.max_gap
    }
}
