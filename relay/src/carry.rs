//! Carries callers' requests to hosts that reach their upstreams.
//!
//! A request goes one step at most, and its receiver handles it like one of its own callers'. Until the
//! receiver has said that it is there, nothing was sent and another one may be tried; after that, the
//! request may have run.

mod receive;

pub(crate) use receive::{CarriedCall, CarriedParts};

use crate::call::{BufferedResponse, MAX_RESPONSE_BYTES};
use crate::forward::Forward;
use crate::handler::{CallerResponse, RequestHandler};
use crate::refusal::Refusal;
use crate::relocate::{ResumeAttempt, ResumeError};
use crate::run_body::RunBody;
use crate::runs::Endpoint;
use crate::shared::Shared;
use crate::stream::StreamCut;
use crate::wire::{Resume, Wire};
use bytes::Bytes;
use futures_util::stream;
use hyper::body::Frame;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::names::{HostName, ServiceName};
use magnoliawinch::response::ResponseClass;
use magnoliawinch::route_table::Delivery;
use magnoliawinch::time::Millis;
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::{BudgetShare, BufferedBody};
use magnoliawinch_peer::{CarriedHead, CarriedHeader, CarriedPart, CarriedRequest, CarriedResume};
use magnoliawinch_runtime::InProgressGuard;
use rand::seq::SliceRandom;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tonic::Streaming;

/// Hosts tried for one request.
const MAX_HOSTS: usize = 3;

/// Time in which a host says that it is there.
const READY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a request waits until other hosts have been asked whether they reach its service.
const CHECK_PATIENCE: Duration = Duration::from_millis(500);

/// Retry delay for a caller whose request no host could take.
const NO_HOST_RETRY_AFTER: Millis = Millis(500);

/// Why a host has not served a request.
#[derive(Debug, Error)]
enum CarryError {
    /// It did not get the request, or did not run it.
    #[error("{0}")]
    NotRun(String),
    /// It may have run the request.
    #[error("{0}")]
    MayHaveRun(String),
}

/// The events of a run that another host holds.
#[derive(Debug)]
pub(crate) struct CarriedStream {
    parts: Streaming<CarriedPart>,
    is_over: bool,
    has_marked_end: bool,
    is_host_leaving: bool,
    _in_progress: InProgressGuard,
}

impl CarriedStream {
    /// The next events; `None` at the end of a complete stream or after an error.
    pub(crate) async fn next(&mut self) -> Option<Result<Frame<Bytes>, StreamCut>> {
        Some(self.next_data().await?.map(Frame::data))
    }

    /// The next bytes; `None` at the end of a complete stream or after an error.
    pub(crate) async fn next_data(&mut self) -> Option<Result<Bytes, StreamCut>> {
        if self.is_over {
            return None;
        }
        match self.parts.message().await {
            Ok(Some(part)) if part.is_end => {
                (self.is_over, self.has_marked_end) = (true, part.is_marked_end);
                None
            }
            Ok(Some(part)) => {
                self.is_host_leaving |= part.is_leaving;
                Some(Ok(part.data))
            }
            Ok(None) | Err(_) => {
                self.is_over = true;
                Some(Err(StreamCut))
            }
        }
    }
}

impl CarriedStream {
    /// Whether the upstream marked the end that was read. The host only knows that it lived when it
    /// closed the connection; whether it had stopped the run, the holder of the run knows.
    pub(crate) fn has_marked_end(&self) -> bool {
        self.has_marked_end
    }

    /// Whether the host that passes the stream on is leaving.
    pub(crate) fn is_host_leaving(&self) -> bool {
        self.is_host_leaving
    }
}

impl Shared {
    /// Whether a service is cut off from this host while others reach it.
    pub(crate) fn is_cut_off(&self, service: &ServiceName) -> bool {
        !self.paths().via(service).is_empty()
    }

    /// The same, once other hosts have been asked if connections to the service have failed.
    pub(crate) async fn is_found_cut_off(&self, service: &ServiceName) -> bool {
        if self.paths().is_open(service) {
            return false;
        }
        let mut changes = self.paths_changed.subscribe();
        let is_checked = async {
            // The sender lives as long as `self`.
            while self.paths().is_checking(service) && changes.changed().await.is_ok() {}
        };
        // Whatever is known by then counts.
        let _ = timeout(CHECK_PATIENCE, is_checked).await;
        self.is_cut_off(service)
    }

    /// Whether other hosts have to serve requests for a service: this one does not reach it, or shares no
    /// room of its upstreams.
    pub(crate) fn is_served_elsewhere(&self, service: &ServiceName) -> bool {
        self.is_cut_off(service) || !self.hosts_with_room(service).is_empty()
    }

    /// Hosts that may serve requests which this one cannot, in random order.
    fn carrying_hosts(&self, service: &ServiceName) -> Vec<Member> {
        let mut via: Vec<HostName> = self.paths().via(service).to_vec();
        if via.is_empty() {
            via = self.hosts_with_room(service);
        }
        via.shuffle(&mut self.routing().rng);
        let view = self.view.load();
        let is_running = |member: &&Member| member.state == MemberState::Alive;
        let member = |host: &HostName| {
            let others = view.members.iter().filter(|member| member.host != view.own.host);
            others.filter(is_running).find(|member| member.host == *host)
        };
        via.iter().filter_map(member).take(MAX_HOSTS).cloned().collect()
    }
}

impl<W: Wire> RequestHandler<W> {
    /// Has a request served by a host that reaches its service.
    pub(crate) async fn carry(&self, fwd: &Forward) -> Result<CallerResponse<W>, Refusal> {
        let is_idempotent = fwd.route.delivery == Delivery::Idempotent;
        let mut lost = None;
        for host in self.shared.carrying_hosts(&fwd.service) {
            if fwd.remaining().is_zero() {
                break;
            }
            let result = self.carry_to(&host, fwd).await;
            self.note_carried(fwd, &host, &result);
            match result {
                Ok(response) => return Ok(response),
                Err(CarryError::NotRun(_)) => {
                    self.shared.paths().did_not_serve(&fwd.service, &host.host);
                }
                Err(CarryError::MayHaveRun(cause)) if is_idempotent => lost = Some(cause),
                Err(CarryError::MayHaveRun(cause)) => return Err(Refusal::Lost(cause)),
            }
        }
        Err(lost.map_or(Refusal::Overloaded(NO_HOST_RETRY_AFTER), Refusal::Lost))
    }

    /// Has another host continue a run that this host goes on holding.
    pub(crate) async fn carry_resume(
        &self,
        fwd: &Forward,
        to: &Endpoint,
        resume: &Resume,
        timeout: Duration,
    ) -> ResumeAttempt {
        let failed = |cause: String, verdict| ResumeError::Carried { cause, verdict };
        let mut last = failed("no host is known to reach it".to_owned(), Verdict::NotRun);
        let mut sent_at = Instant::now();
        for host in self.shared.carrying_hosts(&fwd.service) {
            sent_at = Instant::now();
            let resume = carried_resume(to, resume);
            let request = CarriedRequest { resume: Some(resume), ..carried_request(fwd) };
            let result = self.send_to_host(&host, fwd, request, timeout).await;
            self.note_carried(fwd, &host, &result);
            last = match result {
                Ok((parts, head)) if head.is_stream => {
                    let body = RunBody::Carried(Box::new(self.carried_stream(parts)));
                    return ResumeAttempt { sent_at, result: Ok(body) };
                }
                Ok((_, CarriedHead { status, not_run, .. })) => {
                    let status = u16::try_from(status).ok();
                    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
                    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
                    let result = match status {
                        // The host got no answer.
                        StatusCode::SERVICE_UNAVAILABLE if !not_run => {
                            let cause = format!("{} has not answered it", host.host);
                            Err(failed(cause, Verdict::MayHaveRun))
                        }
                        _ => Err(ResumeError::Refused { engine: to.name.clone(), status, not_run }),
                    };
                    return ResumeAttempt { sent_at, result };
                }
                Err(CarryError::NotRun(cause)) => {
                    self.shared.paths().did_not_serve(&fwd.service, &host.host);
                    failed(cause, Verdict::NotRun)
                }
                Err(CarryError::MayHaveRun(cause)) => {
                    let result = Err(failed(cause, Verdict::MayHaveRun));
                    return ResumeAttempt { sent_at, result };
                }
            };
        }
        ResumeAttempt { sent_at, result: Err(last) }
    }

    fn carried_stream(&self, parts: Streaming<CarriedPart>) -> CarriedStream {
        CarriedStream {
            parts,
            is_over: false,
            has_marked_end: false,
            is_host_leaving: false,
            _in_progress: self.shared.track_request(),
        }
    }

    /// Sends a request to another host; returns the head of its response and what follows.
    async fn send_to_host(
        &self,
        host: &Member,
        fwd: &Forward,
        request: CarriedRequest,
        head_timeout: Duration,
    ) -> Result<(Streaming<CarriedPart>, CarriedHead), CarryError> {
        let not_run = |cause: String| CarryError::NotRun(cause);
        let may_have_run = |cause: &str| CarryError::MayHaveRun(cause.to_owned());
        let (tx, rx) = mpsc::channel(1);
        let requests = stream::unfold(rx, |mut rx| async move { Some((rx.recv().await?, rx)) });
        let call =
            self.shared.carriers.call(host.peer_address, READY_TIMEOUT, |mut peer| async move {
                peer.carry(requests).await
            });
        let mut parts = call.await.map_err(|e| not_run(e.to_string()))?;
        match timeout(READY_TIMEOUT, parts.message()).await {
            Ok(Ok(Some(_))) => {}
            Ok(Ok(None)) => return Err(not_run("the host takes no requests".to_owned())),
            Ok(Err(status)) => return Err(not_run(status.to_string())),
            Err(_) => return Err(not_run(format!("no reply within {READY_TIMEOUT:?}"))),
        }
        if tx.send(request).await.is_err() {
            return Err(not_run("the connection to the host broke".to_owned()));
        }
        let head_timeout = fwd.remaining().min(head_timeout);
        let head = match timeout(head_timeout, parts.message()).await {
            Ok(Ok(Some(CarriedPart { head: Some(head), .. }))) => head,
            Ok(Ok(_)) => return Err(may_have_run("the host sent no response")),
            Ok(Err(status)) => return Err(may_have_run(&status.to_string())),
            Err(_) => return Err(may_have_run("no response from the host in time")),
        };
        if head.try_elsewhere {
            return Err(not_run("the host cannot serve the request".to_owned()));
        }
        Ok((parts, head))
    }

    async fn carry_to(
        &self,
        host: &Member,
        fwd: &Forward,
    ) -> Result<CallerResponse<W>, CarryError> {
        let may_have_run = |cause: &str| CarryError::MayHaveRun(cause.to_owned());
        let request = carried_request(fwd);
        let (mut parts, head) = self.send_to_host(host, fwd, request, fwd.remaining()).await?;
        let (status, headers) = response_head(&head).ok_or_else(|| may_have_run("invalid head"))?;
        // Earlier builds pass on whatever their upstreams respond.
        let class = ResponseClass::new(status.as_u16(), head.not_run);
        if !head.not_run && !class.may_be_forwarded(fwd.route.delivery) {
            return Err(may_have_run("the response may not be forwarded"));
        }
        if head.is_stream {
            let mut response = Response::new(());
            (*response.status_mut(), *response.headers_mut()) = (status, headers);
            let stream = Box::new(self.carried_stream(parts));
            return Ok(CallerResponse::Carried(response, stream));
        }
        let share = self.shared.upstreams.body_budget().share();
        let body = match timeout(fwd.remaining(), read_body(&mut parts, share)).await {
            Ok(Some(body)) => body,
            Ok(None) => return Err(may_have_run("the host broke off its response")),
            Err(_) => return Err(may_have_run("the response was not complete in time")),
        };
        Ok(CallerResponse::Buffered(BufferedResponse { status, headers, body }))
    }

    fn note_carried<T>(&self, fwd: &Forward, host: &Member, result: &Result<T, CarryError>) {
        let (outcome, reason) = match result {
            Ok(_) => ("responded", String::new()),
            Err(e @ CarryError::NotRun(_)) => ("not_run", e.to_string()),
            Err(e @ CarryError::MayHaveRun(_)) => ("may_have_run", e.to_string()),
        };
        self.shared.metrics.count("carried", outcome);
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.info.run.as_str(),
                service = fwd.service.as_str(),
                via = host.host.as_str(),
                outcome,
                elapsed_ms = fwd.elapsed_ms(),
                reason;
                "request carried to another host"
            );
        }
    }
}

fn carried_headers(headers: &HeaderMap) -> Vec<CarriedHeader> {
    let headers = headers.iter().map(|(name, value)| CarriedHeader {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    headers.collect()
}

/// The headers of a message; `None` if one of them is invalid.
fn header_map(carried: &[CarriedHeader]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(carried.len());
    for CarriedHeader { name, value } in carried {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

fn carried_request(fwd: &Forward) -> CarriedRequest {
    CarriedRequest {
        method: fwd.method.to_string(),
        uri: fwd.uri.to_string(),
        headers: carried_headers(&fwd.headers),
        body: fwd.body.clone(),
        timeout_ms: fwd.remaining_ms().0.min(u64::from(u32::MAX)) as u32,
        resume: None,
    }
}

fn carried_resume(to: &Endpoint, resume: &Resume) -> CarriedResume {
    CarriedResume {
        upstream: to.name.to_string(),
        address: to.address.to_string(),
        born: to.born,
        source_address: resume.address.to_string(),
        handle: resume.handle.clone(),
        last_event: resume.last_event,
    }
}

fn response_head(head: &CarriedHead) -> Option<(StatusCode, HeaderMap)> {
    let status = StatusCode::from_u16(u16::try_from(head.status).ok()?).ok()?;
    Some((status, header_map(&head.headers)?))
}

/// Reads the rest of a response; `None` if it broke off, is too large or takes more than its `share` of
/// the memory for responses.
async fn read_body(parts: &mut Streaming<CarriedPart>, share: BudgetShare) -> Option<Bytes> {
    let mut body = BufferedBody::new(share);
    loop {
        match parts.message().await {
            Ok(Some(part)) if part.is_end => return Some(body.freeze()),
            Ok(Some(part)) if body.len() + part.data.len() <= MAX_RESPONSE_BYTES => {
                body.push(&part.data, MAX_RESPONSE_BYTES).ok()?;
            }
            _ => return None,
        }
    }
}
