//! Requests whose response is a stream of events.
//!
//! Each stream belongs to one run. When its engine leaves or fails, the run continues at another
//! engine from a copy of its memory, and the caller receives the next event.

mod moving;

use self::moving::{MoveTasks, StreamEnd, TaskResult};
use crate::call::{Attempt, BufferedResponse, response_problem};
use crate::control::Message;
use crate::events::EventReader;
use crate::forward::{Forward, strip_hop_by_hop_headers};
use crate::handler::RequestHandler;
use crate::outbound::{OutstandingRequest, SendPermit};
use crate::refusal::Refusal;
use crate::run_body::{BodyBroken, RunBody};
use crate::runs::{Assignment, Endpoint, MoveOrder, RunGuard, RunInfo};
use crate::wire::{Outgoing, Wire};
use bytes::Bytes;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, StatusCode};
use magnoliawinch::handover::{BodyEnd, CutCause, Handover, caller_patience};
use magnoliawinch::names::{KindName, OrganisationName, UpstreamName};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::client::is_framed;
use magnoliawinch_http::{ClientResponse, Reuse, SendError};
use magnoliawinch_runtime::InProgressGuard;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Engines tried for one run before its caller is refused.
const MAX_ENGINES_TRIED: u32 = 3;

/// The stream ended before it was complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream was cut")]
pub(crate) struct StreamCut;

/// The response to a request for a stream.
pub(crate) enum StreamStart<W: Wire> {
    /// The engine started the stream.
    Stream { status: StatusCode, headers: HeaderMap, stream: Box<EventStream<W>> },
    /// A complete response instead of a stream.
    Buffered(BufferedResponse),
}

struct PlacedRun {
    run: RunGuard,
    orders: mpsc::Receiver<MoveOrder>,
    assignment: Assignment,
    /// Time from arrival to assignment.
    waited: Duration,
    in_progress: InProgressGuard,
    outstanding: OutstandingRequest,
}

/// Times of a stream as the caller sees them, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct StreamTimes {
    /// Time from arrival to assignment.
    placed: Duration,
    /// Time from arrival to the first event.
    first: Option<Duration>,
    /// Longest time between two events.
    longest_pause: Duration,
}

pub(crate) struct EventStream<W: Wire> {
    handler: RequestHandler<W>,
    fwd: Arc<Forward>,
    run: RunGuard,
    orders: mpsc::Receiver<MoveOrder>,
    body: RunBody,
    events: EventReader,
    tokens_per_event: u32,
    handover: Handover<Endpoint>,
    tasks: MoveTasks,
    /// Cause of the last failure of the engine or of a step of a move.
    last_failure: String,
    /// When the last events were sent to the caller.
    last_sent_at: Option<Instant>,
    times: StreamTimes,
    moves: u32,
    /// Whether the engine has lived on for long enough after it began to write.
    has_outlived_start: bool,
    outcome: Option<&'static str>,
    _in_progress: InProgressGuard,
    _outstanding: OutstandingRequest,
}

/// What a stream has to handle next.
enum Step {
    Chunk(Option<Result<Bytes, BodyBroken>>),
    Order(MoveOrder),
    Task(TaskResult),
    Timer,
}

impl<W: Wire> RequestHandler<W> {
    /// Starts a run at an engine of the service.
    pub(crate) async fn start_stream(&self, fwd: Arc<Forward>) -> Result<StreamStart<W>, Refusal> {
        let mut avoid = Vec::new();
        loop {
            if let Some(quarantined) = self.quarantined(&fwd) {
                return Err(Refusal::Quarantined(quarantined));
            }
            let mut assignment = self.assign_engine(&fwd, &avoid).await?;
            let Ok(permit) = self.permit(&fwd, &assignment.engine) else {
                // Stated since the assignment, or the owner knows an older incarnation.
                avoid.push(assignment.engine.name);
                continue;
            };
            assignment
                .backup
                .take_if(|backup| self.withheld(&fwd, &backup.name, backup.born).is_some());
            let waited = fwd.arrived_at.elapsed();
            let in_progress = self.shared.track_request();
            let (run, orders) = self.shared.runs.register(self.run_info(&fwd), assignment.clone());
            let name = assignment.engine.name.clone();
            match self.send_to_engine(&fwd, permit, &assignment).await {
                Ok(EngineResponse::Stream(response, outstanding)) => {
                    let placed_run =
                        PlacedRun { run, orders, assignment, waited, in_progress, outstanding };
                    return Ok(self.event_stream(&fwd, placed_run, response));
                }
                Ok(EngineResponse::Other(Attempt::Responded(response))) => {
                    self.note_completed(&fwd, &response);
                    return Ok(StreamStart::Buffered(response));
                }
                Ok(EngineResponse::Other(Attempt::MayHaveRun { cause, is_lost })) => {
                    if is_lost {
                        drop(self.note_lost_connection(&fwd, &assignment.engine));
                    }
                    return Err(Refusal::Lost(cause));
                }
                Ok(EngineResponse::Other(Attempt::NotRun { .. })) => {
                    if !self.shared.spend_retry(&fwd.service) {
                        return Err(self.refused_run(&fwd));
                    }
                }
                Err(e) if e.verdict() == Verdict::NotRun => {
                    self.shared.tell(Message::UpstreamUnreachable(name.clone()));
                    self.note_failed_attempt(&fwd, &name, &e.to_string(), Verdict::NotRun);
                }
                Err(e) => {
                    self.note_failed_attempt(&fwd, &name, &e.to_string(), Verdict::MayHaveRun);
                    if e.is_lost_connection() {
                        drop(self.note_lost_connection(&fwd, &assignment.engine));
                    }
                    return Err(match fwd.remaining().is_zero() {
                        true => Refusal::TimedOut,
                        false => Refusal::Lost(e.to_string()),
                    });
                }
            }
            avoid.push(name);
            let is_cut_off = self.shared.is_cut_off(&fwd.service);
            if avoid.len() as u32 >= MAX_ENGINES_TRIED || is_cut_off || fwd.remaining().is_zero() {
                return Err(self.refused_run(&fwd));
            }
        }
    }

    /// The refusal of a run that no engine has accepted.
    fn refused_run(&self, fwd: &Forward) -> Refusal {
        let wait = self.wait_if_all_withheld(fwd);
        Refusal::Overloaded(wait.unwrap_or(REFUSED_RUN_RETRY_AFTER))
    }

    /// Assigns a run to an engine of the service's pool, or to a server if it has no engines.
    async fn assign_engine(
        &self,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Result<Assignment, Refusal> {
        if fwd.is_pooled {
            return self.place(fwd, avoid).await;
        }
        let chosen = self.choose_server(fwd, avoid).ok_or_else(|| self.refused_run(fwd))?;
        Ok(Assignment::new(Endpoint::from(&chosen.server), None))
    }

    fn run_info(&self, fwd: &Forward) -> RunInfo {
        RunInfo {
            run: fwd.info.run.clone(),
            service: fwd.service.clone(),
            kind: KindName::new(&fwd.route.name),
            organisation: OrganisationName::new(fwd.organisation_name()),
            prompt_tokens: fwd.info.prompt.map_or(0, |prompt| prompt.tokens),
            max_tokens: fwd.info.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
            priority: fwd.priority(),
            max_pause: fwd.route.max_pause,
            is_pooled: fwd.is_pooled,
        }
    }

    async fn send_to_engine(
        &self,
        fwd: &Forward,
        permit: SendPermit,
        assignment: &Assignment,
    ) -> Result<EngineResponse, SendError> {
        let out = Outgoing {
            upstream: &assignment.engine.name,
            organisation: fwd.organisation.as_ref().map(|o| o.name.as_str()),
            remaining: fwd.remaining_ms(),
            backup: assignment.backup.as_ref().map(|backup| backup.address),
            resume: None,
        };
        let req = fwd.request(&*self.wire, &out);
        let timeout = fwd.remaining();
        let (response, info, outstanding) = self.send(permit, req, Reuse::Never, timeout).await?;
        let is_stream = response.status().is_success()
            && response_problem(fwd, response.status(), &info).is_none();
        if is_stream && !info.not_run {
            return Ok(EngineResponse::Stream(response, outstanding));
        }
        let engine = &assignment.engine;
        let read = self.read_response(fwd, engine, response, &info, fwd.remaining()).await;
        self.note_run_end(fwd, &engine.name, &read);
        Ok(EngineResponse::Other(read))
    }

    fn event_stream(
        &self,
        fwd: &Arc<Forward>,
        placed_run: PlacedRun,
        response: ClientResponse,
    ) -> StreamStart<W> {
        let view = self.shared.view.load();
        let engine_config =
            view.table.as_ref().and_then(|t| t.service(fwd.service.as_str())?.engine);
        let status = response.status();
        let mut headers = response.headers().clone();
        let is_framed = is_framed(&headers);
        strip_hop_by_hop_headers(&mut headers);
        self.wire.remove_statements(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let stream = Box::new(EventStream {
            handler: self.clone(),
            fwd: Arc::clone(fwd),
            run: placed_run.run,
            orders: placed_run.orders,
            body: RunBody::Direct { body: response.into_body(), is_framed },
            events: EventReader::new(self.shared.upstreams.body_budget()),
            tokens_per_event: engine_config.map_or(1, |config| config.tokens_per_event),
            handover: self.handover(fwd, placed_run.assignment),
            tasks: MoveTasks::default(),
            last_failure: String::new(),
            last_sent_at: None,
            times: StreamTimes { placed: placed_run.waited, ..StreamTimes::default() },
            moves: 0,
            has_outlived_start: false,
            outcome: None,
            _in_progress: placed_run.in_progress,
            _outstanding: placed_run.outstanding,
        });
        StreamStart::Stream { status, headers, stream }
    }

    fn handover(&self, fwd: &Forward, assignment: Assignment) -> Handover<Endpoint> {
        let now = self.shared.clock.now();
        let patience = caller_patience(fwd.route.objective, fwd.route.max_pause);
        let deadline = now + fwd.remaining_ms();
        Handover::new(now, assignment.engine, assignment.backup, patience, deadline)
            .with_max_pause(fwd.route.max_pause)
    }
}

/// Retry delay for a caller whose run was not accepted by any engine.
const REFUSED_RUN_RETRY_AFTER: Millis = Millis(500);

enum EngineResponse {
    Stream(ClientResponse, OutstandingRequest),
    Other(Attempt),
}

impl<W: Wire> EventStream<W> {
    /// The next events; `None` at the end of a complete stream or after an error.
    pub(crate) async fn next(&mut self) -> Option<Result<Frame<Bytes>, StreamCut>> {
        if self.outcome.is_some() {
            return None;
        }
        if let Some(at) = self.last_sent_at {
            // The caller has taken the last events only now.
            self.handover.skip(Millis(at.elapsed().as_millis() as u64));
        }
        loop {
            match self.advance() {
                Some(StreamEnd::Complete) => return self.complete(),
                Some(StreamEnd::Cut(cause)) => return self.cut_for(cause),
                None => {}
            }
            match self.next_step().await {
                Step::Chunk(Some(Ok(chunk))) => match self.events.push(&chunk) {
                    Ok(events) => {
                        self.handover.on_data(self.now(), !events.is_empty());
                        if !events.is_empty() {
                            let tokens = self.events.count() * u64::from(self.tokens_per_event);
                            self.run.set_tokens_written(tokens as u32);
                            if !self.has_outlived_start {
                                self.note_progress();
                            }
                            self.note_events_sent();
                            return Some(Ok(Frame::data(events)));
                        }
                    }
                    Err(e) => {
                        self.last_failure = e.to_string();
                        return self.cut("events_missing");
                    }
                },
                Step::Chunk(Some(Err(e))) => self.end_body(BodyEnd::Broken, &e.to_string()),
                Step::Chunk(None) if self.events.has_partial_event() => {
                    self.end_body(BodyEnd::Broken, "the stream ended within an event");
                }
                Step::Chunk(None) if self.body.has_marked_end() => {
                    self.end_body(BodyEnd::Whole, "");
                }
                // The host that carries a stream has asked whether the engine lives.
                Step::Chunk(None) if matches!(self.body, RunBody::Carried(_)) => {
                    self.end_body(BodyEnd::Outlived, "");
                }
                Step::Chunk(None) => self.end_body(BodyEnd::Unframed, ""),
                Step::Order(order) => self.handle_order(order),
                Step::Task(result) => self.handle_result(result),
                Step::Timer => {}
            }
        }
    }

    fn note_progress(&mut self) {
        let (now, source) = (self.now(), &self.handover.source().name);
        let mut starts = self.handler.shared.run_starts();
        self.has_outlived_start = starts.progressed(now, &self.fwd.info.run, source);
    }

    fn note_events_sent(&mut self) {
        let now = Instant::now();
        match self.last_sent_at {
            Some(at) => {
                let pause = now.duration_since(at);
                self.times.longest_pause = self.times.longest_pause.max(pause);
            }
            None => self.times.first = Some(now.duration_since(self.fwd.arrived_at)),
        }
        self.last_sent_at = Some(now);
    }

    fn now(&self) -> Time {
        self.handler.shared.clock.now()
    }

    async fn next_step(&mut self) -> Step {
        let now = self.now();
        let wakeup = sleep(self.handover.next_wakeup(now).since(now).into());
        tokio::select! {
            biased;
            chunk = self.body.chunk(), if self.handover.is_reading() => Step::Chunk(chunk),
            result = self.tasks.next() => Step::Task(result),
            Some(order) = self.orders.recv(), if self.handover.accepts_orders() => {
                Step::Order(order)
            }
            () = wakeup => Step::Timer,
        }
    }

    fn complete(&mut self) -> Option<Result<Frame<Bytes>, StreamCut>> {
        self.outcome = Some("complete");
        self.run.mark_completed();
        self.handler.shared.note_completed(self.fwd.fingerprint);
        None
    }

    fn cut_for(&mut self, cause: CutCause) -> Option<Result<Frame<Bytes>, StreamCut>> {
        if cause == CutCause::EngineLost {
            drop(self.handler.note_lost_connection(&self.fwd, self.handover.source()));
        }
        self.cut(cause.into())
    }

    fn cut(&mut self, outcome: &'static str) -> Option<Result<Frame<Bytes>, StreamCut>> {
        self.outcome = Some(outcome);
        log::warn!(
            request = self.fwd.info.run.as_str(),
            upstream = self.handover.source().name.as_str(),
            backup = self.handover.backup().map_or("", |backup| backup.name.as_str()),
            events = self.events.count(),
            elapsed_ms = self.fwd.elapsed_ms(),
            is_reading = self.handover.is_reading(),
            stop:% = self.handover.stop(),
            copies = self.handover.points_left(),
            outcome,
            reason = self.last_failure.as_str();
            "stream cut"
        );
        Some(Err(StreamCut))
    }
}

impl<W: Wire> Drop for EventStream<W> {
    fn drop(&mut self) {
        self.stop_others();
        let ends_with_daemon = self.handler.shared.are_answers_due();
        let outcome =
            self.outcome.unwrap_or(if ends_with_daemon { "daemon_stopped" } else { "caller_left" });
        let (now, run) = (self.now(), &self.fwd.info.run);
        let mut starts = self.handler.shared.run_starts();
        if outcome == "complete" {
            starts.completed(now, run, &self.handover.source().name);
        }
        starts.dropped(now, run);
        drop(starts);
        self.handler.shared.metrics.count("stream", outcome);
        if self.handler.shared.log_limiter.admits(self.handler.shared.clock.now()) {
            log::info!(
                request = self.fwd.info.run.as_str(),
                kind = self.fwd.route.name.as_str(),
                upstream = self.handover.source().name.as_str(),
                events = self.events.count(),
                moves = self.moves,
                placed_ms = self.times.placed.as_millis() as u64,
                first_ms = self.times.first.map_or(0, |first| first.as_millis() as u64),
                longest_pause_ms = self.times.longest_pause.as_millis() as u64,
                objective_ms = self.fwd.route.objective.0,
                max_pause_ms = self.fwd.route.max_pause.map_or(0, |pause| pause.0),
                prompt_tokens = self.fwd.info.prompt.map_or(0, |prompt| prompt.tokens),
                max_tokens = self.fwd.info.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
                elapsed_ms = self.fwd.elapsed_ms(),
                outcome;
                "stream ended"
            );
        }
    }
}
