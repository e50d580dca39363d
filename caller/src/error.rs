//! Errors returned to callers.

use magnoliawinch::directory::HostAddress;
use magnoliawinch::verdict::Verdict;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// Error code; part of the stable API.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The request has no bearer key.
    NoKey,
    /// The bearer key is unknown.
    WrongKey,
    /// The organisation may not use the service.
    NotAllowed,
    /// The path, service, kind or generation does not exist for this bearer key.
    NotFound,
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the service allows.
    BodyTooLarge,
    /// The call needs an idempotency key.
    KeyRequired,
    /// The idempotency key was used with a different body.
    KeyReused,
    /// A call with the same idempotency key is in progress.
    InProgress,
    /// The upstreams have no free capacity before the request's deadline.
    Overloaded,
    /// No upstream is available.
    NoUpstream,
    /// The daemon has no configuration yet, or is about to stop.
    NotReady,
    /// The platform's log is unavailable, and the call must not run without it.
    LogUnavailable,
    /// Equal requests have crashed upstreams.
    Quarantined,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream crashed after part of the answer was delivered.
    Interrupted,
    /// The request's deadline has passed.
    DeadlineExceeded,
    /// The call ran, but its answer was not stored.
    AnswerNotKept,
    /// Internal error of the daemon.
    Internal,
}

impl Code {
    /// HTTP status of the code.
    pub fn status(self) -> u16 {
        match self {
            Self::NoKey | Self::WrongKey => 401,
            Self::NotAllowed => 403,
            Self::NotFound => 404,
            Self::BadRequest | Self::KeyRequired => 400,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::InProgress | Self::AnswerNotKept => 409,
            Self::Overloaded | Self::Quarantined => 429,
            Self::NoUpstream | Self::NotReady | Self::LogUnavailable => 503,
            Self::UpstreamFailed | Self::Interrupted => 502,
            Self::DeadlineExceeded => 504,
            Self::Internal => 500,
        }
    }
}

/// Body of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error code.
    pub code: Code,
    /// Human-readable description.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other hosts to use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostAddress>,
}

impl ErrorBody {
    /// Error of a request that did not run.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            hosts: Vec::new(),
        }
    }

    /// Sets whether the request may have run.
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict, ..self }
    }

    /// Sets the time after which to retry, in milliseconds.
    pub fn with_retry_after(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }
}
