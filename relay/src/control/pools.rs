//! The pools: places and moves.

use super::reports::report_every;
use super::{Control, Decided};
use crate::runs::{MoveOrder, Placed, Target};
use magnoliawinch::cells::Cell;
use magnoliawinch::fleet::{Fleet, ListedUpstream};
use magnoliawinch::names::{RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{
    Event, MoveMethod, Placement, PlacementDecision, PlacementRequest, Pool, Report, RunMove,
};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::RelocateRequest;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between two lines that say how full the pools are.
const LOG_EVERY: Millis = Millis(1_000);

/// Time for an order to reach the holder of a run.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a question for a place is held before it is answered that the run still waits.
const HELD: Millis = Millis(200);

/// Time beyond two reports after which an owner that has not answered counts as silent, and a
/// daemon moves its runs by itself.
const OWNER_LAG: Millis = Millis(250);

#[derive(Debug)]
struct Asker {
    service: ServiceName,
    until: Time,
    reply: oneshot::Sender<Decided>,
}

/// The engines of one service in one cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PoolKey {
    pub(super) service: ServiceName,
    pub(super) cell: Cell,
}

/// The pools of the cells that concern this daemon, and who waits for a place.
#[derive(Debug)]
pub(super) struct Pools {
    pub(super) by_key: HashMap<PoolKey, Pool>,
    askers: HashMap<RunId, Asker>,
    pub(super) reported_at: Time,
    pub(super) report_soon: bool,
    /// When the owner that decides for this daemon's cell last answered a report.
    pub(super) owner_heard_at: Time,
    logged_at: Time,
}

impl Pools {
    pub(super) fn new(now: Time) -> Self {
        Self {
            by_key: HashMap::new(),
            askers: HashMap::new(),
            reported_at: now,
            report_soon: false,
            owner_heard_at: now,
            logged_at: now,
        }
    }

    /// Whether something waits for the next tick.
    pub(super) fn is_busy(&self) -> bool {
        let has_movers = || self.by_key.values().any(Pool::has_runs_to_move);
        !self.askers.is_empty() || self.report_soon || has_movers()
    }

    /// Reports with the next tick.
    pub(super) fn report_soon(&mut self) {
        self.report_soon = true;
    }
}

impl Control {
    /// Makes a pool for each service of engines in each cell that concerns this daemon.
    pub(super) fn shape_pools(&mut self) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let cells = self.pool_cells();
        let pools = &mut self.pools.by_key;
        pools.retain(|key, _| {
            let service = table.service(key.service.as_str());
            cells.contains(&key.cell) && service.is_some_and(|service| service.engine.is_some())
        });
        for (name, shape) in table.engine_services() {
            for cell in &cells {
                let key = PoolKey { service: name.clone(), cell: *cell };
                match pools.get_mut(&key) {
                    Some(pool) => pool.set_shape(shape),
                    None => {
                        pools.insert(key, Pool::new(name.clone(), shape));
                    }
                }
            }
        }
        self.fill_pools();
    }

    /// Tells the pools which engines there are.
    pub(super) fn fill_pools(&mut self) {
        let fleet = &self.fleet;
        for (PoolKey { service, cell }, pool) in &mut self.pools.by_key {
            let is_in_pool =
                |listed: &&ListedUpstream| listed.service == *service && cell.has(&listed.name);
            let engines = fleet.all().filter(is_in_pool);
            pool.set_engines(engines.map(|listed| (listed, fleet.is_usable(&listed.name))));
        }
    }

    /// Decides about a place.
    pub(super) fn place(
        &mut self,
        now: Time,
        service: ServiceName,
        cell: Cell,
        wish: PlacementRequest,
        reply: oneshot::Sender<Decided>,
    ) {
        let is_known = self.cells.covered.covers_cell(cell);
        let key = PoolKey { service: service.clone(), cell };
        let pool = is_known.then(|| self.pools.by_key.get_mut(&key)).flatten();
        let Some(pool) = pool else {
            let _ = reply.send(Decided::Unknown);
            return;
        };
        let run = wish.run.clone();
        match pool.place(now, wish) {
            PlacementDecision::Placed(place) => {
                let _ = reply.send(placed(&self.fleet, &place));
            }
            PlacementDecision::Refused(wait) => {
                let _ = reply.send(Decided::Refused(wait));
            }
            PlacementDecision::Queued => {
                let asker = Asker { service, until: now + HELD, reply };
                self.pools.askers.insert(run, asker);
            }
        }
    }

    pub(super) fn tick_pools(&mut self, now: Time) {
        for pool in self.pools.by_key.values_mut() {
            for event in pool.tick(now) {
                let (run, decided) = match event {
                    Event::Placed(run, place) => (run, placed(&self.fleet, &place)),
                    Event::Refused(run, wait) => (run, Decided::Refused(wait)),
                };
                if let Some(asker) = self.pools.askers.remove(&run) {
                    let _ = asker.reply.send(decided);
                }
            }
        }
        let is_due = |_: &RunId, asker: &mut Asker| asker.until <= now;
        let due: Vec<_> = self.pools.askers.extract_if(is_due).collect();
        for (run, asker) in due {
            log::debug!(run = run.as_str(), service = asker.service.as_str(); "still waits");
            let _ = asker.reply.send(Decided::Waits);
        }
        self.report_if_due(now);
        self.move_runs(now);
        self.log_occupancy(now);
    }

    /// The part of a cell's memory that is in use or waited for.
    pub(super) fn load_of(&self, now: Time, cell: Cell) -> f32 {
        let pools = self.pools.by_key.iter().filter(|(key, _)| key.cell == cell);
        let (used, memory) = pools.fold((0, 0), |(used, memory), (_, pool)| {
            let occupancy = pool.occupancy(now);
            let wanted = occupancy.tokens + occupancy.waiting_tokens;
            (used + wanted, memory + occupancy.memory_tokens)
        });
        if memory == 0 { 1.0 } else { used as f32 / memory as f32 }
    }

    /// Says how full the pools are, as the owner that decides.
    fn log_occupancy(&mut self, now: Time) {
        if now.since(self.pools.logged_at) < LOG_EVERY {
            return;
        }
        self.pools.logged_at = now;
        for (key, pool) in &self.pools.by_key {
            if !self.decides_in(key.cell) {
                continue;
            }
            let occupancy = pool.occupancy(now);
            log::info!(
                service = key.service.as_str(),
                cell = key.cell.number(),
                engines = occupancy.engines,
                running = occupancy.running,
                waiting = occupancy.waiting,
                tokens = occupancy.tokens,
                memory_tokens = occupancy.memory_tokens;
                "pool"
            );
        }
    }

    /// Gets runs off an upstream that leaves.
    pub(super) fn vacate(&mut self, now: Time, engine: &UpstreamName) {
        for (key, pool) in &mut self.pools.by_key {
            if key.cell.has(engine) {
                pool.drain_engine(now, engine);
            }
        }
        // Shows soon whether the owner is there to move what runs here.
        self.pools.report_soon();
    }

    /// Moves runs off upstreams that leave: as the owner for all daemons, else for its own runs
    /// when the owner's orders do not come.
    fn move_runs(&mut self, now: Time) {
        let own = self.membership.own().host.clone();
        let Millis(every) = report_every(self.cells.owners.share_of(self.members.len()));
        let silence = now.since(self.pools.owner_heard_at);
        let is_home_silent = silence > Millis(2 * every + OWNER_LAG.0);
        let owners = self.cells.owners.clone();
        let mut orders = Vec::new();
        for (key, pool) in &mut self.pools.by_key {
            let decider = owners.of(key.cell);
            let holder = match decider.first().is_none() || decider.are_led_by(&own) {
                true => None,
                false if is_home_silent && key.cell == owners.home() => Some(&own),
                false => continue,
            };
            if !pool.has_runs_to_move() {
                continue;
            }
            // What the runs here have written since the last report decides which are moved.
            let mut runs = self.shared.runs.states(&key.service);
            runs.retain(|run| key.cell.has(&run.engine));
            pool.report(now, &own, &Report { runs: &runs, ..Report::default() });
            orders.extend(pool.plan_moves(now, holder));
        }
        self.carry_out(&orders);
    }

    fn carry_out(&mut self, orders: &[RunMove]) {
        let own = self.membership.own().host.clone();
        for order in orders {
            log::info!(
                run = order.run.as_str(),
                holder = order.holder.as_str(),
                from = order.from.as_str(),
                to = order.to.as_str(),
                from_backup = order.way == MoveMethod::Backup;
                "run is ordered to move"
            );
            let Some(to) = target(&self.fleet, &order.to) else {
                continue;
            };
            let req = RelocateRequest {
                to_address: to.address.to_string(),
                run: order.run.to_string(),
                from: order.from.to_string(),
                to: order.to.to_string(),
                backup: order.way == MoveMethod::Backup,
            };
            if order.holder == own {
                self.relocate(&req);
                continue;
            }
            let Some(holder) = self.membership.get(order.holder.as_str()) else {
                continue;
            };
            let (shared, address) = (Arc::clone(&self.shared), holder.peer_address);
            self.shared.traffic.spawn(async move {
                let call = shared.peers.call(address, ORDER_TIMEOUT, |mut peer| async move {
                    peer.relocate(req).await
                });
                if let Err(e) = call.await {
                    log::warn!("an order to move did not arrive: {e}");
                }
            });
        }
    }

    /// Hands an order to the run that it is for.
    pub(super) fn relocate(&mut self, req: &RelocateRequest) {
        let name = UpstreamName::new(&req.to);
        let Ok(address) = req.to_address.parse() else {
            log::warn!(run = req.run.as_str(), to = req.to_address.as_str(); "ordered to no address");
            return;
        };
        let to = Target { name, address };
        let way = if req.backup { MoveMethod::Backup } else { MoveMethod::Copy };
        let order = MoveOrder { from: UpstreamName::new(&req.from), to, way };
        self.shared.runs.order(&RunId::new(&req.run), order);
    }
}

fn target(fleet: &Fleet, name: &UpstreamName) -> Option<Target> {
    let listed = fleet.get(name)?;
    Some(Target { name: name.clone(), address: listed.address })
}

fn placed(fleet: &Fleet, place: &Placement) -> Decided {
    match target(fleet, &place.engine) {
        Some(engine) => {
            let backup = place.backup.as_ref().and_then(|name| target(fleet, name));
            Decided::Placed(Placed { engine, backup })
        }
        None => Decided::Unknown,
    }
}
