//! The runs held by this daemon.

use magnoliawinch::cells::{Cell, Layout};
use magnoliawinch::crash_detection::UpstreamProcess;
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::{KindName, OrganisationName, RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{EndedRun, EngineSlowdown, Placement, Report, RunState};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::upstream_notices::Incarnation;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Move orders that may be queued for one run.
const ORDER_QUEUE_LEN: usize = 4;

/// Engines that refused a run of which its owner hears; it forgets each after a moment.
const MAX_REPORTED_REFUSALS: usize = 8;

/// An engine and its address, which may not be on this daemon's list of upstreams yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Endpoint {
    pub(crate) name: UpstreamName,
    pub(crate) address: SocketAddr,
    /// When this incarnation started, in milliseconds since 1970 by its own clock.
    pub(crate) born: u64,
}

impl Endpoint {
    pub(crate) fn incarnation(&self, service: &ServiceName) -> Incarnation {
        Incarnation { service: service.clone(), name: self.name.clone(), born: self.born }
    }

    pub(crate) fn process(&self) -> UpstreamProcess {
        UpstreamProcess { name: self.name.clone(), born: self.born, address: self.address }
    }
}

impl From<&UpstreamProcess> for Endpoint {
    fn from(process: &UpstreamProcess) -> Self {
        Self { name: process.name.clone(), address: process.address, born: process.born }
    }
}

impl From<&ListedUpstream> for Endpoint {
    fn from(listed: &ListedUpstream) -> Self {
        Self { name: listed.name.clone(), address: listed.address, born: listed.born }
    }
}

/// The engines assigned to a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(crate) engine: Endpoint,
    /// Engine that keeps a copy of the run's memory.
    pub(crate) backup: Option<Endpoint>,
    /// Slowdown of the engine's machine up to which the prompt makes no stream there late, in hundredths
    /// of the usual time; `None` if no stream is at risk.
    pub(crate) max_slowdown_percent: Option<u32>,
}

impl Assignment {
    pub(crate) fn new(engine: Endpoint, backup: Option<Endpoint>) -> Self {
        Self { engine, backup, max_slowdown_percent: None }
    }

    fn names(&self) -> Placement {
        Placement {
            backup: self.backup.as_ref().map(|backup| backup.name.clone()),
            ..Placement::new(self.engine.name.clone())
        }
    }
}

/// An order for a run to continue at another engine.
#[derive(Clone, Debug)]
pub(crate) struct MoveOrder {
    /// The engine to leave.
    pub(crate) from: UpstreamName,
    /// The engine to continue at.
    pub(crate) to: Endpoint,
    /// How the run's memory gets there.
    pub(crate) way: magnoliawinch::pool::MoveMethod,
}

#[derive(Clone, Debug, Default)]
struct MoveProgress {
    to: Option<UpstreamName>,
    /// Whether the run's memory is there.
    is_copied: bool,
    /// Engines that refused the run since it was ordered to move and were not tried again, latest
    /// last.
    refused_by: Vec<UpstreamName>,
}

/// Immutable properties of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunInfo {
    pub(crate) run: RunId,
    pub(crate) service: ServiceName,
    pub(crate) kind: KindName,
    pub(crate) organisation: OrganisationName,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    /// Longest pause between events for which it is on time.
    pub(crate) max_pause: Option<Millis>,
    /// Whether it runs in a pool of engines, whose owner receives reports of it.
    pub(crate) is_pooled: bool,
}

#[derive(Debug)]
struct ActiveRun {
    info: RunInfo,
    assignment: Mutex<Assignment>,
    tokens_written: AtomicU32,
    moving: Mutex<MoveProgress>,
    orders: mpsc::Sender<MoveOrder>,
}

impl ActiveRun {
    fn assignment(&self) -> MutexGuard<'_, Assignment> {
        self.assignment.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn moving(&self) -> MutexGuard<'_, MoveProgress> {
        self.moving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> RunState {
        let moving = self.moving().clone();
        let placement = self.assignment().names();
        RunState {
            run: self.info.run.clone(),
            kind: self.info.kind.clone(),
            organisation: self.info.organisation.clone(),
            engine: placement.engine,
            backup: placement.backup,
            prompt_tokens: self.info.prompt_tokens,
            written: self.tokens_written.load(Ordering::Relaxed),
            max_tokens: self.info.max_tokens,
            priority: self.info.priority,
            moving_to: moving.to,
            is_copied: moving.is_copied,
            refused: moving.refused_by,
            max_pause: self.info.max_pause,
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    active: HashMap<RunId, Arc<ActiveRun>>,
    unreported: HashMap<ServiceName, Unreported>,
}

/// Events in a service since the last report.
#[derive(Debug, Default)]
struct Unreported {
    ended: Vec<EndedRun>,
    /// Runs no longer held, each with its last engine.
    released: Vec<(RunId, UpstreamName)>,
    /// How long work takes on the engines that have responded, in hundredths of the usual time.
    slowdowns: HashMap<UpstreamName, (Time, u32)>,
}

/// The runs of a service and its events since the last report.
#[derive(Debug, Default)]
pub(crate) struct RunsUpdate {
    pub(crate) runs: Vec<RunState>,
    pub(crate) ended: Vec<EndedRun>,
    /// Runs no longer held, each with its last engine.
    pub(crate) released: Vec<(RunId, UpstreamName)>,
    pub(crate) slowdowns: Vec<EngineSlowdown>,
}

impl RunsUpdate {
    /// The same as a report to a pool; `released` are the ids of the runs no longer held.
    pub(crate) fn report<'a>(&'a self, released: &'a [RunId]) -> Report<'a> {
        Report { runs: &self.runs, ended: &self.ended, released, slowdowns: &self.slowdowns }
    }

    /// Ids of the runs no longer held.
    pub(crate) fn released_ids(&self) -> Vec<RunId> {
        self.released.iter().map(|(run, _)| run.clone()).collect()
    }

    /// Splits the update by cell. Statistics of ended runs go to `home`, which always has an entry.
    pub(crate) fn by_cell(self, layout: Layout, home: Cell) -> BTreeMap<Cell, Self> {
        let mut parts = BTreeMap::from([(home, Self::default())]);
        for run in self.runs {
            parts.entry(layout.cell_of(&run.engine)).or_default().runs.push(run);
        }
        for (run, engine) in self.released {
            parts.entry(layout.cell_of(&engine)).or_default().released.push((run, engine));
        }
        for slowdown in self.slowdowns {
            parts.entry(layout.cell_of(&slowdown.engine)).or_default().slowdowns.push(slowdown);
        }
        parts.entry(home).or_default().ended = self.ended;
        parts
    }
}

/// The runs of this daemon, by id.
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
    pub(crate) fn register(
        &self,
        info: RunInfo,
        assignment: Assignment,
    ) -> (RunGuard, mpsc::Receiver<MoveOrder>) {
        let (orders, receiver) = mpsc::channel(ORDER_QUEUE_LEN);
        let tokens_written = AtomicU32::new(0);
        let (assignment, moving) = (Mutex::new(assignment), Mutex::default());
        let active = Arc::new(ActiveRun { info, assignment, tokens_written, moving, orders });
        self.lock().active.insert(active.info.run.clone(), Arc::clone(&active));
        (RunGuard { runs: self.clone(), active, completed: false }, receiver)
    }

    pub(crate) fn states(&self, service: &ServiceName) -> Vec<RunState> {
        let inner = self.lock();
        let of_service = inner.active.values().filter(|active| active.info.service == *service);
        of_service.map(|active| active.state()).collect()
    }

    /// Whether a run of a service is at an engine.
    pub(crate) fn holds_run_at(&self, service: &ServiceName, engine: &UpstreamName) -> bool {
        let inner = self.lock();
        let mut of_service = inner.active.values().filter(|active| active.info.service == *service);
        of_service.any(|active| active.assignment().engine.name == *engine)
    }

    /// Current states of the runs of a service, and its events since the last call.
    pub(crate) fn take_update(&self, now: Time, service: &ServiceName) -> RunsUpdate {
        let runs = self.states(service);
        let unreported = self.lock().unreported.remove(service).unwrap_or_default();
        let slowdowns = unreported.slowdowns.into_iter();
        let slowdowns = slowdowns.map(|(engine, (at, percent))| EngineSlowdown {
            engine,
            percent,
            age: now.since(at),
        });
        RunsUpdate {
            runs,
            ended: unreported.ended,
            released: unreported.released,
            slowdowns: slowdowns.collect(),
        }
    }

    /// Notes how long work takes on the machine of an engine that has responded.
    pub(crate) fn note_slowdown(
        &self,
        now: Time,
        service: &ServiceName,
        engine: &UpstreamName,
        percent: u32,
    ) {
        let mut inner = self.lock();
        let unreported = inner.unreported.entry(service.clone()).or_default();
        unreported.slowdowns.insert(engine.clone(), (now, percent));
    }

    /// Sends an order to a run; returns whether the run is held here and its queue has room.
    pub(crate) fn send_order(&self, run: &RunId, order: MoveOrder) -> bool {
        let active = self.lock().active.get(run).cloned();
        active.is_some_and(|active| {
            let to = order.to.name.clone();
            // Locked until the target is set, so that the run cannot end the move before.
            let mut moving = active.moving();
            let is_sent = active.orders.try_send(order).is_ok();
            if is_sent {
                moving.refused_by.retain(|name| *name != to);
                (moving.to, moving.is_copied) = (Some(to), false);
            }
            is_sent
        })
    }
}

/// Keeps a run registered until dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    runs: Runs,
    active: Arc<ActiveRun>,
    completed: bool,
}

impl RunGuard {
    /// Sets where the run continues and ends its move.
    pub(crate) fn set_assignment(&self, assignment: Assignment) {
        *self.active.assignment() = assignment;
        *self.active.moving() = MoveProgress::default();
    }

    /// Notes that the run's memory is at the target of its move.
    pub(crate) fn mark_copied(&self) {
        let mut moving = self.active.moving();
        moving.is_copied = moving.to.is_some();
    }

    /// Notes that the move failed; `refused_by` is the engine that refused the run: the target, or the
    /// run's own.
    pub(crate) fn move_failed(&self, refused_by: Option<&UpstreamName>) {
        let mut moving = self.active.moving();
        (moving.to, moving.is_copied) = (None, false);
        let Some(refused_by) = refused_by else {
            return;
        };
        moving.refused_by.retain(|name| name != refused_by);
        if moving.refused_by.len() >= MAX_REPORTED_REFUSALS {
            moving.refused_by.remove(0);
        }
        moving.refused_by.push(refused_by.clone());
    }

    /// Notes that the copy at the backup engine is no longer usable.
    pub(crate) fn drop_backup(&self) {
        self.active.assignment().backup = None;
    }

    pub(crate) fn set_tokens_written(&self, tokens: u32) {
        self.active.tokens_written.store(tokens, Ordering::Relaxed);
    }

    /// Notes that the run ended normally.
    pub(crate) fn mark_completed(&mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let info = &self.active.info;
        let mut inner = self.runs.lock();
        inner.active.remove(&info.run);
        if !info.is_pooled {
            return;
        }
        let unreported = inner.unreported.entry(info.service.clone()).or_default();
        unreported.released.push((info.run.clone(), self.active.assignment().engine.name.clone()));
        if self.completed {
            unreported.ended.push(EndedRun {
                kind: info.kind.clone(),
                organisation: info.organisation.clone(),
                written: self.active.tokens_written.load(Ordering::Relaxed),
            });
        }
    }
}
