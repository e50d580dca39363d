//! Whether this host has lost its paths to all upstreams of a service.
//!
//! Connections that do not open are no proof: upstreams end, and whole services go down. So other
//! hosts are asked, and only if one of them reaches an upstream that this one does not is the service
//! cut off. While it is, this host's callers are served by way of hosts that reach it; the end of the cut
//! is found by a connection now and then.

use crate::names::{HostName, ServiceName, UpstreamName};
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Time for which a connection that did not open counts.
const FAILURE_PERIOD: Millis = Millis(2_000);

/// Upstreams of a service refusing connections after which others are asked. One that does not
/// respond at all is enough, as each further attempt would take as long.
const MIN_REFUSING: usize = 2;

/// Minimum time between two checks of a service that is not cut off.
const CHECK_INTERVAL: Millis = Millis(500);

/// Time for which an upstream that no other host reached either is no reason to ask again.
const DOWN_PERIOD: Millis = Millis(3_000);

/// Interval of the connections that find the end of a cut.
pub const PROBE_INTERVAL: Millis = Millis(500);

/// Connections in a row that have to open before a cut is over.
const MIN_OPENED: u32 = 2;

/// Checks in a row without a host that reaches the service after which it counts as down for all.
const MAX_FRUITLESS: u32 = 3;

#[derive(Clone, Debug)]
struct Cut {
    since: Time,
    /// Hosts that reach the service.
    via: Vec<HostName>,
    opened: u32,
    fruitless: u32,
}

#[derive(Clone, Debug, Default)]
struct ServicePath {
    /// When a connection to each upstream last did not open.
    failed: HashMap<UpstreamName, Time>,
    /// When no other host reached an upstream, either.
    down: HashMap<UpstreamName, Time>,
    is_checking: bool,
    checked_at: Option<Time>,
    cut: Option<Cut>,
}

/// How a connection failed to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// It was refused.
    Refused,
    /// There was no response in time.
    NoResponse,
}

/// One host's paths, by service; without an entry, nothing is wrong with them.
#[derive(Clone, Debug, Default)]
pub struct ServicePaths {
    by_service: HashMap<ServiceName, ServicePath>,
}

impl ServicePaths {
    /// Creates a record of paths that are all open.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a connection did not open; returns whether other hosts have to be asked, after
    /// which [`Self::checked`] is due.
    pub fn connect_failed(
        &mut self,
        now: Time,
        service: &ServiceName,
        upstream: &UpstreamName,
        failure: ConnectFailure,
    ) -> bool {
        let path = self.by_service.entry(service.clone()).or_default();
        path.failed.retain(|_, at| now.since(*at) < FAILURE_PERIOD);
        path.down.retain(|_, at| now.since(*at) < DOWN_PERIOD);
        if path.down.contains_key(upstream) {
            return false;
        }
        path.failed.insert(upstream.clone(), now);
        let is_enough = failure == ConnectFailure::NoResponse || path.failed.len() >= MIN_REFUSING;
        let is_due = path.checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        let is_check_due = is_enough && is_due && !path.is_checking && path.cut.is_none();
        path.is_checking |= is_check_due;
        is_check_due
    }

    /// Records that a connection opened.
    pub fn connected(&mut self, service: &ServiceName) {
        if let Some(path) = self.by_service.get_mut(service) {
            path.failed.clear();
        }
    }

    /// Records which hosts reach an upstream that this one does not; returns whether the service has
    /// become cut off.
    pub fn checked(
        &mut self,
        now: Time,
        service: &ServiceName,
        upstream: &UpstreamName,
        via: Vec<HostName>,
    ) -> bool {
        let path = self.by_service.entry(service.clone()).or_default();
        (path.is_checking, path.checked_at) = (false, Some(now));
        if via.is_empty() {
            path.failed.remove(upstream);
            path.down.insert(upstream.clone(), now);
        }
        if via.is_empty() || path.cut.is_some() {
            return false;
        }
        path.cut = Some(Cut { since: now, via, opened: 0, fruitless: 0 });
        true
    }

    /// Whether others are being asked.
    pub fn is_checking(&self, service: &ServiceName) -> bool {
        self.by_service.get(service).is_some_and(|path| path.is_checking)
    }

    /// Whether connections to the service open, as far as known.
    pub fn is_open(&self, service: &ServiceName) -> bool {
        let is_open =
            |path: &ServicePath| path.failed.is_empty() && !path.is_checking && path.cut.is_none();
        self.by_service.get(service).is_none_or(is_open)
    }

    /// Hosts that reach a service that is cut off from this one; empty if it is not.
    pub fn via(&self, service: &ServiceName) -> &[HostName] {
        let cut = self.by_service.get(service).and_then(|path| path.cut.as_ref());
        cut.map_or(&[], |cut| &cut.via)
    }

    /// Since when a service has been cut off.
    pub fn cut_since(&self, service: &ServiceName) -> Option<Time> {
        self.by_service.get(service)?.cut.as_ref().map(|cut| cut.since)
    }

    /// Records the result of a connection made to find the end of a cut; returns whether it is over.
    pub fn probed(&mut self, service: &ServiceName, has_opened: bool) -> bool {
        let cut = self.by_service.get_mut(service).and_then(|path| path.cut.as_mut());
        let Some(cut) = cut else {
            return true;
        };
        cut.opened = if has_opened { cut.opened + 1 } else { 0 };
        let is_over = cut.opened >= MIN_OPENED;
        if is_over {
            self.by_service.remove(service);
        }
        is_over
    }

    /// Records which hosts reach the service now; returns whether none has for a while, so that it
    /// counts as down and no longer as cut off.
    pub fn refreshed(&mut self, service: &ServiceName, via: Vec<HostName>) -> bool {
        let cut = self.by_service.get_mut(service).and_then(|path| path.cut.as_mut());
        let Some(cut) = cut else {
            return true;
        };
        if !via.is_empty() {
            (cut.via, cut.fruitless) = (via, 0);
            return false;
        }
        cut.fruitless += 1;
        let is_down = cut.fruitless >= MAX_FRUITLESS;
        if is_down {
            self.by_service.remove(service);
        }
        is_down
    }

    /// Records that a host did not serve a request for a service that is cut off from this one; unless
    /// it is the only one, it gets no more until it has been asked again.
    pub fn did_not_serve(&mut self, service: &ServiceName, host: &HostName) {
        let cut = self.by_service.get_mut(service).and_then(|path| path.cut.as_mut());
        if let Some(cut) = cut
            && cut.via.len() > 1
        {
            cut.via.retain(|known| known != host);
        }
    }
}
