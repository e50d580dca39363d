//! The caller API: requests, responses, events, IDs and errors, and a client.

pub mod client;
mod error;
mod generation_id;
pub mod sse;

pub use error::{Code, ErrorBody};
pub use generation_id::GenerationId;

use serde::{Deserialize, Serialize};

/// Header with a call's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the request ID, for `magnoliawinch explain`.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the ID of the last event received.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Maximum idempotency key length.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Request body of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerationRequest {
    /// The prompt.
    pub prompt: String,
    /// Maximum tokens to generate; the service's limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// Response body for kinds that are delivered as a single response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholeAnswer {
    /// Generation ID.
    pub generation: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Text of all tokens.
    pub text: String,
}
