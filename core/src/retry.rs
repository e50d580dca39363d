//! Whether a failed attempt may be followed by another, and how soon.

use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use std::collections::VecDeque;

/// Part of the requests that may be added as retries.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that are allowed whatever the traffic.
const INITIAL_RETRIES: f64 = 10.0;

/// The most retries that a quiet time saves up.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// First wait before a retry.
const INITIAL_BACKOFF: Millis = Millis(10);

/// Longest wait before a retry.
const MAX_BACKOFF: Millis = Millis(500);

/// The most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that a daemon may still spend, earned by requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// A budget with its floor.
    pub fn new() -> Self {
        Self { retries: INITIAL_RETRIES }
    }

    /// Earns a part of a retry with a new request.
    pub fn record_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry, if one is left.
    pub fn try_spend(&mut self) -> bool {
        let has_one = self.retries >= 1.0;
        if has_one {
            self.retries -= 1.0;
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
    pub answer_started: bool,
    /// When the request has to be over.
    pub deadline: Time,
}

/// The wait before the next attempt; `None` when there must be none.
pub fn next_attempt(now: Time, attempt: Attempt, budget: &mut RetryBudget) -> Option<Millis> {
    let is_allowed = attempt.verdict.may_retry(attempt.idempotent) && !attempt.answer_started;
    if !is_allowed || attempt.count >= MAX_ATTEMPTS {
        return None;
    }
    let backoff = INITIAL_BACKOFF.0 << (2 * attempt.count.saturating_sub(1)).min(16);
    let wait = Millis(backoff.min(MAX_BACKOFF.0));
    let is_in_time = now + wait < attempt.deadline;
    (is_in_time && budget.try_spend()).then_some(wait)
}

/// Part of the shared budget that is used; the rest covers requests that are counted differently
/// at its two ends.
const SHARED_SAFETY_FACTOR: f64 = 0.8;

/// Buckets in which a window is counted.
const WINDOW_BUCKETS: u64 = 10;

/// The limits of a budget that all daemons share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window whatever the traffic, over all daemons.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

/// One daemon's part of a budget that all daemons share: it spends by its own requests, and its
/// share of the slack by the number of daemons. A daemon that is cut off keeps the share it had.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    requests: VecDeque<(u64, u32)>,
    retries: VecDeque<(u64, u32)>,
}

impl SharedRetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(limits: SharedRetryLimits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    fn bucket(&self, now: Time) -> u64 {
        now.0 / (self.limits.window.0 / WINDOW_BUCKETS).max(1)
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Time) {
        let bucket = self.bucket(now);
        increment(&mut self.requests, bucket);
    }

    /// Spends one retry, if this daemon's part has one left; `daemons` share the slack.
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

/// The sum over the window that ends with `bucket`; older buckets are dropped.
fn window_sum(buckets: &mut VecDeque<(u64, u32)>, bucket: u64) -> u32 {
    while buckets.front().is_some_and(|(first, _)| first + WINDOW_BUCKETS < bucket) {
        buckets.pop_front();
    }
    buckets.iter().map(|(_, count)| count).sum()
}
