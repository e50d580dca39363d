//! The pools: places, reports and moves.

use super::convert::{
    crash_message, crash_of, ended_message, ended_run, engine_use, run_message, run_state,
    use_message,
};
use super::news::age_ms;
use super::{Control, Crash, Decided, Message};
use crate::runs::{MoveOrder, OwnRuns, Placed, Target};
use magnoliawinch::cells::{Cell, Interest};
use magnoliawinch::fleet::{Fleet, Listed};
use magnoliawinch::names::{HostName, RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{Answer, Event, Order, Place, Pool, Report, Way, Wish};
use magnoliawinch::quarantine::{Fingerprint, Treatment};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CellOf, RelocateRequest, RunsReply, RunsReport};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between two reports to the owners, with few daemons.
const REPORT_EVERY: Millis = Millis(300);

/// Added to that for each daemon, so that an owner's work does not grow with their number.
const REPORT_EVERY_PER_DAEMON: Millis = Millis(3);

/// Time between two lines that say how full the pools are.
const LOG_EVERY: Millis = Millis(1_000);

/// Time for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

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
struct PoolKey {
    service: ServiceName,
    cell: Cell,
}

/// The pools of the cells that concern this daemon, and who waits for a place.
#[derive(Debug)]
pub(super) struct Pools {
    by_key: HashMap<PoolKey, Pool>,
    askers: HashMap<RunId, Asker>,
    reported_at: Time,
    report_soon: bool,
    /// When the owner that decides for this daemon's cell last answered a report.
    owner_heard_at: Time,
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
        let has_movers = || self.by_key.values().any(Pool::has_movers);
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
                    Some(pool) => pool.reshape(shape),
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
                |listed: &&Listed| listed.service == *service && cell.has(&listed.name);
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
        wish: Wish,
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
            Answer::Placed(place) => {
                let _ = reply.send(placed(&self.fleet, &place));
            }
            Answer::Refused(wait) => {
                let _ = reply.send(Decided::Refused(wait));
            }
            Answer::Waits => {
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

    /// Reports this daemon's runs to the owners, and to its own pools.
    fn report_if_due(&mut self, now: Time) {
        let reporters = self.cells.owners.share_of(self.members.len());
        let is_due = now.since(self.pools.reported_at) >= report_every(reporters);
        if !is_due && !self.pools.report_soon {
            return;
        }
        self.pools.reported_at = now;
        self.pools.report_soon = false;
        let own = self.membership.own().host.clone();
        let crashed: Vec<_> = self.crashed.drain(..).collect();
        for crash in &crashed {
            self.note_crash(now, crash);
        }
        let home = self.cells.owners.home();
        let services: HashSet<_> =
            self.pools.by_key.keys().map(|key| key.service.clone()).collect();
        for service in services {
            let held = self.shared.runs.take(&service);
            self.note_completed(&held);
            for (cell, part) in held.by_cell(self.cells.layout, home) {
                let key = PoolKey { service: service.clone(), cell };
                if let Some(pool) = self.pools.by_key.get_mut(&key) {
                    pool.report(now, &own, &Report { over: &part.over_ids(), ..part.report() });
                }
                let crashed = if cell == home { crashed.as_slice() } else { &[] };
                let report = self.report_of(&key, &part, crashed);
                self.send_report(&service, cell, &report);
            }
        }
    }

    fn report_of(&self, key: &PoolKey, held: &OwnRuns, crashed: &[Crash]) -> RunsReport {
        RunsReport {
            host: self.membership.own().host.to_string(),
            service: key.service.to_string(),
            runs: held.runs.iter().map(run_message).collect(),
            ended: held.ended.iter().map(ended_message).collect(),
            over: held.over.iter().map(|(run, _)| run.to_string()).collect(),
            leaving: Vec::new(),
            list_offset: self.list_offset(),
            configuration_version: self.table.as_ref().map_or(0, |table| table.version()),
            crashed: crashed.iter().map(crash_message).collect(),
            completed: held.completed.iter().map(|print| print.0).collect(),
            cell: Some(key.cell.into()),
            wants_list: self.hears_list_from_owners_of(key.cell),
        }
    }

    /// Whether this daemon hears all that it has to know of the list from the owners of a cell.
    fn hears_list_from_owners_of(&self, cell: Cell) -> bool {
        self.cells.needed == Interest::new([cell])
    }

    fn send_report(&self, service: &ServiceName, cell: Cell, report: &RunsReport) {
        let own = &self.membership.own().host;
        let owners = self.cells.owners.of(cell);
        for owner in owners.iter().filter(|owner| owner.host != *own) {
            let (shared, service) = (Arc::clone(&self.shared), service.clone());
            let (address, report) = (owner.peer_address, report.clone());
            self.shared.traffic.spawn(async move {
                let call = shared.peers.call(address, REPORT_TIMEOUT, |mut peer| async move {
                    peer.report(report).await
                });
                match call.await {
                    Ok(reply) => {
                        shared.tell(Message::Reported { service, cell, reply: Box::new(reply) });
                    }
                    Err(e) => log::debug!("no answer to a report: {e}"),
                }
            });
        }
    }

    /// Takes the report of another daemon.
    pub(super) fn take_report(&mut self, now: Time, report: &RunsReport) -> RunsReply {
        let holder = HostName::new(&report.host);
        self.membership.heard_from(now, &report.host);
        for crash in report.crashed.iter().map(crash_of) {
            self.note_crash(now, &crash);
        }
        let completed = report.completed.iter().copied().map(Fingerprint).collect();
        let held = OwnRuns {
            runs: report.runs.iter().map(run_state).collect(),
            ended: report.ended.iter().map(ended_run).collect(),
            completed,
            over: Vec::new(),
        };
        self.note_completed(&held);
        let cell = report.cell.as_ref().and_then(CellOf::cell).unwrap_or(Cell::WHOLE);
        let over: Vec<_> = report.over.iter().map(|run| RunId::new(run)).collect();
        let mut uses = Vec::new();
        let key = PoolKey { service: ServiceName::new(&report.service), cell };
        if let Some(pool) = self.pools.by_key.get_mut(&key) {
            pool.report(now, &holder, &Report { over: &over, ..held.report() });
            uses = pool.use_apart_from(now, &holder);
        }
        if report.configuration_version > self.table.as_ref().map_or(0, |t| t.version())
            && let Some(peer) = self.membership.get(&report.host)
        {
            self.note_version_at(now, report.configuration_version, peer.peer_address);
        }
        let told = Interest::new([cell]);
        let tells_list = report.wants_list && self.cells.covered.covers(&told);
        RunsReply {
            host: self.membership.own().host.to_string(),
            uses: uses.iter().map(use_message).collect(),
            leaving: Vec::new(),
            list_offset: self.fleet.through(),
            list_age_ms: if tells_list { self.list_age_ms(now) } else { u32::MAX },
            list: match tells_list {
                true => self.list_json_after(report.list_offset, &told),
                false => String::new(),
            },
            configuration_version: self.table.as_ref().map_or(0, |table| table.version()),
            refused: self.refused_anywhere(),
            layout: Some(self.cells.layout.into()),
            cell_loads: self.all_loads(now),
            configuration_age_ms: age_ms(now, self.shared.looked_at()),
        }
    }

    /// Takes the answer of an owner to a report.
    pub(super) fn take_reply(
        &mut self,
        now: Time,
        service: ServiceName,
        cell: Cell,
        reply: &RunsReply,
    ) {
        let owners = self.cells.owners.of(cell);
        let is_home = cell == self.cells.owners.home();
        if is_home && owners.first().is_some_and(|owner| owner.host.as_str() == reply.host) {
            self.pools.owner_heard_at = now;
        }
        let uses: Vec<_> = reply.uses.iter().map(engine_use).collect();
        if !self.owns(cell)
            && let Some(pool) = self.pools.by_key.get_mut(&PoolKey { service, cell })
        {
            pool.note_use(now, &uses);
        }
        if self.hears_list_from_owners_of(cell) {
            let told = Interest::new([cell]);
            self.take_peer_list(now, &reply.list, reply.list_offset, reply.list_age_ms, &told);
        }
        if let Some(layout) = reply.layout.as_ref().and_then(magnoliawinch_peer::Layout::layout) {
            self.take_layout(layout);
        }
        if !self.is_reader() && is_home {
            self.take_loads(&reply.cell_loads);
        }
        for fingerprint in &reply.refused {
            self.view_is_old |= self.refused.told(now, Fingerprint(*fingerprint));
        }
        self.shared.note_look(now - Millis(u64::from(reply.configuration_age_ms)));
        if reply.configuration_version > self.table.as_ref().map_or(0, |t| t.version())
            && let Some(owner) = self.membership.get(&reply.host)
        {
            self.note_version_at(now, reply.configuration_version, owner.peer_address);
        }
    }

    fn note_completed(&mut self, held: &OwnRuns) {
        for fingerprint in &held.completed {
            self.quarantine.completed(*fingerprint);
        }
    }

    fn note_crash(&mut self, now: Time, crash: &Crash) {
        let Crash { fingerprint, upstream } = crash;
        let treatment = self.quarantine.crashed_at(now, *fingerprint, upstream);
        if let Treatment::Refused(_) = treatment {
            log::warn!(fingerprint = fingerprint.0; "requests that crash upstreams are refused");
            self.view_is_old |= self.refused.told(now, *fingerprint);
        }
    }

    pub(super) fn tick_quarantine(&mut self, now: Time) {
        self.quarantine.tick(now);
        for fingerprint in self.quarantine.refused() {
            self.view_is_old |= self.refused.told(now, fingerprint);
        }
        self.view_is_old |= self.refused.tick(now);
        self.cells.passed_on.tick(now);
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
                pool.vacate(now, engine);
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
            if !pool.has_movers() {
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

    fn carry_out(&mut self, orders: &[Order]) {
        let own = self.membership.own().host.clone();
        for order in orders {
            log::info!(
                run = order.run.as_str(),
                holder = order.holder.as_str(),
                from = order.from.as_str(),
                to = order.to.as_str(),
                from_backup = order.way == Way::Backup;
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
                backup: order.way == Way::Backup,
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
        let way = if req.backup { Way::Backup } else { Way::Copy };
        let order = MoveOrder { from: UpstreamName::new(&req.from), to, way };
        self.shared.runs.order(&RunId::new(&req.run), order);
    }
}

/// Time between two reports with so many daemons.
pub(crate) fn report_every(daemons: usize) -> Millis {
    Millis(REPORT_EVERY.0 + REPORT_EVERY_PER_DAEMON.0 * daemons as u64)
}

fn target(fleet: &Fleet, name: &UpstreamName) -> Option<Target> {
    let listed = fleet.get(name)?;
    Some(Target { name: name.clone(), address: listed.address })
}

fn placed(fleet: &Fleet, place: &Place) -> Decided {
    match target(fleet, &place.engine) {
        Some(engine) => {
            let backup = place.backup.as_ref().and_then(|name| target(fleet, name));
            Decided::Placed(Placed { engine, backup })
        }
        None => Decided::Unknown,
    }
}
