//! Resumption and cancellation of generations, including those started through other daemons.

use super::auth;
use super::run::Run;
use super::{stream, unknown_generation};
use crate::shared::Shared;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use magnoliawinch::service_file::{KindSpec, UpstreamSpec};
use magnoliawinch::time::Millis;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody, GenerationId, LAST_EVENT_ID, sse};
use magnoliawinch_engine::EngineError;
use magnoliawinch_http::{Body, json_response};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Response body of a cancellation.
#[derive(Clone, Debug, Serialize)]
struct Cancelled {
    generation: String,
}

/// A generation's upstream; an error if the caller's key did not start the generation.
fn find_upstream(
    shared: &Shared,
    id: &GenerationId,
    req: &Request<Incoming>,
) -> Result<(auth::ServiceAccess, UpstreamSpec), ErrorBody> {
    let unknown = || unknown_generation(&id.to_string());
    let access = match auth::authorise(shared, req, id.service.as_str()) {
        Err(e) if matches!(e.code, Code::NotAllowed | Code::NotFound) => return Err(unknown()),
        other => other?,
    };
    if !id.is_started_with(&access.key_digest) {
        return Err(unknown());
    }
    let spec = access.service.spec.upstreams.get(&id.upstream).cloned().ok_or_else(unknown)?;
    Ok((access, spec))
}

/// Handles `GET /v1/generations/ID`.
pub(super) async fn resume(
    shared: &Arc<Shared>,
    request_id: &str,
    id: &GenerationId,
    req: &Request<Incoming>,
) -> Result<Response<Body>, ErrorBody> {
    let (access, spec) = find_upstream(shared, id, req)?;
    let from = next_index(id, req)?;
    let service = &access.service.spec;
    let silence = Millis(service.limits.silence_ms);
    let run = Run::resume(shared, request_id, id.clone(), &spec, silence, from).await;
    let max_deadline_ms = service.kinds.values().map(|kind: &KindSpec| kind.deadline_ms).max();
    match run {
        Ok(run) => {
            let timeout = Duration::from_millis(max_deadline_ms.unwrap_or_default());
            Ok(stream::respond_resumed(shared, run, timeout))
        }
        Err(e @ EngineError::UnknownGeneration { .. }) => {
            log::info!("failed to resume a generation: {e}");
            Err(unknown_generation(&id.to_string()).with_verdict(Verdict::MayHaveRun))
        }
        Err(e) => {
            Err(ErrorBody::new(Code::Interrupted, e.to_string()).with_verdict(Verdict::MayHaveRun))
        }
    }
}

/// Index of the token after the last event that the caller received; 0 without a last event ID.
fn next_index(id: &GenerationId, req: &Request<Incoming>) -> Result<u64, ErrorBody> {
    let Some(value) = req.headers().get(LAST_EVENT_ID) else {
        return Ok(0);
    };
    let text = value.to_str().unwrap_or_default();
    match sse::split_event_id(text) {
        Some((generation, index)) if generation == id.to_string() => Ok(index + 1),
        _ => Err(ErrorBody::new(
            Code::BadRequest,
            format!("last event ID \"{text}\" does not belong to generation \"{id}\""),
        )),
    }
}

/// Handles `DELETE /v1/generations/ID`.
pub(super) async fn cancel(
    shared: &Arc<Shared>,
    id: &GenerationId,
    req: &Request<Incoming>,
) -> Result<Response<Body>, ErrorBody> {
    let (_, spec) = find_upstream(shared, id, req)?;
    let generation = id.to_string();
    match shared.engines.cancel(spec.address, &generation, false).await {
        Ok(()) => Ok(json_response(StatusCode::OK, &Cancelled { generation })),
        Err(e) => {
            let error = ErrorBody::new(Code::UpstreamFailed, e.to_string());
            Err(error.with_verdict(Verdict::MayHaveRun))
        }
    }
}
