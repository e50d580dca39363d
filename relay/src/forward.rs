//! A caller's request, buffered so that it can be sent again.

use crate::refusal::Refusal;
use crate::wire::{Outgoing, RequestInfo, Wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use magnoliawinch::names::ServiceName;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::rendezvous;
use magnoliawinch::route_table::{Organisation, Route};
use magnoliawinch::time::Millis;
use magnoliawinch_http::{BudgetShare, BufferedBody};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Hop-by-hop headers, except `Keep-Alive`.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Hop-by-hop header without a constant in `hyper`.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS).chain([&KEEP_ALIVE]) {
        headers.remove(name);
    }
}

/// A caller's request with its route and limits.
#[derive(Debug)]
pub(crate) struct Forward {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) info: RequestInfo,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// Whether the service has a pool of engines.
    pub(crate) is_pooled: bool,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived_at: Instant,
    /// When the complete response is due.
    pub(crate) deadline: Instant,
    /// What equal requests of one organisation share.
    pub(crate) fingerprint: Fingerprint,
    /// Whether it may have been sent to an upstream or to another host.
    pub(crate) may_be_sent: AtomicBool,
}

impl Forward {
    /// Notes that the request is about to be sent.
    pub(crate) fn note_sent(&self) {
        self.may_be_sent.store(true, Ordering::Relaxed);
    }

    /// Time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn remaining_ms(&self) -> Millis {
        Millis(self.remaining().as_millis() as u64)
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.arrived_at.elapsed().as_millis() as u64
    }

    /// Name of the organisation; empty if there is none.
    pub(crate) fn organisation_name(&self) -> &str {
        self.organisation.as_ref().map_or("", |organisation| organisation.name.as_str())
    }

    /// Priority of the organisation if set, otherwise of the route.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Builds the request for an upstream.
    pub(crate) fn request<W: Wire>(&self, wire: &W, out: &Outgoing<'_>) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = wire.request_headers(&self.headers, out);
        req
    }
}

/// Fingerprint that equal requests of one organisation share.
pub(crate) fn fingerprint(
    organisation: Option<&Organisation>,
    route: &Route,
    method: &Method,
    uri: &Uri,
    body: &[u8],
) -> Fingerprint {
    let digest = rendezvous::hash_bytes(body).to_string();
    let organisation = organisation.map_or("", |organisation| organisation.name.as_str());
    Fingerprint::new(organisation, &route.host, &format!("{method} {uri}"), &digest)
}

/// Method, URI without scheme and host, and headers to forward.
pub(crate) fn forwarded_parts(parts: Parts) -> (Method, Uri, HeaderMap) {
    let mut headers = parts.headers;
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let path = parts.uri.path_and_query().cloned();
    let uri = path.map_or_else(|| parts.uri.clone(), Uri::from);
    (parts.method, uri, headers)
}

/// Size of the headers in HTTP/1.1, in bytes.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    // Colon, space and CRLF.
    const FIELD_OVERHEAD_BYTES: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES)
        .sum()
}

/// Reads a body of at most `max_bytes` before the deadline; it takes its memory from `share`.
pub(crate) async fn read_body<B>(
    body: B,
    max_bytes: usize,
    share: BudgetShare,
    deadline: Instant,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>,
{
    let mut body = pin!(body);
    let mut received = BufferedBody::new(share);
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => {
                let e: Box<dyn std::error::Error + Send + Sync> = e.into();
                return Err(Refusal::BadRequest(format!("failed to read the body: {e}")));
            }
            Ok(None) => return Ok(received.freeze()),
            Err(_) => return Err(Refusal::NotSentInTime),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > max_bytes {
            return Err(Refusal::BodyTooLarge);
        }
        if let Err(e) = received.push(&data, max_bytes) {
            log::debug!("{e}");
            return Err(Refusal::NoMemory);
        }
    }
}
