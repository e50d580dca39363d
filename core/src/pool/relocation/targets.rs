//! Which engine a run moves to.

use super::MoveMethod;
use super::links::BusyLinks;
use super::outcome::{FailedMove, MoveFailure, REFUSAL_LIFETIME};
use crate::names::UpstreamName;
use crate::pool::engine::{Engine, ProjectedLoad, ProjectedRun};
use crate::pool::{Pool, Run};
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Fraction of an engine's memory that may be in use at the time of a move to it, including the
/// moved run. The rest is for what the runs there write next: an engine that runs out of memory
/// delays more callers than a move saves.
const MAX_MOVE_FILL: f64 = 0.9;

/// Longest time for which an engine that refused runs is the last choice.
const MAX_REFUSING_TIME: Millis = Millis(5_000);

/// Refusals of copies by a target since a run last arrived there.
#[derive(Clone, Copy, Debug, Default)]
struct TargetRefusals {
    count: u32,
    until: Time,
}

/// Targets that refused copies: they hold more than the pool knows, or do not respond. They are used
/// only if no other engine has room, the longer the more copies in a row they refused.
#[derive(Clone, Debug, Default)]
pub(in crate::pool) struct RefusingTargets(HashMap<UpstreamName, TargetRefusals>);

impl RefusingTargets {
    /// Notes that a move failed.
    pub(in crate::pool) fn note_failure(&mut self, now: Time, failed: &FailedMove) {
        // A backup may be refused as it is incomplete.
        if failed.cause != MoveFailure::Refused || failed.way != MoveMethod::Copy {
            return;
        }
        self.0.retain(|_, refusals| now.since(refusals.until) < MAX_REFUSING_TIME);
        let refusals = self.0.entry(failed.to.clone()).or_default();
        let pause = Millis(REFUSAL_LIFETIME.0 << refusals.count.min(16)).min(MAX_REFUSING_TIME);
        *refusals = TargetRefusals { count: refusals.count + 1, until: now + pause };
    }

    /// Notes that a run continues at `engine`.
    pub(in crate::pool) fn note_arrival(&mut self, engine: &UpstreamName) {
        self.0.remove(engine);
    }

    fn contains(&self, now: Time, engine: &UpstreamName) -> bool {
        self.0.get(engine).is_some_and(|refusals| now < refusals.until)
    }
}

impl Pool {
    /// The load of an engine with a run moved to it, unless that fills the engine.
    pub(super) fn load_after_move(
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

    /// The engine with room for the run now and the lowest expected delay.
    pub(super) fn choose_move_target(
        &self,
        now: Time,
        run: &Run,
        links: &BusyLinks,
    ) -> Option<UpstreamName> {
        let candidates = self.engines.iter().filter(|(name, engine)| {
            engine.takes_runs() && !run.is_refused(now, name) && !links.contains(name)
        });
        let added = ProjectedRun::new(now, run.footprint.clone());
        let mut best: Option<((bool, f64), &UpstreamName)> = None;
        for (name, engine) in candidates {
            let Some(load) = self.load_after_move(now, name, engine, &added) else {
                continue;
            };
            let Millis(copy) = self.copy_time(now, run, name);
            let delay = self.contention_ms(load.peak, load.running) + copy as f64;
            let score = (self.refusing_targets.contains(now, name), delay);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }
}
