//! Appends the claims and outcomes of one shard in batches and answers them in log order.

use super::{Batch, Claim, Fact, KeyState, Outcome, Shard, Standing};
use crate::catalogue::Offset;
use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use std::collections::{HashMap, HashSet};

/// What a claimant is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// It may dispatch, once.
    Won,
    /// Another claim of the key runs now.
    Running,
    /// The winner proved that it did not run the call; a new claim may win.
    Released,
    /// The key's call has an outcome.
    Finished(Outcome),
    /// The key was used with another body.
    OtherBody,
    /// The claim could not be recorded; it will never win.
    LogUnavailable,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a batch; report with `append_ended`.
    Append(Batch),
    /// Answer the claim with this nonce.
    Answer {
        /// The claim's nonce.
        nonce: u64,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The outcome of the claim with this nonce is in the log.
    Settled {
        /// The claim's nonce.
        nonce: u64,
    },
}

#[derive(Clone, Debug)]
struct WaitingClaim {
    claim: Claim,
    /// When the claimant stops waiting.
    until: Time,
}

/// Appends a second that all shards together make at the most.
const MAX_APPENDS_PER_SECOND: u64 = 300;

/// The least time between two appends of one shard among `shards`, so that all of them together
/// stay within what the log takes. A shard that was idle appends at once.
pub fn append_pause(shards: u32) -> Millis {
    const MILLIS_PER_SECOND: u64 = 1_000;
    Millis((u64::from(shards) * MILLIS_PER_SECOND).div_ceil(MAX_APPENDS_PER_SECOND))
}

/// The most facts in one batch.
const MAX_BATCH: usize = 256;

/// Owns one shard while this daemon ranks first for it.
///
/// Two owners at a time do no harm: both append, and both answer by the same log order.
#[derive(Debug)]
pub struct ShardOwner {
    shard: Shard,
    pause: Millis,
    next: Offset,
    log_time: Time,
    /// Facts to append.
    pending: Batch,
    /// Facts of the append in progress.
    appending: Batch,
    is_appending: bool,
    appended_at: Option<Time>,
    claims: HashMap<u64, WaitingClaim>,
    /// Claims whose claimant was told `LogUnavailable`; they are released when they turn up.
    abandoned: HashSet<u64>,
    /// Lost claims that wait for an outcome, by key.
    losers: HashMap<String, Vec<Loser>>,
    /// Outcomes that wait for the log, by nonce of their claim.
    outcomes: HashMap<u64, Fact>,
}

#[derive(Clone, Debug)]
struct Loser {
    nonce: u64,
    body_digest: String,
    until: Time,
}

impl ShardOwner {
    /// An owner that has read nothing yet, remembers keys for `validity` and waits for `pause`
    /// between two appends.
    pub fn new(validity: Millis, pause: Millis) -> Self {
        Self {
            shard: Shard::new(validity),
            pause,
            next: Offset(1),
            log_time: Time(0),
            pending: Vec::new(),
            appending: Vec::new(),
            is_appending: false,
            appended_at: None,
            claims: HashMap::new(),
            abandoned: HashSet::new(),
            losers: HashMap::new(),
            outcomes: HashMap::new(),
        }
    }

    /// The offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// The fold so far.
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    /// Whether claims or outcomes wait for the log.
    pub fn is_waiting(&self) -> bool {
        !self.claims.is_empty() || !self.outcomes.is_empty() || self.is_appending
    }

    /// Takes a claim that its claimant waits for until `until`.
    pub fn claim(&mut self, claim: Claim, until: Time) {
        self.pending.push(Fact::Claim(claim.clone()));
        self.claims.insert(claim.nonce, WaitingClaim { claim, until });
    }

    /// Takes the outcome of a claim.
    pub fn settle(&mut self, key: &str, nonce: u64, outcome: Outcome) {
        let fact = Fact::Outcome { key: key.to_owned(), nonce, outcome };
        self.pending.push(fact.clone());
        self.outcomes.insert(nonce, fact);
    }

    /// Starts an append when one is due and gives up claims whose time is over.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.give_up(now);
        let is_due = self.appended_at.is_none_or(|at| now.since(at) >= self.pause);
        if self.is_appending || self.pending.is_empty() || !is_due {
            return actions;
        }
        let count = self.pending.len().min(MAX_BATCH);
        self.appending = self.pending.drain(..count).collect();
        self.is_appending = true;
        self.appended_at = Some(now);
        actions.push(Action::Append(self.appending.clone()));
        actions
    }

    fn give_up(&mut self, now: Time) -> Vec<Action> {
        let over: Vec<_> =
            self.claims.iter().filter(|(_, c)| c.until <= now).map(|(nonce, _)| *nonce).collect();
        let mut actions = Vec::new();
        for nonce in over {
            self.claims.remove(&nonce);
            self.abandoned.insert(nonce);
            actions.push(Action::Answer { nonce, answer: ClaimAnswer::LogUnavailable });
        }
        let abandoned = &self.abandoned;
        let is_wanted =
            |fact: &Fact| !matches!(fact, Fact::Claim(c) if abandoned.contains(&c.nonce));
        self.pending.retain(is_wanted);
        for losers in self.losers.values_mut() {
            for loser in losers.extract_if(.., |loser| loser.until <= now) {
                let answer = ClaimAnswer::Running;
                actions.push(Action::Answer { nonce: loser.nonce, answer });
            }
        }
        self.losers.retain(|_, losers| !losers.is_empty());
        actions
    }

    /// Notes the end of the append in progress. A failed append may still have taken effect, so
    /// its facts are appended again; the fold recognises repeats by their nonces.
    pub fn append_ended(&mut self, succeeded: bool) {
        self.is_appending = false;
        let batch = std::mem::take(&mut self.appending);
        if succeeded {
            return;
        }
        let is_open = |fact: &Fact| match fact {
            Fact::Claim(claim) => self.claims.contains_key(&claim.nonce),
            Fact::Outcome { nonce, .. } => self.outcomes.contains_key(nonce),
        };
        let again: Batch = batch.into_iter().filter(is_open).collect();
        self.pending.splice(0..0, again);
    }

    /// Notes that the log holds nothing older than `first`.
    pub fn starts_at(&mut self, first: Offset) {
        self.next = self.next.max(first);
    }

    /// Folds the record at `offset`, which the log recorded at `at`.
    pub fn fold(&mut self, offset: Offset, at: Time, data: &str) -> Vec<Action> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset.next();
        self.log_time = self.log_time.max(at);
        let batch: Batch = serde_json::from_str(data).unwrap_or_default();
        let mut actions = Vec::new();
        for fact in &batch {
            self.fold_fact(fact, &mut actions);
        }
        actions
    }

    fn fold_fact(&mut self, fact: &Fact, actions: &mut Vec<Action>) {
        let standing = self.shard.fold(self.log_time, fact);
        match (fact, standing) {
            (Fact::Claim(claim), Some(standing)) => self.answer_claim(claim, standing, actions),
            (Fact::Outcome { key, nonce, .. }, _) => {
                if self.outcomes.remove(nonce).is_some() {
                    actions.push(Action::Settled { nonce: *nonce });
                }
                self.answer_losers(key, actions);
            }
            _ => {}
        }
    }

    fn answer_claim(&mut self, claim: &Claim, standing: Standing, actions: &mut Vec<Action>) {
        if self.abandoned.remove(&claim.nonce) {
            if standing == Standing::Won {
                self.settle(&claim.key, claim.nonce, Outcome::not_run());
            }
            return;
        }
        let Some(waiting) = self.claims.remove(&claim.nonce) else {
            return;
        };
        match standing {
            Standing::Won => {
                actions.push(Action::Answer { nonce: claim.nonce, answer: ClaimAnswer::Won });
            }
            Standing::Lost(state) => self.answer_lost(&waiting, &state, actions),
        }
    }

    fn answer_lost(&mut self, waiting: &WaitingClaim, state: &KeyState, actions: &mut Vec<Action>) {
        let claim = &waiting.claim;
        let loser = Loser {
            nonce: claim.nonce,
            body_digest: claim.body_digest.clone(),
            until: waiting.until,
        };
        match answer_from(&loser.body_digest, state) {
            Some(answer) => actions.push(Action::Answer { nonce: loser.nonce, answer }),
            None => self.losers.entry(claim.key.clone()).or_default().push(loser),
        }
    }

    fn answer_losers(&mut self, key: &str, actions: &mut Vec<Action>) {
        let Some(state) = self.shard.get(key, self.log_time) else {
            return;
        };
        let Some(losers) = self.losers.remove(key) else {
            return;
        };
        for loser in losers {
            if let Some(answer) = answer_from(&loser.body_digest, state) {
                actions.push(Action::Answer { nonce: loser.nonce, answer });
            }
        }
    }

    /// Answers for claimants that are gone: their calls may have run.
    pub fn claimants_gone(&mut self, is_gone: impl Fn(&super::Claimant) -> bool) {
        let orphans: Vec<_> = self
            .losers
            .keys()
            .filter_map(|key| Some((key.clone(), self.shard.get(key, self.log_time)?)))
            .filter(|(_, state)| state.outcome.is_none() && is_gone(&state.claimant))
            .map(|(key, state)| (key, state.nonce))
            .collect();
        for (key, nonce) in orphans {
            if !self.outcomes.contains_key(&nonce) {
                self.settle(&key, nonce, Outcome::may_have_run());
            }
        }
    }
}

fn answer_from(body_digest: &str, state: &KeyState) -> Option<ClaimAnswer> {
    if state.body_digest != body_digest {
        return Some(ClaimAnswer::OtherBody);
    }
    match &state.outcome {
        Some(outcome) if outcome.verdict == Verdict::NotRun => Some(ClaimAnswer::Released),
        Some(outcome) => Some(ClaimAnswer::Finished(outcome.clone())),
        None => None,
    }
}
