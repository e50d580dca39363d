//! The ledger, which makes non-idempotent calls run at most once.
//!
//! Claims and outcomes are stored in the platform's log, one stream per shard. The first claim of
//! an idempotency key in log order wins; only its claimant may dispatch the call.

mod owner;

pub use owner::{Action, ClaimDecision, ShardOwner, min_append_interval};

use crate::names::HostName;
use crate::rendezvous;
use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// One incarnation of a daemon on a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claimant {
    /// The host.
    pub host: HostName,
    /// Identifies the process; increases with each restart of the daemon.
    pub incarnation: u64,
}

/// Request for the right to dispatch a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Organisation, service and the caller's idempotency key.
    pub key: String,
    /// Digest of the request body; must equal that of an earlier claim of the key.
    pub body_digest: String,
    /// Daemon that would dispatch the call.
    pub claimant: Claimant,
    /// Unique per claim.
    pub nonce: u64,
}

/// Result of a call, stored to answer repeated requests with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the call ran.
    pub verdict: Verdict,
    /// HTTP status of the response; 0 without one.
    pub status: u16,
    /// Response body, if text and within the size limit for stored bodies.
    pub body: Option<String>,
}

impl Outcome {
    /// The outcome of a call that is proven not to have run.
    pub fn not_run() -> Self {
        Self { verdict: Verdict::NotRun, status: 0, body: None }
    }

    /// The outcome of a call that may or may not have run.
    pub fn may_have_run() -> Self {
        Self { verdict: Verdict::MayHaveRun, status: 0, body: None }
    }
}

/// Entry of a shard's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEntry {
    /// A claim of a key.
    Claim(Claim),
    /// The outcome of a claim.
    Outcome {
        /// The claimed key.
        key: String,
        /// Nonce of the claim.
        nonce: u64,
        /// The outcome.
        outcome: Outcome,
    },
}

/// Content of one log record: entries appended together.
pub type Batch = Vec<LedgerEntry>;

/// Shard of `key`, less than `shards`.
pub fn shard_of(key: &str, shards: u32) -> u32 {
    (rendezvous::hash(key) % u64::from(shards)) as u32
}

/// Name of a shard's log stream.
pub fn stream_name(shard: u32) -> String {
    format!("ledger-{shard}")
}

/// State of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyState {
    /// Body digest of the winning claim.
    pub body_digest: String,
    /// Winning claimant.
    pub claimant: Claimant,
    /// Nonce of the winning claim.
    pub nonce: u64,
    /// When the log recorded the winning claim.
    pub claimed_at: Time,
    /// Outcome, once known.
    pub outcome: Option<Outcome>,
}

/// Result of applying a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim won; its claimant may dispatch.
    Won,
    /// Another claim holds the key, or this one was released; the key's state.
    Lost(KeyState),
}

/// State of one shard, built by applying its stream in log order.
#[derive(Clone, Debug)]
pub struct Shard {
    keys: HashMap<String, KeyState>,
    validity: Millis,
    /// Nonces of claims released before they appeared in the log, with the time.
    released_early: HashMap<u64, Time>,
    last_sweep: Time,
}

/// Interval between removals of expired keys from memory.
const SWEEP_INTERVAL: Millis = Millis(10_000);

impl Shard {
    /// Creates an empty shard that remembers keys for `validity`.
    pub fn new(validity: Millis) -> Self {
        Self { keys: HashMap::new(), validity, released_early: HashMap::new(), last_sweep: Time(0) }
    }

    /// State of `key`, unless expired at the log time `now`.
    pub fn get(&self, key: &str, now: Time) -> Option<&KeyState> {
        self.keys.get(key).filter(|state| self.is_valid(state, now))
    }

    /// Returns the number of keys in memory, including expired ones not yet removed.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no keys are in memory.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn is_valid(&self, state: &KeyState, now: Time) -> bool {
        now.since(state.claimed_at) < self.validity
    }

    /// Applies an entry that the log recorded at `at`. Returns the result for claims and `None` for
    /// outcomes.
    pub fn apply(&mut self, at: Time, entry: &LedgerEntry) -> Option<ClaimResult> {
        self.sweep(at);
        match entry {
            LedgerEntry::Claim(claim) => Some(self.apply_claim(at, claim)),
            LedgerEntry::Outcome { key, nonce, outcome } => {
                self.apply_outcome(at, key, *nonce, outcome);
                None
            }
        }
    }

    fn apply_claim(&mut self, at: Time, claim: &Claim) -> ClaimResult {
        if let Some(state) = self.get(&claim.key, at) {
            let is_released = state.outcome.as_ref().is_some_and(|o| o.verdict == Verdict::NotRun);
            if state.nonce == claim.nonce && !is_released {
                return ClaimResult::Won;
            }
            if state.nonce == claim.nonce || !is_released {
                return ClaimResult::Lost(state.clone());
            }
        }
        let is_released = self.released_early.remove(&claim.nonce).is_some();
        let state = KeyState {
            body_digest: claim.body_digest.clone(),
            claimant: claim.claimant.clone(),
            nonce: claim.nonce,
            claimed_at: at,
            outcome: is_released.then(Outcome::not_run),
        };
        self.keys.insert(claim.key.clone(), state.clone());
        match is_released {
            true => ClaimResult::Lost(state),
            false => ClaimResult::Won,
        }
    }

    fn apply_outcome(&mut self, at: Time, key: &str, nonce: u64, outcome: &Outcome) {
        let Some(state) = self.keys.get_mut(key).filter(|state| state.nonce == nonce) else {
            if outcome.verdict == Verdict::NotRun {
                self.released_early.insert(nonce, at);
            }
            return;
        };
        // The first outcome is final, except that a more definite one replaces `MayHaveRun`.
        let replaces = state.outcome.as_ref().is_none_or(|old| old.verdict == Verdict::MayHaveRun);
        if replaces {
            state.outcome = Some(outcome.clone());
        }
    }

    fn sweep(&mut self, at: Time) {
        if at.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = at;
        let validity = self.validity;
        self.keys.retain(|_, state| at.since(state.claimed_at) < validity);
        self.released_early.retain(|_, released_at| at.since(*released_at) < validity);
    }
}
