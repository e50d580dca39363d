//! Placement of runs on the engines of a pool, decided by its owner.
//!
//! Holders report every run to the owner a few times a second. The owner places a new run where its
//! projected memory fits, assigns long runs a backup engine that keeps a copy while memory is idle,
//! and moves runs off draining engines. Every daemon also keeps a pool of its own runs as a
//! fallback when no owner replies, so losing an owner costs only efficiency.

mod engine;
mod handoff;
mod messages;
mod mixing;
mod queue;
mod ranking;
mod relocation;
mod returns;
mod room_rate;
mod run;
mod sharing;
mod speed;

pub use messages::{
    EndedRun, EngineSlowdown, EngineUse, Event, Occupancy, Placement, PlacementDecision,
    PlacementRequest, Report, RunState,
};
pub use mixing::MixingCounts;
pub use relocation::{DrainStatus, FailedMove, FailedMoves, MoveFailure, MoveMethod, RunMove};
pub use returns::ReturnFigures;
pub use sharing::{OrganisationStanding, SharingFigures};

use crate::admission::load::Footprint;
use crate::estimate::LengthEstimator;
use crate::fleet::ListedUpstream;
use crate::names::{
    FailureDomain, HostName, KindName, OrganisationName, RunId, ServiceName, UpstreamName,
};
use crate::route_table::EngineConfig;
use crate::time::{Millis, Time};
use engine::{Choice, Engine, Loads};
use handoff::HandoffBudget;
use queue::Queue;
use relocation::{Refusals, RefusingTargets, Retries};
use run::Run;
use sharing::Sharing;
use speed::PoolSpeed;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Assumed decode time per token: mid-range for the users' engines, whose steps take at least 7 ms.
const STEP_MS: f64 = 9.0;

/// Time without a holder's report after which a run is dropped.
const RUN_LIFETIME: Millis = Millis(3_000);

/// Time for which a new run is kept although its holder's reports omit it.
const REPORT_GRACE: Millis = Millis(1_500);

/// How long an owner's figures about other daemons' runs stay valid.
const REMOTE_USE_LIFETIME: Millis = Millis(3_000);

/// Expected remaining time from which a run is worth backing up or moving.
const MIN_TIME_LEFT: Millis = Millis(600);

const MIN_RETRY_AFTER: Millis = Millis(250);

/// Retry delay when the pool has no usable engine: a daemon that has just started gets the list of
/// upstreams within about a second.
const NO_ENGINE_RETRY_AFTER: Millis = Millis(1_000);

const PERCENT: f64 = 100.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

const MAX_RETRY_AFTER: Millis = Millis(10_000);

/// The runs and engines of one pool.
#[derive(Clone, Debug)]
pub struct Pool {
    service: ServiceName,
    config: EngineConfig,
    engines: BTreeMap<UpstreamName, Engine>,
    runs: HashMap<RunId, Run>,
    queue: Queue,
    /// Present if organisations share the engines by weight.
    sharing: Option<Sharing>,
    lengths: LengthEstimator,
    /// Engines to move runs away from, with the start of draining.
    draining: HashMap<UpstreamName, Time>,
    /// Whether a run may be at an engine that has not been looked at since.
    has_unchecked_engines: bool,
    /// Engines that have runs but are not listed, with the time at which that was noticed.
    unlisted: HashMap<UpstreamName, Time>,
    /// Targets that refused runs.
    refusing_targets: RefusingTargets,
    failed_moves: FailedMoves,
    /// Engine loads at one point in time.
    loads: RefCell<Loads>,
    speed: PoolSpeed,
    /// Whether prompts are placed by their effect on streams.
    keeps_pauses: bool,
    mixing: MixingCounts,
    handoffs: HandoffBudget,
}

impl Pool {
    /// Creates a pool without engines.
    pub fn new(service: ServiceName, config: EngineConfig) -> Self {
        Self {
            service,
            config,
            engines: BTreeMap::new(),
            runs: HashMap::new(),
            queue: Queue::new(),
            sharing: None,
            lengths: LengthEstimator::new(),
            draining: HashMap::new(),
            has_unchecked_engines: false,
            unlisted: HashMap::new(),
            refusing_targets: RefusingTargets::default(),
            failed_moves: FailedMoves::default(),
            loads: RefCell::default(),
            speed: PoolSpeed::default(),
            keeps_pauses: false,
            mixing: MixingCounts::default(),
            handoffs: HandoffBudget::new(0.0, 0.0),
        }
    }

    /// Sets whether prompts are placed by their effect on streams.
    pub fn with_pauses_kept(self, keeps_pauses: bool) -> Self {
        Self { keeps_pauses, ..self }
    }

    /// Applies new engine settings.
    pub fn set_config(&mut self, config: EngineConfig) {
        self.config = config;
    }

    /// Sets how many runs may be handed off after their prefill: for each placed run, and for each second.
    pub fn with_handoffs(self, per_placement: f64, per_second: f64) -> Self {
        Self { handoffs: HandoffBudget::new(per_placement, per_second / MILLIS_PER_SECOND), ..self }
    }

    /// Number of queued runs.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of placed runs.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Engines, runs and memory in use.
    pub fn occupancy(&self, now: Time) -> Occupancy {
        let usable = self.engines.values().filter(|engine| engine.takes_runs()).count();
        Occupancy {
            engines: usable,
            running: self.runs.len(),
            waiting: self.queue.len(),
            waiting_tokens: self.queue.tokens(),
            tokens: self.runs.values().map(|run| run.tokens(now) as u64).sum(),
            memory_tokens: self.config.memory_tokens * usable as u64,
        }
    }

    /// Replaces the set of engines; the flag says whether an engine may get new runs. State of
    /// engines that remain is kept.
    pub fn set_engines<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a ListedUpstream, bool)>,
    ) {
        let mut engines = BTreeMap::new();
        for (listed, is_usable) in listed {
            let known = self.engines.remove(&listed.name);
            let engine = known.unwrap_or_else(|| Engine::new(listed));
            engines.insert(listed.name.clone(), Engine { is_usable, ..engine });
        }
        self.engines = engines;
        self.has_unchecked_engines = true;
        let engines = &self.engines;
        // An engine may start again under its name.
        self.draining.retain(|name, _| !engines.get(name).is_some_and(|engine| engine.is_usable));
        self.invalidate_loads();
    }

    /// Sets which failure domains are evacuated: their engines get no runs.
    pub fn set_evacuated(&mut self, is_evacuated: impl Fn(&FailureDomain) -> bool) {
        for engine in self.engines.values_mut() {
            engine.is_evacuated = is_evacuated(&engine.failure_domain);
        }
        self.invalidate_loads();
    }

    /// Records the owner's figures on other daemons' runs, which expire after 3 seconds.
    pub fn set_remote_use(&mut self, now: Time, uses: &[EngineUse]) {
        for engine_use in uses {
            if let Some(engine) = self.engines.get_mut(&engine_use.engine) {
                engine.record_remote_use(now, engine_use.running, engine_use.tokens);
            }
        }
        self.invalidate_loads();
    }

    /// Use of each engine by runs that `holder` does not hold.
    pub fn use_excluding(&self, now: Time, holder: &HostName) -> Vec<EngineUse> {
        let mut uses: HashMap<&UpstreamName, (u32, u64)> =
            self.engines.keys().map(|name| (name, (0, 0))).collect();
        for run in self.runs.values().filter(|run| run.holder != *holder) {
            for name in run.occupied() {
                if let Some((running, tokens)) = uses.get_mut(name) {
                    *running += u32::from(*name == run.engine);
                    *tokens += run.tokens(now) as u64;
                }
            }
        }
        let uses = uses.into_iter().map(|(engine, (running, tokens))| EngineUse {
            engine: engine.clone(),
            running,
            tokens,
        });
        uses.collect()
    }

    fn is_usable(&self, engine: &UpstreamName) -> bool {
        self.engines.get(engine).is_some_and(Engine::takes_runs)
    }

    fn footprint(&mut self, now: Time, state: &RunState) -> Footprint {
        Footprint {
            prompt: f64::from(state.prompt_tokens),
            written: f64::from(state.written),
            reported_at: now,
            length_distribution: self.lengths.distribution(
                &self.service,
                &state.kind,
                &state.organisation,
            ),
        }
    }

    /// Decides where a run goes. Idempotent: a placed run keeps its placement unless the request
    /// avoids its engine, and a queued one stays queued.
    pub fn place(&mut self, now: Time, request: PlacementRequest) -> PlacementDecision {
        if let Some(run) =
            self.runs.get(&request.run).filter(|run| !request.avoid.contains(&run.engine))
        {
            return PlacementDecision::Placed(Placement {
                backup: run.backup.clone(),
                ..Placement::new(run.engine.clone())
            });
        }
        self.forget_prefill(&request);
        if self.sharing.is_some() {
            return self.place_by_share(now, request);
        }
        let must_queue = self.queue.has_ahead_of(now, &request);
        if !must_queue && let Choice::Fits(placement) = self.choose_engine(now, &request) {
            self.start(now, &request, &placement);
            return PlacementDecision::Placed(placement);
        }
        let wait = self.expected_wait(now, &request);
        if !self.engines.values().any(Engine::takes_runs) {
            return PlacementDecision::Refused(NO_ENGINE_RETRY_AFTER);
        }
        if self.avoids_all_engines(&request) {
            self.queue.remove(&request.run);
            return PlacementDecision::AllAvoided;
        }
        if now + wait > request.patience_until {
            self.queue.remove(&request.run);
            return PlacementDecision::Refused(retry_after(wait));
        }
        self.queue.push(now, request);
        PlacementDecision::Queued
    }

    fn avoids_all_engines(&self, request: &PlacementRequest) -> bool {
        let mut usable = self.engines.iter().filter(|(_, engine)| engine.takes_runs());
        usable.all(|(name, _)| request.avoid.contains(name))
    }

    /// Removes a queued or just placed run.
    pub fn withdraw(&mut self, run: &RunId) {
        self.queue.remove(run);
        self.runs.remove(run);
        self.invalidate_loads();
    }

    /// Drops runs that are no longer reported, refuses queued runs whose patience has run out, and
    /// places those that fit now. Returns the outcomes of queued runs.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        self.runs.retain(|_, run| now.since(run.confirmed_at) < RUN_LIFETIME);
        let mut events = Vec::new();
        for queued in self.queue.expire(now) {
            let retry_after = match self.sharing.is_some() {
                true => self.refuse_queued(now, &queued),
                false => retry_after(self.expected_wait(now, &queued.request)),
            };
            events.push(Event::Refused(queued.request.run, retry_after));
        }
        self.invalidate_loads();
        while let Some((placement, request)) = self.next_fitting(now) {
            self.start(now, &request, &placement);
            events.push(Event::Placed(request.run, placement));
        }
        if self.sharing.is_some() {
            self.refuse_hopeless(now, &mut events);
        }
        events
    }

    fn next_fitting(&mut self, now: Time) -> Option<(Placement, PlacementRequest)> {
        if self.queue.len() == 0 {
            return None;
        }
        // If a prompt does not fit, longer ones of its kind do not either.
        let mut unfit: HashMap<KindName, u32> = HashMap::new();
        for (request, may_be_overtaken) in self.ordered_queue(now) {
            let is_unfit =
                unfit.get(&request.kind).is_some_and(|least| request.prompt_tokens >= *least);
            let choice = if is_unfit { Choice::NoRoom } else { self.choose_engine(now, &request) };
            match choice {
                Choice::Fits(placement) => return Some((placement, request)),
                Choice::PrefillLate => {}
                Choice::NoRoom => {
                    if !is_unfit && request.avoid.is_empty() {
                        unfit.insert(request.kind.clone(), request.prompt_tokens);
                    }
                    if !may_be_overtaken {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Queued requests in scheduling order, with whether later ones may overtake them.
    fn ordered_queue(&self, now: Time) -> Vec<(PlacementRequest, bool)> {
        if self.sharing.is_some() {
            return self.queue_by_share(now);
        }
        let mut uses: HashMap<&OrganisationName, f64> = HashMap::new();
        for run in self.runs.values() {
            *uses.entry(&run.organisation).or_default() += run.tokens(now);
        }
        let order = self.queue.order(now, &uses);
        order
            .into_iter()
            .map(|(request, may_be_overtaken)| (request.clone(), may_be_overtaken))
            .collect()
    }

    fn start(&mut self, now: Time, request: &PlacementRequest, placement: &Placement) {
        self.queue.remove(&request.run);
        self.count_mixing(now, request, placement);
        self.handoffs.note_placement();
        if let Some(sharing) = &mut self.sharing {
            sharing.start(now, request);
        }
        let length_distribution =
            self.lengths.distribution(&self.service, &request.kind, &request.organisation);
        let prefill_ms = match self.engines.get(&placement.engine) {
            Some(engine) => self.prefill_ms(request, engine),
            None => request.prefill_ms(),
        };
        let engine = self.engines.get_mut(&placement.engine);
        let prefill_due = engine.map_or(now, |engine| engine.queue_prefill(now, prefill_ms));
        let run = Run {
            holder: request.holder.clone(),
            kind: request.kind.clone(),
            organisation: request.organisation.clone(),
            engine: placement.engine.clone(),
            backup: placement.backup.clone(),
            pending_move: None,
            expired_move: None,
            refusals: Refusals::default(),
            retries: Retries::default(),
            footprint: Footprint {
                prompt: f64::from(request.prompt_tokens),
                written: 0.0,
                reported_at: now,
                length_distribution,
            },
            placed_at: now,
            prefill_due,
            confirmed_at: now,
            max_pause: request.max_pause,
            begun_at: None,
        };
        self.add_to_loads(now, placement, &run.footprint);
        self.runs.insert(request.run.clone(), run);
    }

    /// Applies a daemon's report. Runs of `holder` that it omits are dropped, except those placed
    /// too recently to be in it.
    pub fn report(&mut self, now: Time, holder: &HostName, report: &Report<'_>) {
        self.invalidate_loads();
        for end in report.ended {
            self.lengths.learn(&self.service, &end.kind, &end.organisation, end.written);
        }
        for run in report.released {
            self.runs.remove(run);
        }
        self.record_slowdowns(now, report.slowdowns);
        for state in report.runs {
            let footprint = self.footprint(now, state);
            // The holder may not know yet that the backup engine is draining.
            let backup = state.backup.clone().filter(|backup| self.is_usable(backup));
            match self.runs.get_mut(&state.run) {
                Some(run) => {
                    let (written_before, reported_at) =
                        (run.footprint.written as u32, run.footprint.reported_at);
                    let has_progress = written_before > 0 && run.engine == state.engine;
                    if has_progress && let Some(engine) = self.engines.get_mut(&state.engine) {
                        engine.record_token_time(
                            now,
                            state.written.saturating_sub(written_before),
                            now.since(reported_at),
                        );
                    }
                    if run.engine != state.engine {
                        self.has_unchecked_engines = true;
                        run.engine = state.engine.clone();
                        self.refusing_targets.note_arrival(&run.engine);
                        run.pending_move = None;
                        run.retries = Retries::default();
                    }
                    if let Some(failed) = run.update_move(now, state) {
                        self.refusing_targets.note_failure(now, &failed);
                        self.failed_moves.push(failed);
                    }
                    run.backup = backup;
                    run.footprint = footprint;
                    if state.written > 0 {
                        run.begun_at = run.begun_at.or(Some(now));
                    }
                    run.confirmed_at = now;
                }
                None => {
                    let mut run = Run {
                        holder: holder.clone(),
                        kind: state.kind.clone(),
                        organisation: state.organisation.clone(),
                        engine: state.engine.clone(),
                        backup,
                        pending_move: None,
                        expired_move: None,
                        refusals: Refusals::default(),
                        retries: Retries::default(),
                        footprint,
                        placed_at: now,
                        prefill_due: now,
                        confirmed_at: now,
                        max_pause: state.max_pause,
                        begun_at: None,
                    };
                    run.update_move(now, state);
                    self.has_unchecked_engines = true;
                    self.runs.insert(state.run.clone(), run);
                }
            }
        }
        let reported: HashSet<_> = report.runs.iter().map(|state| &state.run).collect();
        self.runs.retain(|id, run| {
            run.holder != *holder
                || reported.contains(id)
                || now.since(run.placed_at) < REPORT_GRACE && run.confirmed_at == run.placed_at
        });
    }

    fn record_slowdowns(&mut self, now: Time, slowdowns: &[EngineSlowdown]) {
        for reported in slowdowns {
            let slowdown = f64::from(reported.percent) / PERCENT;
            let engine = self.engines.get_mut(&reported.engine);
            let ratio = engine.and_then(|engine| engine.speed.record(now - reported.age, slowdown));
            if let Some(ratio) = ratio {
                self.speed.record(ratio);
            }
        }
        if !slowdowns.is_empty() {
            self.speed.set_mean(self.engines.values().filter_map(|engine| engine.speed.lasting()));
        }
    }

    /// Expected wait for a placement, from the memory that running runs free per millisecond.
    fn expected_wait(&self, now: Time, request: &PlacementRequest) -> Millis {
        let ahead: f64 = self.queue.tokens_ahead_of(now, request);
        let remaining: Vec<_> =
            self.runs.values().map(|run| (run.tokens(now), run.remaining_ms(now))).collect();
        let freed_per_ms: f64 = remaining.iter().map(|(tokens, ms)| tokens / ms.max(100.0)).sum();
        let need = ahead + f64::from(request.prompt_tokens);
        match freed_per_ms > 0.0 {
            true => Millis((need / freed_per_ms) as u64),
            false => MIN_RETRY_AFTER,
        }
    }
}

fn retry_after(wait: Millis) -> Millis {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
