//! Admission to the upstreams that this daemon owns, or that other daemons believe it owns.

use super::{Control, Message};
use crate::view::Services;
use magnoliawinch::admission::{Admission, Bounds, Decision, Event, GrantId, LoadReport, Request};
use magnoliawinch::estimate::LengthEstimator;
use magnoliawinch::names::{HostName, KindName, OrganisationName, ServiceName, UpstreamName};
use magnoliawinch::service_file::{ServiceSpec, UpstreamSpec};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_operator::UpstreamStatus;
use magnoliawinch_peer::RenewRequest;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Age below which a grant is kept even if its holder does not list it.
const NEW_GRANT_GRACE: Millis = Millis(3_000);

/// Age of a busy engine's load information at which it is polled. Until newer information arrives,
/// admission requests for it are held.
const MAX_LOAD_AGE: Millis = Millis(2_000);

/// Time since the last admission request for which an upstream counts as busy.
const BUSY_DURATION: Millis = Millis(5_000);

/// Time after which an idle upstream that was neither requested nor polled is dropped.
const UNUSED_UPSTREAM_LIFETIME: Millis = Millis(60_000);

/// Minimum time between two load polls of one upstream.
const MIN_POLL_INTERVAL: Millis = Millis(500);

#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    /// Host of the daemon that will hold the grant.
    pub(crate) holder: HostName,
    /// Identifies the request in [`Message::Withdraw`].
    pub(crate) withdraw_id: u64,
    pub(crate) service: ServiceName,
    pub(crate) upstream: UpstreamName,
    pub(crate) organisation: OrganisationName,
    pub(crate) kind: KindName,
    pub(crate) prompt_tokens: u32,
    /// How long the request may wait in the queue.
    pub(crate) patience: Millis,
    /// Whether an equal request may have crashed an upstream.
    pub(crate) suspect: bool,
    /// Whether to reply `Busy` instead of queueing.
    pub(crate) no_queue: bool,
}

/// The decision about a request, and the fraction of the upstream's bounds in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionReply {
    pub(crate) decision: AdmitDecision,
    pub(crate) utilisation: f64,
}

impl AdmissionReply {
    fn unknown() -> Self {
        Self { decision: AdmitDecision::Unknown, utilisation: 0.0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitDecision {
    /// Contains the id of the grant.
    Granted(u64),
    /// There is no capacity now; contains the expected wait.
    Busy(Millis),
    /// The request is not run; contains the time after which to retry.
    Refused(Millis),
    /// This daemon does not know the upstream.
    Unknown,
}

#[derive(Debug)]
struct Waiter {
    withdraw_id: u64,
    reply: oneshot::Sender<AdmissionReply>,
}

#[derive(Debug)]
struct OwnedUpstream {
    admission: Admission,
    service: ServiceName,
    address: SocketAddr,
    /// Senders of requests without a decision, by request.
    waiters: HashMap<GrantId, Waiter>,
    leaving: bool,
    /// Whether the upstream reports its load.
    is_engine: bool,
    /// When a load report last arrived, or a load poll failed.
    load_updated_at: Option<Time>,
    requested_at: Option<Time>,
    polled_at: Option<Time>,
    /// Requests that wait for newer load information.
    held: Vec<HeldRequest>,
}

#[derive(Debug)]
struct HeldRequest {
    request: AdmissionRequest,
    share: f64,
    priority: u8,
    reply: oneshot::Sender<AdmissionReply>,
}

impl OwnedUpstream {
    fn new(admission: Admission, service: &ServiceSpec, upstream: &UpstreamSpec) -> Self {
        Self {
            admission,
            service: service.name.clone(),
            address: upstream.address,
            waiters: HashMap::new(),
            leaving: false,
            is_engine: upstream.memory_tokens > 0,
            load_updated_at: None,
            requested_at: None,
            polled_at: None,
            held: Vec::new(),
        }
    }

    fn load_is_older_than(&self, now: Time, age: Millis) -> bool {
        self.load_updated_at.is_none_or(|at| now.since(at) >= age)
    }

    fn is_busy(&self, now: Time) -> bool {
        self.requested_at.is_some_and(|at| now.since(at) < BUSY_DURATION)
    }

    fn is_used(&self, now: Time) -> bool {
        let is_recent =
            |at: Option<Time>| at.is_some_and(|at| now.since(at) < UNUSED_UPSTREAM_LIFETIME);
        let has_work = self.admission.running() > 0 || !self.waiters.is_empty();
        has_work || is_recent(self.requested_at) || is_recent(self.polled_at)
    }

    /// Whether the upstream's load has to be polled; an unused upstream is not polled.
    fn needs_poll(&self, now: Time) -> bool {
        let was_just_polled = self.polled_at.is_some_and(|at| now.since(at) < MIN_POLL_INTERVAL);
        self.is_engine
            && self.is_busy(now)
            && !was_just_polled
            && self.load_is_older_than(now, MAX_LOAD_AGE)
    }
}

/// Admission state of all owned upstreams.
#[derive(Debug)]
pub(super) struct Admissions {
    owned: HashMap<UpstreamName, OwnedUpstream>,
    grants: HashMap<GrantId, UpstreamName>,
    estimator: LengthEstimator,
    next_id: u64,
}

impl Admissions {
    pub(super) fn new() -> Self {
        Self {
            owned: HashMap::new(),
            grants: HashMap::new(),
            estimator: LengthEstimator::new(),
            next_id: 1,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.owned.values().any(|owned| !owned.waiters.is_empty())
    }

    /// Decides a request, or holds it until there is newer load information about the upstream;
    /// returns the address to poll for it, if a poll is due.
    fn admit_or_hold(&mut self, now: Time, held: HeldRequest) -> Option<SocketAddr> {
        if let Some(owned) = self.owned.get_mut(&held.request.upstream) {
            owned.requested_at = Some(now);
            if owned.is_engine && owned.load_is_older_than(now, MAX_LOAD_AGE) {
                owned.held.push(held);
                let needs_poll = owned.needs_poll(now);
                return needs_poll.then(|| {
                    owned.polled_at = Some(now);
                    owned.address
                });
            }
        }
        self.admit(now, held);
        None
    }

    /// Notes newer load information about an upstream and decides the requests held for it.
    fn load_updated(&mut self, now: Time, upstream: &UpstreamName) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.load_updated_at = Some(now);
        for held in std::mem::take(&mut owned.held) {
            self.admit(now, held);
        }
    }

    fn admit(&mut self, now: Time, held: HeldRequest) {
        let HeldRequest { request: admission_request, share, priority, reply } = held;
        let Some(owned) = self.owned.get_mut(&admission_request.upstream) else {
            let _ = reply.send(AdmissionReply::unknown());
            return;
        };
        let id = GrantId(self.next_id);
        self.next_id += 1;
        let length_distribution = self.estimator.distribution(
            &admission_request.service,
            &admission_request.kind,
            &admission_request.organisation,
        );
        let request = Request {
            id,
            holder: admission_request.holder,
            organisation: admission_request.organisation,
            kind: admission_request.kind,
            share,
            priority,
            prompt_tokens: admission_request.prompt_tokens,
            length_distribution,
            patience_until: now + admission_request.patience,
            suspect: admission_request.suspect,
            no_queue: admission_request.no_queue,
        };
        let (decision, events) = owned.admission.request(now, request);
        owned.waiters.insert(id, Waiter { withdraw_id: admission_request.withdraw_id, reply });
        let immediate = match decision {
            Decision::Granted => Some(AdmitDecision::Granted(id.0)),
            Decision::Busy(wait) => Some(AdmitDecision::Busy(wait)),
            Decision::Refused(retry_after) => Some(AdmitDecision::Refused(retry_after)),
            Decision::Queued => None,
        };
        if let Some(decision) = immediate {
            self.reply(now, &admission_request.upstream, id, decision);
        }
        self.apply(now, &admission_request.upstream, events);
    }

    /// Replies to a request; releases the grant if its sender no longer waits.
    fn reply(&mut self, now: Time, upstream: &UpstreamName, id: GrantId, decision: AdmitDecision) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let Some(waiter) = owned.waiters.remove(&id) else {
            return;
        };
        let is_grant = matches!(decision, AdmitDecision::Granted(_));
        let utilisation = owned.admission.utilisation(now);
        let is_abandoned = waiter.reply.send(AdmissionReply { decision, utilisation }).is_err();
        if is_grant && is_abandoned {
            owned.admission.release(id, 0);
        } else if is_grant {
            self.grants.insert(id, upstream.clone());
        }
    }

    fn apply(&mut self, now: Time, upstream: &UpstreamName, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Granted(id) => self.reply(now, upstream, id, AdmitDecision::Granted(id.0)),
                Event::Refused(id, retry_after) => {
                    self.reply(now, upstream, id, AdmitDecision::Refused(retry_after));
                }
            }
        }
    }

    /// Grants the queued requests that fit now and refuses the expired ones.
    pub(super) fn tick(&mut self, now: Time) {
        let names: Vec<_> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.admission.queued() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.tick_upstream(now, &name);
        }
    }

    fn tick_upstream(&mut self, now: Time, name: &UpstreamName) {
        if let Some(owned) = self.owned.get_mut(name) {
            let events = owned.admission.tick(now);
            self.apply(now, name, events);
        }
    }

    pub(super) fn withdraw(&mut self, upstream: &UpstreamName, withdraw_id: u64) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let found = owned.waiters.iter().find(|(_, waiter)| waiter.withdraw_id == withdraw_id);
        if let Some(id) = found.map(|(id, _)| *id) {
            owned.admission.withdraw(id);
            owned.waiters.remove(&id);
        }
    }

    /// Applies a holder's renewals, progress and releases of grants.
    pub(super) fn renew(&mut self, now: Time, req: &RenewRequest) {
        let holder = HostName::new(&req.host);
        for progress in &req.grants {
            let id = GrantId(progress.grant);
            let Some(upstream) = self.grants.get(&id).cloned() else {
                continue;
            };
            let Some(owned) = self.owned.get_mut(&upstream) else {
                continue;
            };
            if !progress.ended {
                owned.admission.progress(now, id, progress.tokens_written);
                continue;
            }
            let ended = owned.admission.release(id, progress.tokens_written);
            self.grants.remove(&id);
            if let Some(ended) = ended.filter(|_| progress.complete) {
                let service = owned.service.clone();
                let (kind, organisation) = (&ended.kind, &ended.organisation);
                self.estimator.learn(&service, kind, organisation, ended.written);
            }
            self.tick_upstream(now, &upstream);
        }
        let held: HashSet<_> = req.held.iter().copied().collect();
        for owned in self.owned.values_mut() {
            owned.admission.heard_from(now, &holder);
            if req.full {
                let is_held = |id: GrantId| held.contains(&id.0);
                owned.admission.retain_held(now, &holder, NEW_GRANT_GRACE, is_held);
            }
        }
    }

    /// Drops grants of silent holders, and unused upstreams.
    pub(super) fn sweep(&mut self, now: Time) {
        for owned in self.owned.values_mut() {
            owned.admission.expire(now);
        }
        self.owned.retain(|_, owned| owned.is_used(now));
        let owned = &self.owned;
        self.grants.retain(|id, upstream| {
            owned.get(upstream).is_some_and(|owned| owned.admission.is_running(*id))
        });
    }

    /// Applies the bounds of a new configuration; drops the state of upstreams that were removed or
    /// have another address.
    pub(super) fn reconfigure(&mut self, services: &Services) {
        let old = std::mem::take(&mut self.owned);
        for (name, owned) in old {
            let service = services.get(&owned.service).map(|service| &service.spec);
            let found = service.and_then(|spec| Some((spec, spec.upstreams.get(&name)?)));
            if let Some((spec, upstream)) = found.filter(|(_, u)| u.address == owned.address) {
                let admission = owned.admission.with_bounds(Bounds::of(spec, upstream));
                self.owned.insert(name, OwnedUpstream { admission, ..owned });
            }
        }
    }

    fn ensure_upstream(
        &mut self,
        service: &ServiceSpec,
        name: &UpstreamName,
        is_leaving: impl Fn(&UpstreamName, IpAddr) -> bool,
    ) {
        if self.owned.contains_key(name) {
            return;
        }
        let Some(upstream) = service.upstreams.get(name) else {
            return;
        };
        let admission = Admission::new(Bounds::of(service, upstream));
        let mut owned = OwnedUpstream::new(admission, service, upstream);
        owned.leaving = is_leaving(name, upstream.address.ip());
        if owned.leaving {
            owned.admission.close();
        }
        self.owned.insert(name.clone(), owned);
    }

    /// Stops granting at upstreams for which `is_leaving` holds, and resumes where it no longer does.
    pub(super) fn update_leaving(
        &mut self,
        now: Time,
        is_leaving: impl Fn(&UpstreamName, IpAddr) -> bool,
    ) {
        let mut closed = Vec::new();
        for (name, owned) in &mut self.owned {
            let leaving = is_leaving(name, owned.address.ip());
            if leaving == owned.leaving {
                continue;
            }
            owned.leaving = leaving;
            match leaving {
                true => closed.push((name.clone(), owned.admission.close())),
                false => owned.admission.open(),
            }
        }
        for (name, events) in closed {
            self.apply(now, &name, events);
        }
    }

    pub(super) fn close_all(&mut self, now: Time) {
        self.update_leaving(now, |_, _| true);
    }

    /// Returns the engines to poll for their load now, and notes them as polled.
    fn due_polls(&mut self, now: Time) -> Vec<(UpstreamName, SocketAddr)> {
        let due = |(name, owned): (&UpstreamName, &mut OwnedUpstream)| {
            owned.needs_poll(now).then(|| {
                owned.polled_at = Some(now);
                (name.clone(), owned.address)
            })
        };
        self.owned.iter_mut().filter_map(due).collect()
    }

    fn report(&mut self, now: Time, upstream: &UpstreamName, report: &LoadReport) {
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.admission.report(now, report);
            self.tick_upstream(now, upstream);
        }
    }

    pub(super) fn status(&self, now: Time) -> Vec<UpstreamStatus> {
        let mut list: Vec<_> = self
            .owned
            .iter()
            .map(|(name, owned)| UpstreamStatus {
                upstream: name.to_string(),
                running: owned.admission.running(),
                queued: owned.admission.queued(),
                utilisation: owned.admission.utilisation(now),
                leaving: owned.leaving,
            })
            .collect();
        list.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        list
    }
}

impl Control {
    /// Handles an admission request; the reply is delayed while it is held or queued.
    pub(super) fn admit(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        reply: oneshot::Sender<AdmissionReply>,
    ) {
        let Some(service) = self.services.get(&request.service).map(|s| Arc::clone(&s.spec)) else {
            let _ = reply.send(AdmissionReply::unknown());
            return;
        };
        let organisation = service.organisations.get(&request.organisation);
        let share = organisation.map_or(1.0, |organisation| organisation.share);
        let priority = service.kinds.get(&request.kind).map_or(0, |kind| kind.priority);
        let upstream = request.upstream.clone();
        self.ensure_upstream(&service, &upstream);
        let held = HeldRequest { request, share, priority, reply };
        if let Some(address) = self.admissions.admit_or_hold(now, held) {
            self.poll_load(upstream, address);
        }
    }

    fn ensure_upstream(&mut self, service: &ServiceSpec, upstream: &UpstreamName) {
        let upstreams = &self.members.upstreams;
        self.admissions
            .ensure_upstream(service, upstream, |name, ip| upstreams.is_leaving(name.as_str(), ip));
    }

    /// Polls busy engines whose load was not reported recently with callers' requests.
    pub(super) fn poll_loads(&mut self, now: Time) {
        for (upstream, address) in self.admissions.due_polls(now) {
            self.poll_load(upstream, address);
        }
    }

    fn poll_load(&self, upstream: UpstreamName, address: SocketAddr) {
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let report = shared.engines.load(address).await.ok();
            let _ = shared.control.send(Message::Load { upstream, report }).await;
        });
    }

    /// Handles a load report, or `None` after a failed load poll.
    pub(super) fn handle_load(
        &mut self,
        now: Time,
        upstream: &UpstreamName,
        report: Option<LoadReport>,
    ) {
        match report {
            Some(report) => self.apply_load_report(now, upstream, &report),
            None => {
                self.members.upstreams.mark_unreachable(now, upstream);
                self.view_is_stale = true;
            }
        }
        self.admissions.load_updated(now, upstream);
    }

    fn apply_load_report(&mut self, now: Time, upstream: &UpstreamName, report: &LoadReport) {
        self.admissions.report(now, upstream, report);
        let (incarnation, draining) = (report.incarnation, report.draining);
        if self.members.upstreams.record_report(upstream, incarnation, draining) {
            self.update_leaving_upstreams();
        }
    }

    /// Applies a holder's grant updates and the load reports that it received from upstreams.
    pub(super) fn renew(&mut self, now: Time, req: &RenewRequest) {
        self.admissions.renew(now, req);
        for load in &req.loads {
            let upstream = UpstreamName::new(&load.upstream);
            self.handle_load(now, &upstream, Some(load.into()));
        }
    }
}
