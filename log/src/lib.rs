//! Client of the platform's append-only log service.
//!
//! The service uses HTTP with JSON bodies:
//!
//! - `POST /streams/NAME/records` appends a record.
//! - `GET /streams/NAME/records?from=N&wait_ms=W` reads from offset N and waits up to W ms if there
//!   is no such record yet.
//!
//! Offsets start at 1. The service deletes old records; the rest start at [`Page::first`].

use hyper::Method;
use magnoliawinch::catalogue::Offset;
use magnoliawinch::time::Time;
use magnoliawinch_http::{Client, SendError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of an append.
pub const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout of a read, in addition to the time it may wait for a record.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum size of a read's response.
const MAX_READ_BYTES: usize = 16_777_216;

/// Body of an append request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppendRequest {
    /// Record content.
    pub data: String,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the new record.
    pub offset: Offset,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// When it was appended, by the service's clock.
    pub at_ms: Time,
    /// Record content.
    pub data: String,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset still held.
    pub first: Offset,
    /// Offset of the next append.
    pub end: Offset,
    /// The records, in order and without gaps.
    pub records: Vec<LogRecord>,
}

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    address: SocketAddr,
}

impl LogClient {
    /// Client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), address }
    }

    /// Appends `data` to `stream` and returns the new record's offset. After an error the record may
    /// still have been appended.
    pub async fn append(&self, stream: &str, data: &str) -> Result<Offset, SendError> {
        let path = format!("/streams/{stream}/records");
        let body = AppendRequest { data: data.to_owned() };
        let response: AppendResponse = self
            .client
            .json(self.address, Method::POST, &path, Some(&body), APPEND_TIMEOUT, 4_096)
            .await?;
        Ok(response.offset)
    }

    /// Reads `stream` from offset `from`, waiting up to `wait` if there are no records yet.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Page, SendError> {
        let path =
            format!("/streams/{stream}/records?from={}&wait_ms={}", from.0, wait.as_millis());
        let limit = wait + READ_TIMEOUT;
        self.client.json(self.address, Method::GET, &path, None::<&()>, limit, MAX_READ_BYTES).await
    }
}
