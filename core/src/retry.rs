//! Whether and when a failed attempt is retried.

use crate::time::{Millis, Time};
use crate::verdict::Verdict;
use std::collections::VecDeque;
use strum::IntoStaticStr;

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

/// Retries that a daemon which has just started takes in advance of those that its requests add.
const MAX_ADVANCE: f64 = 2.0;

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
///
/// The limit holds if in every window the retries stay below the ratio times the requests in that
/// window, the previous one or the one half a window earlier, whichever has most, plus the slack.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    started_at: Time,
    requests: BucketCounts,
    retries: BucketCounts,
}

impl SharedRetryBudget {
    /// The budget of a daemon that started at `started_at`, without recorded requests or retries.
    pub fn new(limits: SharedRetryLimits, started_at: Time) -> Self {
        let (requests, retries) = (BucketCounts::default(), BucketCounts::default());
        Self { limits, started_at, requests, retries }
    }

    fn bucket(&self, now: Time) -> u64 {
        now.0 / (self.limits.window.0 / WINDOW_BUCKETS).max(1)
    }

    /// Whether the daemon started within the last window. An earlier process may have spent its
    /// share of the slack, and the daemon may not know yet how many others share it.
    pub fn is_new(&self, now: Time) -> bool {
        now.since(self.started_at) < self.limits.window
    }

    /// Records a caller's request, which adds to the budget.
    pub fn record_request(&mut self, now: Time) {
        let bucket = self.bucket(now);
        self.requests.drop_before(bucket.saturating_sub(2 * WINDOW_BUCKETS));
        self.requests.increment(bucket);
    }

    /// Retries allowed per window in which `requests` count.
    fn allowed(&self, now: Time, daemons: usize, requests: u32) -> f64 {
        let earned = SHARED_SAFETY_FACTOR * self.limits.ratio * f64::from(requests);
        let slack = SHARED_SAFETY_FACTOR * self.limits.slack / daemons.max(1) as f64;
        if self.is_new(now) { earned.max(slack.min(MAX_ADVANCE)) } else { earned + slack }
    }

    /// Takes one retry from this daemon's share; returns false if none is left. `daemons` is the
    /// number of daemons that share the slack.
    pub fn try_spend(&mut self, now: Time, daemons: usize) -> bool {
        self.try_spend_with_reserve(now, daemons, 0.0)
    }

    /// The same, but keeps the part `reserve` of this daemon's share for other retries.
    pub fn try_spend_with_reserve(&mut self, now: Time, daemons: usize, reserve: f64) -> bool {
        let bucket = self.bucket(now);
        let mut windows = bucket.saturating_sub(WINDOW_BUCKETS)..=bucket;
        let has_one = windows.all(|first| {
            let retries = f64::from(self.retries.sum(first, bucket + 1));
            let allowed = self.allowed(now, daemons, self.max_requests(first));
            retries + 1.0 <= allowed * (1.0 - reserve)
        });
        if has_one {
            self.record_retry(now);
        }
        has_one
    }

    /// Records a request that was sent again without being limited by this budget.
    pub fn record_retry(&mut self, now: Time) {
        let bucket = self.bucket(now);
        self.retries.drop_before(bucket.saturating_sub(WINDOW_BUCKETS));
        self.retries.increment(bucket);
    }

    /// Requests that count for the window from bucket `first`.
    fn max_requests(&self, first: u64) -> u32 {
        let starts =
            [first, first.saturating_sub(WINDOW_BUCKETS / 2), first.saturating_sub(WINDOW_BUCKETS)];
        let counts = starts.map(|start| self.requests.sum(start, start + WINDOW_BUCKETS));
        counts.into_iter().max().unwrap_or(0)
    }
}

/// Largest part of a daemon's share that is kept for more useful retries.
const MAX_RESERVE: f64 = 0.5;

/// Weight of the newest retry in the mean use of its kind.
const USE_WEIGHT: f64 = 0.05;

/// Why a request is sent to a second server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatCause {
    /// The first did not run it, or there was no usable response.
    NoResponse,
    /// The first responded with an error, which may be the request's fault.
    Error,
    /// The first is late.
    Late,
}

/// How often retries of each kind helped. When the budget is short, it goes to the kinds that help
/// more.
#[derive(Clone, Copy, Debug)]
pub struct RepeatUses {
    no_response: f64,
    error: f64,
    late: f64,
}

impl Default for RepeatUses {
    fn default() -> Self {
        Self { no_response: 0.9, error: 0.5, late: 0.5 }
    }
}

impl RepeatUses {
    fn of(&mut self, cause: RepeatCause) -> &mut f64 {
        match cause {
            RepeatCause::NoResponse => &mut self.no_response,
            RepeatCause::Error => &mut self.error,
            RepeatCause::Late => &mut self.late,
        }
    }

    /// Records whether a retry helped its request.
    pub fn record(&mut self, cause: RepeatCause, helped: bool) {
        let part = self.of(cause);
        *part += USE_WEIGHT * (f64::from(u8::from(helped)) - *part);
    }

    /// Part of the budget that a retry must leave for others.
    pub fn reserve(&mut self, cause: RepeatCause) -> f64 {
        MAX_RESERVE * (1.0 - *self.of(cause))
    }
}

/// Counts by bucket of time, in order.
#[derive(Clone, Debug, Default)]
struct BucketCounts {
    counts: VecDeque<(u64, u32)>,
}

impl BucketCounts {
    fn increment(&mut self, bucket: u64) {
        match self.counts.back_mut() {
            Some((last, count)) if *last == bucket => *count += 1,
            _ => self.counts.push_back((bucket, 1)),
        }
    }

    fn drop_before(&mut self, bucket: u64) {
        while self.counts.front().is_some_and(|(first, _)| *first < bucket) {
            self.counts.pop_front();
        }
    }

    /// Sum over the buckets from `first` to before `end`.
    fn sum(&self, first: u64, end: u64) -> u32 {
        let in_range = self.counts.iter().filter(|(bucket, _)| (first..end).contains(bucket));
        in_range.map(|(_, count)| count).sum()
    }
}
