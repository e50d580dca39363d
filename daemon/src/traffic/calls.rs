//! Calls to plain services.

use super::auth::{self, KindAccess};
use super::read_body;
use crate::control::Message;
use crate::ledger;
use crate::shared::Shared;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use magnoliawinch::decision::Decision;
use magnoliawinch::ledger::{Claim, ClaimAnswer, Claimant, Outcome};
use magnoliawinch::names::{FailureDomain, UpstreamName};
use magnoliawinch::routing::RoutingCriteria;
use magnoliawinch::service_file::{ServiceType, UpstreamSpec, key_digest};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody, IDEMPOTENCY_KEY, MAX_KEY_BYTES};
use magnoliawinch_http::{Body, full_body};
use magnoliawinch_service::{Answer, Call, CallError};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Largest answer that is kept to answer the same key again, in bytes.
const KEPT_ANSWER_BYTES: usize = 65_536;

/// Wait before a claim is tried again after the winner released the key.
const RECLAIM_PAUSE: Duration = Duration::from_millis(20);

/// Time after which a caller may ask again about a call in progress, in milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;

/// A call that a caller asked for.
#[derive(Debug)]
struct Job {
    request_id: String,
    access: KindAccess,
    idempotency_key: Option<String>,
    body: Bytes,
    deadline: Time,
}

/// Why a call has no answer.
#[derive(Debug)]
struct Failure {
    verdict: Verdict,
    error: ErrorBody,
}

impl Job {
    fn log(&self, shared: &Shared, decision: Decision) {
        let service = &self.access.access.service.spec.name;
        shared.decisions.log(&self.request_id, service, decision);
    }

    fn time_left(&self, shared: &Shared) -> Millis {
        self.deadline.since(shared.clock.now())
    }
}

/// Answers `POST /v1/calls/SERVICE/KIND`.
pub(super) async fn call(
    shared: &Arc<Shared>,
    request_id: &str,
    service: &str,
    kind: &str,
    req: Request<Incoming>,
) -> Result<Response<Body>, ErrorBody> {
    let access = auth::kind_access(shared, &req, service, kind, ServiceType::Plain)?;
    let deadline = shared.clock.now() + Millis(access.kind.deadline_ms);
    let idempotency_key = idempotency_key(&req, access.kind.idempotent)?;
    let max_bytes = access.access.service.spec.limits.body_bytes;
    let body = read_body(shared, req.into_body(), max_bytes).await?;
    shared.metrics.count("requests", &access.access.service.spec.name, &access.kind_name);
    shared.routing().budget.record_request();
    let request_id = request_id.to_owned();
    let job = Job { request_id, access, idempotency_key, body, deadline };
    // The call goes on though its caller leaves, so that its outcome is recorded.
    let (task, in_progress) = (Arc::clone(shared), shared.track_request());
    let running = tokio::spawn(async move {
        let _in_progress = in_progress;
        match &job.idempotency_key {
            Some(key) if !job.access.kind.idempotent => run_once(&task, &job, key).await,
            _ => run(&task, &job, None).await.map_err(|failure| failure.error),
        }
    });
    match running.await {
        Ok(result) => result.map(|answer| response(&answer)),
        Err(e) => {
            let error = ErrorBody::new(Code::Internal, e.to_string());
            Err(error.with_verdict(Verdict::MayHaveRun))
        }
    }
}

fn response(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn idempotency_key(req: &Request<Incoming>, idempotent: bool) -> Result<Option<String>, ErrorBody> {
    let key = req.headers().get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    match key {
        None if !idempotent => {
            let message = "the call is not idempotent and needs the header \"idempotency-key\"";
            Err(ErrorBody::new(Code::KeyRequired, message))
        }
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            let message = format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes");
            Err(ErrorBody::new(Code::BadRequest, message))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

/// Runs a call that must run at most once: claims its key in the ledger, then dispatches.
async fn run_once(shared: &Arc<Shared>, job: &Job, key: &str) -> Result<Answer, ErrorBody> {
    let access = &job.access.access;
    let service = &access.service.spec.name;
    let key = format!("{}/{service}/{}/{key}", access.organisation, job.access.kind_name);
    let claimed = match claim(shared, job, &key).await? {
        Claimed::Won(won) => won,
        Claimed::Answered(answer) => return Ok(answer),
    };
    let claim_bound = claimed.at + Millis(shared.settings.claim_bound_ms);
    let result = run(shared, job, Some(claim_bound)).await;
    let outcome = match &result {
        Ok(answer) => outcome_of(answer),
        Err(failure) if failure.verdict == Verdict::NotRun => Outcome::not_run(),
        Err(_) => Outcome::may_have_run(),
    };
    // The answer is the caller's whether or not the log takes the outcome at once.
    let task = Arc::clone(shared);
    let in_progress = shared.track_request();
    tokio::spawn(async move {
        let _in_progress = in_progress;
        ledger::settle(&task, &key, claimed.nonce, &outcome).await;
    });
    result.map_err(|failure| failure.error)
}

fn outcome_of(answer: &Answer) -> Outcome {
    let is_kept = answer.body.len() <= KEPT_ANSWER_BYTES;
    let body = String::from_utf8(answer.body.to_vec()).ok().filter(|_| is_kept);
    Outcome { verdict: Verdict::Ran, status: answer.status, body }
}

/// What became of a claim.
#[derive(Debug)]
enum Claimed {
    Won(Won),
    /// The key's call ran before; this is its answer.
    Answered(Answer),
}

/// A claim that won.
#[derive(Clone, Copy, Debug)]
struct Won {
    nonce: u64,
    /// When it was sent.
    at: Time,
}

/// Claims the call's key; an error says what is known of the call that holds it.
async fn claim(shared: &Arc<Shared>, job: &Job, key: &str) -> Result<Claimed, ErrorBody> {
    let body_digest = key_digest(&String::from_utf8_lossy(&job.body));
    loop {
        let at = shared.clock.now();
        let nonce: u64 = shared.routing().rng.random();
        let claim = Claim {
            key: key.to_owned(),
            body_digest: body_digest.clone(),
            claimant: Claimant {
                host: shared.settings.host.clone(),
                incarnation: shared.clock.started_at().0,
            },
            nonce,
        };
        let patience = job.time_left(shared).min(Millis(shared.settings.claim_bound_ms));
        let answer = ledger::claim(shared, claim, patience).await;
        job.log(shared, Decision::Claimed { answer: claim_name(&answer).to_owned() });
        match answer {
            ClaimAnswer::Won => return Ok(Claimed::Won(Won { nonce, at })),
            ClaimAnswer::Released if job.time_left(shared) > Millis(0) => {
                sleep(RECLAIM_PAUSE).await;
            }
            ClaimAnswer::LogUnavailable => {
                release(shared, key, nonce);
                return Err(lost(&ClaimAnswer::LogUnavailable));
            }
            ClaimAnswer::Finished(outcome) => return finished(outcome).map(Claimed::Answered),
            answer => return Err(lost(&answer)),
        }
    }
}

/// Releases a claim that this daemon will not use, in case it turns up in the log.
fn release(shared: &Arc<Shared>, key: &str, nonce: u64) {
    let (shared, key) = (Arc::clone(shared), key.to_owned());
    tokio::spawn(async move {
        ledger::settle(&shared, &key, nonce, &Outcome::not_run()).await;
    });
}

fn claim_name(answer: &ClaimAnswer) -> &'static str {
    match answer {
        ClaimAnswer::Won => "won",
        ClaimAnswer::Running => "running",
        ClaimAnswer::Released => "released",
        ClaimAnswer::Finished(_) => "finished",
        ClaimAnswer::OtherBody => "other_body",
        ClaimAnswer::LogUnavailable => "log_unavailable",
    }
}

/// The error of a claim that did not win.
fn lost(answer: &ClaimAnswer) -> ErrorBody {
    match answer {
        ClaimAnswer::OtherBody => {
            ErrorBody::new(Code::KeyReused, "the idempotency key was used with another body")
        }
        ClaimAnswer::LogUnavailable => {
            let message = "the platform's log cannot be reached; the call was not run";
            ErrorBody::new(Code::LogUnavailable, message).with_retry_after(IN_PROGRESS_RETRY_MS)
        }
        _ => {
            let message = "a call with this idempotency key is in progress";
            ErrorBody::new(Code::InProgress, message)
                .with_verdict(Verdict::MayHaveRun)
                .with_retry_after(IN_PROGRESS_RETRY_MS)
        }
    }
}

/// The answer of a call that ran before, when it is kept.
fn finished(outcome: Outcome) -> Result<Answer, ErrorBody> {
    if let (Verdict::Ran, Some(body)) = (outcome.verdict, outcome.body) {
        return Ok(Answer { status: outcome.status, body: Bytes::from(body) });
    }
    let (code, message) = match outcome.verdict {
        Verdict::Ran => (Code::AnswerNotKept, "the call ran, but its answer is not kept"),
        _ => (Code::UpstreamFailed, "the call with this key may have run; nothing more is known"),
    };
    Err(ErrorBody::new(code, message).with_verdict(outcome.verdict))
}

/// Sends the call to upstreams until one answers or no further attempt is allowed.
async fn run(
    shared: &Arc<Shared>,
    job: &Job,
    dispatch_until: Option<Time>,
) -> Result<Answer, Failure> {
    let mut verdict = Verdict::NotRun;
    let mut avoid: Option<FailureDomain> = None;
    let mut count = 0;
    loop {
        let Some((upstream, spec)) = choose(shared, job, avoid.as_ref()) else {
            let name = &job.access.access.service.spec.name;
            let message = format!("no upstream of service \"{name}\" can be used");
            return Err(failed(job, shared, Code::NoUpstream, message, verdict));
        };
        count += 1;
        let now = shared.clock.now();
        if dispatch_until.is_some_and(|until| now >= until) {
            let message = "the claim was too old to dispatch; the call was not run".to_owned();
            return Err(failed(job, shared, Code::DeadlineExceeded, message, verdict));
        }
        let e = match send(shared, job, &upstream, &spec).await {
            Ok(answer) => {
                let result = u64::from(answer.status);
                job.log(shared, Decision::Ended { result, verdict: Verdict::Ran });
                return Ok(answer);
            }
            Err(e) => e,
        };
        verdict = verdict.combine(e.verdict());
        avoid = Some(spec.failure_domain.clone());
        let idempotent = job.access.kind.idempotent;
        let wait = shared.next_attempt(count, verdict, idempotent, job.deadline);
        note_failure(shared, job, &upstream, &e, wait.is_some());
        match wait {
            Some(wait) => sleep(wait.into()).await,
            None => {
                return Err(failed(job, shared, Code::UpstreamFailed, e.to_string(), verdict));
            }
        }
    }
}

fn failed(job: &Job, shared: &Shared, code: Code, message: String, verdict: Verdict) -> Failure {
    let error =
        ErrorBody::new(code, message).with_verdict(verdict).with_retry_after(IN_PROGRESS_RETRY_MS);
    let retry_after_ms = error.retry_after_ms;
    job.log(shared, Decision::Refused { code: code.to_string(), retry_after_ms });
    Failure { verdict, error }
}

fn choose(
    shared: &Shared,
    job: &Job,
    avoid: Option<&FailureDomain>,
) -> Option<(UpstreamName, UpstreamSpec)> {
    let now = shared.clock.now();
    let service = &job.access.access.service.spec;
    let wish = RoutingCriteria {
        prefix: 0,
        prefix_tokens: 0,
        local_domain: &shared.settings.failure_domain,
        avoid,
    };
    let candidates = shared.candidates(now, &job.access.access.service, wish);
    let ranked = candidates.iter().map(|c| (c.upstream.clone(), c.score_ms)).collect();
    job.log(shared, Decision::Candidates { ranked });
    let chosen = candidates.into_iter().next()?.upstream;
    let spec = service.upstreams.get(&chosen)?.clone();
    Some((chosen, spec))
}

async fn send(
    shared: &Arc<Shared>,
    job: &Job,
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
        idempotent: job.access.kind.idempotent,
    };
    let limit = job.time_left(shared).into();
    shared.routing().router.note_start(upstream);
    let result = shared.services.call(spec.address, &call, limit).await;
    shared.routing().router.note_end(upstream);
    result
}

fn note_failure(shared: &Shared, job: &Job, upstream: &UpstreamName, e: &CallError, retried: bool) {
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
