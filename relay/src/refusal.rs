//! Error responses that the relay itself generates.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use magnoliawinch::prompt_parts::PartId;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::time::{Millis, Time};
use std::collections::BTreeMap;
use std::fmt;
use strum::IntoStaticStr;

/// Why a caller gets no response from an upstream. The statuses 429 and 503 guarantee that the
/// request has not run and will not run.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No configuration is in force yet.
    NotReady,
    /// The daemon is leaving.
    Leaving,
    /// The request is malformed.
    BadRequest(String),
    /// The route requires a key; the request has none or an unknown one.
    UnknownKey,
    /// No route matches the host and path.
    NoRoute,
    /// The headers are larger than allowed.
    HeadersTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// Bodies of other requests take the memory that this one needs.
    NoMemory,
    /// No upstream has capacity; the caller may retry after this time.
    Overloaded(Millis),
    /// This host reaches no upstream of the service, and the request was carried to it by another one.
    CutOff,
    /// Upstreams have ended under such requests.
    Quarantined(Quarantined),
    /// The deadline passed before the request was sent.
    NotSentInTime,
    /// The request may have run, and the deadline passed without a response.
    TimedOut,
    /// The request may have run, and its response is lost.
    Lost(String),
}

/// The quarantine of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Time after which the caller may retry.
    pub left: Millis,
    /// What is refused.
    pub culprit: Culprit,
}

/// What requests have in common under which upstreams have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Culprit {
    /// The requests are equal.
    Fingerprint(Fingerprint),
    /// A part of their prompts.
    Part(PartId),
}

impl fmt::Display for Culprit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fingerprint(fingerprint) => write!(f, "fingerprint {}", fingerprint.0),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}

/// All that a daemon refuses, and until when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Refused(BTreeMap<Culprit, Time>);

impl FromIterator<(Culprit, Time)> for Refused {
    fn from_iter<I: IntoIterator<Item = (Culprit, Time)>>(refused: I) -> Self {
        Self(refused.into_iter().collect())
    }
}

/// Retry delay for a caller of a daemon that is leaving; short, as other hosts accept requests.
const LEAVING_RETRY_AFTER: Millis = Millis(100);

/// Retry delay for a caller whose request finds no memory: some requests have ended by then.
const NO_MEMORY_RETRY_AFTER: Millis = Millis(200);

/// Retry delay for a caller of a daemon without a configuration: a daemon gets one within about a
/// second of its start, and most callers retry only once.
const NOT_READY_RETRY_AFTER: Millis = Millis(1_000);

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl Refusal {
    /// HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost(_) => StatusCode::BAD_GATEWAY,
            Self::NotReady
            | Self::Leaving
            | Self::NoMemory
            | Self::Overloaded(_)
            | Self::CutOff
            | Self::Quarantined(_)
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether another host may serve the request, which has not run.
    pub(crate) fn is_of_this_host(&self) -> bool {
        matches!(self, Self::NotReady | Self::Leaving | Self::NoMemory | Self::CutOff)
    }

    /// Whether the status guarantees that the request has not run.
    pub(crate) fn is_not_run(&self) -> bool {
        let status = self.status();
        status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error()
    }

    /// Time after which the caller may retry, if it is known.
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            Self::NotReady => Some(NOT_READY_RETRY_AFTER),
            Self::Leaving => Some(LEAVING_RETRY_AFTER),
            Self::NoMemory => Some(NO_MEMORY_RETRY_AFTER),
            Self::Overloaded(wait) | Self::Quarantined(Quarantined { left: wait, .. }) => {
                Some(*wait)
            }
            _ => None,
        }
    }

    /// The response, with the name of the refusal as its body.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let name: &'static str = self.into();
        let mut response = Response::new(Full::new(Bytes::from_static(name.as_bytes())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(Millis(ms)) = self.retry_after() {
            let seconds = format!("{:.3}", ms as f64 / MILLIS_PER_SECOND);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
