//! Follows one run of a generation at its engine.

use super::job::Job;
use super::place::Place;
use crate::control::Message;
use crate::shared::Shared;
use magnoliawinch::decision::Decision;
use magnoliawinch::delivery::{StreamAction, StreamError, StreamValidator};
use magnoliawinch::names::{FailureDomain, UpstreamName};
use magnoliawinch::service_file::UpstreamSpec;
use magnoliawinch::time::Millis;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_caller::GenerationId;
use magnoliawinch_engine::{EngineError, Events, StartGeneration};
use magnoliawinch_http::lines::LineError;
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
    delivery: StreamValidator,
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
        let place = Place::new(shared, &id.upstream, spec, None);
        let delivery = StreamValidator::new(&id.to_string(), from, shared.clock.now(), silence);
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

    /// Where its upstream stands.
    pub(super) fn failure_domain(&self) -> &FailureDomain {
        &self.place.spec.failure_domain
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
            let left = Duration::from(self.delivery.silence_deadline().since(now));
            let event = timeout(left, self.events.next()).await;
            let step = match event {
                Ok(Some(Ok(event))) => self.delivery.on_event(self.shared.clock.now(), event),
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
                Ok(StreamAction::Deliver { index, text }) => {
                    self.resumes = 0;
                    if let Some(grant) = &mut self.place.grant {
                        grant.wrote_token();
                    }
                    return Ok(Output::Token { index, text });
                }
                Ok(StreamAction::Ignore) => {}
                Ok(StreamAction::Complete) => {
                    if let Some(grant) = &mut self.place.grant {
                        grant.mark_completed();
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

/// Starts the generation and waits for its first output.
pub(super) async fn start(
    shared: &Arc<Shared>,
    job: &Job,
    place: Place,
) -> Result<(Run, Output), RunFailure> {
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
        grant.report_load(&place.upstream, load);
    }
    let delivery = StreamValidator::new(&id.to_string(), 0, shared.clock.now(), silence);
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
            (Some(Message::UpstreamLeaving(upstream.clone())), false)
        }
        EngineError::Refused { .. } | EngineError::UnknownGeneration { .. } => (None, false),
        EngineError::Send(_) => (Some(Message::UpstreamUnreachable(upstream.clone())), true),
    };
    if let Some(message) = message {
        let _ = shared.control.try_send(message);
    }
    RunFailure { verdict: e.verdict(), reason: e.to_string(), died }
}
