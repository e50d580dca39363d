//! The engines of a day: when each joins, is known to leave, and is gone.

use super::{LIST_LAG, domain, engine_name, new_engine};
use crate::reclaim::engine::Engine;
use crate::reclaim::workload::{End, START, Site};
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::{FailureDomain, ServiceName, UpstreamName};
use magnoliawinch::time::Time;

/// Time between two readings of the list.
const READ_EVERY: u64 = 50;

/// How its time ends.
#[derive(Clone, Copy, Debug)]
struct Ending {
    /// When the list shows that it leaves.
    known_at: Time,
    at: Time,
    is_crash: bool,
}

#[derive(Clone, Debug)]
struct Host {
    name: UpstreamName,
    domain: FailureDomain,
    engine: Engine,
    joins_at: Time,
    ending: Option<Ending>,
    is_listed: bool,
    is_known_to_leave: bool,
    is_gone: bool,
}

/// All engines of a day.
#[derive(Clone, Debug)]
pub(super) struct Hosts {
    hosts: Vec<Host>,
    slots: u32,
}

impl Hosts {
    pub(super) fn new(site: &Site, ends: &[End]) -> Self {
        let host = |place: u64, run: u32, joins_at: Time| Host {
            name: engine_name(place, run),
            domain: domain(site, place),
            engine: new_engine(site, joins_at),
            joins_at,
            ending: None,
            is_listed: false,
            is_known_to_leave: false,
            is_gone: false,
        };
        let mut hosts: Vec<_> = (0..site.engines).map(|place| host(place, 0, START)).collect();
        // The host that stands in each place last.
        let mut last: Vec<_> = (0..hosts.len()).collect();
        for (run, end) in ends.iter().enumerate() {
            let leaver = &mut hosts[last[end.place as usize]];
            if leaver.ending.is_some() || leaver.joins_at >= end.noticed_at {
                continue;
            }
            let known_at = end.noticed_at + LIST_LAG;
            leaver.ending = Some(Ending { known_at, at: end.at, is_crash: end.is_crash() });
            last[end.place as usize] = hosts.len();
            hosts.push(host(end.place, run as u32 + 1, end.replaced_at));
        }
        Self { hosts, slots: site.shape.slots }
    }

    pub(super) fn len(&self) -> usize {
        self.hosts.len()
    }

    pub(super) fn engine(&mut self, host: usize) -> &mut Engine {
        &mut self.hosts[host].engine
    }

    pub(super) fn name(&self, host: usize) -> &UpstreamName {
        &self.hosts[host].name
    }

    pub(super) fn are_apart(&self, one: usize, other: usize) -> bool {
        self.hosts[one].domain != self.hosts[other].domain
    }

    pub(super) fn is_running(&self, host: usize, now: Time) -> bool {
        let host = &self.hosts[host];
        host.joins_at <= now && !host.is_gone
    }

    pub(super) fn crashes(&self, host: usize) -> bool {
        self.hosts[host].ending.is_some_and(|ending| ending.is_crash)
    }

    /// The engine of this name, unless it is gone.
    pub(super) fn alive(&self, name: &UpstreamName) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == *name && !host.is_gone)
    }

    /// The engines that do not go on until `until`, unless that is all.
    pub(super) fn gone_by(&self, until: Time) -> Vec<UpstreamName> {
        let goes = |host: &&Host| host.ending.is_some_and(|ending| ending.at < until);
        let there = || self.hosts.iter().filter(|host| host.is_listed);
        match there().all(|host| goes(&host)) {
            true => Vec::new(),
            false => there().filter(goes).map(|host| host.name.clone()).collect(),
        }
    }

    /// Reads the list; if it has changed, the engines that are newly known to leave.
    pub(super) fn update(&mut self, now: Time) -> Option<Vec<UpstreamName>> {
        if !now.0.is_multiple_of(READ_EVERY) {
            return None;
        }
        let (mut has_changed, mut leaving) = (false, Vec::new());
        for host in &mut self.hosts {
            let is_listed = host.joins_at <= now && !host.is_gone;
            has_changed |= is_listed != host.is_listed;
            host.is_listed = is_listed;
            let leaves = host.ending.is_some_and(|ending| ending.known_at <= now);
            if leaves && !host.is_known_to_leave && host.joins_at <= now {
                host.is_known_to_leave = true;
                has_changed = true;
                leaving.push(host.name.clone());
            }
        }
        has_changed.then_some(leaving)
    }

    /// The list: each engine with whether it may get new work.
    pub(super) fn listed(&self, now: Time) -> impl Iterator<Item = (ListedUpstream, bool)> {
        let listed = self.hosts.iter().filter(move |host| host.is_listed && host.joins_at <= now);
        listed.map(|host| {
            let listed = ListedUpstream {
                name: host.name.clone(),
                born: host.joins_at.0,
                service: ServiceName::new("engines"),
                address: ([10, 0, 0, 1], 80).into(),
                failure_domain: host.domain.clone(),
                slots: self.slots,
                leaving: host.is_known_to_leave,
            };
            (listed, !host.is_known_to_leave)
        })
    }

    /// Takes away the engines whose time is over; returns them.
    pub(super) fn end(&mut self, now: Time) -> Vec<usize> {
        let mut ended = Vec::new();
        for (place, host) in self.hosts.iter_mut().enumerate() {
            if !host.is_gone && host.ending.is_some_and(|ending| ending.at <= now) {
                host.is_gone = true;
                ended.push(place);
            }
        }
        ended
    }
}
