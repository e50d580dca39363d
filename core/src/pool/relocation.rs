//! Moves of runs off draining engines.
//!
//! A run with a backup copy continues at the backup engine at once. The others are copied one after
//! another over each link, smallest first: a run is worth about the same whatever its size, and the
//! notice may be too short to copy all. Runs that have not begun to write, which no engine copies, and
//! those whose moves failed go after the others. A run for which no engine has room is tried again
//! until its engine has stopped.

mod links;
mod outcome;
mod targets;

pub use outcome::{FailedMove, FailedMoves, MoveFailure};
pub(super) use outcome::{PendingMove, Refusals, Retries};
pub(super) use targets::RefusingTargets;

use super::engine::{Engine, ProjectedRun};
use super::{MIN_TIME_LEFT, Pool, Run};
use crate::names::{HostName, RunId, UpstreamName};
use crate::time::{Millis, Time};
use links::BusyLinks;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

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
            .map(|(id, run)| {
                ((run.retries.failures, !run.has_begun()), run.tokens(now), id.clone())
            })
            .collect();
        to_move.sort_by(|a, b| {
            a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)).then_with(|| a.2.cmp(&b.2))
        });
        let mut links = self.busy_links(now);
        to_move.into_iter().filter_map(|(.., id)| self.plan_move(now, &id, &mut links)).collect()
    }

    fn plan_move(&mut self, now: Time, id: &RunId, links: &mut BusyLinks) -> Option<RunMove> {
        let run = self.runs.get(id)?;
        let from = run.engine.clone();
        let (to, way) = match run.backup.clone().filter(|backup| !run.is_refused(now, backup)) {
            Some(backup) => (backup, MoveMethod::Backup),
            None if !self.config.can_move || run.is_paused(now) => return None,
            None if links.contains(&from) => return None,
            None => (self.choose_move_target(now, run, links)?, MoveMethod::Copy),
        };
        let copy_time = self.copy_time(now, run, &to);
        let link_until = self.link_until(now, run, copy_time);
        if way == MoveMethod::Copy {
            links.insert(&from, &to);
        }
        let run = self.runs.get_mut(id)?;
        run.expired_move.take_if(|expired| *expired == to);
        run.pending_move = Some(PendingMove::new(now, to.clone(), way, link_until));
        let holder = run.holder.clone();
        self.invalidate_loads();
        Some(RunMove { run: id.clone(), holder, from, to, way })
    }

    /// The runs on draining engines, by the state of their moves; `None` if there are none.
    pub fn drain_status(&self, now: Time) -> Option<DrainStatus> {
        let mut status = DrainStatus::default();
        let links = self.busy_links(now);
        for run in self.runs.values() {
            let Some(since) = self.draining.get(&run.engine) else {
                continue;
            };
            status.oldest_notice = status.oldest_notice.max(now.since(*since));
            let count = match self.obstacle(now, run, &links) {
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

    fn obstacle(&self, now: Time, run: &Run, links: &BusyLinks) -> Option<Obstacle> {
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
            |name: &&UpstreamName| !run.is_refused(now, name) && !links.contains(name);
        let has_link = !links.contains(&run.engine) && with_room.iter().any(is_reachable);
        (!has_link).then_some(Obstacle::LinkBusy)
    }
}
