//! Start of generations.

use super::attempt::Attempt;
use super::auth::{self, KindAccess};
use super::job::Job;
use super::{read_body, stream, whole};
use crate::shared::Shared;
use hyper::body::Incoming;
use hyper::{Request, Response};
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::rendezvous;
use magnoliawinch::service_file::{Delivery, ServiceType, key_digest};
use magnoliawinch::time::Millis;
use magnoliawinch_caller::{Code, ErrorBody, GenerationRequest};
use magnoliawinch_http::Body;
use std::sync::Arc;

/// Estimated number of bytes per token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Prompts that agree in this many leading bytes share a prefix.
const PREFIX_BYTES: usize = 1_024;

/// Handles `POST /v1/generations/SERVICE/KIND`.
pub(super) async fn start(
    shared: &Arc<Shared>,
    request_id: &str,
    service: &str,
    kind: &str,
    req: Request<Incoming>,
) -> Result<Response<Body>, ErrorBody> {
    let access = auth::authorise_kind(shared, &req, service, kind, ServiceType::Generation)?;
    let arrived_at = shared.clock.now();
    let max_bytes = access.service_access.service.spec.limits.body_bytes;
    let body = read_body(shared, req.into_body(), max_bytes).await?;
    let request: GenerationRequest = serde_json::from_slice(&body).map_err(|e| {
        ErrorBody::new(Code::BadRequest, format!("the body is not a valid request: {e}"))
    })?;
    let body_digest = key_digest(&String::from_utf8_lossy(&body));
    let job = new_job(request_id, access, request, &body_digest, arrived_at);
    let spec = &job.access.service_access.service.spec;
    shared.metrics.count("requests", &spec.name, &job.access.kind_name);
    match job.access.kind.delivery {
        Delivery::Stream => {
            let attempt = Attempt::start(shared, &job).await?;
            Ok(stream::respond(shared, job, attempt))
        }
        Delivery::Whole => whole::respond(shared, &job).await,
    }
}

fn new_job(
    request_id: &str,
    access: KindAccess,
    request: GenerationRequest,
    body_digest: &str,
    arrived_at: magnoliawinch::time::Time,
) -> Job {
    let spec = &access.service_access.service.spec;
    let organisation = access.service_access.organisation.as_str();
    let kind = access.kind_name.as_str();
    let fingerprint = Fingerprint::new(organisation, spec.name.as_str(), kind, body_digest);
    let max_tokens = spec.limits.max_tokens;
    let prefix = prefix_hash(&request.prompt);
    Job {
        request_id: request_id.to_owned(),
        prompt_tokens: request.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32,
        prefix,
        prefix_tokens: if prefix == 0 { 0 } else { (PREFIX_BYTES / BYTES_PER_TOKEN) as u32 },
        max_tokens: request.max_tokens.unwrap_or(max_tokens).min(max_tokens),
        prompt: request.prompt,
        fingerprint,
        deadline: arrived_at + Millis(access.kind.deadline_ms),
        patience_until: arrived_at + Millis(access.kind.first_token_ms),
        access,
        arrived_at,
    }
}

/// Hash of the prompt's prefix; 0 if the prompt is shorter than `PREFIX_BYTES`.
fn prefix_hash(prompt: &str) -> u64 {
    match prompt.as_bytes().get(..PREFIX_BYTES) {
        Some(start) => rendezvous::hash(&String::from_utf8_lossy(start)).max(1),
        None => 0,
    }
}
