//! Requests whose answer is a stream of events.
//!
//! A stream is one run. When its engine leaves or is lost, the run goes on at another engine from
//! a copy of its memory, and the caller sees the next event.

mod moving;

use crate::call::{Attempt, Whole, problem};
use crate::control::{Crash, Message};
use crate::entry::Entry;
use crate::events::Events;
use crate::forward::{Forward, strip_hop_headers};
use crate::refusal::Refusal;
use crate::relocate::CopyError;
use crate::runs::{Assignment, Endpoint, MoveOrder, RunGuard, RunInfo};
use crate::wire::{Copied, CopyRefused, Outgoing, Wire};
use bytes::Bytes;
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, StatusCode};
use magnoliawinch::names::{KindName, OrganisationName, UpstreamName};
use magnoliawinch::time::Millis;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::{Reply, Reuse, SendError};
use magnoliawinch_runtime::InProgressGuard;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// Engines that may refuse a run before its caller is refused.
const MAX_NOT_RUN: u32 = 3;

/// Silence of a stream after which its engine is asked whether it lives.
const SILENCE: Duration = Duration::from_millis(600);

/// The stream ends here without its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream was cut")]
pub(crate) struct Cut;

/// The answer to a streaming request.
pub(crate) enum Started<W: Wire> {
    /// A stream.
    Stream { status: StatusCode, headers: HeaderMap, streaming: Box<Streaming<W>> },
    /// The engine gave a whole answer in place of a stream.
    Whole(Whole),
}

/// A run that has its place.
struct Held {
    run: RunGuard,
    orders: mpsc::Receiver<MoveOrder>,
    placed: Assignment,
    /// Time from its arrival to its place.
    waited: Duration,
    in_progress: InProgressGuard,
}

/// What a move waits for.
type CopyResult = Result<Copied, CopyError>;

/// A move in progress.
#[derive(Debug)]
struct Moving {
    to: Endpoint,
    /// Whether the run was told to stop.
    is_last: bool,
    result: oneshot::Receiver<CopyResult>,
}

/// What the caller of a stream has seen, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct StreamTimes {
    /// Time until the run had a place.
    placed: Duration,
    /// Time until the first event.
    first: Option<Duration>,
    /// Longest time between two events.
    longest_pause: Duration,
}

/// A running stream.
pub(crate) struct Streaming<W: Wire> {
    entry: Entry<W>,
    fwd: Arc<Forward>,
    run: RunGuard,
    orders: mpsc::Receiver<MoveOrder>,
    engine: Endpoint,
    upstream: magnoliawinch_http::client::Body,
    /// Whether the answer's end shows on the wire.
    is_framed: bool,
    events: Events,
    tokens_per_event: u32,
    moving: Option<Moving>,
    /// The newest copy that a move made.
    copied: Option<(Endpoint, Copied)>,
    heard_at: Instant,
    /// When the last events were handed on.
    told_at: Option<Instant>,
    times: StreamTimes,
    moves: u32,
    outcome: Option<&'static str>,
    _in_progress: InProgressGuard,
}

enum Step {
    Piece(Option<Result<Bytes, hyper::Error>>),
    Order(MoveOrder),
    Copy(CopyResult),
    Silent,
    Deadline,
}

impl<W: Wire> Entry<W> {
    /// Starts a stream at an engine of the service.
    pub(crate) async fn stream(&self, fwd: Arc<Forward>) -> Result<Started<W>, Refusal> {
        let mut avoid = Vec::new();
        loop {
            let placed = self.place_for(&fwd, &avoid).await?;
            let waited = fwd.arrived.elapsed();
            let in_progress = self.shared.track_request();
            let (run, orders) = self.shared.runs.register(self.facts(&fwd), placed.clone());
            let name = placed.engine.name.clone();
            match self.start(&fwd, &placed).await {
                Ok(Begun::Stream(reply)) => {
                    let held = Held { run, orders, placed, waited, in_progress };
                    return Ok(self.streaming(&fwd, held, reply));
                }
                Ok(Begun::Whole(Attempt::Answered(whole))) => return Ok(Started::Whole(whole)),
                Ok(Begun::Whole(Attempt::MayHaveRun(why))) => return Err(Refusal::Lost(why)),
                Ok(Begun::Whole(Attempt::NotRun { .. })) => {
                    if !self.shared.spend_retry(&fwd.service) {
                        return Err(Refusal::Overloaded(REFUSED_RETRY));
                    }
                }
                Err(e) if e.verdict() == Verdict::NotRun => {
                    self.shared.tell(Message::UpstreamUnreachable(name.clone()));
                    self.note_attempt(&fwd, &name, &e.to_string(), Verdict::NotRun);
                }
                Err(e) => {
                    self.note_attempt(&fwd, &name, &e.to_string(), Verdict::MayHaveRun);
                    self.note_crash(&fwd, &name);
                    return Err(match fwd.remaining().is_zero() {
                        true => Refusal::TimedOut,
                        false => Refusal::Lost(e.to_string()),
                    });
                }
            }
            avoid.push(name);
            if avoid.len() as u32 >= MAX_NOT_RUN || fwd.remaining().is_zero() {
                return Err(Refusal::Overloaded(REFUSED_RETRY));
            }
        }
    }

    /// A place in the pool of the service, or at a server of a service without engines.
    async fn place_for(
        &self,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Result<Assignment, Refusal> {
        if fwd.is_pooled {
            return self.place(fwd, avoid).await;
        }
        let server = self.choose(fwd, avoid).ok_or(Refusal::Overloaded(REFUSED_RETRY))?;
        Ok(Assignment {
            engine: Endpoint { name: server.name, address: server.address },
            backup: None,
        })
    }

    /// Notes that an engine died under a request, unless it was to be taken away anyhow.
    fn note_crash(&self, fwd: &Forward, engine: &UpstreamName) {
        if self.shared.view.load().fleet.is_usable(engine) {
            let crash = Crash { fingerprint: fwd.fingerprint(), upstream: engine.clone() };
            self.shared.tell(Message::Crashed(crash));
        }
    }

    fn facts(&self, fwd: &Forward) -> RunInfo {
        RunInfo {
            run: fwd.ask.run.clone(),
            service: fwd.service.clone(),
            kind: KindName::new(&fwd.route.name),
            organisation: OrganisationName::new(fwd.organisation_name()),
            prompt_tokens: fwd.ask.prompt.map_or(0, |prompt| prompt.tokens),
            max_tokens: fwd.ask.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
            priority: fwd.priority(),
            is_pooled: fwd.is_pooled,
            fingerprint: fwd.fingerprint(),
        }
    }

    async fn start(&self, fwd: &Forward, placed: &Assignment) -> Result<Begun, SendError> {
        let out = Outgoing {
            upstream: &placed.engine.name,
            organisation: fwd.organisation.as_ref().map(|o| o.name.as_str()),
            remaining: fwd.remaining_ms(),
            backup: placed.backup.as_ref().map(|backup| backup.address),
            resume: None,
        };
        let req = fwd.request(&*self.wire, &out);
        let limit = fwd.remaining();
        let address = placed.engine.address;
        let reply = self.shared.upstreams.send(address, req, Reuse::Never, limit).await?;
        let marks = self.wire.marks(reply.headers());
        let is_stream =
            reply.status().is_success() && problem(fwd, reply.status(), &marks).is_none();
        if is_stream && !marks.not_run {
            return Ok(Begun::Stream(reply));
        }
        let name = &placed.engine.name;
        Ok(Begun::Whole(self.read_answer(fwd, name, reply, fwd.remaining()).await))
    }

    fn streaming(&self, fwd: &Arc<Forward>, held: Held, reply: Reply) -> Started<W> {
        let view = self.shared.view.load();
        let shape = view.table.as_ref().and_then(|t| t.service(fwd.service.as_str())?.engine);
        let status = reply.status();
        let mut headers = reply.headers().clone();
        let is_framed = is_framed(&headers);
        strip_hop_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let streaming = Box::new(Streaming {
            entry: self.clone(),
            fwd: Arc::clone(fwd),
            run: held.run,
            orders: held.orders,
            engine: held.placed.engine,
            upstream: reply.into_body(),
            is_framed,
            events: Events::new(),
            tokens_per_event: shape.map_or(1, |shape| shape.tokens_per_event),
            moving: None,
            copied: None,
            heard_at: Instant::now(),
            told_at: None,
            times: StreamTimes { placed: held.waited, ..StreamTimes::default() },
            moves: 0,
            outcome: None,
            _in_progress: held.in_progress,
        });
        Started::Stream { status, headers, streaming }
    }
}

/// Time after which a caller may come back whose run engines refused.
const REFUSED_RETRY: Millis = Millis(500);

enum Begun {
    Stream(Reply),
    Whole(Attempt),
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH)
}

impl<W: Wire> Streaming<W> {
    /// The next events; `None` at the end of a whole stream.
    pub(crate) async fn next(&mut self) -> Option<Result<Frame<Bytes>, Cut>> {
        if self.outcome.is_some() {
            return None;
        }
        loop {
            match self.step().await {
                Step::Piece(Some(Ok(piece))) => {
                    self.heard_at = Instant::now();
                    match self.events.push(&piece) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => {
                            let tokens = self.events.count() * u64::from(self.tokens_per_event);
                            self.run.set_tokens_written(tokens as u32);
                            self.note_told();
                            return Some(Ok(Frame::data(events)));
                        }
                        Err(e) => return self.cut("events_missing", &e.to_string()),
                    }
                }
                Step::Piece(Some(Err(e))) => {
                    if let Err(why) = self.broke(&e.to_string()).await {
                        return self.cut("engine_lost", &why);
                    }
                }
                Step::Piece(None) => match self.ended().await {
                    Ok(true) => return self.complete(),
                    Ok(false) => {}
                    Err(why) => return self.cut("engine_lost", &why),
                },
                Step::Order(order) => {
                    self.obey(order).await;
                }
                Step::Copy(result) => {
                    if let Err(why) = self.copied(result).await {
                        return self.cut("move_failed", &why);
                    }
                }
                Step::Silent => {
                    if let Err(why) = self.silent().await {
                        return self.cut("engine_silent", &why);
                    }
                }
                Step::Deadline => return self.cut("timeout", "the time is over"),
            }
        }
    }

    fn note_told(&mut self) {
        let now = Instant::now();
        match self.told_at {
            Some(at) => {
                let pause = now.duration_since(at);
                self.times.longest_pause = self.times.longest_pause.max(pause);
            }
            None => self.times.first = Some(now.duration_since(self.fwd.arrived)),
        }
        self.told_at = Some(now);
    }

    async fn step(&mut self) -> Step {
        let silent_at = self.heard_at + SILENCE;
        let is_moving = self.moving.is_some();
        let copy = async {
            match &mut self.moving {
                Some(moving) => (&mut moving.result).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            piece = self.upstream.chunk() => Step::Piece(piece),
            result = copy => Step::Copy(result.unwrap_or(Err(CopyRefused::Busy.into()))),
            Some(order) = self.orders.recv(), if !is_moving => Step::Order(order),
            () = sleep_until(self.fwd.until) => Step::Deadline,
            () = sleep_until(silent_at), if self.events.count() > 0 => Step::Silent,
        }
    }

    fn complete(&mut self) -> Option<Result<Frame<Bytes>, Cut>> {
        self.outcome = Some("complete");
        self.run.mark_completed();
        None
    }

    fn cut(&mut self, outcome: &'static str, why: &str) -> Option<Result<Frame<Bytes>, Cut>> {
        self.outcome = Some(outcome);
        log::warn!(
            request = self.fwd.ask.run.as_str(),
            upstream = self.engine.name.as_str(),
            backup = self.run.assignment().backup.as_ref().map_or("", |b| b.name.as_str()),
            events = self.events.count(),
            elapsed_ms = self.fwd.elapsed_ms(),
            outcome,
            reason = why;
            "stream cut"
        );
        Some(Err(Cut))
    }
}

impl<W: Wire> Drop for Streaming<W> {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("caller_left");
        self.entry.shared.metrics.count("stream", outcome);
        if self.entry.shared.journal.admits(self.entry.shared.clock.now()) {
            log::info!(
                request = self.fwd.ask.run.as_str(),
                kind = self.fwd.route.name.as_str(),
                upstream = self.engine.name.as_str(),
                events = self.events.count(),
                moves = self.moves,
                placed_ms = self.times.placed.as_millis() as u64,
                first_ms = self.times.first.map_or(0, |first| first.as_millis() as u64),
                longest_pause_ms = self.times.longest_pause.as_millis() as u64,
                objective_ms = self.fwd.route.objective.0,
                max_pause_ms = self.fwd.route.max_pause.map_or(0, |pause| pause.0),
                prompt_tokens = self.fwd.ask.prompt.map_or(0, |prompt| prompt.tokens),
                max_tokens = self.fwd.ask.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
                elapsed_ms = self.fwd.elapsed_ms(),
                outcome;
                "stream ended"
            );
        }
    }
}
