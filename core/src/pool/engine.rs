//! One engine of a pool, and the choice among them.

use super::{MIN_TIME_LEFT, Placement, PlacementRequest, Pool, REMOTE_USE_LIFETIME, STEP_MS};
use crate::admission::load::{Footprint, Projection, horizons_of};
use crate::fleet::ListedUpstream;
use crate::names::{FailureDomain, UpstreamName};
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Part of an engine's memory that projections may use; the rest is lost in partly used blocks.
const USABLE_MEMORY: f64 = 0.96;

/// Standard deviations of the projected memory that are kept free.
const HEADROOM: f64 = 1.0;

/// Part of an engine's memory up to which copies for insurance may fill it; with more, a crowd finds
/// too little room (docs/design/reclaim.md).
const MAX_BACKUP_FILL: f64 = 0.4;

/// Expected time that an engine with full memory costs a run, in milliseconds.
const FULL_MEMORY_MS: f64 = 300.0;

/// Time that each run costs those beside it, in milliseconds.
const CONCURRENT_RUN_MS: f64 = 4.0;

/// Time that another failure domain costs, in milliseconds.
const CROSS_DOMAIN_MS: f64 = 10.0;

/// Weight of the newest observation in an engine's pace.
const TOKEN_TIME_SMOOTHING: f64 = 0.2;

/// Shortest time between two reports of a run that says something about its engine's pace.
const MIN_SAMPLE_SPAN: Millis = Millis(150);

/// How long an engine's pace is believed that nothing runs at.
const TOKEN_TIME_LIFETIME: Millis = Millis(6_000);

/// Part of the time that an answer takes longer at a slow engine that counts as waiting: the longer
/// it takes, the more often its engine leaves under it.
const SLOWNESS_WEIGHT: f64 = 0.08;

/// Time that prompts may wait at an engine for one that is late anyhow, in milliseconds: enough that
/// no engine runs out of prompts between two looks.
const LATE_PREFILL_WAIT_MS: f64 = 800.0;

/// The choice of an engine for a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    Fits(Placement),
    /// No engine has the memory.
    NoRoom,
    /// Those that have it would read the prompt too late.
    PrefillLate,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RemoteUse {
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
    pub(super) prefill_until: f64,
    pub(super) remote: Option<RemoteUse>,
    /// Observed time for one token, in milliseconds, and when it was observed last.
    pub(super) token_time: Option<(f64, Time)>,
}

impl Engine {
    pub(super) fn new(listed: &ListedUpstream) -> Self {
        Self {
            failure_domain: listed.failure_domain.clone(),
            is_usable: true,
            slots: listed.slots,
            prefill_until: 0.0,
            remote: None,
            token_time: None,
        }
    }

    /// Notes that a run wrote `tokens` in `span`.
    pub(super) fn record_token_time(&mut self, now: Time, tokens: u32, span: Millis) {
        if span < MIN_SAMPLE_SPAN {
            return;
        }
        let observed = span.0 as f64 / f64::from(tokens.max(1));
        let old = self.token_time.map_or(STEP_MS, |(token_time, _)| token_time);
        self.token_time = Some((old + TOKEN_TIME_SMOOTHING * (observed - old), now));
    }

    /// Time for one token, in milliseconds.
    pub(super) fn token_ms(&self, now: Time) -> f64 {
        let fresh = self.token_time.filter(|(_, at)| now.since(*at) < TOKEN_TIME_LIFETIME);
        fresh.map_or(STEP_MS, |(token_time, _)| token_time)
    }

    pub(super) fn record_remote_use(&mut self, now: Time, running: u32, tokens: u64) {
        self.remote = Some(RemoteUse { at: now, running, tokens });
    }

    fn remote(&self, now: Time) -> (f64, f64) {
        let fresh = self.remote.filter(|f| now.since(f.at) < REMOTE_USE_LIFETIME);
        fresh.map_or((0.0, 0.0), |f| (f64::from(f.running), f.tokens as f64))
    }

    /// Notes a prompt that takes `ms`; returns when it should be read.
    pub(super) fn queue_prefill(&mut self, now: Time, ms: f64) -> Time {
        self.prefill_until = self.prefill_until.max(now.0 as f64) + ms;
        Time(self.prefill_until as u64)
    }

    fn prefill_wait(&self, now: Time) -> f64 {
        (self.prefill_until - now.0 as f64).max(0.0)
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
    fn add(&mut self, now: Time, footprint: &Footprint, is_running: bool) {
        self.projection.add(now, STEP_MS, footprint);
        self.tokens += footprint.tokens(now, STEP_MS);
        self.running += if is_running { 1.0 } else { 0.0 };
    }
}

/// A run that looks for an engine, projected once for all of them.
#[derive(Clone, Debug)]
pub(super) struct ProjectedRun {
    footprint: Footprint,
    tokens: f64,
    projection: Projection,
    /// For how many horizons it probably runs.
    horizons: usize,
}

impl ProjectedRun {
    pub(super) fn new(now: Time, footprint: Footprint) -> Self {
        let mut projection = Projection::new(0.0);
        projection.add(now, STEP_MS, &footprint);
        Self {
            tokens: footprint.tokens(now, STEP_MS),
            projection,
            horizons: horizons_of(&footprint.curve),
            footprint,
        }
    }
}

/// What one engine would carry with one more run.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProjectedLoad {
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
    pub(super) fn load_with(
        &self,
        now: Time,
        name: &UpstreamName,
        added: &ProjectedRun,
    ) -> ProjectedLoad {
        let base = self.load_of(now, name);
        let mut projection = base.projection;
        projection.merge(&added.projection);
        ProjectedLoad {
            running: base.running + 1.0,
            peak: projection.peak(HEADROOM),
            own_peak: projection.peak_within(HEADROOM, added.horizons),
            tokens: base.tokens + added.tokens,
            is_stuck: base.is_stuck,
        }
    }

    /// What an engine carries; projected once for all questions of a moment.
    fn load_of(&self, now: Time, name: &UpstreamName) -> EngineLoad {
        let mut loads = self.loads.borrow_mut();
        if loads.at != Some(now) {
            *loads = self.project_loads(now);
        }
        match loads.by_engine.get(name) {
            Some(load) => load.clone(),
            None => EngineLoad::new(0.0, 0.0),
        }
    }

    /// Projects what every engine carries, in one pass over the runs.
    fn project_loads(&self, now: Time) -> Loads {
        let mut by_engine: HashMap<UpstreamName, EngineLoad> = HashMap::new();
        for (name, engine) in &self.engines {
            let (running, tokens) = engine.remote(now);
            by_engine.insert(name.clone(), EngineLoad::new(running, tokens));
        }
        for run in self.runs.values() {
            let pending_move = run.pending_move.as_ref().map(|pending_move| &pending_move.to);
            let mut seen: Vec<&UpstreamName> = Vec::with_capacity(3);
            for (name, is_running) in
                [(Some(&run.engine), true), (pending_move, true), (run.backup.as_ref(), false)]
            {
                let Some(name) = name.filter(|name| !seen.contains(name)) else {
                    continue;
                };
                seen.push(name);
                if let Some(load) = by_engine.get_mut(name) {
                    load.add(now, &run.footprint, is_running);
                    load.is_stuck |= *name == run.engine && run.is_stuck();
                }
            }
        }
        Loads { at: Some(now), by_engine }
    }

    /// Adds a run that starts to what was projected.
    pub(super) fn add_to_loads(&self, now: Time, placement: &Placement, footprint: &Footprint) {
        let mut loads = self.loads.borrow_mut();
        if loads.at != Some(now) {
            return;
        }
        if let Some(load) = loads.by_engine.get_mut(&placement.engine) {
            load.add(now, footprint, true);
        }
        if let Some(load) = placement.backup.as_ref().and_then(|name| loads.by_engine.get_mut(name))
        {
            load.add(now, footprint, false);
        }
    }

    /// Forgets what was projected, as the runs or engines have changed.
    pub(super) fn invalidate_loads(&self) {
        self.loads.borrow_mut().at = None;
    }

    fn has_room(&self, name: &UpstreamName, load: ProjectedLoad) -> bool {
        let slots = self.engines.get(name).map_or(0, |engine| engine.slots);
        let is_alone = load.running <= 1.0;
        let fits = load.own_peak <= self.memory() * USABLE_MEMORY;
        load.running <= f64::from(slots) && (fits || is_alone)
    }

    /// Whether the engine reads its prompt soon enough: one that is late after others' prompts may
    /// be on time at an engine that gets room while it waits.
    fn prefills_in_time(now: Time, engine: &Engine, request: &PlacementRequest) -> bool {
        let wait = engine.prefill_wait(now);
        match request.can_be_on_time(now) {
            true => request.is_on_time_after(now, wait),
            false => wait <= LATE_PREFILL_WAIT_MS,
        }
    }

    /// The place for a run.
    pub(super) fn choose_engine(&mut self, now: Time, request: &PlacementRequest) -> Choice {
        let curve = self.lengths.curve(&self.service, &request.kind, &request.organisation);
        let prompt = f64::from(request.prompt_tokens);
        let added = ProjectedRun::new(now, Footprint { prompt, written: 0.0, told_at: now, curve });
        let mean = added.footprint.curve.mean();
        let mut best: Option<(f64, &UpstreamName)> = None;
        let mut has_room = false;
        for (name, engine) in &self.engines {
            if !engine.is_usable || request.avoid.contains(name) {
                continue;
            }
            let load = self.load_with(now, name, &added);
            if !self.has_room(name, load) {
                continue;
            }
            has_room = true;
            if load.is_stuck || !Self::prefills_in_time(now, engine, request) {
                continue;
            }
            let is_cross_domain = engine.failure_domain != request.holder_domain;
            let slower_ms = mean * (engine.token_ms(now) - STEP_MS);
            let score = engine.prefill_wait(now)
                + SLOWNESS_WEIGHT * slower_ms
                + self.contention_ms(load.peak, load.running)
                + if is_cross_domain { CROSS_DOMAIN_MS } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        let Some((_, engine)) = best else {
            return if has_room { Choice::PrefillLate } else { Choice::NoRoom };
        };
        let engine = engine.clone();
        let backup = self.choose_backup(now, &engine, &added);
        Choice::Fits(Placement { engine, backup })
    }

    /// The engine that keeps a copy of a run, while memory is idle.
    fn choose_backup(
        &self,
        now: Time,
        engine: &UpstreamName,
        added: &ProjectedRun,
    ) -> Option<UpstreamName> {
        let left = added.footprint.expected_residual(now, STEP_MS) * STEP_MS;
        if !self.shape.can_back_up || left < MIN_TIME_LEFT.0 as f64 {
            return None;
        }
        let mut best: Option<(f64, &UpstreamName)> = None;
        for (name, other) in &self.engines {
            if !other.is_usable || name == engine {
                continue;
            }
            let load = self.load_with(now, name, added);
            if load.peak > self.memory() * MAX_BACKUP_FILL {
                continue;
            }
            // A copy to another failure domain takes twice as long.
            let is_cross_domain = self.is_cross_domain(engine, name);
            let Millis(copy) = self.shape.copy_time(added.tokens as u64);
            let score = self.contention_ms(load.peak, load.running)
                + if is_cross_domain { copy as f64 } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// What the crowd at an engine costs a run there, in milliseconds.
    pub(super) fn contention_ms(&self, peak: f64, running: f64) -> f64 {
        FULL_MEMORY_MS * peak / self.memory() + CONCURRENT_RUN_MS * running
    }
}
