//! What is known about whether a request ran.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Says whether a request may have run at an upstream.
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
    /// Proved: it was never sent, or the upstream refused it before any work.
    NotRun,
    /// It was sent and nothing proves that it did not run.
    MayHaveRun,
    /// The upstream ran it.
    Ran,
}

impl Verdict {
    /// What is known after two attempts of the same request.
    pub fn and_then(self, later: Self) -> Self {
        self.max(later)
    }

    /// Whether another attempt is allowed.
    pub fn may_retry(self, idempotent: bool) -> bool {
        idempotent || self == Self::NotRun
    }
}
