//! The schedule of a planned stop: which requests a daemon that leaves still accepts, and until when
//! it serves those that it has accepted.

use crate::time::{Millis, Time};

/// Time before the kill by which each accepted request has its final answer.
const ANSWER_MARGIN: Millis = Millis(500);

/// Time before the kill at which the process ends, whether callers have read their answers or not.
const EXIT_MARGIN: Millis = Millis(200);

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    answers_due: Time,
    ends_at: Time,
}

impl PlannedStop {
    /// A stop that begins at `now`, with the kill `grace` later.
    pub fn new(now: Time, grace: Millis) -> Self {
        Self { answers_due: now + (grace - ANSWER_MARGIN), ends_at: now + (grace - EXIT_MARGIN) }
    }

    /// Whether a request that is due at `deadline` gets its answer before the daemon stops, however
    /// long it takes. All others are refused while they have not run.
    pub fn admits(&self, deadline: Time) -> bool {
        deadline <= self.answers_due
    }

    /// When requests that still wait for a response get their final answer.
    pub fn answers_due(&self) -> Time {
        self.answers_due
    }

    /// When the process ends at the latest.
    pub fn ends_at(&self) -> Time {
        self.ends_at
    }
}
