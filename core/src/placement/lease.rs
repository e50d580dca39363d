//! A lease kept in the platform's log.

use crate::catalogue::Offset;
use crate::ledger::Claimant;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The stream of all leases.
pub const STREAM: &str = "leases";

/// How long a lease holds after it was taken or renewed.
pub const LEASE_DURATION: Millis = Millis(15_000);

/// How long before its end a lease is renewed.
const RENEW_BEFORE: Millis = Millis(9_000);

/// How long before its end a holder stops giving orders.
const SAFETY_MARGIN: Millis = Millis(2_000);

/// Longest time that an order is in flight.
pub const ORDER_FLIGHT: Millis = Millis(5_000);

/// Time between two tries to take a lease that another daemon holds.
const RETRY_EVERY: Millis = Millis(3_000);

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Takes a lease, or renews it when the holder has it.
    Take {
        /// What the lease is for.
        scope: String,
        /// Who takes it.
        holder: Claimant,
        /// Tells the holder's records from each other.
        nonce: u64,
    },
    /// Gives a lease back.
    Release {
        /// What the lease is for.
        scope: String,
        /// Who gives it back.
        holder: Claimant,
    },
}

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Who holds it.
    pub holder: Claimant,
    /// The offset of the record that granted it.
    pub fencing: Offset,
    /// The log's time at which it ends.
    pub until: Time,
}

/// Folds the stream of leases.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    leases: HashMap<String, Lease>,
}

impl Leases {
    /// No lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// The last lease of `scope`; it may have ended.
    pub fn get(&self, scope: &str) -> Option<&Lease> {
        self.leases.get(scope)
    }

    /// Applies the record that the log has at `offset` with the time `at`.
    pub fn fold(&mut self, offset: Offset, at: Time, record: &LeaseRecord) {
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

/// The right to give orders now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// The fencing number to send with orders.
    pub fencing: Offset,
    /// Whether engines that do not check fencing numbers may be given orders too.
    pub includes_unchecked: bool,
}

/// One daemon's part in a lease.
#[derive(Clone, Debug)]
pub struct Holder {
    scope: String,
    own: Claimant,
    /// Send times of takes whose records have not been read yet, by nonce.
    sent: HashMap<u64, Time>,
    next_nonce: u64,
    sent_at: Option<Time>,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: Offset,
    /// By this daemon's clock; never later than the end in the log.
    until: Time,
    granted_at: Time,
}

impl Holder {
    /// A daemon that does not hold the lease of `scope`.
    pub fn new(scope: &str, own: Claimant) -> Self {
        Self {
            scope: scope.to_owned(),
            own,
            sent: HashMap::new(),
            next_nonce: 0,
            sent_at: None,
            held: None,
        }
    }

    /// The record to append now, if one is due.
    pub fn tick(&mut self, now: Time) -> Option<LeaseRecord> {
        if self.held.is_some_and(|held| now >= held.until) {
            self.held = None;
        }
        let pause = match self.held {
            Some(held) if held.until.since(now) > RENEW_BEFORE => return None,
            _ => RETRY_EVERY,
        };
        if self.sent_at.is_some_and(|at| now.since(at) < pause) {
            return None;
        }
        self.sent_at = Some(now);
        self.sent.retain(|_, at| now.since(*at) < LEASE_DURATION);
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.sent.insert(nonce, now);
        Some(LeaseRecord::Take { scope: self.scope.clone(), holder: self.own.clone(), nonce })
    }

    /// Learns what the log says after one of this daemon's own records was folded at `now`.
    pub fn folded(&mut self, now: Time, record: &LeaseRecord, leases: &Leases) {
        let LeaseRecord::Take { scope, holder, nonce } = record else {
            return;
        };
        if *scope != self.scope || *holder != self.own {
            return;
        }
        let Some(sent_at) = self.sent.remove(nonce) else {
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
        self.held = Some(Held { fencing: lease.fencing, until, granted_at });
    }

    /// The record that gives the lease back; takes that are on their way count no more.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        self.sent.clear();
        self.held.take()?;
        Some(LeaseRecord::Release { scope: self.scope.clone(), holder: self.own.clone() })
    }

    /// Whether this daemon may give orders at `now`.
    pub fn right(&self, now: Time) -> Option<Right> {
        let held = self.held?;
        let is_safe = now + SAFETY_MARGIN < held.until;
        let includes_unchecked = now.since(held.granted_at) >= ORDER_FLIGHT;
        is_safe.then_some(Right { fencing: held.fencing, includes_unchecked })
    }
}
