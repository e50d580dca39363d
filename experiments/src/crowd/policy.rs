//! The policies that are compared.

use magnoliawinch::admission::Bounds;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// How a request finds its engine.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Each daemon takes the engines in turn.
    RoundRobin,
    /// Each daemon takes the engine with the fewest requests of its own.
    LeastOutstanding,
    /// Each daemon takes the less loaded of two engines by reports that lag.
    PowerOfTwo,
    /// Admission owners that bound step time but not memory: lengths play no part.
    OwnersByCount,
    /// Admission owners that project memory and step time.
    Current,
    /// The current policy with true lengths.
    Oracle,
}

impl Policy {
    /// All policies.
    pub fn all() -> Vec<Self> {
        Self::iter().collect()
    }

    /// What an owner may use of its engine under this policy.
    pub(super) fn bounds(self, bounds: Bounds) -> Bounds {
        match self {
            Self::OwnersByCount => Bounds { memory_tokens: f64::INFINITY, ..bounds },
            _ => bounds,
        }
    }

    /// Whether requests go straight to engines, which queue them.
    pub(super) fn is_direct(self) -> bool {
        matches!(self, Self::RoundRobin | Self::LeastOutstanding | Self::PowerOfTwo)
    }
}
