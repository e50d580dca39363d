//! HTTP server with limits on connections, header size and header time.

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

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
    let graceful = GracefulShutdown::new();
    loop {
        let (stream, permit) = tokio::select! {
            accepted = accept(&listener, &permits) => match accepted {
                Some(accepted) => accepted,
                None => continue,
            },
            _ = shutdown.wait_for(|stop| *stop) => break,
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let response = handler(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = builder(limits()).serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A client that breaks its own connection is not an error of this server.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
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

fn builder(limits: ServerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUF_BYTES));
    builder
}
