//! Configuration versions that peers announce, and when to request one from them.
//!
//! A version usually arrives from the daemon that this one follows (see [`crate::dissemination`]).
//! If it does not, the peer that announced it is asked.

use crate::time::{Millis, Time};
use std::net::SocketAddr;

/// Time for an announced version to arrive before the peer is asked, and interval between such
/// requests. Longer than a failed poll of the followed daemon: peers that announce are the owners of
/// pools, which report to all, and must not be asked by all.
const PEER_QUERY_DELAY: Millis = Millis(1_000);

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

    /// The peer to ask for a version newer than `in_force` that has not arrived in time.
    pub fn peer_to_query(&mut self, now: Time, in_force: u64) -> Option<SocketAddr> {
        let announced = self.newest.as_mut()?;
        if announced.version <= in_force || now < announced.query_at {
            return None;
        }
        announced.query_at = now + PEER_QUERY_DELAY;
        Some(announced.peer)
    }
}
