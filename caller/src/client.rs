//! A caller: asks for addresses, keeps them for their lifetime, connects, resumes and comes back
//! when told.

mod request;

use crate::error::ErrorBody;
use crate::sse::{Event, Reader};
use crate::{GenerationRequest, IDEMPOTENCY_KEY, LAST_EVENT_ID, WholeAnswer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use magnoliawinch::directory::DirectoryAnswer;
use magnoliawinch_http::{Client, Reply, Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::timeout;

/// Time for the head of an answer beyond the request's own deadline.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Largest error or whole answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16_777_216;

/// Silence after which a stream counts as broken.
const STREAM_SILENCE: Duration = Duration::from_secs(5);

/// Why a request has no answer.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The system's own words.
    #[error("{}: {}", .0.code, .0.message)]
    System(ErrorBody),
    /// No host answered.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The stream broke off.
    #[error("the stream broke off after token {received}")]
    Broken {
        /// Tokens received so far.
        received: u64,
    },
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

/// A caller with an organisation's key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    key: String,
}

impl Caller {
    /// A caller with the bearer key `key`.
    pub fn new(key: &str) -> Self {
        Self { client: Client::new(), key: key.to_owned() }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> request::Builder {
        request::Builder::new(method, path, &self.key, body)
    }

    /// Asks `host` which addresses to use.
    pub async fn hosts(&self, host: SocketAddr) -> Result<DirectoryAnswer, CallerError> {
        let req = self.request(Method::GET, "/v1/hosts", Bytes::new()).build();
        let reply = self.client.send(host, req, Reuse::Recent, Duration::from_secs(2)).await?;
        let reply = check(reply).await?;
        Ok(reply.json(MAX_ANSWER_BYTES).await?)
    }

    /// Starts a generation whose tokens arrive as they are written.
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

    /// Resumes a generation after the event `last_event_id`.
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
        let reply = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        let reply = check(reply).await?;
        Ok(TokenStream { body: reply.into_body(), reader: Reader::new(), received: 0 })
    }

    /// Runs a generation of a kind that is delivered whole.
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
        let reply = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        let reply = check(reply).await?;
        Ok(reply.json(MAX_ANSWER_BYTES).await?)
    }

    /// Calls a plain service.
    pub async fn call(
        &self,
        host: SocketAddr,
        service: &str,
        kind: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<Bytes, CallerError> {
        let path = format!("/v1/calls/{service}/{kind}");
        let builder = self.request(Method::POST, &path, body);
        let req = match key {
            Some(key) => builder.header(IDEMPOTENCY_KEY, key).build(),
            None => builder.build(),
        };
        let reply = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        let reply = check(reply).await?;
        Ok(reply.bytes(MAX_ANSWER_BYTES).await?)
    }

    /// Cancels a generation.
    pub async fn cancel(&self, host: SocketAddr, generation: &str) -> Result<(), CallerError> {
        let path = format!("/v1/generations/{generation}");
        let req = self.request(Method::DELETE, &path, Bytes::new()).build();
        let reply = self.client.send(host, req, Reuse::Recent, HEAD_TIMEOUT).await?;
        check(reply).await?;
        Ok(())
    }
}

async fn check(reply: Reply) -> Result<Reply, CallerError> {
    if reply.status() == StatusCode::OK {
        return Ok(reply);
    }
    let bytes = reply.bytes(MAX_ANSWER_BYTES).await?;
    match serde_json::from_slice(&bytes) {
        Ok(error) => Err(CallerError::System(error)),
        Err(_) => Err(CallerError::Malformed(String::from_utf8_lossy(&bytes).into_owned())),
    }
}

/// The events of one generation as a caller reads them.
#[derive(Debug)]
pub struct TokenStream {
    body: magnoliawinch_http::client::Body,
    reader: Reader,
    received: u64,
}

impl TokenStream {
    /// The next event. A stream that ends without an end event or goes silent is broken.
    pub async fn next(&mut self) -> Result<Event, CallerError> {
        loop {
            if let Some(event) = self.reader.next_event() {
                self.received += u64::from(matches!(event, Event::Token { .. }));
                return Ok(event);
            }
            match timeout(STREAM_SILENCE, self.body.chunk()).await {
                Ok(Some(Ok(piece))) => self.reader.push(&piece),
                _ => {
                    return Err(CallerError::Broken { received: self.received });
                }
            }
        }
    }
}
