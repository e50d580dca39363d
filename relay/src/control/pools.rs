//! Engine pools: placement of new runs and moves of running ones.

use super::{Control, PlaceOutcome};
use crate::runs::{Assignment, Endpoint, MoveOrder};
use magnoliawinch::cells::{Cell, report_interval};
use magnoliawinch::fleet::{Fleet, ListedUpstream};
use magnoliawinch::names::{RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{
    Event, FailedMoves, MoveMethod, Placement, PlacementDecision, PlacementRequest, Pool, Report,
    RunMove,
};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::RelocateRequest;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval of the log lines about pool occupancy.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Timeout for delivering a move order to the holder of a run.
const MOVE_ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a placement request is held open before the reply that the run still waits.
const LONG_POLL_TIMEOUT: Millis = Millis(200);

/// Part of the shared retry budget for hand-offs.
const HANDOFF_SHARE: f64 = 0.5;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Time without a reply, beyond two report intervals, after which an owner counts as silent and the
/// daemon moves its runs itself.
const OWNER_REPLY_SLACK: Millis = Millis(250);

/// A placement request held open until the run is placed or refused, or until `deadline`.
#[derive(Debug)]
struct Waiter {
    service: ServiceName,
    deadline: Time,
    reply: oneshot::Sender<PlaceOutcome>,
}

/// The engines of one service in one cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PoolKey {
    pub(super) service: ServiceName,
    pub(super) cell: Cell,
}

/// The pools of this daemon's cells, and the placement requests without a decision.
#[derive(Debug)]
pub(super) struct Pools {
    pub(super) by_key: HashMap<PoolKey, Pool>,
    waiters: HashMap<RunId, Waiter>,
    /// When the next regular report is due.
    pub(super) report_due_at: Time,
    pub(super) report_soon: bool,
    /// When the primary owner of this daemon's home cell last replied to a report.
    pub(super) owner_replied_at: Time,
    logged_at: Time,
}

impl Pools {
    pub(super) fn new(now: Time) -> Self {
        Self {
            by_key: HashMap::new(),
            waiters: HashMap::new(),
            report_due_at: now,
            report_soon: false,
            owner_replied_at: now,
            logged_at: now,
        }
    }

    /// Whether there is work for the next tick.
    pub(super) fn is_busy(&self) -> bool {
        let has_runs_to_move = || self.by_key.values().any(Pool::has_runs_to_move);
        !self.waiters.is_empty() || self.report_soon || has_runs_to_move()
    }

    /// Sends reports on the next tick.
    pub(super) fn report_soon(&mut self) {
        self.report_soon = true;
    }
}

impl Control {
    /// Keeps one pool per engine service in each of this daemon's cells.
    pub(super) fn sync_pools(&mut self) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let cells = self.pool_cells();
        let (per_placement, per_second) = self.handoff_limits();
        let weights = &self.shared.settings.sharing;
        let pools = &mut self.pools.by_key;
        pools.retain(|key, _| {
            let service = table.service(key.service.as_str());
            cells.contains(&key.cell) && service.is_some_and(|service| service.engine.is_some())
        });
        for (name, config) in table.engine_services() {
            for cell in &cells {
                let key = PoolKey { service: name.clone(), cell: *cell };
                match pools.get_mut(&key) {
                    Some(pool) => pool.set_config(config),
                    None => {
                        let pool = Pool::new(name.clone(), config)
                            .with_pauses_kept(self.shared.settings.scheduling.keeps_pauses)
                            .with_handoffs(per_placement, per_second);
                        let pool = match weights {
                            Some(weights) => pool.with_sharing(weights.clone()),
                            None => pool,
                        };
                        pools.insert(key, pool);
                    }
                }
            }
        }
        self.update_pool_engines();
    }

    /// Hand-offs for each placed run and for each second in one cell: a part of the shared retry budget,
    /// which counts a run that continues elsewhere.
    fn handoff_limits(&self) -> (f64, f64) {
        let retries = &self.shared.settings.bounds.retries;
        let window_s = retries.window.0 as f64 / MILLIS_PER_SECOND;
        let cells = f64::from(self.cells.layout.cell_count());
        (HANDOFF_SHARE * retries.ratio, HANDOFF_SHARE * retries.slack / window_s.max(1.0) / cells)
    }

    /// Updates the engines of all pools from the list of upstreams.
    pub(super) fn update_pool_engines(&mut self) {
        let fleet = &self.fleet;
        for (PoolKey { service, cell }, pool) in &mut self.pools.by_key {
            let is_in_pool =
                |listed: &&ListedUpstream| listed.service == *service && cell.has(&listed.name);
            let engines = fleet.all().filter(is_in_pool);
            pool.set_engines(engines.map(|listed| (listed, fleet.is_usable(&listed.name))));
            pool.set_evacuated(|domain| self.evacuated.contains(domain));
        }
    }

    /// Handles a placement request; the reply is delayed while the run waits for an engine.
    pub(super) fn place(
        &mut self,
        now: Time,
        service: ServiceName,
        cell: Cell,
        request: PlacementRequest,
        reply: oneshot::Sender<PlaceOutcome>,
    ) {
        let is_covered = self.cells.covered.covers_cell(cell);
        let key = PoolKey { service: service.clone(), cell };
        let pool = is_covered.then(|| self.pools.by_key.get_mut(&key)).flatten();
        let Some(pool) = pool else {
            let _ = reply.send(PlaceOutcome::Unknown);
            return;
        };
        let run = request.run.clone();
        match pool.place(now, request) {
            PlacementDecision::Placed(placement) => {
                let _ = reply.send(place_outcome(&self.fleet, &placement));
            }
            PlacementDecision::Refused(wait) => {
                let _ = reply.send(PlaceOutcome::Refused(wait));
            }
            PlacementDecision::AllAvoided => {
                let _ = reply.send(PlaceOutcome::AllAvoided);
            }
            PlacementDecision::Queued => {
                let waiter = Waiter { service, deadline: now + LONG_POLL_TIMEOUT, reply };
                self.pools.waiters.insert(run, waiter);
            }
        }
    }

    pub(super) fn tick_pools(&mut self, now: Time) {
        for (key, pool) in &mut self.pools.by_key {
            if self.cells.covered.covers_cell(key.cell) {
                pool.find_draining_engines(now);
            }
            for event in pool.tick(now) {
                let (run, outcome) = match event {
                    Event::Placed(run, placement) => (run, place_outcome(&self.fleet, &placement)),
                    Event::Refused(run, wait) => (run, PlaceOutcome::Refused(wait)),
                };
                if let Some(waiter) = self.pools.waiters.remove(&run) {
                    let _ = waiter.reply.send(outcome);
                }
            }
        }
        let is_due = |_: &RunId, waiter: &mut Waiter| waiter.deadline <= now;
        let due: Vec<_> = self.pools.waiters.extract_if(is_due).collect();
        for (run, waiter) in due {
            log::debug!(
                run = run.as_str(),
                service = waiter.service.as_str();
                "placement request is still waiting"
            );
            let _ = waiter.reply.send(PlaceOutcome::Queued);
        }
        self.report_if_due(now);
        self.move_runs(now);
        self.log_pools(now);
    }

    /// Fraction of a cell's memory that is in use or requested by waiting runs; may exceed 1.
    pub(super) fn load_of(&self, now: Time, cell: Cell) -> f32 {
        let pools = self.pools.by_key.iter().filter(|(key, _)| key.cell == cell);
        let (used, memory) = pools.fold((0, 0), |(used, memory), (_, pool)| {
            let occupancy = pool.occupancy(now);
            let wanted = occupancy.tokens + occupancy.waiting_tokens;
            (used + wanted, memory + occupancy.memory_tokens)
        });
        if memory == 0 { 1.0 } else { used as f32 / memory as f32 }
    }

    /// Logs the occupancy and the unfinished moves of the pools whose primary owner is this daemon.
    fn log_pools(&mut self, now: Time) {
        if now.since(self.pools.logged_at) < LOG_INTERVAL {
            return;
        }
        self.pools.logged_at = now;
        let owned: HashSet<_> = self
            .pools
            .by_key
            .keys()
            .map(|key| key.cell)
            .filter(|c| self.is_primary_of(*c))
            .collect();
        for (key, pool) in &mut self.pools.by_key {
            let failed = pool.take_failed_moves();
            let sharing = pool.take_sharing_figures(now);
            if !owned.contains(&key.cell) {
                continue;
            }
            let (service, cell) = (key.service.as_str(), key.cell.number());
            let (occupancy, mixing) = (pool.occupancy(now), pool.take_mixing_counts());
            log::info!(
                service,
                cell,
                prompts_apart = mixing.apart,
                prompts_beside = mixing.beside,
                expected_late = mixing.expected_late,
                handed_off = mixing.handed_off,
                engines = occupancy.engines,
                running = occupancy.running,
                waiting = occupancy.waiting,
                tokens = occupancy.tokens,
                memory_tokens = occupancy.memory_tokens;
                "pool"
            );
            let metrics = &self.shared.metrics;
            metrics.add("prompt_placed", "apart", mixing.apart);
            metrics.add("prompt_placed", "beside_streams", mixing.beside);
            metrics.add("hand_off", "ordered", mixing.handed_off);
            log_failed_moves(service, &failed);
            if let Some(sharing) = sharing {
                self.shared.note_sharing(service, cell, &sharing);
            }
            if let Some(status) = pool.drain_status(now).filter(|status| status.waiting() > 0) {
                log::info!(
                    service,
                    cell,
                    moving = status.moving,
                    without_room = status.without_room,
                    waiting_for_link = status.waiting_for_link,
                    paused = status.paused,
                    nearly_done = status.nearly_done,
                    immovable = status.immovable,
                    oldest_notice_ms = status.oldest_notice.0;
                    "runs on draining engines have no move in progress"
                );
            }
        }
    }

    /// Moves runs off an engine that is leaving or was removed from the list.
    pub(super) fn drain_engine(&mut self, now: Time, engine: &UpstreamName) {
        for (key, pool) in &mut self.pools.by_key {
            if key.cell.has(engine) {
                pool.drain_engine(now, engine);
            }
        }
        let holds_run = |key: &PoolKey| self.shared.runs.holds_run_at(&key.service, engine);
        if self.pools.by_key.keys().any(holds_run) {
            // The reply shows early whether the owner is up and will move the runs held here.
            self.pools.report_soon();
        }
    }

    /// Orders moves off upstreams that are leaving. The primary owner does so for the runs of all
    /// daemons; other daemons move their own runs if the owner is silent.
    fn move_runs(&mut self, now: Time) {
        let own = self.membership.own().host.clone();
        let Millis(interval_ms) =
            report_interval(self.cells.owners.daemons_per_cell(self.members.len()));
        let silence = now.since(self.pools.owner_replied_at);
        let is_owner_silent = silence > Millis(2 * interval_ms + OWNER_REPLY_SLACK.0);
        let owners = self.cells.owners.clone();
        let mut orders = Vec::new();
        for (key, pool) in &mut self.pools.by_key {
            let cell_owners = owners.of(key.cell);
            let only_holder = match cell_owners.primary().is_none() || cell_owners.is_primary(&own)
            {
                true => None,
                false if is_owner_silent && key.cell == owners.home() => Some(&own),
                false => continue,
            };
            if only_holder.is_none() {
                orders.extend(pool.plan_handoffs(now));
            }
            if !pool.has_runs_to_move() {
                continue;
            }
            // The plan depends on what this daemon's runs have written since the last report.
            let mut runs = self.shared.runs.states(&key.service);
            runs.retain(|run| key.cell.has(&run.engine));
            pool.report(now, &own, &Report { runs: &runs, ..Report::default() });
            orders.extend(pool.plan_moves(now, only_holder));
        }
        self.send_move_orders(&orders);
    }

    fn send_move_orders(&mut self, orders: &[RunMove]) {
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
            let Some(to) = endpoint(&self.fleet, &order.to) else {
                log::warn!(to = order.to.as_str(); "target of a move is no longer listed");
                continue;
            };
            let req = RelocateRequest {
                to_address: to.address.to_string(),
                to_born: to.born,
                run: order.run.to_string(),
                from: order.from.to_string(),
                to: order.to.to_string(),
                backup: order.way == MoveMethod::Backup,
            };
            if order.holder == own {
                self.deliver_move_order(&req);
                continue;
            }
            let Some(holder) = self.membership.get(order.holder.as_str()) else {
                log::warn!(holder = order.holder.as_str(); "holder of a run to move is not a member");
                continue;
            };
            let (shared, address) = (Arc::clone(&self.shared), holder.peer_address);
            let run = req.run.clone();
            self.shared.traffic.spawn(async move {
                let call = shared.peers.call(address, MOVE_ORDER_TIMEOUT, |mut peer| async move {
                    peer.relocate(req).await
                });
                if let Err(e) = call.await {
                    log::warn!(run = run.as_str(); "failed to deliver a move order: {e}");
                }
            });
        }
    }

    /// Delivers a move order to a run held by this daemon.
    pub(super) fn deliver_move_order(&mut self, req: &RelocateRequest) {
        let name = UpstreamName::new(&req.to);
        let Ok(address) = req.to_address.parse() else {
            log::warn!(
                run = req.run.as_str(),
                to = req.to_address.as_str();
                "move order has an invalid address"
            );
            return;
        };
        let to = Endpoint { name, address, born: req.to_born };
        let way = if req.backup { MoveMethod::Backup } else { MoveMethod::Copy };
        let order = MoveOrder { from: UpstreamName::new(&req.from), to, way };
        if !self.shared.runs.send_order(&RunId::new(&req.run), order) {
            log::info!(
                run = req.run.as_str(),
                to = req.to.as_str();
                "move order was dropped: the run has ended or has too many orders"
            );
        }
    }
}

fn log_failed_moves(service: &str, failed: &FailedMoves) {
    for failed in &failed.moves {
        log::info!(
            service,
            run = failed.run.as_str(),
            from = failed.from.as_str(),
            to = failed.to.as_str(),
            from_backup = failed.way == MoveMethod::Backup,
            cause:% = failed.cause,
            after_ms = failed.after.0;
            "ordered move failed"
        );
    }
    if failed.omitted > 0 {
        log::info!(service, count = failed.omitted; "more ordered moves failed");
    }
}

fn endpoint(fleet: &Fleet, name: &UpstreamName) -> Option<Endpoint> {
    fleet.get(name).map(Endpoint::from)
}

fn place_outcome(fleet: &Fleet, placement: &Placement) -> PlaceOutcome {
    match endpoint(fleet, &placement.engine) {
        Some(engine) => {
            let backup = placement.backup.as_ref().and_then(|name| endpoint(fleet, name));
            let max_slowdown_percent = placement.max_slowdown_percent;
            PlaceOutcome::Placed(Assignment { engine, backup, max_slowdown_percent })
        }
        None => PlaceOutcome::Unknown,
    }
}
