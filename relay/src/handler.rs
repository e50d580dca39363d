//! Handles callers' requests: admission, routing to upstreams, and the response.

use crate::call::BufferedResponse;
use crate::carry::CarriedStream;
use crate::directory::{AddressList, address_list};
use crate::forward::{Forward, fingerprint, forwarded_parts, header_bytes, read_body};
use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::stream::{EventStream, StreamCut, StreamStart};
use crate::wire::{RequestInfo, Wire};
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};
use magnoliawinch::names::{FailureDomain, RunId};
use magnoliawinch::route_table::{CallerLimits, Delivery, Organisation, Route, RouteTable};
use magnoliawinch::time::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Handles callers' requests in the wire format `W`.
#[derive(Debug)]
pub struct RequestHandler<W> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) wire: Arc<W>,
}

impl<W> Clone for RequestHandler<W> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared), wire: Arc::clone(&self.wire) }
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

pub(crate) enum CallerResponse<W: Wire> {
    Buffered(BufferedResponse),
    /// Events of a run that this host holds.
    Stream(Response<()>, Box<EventStream<W>>),
    /// Events of a run that another host holds.
    Carried(Response<()>, Box<CarriedStream>),
}

/// Who sent a request to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    Caller,
    /// Another host, which carries the request of its caller.
    Host {
        /// Time left for the response.
        timeout: Millis,
    },
}

impl<W: Wire> RequestHandler<W> {
    pub(crate) fn new(shared: Arc<Shared>, wire: W) -> Self {
        Self { shared, wire: Arc::new(wire) }
    }

    /// Whether the daemon accepts requests.
    pub fn is_ready(&self) -> bool {
        self.shared.view.load().is_ready()
    }

    /// Addresses for a caller in the failure domain `near`, hosts of that domain first.
    pub fn directory(&self, near: Option<&FailureDomain>) -> AddressList {
        let view = self.shared.view.load();
        address_list(&view, near, self.shared.settings.bounds.directory_lifetime)
    }

    /// Limits for callers' connections; `None` until a configuration is in force.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.shared.view.load().table.as_ref().map(|table| *table.limits())
    }

    /// All metrics as text.
    pub fn metrics(&self) -> String {
        self.shared.metrics.text()
    }

    /// Handles one request of a caller.
    pub async fn handle(
        self,
        req: Request<Incoming>,
    ) -> Response<impl Body<Data = Bytes, Error = BoxError> + Send + 'static> {
        let in_progress = self.shared.track_request();
        let arrived_at = Instant::now();
        let is_chunked = req.headers().contains_key(TRANSFER_ENCODING);
        let result = self.respond(arrived_at, req, Origin::Caller).await;
        let mut response = match result {
            Ok(CallerResponse::Buffered(buffered)) => {
                let mut response = Response::new(Either::Left(Full::new(buffered.body)));
                *response.status_mut() = buffered.status;
                *response.headers_mut() = buffered.headers;
                response
            }
            Ok(CallerResponse::Stream(head, stream)) => {
                let frames = Either::Left(StreamBody::new(body_frames(stream)));
                head.map(|()| Either::Right(frames))
            }
            Ok(CallerResponse::Carried(head, stream)) => {
                let frames = Either::Right(StreamBody::new(carried_frames(stream)));
                head.map(|()| Either::Right(frames))
            }
            Err(refusal) => refusal.response().map(Either::Left),
        };
        // The bytes after a chunked body could be parsed as another request.
        if is_chunked || self.shared.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        drop(in_progress);
        response
    }

    /// Responds to a request that arrived from `origin`.
    pub(crate) async fn respond<B>(
        &self,
        arrived_at: Instant,
        req: Request<B>,
        origin: Origin,
    ) -> Result<CallerResponse<W>, Refusal>
    where
        B: Body<Data = Bytes, Error: Into<BoxError>>,
    {
        let (parts, body) = req.into_parts();
        let info = self.parse(&parts, origin);
        let info = info.inspect_err(|refusal| self.note_refusal("", "", arrived_at, refusal))?;
        let run = info.run.clone();
        let mut waiting = WaitingRequest::new(&self.shared, &run);
        let mut route_name = String::new();
        let result = self.admit(arrived_at, info, parts, body, &mut route_name).await;
        let result = match result {
            Ok(fwd) => {
                let fwd = Arc::new(fwd);
                waiting.fwd = Some(Arc::clone(&fwd));
                self.serve_until_stop(fwd, origin).await
            }
            Err(refusal) => Err(refusal),
        };
        waiting.end = WaitEnd::Answered;
        match &result {
            Ok(CallerResponse::Buffered(buffered)) => {
                self.shared.metrics.time("answer", &route_name, arrived_at.elapsed());
                if self.shared.log_limiter.admits(self.shared.clock.now()) {
                    log::info!(
                        request = run.as_str(),
                        kind = route_name.as_str(),
                        status = buffered.status.as_u16(),
                        elapsed_ms = arrived_at.elapsed().as_millis() as u64;
                        "answered"
                    );
                }
            }
            Ok(CallerResponse::Stream(..) | CallerResponse::Carried(..)) => {
                waiting.end = WaitEnd::Streaming;
                self.shared.metrics.time("stream_head", &route_name, arrived_at.elapsed());
            }
            Err(refusal) => self.note_refusal(run.as_str(), &route_name, arrived_at, refusal),
        }
        result
    }

    /// Reads a request that another host carries here to continue a run of its own.
    pub(crate) async fn admit_carried<B>(
        &self,
        arrived_at: Instant,
        req: Request<B>,
        origin: Origin,
    ) -> Result<Forward, Refusal>
    where
        B: Body<Data = Bytes, Error: Into<BoxError>>,
    {
        let (parts, body) = req.into_parts();
        let info = self.parse(&parts, origin)?;
        self.admit(arrived_at, info, parts, body, &mut String::new()).await
    }

    fn parse(
        &self,
        parts: &hyper::http::request::Parts,
        origin: Origin,
    ) -> Result<RequestInfo, Refusal> {
        let info = self.wire.parse_request(parts);
        let mut info = info.map_err(|e| Refusal::BadRequest(e.to_string()))?;
        if let Origin::Host { timeout } = origin {
            info.timeout = Some(info.timeout.map_or(timeout, |requested| requested.min(timeout)));
        }
        Ok(info)
    }

    /// Reads a request and checks whether it may be served.
    async fn admit<B>(
        &self,
        arrived_at: Instant,
        info: RequestInfo,
        parts: hyper::http::request::Parts,
        body: B,
        route_name: &mut String,
    ) -> Result<Forward, Refusal>
    where
        B: Body<Data = Bytes, Error: Into<BoxError>>,
    {
        let view = self.shared.view.load_full();
        let table = view.table.clone().ok_or(Refusal::NotReady)?;
        let route = table.route(&info.host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
        route_name.clone_from(&route.name);
        let organisation = authenticate(&table, route, &info)?;
        if header_bytes(&parts.headers) > table.limits().header_bytes {
            return Err(Refusal::HeadersTooLarge);
        }
        let timeout = info.timeout.map_or(route.timeout, |requested| requested.min(route.timeout));
        let deadline = arrived_at + Duration::from(timeout);
        if !self.shared.accepts(deadline) {
            return Err(Refusal::Leaving);
        }
        let share = self.shared.request_budget.share();
        let body = tokio::select! {
            body = read_body(body, table.limits().body_bytes, share, deadline) => body?,
            () = self.shared.outlives_daemon(deadline) => return Err(Refusal::Leaving),
        };
        let service = route.destination(info.run.as_str()).ok_or(Refusal::NoRoute)?.clone();
        let is_pooled = table.service(service.as_str()).is_some_and(|s| s.engine.is_some());
        let (method, uri, headers) = forwarded_parts(parts);
        let route = Arc::clone(route);
        let fingerprint = fingerprint(organisation.as_deref(), &route, &method, &uri, &body);
        let fwd = Forward {
            method,
            uri,
            headers,
            body,
            info,
            route,
            service,
            is_pooled,
            organisation,
            arrived_at,
            deadline,
            fingerprint,
            may_be_sent: AtomicBool::new(false),
        };
        match self.quarantined(&fwd) {
            Some(quarantined) => Err(Refusal::Quarantined(quarantined)),
            None => Ok(fwd),
        }
    }

    /// Serves a request; if its daemon stops before it is due, it gets its final answer then.
    async fn serve_until_stop(
        &self,
        fwd: Arc<Forward>,
        origin: Origin,
    ) -> Result<CallerResponse<W>, Refusal> {
        tokio::select! {
            biased;
            result = self.serve(Arc::clone(&fwd), origin) => result,
            () = self.shared.answers_due() => Err(match fwd.may_be_sent.load(Ordering::Relaxed) {
                true => Refusal::Lost("the daemon stops".to_owned()),
                false => Refusal::Leaving,
            }),
        }
    }

    /// Sends a request to an upstream of its service, or to a host that reaches one if this host does
    /// not.
    async fn serve(&self, fwd: Arc<Forward>, origin: Origin) -> Result<CallerResponse<W>, Refusal> {
        if origin == Origin::Caller {
            self.shared.earn_retry(&fwd.service);
        }
        if !self.shared.is_served_elsewhere(&fwd.service) {
            let result = self.serve_here(Arc::clone(&fwd)).await;
            let has_not_run = matches!(result, Err(Refusal::Overloaded(_)));
            if !has_not_run || !self.shared.is_found_cut_off(&fwd.service).await {
                return result;
            }
        }
        match origin {
            Origin::Caller => {
                fwd.note_sent();
                self.carry(&fwd).await
            }
            Origin::Host { .. } => Err(Refusal::CutOff),
        }
    }

    async fn serve_here(&self, fwd: Arc<Forward>) -> Result<CallerResponse<W>, Refusal> {
        match fwd.route.delivery {
            Delivery::Stream => self.respond_with_stream(fwd).await,
            Delivery::Idempotent | Delivery::AtMostOnce => {
                self.call(&fwd).await.map(CallerResponse::Buffered)
            }
        }
    }

    async fn respond_with_stream(&self, fwd: Arc<Forward>) -> Result<CallerResponse<W>, Refusal> {
        match self.start_stream(fwd).await? {
            StreamStart::Buffered(buffered) => Ok(CallerResponse::Buffered(buffered)),
            StreamStart::Stream { status, headers, stream } => {
                let mut head = Response::new(());
                *head.status_mut() = status;
                *head.headers_mut() = headers;
                Ok(CallerResponse::Stream(head, stream))
            }
        }
    }

    fn note_refusal(&self, run: &str, kind: &str, arrived_at: Instant, refusal: &Refusal) {
        let name: &'static str = refusal.into();
        self.shared.metrics.count("refused", name);
        if !self.shared.log_limiter.admits(self.shared.clock.now()) {
            return;
        }
        let view = self.shared.view.load();
        let detail = match refusal {
            Refusal::BadRequest(cause) | Refusal::Lost(cause) => cause.clone(),
            Refusal::Quarantined(quarantined) => quarantined.culprit.to_string(),
            _ => String::new(),
        };
        log::info!(
            request = run,
            kind,
            refusal = name,
            status = refusal.status().as_u16(),
            retry_after_ms = refusal.retry_after().map_or(0, |wait| wait.0),
            elapsed_ms = arrived_at.elapsed().as_millis() as u64,
            configuration = view.table.as_ref().map_or(0, |table| table.version()),
            list_age_ms = self.shared.list_age().0,
            detail = detail.as_str();
            "refused"
        );
    }
}

/// A request whose response has not begun; when it is dropped, its runs at upstreams are.
struct WaitingRequest<'a> {
    shared: &'a Shared,
    run: &'a RunId,
    arrived_at: Instant,
    /// `None` until the request has been read.
    fwd: Option<Arc<Forward>>,
    end: WaitEnd,
}

/// How the wait for a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitEnd {
    /// The connection has ended or the daemon stops.
    Dropped,
    Answered,
    /// The stream takes over.
    Streaming,
}

impl<'a> WaitingRequest<'a> {
    fn new(shared: &'a Shared, run: &'a RunId) -> Self {
        Self { shared, run, arrived_at: Instant::now(), fwd: None, end: WaitEnd::Dropped }
    }

    /// Notes that the request ends without an answer.
    fn note_dropped(&self) {
        let state = match &self.fwd {
            None => "reading",
            Some(fwd) if fwd.may_be_sent.load(Ordering::Relaxed) => "sent",
            Some(_) => "waiting",
        };
        self.shared.metrics.count("dropped", state);
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = self.run.as_str(),
                kind = self.fwd.as_ref().map_or("", |fwd| fwd.route.name.as_str()),
                state,
                elapsed_ms = self.arrived_at.elapsed().as_millis() as u64,
                is_stopping = self.shared.is_stopping();
                "request dropped without an answer"
            );
        }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        match self.end {
            WaitEnd::Dropped => self.note_dropped(),
            WaitEnd::Answered => {}
            WaitEnd::Streaming => return,
        }
        self.shared.run_starts().dropped(self.shared.clock.now(), self.run);
    }
}

/// The organisation of the request's key; `None` if the key is unknown and the route or the
/// configuration requires no key.
fn authenticate(
    table: &RouteTable,
    route: &Route,
    info: &RequestInfo,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    let known = info.key.as_ref().and_then(|key| table.organisation(key)).cloned();
    if known.is_none() && table.requires_keys() && !route.anonymous {
        return Err(Refusal::UnknownKey);
    }
    Ok(known)
}

/// Returns the events of a run as body frames; dropping them drops the run.
fn body_frames<W: Wire>(
    stream: Box<EventStream<W>>,
) -> impl Stream<Item = Result<Frame<Bytes>, StreamCut>> + Send + 'static {
    unfold(stream, |mut stream| async move { stream.next().await.map(|item| (item, stream)) })
}

/// Returns the events of a run that another host holds; dropping them tells that host.
fn carried_frames(
    stream: Box<CarriedStream>,
) -> impl Stream<Item = Result<Frame<Bytes>, StreamCut>> + Send + 'static {
    unfold(stream, |mut stream| async move { stream.next().await.map(|item| (item, stream)) })
}
