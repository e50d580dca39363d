//! The pools: places, reports and moves.

use super::convert::{
    crash_message, crash_of, ended_message, ended_run, engine_use, run_message, run_state,
    use_message,
};
use super::news::age_ms;
use super::{Control, Crash, Decided, Message};
use crate::runs::{MoveOrder, OwnRuns, Placed, Target};
use magnoliawinch::fleet::Fleet;
use magnoliawinch::names::{HostName, RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{Answer, Event, Order, Place, Pool, Report, Way, Wish};
use magnoliawinch::quarantine::{Fingerprint, Treatment};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{RelocateRequest, RunsReply, RunsReport};
use std::collections::HashMap;
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

/// The pools by service, and who waits for a place.
#[derive(Debug)]
pub(super) struct Pools {
    by_service: HashMap<ServiceName, Pool>,
    askers: HashMap<RunId, Asker>,
    reported_at: Time,
    report_soon: bool,
    /// When the owner that decides last answered a report.
    owner_heard_at: Time,
    logged_at: Time,
}

impl Pools {
    pub(super) fn new(now: Time) -> Self {
        Self {
            by_service: HashMap::new(),
            askers: HashMap::new(),
            reported_at: now,
            report_soon: false,
            owner_heard_at: now,
            logged_at: now,
        }
    }

    /// Whether something waits for the next tick.
    pub(super) fn is_busy(&self) -> bool {
        let has_movers = || self.by_service.values().any(Pool::has_movers);
        !self.askers.is_empty() || self.report_soon || has_movers()
    }

    /// Reports with the next tick.
    pub(super) fn report_soon(&mut self) {
        self.report_soon = true;
    }
}

impl Control {
    /// Makes a pool for each service of engines.
    pub(super) fn shape_pools(&mut self) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let pools = &mut self.pools.by_service;
        pools.retain(|name, _| table.service(name.as_str()).is_some_and(|s| s.engine.is_some()));
        for (name, shape) in table.engine_services() {
            match pools.get_mut(name) {
                Some(pool) => pool.reshape(shape),
                None => {
                    pools.insert(name.clone(), Pool::new(name.clone(), shape));
                }
            }
        }
        self.fill_pools();
    }

    /// Tells the pools which engines there are.
    pub(super) fn fill_pools(&mut self) {
        let fleet = &self.fleet;
        for (service, pool) in &mut self.pools.by_service {
            let engines = fleet.all().filter(|listed| listed.service == *service);
            pool.set_engines(engines.map(|listed| (listed, fleet.is_usable(&listed.name))));
        }
    }

    /// Decides about a place.
    pub(super) fn place(
        &mut self,
        now: Time,
        service: &ServiceName,
        wish: Wish,
        reply: oneshot::Sender<Decided>,
    ) {
        let Some(pool) = self.pools.by_service.get_mut(service) else {
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
                let asker = Asker { service: service.clone(), until: now + HELD, reply };
                self.pools.askers.insert(run, asker);
            }
        }
    }

    pub(super) fn tick_pools(&mut self, now: Time) {
        for pool in self.pools.by_service.values_mut() {
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
        let is_due = now.since(self.pools.reported_at) >= report_every(self.members.len());
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
        let services: Vec<_> = self.pools.by_service.keys().cloned().collect();
        for service in services {
            let held = self.shared.runs.take(&service);
            self.note_completed(&held);
            if let Some(pool) = self.pools.by_service.get_mut(&service) {
                pool.report(now, &own, &held.report());
            }
            let report = RunsReport {
                host: own.to_string(),
                service: service.to_string(),
                runs: held.runs.iter().map(run_message).collect(),
                ended: held.ended.iter().map(ended_message).collect(),
                over: held.over.iter().map(RunId::to_string).collect(),
                leaving: Vec::new(),
                list_offset: self.fleet.through(),
                configuration_version: self.table.as_ref().map_or(0, |table| table.version()),
                crashed: crashed.iter().map(crash_message).collect(),
                completed: held.completed.iter().map(|print| print.0).collect(),
            };
            self.send_report(&service, &report);
        }
    }

    fn send_report(&self, service: &ServiceName, report: &RunsReport) {
        let own = &self.membership.own().host;
        for owner in self.owners.iter().filter(|owner| owner.host != *own) {
            let (shared, service) = (Arc::clone(&self.shared), service.clone());
            let (address, report) = (owner.peer_address, report.clone());
            self.shared.traffic.spawn(async move {
                let call = shared.peers.call(address, REPORT_TIMEOUT, |mut peer| async move {
                    peer.report(report).await
                });
                match call.await {
                    Ok(reply) => {
                        shared.tell(Message::Reported { service, reply: Box::new(reply) });
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
            over: report.over.iter().map(|run| RunId::new(run)).collect(),
        };
        self.note_completed(&held);
        let mut uses = Vec::new();
        if let Some(pool) = self.pools.by_service.get_mut(report.service.as_str()) {
            pool.report(now, &holder, &held.report());
            uses = pool.use_apart_from(now, &holder);
        }
        if report.configuration_version > self.table.as_ref().map_or(0, |t| t.version())
            && let Some(peer) = self.membership.get(&report.host)
        {
            self.note_version_at(now, report.configuration_version, peer.peer_address);
        }
        RunsReply {
            host: self.membership.own().host.to_string(),
            uses: uses.iter().map(use_message).collect(),
            leaving: Vec::new(),
            list_offset: self.fleet.through(),
            list_age_ms: self.list_age_ms(now),
            list: self.list_json_after(report.list_offset),
            configuration_version: self.table.as_ref().map_or(0, |table| table.version()),
            refused: self.quarantine.refused().map(|print| print.0).collect(),
            configuration_age_ms: age_ms(now, self.shared.looked_at()),
        }
    }

    /// Takes the answer of an owner to a report.
    pub(super) fn take_reply(&mut self, now: Time, service: &ServiceName, reply: &RunsReply) {
        if self.owners.first().is_some_and(|owner| owner.host.as_str() == reply.host) {
            self.pools.owner_heard_at = now;
        }
        let uses: Vec<_> = reply.uses.iter().map(engine_use).collect();
        if !self.is_owner()
            && let Some(pool) = self.pools.by_service.get_mut(service)
        {
            pool.note_use(now, &uses);
        }
        self.take_peer_list(now, &reply.list, reply.list_offset, reply.list_age_ms);
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
    }

    /// Says how full the pools are, as the owner that decides.
    fn log_occupancy(&mut self, now: Time) {
        if !self.decides() || now.since(self.pools.logged_at) < LOG_EVERY {
            return;
        }
        self.pools.logged_at = now;
        for (service, pool) in &self.pools.by_service {
            let occupancy = pool.occupancy(now);
            log::info!(
                service = service.as_str(),
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
        for pool in self.pools.by_service.values_mut() {
            pool.vacate(now, engine);
        }
        // Shows soon whether the owner is there to move what runs here.
        self.pools.report_soon();
    }

    /// Moves runs off upstreams that leave: as the owner for all daemons, else for its own runs
    /// when the owner's orders do not come.
    fn move_runs(&mut self, now: Time) {
        let own = self.membership.own().host.clone();
        let Millis(every) = report_every(self.members.len());
        let silence = now.since(self.pools.owner_heard_at);
        let holder = match self.decides() || self.owners.first().is_none() {
            true => None,
            false if silence > Millis(2 * every + OWNER_LAG.0) => Some(&own),
            false => return,
        };
        let mut orders = Vec::new();
        for (service, pool) in &mut self.pools.by_service {
            if !pool.has_movers() {
                continue;
            }
            // What the runs here have written since the last report decides which are moved.
            let runs = self.shared.runs.states(service);
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
