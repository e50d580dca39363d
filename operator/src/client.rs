//! Client of the administration API.

use crate::{ErrorBody, Explanation, InForce, Publish, Published, ServiceInForce, Status};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Method, Request, StatusCode};
use magnoliawinch::catalogue::{Change, Offset};
use magnoliawinch_http::client::{json_request, parse_path};
use magnoliawinch_http::{Client, Reuse, SendError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Request timeout; publishing waits for the log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

const MAX_RESPONSE_BYTES: usize = 16_777_216;

/// Error of a request to the administration API.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// Sending failed or no valid response arrived.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The daemon returned an error.
    #[error("{address} refused with status {status}: {message}")]
    Refused {
        /// Daemon address.
        address: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// Error message.
        message: String,
    },
}

/// Client of one daemon's administration API.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: Client,
    address: SocketAddr,
    key: String,
}

impl OperatorClient {
    /// Client of the daemon at `address` with bearer key `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { client: Client::new(), address, key: key.to_owned() }
    }

    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, OperatorError> {
        let mut req: Request<Full<Bytes>> = json_request(method, parse_path(path)?, body);
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.key)) {
            req.headers_mut().insert(AUTHORIZATION, value);
        }
        let response = self.client.send(self.address, req, Reuse::Recent, REQUEST_TIMEOUT).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response.json(MAX_RESPONSE_BYTES).await?);
        }
        let bytes = response.bytes(MAX_RESPONSE_BYTES).await?;
        let message = match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) => body.message,
            Err(_) => String::from_utf8_lossy(&bytes).into_owned(),
        };
        Err(OperatorError::Refused { address: self.address, status, message })
    }

    /// Fetches the daemon's state.
    pub async fn status(&self) -> Result<Status, OperatorError> {
        self.request(Method::GET, "/status", None::<&()>).await
    }

    /// Fetches service `name` as in force on the daemon.
    pub async fn service(&self, name: &str) -> Result<ServiceInForce, OperatorError> {
        self.request(Method::GET, &format!("/services/{name}"), None::<&()>).await
    }

    /// Publishes a change and waits until it is accepted or refused.
    pub async fn publish(&self, change: Change) -> Result<Published, OperatorError> {
        self.request(Method::POST, "/changes", Some(&Publish { change })).await
    }

    /// Fetches on which hosts a configuration offset is in force.
    pub async fn in_force(&self, offset: Offset) -> Result<InForce, OperatorError> {
        self.request(Method::GET, &format!("/in-force?offset={}", offset.0), None::<&()>).await
    }

    /// Fetches the logged decisions about a request.
    pub async fn explain(&self, request: &str) -> Result<Explanation, OperatorError> {
        self.request(Method::GET, &format!("/explain/{request}"), None::<&()>).await
    }

    /// Tells the daemon to finish requests in progress and exit; returns its current state.
    pub async fn drain(&self) -> Result<Status, OperatorError> {
        self.request(Method::POST, "/drain", None::<&()>).await
    }
}
