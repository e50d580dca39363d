//! Requests that other hosts carry to this one.

use super::{carried_headers, header_map};
use crate::handler::{CallerResponse, Origin, RequestHandler};
use crate::refusal::Refusal;
use crate::wire::Wire;
use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{CarriedHead, CarriedPart, CarriedRequest};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tonic::Status;

/// Parts of one reply that wait to be sent.
const PART_QUEUE_LEN: usize = 4;

/// Largest part of a body, in bytes.
const MAX_PART_BYTES: usize = 65_536;

/// A request of another host, and where its reply goes.
#[derive(Debug)]
pub(crate) struct CarriedCall {
    pub(crate) request: CarriedRequest,
    /// Closed when the other host has given up.
    pub(crate) parts: mpsc::Sender<CarriedPart>,
}

/// The parts of a reply.
#[derive(Debug)]
pub(crate) struct CarriedParts(mpsc::Receiver<CarriedPart>);

impl CarriedParts {
    /// A reply that begins with the word that this host is there.
    pub(crate) fn new() -> (mpsc::Sender<CarriedPart>, Self) {
        let (tx, rx) = mpsc::channel(PART_QUEUE_LEN);
        // The queue is empty.
        let _ = tx.try_send(CarriedPart::default());
        (tx, Self(rx))
    }
}

impl Stream for CarriedParts {
    type Item = Result<CarriedPart, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx).map(|part| part.map(Ok))
    }
}

/// Time for which a host may take no part of a reply; longer than a caller waits for an event.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// The host that carried the request, or its caller, has left.
struct HostLeft;

/// Sends a part of a reply.
async fn send(parts: &mpsc::Sender<CarriedPart>, part: CarriedPart) -> Result<(), HostLeft> {
    match timeout(SEND_TIMEOUT, parts.send(part)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(HostLeft),
    }
}

impl<W: Wire> RequestHandler<W> {
    /// Handles the requests that other hosts carry to this one.
    pub(crate) async fn serve_carried(self, mut calls: mpsc::Receiver<CarriedCall>) {
        while let Some(call) = calls.recv().await {
            let handler = self.clone();
            self.shared.traffic.spawn(async move {
                let _in_progress = handler.shared.track_request();
                let parts = call.parts.clone();
                tokio::select! {
                    sent = handler.reply(call) => if sent.is_err() {
                        log::debug!("the host of a carried request left before its end");
                    },
                    () = parts.closed() => {}
                }
            });
        }
    }

    async fn reply(&self, call: CarriedCall) -> Result<(), HostLeft> {
        let CarriedCall { request, parts } = call;
        let time_left = Millis(u64::from(request.timeout_ms));
        let result = match http_request(request) {
            Some(req) => {
                self.respond(Instant::now(), req, Origin::Host { timeout: time_left }).await
            }
            None => Err(Refusal::BadRequest("a carried request is malformed".to_owned())),
        };
        match result {
            Ok(CallerResponse::Buffered(buffered)) => {
                let head = head(buffered.status, &buffered.headers);
                send_whole(&parts, head, buffered.body).await
            }
            Ok(CallerResponse::Stream(response, mut stream)) => {
                let head =
                    CarriedHead { is_stream: true, ..head(response.status(), response.headers()) };
                send_head(&parts, head).await?;
                while let Some(item) = stream.next().await {
                    // Without its end, the stream counts as cut.
                    let Ok(frame) = item else {
                        return Ok(());
                    };
                    if let Ok(data) = frame.into_data() {
                        send(&parts, CarriedPart { data, ..CarriedPart::default() }).await?;
                    }
                }
                send_end(&parts).await
            }
            Ok(CallerResponse::Carried(..)) => Ok(()),
            Err(refusal) => {
                let response = refusal.response();
                let name: &'static str = (&refusal).into();
                let head = CarriedHead {
                    try_elsewhere: refusal.is_of_this_host(),
                    ..head(response.status(), response.headers())
                };
                send_whole(&parts, head, Bytes::from_static(name.as_bytes())).await
            }
        }
    }
}

fn http_request(request: CarriedRequest) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(request.method.as_str())
        .uri(request.uri.as_str())
        .body(Full::new(request.body))
        .ok()?;
    *req.headers_mut() = header_map(&request.headers)?;
    Some(req)
}

fn head(status: StatusCode, headers: &HeaderMap) -> CarriedHead {
    let (status, headers) = (u32::from(status.as_u16()), carried_headers(headers));
    CarriedHead { status, headers, ..CarriedHead::default() }
}

async fn send_head(parts: &mpsc::Sender<CarriedPart>, head: CarriedHead) -> Result<(), HostLeft> {
    send(parts, CarriedPart { head: Some(head), ..CarriedPart::default() }).await
}

async fn send_end(parts: &mpsc::Sender<CarriedPart>) -> Result<(), HostLeft> {
    send(parts, CarriedPart { is_end: true, ..CarriedPart::default() }).await
}

async fn send_whole(
    parts: &mpsc::Sender<CarriedPart>,
    head: CarriedHead,
    mut body: Bytes,
) -> Result<(), HostLeft> {
    send_head(parts, head).await?;
    while !body.is_empty() {
        let data = body.split_to(body.len().min(MAX_PART_BYTES));
        send(parts, CarriedPart { data, ..CarriedPart::default() }).await?;
    }
    send_end(parts).await
}
