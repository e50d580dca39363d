//! Whether a failed attempt may be followed by another, and how soon.

use crate::time::{Millis, Time};
use crate::verdict::Verdict;

/// Part of the requests that may be added as retries.
const BUDGET_RATIO: f64 = 0.1;

/// Retries that are allowed whatever the traffic.
const BUDGET_FLOOR: f64 = 10.0;

/// The most retries that a quiet time saves up.
const BUDGET_CAP: f64 = 100.0;

/// First wait before a retry.
const FIRST_BACKOFF: Millis = Millis(10);

/// Longest wait before a retry.
const MAX_BACKOFF: Millis = Millis(500);

/// The most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that a daemon may still spend, earned by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A budget with its floor.
    pub fn new() -> Self {
        Self { tokens: BUDGET_FLOOR }
    }

    /// Earns a part of a retry with a new request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + BUDGET_RATIO).min(BUDGET_CAP);
    }

    /// Spends one retry, if one is left.
    pub fn spend(&mut self) -> bool {
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }
}

/// What a request knows when an attempt fails.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Attempts so far.
    pub count: u32,
    /// What is known about all of them.
    pub verdict: Verdict,
    /// Whether running twice does no harm.
    pub idempotent: bool,
    /// Whether a part of the answer reached the caller.
    pub released: bool,
    /// When the request has to be over.
    pub deadline: Time,
}

/// The wait before the next attempt; `None` when there must be none.
pub fn next_attempt(now: Time, attempt: Attempt, budget: &mut Budget) -> Option<Millis> {
    let is_allowed = attempt.verdict.may_retry(attempt.idempotent) && !attempt.released;
    if !is_allowed || attempt.count >= MAX_ATTEMPTS {
        return None;
    }
    let backoff = FIRST_BACKOFF.0 << (2 * attempt.count.saturating_sub(1)).min(16);
    let wait = Millis(backoff.min(MAX_BACKOFF.0));
    let is_in_time = now + wait < attempt.deadline;
    (is_in_time && budget.spend()).then_some(wait)
}
