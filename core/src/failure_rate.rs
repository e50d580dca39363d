//! Failure rate of a server's calls; older outcomes count for less.

use crate::time::{Millis, Time};

/// Half-life of the weight of an outcome.
const HALF_LIFE: Millis = Millis(3_000);

/// Weight of the prior rate, in calls.
const PRIOR_CALLS: f64 = 4.0;

/// Failure rate expected of any server; more indicates a problem.
const PRIOR_RATE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureRate {
    /// Ended calls, and failed ones among them, weighted by age as of `decayed_at`.
    calls: f64,
    failures: f64,
    decayed_at: Time,
}

impl FailureRate {
    pub(crate) fn new(now: Time) -> Self {
        Self { calls: 0.0, failures: 0.0, decayed_at: now }
    }

    pub(crate) fn decay(&mut self, now: Time) {
        let age = now.since(self.decayed_at).0 as f64 / HALF_LIFE.0 as f64;
        let factor = 0.5_f64.powf(age);
        self.calls *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    pub(crate) fn note_success(&mut self, now: Time) {
        self.decay(now);
        self.calls += 1.0;
    }

    pub(crate) fn note_failure(&mut self, now: Time) {
        self.note_success(now);
        self.failures += 1.0;
    }

    /// Takes back a failure that was not the server's.
    pub(crate) fn forgive(&mut self) {
        self.failures = (self.failures - 1.0).max(0.0);
    }

    /// The rate as of the last outcome or [`Self::decay`].
    pub(crate) fn rate(&self) -> f64 {
        (self.failures + PRIOR_CALLS * PRIOR_RATE) / (self.calls + PRIOR_CALLS)
    }

    /// The part of the rate beyond that of any server.
    pub(crate) fn excess(&self) -> f64 {
        (self.rate() - PRIOR_RATE).max(0.0)
    }
}
