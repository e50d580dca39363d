//! The engine hosts of a simulation: when each joins, is listed as leaving, and is lost.

use super::{LIST_LAG, domain, engine_name, new_engine};
use crate::reclaim::engine::Engine;
use crate::reclaim::workload::{EngineLoss, START, Site};
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::{FailureDomain, ServiceName, UpstreamName};
use magnoliawinch::time::Time;

/// Interval at which the list of upstreams is read.
const LIST_READ_INTERVAL_MS: u64 = 50;

#[derive(Clone, Copy, Debug)]
struct ScheduledLoss {
    /// When the list shows the host as leaving.
    listed_at: Time,
    at: Time,
    is_crash: bool,
}

#[derive(Clone, Debug)]
struct Host {
    name: UpstreamName,
    domain: FailureDomain,
    engine: Engine,
    joins_at: Time,
    loss: Option<ScheduledLoss>,
    is_listed: bool,
    is_leaving: bool,
    is_lost: bool,
}

/// All engine hosts of a simulation; an index identifies each.
#[derive(Clone, Debug)]
pub(super) struct Hosts {
    hosts: Vec<Host>,
    slots: u32,
}

impl Hosts {
    pub(super) fn new(site: &Site, losses: &[EngineLoss]) -> Self {
        let host = |engine_index: u64, incarnation: u32, joins_at: Time| Host {
            name: engine_name(engine_index, incarnation),
            domain: domain(site, engine_index),
            engine: new_engine(site, joins_at),
            joins_at,
            loss: None,
            is_listed: false,
            is_leaving: false,
            is_lost: false,
        };
        let mut hosts: Vec<_> =
            (0..site.engines).map(|engine_index| host(engine_index, 0, START)).collect();
        // Index of the latest host of each engine.
        let mut latest: Vec<_> = (0..hosts.len()).collect();
        for (number, loss) in losses.iter().enumerate() {
            let lost_host = &mut hosts[latest[loss.engine_index as usize]];
            if lost_host.loss.is_some() || lost_host.joins_at >= loss.notice_at {
                continue;
            }
            let listed_at = loss.notice_at + LIST_LAG;
            lost_host.loss =
                Some(ScheduledLoss { listed_at, at: loss.at, is_crash: loss.is_crash() });
            latest[loss.engine_index as usize] = hosts.len();
            hosts.push(host(loss.engine_index, number as u32 + 1, loss.replaced_at));
        }
        Self { hosts, slots: site.engine_config.slots }
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

    pub(super) fn in_different_domains(&self, one: usize, other: usize) -> bool {
        self.hosts[one].domain != self.hosts[other].domain
    }

    pub(super) fn is_running(&self, host: usize, now: Time) -> bool {
        let host = &self.hosts[host];
        host.joins_at <= now && !host.is_lost
    }

    /// Whether the loss scheduled for a host is a crash.
    pub(super) fn is_loss_crash(&self, host: usize) -> bool {
        self.hosts[host].loss.is_some_and(|loss| loss.is_crash)
    }

    /// The host of this name, unless it is lost.
    pub(super) fn find_alive(&self, name: &UpstreamName) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == *name && !host.is_lost)
    }

    /// The listed hosts that will be lost before `until`; none if that is all of them.
    pub(super) fn lost_before(&self, until: Time) -> Vec<UpstreamName> {
        let is_lost_before_until = |host: &&Host| host.loss.is_some_and(|loss| loss.at < until);
        let listed = || self.hosts.iter().filter(|host| host.is_listed);
        match listed().all(|host| is_lost_before_until(&host)) {
            true => Vec::new(),
            false => listed().filter(is_lost_before_until).map(|host| host.name.clone()).collect(),
        }
    }

    /// Reads the list when that is due. If it has changed, returns the hosts that are newly listed
    /// as leaving.
    pub(super) fn refresh_list(&mut self, now: Time) -> Option<Vec<UpstreamName>> {
        if !now.0.is_multiple_of(LIST_READ_INTERVAL_MS) {
            return None;
        }
        let (mut has_changed, mut leaving) = (false, Vec::new());
        for host in &mut self.hosts {
            let is_listed = host.joins_at <= now && !host.is_lost;
            has_changed |= is_listed != host.is_listed;
            host.is_listed = is_listed;
            let is_noticed = host.loss.is_some_and(|loss| loss.listed_at <= now);
            if is_noticed && !host.is_leaving && host.joins_at <= now {
                host.is_leaving = true;
                has_changed = true;
                leaving.push(host.name.clone());
            }
        }
        has_changed.then_some(leaving)
    }

    /// The listed hosts, each with whether it may get new runs.
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
                leaving: host.is_leaving,
            };
            (listed, !host.is_leaving)
        })
    }

    /// Removes the hosts whose loss is due; returns them.
    pub(super) fn remove_lost(&mut self, now: Time) -> Vec<usize> {
        let mut lost = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if !host.is_lost && host.loss.is_some_and(|loss| loss.at <= now) {
                host.is_lost = true;
                lost.push(index);
            }
        }
        lost
    }
}
