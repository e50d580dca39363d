//! When a daemon looks for a newer configuration.
//!
//! A few daemons wait at the platform's store for it. The others look there when one of those names a
//! newer version, or when none of them has lately been there; where the store turns them away, they
//! ask the daemon that named it.

use crate::time::{Millis, Time};
use std::net::SocketAddr;

/// Age of the last look of those that wait at the store, after which a daemon looks for itself: a
/// waiting read of 600 ms and the time between two reports of ninety daemons, within the 2 s in
/// which a change is to be in force.
const MAX_POLL_AGE: Millis = Millis(1_300);

/// Time for the store to give a version that a peer has named, and between two questions to peers.
const PEER_QUERY_DELAY: Millis = Millis(300);

/// When a daemon that does not wait at the store looks there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePoll {
    /// For a version that was announced.
    VersionAnnounced,
    /// As nobody else does.
    NoRecentPoll,
    /// Not before that time, unless a newer version is announced.
    NotBefore(Time),
}

/// When to look, with the version `in_force` and the newest one that was `named`, when those that
/// wait at the store last looked at `polled_at`, as far as is heard.
pub fn next_poll(now: Time, in_force: u64, announced: u64, polled_at: Time) -> StorePoll {
    if now.since(polled_at) >= MAX_POLL_AGE {
        StorePoll::NoRecentPoll
    } else if announced > in_force {
        StorePoll::VersionAnnounced
    } else {
        StorePoll::NotBefore(polled_at + MAX_POLL_AGE)
    }
}

/// The newest version that a peer has announced.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    peer: SocketAddr,
    query_at: Time,
}

/// The versions that peers name.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedVersions {
    newest: Option<Announced>,
}

impl AnnouncedVersions {
    /// No version.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `peer` has `version`; returns whether that is the newest so far.
    pub fn record(&mut self, now: Time, version: u64, peer: SocketAddr) -> bool {
        let is_newer = self.newest.is_none_or(|announced| version > announced.version);
        if is_newer {
            self.newest = Some(Announced { version, peer, query_at: now + PEER_QUERY_DELAY });
        } else if let Some(announced) =
            self.newest.as_mut().filter(|announced| announced.version == version)
        {
            // Who named it first may be gone.
            announced.peer = peer;
        }
        is_newer
    }

    /// The peer to ask for a version that the store did not give in time.
    pub fn peer_to_query(&mut self, now: Time, in_force: u64) -> Option<SocketAddr> {
        let announced = self.newest.as_mut()?;
        if announced.version <= in_force || now < announced.query_at {
            return None;
        }
        announced.query_at = now + PEER_QUERY_DELAY;
        Some(announced.peer)
    }
}
