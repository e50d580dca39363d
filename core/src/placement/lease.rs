//! Leases kept in the platform's log.

use crate::catalogue::Offset;
use crate::ledger::Claimant;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Log stream of all leases.
pub const STREAM: &str = "leases";

/// Validity of a lease after it is taken or renewed.
pub const LEASE_DURATION: Millis = Millis(15_000);

/// Time before expiry at which a lease is renewed.
const RENEW_BEFORE: Millis = Millis(9_000);

/// Time before expiry at which the holder stops sending orders.
const SAFETY_MARGIN: Millis = Millis(2_000);

/// Maximum time of an order in flight.
pub const MAX_ORDER_DELAY: Millis = Millis(5_000);

/// Minimum time between attempts to take or renew a lease.
const ATTEMPT_INTERVAL: Millis = Millis(3_000);

/// Record of the lease stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Takes a lease, or renews it if the holder already has it.
    Take {
        /// Subject of the lease.
        scope: String,
        /// Daemon that takes it.
        holder: Claimant,
        /// Distinguishes the holder's records.
        nonce: u64,
    },
    /// Ends a lease early.
    Release {
        /// Subject of the lease.
        scope: String,
        /// Daemon that releases it.
        holder: Claimant,
    },
}

/// Most recent grant of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Daemon that holds it.
    pub holder: Claimant,
    /// Fencing number: the offset of the granting record.
    pub fencing: Offset,
    /// Expiry, in the log's time.
    pub until: Time,
}

/// State of all leases, built by applying their stream.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    leases: HashMap<String, Lease>,
}

impl Leases {
    /// Creates a state without leases.
    pub fn new() -> Self {
        Self::default()
    }

    /// The latest lease of `scope`; may have expired.
    pub fn get(&self, scope: &str) -> Option<&Lease> {
        self.leases.get(scope)
    }

    /// Applies the record at `offset`, stamped by the log with time `at`.
    pub fn apply(&mut self, offset: Offset, at: Time, record: &LeaseRecord) {
        match record {
            LeaseRecord::Take { scope, holder, .. } => self.take(offset, at, scope, holder),
            LeaseRecord::Release { scope, holder } => {
                if let Some(lease) = self.leases.get_mut(scope).filter(|l| l.holder == *holder) {
                    lease.until = at;
                }
            }
        }
    }

    fn take(&mut self, offset: Offset, at: Time, scope: &str, holder: &Claimant) {
        let until = at + LEASE_DURATION;
        match self.leases.get_mut(scope) {
            Some(lease) if at < lease.until && lease.holder == *holder => lease.until = until,
            Some(lease) if at < lease.until => {}
            _ => {
                let lease = Lease { holder: holder.clone(), fencing: offset, until };
                self.leases.insert(scope.to_owned(), lease);
            }
        }
    }
}

/// Permission to send orders at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderPermit {
    /// Fencing number of the orders.
    pub fencing: Offset,
    /// Whether engines that do not check fencing numbers may be sent orders.
    pub allows_unfenced: bool,
}

/// Takes, renews and releases a lease for one daemon.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    scope: String,
    own: Claimant,
    /// Send times of `Take` records not yet read back, by nonce.
    pending_takes: HashMap<u64, Time>,
    next_nonce: u64,
    attempted_at: Option<Time>,
    held: Option<HeldLease>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fencing: Offset,
    /// Expiry by this daemon's clock; never later than the log's.
    until: Time,
    granted_at: Time,
}

impl LeaseClient {
    /// Creates a client that does not hold the lease of `scope`.
    pub fn new(scope: &str, own: Claimant) -> Self {
        Self {
            scope: scope.to_owned(),
            own,
            pending_takes: HashMap::new(),
            next_nonce: 0,
            attempted_at: None,
            held: None,
        }
    }

    /// The record to append now, if one is due.
    pub fn tick(&mut self, now: Time) -> Option<LeaseRecord> {
        if self.held.is_some_and(|held| now >= held.until) {
            self.held = None;
        }
        let interval = match self.held {
            Some(held) if held.until.since(now) > RENEW_BEFORE => return None,
            _ => ATTEMPT_INTERVAL,
        };
        if self.attempted_at.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        self.attempted_at = Some(now);
        self.pending_takes.retain(|_, at| now.since(*at) < LEASE_DURATION);
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.pending_takes.insert(nonce, now);
        Some(LeaseRecord::Take { scope: self.scope.clone(), holder: self.own.clone(), nonce })
    }

    /// Updates the held lease after `leases` applied `record` at `now`; ignores other daemons'
    /// records.
    pub fn on_record(&mut self, now: Time, record: &LeaseRecord, leases: &Leases) {
        let LeaseRecord::Take { scope, holder, nonce } = record else {
            return;
        };
        if *scope != self.scope || *holder != self.own {
            return;
        }
        let Some(sent_at) = self.pending_takes.remove(nonce) else {
            return;
        };
        let Some(lease) = leases.get(&self.scope).filter(|lease| lease.holder == self.own) else {
            return;
        };
        let granted_at = match self.held {
            Some(held) if held.fencing == lease.fencing => held.granted_at,
            _ => now,
        };
        let until = sent_at + LEASE_DURATION;
        self.held = Some(HeldLease { fencing: lease.fencing, until, granted_at });
    }

    /// The record that releases a held lease; ignores `Take` records in flight.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        self.pending_takes.clear();
        self.held.take()?;
        Some(LeaseRecord::Release { scope: self.scope.clone(), holder: self.own.clone() })
    }

    /// Permission to send orders; `None` if the lease is not held or about to expire.
    pub fn order_permit(&self, now: Time) -> Option<OrderPermit> {
        let held = self.held?;
        let is_safe = now + SAFETY_MARGIN < held.until;
        let allows_unfenced = now.since(held.granted_at) >= MAX_ORDER_DELAY;
        is_safe.then_some(OrderPermit { fencing: held.fencing, allows_unfenced })
    }
}
