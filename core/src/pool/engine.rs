//! One engine of a pool, and the choice among them.

use super::{FOREIGN_LIFETIME, MIN_LEFT, Place, Pool, STEP_MS, Wish};
use crate::admission::load::{Footprint, Projection, running_horizons};
use crate::fleet::Listed;
use crate::names::{FailureDomain, UpstreamName};
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Part of an engine's memory that projections may use; the rest is lost in partly used blocks.
const USABLE_MEMORY: f64 = 0.96;

/// Standard deviations of the projected memory that are kept free.
const HEADROOM: f64 = 1.0;

/// Part of an engine's memory up to which copies for insurance may fill it; with more, a crowd finds
/// too little room (docs/design/reclaim.md).
const COPIES_UP_TO: f64 = 0.4;

/// Expected time that an engine with full memory costs a run, in milliseconds.
const FULL_MEMORY_MS: f64 = 300.0;

/// Time that each run costs those beside it, in milliseconds.
const NEIGHBOUR_MS: f64 = 4.0;

/// Time that another failure domain costs, in milliseconds.
const DISTANCE_MS: f64 = 10.0;

/// Weight of the newest observation in an engine's pace.
const NEWEST_WEIGHT: f64 = 0.2;

/// Shortest time between two reports of a run that says something about its engine's pace.
const MIN_OBSERVED: Millis = Millis(150);

/// How long an engine's pace is believed that nothing runs at.
const PACE_LIFETIME: Millis = Millis(6_000);

/// Part of the time that an answer takes longer at a slow engine that counts as waiting: the longer
/// it takes, the more often its engine leaves under it.
const PACE_WEIGHT: f64 = 0.08;

/// Time that prompts may wait at an engine for one that is late anyhow, in milliseconds: enough that
/// no engine runs out of prompts between two looks.
const LATE_PROMPT_WAIT_MS: f64 = 800.0;

/// The choice of an engine for a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    Fits(Place),
    /// No engine has the memory.
    NoRoom,
    /// Those that have it would read the prompt too late.
    NotNow,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Foreign {
    at: Time,
    running: u32,
    tokens: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) failure_domain: FailureDomain,
    pub(super) is_usable: bool,
    pub(super) slots: u32,
    /// When the prompts that were sent there are read.
    pub(super) prompts_until: f64,
    pub(super) foreign: Option<Foreign>,
    /// Observed time for one token, in milliseconds, and when it was observed last.
    pub(super) pace: Option<(f64, Time)>,
}

impl Engine {
    pub(super) fn new(listed: &Listed) -> Self {
        Self {
            failure_domain: listed.failure_domain.clone(),
            is_usable: true,
            slots: listed.slots,
            prompts_until: 0.0,
            foreign: None,
            pace: None,
        }
    }

    /// Notes that a run wrote `tokens` in `span`.
    pub(super) fn note_pace(&mut self, now: Time, tokens: u32, span: Millis) {
        if span < MIN_OBSERVED {
            return;
        }
        let observed = span.0 as f64 / f64::from(tokens.max(1));
        let old = self.pace.map_or(STEP_MS, |(pace, _)| pace);
        self.pace = Some((old + NEWEST_WEIGHT * (observed - old), now));
    }

    /// Time for one token, in milliseconds.
    pub(super) fn pace_ms(&self, now: Time) -> f64 {
        let fresh = self.pace.filter(|(_, at)| now.since(*at) < PACE_LIFETIME);
        fresh.map_or(STEP_MS, |(pace, _)| pace)
    }

    pub(super) fn note_foreign(&mut self, now: Time, running: u32, tokens: u64) {
        self.foreign = Some(Foreign { at: now, running, tokens });
    }

    fn foreign(&self, now: Time) -> (f64, f64) {
        let fresh = self.foreign.filter(|f| now.since(f.at) < FOREIGN_LIFETIME);
        fresh.map_or((0.0, 0.0), |f| (f64::from(f.running), f.tokens as f64))
    }

    /// Notes a prompt that takes `ms`; returns when it should be read.
    pub(super) fn reads_prompt(&mut self, now: Time, ms: f64) -> Time {
        self.prompts_until = self.prompts_until.max(now.0 as f64) + ms;
        Time(self.prompts_until as u64)
    }

    fn prompt_wait(&self, now: Time) -> f64 {
        (self.prompts_until - now.0 as f64).max(0.0)
    }
}

/// What one engine carries.
#[derive(Clone, Debug)]
struct EngineLoad {
    running: f64,
    tokens: f64,
    projection: Projection,
    /// Whether a run waits there for memory: the engine holds more than is known.
    is_stuck: bool,
}

impl EngineLoad {
    fn new(running: f64, tokens: f64) -> Self {
        Self { running, tokens, projection: Projection::new(tokens), is_stuck: false }
    }
}

/// What all engines carry at one moment.
#[derive(Clone, Debug, Default)]
pub(super) struct Loads {
    at: Option<Time>,
    by_engine: HashMap<UpstreamName, EngineLoad>,
}

impl EngineLoad {
    /// Adds a run, or a copy of one.
    fn add(&mut self, now: Time, footprint: &Footprint, runs_there: bool) {
        self.projection.add(now, STEP_MS, footprint);
        self.tokens += footprint.tokens(now, STEP_MS);
        self.running += if runs_there { 1.0 } else { 0.0 };
    }
}

/// A run that looks for an engine, projected once for all of them.
#[derive(Clone, Debug)]
pub(super) struct Newcomer {
    footprint: Footprint,
    tokens: f64,
    projection: Projection,
    /// For how many horizons it probably runs.
    horizons: usize,
}

impl Newcomer {
    pub(super) fn new(now: Time, footprint: Footprint) -> Self {
        let mut projection = Projection::new(0.0);
        projection.add(now, STEP_MS, &footprint);
        Self {
            tokens: footprint.tokens(now, STEP_MS),
            projection,
            horizons: running_horizons(&footprint.length_distribution),
            footprint,
        }
    }
}

/// What one engine would carry with one more run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Burden {
    /// Runs, the new one among them.
    pub(super) running: f64,
    /// Projected peak of its memory, in tokens.
    pub(super) peak: f64,
    /// The same for as long as the new run probably lasts.
    pub(super) own_peak: f64,
    /// Its memory now, in tokens.
    pub(super) tokens: f64,
    /// Whether a run waits there for memory.
    pub(super) is_stuck: bool,
}

impl Pool {
    pub(super) fn memory(&self) -> f64 {
        self.shape.memory_tokens as f64
    }

    /// What the engine `name` would carry with `extra` as well.
    pub(super) fn burden(&self, now: Time, name: &UpstreamName, extra: &Newcomer) -> Burden {
        let base = self.load_of(now, name);
        let mut projection = base.projection;
        projection.merge(&extra.projection);
        Burden {
            running: base.running + 1.0,
            peak: projection.peak(HEADROOM),
            own_peak: projection.peak_within(HEADROOM, extra.horizons),
            tokens: base.tokens + extra.tokens,
            is_stuck: base.is_stuck,
        }
    }

    /// What an engine carries; projected once for all questions of a moment.
    fn load_of(&self, now: Time, name: &UpstreamName) -> EngineLoad {
        let mut loads = self.loads.borrow_mut();
        if loads.at != Some(now) {
            *loads = self.project(now);
        }
        match loads.by_engine.get(name) {
            Some(load) => load.clone(),
            None => EngineLoad::new(0.0, 0.0),
        }
    }

    /// Projects what every engine carries, in one pass over the runs.
    fn project(&self, now: Time) -> Loads {
        let mut by_engine: HashMap<UpstreamName, EngineLoad> = HashMap::new();
        for (name, engine) in &self.engines {
            let (running, tokens) = engine.foreign(now);
            by_engine.insert(name.clone(), EngineLoad::new(running, tokens));
        }
        for run in self.runs.values() {
            let ordered = run.ordered.as_ref().map(|ordered| &ordered.to);
            let mut seen: Vec<&UpstreamName> = Vec::with_capacity(3);
            for (name, runs_there) in
                [(Some(&run.engine), true), (ordered, true), (run.backup.as_ref(), false)]
            {
                let Some(name) = name.filter(|name| !seen.contains(name)) else {
                    continue;
                };
                seen.push(name);
                if let Some(load) = by_engine.get_mut(name) {
                    load.add(now, &run.footprint, runs_there);
                    load.is_stuck |= *name == run.engine && run.is_stuck();
                }
            }
        }
        Loads { at: Some(now), by_engine }
    }

    /// Adds a run that starts to what was projected.
    pub(super) fn note_start(&self, now: Time, place: &Place, footprint: &Footprint) {
        let mut loads = self.loads.borrow_mut();
        if loads.at != Some(now) {
            return;
        }
        if let Some(load) = loads.by_engine.get_mut(&place.engine) {
            load.add(now, footprint, true);
        }
        if let Some(load) = place.backup.as_ref().and_then(|name| loads.by_engine.get_mut(name)) {
            load.add(now, footprint, false);
        }
    }

    /// Forgets what was projected, as the runs or engines have changed.
    pub(super) fn changed(&self) {
        self.loads.borrow_mut().at = None;
    }

    fn has_room(&self, name: &UpstreamName, burden: Burden) -> bool {
        let slots = self.engines.get(name).map_or(0, |engine| engine.slots);
        let is_alone = burden.running <= 1.0;
        let fits = burden.own_peak <= self.memory() * USABLE_MEMORY;
        burden.running <= f64::from(slots) && (fits || is_alone)
    }

    /// Whether the engine reads its prompt soon enough: one that is late after others' prompts may
    /// be on time at an engine that gets room while it waits.
    fn reads_in_time(now: Time, engine: &Engine, wish: &Wish) -> bool {
        let wait = engine.prompt_wait(now);
        match wish.can_be_on_time(now) {
            true => wish.is_on_time_after(now, wait),
            false => wait <= LATE_PROMPT_WAIT_MS,
        }
    }

    /// The place for a run.
    pub(super) fn find(&mut self, now: Time, wish: &Wish) -> Choice {
        let length_distribution =
            self.lengths.distribution(&self.service, &wish.kind, &wish.organisation);
        let prompt = f64::from(wish.prompt_tokens);
        let extra = Newcomer::new(
            now,
            Footprint { prompt, written: 0.0, reported_at: now, length_distribution },
        );
        let mean = extra.footprint.length_distribution.mean();
        let mut best: Option<(f64, &UpstreamName)> = None;
        let mut has_room = false;
        for (name, engine) in &self.engines {
            if !engine.is_usable || wish.avoid.contains(name) {
                continue;
            }
            let burden = self.burden(now, name, &extra);
            if !self.has_room(name, burden) {
                continue;
            }
            has_room = true;
            if burden.is_stuck || !Self::reads_in_time(now, engine, wish) {
                continue;
            }
            let is_far = engine.failure_domain != wish.near;
            let slower_ms = mean * (engine.pace_ms(now) - STEP_MS);
            let score = engine.prompt_wait(now)
                + PACE_WEIGHT * slower_ms
                + self.crowding_ms(burden.peak, burden.running)
                + if is_far { DISTANCE_MS } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        let Some((_, engine)) = best else {
            return if has_room { Choice::NotNow } else { Choice::NoRoom };
        };
        let engine = engine.clone();
        let backup = self.backup_for(now, &engine, &extra);
        Choice::Fits(Place { engine, backup })
    }

    /// The engine that keeps a copy of a run, while memory is idle.
    fn backup_for(
        &self,
        now: Time,
        engine: &UpstreamName,
        extra: &Newcomer,
    ) -> Option<UpstreamName> {
        let left = extra.footprint.expected_residual(now, STEP_MS) * STEP_MS;
        if !self.shape.can_back_up || left < MIN_LEFT.0 as f64 {
            return None;
        }
        let mut best: Option<(f64, &UpstreamName)> = None;
        for (name, other) in &self.engines {
            if !other.is_usable || name == engine {
                continue;
            }
            let burden = self.burden(now, name, extra);
            if burden.peak > self.memory() * COPIES_UP_TO {
                continue;
            }
            // A copy to another failure domain takes twice as long.
            let is_far = self.is_far(engine, name);
            let Millis(copy) = self.shape.copy_time(extra.tokens as u64);
            let score = self.crowding_ms(burden.peak, burden.running)
                + if is_far { copy as f64 } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// What the crowd at an engine costs a run there, in milliseconds.
    pub(super) fn crowding_ms(&self, peak: f64, running: f64) -> f64 {
        FULL_MEMORY_MS * peak / self.memory() + NEIGHBOUR_MS * running
    }
}
