//! Calls to plain services.

use super::auth::{self, KindAccess};
use super::read_body;
use super::suspects::{Notice, report_suspect};
use crate::control::Message;
use crate::ledger;
use crate::shared::Shared;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use magnoliawinch::decision::Decision;
use magnoliawinch::ledger::{Claim, ClaimDecision, Claimant, Outcome};
use magnoliawinch::names::{FailureDomain, UpstreamName};
use magnoliawinch::quarantine::{Fingerprint, QuarantineStatus};
use magnoliawinch::response::ResponseClass;
use magnoliawinch::route_table::Delivery;
use magnoliawinch::routing::RoutingCriteria;
use magnoliawinch::service_file::{ServiceType, UpstreamSpec, key_digest};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody, IDEMPOTENCY_KEY, MAX_IDEMPOTENCY_KEY_BYTES};
use magnoliawinch_http::{Body, full_body};
use magnoliawinch_service::{Answer, Call, CallError};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum size of an answer that is stored to answer repeated requests with the same key.
const MAX_STORED_ANSWER_BYTES: usize = 65_536;

/// Delay before a key that the winner released is claimed again.
const RECLAIM_DELAY: Duration = Duration::from_millis(20);

/// Time after which a caller may retry a call that failed or is in progress.
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug)]
struct CallJob {
    request_id: String,
    access: KindAccess,
    idempotency_key: Option<String>,
    body: Bytes,
    body_digest: String,
    fingerprint: Fingerprint,
    deadline: Time,
}

/// Why a call has no answer.
#[derive(Debug)]
struct CallFailure {
    verdict: Verdict,
    error: ErrorBody,
}

impl CallJob {
    fn log(&self, shared: &Shared, decision: Decision) {
        let service = &self.access.service_access.service.spec.name;
        shared.decisions.log(&self.request_id, service, decision);
    }

    fn time_left(&self, shared: &Shared) -> Millis {
        self.deadline.since(shared.clock.now())
    }
}

/// Handles `POST /v1/calls/SERVICE/KIND`.
pub(super) async fn call(
    shared: &Arc<Shared>,
    request_id: &str,
    service: &str,
    kind: &str,
    req: Request<Incoming>,
) -> Result<Response<Body>, ErrorBody> {
    let access = auth::authorise_kind(shared, &req, service, kind, ServiceType::Plain)?;
    let deadline = shared.clock.now() + Millis(access.kind.deadline_ms);
    let idempotency_key = idempotency_key(&req, access.kind.idempotent)?;
    let max_bytes = access.service_access.service.spec.limits.body_bytes;
    let body = read_body(shared, req.into_body(), max_bytes).await?;
    shared.metrics.count("requests", &access.service_access.service.spec.name, &access.kind_name);
    shared.routing().retry_budget.record_request();
    let request_id = request_id.to_owned();
    let body_digest = key_digest(&String::from_utf8_lossy(&body));
    let fingerprint = Fingerprint::new(
        access.service_access.organisation.as_str(),
        access.service_access.service.spec.name.as_str(),
        access.kind_name.as_str(),
        &body_digest,
    );
    let job =
        CallJob { request_id, access, idempotency_key, body, body_digest, fingerprint, deadline };
    // The call continues even if the caller disconnects, so that its outcome is recorded.
    let (task_shared, in_progress) = (Arc::clone(shared), shared.track_request());
    let handle = tokio::spawn(async move {
        let _in_progress = in_progress;
        match &job.idempotency_key {
            Some(key) if !job.access.kind.idempotent => {
                run_at_most_once(&task_shared, &job, key).await
            }
            _ => run(&task_shared, &job, None).await.map_err(|failure| failure.error),
        }
    });
    match handle.await {
        Ok(result) => result.map(|answer| response(&answer)),
        Err(e) => {
            let error = ErrorBody::new(Code::Internal, e.to_string());
            Err(error.with_verdict(Verdict::MayHaveRun))
        }
    }
}

fn response(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn idempotency_key(req: &Request<Incoming>, idempotent: bool) -> Result<Option<String>, ErrorBody> {
    let key = req.headers().get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    match key {
        None if !idempotent => {
            let message = "the call is not idempotent and requires the header \"idempotency-key\"";
            Err(ErrorBody::new(Code::KeyRequired, message))
        }
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            let message =
                format!("an idempotency key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
            Err(ErrorBody::new(Code::BadRequest, message))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

/// Runs a non-idempotent call at most once: claims its key in the ledger, then dispatches it.
async fn run_at_most_once(
    shared: &Arc<Shared>,
    job: &CallJob,
    key: &str,
) -> Result<Answer, ErrorBody> {
    let access = &job.access.service_access;
    let service = &access.service.spec.name;
    let key = format!("{}/{service}/{}/{key}", access.organisation, job.access.kind_name);
    let claim = match claim(shared, job, &key).await? {
        Claimed::Won(claim) => claim,
        Claimed::Answered(answer) => return Ok(answer),
    };
    let dispatch_deadline = claim.sent_at + Millis(shared.settings.claim_bound_ms);
    let result = run(shared, job, Some(dispatch_deadline)).await;
    let outcome = match &result {
        Ok(answer) => outcome_of(answer),
        Err(failure) if failure.verdict == Verdict::NotRun => Outcome::not_run(),
        Err(_) => Outcome::may_have_run(),
    };
    // The caller gets the answer without waiting until the log confirms the outcome.
    let task_shared = Arc::clone(shared);
    let in_progress = shared.track_request();
    tokio::spawn(async move {
        let _in_progress = in_progress;
        ledger::settle(&task_shared, &key, claim.nonce, &outcome).await;
    });
    result.map_err(|failure| failure.error)
}

fn outcome_of(answer: &Answer) -> Outcome {
    let is_stored = answer.body.len() <= MAX_STORED_ANSWER_BYTES;
    let body = String::from_utf8(answer.body.to_vec()).ok().filter(|_| is_stored);
    Outcome { verdict: Verdict::Ran, status: answer.status, body }
}

/// The result of a claim that did not end in an error.
#[derive(Debug)]
enum Claimed {
    Won(WonClaim),
    /// The call ran before; this is its stored answer.
    Answered(Answer),
}

/// A claim that won.
#[derive(Clone, Copy, Debug)]
struct WonClaim {
    nonce: u64,
    sent_at: Time,
}

/// Claims a call's key. The error of a lost claim says what is known of the call that holds the
/// key.
async fn claim(shared: &Arc<Shared>, job: &CallJob, key: &str) -> Result<Claimed, ErrorBody> {
    loop {
        let sent_at = shared.clock.now();
        let nonce: u64 = shared.routing().rng.random();
        let claim = Claim {
            key: key.to_owned(),
            body_digest: job.body_digest.clone(),
            claimant: Claimant {
                host: shared.settings.host.clone(),
                incarnation: shared.clock.started_at().0,
            },
            nonce,
        };
        let patience = job.time_left(shared).min(Millis(shared.settings.claim_bound_ms));
        let decision = ledger::claim(shared, claim, patience).await;
        job.log(shared, Decision::Claimed { answer: claim_decision_name(&decision).to_owned() });
        match decision {
            ClaimDecision::Won => return Ok(Claimed::Won(WonClaim { nonce, sent_at })),
            ClaimDecision::Released if job.time_left(shared) > Millis(0) => {
                sleep(RECLAIM_DELAY).await;
            }
            ClaimDecision::LogUnavailable => {
                release_claim(shared, key, nonce);
                return Err(lost_claim(&ClaimDecision::LogUnavailable));
            }
            ClaimDecision::Finished(outcome) => {
                return stored_answer(outcome).map(Claimed::Answered);
            }
            decision => return Err(lost_claim(&decision)),
        }
    }
}

/// Releases a claim that this daemon will not use, in case the log recorded it after all.
fn release_claim(shared: &Arc<Shared>, key: &str, nonce: u64) {
    let (shared, key) = (Arc::clone(shared), key.to_owned());
    tokio::spawn(async move {
        ledger::settle(&shared, &key, nonce, &Outcome::not_run()).await;
    });
}

fn claim_decision_name(decision: &ClaimDecision) -> &'static str {
    match decision {
        ClaimDecision::Won => "won",
        ClaimDecision::Running => "running",
        ClaimDecision::Released => "released",
        ClaimDecision::Finished(_) => "finished",
        ClaimDecision::OtherBody => "other_body",
        ClaimDecision::LogUnavailable => "log_unavailable",
    }
}

/// The error for a claim that did not win.
fn lost_claim(decision: &ClaimDecision) -> ErrorBody {
    match decision {
        ClaimDecision::OtherBody => {
            ErrorBody::new(Code::KeyReused, "the idempotency key was used with a different body")
        }
        ClaimDecision::LogUnavailable => {
            let message = "the platform's log is unavailable; the call did not run";
            ErrorBody::new(Code::LogUnavailable, message).with_retry_after(RETRY_AFTER_MS)
        }
        _ => {
            let message = "a call with this idempotency key is in progress";
            ErrorBody::new(Code::InProgress, message)
                .with_verdict(Verdict::MayHaveRun)
                .with_retry_after(RETRY_AFTER_MS)
        }
    }
}

/// The stored answer of a call that ran before; an error if the answer was not stored.
fn stored_answer(outcome: Outcome) -> Result<Answer, ErrorBody> {
    if let (Verdict::Ran, Some(body)) = (outcome.verdict, outcome.body) {
        return Ok(Answer { status: outcome.status, body: Bytes::from(body) });
    }
    let (code, message) = match outcome.verdict {
        Verdict::Ran => (Code::AnswerNotKept, "the call ran, but its answer was not stored"),
        _ => (Code::UpstreamFailed, "the call with this key may or may not have run"),
    };
    Err(ErrorBody::new(code, message).with_verdict(outcome.verdict))
}

/// Attempts the call until an upstream responds or no further attempt is allowed. No attempt starts
/// after `dispatch_deadline`.
async fn run(
    shared: &Arc<Shared>,
    job: &CallJob,
    dispatch_deadline: Option<Time>,
) -> Result<Answer, CallFailure> {
    let mut verdict = Verdict::NotRun;
    let mut avoid: Option<FailureDomain> = None;
    let mut count = 0;
    loop {
        let quarantine = report_suspect(shared, job.fingerprint, Notice::Ask).await;
        if let QuarantineStatus::Refused(left) = quarantine {
            return Err(fail_quarantined(job, shared, left, verdict));
        }
        let Some((upstream, spec)) = choose_upstream(shared, job, avoid.as_ref()) else {
            let name = &job.access.service_access.service.spec.name;
            let message = format!("no upstream of service \"{name}\" is available");
            return Err(fail(job, shared, Code::NoUpstream, message, verdict));
        };
        count += 1;
        let now = shared.clock.now();
        if dispatch_deadline.is_some_and(|deadline| now >= deadline) {
            let message =
                "the claim expired before the call was dispatched; the call did not run".to_owned();
            return Err(fail(job, shared, Code::DeadlineExceeded, message, verdict));
        }
        let e = match send_call(shared, job, &upstream, &spec).await {
            Ok(answer) => {
                let result = u64::from(answer.status);
                job.log(shared, Decision::Ended { result, verdict: Verdict::Ran });
                if quarantine == QuarantineStatus::Suspect && !answer.is_failure() {
                    report_suspect(shared, job.fingerprint, Notice::Completed).await;
                }
                return Ok(answer);
            }
            Err(e) => e,
        };
        // A lost connection alone does not show that the upstream has ended.
        if e.is_lost_connection() && shared.services.refuses_connections(spec.address).await {
            report_suspect(shared, job.fingerprint, Notice::Crashed(&upstream)).await;
        }
        verdict = verdict.combine(e.verdict());
        avoid = Some(spec.failure_domain.clone());
        let idempotent = job.access.kind.idempotent;
        let delay = shared.next_attempt(count, verdict, idempotent, job.deadline);
        note_failure(shared, job, &upstream, &e, delay.is_some());
        match delay {
            Some(delay) => sleep(delay.into()).await,
            None => {
                return Err(fail(job, shared, Code::UpstreamFailed, e.to_string(), verdict));
            }
        }
    }
}

/// Logs the refusal of a call and returns its failure.
fn fail(
    job: &CallJob,
    shared: &Shared,
    code: Code,
    message: String,
    verdict: Verdict,
) -> CallFailure {
    fail_with(job, shared, ErrorBody::new(code, message).with_retry_after(RETRY_AFTER_MS), verdict)
}

/// The failure of a call under which upstreams have ended; it may return after `left`.
fn fail_quarantined(job: &CallJob, shared: &Shared, left: Millis, verdict: Verdict) -> CallFailure {
    let error = ErrorBody::new(Code::Quarantined, "the call crashed upstreams before");
    fail_with(job, shared, error.with_retry_after(left.0), verdict)
}

fn fail_with(job: &CallJob, shared: &Shared, error: ErrorBody, verdict: Verdict) -> CallFailure {
    let error = error.with_verdict(verdict);
    let code = error.code;
    let retry_after_ms = error.retry_after_ms;
    job.log(shared, Decision::Refused { code: code.to_string(), retry_after_ms });
    CallFailure { verdict, error }
}

fn choose_upstream(
    shared: &Shared,
    job: &CallJob,
    avoid: Option<&FailureDomain>,
) -> Option<(UpstreamName, UpstreamSpec)> {
    let now = shared.clock.now();
    let service = &job.access.service_access.service.spec;
    let criteria = RoutingCriteria {
        prefix: 0,
        prefix_tokens: 0,
        local_domain: &shared.settings.failure_domain,
        avoid,
    };
    let candidates = shared.candidates(now, &job.access.service_access.service, criteria);
    let ranked = candidates.iter().map(|c| (c.upstream.clone(), c.score_ms)).collect();
    job.log(shared, Decision::Candidates { ranked });
    let chosen = candidates.into_iter().next()?.upstream;
    let spec = service.upstreams.get(&chosen)?.clone();
    Some((chosen, spec))
}

async fn send_call(
    shared: &Arc<Shared>,
    job: &CallJob,
    upstream: &UpstreamName,
    spec: &UpstreamSpec,
) -> Result<Answer, CallError> {
    job.log(
        shared,
        Decision::Chosen {
            upstream: upstream.clone(),
            owner: shared.settings.host.clone(),
            waited_ms: 0,
        },
    );
    let call = Call {
        kind: job.access.kind_name.as_str(),
        request_id: &job.request_id,
        idempotency_key: job.idempotency_key.as_deref(),
        body: job.body.clone(),
    };
    let timeout = job.time_left(shared).into();
    shared.routing().router.note_start(upstream);
    let result = shared.services.call(spec.address, &call, timeout).await;
    shared.routing().router.note_end(upstream);
    let answer = result?;
    let class = ResponseClass::new(answer.status, false);
    let delivery = match job.access.kind.idempotent {
        true => Delivery::Idempotent,
        false => Delivery::AtMostOnce,
    };
    if !class.may_be_forwarded(delivery) {
        return Err(CallError::Refused {
            address: spec.address,
            status: answer.status,
            verdict: class.verdict(),
            draining: false,
        });
    }
    Ok(answer)
}

/// Logs a failed attempt; reports it to the router and the control thread.
fn note_failure(
    shared: &Shared,
    job: &CallJob,
    upstream: &UpstreamName,
    e: &CallError,
    retried: bool,
) {
    let now = shared.clock.now();
    shared.routing().router.note_failure(now, upstream);
    let message = match e {
        CallError::Refused { draining: true, .. } => {
            Some(Message::UpstreamLeaving(upstream.clone()))
        }
        CallError::Refused { .. } => None,
        CallError::Send(_) => Some(Message::UpstreamUnreachable(upstream.clone())),
    };
    if let Some(message) = message {
        let _ = shared.control.try_send(message);
    }
    job.log(
        shared,
        Decision::AttemptFailed {
            upstream: upstream.clone(),
            verdict: e.verdict(),
            retried,
            reason: e.to_string(),
        },
    );
}
