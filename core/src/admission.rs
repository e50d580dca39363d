//! Admission control for one upstream, run by the daemon that owns it.
//!
//! The owner counts its own grants, so decisions do not depend on delayed load reports. It admits
//! generations of unknown length while projected memory and step time stay within bounds, and
//! queues the rest with weighted fair queueing over organisations.

pub(crate) mod load;
mod queue;

pub use load::{LoadReport, StepModel};

use crate::estimate::LengthDistribution;
use crate::names::{HostName, KindName, OrganisationName};
use crate::service_file::{Limits, Objective, ServiceSpec, UpstreamSpec};
use crate::time::{Millis, Time};
use load::{Footprint, Projection};
use queue::{BackfillLimit, FairQueue};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// Identifies a request and its grant at the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// A request to run a generation on an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// Also identifies the grant.
    pub id: GrantId,
    /// The requesting daemon; its grants expire [`HOLDER_TIMEOUT`] after it was last heard from.
    pub holder: HostName,
    /// Organisation for which it is queued and charged.
    pub organisation: OrganisationName,
    /// Request kind.
    pub kind: KindName,
    /// Fair-queueing weight of the organisation.
    pub share: f64,
    /// Higher runs first within an organisation.
    pub priority: u8,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Distribution of the output length.
    pub length_distribution: Arc<LengthDistribution>,
    /// When the request is refused if still queued.
    pub patience_until: Time,
    /// Whether an equal request may have crashed an upstream; suspects never run together.
    pub suspect: bool,
    /// Whether to return `Busy` instead of queueing.
    pub no_queue: bool,
}

/// Immediate result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may start.
    Granted,
    /// The request is queued; an [`Event`] follows.
    Queued,
    /// There is no capacity now; contains the expected wait.
    Busy(Millis),
    /// The request is not run; contains the time after which to retry.
    Refused(Millis),
}

/// Final result of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request may start.
    Granted(GrantId),
    /// The request is not run; contains the time after which to retry.
    Refused(GrantId, Millis),
}

/// Limits on admission to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Memory for running generations, in tokens.
    pub memory_tokens: f64,
    /// Maximum concurrent generations.
    pub max_running: usize,
    /// Maximum projected step time, in milliseconds.
    pub step_ms: f64,
    /// Memory margin, in standard deviations of the projected memory.
    pub headroom: f64,
    /// Maximum queued requests.
    pub queue_length: usize,
}

/// Headroom at preemption weight 0, in standard deviations.
const MIN_HEADROOM: f64 = 0.5;

/// Headroom added at preemption weight 1, in standard deviations.
const PREEMPTION_HEADROOM: f64 = 1.4;

/// Fraction of the inter-token target allowed per step at tail weight 0.
const MAX_STEP_FRACTION: f64 = 0.95;

/// Reduction of that fraction at tail weight 1 (tail latency and stalls only).
const TAIL_STEP_REDUCTION: f64 = 0.385;

/// Fraction of an engine's memory for projections; partly filled blocks waste the rest.
const USABLE_MEMORY_FRACTION: f64 = 0.97;

impl Bounds {
    /// Derives bounds from the weights of a service's objective.
    pub fn new(objective: &Objective, limits: &Limits, upstream: &UpstreamSpec) -> Self {
        let sum = (objective.stall + objective.tail_latency + objective.preemption).max(1e-6);
        let preemption = objective.preemption / sum;
        let tail = 1.0 - preemption;
        Self {
            memory_tokens: upstream.memory_tokens as f64 * USABLE_MEMORY_FRACTION,
            max_running: upstream.max_running,
            step_ms: limits.inter_token_ms as f64
                * (MAX_STEP_FRACTION - TAIL_STEP_REDUCTION * tail),
            headroom: MIN_HEADROOM + PREEMPTION_HEADROOM * preemption,
            queue_length: limits.queue_length,
        }
    }

    /// Bounds of `upstream` in `service`.
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

/// A released grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedGrant {
    /// Organisation of the request.
    pub organisation: OrganisationName,
    /// Request kind.
    pub kind: KindName,
    /// Number of generated tokens.
    pub written: u32,
}

/// Time without contact after which a holder's grants expire.
pub const HOLDER_TIMEOUT: Millis = Millis(30_000);

const MIN_RETRY_AFTER: Millis = Millis(250);

const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// Admission state of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    bounds: Bounds,
    running: HashMap<GrantId, Running>,
    /// When each daemon that holds grants was last heard from.
    holders: HashMap<HostName, Time>,
    queue: FairQueue,
    step: StepModel,
    /// Memory of generations that this owner did not grant, in tokens.
    foreign_tokens: f64,
    foreign_running: f64,
    /// Whether new requests are refused.
    closed: bool,
}

impl Admission {
    /// Creates the state of an idle upstream.
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

    /// Replaces the bounds, keeping grants and queue.
    pub fn with_bounds(self, bounds: Bounds) -> Self {
        Self { bounds, ..self }
    }

    /// Number of active grants.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether the grant is active.
    pub fn is_running(&self, id: GrantId) -> bool {
        self.running.contains_key(&id)
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The learned step-time model.
    pub fn step_model(&self) -> &StepModel {
        &self.step
    }

    /// Stops granting and refuses queued requests, so that they can go to another upstream.
    pub fn close(&mut self) -> Vec<Event> {
        self.closed = true;
        let refuse = |request: Request| Event::Refused(request.id, MIN_RETRY_AFTER);
        self.queue.drain().into_iter().map(refuse).collect()
    }

    /// Resumes granting after [`close`](Self::close).
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Decides a new request; the events concern other requests or, if queued, this one.
    pub fn request(&mut self, now: Time, request: Request) -> (Decision, Vec<Event>) {
        if self.closed {
            return (Decision::Refused(MIN_RETRY_AFTER), Vec::new());
        }
        if self.queue.may_bypass(now, &request) && self.fits(now, &request) {
            self.queue.charge(&request);
            self.grant(now, request);
            return (Decision::Granted, Vec::new());
        }
        let wait = self.expected_wait(now, &request);
        if request.no_queue {
            return (Decision::Busy(wait), Vec::new());
        }
        if now + wait > request.patience_until {
            return (Decision::Refused(retry_after(wait)), Vec::new());
        }
        self.enqueue(now, request, wait)
    }

    fn enqueue(&mut self, now: Time, request: Request, wait: Millis) -> (Decision, Vec<Event>) {
        let mut events = Vec::new();
        if self.queue.len() >= self.bounds.queue_length {
            match self.queue.evict_for(&request) {
                Some(id) => events.push(Event::Refused(id, retry_after(wait))),
                None => return (Decision::Refused(retry_after(wait)), events),
            }
        }
        self.queue.push(now, request);
        events.extend(self.tick(now));
        (Decision::Queued, events)
    }

    /// Refuses expired requests and grants queued ones that fit.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        let mut events = Vec::new();
        for request in self.queue.expire(now) {
            let wait = self.expected_wait(now, &request);
            events.push(Event::Refused(request.id, retry_after(wait)));
        }
        while let Some(organisation) = self.next_admissible(now) {
            let Some(request) = self.queue.pop(&organisation) else {
                break;
            };
            events.push(Event::Granted(request.id));
            self.grant(now, request);
        }
        events
    }

    /// The organisation whose first request may start now. A request that does not fit can be
    /// overtaken by higher priorities at any time, and by all others in the first part of its
    /// patience.
    fn next_admissible(&self, now: Time) -> Option<OrganisationName> {
        if self.closed {
            return None;
        }
        let mut backfill_limit = BackfillLimit::default();
        for waiting in self.queue.heads() {
            if backfill_limit.allows(&waiting.request) && self.fits(now, &waiting.request) {
                return Some(waiting.request.organisation.clone());
            }
            backfill_limit.add(now, waiting);
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
                reported_at: now,
                length_distribution: request.length_distribution,
            },
            suspect: request.suspect,
            holder: request.holder,
            granted_at: now,
        };
        self.running.insert(request.id, running);
    }

    /// Records the tokens generated so far; returns whether the grant is known.
    pub fn progress(&mut self, now: Time, id: GrantId, written: u32) -> bool {
        let Some(running) = self.running.get_mut(&id) else {
            return false;
        };
        running.footprint.written = f64::from(written);
        running.footprint.reported_at = now;
        true
    }

    /// Releases a grant; `None` if it is unknown.
    pub fn release(&mut self, id: GrantId, written: u32) -> Option<EndedGrant> {
        let running = self.running.remove(&id)?;
        Some(EndedGrant { organisation: running.organisation, kind: running.kind, written })
    }

    /// Removes a queued request.
    pub fn withdraw(&mut self, id: GrantId) {
        self.queue.remove(id);
    }

    /// Records contact with a holder of grants.
    pub fn heard_from(&mut self, now: Time, holder: &HostName) {
        if let Some(at) = self.holders.get_mut(holder) {
            *at = now;
        }
    }

    /// Drops grants that `holder` no longer lists. Grants younger than `grace` stay, because the
    /// holder may not know of them yet.
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

    /// Drops grants of holders silent for [`HOLDER_TIMEOUT`].
    pub fn expire(&mut self, now: Time) {
        self.holders.retain(|_, heard_at| now.since(*heard_at) < HOLDER_TIMEOUT);
        let holders = &self.holders;
        self.running.retain(|_, running| holders.contains_key(&running.holder));
    }

    /// Updates the step model and the foreign load from a load report of the upstream.
    pub fn report(&mut self, now: Time, report: &LoadReport) {
        self.step.learn(report);
        let at = now - Millis(report.lag_ms);
        let is_in_report =
            |r: &&Running| r.footprint.reported_at <= at || r.footprint.written > 0.0;
        let reported: Vec<_> = self.running.values().filter(is_in_report).collect();
        let step_ms = self.step.step_ms(self.running.len() as f64);
        let tokens: f64 = reported.iter().map(|r| r.footprint.tokens(at, step_ms)).sum();
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
        let has_slot = count <= self.bounds.max_running as f64;
        has_slot
            && self.step.step_ms(count) <= self.bounds.step_ms
            && self.peak_with(now, request) <= self.bounds.memory_tokens
    }

    /// Projected peak memory if `request` is admitted, in tokens.
    fn peak_with(&self, now: Time, request: &Request) -> f64 {
        let step_ms = self.step.step_ms(self.concurrency());
        let mut projection = Projection::new(self.foreign_tokens);
        for running in self.running.values() {
            projection.add(now, step_ms, &running.footprint);
        }
        let new_footprint = Footprint {
            prompt: f64::from(request.prompt_tokens),
            written: 0.0,
            reported_at: now,
            length_distribution: Arc::clone(&request.length_distribution),
        };
        projection.add(now, step_ms, &new_footprint);
        projection.peak(self.bounds.headroom)
    }

    /// Expected time that a request would spend in the queue.
    pub fn expected_wait(&self, now: Time, request: &Request) -> Millis {
        let ahead = self.queue.cost_ahead_of(request);
        let until_room = self.time_to_next_completion(now);
        let rate = self.service_rate(request);
        Millis((until_room + ahead / rate) as u64)
    }

    /// Rate at which the upstream serves queued cost, in tokens per millisecond.
    fn service_rate(&self, request: &Request) -> f64 {
        let size = f64::from(request.prompt_tokens) + request.length_distribution.mean() * 0.5;
        let by_memory = self.bounds.memory_tokens / size.max(1.0);
        let by_step = self.step.concurrency_at(self.bounds.step_ms);
        let count = by_memory.min(by_step).clamp(1.0, self.bounds.max_running as f64);
        count / self.step.step_ms(count)
    }

    /// Expected time until the next running generation ends, in milliseconds.
    fn time_to_next_completion(&self, now: Time) -> f64 {
        let step_ms = self.step.step_ms(self.concurrency());
        let completions_per_ms: f64 = self
            .running
            .values()
            .map(|r| 1.0 / (r.footprint.expected_residual(now, step_ms) * step_ms).max(1.0))
            .sum();
        match completions_per_ms > 0.0 {
            true => 1.0 / completions_per_ms,
            false => 0.0,
        }
    }

    /// Fraction of the bounds in use, as a routing hint; can exceed 1.
    pub fn utilisation(&self, now: Time) -> f64 {
        let step_ms = self.step.step_ms(self.concurrency());
        let tokens: f64 =
            self.running.values().map(|running| running.footprint.tokens(now, step_ms)).sum();
        let memory = (tokens + self.foreign_tokens) / self.bounds.memory_tokens.max(1.0);
        let step = self.concurrency() / self.step.concurrency_at(self.bounds.step_ms).max(1.0);
        memory.max(step)
    }
}

fn retry_after(wait: Millis) -> Millis {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
