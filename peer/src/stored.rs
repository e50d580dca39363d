//! Messages that are kept in the platform's store.

use crate::StoredQuarantine;
use prost::{DecodeError, Message};

impl StoredQuarantine {
    /// The bytes to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads stored bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::decode(bytes)
    }
}
