//! Reports of runs to the owners of their cells, and what the answers bring.

use super::convert::{
    crash_message, crash_of, ended_message, ended_run, engine_use, run_message, run_state,
    use_message,
};
use super::news::age_ms;
use super::pools::PoolKey;
use super::{Control, Crash, Message};
use crate::runs::OwnRuns;
use magnoliawinch::cells::{Cell, Interest};
use magnoliawinch::names::{HostName, RunId, ServiceName};
use magnoliawinch::quarantine::{Fingerprint, QuarantineStatus};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CellOf, RunsReply, RunsReport};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reports to the owners, with few daemons.
const REPORT_EVERY: Millis = Millis(300);

/// Added to that for each daemon, so that an owner's work does not grow with their number.
const REPORT_EVERY_PER_DAEMON: Millis = Millis(3);

/// Time for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

impl Control {
    /// Reports this daemon's runs to the owners, and to its own pools.
    pub(super) fn report_if_due(&mut self, now: Time) {
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
                    pool.report(now, &own, &part.report(&part.over_ids()));
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
            configuration_version: self.version(),
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
            pool.report(now, &holder, &held.report(&over));
            uses = pool.use_apart_from(now, &holder);
        }
        if let Some(peer) = self.membership.get(&report.host).map(|peer| peer.peer_address) {
            self.note_version_at(now, report.configuration_version, peer);
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
            configuration_version: self.version(),
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
            self.view_is_old |= self.refused.renew(now, Fingerprint(*fingerprint));
        }
        self.shared.note_look(now - Millis(u64::from(reply.configuration_age_ms)));
        if let Some(owner) = self.membership.get(&reply.host).map(|owner| owner.peer_address) {
            self.note_version_at(now, reply.configuration_version, owner);
        }
    }

    fn note_completed(&mut self, held: &OwnRuns) {
        for fingerprint in &held.completed {
            self.quarantine.completed(*fingerprint);
        }
    }

    fn note_crash(&mut self, now: Time, crash: &Crash) {
        let Crash { fingerprint, upstream } = crash;
        let treatment = self.quarantine.crashed_on(now, *fingerprint, upstream);
        if let QuarantineStatus::Refused(_) = treatment {
            log::warn!(fingerprint = fingerprint.0; "requests that crash upstreams are refused");
            self.view_is_old |= self.refused.renew(now, *fingerprint);
        }
    }

    pub(super) fn tick_quarantine(&mut self, now: Time) {
        self.quarantine.tick(now);
        for fingerprint in self.quarantine.refused() {
            self.view_is_old |= self.refused.renew(now, fingerprint);
        }
        self.view_is_old |= self.refused.tick(now);
        self.cells.passed_on.tick(now);
    }
}

/// Time between two reports with so many daemons.
pub(crate) fn report_every(daemons: usize) -> Millis {
    Millis(REPORT_EVERY.0 + REPORT_EVERY_PER_DAEMON.0 * daemons as u64)
}
