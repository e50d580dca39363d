//! The policies under comparison.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

/// What is done for generations whose engine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Nothing: they are lost with their engine.
    None,
    /// They move to another engine after the notice.
    Moves,
    /// Other engines keep copies of their memory while they have room.
    Backups,
    /// Moves and backups, as in the daemons.
    Both,
    /// As `Both`, but answer lengths and engine losses are known in advance.
    Oracle,
    /// As `Both`, but no engine is lost: shows what perfect handling of losses could gain.
    Undisturbed,
}

impl Policy {
    /// All policies, in the order of the report.
    pub fn all() -> Vec<Self> {
        Self::iter().collect()
    }

    pub(super) fn can_move(self) -> bool {
        matches!(self, Self::Moves | Self::Both | Self::Oracle | Self::Undisturbed)
    }

    pub(super) fn can_back_up(self) -> bool {
        matches!(self, Self::Backups | Self::Both | Self::Oracle | Self::Undisturbed)
    }

    /// Whether any engine is lost.
    pub(super) fn loses_engines(self) -> bool {
        self != Self::Undisturbed
    }

    /// Whether answer lengths and engine losses are known in advance.
    pub(super) fn is_oracle(self) -> bool {
        self == Self::Oracle
    }
}
