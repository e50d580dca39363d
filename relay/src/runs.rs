//! The runs that this daemon holds.

use magnoliawinch::cells::{Cell, Layout};
use magnoliawinch::names::{KindName, OrganisationName, RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{EndedRun, Placement, Report, RunState};
use magnoliawinch::quarantine::Fingerprint;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Orders that wait for a run at the most.
const ORDERS: usize = 4;

/// An engine and where it listens; the daemon may not have it on its list yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) name: UpstreamName,
    pub(crate) address: SocketAddr,
}

/// Where a run goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placed {
    pub(crate) engine: Target,
    /// The engine that keeps a copy of its memory.
    pub(crate) backup: Option<Target>,
}

impl Placed {
    fn names(&self) -> Placement {
        Placement {
            engine: self.engine.name.clone(),
            backup: self.backup.as_ref().map(|backup| backup.name.clone()),
        }
    }
}

/// Tells a run to go on at another engine.
#[derive(Clone, Debug)]
pub(crate) struct MoveOrder {
    /// The engine that it leaves.
    pub(crate) from: UpstreamName,
    /// Where it goes on.
    pub(crate) to: Target,
    /// How it gets there.
    pub(crate) way: magnoliawinch::pool::MoveMethod,
}

/// What a run's holder knows of its move.
#[derive(Clone, Debug, Default)]
struct MoveNews {
    to: Option<UpstreamName>,
    refused: Vec<UpstreamName>,
}

/// What does not change about a run.
#[derive(Clone, Debug)]
pub(crate) struct RunFacts {
    pub(crate) run: RunId,
    pub(crate) service: ServiceName,
    pub(crate) kind: KindName,
    pub(crate) organisation: OrganisationName,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    /// Whether it has its place in a pool of engines, whose owner hears of it.
    pub(crate) is_pooled: bool,
    pub(crate) fingerprint: Fingerprint,
}

#[derive(Debug)]
struct Held {
    facts: RunFacts,
    place: Mutex<Placed>,
    written: AtomicU32,
    moving: Mutex<MoveNews>,
    orders: mpsc::Sender<MoveOrder>,
}

impl Held {
    fn place(&self) -> MutexGuard<'_, Placed> {
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn moving(&self) -> MutexGuard<'_, MoveNews> {
        self.moving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> RunState {
        let moving = self.moving().clone();
        let place = self.place().names();
        RunState {
            run: self.facts.run.clone(),
            kind: self.facts.kind.clone(),
            organisation: self.facts.organisation.clone(),
            engine: place.engine,
            backup: place.backup,
            prompt_tokens: self.facts.prompt_tokens,
            written: self.written.load(Ordering::Relaxed),
            max_tokens: self.facts.max_tokens,
            priority: self.facts.priority,
            moving_to: moving.to,
            refused: moving.refused,
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    held: HashMap<RunId, Arc<Held>>,
    news: HashMap<ServiceName, News>,
}

/// What happened in a service since the last report.
#[derive(Debug, Default)]
struct News {
    ended: Vec<EndedRun>,
    completed: Vec<Fingerprint>,
    /// Each with its last engine.
    over: Vec<(RunId, UpstreamName)>,
}

/// The runs of a service, for a report.
#[derive(Debug, Default)]
pub(crate) struct OwnRuns {
    pub(crate) runs: Vec<RunState>,
    pub(crate) ended: Vec<EndedRun>,
    /// Fingerprints of those that ended by themselves.
    pub(crate) completed: Vec<Fingerprint>,
    /// Those that are not held any more, each with its last engine.
    pub(crate) over: Vec<(RunId, UpstreamName)>,
}

impl OwnRuns {
    /// The same for a pool, with the ids of those that are not held any more.
    pub(crate) fn report<'a>(&'a self, over: &'a [RunId]) -> Report<'a> {
        Report { runs: &self.runs, ended: &self.ended, released: over }
    }

    /// The ids of those that are not held any more.
    pub(crate) fn over_ids(&self) -> Vec<RunId> {
        self.over.iter().map(|(run, _)| run.clone()).collect()
    }

    /// What concerns each cell. What is learned from ended runs goes to `home`, of which there is
    /// always a part.
    pub(crate) fn by_cell(self, layout: Layout, home: Cell) -> BTreeMap<Cell, Self> {
        let mut parts = BTreeMap::from([(home, Self::default())]);
        for run in self.runs {
            parts.entry(layout.cell_of(&run.engine)).or_default().runs.push(run);
        }
        for (run, engine) in self.over {
            parts.entry(layout.cell_of(&engine)).or_default().over.push((run, engine));
        }
        let at_home = parts.entry(home).or_default();
        at_home.ended = self.ended;
        at_home.completed = self.completed;
        parts
    }
}

/// The runs of this daemon by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs {
    inner: Arc<Mutex<Inner>>,
}

impl Runs {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a run until the guard is dropped.
    pub(crate) fn enter(
        &self,
        facts: RunFacts,
        place: Placed,
    ) -> (RunGuard, mpsc::Receiver<MoveOrder>) {
        let (orders, receiver) = mpsc::channel(ORDERS);
        let written = AtomicU32::new(0);
        let (place, moving) = (Mutex::new(place), Mutex::default());
        let held = Arc::new(Held { facts, place, written, moving, orders });
        self.lock().held.insert(held.facts.run.clone(), Arc::clone(&held));
        (RunGuard { runs: self.clone(), held, completed: false }, receiver)
    }

    /// The runs of a service as they are now.
    pub(crate) fn states(&self, service: &ServiceName) -> Vec<RunState> {
        let inner = self.lock();
        let of_service = inner.held.values().filter(|held| held.facts.service == *service);
        of_service.map(|held| held.state()).collect()
    }

    /// The runs of a service, and those that ended since the last call.
    pub(crate) fn take(&self, service: &ServiceName) -> OwnRuns {
        let runs = self.states(service);
        let news = self.lock().news.remove(service).unwrap_or_default();
        OwnRuns { runs, ended: news.ended, completed: news.completed, over: news.over }
    }

    /// Hands an order to a run; returns whether it is held here and can take it.
    pub(crate) fn order(&self, run: &RunId, order: MoveOrder) -> bool {
        let held = self.lock().held.get(run).cloned();
        held.is_some_and(|held| {
            held.moving().to = Some(order.to.name.clone());
            held.orders.try_send(order).is_ok()
        })
    }
}

/// A run that this daemon holds.
#[derive(Debug)]
pub(crate) struct RunGuard {
    runs: Runs,
    held: Arc<Held>,
    completed: bool,
}

impl RunGuard {
    pub(crate) fn place(&self) -> Placed {
        self.held.place().clone()
    }

    /// Notes where the run goes on.
    pub(crate) fn moved(&self, place: Placed) {
        *self.held.place() = place;
        *self.held.moving() = MoveNews::default();
    }

    /// Notes that the move in progress ended without success; `refused_by` cannot take the run.
    pub(crate) fn move_failed(&self, refused_by: Option<&UpstreamName>) {
        let mut moving = self.held.moving();
        moving.to = None;
        moving.refused.extend(refused_by.cloned());
    }

    /// Notes that the copy at another engine is of no use any more.
    pub(crate) fn lost_backup(&self) {
        self.held.place().backup = None;
    }

    /// Notes how many tokens are written.
    pub(crate) fn wrote(&self, tokens: u32) {
        self.held.written.store(tokens, Ordering::Relaxed);
    }

    /// Notes that the run came to its own end.
    pub(crate) fn completed(&mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let facts = &self.held.facts;
        let mut inner = self.runs.lock();
        inner.held.remove(&facts.run);
        if !facts.is_pooled {
            return;
        }
        let news = inner.news.entry(facts.service.clone()).or_default();
        news.over.push((facts.run.clone(), self.held.place().engine.name.clone()));
        if self.completed {
            news.completed.push(facts.fingerprint);
            news.ended.push(EndedRun {
                kind: facts.kind.clone(),
                organisation: facts.organisation.clone(),
                written: self.held.written.load(Ordering::Relaxed),
            });
        }
    }
}
