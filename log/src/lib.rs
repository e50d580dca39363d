//! Client of the platform's append-only log service.
//!
//! The service speaks HTTP with JSON bodies: `POST /streams/NAME/records` appends, `GET
//! /streams/NAME/records?from=N&wait_ms=W` reads from an offset and waits for a record when there
//! is none yet. Offsets start at 1; records before `first` are gone.

use hyper::Method;
use magnoliawinch::catalogue::Offset;
use magnoliawinch::time::Time;
use magnoliawinch_http::{Client, SendError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for an append.
pub const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for a read beyond the time it may wait.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Largest answer to a read, in bytes.
const MAX_READ_BYTES: usize = 16_777_216;

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// The record.
    pub data: String,
}

/// Where a record was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Its offset.
    pub offset: Offset,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// The service's time of the append.
    pub at_ms: Time,
    /// The record.
    pub data: String,
}

/// A piece of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that the service still holds.
    pub first: Offset,
    /// The offset that the next record will have.
    pub end: Offset,
    /// Records in order, without holes.
    pub records: Vec<LogRecord>,
}

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    address: SocketAddr,
}

impl LogClient {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), address }
    }

    /// Appends `data` to `stream`. After an error the append may still have taken effect.
    pub async fn append(&self, stream: &str, data: &str) -> Result<Offset, SendError> {
        let path = format!("/streams/{stream}/records");
        let body = Append { data: data.to_owned() };
        let appended: Appended = self
            .client
            .json(self.address, Method::POST, &path, Some(&body), APPEND_TIMEOUT, 4_096)
            .await?;
        Ok(appended.offset)
    }

    /// Reads `stream` from `from`, waiting up to `wait` when there is no such record yet.
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
