//! A client whose errors say whether the request may have run.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use magnoliawinch::verdict::Verdict;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Age since its last use up to which an idle connection is used again; an older one may have
/// gone silent unnoticed.
const MAX_IDLE: Duration = Duration::from_millis(2_000);

/// Time for a stray answer to arrive on a connection; stray answers follow within milliseconds.
const SETTLE: Duration = Duration::from_millis(12);

/// Idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Whether an idle connection may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// One that was used a moment ago may.
    Recent,
    /// As `Recent`, but not at once: what an upstream sends after a whole answer belongs to no
    /// request, and closes the connection if it is not in use.
    Settled,
    /// Only a new connection may.
    Never,
}

/// Why a request has no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection could not be opened.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The connection closed before the request was written.
    #[error("{address} closed the connection before the request was sent")]
    NotSent {
        /// The address.
        address: SocketAddr,
    },
    /// The connection broke after the request was written.
    #[error("no answer from {address}: {reason}")]
    NoAnswer {
        /// The address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The time for the answer was over.
    #[error("no answer from {address} within {after:?}")]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// The bound.
        after: Duration,
    },
    /// The answer cannot be used.
    #[error("{address} answered {status}: {reason}")]
    BadAnswer {
        /// The address.
        address: SocketAddr,
        /// Its status.
        status: StatusCode,
        /// What is wrong.
        reason: String,
    },
}

impl SendError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::NotSent { .. } => Verdict::NotRun,
            Self::NoAnswer { .. } | Self::Timeout { .. } | Self::BadAnswer { .. } => {
                Verdict::MayHaveRun
            }
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Opens connections and keeps the recently used ones.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    connect_timeout: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Self {
        Self { idle: Arc::default(), connect_timeout: CONNECT_TIMEOUT }
    }

    /// Gives up on a connection that is not open after `limit`.
    pub fn with_connect_timeout(self, limit: Duration) -> Self {
        Self { connect_timeout: limit, ..self }
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Reply, SendError> {
        let attempt = self.attempt(address, req, reuse);
        match timeout(limit, attempt).await {
            Ok(result) => result,
            Err(_) => Err(SendError::Timeout { address, after: limit }),
        }
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Reply, SendError> {
        let mut req = req;
        if reuse != Reuse::Never {
            let settle = if reuse == Reuse::Settled { SETTLE } else { Duration::ZERO };
            while let Some(mut sender) = self.take_idle(address, settle) {
                match sender.try_send_request(req).await {
                    Ok(response) => return Ok(self.reply(address, response, sender)),
                    Err(mut e) => match e.take_message() {
                        Some(unsent) => req = unsent,
                        None => return Err(no_answer(address, &e.into_error())),
                    },
                }
            }
        }
        let mut sender = connect(address, self.connect_timeout).await?;
        match sender.try_send_request(req).await {
            Ok(response) => Ok(self.reply(address, response, sender)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent { address }),
                None => Err(no_answer(address, &e.into_error())),
            },
        }
    }

    fn reply(&self, address: SocketAddr, response: Response<Incoming>, sender: Sender) -> Reply {
        Reply { response, sender, address, client: self.clone() }
    }

    fn take_idle(&self, address: SocketAddr, settle: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        list.retain(|idle| idle.since.elapsed() < MAX_IDLE && idle.sender.is_ready());
        let place = list.iter().rposition(|idle| idle.since.elapsed() >= settle)?;
        Some(list.remove(place).sender)
    }

    fn keep_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(address).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(Idle { sender, since: Instant::now() });
        }
    }

    /// Sends `body` as JSON and reads a JSON answer of at most `max_bytes`.
    pub async fn json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<T, SendError> {
        let req = json_request(method, path, body);
        let whole = async {
            let reply = self.send(address, req, Reuse::Recent, limit).await?;
            reply.json(max_bytes).await
        };
        match timeout(limit, whole).await {
            Ok(result) => result,
            Err(_) => Err(SendError::Timeout { address, after: limit }),
        }
    }
}

/// A request with a JSON body, or none.
pub fn json_request(
    method: Method,
    path: &str,
    body: Option<&impl Serialize>,
) -> Request<Full<Bytes>> {
    let bytes = body.map(|b| serde_json::to_vec(b).unwrap_or_default()).unwrap_or_default();
    let mut builder = Request::builder().method(method).uri(path).header("host", "magnoliawinch");
    if body.is_some() {
        builder = builder.header("content-type", "application/json");
    }
    builder.body(Full::new(Bytes::from(bytes))).unwrap_or_default()
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Sender, SendError> {
    let failed = |reason: String| SendError::Connect { address, reason };
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(failed(e.to_string())),
        Err(_) => return Err(failed(format!("no answer within {limit:?}"))),
    };
    stream.set_nodelay(true).map_err(|e| failed(e.to_string()))?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| failed(e.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}

fn no_answer(address: SocketAddr, e: &hyper::Error) -> SendError {
    SendError::NoAnswer { address, reason: e.to_string() }
}

/// An answer whose body has not been read.
#[derive(Debug)]
pub struct Reply {
    response: Response<Incoming>,
    sender: Sender,
    address: SocketAddr,
    client: Client,
}

impl Reply {
    /// The answer's status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// A header of the answer, when it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// The headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Whether the upstream closes the connection after this answer.
    fn closes(&self) -> bool {
        let value = self.header(CONNECTION.as_str());
        value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }

    /// The address that answered.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The body, to be read as it arrives; the connection is not used again.
    pub fn into_body(self) -> Body {
        Body { incoming: self.response.into_body(), _sender: self.sender }
    }

    /// Reads the whole body of at most `max_bytes` and keeps the connection.
    pub async fn bytes(self, max_bytes: usize) -> Result<Bytes, SendError> {
        let status = self.status();
        let address = self.address;
        let closes = self.closes();
        let bad = |reason: String| SendError::BadAnswer { address, status, reason };
        let limited = Limited::new(self.response.into_body(), max_bytes);
        let bytes = limited.collect().await.map_err(|e| bad(e.to_string()))?.to_bytes();
        if !closes {
            self.client.keep_idle(address, self.sender);
        }
        Ok(bytes)
    }

    /// Reads a JSON body of at most `max_bytes` from a successful answer.
    pub async fn json<T: DeserializeOwned>(self, max_bytes: usize) -> Result<T, SendError> {
        let status = self.status();
        let address = self.address;
        let bad = |reason: String| SendError::BadAnswer { address, status, reason };
        let bytes = self.bytes(max_bytes).await?;
        if !status.is_success() {
            return Err(bad(String::from_utf8_lossy(&bytes).into_owned()));
        }
        serde_json::from_slice(&bytes).map_err(|e| bad(e.to_string()))
    }
}

/// A body that is read as it arrives; dropping it closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    _sender: Sender,
}

impl Body {
    /// The next piece; `None` at the end.
    pub async fn piece(&mut self) -> Option<Result<Bytes, hyper::Error>> {
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
