//! A run of a generation at an engine, read to its end over one or more connections.

use super::admission::UpstreamAdmission;
use super::job::Job;
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

/// Resume attempts without a new token after which the engine counts as crashed.
const MAX_RESUME_ATTEMPTS: u32 = 3;

/// Timeout for the engine's response to a resume request.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before each resume attempt but the first.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);

/// One item of a run's output.
#[derive(Debug)]
pub(super) enum Output {
    /// A token.
    Token { index: u64, text: String },
    /// The answer is complete, with this many tokens.
    Complete(u64),
}

/// Why a run ended before its answer was complete.
#[derive(Debug)]
pub(super) struct RunFailure {
    pub(super) verdict: Verdict,
    pub(super) reason: String,
    /// Whether the engine is presumed to have crashed.
    pub(super) engine_crashed: bool,
}

/// A run of a generation at one upstream.
#[derive(Debug)]
pub(super) struct Run {
    shared: Arc<Shared>,
    request_id: String,
    pub(super) id: GenerationId,
    admission: UpstreamAdmission,
    events: Events,
    validator: StreamValidator,
    /// Resume attempts since the last token.
    resumes: u32,
    /// Whether dropping the run must not cancel the generation.
    skip_cancel: bool,
}

/// Cancels the generation if the run is dropped before its end, unless another client reads it.
impl Drop for Run {
    fn drop(&mut self) {
        if self.skip_cancel || self.validator.is_complete() {
            return;
        }
        let (address, id) = (self.admission.spec.address, self.id.to_string());
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            if let Err(e) = shared.engines.cancel(address, &id, true).await {
                log::debug!("failed to cancel generation {id}: {e}");
            }
        });
    }
}

impl Run {
    /// Connects to a running generation, from the token with index `from`.
    pub(super) async fn resume(
        shared: &Arc<Shared>,
        request_id: &str,
        id: GenerationId,
        spec: &UpstreamSpec,
        silence: Millis,
        from: u64,
    ) -> Result<Self, EngineError> {
        let timeout = silence.into();
        let events = shared.engines.resume(spec.address, &id.to_string(), from, timeout).await?;
        let admission = UpstreamAdmission::new(shared, &id.upstream, spec, None);
        let validator = StreamValidator::new(&id.to_string(), from, shared.clock.now(), silence);
        Ok(Self {
            shared: Arc::clone(shared),
            request_id: request_id.to_owned(),
            id,
            admission,
            events,
            validator,
            resumes: 0,
            skip_cancel: false,
        })
    }

    /// Failure domain of the upstream.
    pub(super) fn failure_domain(&self) -> &FailureDomain {
        &self.admission.spec.failure_domain
    }

    /// Tokens returned so far.
    pub(super) fn tokens(&self) -> u64 {
        self.validator.next_index()
    }

    /// Returns the next output. Gaps, events of other generations and silence lead to a new
    /// connection to the same generation; no token is returned twice.
    pub(super) async fn next(&mut self) -> Result<Output, RunFailure> {
        loop {
            let now = self.shared.clock.now();
            let remaining = Duration::from(self.validator.silence_deadline().since(now));
            let event = timeout(remaining, self.events.next()).await;
            let action = match event {
                Ok(Some(Ok(event))) => self.validator.on_event(self.shared.clock.now(), event),
                Ok(Some(Err(LineError::Malformed { line, reason }))) => {
                    log::warn!(
                        "failed to parse line \"{line}\" of generation {}: {reason}",
                        self.id
                    );
                    Err(StreamError::Failed { reason })
                }
                Ok(Some(Err(_)) | None) => {
                    self.reconnect("the connection was lost").await?;
                    continue;
                }
                Err(_) => {
                    let silent = self.validator.tick(self.shared.clock.now());
                    self.reconnect(&silent.err().map_or_else(String::new, |e| e.to_string()))
                        .await?;
                    continue;
                }
            };
            match action {
                Ok(StreamAction::Deliver { index, text }) => {
                    self.resumes = 0;
                    if let Some(grant) = &mut self.admission.grant {
                        grant.count_token();
                    }
                    return Ok(Output::Token { index, text });
                }
                Ok(StreamAction::Ignore) => {}
                Ok(StreamAction::Complete) => {
                    if let Some(grant) = &mut self.admission.grant {
                        grant.mark_completed();
                    }
                    return Ok(Output::Complete(self.tokens()));
                }
                Err(e) if e.may_resume() => self.reconnect(&e.to_string()).await?,
                Err(e) => return Err(self.fail(Verdict::Ran, e.to_string(), false)),
            }
        }
    }

    /// Ends the run with a failure; a crash is reported to the router and the control thread.
    fn fail(&mut self, verdict: Verdict, reason: String, engine_crashed: bool) -> RunFailure {
        self.skip_cancel = true;
        if engine_crashed {
            self.shared.routing().router.note_failure(self.shared.clock.now(), &self.id.upstream);
            let message = Message::UpstreamUnreachable(self.id.upstream.clone());
            let _ = self.shared.control.try_send(message);
        }
        RunFailure { verdict, reason, engine_crashed }
    }

    /// Resumes the generation on a new connection.
    async fn reconnect(&mut self, reason: &str) -> Result<(), RunFailure> {
        let next_index = self.tokens();
        let upstream = self.id.upstream.clone();
        let decision = Decision::Resumed { upstream, next_index, reason: reason.to_owned() };
        self.shared.decisions.log(&self.request_id, &self.id.service, decision);
        let address = self.admission.spec.address;
        let id = self.id.to_string();
        let mut last_error = reason.to_owned();
        while self.resumes < MAX_RESUME_ATTEMPTS {
            if self.resumes > 0 {
                sleep(RESUME_RETRY_DELAY).await;
            }
            self.resumes += 1;
            let timeout = RESUME_TIMEOUT;
            match self.shared.engines.resume(address, &id, next_index, timeout).await {
                Ok(events) => {
                    self.events = events;
                    self.validator.reconnected(self.shared.clock.now());
                    return Ok(());
                }
                Err(e @ EngineError::UnknownGeneration { .. }) => {
                    return Err(self.fail(Verdict::MayHaveRun, e.to_string(), true));
                }
                Err(e) => last_error = e.to_string(),
            }
        }
        Err(self.fail(Verdict::MayHaveRun, last_error, true))
    }

    /// Cancels the generation at its engine, even if another client reads it.
    pub(super) async fn cancel(mut self) {
        self.skip_cancel = true;
        let (address, id) = (self.admission.spec.address, self.id.to_string());
        let shared = Arc::clone(&self.shared);
        drop(self);
        if let Err(e) = shared.engines.cancel(address, &id, false).await {
            log::debug!("failed to cancel generation {id}: {e}");
        }
    }
}

/// Starts a generation and waits for its first output.
pub(super) async fn start(
    shared: &Arc<Shared>,
    job: &Job,
    admission: UpstreamAdmission,
) -> Result<(Run, Output), RunFailure> {
    let service = &job.access.service_access.service.spec;
    let nonce: u64 = shared.routing().rng.random();
    let digest = &job.access.service_access.key_digest;
    let id = GenerationId::new(&service.name, &admission.upstream, nonce, digest);
    let request = StartGeneration {
        generation: id.to_string(),
        prompt: job.prompt.clone(),
        prompt_tokens: job.prompt_tokens,
        prefix: job.prefix,
        prefix_tokens: job.prefix_tokens,
        priority: job.access.kind.priority,
        max_tokens: job.max_tokens,
    };
    let silence = Millis(service.limits.silence_ms);
    let address = admission.spec.address;
    let started = match shared.engines.start(address, &request, silence.into()).await {
        Ok(started) => started,
        Err(e) => return Err(start_failure(shared, &admission.upstream, &e)),
    };
    if let (Some(grant), Some(load)) = (&admission.grant, &started.load) {
        grant.report_load(&admission.upstream, load);
    }
    let validator = StreamValidator::new(&id.to_string(), 0, shared.clock.now(), silence);
    let mut run = Run {
        shared: Arc::clone(shared),
        request_id: job.request_id.clone(),
        id,
        admission,
        events: started.events,
        validator,
        resumes: 0,
        skip_cancel: false,
    };
    let remaining = Duration::from(job.deadline.since(shared.clock.now()));
    match timeout(remaining, run.next()).await {
        Ok(Ok(first_output)) => Ok((run, first_output)),
        Ok(Err(failure)) => Err(failure),
        Err(_) => {
            let reason = "the deadline passed before the first token".to_owned();
            run.cancel().await;
            Err(RunFailure { verdict: Verdict::Ran, reason, engine_crashed: false })
        }
    }
}

/// The failure of a start; unreachable and draining engines are reported to the control thread.
fn start_failure(shared: &Shared, upstream: &UpstreamName, e: &EngineError) -> RunFailure {
    let now = shared.clock.now();
    shared.routing().router.note_failure(now, upstream);
    let (message, engine_crashed) = match e {
        EngineError::Refused { draining: true, .. } => {
            (Some(Message::UpstreamLeaving(upstream.clone())), false)
        }
        EngineError::Refused { .. } | EngineError::UnknownGeneration { .. } => (None, false),
        EngineError::Send(_) => (Some(Message::UpstreamUnreachable(upstream.clone())), true),
    };
    if let Some(message) = message {
        let _ = shared.control.try_send(message);
    }
    RunFailure { verdict: e.verdict(), reason: e.to_string(), engine_crashed }
}
