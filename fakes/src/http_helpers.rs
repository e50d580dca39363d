//! HTTP helpers shared by the fakes.

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use magnoliawinch_http::{Body, full_body};

/// Builds a refusal of a request that did not run. With `draining`, it also announces that the
/// server is leaving.
pub fn not_run_response(status: StatusCode, draining: bool, reason: &str) -> Response<Body> {
    let mut response = status_response(status, reason);
    let headers = response.headers_mut();
    headers.insert("x-verdict", HeaderValue::from_static("not_run"));
    if draining {
        headers.insert("x-draining", HeaderValue::from_static("true"));
    }
    response
}

/// Builds a plain text response.
pub fn status_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Returns the first numeric value of parameter `key` in a query string.
pub fn query_number(query: Option<&str>, key: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| *name == key).find_map(|(_, value)| value.parse().ok())
}
