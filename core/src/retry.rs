//! Whether and when a failed attempt is retried.

use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use std::collections::VecDeque;

/// Retries added per request.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries available before any request.
const INITIAL_RETRIES: f64 = 10.0;

/// Maximum number of unused retries that the budget accumulates.
const MAX_SAVED_RETRIES: f64 = 100.0;

const INITIAL_BACKOFF: Millis = Millis(10);

/// Maximum delay before a retry.
const MAX_BACKOFF: Millis = Millis(500);

/// Maximum attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// One daemon's retry budget: each request adds a fraction of a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// A budget with the initial retries.
    pub fn new() -> Self {
        Self { available: INITIAL_RETRIES }
    }

    /// Records a new request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_spend(&mut self) -> bool {
        let has_one = self.available >= 1.0;
        if has_one {
            self.available -= 1.0;
        }
        has_one
    }
}

/// A request's attempts, the last of which has just failed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// Attempts so far.
    pub count: u32,
    /// Whether the request may have run in any attempt.
    pub verdict: Verdict,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether part of the answer was delivered.
    pub answer_started: bool,
    /// When the request has to end.
    pub deadline: Time,
}

/// Delay of the next attempt, charged to `budget`; `None` if no more are allowed.
pub fn retry_delay(now: Time, history: AttemptHistory, budget: &mut RetryBudget) -> Option<Millis> {
    let is_allowed = history.verdict.may_retry(history.idempotent) && !history.answer_started;
    if !is_allowed || history.count >= MAX_ATTEMPTS {
        return None;
    }
    let backoff = INITIAL_BACKOFF.0 << (2 * history.count.saturating_sub(1)).min(16);
    let wait = Millis(backoff.min(MAX_BACKOFF.0));
    let is_in_time = now + wait < history.deadline;
    (is_in_time && budget.try_spend()).then_some(wait)
}

/// Used fraction of the shared budget. The rest covers requests counted differently at the two ends
/// of the window.
const SHARED_SAFETY_FACTOR: f64 = 0.8;

const WINDOW_BUCKETS: u64 = 10;

/// Limits of a retry budget shared by all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries per window regardless of traffic, over all daemons.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

/// One daemon's share of a retry budget: in proportion to its own requests, plus an equal share of
/// the slack. A daemon that loses contact to the others keeps its share.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    requests: VecDeque<(u64, u32)>,
    retries: VecDeque<(u64, u32)>,
}

impl SharedRetryBudget {
    /// A budget without recorded requests or retries.
    pub fn new(limits: SharedRetryLimits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    fn bucket(&self, now: Time) -> u64 {
        now.0 / (self.limits.window.0 / WINDOW_BUCKETS).max(1)
    }

    /// Records a caller's request, which adds to the budget.
    pub fn record_request(&mut self, now: Time) {
        let bucket = self.bucket(now);
        increment(&mut self.requests, bucket);
    }

    /// Takes one retry from this daemon's share; returns false if none is left. `daemons` is the
    /// number of daemons that share the slack.
    pub fn try_spend(&mut self, now: Time, daemons: usize) -> bool {
        let bucket = self.bucket(now);
        let requests = f64::from(window_sum(&mut self.requests, bucket));
        let retries = f64::from(window_sum(&mut self.retries, bucket));
        let slack = self.limits.slack / daemons.max(1) as f64;
        let allowed = SHARED_SAFETY_FACTOR * (self.limits.ratio * requests + slack);
        let has_one = retries + 1.0 <= allowed;
        if has_one {
            increment(&mut self.retries, bucket);
        }
        has_one
    }
}

fn increment(buckets: &mut VecDeque<(u64, u32)>, bucket: u64) {
    match buckets.back_mut() {
        Some((last, count)) if *last == bucket => *count += 1,
        _ => buckets.push_back((bucket, 1)),
    }
}

/// Sum over the window ending with `bucket`; drops older buckets.
fn window_sum(buckets: &mut VecDeque<(u64, u32)>, bucket: u64) -> u32 {
    while buckets.front().is_some_and(|(first, _)| first + WINDOW_BUCKETS < bucket) {
        buckets.pop_front();
    }
    buckets.iter().map(|(_, count)| count).sum()
}
