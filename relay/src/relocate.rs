//! Requests to engines: copies of a run's memory to another engine, attempts to continue a run, and
//! health checks.

use crate::call::response_problem;
use crate::forward::Forward;
use crate::handler::RequestHandler;
use crate::outbound::NotPermitted;
use crate::refusal::Quarantined;
use crate::run_body::RunBody;
use crate::runs::Endpoint;
use crate::wire::{CopyRefusal, Outgoing, Resume, RunCopy, Wire};
use hyper::StatusCode;
use magnoliawinch::handover::{ReclaimOutcome, SHARED_WORK_LIMIT};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::reachability::Reachability;
use magnoliawinch::response::ResponseClass;
use magnoliawinch::upstream_notices::Withheld;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::client::is_framed;
use magnoliawinch_http::{Reuse, SendError};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinError;
use tokio::time::{Instant, sleep, timeout};

/// Timeout of one copy, with its whole response. A leaving engine takes connections for some seconds;
/// a copy that hangs must leave time for another.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a response after which an engine that is told to stop a run is told so once more: it refuses
/// that while it copies the memory of the run that it has stopped.
const STOP_PATIENCE: Duration = Duration::from_millis(60);

/// Time in which both calls would be refused if another copy of the run were in progress.
const REFUSAL_TIME: Duration = Duration::from_millis(10);

/// How often an engine is told to stop a run that has ended for its caller, and the pause in between, which
/// grows by itself each time.
const MAX_STOPS_OF_LEFT_RUN: u32 = 6;
const STOP_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a call to drop a copy.
const DROP_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the response headers of an engine where a run continues.
const RESUME_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The same while the engine before may write: both may be at work until the response.
const SHARED_RESUME_TIMEOUT: Duration = Duration::from_millis(250);

// The engine whose answer was lost has to be asked before the one before it is left.
const _: () = assert!(SHARED_RESUME_TIMEOUT.as_millis() < SHARED_WORK_LIMIT.0 as u128);

/// Timeout of the check of an engine's machine before a prompt is sent there: some round trips.
const MACHINE_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Timeout of the health check of a silent engine.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of the response to a copy request.
const MAX_RESPONSE_BYTES: usize = 65_536;

#[derive(Debug, Error)]
pub(crate) enum CopyError {
    /// The engine refused.
    #[error("{0}")]
    Refused(#[from] CopyRefusal),
    /// The engine did not respond.
    #[error("{0}")]
    NoResponse(#[from] SendError),
}

impl CopyError {
    /// Whether the engine may have acted on the request; a final copy that did stopped the run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::Refused(CopyRefusal::NoRun | CopyRefusal::Busy) => Verdict::NotRun,
            Self::Refused(CopyRefusal::TargetUnavailable { kept: Some(_) }) => Verdict::Ran,
            Self::Refused(_) => Verdict::MayHaveRun,
            Self::NoResponse(e) => e.verdict(),
        }
    }
}

/// Why a run does not continue at an engine.
#[derive(Debug, Error)]
pub(crate) enum ResumeError {
    /// The engine did not respond.
    #[error("{0}")]
    NoResponse(#[from] SendError),
    /// The engine responded to the request with an error; it works on it no more, if it did.
    #[error("{engine} did not resume the run: {status}")]
    Refused {
        engine: UpstreamName,
        status: StatusCode,
        /// Whether it states that it did not run the request.
        not_run: bool,
    },
    /// The engine wants no requests.
    #[error("{engine} wants no requests: {withheld}")]
    Withheld { engine: UpstreamName, withheld: Withheld },
    /// Upstreams have ended under such requests.
    #[error("requests with {} are refused for {}", .0.culprit, .0.left)]
    Quarantined(Quarantined),
    /// The host that was to send the request to the engine did not, or broke off.
    #[error("the request was carried to another host: {cause}")]
    Carried { cause: String, verdict: Verdict },
    /// The response is not that of the run.
    #[error("invalid response with status {status} from {engine}: {problem}")]
    Invalid { engine: UpstreamName, status: StatusCode, problem: &'static str },
}

impl ResumeError {
    /// Whether the engine may have used the copy.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::NoResponse(e) => e.verdict(),
            Self::Refused { not_run: true, .. } | Self::Withheld { .. } | Self::Quarantined(_) => {
                Verdict::NotRun
            }
            Self::Carried { verdict, .. } => *verdict,
            Self::Refused { .. } | Self::Invalid { .. } => Verdict::MayHaveRun,
        }
    }
}

/// An attempt to continue a run.
#[derive(Debug)]
pub(crate) struct ResumeAttempt {
    /// When the request was sent, at the earliest.
    pub(crate) sent_at: Instant,
    pub(crate) result: Result<RunBody, ResumeError>,
}

/// Timeout for the response headers of an engine where a run continues.
pub(crate) fn resume_timeout(may_be_written: bool) -> Duration {
    if may_be_written { SHARED_RESUME_TIMEOUT } else { RESUME_TIMEOUT }
}

impl<W: Wire> RequestHandler<W> {
    /// Copies the memory of the run of `fwd` from the engine `from` to that at `to`; with `is_final`
    /// the run stops first.
    pub(crate) async fn copy_run(
        &self,
        fwd: &Forward,
        from: &Endpoint,
        to: SocketAddr,
        is_final: bool,
    ) -> Result<RunCopy, CopyError> {
        let req = self.wire.copy_request(&fwd.info.run, to, is_final);
        let exchange = async {
            let response = self.send_order(&fwd.service, from, req, COPY_TIMEOUT).await?;
            let status = response.status();
            Ok((status, response.bytes(MAX_RESPONSE_BYTES).await?))
        };
        let timed_out = SendError::Timeout { address: from.address, after: COPY_TIMEOUT };
        let (status, body) = timeout(COPY_TIMEOUT, exchange).await.unwrap_or(Err(timed_out))?;
        Ok(self.wire.parse_copy_response(status, &body)?)
    }

    /// Has the engine `from`, which may work on the run of `fwd`, stop it and copy its memory to that at
    /// `to`. With `needs_copy` the copy is awaited, otherwise only the stop.
    pub(crate) async fn reclaim_run(
        &self,
        fwd: &Arc<Forward>,
        from: &Endpoint,
        to: SocketAddr,
        is_repeated: bool,
        needs_copy: bool,
    ) -> ReclaimOutcome {
        let started_at = Instant::now();
        let (outcome, problem) = match self.has_ended(fwd, from) {
            true => (ReclaimOutcome::Ended, String::new()),
            false if needs_copy => {
                let result = self.copy_run(fwd, from, to, true).await;
                self.reclaim_outcome(fwd, from, is_repeated, result).await
            }
            false => self.stop_run(fwd, from, to, is_repeated).await,
        };
        let name: &'static str = (&outcome).into();
        self.shared.metrics.count("move_step", &format!("reclaim_{name}"));
        if !is_repeated || outcome != ReclaimOutcome::Unreachable {
            log::info!(
                request = fwd.info.run.as_str(),
                upstream = from.name.as_str(),
                outcome = name,
                took_ms = started_at.elapsed().as_millis() as u64,
                problem;
                "engine that may work on a run told to stop it"
            );
        }
        outcome
    }

    /// Tells an engine to stop a run that has ended for its caller, some times if need be.
    pub(crate) async fn stop_left_run(&self, fwd: &Arc<Forward>, from: &Endpoint, to: SocketAddr) {
        for attempt in 0..MAX_STOPS_OF_LEFT_RUN {
            let is_repeated = attempt > 0;
            match self.reclaim_run(fwd, from, to, is_repeated, false).await {
                ReclaimOutcome::Stopped { handle, .. } => {
                    return self.drop_copy(fwd, from, &handle).await;
                }
                ReclaimOutcome::Stopping | ReclaimOutcome::NoRun | ReclaimOutcome::Ended => return,
                ReclaimOutcome::Unreachable | ReclaimOutcome::Failed | ReclaimOutcome::Unknown => {
                    sleep(STOP_PAUSE * (attempt + 1)).await;
                }
            }
        }
    }

    /// Whether the list shows another incarnation of the engine.
    fn has_ended(&self, fwd: &Forward, engine: &Endpoint) -> bool {
        let view = self.shared.view.load();
        let listed = view.fleet.get(&engine.name);
        listed.is_some_and(|listed| listed.service == fwd.service && listed.born > engine.born)
    }

    /// Tells an engine to stop a run without awaiting the copy of its memory, which is dropped once it is
    /// there.
    async fn stop_run(
        &self,
        fwd: &Arc<Forward>,
        from: &Endpoint,
        to: SocketAddr,
        is_repeated: bool,
    ) -> (ReclaimOutcome, String) {
        let (handler, own_fwd, own_from) = (self.clone(), Arc::clone(fwd), from.clone());
        let mut first = self
            .shared
            .traffic
            .spawn(async move { handler.copy_run(&own_fwd, &own_from, to, true).await });
        let of_first = |result: Result<_, JoinError>| async {
            match result {
                Ok(result) => self.reclaim_outcome(fwd, from, is_repeated, result).await,
                Err(e) => (ReclaimOutcome::Unknown, e.to_string()),
            }
        };
        if let Ok(result) = timeout(STOP_PATIENCE, &mut first).await {
            return of_first(result).await;
        }
        let is_in_progress = async {
            match self.copy_run(fwd, from, to, true).await {
                Err(CopyError::Refused(CopyRefusal::Busy | CopyRefusal::NoRun)) => {
                    sleep(REFUSAL_TIME).await;
                }
                // Its outcome is that of the first call.
                Ok(_) | Err(_) => pending().await,
            }
        };
        tokio::select! {
            biased;
            result = &mut first => of_first(result).await,
            () = is_in_progress => {
                let (handler, fwd, from) = (self.clone(), Arc::clone(fwd), from.clone());
                self.shared.traffic.spawn(async move {
                    if let Ok(Ok(RunCopy { handle, .. })) = first.await {
                        handler.drop_copy(&fwd, &from, &handle).await;
                    }
                });
                (ReclaimOutcome::Stopping, String::new())
            }
        }
    }

    async fn reclaim_outcome(
        &self,
        fwd: &Forward,
        from: &Endpoint,
        is_repeated: bool,
        result: Result<RunCopy, CopyError>,
    ) -> (ReclaimOutcome, String) {
        let problem = result.as_ref().err().map_or_else(String::new, ToString::to_string);
        let outcome = match result {
            Ok(RunCopy { handle, .. }) => ReclaimOutcome::Stopped { handle, is_copied: true },
            Err(CopyError::Refused(refusal)) => match refusal {
                CopyRefusal::TargetUnavailable { kept: Some(handle) } => {
                    ReclaimOutcome::Stopped { handle, is_copied: false }
                }
                CopyRefusal::NoRun => ReclaimOutcome::NoRun,
                CopyRefusal::TargetUnavailable { kept: None }
                | CopyRefusal::Busy
                | CopyRefusal::Other { .. } => ReclaimOutcome::Failed,
            },
            // Asking other hosts takes longer than a run that continues should wait.
            Err(CopyError::NoResponse(SendError::Connect { timed_out: false, .. }))
                if is_repeated =>
            {
                match self.shared.examine(&fwd.service, from).await {
                    Reachability::Refused => ReclaimOutcome::Ended,
                    Reachability::Accepted => ReclaimOutcome::Unknown,
                    Reachability::Unknown | Reachability::PathLost => ReclaimOutcome::Unreachable,
                }
            }
            Err(CopyError::NoResponse(SendError::Connect { .. })) => ReclaimOutcome::Unreachable,
            Err(CopyError::NoResponse(_)) => ReclaimOutcome::Unknown,
        };
        (outcome, problem)
    }

    /// Has an engine drop a copy that it made of a run's memory.
    pub(crate) async fn drop_copy(&self, fwd: &Forward, engine: &Endpoint, handle: &str) {
        let sent = match self.wire.drop_copy_request(handle) {
            Ok(req) => self.send_order(&fwd.service, engine, req, DROP_TIMEOUT).await.map(drop),
            Err(e) => Err(e),
        };
        self.shared.metrics.count("copy_dropped", if sent.is_ok() { "sent" } else { "failed" });
        if let Err(e) = sent {
            // It expires by itself.
            log::info!(
                request = fwd.info.run.as_str(),
                upstream = engine.name.as_str();
                "a copy that is not needed was not dropped: {e}"
            );
        }
    }

    /// Has the engine `to` continue a run from a copy, by way of another host if this one is cut off
    /// from its service. `timeout` applies until the head of the response arrives.
    pub(crate) async fn continue_run(
        &self,
        fwd: &Forward,
        to: &Endpoint,
        resume: &Resume,
        timeout: Duration,
    ) -> ResumeAttempt {
        if !self.shared.is_cut_off(&fwd.service) {
            let sent_at = Instant::now();
            let result = self.resume_run(fwd, to, resume, timeout).await;
            let was_not_sent = matches!(&result, Err(ResumeError::NoResponse(e)) if e.verdict() == Verdict::NotRun);
            if !was_not_sent || !self.shared.is_found_cut_off(&fwd.service).await {
                return ResumeAttempt { sent_at, result };
            }
        }
        self.carry_resume(fwd, to, resume, timeout).await
    }

    /// Sends the request of a run to the engine `to`, which continues it from a copy.
    pub(crate) async fn resume_run(
        &self,
        fwd: &Forward,
        to: &Endpoint,
        resume: &Resume,
        timeout: Duration,
    ) -> Result<RunBody, ResumeError> {
        let permit = self.permit_resume(fwd, to).map_err(|reason| match reason {
            NotPermitted::Withheld(withheld) => {
                ResumeError::Withheld { engine: to.name.clone(), withheld }
            }
            NotPermitted::Quarantined(quarantined) => ResumeError::Quarantined(quarantined),
        })?;
        let out = Outgoing {
            upstream: &to.name,
            organisation: fwd.organisation.as_ref().map(|o| o.name.as_str()),
            remaining: fwd.remaining_ms(),
            backup: None,
            resume: Some(resume),
        };
        let req = fwd.request(&*self.wire, &out);
        let timeout = fwd.remaining().min(timeout);
        let sent = self.send(permit, req, Reuse::Never, timeout).await;
        if !matches!(&sent, Err(e) if e.verdict() == Verdict::NotRun) {
            self.shared.note_resumption(&fwd.service);
        }
        if sent.as_ref().is_err_and(SendError::is_lost_connection) {
            drop(self.note_lost_connection(fwd, to));
        }
        let (response, info, _) = sent?;
        let (engine, status) = (to.name.clone(), response.status());
        if let Some(problem) = response_problem(fwd, status, &info) {
            return Err(ResumeError::Invalid { engine, status, problem });
        }
        let class = ResponseClass::new(status.as_u16(), info.not_run);
        self.note_response_class(fwd, to, status, class);
        if class != ResponseClass::Success {
            return Err(ResumeError::Refused { engine, status, not_run: info.not_run });
        }
        let is_framed = is_framed(response.headers());
        Ok(RunBody::Direct { body: response.into_body(), is_framed })
    }

    /// Whether the machine of an engine is slower at the moment than `max_percent`, in hundredths of the
    /// usual time.
    pub(crate) async fn slowdown_exceeds(
        &self,
        fwd: &Forward,
        engine: &Endpoint,
        max_percent: u32,
    ) -> bool {
        let slowdown = self.ask_slowdown(fwd, engine).await;
        let result = match slowdown {
            Some(percent) if percent > max_percent => "slow",
            Some(_) => "usual",
            None => "unknown",
        };
        self.shared.metrics.count("machine_check", result);
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.info.run.as_str(),
                upstream = engine.name.as_str(),
                slowdown_percent = slowdown.unwrap_or(0),
                max_percent,
                result;
                "machine checked before a prompt is sent"
            );
        }
        result == "slow"
    }

    async fn ask_slowdown(&self, fwd: &Forward, engine: &Endpoint) -> Option<u32> {
        let view = self.shared.view.load();
        let path = view.table.as_ref()?.service(fwd.service.as_str())?.health_path.as_deref()?;
        let note = |e: &SendError| log::debug!("machine check failed: {e}");
        let req = self.wire.load_request(path).inspect_err(note).ok()?;
        let sent = self.send_order(&fwd.service, engine, req, MACHINE_CHECK_TIMEOUT);
        let response = sent.await.inspect_err(note).ok()?;
        self.wire.parse_response_headers(response.headers()).load?.slowdown_percent
    }

    /// Whether the engine of a run responds to a health check.
    pub(crate) async fn is_alive(&self, fwd: &Forward, engine: &Endpoint) -> bool {
        let req = self.wire.health_check_request();
        self.send_order(&fwd.service, engine, req, HEALTH_CHECK_TIMEOUT).await.is_ok()
    }
}
