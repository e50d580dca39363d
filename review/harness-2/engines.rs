//! Model engines that share a pool: streams, copies of a run's memory, backups.

use crate::http::{Gate, Message, is_closed, respond, serve_gated, write_chunk};
use crate::site::Record;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Time of one event: four steps of 7 ms.
const EVENT_TIME: Duration = Duration::from_millis(28);

/// Time until the first event of a prompt of 3,000 tokens, and of a run that goes on from its memory.
const PREFILL_TIME: Duration = Duration::from_millis(220);
const RESUME_TIME: Duration = Duration::from_millis(30);

/// Time for which a copy is kept after its last part.
const HANDLE_TTL: Duration = Duration::from_secs(5);

/// Time between the last call that a leaving engine answers and its end.
const EXIT_TIME: Duration = Duration::from_millis(100);

/// Interval at which a run's memory is sent to its backup.
const BACKUP_INTERVAL: Duration = Duration::from_millis(200);

const MILLIS_PER_TOKEN_COPIED: f64 = 18_432.0 * 8.0 / 2_700_000.0;

/// The work of an engine on an attempt.
#[derive(Clone, Debug)]
pub struct Work {
    pub attempt: String,
    pub engine: String,
    pub from: Instant,
    pub until: Option<Instant>,
}

#[derive(Debug)]
struct Engine {
    name: String,
    address: SocketAddr,
    leaving: bool,
    /// Whether it works on when the channel of a request closes. Most engines drop the request.
    works_on: bool,
    silent_until: Option<Instant>,
    gate: Gate,
    leaves_at: Option<Instant>,
    has_exited: bool,
    /// The channels of its requests.
    channels: Vec<TcpStream>,
}

#[derive(Debug)]
struct Run {
    events: u64,
    total: u64,
    is_stopped: bool,
}

#[derive(Clone, Debug)]
struct Copy {
    holder: usize,
    attempt: String,
    total: u64,
    events: u64,
    updated_at: Instant,
}

/// What the engines do to the answers of requests that they ran.
#[derive(Debug, Default)]
pub struct Losses {
    /// Engines that lose answers, by name.
    pub engines: Vec<String>,
    pub is_on: bool,
    /// Every so many requests that they run, one loses its answer.
    pub every: u32,
    run: u32,
    pub lost: Vec<String>,
}

#[derive(Debug, Default)]
struct Inner {
    engines: Vec<Engine>,
    /// By engine and attempt.
    runs: HashMap<(usize, String), Run>,
    /// By the source's address and the handle.
    copies: HashMap<(SocketAddr, String), Copy>,
    /// By holder and attempt.
    backups: HashMap<(usize, String), Copy>,
    works: Vec<Work>,
    losses: Losses,
    /// Silence that begins with the next final copy, which fails without effect.
    silence_at_final_copy: Option<Duration>,
    handles: u32,
    /// Whether answers have neither a length nor chunks.
    is_unframed: bool,
}

#[derive(Clone)]
pub struct Pool {
    inner: Arc<Mutex<Inner>>,
    record: Arc<Record>,
    /// Channels that fill the queues of engines.
    waiting: Arc<Mutex<Vec<TcpStream>>>,
}

impl Pool {
    pub fn new(record: Arc<Record>) -> Self {
        Self { inner: Arc::default(), record, waiting: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Starts an engine; returns its address.
    pub fn add(&self, name: &str, works_on: bool) -> io::Result<SocketAddr> {
        let index = self.lock().engines.len();
        let own = self.clone();
        let gate = Gate::default();
        let address =
            serve_gated(&gate, move |stream, request| own.handle(index, stream, &request))?;
        let engine = Engine {
            name: name.to_owned(),
            address,
            leaving: false,
            works_on,
            silent_until: None,
            gate,
            leaves_at: None,
            has_exited: false,
            channels: Vec::new(),
        };
        self.lock().engines.push(engine);
        Ok(address)
    }

    pub fn losses<T>(&self, change: impl FnOnce(&mut Losses) -> T) -> T {
        change(&mut self.lock().losses)
    }

    /// Has answers end with their channels.
    pub fn set_unframed(&self) {
        self.lock().is_unframed = true;
    }

    /// Has an engine end after a copy that it makes at `at` or later; until then, other engines have no room
    /// for copies of its runs.
    pub fn set_exit(&self, name: &str, at: Instant) {
        let mut inner = self.lock();
        inner
            .engines
            .iter_mut()
            .filter(|engine| engine.name == name)
            .for_each(|engine| engine.leaves_at = Some(at));
    }

    pub fn has_exited(&self, name: &str) -> bool {
        self.lock().engines.iter().any(|engine| engine.name == name && engine.has_exited)
    }

    /// Ends an engine: its listener is closed, then its channels.
    pub fn exit(&self, name: &str) {
        let index = self.lock().engines.iter().position(|engine| engine.name == name);
        if let Some(index) = index {
            let gate = self.lock().engines[index].gate.clone();
            gate.close();
            self.close_channels(index);
        }
    }

    fn is_due_to_exit(&self, index: usize) -> bool {
        self.lock().engines[index].leaves_at.is_some_and(|at| Instant::now() >= at)
    }

    fn close_channels(&self, index: usize) {
        let mut inner = self.lock();
        let engine = &mut inner.engines[index];
        engine.has_exited = true;
        for channel in engine.channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let name = engine.name.clone();
        self.record.note(&format!("{name} has ended"));
    }

    pub fn set_leaving(&self, name: &str) {
        let mut inner = self.lock();
        inner
            .engines
            .iter_mut()
            .filter(|engine| engine.name == name)
            .for_each(|engine| engine.leaving = true);
    }

    pub fn set_silence_at_final_copy(&self, silence: Duration) {
        self.lock().silence_at_final_copy = Some(silence);
    }

    pub fn has_fallen_silent(&self) -> bool {
        self.lock().engines.iter().any(|engine| engine.silent_until.is_some())
    }

    /// The engine with most runs.
    pub fn busiest(&self) -> String {
        let names: Vec<_> = self.lock().engines.iter().map(|engine| engine.name.clone()).collect();
        self.busiest_of(&names)
    }

    /// The one of these engines with most runs.
    pub fn busiest_of(&self, names: &[String]) -> String {
        let inner = self.lock();
        let runs_of = |name: &&String| {
            inner.runs.keys().filter(|(at, _)| inner.engines[*at].name == **name).count()
        };
        names.iter().max_by_key(runs_of).cloned().unwrap_or_default()
    }

    pub fn works(&self) -> Vec<Work> {
        self.lock().works.clone()
    }

    /// Waits while the engine is silent.
    fn wait_while_silent(&self, index: usize) {
        loop {
            let until = self.lock().engines[index].silent_until;
            match until.map(|until| until.saturating_duration_since(Instant::now())) {
                Some(left) if !left.is_zero() => sleep(left),
                _ => return,
            }
        }
    }

    fn handle(&self, index: usize, stream: &mut TcpStream, request: &Message) -> io::Result<bool> {
        self.wait_while_silent(index);
        let (name, leaving, load) = {
            let inner = self.lock();
            let running = inner.runs.keys().filter(|(at, _)| *at == index).count();
            let engine = &inner.engines[index];
            (engine.name.clone(), engine.leaving, format!("{running},0,64"))
        };
        let mut own = vec![("instance-id", name.as_str()), ("instance-load", load.as_str())];
        if leaving {
            own.push(("server-leaving", "1"));
        }
        match (request.method(), request.path()) {
            ("GET", "/healthz") => {
                let status = if leaving { "503 Service Unavailable" } else { "200 OK" };
                respond(stream, status, &own, b"")?;
            }
            ("GET", "/report") => {
                let report = self.report(index);
                own.push(("content-type", "application/json"));
                respond(stream, "200 OK", &own, report.as_bytes())?;
            }
            ("POST", "/kv-move") => return self.copy(index, stream, request),
            ("DELETE", _) => respond(stream, "200 OK", &own, b"")?,
            _ => return self.run(index, stream, request),
        }
        Ok(true)
    }

    fn report(&self, index: usize) -> String {
        let inner = self.lock();
        let active = inner.runs.keys().filter(|(at, _)| *at == index).count();
        let used: u64 = inner
            .runs
            .iter()
            .filter(|((at, _), _)| *at == index)
            .map(|(_, run)| 3_000 + 4 * run.events)
            .sum();
        format!(
            "{{\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":2,\"queued\":0,\"active\":{active},\"kvUsed\":{used},\"kvTotal\":34624,\"handles\":0,\
             \"born\":1700000000000}}"
        )
    }

    /// Copies the memory of a run to another engine; with `last`, the run stops first.
    fn copy(&self, index: usize, stream: &mut TcpStream, request: &Message) -> io::Result<bool> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| {
            let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
            let value = rest.split([',', '}']).next()?;
            Some(value.trim().trim_matches('"').to_owned())
        };
        let attempt = field("id").unwrap_or_default();
        let is_final = field("last").is_some_and(|last| last == "true");
        let target = field("target").unwrap_or_default();
        let json = [("content-type", "application/json")];
        let key = (index, attempt.clone());
        if is_final {
            let mut inner = self.lock();
            if let Some(silence) =
                inner.silence_at_final_copy.filter(|_| inner.runs.contains_key(&key))
            {
                inner.silence_at_final_copy = None;
                inner.engines[index].silent_until = Some(Instant::now() + silence);
                let name = inner.engines[index].name.clone();
                self.record.note(&format!(
                    "{name} fails a final copy of {attempt}: it closes the channel, stops nothing, and is silent for {} ms",
                    silence.as_millis()
                ));
                drop(inner);
                let _ = stream.shutdown(Shutdown::Both);
                return Ok(false);
            }
        }
        let is_full =
            !is_final && self.lock().engines[index].leaves_at.is_some_and(|at| Instant::now() < at);
        if is_full {
            // The other engine has no room yet.
            respond(stream, "503 Service Unavailable", &json, b"{}")?;
            return Ok(true);
        }
        let (found, name) = {
            let mut inner = self.lock();
            let name = inner.engines[index].name.clone();
            let holder =
                inner.engines.iter().position(|engine| engine.address.to_string() == target);
            let run = inner.runs.get_mut(&key).filter(|run| !run.is_stopped);
            let found = holder.zip(run).map(|(holder, run)| {
                run.is_stopped = is_final;
                (holder, run.events, run.total)
            });
            (found, name)
        };
        self.record.note(&format!(
            "{name} is asked to copy {attempt} to {target}, last {is_final}, found {}",
            found.is_some()
        ));
        let Some((holder, events, total)) = found else {
            respond(stream, "404 Not Found", &[], b"")?;
            return Ok(true);
        };
        let source = self.lock().engines[index].address;
        let known = {
            let inner = self.lock();
            let mut copies = inner.copies.iter();
            let known = copies.find(|((from, _), copy)| {
                *from == source && copy.attempt == attempt && copy.holder == holder
            });
            known.map(|((_, handle), copy)| (handle.clone(), copy.events))
        };
        let new_tokens = match &known {
            Some((_, copied)) => 4 * (events - copied),
            None => 3_000 + 4 * events,
        };
        // The second copy of a run, which is a short one, is the last call that a leaving engine answers.
        let ends = !is_final && known.is_some() && self.is_due_to_exit(index);
        let gate = self.lock().engines[index].gate.clone();
        if ends {
            let waiting = gate.stop_accepting()?;
            self.record.note(&format!(
                "{name} takes no more channels; its queue is full with {}",
                waiting.len()
            ));
            self.waiting.lock().unwrap().extend(waiting);
        }
        sleep(Duration::from_secs_f64(new_tokens as f64 * MILLIS_PER_TOKEN_COPIED / 1_000.0));
        let handle = {
            let mut inner = self.lock();
            inner.handles += 1;
            let handle = known.map_or_else(|| format!("h{}", inner.handles), |(handle, _)| handle);
            let copy = Copy {
                holder,
                attempt: attempt.clone(),
                total,
                events,
                updated_at: Instant::now(),
            };
            inner.copies.insert((source, handle.clone()), copy);
            handle
        };
        let body = format!("{{\"handle\":\"{handle}\",\"created\":{events}}}");
        if ends {
            respond(stream, "200 OK", &json, body.as_bytes())?;
            sleep(EXIT_TIME);
            self.close_channels(index);
            gate.close();
            return Ok(false);
        }
        respond(stream, "200 OK", &json, body.as_bytes())?;
        Ok(true)
    }

    /// The memory that a request goes on from; `None` if there is none here.
    fn take_memory(&self, index: usize, attempt: &str, from: &str) -> Option<Copy> {
        let (address, handle) = from.split_once('/')?;
        let source: SocketAddr = address.parse().ok()?;
        let mut inner = self.lock();
        let own = inner.engines[index].address;
        let is_fresh = |copy: &Copy| copy.updated_at.elapsed() <= HANDLE_TTL;
        if source == own && handle == attempt {
            return inner.backups.remove(&(index, attempt.to_owned())).filter(is_fresh);
        }
        let key = (source, handle.to_owned());
        let copy = inner.copies.get(&key)?;
        let is_here = copy.holder == index || source == own;
        if !is_here || copy.attempt != attempt || !is_fresh(copy) {
            return None;
        }
        inner.copies.remove(&key)
    }

    fn run(&self, index: usize, stream: &mut TcpStream, request: &Message) -> io::Result<bool> {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let (name, leaving) = {
            let inner = self.lock();
            (inner.engines[index].name.clone(), inner.engines[index].leaving)
        };
        let mut own = vec![("attempt-id", attempt.as_str()), ("instance-id", name.as_str())];
        if leaving {
            own.push(("server-leaving", "1"));
        }
        let refuse = |stream: &mut TcpStream, status: &str| {
            let mut headers = own.clone();
            headers.push(("not-executed", "1"));
            respond(stream, status, &headers, b"")?;
            Ok(true)
        };
        if request.header("expect-instance").is_some_and(|expected| expected != name) {
            return refuse(stream, "421 Misdirected Request");
        }
        let usage = request.header("token-usage").unwrap_or_default();
        let tokens: u64 =
            usage.split(',').nth(1).and_then(|text| text.trim().parse().ok()).unwrap_or(400);
        let memory = match request.header("kv-from") {
            Some(from) => match self.take_memory(index, &attempt, from) {
                Some(copy) => Some(copy),
                None => {
                    self.record.note(&format!("{name} has no memory of {attempt}"));
                    return refuse(stream, "503 Service Unavailable");
                }
            },
            None => None,
        };
        let last = request.header("last-event-id").and_then(|id| id.parse().ok());
        let first = memory.as_ref().map_or(0, |copy| last.unwrap_or(copy.events));
        let total = memory.as_ref().map_or(tokens / 4, |copy| copy.total);
        sleep(if memory.is_some() { RESUME_TIME } else { PREFILL_TIME });
        self.wait_while_silent(index);
        if is_closed(stream) {
            return Ok(false);
        }
        let work = self.begin(index, &attempt, first, total, memory.is_some());
        let is_unframed = self.lock().is_unframed;
        let framing = if is_unframed { "connection: close" } else { "transfer-encoding: chunked" };
        let mut head =
            format!("HTTP/1.1 200 OK\r\n{framing}\r\ncontent-type: text/event-stream\r\n");
        for (field, value) in
            own.iter().chain(&[("response-seal", "3e1b.07"), ("weight-versions", "1")])
        {
            head.push_str(&format!("{field}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut channel = Some(stream.try_clone()?);
        stream.write_all(head.as_bytes())?;
        let kept = stream.try_clone()?;
        self.lock().engines[index].channels.push(kept);
        let loses_answer = self.loses_answer(&name, total);
        let backup = request.header("kv-backup").map(str::to_owned);
        let how =
            self.generate(index, &name, &attempt, first, total, loses_answer, backup, &mut channel);
        self.end(index, &attempt, work, how);
        match (channel, how) {
            (Some(_), "complete") if is_unframed => {
                let _ = stream.shutdown(Shutdown::Write);
                Ok(false)
            }
            (Some(_), "complete") => {
                stream.write_all(b"0\r\n\r\n")?;
                Ok(true)
            }
            _ => Ok(false),
        }
    }

    fn begin(&self, index: usize, attempt: &str, first: u64, total: u64, resumed: bool) -> usize {
        let mut inner = self.lock();
        let run = Run { events: first, total, is_stopped: false };
        inner.runs.insert((index, attempt.to_owned()), run);
        let engine = inner.engines[index].name.clone();
        let what = if resumed { "goes on with" } else { "runs" };
        self.record.note(&format!("{engine} {what} {attempt} after event {first} of {total}"));
        let attempt = attempt.to_owned();
        inner.works.push(Work { attempt, engine, from: Instant::now(), until: None });
        inner.works.len() - 1
    }

    fn end(&self, index: usize, attempt: &str, work: usize, how: &str) {
        let mut inner = self.lock();
        inner.runs.remove(&(index, attempt.to_owned()));
        inner.works[work].until = Some(Instant::now());
        let engine = &inner.works[work].engine;
        self.record.note(&format!("{engine} ends work on {attempt}: {how}"));
    }

    /// Whether the answer of a run that begins now is to be lost.
    fn loses_answer(&self, name: &str, total: u64) -> bool {
        let mut inner = self.lock();
        let losses = &mut inner.losses;
        if !losses.is_on || !losses.engines.iter().any(|engine| engine == name) || total < 60 {
            return false;
        }
        losses.run += 1;
        losses.run % losses.every == 0
    }

    #[allow(clippy::too_many_arguments)]
    fn generate(
        &self,
        index: usize,
        name: &str,
        attempt: &str,
        first: u64,
        total: u64,
        loses_answer: bool,
        backup: Option<String>,
        channel: &mut Option<TcpStream>,
    ) -> &'static str {
        let key = (index, attempt.to_owned());
        let mut backed_up_at = Instant::now();
        let mut held_back = Vec::new();
        for id in first + 1..=total {
            let (works_on, is_silent) = {
                let mut inner = self.lock();
                let engine = &inner.engines[index];
                let is_silent = engine.silent_until.is_some_and(|until| Instant::now() < until);
                let works_on = engine.works_on;
                let Some(run) = inner.runs.get_mut(&key) else {
                    return "gone";
                };
                if run.is_stopped {
                    return "stopped for a copy";
                }
                run.events = id;
                (works_on, is_silent)
            };
            held_back.extend(
                format!("id: {id}\ndata: {attempt} {id} {}\n\n", "-".repeat(120)).into_bytes(),
            );
            if is_silent {
                self.record.note(&format!("{name} has made event {id} of {attempt} and is silent"));
            } else if let Some(stream) = channel {
                let events = std::mem::take(&mut held_back);
                if loses_answer && id == first + 30 {
                    self.record.note(&format!("{name} loses the answer of {attempt} after event {}: its channel is closed, its work goes on", id - 1));
                    self.lock().losses.lost.push(attempt.to_owned());
                    let _ = stream.shutdown(Shutdown::Both);
                    *channel = None;
                } else if is_closed(stream) || self.write_events(stream, &events).is_err() {
                    self.record.note(&format!("{name} finds the channel of {attempt} closed"));
                    *channel = None;
                    if !works_on {
                        return "dropped, as its channel was closed";
                    }
                }
            }
            if let Some(backup) = &backup
                && backed_up_at.elapsed() >= BACKUP_INTERVAL
            {
                backed_up_at = Instant::now();
                self.back_up(backup, attempt, id, total);
            }
            sleep(EVENT_TIME);
        }
        self.wait_while_silent(index);
        if let Some(stream) = channel.as_mut().filter(|_| !held_back.is_empty()) {
            let _ = self.write_events(stream, &held_back);
        }
        if let Some(backup) = &backup {
            self.drop_backup(backup, attempt);
        }
        "complete"
    }

    fn write_events(&self, stream: &mut TcpStream, events: &[u8]) -> io::Result<()> {
        let is_unframed = self.lock().is_unframed;
        if is_unframed { stream.write_all(events) } else { write_chunk(stream, events) }
    }

    fn back_up(&self, target: &str, attempt: &str, events: u64, total: u64) {
        let mut inner = self.lock();
        let holder = inner.engines.iter().position(|engine| engine.address.to_string() == target);
        if let Some(holder) = holder {
            let copy = Copy {
                holder,
                attempt: attempt.to_owned(),
                total,
                events,
                updated_at: Instant::now(),
            };
            inner.backups.insert((holder, attempt.to_owned()), copy);
        }
    }

    fn drop_backup(&self, target: &str, attempt: &str) {
        let mut inner = self.lock();
        let holder = inner.engines.iter().position(|engine| engine.address.to_string() == target);
        if let Some(holder) = holder {
            inner.backups.remove(&(holder, attempt.to_owned()));
        }
    }
}

/// Runs on which two engines were at work 400 ms after the second had begun (TWICE).
pub fn shared_work(works: &[Work]) -> Vec<String> {
    let limit = Duration::from_millis(400);
    let mut found = Vec::new();
    for (n, before) in works.iter().enumerate() {
        for after in works[n + 1..].iter().filter(|after| after.attempt == before.attempt) {
            let until = before.until.unwrap_or_else(Instant::now);
            let shared = until.saturating_duration_since(after.from);
            if after.engine != before.engine && shared > limit {
                found.push(format!(
                    "{}: {} was still at work {} ms after {} had gone on with it",
                    before.attempt,
                    before.engine,
                    shared.as_millis(),
                    after.engine
                ));
            }
        }
    }
    found
}

/// Has the entries of servers renewed as long as the process runs.
pub fn every(interval: Duration, mut action: impl FnMut() + Send + 'static) {
    thread::spawn(move || {
        loop {
            sleep(interval);
            action();
        }
    });
}
