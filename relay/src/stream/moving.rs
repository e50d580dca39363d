//! Performs the steps that [`Handover`](magnoliawinch::handover::Handover) decides on.

use super::EventStream;
use crate::body_end::UNFRAMED_END;
use crate::control::Message;
use crate::refusal::Refusal;
use crate::relocate::{CopyError, ResumeAttempt, ResumeError, resume_timeout};
use crate::run_body::RunBody;
use crate::runs::{Assignment, Endpoint, MoveOrder};
use crate::wire::{CopyRefusal, Resume, RunCopy, Wire};
use magnoliawinch::handover::{
    Action, BodyEnd, CopyOutcome, CutCause, KeptCopy, ReclaimOutcome, ResumeOutcome, ResumePoint,
};
use magnoliawinch::pool::MoveMethod;
use magnoliawinch::time::Time;
use magnoliawinch::upstream_notices::Withheld;
use magnoliawinch::verdict::Verdict;
use std::time::Duration;
use tokio::task::{JoinError, JoinHandle, JoinSet};
use tokio::time::Instant;

/// Time between two attempts to have a run moved that comes by way of a host that is leaving.
const HOST_LEAVING_RETRY: Duration = Duration::from_millis(400);

type CopyResult = Result<RunCopy, CopyError>;

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    Complete,
    Cut(CutCause),
}

/// The end of a step in progress.
pub(super) enum TaskResult {
    Copy(Result<CopyResult, JoinError>),
    Resume(Result<ResumeAttempt, JoinError>),
    Reclaim(Result<(Endpoint, ReclaimOutcome), JoinError>),
    Check(Result<bool, JoinError>),
    EndCheck(Result<bool, JoinError>),
    Placement(Result<Result<Endpoint, Refusal>, JoinError>),
}

/// A step in progress, which is cancelled when dropped.
#[derive(Debug)]
struct Task<T> {
    handle: JoinHandle<T>,
    started_at: Instant,
}

impl<T> Task<T> {
    fn new(handle: JoinHandle<T>) -> Self {
        Self { handle, started_at: Instant::now() }
    }
}

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

/// The steps in progress.
#[derive(Debug, Default)]
pub(super) struct MoveTasks {
    copy: Option<Task<CopyResult>>,
    resume: Option<Task<ResumeAttempt>>,
    /// Last attempt to continue the run.
    resume_target: Option<Endpoint>,
    /// Orders to stop the run, with the engines that get them.
    reclaims: JoinSet<(Endpoint, ReclaimOutcome)>,
    check: Option<Task<bool>>,
    end_check: Option<Task<bool>>,
    /// Asks for an engine for a run that has to reach this host in another way.
    placement: Option<Task<Result<Endpoint, Refusal>>>,
    placed_at: Option<Instant>,
}

impl MoveTasks {
    /// Waits until a step ends; forever if there is none.
    pub(super) async fn next(&mut self) -> TaskResult {
        tokio::select! {
            result = finish(&mut self.copy) => TaskResult::Copy(result),
            result = finish(&mut self.resume) => TaskResult::Resume(result),
            Some(result) = self.reclaims.join_next() => TaskResult::Reclaim(result),
            result = finish(&mut self.check) => TaskResult::Check(result),
            result = finish(&mut self.end_check) => TaskResult::EndCheck(result),
            result = finish(&mut self.placement) => TaskResult::Placement(result),
        }
    }
}

async fn finish<T>(task: &mut Option<Task<T>>) -> Result<T, JoinError> {
    match task {
        Some(task) => (&mut task.handle).await,
        None => std::future::pending().await,
    }
}

impl<W: Wire> EventStream<W> {
    /// Does what is due; returns the end of the stream if it has come.
    pub(super) fn advance(&mut self) -> Option<StreamEnd> {
        while let Some(action) = self.handover.next_action(self.now()) {
            match action {
                Action::StartCopy { to, is_final } => self.start_copy(&to, is_final),
                Action::Resume(point) => self.start_resume(point),
                Action::Reclaim { from, to, is_repeated, needs_copy } => {
                    self.start_reclaim(from, &to, is_repeated, needs_copy);
                }
                Action::DropCopy { engine, handle } => self.drop_copy(engine, handle),
                Action::LeaveSource => self.leave_source(),
                Action::CheckSource => self.start_check(),
                Action::CheckEnd => self.start_end_check(),
                Action::ReportFailedMove { refused_by } => {
                    self.report_failed_move(refused_by.as_ref());
                }
                Action::Complete => return Some(StreamEnd::Complete),
                Action::Cut(cause) => return Some(StreamEnd::Cut(cause)),
            }
        }
        if self.handover.copying().is_none() {
            self.tasks.copy = None;
        }
        self.leave_host();
        None
    }

    /// Has a run moved that comes by way of a host that is leaving, once this host reaches its service
    /// again.
    fn leave_host(&mut self) {
        let is_due = self.tasks.placed_at.is_none_or(|at| at.elapsed() >= HOST_LEAVING_RETRY);
        if !self.body.is_host_leaving()
            || !is_due
            || self.tasks.placement.is_some()
            || !self.handover.accepts_orders()
            || self.handler.shared.is_served_elsewhere(&self.fwd.service)
        {
            return;
        }
        let (handler, fwd) = (self.handler.clone(), self.fwd.clone());
        let avoid = [self.handover.source().name.clone()];
        let place = async move { handler.place(&fwd, &avoid).await.map(|placed| placed.engine) };
        self.tasks.placement = Some(Task::new(self.handler.shared.traffic.spawn(place)));
        self.tasks.placed_at = Some(Instant::now());
    }

    fn handle_placement(&mut self, result: Result<Result<Endpoint, Refusal>, JoinError>) {
        let problem = match result {
            Ok(Ok(to)) => {
                log::info!(
                    request = self.fwd.info.run.as_str(),
                    from = self.handover.source().name.as_str(),
                    to = to.name.as_str();
                    "run moves, as the host that passes it on is leaving"
                );
                let from = self.handover.source().name.clone();
                return self.handle_order(MoveOrder { from, to, way: MoveMethod::Copy });
            }
            Ok(Err(refusal)) => <&str>::from(&refusal).to_owned(),
            Err(e) => e.to_string(),
        };
        log::info!(
            request = self.fwd.info.run.as_str(),
            problem;
            "no engine for a run whose host is leaving"
        );
    }

    /// Hands an ordered move on unless its target wants no requests.
    pub(super) fn handle_order(&mut self, order: MoveOrder) {
        if self.handler.withheld(&self.fwd, &order.to.name, order.to.born).is_some() {
            return self.report_failed_move(Some(&order.to));
        }
        let is_from_source = order.from == self.handover.source().name;
        self.handover.on_order(is_from_source, order.to, order.way);
    }

    fn report_failed_move(&self, refused_by: Option<&Endpoint>) {
        self.run.move_failed(refused_by.map(|engine| &engine.name));
        self.handler.shared.tell(Message::ReportSoon);
    }

    fn start_copy(&mut self, to: &Endpoint, is_final: bool) {
        // The target may have stated so since the first copy; the run must not stop in vain.
        if is_final && self.handler.withheld(&self.fwd, &to.name, to.born).is_some() {
            self.report_failed_move(Some(to));
            return self.handover.on_copy(self.now(), CopyOutcome::Refused);
        }
        let handler = self.handler.clone();
        let (fwd, from, to) = (self.fwd.clone(), self.handover.source().clone(), to.address);
        let copy = async move { handler.copy_run(&fwd, &from, to, is_final).await };
        self.tasks.copy = Some(Task::new(self.handler.shared.traffic.spawn(copy)));
    }

    fn start_resume(&mut self, point: ResumePoint<Endpoint>) {
        let (handler, fwd) = (self.handler.clone(), self.fwd.clone());
        let (address, handle) = match point.copy {
            KeptCopy::Moved { source, handle } => (source.address, handle),
            KeptCopy::Backup => (point.engine.address, fwd.info.run.to_string()),
        };
        let resume = Resume { address, handle, last_event: self.events.last_id() };
        let to = point.engine.clone();
        let timeout = resume_timeout(self.handover.may_be_written());
        let send = async move { handler.continue_run(&fwd, &to, &resume, timeout).await };
        self.tasks.resume = Some(Task::new(self.handler.shared.traffic.spawn(send)));
        self.tasks.resume_target = Some(point.engine);
    }

    fn start_reclaim(
        &mut self,
        from: Endpoint,
        to: &Endpoint,
        is_repeated: bool,
        needs_copy: bool,
    ) {
        let (handler, fwd, to) = (self.handler.clone(), self.fwd.clone(), to.address);
        let reclaim = async move {
            let outcome = handler.reclaim_run(&fwd, &from, to, is_repeated, needs_copy).await;
            (from, outcome)
        };
        self.tasks.reclaims.spawn_on(reclaim, &self.handler.shared.traffic);
    }

    /// Goes on telling engines to stop that may work on the run, which this host no longer holds.
    pub(super) fn stop_others(&self) {
        let source = self.handover.source();
        for engine in self.handover.others().filter(|engine| *engine != source) {
            let (handler, fwd) = (self.handler.clone(), self.fwd.clone());
            let (engine, to) = (engine.clone(), source.address);
            let stop = async move { handler.stop_left_run(&fwd, &engine, to).await };
            self.handler.shared.traffic.spawn(stop);
        }
    }

    fn drop_copy(&self, engine: Endpoint, handle: String) {
        let (handler, fwd) = (self.handler.clone(), self.fwd.clone());
        let drop_copy = async move { handler.drop_copy(&fwd, &engine, &handle).await };
        self.handler.shared.traffic.spawn(drop_copy);
    }

    fn start_end_check(&mut self) {
        let (handler, fwd) = (self.handler.clone(), self.fwd.clone());
        let source = self.handover.source().clone();
        let check = async move { handler.has_closed_whole_body(&fwd, &source).await };
        self.tasks.end_check = Some(Task::new(self.handler.shared.traffic.spawn(check)));
    }

    fn leave_source(&mut self) {
        self.body = RunBody::Closed;
        self.count_step("leave", Verdict::MayHaveRun);
        log::info!(
            request = self.fwd.info.run.as_str(),
            upstream = self.handover.source().name.as_str(),
            events = self.events.count();
            "engine left, as another one may run the request"
        );
    }

    fn start_check(&mut self) {
        let (handler, fwd) = (self.handler.clone(), self.fwd.clone());
        let source = self.handover.source().clone();
        let check = async move { handler.is_alive(&fwd, &source).await };
        self.tasks.check = Some(Task::new(self.handler.shared.traffic.spawn(check)));
    }

    pub(super) fn handle_result(&mut self, result: TaskResult) {
        match result {
            TaskResult::Copy(result) => {
                let started_at = self.tasks.copy.take().map(|task| task.started_at);
                let took = started_at.map_or(Duration::ZERO, |at| at.elapsed());
                self.handle_copy_result(result, took);
            }
            TaskResult::Resume(result) => {
                let started_at = self.tasks.resume.take().map(|task| task.started_at);
                let took = started_at.map_or(Duration::ZERO, |at| at.elapsed());
                if let Some(to) = self.tasks.resume_target.take() {
                    self.handle_resume_result(to, result, took);
                }
            }
            TaskResult::Reclaim(Ok((from, outcome))) => {
                self.handover.on_reclaim(self.now(), &from, outcome);
            }
            TaskResult::Reclaim(Err(e)) => {
                log::error!("telling an engine to stop a run failed: {e}");
            }
            TaskResult::EndCheck(result) => {
                self.tasks.end_check = None;
                let has_outlived = result.unwrap_or(false);
                if !has_outlived {
                    self.note_broken_off(UNFRAMED_END);
                }
                self.handover.on_end_checked(has_outlived);
            }
            TaskResult::Check(result) => {
                self.tasks.check = None;
                let is_alive = result.unwrap_or(false);
                if !is_alive {
                    self.last_failure = "the silent engine failed its health check".to_owned();
                }
                self.handover.on_check(self.now(), is_alive);
            }
            TaskResult::Placement(result) => {
                self.tasks.placement = None;
                self.handle_placement(result);
            }
        }
    }

    fn handle_copy_result(&mut self, result: Result<CopyResult, JoinError>, took: Duration) {
        let (verdict, problem) = match &result {
            Ok(Ok(_)) => (Verdict::Ran, String::new()),
            Ok(Err(e)) => (e.verdict(), e.to_string()),
            Err(e) => (Verdict::MayHaveRun, e.to_string()),
        };
        self.log_copy(verdict, &problem, took);
        if verdict == Verdict::Ran && self.handover.copying().is_some_and(|(_, is_final)| is_final)
        {
            // Copies of other runs may follow over the same links.
            self.run.mark_copied();
            self.handler.shared.tell(Message::ReportSoon);
        }
        if !problem.is_empty() {
            self.last_failure = problem;
        }
        let outcome = match result {
            Ok(Ok(copied)) => CopyOutcome::Copied { handle: copied.handle },
            Ok(Err(CopyError::Refused(refusal))) => match refusal {
                CopyRefusal::NoRun | CopyRefusal::Busy => CopyOutcome::Refused,
                CopyRefusal::TargetUnavailable { kept } => CopyOutcome::NoRoom { kept },
                CopyRefusal::Other { .. } => CopyOutcome::Unknown,
            },
            Ok(Err(CopyError::NoResponse(e))) if e.verdict() == Verdict::NotRun => {
                CopyOutcome::NotSent
            }
            Ok(Err(CopyError::NoResponse(_))) | Err(_) => CopyOutcome::Unknown,
        };
        self.handover.on_copy(self.now(), outcome);
    }

    fn handle_resume_result(
        &mut self,
        to: Endpoint,
        result: Result<ResumeAttempt, JoinError>,
        took: Duration,
    ) {
        let may_have_run = |since: Duration| {
            let sent_at = Time(self.now().0.saturating_sub(since.as_millis() as u64));
            ResumeOutcome::MayHaveRun { sent_at }
        };
        let outcome = match result {
            Ok(ResumeAttempt { result: Ok(body), .. }) => return self.continue_at(to, body, took),
            Ok(ResumeAttempt { result: Err(e), sent_at }) => {
                let may_have_run = may_have_run(sent_at.elapsed());
                self.note_failed_resume(&to, e.verdict(), e.to_string(), took);
                match &e {
                    ResumeError::Refused { not_run: true, .. }
                    | ResumeError::Quarantined(_)
                    | ResumeError::Withheld {
                        withheld: Withheld::Leaving { .. } | Withheld::Evacuated,
                        ..
                    } => ResumeOutcome::Refused,
                    e if e.verdict() == Verdict::NotRun => ResumeOutcome::NotSent,
                    _ => may_have_run,
                }
            }
            Err(e) => {
                let may_have_run = may_have_run(took);
                self.note_failed_resume(&to, Verdict::MayHaveRun, e.to_string(), took);
                may_have_run
            }
        };
        self.handover.on_resume(self.now(), outcome);
        if self.handover.backup().is_none() {
            self.run.drop_backup();
        }
    }

    /// Reads on from `body`; that of the engine before is closed.
    fn continue_at(&mut self, to: Endpoint, body: RunBody, took: Duration) {
        self.count_step("resume", Verdict::Ran);
        log::info!(
            request = self.fwd.info.run.as_str(),
            from = self.handover.source().name.as_str(),
            to = to.name.as_str(),
            last_event = self.events.last_id().unwrap_or(0),
            took_ms = took.as_millis() as u64,
            pause_ms = self.last_sent_at.map_or(0, |at| at.elapsed().as_millis() as u64);
            "run goes on"
        );
        let now = self.now();
        let source = &self.handover.source().name;
        self.handler.shared.run_starts().broke(now, &self.fwd.info.run, source);
        self.moves += 1;
        self.has_outlived_start = false;
        self.body = body;
        self.events.discard_partial_event();
        self.handover.on_resume(self.now(), ResumeOutcome::Started);
        (self.tasks.copy, self.tasks.check, self.tasks.end_check) = (None, None, None);
        self.tasks.placement = None;
        let backup = self.handover.backup().cloned();
        self.run.set_assignment(Assignment::new(to, backup));
    }

    /// Handles the end of the body of the engine that writes the stream.
    pub(super) fn end_body(&mut self, end: BodyEnd, cause: &str) {
        if end == BodyEnd::Broken && !self.handover.may_end_early() {
            self.note_broken_off(cause);
        }
        self.handover.on_end(end);
    }

    fn note_broken_off(&mut self, cause: &str) {
        let upstream = self.handover.source().name.clone();
        log::info!(
            request = self.fwd.info.run.as_str(),
            upstream = upstream.as_str(),
            events = self.events.count(),
            reason = cause;
            "stream broke off"
        );
        drop(self.handler.note_lost_connection(&self.fwd, self.handover.source()));
        self.handler.shared.tell(Message::UpstreamUnreachable(upstream));
        self.last_failure = cause.to_owned();
    }

    fn log_copy(&self, verdict: Verdict, problem: &str, took: Duration) {
        let Some((to, is_final)) = self.handover.copying() else {
            return;
        };
        self.count_step(if is_final { "final_copy" } else { "copy" }, verdict);
        log::info!(
            request = self.fwd.info.run.as_str(),
            from = self.handover.source().name.as_str(),
            to = to.name.as_str(),
            last = is_final,
            events = self.events.count(),
            took_ms = took.as_millis() as u64,
            verdict:% = verdict,
            may_have_stopped = is_final && verdict != Verdict::NotRun,
            problem;
            "memory copied"
        );
    }

    fn note_failed_resume(
        &mut self,
        to: &Endpoint,
        verdict: Verdict,
        cause: String,
        took: Duration,
    ) {
        self.count_step("resume", verdict);
        log::info!(
            request = self.fwd.info.run.as_str(),
            from = self.handover.source().name.as_str(),
            to = to.name.as_str(),
            verdict:% = verdict,
            is_reading = self.handover.is_reading(),
            stop:% = self.handover.stop(),
            took_ms = took.as_millis() as u64,
            reason = cause.as_str();
            "run did not go on"
        );
        self.last_failure = cause;
    }

    /// Counts a step of a move by its verdict.
    fn count_step(&self, step: &str, verdict: Verdict) {
        self.handler.shared.metrics.count("move_step", &format!("{step}_{verdict}"));
    }
}
