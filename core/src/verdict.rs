//! Knowledge of whether a request ran.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request ran at an upstream, in increasing certainty that it did.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Proved not to have run: never sent, or refused by the upstream before any work.
    NotRun,
    /// Sent, and nothing proves that it did not run.
    MayHaveRun,
    /// The upstream ran it.
    Ran,
}

impl Verdict {
    /// Verdict over this and a later attempt of the same request.
    pub fn combine(self, later: Self) -> Self {
        self.max(later)
    }

    /// Whether another attempt is allowed.
    pub fn may_retry(self, idempotent: bool) -> bool {
        idempotent || self == Self::NotRun
    }
}
