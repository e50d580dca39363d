//! Answers that the stand-ins share.

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use magnoliawinch_http::{Body, full_body};

/// A refusal that says that no work was done.
pub fn not_run(status: StatusCode, draining: bool, reason: &str) -> Response<Body> {
    let mut response = status_response(status, reason);
    let headers = response.headers_mut();
    headers.insert("x-verdict", HeaderValue::from_static("not_run"));
    if draining {
        headers.insert("x-draining", HeaderValue::from_static("true"));
    }
    response
}

/// An answer with a status and a few words.
pub fn status_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// The value of `key` in a query string, as a number.
pub fn query_number(query: Option<&str>, key: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| *name == key).find_map(|(_, value)| value.parse().ok())
}
