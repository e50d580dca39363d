//! Owner of a ledger shard: appends claims and outcomes in batches and replies to claims by log
//! order.

use super::{Batch, Claim, ClaimResult, KeyState, LedgerEntry, Outcome, Shard};
use crate::catalogue::Offset;
use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use std::collections::{HashMap, HashSet};

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claimant may dispatch the call, once.
    Won,
    /// Another claim of the key has no outcome yet.
    Running,
    /// The winner proved that the call did not run; a new claim can win.
    Released,
    /// The call with this key has an outcome.
    Finished(Outcome),
    /// The key was claimed with a different request body.
    OtherBody,
    /// The log did not confirm the claim in time. The claim will never win: if it turns up in the
    /// log later, it is released.
    LogUnavailable,
}

/// What the caller of [`ShardOwner`] must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a batch to the log and report the end with `append_ended`.
    Append(Batch),
    /// Send the decision on a claim.
    Reply {
        /// Nonce of the claim.
        nonce: u64,
        /// The decision.
        decision: ClaimDecision,
    },
    /// The outcome of a claim is in the log.
    Settled {
        /// Nonce of the claim.
        nonce: u64,
    },
}

#[derive(Clone, Debug)]
struct OpenClaim {
    claim: Claim,
    /// When the claimant stops waiting.
    deadline: Time,
}

/// Limit on the appends of all shards together.
const MAX_APPENDS_PER_SECOND: u64 = 300;

/// Returns the minimum time between two appends of one of `shards` shards, which keeps all shards
/// together within the append rate that the log can take. An idle shard appends at once.
pub fn min_append_interval(shards: u32) -> Millis {
    const MILLIS_PER_SECOND: u64 = 1_000;
    Millis((u64::from(shards) * MILLIS_PER_SECOND).div_ceil(MAX_APPENDS_PER_SECOND))
}

const MAX_BATCH_ENTRIES: usize = 256;

/// Owns one shard while this daemon ranks first for it.
///
/// Two owners at once are safe: both append, and both reply by the same log order.
#[derive(Debug)]
pub struct ShardOwner {
    shard: Shard,
    append_interval: Millis,
    next: Offset,
    log_time: Time,
    /// Entries waiting to be appended.
    pending: Batch,
    /// Entries of the append in progress.
    appending: Batch,
    is_appending: bool,
    appended_at: Option<Time>,
    open_claims: HashMap<u64, OpenClaim>,
    /// Claims decided as `LogUnavailable`, released if they turn up in the log.
    abandoned: HashSet<u64>,
    /// Lost claims that wait for the winner's outcome, by key.
    waiters: HashMap<String, Vec<Waiter>>,
    /// Outcomes not yet read back from the log, by nonce of their claim.
    outcomes: HashMap<u64, LedgerEntry>,
}

#[derive(Clone, Debug)]
struct Waiter {
    nonce: u64,
    body_digest: String,
    deadline: Time,
}

impl ShardOwner {
    /// Creates an owner that has read no records, remembers keys for `validity` and waits at least
    /// `append_interval` between two appends.
    pub fn new(validity: Millis, append_interval: Millis) -> Self {
        Self {
            shard: Shard::new(validity),
            append_interval,
            next: Offset(1),
            log_time: Time(0),
            pending: Vec::new(),
            appending: Vec::new(),
            is_appending: false,
            appended_at: None,
            open_claims: HashMap::new(),
            abandoned: HashSet::new(),
            waiters: HashMap::new(),
            outcomes: HashMap::new(),
        }
    }

    /// Next offset to read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// State read so far.
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    /// Whether claims, outcomes or an append wait for the log.
    pub fn is_waiting(&self) -> bool {
        !self.open_claims.is_empty() || !self.outcomes.is_empty() || self.is_appending
    }

    /// Submits a claim. By `deadline` it ends as `LogUnavailable` if the log has not confirmed it,
    /// or as `Running` if it lost to a claim without an outcome.
    pub fn claim(&mut self, claim: Claim, deadline: Time) {
        self.pending.push(LedgerEntry::Claim(claim.clone()));
        self.open_claims.insert(claim.nonce, OpenClaim { claim, deadline });
    }

    /// Submits the outcome of a claim.
    pub fn settle(&mut self, key: &str, nonce: u64, outcome: Outcome) {
        let entry = LedgerEntry::Outcome { key: key.to_owned(), nonce, outcome };
        self.pending.push(entry.clone());
        self.outcomes.insert(nonce, entry);
    }

    /// Starts an append if one is due, and replies to claims whose deadline has passed.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire_claims(now);
        let is_due = self.appended_at.is_none_or(|at| now.since(at) >= self.append_interval);
        if self.is_appending || self.pending.is_empty() || !is_due {
            return actions;
        }
        let count = self.pending.len().min(MAX_BATCH_ENTRIES);
        self.appending = self.pending.drain(..count).collect();
        self.is_appending = true;
        self.appended_at = Some(now);
        actions.push(Action::Append(self.appending.clone()));
        actions
    }

    fn expire_claims(&mut self, now: Time) -> Vec<Action> {
        let expired: Vec<_> = self
            .open_claims
            .iter()
            .filter(|(_, open)| open.deadline <= now)
            .map(|(nonce, _)| *nonce)
            .collect();
        let mut actions = Vec::new();
        for nonce in expired {
            self.open_claims.remove(&nonce);
            self.abandoned.insert(nonce);
            actions.push(Action::Reply { nonce, decision: ClaimDecision::LogUnavailable });
        }
        let abandoned = &self.abandoned;
        let is_kept =
            |e: &LedgerEntry| !matches!(e, LedgerEntry::Claim(c) if abandoned.contains(&c.nonce));
        self.pending.retain(is_kept);
        for waiters in self.waiters.values_mut() {
            for waiter in waiters.extract_if(.., |waiter| waiter.deadline <= now) {
                let decision = ClaimDecision::Running;
                actions.push(Action::Reply { nonce: waiter.nonce, decision });
            }
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
        actions
    }

    /// Reports the end of the append in progress. A failed append may still have taken effect, so
    /// its entries are appended again; duplicates are recognised by their nonces.
    pub fn append_ended(&mut self, succeeded: bool) {
        self.is_appending = false;
        let batch = std::mem::take(&mut self.appending);
        if succeeded {
            return;
        }
        let is_open = |entry: &LedgerEntry| match entry {
            LedgerEntry::Claim(claim) => self.open_claims.contains_key(&claim.nonce),
            LedgerEntry::Outcome { nonce, .. } => self.outcomes.contains_key(nonce),
        };
        let retried: Batch = batch.into_iter().filter(is_open).collect();
        self.pending.splice(0..0, retried);
    }

    /// Declares that the log holds no record before `first`.
    pub fn set_log_start(&mut self, first: Offset) {
        self.next = self.next.max(first);
    }

    /// Applies the record at `offset`, which the log recorded at `at`. Records before the next
    /// offset are ignored, and one that cannot be parsed counts as empty.
    pub fn apply_record(&mut self, offset: Offset, at: Time, data: &str) -> Vec<Action> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset.next();
        self.log_time = self.log_time.max(at);
        let batch: Batch = serde_json::from_str(data).unwrap_or_default();
        let mut actions = Vec::new();
        for entry in &batch {
            self.apply_entry(entry, &mut actions);
        }
        actions
    }

    fn apply_entry(&mut self, entry: &LedgerEntry, actions: &mut Vec<Action>) {
        let result = self.shard.apply(self.log_time, entry);
        match (entry, result) {
            (LedgerEntry::Claim(claim), Some(result)) => self.decide_claim(claim, result, actions),
            (LedgerEntry::Outcome { key, nonce, .. }, _) => {
                if self.outcomes.remove(nonce).is_some() {
                    actions.push(Action::Settled { nonce: *nonce });
                }
                self.decide_waiters(key, actions);
            }
            _ => {}
        }
    }

    fn decide_claim(&mut self, claim: &Claim, result: ClaimResult, actions: &mut Vec<Action>) {
        if self.abandoned.remove(&claim.nonce) {
            if result == ClaimResult::Won {
                self.settle(&claim.key, claim.nonce, Outcome::not_run());
            }
            return;
        }
        let Some(open) = self.open_claims.remove(&claim.nonce) else {
            return;
        };
        match result {
            ClaimResult::Won => {
                actions.push(Action::Reply { nonce: claim.nonce, decision: ClaimDecision::Won });
            }
            ClaimResult::Lost(state) => self.decide_lost_claim(&open, &state, actions),
        }
    }

    fn decide_lost_claim(&mut self, open: &OpenClaim, state: &KeyState, actions: &mut Vec<Action>) {
        let claim = &open.claim;
        let waiter = Waiter {
            nonce: claim.nonce,
            body_digest: claim.body_digest.clone(),
            deadline: open.deadline,
        };
        match decision_from(&waiter.body_digest, state) {
            Some(decision) => actions.push(Action::Reply { nonce: waiter.nonce, decision }),
            None => self.waiters.entry(claim.key.clone()).or_default().push(waiter),
        }
    }

    fn decide_waiters(&mut self, key: &str, actions: &mut Vec<Action>) {
        let Some(state) = self.shard.get(key, self.log_time) else {
            return;
        };
        let Some(waiters) = self.waiters.remove(key) else {
            return;
        };
        for waiter in waiters {
            if let Some(decision) = decision_from(&waiter.body_digest, state) {
                actions.push(Action::Reply { nonce: waiter.nonce, decision });
            }
        }
    }

    /// Settles claims of stopped claimants on which other claims wait, as `MayHaveRun`: their calls
    /// may have run.
    pub fn settle_orphaned_claims(&mut self, has_stopped: impl Fn(&super::Claimant) -> bool) {
        let orphaned: Vec<_> = self
            .waiters
            .keys()
            .filter_map(|key| Some((key.clone(), self.shard.get(key, self.log_time)?)))
            .filter(|(_, state)| state.outcome.is_none() && has_stopped(&state.claimant))
            .map(|(key, state)| (key, state.nonce))
            .collect();
        for (key, nonce) in orphaned {
            if !self.outcomes.contains_key(&nonce) {
                self.settle(&key, nonce, Outcome::may_have_run());
            }
        }
    }
}

fn decision_from(body_digest: &str, state: &KeyState) -> Option<ClaimDecision> {
    if state.body_digest != body_digest {
        return Some(ClaimDecision::OtherBody);
    }
    match &state.outcome {
        Some(outcome) if outcome.verdict == Verdict::NotRun => Some(ClaimDecision::Released),
        Some(outcome) => Some(ClaimDecision::Finished(outcome.clone())),
        None => None,
    }
}
