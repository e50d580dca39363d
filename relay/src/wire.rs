//! What the relay needs to know of requests and answers, whatever they look like on the wire.

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use magnoliawinch::balance::Load;
use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::time::Millis;
use std::net::SocketAddr;
use thiserror::Error;

/// What a caller's request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The attempt, unique among all requests.
    pub run: RunId,
    /// The host that it is addressed to.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// Present for model engines.
    pub prompt: Option<Prompt>,
}

/// What a request says of its prompt and answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// The most tokens of the answer.
    pub max_answer_tokens: u32,
}

/// A request that cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("header \"{header}\" is {problem}")]
pub struct InvalidHeader {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// Goes on with a run from a copy of its memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// The engine under whose address the copy is known.
    pub address: SocketAddr,
    /// The copy's name there.
    pub handle: String,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the relay adds to a request for an upstream.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// The upstream that is meant.
    pub upstream: &'a UpstreamName,
    /// The organisation whose key the caller showed.
    pub organisation: Option<&'a str>,
    /// Time that the upstream has.
    pub remaining: Millis,
    /// The engine that keeps a copy of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Where to go on from.
    pub resume: Option<&'a Resume>,
}

/// What an upstream's answer says besides its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The attempt that it answers.
    pub run: Option<RunId>,
    /// Whether the upstream signed it.
    pub is_sealed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is the upstream's own bytes.
    pub is_unencoded: bool,
    /// The upstream's load.
    pub load: Option<Load>,
}

/// A copy of a run's memory at another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// Its name.
    pub handle: String,
    /// Events that the run had written when it was taken.
    pub events: u64,
}

/// Why a run's memory was not copied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CopyRefusal {
    /// The engine has no such run; it may have ended.
    #[error("the engine has no such run")]
    NoRun,
    /// Another copy of it is in progress.
    #[error("a copy is in progress")]
    Busy,
    /// There is no room, or the other engine cannot be reached. A run that was stopped can go on
    /// from `kept` at the engine where it ran.
    #[error("the other engine has no room or cannot be reached")]
    NoRoom {
        /// What the engine kept.
        kept: Option<String>,
    },
    /// The answer cannot be used.
    #[error("answer {status} cannot be used")]
    Other {
        /// Its status.
        status: StatusCode,
    },
}

/// Translates between requests of the relay and those of one platform.
pub trait Wire: Send + Sync + 'static {
    /// Reads a caller's request.
    fn parse_request(&self, req: &Parts) -> Result<RequestInfo, InvalidHeader>;

    /// The headers of a request for an upstream; `caller` are the caller's own, without those that
    /// concern one connection.
    fn request_headers(&self, caller: &HeaderMap, out: &Outgoing<'_>) -> HeaderMap;

    /// Reads the headers of an upstream's answer.
    fn parse_response_headers(&self, headers: &HeaderMap) -> ResponseInfo;

    /// Asks the engine of `run` to copy its memory to `to`; with `last` the run stops first.
    fn copy_request(&self, run: &RunId, to: SocketAddr, is_final: bool) -> Request<Full<Bytes>>;

    /// Reads the answer to a copy request.
    fn parse_copy_response(&self, status: StatusCode, body: &[u8]) -> Result<RunCopy, CopyRefusal>;

    /// A request that any engine answers at once while it lives.
    fn health_check_request(&self) -> Request<Full<Bytes>>;
}
