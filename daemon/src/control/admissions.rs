//! Admission to the upstreams that this daemon owns, and to those that others believe it owns.

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

/// Grants younger than this are kept though their holder does not name them.
const HELD_GRACE: Millis = Millis(3_000);

/// Age of the evidence about a busy upstream at which its load is asked for. Without newer
/// evidence no further work is granted there.
const BUSY_EVIDENCE: Millis = Millis(2_000);

/// Time after the last grant in which an upstream counts as busy.
const BUSY_FOR: Millis = Millis(5_000);

/// An upstream that was neither asked about nor polled is forgotten after this time.
const UNUSED_LIFETIME: Millis = Millis(60_000);

/// Time between two questions for the load of one upstream.
const POLL_PAUSE: Millis = Millis(500);

/// A place at an upstream is wanted.
#[derive(Clone, Debug)]
pub(crate) struct AdmitCall {
    pub(crate) holder: HostName,
    /// Names the call to `Withdraw`.
    pub(crate) token: u64,
    pub(crate) service: ServiceName,
    pub(crate) upstream: UpstreamName,
    pub(crate) organisation: OrganisationName,
    pub(crate) kind: KindName,
    pub(crate) prompt_tokens: u32,
    pub(crate) patience: Millis,
    pub(crate) suspect: bool,
    pub(crate) no_queue: bool,
}

/// How the wish for a place ended, and the part of the upstream's bounds in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmitAnswer {
    pub(crate) result: AdmitResult,
    pub(crate) utilisation: f64,
}

impl AdmitAnswer {
    /// The answer about an upstream that this daemon does not know.
    fn unknown() -> Self {
        Self { result: AdmitResult::Unknown, utilisation: 0.0 }
    }
}

/// How the wish for a place ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitResult {
    Granted(u64),
    Busy(Millis),
    Refused(Millis),
    /// This daemon does not know the upstream.
    Unknown,
}

#[derive(Debug)]
struct Waiting {
    token: u64,
    reply: oneshot::Sender<AdmitAnswer>,
}

#[derive(Debug)]
struct Owned {
    admission: Admission,
    service: ServiceName,
    address: SocketAddr,
    waiting: HashMap<GrantId, Waiting>,
    leaving: bool,
    /// Whether the upstream tells its load.
    is_engine: bool,
    /// When the upstream was last heard of, by a report or by the lack of one.
    evidence_at: Option<Time>,
    asked_at: Option<Time>,
    polled_at: Option<Time>,
    /// Wishes that wait for fresh evidence.
    held: Vec<HeldWish>,
}

#[derive(Debug)]
struct HeldWish {
    call: AdmitCall,
    share: f64,
    priority: u8,
    reply: oneshot::Sender<AdmitAnswer>,
}

impl Owned {
    fn new(admission: Admission, service: &ServiceSpec, upstream: &UpstreamSpec) -> Self {
        Self {
            admission,
            service: service.name.clone(),
            address: upstream.address,
            waiting: HashMap::new(),
            leaving: false,
            is_engine: upstream.memory_tokens > 0,
            evidence_at: None,
            asked_at: None,
            polled_at: None,
            held: Vec::new(),
        }
    }

    fn evidence_is_older_than(&self, now: Time, age: Millis) -> bool {
        self.evidence_at.is_none_or(|at| now.since(at) >= age)
    }

    fn is_busy(&self, now: Time) -> bool {
        self.asked_at.is_some_and(|at| now.since(at) < BUSY_FOR)
    }

    fn is_used(&self, now: Time) -> bool {
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now.since(at) < UNUSED_LIFETIME);
        let has_work = self.admission.running() > 0 || !self.waiting.is_empty();
        has_work || is_recent(self.asked_at) || is_recent(self.polled_at)
    }

    /// Whether the upstream's load has to be asked for; one that nobody uses is left alone.
    fn wants_poll(&self, now: Time) -> bool {
        let is_pausing = self.polled_at.is_some_and(|at| now.since(at) < POLL_PAUSE);
        self.is_engine
            && self.is_busy(now)
            && !is_pausing
            && self.evidence_is_older_than(now, BUSY_EVIDENCE)
    }
}

/// Admission by upstream.
#[derive(Debug)]
pub(super) struct Admissions {
    owned: HashMap<UpstreamName, Owned>,
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
        self.owned.values().any(|owned| !owned.waiting.is_empty())
    }

    /// Decides about a wish, or holds it until there is fresh evidence about the upstream; returns
    /// the address to ask for it.
    fn admit_or_hold(&mut self, now: Time, wish: HeldWish) -> Option<SocketAddr> {
        if let Some(owned) = self.owned.get_mut(&wish.call.upstream) {
            owned.asked_at = Some(now);
            if owned.is_engine && owned.evidence_is_older_than(now, BUSY_EVIDENCE) {
                owned.held.push(wish);
                let wants_poll = owned.wants_poll(now);
                return wants_poll.then(|| {
                    owned.polled_at = Some(now);
                    owned.address
                });
            }
        }
        self.admit(now, wish);
        None
    }

    /// Notes evidence about an upstream and decides about the wishes that waited for it.
    fn heard_of(&mut self, now: Time, upstream: &UpstreamName) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.evidence_at = Some(now);
        for wish in std::mem::take(&mut owned.held) {
            self.admit(now, wish);
        }
    }

    fn admit(&mut self, now: Time, wish: HeldWish) {
        let HeldWish { call, share, priority, reply } = wish;
        let Some(owned) = self.owned.get_mut(&call.upstream) else {
            let _ = reply.send(AdmitAnswer::unknown());
            return;
        };
        let id = GrantId(self.next_id);
        self.next_id += 1;
        let length_distribution =
            self.estimator.distribution(&call.service, &call.kind, &call.organisation);
        let request = Request {
            id,
            holder: call.holder,
            organisation: call.organisation,
            kind: call.kind,
            share,
            priority,
            prompt_tokens: call.prompt_tokens,
            length_distribution,
            patience_until: now + call.patience,
            suspect: call.suspect,
            no_queue: call.no_queue,
        };
        let (decision, events) = owned.admission.request(now, request);
        owned.waiting.insert(id, Waiting { token: call.token, reply });
        let answer = match decision {
            Decision::Granted => Some(AdmitResult::Granted(id.0)),
            Decision::Busy(wait) => Some(AdmitResult::Busy(wait)),
            Decision::Refused(retry) => Some(AdmitResult::Refused(retry)),
            Decision::Queued => None,
        };
        if let Some(answer) = answer {
            self.answer(now, &call.upstream, id, answer);
        }
        self.apply(now, &call.upstream, events);
    }

    /// Answers a caller; a grant whose caller is gone is taken back.
    fn answer(&mut self, now: Time, upstream: &UpstreamName, id: GrantId, result: AdmitResult) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let Some(waiting) = owned.waiting.remove(&id) else {
            return;
        };
        let is_grant = matches!(result, AdmitResult::Granted(_));
        let utilisation = owned.admission.utilisation(now);
        let is_gone = waiting.reply.send(AdmitAnswer { result, utilisation }).is_err();
        if is_grant && is_gone {
            owned.admission.release(id, 0);
        } else if is_grant {
            self.grants.insert(id, upstream.clone());
        }
    }

    fn apply(&mut self, now: Time, upstream: &UpstreamName, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Granted(id) => self.answer(now, upstream, id, AdmitResult::Granted(id.0)),
                Event::Refused(id, retry) => {
                    self.answer(now, upstream, id, AdmitResult::Refused(retry));
                }
            }
        }
    }

    /// Grants what has room now.
    pub(super) fn tick(&mut self, now: Time) {
        let names: Vec<_> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.admission.queued() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.tick_one(now, &name);
        }
    }

    fn tick_one(&mut self, now: Time, name: &UpstreamName) {
        if let Some(owned) = self.owned.get_mut(name) {
            let events = owned.admission.tick(now);
            self.apply(now, name, events);
        }
    }

    pub(super) fn withdraw(&mut self, upstream: &UpstreamName, token: u64) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let found = owned.waiting.iter().find(|(_, waiting)| waiting.token == token);
        if let Some(id) = found.map(|(id, _)| *id) {
            owned.admission.withdraw(id);
            owned.waiting.remove(&id);
        }
    }

    /// Takes news of grants from their holder.
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
            self.tick_one(now, &upstream);
        }
        let held: HashSet<_> = req.held.iter().copied().collect();
        for owned in self.owned.values_mut() {
            owned.admission.heard_from(now, &holder);
            if req.full {
                let is_held = |id: GrantId| held.contains(&id.0);
                owned.admission.retain_held(now, &holder, HELD_GRACE, is_held);
            }
        }
    }

    /// Drops grants of silent holders, and upstreams that have not been asked about for long.
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

    /// Takes over the bounds of a new configuration; upstreams that are gone or moved start anew.
    pub(super) fn reconfigure(&mut self, services: &Services) {
        let old = std::mem::take(&mut self.owned);
        for (name, owned) in old {
            let service = services.get(&owned.service).map(|service| &service.spec);
            let found = service.and_then(|spec| Some((spec, spec.upstreams.get(&name)?)));
            if let Some((spec, upstream)) = found.filter(|(_, u)| u.address == owned.address) {
                let admission = owned.admission.with_bounds(Bounds::of(spec, upstream));
                self.owned.insert(name, Owned { admission, ..owned });
            }
        }
    }

    /// Starts to decide about an upstream, unless this daemon does so already.
    fn ensure(
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
        let mut owned = Owned::new(admission, service, upstream);
        owned.leaving = is_leaving(name, upstream.address.ip());
        if owned.leaving {
            owned.admission.close();
        }
        self.owned.insert(name.clone(), owned);
    }

    /// Stops granting where `is_leaving` holds, and starts again where it no longer does.
    pub(super) fn close_where(
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
        self.close_where(now, |_, _| true);
    }

    /// The engines whose load has to be asked for.
    fn due_polls(&mut self, now: Time) -> Vec<(UpstreamName, SocketAddr)> {
        let due = |(name, owned): (&UpstreamName, &mut Owned)| {
            owned.wants_poll(now).then(|| {
                owned.polled_at = Some(now);
                (name.clone(), owned.address)
            })
        };
        self.owned.iter_mut().filter_map(due).collect()
    }

    fn report(&mut self, now: Time, upstream: &UpstreamName, report: &LoadReport) {
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.admission.report(now, report);
            self.tick_one(now, upstream);
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
    /// Decides about a place at an upstream.
    pub(super) fn admit(
        &mut self,
        now: Time,
        call: AdmitCall,
        reply: oneshot::Sender<AdmitAnswer>,
    ) {
        let Some(service) = self.services.get(&call.service).map(|s| Arc::clone(&s.spec)) else {
            let _ = reply.send(AdmitAnswer::unknown());
            return;
        };
        let organisation = service.organisations.get(&call.organisation);
        let share = organisation.map_or(1.0, |organisation| organisation.share);
        let priority = service.kinds.get(&call.kind).map_or(0, |kind| kind.priority);
        let upstream = call.upstream.clone();
        self.ensure(&service, &upstream);
        let wish = HeldWish { call, share, priority, reply };
        if let Some(address) = self.admissions.admit_or_hold(now, wish) {
            self.poll_load(upstream, address);
        }
    }

    fn ensure(&mut self, service: &ServiceSpec, upstream: &UpstreamName) {
        let upstreams = &self.members.upstreams;
        self.admissions
            .ensure(service, upstream, |name, ip| upstreams.is_leaving(name.as_str(), ip));
    }

    /// Asks engines in use for their load, where no caller's request told it.
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

    /// Takes a load report.
    pub(super) fn load(&mut self, now: Time, upstream: &UpstreamName, report: Option<LoadReport>) {
        match report {
            Some(report) => self.take_report(now, upstream, &report),
            None => {
                self.members.upstreams.mark_unreachable(now, upstream);
                self.view_is_old = true;
            }
        }
        self.admissions.heard_of(now, upstream);
    }

    fn take_report(&mut self, now: Time, upstream: &UpstreamName, report: &LoadReport) {
        self.admissions.report(now, upstream, report);
        let (incarnation, draining) = (report.incarnation, report.draining);
        if self.members.upstreams.record_report(upstream, incarnation, draining) {
            self.close_leaving();
        }
    }

    /// Takes news of grants, and what upstreams told their holder.
    pub(super) fn renew(&mut self, now: Time, req: &RenewRequest) {
        self.admissions.renew(now, req);
        for load in &req.loads {
            let upstream = UpstreamName::new(&load.upstream);
            self.load(now, &upstream, Some(load.into()));
        }
    }
}
