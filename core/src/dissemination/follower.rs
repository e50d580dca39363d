//! Polls of the daemons that a daemon follows.

use super::{MAX_ATTEMPT_AGE, MAX_READ_AGE};
use crate::time::{Millis, Time};
use std::net::SocketAddr;

/// How long a source holds a poll without news.
pub const POLL_WAIT: Millis = Millis(600);

/// Time after which a poll has failed, beyond `POLL_WAIT`.
pub const POLL_REPLY_TIME: Millis = Millis(350);

/// Minimum time between two polls of the same source.
const MIN_POLL_INTERVAL: Millis = Millis(50);

/// Pause after all sources have failed or were outdated.
const RETRY_PAUSE: Millis = Millis(400);

/// Time after which a daemon tries its preferred source again.
const PREFERENCE_INTERVAL: Millis = Millis(10_000);

/// Rank of the primary reader.
const PRIMARY_RANK: usize = 0;

/// Rank of the reader that takes over from the primary.
pub const STANDBY_RANK: usize = 1;

/// Whether a daemon of `rank` among the readers follows others: all but a primary that reaches the
/// store itself.
pub fn follows_others(rank: Option<usize>, reaches_store: bool) -> bool {
    rank != Some(PRIMARY_RANK) || !reaches_store
}

/// Whether a daemon of `rank` among the readers follows the one that made the newest read: the
/// regular readers do, as they could otherwise follow each other while neither reaches the store.
pub fn follows_newest_reader(rank: Option<usize>) -> bool {
    matches!(rank, Some(PRIMARY_RANK | STANDBY_RANK))
}

/// Whether a source has nothing new to tell a daemon of `rank` among the readers, given the ages
/// that the source knows of the last read of the store and of the last attempt.
///
/// The two regular readers pass on what a deputy has read, so they look for one that reaches the
/// store. Everyone else stays with a source that hears of living readers.
pub fn is_outdated(rank: Option<usize>, read_age: Millis, attempt_age: Millis) -> bool {
    match follows_newest_reader(rank) {
        true => read_age >= MAX_READ_AGE,
        false => read_age.min(attempt_age) >= MAX_ATTEMPT_AGE,
    }
}

/// Polls sources in turn: stays with one as long as it replies and is not outdated.
#[derive(Clone, Debug)]
pub struct Follower {
    sources: Vec<SocketAddr>,
    index: usize,
    /// The poll without a reply, and when it was sent.
    pending: Option<(SocketAddr, Time)>,
    polled_at: Time,
    not_before: Time,
    preferred_at: Time,
    /// Consecutive sources that failed or were outdated.
    failures: usize,
}

impl Follower {
    /// A follower without sources.
    pub fn new(now: Time) -> Self {
        Self {
            sources: Vec::new(),
            index: 0,
            pending: None,
            polled_at: Time(0),
            not_before: now,
            preferred_at: now,
            failures: 0,
        }
    }

    /// Replaces the sources; stays with the current one only if it is still preferred.
    pub fn set_sources(&mut self, sources: Vec<SocketAddr>) {
        if sources != self.sources {
            (self.sources, self.index, self.failures) = (sources, 0, 0);
        }
    }

    /// Polls `source` next, if it is one.
    pub fn prefer(&mut self, source: SocketAddr) {
        if let Some(index) = self.sources.iter().position(|known| *known == source) {
            self.index = index;
        }
    }

    /// The source to poll now, if a poll is due.
    pub fn next_poll(&mut self, now: Time) -> Option<SocketAddr> {
        if let Some((source, at)) = self.pending {
            if now.since(at) <= POLL_WAIT + POLL_REPLY_TIME + MIN_POLL_INTERVAL {
                return None;
            }
            // The result was lost on the way to the control thread.
            self.failed(now, source);
        }
        if now < self.not_before || now.since(self.polled_at) < MIN_POLL_INTERVAL {
            return None;
        }
        if now.since(self.preferred_at) >= PREFERENCE_INTERVAL {
            (self.index, self.preferred_at) = (0, now);
        }
        let source = *self.sources.get(self.index)?;
        (self.pending, self.polled_at) = (Some((source, now)), now);
        Some(source)
    }

    /// Records a reply; `is_outdated` if the source itself has heard nothing for too long.
    pub fn replied(&mut self, now: Time, source: SocketAddr, is_outdated: bool) {
        if self.take_pending(source) {
            match is_outdated {
                true => self.try_next(now),
                false => self.failures = 0,
            }
        }
    }

    /// Records that a poll failed.
    pub fn failed(&mut self, now: Time, source: SocketAddr) {
        if self.take_pending(source) {
            self.try_next(now);
        }
    }

    fn take_pending(&mut self, source: SocketAddr) -> bool {
        let is_pending = self.pending.is_some_and(|(pending, _)| pending == source);
        if is_pending {
            self.pending = None;
        }
        is_pending
    }

    fn try_next(&mut self, now: Time) {
        let count = self.sources.len().max(1);
        self.index = (self.index + 1) % count;
        self.failures += 1;
        if self.failures.is_multiple_of(count) {
            self.not_before = now + RETRY_PAUSE;
        }
    }
}
