//! What callers and the system say to each other: errors, generations, events and ids.

pub mod client;
mod error;
mod generation_id;
pub mod sse;

pub use error::{Code, ErrorBody};
pub use generation_id::GenerationId;

use serde::{Deserialize, Serialize};

/// Header with the idempotency key of a call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the id of the request, for `magnoliawinch explain`.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the last event that a caller got.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Asks for a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerationRequest {
    /// The prompt.
    pub prompt: String,
    /// The most tokens to write; the service's limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// A whole answer, for kinds that ask for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholeAnswer {
    /// The generation.
    pub generation: String,
    /// Its tokens.
    pub tokens: u64,
    /// Its text.
    pub text: String,
}
