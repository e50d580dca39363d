//! The HTTP API for callers.

mod admission;
mod attempt;
mod auth;
mod calls;
mod generations;
mod job;
mod resume;
mod run;
mod stream;
mod suspects;
mod whole;

use crate::shared::Shared;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use magnoliawinch::directory;
use magnoliawinch::names::OrganisationName;
use magnoliawinch::time::Millis;
use magnoliawinch_caller::{Code, ErrorBody, GenerationId, REQUEST_ID};
use magnoliawinch_http::{Body, json_response};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Handles one request of a caller.
pub(crate) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let _in_progress = shared.track_request();
    let request_id = new_request_id(&shared);
    let result = route(&shared, &request_id, req).await;
    let mut response = result.unwrap_or_else(|error| error_response(&shared, error));
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    if shared.refuses_work() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn new_request_id(shared: &Shared) -> String {
    let number: u64 = shared.routing().rng.random();
    format!("{}-{number:016x}", shared.settings.host)
}

async fn route(
    shared: &Arc<Shared>,
    request_id: &str,
    req: Request<Incoming>,
) -> Result<Response<Body>, ErrorBody> {
    let path = req.uri().path().to_owned();
    let mut segments = path.trim_start_matches('/').split('/');
    let segments =
        [segments.next(), segments.next(), segments.next(), segments.next(), segments.next()];
    match (req.method(), segments) {
        (&Method::GET, [Some("v1"), Some("hosts"), None, ..]) => list_hosts(shared, &req),
        (&Method::POST, [Some("v1"), Some("generations"), Some(service), Some(kind), None]) => {
            accept_work(shared)?;
            generations::start(shared, request_id, service, kind, req).await
        }
        (&Method::GET, [Some("v1"), Some("generations"), Some(id), None, _]) => {
            accept_work(shared)?;
            resume::resume(shared, request_id, &parse_id(id)?, &req).await
        }
        (&Method::DELETE, [Some("v1"), Some("generations"), Some(id), None, _]) => {
            resume::cancel(shared, &parse_id(id)?, &req).await
        }
        (&Method::POST, [Some("v1"), Some("calls"), Some(service), Some(kind), None]) => {
            accept_work(shared)?;
            calls::call(shared, request_id, service, kind, req).await
        }
        _ => Err(not_found(&path)),
    }
}

/// Refuses new work if this daemon is about to stop.
fn accept_work(shared: &Shared) -> Result<(), ErrorBody> {
    match shared.refuses_work() {
        true => Err(ErrorBody::new(Code::NotReady, "this host is leaving; use another one")),
        false => Ok(()),
    }
}

fn not_found(path: &str) -> ErrorBody {
    ErrorBody::new(Code::NotFound, format!("path \"{path}\" does not exist"))
}

fn parse_id(text: &str) -> Result<GenerationId, ErrorBody> {
    text.parse().map_err(|_| unknown_generation(text))
}

/// Error for a generation that does not exist or was started with another key; the caller cannot
/// tell which.
fn unknown_generation(text: &str) -> ErrorBody {
    ErrorBody::new(Code::NotFound, format!("generation \"{text}\" does not exist"))
}

/// Handles `GET /v1/hosts`: returns the hosts that the caller should use.
fn list_hosts(shared: &Shared, req: &Request<Incoming>) -> Result<Response<Body>, ErrorBody> {
    let organisation = auth::authenticate(shared, req)?;
    let response = directory_response(shared, Some(&organisation));
    Ok(json_response(StatusCode::OK, &response))
}

fn directory_response(
    shared: &Shared,
    organisation: Option<&OrganisationName>,
) -> directory::DirectoryResponse {
    let view = shared.view.load();
    let spread = shared.routing().rng.random();
    let lifetime = Millis(shared.settings.directory_lifetime_ms);
    let now = shared.clock.now();
    directory::choose_hosts(now, view.owners.members(), organisation, spread, lifetime)
}

fn error_response(shared: &Shared, error: ErrorBody) -> Response<Body> {
    const MILLIS_PER_SECOND: u64 = 1_000;
    let suggests_hosts = matches!(error.code, Code::Overloaded | Code::NotReady | Code::NoUpstream);
    let error = match suggests_hosts {
        true => ErrorBody { hosts: directory_response(shared, None).hosts, ..error },
        false => error,
    };
    let status = StatusCode::from_u16(error.code.status());
    let mut response = json_response(status.unwrap_or(StatusCode::BAD_GATEWAY), &error);
    if let Some(ms) = error.retry_after_ms {
        let seconds = ms.div_ceil(MILLIS_PER_SECOND);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Reads a request body of at most `max_bytes`.
async fn read_body(shared: &Shared, body: Incoming, max_bytes: usize) -> Result<Bytes, ErrorBody> {
    let read_timeout = Duration::from_millis(shared.settings.caller_silence_ms);
    match timeout(read_timeout, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(ErrorBody::new(
            Code::BodyTooLarge,
            format!("the body is larger than {max_bytes} bytes"),
        )),
        Ok(Err(_)) => Err(ErrorBody::new(Code::BadRequest, "the body is incomplete")),
        Err(_) => Err(ErrorBody::new(
            Code::BadRequest,
            format!("the body was not received within {read_timeout:?}"),
        )),
    }
}
