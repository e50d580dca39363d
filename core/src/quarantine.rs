//! Requests that may have crashed upstreams.
//!
//! When an upstream dies, every request in progress there becomes a suspect. A suspect runs again
//! only while no other suspect runs at the same upstream, so that a second crash names one of
//! them. A fingerprint that meets its second crash is refused for a while.

use crate::names::UpstreamName;
use crate::rendezvous;
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Crashes after which a fingerprint is refused.
pub const MAX_CRASHES: u32 = 2;

/// How long a fingerprint is refused after its last crash.
pub const REFUSED_FOR: Millis = Millis(600_000);

/// How long a suspect stays one when it does not run again.
const SUSPECT_FOR: Millis = Millis(600_000);

/// Time in which the reports of one crash arrive: a daemon that was suspended may be late.
const ONE_CRASH: Millis = Millis(5_000);

/// Identifies equal requests of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request by its body's digest.
    pub fn new(organisation: &str, service: &str, kind: &str, body_digest: &str) -> Self {
        Self(rendezvous::hash(&format!("{organisation}/{service}/{kind}/{body_digest}")))
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// As any other.
    Normal,
    /// Only where no other suspect runs.
    Suspect,
    /// Not at all for the given time.
    Refused(Millis),
}

#[derive(Clone, Debug)]
struct Case {
    crashes: u32,
    last_crash: Time,
    /// The upstream that died last, if it is known.
    upstream: Option<UpstreamName>,
}

/// The crashes that this daemon knows of, as owner of their fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    cases: HashMap<Fingerprint, Case>,
}

impl Quarantine {
    /// A quarantine without cases.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of open cases.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether there is no case.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Notes that a request with this fingerprint was in progress at an upstream that died.
    pub fn crashed(&mut self, now: Time, fingerprint: Fingerprint) -> Treatment {
        self.note(now, fingerprint, None)
    }

    /// The same, when it is known which upstream died: several equal requests there died of one
    /// crash.
    pub fn crashed_at(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
    ) -> Treatment {
        let is_known = self.cases.get(&fingerprint).is_some_and(|case| {
            case.upstream.as_ref() == Some(upstream) && now.since(case.last_crash) < ONE_CRASH
        });
        match is_known {
            true => self.treatment(now, fingerprint),
            false => self.note(now, fingerprint, Some(upstream.clone())),
        }
    }

    fn note(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: Option<UpstreamName>,
    ) -> Treatment {
        let none = Case { crashes: 0, last_crash: now, upstream: None };
        let case = self.cases.entry(fingerprint).or_insert(none);
        *case = Case { crashes: case.crashes + 1, last_crash: now, upstream };
        self.treatment(now, fingerprint)
    }

    /// Notes that a request with this fingerprint ran to its end: it was not what crashed.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.cases.remove(&fingerprint);
    }

    /// How a request with this fingerprint may run.
    pub fn treatment(&mut self, now: Time, fingerprint: Fingerprint) -> Treatment {
        let Some(case) = self.cases.get(&fingerprint) else {
            return Treatment::Normal;
        };
        let age = now.since(case.last_crash);
        let is_over = match case.crashes >= MAX_CRASHES {
            true => age >= REFUSED_FOR,
            false => age >= SUSPECT_FOR,
        };
        if is_over {
            self.cases.remove(&fingerprint);
            return Treatment::Normal;
        }
        match case.crashes >= MAX_CRASHES {
            true => Treatment::Refused(Millis(REFUSED_FOR.0 - age.0)),
            false => Treatment::Suspect,
        }
    }

    /// The fingerprints that are refused.
    pub fn refused(&self) -> impl Iterator<Item = Fingerprint> {
        let is_refused = |case: &Case| case.crashes >= MAX_CRASHES;
        self.cases.iter().filter(move |(_, case)| is_refused(case)).map(|(print, _)| *print)
    }

    /// Drops cases that are over.
    pub fn tick(&mut self, now: Time) {
        self.cases.retain(|_, case| now.since(case.last_crash) < REFUSED_FOR.max(SUSPECT_FOR));
    }
}

/// How long a fingerprint stays refused without word from an owner: well over the time in which
/// another daemon takes an owner's place.
pub const TOLD_FOR: Millis = Millis(10_000);

/// The fingerprints that owners of their cases tell other daemons to refuse.
#[derive(Clone, Debug, Default)]
pub struct RefusedPrints {
    told_at: HashMap<Fingerprint, Time>,
}

impl RefusedPrints {
    /// Refuses nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the word of an owner; returns whether it was news.
    pub fn told(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.told_at.insert(fingerprint, now).is_none()
    }

    /// Drops what owners do not tell any more; returns whether something was dropped.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.told_at.len();
        self.told_at.retain(|_, at| now.since(*at) < TOLD_FOR);
        self.told_at.len() < before
    }

    /// Those that are refused.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        self.told_at.keys().copied()
    }
}
