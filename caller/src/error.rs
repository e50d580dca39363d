//! Errors as callers see them.

use magnoliawinch::directory::HostAddress;
use magnoliawinch::verdict::Verdict;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// What went wrong; the codes are stable.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// The request has no bearer key.
    NoKey,
    /// The bearer key is not known.
    WrongKey,
    /// The organisation may not use the service.
    NotAllowed,
    /// The path, service, kind or generation does not exist for this organisation.
    NotFound,
    /// The request cannot be read.
    BadRequest,
    /// The body is larger than the service allows.
    BodyTooLarge,
    /// The call needs an idempotency key.
    KeyRequired,
    /// The idempotency key was used with another body.
    KeyReused,
    /// A call with the same idempotency key is in progress.
    InProgress,
    /// The upstreams have no room before the request's time is over.
    Overloaded,
    /// No upstream can be used.
    NoUpstream,
    /// The daemon has no configuration yet.
    NotReady,
    /// The platform's log cannot be reached, and the call must not run without it.
    LogUnavailable,
    /// The request crashed upstreams before.
    Quarantined,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream died after a part of the answer was released.
    Interrupted,
    /// The request's time is over.
    DeadlineExceeded,
    /// The call ran, but its answer is not kept.
    AnswerNotKept,
    /// The daemon failed.
    Internal,
}

impl Code {
    /// The HTTP status of the code.
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

/// The body of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub code: Code,
    /// The same for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostAddress>,
}

impl ErrorBody {
    /// An error of a request that did not run.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            hosts: Vec::new(),
        }
    }

    /// The same error with what is known about the request.
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict, ..self }
    }

    /// The same error with a time to come back.
    pub fn with_retry_after(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }
}
