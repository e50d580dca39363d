//! A caller's request from its head to its answer.

use crate::call::Whole;
use crate::directory::{Spread, spread};
use crate::forward::{Forward, end_to_end, header_bytes, read_body};
use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::stream::{Cut, Started, Streaming};
use crate::view::View;
use crate::wire::{Ask, Wire};
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};
use magnoliawinch::names::FailureDomain;
use magnoliawinch::quarantine::REFUSAL_DURATION;
use magnoliawinch::route_table::{CallerLimits, Delivery, Organisation, Route, RouteTable};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Serves callers' requests that look like `W` on the wire.
#[derive(Debug)]
pub struct Entry<W> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) wire: Arc<W>,
}

impl<W> Clone for Entry<W> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared), wire: Arc::clone(&self.wire) }
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// An answer to a caller.
enum Answer<W: Wire> {
    Whole(Whole),
    Stream(Response<()>, Box<Streaming<W>>),
}

impl<W: Wire> Entry<W> {
    pub(crate) fn new(shared: Arc<Shared>, wire: W) -> Self {
        Self { shared, wire: Arc::new(wire) }
    }

    /// Whether the daemon takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.view.load().is_ready()
    }

    /// Addresses for a caller that stands in `near`.
    pub fn directory(&self, near: Option<&FailureDomain>) -> Spread {
        let view = self.shared.view.load();
        spread(&view, near, self.shared.settings.bounds.directory_lifetime)
    }

    /// Bounds of callers' connections, once a configuration is in force.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.shared.view.load().table.as_ref().map(|table| *table.limits())
    }

    /// All metrics as text.
    pub fn metrics(&self) -> String {
        self.shared.metrics.text()
    }

    /// Answers one request of a caller.
    pub async fn handle(
        self,
        req: Request<Incoming>,
    ) -> Response<impl Body<Data = Bytes, Error = BoxError> + Send + 'static> {
        let in_progress = self.shared.track_request();
        let arrived = Instant::now();
        // What follows a chunked body could be read as a request of its own.
        let is_chunked = req.headers().contains_key(TRANSFER_ENCODING);
        let closes = is_chunked || self.shared.view.load().is_leaving();
        let answer = self.answer(arrived, req).await;
        let mut response = match answer {
            Ok(Answer::Whole(whole)) => {
                let mut response = Response::new(Either::Left(Full::new(whole.body)));
                *response.status_mut() = whole.status;
                *response.headers_mut() = whole.headers;
                response
            }
            Ok(Answer::Stream(head, streaming)) => {
                head.map(|()| Either::Right(StreamBody::new(events(streaming))))
            }
            Err(refusal) => refusal.response().map(Either::Left),
        };
        if closes || self.shared.view.load().is_leaving() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        drop(in_progress);
        response
    }

    async fn answer(&self, arrived: Instant, req: Request<Incoming>) -> Result<Answer<W>, Refusal> {
        let (parts, body) = req.into_parts();
        let ask = self.wire.ask(&parts).map_err(|e| Refusal::BadRequest(e.to_string()));
        let ask = ask.inspect_err(|refusal| self.note_refusal("", "", arrived, refusal))?;
        let run = ask.run.clone();
        let mut route_name = String::new();
        let answer = self.admit(arrived, ask, parts, body, &mut route_name).await;
        match &answer {
            Ok(Answer::Whole(whole)) => {
                self.shared.metrics.time("answer", &route_name, arrived.elapsed());
                if self.shared.journal.admits(self.shared.clock.now()) {
                    log::info!(
                        request = run.as_str(),
                        kind = route_name.as_str(),
                        status = whole.status.as_u16(),
                        elapsed_ms = arrived.elapsed().as_millis() as u64;
                        "answered"
                    );
                }
            }
            Ok(Answer::Stream(..)) => {
                self.shared.metrics.time("stream_head", &route_name, arrived.elapsed());
            }
            Err(refusal) => self.note_refusal(run.as_str(), &route_name, arrived, refusal),
        }
        answer
    }

    async fn admit(
        &self,
        arrived: Instant,
        ask: Ask,
        parts: hyper::http::request::Parts,
        body: Incoming,
        route_name: &mut String,
    ) -> Result<Answer<W>, Refusal> {
        let view = self.shared.view.load_full();
        let table = view.table.clone().ok_or(Refusal::NotReady)?;
        let route = table.route(&ask.host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
        route_name.clone_from(&route.name);
        let organisation = organisation(&table, route, &ask)?;
        if view.is_leaving() && route.delivery == Delivery::Stream {
            return Err(Refusal::Leaving);
        }
        if header_bytes(&parts.headers) > table.limits().header_bytes {
            return Err(Refusal::HeadersTooLarge);
        }
        let timeout = ask.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let until = arrived + Duration::from(timeout);
        let body = read_body(body, table.limits().body_bytes, until).await?;
        let service = route.destination(ask.run.as_str()).ok_or(Refusal::NoRoute)?.clone();
        let is_pooled = table.service(service.as_str()).is_some_and(|s| s.engine.is_some());
        let (method, uri, headers) = end_to_end(parts);
        let route = Arc::clone(route);
        let fwd = Forward {
            method,
            uri,
            headers,
            body,
            ask,
            route,
            service,
            is_pooled,
            organisation,
            arrived,
            until,
        };
        self.check_quarantine(&view, &fwd)?;
        self.shared.earn_retry(&fwd.service);
        if fwd.route.delivery == Delivery::Stream {
            return self.start_stream(fwd).await;
        }
        self.call(&fwd).await.map(Answer::Whole)
    }

    async fn start_stream(&self, fwd: Forward) -> Result<Answer<W>, Refusal> {
        match self.stream(Arc::new(fwd)).await? {
            Started::Whole(whole) => Ok(Answer::Whole(whole)),
            Started::Stream { status, headers, streaming } => {
                let mut head = Response::new(());
                *head.status_mut() = status;
                *head.headers_mut() = headers;
                Ok(Answer::Stream(head, streaming))
            }
        }
    }

    fn check_quarantine(&self, view: &View, fwd: &Forward) -> Result<(), Refusal> {
        let is_refused = !view.refused.is_empty() && view.refused.contains(&fwd.fingerprint());
        if is_refused { Err(Refusal::Quarantined(REFUSAL_DURATION)) } else { Ok(()) }
    }

    fn note_refusal(&self, run: &str, kind: &str, arrived: Instant, refusal: &Refusal) {
        let name: &'static str = refusal.into();
        self.shared.metrics.count("refused", name);
        if !self.shared.journal.admits(self.shared.clock.now()) {
            return;
        }
        let view = self.shared.view.load();
        let detail = match refusal {
            Refusal::BadRequest(why) | Refusal::Lost(why) => why.as_str(),
            _ => "",
        };
        log::info!(
            request = run,
            kind,
            refusal = name,
            status = refusal.status().as_u16(),
            retry_after_ms = refusal.retry_after().map_or(0, |wait| wait.0),
            elapsed_ms = arrived.elapsed().as_millis() as u64,
            configuration = view.table.as_ref().map_or(0, |table| table.version()),
            list_age_ms = self.shared.list_age().0,
            detail;
            "refused"
        );
    }
}

/// The organisation of a request whose key is known, or which needs none.
fn organisation(
    table: &RouteTable,
    route: &Route,
    ask: &Ask,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    let known = ask.key.as_ref().and_then(|key| table.organisation(key)).cloned();
    if known.is_none() && table.requires_keys() && !route.anonymous {
        return Err(Refusal::UnknownKey);
    }
    Ok(known)
}

/// The events of a run; dropping the stream leaves it.
fn events<W: Wire>(
    streaming: Box<Streaming<W>>,
) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> + Send + 'static {
    unfold(streaming, |mut streaming| async move {
        streaming.next().await.map(|item| (item, streaming))
    })
}
