//! Requests whose response is read completely before it is forwarded.

use crate::body_end::UNFRAMED_END;
use crate::control::Message;
use crate::forward::{Forward, strip_hop_by_hop_headers};
use crate::handler::RequestHandler;
use crate::refusal::Refusal;
use crate::runs::Endpoint;
use crate::wire::{Outgoing, ResponseInfo, Wire};
use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, StatusCode};
use magnoliawinch::balance::{Candidate, Outcome};
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::response::ResponseClass;
use magnoliawinch::retry::RepeatCause;
use magnoliawinch::route_table::Delivery;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::client::has_known_end;
use magnoliawinch_http::{ClientResponse, Reuse, SendError};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Largest response body that is accepted, in bytes; typical ones are a few kilobytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16_777_216;

/// Remaining time below which no attempt is started.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(8);

/// Time for which a retry waits to learn whether the server before has ended under the request: some
/// round trips to a server and to the control thread.
pub(crate) const CRASH_CHECK_PATIENCE: Duration = Duration::from_millis(30);

/// Time since its arrival for which a request waits until this host's part of the room of a brittle
/// server is free; the work of a call takes 30 ms in the mean.
const ROOM_PATIENCE: Millis = Millis(250);

/// Interval at which it looks.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Retry delay for a caller whose request no server accepted.
const OVERLOADED_RETRY_AFTER: Millis = Millis(150);

/// Attempts that do not reach a server or are refused by it.
const MAX_ATTEMPTS_NOT_RUN: u32 = 4;

/// A complete response of an upstream.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BufferedResponse {
    /// Whether the upstream failed the request; it may have done so before it worked on it.
    pub(crate) fn is_failure(&self) -> bool {
        ResponseClass::new(self.status.as_u16(), false).is_failure()
    }
}

/// The outcome of one attempt.
pub(crate) enum Attempt {
    /// The upstream responded.
    Responded(BufferedResponse),
    /// The request did not run.
    NotRun { reached_upstream: bool },
    /// The request may have run, and there is no usable response.
    MayHaveRun {
        cause: String,
        /// Whether the connection broke or fell silent before the response was complete.
        is_lost: bool,
    },
}

impl Attempt {
    /// Whether the upstream responded without an error of its own.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Self::Responded(response) if !response.is_failure())
    }

    /// Why the request is sent again after a failed attempt; `None` if it did not reach an upstream.
    pub(crate) fn repeat_cause(&self) -> Option<RepeatCause> {
        match self {
            Self::Responded(_) => Some(RepeatCause::Error),
            Self::NotRun { reached_upstream: false } => None,
            Self::NotRun { reached_upstream: true } | Self::MayHaveRun { .. } => {
                Some(RepeatCause::NoResponse)
            }
        }
    }

    fn invalid(cause: String) -> Self {
        Self::MayHaveRun { cause, is_lost: false }
    }
}

impl From<SendError> for Attempt {
    fn from(e: SendError) -> Self {
        Self::MayHaveRun { cause: e.to_string(), is_lost: e.is_lost_connection() }
    }
}

/// Counts a call as outstanding at a server until dropped.
struct OutstandingCall<'a, W: Wire> {
    handler: &'a RequestHandler<W>,
    name: &'a UpstreamName,
    sent_at: Time,
    outcome: Option<Outcome>,
}

impl<'a, W: Wire> OutstandingCall<'a, W> {
    fn new(handler: &'a RequestHandler<W>, name: &'a UpstreamName) -> Self {
        let sent_at = handler.shared.clock.now();
        handler.shared.routing().balancer.started(sent_at, name);
        Self { handler, name, sent_at, outcome: None }
    }
}

impl<W: Wire> Drop for OutstandingCall<'_, W> {
    fn drop(&mut self) {
        let now = self.handler.shared.clock.now();
        let mut routing = self.handler.shared.routing();
        routing.balancer.ended(now, self.name, self.sent_at, self.outcome);
    }
}

/// The server chosen for a request.
pub(crate) struct ChosenServer {
    pub(crate) server: ListedUpstream,
    /// When a second server is tried, too, where servers are chosen by models of their speed.
    pub(crate) late_after: Option<Millis>,
}

impl<W: Wire> RequestHandler<W> {
    /// Tries the service's upstreams until one responds or no retry is allowed.
    pub(crate) async fn call(&self, fwd: &Forward) -> Result<BufferedResponse, Refusal> {
        let idempotent = fwd.route.delivery == Delivery::Idempotent;
        let mut tried: Vec<UpstreamName> = Vec::new();
        let mut verdict = Verdict::NotRun;
        let mut runs = 0;
        let mut attempts_not_run = 0;
        let mut error_response = None;
        let mut reason = String::new();
        let mut retry_cause = None;
        let mut quarantined = None;
        'attempts: while fwd.remaining() > MIN_ATTEMPT_TIME {
            // Another upstream may have ended under an equal request since the last attempt.
            quarantined = self.quarantined(fwd);
            if quarantined.is_some() {
                break;
            }
            let Some(chosen) = self.choose_server(fwd, &tried) else {
                let may_wait = fwd.elapsed_ms() < ROOM_PATIENCE.0;
                if may_wait && self.waits_for_room(fwd, &tried) {
                    sleep(ROOM_POLL_INTERVAL).await;
                    continue;
                }
                break;
            };
            if retry_cause.is_some_and(|cause| !self.spend_retry(fwd, &chosen, cause)) {
                break;
            }
            let max_runs = if idempotent { fwd.route.max_upstreams - runs } else { 1 };
            let result = self.attempt_unless_late(fwd, chosen, max_runs, &tried).await;
            if let Some(cause) = retry_cause {
                self.shared.note_repeat(&fwd.service, cause, result.is_ok());
            }
            let failed = match result {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            for (name, attempt) in failed {
                let may_retry = idempotent && runs + 1 < fwd.route.max_upstreams;
                retry_cause = attempt.repeat_cause();
                match attempt {
                    Attempt::Responded(response) => {
                        if error_response.is_some()
                            && let Some(first) = tried.last()
                        {
                            let now = self.shared.clock.now();
                            self.shared.routing().balancer.failed_at_both(now, [first, &name]);
                        }
                        if !may_retry {
                            return Ok(response);
                        }
                        verdict = Verdict::Ran;
                        runs += 1;
                        let status = response.status.as_str();
                        self.note_failed_attempt(fwd, &name, status, Verdict::Ran);
                        error_response = Some(response);
                    }
                    Attempt::NotRun { .. } => {
                        attempts_not_run += 1;
                        let is_cut_off = self.shared.is_cut_off(&fwd.service);
                        if attempts_not_run >= MAX_ATTEMPTS_NOT_RUN || is_cut_off {
                            break 'attempts;
                        }
                    }
                    Attempt::MayHaveRun { cause, .. } => {
                        verdict = verdict.combine(Verdict::MayHaveRun);
                        reason = cause;
                        runs += 1;
                        if !may_retry {
                            break 'attempts;
                        }
                    }
                }
                tried.push(name);
            }
        }
        match error_response {
            Some(response) => Ok(response),
            None => {
                if let Some(cause) = quarantined.filter(|_| verdict == Verdict::NotRun) {
                    return Err(Refusal::Quarantined(cause));
                }
                let wait = self.wait_if_all_withheld(fwd).unwrap_or(OVERLOADED_RETRY_AFTER);
                Err(final_refusal(fwd, verdict, reason, wait))
            }
        }
    }

    /// Chooses a server that is not in `tried`.
    pub(crate) fn choose_server(
        &self,
        fwd: &Forward,
        tried: &[UpstreamName],
    ) -> Option<ChosenServer> {
        let view = self.shared.view.load();
        let now = self.shared.clock.now();
        let own = &self.shared.settings.failure_domain;
        let untried = view.fleet.usable(fwd.service.as_str()).filter(|l| !tried.contains(&l.name));
        let usable: Vec<_> =
            untried.filter(|l| self.withheld(fwd, &l.name, l.born).is_none()).collect();
        let mut routing = self.shared.routing();
        let routing = &mut *routing;
        let candidates = usable.into_iter().map(|listed| Candidate {
            name: &listed.name,
            born: listed.born,
            slots: listed.slots,
            in_same_domain: listed.failure_domain == *own,
            is_unreachable: view.fleet.is_unreachable(now, &listed.name),
        });
        let may_repeat = fwd.route.delivery == Delivery::Idempotent;
        let choice = routing.balancer.choose(now, candidates, may_repeat, &mut routing.rng)?;
        let server = view.fleet.get(choice.name).cloned()?;
        Some(ChosenServer { server, late_after: choice.late_after })
    }

    /// Spends one retry for a call; returns whether the budget allows it.
    pub(crate) fn spend_retry(
        &self,
        fwd: &Forward,
        chosen: &ChosenServer,
        cause: RepeatCause,
    ) -> bool {
        match chosen.late_after {
            Some(_) => self.shared.spend_repeat(&fwd.service, cause),
            None => self.shared.spend_retry(&fwd.service),
        }
    }

    pub(crate) async fn attempt(
        &self,
        fwd: &Forward,
        upstream: &ListedUpstream,
        may_retry: bool,
    ) -> Attempt {
        let engine = Endpoint::from(upstream);
        let Ok(permit) = self.permit(fwd, &engine) else {
            return Attempt::NotRun { reached_upstream: false };
        };
        let out = Outgoing {
            upstream: &upstream.name,
            organisation: fwd.organisation.as_ref().map(|o| o.name.as_str()),
            remaining: fwd.remaining_ms(),
            backup: None,
            resume: None,
        };
        let req = fwd.request(&*self.wire, &out);
        // Silence alone does not end an attempt.
        let timeout = fwd.remaining();
        // A reused connection may have gone silent or carry a stray response. That costs an
        // idempotent request a retry, but any other request its only attempt.
        let reuse = match fwd.route.delivery {
            Delivery::Idempotent => Reuse::Settled,
            Delivery::AtMostOnce | Delivery::Stream => Reuse::Never,
        };
        let started_at = Instant::now();
        let mut outstanding = OutstandingCall::new(self, &upstream.name);
        let attempt = match self.send(permit, req, reuse, timeout).await {
            Ok((response, info, _outstanding)) => {
                let left = timeout.saturating_sub(started_at.elapsed());
                self.read_response(fwd, &engine, response, &info, left).await
            }
            Err(e) if e.verdict() == Verdict::NotRun => {
                self.shared.tell(Message::UpstreamUnreachable(upstream.name.clone()));
                self.note_failed_attempt(fwd, &upstream.name, &e.to_string(), Verdict::NotRun);
                Attempt::NotRun { reached_upstream: false }
            }
            Err(e) => {
                self.note_failed_attempt(fwd, &upstream.name, &e.to_string(), Verdict::MayHaveRun);
                Attempt::from(e)
            }
        };
        self.note_run_end(fwd, &upstream.name, &attempt);
        match &attempt {
            Attempt::Responded(response) => self.note_completed(fwd, response),
            Attempt::MayHaveRun { is_lost: true, .. } => {
                let examined = self.note_lost_connection(fwd, &engine);
                if may_retry {
                    // The next server must not end as well if that shows that it would.
                    let _ = tokio::time::timeout(CRASH_CHECK_PATIENCE, examined).await;
                }
            }
            Attempt::NotRun { .. } | Attempt::MayHaveRun { .. } => {}
        }
        outstanding.outcome = Some(match &attempt {
            attempt if attempt.is_success() => Outcome::Responded,
            Attempt::Responded(_) | Attempt::NotRun { reached_upstream: true } => Outcome::Error,
            Attempt::NotRun { .. } | Attempt::MayHaveRun { .. } => Outcome::NoResponse,
        });
        attempt
    }

    /// Reads a response and checks that it can be forwarded.
    pub(crate) async fn read_response(
        &self,
        fwd: &Forward,
        upstream: &Endpoint,
        response: ClientResponse,
        info: &ResponseInfo,
        timeout: Duration,
    ) -> Attempt {
        let status = response.status();
        if let Some(load) = info.load.filter(|_| !fwd.is_pooled) {
            self.shared.note_load(&upstream.name, load);
        }
        // As stated in a response to this request: `send` drops what others state.
        let class = ResponseClass::new(status.as_u16(), info.not_run);
        self.note_response_class(fwd, upstream, status, class);
        if class == ResponseClass::NotRun {
            if status == StatusCode::MISDIRECTED_REQUEST {
                self.shared.tell(Message::UpstreamLeaving(upstream.incarnation(&fwd.service)));
            }
            return Attempt::NotRun { reached_upstream: true };
        }
        if let Some(problem) = response_problem(fwd, status, info) {
            return Attempt::invalid(format!(
                "invalid response with status {status} from {}: {problem}",
                upstream.name
            ));
        }
        if !class.may_be_forwarded(fwd.route.delivery) {
            let class: &'static str = class.into();
            let cause = format!("{} responded with status {status}: {class}", upstream.name);
            return Attempt::invalid(cause);
        }
        let mut headers = response.headers().clone();
        let body = match tokio::time::timeout(timeout, response.bytes(MAX_RESPONSE_BYTES)).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return Attempt::from(e),
            Err(_) => {
                let cause = "the response was not complete in time".to_owned();
                return Attempt::MayHaveRun { cause, is_lost: true };
            }
        };
        let has_known_end = has_known_end(&fwd.method, status, &headers);
        if !has_known_end && !self.has_closed_whole_body(fwd, upstream).await {
            return Attempt::MayHaveRun { cause: UNFRAMED_END.to_owned(), is_lost: true };
        }
        strip_hop_by_hop_headers(&mut headers);
        self.wire.remove_statements(&mut headers);
        headers.remove(CONTENT_LENGTH);
        Attempt::Responded(BufferedResponse { status, headers, body })
    }

    /// Counts and logs a response by what it proves, unless it is a success.
    pub(crate) fn note_response_class(
        &self,
        fwd: &Forward,
        upstream: &Endpoint,
        status: StatusCode,
        class: ResponseClass,
    ) {
        if class == ResponseClass::Success {
            return;
        }
        let name: &'static str = class.into();
        self.shared.metrics.count("response", &format!("{name}_{}", status.as_u16()));
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.info.run.as_str(),
                upstream = upstream.name.as_str(),
                status = status.as_u16(),
                class = name,
                verdict:% = class.verdict();
                "upstream responded with an error"
            );
        }
    }

    /// Notes how a run ended whose response was to be read completely.
    pub(crate) fn note_run_end(&self, fwd: &Forward, upstream: &UpstreamName, attempt: &Attempt) {
        let (now, run) = (self.shared.clock.now(), &fwd.info.run);
        let mut starts = self.shared.run_starts();
        match attempt {
            Attempt::Responded(response) if !response.is_failure() => {
                starts.completed(now, run, upstream);
            }
            Attempt::NotRun { .. } => starts.not_run(run, upstream),
            Attempt::Responded(_) | Attempt::MayHaveRun { .. } => starts.broke(now, run, upstream),
        }
    }

    /// Notes a response that shows that requests equal to `fwd` do not end upstreams.
    pub(crate) fn note_completed(&self, fwd: &Forward, response: &BufferedResponse) {
        if !response.is_failure() {
            self.shared.note_completed(fwd.fingerprint);
        }
    }

    /// Counts and logs a failed attempt.
    pub(crate) fn note_failed_attempt(
        &self,
        fwd: &Forward,
        upstream: &UpstreamName,
        cause: &str,
        verdict: Verdict,
    ) {
        self.shared.metrics.count("attempt_failed", fwd.route.delivery.to_string().as_str());
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.info.run.as_str(),
                upstream = upstream.as_str(),
                verdict:% = verdict,
                list_age_ms = self.shared.list_age().0,
                reason = cause;
                "attempt failed"
            );
        }
    }
}

/// Returns why a response cannot be forwarded; `None` if it can.
pub(crate) fn response_problem(
    fwd: &Forward,
    status: StatusCode,
    info: &ResponseInfo,
) -> Option<&'static str> {
    if info.run.as_ref() != Some(&fwd.info.run) {
        return Some("it belongs to another request");
    }
    if status.is_success() && !info.is_signed {
        return Some("it is not signed");
    }
    (!info.is_unencoded).then_some("its body has a content encoding")
}

/// The refusal for a request that got no response.
fn final_refusal(fwd: &Forward, verdict: Verdict, reason: String, wait: Millis) -> Refusal {
    let is_out_of_time = fwd.remaining() <= MIN_ATTEMPT_TIME;
    match (verdict, is_out_of_time) {
        (Verdict::NotRun, true) => Refusal::NotSentInTime,
        (Verdict::NotRun, false) => Refusal::Overloaded(wait),
        (_, true) => Refusal::TimedOut,
        (_, false) => Refusal::Lost(reason),
    }
}
