//! Token bucket that limits log lines about requests.

use magnoliawinch::time::{Millis, Time};
use std::sync::{Mutex, PoisonError};

/// Sustained rate of log lines of one daemon.
const LINES_PER_SECOND: f64 = 60.0;

/// Maximum number of lines logged at once after an idle period.
const MAX_BURST_LINES: f64 = 200.0;

/// Minimum interval between reports of dropped lines.
const DROP_REPORT_INTERVAL: Millis = Millis(1_000);

const MILLIS_PER_SECOND: f64 = 1_000.0;

#[derive(Debug)]
struct State {
    refilled_at: Time,
    available_lines: f64,
    dropped: u64,
    reported_at: Time,
}

/// Limits the rate of log lines and counts dropped ones.
#[derive(Debug)]
pub struct LogLimiter {
    state: Mutex<State>,
}

impl LogLimiter {
    /// Creates a limiter that admits a full burst.
    pub fn new(now: Time) -> Self {
        let state = State {
            refilled_at: now,
            available_lines: MAX_BURST_LINES,
            dropped: 0,
            reported_at: now,
        };
        Self { state: Mutex::new(state) }
    }

    /// Whether a line may be logged now; counts it as logged or dropped.
    pub fn admits(&self, now: Time) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let refill = now.since(state.refilled_at).0 as f64 / MILLIS_PER_SECOND * LINES_PER_SECOND;
        state.available_lines = (state.available_lines + refill).min(MAX_BURST_LINES);
        state.refilled_at = now;
        if state.available_lines < 1.0 {
            state.dropped += 1;
            return false;
        }
        state.available_lines -= 1.0;
        if state.dropped > 0 && now.since(state.reported_at) >= DROP_REPORT_INTERVAL {
            log::warn!(dropped = state.dropped; "log lines were dropped under load");
            state.dropped = 0;
            state.reported_at = now;
        }
        true
    }
}
