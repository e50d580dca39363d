//! Moves off a leaving engine under random losses: orders that get lost or come late, refusals by
//! targets and by the leaving engine, holders that start again, and changes of the owner.

#[allow(dead_code, reason = "only some of it is needed here")]
#[path = "fixtures/pools.rs"]
mod pools;

use magnoliawinch::names::{HostName, ServiceName, UpstreamName};
use magnoliawinch::pool::{MoveMethod, Placement, Pool, Report, RunMove, RunState};
use magnoliawinch::time::{Millis, Time};
use pools::{config, listed, state};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::VecDeque;

const TICK: Millis = Millis(10);

const REPORT_INTERVAL: Millis = Millis(200);

/// Orders that arrive within this time are known at the next report that counts.
const ORDER_DELAY: Millis = Millis(40);

const COPY_TIME: Millis = Millis(350);

/// Time by which a run that nothing hinders has a move in progress.
const BOUND: Millis = Millis(2_000);

/// The same if its holder reports a move that does not end.
const BOUND_IF_STUCK: Millis = Millis(7_000);

const RUNS: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Action {
    Wait,
    LoseOrders,
    DelayOrders,
    LoseReports,
    TargetsRefuse,
    SourceUnreachable,
    /// The holder of a run gets no copies done until the next action but `Wait`.
    Stall(usize),
    /// The holder reports the next order to a run but does not carry it out.
    IgnoreOrder(usize),
    HolderRestarts(usize),
    BackupLost(usize),
    OwnerChanges,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let run = usize::arbitrary(g) % RUNS;
        match u8::arbitrary(g) % 20 {
            0..=1 => Self::LoseOrders,
            2 => Self::DelayOrders,
            3 => Self::LoseReports,
            4..=5 => Self::TargetsRefuse,
            6..=7 => Self::SourceUnreachable,
            8 => Self::Stall(run),
            9 => Self::HolderRestarts(run),
            10 => Self::BackupLost(run),
            11 => Self::OwnerChanges,
            12 => Self::IgnoreOrder(run),
            _ => Self::Wait,
        }
    }
}

/// A run at its holder.
#[derive(Clone, Debug)]
struct HeldRun {
    id: String,
    engine: UpstreamName,
    backup: Option<UpstreamName>,
    moving_to: Option<UpstreamName>,
    refused: Vec<UpstreamName>,
    orders: VecDeque<RunMove>,
    /// The move being made, and when it ends.
    copy: Option<(RunMove, Time)>,
    /// Since when nothing has hindered its move.
    idle_since: Time,
    was_stuck: bool,
    ignores_order: bool,
}

impl HeldRun {
    fn new(n: usize, generation: usize, now: Time) -> Self {
        Self {
            id: format!("r{n}-{generation}"),
            engine: UpstreamName::new("e0"),
            backup: (n == 0).then(|| UpstreamName::new("e1")),
            moving_to: None,
            refused: Vec::new(),
            orders: VecDeque::new(),
            copy: None,
            idle_since: now,
            was_stuck: false,
            ignores_order: false,
        }
    }

    fn state(&self) -> RunState {
        let backup = self.backup.clone();
        let placement = Placement { backup, ..Placement::new(self.engine.clone()) };
        RunState {
            moving_to: self.moving_to.clone(),
            refused: self.refused.clone(),
            ..state(&self.id, &placement, 2_000, 20)
        }
    }

    fn queue(&mut self, now: Time, order: RunMove) {
        self.refused.retain(|name| *name != order.to);
        self.moving_to = Some(order.to.clone());
        if std::mem::take(&mut self.ignores_order) {
            (self.was_stuck, self.idle_since) = (true, now);
        } else {
            self.orders.push_back(order);
        }
    }

    fn fail(&mut self, refused_by: Option<&UpstreamName>) {
        self.moving_to = None;
        self.refused.retain(|name| Some(name) != refused_by);
        self.refused.extend(refused_by.cloned());
    }
}

struct World {
    now: Time,
    pool: Pool,
    runs: Vec<HeldRun>,
    on_the_way: Vec<(Time, RunMove)>,
    last: Action,
    restarts: usize,
    /// Whether late orders or another owner may have left a second order with a holder.
    may_have_two_orders: bool,
}

impl World {
    fn new() -> Self {
        let now = Time(1_000);
        Self {
            now,
            pool: new_pool(),
            runs: (0..RUNS).map(|n| HeldRun::new(n, 0, now)).collect(),
            on_the_way: Vec::new(),
            last: Action::Wait,
            restarts: 0,
            may_have_two_orders: false,
        }
    }

    fn step(&mut self, action: Action) -> Result<(), String> {
        self.last = action;
        match action {
            Action::HolderRestarts(n) => {
                self.restarts += 1;
                self.runs[n] = HeldRun::new(n, self.restarts, self.now);
            }
            Action::BackupLost(n) => self.runs[n].backup = None,
            Action::OwnerChanges => {
                self.pool = new_pool();
                self.may_have_two_orders |= !self.on_the_way.is_empty();
            }
            Action::DelayOrders => self.may_have_two_orders = true,
            Action::IgnoreOrder(n) => self.runs[n].ignores_order = true,
            _ => {}
        }
        (0..REPORT_INTERVAL.0 / TICK.0).try_for_each(|_| self.tick())?;
        if !matches!(action, Action::LoseReports) {
            let runs: Vec<_> = self.runs.iter().map(HeldRun::state).collect();
            let report = Report { runs: &runs, ..Report::default() };
            self.pool.report(self.now, &HostName::new("edge-1"), &report);
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), String> {
        self.now = self.now + TICK;
        let now = self.now;
        let due: Vec<_> = self.on_the_way.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            if let Some(run) = self.runs.iter_mut().find(|run| run.id == order.run.as_str()) {
                run.queue(now, order);
            }
        }
        (0..RUNS).for_each(|n| self.advance(n));
        self.pool.find_draining_engines(now);
        self.pool.tick(now);
        for order in self.pool.plan_moves(now, None) {
            self.check_single(&order)?;
            let delay = match self.last {
                Action::LoseOrders => continue,
                Action::DelayOrders => Millis(250),
                _ => ORDER_DELAY,
            };
            self.on_the_way.push((now + delay, order));
        }
        let status = self.pool.drain_status(now).unwrap_or_default();
        if status.waiting_for_link > 0 && status.moving == 0 {
            return Err(format!("a link is reserved without a move: {status:?}"));
        }
        self.check_progress()
    }

    /// Makes the moves that a holder was ordered to make.
    fn advance(&mut self, n: usize) {
        let (now, last) = (self.now, self.last);
        let run = &mut self.runs[n];
        if matches!(last, Action::Stall(stalled) if stalled == n) {
            run.was_stuck = true;
            return;
        }
        if let Some((order, _)) = run.copy.take_if(|(_, at)| *at <= now) {
            let (to, is_backup) = (order.to, order.way == MoveMethod::Backup);
            let has_backup = run.backup.take_if(|backup| *backup == to).is_some();
            if is_backup && !has_backup {
                run.fail(None);
            } else if matches!(last, Action::SourceUnreachable) && !is_backup {
                run.fail(Some(&UpstreamName::new("e0")));
            } else if matches!(last, Action::TargetsRefuse) {
                run.fail((!is_backup).then_some(&to));
            } else {
                run.engine = to;
                run.moving_to = None;
                run.refused.clear();
            }
        }
        if run.copy.is_none()
            && let Some(order) = run.orders.pop_front()
        {
            match order.from == run.engine {
                true => run.copy = Some((order, now + COPY_TIME)),
                false => run.fail(None),
            }
        }
    }

    /// An owner gives no order while one of its orders is in force.
    fn check_single(&self, order: &RunMove) -> Result<(), String> {
        let run = self.runs.iter().find(|run| run.id == order.run.as_str());
        let in_force = run.is_some_and(|run| !run.was_stuck && run.moving_to.is_some());
        let sent = self.on_the_way.iter().any(|(_, sent)| sent.run == order.run);
        match (in_force || sent) && !self.may_have_two_orders {
            true => Err(format!("second order at {:?}: {order:?}, {run:?}", self.now)),
            false => Ok(()),
        }
    }

    fn check_progress(&mut self) -> Result<(), String> {
        let (now, is_calm) = (self.now, matches!(self.last, Action::Wait));
        for run in &mut self.runs {
            let is_moving = run.copy.is_some() || run.engine.as_str() != "e0";
            if is_moving || !is_calm {
                run.idle_since = now;
            }
            let bound = if run.was_stuck { BOUND_IF_STUCK } else { BOUND };
            if now.since(run.idle_since) > bound {
                return Err(format!("not ordered to move at {now:?}: {run:?}"));
            }
        }
        Ok(())
    }
}

fn new_pool() -> Pool {
    let mut pool = Pool::new(ServiceName::new("guide"), config());
    let engines = ["e0", "e1", "e2", "e3"].map(|name| listed(name, "a"));
    pool.set_engines(engines.iter().map(|listed| (listed, listed.name.as_str() != "e0")));
    pool
}

/// Does the actions, then waits until every run has left the engine.
fn violation(actions: &[Action]) -> Result<(), String> {
    let mut world = World::new();
    actions.iter().try_for_each(|action| world.step(*action))?;
    (0..60).try_for_each(|_| world.step(Action::Wait))?;
    let left = world.runs.iter().filter(|run| run.engine.as_str() == "e0").count();
    if left > 0 { Err(format!("{left} runs are still on the leaving engine")) } else { Ok(()) }
}

/// Orders, reports, holders or owners were lost at a bad moment, and a run stayed on its engine until
/// that had stopped.
#[test]
fn runs_leave_a_draining_engine_whatever_gets_lost() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(actions: Vec<Action>) -> Result<(), String> {
        violation(&actions)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 1))
        .tests(400)
        .quickcheck(holds as fn(Vec<Action>) -> Result<(), String>);
}
