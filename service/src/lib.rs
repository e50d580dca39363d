//! Client of plain services.
//!
//! A plain service answers `POST /calls/KIND`. An answer with the header `x-verdict: not_run` says
//! that the call did no work.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::{Client, Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Header in which an upstream says whether a refused call ran.
const VERDICT_HEADER: &str = "x-verdict";

/// Header in which an upstream says that it leaves.
const DRAINING_HEADER: &str = "x-draining";

/// Largest answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1_048_576;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The kind.
    pub kind: &'a str,
    /// Names the call in the upstream's own records.
    pub request_id: &'a str,
    /// The caller's idempotency key, if it gave one.
    pub idempotency_key: Option<&'a str>,
    /// The body.
    pub body: Bytes,
    /// Whether running twice does no harm.
    pub idempotent: bool,
}

/// An answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The upstream refused before any work.
    #[error("the upstream at {address} refused with status {status}")]
    Refused {
        /// The upstream.
        address: SocketAddr,
        /// Its status.
        status: u16,
        /// What it said about work done.
        verdict: Verdict,
        /// Whether it leaves.
        draining: bool,
    },
}

impl CallError {
    /// Whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Send(e) => e.verdict(),
            Self::Refused { verdict, .. } => *verdict,
        }
    }
}

/// A client of plain services.
#[derive(Clone, Debug, Default)]
pub struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    /// A client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a call once and reads its whole answer within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call<'_>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let until = Instant::now() + limit;
        let reuse = if call.idempotent { Reuse::Recent } else { Reuse::Never };
        let reply = self.client.send(address, request(call), reuse, limit).await?;
        let status = reply.status().as_u16();
        let verdict = reply.header(VERDICT_HEADER).and_then(|v| v.parse().ok());
        if verdict == Some(Verdict::NotRun) {
            let draining = reply.header(DRAINING_HEADER) == Some("true");
            return Err(CallError::Refused { address, status, verdict: Verdict::NotRun, draining });
        }
        match timeout_at(until, reply.bytes(MAX_ANSWER_BYTES)).await {
            Ok(body) => Ok(Answer { status, body: body? }),
            Err(_) => Err(SendError::Timeout { address, after: limit }.into()),
        }
    }
}

fn request(call: &Call<'_>) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("/calls/{}", call.kind))
        .header("host", "magnoliawinch")
        .header("x-request-id", call.request_id);
    if let Some(key) = call.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(call.body.clone())).unwrap_or_default()
}
