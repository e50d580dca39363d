//! What a host can carry.

use serde::{Deserialize, Serialize};

/// What a host can carry, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capacity(pub u32);

const UNITS_PER_CORE: f64 = 1_000.0;

/// What one Mbit/s of a link feeds, in thousandths of a core: the users' small hosts have 0.12 of a
/// core and 10 Mbit/s.
const UNITS_PER_MBPS: f64 = 12.0;

/// Part of the largest host's capacity from which a host counts as large.
const LARGE_HOST_FRACTION: f64 = 0.5;

impl Capacity {
    /// A host with so many cores, or a part of one, and a link of so many Mbit/s.
    pub fn new(cores: f64, link_mbps: f64) -> Self {
        Self((cores * UNITS_PER_CORE).min(link_mbps * UNITS_PER_MBPS) as u32)
    }

    /// Whether it is among the larger, when the largest is `largest`.
    pub fn is_large(self, largest: Self) -> bool {
        f64::from(self.0) >= LARGE_HOST_FRACTION * f64::from(largest.0)
    }
}

impl Default for Capacity {
    /// One core.
    fn default() -> Self {
        Self(UNITS_PER_CORE as u32)
    }
}
