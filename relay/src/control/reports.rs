//! Reports of runs to the owners of their cells, and the owners' replies.

use super::convert::{
    ended_from_proto, ended_to_proto, run_from_proto, run_to_proto, slowdown_from_proto,
    slowdown_to_proto, use_from_proto, use_to_proto,
};
use super::pools::PoolKey;
use super::{Control, Message};
use crate::runs::RunsUpdate;
use magnoliawinch::cells::{Cell, CellSet, report_interval};
use magnoliawinch::names::{HostName, RunId, ServiceName};
use magnoliawinch::store_position::StorePosition;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CellOf, RunsReply, RunsReport};
use rand::RngExt;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Random factor of each interval.
const REPORT_JITTER: std::ops::Range<f64> = 0.8..1.1;

const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

impl Control {
    /// Reports this daemon's runs to the owners and to its own pools.
    pub(super) fn report_if_due(&mut self, now: Time) {
        let reporters = self.cells.owners.daemons_per_cell(self.members.len());
        if now < self.pools.report_due_at && !self.pools.report_soon {
            return;
        }
        // Daemons that an event lets report at the same time must not go on doing so.
        let Millis(interval) = report_interval(reporters);
        let jitter = self.rng.random_range(REPORT_JITTER);
        self.pools.report_due_at = now + Millis((interval as f64 * jitter) as u64);
        self.pools.report_soon = false;
        let own = self.membership.own().host.clone();
        let home = self.cells.owners.home();
        let services: HashSet<_> =
            self.pools.by_key.keys().map(|key| key.service.clone()).collect();
        for service in services {
            let update = self.shared.runs.take_update(now, &service);
            for (cell, part) in update.by_cell(self.cells.layout, home) {
                let key = PoolKey { service: service.clone(), cell };
                if let Some(pool) = self.pools.by_key.get_mut(&key) {
                    pool.report(now, &own, &part.report(&part.released_ids()));
                }
                let report = self.report_message(now, &key, &part);
                self.send_report(&service, cell, &report);
            }
        }
    }

    fn report_message(&self, now: Time, key: &PoolKey, update: &RunsUpdate) -> RunsReport {
        RunsReport {
            host: self.membership.own().host.to_string(),
            service: key.service.to_string(),
            runs: update.runs.iter().map(run_to_proto).collect(),
            ended: update.ended.iter().map(ended_to_proto).collect(),
            over: update.released.iter().map(|(run, _)| run.to_string()).collect(),
            leaving: self.leaving_news(now),
            list_offset: self.list_position().offset,
            list_era: self.list_position().era,
            configuration_version: self.version(),
            cell: Some(key.cell.into()),
            wants_list: self.gets_list_from_owners_of(key.cell),
            slowdowns: update.slowdowns.iter().map(slowdown_to_proto).collect(),
        }
    }

    /// Whether the owners of `cell` supply the whole part of the list that this daemon tracks. If
    /// the engines are not divided, the list comes from the daemon that this one follows.
    fn gets_list_from_owners_of(&self, cell: Cell) -> bool {
        !self.cells.layout.is_undivided() && self.cells.needed == CellSet::new([cell])
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
                        shared.tell(Message::ReportReply { service, cell, reply: Box::new(reply) });
                    }
                    Err(e) => log::debug!("report to a pool owner failed: {e}"),
                }
            });
        }
    }

    /// Applies another daemon's report; returns the reply.
    pub(super) fn handle_report(&mut self, now: Time, report: &RunsReport) -> RunsReply {
        let holder = HostName::new(&report.host);
        self.membership.heard_from(now, &report.host);
        self.apply_leaving_news(now, &report.leaving);
        let update = RunsUpdate {
            runs: report.runs.iter().map(run_from_proto).collect(),
            ended: report.ended.iter().map(ended_from_proto).collect(),
            released: Vec::new(),
            slowdowns: report.slowdowns.iter().map(slowdown_from_proto).collect(),
        };
        let cell = report.cell.as_ref().and_then(CellOf::cell).unwrap_or(Cell::ALL);
        let released: Vec<_> = report.over.iter().map(|run| RunId::new(run)).collect();
        let mut uses = Vec::new();
        let key = PoolKey { service: ServiceName::new(&report.service), cell };
        if let Some(pool) = self.pools.by_key.get_mut(&key) {
            pool.report(now, &holder, &update.report(&released));
            uses = pool.use_excluding(now, &holder);
        }
        if let Some(peer) = self.membership.get(&report.host).map(|peer| peer.peer_address) {
            self.note_announced_version(now, report.configuration_version, peer);
        }
        let scope = CellSet::new([cell]);
        let position = StorePosition { era: report.list_era, offset: report.list_offset };
        let sends_list = report.wants_list && self.cells.covered.covers(&scope);
        let list = match sends_list {
            true => self.list_json_after(position, &scope),
            false => String::new(),
        };
        self.shared.metrics.add("bytes_sent", "list", list.len());
        RunsReply {
            host: self.membership.own().host.to_string(),
            uses: uses.iter().map(use_to_proto).collect(),
            leaving: self.leaving_news(now),
            list_offset: self.fleet.position().offset,
            list_era: self.fleet.position().era,
            list_age_ms: if sends_list { self.list_age_ms(now) } else { u32::MAX },
            list,
            configuration_version: self.version(),
            layout: Some(self.cells.layout.into()),
            cell_loads: self.all_loads(now),
        }
    }

    /// Applies an owner's reply to a report.
    pub(super) fn handle_report_reply(
        &mut self,
        now: Time,
        service: ServiceName,
        cell: Cell,
        reply: &RunsReply,
    ) {
        let owners = self.cells.owners.of(cell);
        let is_home = cell == self.cells.owners.home();
        if is_home && owners.primary().is_some_and(|owner| owner.host.as_str() == reply.host) {
            self.pools.owner_replied_at = now;
        }
        self.apply_leaving_news(now, &reply.leaving);
        let uses: Vec<_> = reply.uses.iter().map(use_from_proto).collect();
        if !self.owns(cell)
            && let Some(pool) = self.pools.by_key.get_mut(&PoolKey { service, cell })
        {
            pool.set_remote_use(now, &uses);
        }
        if self.gets_list_from_owners_of(cell) {
            let scope = CellSet::new([cell]);
            let position = StorePosition { era: reply.list_era, offset: reply.list_offset };
            self.apply_peer_list(now, &reply.list, position, reply.list_age_ms, &scope);
        }
        if let Some(layout) = reply.layout.as_ref().and_then(magnoliawinch_peer::Layout::layout) {
            self.apply_layout(layout);
        }
        if !self.is_reader() && is_home {
            self.replace_cell_loads(&reply.cell_loads);
        }
        if let Some(owner) = self.membership.get(&reply.host).map(|owner| owner.peer_address) {
            self.note_announced_version(now, reply.configuration_version, owner);
        }
    }
}
