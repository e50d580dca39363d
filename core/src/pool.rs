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

pub use messages::{Answer, EndedRun, EngineUse, Event, Occupancy, Place, Report, RunState, Wish};
pub use relocation::{Order, Way};

use crate::admission::load::Footprint;
use crate::estimate::LengthEstimator;
use crate::fleet::Listed;
use crate::names::{HostName, KindName, OrganisationName, RunId, ServiceName, UpstreamName};
use crate::route_table::EngineShape;
use crate::time::{Millis, Time};
use engine::{Choice, Engine, Loads};
use queue::Queue;
use relocation::{Ordered, Refusals};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Time for one token of an answer, in milliseconds, as a middle of the users' engines: a step
/// takes 7 ms and more.
const STEP_MS: f64 = 9.0;

/// How long a run counts without news from its holder.
const RUN_LIFETIME: Millis = Millis(3_000);

/// How long a run counts that its holder does not name yet.
const NAMING_GRACE: Millis = Millis(1_500);

/// How long the word of an owner about runs of other daemons counts.
const FOREIGN_LIFETIME: Millis = Millis(3_000);

/// Time beyond its prompt's after which a run without an event waits for memory that its engine does
/// not have: well over the 100 ms of a first event, and short of what makes the next one late.
const STUCK_AFTER: Millis = Millis(400);

/// Expected time that a run must still take to be worth a copy or a move.
const MIN_LEFT: Millis = Millis(600);

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
    ordered: Option<Ordered>,
    refusals: Refusals,
    footprint: Footprint,
    placed_at: Time,
    /// When its prompt should be read.
    read_by: Time,
    confirmed_at: Time,
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
        !has_begun && self.ordered.is_none() && self.confirmed_at.since(self.read_by) > STUCK_AFTER
    }

    /// The engines at which its memory, or a copy of it, lies, each once.
    fn occupied(&self) -> impl Iterator<Item = &UpstreamName> {
        let ordered = self.ordered.as_ref().map(|ordered| &ordered.to);
        let ordered = ordered.filter(|to| **to != self.engine);
        let backup = self.backup.as_ref();
        let backup = backup.filter(|name| **name != self.engine && ordered != Some(*name));
        std::iter::once(&self.engine).chain(ordered).chain(backup)
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
    lengths: LengthEstimator,
    /// Engines that leave, and since when.
    leaving: HashMap<UpstreamName, Time>,
    /// Links of engines over which memory is copied, and until when.
    links: HashMap<UpstreamName, Time>,
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
            lengths: LengthEstimator::new(),
            leaving: HashMap::new(),
            links: HashMap::new(),
            loads: RefCell::default(),
        }
    }

    /// Takes over what a new configuration says of the engines.
    pub fn reshape(&mut self, shape: EngineShape) {
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
    pub fn set_engines<'a>(&mut self, listed: impl IntoIterator<Item = (&'a Listed, bool)>) {
        let mut engines = BTreeMap::new();
        for (listed, is_usable) in listed {
            let known = self.engines.remove(&listed.name);
            let engine = known.unwrap_or_else(|| Engine::new(listed));
            engines.insert(listed.name.clone(), Engine { is_usable, ..engine });
        }
        self.engines = engines;
        self.changed();
    }

    /// Notes what the owner of the pool says of runs of other daemons.
    pub fn note_use(&mut self, now: Time, uses: &[EngineUse]) {
        for engine_use in uses {
            if let Some(engine) = self.engines.get_mut(&engine_use.engine) {
                engine.note_foreign(now, engine_use.running, engine_use.tokens);
            }
        }
        self.changed();
    }

    /// What runs at each engine, apart from the runs of `holder`.
    pub fn use_apart_from(&self, now: Time, holder: &HostName) -> Vec<EngineUse> {
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
            reported_at: now,
            length_distribution: self.lengths.distribution(
                &self.service,
                &state.kind,
                &state.organisation,
            ),
        }
    }

    /// Decides about a new run. Asking again changes nothing: a run that was placed gets the same
    /// place, one that waits goes on waiting.
    pub fn place(&mut self, now: Time, wish: Wish) -> Answer {
        if let Some(run) = self.runs.get(&wish.run).filter(|run| !wish.avoid.contains(&run.engine))
        {
            return Answer::Placed(Place {
                engine: run.engine.clone(),
                backup: run.backup.clone(),
            });
        }
        let must_queue = self.queue.has_before(now, &wish);
        if !must_queue && let Choice::Fits(place) = self.find(now, &wish) {
            self.start(now, &wish, &place);
            return Answer::Placed(place);
        }
        let wait = self.expected_wait(now, &wish);
        if !self.engines.values().any(|engine| engine.is_usable) {
            return Answer::Refused(NO_ENGINE_RETRY);
        }
        if now + wait > wish.patience_until {
            self.queue.remove(&wish.run);
            return Answer::Refused(retry_after(wait));
        }
        self.queue.push(now, wish);
        Answer::Waits
    }

    /// Withdraws a run that waits or has just been placed.
    pub fn withdraw(&mut self, run: &RunId) {
        self.queue.remove(run);
        self.runs.remove(run);
        self.changed();
    }

    /// Places what fits now, and refuses what waited too long.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        self.runs.retain(|_, run| now.since(run.confirmed_at) < RUN_LIFETIME);
        let mut events = Vec::new();
        for wish in self.queue.expire(now) {
            let wait = self.expected_wait(now, &wish);
            events.push(Event::Refused(wish.run, retry_after(wait)));
        }
        self.changed();
        while let Some((place, wish)) = self.next_that_fits(now) {
            self.start(now, &wish, &place);
            events.push(Event::Placed(wish.run, place));
        }
        events
    }

    fn next_that_fits(&mut self, now: Time) -> Option<(Place, Wish)> {
        if self.queue.len() == 0 {
            return None;
        }
        // What does not fit now does not fit with a longer prompt of the same kind either.
        let mut unfit: HashMap<KindName, u32> = HashMap::new();
        for (wish, may_be_passed) in self.in_order(now) {
            let is_unfit = unfit.get(&wish.kind).is_some_and(|least| wish.prompt_tokens >= *least);
            let choice = if is_unfit { Choice::NoRoom } else { self.find(now, &wish) };
            match choice {
                Choice::Fits(place) => return Some((place, wish)),
                Choice::NotNow => {}
                Choice::NoRoom => {
                    if !is_unfit && wish.avoid.is_empty() {
                        unfit.insert(wish.kind.clone(), wish.prompt_tokens);
                    }
                    if !may_be_passed {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// The waiting runs in the order in which they are due, each with whether others may pass it.
    fn in_order(&self, now: Time) -> Vec<(Wish, bool)> {
        let mut uses: HashMap<&OrganisationName, f64> = HashMap::new();
        for run in self.runs.values() {
            *uses.entry(&run.organisation).or_default() += run.tokens(now);
        }
        let order = self.queue.order(now, &uses);
        order.into_iter().map(|(wish, may_be_passed)| (wish.clone(), may_be_passed)).collect()
    }

    fn start(&mut self, now: Time, wish: &Wish, place: &Place) {
        self.queue.remove(&wish.run);
        let length_distribution =
            self.lengths.distribution(&self.service, &wish.kind, &wish.organisation);
        let engine = self.engines.get_mut(&place.engine);
        let read_by = engine.map_or(now, |engine| engine.reads_prompt(now, wish.reading_ms()));
        let run = Run {
            holder: wish.holder.clone(),
            organisation: wish.organisation.clone(),
            engine: place.engine.clone(),
            backup: place.backup.clone(),
            ordered: None,
            refusals: Refusals::default(),
            footprint: Footprint {
                prompt: f64::from(wish.prompt_tokens),
                written: 0.0,
                reported_at: now,
                length_distribution,
            },
            placed_at: now,
            read_by,
            confirmed_at: now,
        };
        self.note_start(now, place, &run.footprint);
        self.runs.insert(wish.run.clone(), run);
    }

    /// Takes the report of a daemon.
    pub fn report(&mut self, now: Time, holder: &HostName, report: &Report<'_>) {
        self.changed();
        for end in report.ended {
            self.lengths.learn(&self.service, &end.kind, &end.organisation, end.written);
        }
        for run in report.over {
            self.runs.remove(run);
        }
        for state in report.runs {
            let footprint = self.footprint(now, state);
            // Its holder may not know yet that the engine with the copy leaves.
            let backup = state.backup.clone().filter(|backup| self.is_usable(backup));
            match self.runs.get_mut(&state.run) {
                Some(run) => {
                    let (before, at) = (run.footprint.written as u32, run.footprint.reported_at);
                    let has_gone_on = before > 0 && run.engine == state.engine;
                    if has_gone_on && let Some(engine) = self.engines.get_mut(&state.engine) {
                        engine.note_pace(now, state.written.saturating_sub(before), now.since(at));
                    }
                    if run.engine != state.engine {
                        run.engine = state.engine.clone();
                        run.ordered = None;
                    }
                    run.note_move(now, state.moving_to.as_ref(), &state.refused);
                    run.backup = backup;
                    run.footprint = footprint;
                    run.confirmed_at = now;
                }
                None => {
                    let run = Run {
                        holder: holder.clone(),
                        organisation: state.organisation.clone(),
                        engine: state.engine.clone(),
                        backup,
                        ordered: None,
                        refusals: Refusals::default(),
                        footprint,
                        placed_at: now,
                        read_by: now,
                        confirmed_at: now,
                    };
                    self.runs.insert(state.run.clone(), run);
                }
            }
        }
        let named: HashSet<_> = report.runs.iter().map(|state| &state.run).collect();
        self.runs.retain(|id, run| {
            run.holder != *holder
                || named.contains(id)
                || now.since(run.placed_at) < NAMING_GRACE && run.confirmed_at == run.placed_at
        });
    }

    /// The time until a run can expect a place.
    fn expected_wait(&self, now: Time, wish: &Wish) -> Millis {
        let ahead: f64 = self.queue.tokens_before(now, wish);
        let left: Vec<_> =
            self.runs.values().map(|run| (run.tokens(now), run.time_left(now))).collect();
        let freed_per_ms: f64 = left.iter().map(|(tokens, left)| tokens / left.max(100.0)).sum();
        let need = ahead + f64::from(wish.prompt_tokens);
        match freed_per_ms > 0.0 {
            true => Millis((need / freed_per_ms) as u64),
            false => MIN_RETRY,
        }
    }
}

fn retry_after(wait: Millis) -> Millis {
    wait.clamp(MIN_RETRY, MAX_RETRY)
}
