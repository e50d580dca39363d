//! The parts of requests and responses that the relay uses, independent of their wire format.

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use magnoliawinch::balance::Load;
use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::prompt_parts::PromptParts;
use magnoliawinch::time::Millis;
use magnoliawinch_http::SendError;
use std::net::SocketAddr;
use thiserror::Error;

/// The headers of a caller's request that the relay uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// Attempt id, unique among all requests.
    pub run: RunId,
    /// Host that the request is addressed to.
    pub host: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Millis>,
    /// Token counts; present in requests for model engines.
    pub prompt: Option<Prompt>,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: PromptParts,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens in the prompt.
    pub tokens: u32,
    /// Maximum tokens to generate.
    pub max_answer_tokens: u32,
    /// Digest of the whole prompt, as far as the headers tell it.
    pub digest: u64,
}

/// A request header is missing or malformed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("header \"{header}\" is {problem}")]
pub struct InvalidHeader {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with it, as in "missing".
    pub problem: &'static str,
}

/// Tells an engine to continue a run from a copy of its memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resume {
    /// Address of the engine under which the copy is registered.
    pub address: SocketAddr,
    /// Handle of the copy.
    pub handle: String,
    /// Id of the last event that the caller received; `None` if there is none.
    pub last_event: Option<u64>,
}

/// What the relay adds to a request to an upstream.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Upstream that the request is addressed to.
    pub upstream: &'a UpstreamName,
    /// Name of the caller's organisation, if it is known.
    pub organisation: Option<&'a str>,
    /// Time left for the response.
    pub remaining: Millis,
    /// Address of the engine that keeps a copy of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Copy to continue from.
    pub resume: Option<&'a Resume>,
}

/// The headers of an upstream's response that the relay uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the attempt that it responds to.
    pub run: Option<RunId>,
    /// Whether it has the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has no content encoding.
    pub is_unencoded: bool,
    /// The upstream's load, if reported.
    pub load: Option<Load>,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// How long the upstream wants no requests of this daemon, if it has refused this one.
    pub retry_after: Option<Millis>,
    /// Requests a second that the upstream takes from all daemons together, if it names a limit.
    pub limit_per_second: Option<f64>,
    /// Requests that the upstream may turn away in a second without ending, if it is brittle.
    pub max_rejections: Option<u32>,
}

/// What the process that responds to a health check states about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessInfo {
    /// Its name, if stated.
    pub name: Option<UpstreamName>,
    /// When it started, in milliseconds since 1970 by its own clock, if stated.
    pub born: Option<u64>,
}

/// A copy of a run's memory at another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// Handle of the copy.
    pub handle: String,
    /// Number of events that the run had written when the copy was made.
    pub events: u64,
}

/// Why an engine did not copy a run's memory.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CopyRefusal {
    /// The engine does not have the run, which may have ended.
    #[error("the engine has no such run")]
    NoRun,
    /// Another copy of the run is in progress.
    #[error("a copy is in progress")]
    Busy,
    /// The target engine has no capacity or is unreachable. A run that was stopped can continue
    /// from `kept` at its engine.
    #[error("the target engine has no capacity or is unreachable")]
    TargetUnavailable {
        /// Handle of the copy that the engine of the run keeps.
        kept: Option<String>,
    },
    /// The response has an unexpected status or content.
    #[error("unexpected response with status {status}")]
    Other {
        /// Status of the response.
        status: StatusCode,
    },
}

/// The wire format of a platform's requests and responses.
pub trait Wire: Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    fn parse_request(&self, req: &Parts) -> Result<RequestInfo, InvalidHeader>;

    /// Builds the headers of a request to an upstream; `caller` are the caller's headers without
    /// hop-by-hop headers.
    fn request_headers(&self, caller: &HeaderMap, out: &Outgoing<'_>) -> HeaderMap;

    /// Parses the headers of an upstream's response.
    fn parse_response_headers(&self, headers: &HeaderMap) -> ResponseInfo;

    /// Removes what an upstream states to this daemon alone from headers for a caller.
    fn remove_statements(&self, headers: &mut HeaderMap);

    /// A request to the engine of `run` to copy its memory to the engine at `to`; with `is_final`
    /// the run stops first.
    fn copy_request(&self, run: &RunId, to: SocketAddr, is_final: bool) -> Request<Full<Bytes>>;

    /// A request to the engine that made a copy to drop it at both engines.
    fn drop_copy_request(&self, handle: &str) -> Result<Request<Full<Bytes>>, SendError>;

    /// Parses the response to a copy request.
    fn parse_copy_response(&self, status: StatusCode, body: &[u8]) -> Result<RunCopy, CopyRefusal>;

    /// A request to which any engine that is alive responds at once.
    fn health_check_request(&self) -> Request<Full<Bytes>>;

    /// Parses the response to a health check, or to a request for the load.
    fn parse_process(&self, headers: &HeaderMap, body: &[u8]) -> ProcessInfo;

    /// Builds a request for the current load of an upstream with health checks at `path`.
    fn load_request(&self, path: &str) -> Result<Request<Full<Bytes>>, SendError>;
}
