//! Quarantine of requests under which upstreams end.
//!
//! Each daemon keeps the known ends of upstreams under requests, by the fingerprint of the request,
//! and passes on what it learns. A fingerprint under which two upstreams have ended is refused for a
//! while, and for longer after a third. As many other requests may be in progress on an upstream
//! that ends, a run that completes clears the ends before it: a request that ends every upstream
//! that runs it never completes. It does not excuse later ends, as a request may become fatal with an
//! upgrade; but of a request that completed shortly before, ends of one moment count once, as what many
//! callers ask for is in progress on all upstreams that end together.

use crate::names::UpstreamName;
use crate::rendezvous;
use crate::time::{Millis, Time};
use std::collections::{HashMap, VecDeque};

/// Ends of upstreams after which a fingerprint is refused.
pub const MAX_CRASHES: usize = 2;

/// Time for which a fingerprint is refused after that many ends. A request that ran beside another
/// that ended both may be among them, so it gets another chance.
pub const FIRST_REFUSAL_DURATION: Millis = Millis(60_000);

/// Time for which a fingerprint is refused after further ends.
pub const REFUSAL_DURATION: Millis = Millis(600_000);

/// Time for which a fingerprint is refused after two moments if a run completed shortly before the first:
/// such a request is more likely to have run beside the cause.
const REFUSAL_AFTER_COMPLETION: Millis = Millis(10_000);

/// Time for which an end counts.
const CRASH_RETENTION: Millis = REFUSAL_DURATION;

/// Time for which a completed run is remembered, and ends of one moment count once after it.
pub const COMPLETION_RETENTION: Millis = Millis(60_000);

/// Time within which ends of several upstreams belong to one moment.
const MOMENT: Millis = Millis(1_000);

/// Ends kept for a fingerprint; of further ones, those closest to an earlier end are dropped.
const MAX_KEPT_CRASHES: usize = 4;

/// Reports of one end arrive within this time; tells two ends apart if incarnations are unknown.
const CRASH_REPORT_WINDOW: Millis = Millis(5_000);

/// Fingerprints with a history; beyond that, the one with the fewest and oldest ends is dropped.
const MAX_HISTORIES: usize = 1_024;

/// How long a fact is passed on after it was learned: some intervals of probes. Facts about refused
/// fingerprints are passed on for as long as these are refused.
const PASSED_ON_FOR: Millis = Millis(3_000);

/// Facts whose ages differ by less are passed on with equal urgency.
const NEWS_AGE_STEP: Millis = Millis(500);

/// Facts in one message.
const MAX_FACTS: usize = 64;

/// Hash that identifies equal requests of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request with this body digest.
    pub fn new(organisation: &str, service: &str, kind: &str, body_digest: &str) -> Self {
        Self(rendezvous::hash(&format!("{organisation}/{service}/{kind}/{body_digest}")))
    }
}

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Runs without restriction.
    Normal,
    /// An upstream has ended under an equal request.
    Suspect,
    /// Does not run for the given time.
    Refused(Millis),
}

/// The end of an upstream while a request was in progress on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The upstream that ended.
    pub upstream: UpstreamName,
    /// When that incarnation started, in milliseconds since 1970 by its own clock, or
    /// `UNKNOWN_INCARNATION`.
    pub born: u64,
}

/// Start of an upstream for which it is unknown.
pub const UNKNOWN_INCARNATION: u64 = 0;

/// What daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// An upstream ended under a request at this time.
    Crashed(Crash, Time),
    /// A run with this fingerprint completed at this time.
    Completed(Fingerprint, Time),
}

impl Fact {
    /// The fingerprint that it is about.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Crashed(crash, _) => crash.fingerprint,
            Self::Completed(fingerprint, _) => *fingerprint,
        }
    }
}

#[derive(Clone, Debug)]
struct KnownCrash {
    upstream: UpstreamName,
    born: u64,
    at: Time,
}

impl KnownCrash {
    fn is_same(&self, at: Time, crash: &Crash) -> bool {
        let is_same_incarnation = match crash.born {
            UNKNOWN_INCARNATION => at.since(self.at).max(self.at.since(at)) < CRASH_REPORT_WINDOW,
            born => self.born == born,
        };
        self.upstream == crash.upstream && is_same_incarnation
    }
}

#[derive(Clone, Debug, Default)]
struct History {
    /// In the order of their times.
    crashes: Vec<KnownCrash>,
    completed_at: Option<Time>,
    /// When the last of the above was learned.
    learned_at: Time,
}

impl History {
    fn counts(&self, now: Time, at: Time) -> bool {
        self.completed_at.is_none_or(|completed_at| at > completed_at)
            && now.since(at) < CRASH_RETENTION
    }

    /// What counts against requests with the fingerprint.
    fn case(&self, now: Time) -> Case {
        let counted = self.crashes.iter().filter(|crash| self.counts(now, crash.at));
        let counted: Vec<_> = counted.collect();
        let first_at = counted.first().map(|crash| crash.at);
        let completed_before = self
            .completed_at
            .zip(first_at)
            .is_some_and(|(at, first_at)| first_at.since(at) < COMPLETION_RETENTION);
        Case {
            count: if completed_before { count_moments(&counted) } else { counted.len() },
            last_at: counted.last().map(|crash| crash.at),
            completed_before,
        }
    }

    /// Adds an end; returns whether it is kept.
    fn add(&mut self, now: Time, crash: KnownCrash) -> bool {
        let at = crash.at;
        if !self.counts(now, at) {
            return false;
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|known| self.counts(now, known.at));
        let position = crashes.partition_point(|known| known.at <= at);
        crashes.insert(position, crash);
        let dropped = (crashes.len() > MAX_KEPT_CRASHES).then(|| {
            let gap = |n: &usize| crashes[*n].at.since(crashes[*n - 1].at);
            (1..crashes.len()).min_by_key(gap).unwrap_or(position)
        });
        if let Some(dropped) = dropped {
            crashes.remove(dropped);
        }
        self.crashes = crashes;
        dropped != Some(position)
    }

    fn status(&self, now: Time) -> QuarantineStatus {
        let case = self.case(now);
        let Some(last_at) = case.last_at else {
            return QuarantineStatus::Normal;
        };
        let duration = match case.count {
            ..MAX_CRASHES => return QuarantineStatus::Suspect,
            MAX_CRASHES if case.completed_before => REFUSAL_AFTER_COMPLETION,
            MAX_CRASHES => FIRST_REFUSAL_DURATION,
            _ => REFUSAL_DURATION,
        };
        match duration - now.since(last_at) {
            Millis(0) => QuarantineStatus::Suspect,
            left => QuarantineStatus::Refused(left),
        }
    }

    fn is_outdated(&self, now: Time) -> bool {
        now.since(self.learned_at) >= COMPLETION_RETENTION && self.case(now).count == 0
    }
}

/// What counts against requests with one fingerprint.
struct Case {
    /// Ends, or moments of ends if a run completed before.
    count: usize,
    last_at: Option<Time>,
    /// Whether a run completed shortly before the first end that counts.
    completed_before: bool,
}

/// Number of moments in which upstreams ended, by `crashes` in the order of their times. An upstream
/// ends once in a moment.
fn count_moments(crashes: &[&KnownCrash]) -> usize {
    let mut count = 0;
    let mut moment: &[&KnownCrash] = &[];
    for (n, crash) in crashes.iter().enumerate() {
        let is_same = moment.first().is_some_and(|first| crash.at.since(first.at) < MOMENT)
            && moment.iter().all(|known| known.upstream != crash.upstream);
        let began = if is_same { n - moment.len() } else { n };
        count += usize::from(!is_same);
        moment = &crashes[began..=n];
    }
    count
}

/// Known ends of upstreams, by the fingerprints of the requests that were in progress.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    histories: HashMap<Fingerprint, History>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of fingerprints with a history.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Whether there is no history.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Records an end at `at`; returns whether it is news.
    pub fn record_crash(&mut self, now: Time, at: Time, crash: &Crash) -> bool {
        if !self.histories.contains_key(&crash.fingerprint) {
            self.make_room(now);
        }
        let history = self.histories.entry(crash.fingerprint).or_default();
        if history.crashes.iter().any(|known| known.is_same(at, crash)) {
            return false;
        }
        let known = KnownCrash { upstream: crash.upstream.clone(), born: crash.born, at };
        if !history.add(now, known) {
            return false;
        }
        history.learned_at = now;
        true
    }

    /// Records that a run completed at `at`, which clears earlier ends; returns whether it is news.
    pub fn record_completion(&mut self, now: Time, at: Time, fingerprint: Fingerprint) -> bool {
        let Some(history) = self.histories.get_mut(&fingerprint) else {
            return false;
        };
        let counted_before = history.case(now).count;
        let before = history.completed_at;
        history.completed_at = before.max(Some(at));
        let is_news = history.case(now).count < counted_before;
        if is_news {
            history.learned_at = now;
        }
        is_news
    }

    fn make_room(&mut self, now: Time) {
        if self.histories.len() < MAX_HISTORIES {
            return;
        }
        let least = self
            .histories
            .iter()
            .min_by_key(|(_, history)| (history.case(now).count, history.learned_at));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.histories.remove(&fingerprint);
        }
    }

    /// Status of requests with this fingerprint.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> QuarantineStatus {
        let history = self.histories.get(&fingerprint);
        history.map_or(QuarantineStatus::Normal, |history| history.status(now))
    }

    /// Whether a run with this fingerprint completed shortly before the first end that counts, so that
    /// one in progress may show that such requests are not the cause.
    pub fn has_completed_before(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let history = self.histories.get(&fingerprint);
        history.is_some_and(|history| history.case(now).completed_before)
    }

    /// Fingerprints of which an end counts, each with its status.
    pub fn suspects(&self, now: Time) -> impl Iterator<Item = (Fingerprint, QuarantineStatus)> {
        let all = self.histories.iter();
        let all = all.map(move |(fingerprint, history)| (*fingerprint, history.status(now)));
        all.filter(|(_, status)| *status != QuarantineStatus::Normal)
    }

    /// Facts to pass on: those about refused fingerprints, then what was learned lately. If there are
    /// more than a message has room for, each message has other ones.
    pub fn news(&self, now: Time) -> Vec<Fact> {
        let is_refused =
            |history: &History| matches!(history.status(now), QuarantineStatus::Refused(_));
        let is_recent = |history: &History| now.since(history.learned_at) < PASSED_ON_FOR;
        let salt = rendezvous::hash_bytes(&now.0.to_be_bytes());
        let mut passed_on: Vec<_> = self
            .histories
            .iter()
            .filter(|(_, history)| is_refused(history) || is_recent(history))
            .collect();
        passed_on.sort_by_key(|(fingerprint, history)| {
            let age = now.since(history.learned_at).0 / NEWS_AGE_STEP.0;
            (!is_refused(history), age, fingerprint.0 ^ salt)
        });
        let facts = passed_on.into_iter().flat_map(|(fingerprint, history)| {
            let crashes = history.crashes.iter().map(|crash| {
                let (upstream, born) = (crash.upstream.clone(), crash.born);
                Fact::Crashed(Crash { fingerprint: *fingerprint, upstream, born }, crash.at)
            });
            let completed = history.completed_at.map(|at| Fact::Completed(*fingerprint, at));
            crashes.chain(completed)
        });
        facts.take(MAX_FACTS).collect()
    }

    /// Records what a peer has passed on; returns whether anything is news.
    pub fn apply(&mut self, now: Time, facts: impl IntoIterator<Item = Fact>) -> bool {
        let mut is_news = false;
        for fact in facts {
            is_news |= match fact {
                Fact::Crashed(crash, at) => self.record_crash(now, at, &crash),
                Fact::Completed(fingerprint, at) => self.record_completion(now, at, fingerprint),
            };
        }
        is_news
    }

    /// Drops outdated histories.
    pub fn tick(&mut self, now: Time) {
        self.histories.retain(|_, history| !history.is_outdated(now));
    }
}

/// Completed runs that are remembered. A daemon at the target size completes 50 a second, so these
/// last for that time.
const MAX_COMPLETIONS: usize = 4_096;

/// When runs of this daemon last completed, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Completions {
    last: HashMap<Fingerprint, Time>,
    /// In the order of the first completions since the fingerprint was last forgotten.
    order: VecDeque<Fingerprint>,
}

impl Completions {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run completed.
    pub fn record(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.last.insert(fingerprint, now).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        while self.order.len() > MAX_COMPLETIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.last.remove(&oldest);
            }
        }
    }

    /// When a run last completed; `None` if none has for that time.
    pub fn last(&self, now: Time, fingerprint: Fingerprint) -> Option<Time> {
        let at = self.last.get(&fingerprint).copied()?;
        (now.since(at) < COMPLETION_RETENTION).then_some(at)
    }
}
