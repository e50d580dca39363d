//! Quarantine of requests that may have crashed upstreams.
//!
//! When an upstream crashes, every request in progress on it becomes a suspect. A suspect runs
//! again only while no other suspect runs on the same upstream, so that a second crash identifies
//! one of them. A fingerprint is refused for a while after its second crash.

use crate::names::UpstreamName;
use crate::rendezvous;
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Crashes after which a fingerprint is refused.
pub const MAX_CRASHES: u32 = 2;

/// Time for which a fingerprint is refused after its last crash.
pub const REFUSAL_DURATION: Millis = Millis(600_000);

/// Time after a crash for which a fingerprint that does not run again stays a suspect.
const SUSPECT_DURATION: Millis = Millis(600_000);

/// Time for all reports of one crash to arrive; a suspended daemon may report late.
const CRASH_REPORT_WINDOW: Millis = Millis(5_000);

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
    /// Runs only on an upstream without other suspects.
    Suspect,
    /// Does not run for the given time.
    Refused(Millis),
}

#[derive(Clone, Debug)]
struct CrashHistory {
    crashes: u32,
    last_crash: Time,
    /// Upstream of the last crash, if known.
    upstream: Option<UpstreamName>,
}

/// Crash histories of the fingerprints that this daemon owns.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    histories: HashMap<Fingerprint, CrashHistory>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of fingerprints with a crash history.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Whether there is no crash history.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Records that a request with this fingerprint was in progress on an upstream that crashed.
    pub fn crashed(&mut self, now: Time, fingerprint: Fingerprint) -> QuarantineStatus {
        self.record(now, fingerprint, None)
    }

    /// Like [`crashed`](Self::crashed) for a known upstream: equal requests in progress there count
    /// as one crash.
    pub fn crashed_on(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
    ) -> QuarantineStatus {
        let is_known = self.histories.get(&fingerprint).is_some_and(|history| {
            history.upstream.as_ref() == Some(upstream)
                && now.since(history.last_crash) < CRASH_REPORT_WINDOW
        });
        match is_known {
            true => self.status(now, fingerprint),
            false => self.record(now, fingerprint, Some(upstream.clone())),
        }
    }

    fn record(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: Option<UpstreamName>,
    ) -> QuarantineStatus {
        let new = CrashHistory { crashes: 0, last_crash: now, upstream: None };
        let history = self.histories.entry(fingerprint).or_insert(new);
        *history = CrashHistory { crashes: history.crashes + 1, last_crash: now, upstream };
        self.status(now, fingerprint)
    }

    /// Clears the history: a request that ran to completion did not cause the crash.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.histories.remove(&fingerprint);
    }

    /// Status of requests with this fingerprint; drops an expired history.
    pub fn status(&mut self, now: Time, fingerprint: Fingerprint) -> QuarantineStatus {
        let Some(history) = self.histories.get(&fingerprint) else {
            return QuarantineStatus::Normal;
        };
        let age = now.since(history.last_crash);
        let is_over = match history.crashes >= MAX_CRASHES {
            true => age >= REFUSAL_DURATION,
            false => age >= SUSPECT_DURATION,
        };
        if is_over {
            self.histories.remove(&fingerprint);
            return QuarantineStatus::Normal;
        }
        match history.crashes >= MAX_CRASHES {
            true => QuarantineStatus::Refused(Millis(REFUSAL_DURATION.0 - age.0)),
            false => QuarantineStatus::Suspect,
        }
    }

    /// Refused fingerprints.
    pub fn refused(&self) -> impl Iterator<Item = Fingerprint> {
        let is_refused = |history: &CrashHistory| history.crashes >= MAX_CRASHES;
        self.histories
            .iter()
            .filter(move |(_, history)| is_refused(history))
            .map(|(fingerprint, _)| *fingerprint)
    }

    /// Drops expired crash histories.
    pub fn tick(&mut self, now: Time) {
        self.histories.retain(|_, history| {
            now.since(history.last_crash) < REFUSAL_DURATION.max(SUSPECT_DURATION)
        });
    }
}

/// Time for which a fingerprint stays refused without its owner's notice; well above the time in
/// which another daemon takes over from a lost owner.
pub const REFUSAL_NOTICE_LIFETIME: Millis = Millis(10_000);

/// Fingerprints refused on notice from their owners.
#[derive(Clone, Debug, Default)]
pub struct RefusedFingerprints {
    renewed_at: HashMap<Fingerprint, Time>,
}

impl RefusedFingerprints {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or renews a fingerprint on its owner's notice; returns whether it is new.
    pub fn renew(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.renewed_at.insert(fingerprint, now).is_none()
    }

    /// Drops fingerprints without a recent notice; returns whether any was dropped.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.renewed_at.len();
        self.renewed_at.retain(|_, at| now.since(*at) < REFUSAL_NOTICE_LIFETIME);
        self.renewed_at.len() < before
    }

    /// The refused fingerprints.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        self.renewed_at.keys().copied()
    }
}
