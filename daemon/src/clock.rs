//! The clock from which decisions get the current time.

use magnoliawinch::time::Time;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Milliseconds since 1970: the system time at the daemon's start, advanced by a monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    monotonic_start: Instant,
    started_at: Time,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { monotonic_start: Instant::now(), started_at: Time(since_epoch.as_millis() as u64) }
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.started_at.0 + self.monotonic_start.elapsed().as_millis() as u64)
    }

    /// Start time of the daemon, which is also its incarnation.
    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }
}
