//! Whether a failed attempt may be followed by another, and how soon.

use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use std::collections::VecDeque;

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

/// Part of the shared budget that is used; the rest covers requests that are counted differently
/// at its two ends.
const SHARED_MARGIN: f64 = 0.8;

/// Buckets in which a window is counted.
const WINDOW_BUCKETS: u64 = 10;

/// The bounds of a budget that all daemons share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBounds {
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
pub struct SharedBudget {
    bounds: SharedBounds,
    requests: VecDeque<(u64, u32)>,
    retries: VecDeque<(u64, u32)>,
}

impl SharedBudget {
    /// A budget of which nothing is spent.
    pub fn new(bounds: SharedBounds) -> Self {
        Self { bounds, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    fn bucket(&self, now: Time) -> u64 {
        now.0 / (self.bounds.window.0 / WINDOW_BUCKETS).max(1)
    }

    /// Notes a request of a caller.
    pub fn earn(&mut self, now: Time) {
        let bucket = self.bucket(now);
        count(&mut self.requests, bucket);
    }

    /// Spends one retry, if this daemon's part has one left; `daemons` share the slack.
    pub fn spend(&mut self, now: Time, daemons: usize) -> bool {
        let bucket = self.bucket(now);
        let requests = f64::from(sum(&mut self.requests, bucket));
        let retries = f64::from(sum(&mut self.retries, bucket));
        let slack = self.bounds.slack / daemons.max(1) as f64;
        let allowed = SHARED_MARGIN * (self.bounds.ratio * requests + slack);
        let has_one = retries + 1.0 <= allowed;
        if has_one {
            count(&mut self.retries, bucket);
        }
        has_one
    }
}

fn count(buckets: &mut VecDeque<(u64, u32)>, bucket: u64) {
    match buckets.back_mut() {
        Some((last, count)) if *last == bucket => *count += 1,
        _ => buckets.push_back((bucket, 1)),
    }
}

/// The sum over the window that ends with `bucket`; older buckets are dropped.
fn sum(buckets: &mut VecDeque<(u64, u32)>, bucket: u64) -> u32 {
    while buckets.front().is_some_and(|(first, _)| first + WINDOW_BUCKETS < bucket) {
        buckets.pop_front();
    }
    buckets.iter().map(|(_, count)| count).sum()
}
