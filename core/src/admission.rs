//! Admission to one upstream, decided by the daemon that owns it.
//!
//! The owner counts its own grants, so it need not wait for load reports that lag. It admits an
//! answer of unknown length while the projected memory and step time stay within bounds, and
//! queues the rest, fairly over organisations.

pub(crate) mod load;
mod queue;

pub use load::{LoadReport, StepModel};

use crate::estimate::Curve;
use crate::names::{HostName, KindName, OrganisationName};
use crate::service_file::{Limits, Objective, ServiceSpec, UpstreamSpec};
use crate::time::{Millis, Time};
use load::{Footprint, Projection};
use queue::{Barrier, FairQueue};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// Identifies a grant at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// A request for a place at an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number at the owner; a grant keeps it.
    pub id: GrantId,
    /// The daemon that asks; its grants live as long as it is heard from.
    pub holder: HostName,
    /// The organisation.
    pub organisation: OrganisationName,
    /// The kind.
    pub kind: KindName,
    /// The organisation's share.
    pub share: f64,
    /// Higher goes first within an organisation.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The distribution of the answer's length.
    pub curve: Arc<Curve>,
    /// When the request stops waiting.
    pub patience_until: Time,
    /// Whether it may have crashed an upstream.
    pub suspect: bool,
    /// Whether to answer `Busy` in place of queueing.
    pub no_queue: bool,
}

/// What a request is told at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may start.
    Granted,
    /// It waits; `Event` says how that ends.
    Queued,
    /// There is no room now; the wait would be this long.
    Busy(Millis),
    /// It is not run; it may come back after this time.
    Refused(Millis),
}

/// How a wait ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request may start.
    Granted(GrantId),
    /// It is not run; it may come back after this time.
    Refused(GrantId, Millis),
}

/// What an admission may use of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Memory for running answers, in tokens.
    pub memory_tokens: f64,
    /// Answers that run at once.
    pub max_running: usize,
    /// Longest projected step, in milliseconds.
    pub step_ms: f64,
    /// Standard deviations of memory that are kept free.
    pub headroom: f64,
    /// Requests that may wait.
    pub queue_length: usize,
}

/// Headroom when preemptions weigh nothing, in standard deviations.
const MIN_HEADROOM: f64 = 0.5;

/// Headroom added as preemptions come to weigh everything, in standard deviations.
const PREEMPTION_HEADROOM: f64 = 1.4;

/// Part of the target between tokens that a step may use when tail latency weighs nothing.
const STEP_PART: f64 = 0.95;

/// Part taken off as tail latency and stalls come to weigh everything.
const TAIL_STEP_PART: f64 = 0.385;

/// Part of an engine's memory that projections may use; the rest is lost in partly used blocks.
const USABLE_MEMORY: f64 = 0.97;

impl Bounds {
    /// The bounds that serve a service's objective.
    pub fn new(objective: &Objective, limits: &Limits, upstream: &UpstreamSpec) -> Self {
        let sum = (objective.stall + objective.tail_latency + objective.preemption).max(1e-6);
        let preemption = objective.preemption / sum;
        let tail = 1.0 - preemption;
        Self {
            memory_tokens: upstream.memory_tokens as f64 * USABLE_MEMORY,
            max_running: upstream.max_running,
            step_ms: limits.inter_token_ms as f64 * (STEP_PART - TAIL_STEP_PART * tail),
            headroom: MIN_HEADROOM + PREEMPTION_HEADROOM * preemption,
            queue_length: limits.queue_length,
        }
    }

    /// The bounds of `upstream` in `service`.
    pub fn of(service: &ServiceSpec, upstream: &UpstreamSpec) -> Self {
        Self::new(&service.objective, &service.limits, upstream)
    }
}

#[derive(Clone, Debug)]
struct Running {
    holder: HostName,
    organisation: OrganisationName,
    kind: KindName,
    footprint: Footprint,
    suspect: bool,
    granted_at: Time,
}

/// What is known of a grant that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The kind.
    pub kind: KindName,
    /// Tokens that were written.
    pub written: u32,
}

/// How long grants live without news from their holder.
pub const GRANT_LIFETIME: Millis = Millis(30_000);

/// Shortest retry time that a refused caller is given.
const MIN_RETRY: Millis = Millis(250);

/// Longest retry time that a refused caller is given.
const MAX_RETRY: Millis = Millis(60_000);

/// Admission to one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    bounds: Bounds,
    running: HashMap<GrantId, Running>,
    /// Last news from the daemons that hold grants.
    holders: HashMap<HostName, Time>,
    queue: FairQueue,
    step: StepModel,
    /// Memory used by answers that this owner did not grant, in tokens.
    foreign_tokens: f64,
    foreign_running: f64,
    /// No new work goes there.
    closed: bool,
}

impl Admission {
    /// An upstream on which nothing runs.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            running: HashMap::new(),
            holders: HashMap::new(),
            queue: FairQueue::new(),
            step: StepModel::new(),
            foreign_tokens: 0.0,
            foreign_running: 0.0,
            closed: false,
        }
    }

    /// Changes the bounds, as a new configuration says.
    pub fn with_bounds(self, bounds: Bounds) -> Self {
        Self { bounds, ..self }
    }

    /// Grants in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether a grant is in progress.
    pub fn is_running(&self, id: GrantId) -> bool {
        self.running.contains_key(&id)
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The step model as learned so far.
    pub fn step_model(&self) -> &StepModel {
        &self.step
    }

    /// Stops granting; what waits is refused, so that it can go elsewhere.
    pub fn close(&mut self) -> Vec<Event> {
        self.closed = true;
        let refuse = |request: Request| Event::Refused(request.id, MIN_RETRY);
        self.queue.drain().into_iter().map(refuse).collect()
    }

    /// Starts granting again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Decides about a new request.
    pub fn request(&mut self, now: Time, request: Request) -> (Decision, Vec<Event>) {
        if self.closed {
            return (Decision::Refused(MIN_RETRY), Vec::new());
        }
        if self.queue.lets_pass(now, &request) && self.fits(now, &request) {
            self.queue.charge(&request);
            self.grant(now, request);
            return (Decision::Granted, Vec::new());
        }
        let wait = self.expected_wait(now, &request);
        if request.no_queue {
            return (Decision::Busy(wait), Vec::new());
        }
        if now + wait > request.patience_until {
            return (Decision::Refused(retry_time(wait)), Vec::new());
        }
        self.enqueue(now, request, wait)
    }

    fn enqueue(&mut self, now: Time, request: Request, wait: Millis) -> (Decision, Vec<Event>) {
        let mut events = Vec::new();
        if self.queue.len() >= self.bounds.queue_length {
            match self.queue.make_room_for(&request) {
                Some(id) => events.push(Event::Refused(id, retry_time(wait))),
                None => return (Decision::Refused(retry_time(wait)), events),
            }
        }
        self.queue.push(now, request);
        events.extend(self.tick(now));
        (Decision::Queued, events)
    }

    /// Grants what has room now and refuses what waited too long.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        let mut events = Vec::new();
        for request in self.queue.expire(now) {
            let wait = self.expected_wait(now, &request);
            events.push(Event::Refused(request.id, retry_time(wait)));
        }
        while let Some(organisation) = self.next_that_fits(now) {
            let Some(request) = self.queue.pop(&organisation) else {
                break;
            };
            events.push(Event::Granted(request.id));
            self.grant(now, request);
        }
        events
    }

    /// The organisation whose first request may start now. Requests that do not fit are passed by
    /// those of higher priority, and for a part of their patience by any that fits.
    fn next_that_fits(&self, now: Time) -> Option<OrganisationName> {
        if self.closed {
            return None;
        }
        let mut barrier = Barrier::default();
        for waiting in self.queue.heads() {
            if barrier.lets_pass(&waiting.request) && self.fits(now, &waiting.request) {
                return Some(waiting.request.organisation.clone());
            }
            barrier.add(now, waiting);
        }
        None
    }

    fn grant(&mut self, now: Time, request: Request) {
        self.holders.insert(request.holder.clone(), now);
        let running = Running {
            organisation: request.organisation,
            kind: request.kind,
            footprint: Footprint {
                prompt: f64::from(request.prompt_tokens),
                written: 0.0,
                told_at: now,
                curve: request.curve,
            },
            suspect: request.suspect,
            holder: request.holder,
            granted_at: now,
        };
        self.running.insert(request.id, running);
    }

    /// Notes how far a grant has come; returns whether the grant is known.
    pub fn progress(&mut self, now: Time, id: GrantId, written: u32) -> bool {
        let Some(running) = self.running.get_mut(&id) else {
            return false;
        };
        running.footprint.written = f64::from(written);
        running.footprint.told_at = now;
        true
    }

    /// Releases a grant.
    pub fn release(&mut self, id: GrantId, written: u32) -> Option<Ended> {
        let running = self.running.remove(&id)?;
        Some(Ended { organisation: running.organisation, kind: running.kind, written })
    }

    /// Withdraws a request that waits.
    pub fn withdraw(&mut self, id: GrantId) {
        self.queue.remove(id);
    }

    /// Notes that a holder of grants is alive.
    pub fn heard_from(&mut self, now: Time, holder: &HostName) {
        if let Some(at) = self.holders.get_mut(holder) {
            *at = now;
        }
    }

    /// Drops grants that `holder` no longer names; those granted within the last `grace` stay, as
    /// the holder may not know of them yet.
    pub fn retain_held(
        &mut self,
        now: Time,
        holder: &HostName,
        grace: Millis,
        is_held: impl Fn(GrantId) -> bool,
    ) {
        let is_kept = |id: &GrantId, running: &mut Running| {
            running.holder != *holder || now.since(running.granted_at) < grace || is_held(*id)
        };
        self.running.retain(is_kept);
    }

    /// Drops the grants of holders that are silent.
    pub fn expire(&mut self, now: Time) {
        self.holders.retain(|_, heard_at| now.since(*heard_at) < GRANT_LIFETIME);
        let holders = &self.holders;
        self.running.retain(|_, running| holders.contains_key(&running.holder));
    }

    /// Learns from a load report of the upstream.
    pub fn report(&mut self, now: Time, report: &LoadReport) {
        self.step.learn(report);
        let at = now - Millis(report.lag_ms);
        let was_granted = |r: &&Running| r.footprint.told_at <= at || r.footprint.written > 0.0;
        let known: Vec<_> = self.running.values().filter(was_granted).collect();
        let step_ms = self.step.step_ms(self.running.len() as f64);
        let tokens: f64 = known.iter().map(|r| r.footprint.tokens(at, step_ms)).sum();
        self.foreign_running = (f64::from(report.running) - self.running.len() as f64).max(0.0);
        self.foreign_tokens = match self.foreign_running > 0.0 {
            true => (report.used_tokens as f64 - tokens).max(0.0),
            false => 0.0,
        };
    }

    fn concurrency(&self) -> f64 {
        self.running.len() as f64 + self.foreign_running
    }

    fn fits(&self, now: Time, request: &Request) -> bool {
        let has_suspect = || self.running.values().any(|running| running.suspect);
        if request.suspect && has_suspect() {
            return false;
        }
        if self.running.is_empty() && self.foreign_running < 1.0 {
            return true;
        }
        let count = self.concurrency() + 1.0;
        let has_place = count <= self.bounds.max_running as f64;
        has_place
            && self.step.step_ms(count) <= self.bounds.step_ms
            && self.peak_with(now, request) <= self.bounds.memory_tokens
    }

    /// The projected memory peak with `request` running too, in tokens.
    fn peak_with(&self, now: Time, request: &Request) -> f64 {
        let step_ms = self.step.step_ms(self.concurrency());
        let mut projection = Projection::new(self.foreign_tokens);
        for running in self.running.values() {
            projection.add(now, step_ms, &running.footprint);
        }
        let newcomer = Footprint {
            prompt: f64::from(request.prompt_tokens),
            written: 0.0,
            told_at: now,
            curve: Arc::clone(&request.curve),
        };
        projection.add(now, step_ms, &newcomer);
        projection.peak(self.bounds.headroom)
    }

    /// The wait that a request would have in the queue.
    pub fn expected_wait(&self, now: Time, request: &Request) -> Millis {
        let ahead = self.queue.cost_ahead_of(request);
        let until_room = self.time_to_next_end(now);
        let rate = self.service_rate(request);
        Millis((until_room + ahead / rate) as u64)
    }

    /// Cost that the upstream works off, in tokens a millisecond.
    fn service_rate(&self, request: &Request) -> f64 {
        let size = f64::from(request.prompt_tokens) + request.curve.mean() * 0.5;
        let by_memory = self.bounds.memory_tokens / size.max(1.0);
        let by_step = self.step.concurrency_at(self.bounds.step_ms);
        let count = by_memory.min(by_step).clamp(1.0, self.bounds.max_running as f64);
        count / self.step.step_ms(count)
    }

    /// The expected time until the next running answer ends, in milliseconds.
    fn time_to_next_end(&self, now: Time) -> f64 {
        let step_ms = self.step.step_ms(self.concurrency());
        let ends_per_ms: f64 = self
            .running
            .values()
            .map(|r| 1.0 / (r.footprint.expected_residual(now, step_ms) * step_ms).max(1.0))
            .sum();
        match ends_per_ms > 0.0 {
            true => 1.0 / ends_per_ms,
            false => 0.0,
        }
    }

    /// Part of the bounds in use, from 0 to 1 and more, as a hint for routers.
    pub fn utilisation(&self, now: Time) -> f64 {
        let step_ms = self.step.step_ms(self.concurrency());
        let tokens: f64 =
            self.running.values().map(|running| running.footprint.tokens(now, step_ms)).sum();
        let memory = (tokens + self.foreign_tokens) / self.bounds.memory_tokens.max(1.0);
        let step = self.concurrency() / self.step.concurrency_at(self.bounds.step_ms).max(1.0);
        memory.max(step)
    }
}

fn retry_time(wait: Millis) -> Millis {
    wait.clamp(MIN_RETRY, MAX_RETRY)
}
