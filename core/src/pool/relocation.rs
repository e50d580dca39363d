//! Moves of runs off draining engines.
//!
//! A run with a backup copy continues at the backup engine at once. The others are copied one after
//! another over each link, smallest first: a run is worth about the same whatever its size, and the
//! notice may be too short to copy all. Runs whose moves failed go after the others. A run for which
//! no engine has room is tried again until its engine has stopped.

use super::engine::{Engine, ProjectedLoad, ProjectedRun};
use super::{MIN_TIME_LEFT, Pool, Run, RunState};
use crate::names::{HostName, RunId, UpstreamName};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use strum::Display;

/// Fraction of an engine's memory that may be in use at the time of a move to it, including the
/// moved run. The rest is for what the runs there write next: an engine that runs out of memory
/// delays more callers than a move saves.
const MAX_MOVE_FILL: f64 = 0.9;

/// Time for the remote calls around a copy.
const COPY_RPC_MS: u64 = 30;

/// Slowdown of a copy to another failure domain, as documented by the platform.
const CROSS_DOMAIN_COPY_FACTOR: u64 = 2;

/// How long an engine that refused a run is not tried again for it.
const REFUSAL_LIFETIME: Millis = Millis(400);

/// Time for a move order to reach its holder and show in a report.
const MOVE_REPORT_GRACE: Millis = Millis(100);

/// Pause after the second move of a run that failed without a refusal; doubles with each further one.
const RETRY_PAUSE: Millis = Millis(100);

const MAX_RETRY_PAUSE: Millis = Millis(400);

/// Time after which a move counts as failed although its holder reports it: the timeouts of its two
/// copies.
const MAX_MOVE_TIME: Millis = Millis(5_000);

/// How long an engine without runs stays marked as draining.
const DRAINED_RETENTION: Millis = Millis(10_000);

/// Time by which an engine with runs must be listed; later it counts as removed. The list lags by up
/// to a second.
const UNLISTED_GRACE: Millis = Millis(1_000);

/// How a run's memory gets to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveMethod {
    /// The memory is copied.
    Copy,
    /// The backup copy there, which was kept up to date, is used.
    Backup,
}

/// Order to a run's holder to continue it at another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunMove {
    /// The run.
    pub run: RunId,
    /// Daemon that holds it.
    pub holder: HostName,
    /// Engine that it leaves.
    pub from: UpstreamName,
    /// Engine that continues it.
    pub to: UpstreamName,
    /// How its memory gets there.
    pub way: MoveMethod,
}

/// Runs on draining engines, by the state of their moves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Runs with a move in progress.
    pub moving: usize,
    /// Runs for which no engine has room.
    pub without_room: usize,
    /// Runs for which the engines with room, or their own, copy another run.
    pub waiting_for_link: usize,
    /// Runs that wait before another attempt.
    pub paused: usize,
    /// Runs too close to their end to be moved.
    pub nearly_done: usize,
    /// Runs without a backup in a pool that cannot copy runs.
    pub immovable: usize,
    /// Time since the first of their engines began to drain.
    pub oldest_notice: Millis,
}

impl DrainStatus {
    /// Number of runs without a move in progress.
    pub fn waiting(&self) -> usize {
        self.without_room + self.waiting_for_link + self.paused + self.nearly_done + self.immovable
    }
}

/// Why a run on a draining engine cannot be ordered to move now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obstacle {
    NoRoom,
    LinkBusy,
    Paused,
    NearlyDone,
    Immovable,
}

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
    pub(super) fn push(&mut self, failed: FailedMove) {
        match self.moves.len() < MAX_FAILED_MOVES_KEPT {
            true => self.moves.push(failed),
            false => self.omitted += 1,
        }
    }
}

/// Moves of a run that failed without a refusal: its holder did not get the order, or the run has not
/// begun to write.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Retries {
    failures: u32,
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

/// A copy's use of an engine's link.
#[derive(Clone, Debug)]
pub(super) struct LinkUse {
    run: RunId,
    /// When the copy should end.
    free_at: Time,
}

/// A move that was ordered and has not ended.
#[derive(Clone, Debug)]
pub(super) struct PendingMove {
    pub(super) to: UpstreamName,
    pub(super) way: MoveMethod,
    pub(super) at: Time,
}

/// Engines that refused to take over a run, or to copy it from themselves.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
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
    pub(super) fn update_move(&mut self, now: Time, state: &RunState) -> Option<FailedMove> {
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
        let failed = failure.and_then(|cause| self.end_move(now, state, cause));
        if failure == Some(MoveFailure::Expired) {
            self.expired_move.clone_from(&state.moving_to);
        } else if self.pending_move.is_none() {
            // Ordered by another owner.
            let to = reported.filter(|to| **to != self.engine);
            self.pending_move =
                to.map(|to| PendingMove { to: to.clone(), way: MoveMethod::Copy, at: now });
        }
        failed
    }

    fn end_move(&mut self, now: Time, state: &RunState, cause: MoveFailure) -> Option<FailedMove> {
        let PendingMove { to, way, at } = self.pending_move.take()?;
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

    pub(super) fn is_refused(&self, now: Time, engine: &UpstreamName) -> bool {
        self.refusals.contains(now, engine)
    }

    /// Whether no copy of it is to be requested now.
    fn is_paused(&self, now: Time) -> bool {
        // A leaving engine that takes no new connections makes no copy at another target either.
        self.is_refused(now, &self.engine) || now < self.retries.at
    }
}

impl Pool {
    /// Marks an engine as draining: its runs are to be moved, its backup copies count as lost. Call
    /// it after [`Pool::set_engines`].
    pub fn drain_engine(&mut self, now: Time, engine: &UpstreamName) {
        self.draining.entry(engine.clone()).or_insert(now);
        for run in self.runs.values_mut() {
            run.backup.take_if(|backup| backup == engine);
        }
        self.invalidate_loads();
    }

    /// Marks engines that have runs and may not get new ones as draining: this pool may be younger
    /// than their notices. The pool must have all engines that are listed.
    pub fn find_draining_engines(&mut self, now: Time) {
        if !self.has_unchecked_engines {
            return;
        }
        let (engines, runs) = (&self.engines, &self.runs);
        self.unlisted.retain(|name, _| {
            !engines.contains_key(name) && runs.values().any(|run| run.engine == *name)
        });
        let mut found = HashSet::new();
        for run in self.runs.values().filter(|run| !self.draining.contains_key(&run.engine)) {
            let is_draining = match self.engines.get(&run.engine) {
                Some(engine) => !engine.is_usable,
                None if self.engines.is_empty() => false,
                None => {
                    let since = self.unlisted.entry(run.engine.clone()).or_insert(now);
                    now.since(*since) >= UNLISTED_GRACE
                }
            };
            if is_draining {
                found.insert(run.engine.clone());
            }
        }
        self.has_unchecked_engines = !self.unlisted.is_empty();
        for engine in found {
            self.drain_engine(now, &engine);
        }
    }

    /// Whether a run on a draining engine has not been ordered to move yet.
    pub fn has_runs_to_move(&self) -> bool {
        !self.draining.is_empty()
            && self
                .runs
                .values()
                .any(|run| self.draining.contains_key(&run.engine) && run.pending_move.is_none())
    }

    /// Orders moves of runs off draining engines, as far as links are free and engines have room;
    /// only of the runs that `holder` holds, if given.
    pub fn plan_moves(&mut self, now: Time, holder: Option<&HostName>) -> Vec<RunMove> {
        let runs = &self.runs;
        self.draining.retain(|engine, since| {
            let has_runs = || runs.values().any(|run| run.engine == *engine);
            now.since(*since) < DRAINED_RETENTION || has_runs()
        });
        self.busy_links.retain(|_, link| link.free_at > now);
        if self.draining.is_empty() {
            return Vec::new();
        }
        let is_in_scope = |run: &Run| {
            self.draining.contains_key(&run.engine)
                && holder.is_none_or(|holder| run.holder == *holder)
                && run.pending_move.is_none()
                && run.remaining_ms(now) >= MIN_TIME_LEFT.0 as f64
        };
        let mut to_move: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| is_in_scope(run))
            .map(|(id, run)| (run.retries.failures, run.tokens(now), id.clone()))
            .collect();
        to_move.sort_by(|a, b| {
            a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)).then_with(|| a.2.cmp(&b.2))
        });
        to_move.into_iter().filter_map(|(.., id)| self.plan_move(now, &id)).collect()
    }

    fn plan_move(&mut self, now: Time, id: &RunId) -> Option<RunMove> {
        let run = self.runs.get(id)?;
        let from = run.engine.clone();
        let (to, way) = match run.backup.clone().filter(|backup| !run.is_refused(now, backup)) {
            Some(backup) => (backup, MoveMethod::Backup),
            None if !self.config.can_move || run.is_paused(now) => return None,
            None if self.is_link_busy(now, &from) => return None,
            None => {
                let to = self.choose_move_target(now, run)?;
                let free_at = now + self.move_time(now, run, &to);
                self.busy_links.retain(|_, link| link.run != *id);
                for engine in [&from, &to] {
                    self.busy_links.insert(engine.clone(), LinkUse { run: id.clone(), free_at });
                }
                (to, MoveMethod::Copy)
            }
        };
        let run = self.runs.get_mut(id)?;
        run.expired_move.take_if(|expired| *expired == to);
        run.pending_move = Some(PendingMove { to: to.clone(), way, at: now });
        let holder = run.holder.clone();
        self.invalidate_loads();
        Some(RunMove { run: id.clone(), holder, from, to, way })
    }

    /// The runs on draining engines, by the state of their moves; `None` if there are none.
    pub fn drain_status(&self, now: Time) -> Option<DrainStatus> {
        let mut status = DrainStatus::default();
        for run in self.runs.values() {
            let Some(since) = self.draining.get(&run.engine) else {
                continue;
            };
            status.oldest_notice = status.oldest_notice.max(now.since(*since));
            let count = match self.obstacle(now, run) {
                _ if run.pending_move.is_some() => &mut status.moving,
                Some(Obstacle::NearlyDone) => &mut status.nearly_done,
                Some(Obstacle::Immovable) => &mut status.immovable,
                Some(Obstacle::Paused) => &mut status.paused,
                Some(Obstacle::NoRoom) => &mut status.without_room,
                Some(Obstacle::LinkBusy) | None => &mut status.waiting_for_link,
            };
            *count += 1;
        }
        (status.moving + status.waiting() > 0).then_some(status)
    }

    /// Moves that have failed since the last call.
    pub fn take_failed_moves(&mut self) -> FailedMoves {
        std::mem::take(&mut self.failed_moves)
    }

    fn obstacle(&self, now: Time, run: &Run) -> Option<Obstacle> {
        if run.remaining_ms(now) < MIN_TIME_LEFT.0 as f64 {
            return Some(Obstacle::NearlyDone);
        }
        if run.backup.as_ref().is_some_and(|backup| !run.is_refused(now, backup)) {
            return None;
        }
        if !self.config.can_move {
            return Some(Obstacle::Immovable);
        }
        if run.is_paused(now) {
            return Some(Obstacle::Paused);
        }
        let added = ProjectedRun::new(now, run.footprint.clone());
        let has_room = |(name, engine): &(&UpstreamName, &Engine)| {
            engine.takes_runs() && self.load_after_move(now, name, engine, &added).is_some()
        };
        let with_room: Vec<_> =
            self.engines.iter().filter(has_room).map(|(name, _)| name).collect();
        if with_room.is_empty() {
            return Some(Obstacle::NoRoom);
        }
        if with_room.iter().all(|name| run.is_refused(now, name)) {
            return Some(Obstacle::Paused);
        }
        let is_reachable =
            |name: &&UpstreamName| !run.is_refused(now, name) && !self.is_link_busy(now, name);
        let has_link = !self.is_link_busy(now, &run.engine) && with_room.iter().any(is_reachable);
        (!has_link).then_some(Obstacle::LinkBusy)
    }

    /// The load of an engine with a run moved to it, unless that fills the engine.
    fn load_after_move(
        &self,
        now: Time,
        name: &UpstreamName,
        engine: &Engine,
        added: &ProjectedRun,
    ) -> Option<ProjectedLoad> {
        let load = self.load_with(now, name, added);
        let has_room = load.tokens <= self.engine_memory() * MAX_MOVE_FILL
            && load.running <= f64::from(engine.slots);
        has_room.then_some(load)
    }

    /// Whether a copy from or to the engine is in progress.
    fn is_link_busy(&self, now: Time, engine: &UpstreamName) -> bool {
        self.busy_links.get(engine).is_some_and(|link| {
            let run = self.runs.get(&link.run);
            link.free_at > now && run.is_some_and(|run| run.pending_move.is_some())
        })
    }

    pub(super) fn is_cross_domain(&self, from: &UpstreamName, to: &UpstreamName) -> bool {
        let domain = |name| self.engines.get(name).map(|engine| &engine.failure_domain);
        domain(from) != domain(to)
    }

    fn move_time(&self, now: Time, run: &Run, to: &UpstreamName) -> Millis {
        let Millis(copy) = self.config.copy_time(run.tokens(now) as u64);
        let factor =
            if self.is_cross_domain(&run.engine, to) { CROSS_DOMAIN_COPY_FACTOR } else { 1 };
        Millis(copy * factor + COPY_RPC_MS)
    }

    /// The engine with room for the run now and the lowest expected delay.
    fn choose_move_target(&self, now: Time, run: &Run) -> Option<UpstreamName> {
        let candidates = self.engines.iter().filter(|(name, engine)| {
            engine.takes_runs() && !run.is_refused(now, name) && !self.is_link_busy(now, name)
        });
        let added = ProjectedRun::new(now, run.footprint.clone());
        let mut best: Option<(f64, &UpstreamName)> = None;
        for (name, engine) in candidates {
            let Some(load) = self.load_after_move(now, name, engine, &added) else {
                continue;
            };
            let Millis(copy) = self.move_time(now, run, name);
            let score = self.contention_ms(load.peak, load.running) + copy as f64;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }
}
