//! HTTP server with limits on connections, header size and header time.

use crate::caller_stream::{Activity, CallerStream};
use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

/// A streamed body was aborted before its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("response body aborted")]
pub struct BodyAborted;

/// Complete or streamed response body.
pub type Body = Either<Full<Bytes>, Channel<Bytes, BodyAborted>>;

/// A complete body.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Either::Left(Full::new(bytes.into()))
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Smallest buffer that hyper accepts.
const MIN_BUF_BYTES: usize = 8_192;

/// Time that callers have to complete a head that they had begun to send when the server stopped.
const HEAD_GRACE: Duration = Duration::from_millis(200);

/// Maximum number of connections that are accepted while the server stops; the length of the
/// listener's queue.
const MAX_WAITING_CONNECTIONS: usize = 1_024;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Time limit for a client's headers.
    pub header_timeout: Duration,
    /// Maximum header size, in bytes.
    pub header_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            header_timeout: Duration::from_secs(10),
            header_bytes: 16_384,
        }
    }
}

/// When it turns true, the server stops accepting, finishes the requests in progress and returns.
pub type Shutdown = watch::Receiver<bool>;

/// Serves `listener` with `handler` until `shutdown` turns true and all requests have ended.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limits: ServerLimits,
    shutdown: Shutdown,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_with_limits(listener, limits.max_connections, move || limits, shutdown, handler).await;
}

/// Like [`serve`], with limits that may change: each connection uses those in effect when it was
/// accepted.
pub async fn serve_with_limits<H, F, B>(
    listener: TcpListener,
    max_connections: usize,
    limits: impl Fn() -> ServerLimits,
    mut shutdown: Shutdown,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    let (stop, _) = watch::channel(false);
    loop {
        let (stream, permit) = tokio::select! {
            accepted = accept(&listener, &permits) => match accepted {
                Some(accepted) => accepted,
                None => continue,
            },
            _ = shutdown.wait_for(|stop| *stop) => break,
        };
        let connection = serve_connection(stream, limits(), stop.subscribe(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    for stream in accept_waiting(listener) {
        tokio::spawn(serve_connection(stream, limits(), stop.subscribe(), handler.clone()));
    }
    let _ = stop.send(true);
    // Each connection holds a receiver.
    stop.closed().await;
}

/// What became of a connection while it read what had arrived at the stop.
enum Arrived {
    /// The connection was closed.
    Closed,
    /// All requests of which a part had arrived have been read.
    All,
}

/// Serves one connection until it is closed, or until its request in progress has ended after
/// `stopped` turned true.
async fn serve_connection<H, F, B>(
    stream: TcpStream,
    limits: ServerLimits,
    mut stopped: Shutdown,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let _ = stream.set_nodelay(true);
    let activity = Arc::new(Activity::default());
    let service_activity = Arc::clone(&activity);
    let service = service_fn(move |req| {
        let in_progress = service_activity.start_request();
        let response = handler(req);
        async move {
            // The body holds the guard until it has been written or dropped.
            let hold_guard = |body: B| {
                body.map_err(move |e| {
                    let _ = &in_progress;
                    e
                })
            };
            Ok::<_, Infallible>(response.await.map(hold_guard))
        }
    });
    let io = TokioIo::new(CallerStream::new(stream, Arc::clone(&activity)));
    let mut connection = pin!(builder(limits).serve_connection(io, service));
    tokio::select! {
        // A client that breaks its own connection is not an error of this server.
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|stop| *stop) => {}
    }
    activity.stop();
    // A request that has arrived is answered, also if its connection looks idle.
    let read_arrived = poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(_) => Poll::Ready(Arrived::Closed),
        Poll::Pending if activity.is_reading_head() => Poll::Pending,
        Poll::Pending => Poll::Ready(Arrived::All),
    });
    match timeout(HEAD_GRACE, read_arrived).await {
        Ok(Arrived::All) => {}
        // The request has not been read and is not run.
        Ok(Arrived::Closed) | Err(_) => return,
    }
    activity.close_if_idle();
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Accepts a connection as soon as there may be one more.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    Some((stream, permit))
}

/// Closes the listener and returns the connections that it had not accepted; they would be reset.
/// Their number may exceed the connection limit: they end with their first request.
fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let result = listener.into_std().and_then(|listener| {
        while streams.len() < MAX_WAITING_CONNECTIONS {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    streams.push(TcpStream::from_std(stream)?);
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    });
    if let Err(e) = result {
        log::warn!("failed to accept the connections that wait while the server stops: {e}");
    }
    streams
}

fn builder(limits: ServerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUF_BYTES));
    builder
}
