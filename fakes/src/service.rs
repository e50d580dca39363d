//! Fake upstream of a plain service, which counts the runs of each call.

use crate::http_helpers::{not_run_response, status_response};
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use magnoliawinch_http::{Body, BodyAborted, ServerLimits, json_response, serve};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: usize = 1_048_576;

/// A call whose body contains this text ends the upstream that runs it.
const CRASH_MARKER: &str = "#crash";

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFaults {
    /// Calls are refused as not run.
    pub refuse: bool,
    /// Calls are refused as not run, and the upstream announces that it is leaving.
    pub draining: bool,
    /// Calls run, but their connections are closed before the response is complete.
    pub lose_responses: bool,
    /// The first call gets an error response.
    pub fail_first: bool,
    /// Calls run and get status 503, without a verdict.
    pub fail_with_promise: bool,
    /// Duration of each call.
    pub call_duration: Duration,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// The idempotency key, or the request id if there is none.
    pub key: String,
    /// Body of the call.
    pub echo: String,
    /// Number of the run at this upstream, counted over all keys from 1.
    pub run: u64,
}

#[derive(Debug, Default)]
struct Inner {
    runs: HashMap<String, u64>,
    total: u64,
    faults: ServiceFaults,
    has_crashed: bool,
}

/// Run counts by key, shared by the upstreams of a service.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    inner: Arc<Mutex<HashMap<String, u64>>>,
}

impl RunCounts {
    /// Number of runs of each key.
    pub fn all(&self) -> HashMap<String, u64> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of runs of `key`.
    pub fn of(&self, key: &str) -> u64 {
        self.all().get(key).copied().unwrap_or(0)
    }

    fn add(&self, key: &str) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        *inner.entry(key.to_owned()).or_default() += 1;
    }
}

/// A running upstream of a plain service, which stops when dropped.
#[derive(Debug)]
pub struct FakeService {
    inner: Arc<Mutex<Inner>>,
    address: SocketAddr,
    task: JoinHandle<()>,
    /// Stops the upstream from accepting connections.
    _stop: watch::Sender<bool>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeService {
    /// Starts an upstream on `listener` that adds its runs to `counts`.
    pub fn start(listener: TcpListener, counts: RunCounts) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner::default()));
        let (stop, stopped) = watch::channel(false);
        let (served, crash) = (Arc::clone(&inner), stop.clone());
        let task = tokio::spawn(serve(listener, ServerLimits::default(), stopped, move |req| {
            handle(Arc::clone(&served), counts.clone(), crash.clone(), address, req)
        }));
        Ok(Self { inner, address, task, _stop: stop })
    }

    /// Address on which the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.inner).faults = faults;
    }

    /// Whether the upstream has crashed.
    pub fn is_dead(&self) -> bool {
        lock(&self.inner).has_crashed
    }

    /// Number of runs at this upstream.
    pub fn total(&self) -> u64 {
        lock(&self.inner).total
    }
}

impl Drop for FakeService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A response whose connection is closed before the body is complete.
fn aborted_response() -> Response<Body> {
    let (sender, body) = Channel::new(1);
    sender.abort(BodyAborted);
    Response::new(Either::Right(body))
}

async fn handle(
    inner: Arc<Mutex<Inner>>,
    counts: RunCounts,
    crash: watch::Sender<bool>,
    address: SocketAddr,
    req: Request<Incoming>,
) -> Response<Body> {
    let faults = lock(&inner).faults;
    if faults.refuse || faults.draining {
        return not_run_response(StatusCode::SERVICE_UNAVAILABLE, faults.draining, "no new work");
    }
    if req.uri().path() == "/load" {
        return status_response(StatusCode::OK, "{}");
    }
    let header = |name| req.headers().get(name).and_then(|v| v.to_str().ok());
    let key = header("idempotency-key").or_else(|| header("x-request-id")).unwrap_or("");
    let key = key.to_owned();
    let Ok(body) = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await else {
        return not_run_response(StatusCode::BAD_REQUEST, false, "the body broke off");
    };
    counts.add(&key);
    let run = {
        let mut inner = lock(&inner);
        *inner.runs.entry(key.clone()).or_default() += 1;
        inner.total += 1;
        inner.total
    };
    sleep(faults.call_duration).await;
    let echo = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if faults.fail_first && run == 1 {
        return status_response(StatusCode::INTERNAL_SERVER_ERROR, "failed");
    }
    if faults.fail_with_promise {
        return status_response(StatusCode::SERVICE_UNAVAILABLE, "failed");
    }
    if echo.contains(CRASH_MARKER) {
        lock(&inner).has_crashed = true;
        crash.send_replace(true);
        while TcpStream::connect(address).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        // Closes the connection without a response, and without the message of a panic.
        std::panic::resume_unwind(Box::new("the upstream has crashed"));
    }
    if faults.lose_responses {
        return aborted_response();
    }
    json_response(StatusCode::OK, &CallResponse { key, echo, run })
}
