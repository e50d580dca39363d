//! A client of the administration API.

use crate::{ErrorBody, Explanation, InForce, Publish, Published, ServiceInForce, Status};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Method, Request, StatusCode};
use magnoliawinch::catalogue::{Change, Offset};
use magnoliawinch_http::client::json_request;
use magnoliawinch_http::{Client, Reuse, SendError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Time for an answer; publishing waits for the log.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16_777_216;

/// Why an operator has no answer.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The daemon did not answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The daemon refused.
    #[error("{address} refused with status {status}: {message}")]
    Refused {
        /// The daemon.
        address: SocketAddr,
        /// Its status.
        status: StatusCode,
        /// Its words.
        message: String,
    },
}

/// An operator with a bearer key.
#[derive(Clone, Debug)]
pub struct Operator {
    client: Client,
    address: SocketAddr,
    key: String,
}

impl Operator {
    /// An operator who asks the daemon at `address`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { client: Client::new(), address, key: key.to_owned() }
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, OperatorError> {
        let mut req: Request<Full<Bytes>> = json_request(method, path, body);
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.key)) {
            req.headers_mut().insert(AUTHORIZATION, value);
        }
        let reply = self.client.send(self.address, req, Reuse::Recent, TIMEOUT).await?;
        let status = reply.status();
        if status.is_success() {
            return Ok(reply.json(MAX_ANSWER_BYTES).await?);
        }
        let bytes = reply.bytes(MAX_ANSWER_BYTES).await?;
        let message = match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) => body.message,
            Err(_) => String::from_utf8_lossy(&bytes).into_owned(),
        };
        Err(OperatorError::Refused { address: self.address, status, message })
    }

    /// The daemon's state.
    pub async fn status(&self) -> Result<Status, OperatorError> {
        self.ask(Method::GET, "/status", None::<&()>).await
    }

    /// A service in force.
    pub async fn service(&self, name: &str) -> Result<ServiceInForce, OperatorError> {
        self.ask(Method::GET, &format!("/services/{name}"), None::<&()>).await
    }

    /// Publishes a change and waits for the log's decision.
    pub async fn publish(&self, change: Change) -> Result<Published, OperatorError> {
        self.ask(Method::POST, "/changes", Some(&Publish { change })).await
    }

    /// Where a configuration offset is in force.
    pub async fn in_force(&self, offset: Offset) -> Result<InForce, OperatorError> {
        self.ask(Method::GET, &format!("/in-force?offset={}", offset.0), None::<&()>).await
    }

    /// The decision lines of a request.
    pub async fn explain(&self, request: &str) -> Result<Explanation, OperatorError> {
        self.ask(Method::GET, &format!("/explain/{request}"), None::<&()>).await
    }

    /// Tells the daemon to finish its requests and end.
    pub async fn drain(&self) -> Result<Status, OperatorError> {
        self.ask(Method::POST, "/drain", None::<&()>).await
    }
}
