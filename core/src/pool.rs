//! Where the runs of one pool of engines go, decided by the daemon that owns the pool.
//!
//! The owner knows every run: its holder reports it a few times a second. It places a new run where
//! the projected memory fits, keeps a copy of long runs at a second engine while memory is idle,
//! and moves runs off engines that leave. Every daemon keeps a pool of its own runs as well and
//! decides by it when no owner answers, so a lost owner costs efficiency only.

mod engine;
mod messages;
mod queue;
mod relocation;

pub use messages::{
    EndedRun, EngineUse, Event, Occupancy, Placement, PlacementDecision, PlacementRequest, Report,
    RunState,
};
pub use relocation::{MoveMethod, RunMove};

use crate::admission::load::Footprint;
use crate::estimate::Estimator;
use crate::fleet::ListedUpstream;
use crate::names::{HostName, KindName, OrganisationName, RunId, ServiceName, UpstreamName};
use crate::route_table::EngineShape;
use crate::time::{Millis, Time};
use engine::{Choice, Engine, Loads};
use queue::Queue;
use relocation::{PendingMove, Refusals};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Time for one token of an answer, in milliseconds, as a middle of the users' engines: a step
/// takes 7 ms and more.
const STEP_MS: f64 = 9.0;

/// How long a run counts without news from its holder.
const RUN_LIFETIME: Millis = Millis(3_000);

/// How long a run counts that its holder does not name yet.
const REPORT_GRACE: Millis = Millis(1_500);

/// How long the word of an owner about runs of other daemons counts.
const REMOTE_USE_LIFETIME: Millis = Millis(3_000);

/// Time beyond its prompt's after which a run without an event waits for memory that its engine does
/// not have: well over the 100 ms of a first event, and short of what makes the next one late.
const STUCK_AFTER: Millis = Millis(400);

/// Expected time that a run must still take to be worth a copy or a move.
const MIN_TIME_LEFT: Millis = Millis(600);

/// Shortest time after which a refused caller may come back.
const MIN_RETRY: Millis = Millis(250);

/// Time after which a caller may come back that found no engine at all: the list of a daemon that
/// has just started is there within about a second.
const NO_ENGINE_RETRY: Millis = Millis(1_000);

/// Longest time after which a refused caller may come back.
const MAX_RETRY: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct Run {
    holder: HostName,
    organisation: OrganisationName,
    engine: UpstreamName,
    backup: Option<UpstreamName>,
    /// Where it was ordered to go.
    pending_move: Option<PendingMove>,
    refusals: Refusals,
    footprint: Footprint,
    placed_at: Time,
    /// When its prompt should be read.
    prefill_due: Time,
    reported_at: Time,
}

impl Run {
    fn tokens(&self, now: Time) -> f64 {
        self.footprint.tokens(now, STEP_MS)
    }

    fn time_left(&self, now: Time) -> f64 {
        self.footprint.expected_residual(now, STEP_MS) * STEP_MS
    }

    /// Whether it waits at its engine for longer than prompts take.
    fn is_stuck(&self) -> bool {
        let has_begun = self.footprint.written > 0.0;
        !has_begun
            && self.pending_move.is_none()
            && self.reported_at.since(self.prefill_due) > STUCK_AFTER
    }

    /// The engines at which its memory, or a copy of it, lies, each once.
    fn occupied(&self) -> impl Iterator<Item = &UpstreamName> {
        let pending_move = self.pending_move.as_ref().map(|pending_move| &pending_move.to);
        let pending_move = pending_move.filter(|to| **to != self.engine);
        let backup = self.backup.as_ref();
        let backup = backup.filter(|name| **name != self.engine && pending_move != Some(*name));
        std::iter::once(&self.engine).chain(pending_move).chain(backup)
    }
}

/// The runs and engines of one pool.
#[derive(Clone, Debug)]
pub struct Pool {
    service: ServiceName,
    shape: EngineShape,
    engines: BTreeMap<UpstreamName, Engine>,
    runs: HashMap<RunId, Run>,
    queue: Queue,
    lengths: Estimator,
    /// Engines that leave, and since when.
    draining: HashMap<UpstreamName, Time>,
    /// Links of engines over which memory is copied, and until when.
    busy_links: HashMap<UpstreamName, Time>,
    /// What the engines carry, projected once for all questions of a moment.
    loads: RefCell<Loads>,
}

impl Pool {
    /// A pool without engines.
    pub fn new(service: ServiceName, shape: EngineShape) -> Self {
        Self {
            service,
            shape,
            engines: BTreeMap::new(),
            runs: HashMap::new(),
            queue: Queue::new(),
            lengths: Estimator::new(),
            draining: HashMap::new(),
            busy_links: HashMap::new(),
            loads: RefCell::default(),
        }
    }

    /// Takes over what a new configuration says of the engines.
    pub fn set_shape(&mut self, shape: EngineShape) {
        self.shape = shape;
    }

    /// Runs that wait for a place.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Runs that are placed.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// How full the pool is.
    pub fn occupancy(&self, now: Time) -> Occupancy {
        let usable = self.engines.values().filter(|engine| engine.is_usable).count();
        Occupancy {
            engines: usable,
            running: self.runs.len(),
            waiting: self.queue.len(),
            waiting_tokens: self.queue.tokens(),
            tokens: self.runs.values().map(|run| run.tokens(now) as u64).sum(),
            memory_tokens: self.shape.memory_tokens * usable as u64,
        }
    }

    /// Takes over the listed engines, each with whether it may get new work.
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
        self.invalidate_loads();
    }

    /// Notes what the owner of the pool says of runs of other daemons.
    pub fn set_remote_use(&mut self, now: Time, uses: &[EngineUse]) {
        for engine_use in uses {
            if let Some(engine) = self.engines.get_mut(&engine_use.engine) {
                engine.record_remote_use(now, engine_use.running, engine_use.tokens);
            }
        }
        self.invalidate_loads();
    }

    /// What runs at each engine, apart from the runs of `holder`.
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
        let told = uses.into_iter().map(|(engine, (running, tokens))| EngineUse {
            engine: engine.clone(),
            running,
            tokens,
        });
        told.collect()
    }

    fn is_usable(&self, engine: &UpstreamName) -> bool {
        self.engines.get(engine).is_some_and(|engine| engine.is_usable)
    }

    fn footprint(&mut self, now: Time, state: &RunState) -> Footprint {
        Footprint {
            prompt: f64::from(state.prompt_tokens),
            written: f64::from(state.written),
            told_at: now,
            curve: self.lengths.curve(&self.service, &state.kind, &state.organisation),
        }
    }

    /// Decides about a new run. Asking again changes nothing: a run that was placed gets the same
    /// place, one that waits goes on waiting.
    pub fn place(&mut self, now: Time, request: PlacementRequest) -> PlacementDecision {
        if let Some(run) =
            self.runs.get(&request.run).filter(|run| !request.avoid.contains(&run.engine))
        {
            return PlacementDecision::Placed(Placement {
                engine: run.engine.clone(),
                backup: run.backup.clone(),
            });
        }
        let must_queue = self.queue.has_ahead_of(now, &request);
        if !must_queue && let Choice::Fits(placement) = self.choose_engine(now, &request) {
            self.start(now, &request, &placement);
            return PlacementDecision::Placed(placement);
        }
        let wait = self.expected_wait(now, &request);
        if !self.engines.values().any(|engine| engine.is_usable) {
            return PlacementDecision::Refused(NO_ENGINE_RETRY);
        }
        if now + wait > request.patience_until {
            self.queue.remove(&request.run);
            return PlacementDecision::Refused(retry_after(wait));
        }
        self.queue.push(now, request);
        PlacementDecision::Queued
    }

    /// Withdraws a run that waits or has just been placed.
    pub fn withdraw(&mut self, run: &RunId) {
        self.queue.remove(run);
        self.runs.remove(run);
        self.invalidate_loads();
    }

    /// Places what fits now, and refuses what waited too long.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        self.runs.retain(|_, run| now.since(run.reported_at) < RUN_LIFETIME);
        let mut events = Vec::new();
        for request in self.queue.expire(now) {
            let wait = self.expected_wait(now, &request);
            events.push(Event::Refused(request.run, retry_after(wait)));
        }
        self.invalidate_loads();
        while let Some((placement, request)) = self.next_fitting(now) {
            self.start(now, &request, &placement);
            events.push(Event::Placed(request.run, placement));
        }
        events
    }

    fn next_fitting(&mut self, now: Time) -> Option<(Placement, PlacementRequest)> {
        if self.queue.len() == 0 {
            return None;
        }
        // What does not fit now does not fit with a longer prompt of the same kind either.
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

    /// The waiting runs in the order in which they are due, each with whether others may pass it.
    fn ordered_queue(&self, now: Time) -> Vec<(PlacementRequest, bool)> {
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
        let curve = self.lengths.curve(&self.service, &request.kind, &request.organisation);
        let engine = self.engines.get_mut(&placement.engine);
        let prefill_due =
            engine.map_or(now, |engine| engine.queue_prefill(now, request.prefill_ms()));
        let run = Run {
            holder: request.holder.clone(),
            organisation: request.organisation.clone(),
            engine: placement.engine.clone(),
            backup: placement.backup.clone(),
            pending_move: None,
            refusals: Refusals::default(),
            footprint: Footprint {
                prompt: f64::from(request.prompt_tokens),
                written: 0.0,
                told_at: now,
                curve,
            },
            placed_at: now,
            prefill_due,
            reported_at: now,
        };
        self.add_to_loads(now, placement, &run.footprint);
        self.runs.insert(request.run.clone(), run);
    }

    /// Takes the report of a daemon.
    pub fn report(&mut self, now: Time, holder: &HostName, report: &Report<'_>) {
        self.invalidate_loads();
        for end in report.ended {
            self.lengths.learn(&self.service, &end.kind, &end.organisation, end.written);
        }
        for run in report.released {
            self.runs.remove(run);
        }
        for state in report.runs {
            let footprint = self.footprint(now, state);
            // Its holder may not know yet that the engine with the copy leaves.
            let backup = state.backup.clone().filter(|backup| self.is_usable(backup));
            match self.runs.get_mut(&state.run) {
                Some(run) => {
                    let (before, at) = (run.footprint.written as u32, run.footprint.told_at);
                    let has_gone_on = before > 0 && run.engine == state.engine;
                    if has_gone_on && let Some(engine) = self.engines.get_mut(&state.engine) {
                        engine.record_token_time(
                            now,
                            state.written.saturating_sub(before),
                            now.since(at),
                        );
                    }
                    if run.engine != state.engine {
                        run.engine = state.engine.clone();
                        run.pending_move = None;
                    }
                    run.update_move(now, state.moving_to.as_ref(), &state.refused);
                    run.backup = backup;
                    run.footprint = footprint;
                    run.reported_at = now;
                }
                None => {
                    let run = Run {
                        holder: holder.clone(),
                        organisation: state.organisation.clone(),
                        engine: state.engine.clone(),
                        backup,
                        pending_move: None,
                        refusals: Refusals::default(),
                        footprint,
                        placed_at: now,
                        prefill_due: now,
                        reported_at: now,
                    };
                    self.runs.insert(state.run.clone(), run);
                }
            }
        }
        let reported: HashSet<_> = report.runs.iter().map(|state| &state.run).collect();
        self.runs.retain(|id, run| {
            run.holder != *holder
                || reported.contains(id)
                || now.since(run.placed_at) < REPORT_GRACE && run.reported_at == run.placed_at
        });
    }

    /// The time until a run can expect a place.
    fn expected_wait(&self, now: Time, request: &PlacementRequest) -> Millis {
        let ahead: f64 = self.queue.tokens_ahead_of(now, request);
        let left: Vec<_> =
            self.runs.values().map(|run| (run.tokens(now), run.time_left(now))).collect();
        let freed_per_ms: f64 = left.iter().map(|(tokens, left)| tokens / left.max(100.0)).sum();
        let need = ahead + f64::from(request.prompt_tokens);
        match freed_per_ms > 0.0 {
            true => Millis((need / freed_per_ms) as u64),
            false => MIN_RETRY,
        }
    }
}

fn retry_after(wait: Millis) -> Millis {
    wait.clamp(MIN_RETRY, MAX_RETRY)
}
