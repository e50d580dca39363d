//! The caller API: requests, responses, events, IDs and errors, and a client.

pub mod client;
mod error;
mod generation_id;
pub mod sse;

pub use error::{Code, ErrorBody};
pub use generation_id::GenerationId;

use serde::{Deserialize, Serialize};

/// Header with the idempotency key of a call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the ID of the request, for `magnoliawinch explain`.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the ID of the last event that a caller received.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Body of a request for a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerationRequest {
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate; the service's limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// Response body for kinds that are delivered as a single response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholeAnswer {
    /// ID of the generation.
    pub generation: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Text of all tokens.
    pub text: String,
}
