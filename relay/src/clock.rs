//! The clock of a daemon.

use magnoliawinch::time::{Millis, Time};
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Unix time in milliseconds: the system time at the daemon's start, advanced by the boot-time
/// clock, which does not jump and keeps running while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    uptime_at_start_ms: u64,
    started_at: Time,
}

fn uptime_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MILLIS_PER_SECOND + now.tv_nsec as u64 / NANOS_PER_MILLI
}

impl Clock {
    pub(crate) fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { uptime_at_start_ms: uptime_ms(), started_at: Time(since_epoch.as_millis() as u64) }
    }

    pub(crate) fn now(&self) -> Time {
        Time(self.started_at.0 + uptime_ms().saturating_sub(self.uptime_at_start_ms))
    }

    /// The time at `at`, which is not in the past.
    pub(crate) fn time_of(&self, at: Instant) -> Time {
        self.now() + Millis(at.saturating_duration_since(Instant::now()).as_millis() as u64)
    }

    /// When the daemon started; also its incarnation.
    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }
}
