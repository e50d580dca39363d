//! Requests that other hosts carry to this one.

use super::{carried_headers, header_map};
use crate::handler::{CallerResponse, Origin, RequestHandler};
use crate::refusal::Refusal;
use crate::relocate::{ResumeError, resume_timeout};
use crate::runs::Endpoint;
use crate::wire::{Resume, Wire};
use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::Millis;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_peer::{CarriedHead, CarriedPart, CarriedRequest, CarriedResume};
use magnoliawinch_runtime::InProgressGuard;
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

/// The parts of a reply. The request is in progress until the last one has been taken.
#[derive(Debug)]
pub(crate) struct CarriedParts {
    parts: mpsc::Receiver<CarriedPart>,
    _in_progress: InProgressGuard,
}

impl CarriedParts {
    /// A reply that begins with the word that this host is there.
    pub(crate) fn new(in_progress: InProgressGuard) -> (mpsc::Sender<CarriedPart>, Self) {
        let (tx, parts) = mpsc::channel(PART_QUEUE_LEN);
        // The queue is empty.
        let _ = tx.try_send(CarriedPart::default());
        (tx, Self { parts, _in_progress: in_progress })
    }
}

impl Stream for CarriedParts {
    type Item = Result<CarriedPart, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.parts.poll_recv(cx).map(|part| part.map(Ok))
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
        let CarriedCall { mut request, parts } = call;
        let origin = Origin::Host { timeout: Millis(u64::from(request.timeout_ms)) };
        let resume = request.resume.take();
        let malformed = Refusal::BadRequest("a carried request is malformed".to_owned());
        let Some(req) = http_request(request) else {
            return send_refusal(&parts, &malformed).await;
        };
        if let Some(resume) = resume {
            return match resume_point(&resume) {
                Some((to, resume)) => self.reply_with_run(&parts, req, origin, &to, &resume).await,
                None => send_refusal(&parts, &malformed).await,
            };
        }
        match self.respond(Instant::now(), req, origin).await {
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
                send_end(&parts, true).await
            }
            Ok(CallerResponse::Carried(..)) => Ok(()),
            Err(refusal) => send_refusal(&parts, &refusal).await,
        }
    }

    /// Has an engine continue a run that another host holds, and passes on what it writes.
    async fn reply_with_run(
        &self,
        parts: &mpsc::Sender<CarriedPart>,
        req: Request<Full<Bytes>>,
        origin: Origin,
        to: &Endpoint,
        resume: &Resume,
    ) -> Result<(), HostLeft> {
        let fwd = match self.admit_carried(Instant::now(), req, origin).await {
            Ok(fwd) => fwd,
            Err(refusal) => return send_refusal(parts, &refusal).await,
        };
        let mut body = match self.resume_run(&fwd, to, resume, resume_timeout(false)).await {
            Ok(body) => body,
            Err(ResumeError::NoResponse(e)) if e.verdict() == Verdict::NotRun => {
                return send_refusal(parts, &Refusal::CutOff).await;
            }
            Err(e) => {
                log::info!(request = fwd.info.run.as_str(); "carried run did not go on: {e}");
                let not_run = e.verdict() == Verdict::NotRun;
                let status = match e {
                    ResumeError::Refused { status, .. } => status,
                    _ => StatusCode::SERVICE_UNAVAILABLE,
                };
                let head = head(status, &HeaderMap::new());
                return send_whole(parts, CarriedHead { not_run, ..head }, Bytes::new()).await;
            }
        };
        let head = head(StatusCode::OK, &HeaderMap::new());
        send_head(parts, CarriedHead { is_stream: true, ..head }).await?;
        while let Some(chunk) = body.chunk().await {
            // Without its end, the stream counts as cut.
            let Ok(data) = chunk else {
                return Ok(());
            };
            let is_leaving = self.shared.is_stopping();
            send(parts, CarriedPart { data, is_leaving, ..CarriedPart::default() }).await?;
        }
        let is_marked_end = body.has_marked_end();
        if is_marked_end || self.has_closed_whole_body(&fwd, to).await {
            send_end(parts, is_marked_end).await?;
        }
        Ok(())
    }
}

fn resume_point(carried: &CarriedResume) -> Option<(Endpoint, Resume)> {
    let CarriedResume { upstream, address, born, source_address, handle, last_event } = carried;
    let to =
        Endpoint { name: UpstreamName::new(upstream), address: address.parse().ok()?, born: *born };
    let (address, handle) = (source_address.parse().ok()?, handle.clone());
    Some((to, Resume { address, handle, last_event: *last_event }))
}

async fn send_refusal(
    parts: &mpsc::Sender<CarriedPart>,
    refusal: &Refusal,
) -> Result<(), HostLeft> {
    let response = refusal.response();
    let name: &'static str = refusal.into();
    let head = CarriedHead {
        try_elsewhere: refusal.is_of_this_host(),
        not_run: refusal.is_not_run(),
        ..head(response.status(), response.headers())
    };
    send_whole(parts, head, Bytes::from_static(name.as_bytes())).await
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

async fn send_end(parts: &mpsc::Sender<CarriedPart>, is_marked_end: bool) -> Result<(), HostLeft> {
    send(parts, CarriedPart { is_end: true, is_marked_end, ..CarriedPart::default() }).await
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
    send_end(parts, true).await
}
