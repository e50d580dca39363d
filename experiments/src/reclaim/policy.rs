//! The policies that are compared.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

/// What is done for generations whose engine is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Nothing.
    None,
    /// They move after the notice.
    Moves,
    /// Copies are kept while memory is idle.
    Backups,
    /// Both: what the daemons do.
    Both,
    /// Both, knowing how long answers get and which engines go away before they end.
    Oracle,
    /// Both, on a day on which no engine goes away: what all treatment of that can gain.
    Undisturbed,
}

impl Policy {
    /// All policies.
    pub fn all() -> Vec<Self> {
        Self::iter().collect()
    }

    pub(super) fn can_move(self) -> bool {
        matches!(self, Self::Moves | Self::Both | Self::Oracle | Self::Undisturbed)
    }

    pub(super) fn can_back_up(self) -> bool {
        matches!(self, Self::Backups | Self::Both | Self::Oracle | Self::Undisturbed)
    }

    /// Whether engines go away at all.
    pub(super) fn is_disturbed(self) -> bool {
        self != Self::Undisturbed
    }

    /// Whether lengths and the ends of engines are known.
    pub(super) fn knows_all(self) -> bool {
        self == Self::Oracle
    }
}
