//! Answers that the relay gives itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use magnoliawinch::time::Millis;
use strum::IntoStaticStr;

/// Why a caller gets no answer of an upstream. The statuses 429 and 503 promise that the request
/// has not run and will not.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No configuration is known yet.
    NotReady,
    /// The daemon stops.
    Leaving,
    /// The request cannot be understood.
    BadRequest(String),
    /// The key is unknown.
    UnknownKey,
    /// No route fits.
    NoRoute,
    /// The headers are larger than allowed.
    HeadersTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// No upstream has room; the caller may come back after this time.
    Overloaded(Millis),
    /// The request crashed upstreams before.
    Quarantined(Millis),
    /// Time ran out before it was sent.
    NotSentInTime,
    /// It may have run, and no answer came in time.
    TimedOut,
    /// It may have run, and its answer is lost.
    Lost(String),
}

/// Time after which a caller may come back to another host, or to this one once it is ready.
const LEAVING_RETRY_AFTER: Millis = Millis(100);

/// Time after which a caller may come back that a daemon without configuration refused: a daemon
/// that has just started has one within about a second, and most callers come back only once.
const NOT_READY_RETRY_AFTER: Millis = Millis(1_000);

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl Refusal {
    /// The status.
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
            | Self::Overloaded(_)
            | Self::Quarantined(_)
            | Self::NotSentInTime => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When the caller may come back.
    pub fn retry_after(&self) -> Option<Millis> {
        match self {
            Self::NotReady => Some(NOT_READY_RETRY_AFTER),
            Self::Leaving => Some(LEAVING_RETRY_AFTER),
            Self::Overloaded(wait) | Self::Quarantined(wait) => Some(*wait),
            _ => None,
        }
    }

    /// The answer.
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
