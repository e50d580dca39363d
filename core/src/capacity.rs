//! Capacity of a host to run a daemon.

use serde::{Deserialize, Serialize};

/// Capacity of a host, limited by cores and link, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capacity(pub u32);

const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Capacity per Mbit/s of link: the users' small hosts have 0.12 of a core and 10 Mbit/s.
const MILLICORES_PER_MBPS: f64 = 12.0;

/// Fraction of the largest host's capacity that makes a host large.
const LARGE_HOST_FRACTION: f64 = 0.5;

impl Capacity {
    /// Capacity with `cores`, which may be a fraction, and a link of `link_mbps` Mbit/s.
    pub fn new(cores: f64, link_mbps: f64) -> Self {
        Self((cores * MILLICORES_PER_CORE).min(link_mbps * MILLICORES_PER_MBPS) as u32)
    }

    /// Whether the host is large, given the largest host's capacity.
    pub fn is_large(self, largest: Self) -> bool {
        f64::from(self.0) >= LARGE_HOST_FRACTION * f64::from(largest.0)
    }
}

impl Default for Capacity {
    /// The capacity of one core.
    fn default() -> Self {
        Self(MILLICORES_PER_CORE as u32)
    }
}
