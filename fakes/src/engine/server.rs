//! HTTP server of the fake engine.

use super::model::{EngineModel, Job, ModelParameters, Output};
use super::orders::ModelLoader;
use crate::http_helpers::{not_run_response, query_number, status_response};
use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Either, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use magnoliawinch::admission::LoadReport;
use magnoliawinch::delivery::EngineEvent;
use magnoliawinch::placement::{ModelStatus, Order};
use magnoliawinch::rendezvous;
use magnoliawinch_engine::{LOAD_HEADER, StartGeneration};
use magnoliawinch_http::{Body, BodyAborted, ServerLimits, json_response, serve};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Precedes the length of the answer, in tokens, in a prompt. Only this fake interprets it.
const LENGTH_MARKER: &str = "#length=";

/// Marks a prompt that crashes the engine.
const CRASH_MARKER: &str = "#crash";

/// Length of the answer to a prompt that does not specify it, in tokens.
const DEFAULT_LENGTH: u32 = 32;

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: usize = 16_777_216;

/// Time between two heartbeats on a stream without events.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two load reports of an idle engine.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Chunks buffered for a slow client.
const STREAM_BUFFER_CAPACITY: usize = 64;

/// Builds a prompt that the fake engine answers with `length` tokens.
pub fn prompt_for(text: &str, length: u32) -> String {
    format!("{text} {LENGTH_MARKER}{length}")
}

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Streams send neither events nor heartbeats, but stay open.
    pub stall_streams: bool,
    /// Every stream sends each token twice.
    pub repeat_tokens: bool,
    /// The first stream of each generation omits the token with this index.
    pub skip_token: Option<u64>,
    /// The first stream of each generation contains one event of another generation.
    pub send_foreign_event: bool,
    /// New generations are refused as not run, and the engine announces that it is leaving.
    pub draining: bool,
    /// New generations are refused as not run.
    pub refuse: bool,
    /// Load reports state that the engine is draining.
    pub report_draining: bool,
}

/// Progress of one generation, for checks by tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRecord {
    /// Prompt of the generation.
    pub prompt: String,
    /// Number of tokens generated.
    pub tokens: u64,
    /// Whether it has generated its whole answer.
    pub complete: bool,
}

#[derive(Debug)]
struct Generation {
    job_id: u64,
    prompt: String,
    run: u64,
    tokens: u64,
    complete: bool,
    cancelled: bool,
    streams_opened: u32,
    open_streams: u32,
    changed: Arc<Notify>,
}

#[derive(Debug)]
struct Inner {
    model: EngineModel,
    generations: HashMap<String, Generation>,
    /// Generation names by job id.
    generations_by_job: HashMap<u64, String>,
    faults: EngineFaults,
    incarnation: u64,
    /// Load reports with their times, oldest first; clients get the first.
    reports: VecDeque<(Instant, LoadReport)>,
    report_lag: Duration,
    generations_started: u64,
    dead: bool,
    loader: ModelLoader,
}

/// Number of the next run. Shared by all engines of the process, so that two runs never produce the
/// same text.
static NEXT_RUN: AtomicU64 = AtomicU64::new(1);

/// A running fake engine, which is killed when dropped.
#[derive(Debug)]
pub struct FakeEngine {
    inner: Arc<Mutex<Inner>>,
    address: SocketAddr,
    work_added: Arc<Notify>,
    tasks: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeEngine {
    /// Starts an engine on `listener` whose load reports are delayed by `report_lag`.
    pub fn start(
        listener: TcpListener,
        parameters: ModelParameters,
        incarnation: u64,
        report_lag: Duration,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner {
            model: EngineModel::new(parameters),
            generations: HashMap::new(),
            generations_by_job: HashMap::new(),
            faults: EngineFaults::default(),
            incarnation,
            reports: VecDeque::new(),
            report_lag,
            generations_started: 0,
            dead: false,
            loader: ModelLoader::new(),
        }));
        let work_added = Arc::new(Notify::new());
        let (stop, stopped) = watch::channel(false);
        let died = Arc::new(Notify::new());
        let handler = Handler {
            inner: Arc::clone(&inner),
            work_added: Arc::clone(&work_added),
            died: Arc::clone(&died),
        };
        let serving = serve(listener, ServerLimits::default(), stopped, move |req| {
            let handler = handler.clone();
            async move { handler.handle(req).await }
        });
        let server = async move {
            tokio::select! {
                () = serving => {}
                () = died.notified() => {}
            }
        };
        let steps = run_steps(Arc::clone(&inner), Arc::clone(&work_added));
        let tasks = vec![tokio::spawn(server), tokio::spawn(steps)];
        Ok(Self { inner, address, work_added, tasks, stop })
    }

    /// Address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.inner).faults = faults;
    }

    /// Sets the factor on the time of every step; 1 for a healthy engine.
    pub fn set_slowness(&self, slowness: f64) {
        lock(&self.inner).model.set_slowness(slowness);
    }

    /// Simulates a crash: aborts all streams and stops serving.
    pub fn kill(&self) {
        lock(&self.inner).die();
        let _ = self.stop.send(true);
        self.work_added.notify_waiters();
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Whether the engine was killed or has crashed.
    pub fn is_dead(&self) -> bool {
        lock(&self.inner).dead
    }

    /// Progress of all generations.
    pub fn records(&self) -> Vec<GenerationRecord> {
        let record = |generation: &Generation| GenerationRecord {
            prompt: generation.prompt.clone(),
            tokens: generation.tokens,
            complete: generation.complete,
        };
        lock(&self.inner).generations.values().map(record).collect()
    }

    /// Sets whether the engine refuses orders with an old fencing number.
    pub fn set_checks_fencing(&self, checks: bool) {
        lock(&self.inner).loader.set_checks_fencing(checks);
    }

    /// Gives an order to the engine directly; returns whether the engine accepted it.
    pub fn accept_order(&self, order: &Order) -> bool {
        lock(&self.inner).loader.accept(order)
    }

    /// The model that is loaded and the version being loaded.
    pub fn model_status(&self) -> ModelStatus {
        lock(&self.inner).loader.status()
    }

    /// Number of model loads started.
    pub fn loads_started(&self) -> u64 {
        lock(&self.inner).loader.loads_started()
    }

    /// Number of generations started.
    pub fn generations_started(&self) -> u64 {
        lock(&self.inner).generations_started
    }

    /// Number of preemptions so far.
    pub fn preemptions(&self) -> u64 {
        lock(&self.inner).model.preemptions()
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the steps of the model on Tokio's clock, in real or virtual time.
async fn run_steps(inner: Arc<Mutex<Inner>>, work_added: Arc<Notify>) {
    let mut next_step_at = Instant::now();
    loop {
        let step_ms = {
            let mut inner = lock(&inner);
            if inner.dead {
                return;
            }
            (!inner.model.is_idle()).then(|| inner.step())
        };
        match step_ms {
            Some(ms) => {
                // Makes up for at most 20 ms of delay in earlier steps.
                next_step_at = next_step_at.max(Instant::now() - Duration::from_millis(20));
                next_step_at += Duration::from_secs_f64(ms / 1_000.0);
                tokio::time::sleep_until(next_step_at).await;
            }
            None => {
                let _ = timeout(IDLE_REPORT_INTERVAL, work_added.notified()).await;
                lock(&inner).record_load_report();
                next_step_at = Instant::now();
            }
        }
    }
}

impl Inner {
    fn die(&mut self) {
        self.dead = true;
        for generation in self.generations.values() {
            generation.changed.notify_waiters();
        }
    }

    fn step(&mut self) -> f64 {
        let mut outputs = Vec::new();
        let ms = self.model.step(&mut outputs);
        for output in outputs {
            self.apply(output);
        }
        self.record_load_report();
        ms
    }

    fn apply(&mut self, output: Output) {
        let (id, ended) = match output {
            Output::Token { id, .. } => (id, false),
            Output::End { id } => (id, true),
            Output::Preempted { .. } => return,
        };
        let Some(generation) =
            self.generations_by_job.get(&id).and_then(|name| self.generations.get_mut(name))
        else {
            return;
        };
        generation.tokens += u64::from(!ended);
        generation.complete |= ended;
        generation.changed.notify_waiters();
    }

    fn record_load_report(&mut self) {
        let report = LoadReport {
            incarnation: self.incarnation,
            running: self.model.running() as u32,
            waiting: self.model.waiting() as u32,
            used_tokens: self.model.used_tokens(),
            step_ms: self.model.last_step_ms(),
            preemptions: self.model.preemptions(),
            draining: self.faults.draining || self.faults.report_draining,
            lag_ms: self.report_lag.as_millis() as u64,
        };
        let now = Instant::now();
        self.reports.push_back((now, report));
        let is_visible = |(at, _): &(Instant, LoadReport)| now - *at > self.report_lag;
        while self.reports.len() > 1 && is_visible(&self.reports[1]) {
            self.reports.pop_front();
        }
    }

    fn start(&mut self, start: StartGeneration) {
        let job_id = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
        let length = length_from_prompt(&start.prompt).unwrap_or(DEFAULT_LENGTH);
        self.generations_started += 1;
        self.model.submit(Job {
            id: job_id,
            prompt_tokens: start.prompt_tokens,
            prefix: start.prefix,
            prefix_tokens: start.prefix_tokens.min(start.prompt_tokens),
            length: length.min(start.max_tokens),
            priority: start.priority,
        });
        let generation = Generation {
            job_id,
            run: job_id,
            prompt: start.prompt,
            tokens: 0,
            complete: false,
            cancelled: false,
            streams_opened: 0,
            open_streams: 0,
            changed: Arc::new(Notify::new()),
        };
        self.generations_by_job.insert(job_id, start.generation.clone());
        self.generations.insert(start.generation, generation);
    }
}

fn length_from_prompt(prompt: &str) -> Option<u32> {
    let (_, tail) = prompt.rsplit_once(LENGTH_MARKER)?;
    let digits: String = tail.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

#[derive(Clone, Debug)]
struct Handler {
    inner: Arc<Mutex<Inner>>,
    work_added: Arc<Notify>,
    died: Arc<Notify>,
}

impl Handler {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let id = path.strip_prefix("/generations/");
        match (req.method(), path.as_str(), id) {
            (&Method::POST, "/generations", _) => self.start(req).await,
            (&Method::GET, "/load", _) => self.load(),
            (&Method::GET, "/model", _) => {
                json_response(StatusCode::OK, &lock(&self.inner).loader.status())
            }
            (&Method::POST, "/orders", _) => self.order(req).await,
            (&Method::GET, _, Some(id)) => {
                let from = query_number(req.uri().query(), "from").unwrap_or(0);
                self.stream(id, from)
            }
            (&Method::DELETE, _, Some(id)) => {
                let unwatched = query_number(req.uri().query(), "unwatched") == Some(1);
                self.cancel(id, unwatched)
            }
            _ => status_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn start(&self, req: Request<Incoming>) -> Response<Body> {
        let faults = lock(&self.inner).faults;
        if faults.draining || faults.refuse {
            return not_run_response(
                StatusCode::SERVICE_UNAVAILABLE,
                faults.draining,
                "no new work",
            );
        }
        let body = match Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return not_run_response(StatusCode::BAD_REQUEST, false, &e.to_string()),
        };
        let start: StartGeneration = match serde_json::from_slice(&body) {
            Ok(start) => start,
            Err(e) => return not_run_response(StatusCode::BAD_REQUEST, false, &e.to_string()),
        };
        let id = start.generation.clone();
        let crashes = start.prompt.contains(CRASH_MARKER);
        {
            let mut inner = lock(&self.inner);
            if !inner.generations.contains_key(&id) {
                inner.start(start);
            }
        }
        self.work_added.notify_waiters();
        if crashes {
            self.crash_soon();
        }
        let mut response = self.stream(&id, 0);
        let report = lock(&self.inner).reports.front().map(|(_, report)| *report);
        let text = report.and_then(|report| serde_json::to_string(&report).ok());
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(LOAD_HEADER, value);
        }
        response
    }

    async fn order(&self, req: Request<Incoming>) -> Response<Body> {
        let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
        let order = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        let Some(order) = order else {
            return not_run_response(StatusCode::BAD_REQUEST, false, "the order cannot be read");
        };
        match lock(&self.inner).loader.accept(&order) {
            true => status_response(StatusCode::OK, "taken"),
            false => not_run_response(StatusCode::CONFLICT, false, "the fencing number is old"),
        }
    }

    /// Crashes the engine a few steps later, while other generations are in progress.
    fn crash_soon(&self) {
        const CRASH_DELAY: Duration = Duration::from_millis(30);
        let handler = self.clone();
        tokio::spawn(async move {
            sleep(CRASH_DELAY).await;
            lock(&handler.inner).die();
            handler.died.notify_one();
        });
    }

    fn load(&self) -> Response<Body> {
        let inner = lock(&self.inner);
        if inner.dead {
            return status_response(StatusCode::BAD_GATEWAY, "dead");
        }
        match inner.reports.front() {
            Some((_, report)) => json_response(StatusCode::OK, report),
            None => status_response(StatusCode::SERVICE_UNAVAILABLE, "no report yet"),
        }
    }

    fn cancel(&self, id: &str, unwatched: bool) -> Response<Body> {
        let mut inner = lock(&self.inner);
        let Some(generation) = inner.generations.get_mut(id) else {
            return status_response(StatusCode::NOT_FOUND, "unknown generation");
        };
        if unwatched && generation.open_streams > 0 {
            return status_response(StatusCode::OK, "watched");
        }
        generation.cancelled = true;
        generation.changed.notify_waiters();
        let job_id = generation.job_id;
        inner.model.cancel(job_id);
        status_response(StatusCode::OK, "cancelled")
    }

    fn stream(&self, id: &str, from: u64) -> Response<Body> {
        let mut inner = lock(&self.inner);
        if inner.dead {
            return status_response(StatusCode::BAD_GATEWAY, "dead");
        }
        let faults = inner.faults;
        let Some(generation) = inner.generations.get_mut(id) else {
            return status_response(StatusCode::NOT_FOUND, "unknown generation");
        };
        generation.streams_opened += 1;
        generation.open_streams += 1;
        let is_first = generation.streams_opened == 1;
        let (sender, body) = Channel::new(STREAM_BUFFER_CAPACITY);
        let stream = Stream {
            inner: Arc::clone(&self.inner),
            id: id.to_owned(),
            next_index: from,
            changed: Arc::clone(&generation.changed),
            skipped_token: faults.skip_token.filter(|_| is_first),
            sends_foreign_event: faults.send_foreign_event && is_first,
        };
        tokio::spawn(stream.run(sender));
        Response::new(Either::Right(body))
    }
}

/// Streams one generation to one client.
struct Stream {
    inner: Arc<Mutex<Inner>>,
    id: String,
    next_index: u64,
    changed: Arc<Notify>,
    skipped_token: Option<u64>,
    sends_foreign_event: bool,
}

enum Progress {
    Events(Vec<EngineEvent>),
    Ended(Vec<EngineEvent>),
    Dead,
}

impl Stream {
    async fn run(mut self, sender: Sender<Bytes, BodyAborted>) {
        self.follow(sender).await;
        if let Some(generation) = lock(&self.inner).generations.get_mut(&self.id) {
            generation.open_streams -= 1;
        }
    }

    async fn follow(&mut self, mut sender: Sender<Bytes, BodyAborted>) {
        let changed = Arc::clone(&self.changed);
        loop {
            let notified = changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let (events, is_over) = match self.progress() {
                Progress::Events(events) => (events, false),
                Progress::Ended(events) => (events, true),
                Progress::Dead => return sender.abort(BodyAborted),
            };
            if !events.is_empty() && sender.send_data(json_lines(&events)).await.is_err() {
                return;
            }
            if is_over {
                return;
            }
            if timeout(HEARTBEAT_INTERVAL, notified).await.is_err() && !self.is_stalled() {
                let heartbeat = json_lines(&[EngineEvent::Heartbeat]);
                if sender.send_data(heartbeat).await.is_err() {
                    return;
                }
            }
        }
    }

    fn is_stalled(&self) -> bool {
        lock(&self.inner).faults.stall_streams
    }

    fn progress(&mut self) -> Progress {
        let inner = lock(&self.inner);
        if inner.dead {
            return Progress::Dead;
        }
        if inner.faults.stall_streams {
            return Progress::Events(Vec::new());
        }
        let Some(generation) = inner.generations.get(&self.id) else {
            return Progress::Dead;
        };
        let mut events = Vec::new();
        if self.sends_foreign_event && generation.tokens > 0 {
            self.sends_foreign_event = false;
            events.push(token_event("another-generation", self.next_index, "crossed"));
        }
        while self.next_index < generation.tokens {
            let index = self.next_index;
            self.next_index += 1;
            if self.skipped_token == Some(index) {
                continue;
            }
            let text = token_text(generation, index);
            events.push(token_event(&self.id, index, &text));
            if inner.faults.repeat_tokens {
                events.push(token_event(&self.id, index, &text));
            }
        }
        if generation.cancelled {
            let reason = "cancelled".to_owned();
            events.push(EngineEvent::Failed { generation: self.id.clone(), reason });
            return Progress::Ended(events);
        }
        if generation.complete {
            let tokens = generation.tokens;
            events.push(EngineEvent::End { generation: self.id.clone(), tokens });
            return Progress::Ended(events);
        }
        Progress::Events(events)
    }
}

fn token_event(id: &str, index: u64, text: &str) -> EngineEvent {
    EngineEvent::Token { generation: id.to_owned(), index, text: text.to_owned() }
}

/// Text with the token's index, prompt and run, by which callers detect mixed answers.
fn token_text(generation: &Generation, index: u64) -> String {
    let prompt = rendezvous::hash(&generation.prompt);
    format!("{index}.{prompt:x}.{:x} ", generation.run)
}

fn json_lines(events: &[EngineEvent]) -> Bytes {
    let mut buf = Vec::new();
    for event in events {
        buf.extend(serde_json::to_vec(event).unwrap_or_default());
        buf.push(b'\n');
    }
    Bytes::from(buf)
}
