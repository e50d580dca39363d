//! The ledger of calls that must run at most once.
//!
//! Claims and outcomes are records of a stream of the platform's log, one stream for each shard.
//! The first claim of a key in log order wins, and only its claimant dispatches the call.

mod owner;

pub use owner::{Action, ClaimAnswer, ShardOwner, append_pause};

use crate::names::HostName;
use crate::rendezvous;
use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A daemon's run on a host; a restarted daemon has a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claimant {
    /// The host.
    pub host: HostName,
    /// The run of its daemon.
    pub incarnation: u64,
}

/// Asks for the right to dispatch a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Organisation, service and the caller's idempotency key.
    pub key: String,
    /// Digest of the request body.
    pub body_digest: String,
    /// Who would dispatch.
    pub claimant: Claimant,
    /// Unique for each claim.
    pub nonce: u64,
}

/// The answer of an upstream, kept to answer the same key again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the call ran.
    pub verdict: Verdict,
    /// HTTP status of the answer; zero when there was none.
    pub status: u16,
    /// Body of the answer, when it is text within the kept size.
    pub body: Option<String>,
}

impl Outcome {
    /// The outcome of a call that was proved not to have run.
    pub fn not_run() -> Self {
        Self { verdict: Verdict::NotRun, status: 0, body: None }
    }

    /// The outcome of a call about which nothing is known.
    pub fn may_have_run() -> Self {
        Self { verdict: Verdict::MayHaveRun, status: 0, body: None }
    }
}

/// One fact of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// A claim.
    Claim(Claim),
    /// What became of the claim with this nonce.
    Outcome {
        /// The key.
        key: String,
        /// The claim's nonce.
        nonce: u64,
        /// What became of it.
        outcome: Outcome,
    },
}

/// A record of a shard's stream: facts that were appended together.
pub type Batch = Vec<Fact>;

/// The shard of `key`.
pub fn shard_of(key: &str, shards: u32) -> u32 {
    (rendezvous::hash(key) % u64::from(shards)) as u32
}

/// The stream of a shard.
pub fn stream_name(shard: u32) -> String {
    format!("ledger-{shard}")
}

/// What a shard knows of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyState {
    /// Digest of the body that was claimed.
    pub body_digest: String,
    /// Who won.
    pub claimant: Claimant,
    /// The nonce of the winning claim.
    pub nonce: u64,
    /// The log's time of the winning claim.
    pub claimed_at: Time,
    /// What became of it, once that is known.
    pub outcome: Option<Outcome>,
}

/// How a claim stands after the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The claim won; its claimant may dispatch.
    Won,
    /// Another claim won before; its state is given.
    Lost(KeyState),
}

/// Folds a shard's stream.
#[derive(Clone, Debug)]
pub struct Shard {
    keys: HashMap<String, KeyState>,
    validity: Millis,
    /// Claims that were released before they were in the log.
    released_early: HashMap<u64, Time>,
    /// Last time at which expired keys were dropped.
    swept_at: Time,
}

/// How often expired keys are dropped from memory.
const SWEEP_EVERY: Millis = Millis(10_000);

impl Shard {
    /// A shard that remembers keys for `validity`.
    pub fn new(validity: Millis) -> Self {
        Self { keys: HashMap::new(), validity, released_early: HashMap::new(), swept_at: Time(0) }
    }

    /// What is known of `key` at the log's time `now`.
    pub fn get(&self, key: &str, now: Time) -> Option<&KeyState> {
        self.keys.get(key).filter(|state| self.is_valid(state, now))
    }

    /// The number of keys in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn is_valid(&self, state: &KeyState, now: Time) -> bool {
        now.since(state.claimed_at) < self.validity
    }

    /// Applies one fact that the log recorded at `at`; a claim's standing is returned.
    pub fn fold(&mut self, at: Time, fact: &Fact) -> Option<Standing> {
        self.sweep(at);
        match fact {
            Fact::Claim(claim) => Some(self.fold_claim(at, claim)),
            Fact::Outcome { key, nonce, outcome } => {
                self.fold_outcome(at, key, *nonce, outcome);
                None
            }
        }
    }

    fn fold_claim(&mut self, at: Time, claim: &Claim) -> Standing {
        if let Some(state) = self.get(&claim.key, at) {
            let is_released = state.outcome.as_ref().is_some_and(|o| o.verdict == Verdict::NotRun);
            if state.nonce == claim.nonce && !is_released {
                return Standing::Won;
            }
            if state.nonce == claim.nonce || !is_released {
                return Standing::Lost(state.clone());
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
            true => Standing::Lost(state),
            false => Standing::Won,
        }
    }

    fn fold_outcome(&mut self, at: Time, key: &str, nonce: u64, outcome: &Outcome) {
        let Some(state) = self.keys.get_mut(key).filter(|state| state.nonce == nonce) else {
            if outcome.verdict == Verdict::NotRun {
                self.released_early.insert(nonce, at);
            }
            return;
        };
        // The first outcome stands, but one that knows more replaces "may have run".
        let replaces = state.outcome.as_ref().is_none_or(|old| old.verdict == Verdict::MayHaveRun);
        if replaces {
            state.outcome = Some(outcome.clone());
        }
    }

    fn sweep(&mut self, at: Time) {
        if at.since(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = at;
        let validity = self.validity;
        self.keys.retain(|_, state| at.since(state.claimed_at) < validity);
        self.released_early.retain(|_, released_at| at.since(*released_at) < validity);
    }
}
