//! Client for callers: asks a host for the addresses to use, starts, resumes and cancels
//! generations, and calls plain services. Caching addresses and retrying are left to its user.

mod request;

use crate::error::ErrorBody;
use crate::sse::{Event, EventParser};
use crate::{GenerationRequest, IDEMPOTENCY_KEY, LAST_EVENT_ID, WholeAnswer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use magnoliawinch::directory::DirectoryResponse;
use magnoliawinch_http::{Client, ClientResponse, Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Timeout until the head of a response arrives, whatever the deadline of the request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum size of a response other than a stream.
const MAX_RESPONSE_BYTES: usize = 16_777_216;

/// Silence after which a stream counts as broken.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request failed.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The daemon returned an error.
    #[error("{}: {}", .0.code, .0.message)]
    Api(ErrorBody),
    /// Sending failed or no valid response arrived.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The stream was interrupted.
    #[error("stream interrupted after {received} tokens")]
    Broken {
        /// Tokens received from this stream.
        received: u64,
    },
    /// An error response's body is invalid.
    #[error("malformed error response: {0}")]
    Malformed(String),
}

/// A client that authenticates with one bearer key.
#[derive(Clone, Debug)]
pub struct CallerClient {
    client: Client,
    bearer_key: String,
}

impl CallerClient {
    /// Creates a client without open connections.
    pub fn new(bearer_key: &str) -> Self {
        Self { client: Client::new(), bearer_key: bearer_key.to_owned() }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> request::Builder {
        request::Builder::new(method, path, &self.bearer_key, body)
    }

    /// Asks `host` which hosts to use.
    pub async fn hosts(&self, host: SocketAddr) -> Result<DirectoryResponse, CallerError> {
        let req = self.request(Method::GET, "/v1/hosts", Bytes::new()).build();
        let response = self.client.send(host, req, Reuse::Recent, Duration::from_secs(2)).await?;
        let response = check_status(response).await?;
        Ok(response.json(MAX_RESPONSE_BYTES).await?)
    }

    /// Starts a generation of a streamed kind.
    pub async fn generate(
        &self,
        host: SocketAddr,
        service: &str,
        kind: &str,
        request: &GenerationRequest,
    ) -> Result<TokenStream, CallerError> {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let path = format!("/v1/generations/{service}/{kind}");
        let req = self.request(Method::POST, &path, Bytes::from(body)).build();
        self.stream(host, req).await
    }

    /// Resumes a generation after the event `last_event_id`; from its first token if absent.
    pub async fn resume(
        &self,
        host: SocketAddr,
        generation: &str,
        last_event_id: Option<&str>,
    ) -> Result<TokenStream, CallerError> {
        let path = format!("/v1/generations/{generation}");
        let builder = self.request(Method::GET, &path, Bytes::new());
        let req = match last_event_id {
            Some(id) => builder.header(LAST_EVENT_ID, id).build(),
            None => builder.build(),
        };
        self.stream(host, req).await
    }

    async fn stream(
        &self,
        host: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<TokenStream, CallerError> {
        let response = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        let response = check_status(response).await?;
        Ok(TokenStream { body: response.into_body(), parser: EventParser::new(), received: 0 })
    }

    /// Runs a generation of a kind that is delivered as a single response.
    pub async fn generate_whole(
        &self,
        host: SocketAddr,
        service: &str,
        kind: &str,
        request: &GenerationRequest,
    ) -> Result<WholeAnswer, CallerError> {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let path = format!("/v1/generations/{service}/{kind}");
        let req = self.request(Method::POST, &path, Bytes::from(body)).build();
        let response = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        let response = check_status(response).await?;
        Ok(response.json(MAX_RESPONSE_BYTES).await?)
    }

    /// Calls a plain service, with an idempotency key if given.
    pub async fn call(
        &self,
        host: SocketAddr,
        service: &str,
        kind: &str,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> Result<Bytes, CallerError> {
        let path = format!("/v1/calls/{service}/{kind}");
        let builder = self.request(Method::POST, &path, body);
        let req = match idempotency_key {
            Some(key) => builder.header(IDEMPOTENCY_KEY, key).build(),
            None => builder.build(),
        };
        let response = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        let response = check_status(response).await?;
        Ok(response.bytes(MAX_RESPONSE_BYTES).await?)
    }

    /// Cancels a generation.
    pub async fn cancel(&self, host: SocketAddr, generation: &str) -> Result<(), CallerError> {
        let path = format!("/v1/generations/{generation}");
        let req = self.request(Method::DELETE, &path, Bytes::new()).build();
        let response = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        check_status(response).await?;
        Ok(())
    }
}

async fn check_status(response: ClientResponse) -> Result<ClientResponse, CallerError> {
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let bytes = response.bytes(MAX_RESPONSE_BYTES).await?;
    match serde_json::from_slice(&bytes) {
        Ok(error) => Err(CallerError::Api(error)),
        Err(_) => Err(CallerError::Malformed(String::from_utf8_lossy(&bytes).into_owned())),
    }
}

/// Event stream of one generation.
#[derive(Debug)]
pub struct TokenStream {
    body: magnoliawinch_http::client::Body,
    parser: EventParser,
    received: u64,
}

impl TokenStream {
    /// The next event. A stream that stalls or ends without an end event is broken.
    pub async fn next(&mut self) -> Result<Event, CallerError> {
        loop {
            if let Some(event) = self.parser.next_event() {
                self.received += u64::from(matches!(event, Event::Token { .. }));
                return Ok(event);
            }
            match timeout(STREAM_TIMEOUT, self.body.chunk()).await {
                Ok(Some(Ok(chunk))) => self.parser.push(&chunk),
                _ => {
                    return Err(CallerError::Broken { received: self.received });
                }
            }
        }
    }
}
