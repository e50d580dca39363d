//! Transfers that a daemon serves at the same time.

use crate::time::{Millis, Time};

/// Followers served at the same time. Further ones wait, as more would only slow each other down.
pub const MAX_SERVED: usize = 4;

/// Time after a follower's last request for which its slot is kept: a chunk on a link of 1 Mbit/s
/// takes 260 ms.
const SLOT_LEASE: Millis = Millis(600);

/// Time after which a follower that found no free slot may ask again.
const BUSY_WAIT: Millis = Millis(60);

/// The followers that are being served.
#[derive(Clone, Debug, Default)]
pub struct TransferSlots {
    /// Followers, by the hashes of their hosts' names, and their last requests.
    served: Vec<(u64, Time)>,
}

impl TransferSlots {
    /// No followers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request of `follower` for a chunk, or returns after which time it may ask again.
    pub fn admit(&mut self, now: Time, follower: u64, is_last_chunk: bool) -> Result<(), Millis> {
        self.served.retain(|(served, at)| *served != follower && now.since(*at) < SLOT_LEASE);
        if self.served.len() >= MAX_SERVED {
            return Err(BUSY_WAIT);
        }
        if !is_last_chunk {
            self.served.push((follower, now));
        }
        Ok(())
    }

    /// Number of followers being served.
    pub fn served(&self) -> usize {
        self.served.len()
    }
}
