//! When a daemon polls the platform's store for a newer configuration.
//!
//! A few daemons use long polls. The others poll when one of those announces a newer version or
//! none has polled recently. If the store refuses their polls, they ask the daemon that announced
//! the version.

use crate::time::{Millis, Time};
use std::net::SocketAddr;

/// Age of the last known long poll after which a daemon polls for itself. Allows for a long poll of
/// 600 ms and the interval between two reports among ninety daemons, within the 2 s in which a
/// change has to be in force.
const MAX_POLL_AGE: Millis = Millis(1_300);

/// Time for the store to return an announced version before a peer is asked, and interval between
/// such requests.
const PEER_QUERY_DELAY: Millis = Millis(300);

/// When and why a daemon without long polls polls the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePoll {
    /// Now: a newer version was announced.
    VersionAnnounced,
    /// Now: no other daemon has polled recently.
    NoRecentPoll,
    /// Not before this time, unless a newer version is announced.
    NotBefore(Time),
}

/// When to poll, given the version `in_force`, the newest version `announced`, and the time
/// `polled_at` of the last known poll by a daemon that does long polls.
pub fn next_poll(now: Time, in_force: u64, announced: u64, polled_at: Time) -> StorePoll {
    if now.since(polled_at) >= MAX_POLL_AGE {
        StorePoll::NoRecentPoll
    } else if announced > in_force {
        StorePoll::VersionAnnounced
    } else {
        StorePoll::NotBefore(polled_at + MAX_POLL_AGE)
    }
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    peer: SocketAddr,
    query_at: Time,
}

/// Newest configuration version announced by a peer.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedVersions {
    newest: Option<Announced>,
}

impl AnnouncedVersions {
    /// Creates a record without announced versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `peer` has `version`; returns whether it is newer than any before.
    pub fn record(&mut self, now: Time, version: u64, peer: SocketAddr) -> bool {
        let is_newer = self.newest.is_none_or(|announced| version > announced.version);
        if is_newer {
            self.newest = Some(Announced { version, peer, query_at: now + PEER_QUERY_DELAY });
        } else if let Some(announced) =
            self.newest.as_mut().filter(|announced| announced.version == version)
        {
            // The peer that announced it first may have stopped.
            announced.peer = peer;
        }
        is_newer
    }

    /// The peer to ask for a newer version than `in_force` that the store did not return in time.
    pub fn peer_to_query(&mut self, now: Time, in_force: u64) -> Option<SocketAddr> {
        let announced = self.newest.as_mut()?;
        if announced.version <= in_force || now < announced.query_at {
            return None;
        }
        announced.query_at = now + PEER_QUERY_DELAY;
        Some(announced.peer)
    }
}
