//! How ordered moves end, from the reports of their holders.

use super::MoveMethod;
use crate::names::{RunId, UpstreamName};
use crate::pool::{Run, RunState};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use strum::Display;

/// Time for which a move that another owner ordered is taken to use the links of both engines.
const ADOPTED_LINK_TIME: Millis = Millis(500);

/// How long an engine that refused a run is not tried again for it.
pub(super) const REFUSAL_LIFETIME: Millis = Millis(400);

/// Time for a move order to reach its holder and show in a report.
const MOVE_REPORT_GRACE: Millis = Millis(100);

/// Pause after the second move of a run that failed without a refusal; doubles with each further one.
const RETRY_PAUSE: Millis = Millis(100);

const MAX_RETRY_PAUSE: Millis = Millis(400);

/// Time after which a move counts as failed although its holder reports it: the timeouts of its two
/// copies.
const MAX_MOVE_TIME: Millis = Millis(5_000);

/// Why a move ended without its run at the new engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MoveFailure {
    /// The new engine refused the run.
    Refused,
    /// The engine that runs it did not make the copy.
    RefusedBySource,
    /// Its holder reports no move: the order was lost, or the move failed without a refusal.
    NotInProgress,
    /// Its holder reported it as in progress for longer than two copies may take.
    Expired,
}

/// A move that ended without its run at the new engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedMove {
    /// The run.
    pub run: RunId,
    /// Engine that still runs it.
    pub from: UpstreamName,
    /// Engine that was to continue it.
    pub to: UpstreamName,
    /// How its memory was to get there.
    pub way: MoveMethod,
    /// Why it ended.
    pub cause: MoveFailure,
    /// Time from the order to the report of its end.
    pub after: Millis,
}

/// Failed moves kept until they are taken; later ones are only counted.
const MAX_FAILED_MOVES_KEPT: usize = 8;

/// Failed moves since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct FailedMoves {
    /// The first few.
    pub moves: Vec<FailedMove>,
    /// Number of others.
    pub omitted: usize,
}

impl FailedMoves {
    pub(in crate::pool) fn push(&mut self, failed: FailedMove) {
        match self.moves.len() < MAX_FAILED_MOVES_KEPT {
            true => self.moves.push(failed),
            false => self.omitted += 1,
        }
    }
}

/// Moves of a run that failed without a refusal: its holder did not get the order, or the run has not
/// begun to write.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::pool) struct Retries {
    pub(super) failures: u32,
    /// When a copy may be ordered again.
    at: Time,
}

impl Retries {
    fn note_failure(&mut self, now: Time) {
        self.failures += 1;
        let pause = match self.failures {
            1 => Millis(0),
            n => Millis(RETRY_PAUSE.0 << (n - 2).min(16)).min(MAX_RETRY_PAUSE),
        };
        self.at = now + pause;
    }
}

/// A move that was ordered and has not ended.
#[derive(Clone, Debug)]
pub(in crate::pool) struct PendingMove {
    pub(in crate::pool) to: UpstreamName,
    way: MoveMethod,
    at: Time,
    /// Until when its copy is taken to use the links of both engines, unless it has ended before.
    link_until: Time,
    /// Whether the run's memory is at the target.
    is_copied: bool,
}

impl PendingMove {
    pub(in crate::pool) fn new(
        now: Time,
        to: UpstreamName,
        way: MoveMethod,
        link_until: Time,
    ) -> Self {
        Self { to, way, at: now, link_until, is_copied: false }
    }

    /// Whether its copy uses the links of both engines.
    pub(super) fn uses_links(&self, now: Time) -> bool {
        self.way == MoveMethod::Copy && !self.is_copied && now < self.link_until
    }
}

/// Engines that refused to take over a run, or to copy it from themselves.
#[derive(Clone, Debug, Default)]
pub(in crate::pool) struct Refusals {
    /// As the run's holder last reported them.
    reported: Vec<UpstreamName>,
    /// Those of the last moment, with the time at which they became known.
    recent: Vec<(UpstreamName, Time)>,
}

impl Refusals {
    /// Applies a holder's list; returns the engines that it did not contain before.
    fn update(&mut self, now: Time, refused: &[UpstreamName]) -> Vec<UpstreamName> {
        let is_new = |name: &&UpstreamName| !self.reported.contains(name);
        let new: Vec<_> = refused.iter().filter(is_new).cloned().collect();
        self.reported = refused.to_vec();
        self.recent.retain(|(_, at)| now.since(*at) < REFUSAL_LIFETIME);
        new.iter().for_each(|name| self.renew(now, name));
        new
    }

    fn renew(&mut self, now: Time, engine: &UpstreamName) {
        self.recent.retain(|(name, _)| name != engine);
        self.recent.push((engine.clone(), now));
    }

    fn contains(&self, now: Time, engine: &UpstreamName) -> bool {
        let is_recent = |at: Time| now.since(at) < REFUSAL_LIFETIME;
        self.recent.iter().any(|(name, at)| name == engine && is_recent(*at))
    }
}

impl Run {
    /// Applies the state of the run's move as its holder reports it; returns the move if it failed.
    pub(in crate::pool) fn update_move(
        &mut self,
        now: Time,
        state: &RunState,
    ) -> Option<FailedMove> {
        let new_refusals = self.refusals.update(now, &state.refused);
        if self.expired_move != state.moving_to {
            self.expired_move = None;
        }
        let reported = state.moving_to.as_ref().filter(|_| self.expired_move.is_none());
        let failure = self.pending_move.as_ref().and_then(|pending| {
            let after = now.since(pending.at);
            // A backup is dropped as soon as its use fails, and no later order can use it.
            let is_backup_lost = pending.way == MoveMethod::Backup
                && state.moving_to.is_none()
                && state.backup.as_ref() != Some(&pending.to);
            let is_in_progress =
                !is_backup_lost && (after < MOVE_REPORT_GRACE || reported == Some(&pending.to));
            // An older refusal by the same engine may be in the report.
            let is_refused = new_refusals.contains(&pending.to);
            if is_refused || !is_in_progress && state.refused.contains(&pending.to) {
                Some(MoveFailure::Refused)
            } else if new_refusals.contains(&self.engine)
                || !is_in_progress && state.refused.contains(&self.engine)
            {
                Some(MoveFailure::RefusedBySource)
            } else if !is_in_progress {
                Some(MoveFailure::NotInProgress)
            } else {
                (after >= MAX_MOVE_TIME).then_some(MoveFailure::Expired)
            }
        });
        if let Some(pending) = &mut self.pending_move {
            pending.is_copied |= state.is_copied && reported == Some(&pending.to);
        }
        let failed = failure.and_then(|cause| self.end_move(now, state, cause));
        if failure == Some(MoveFailure::Expired) {
            self.expired_move.clone_from(&state.moving_to);
        } else if self.pending_move.is_none() {
            // Ordered by another owner.
            let to = reported.filter(|to| **to != self.engine);
            self.pending_move = to.map(|to| PendingMove {
                is_copied: state.is_copied,
                ..PendingMove::new(now, to.clone(), MoveMethod::Copy, now + ADOPTED_LINK_TIME)
            });
        }
        failed
    }

    fn end_move(&mut self, now: Time, state: &RunState, cause: MoveFailure) -> Option<FailedMove> {
        let PendingMove { to, way, at, .. } = self.pending_move.take()?;
        match cause {
            MoveFailure::Refused => self.refusals.renew(now, &to),
            MoveFailure::RefusedBySource => self.refusals.renew(now, &self.engine),
            MoveFailure::NotInProgress if way == MoveMethod::Backup => {}
            MoveFailure::NotInProgress => self.retries.note_failure(now),
            MoveFailure::Expired => {}
        }
        let (run, from) = (state.run.clone(), self.engine.clone());
        Some(FailedMove { run, from, to, way, cause, after: now.since(at) })
    }

    pub(in crate::pool) fn is_refused(&self, now: Time, engine: &UpstreamName) -> bool {
        self.refusals.contains(now, engine)
    }

    /// Whether no copy of it is to be requested now.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        // A leaving engine that takes no new connections makes no copy at another target either.
        self.is_refused(now, &self.engine) || now < self.retries.at
    }
}
