//! Parts of prompts, which requests share.

use crate::rendezvous;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Parts of one request that are told apart; further ones are ignored.
pub const MAX_PARTS: usize = 64;

/// Identifies a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl PartId {
    /// The id of the part that is called `name` on the wire.
    pub fn new(name: &str) -> Self {
        Self(rendezvous::hash(&name.to_ascii_lowercase()))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Parts of the prompt of one request that other requests may share, in order. The last part of a
/// prompt belongs to the request itself or to its session and is not among them.
pub type PromptParts = Arc<[PartId]>;
