//! Client of model engines.
//!
//! Engines offer an HTTP API:
//!
//! - `POST /generations` starts a generation under an ID that the client chooses, and streams its
//!   events as JSON lines.
//! - `GET /generations/ID?from=N` resumes the stream at token N.
//! - `DELETE /generations/ID` cancels the generation; with `?unwatched=1`, only if no client
//!   reads its stream.
//! - `GET /load` returns the engine's load.
//! - `GET /model` returns the status of its model.
//! - `POST /orders` orders it to load a model.
//!
//! A response with the header `x-verdict: not_run` states that the engine did no work for the
//! request.

use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use magnoliawinch::admission::LoadReport;
use magnoliawinch::delivery::EngineEvent;
use magnoliawinch::placement::{ModelStatus, Order};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::client::{json_request, parse_path};
use magnoliawinch_http::{Client, ClientResponse, JsonLines, Reuse, SendError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Header that tells whether a refused request ran.
pub const VERDICT_HEADER: &str = "x-verdict";

/// Header that is `true` if the upstream is leaving.
pub const DRAINING_HEADER: &str = "x-draining";

/// Header with the upstream's incarnation.
pub const INCARNATION_HEADER: &str = "x-incarnation";

/// Header with the engine's load as JSON, in the response to a start.
pub const LOAD_HEADER: &str = "x-load";

/// Timeout of a request for the load or model status.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of an order. Lease holders rely on no order being in flight for longer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(3_000);

const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a response other than a stream.
const MAX_RESPONSE_BYTES: usize = 4_096;

/// Request to start a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartGeneration {
    /// ID of the generation; repeated starts with the same ID run it only once.
    pub generation: String,
    /// The prompt.
    pub prompt: String,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Hash of the prefix shared with other prompts; zero for none.
    pub prefix: u64,
    /// Length of that prefix, in tokens.
    pub prefix_tokens: u32,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Maximum tokens to generate.
    pub max_tokens: u32,
}

/// Error of a request to an engine.
#[derive(Debug, Error)]
pub enum EngineError {
    /// Sending failed or no valid response arrived.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The engine refused the request.
    #[error("the engine at {address} refused with status {status}: {reason}")]
    Refused {
        /// Engine address.
        address: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// Whether the request ran, as stated by the engine; `MayHaveRun` if it did not say.
        verdict: Verdict,
        /// Whether the engine is leaving.
        draining: bool,
        /// Engine incarnation, if reported.
        incarnation: Option<u64>,
        /// Response text.
        reason: String,
    },
    /// The engine does not know the generation.
    #[error("the engine at {address} does not know generation \"{generation}\"")]
    UnknownGeneration {
        /// Engine address.
        address: SocketAddr,
        /// Generation ID.
        generation: String,
    },
}

impl EngineError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Send(e) => e.verdict(),
            Self::Refused { verdict, .. } => *verdict,
            Self::UnknownGeneration { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Event stream of one generation.
pub type Events = JsonLines<EngineEvent>;

/// A started generation.
#[derive(Debug)]
pub struct Started {
    /// Event stream of the generation.
    pub events: Events,
    /// Engine load, if reported.
    pub load: Option<LoadReport>,
}

/// Client of engines.
#[derive(Clone, Debug, Default)]
pub struct EngineClient {
    client: Client,
}

impl EngineClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a generation. `timeout` applies until the head of the response arrives.
    pub async fn start(
        &self,
        address: SocketAddr,
        start: &StartGeneration,
        timeout: Duration,
    ) -> Result<Started, EngineError> {
        let req =
            json_request(Method::POST, PathAndQuery::from_static("/generations"), Some(start));
        // A response names no request. On a kept connection an earlier refusal, written once more, would
        // be taken for that of this start.
        let response = self.client.send(address, req, Reuse::Never, timeout).await?;
        let load = response.header(LOAD_HEADER).and_then(|text| serde_json::from_str(text).ok());
        Ok(Started { events: events(response, &start.generation).await?, load })
    }

    /// Resumes the event stream from token `from` on a new connection. `timeout` applies until the
    /// head of the response arrives.
    pub async fn resume(
        &self,
        address: SocketAddr,
        generation: &str,
        from: u64,
        timeout: Duration,
    ) -> Result<Events, EngineError> {
        let path = format!("/generations/{generation}?from={from}");
        let req = json_request(Method::GET, parse_path(&path)?, None::<&()>);
        let response = self.client.send(address, req, Reuse::Never, timeout).await?;
        events(response, generation).await
    }

    /// Cancels a generation; succeeds if the engine does not know it. With `only_unwatched`, only
    /// if no other client reads its stream.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        generation: &str,
        only_unwatched: bool,
    ) -> Result<(), EngineError> {
        let path = format!("/generations/{generation}?unwatched={}", u8::from(only_unwatched));
        let req = json_request(Method::DELETE, parse_path(&path)?, None::<&()>);
        let response = self.client.send(address, req, Reuse::Recent, CANCEL_TIMEOUT).await?;
        response.bytes(MAX_RESPONSE_BYTES).await?;
        Ok(())
    }

    /// Orders the engine to load a model. Engines that check fencing numbers refuse outdated ones.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<(), EngineError> {
        let req = json_request(Method::POST, PathAndQuery::from_static("/orders"), Some(order));
        let response = self.client.send(address, req, Reuse::Never, ORDER_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => {
                response.bytes(MAX_RESPONSE_BYTES).await?;
                Ok(())
            }
            status => Err(refusal(response, status).await),
        }
    }

    /// Fetches the model status.
    pub async fn model(&self, address: SocketAddr) -> Result<ModelStatus, SendError> {
        self.client
            .json(address, Method::GET, "/model", None::<&()>, LOAD_TIMEOUT, MAX_RESPONSE_BYTES)
            .await
    }

    /// Fetches the engine's load.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, SendError> {
        self.client
            .json(address, Method::GET, "/load", None::<&()>, LOAD_TIMEOUT, MAX_RESPONSE_BYTES)
            .await
    }
}

async fn events(response: ClientResponse, generation: &str) -> Result<Events, EngineError> {
    match response.status() {
        StatusCode::OK => Ok(JsonLines::new(response.into_body())),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownGeneration {
            address: response.address(),
            generation: generation.to_owned(),
        }),
        status => Err(refusal(response, status).await),
    }
}

async fn refusal(response: ClientResponse, status: StatusCode) -> EngineError {
    let address = response.address();
    let verdict = response.header(VERDICT_HEADER).and_then(|v| v.parse().ok());
    let draining = response.header(DRAINING_HEADER) == Some("true");
    let incarnation = response.header(INCARNATION_HEADER).and_then(|v| v.parse().ok());
    let reason = match response.bytes(MAX_RESPONSE_BYTES).await {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) => e.to_string(),
    };
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    EngineError::Refused { address, status, verdict, draining, incarnation, reason }
}
