//! Engine loads, and the choice of an engine for a run.

use super::speed::EngineSpeed;
use super::{MIN_TIME_LEFT, Placement, PlacementRequest, Pool, REMOTE_USE_LIFETIME, STEP_MS};
use crate::admission::load::{Footprint, Projection, running_horizons};
use crate::fleet::ListedUpstream;
use crate::names::{FailureDomain, UpstreamName};
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Fraction of an engine's memory for projections; the rest is lost in partly used blocks.
const USABLE_MEMORY_FRACTION: f64 = 0.96;

/// Free memory above the projected mean, in standard deviations.
const HEADROOM: f64 = 1.0;

/// Maximum memory fraction filled by backup copies; with more, a burst of requests finds too little
/// room (docs/design/reclaim.md).
const MAX_BACKUP_FILL: f64 = 0.4;

/// Expected delay of a run on an engine with full memory.
const FULL_MEMORY_MS: f64 = 300.0;

/// Expected delay that each run adds to the others on its engine.
const CONCURRENT_RUN_MS: f64 = 4.0;

/// Expected delay of a run outside its holder's failure domain.
const CROSS_DOMAIN_MS: f64 = 10.0;

/// Weight of the newest sample in the moving average of an engine's time per token.
const TOKEN_TIME_EWMA_WEIGHT: f64 = 0.2;

/// Minimum time between two reports of a run for a sample of its time per token.
const MIN_SAMPLE_SPAN: Millis = Millis(150);

/// How long the time per token of an engine without running runs stays valid.
const TOKEN_TIME_LIFETIME: Millis = Millis(6_000);

/// Fraction of a slow engine's extra answer time scored as waiting: the longer a run takes, the
/// likelier its engine is to leave first.
const SLOWNESS_WEIGHT: f64 = 0.08;

/// Longest prefill backlog for a request that is late in any case: enough that no engine runs out
/// of prompts between two scheduling passes.
const LATE_PREFILL_WAIT_MS: f64 = 800.0;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    Fits(Placement),
    /// No engine has enough memory.
    NoRoom,
    /// Engines with enough memory would prefill the prompt too late.
    PrefillLate,
}

/// Use of an engine by other daemons' runs, as reported by the owner.
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
    /// Whether its failure domain is evacuated: its runs stay, and it gets no others.
    pub(super) is_evacuated: bool,
    pub(super) slots: u32,
    /// Expected end of the prefill of all prompts sent there, in milliseconds as in [`Time`].
    pub(super) prefill_until: f64,
    pub(super) remote: Option<RemoteUse>,
    /// Moving average of the time per token, in milliseconds, and when it was last updated.
    pub(super) token_time: Option<(f64, Time)>,
    pub(super) speed: EngineSpeed,
}

impl Engine {
    pub(super) fn new(listed: &ListedUpstream) -> Self {
        Self {
            failure_domain: listed.failure_domain.clone(),
            is_usable: true,
            is_evacuated: false,
            slots: listed.slots,
            prefill_until: 0.0,
            remote: None,
            token_time: None,
            speed: EngineSpeed::default(),
        }
    }

    /// Whether runs may be sent there.
    pub(super) fn takes_runs(&self) -> bool {
        self.is_usable && !self.is_evacuated
    }

    /// Updates the average with a run that wrote `tokens` in `span`.
    pub(super) fn record_token_time(&mut self, now: Time, tokens: u32, span: Millis) {
        if span < MIN_SAMPLE_SPAN {
            return;
        }
        let observed = span.0 as f64 / f64::from(tokens.max(1));
        let old = self.token_time.map_or(STEP_MS, |(token_time, _)| token_time);
        self.token_time = Some((old + TOKEN_TIME_EWMA_WEIGHT * (observed - old), now));
    }

    /// Time per token; `usual` if no run has shown it lately.
    pub(super) fn token_ms(&self, now: Time, usual: f64) -> f64 {
        let fresh = self.token_time.filter(|(_, at)| now.since(*at) < TOKEN_TIME_LIFETIME);
        fresh.map_or(usual, |(token_time, _)| token_time)
    }

    pub(super) fn record_remote_use(&mut self, now: Time, running: u32, tokens: u64) {
        self.remote = Some(RemoteUse { at: now, running, tokens });
    }

    /// Number and memory of other daemons' runs; zero without a recent report.
    fn remote_use(&self, now: Time) -> (f64, f64) {
        let fresh = self.remote.filter(|usage| now.since(usage.at) < REMOTE_USE_LIFETIME);
        fresh.map_or((0.0, 0.0), |usage| (f64::from(usage.running), usage.tokens as f64))
    }

    /// Adds a prompt whose prefill takes `ms`; returns when it should end.
    pub(super) fn queue_prefill(&mut self, now: Time, ms: f64) -> Time {
        self.prefill_until = self.prefill_until.max(now.0 as f64) + ms;
        Time(self.prefill_until as u64)
    }

    pub(super) fn prefill_wait(&self, now: Time) -> f64 {
        (self.prefill_until - now.0 as f64).max(0.0)
    }
}

#[derive(Clone, Debug)]
struct EngineLoad {
    running: f64,
    tokens: f64,
    projection: Projection,
    /// Whether a run waits there for memory, so that more is held than the pool knows.
    is_stuck: bool,
    /// Streams at risk: a prefill in a slow moment of the machine would make them late.
    at_risk: f64,
    /// Runs that will probably be written for a while.
    streams: f64,
    /// Shortest pause that those at risk are allowed.
    min_pause: Option<Millis>,
}

impl EngineLoad {
    fn new(running: f64, tokens: f64) -> Self {
        Self {
            running,
            tokens,
            projection: Projection::new(tokens),
            is_stuck: false,
            at_risk: 0.0,
            streams: 0.0,
            min_pause: None,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Loads {
    /// `None` when the loads are out of date.
    at: Option<Time>,
    by_engine: HashMap<UpstreamName, EngineLoad>,
}

impl EngineLoad {
    /// Adds a run, or a backup copy if `is_running` is false.
    fn add(&mut self, now: Time, footprint: &Footprint, is_running: bool) {
        self.projection.add(now, STEP_MS, footprint);
        self.tokens += footprint.tokens(now, STEP_MS);
        self.running += if is_running { 1.0 } else { 0.0 };
    }
}

/// A run projected once for all candidate engines.
#[derive(Clone, Debug)]
pub(super) struct ProjectedRun {
    footprint: Footprint,
    tokens: f64,
    projection: Projection,
    /// Projection horizons within which it probably still runs.
    horizons: usize,
}

impl ProjectedRun {
    /// Tokens that it is expected to write.
    pub(super) fn remaining_tokens(&self, now: Time) -> f64 {
        self.footprint.expected_residual(now, STEP_MS)
    }

    /// Current memory use, in tokens.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

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

/// The load of an engine with one more run.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProjectedLoad {
    /// Number of runs, including the new one.
    pub(super) running: f64,
    /// Projected peak memory, in tokens.
    pub(super) peak: f64,
    /// The peak while the new run probably lasts, in tokens.
    pub(super) own_peak: f64,
    /// Current memory use, in tokens.
    pub(super) tokens: f64,
    /// Whether a run waits there for memory.
    pub(super) is_stuck: bool,
    /// Other streams there that are at risk of becoming late by a prefill.
    pub(super) at_risk: f64,
    /// Other runs there that will probably be written for a while.
    pub(super) streams: f64,
}

impl Pool {
    /// Memory of one engine, in tokens.
    pub(super) fn engine_memory(&self) -> f64 {
        self.config.memory_tokens as f64
    }

    /// The load of engine `name` with `added` on it.
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
            at_risk: base.at_risk,
            streams: base.streams,
        }
    }

    /// Number of streams at risk at an engine, and the shortest pause that they are allowed.
    pub(super) fn streams_at_risk(&self, now: Time, name: &UpstreamName) -> (f64, Option<Millis>) {
        let load = self.load_of(now, name);
        (load.at_risk, load.min_pause)
    }

    /// The load of an engine, from the loads cached for `now`.
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

    /// Projects every engine's load in one pass over the runs.
    fn project_loads(&self, now: Time) -> Loads {
        let mut by_engine: HashMap<UpstreamName, EngineLoad> = HashMap::new();
        for (name, engine) in &self.engines {
            let (running, tokens) = engine.remote_use(now);
            by_engine.insert(name.clone(), EngineLoad::new(running, tokens));
        }
        for run in self.runs.values() {
            let target = run.pending_move.as_ref().map(|pending_move| &pending_move.to);
            let mut seen: Vec<&UpstreamName> = Vec::with_capacity(3);
            for (name, is_running) in
                [(Some(&run.engine), true), (target, true), (run.backup.as_ref(), false)]
            {
                let Some(name) = name.filter(|name| !seen.contains(name)) else {
                    continue;
                };
                seen.push(name);
                if let Some(load) = by_engine.get_mut(name) {
                    load.add(now, &run.footprint, is_running);
                    load.is_stuck |= *name == run.engine && run.is_stuck();
                    if is_running && run.is_long(now) {
                        load.streams += 1.0;
                        if let Some(pause) = self.pause_at_risk(run, name) {
                            load.at_risk += 1.0;
                            let shortest = load.min_pause.map_or(pause, |least| least.min(pause));
                            load.min_pause = Some(shortest);
                        }
                    }
                }
            }
        }
        Loads { at: Some(now), by_engine }
    }

    /// Adds a starting run to the cached loads, if they are of `now`.
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

    /// Discards the cached loads after a change of the runs or engines.
    pub(super) fn invalidate_loads(&self) {
        self.loads.borrow_mut().at = None;
    }

    fn has_room(&self, name: &UpstreamName, load: ProjectedLoad) -> bool {
        let slots = self.engines.get(name).map_or(0, |engine| engine.slots);
        let is_alone = load.running <= 1.0;
        let fits = load.own_peak <= self.engine_memory() * USABLE_MEMORY_FRACTION;
        load.running <= f64::from(slots) && (fits || is_alone)
    }

    /// Whether the engine prefills the prompt soon enough. A request that would be late behind the
    /// engine's backlog may still be on time at an engine that gets room while the request waits.
    fn prefills_in_time(&self, now: Time, engine: &Engine, request: &PlacementRequest) -> bool {
        let wait = engine.prefill_wait(now);
        match request.can_be_on_time(now) {
            true => request.is_on_time_after(now, wait, self.prefill_ms(request, engine)),
            false => wait <= LATE_PREFILL_WAIT_MS,
        }
    }

    /// The placement with the lowest expected delay among engines that fit.
    pub(super) fn choose_engine(&mut self, now: Time, request: &PlacementRequest) -> Choice {
        let length_distribution =
            self.lengths.distribution(&self.service, &request.kind, &request.organisation);
        let prompt = f64::from(request.prompt_tokens);
        let added = ProjectedRun::new(
            now,
            Footprint { prompt, written: 0.0, reported_at: now, length_distribution },
        );
        let mean_length = added.footprint.length_distribution.mean();
        let mut best: Option<(f64, &UpstreamName)> = None;
        let mut has_room = false;
        for (name, engine) in &self.engines {
            if !engine.takes_runs() || request.avoid.contains(name) {
                continue;
            }
            let load = self.load_with(now, name, &added);
            if !self.has_room(name, load) {
                continue;
            }
            has_room = true;
            if load.is_stuck || !self.prefills_in_time(now, engine, request) {
                continue;
            }
            let is_cross_domain = engine.failure_domain != request.holder_domain;
            let extra_ms =
                mean_length * (engine.token_ms(now, self.usual_token_ms(engine)) - STEP_MS);
            let score = engine.prefill_wait(now)
                + self.mixing_cost_ms(now, engine, &load, request)
                + SLOWNESS_WEIGHT * extra_ms
                + self.contention_ms(load.peak, load.running)
                + if is_cross_domain { CROSS_DOMAIN_MS } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        let Some((_, engine)) = best else {
            return if has_room { Choice::PrefillLate } else { Choice::NoRoom };
        };
        if self.should_wait(now, engine, request) {
            return Choice::PrefillLate;
        }
        let engine = engine.clone();
        let backup = self
            .choose_decode_engine(now, &engine, &added, request.max_pause)
            .or_else(|| self.choose_backup(now, &engine, &added));
        let max_slowdown_percent = self.max_slowdown_percent(now, &engine);
        Choice::Fits(Placement { engine, backup, max_slowdown_percent })
    }

    /// The engine for a run's backup copy, if one has enough idle memory.
    fn choose_backup(
        &self,
        now: Time,
        engine: &UpstreamName,
        added: &ProjectedRun,
    ) -> Option<UpstreamName> {
        let remaining_ms = added.footprint.expected_residual(now, STEP_MS) * STEP_MS;
        if !self.config.can_back_up || remaining_ms < MIN_TIME_LEFT.0 as f64 {
            return None;
        }
        let mut best: Option<(f64, &UpstreamName)> = None;
        for (name, other) in &self.engines {
            if !other.takes_runs() || name == engine {
                continue;
            }
            let load = self.load_with(now, name, added);
            if load.peak > self.engine_memory() * MAX_BACKUP_FILL {
                continue;
            }
            // A copy to another failure domain takes twice as long.
            let is_cross_domain = self.is_cross_domain(engine, name);
            let Millis(copy) = self.config.copy_time(added.tokens as u64);
            let score = self.contention_ms(load.peak, load.running)
                + if is_cross_domain { copy as f64 } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Expected delay from an engine's memory use and number of runs, in milliseconds.
    pub(super) fn contention_ms(&self, peak: f64, running: f64) -> f64 {
        FULL_MEMORY_MS * peak / self.engine_memory() + CONCURRENT_RUN_MS * running
    }
}
