//! A non-idempotent call runs at most once, regardless of failures of claimants, shard owners and
//! the log.

use magnoliawinch::catalogue::Offset;
use magnoliawinch::ledger::{Action, Batch, Claim, ClaimDecision, Claimant, Outcome, ShardOwner};
use magnoliawinch::names::HostName;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};
use std::collections::HashMap;

const VALIDITY: Millis = Millis(60_000);
const CLAIM_BOUND: Millis = Millis(5_000);
/// Two runs of a key within this time are the same call.
const SAME_CALL_WINDOW: Millis = Millis(VALIDITY.0 - CLAIM_BOUND.0);
const CLAIM_PATIENCE: Millis = Millis(2_000);
const APPEND_INTERVAL: Millis = Millis(5);
const OWNERS: usize = 2;
const KEYS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendEnd {
    Recorded,
    /// The batch was recorded, but the reply lost.
    ReplyLost,
    Failed,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A host claims a caller's call at an owner.
    Claim { owner: usize, key: usize, body: usize },
    /// An owner ticks, its append succeeds, and it reads the log.
    Commit { owner: usize },
    /// An owner ticks.
    Tick { owner: usize },
    /// An owner's append ends.
    Append { owner: usize, end: AppendEnd },
    /// An owner reads the log to its end.
    Read { owner: usize },
    /// An owner is replaced by one that has read no records.
    Restart { owner: usize },
    /// Time passes.
    Advance { ms: u64 },
    /// A winning claimant dispatches, unless its claim is too old.
    Dispatch { pick: usize },
    /// A claimant that did not dispatch releases its claim.
    Release { pick: usize, owner: usize },
    /// A claimant that dispatched records the outcome.
    Record { pick: usize, owner: usize },
    /// An owner treats all claimants as stopped.
    SettleOrphaned { owner: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let owner = usize::arbitrary(g) % OWNERS;
        let pick = usize::arbitrary(g) % 8;
        match u8::arbitrary(g) % 20 {
            16..=19 => Self::Commit { owner },
            0..=2 => Self::Claim {
                owner,
                key: usize::arbitrary(g) % KEYS,
                body: usize::from(u8::arbitrary(g).is_multiple_of(8)),
            },
            3 | 4 => Self::Tick { owner },
            5 | 6 => {
                let ends = [AppendEnd::Recorded, AppendEnd::ReplyLost, AppendEnd::Failed];
                Self::Append { owner, end: *g.choose(&ends).expect("there are ends") }
            }
            7 | 8 => Self::Read { owner },
            9 => Self::Restart { owner },
            10 => {
                let spans = [1, 10, 500, 3_000, 10_000, 70_000];
                Self::Advance { ms: *g.choose(&spans).expect("there are spans") }
            }
            11 | 12 => Self::Dispatch { pick },
            13 => Self::Release { pick, owner },
            14 => Self::Record { pick, owner },
            _ => Self::SettleOrphaned { owner },
        }
    }
}

/// Fault that the check must detect, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// An owner replies once the append is confirmed, without reading the log order.
    WinAtAppend,
    /// A claimant dispatches a claim of any age.
    NoClaimBound,
    /// An owner releases the claims of claimants that it treats as stopped.
    ReleaseOrphans,
}

#[derive(Clone, Debug)]
struct ClaimState {
    claim: Claim,
    claimed_at: Time,
    decision: Option<ClaimDecision>,
    dispatched: bool,
    settled: bool,
}

struct World {
    variant: Variant,
    now: Time,
    log: Vec<(Time, String)>,
    owners: Vec<ShardOwner>,
    appending: Vec<Option<Batch>>,
    claims: Vec<ClaimState>,
    runs: HashMap<String, Vec<Time>>,
}

impl World {
    fn new(variant: Variant) -> Self {
        Self {
            variant,
            now: Time(1_000),
            log: Vec::new(),
            owners: (0..OWNERS).map(|_| ShardOwner::new(VALIDITY, APPEND_INTERVAL)).collect(),
            appending: vec![None; OWNERS],
            claims: Vec::new(),
            runs: HashMap::new(),
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Claim { owner, key, body } => self.claim(owner, key, body),
            Step::Commit { owner } => {
                self.now = self.now + Millis(10);
                self.tick(owner);
                self.append(owner, AppendEnd::Recorded);
                self.read(owner);
            }
            Step::Tick { owner } => self.tick(owner),
            Step::Append { owner, end } => self.append(owner, end),
            Step::Read { owner } => self.read(owner),
            Step::Restart { owner } => {
                self.owners[owner] = ShardOwner::new(VALIDITY, APPEND_INTERVAL);
                self.appending[owner] = None;
            }
            Step::Advance { ms } => self.now = self.now + Millis(ms),
            Step::Dispatch { pick } => self.dispatch(pick)?,
            Step::Release { pick, owner } => self.settle(pick, owner, false),
            Step::Record { pick, owner } => self.settle(pick, owner, true),
            Step::SettleOrphaned { owner } => self.settle_orphaned(owner),
        }
        Ok(())
    }

    fn tick(&mut self, owner: usize) {
        let actions = self.owners[owner].tick(self.now);
        self.apply(owner, actions);
    }

    fn claim(&mut self, owner: usize, key: usize, body: usize) {
        let nonce = self.claims.len() as u64 + 1;
        let claim = Claim {
            key: format!("key-{key}"),
            body_digest: format!("body-{body}"),
            claimant: Claimant { host: HostName::new("entry"), incarnation: nonce },
            nonce,
        };
        self.owners[owner].claim(claim.clone(), self.now + CLAIM_PATIENCE);
        self.claims.push(ClaimState {
            claim,
            claimed_at: self.now,
            decision: None,
            dispatched: false,
            settled: false,
        });
    }

    fn apply(&mut self, owner: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(batch) => self.appending[owner] = Some(batch),
                Action::Reply { nonce, decision } => {
                    let state = &mut self.claims[nonce as usize - 1];
                    state.decision.get_or_insert(decision);
                }
                Action::Settled { .. } => {}
            }
        }
    }

    fn append(&mut self, owner: usize, end: AppendEnd) {
        let Some(batch) = self.appending[owner].take() else {
            return;
        };
        if end != AppendEnd::Failed {
            let data = serde_json::to_string(&batch).expect("batches are JSON");
            self.log.push((self.now, data));
        }
        self.owners[owner].append_ended(end == AppendEnd::Recorded);
        if self.variant == Variant::WinAtAppend && end == AppendEnd::Recorded {
            for entry in batch {
                if let magnoliawinch::ledger::LedgerEntry::Claim(claim) = entry {
                    let state = &mut self.claims[claim.nonce as usize - 1];
                    state.decision.get_or_insert(ClaimDecision::Won);
                }
            }
        }
    }

    fn read(&mut self, owner: usize) {
        let from = self.owners[owner].next_offset().0 as usize - 1;
        for (index, (at, data)) in self.log.clone().into_iter().enumerate().skip(from) {
            let actions = self.owners[owner].apply_record(Offset(index as u64 + 1), at, &data);
            self.apply(owner, actions);
        }
    }

    fn pick(&self, pick: usize, wants_dispatched: bool) -> Option<usize> {
        let won = |(_, state): &(usize, &ClaimState)| {
            state.decision == Some(ClaimDecision::Won)
                && !state.settled
                && state.dispatched == wants_dispatched
        };
        let found: Vec<_> = self.claims.iter().enumerate().filter(won).collect();
        found.get(pick % found.len().max(1)).map(|(index, _)| *index)
    }

    fn dispatch(&mut self, pick: usize) -> Result<(), String> {
        let Some(index) = self.pick(pick, false) else {
            return Ok(());
        };
        let state = &mut self.claims[index];
        let is_late = self.now.since(state.claimed_at) >= CLAIM_BOUND;
        if is_late && self.variant != Variant::NoClaimBound {
            return Ok(());
        }
        state.dispatched = true;
        let key = state.claim.key.clone();
        let runs = self.runs.entry(key.clone()).or_default();
        runs.push(self.now);
        let recent = runs.iter().filter(|at| self.now.since(**at) < SAME_CALL_WINDOW);
        match recent.count() {
            1 => Ok(()),
            count => Err(format!("\"{key}\" ran {count} times")),
        }
    }

    fn settle(&mut self, pick: usize, owner: usize, dispatched: bool) {
        let Some(index) = self.pick(pick, dispatched) else {
            return;
        };
        let state = &mut self.claims[index];
        state.settled = true;
        let outcome = match dispatched {
            true => Outcome { verdict: Verdict::Ran, status: 200, body: None },
            false => Outcome::not_run(),
        };
        let (key, nonce) = (state.claim.key.clone(), state.claim.nonce);
        self.owners[owner].settle(&key, nonce, outcome);
    }

    fn settle_orphaned(&mut self, owner: usize) {
        self.owners[owner].settle_orphaned_claims(|_| true);
        if self.variant == Variant::ReleaseOrphans {
            for state in self.claims.clone() {
                let key = state.claim.key.clone();
                self.owners[owner].settle(&key, state.claim.nonce, Outcome::not_run());
            }
        }
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    steps.iter().try_for_each(|step| world.step(*step))
}

#[test]
fn a_call_runs_at_most_once() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn replying_without_the_log_order_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::WinAtAppend, steps));
}

#[test]
fn dispatching_an_old_claim_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::NoClaimBound, steps));
}

#[test]
fn releasing_orphaned_claims_is_detected() {
    check_detects(|steps: &[Step]| run(Variant::ReleaseOrphans, steps));
}

/// Runs one owner against a log that never fails; returns its other actions.
fn commit_and_read(owner: &mut ShardOwner, log: &mut Vec<String>, now: Time) -> Vec<Action> {
    let mut actions = Vec::new();
    for action in owner.tick(now) {
        match action {
            Action::Append(batch) => {
                log.push(serde_json::to_string(&batch).expect("batches are JSON"));
                owner.append_ended(true);
            }
            other => actions.push(other),
        }
    }
    while let Some(data) = log.get(owner.next_offset().0 as usize - 1) {
        actions.extend(owner.apply_record(owner.next_offset(), now, data));
    }
    actions
}

fn claim_of(nonce: u64, body: &str) -> Claim {
    Claim {
        key: "order-1".to_owned(),
        body_digest: body.to_owned(),
        claimant: Claimant { host: HostName::new("entry"), incarnation: 1 },
        nonce,
    }
}

#[test]
fn the_same_key_gets_the_same_outcome_and_another_body_is_refused() {
    let (mut owner, mut log) = (ShardOwner::new(VALIDITY, APPEND_INTERVAL), Vec::new());
    owner.claim(claim_of(1, "a"), Time(2_000));
    let mut actions = commit_and_read(&mut owner, &mut log, Time(10));
    let outcome = Outcome { verdict: Verdict::Ran, status: 201, body: Some("bill".to_owned()) };
    owner.settle("order-1", 1, outcome);
    actions.extend(commit_and_read(&mut owner, &mut log, Time(20)));
    // A second owner has only the log's content.
    let mut second = ShardOwner::new(VALIDITY, APPEND_INTERVAL);
    second.claim(claim_of(2, "a"), Time(2_000));
    second.claim(claim_of(3, "b"), Time(2_000));
    actions.extend(commit_and_read(&mut second, &mut log, Time(30)));
    insta::assert_debug_snapshot!(actions);
}

#[test]
fn an_unconfirmed_claim_ends_as_unavailable_and_is_released_if_it_turns_up() {
    let mut owner = ShardOwner::new(VALIDITY, APPEND_INTERVAL);
    owner.claim(claim_of(1, "a"), Time(2_000));
    let first = owner.tick(Time(10));
    owner.append_ended(false);
    let expired = owner.tick(Time(2_000));
    // The failed append has taken effect after all.
    let batch = match &first[..] {
        [Action::Append(batch)] => serde_json::to_string(batch).expect("batches are JSON"),
        other => panic!("an append was expected: {other:?}"),
    };
    let late = owner.apply_record(Offset(1), Time(2_010), &batch);
    let release = owner.tick(Time(2_020));
    insta::assert_debug_snapshot!((expired, late, release));
}
