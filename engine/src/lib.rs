//! Client of model engines.
//!
//! An engine speaks HTTP: `POST /generations` starts a generation under an id of the caller's
//! choice and streams its events as JSON lines, `GET /generations/ID?from=N` resumes the stream,
//! `DELETE /generations/ID` cancels it
//! (with `?unwatched=1` only when nobody reads its stream), `GET /load` reports load, `POST /orders` takes orders, `GET
//! /model` says which model it has. An
//! answer with the header `x-verdict: not_run` says that the request did no work.

use hyper::{Method, StatusCode};
use magnoliawinch::admission::LoadReport;
use magnoliawinch::delivery::EngineEvent;
use magnoliawinch::placement::{ModelStatus, Order};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::client::json_request;
use magnoliawinch_http::{Client, JsonLines, Reply, Reuse, SendError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Header in which an upstream says whether a refused request ran.
pub const VERDICT_HEADER: &str = "x-verdict";

/// Header in which an upstream says that it leaves.
pub const DRAINING_HEADER: &str = "x-draining";

/// Header with the upstream's incarnation.
pub const INCARNATION_HEADER: &str = "x-incarnation";

/// Header with the engine's load as JSON, on the answer to a start.
pub const LOAD_HEADER: &str = "x-load";

/// Time for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for an order; a holder counts on no order being in flight for longer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time for a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 4_096;

/// Starts a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartGeneration {
    /// Its id; a repeated start with the same id does not run twice.
    pub generation: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash of the part shared with other prompts; zero for none.
    pub prefix: u64,
    /// Tokens of that part.
    pub prefix_tokens: u32,
    /// Higher goes first.
    pub priority: u8,
    /// The most tokens to write.
    pub max_tokens: u32,
}

/// Why an engine does not stream.
#[derive(Debug, Error)]
pub enum EngineError {
    /// No answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The engine refused.
    #[error("the engine at {address} refused with status {status}: {reason}")]
    Refused {
        /// The engine.
        address: SocketAddr,
        /// Its status.
        status: StatusCode,
        /// What it said about work done.
        verdict: Verdict,
        /// Whether it leaves.
        draining: bool,
        /// Its incarnation, when it named one.
        incarnation: Option<u64>,
        /// Its words.
        reason: String,
    },
    /// The engine does not know the generation.
    #[error("the engine at {address} does not know generation \"{generation}\"")]
    UnknownGeneration {
        /// The engine.
        address: SocketAddr,
        /// The generation.
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

/// Events of one generation.
pub type Events = JsonLines<EngineEvent>;

/// A generation that was started.
#[derive(Debug)]
pub struct Started {
    /// Its events.
    pub events: Events,
    /// The engine's load, when it told it.
    pub load: Option<LoadReport>,
}

/// A client of engines.
#[derive(Clone, Debug, Default)]
pub struct EngineClient {
    client: Client,
}

impl EngineClient {
    /// A client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a generation and returns its events.
    pub async fn start(
        &self,
        address: SocketAddr,
        start: &StartGeneration,
        limit: Duration,
    ) -> Result<Started, EngineError> {
        let req = json_request(Method::POST, "/generations", Some(start));
        let reply = self.client.send(address, req, Reuse::Recent, limit).await?;
        let load = reply.header(LOAD_HEADER).and_then(|text| serde_json::from_str(text).ok());
        Ok(Started { events: events(reply, &start.generation).await?, load })
    }

    /// Resumes a generation from token `from` on a new connection.
    pub async fn resume(
        &self,
        address: SocketAddr,
        generation: &str,
        from: u64,
        limit: Duration,
    ) -> Result<Events, EngineError> {
        let path = format!("/generations/{generation}?from={from}");
        let req = json_request(Method::GET, &path, None::<&()>);
        let reply = self.client.send(address, req, Reuse::Never, limit).await?;
        events(reply, generation).await
    }

    /// Cancels a generation; one that is unknown counts as cancelled. With `unwatched`, only when
    /// nobody else reads its stream.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        generation: &str,
        unwatched: bool,
    ) -> Result<(), EngineError> {
        let path = format!("/generations/{generation}?unwatched={}", u8::from(unwatched));
        let req = json_request(Method::DELETE, &path, None::<&()>);
        let reply = self.client.send(address, req, Reuse::Recent, CANCEL_TIMEOUT).await?;
        reply.bytes(MAX_REFUSAL_BYTES).await?;
        Ok(())
    }

    /// Orders the engine to load a model; an engine that checks refuses an old fencing number.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<(), EngineError> {
        let req = json_request(Method::POST, "/orders", Some(order));
        let reply = self.client.send(address, req, Reuse::Recent, ORDER_TIMEOUT).await?;
        match reply.status() {
            StatusCode::OK => {
                reply.bytes(MAX_REFUSAL_BYTES).await?;
                Ok(())
            }
            status => Err(refusal(reply, status).await),
        }
    }

    /// Reads which model the engine has.
    pub async fn model(&self, address: SocketAddr) -> Result<ModelStatus, SendError> {
        self.client
            .json(address, Method::GET, "/model", None::<&()>, LOAD_TIMEOUT, MAX_REFUSAL_BYTES)
            .await
    }

    /// Reads the engine's load.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, SendError> {
        self.client
            .json(address, Method::GET, "/load", None::<&()>, LOAD_TIMEOUT, MAX_REFUSAL_BYTES)
            .await
    }
}

async fn events(reply: Reply, generation: &str) -> Result<Events, EngineError> {
    match reply.status() {
        StatusCode::OK => Ok(JsonLines::new(reply.into_body())),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownGeneration {
            address: reply.address(),
            generation: generation.to_owned(),
        }),
        status => Err(refusal(reply, status).await),
    }
}

async fn refusal(reply: Reply, status: StatusCode) -> EngineError {
    let address = reply.address();
    let verdict = reply.header(VERDICT_HEADER).and_then(|v| v.parse().ok());
    let draining = reply.header(DRAINING_HEADER) == Some("true");
    let incarnation = reply.header(INCARNATION_HEADER).and_then(|v| v.parse().ok());
    let reason = match reply.bytes(MAX_REFUSAL_BYTES).await {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) => e.to_string(),
    };
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    EngineError::Refused { address, status, verdict, draining, incarnation, reason }
}
