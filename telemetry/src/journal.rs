//! Keeps the volume of the log bounded under load.

use magnoliawinch::time::{Millis, Time};
use std::sync::{Mutex, PoisonError};

/// Lines a second of one daemon, in the mean.
const LINES_PER_SECOND: f64 = 60.0;

/// Lines that a quiet time saves up.
const BURST: f64 = 200.0;

/// Time between two lines that say how many were dropped.
const DROPPED_EVERY: Millis = Millis(1_000);

const MILLIS_PER_SECOND: f64 = 1_000.0;

#[derive(Debug)]
struct State {
    at: Time,
    lines: f64,
    dropped: u64,
    told_at: Time,
}

/// Admits lines while there is room, and counts those that it drops.
#[derive(Debug)]
pub struct Journal {
    state: Mutex<State>,
}

impl Journal {
    /// A journal with room for a burst.
    pub fn new(now: Time) -> Self {
        let state = State { at: now, lines: BURST, dropped: 0, told_at: now };
        Self { state: Mutex::new(state) }
    }

    /// Whether one more line may be written.
    pub fn admits(&self, now: Time) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let earned = now.since(state.at).0 as f64 / MILLIS_PER_SECOND * LINES_PER_SECOND;
        state.lines = (state.lines + earned).min(BURST);
        state.at = now;
        if state.lines < 1.0 {
            state.dropped += 1;
            return false;
        }
        state.lines -= 1.0;
        if state.dropped > 0 && now.since(state.told_at) >= DROPPED_EVERY {
            log::warn!(dropped = state.dropped; "log lines were dropped under load");
            state.dropped = 0;
            state.told_at = now;
        }
        true
    }
}
