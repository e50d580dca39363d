//! Tells upstreams that ended under requests from those that only failed them.
//!
//! A connection that broke or fell silent before its response was complete shows nothing by itself:
//! connections are reset and responses are late, lost or cut while the upstream lives, and a host may
//! lose its paths to all of them. An upstream counts as ended if it then refuses connections of other
//! hosts, too, or if it can't be reached and another incarnation is listed at its address.

use crate::names::UpstreamName;
use crate::quarantine::Fingerprint;
pub use crate::reachability::Reachability;
use crate::time::{Millis, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Delay before an upstream that accepted a connection is checked once more: the connections of a
/// process may break before its listener is closed.
const SECOND_CHECK_DELAY: Millis = Millis(60);

const MAX_CHECKS: u32 = 2;

/// Time after a lost connection for which another incarnation at the address shows that an
/// unreachable upstream has ended. Longer than an upstream takes to start again and to be listed.
const SUSPICION_PERIOD: Millis = Millis(6_000);

/// Upstreams under suspicion at a time; further ones are not examined.
const MAX_SUSPECTED: usize = 256;

/// Requests noted for each of them.
const MAX_REQUESTS: usize = 128;

/// One incarnation of an upstream at its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamProcess {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// When it started, in milliseconds since 1970 by its own clock.
    pub born: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// What is known after a connection to an upstream was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The upstream has ended.
    Ended,
    /// A check has to be made whose result is passed to [`CrashDetector::checked`].
    CheckDue,
    /// A check is in progress.
    CheckInProgress,
    /// Earlier checks found the upstream alive, or too many are under suspicion.
    Open,
}

#[derive(Clone, Debug)]
struct Suspected {
    /// Requests whose connections were lost, until the upstream is known to have ended.
    requests: Vec<Fingerprint>,
    lost_at: Time,
    checks: u32,
    is_checking: bool,
    next_check: Option<Time>,
    has_ended: bool,
}

/// One daemon's suspicions.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    suspected: HashMap<UpstreamProcess, Suspected>,
}

impl CrashDetector {
    /// Creates a detector without suspicions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the connection of a request broke or fell silent before its response was complete.
    pub fn connection_lost(
        &mut self,
        now: Time,
        process: &UpstreamProcess,
        fingerprint: Fingerprint,
    ) -> Suspicion {
        if !self.suspected.contains_key(process) && self.suspected.len() >= MAX_SUSPECTED {
            return Suspicion::Open;
        }
        let suspected = self.suspected.entry(process.clone()).or_insert_with(|| Suspected {
            requests: Vec::new(),
            lost_at: now,
            checks: 0,
            is_checking: false,
            next_check: None,
            has_ended: false,
        });
        if suspected.has_ended {
            return Suspicion::Ended;
        }
        // A connection that breaks later than the last checks shows that they may be outdated.
        if now.since(suspected.lost_at) >= SECOND_CHECK_DELAY {
            suspected.checks = 0;
        }
        suspected.lost_at = now;
        if suspected.requests.len() < MAX_REQUESTS && !suspected.requests.contains(&fingerprint) {
            suspected.requests.push(fingerprint);
        }
        if suspected.is_checking {
            return Suspicion::CheckInProgress;
        }
        if suspected.checks >= MAX_CHECKS || suspected.next_check.is_some() {
            return Suspicion::Open;
        }
        suspected.is_checking = true;
        Suspicion::CheckDue
    }

    /// Records the result of a check; returns the requests under which the upstream ended.
    pub fn checked(
        &mut self,
        now: Time,
        process: &UpstreamProcess,
        result: Reachability,
    ) -> Vec<Fingerprint> {
        let Some(suspected) = self.suspected.get_mut(process) else {
            return Vec::new();
        };
        suspected.is_checking = false;
        suspected.checks += 1;
        if result == Reachability::Refused {
            return suspected.end();
        }
        let lives = matches!(result, Reachability::Accepted | Reachability::PathLost);
        let is_open = suspected.checks < MAX_CHECKS && result != Reachability::PathLost;
        if !is_open && lives {
            suspected.requests.clear();
        }
        suspected.next_check = is_open.then_some(now + SECOND_CHECK_DELAY);
        Vec::new()
    }

    /// Records that the platform lists an upstream; returns the upstreams that must have ended
    /// before, with the requests under which they did.
    pub fn listed(
        &mut self,
        name: &UpstreamName,
        born: u64,
        address: SocketAddr,
    ) -> Vec<(UpstreamProcess, Vec<Fingerprint>)> {
        let is_predecessor = |process: &UpstreamProcess| {
            process.address == address && (process.name != *name || process.born < born)
        };
        let ended = self.suspected.iter_mut();
        let ended = ended.filter(|(process, known)| is_predecessor(process) && !known.has_ended);
        ended.map(|(process, suspected)| (process.clone(), suspected.end())).collect()
    }

    /// When the last connection to an upstream under suspicion was lost.
    pub fn lost_at(&self, process: &UpstreamProcess) -> Option<Time> {
        self.suspected.get(process).map(|suspected| suspected.lost_at)
    }

    /// Whether any upstream is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspected.is_empty()
    }

    /// Returns the upstreams that have to be checked once more; drops old suspicions.
    pub fn tick(&mut self, now: Time) -> Vec<UpstreamProcess> {
        self.suspected.retain(|_, suspected| now.since(suspected.lost_at) < SUSPICION_PERIOD);
        let mut due = Vec::new();
        for (process, suspected) in &mut self.suspected {
            if suspected.next_check.take_if(|at| now >= *at).is_some() {
                suspected.is_checking = true;
                due.push(process.clone());
            }
        }
        due
    }
}

impl Suspected {
    fn end(&mut self) -> Vec<Fingerprint> {
        self.has_ended = true;
        self.next_check = None;
        std::mem::take(&mut self.requests)
    }
}
