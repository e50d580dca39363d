//! The policies under comparison.

use magnoliawinch::admission::Bounds;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// How the engine of a request is chosen.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Each daemon uses the engines in turn.
    RoundRobin,
    /// Each daemon chooses the engine with the fewest of its own outstanding requests.
    LeastOutstanding,
    /// Each daemon chooses the less loaded of two random engines, based on delayed load reports.
    PowerOfTwo,
    /// Admission owners bound step time but not memory, so answer lengths do not matter.
    OwnersByCount,
    /// Admission owners project memory and step time.
    Current,
    /// As `Current`, but with the true answer lengths.
    Oracle,
}

impl Policy {
    /// All policies, in the order of the report.
    pub fn all() -> Vec<Self> {
        Self::iter().collect()
    }

    /// The bounds that an owner applies to its engine under this policy.
    pub(super) fn bounds(self, bounds: Bounds) -> Bounds {
        match self {
            Self::OwnersByCount => Bounds { memory_tokens: f64::INFINITY, ..bounds },
            _ => bounds,
        }
    }

    /// Whether requests go directly to engines, which queue them.
    pub(super) fn is_direct(self) -> bool {
        matches!(self, Self::RoundRobin | Self::LeastOutstanding | Self::PowerOfTwo)
    }
}
