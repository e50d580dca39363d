//! Fake of the platform's log service.

use crate::http_helpers::{query_number, status_response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use magnoliawinch::catalogue::Offset;
use magnoliawinch::time::Time;
use magnoliawinch_http::{Body, ServerLimits, json_response, serve};
use magnoliawinch_log::{AppendRequest, AppendResponse, LogRecord, Page};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Maximum size of the body of an append.
const MAX_APPEND_BYTES: usize = 1_048_576;

/// Maximum size of the data in a page, unless its first record alone is larger.
const MAX_PAGE_BYTES: usize = 4_194_304;

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// All requests fail without effect.
    pub down: bool,
    /// Appends take effect, but the client gets an error instead of the offset.
    pub lose_append_responses: bool,
    /// Additional delay of each request.
    pub delay: Duration,
    /// Maximum number of appends per second; others are refused. Unlimited if absent.
    pub max_appends_per_second: Option<u32>,
}

#[derive(Debug, Default)]
struct Stream {
    records: Vec<LogRecord>,
    /// Records with a lower offset were dropped.
    first: u64,
}

#[derive(Debug)]
struct Inner {
    streams: HashMap<String, Stream>,
    faults: LogFaults,
    started: Instant,
    appends: u64,
    reads: u64,
    current_second: u64,
    appends_this_second: u32,
}

#[derive(Clone, Debug)]
struct Handler {
    inner: Arc<Mutex<Inner>>,
    appended: Arc<Notify>,
}

/// A running fake log service, which stops when dropped.
#[derive(Debug)]
pub struct FakeLog {
    handler: Handler,
    address: SocketAddr,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeLog {
    /// Starts the service on `listener`.
    pub fn start(listener: TcpListener) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let inner = Inner {
            streams: HashMap::new(),
            faults: LogFaults::default(),
            started: Instant::now(),
            appends: 0,
            reads: 0,
            current_second: 0,
            appends_this_second: 0,
        };
        let handler =
            Handler { inner: Arc::new(Mutex::new(inner)), appended: Arc::new(Notify::new()) };
        let (stop, stopped) = watch::channel(false);
        let served = handler.clone();
        let task = tokio::spawn(serve(listener, ServerLimits::default(), stopped, move |req| {
            let handler = served.clone();
            async move { handler.handle(req).await }
        }));
        Ok(Self { handler, address, task, _stop: stop })
    }

    /// Address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.handler.inner).faults = faults;
    }

    /// Removes the records of `stream` before offset `first`, as retention does.
    pub fn drop_before(&self, stream: &str, first: Offset) {
        let mut inner = lock(&self.handler.inner);
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        stream.records.retain(|record| record.offset >= first);
        stream.first = stream.first.max(first.0);
    }

    /// Appends to a stream directly; returns the offset of the record.
    pub fn append(&self, stream: &str, data: &str) -> Offset {
        let offset = lock(&self.handler.inner).append(stream, data.to_owned());
        self.handler.appended.notify_waiters();
        offset
    }

    /// Retained records of a stream.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        let inner = lock(&self.handler.inner);
        inner.streams.get(stream).map(|s| s.records.clone()).unwrap_or_default()
    }

    /// Number of appends, and of read requests, so far.
    pub fn append_and_read_counts(&self) -> (u64, u64) {
        let inner = lock(&self.handler.inner);
        (inner.appends, inner.reads)
    }
}

impl Drop for FakeLog {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    fn append(&mut self, stream: &str, data: String) -> Offset {
        let at_ms = Time(self.started.elapsed().as_millis() as u64);
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = Offset(stream.end());
        stream.records.push(LogRecord { offset, at_ms, data });
        self.appends += 1;
        offset
    }

    /// Counts an append; returns whether it is within the limit of the current second.
    fn try_admit_append(&mut self) -> bool {
        let second = self.started.elapsed().as_secs();
        if second != self.current_second {
            self.current_second = second;
            self.appends_this_second = 0;
        }
        self.appends_this_second += 1;
        self.faults.max_appends_per_second.is_none_or(|max| self.appends_this_second <= max)
    }
}

impl Stream {
    fn end(&self) -> u64 {
        self.records.last().map_or(self.first.max(1), |record| record.offset.0 + 1)
    }

    fn page(&self, from: u64) -> Page {
        let mut bytes = 0;
        let skipped = self.records.partition_point(|record| record.offset.0 < from);
        let fits = |record: &&LogRecord| {
            bytes += record.data.len();
            bytes <= MAX_PAGE_BYTES || record.offset.0 == from
        };
        let records = self.records[skipped..].iter().take_while(fits).cloned().collect();
        Page { first: Offset(self.first.max(1)), end: Offset(self.end()), records }
    }
}

impl Handler {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let faults = lock(&self.inner).faults;
        sleep(faults.delay).await;
        if faults.down {
            return status_response(StatusCode::SERVICE_UNAVAILABLE, "the log is down");
        }
        let path = req.uri().path().to_owned();
        let stream = path.strip_prefix("/streams/").and_then(|p| p.strip_suffix("/records"));
        match (req.method(), stream) {
            (&Method::POST, Some(stream)) => self.append(stream, req, faults).await,
            (&Method::GET, Some(stream)) => self.read(stream, &req).await,
            _ => status_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn append(
        &self,
        stream: &str,
        req: Request<Incoming>,
        faults: LogFaults,
    ) -> Response<Body> {
        if !lock(&self.inner).try_admit_append() {
            return status_response(StatusCode::TOO_MANY_REQUESTS, "too many appends");
        }
        let Ok(body) = Limited::new(req.into_body(), MAX_APPEND_BYTES).collect().await else {
            return status_response(StatusCode::PAYLOAD_TOO_LARGE, "record too large");
        };
        let append: AppendRequest = match serde_json::from_slice(&body.to_bytes()) {
            Ok(append) => append,
            Err(e) => return status_response(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        let offset = lock(&self.inner).append(stream, append.data);
        self.appended.notify_waiters();
        if faults.lose_append_responses {
            return status_response(StatusCode::GATEWAY_TIMEOUT, "the answer was lost");
        }
        json_response(StatusCode::OK, &AppendResponse { offset })
    }

    async fn read(&self, stream: &str, req: &Request<Incoming>) -> Response<Body> {
        let from = query_number(req.uri().query(), "from").unwrap_or(1);
        let wait_ms = query_number(req.uri().query(), "wait_ms").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        lock(&self.inner).reads += 1;
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let page = self.page(stream, from);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || page.first.0 > from || remaining.is_zero() {
                return json_response(StatusCode::OK, &page);
            }
            let _ = timeout(remaining, appended).await;
        }
    }

    fn page(&self, stream: &str, from: u64) -> Page {
        let mut inner = lock(&self.inner);
        inner.streams.entry(stream.to_owned()).or_default().page(from)
    }
}
