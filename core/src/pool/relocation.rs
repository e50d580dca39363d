//! Moves of runs off an engine that leaves.
//!
//! A run whose memory is copied already goes on at its copy at once. The others are copied one
//! after another, as they share the engine's link: those with the most at stake first, each
//! beginning when the one before is expected to be over.

use super::{MIN_LEFT, Pool, Run};
use crate::names::{HostName, RunId, UpstreamName};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};

/// Part of an engine's memory that a moved run may fill it up to: a run that is preempted there
/// still ends, one that stays is lost.
const MOVES_UP_TO: f64 = 1.0;

/// Time for the calls around a copy, in milliseconds.
const CALLS_MS: u64 = 25;

/// Weight of a token of the answer against one of the prompt, as in the users' payoff.
const ANSWER_TOKEN_WEIGHT: f64 = 10.0;

/// How a run gets to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Way {
    /// Its memory is copied, beginning after this time.
    Copy(Millis),
    /// A copy that was kept up to date is used.
    Backup,
}

/// Tells the holder of a run to go on with it at another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The run.
    pub run: RunId,
    /// The daemon that holds it.
    pub holder: HostName,
    /// Where it runs.
    pub from: UpstreamName,
    /// Where it goes on.
    pub to: UpstreamName,
    /// How it gets there.
    pub way: Way,
}

impl Pool {
    /// Orders for the runs of an engine that leaves; call it after `set_engines`.
    pub fn vacate(&mut self, now: Time, engine: &UpstreamName) -> Vec<Order> {
        for run in self.runs.values_mut() {
            run.backup.take_if(|backup| backup == engine);
        }
        let mut leaving: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.engine == *engine && run.target.is_none())
            .filter(|(_, run)| run.time_left(now) >= MIN_LEFT.0 as f64)
            .map(|(id, run)| (stake(run), id.clone()))
            .collect();
        leaving.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let mut after = Millis(0);
        let mut orders = Vec::new();
        for (_, id) in leaving {
            orders.extend(self.relocate(now, &id, &mut after));
        }
        orders
    }

    fn relocate(&mut self, now: Time, id: &RunId, after: &mut Millis) -> Option<Order> {
        let run = self.runs.get(id)?;
        let (to, way) = match &run.backup {
            Some(backup) => (backup.clone(), Way::Backup),
            None if !self.shape.can_move => return None,
            None => {
                let to = self.target(now, &run.engine, &run.footprint, MOVES_UP_TO, None)?;
                let begin = *after;
                let Millis(copy) = self.shape.copy_time(run.tokens(now) as u64);
                *after = Millis(begin.0 + copy + CALLS_MS);
                (to, Way::Copy(begin))
            }
        };
        let run = self.runs.get_mut(id)?;
        run.target = Some(to.clone());
        let (holder, from) = (run.holder.clone(), run.engine.clone());
        Some(Order { run: id.clone(), holder, from, to, way })
    }

    /// Another engine for a run whose move failed.
    pub fn retarget(
        &mut self,
        now: Time,
        id: &RunId,
        failed: &UpstreamName,
    ) -> Option<UpstreamName> {
        let run = self.runs.get(id)?;
        let to = self.target(now, &run.engine, &run.footprint, MOVES_UP_TO, Some(failed))?;
        self.runs.get_mut(id)?.target = Some(to.clone());
        Some(to)
    }
}

/// What is lost with a run, in tokens as the payoff counts them.
fn stake(run: &Run) -> f64 {
    run.footprint.prompt + ANSWER_TOKEN_WEIGHT * f64::from(run.max_tokens)
}
