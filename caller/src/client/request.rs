//! Requests with callers' headers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request};

#[derive(Debug)]
pub(super) struct Builder {
    req: Request<Full<Bytes>>,
}

impl Builder {
    pub(super) fn new(method: Method, path: &str, bearer_key: &str, body: Bytes) -> Self {
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().unwrap_or_default();
        let headers = req.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("magnoliawinch"));
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {bearer_key}")) {
            headers.insert(AUTHORIZATION, value);
        }
        Self { req }
    }

    pub(super) fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.req.headers_mut().insert(HeaderName::from_static(name), value);
        }
        self
    }

    pub(super) fn build(self) -> Request<Full<Bytes>> {
        self.req
    }
}
