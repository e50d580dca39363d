//! A call that is not idempotent runs at most once, whatever happens to claimants, owners and the
//! log.

use magnoliawinch::catalogue::Offset;
use magnoliawinch::ledger::{Action, Batch, Claim, ClaimAnswer, Claimant, Outcome, ShardOwner};
use magnoliawinch::names::HostName;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_schedules::{check, check_caught};
use quickcheck::{Arbitrary, Gen};
use std::collections::HashMap;

const VALIDITY: Millis = Millis(60_000);
const CLAIM_BOUND: Millis = Millis(5_000);
/// Runs of a key closer than this are runs of the same call.
const SAME_CALL: Millis = Millis(VALIDITY.0 - CLAIM_BOUND.0);
const PATIENCE: Millis = Millis(2_000);
const PAUSE: Millis = Millis(5);
const OWNERS: usize = 2;
const KEYS: usize = 2;

/// How an append ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendEnd {
    Recorded,
    AnswerLost,
    Failed,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller sends the call to a host, which asks an owner.
    Claim { owner: usize, key: usize, body: usize },
    /// An owner does what is due, its append ends well, and it reads the log.
    Commit { owner: usize },
    /// An owner does what is due.
    Tick { owner: usize },
    /// The append of an owner ends.
    Append { owner: usize, end: AppendEnd },
    /// An owner reads the log to its end.
    Read { owner: usize },
    /// An owner is replaced by one that has read nothing.
    Restart { owner: usize },
    /// Time passes.
    Advance { ms: u64 },
    /// A claimant that won dispatches, if it still may.
    Dispatch { pick: usize },
    /// A claimant that did not dispatch gives its claim back.
    Release { pick: usize, owner: usize },
    /// A claimant that dispatched records the outcome.
    Record { pick: usize, owner: usize },
    /// An owner believes that all claimants are gone.
    Orphan { owner: usize },
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
                let ends = [AppendEnd::Recorded, AppendEnd::AnswerLost, AppendEnd::Failed];
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
            _ => Self::Orphan { owner },
        }
    }
}

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// Nothing.
    Right,
    /// An owner answers when the append is confirmed, without reading the log's order.
    WinAtAppend,
    /// A claimant dispatches however old its claim is.
    NoClaimBound,
    /// An owner releases the claims of claimants that it believes to be gone.
    ReleaseOrphans,
}

#[derive(Clone, Debug)]
struct Holder {
    claim: Claim,
    claimed_at: Time,
    answer: Option<ClaimAnswer>,
    dispatched: bool,
    settled: bool,
}

struct World {
    variant: Variant,
    now: Time,
    log: Vec<(Time, String)>,
    owners: Vec<ShardOwner>,
    appending: Vec<Option<Batch>>,
    holders: Vec<Holder>,
    runs: HashMap<String, Vec<Time>>,
}

impl World {
    fn new(variant: Variant) -> Self {
        Self {
            variant,
            now: Time(1_000),
            log: Vec::new(),
            owners: (0..OWNERS).map(|_| ShardOwner::new(VALIDITY, PAUSE)).collect(),
            appending: vec![None; OWNERS],
            holders: Vec::new(),
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
                self.owners[owner] = ShardOwner::new(VALIDITY, PAUSE);
                self.appending[owner] = None;
            }
            Step::Advance { ms } => self.now = self.now + Millis(ms),
            Step::Dispatch { pick } => self.dispatch(pick)?,
            Step::Release { pick, owner } => self.settle(pick, owner, false),
            Step::Record { pick, owner } => self.settle(pick, owner, true),
            Step::Orphan { owner } => self.orphan(owner),
        }
        Ok(())
    }

    fn tick(&mut self, owner: usize) {
        let actions = self.owners[owner].tick(self.now);
        self.apply(owner, actions);
    }

    fn claim(&mut self, owner: usize, key: usize, body: usize) {
        let nonce = self.holders.len() as u64 + 1;
        let claim = Claim {
            key: format!("key-{key}"),
            body_digest: format!("body-{body}"),
            claimant: Claimant { host: HostName::new("entry"), incarnation: nonce },
            nonce,
        };
        self.owners[owner].claim(claim.clone(), self.now + PATIENCE);
        self.holders.push(Holder {
            claim,
            claimed_at: self.now,
            answer: None,
            dispatched: false,
            settled: false,
        });
    }

    fn apply(&mut self, owner: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(batch) => self.appending[owner] = Some(batch),
                Action::Answer { nonce, answer } => {
                    let holder = &mut self.holders[nonce as usize - 1];
                    holder.answer.get_or_insert(answer);
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
            for fact in batch {
                if let magnoliawinch::ledger::Fact::Claim(claim) = fact {
                    let holder = &mut self.holders[claim.nonce as usize - 1];
                    holder.answer.get_or_insert(ClaimAnswer::Won);
                }
            }
        }
    }

    fn read(&mut self, owner: usize) {
        let from = self.owners[owner].next_offset().0 as usize - 1;
        for (place, (at, data)) in self.log.clone().into_iter().enumerate().skip(from) {
            let actions = self.owners[owner].fold(Offset(place as u64 + 1), at, &data);
            self.apply(owner, actions);
        }
    }

    fn pick(&self, pick: usize, wants_dispatched: bool) -> Option<usize> {
        let won = |(_, h): &(usize, &Holder)| {
            h.answer == Some(ClaimAnswer::Won) && !h.settled && h.dispatched == wants_dispatched
        };
        let found: Vec<_> = self.holders.iter().enumerate().filter(won).collect();
        found.get(pick % found.len().max(1)).map(|(place, _)| *place)
    }

    fn dispatch(&mut self, pick: usize) -> Result<(), String> {
        let Some(place) = self.pick(pick, false) else {
            return Ok(());
        };
        let holder = &mut self.holders[place];
        let is_late = self.now.since(holder.claimed_at) >= CLAIM_BOUND;
        if is_late && self.variant != Variant::NoClaimBound {
            return Ok(());
        }
        holder.dispatched = true;
        let key = holder.claim.key.clone();
        let runs = self.runs.entry(key.clone()).or_default();
        runs.push(self.now);
        let recent = runs.iter().filter(|at| self.now.since(**at) < SAME_CALL);
        match recent.count() {
            1 => Ok(()),
            count => Err(format!("\"{key}\" ran {count} times")),
        }
    }

    fn settle(&mut self, pick: usize, owner: usize, dispatched: bool) {
        let Some(place) = self.pick(pick, dispatched) else {
            return;
        };
        let holder = &mut self.holders[place];
        holder.settled = true;
        let outcome = match dispatched {
            true => Outcome { verdict: Verdict::Ran, status: 200, body: None },
            false => Outcome::not_run(),
        };
        let (key, nonce) = (holder.claim.key.clone(), holder.claim.nonce);
        self.owners[owner].settle(&key, nonce, outcome);
    }

    fn orphan(&mut self, owner: usize) {
        self.owners[owner].claimants_gone(|_| true);
        if self.variant == Variant::ReleaseOrphans {
            for holder in self.holders.clone() {
                let key = holder.claim.key.clone();
                self.owners[owner].settle(&key, holder.claim.nonce, Outcome::not_run());
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
    check(|steps: &[Step]| run(Variant::Right, steps));
}

#[test]
fn an_owner_that_does_not_read_the_log_order_is_caught() {
    check_caught(|steps: &[Step]| run(Variant::WinAtAppend, steps));
}

#[test]
fn a_claimant_without_a_bound_is_caught() {
    check_caught(|steps: &[Step]| run(Variant::NoClaimBound, steps));
}

#[test]
fn an_owner_that_releases_orphans_is_caught() {
    check_caught(|steps: &[Step]| run(Variant::ReleaseOrphans, steps));
}

/// Drives one owner whose log always answers.
fn settle_all(owner: &mut ShardOwner, log: &mut Vec<String>, now: Time) -> Vec<Action> {
    let mut answers = Vec::new();
    for action in owner.tick(now) {
        match action {
            Action::Append(batch) => {
                log.push(serde_json::to_string(&batch).expect("batches are JSON"));
                owner.append_ended(true);
            }
            other => answers.push(other),
        }
    }
    while let Some(data) = log.get(owner.next_offset().0 as usize - 1) {
        answers.extend(owner.fold(owner.next_offset(), now, data));
    }
    answers
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
    let (mut owner, mut log) = (ShardOwner::new(VALIDITY, PAUSE), Vec::new());
    owner.claim(claim_of(1, "a"), Time(2_000));
    let mut answers = settle_all(&mut owner, &mut log, Time(10));
    let outcome = Outcome { verdict: Verdict::Ran, status: 201, body: Some("bill".to_owned()) };
    owner.settle("order-1", 1, outcome);
    answers.extend(settle_all(&mut owner, &mut log, Time(20)));
    // Another owner knows only what the log says.
    let mut second = ShardOwner::new(VALIDITY, PAUSE);
    second.claim(claim_of(2, "a"), Time(2_000));
    second.claim(claim_of(3, "b"), Time(2_000));
    answers.extend(settle_all(&mut second, &mut log, Time(30)));
    insta::assert_debug_snapshot!(answers);
}

#[test]
fn without_the_log_a_claim_ends_as_unavailable_and_is_released_when_it_turns_up() {
    let mut owner = ShardOwner::new(VALIDITY, PAUSE);
    owner.claim(claim_of(1, "a"), Time(2_000));
    let first = owner.tick(Time(10));
    owner.append_ended(false);
    let given_up = owner.tick(Time(2_000));
    // The failed append had taken effect after all.
    let batch = match &first[..] {
        [Action::Append(batch)] => serde_json::to_string(batch).expect("batches are JSON"),
        other => panic!("an append was expected: {other:?}"),
    };
    let late = owner.fold(Offset(1), Time(2_010), &batch);
    let release = owner.tick(Time(2_020));
    insta::assert_debug_snapshot!((given_up, late, release));
}
