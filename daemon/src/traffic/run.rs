//! Finds an upstream for a generation and follows one run of it.

use super::auth::KindAccess;
use crate::admit::{Admitted, admit};
use crate::control::{AdmitCall, Message};
use crate::grants::Grant;
use crate::peer_server::SuspectReport;
use crate::shared::Shared;
use magnoliawinch::decision::Decision;
use magnoliawinch::delivery::{Delivery, Step, StreamError};
use magnoliawinch::names::{FailureDomain, UpstreamName};
use magnoliawinch::quarantine::{Fingerprint, Treatment};
use magnoliawinch::retry::{self, next_attempt};
use magnoliawinch::routing::{NextStep, Plan, Wish};
use magnoliawinch::service_file::UpstreamSpec;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::{Code, ErrorBody, GenerationId};
use magnoliawinch_engine::{EngineError, Events, StartGeneration};
use magnoliawinch_http::lines::LineError;
use magnoliawinch_peer::SuspectRequest;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// New connections tried for one generation before its engine counts as dead.
const RESUME_ATTEMPTS: u32 = 3;

/// Time for the answer to a resume.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Wait before a resume after the first.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// Time for a question about a fingerprint.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Requests of this daemon at one upstream when its admission owner is silent.
const DIRECT_SHARE: u32 = 4;

/// A generation that a caller asked for.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) request_id: String,
    pub(super) access: KindAccess,
    pub(super) prompt: String,
    pub(super) prompt_tokens: u32,
    pub(super) prefix: u64,
    pub(super) prefix_tokens: u32,
    pub(super) max_tokens: u32,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    pub(super) patience_until: Time,
}

impl Job {
    pub(super) fn log(&self, shared: &Shared, decision: Decision) {
        let service = &self.access.access.service.spec.name;
        shared.decisions.log(&self.request_id, service, decision);
    }

    /// The error that ends the job, logged and counted.
    pub(super) fn refuse(&self, shared: &Shared, error: ErrorBody) -> ErrorBody {
        let code = error.code.to_string();
        let retry_after_ms = error.retry_after_ms;
        self.log(shared, Decision::Refused { code, retry_after_ms });
        let service = &self.access.access.service.spec.name;
        shared.metrics.count("refusals", service, &self.access.kind_name);
        error
    }
}

/// Where a run takes place.
#[derive(Debug)]
struct Place {
    upstream: UpstreamName,
    spec: UpstreamSpec,
    grant: Option<Grant>,
    _counted: Outstanding,
}

/// Counts a request at an upstream until it is dropped.
#[derive(Debug)]
struct Outstanding {
    shared: Arc<Shared>,
    upstream: UpstreamName,
}

impl Outstanding {
    fn new(shared: &Arc<Shared>, upstream: &UpstreamName) -> Self {
        shared.routing().router.note_start(upstream);
        Self { shared: Arc::clone(shared), upstream: upstream.clone() }
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.shared.routing().router.note_end(&self.upstream);
    }
}

/// What a run yields next.
#[derive(Debug)]
pub(super) enum Output {
    /// A token.
    Token { index: u64, text: String },
    /// The answer is whole, with this many tokens.
    Complete(u64),
}

/// Why a run ended early.
#[derive(Debug)]
pub(super) struct RunFailure {
    pub(super) verdict: Verdict,
    pub(super) reason: String,
    /// Whether the engine is believed dead.
    pub(super) died: bool,
}

/// One run of a generation at one upstream.
#[derive(Debug)]
pub(super) struct Run {
    shared: Arc<Shared>,
    request_id: String,
    pub(super) id: GenerationId,
    place: Place,
    events: Events,
    delivery: Delivery,
    resumes: u32,
    /// Whether the engine may go on though this run is dropped.
    ended: bool,
}

/// Cancels a run that is dropped before its end, unless somebody else reads it.
impl Drop for Run {
    fn drop(&mut self) {
        if self.ended || self.delivery.is_complete() {
            return;
        }
        let (address, id) = (self.place.spec.address, self.id.to_string());
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            if let Err(e) = shared.engines.cancel(address, &id, true).await {
                log::debug!("cancelling {id} failed: {e}");
            }
        });
    }
}

impl Run {
    /// Follows a generation that runs already, from token `from`.
    pub(super) async fn resume(
        shared: &Arc<Shared>,
        request_id: &str,
        id: GenerationId,
        spec: &UpstreamSpec,
        silence: Millis,
        from: u64,
    ) -> Result<Self, EngineError> {
        let limit = silence.into();
        let events = shared.engines.resume(spec.address, &id.to_string(), from, limit).await?;
        let counted = Outstanding::new(shared, &id.upstream);
        let place = Place {
            upstream: id.upstream.clone(),
            spec: spec.clone(),
            grant: None,
            _counted: counted,
        };
        let delivery = Delivery::new(&id.to_string(), from, shared.clock.now(), silence);
        Ok(Self {
            shared: Arc::clone(shared),
            request_id: request_id.to_owned(),
            id,
            place,
            events,
            delivery,
            resumes: 0,
            ended: false,
        })
    }

    /// The number of tokens handed on.
    pub(super) fn tokens(&self) -> u64 {
        self.delivery.next_index()
    }

    /// The next output. Gaps, crossed events and silence lead to a new connection to the same
    /// generation; nothing is handed on twice.
    pub(super) async fn next(&mut self) -> Result<Output, RunFailure> {
        loop {
            let now = self.shared.clock.now();
            let left = Duration::from(self.delivery.silent_at().since(now));
            let event = timeout(left, self.events.next()).await;
            let step = match event {
                Ok(Some(Ok(event))) => self.delivery.event(self.shared.clock.now(), event),
                Ok(Some(Err(LineError::Malformed { line, reason }))) => {
                    log::warn!("line \"{line}\" of {} cannot be read: {reason}", self.id);
                    Err(StreamError::Failed { reason })
                }
                Ok(Some(Err(_)) | None) => {
                    self.reconnect("the connection broke").await?;
                    continue;
                }
                Err(_) => {
                    let silence = self.delivery.tick(self.shared.clock.now());
                    self.reconnect(&silence.err().map_or_else(String::new, |e| e.to_string()))
                        .await?;
                    continue;
                }
            };
            match step {
                Ok(Step::Release { index, text }) => {
                    self.resumes = 0;
                    if let Some(grant) = &mut self.place.grant {
                        grant.wrote_token();
                    }
                    return Ok(Output::Token { index, text });
                }
                Ok(Step::Pass) => {}
                Ok(Step::Complete) => {
                    if let Some(grant) = &mut self.place.grant {
                        grant.completed();
                    }
                    return Ok(Output::Complete(self.tokens()));
                }
                Err(e) if e.may_resume() => self.reconnect(&e.to_string()).await?,
                Err(e) => return Err(self.failure(Verdict::Ran, e.to_string(), false)),
            }
        }
    }

    fn failure(&mut self, verdict: Verdict, reason: String, died: bool) -> RunFailure {
        self.ended = true;
        if died {
            self.shared.routing().router.note_failure(self.shared.clock.now(), &self.id.upstream);
            let message = Message::UpstreamUnreachable(self.id.upstream.clone());
            let _ = self.shared.control.try_send(message);
        }
        RunFailure { verdict, reason, died }
    }

    /// Resumes the same generation on a new connection.
    async fn reconnect(&mut self, reason: &str) -> Result<(), RunFailure> {
        let next_index = self.tokens();
        let upstream = self.id.upstream.clone();
        let decision = Decision::Resumed { upstream, next_index, reason: reason.to_owned() };
        self.shared.decisions.log(&self.request_id, &self.id.service, decision);
        let address = self.place.spec.address;
        let id = self.id.to_string();
        let mut last = reason.to_owned();
        while self.resumes < RESUME_ATTEMPTS {
            if self.resumes > 0 {
                sleep(RESUME_PAUSE).await;
            }
            self.resumes += 1;
            let limit = RESUME_TIMEOUT;
            match self.shared.engines.resume(address, &id, next_index, limit).await {
                Ok(events) => {
                    self.events = events;
                    self.delivery.reconnected(self.shared.clock.now());
                    return Ok(());
                }
                Err(e @ EngineError::UnknownGeneration { .. }) => {
                    return Err(self.failure(Verdict::MayHaveRun, e.to_string(), true));
                }
                Err(e) => last = e.to_string(),
            }
        }
        Err(self.failure(Verdict::MayHaveRun, last, true))
    }

    /// Cancels the generation at its engine, whoever reads it.
    pub(super) async fn cancel(mut self) {
        self.ended = true;
        let (address, id) = (self.place.spec.address, self.id.to_string());
        let shared = Arc::clone(&self.shared);
        drop(self);
        if let Err(e) = shared.engines.cancel(address, &id, false).await {
            log::debug!("cancelling {id} failed: {e}");
        }
    }
}

/// The attempts of one job so far.
#[derive(Debug)]
pub(super) struct Attempt {
    count: u32,
    verdict: Verdict,
    pub(super) run: Run,
    /// The first output of the run.
    pub(super) first: Output,
    treatment: Treatment,
}

impl Attempt {
    /// Runs `job` until a first output, over as many upstreams as are allowed.
    pub(super) async fn first(shared: &Arc<Shared>, job: &Job) -> Result<Self, ErrorBody> {
        shared.routing().budget.earn();
        Self::run(shared, job, 0, Verdict::NotRun, None).await
    }

    /// Runs `job` again after `failure` of this attempt, of which nothing was released.
    pub(super) async fn again(
        self,
        shared: &Arc<Shared>,
        job: &Job,
        failure: RunFailure,
    ) -> Result<Self, ErrorBody> {
        let avoid = Some(self.run.place.spec.failure_domain.clone());
        let upstream = self.run.id.upstream.clone();
        let (count, verdict) = (self.count, self.verdict);
        drop(self.run);
        let verdict = verdict.and_then(failure.verdict);
        after_failure(shared, job, &upstream, count, verdict, failure).await?;
        Self::run(shared, job, count, verdict, avoid).await
    }

    /// Notes that the job is done, so that a suspect is one no longer.
    pub(super) async fn succeeded(&self, shared: &Arc<Shared>, job: &Job) {
        if self.treatment == Treatment::Suspect {
            ask_about(shared, job.fingerprint, SuspectReport::Completed).await;
        }
    }

    /// Reports that the engine died while the job ran there.
    pub(super) async fn report_crash(&self, shared: &Arc<Shared>, job: &Job, failure: &RunFailure) {
        if failure.died {
            ask_about(shared, job.fingerprint, SuspectReport::Crashed).await;
        }
    }

    async fn run(
        shared: &Arc<Shared>,
        job: &Job,
        attempts: u32,
        verdict: Verdict,
        avoid: Option<FailureDomain>,
    ) -> Result<Self, ErrorBody> {
        let (mut count, mut verdict, mut avoid) = (attempts, verdict, avoid);
        loop {
            let treatment = ask_about(shared, job.fingerprint, SuspectReport::Ask).await;
            if let Treatment::Refused(left) = treatment {
                let error = ErrorBody::new(Code::Quarantined, "the request crashed upstreams");
                let error = error.with_verdict(verdict).with_retry_after(left.0);
                return Err(job.refuse(shared, error));
            }
            // A request that lost its first upstream may wait as long as its answer is of use.
            let patience_until = if count == 0 { job.patience_until } else { job.deadline };
            let wish = PlaceWish { avoid: avoid.as_ref(), treatment, patience_until };
            let place = find_place(shared, job, wish)
                .await
                .map_err(|error| job.refuse(shared, error.with_verdict(verdict)))?;
            count += 1;
            let upstream = place.upstream.clone();
            let domain = place.spec.failure_domain.clone();
            match start(shared, job, place).await {
                Ok((run, first)) => {
                    return Ok(Self { count, verdict, run, first, treatment });
                }
                Err(failure) => {
                    verdict = verdict.and_then(failure.verdict);
                    avoid = Some(domain);
                    after_failure(shared, job, &upstream, count, verdict, failure).await?;
                }
            }
        }
    }
}

/// Decides whether a failed attempt is followed by another, and waits for its time.
async fn after_failure(
    shared: &Arc<Shared>,
    job: &Job,
    upstream: &UpstreamName,
    count: u32,
    verdict: Verdict,
    failure: RunFailure,
) -> Result<(), ErrorBody> {
    if failure.died && failure.verdict != Verdict::NotRun {
        ask_about(shared, job.fingerprint, SuspectReport::Crashed).await;
    }
    let now = shared.clock.now();
    let attempt = retry::Attempt {
        count,
        verdict,
        idempotent: job.access.kind.idempotent,
        released: false,
        deadline: job.deadline,
    };
    let wait = next_attempt(now, attempt, &mut shared.routing().budget);
    job.log(
        shared,
        Decision::AttemptFailed {
            upstream: upstream.clone(),
            verdict: failure.verdict,
            retried: wait.is_some(),
            reason: failure.reason.clone(),
        },
    );
    match wait {
        Some(wait) => {
            sleep(wait.into()).await;
            Ok(())
        }
        None => {
            let error = ErrorBody::new(Code::UpstreamFailed, failure.reason);
            let error = error.with_verdict(verdict).with_retry_after(NO_RETRY_AFTER.0);
            Err(job.refuse(shared, error))
        }
    }
}

/// Time after which a caller may send a failed request again.
const NO_RETRY_AFTER: Millis = Millis(1_000);

/// Starts the generation and waits for its first output.
async fn start(shared: &Arc<Shared>, job: &Job, place: Place) -> Result<(Run, Output), RunFailure> {
    let service = &job.access.access.service.spec;
    let nonce: u64 = shared.routing().rng.random();
    let digest = &job.access.access.key_digest;
    let id = GenerationId::new(&service.name, &place.upstream, nonce, digest);
    let start = StartGeneration {
        generation: id.to_string(),
        prompt: job.prompt.clone(),
        prompt_tokens: job.prompt_tokens,
        prefix: job.prefix,
        prefix_tokens: job.prefix_tokens,
        priority: job.access.kind.priority,
        max_tokens: job.max_tokens,
    };
    let silence = Millis(service.limits.silence_ms);
    let address = place.spec.address;
    let started = match shared.engines.start(address, &start, silence.into()).await {
        Ok(started) => started,
        Err(e) => return Err(start_failure(shared, &place.upstream, &e)),
    };
    if let (Some(grant), Some(load)) = (&place.grant, &started.load) {
        grant.told_load(&place.upstream, load);
    }
    let delivery = Delivery::new(&id.to_string(), 0, shared.clock.now(), silence);
    let mut run = Run {
        shared: Arc::clone(shared),
        request_id: job.request_id.clone(),
        id,
        place,
        events: started.events,
        delivery,
        resumes: 0,
        ended: false,
    };
    let left = Duration::from(job.deadline.since(shared.clock.now()));
    match timeout(left, run.next()).await {
        Ok(Ok(first)) => Ok((run, first)),
        Ok(Err(failure)) => Err(failure),
        Err(_) => {
            let reason = "the deadline passed before the first token".to_owned();
            run.cancel().await;
            Err(RunFailure { verdict: Verdict::Ran, reason, died: false })
        }
    }
}

fn start_failure(shared: &Shared, upstream: &UpstreamName, e: &EngineError) -> RunFailure {
    let now = shared.clock.now();
    shared.routing().router.note_failure(now, upstream);
    let (message, died) = match e {
        EngineError::Refused { draining: true, .. } => {
            (Some(Message::UpstreamLeaves(upstream.clone())), false)
        }
        EngineError::Refused { .. } | EngineError::UnknownGeneration { .. } => (None, false),
        EngineError::Send(_) => (Some(Message::UpstreamUnreachable(upstream.clone())), true),
    };
    if let Some(message) = message {
        let _ = shared.control.try_send(message);
    }
    RunFailure { verdict: e.verdict(), reason: e.to_string(), died }
}

/// Asks or tells the owner of a fingerprint; without its answer the request runs as any other.
async fn ask_about(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    report: SuspectReport,
) -> Treatment {
    let view = shared.view.load_full();
    let Some(owner) = view.owners.of_fingerprint(fingerprint) else {
        return Treatment::Normal;
    };
    if owner.host == shared.settings.host {
        return ask_here(shared, fingerprint, report).await;
    }
    let req = SuspectRequest { fingerprint: fingerprint.0, report: report as u32 };
    let call = shared.peers.call(owner.peer_address, SUSPECT_TIMEOUT, |mut peer| async move {
        peer.suspect(req).await
    });
    match call.await {
        Ok(reply) if reply.refused_for_ms > 0 => {
            Treatment::Refused(Millis(u64::from(reply.refused_for_ms)))
        }
        Ok(reply) if reply.suspect => Treatment::Suspect,
        _ => Treatment::Normal,
    }
}

async fn ask_here(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    report: SuspectReport,
) -> Treatment {
    let answer = match report {
        SuspectReport::Ask => shared.ask(|reply| Message::Treatment { fingerprint, reply }).await,
        SuspectReport::Crashed => shared.ask(|reply| Message::Crashed { fingerprint, reply }).await,
        SuspectReport::Completed => {
            let _ = shared.control.send(Message::SuspectCompleted(fingerprint)).await;
            None
        }
    };
    answer.unwrap_or(Treatment::Normal)
}

/// What an attempt looks for.
#[derive(Clone, Copy, Debug)]
struct PlaceWish<'a> {
    /// A failure domain that just failed the job.
    avoid: Option<&'a FailureDomain>,
    treatment: Treatment,
    /// When the attempt stops waiting for a place.
    patience_until: Time,
}

/// Finds an upstream with room, asking a few admission owners.
async fn find_place(
    shared: &Arc<Shared>,
    job: &Job,
    place_wish: PlaceWish<'_>,
) -> Result<Place, ErrorBody> {
    let view = shared.view.load_full();
    let service = &job.access.access.service.spec;
    let asked_at = shared.clock.now();
    let candidates = {
        let mut routing = shared.routing();
        let routing = &mut *routing;
        let is_usable = |name: &UpstreamName| {
            service.upstreams.get(name).is_some_and(|spec| {
                !spec.leaving
                    && view.upstreams.is_usable(asked_at, name.as_str(), spec.address.ip())
            })
        };
        let wish = Wish {
            prefix: job.prefix,
            prefix_tokens: job.prefix_tokens,
            near: &shared.settings.failure_domain,
            avoid: place_wish.avoid,
        };
        routing.router.candidates(asked_at, service, is_usable, wish, &mut routing.rng)
    };
    job.log(
        shared,
        Decision::Candidates {
            ranked: candidates.iter().map(|c| (c.upstream.clone(), c.score_ms)).collect(),
        },
    );
    if candidates.is_empty() {
        let message = format!("no upstream of service \"{}\" can be used", service.name);
        let error = ErrorBody::new(Code::NoUpstream, message);
        return Err(error.with_retry_after(NO_RETRY_AFTER.0));
    }
    let names: Vec<_> = candidates.into_iter().map(|c| c.upstream).collect();
    let mut plan = Plan::new(names.clone());
    let mut silent = 0;
    loop {
        let (upstream, queue) = match plan.next_step() {
            NextStep::Ask { upstream, queue } => (upstream, queue),
            NextStep::GiveUp(_) if silent > 0 => {
                return direct(shared, job, &names, asked_at);
            }
            NextStep::GiveUp(retry) => return Err(overloaded(&service.name, retry)),
        };
        let Some(spec) = service.upstreams.get(&upstream) else {
            plan.refused(NO_RETRY_AFTER);
            continue;
        };
        let Some(owner) = view.owners.of_upstream(&upstream, &spec.failure_domain) else {
            silent += 1;
            plan.refused(NO_RETRY_AFTER);
            continue;
        };
        let call = admit_call(shared, job, &upstream, queue, place_wish);
        match admit(shared, owner, call).await {
            Admitted::Granted(grant) => {
                return Ok(granted(shared, job, asked_at, upstream, spec, grant));
            }
            Admitted::Busy(wait) => {
                plan.busy(wait);
                note_busy(shared, job, &upstream, wait);
            }
            Admitted::Refused(retry) => {
                plan.refused(retry);
                note_busy(shared, job, &upstream, retry);
            }
            Admitted::Silent => {
                silent += 1;
                plan.refused(NO_RETRY_AFTER);
            }
        }
    }
}

fn admit_call(
    shared: &Shared,
    job: &Job,
    upstream: &UpstreamName,
    queue: bool,
    place_wish: PlaceWish<'_>,
) -> AdmitCall {
    AdmitCall {
        holder: shared.settings.host.clone(),
        token: 0,
        service: job.access.access.service.spec.name.clone(),
        upstream: upstream.clone(),
        organisation: job.access.access.organisation.clone(),
        kind: job.access.kind_name.clone(),
        prompt_tokens: job.prompt_tokens,
        patience: place_wish.patience_until.since(shared.clock.now()),
        suspect: place_wish.treatment == Treatment::Suspect,
        no_queue: !queue,
    }
}

fn granted(
    shared: &Arc<Shared>,
    job: &Job,
    asked_at: Time,
    upstream: UpstreamName,
    spec: &UpstreamSpec,
    grant: Grant,
) -> Place {
    let now = shared.clock.now();
    job.log(
        shared,
        Decision::Chosen {
            upstream: upstream.clone(),
            owner: grant.owner().clone(),
            waited_ms: now.since(asked_at).0,
        },
    );
    let counted = Outstanding::new(shared, &upstream);
    Place { upstream, spec: spec.clone(), grant: Some(grant), _counted: counted }
}

fn note_busy(shared: &Shared, job: &Job, upstream: &UpstreamName, wait: Millis) {
    let expected_wait_ms = wait.0;
    job.log(shared, Decision::Busy { upstream: upstream.clone(), expected_wait_ms });
}

/// Routes without an owner, within a small share that every daemon may use.
fn direct(
    shared: &Arc<Shared>,
    job: &Job,
    names: &[UpstreamName],
    asked_at: Time,
) -> Result<Place, ErrorBody> {
    let service = &job.access.access.service.spec;
    let has_room =
        |name: &&UpstreamName| shared.routing().router.outstanding(name.as_str()) < DIRECT_SHARE;
    let found = names.iter().find(has_room);
    let Some((upstream, spec)) = found.and_then(|n| service.upstreams.get_key_value(n)) else {
        return Err(overloaded(&service.name, NO_RETRY_AFTER));
    };
    job.log(
        shared,
        Decision::Chosen {
            upstream: upstream.clone(),
            owner: shared.settings.host.clone(),
            waited_ms: shared.clock.now().since(asked_at).0,
        },
    );
    let counted = Outstanding::new(shared, upstream);
    Ok(Place { upstream: upstream.clone(), spec: spec.clone(), grant: None, _counted: counted })
}

fn overloaded(service: &magnoliawinch::names::ServiceName, retry: Millis) -> ErrorBody {
    let message = format!("the upstreams of service \"{service}\" have no room");
    ErrorBody::new(Code::Overloaded, message).with_retry_after(retry.0)
}
