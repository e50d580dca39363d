//! HTTP client whose errors tell whether the request may have run.

use crate::body_budget::{BodyBudget, BufferedBody};
use crate::path_faults::PathFaults;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::uri::{InvalidUri, PathAndQuery};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use magnoliawinch::verdict::Verdict;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout as with_timeout, timeout_at};

/// Default timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time up to which a connection is reused; an older one may have failed unnoticed.
const MAX_IDLE: Duration = Duration::from_millis(2_000);

/// Minimum idle time before a connection is reused under [`Reuse::Settled`]; stray data after a
/// response arrives within milliseconds.
const MIN_SETTLED_IDLE: Duration = Duration::from_millis(12);

const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Read buffer of a connection, which also limits the head of a response.
const MAX_READ_BUFFER_BYTES: usize = 65_536;

/// Limits for reading a body whose size does not allow for a time limit on the whole of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size.
    pub max_bytes: usize,
    /// Maximum time without any bytes.
    pub max_gap: Duration,
    /// Maximum time for all of it, for a server that goes on sending a few bytes at a time.
    pub max_total: Duration,
}

/// Which idle connections a request may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Recently used ones.
    Recent,
    /// Recently used ones that have been idle briefly. Stray data after a complete response closes
    /// an idle connection, but would be taken for the response to a request already using it.
    Settled,
    /// None; the request always uses a new connection.
    Never,
}

/// Why a request has no usable response.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection could not be opened.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// Server address.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
        /// Whether there was no response at all.
        timed_out: bool,
    },
    /// The request has an invalid path, and was not sent.
    #[error("invalid path \"{path}\" of a request: {reason}")]
    InvalidPath {
        /// The path.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The connection closed before the request was written.
    #[error("{address} closed the connection before the request was sent")]
    NotSent {
        /// Server address.
        address: SocketAddr,
    },
    /// The connection broke after the request was written.
    #[error("no response from {address}: {reason}")]
    NoResponse {
        /// Server address.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The connection broke within the body of the response.
    #[error("{address} broke off the body of its response: {reason}")]
    BodyBroken {
        /// Server address.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The request timed out.
    #[error("no response from {address} within {after:?}")]
    Timeout {
        /// Server address.
        address: SocketAddr,
        /// Time limit.
        after: Duration,
    },
    /// The request was given up before its response began.
    #[error("the request to {address} was withdrawn")]
    Withdrawn {
        /// Server address.
        address: SocketAddr,
    },
    /// The body of the response stopped arriving.
    #[error("{address} sent {received} bytes of a body, then nothing for {after:?}")]
    Stalled {
        /// Server address.
        address: SocketAddr,
        /// Bytes of the body received.
        received: usize,
        /// Time limit that was exceeded.
        after: Duration,
    },
    /// The response has an error status or an invalid body.
    #[error("response {status} from {address}: {reason}")]
    BadResponse {
        /// Server address.
        address: SocketAddr,
        /// Response status.
        status: StatusCode,
        /// Cause of the failure.
        reason: String,
    },
}

impl SendError {
    /// Whether the connection broke or fell silent after the request was sent, before the response was
    /// complete. The server may have ended.
    pub fn is_lost_connection(&self) -> bool {
        match self {
            Self::NoResponse { .. }
            | Self::BodyBroken { .. }
            | Self::Timeout { .. }
            | Self::Stalled { .. } => true,
            Self::Connect { .. }
            | Self::InvalidPath { .. }
            | Self::NotSent { .. }
            | Self::Withdrawn { .. }
            | Self::BadResponse { .. } => false,
        }
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::InvalidPath { .. } | Self::NotSent { .. } => {
                Verdict::NotRun
            }
            Self::NoResponse { .. }
            | Self::BodyBroken { .. }
            | Self::Timeout { .. }
            | Self::Withdrawn { .. }
            | Self::Stalled { .. }
            | Self::BadResponse { .. } => Verdict::MayHaveRun,
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// HTTP/1.1 client with a pool of recently used connections.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    connect_timeout: Duration,
    budget: BodyBudget,
    path_faults: PathFaults,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            idle: Arc::default(),
            connect_timeout: CONNECT_TIMEOUT,
            budget: BodyBudget::default(),
            path_faults: PathFaults::default(),
        }
    }

    /// Sets the connect timeout.
    pub fn with_connect_timeout(self, timeout: Duration) -> Self {
        Self { connect_timeout: timeout, ..self }
    }

    /// Sets the memory that the bodies being read share.
    pub fn with_body_budget(self, budget: BodyBudget) -> Self {
        Self { budget, ..self }
    }

    /// Faults on the paths to servers, for tests.
    pub fn path_faults(&self) -> &PathFaults {
        &self.path_faults
    }

    /// The memory that the bodies being read share.
    pub fn body_budget(&self) -> &BodyBudget {
        &self.budget
    }

    /// Sends a request and waits up to `timeout` for the head of the response.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<ClientResponse, SendError> {
        let deadline = Instant::now() + timeout;
        let timed_out = |_| SendError::Timeout { address, after: timeout };
        let mut req = req;
        if reuse != Reuse::Never {
            let min_idle = if reuse == Reuse::Settled { MIN_SETTLED_IDLE } else { Duration::ZERO };
            while let Some(mut sender) = self.take_idle(address, min_idle) {
                let sent = timeout_at(deadline, sender.try_send_request(req)).await;
                match sent.map_err(timed_out)? {
                    Ok(response) => return Ok(self.response(address, response, sender)),
                    Err(mut e) => match e.take_message() {
                        Some(unsent) => req = unsent,
                        None => return Err(no_response(address, &e.into_error())),
                    },
                }
            }
        }
        // Apart from the time limit of the request, which has not run if no connection opens.
        let left = deadline.saturating_duration_since(Instant::now());
        let mut sender = self.connect(address, self.connect_timeout.min(left)).await?;
        let sent = timeout_at(deadline, sender.try_send_request(req)).await;
        match sent.map_err(timed_out)? {
            Ok(response) => Ok(self.response(address, response, sender)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent { address }),
                None => Err(no_response(address, &e.into_error())),
            },
        }
    }

    fn response(
        &self,
        address: SocketAddr,
        response: Response<Incoming>,
        sender: Sender,
    ) -> ClientResponse {
        ClientResponse { response, sender, address, client: self.clone() }
    }

    fn take_idle(&self, address: SocketAddr, min_idle: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        list.retain(|idle| idle.since.elapsed() < MAX_IDLE && idle.sender.is_ready());
        let index = list.iter().rposition(|idle| idle.since.elapsed() >= min_idle)?;
        Some(list.remove(index).sender)
    }

    fn keep_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(address).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(IdleConnection { sender, since: Instant::now() });
        }
    }

    /// Opens a connection and closes it.
    pub async fn probe(&self, address: SocketAddr) -> io::Result<()> {
        let opened = with_timeout(self.connect_timeout, self.open(address)).await;
        opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?.map(drop)
    }

    async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        self.path_faults.open(address).await?;
        TcpStream::connect(address).await
    }

    async fn connect(&self, address: SocketAddr, timeout: Duration) -> Result<Sender, SendError> {
        let connect_error =
            |reason: String| SendError::Connect { address, reason, timed_out: false };
        let stream = match with_timeout(timeout, self.open(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(connect_error(e.to_string())),
            Err(_) => {
                let reason = format!("no response within {timeout:?}");
                return Err(SendError::Connect { address, reason, timed_out: true });
            }
        };
        stream.set_nodelay(true).map_err(|e| connect_error(e.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| connect_error(e.to_string()))?;
        let path_faults = self.path_faults.clone();
        tokio::spawn(async move {
            // Its error reaches the request in progress.
            let connection = async { drop(connection.await) };
            path_faults.drive(address, connection).await;
        });
        Ok(sender)
    }

    /// Sends `body` as JSON and reads a JSON response of at most `max_bytes`, all within `timeout`.
    pub async fn json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<T, SendError> {
        let req = json_request(method, parse_path(path)?, body);
        let exchange = async {
            let response = self.send(address, req, Reuse::Recent, timeout).await?;
            response.json(max_bytes).await
        };
        match with_timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(SendError::Timeout { address, after: timeout }),
        }
    }
}

/// The path and query of a request.
pub fn parse_path(path: &str) -> Result<PathAndQuery, SendError> {
    let parsed = path.parse();
    parsed.map_err(|e: InvalidUri| SendError::InvalidPath {
        path: path.to_owned(),
        reason: e.to_string(),
    })
}

/// A request with a JSON body, or without a body.
pub fn json_request(
    method: Method,
    path: PathAndQuery,
    body: Option<&impl Serialize>,
) -> Request<Full<Bytes>> {
    let bytes = body.map(|b| serde_json::to_vec(b).unwrap_or_default()).unwrap_or_default();
    let mut req = Request::new(Full::new(Bytes::from(bytes)));
    (*req.method_mut(), *req.uri_mut()) = (method, path.into());
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::from_static("magnoliawinch"));
    if body.is_some() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    req
}

fn no_response(address: SocketAddr, e: &hyper::Error) -> SendError {
    SendError::NoResponse { address, reason: e.to_string() }
}

/// Whether a response has a length or is chunked, so that its end is distinguishable from a lost
/// connection.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH)
}

/// Whether the end of the body of a response to a request with this method is distinguishable from a lost
/// connection: the body is framed, or there is none.
pub fn has_known_end(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    *method == Method::HEAD || has_no_body || is_framed(headers)
}

/// A response with an unread body.
#[derive(Debug)]
pub struct ClientResponse {
    response: Response<Incoming>,
    sender: Sender,
    address: SocketAddr,
    client: Client,
}

impl ClientResponse {
    /// Response status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// A header; `None` if absent or not ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// Response headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    fn closes_connection(&self) -> bool {
        let value = self.header(CONNECTION.as_str());
        value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }

    /// Server address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Streams the body; the connection is not reused.
    pub fn into_body(self) -> Body {
        Body { incoming: self.response.into_body(), _sender: self.sender }
    }

    /// Reads the whole body of at most `max_bytes` and returns the connection to the pool.
    pub async fn bytes(self, max_bytes: usize) -> Result<Bytes, SendError> {
        let unlimited = Duration::MAX;
        self.bytes_within(BodyLimits { max_bytes, max_gap: unlimited, max_total: unlimited }).await
    }

    /// Reads the whole body for as long as it goes on arriving, and returns the connection to the
    /// pool.
    pub async fn bytes_within(mut self, limits: BodyLimits) -> Result<Bytes, SendError> {
        let (status, address) = (self.status(), self.address);
        let closes_connection = self.closes_connection();
        let bad_response = |reason: String| SendError::BadResponse { address, status, reason };
        let too_large = || bad_response(format!("more than {} bytes", limits.max_bytes));
        let mut received = BufferedBody::new(self.client.budget.share());
        let body = self.response.body_mut();
        if body.size_hint().lower() > limits.max_bytes as u64 {
            return Err(too_large());
        }
        let started_at = Instant::now();
        loop {
            let left = limits.max_total.saturating_sub(started_at.elapsed());
            let frame = match with_timeout(left.min(limits.max_gap), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => {
                    return Err(SendError::BodyBroken { address, reason: e.to_string() });
                }
                Ok(None) => break,
                Err(_) => {
                    let is_over = left < limits.max_gap;
                    let after = if is_over { limits.max_total } else { limits.max_gap };
                    return Err(SendError::Stalled { address, received: received.len(), after });
                }
            };
            if let Ok(data) = frame.into_data() {
                if received.len() + data.len() > limits.max_bytes {
                    return Err(too_large());
                }
                let pushed = received.push(&data, limits.max_bytes);
                pushed.map_err(|e| bad_response(e.to_string()))?;
            }
        }
        if !closes_connection {
            self.client.keep_idle(address, self.sender);
        }
        Ok(received.freeze())
    }

    /// Reads a JSON body of at most `max_bytes`; fails without a success status.
    pub async fn json<T: DeserializeOwned>(self, max_bytes: usize) -> Result<T, SendError> {
        let status = self.status();
        let address = self.address;
        let bad_response = |reason: String| SendError::BadResponse { address, status, reason };
        let bytes = self.bytes(max_bytes).await?;
        if !status.is_success() {
            return Err(bad_response(String::from_utf8_lossy(&bytes).into_owned()));
        }
        serde_json::from_slice(&bytes).map_err(|e| bad_response(e.to_string()))
    }
}

/// Streamed response body; dropping it closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    _sender: Sender,
}

impl Body {
    /// The next chunk; `None` at the end.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.incoming.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(e) => return Some(Err(e)),
            }
        }
    }
}
