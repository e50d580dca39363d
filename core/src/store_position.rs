//! Positions in a topic of the platform's store.
//!
//! The store may return from a copy that is some seconds old. Offsets are then given out again, and
//! an era, which the store counts, tells the records apart: an offset means nothing without the era
//! that it was read in.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Everything before this offset is known; positions of a later era are later.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Rises by one each time the store returns from a copy; zero in a store that does not count.
    pub era: u64,
    /// Offset of the next record.
    pub offset: u64,
}

impl StorePosition {
    /// The position before all records of any era.
    pub const START: Self = Self { era: 0, offset: 0 };

    /// Whether the store has returned from a copy since `earlier`, so that records after it may
    /// have been lost.
    pub fn is_rewound_since(self, earlier: Self) -> bool {
        self.era > earlier.era
    }
}

/// A response that the store sent before it returned from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("response of era {era}, though era {newest} is known")]
pub struct OutdatedEra {
    /// Era of the response.
    pub era: u64,
    /// Latest era seen.
    pub newest: u64,
}

/// The latest era seen in the store's responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraTracker {
    newest: u64,
}

impl EraTracker {
    /// A tracker that has seen no response.
    pub fn new() -> Self {
        Self::default()
    }

    /// Latest era seen.
    pub fn newest(self) -> u64 {
        self.newest
    }

    /// Records the era of a response, the latest one if it names none; returns that era.
    pub fn observe(&mut self, era: Option<u64>) -> Result<u64, OutdatedEra> {
        let era = era.unwrap_or(self.newest);
        if era < self.newest {
            return Err(OutdatedEra { era, newest: self.newest });
        }
        self.newest = era;
        Ok(era)
    }
}
