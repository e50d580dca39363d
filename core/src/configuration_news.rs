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
const LOOK_AFTER: Millis = Millis(1_300);

/// Time for the store to give a version that a peer has named, and between two questions to peers.
const ASK_AFTER: Millis = Millis(300);

/// When a daemon that does not wait at the store looks there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// For a version that was named.
    ForNews,
    /// As nobody else does.
    Alone,
    /// Not before that time, unless a newer version is named.
    NotBefore(Time),
}

/// When to look, with the version `in_force` and the newest one that was `named`, when those that
/// wait at the store last looked at `looked_at`, as far as is heard.
pub fn look(now: Time, in_force: u64, named: u64, looked_at: Time) -> Look {
    if now.since(looked_at) >= LOOK_AFTER {
        Look::Alone
    } else if named > in_force {
        Look::ForNews
    } else {
        Look::NotBefore(looked_at + LOOK_AFTER)
    }
}

/// The newest version that a peer has named.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    peer: SocketAddr,
    ask_at: Time,
}

/// The versions that peers name.
#[derive(Clone, Debug, Default)]
pub struct NamedVersions {
    newest: Option<Named>,
}

impl NamedVersions {
    /// No version.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `peer` has `version`; returns whether that is the newest so far.
    pub fn name(&mut self, now: Time, version: u64, peer: SocketAddr) -> bool {
        let is_newer = self.newest.is_none_or(|named| version > named.version);
        if is_newer {
            self.newest = Some(Named { version, peer, ask_at: now + ASK_AFTER });
        } else if let Some(named) = self.newest.as_mut().filter(|named| named.version == version) {
            // Who named it first may be gone.
            named.peer = peer;
        }
        is_newer
    }

    /// The peer to ask for a version that the store did not give in time.
    pub fn ask(&mut self, now: Time, in_force: u64) -> Option<SocketAddr> {
        let named = self.newest.as_mut()?;
        if named.version <= in_force || now < named.ask_at {
            return None;
        }
        named.ask_at = now + ASK_AFTER;
        Some(named.peer)
    }
}
