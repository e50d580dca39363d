//! Requests to upstreams, and what upstreams state about themselves in their responses.
//!
//! A request is sent with a [`SendPermit`], which only the check of those statements and of the
//! quarantine hands out.
//! Orders and health checks need none: they are no work for an upstream.

use crate::control::{LostRequest, Message};
use crate::forward::Forward;
use crate::handler::RequestHandler;
use crate::refusal::{Culprit, Quarantined};
use crate::runs::Endpoint;
use crate::shared::Shared;
use crate::wire::{ResponseInfo, Wire};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use magnoliawinch::membership::MemberState;
use magnoliawinch::names::{HostName, RunId, ServiceName, UpstreamName};
use magnoliawinch::prompt_parts::PromptParts;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::service_paths::ConnectFailure;
use magnoliawinch::time::Millis;
use magnoliawinch::upstream_limits::Hosts;
use magnoliawinch::upstream_notices::{UpstreamNotices, Withheld};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::{BodyBudget, Client, ClientResponse, PathFaults, Reuse, SendError};
use rand::RngExt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use strum::IntoStaticStr;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

/// Timeout for connecting to an upstream, after which it is skipped. Well below the time limit of
/// the shortest requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Retry delay for a caller if all upstreams of a service are leaving: others are listed within
/// about a second.
const ALL_LEAVING_RETRY_AFTER: Millis = Millis(1_000);

/// Callers who are told to come back at the end of an upstream's pause arrive spread over this part
/// of it, but at least over `MIN_RETURN_SPREAD`.
const RETURN_SPREAD_DIVISOR: u64 = 4;

const MIN_RETURN_SPREAD: Millis = Millis(300);

/// Shortest wait of a caller whose request is more than the upstreams take from all hosts.
const MIN_LIMITED_WAIT: Millis = Millis(300);

/// The client for upstreams, and what these have stated.
#[derive(Debug)]
pub(crate) struct Upstreams {
    client: Client,
    notices: Mutex<UpstreamNotices>,
}

impl Upstreams {
    /// The client of a daemon that shares limits of upstreams with other `hosts`.
    pub(crate) fn new(hosts: Hosts, body_budget: BodyBudget) -> Self {
        let client = Client::new().with_connect_timeout(CONNECT_TIMEOUT);
        let client = client.with_body_budget(body_budget);
        Self { client, notices: Mutex::new(UpstreamNotices::new().with_hosts(hosts)) }
    }

    /// The memory that responses being read share.
    pub(crate) fn body_budget(&self) -> &BodyBudget {
        self.client.body_budget()
    }

    /// Faults on the paths to upstreams, for tests.
    pub(crate) fn path_faults(&self) -> &PathFaults {
        self.client.path_faults()
    }

    /// Opens a connection to an upstream and closes it.
    pub(crate) async fn probe(&self, address: SocketAddr) -> io::Result<()> {
        self.client.probe(address).await
    }

    pub(crate) fn notices(&self) -> MutexGuard<'_, UpstreamNotices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a request may not be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotPermitted {
    /// The upstream wants none.
    Withheld(Withheld),
    /// Upstreams have ended under such requests.
    Quarantined(Quarantined),
}

/// Why a request is withdrawn from an upstream that has not begun to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum WithdrawalReason {
    /// Equal requests are refused.
    EqualRefused,
    /// Requests with a part of its prompt are refused.
    PartRefused,
}

/// Permission to send one request to an upstream.
#[derive(Debug)]
#[must_use]
pub(crate) struct SendPermit {
    to: Endpoint,
    service: ServiceName,
    run: RunId,
    parts: PromptParts,
    fingerprint: Fingerprint,
    /// Whether the request continues a run, which may also be refused because its copy is not there.
    is_resume: bool,
    outstanding: OutstandingRequest,
}

/// Counts a request as outstanding at an upstream until dropped.
#[derive(Debug)]
pub(crate) struct OutstandingRequest {
    shared: Arc<Shared>,
    /// `None` if the upstream names no limits.
    upstream: Option<UpstreamName>,
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        if let Some(upstream) = &self.upstream {
            self.shared.upstreams.notices().request_ended(upstream);
        }
    }
}

impl SendPermit {
    fn new(shared: &Arc<Shared>, fwd: &Forward, to: &Endpoint, is_resume: bool) -> Self {
        let is_counted = shared.upstreams.notices().counts_requests(&to.name, to.born);
        let upstream = is_counted.then(|| to.name.clone());
        Self {
            outstanding: OutstandingRequest { shared: Arc::clone(shared), upstream },
            to: to.clone(),
            service: fwd.service.clone(),
            run: fwd.info.run.clone(),
            parts: Arc::clone(&fwd.info.shared_parts),
            fingerprint: fwd.fingerprint,
            is_resume,
        }
    }
}

impl<W: Wire> RequestHandler<W> {
    /// Permission to send a request as new work.
    pub(crate) fn permit(&self, fwd: &Forward, to: &Endpoint) -> Result<SendPermit, NotPermitted> {
        if let Some(quarantined) = self.quarantined(fwd) {
            return Err(NotPermitted::Quarantined(quarantined));
        }
        let now = self.shared.clock.now();
        let taken = match self.shared.view.load().is_evacuated(&to.name) {
            true => Err(Withheld::Evacuated),
            false => self.shared.upstreams.notices().take(now, &to.name, to.born),
        };
        match taken {
            Err(withheld) => {
                self.note_withheld(fwd, &to.name, withheld);
                Err(NotPermitted::Withheld(withheld))
            }
            Ok(()) => {
                fwd.note_sent();
                Ok(SendPermit::new(&self.shared, fwd, to, false))
            }
        }
    }

    /// Permission to continue a run at an engine that has its memory. That is no new work for an
    /// engine that has begun to leave since the request arrived.
    pub(crate) fn permit_resume(
        &self,
        fwd: &Forward,
        to: &Endpoint,
    ) -> Result<SendPermit, NotPermitted> {
        if let Some(quarantined) = self.quarantined(fwd) {
            return Err(NotPermitted::Quarantined(quarantined));
        }
        let now = self.shared.clock.now();
        let arrived_at = now - Millis(fwd.elapsed_ms());
        let withheld = match self.shared.view.load().is_evacuated(&to.name) {
            true => Some(Withheld::Evacuated),
            false => {
                let mut notices = self.shared.upstreams.notices();
                notices.withheld_from_resume(now, &to.name, to.born, arrived_at)
            }
        };
        match withheld {
            Some(withheld) => {
                self.note_withheld(fwd, &to.name, withheld);
                Err(NotPermitted::Withheld(withheld))
            }
            None => Ok(SendPermit::new(&self.shared, fwd, to, true)),
        }
    }

    /// Whether a request is refused because upstreams have ended under equal ones or engines on a
    /// part of its prompt; `None` if it may run.
    pub(crate) fn quarantined(&self, fwd: &Forward) -> Option<Quarantined> {
        let (view, now) = (self.shared.view.load(), self.shared.clock.now());
        let equal = view
            .refused_for(now, fwd.fingerprint)
            .map(|left| Quarantined { left, culprit: Culprit::Fingerprint(fwd.fingerprint) });
        equal.or_else(|| self.shared.quarantined_part(&fwd.info.run, &fwd.info.shared_parts))
    }

    /// Why an upstream gets no new work of this daemon, if it does not; counted and logged.
    pub(crate) fn withheld(
        &self,
        fwd: &Forward,
        upstream: &UpstreamName,
        born: u64,
    ) -> Option<Withheld> {
        let now = self.shared.clock.now();
        let withheld = match self.shared.view.load().is_evacuated(upstream) {
            true => Withheld::Evacuated,
            false => self.shared.upstreams.notices().withheld(now, upstream, born)?,
        };
        self.note_withheld(fwd, upstream, withheld);
        Some(withheld)
    }

    fn note_withheld(&self, fwd: &Forward, upstream: &UpstreamName, withheld: Withheld) {
        let reason: &'static str = withheld.into();
        self.shared.metrics.count("withheld", reason);
        if !self.shared.log_limiter.admits(self.shared.clock.now()) {
            return;
        }
        let left = withheld.left().unwrap_or_default();
        log::info!(
            request = fwd.info.run.as_str(),
            upstream = upstream.as_str(),
            reason,
            known_for_ms = withheld.age().0,
            left_ms = left.0;
            "request withheld from upstream"
        );
    }

    /// Upstreams of the request's service that get no new work, except those of which a newer
    /// incarnation is listed; counted and logged unless they are in `noted`.
    pub(crate) fn withheld_upstreams(
        &self,
        fwd: &Forward,
        noted: &[UpstreamName],
    ) -> Vec<UpstreamName> {
        let now = self.shared.clock.now();
        let view = self.shared.view.load();
        let withheld: Vec<_> = {
            let notices = self.shared.upstreams.notices();
            let is_newest = |name: &UpstreamName, born: u64| {
                view.fleet.get(name).is_none_or(|listed| listed.born <= born)
            };
            let of_service = notices.withheld_of(now, &fwd.service);
            let current = of_service.filter(|(name, born, _)| is_newest(name, *born));
            current.map(|(name, _, withheld)| (name.clone(), withheld)).collect()
        };
        for (name, withheld) in withheld.iter().filter(|(name, _)| !noted.contains(name)) {
            self.note_withheld(fwd, name, *withheld);
        }
        withheld.into_iter().map(|(name, _)| name).collect()
    }

    /// Whether this host's part of the room of some brittle upstream of the service is in use, so that
    /// a request may be sent as soon as another one ends.
    pub(crate) fn waits_for_room(&self, fwd: &Forward, tried: &[UpstreamName]) -> bool {
        let (now, view) = (self.shared.clock.now(), self.shared.view.load());
        let notices = self.shared.upstreams.notices();
        let mut untried =
            view.fleet.usable(fwd.service.as_str()).filter(|listed| !tried.contains(&listed.name));
        untried.any(|listed| {
            let senders = notices.room_senders(now, &listed.name, listed.born);
            senders.is_some_and(|(_, is_sender)| is_sender)
        })
    }

    /// When a caller may return if all listed upstreams of the service want no requests; `None` if
    /// some do.
    pub(crate) fn wait_if_all_withheld(&self, fwd: &Forward) -> Option<Millis> {
        let now = self.shared.clock.now();
        let view = self.shared.view.load();
        let mut usable = view.fleet.usable(fwd.service.as_str()).peekable();
        usable.peek()?;
        let is_withheld = {
            let notices = self.shared.upstreams.notices();
            usable.all(|listed| {
                let is_withheld = notices.withheld(now, &listed.name, listed.born).is_some();
                is_withheld || view.evacuated.contains(&listed.failure_domain)
            })
        };
        is_withheld.then(|| self.wait_for_withheld(fwd))
    }

    /// When the first upstream of the service wants requests again, plus a random time, so that
    /// callers do not return all at once.
    pub(crate) fn wait_for_withheld(&self, fwd: &Forward) -> Millis {
        let now = self.shared.clock.now();
        let first = {
            let notices = self.shared.upstreams.notices();
            let withheld = notices.withheld_of(now, &fwd.service);
            let waits = withheld.filter_map(|(_, _, withheld)| match withheld {
                // Other callers wait for the same request that may be sent next.
                Withheld::Limited { left, .. } => Some(left.max(MIN_LIMITED_WAIT)),
                withheld => withheld.left(),
            });
            waits.min().unwrap_or(ALL_LEAVING_RETRY_AFTER)
        };
        let spread = Millis(first.0 / RETURN_SPREAD_DIVISOR).max(MIN_RETURN_SPREAD);
        first + Millis(self.shared.routing().rng.random_range(0..=spread.0))
    }

    /// Sends a request and records what the upstream states in its response. The request is
    /// outstanding until the last part of the result is dropped.
    pub(crate) async fn send(
        &self,
        permit: SendPermit,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<(ClientResponse, ResponseInfo, OutstandingRequest), SendError> {
        let SendPermit { to, service, run, parts, fingerprint, is_resume, outstanding } = permit;
        let sent_at = self.shared.clock.now();
        self.shared.run_starts().sent(&run, &to.name, to.born, &parts);
        // An upstream that has not begun to answer must not end, too.
        let result = tokio::select! {
            result = self.shared.upstreams.client.send(to.address, req, reuse, timeout) => result,
            reason = self.shared.withdrawal(fingerprint, &run, &parts) => {
                self.shared.metrics.count("withdrawn", reason.into());
                Err(SendError::Withdrawn { address: to.address })
            }
        };
        let now = self.shared.clock.now();
        let response = match result {
            Ok(response) => response,
            Err(e) => {
                if let SendError::Connect { timed_out, .. } = e {
                    let failure = match timed_out {
                        true => ConnectFailure::NoResponse,
                        false => ConnectFailure::Refused,
                    };
                    self.shared.note_connect_failure(&service, &to, failure);
                }
                match e.verdict() {
                    Verdict::NotRun => self.shared.run_starts().not_run(&run, &to.name),
                    _ => self.shared.run_starts().broke(now, &run, &to.name),
                }
                return Err(e);
            }
        };
        self.shared.paths().connected(&service);
        let info = self.wire.parse_response_headers(response.headers());
        // Only its id tells a response to this request from one to an earlier request; what the others
        // state, a refusal too, is not about this one.
        let info = match info.run.as_ref() == Some(&run) {
            true => info,
            false => self.note_foreign_response(&run, &to, info),
        };
        self.note_statements(&service, &to, &response, &info);
        match info.not_run {
            true => self.shared.run_starts().not_run(&run, &to.name),
            false => self.shared.run_starts().begun(now, &run, &to.name),
        }
        let upstream = to.incarnation(&service);
        // Another upstream may have responded.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            let terms = self.shared.terms(&upstream, info.limit_per_second, info.max_rejections);
            self.shared.note_limit(&upstream, sent_at, terms);
        }
        let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if is_unavailable && info.not_run && !is_resume {
            self.shared.note_turned_away(&upstream);
        }
        Ok((response, info, outstanding))
    }

    /// Sends an order about a run in progress, or a health check. Both also go to an upstream that
    /// is leaving or wants no requests: they bring it no work, and an engine that is leaving can
    /// only hand over its runs if it is told to.
    pub(crate) async fn send_order(
        &self,
        service: &ServiceName,
        to: &Endpoint,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<ClientResponse, SendError> {
        let client = &self.shared.upstreams.client;
        let sent_at = self.shared.clock.now();
        let response = client.send(to.address, req, Reuse::Never, timeout).await?;
        let info = self.wire.parse_response_headers(response.headers());
        self.note_statements(service, to, &response, &info);
        // Only a response to a request shows that a limit is over.
        let upstream = to.incarnation(service);
        let terms = self.shared.terms(&upstream, info.limit_per_second, info.max_rejections);
        if !terms.is_none() {
            self.shared.note_limit(&upstream, sent_at, terms);
        }
        Ok(response)
    }

    /// Has it examined whether an upstream ended when the connection of a request to it broke or fell
    /// silent; the returned future is ready once that is known.
    pub(crate) fn note_lost_connection(
        &self,
        fwd: &Forward,
        to: &Endpoint,
    ) -> impl Future<Output = ()> + use<W> {
        let (reply, examined) = oneshot::channel();
        let lost = LostRequest { fingerprint: fwd.fingerprint, upstream: to.process(), reply };
        let message = Message::RequestLost(lost);
        if let Err(TrySendError::Full(message)) = self.shared.control.try_send(message) {
            let control = self.shared.control.clone();
            self.shared.traffic.spawn(async move { control.send(message).await });
        }
        async move {
            // The sender is dropped without a message.
            let _ = examined.await;
        }
    }

    fn note_statements(
        &self,
        service: &ServiceName,
        to: &Endpoint,
        response: &ClientResponse,
        info: &ResponseInfo,
    ) {
        let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = info.retry_after.filter(|_| refused);
        // Another upstream may have responded.
        let load = info.load.filter(|_| response.status() != StatusCode::MISDIRECTED_REQUEST);
        if let Some(percent) = load.and_then(|load| load.slowdown_percent) {
            self.shared.note_slowdown(service, &to.name, percent);
        }
        if info.is_leaving || retry_after.is_some() {
            let upstream = to.incarnation(service);
            self.shared.note_statements(&upstream, info.is_leaving, retry_after);
        }
    }

    /// Notes a response that does not name the request; returns what is left of its headers.
    fn note_foreign_response(
        &self,
        run: &RunId,
        to: &Endpoint,
        info: ResponseInfo,
    ) -> ResponseInfo {
        self.shared
            .metrics
            .count("foreign_response", if info.not_run { "refusal" } else { "other" });
        log::warn!(
            request = run.as_str(),
            upstream = to.name.as_str(),
            named = info.run.as_ref().map_or("", RunId::as_str),
            not_run = info.not_run;
            "response to another request"
        );
        ResponseInfo { run: info.run, ..ResponseInfo::default() }
    }
}

impl Shared {
    /// The hosts that share the room of a service's upstreams if these are all brittle and this host
    /// shares none of it; empty otherwise.
    pub(crate) fn hosts_with_room(&self, service: &ServiceName) -> Vec<HostName> {
        let (now, view) = (self.clock.now(), self.view.load());
        let notices = self.upstreams.notices();
        let mut hosts = Vec::new();
        let usable = view.fleet.usable(service.as_str());
        for listed in usable.filter(|listed| !view.evacuated.contains(&listed.failure_domain)) {
            match notices.room_senders(now, &listed.name, listed.born) {
                Some((senders, false)) => hosts.extend_from_slice(senders),
                Some((_, true)) | None => return Vec::new(),
            }
        }
        hosts
    }

    /// Whether a run is refused because engines end on a part of its prompt.
    fn quarantined_part(&self, run: &RunId, parts: &PromptParts) -> Option<Quarantined> {
        let view = self.view.load();
        if view.blamed_parts.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let blamed = parts.iter().filter_map(|part| Some((*part, *view.blamed_parts.get(part)?)));
        let refused = blamed.filter_map(|(part, until)| {
            let running = view.members.iter().filter(|m| m.state == MemberState::Alive);
            let hosts = running.map(|member| member.host.as_str());
            let own = self.settings.host.as_str();
            let left = self.trials().wait(now, part, until, run, own, hosts)?;
            Some(Quarantined { left, culprit: Culprit::Part(part) })
        });
        refused.max_by_key(|quarantined| quarantined.left)
    }

    /// Waits until upstreams are known to end under requests with this fingerprint or on a part of a
    /// run's prompt.
    async fn withdrawal(
        &self,
        fingerprint: Fingerprint,
        run: &RunId,
        parts: &PromptParts,
    ) -> WithdrawalReason {
        let mut changes = self.refusals_changed.subscribe();
        loop {
            if self.view.load().withdraws(self.clock.now(), fingerprint) {
                return WithdrawalReason::EqualRefused;
            }
            if !parts.is_empty() && self.quarantined_part(run, parts).is_some() {
                return WithdrawalReason::PartRefused;
            }
            // The sender lives as long as `self`.
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
