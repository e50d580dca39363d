//! Client of plain services.
//!
//! A plain service handles `POST /calls/KIND`. A response with the header `x-verdict: not_run`
//! states that the service did no work for the call. Every response has a length or is chunked: without
//! that, the end of its body can't be told from the end of the service.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use magnoliawinch::response::ResponseClass;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::client::has_known_end;
use magnoliawinch_http::{Client, Reuse, SendError};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Header that tells whether a refused call ran.
const VERDICT_HEADER: &str = "x-verdict";

/// Header that is `true` if the upstream is leaving.
const DRAINING_HEADER: &str = "x-draining";

/// Maximum response body size.
pub const MAX_ANSWER_BYTES: usize = 1_048_576;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Request kind.
    pub kind: &'a str,
    /// Request ID, for the upstream's logs.
    pub request_id: &'a str,
    /// Caller's idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
    /// Request body.
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

impl Answer {
    /// Whether the upstream failed the call; it may have done so before it worked on it.
    pub fn is_failure(&self) -> bool {
        ResponseClass::new(self.status, false).is_failure()
    }
}

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// Sending failed or no valid response arrived.
    #[error(transparent)]
    Send(#[from] SendError),
    /// Refused by the upstream, before any work if it states so.
    #[error("the upstream at {address} refused with status {status}")]
    Refused {
        /// Upstream address.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Whether the call ran, as stated by the upstream.
        verdict: Verdict,
        /// Whether the upstream is leaving.
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

    /// Whether the connection broke or fell silent after the call was sent, before its response was
    /// complete.
    pub fn is_lost_connection(&self) -> bool {
        matches!(self, Self::Send(e) if e.is_lost_connection())
    }
}

/// Client of plain services.
#[derive(Clone, Debug, Default)]
pub struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing listens at `address`.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let probe = self.client.probe(address).await;
        probe.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    }

    /// Sends a call once and reads the whole response within `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call<'_>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let deadline = Instant::now() + timeout;
        // A response names no call. On a kept connection one to an earlier call, written once more, would
        // be taken for that of this call.
        let response = self.client.send(address, request(call), Reuse::Never, timeout).await?;
        let status = response.status().as_u16();
        let verdict = response.header(VERDICT_HEADER).and_then(|v| v.parse().ok());
        if verdict == Some(Verdict::NotRun) {
            let draining = response.header(DRAINING_HEADER) == Some("true");
            return Err(CallError::Refused { address, status, verdict: Verdict::NotRun, draining });
        }
        if !has_known_end(&Method::POST, response.status(), response.headers()) {
            let reason = "it has neither a length nor chunks".to_owned();
            return Err(
                SendError::BadResponse { address, status: response.status(), reason }.into()
            );
        }
        match timeout_at(deadline, response.bytes(MAX_ANSWER_BYTES)).await {
            Ok(body) => Ok(Answer { status, body: body? }),
            Err(_) => Err(SendError::Timeout { address, after: timeout }.into()),
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
