//! Request queue with weighted fair queueing over organisations.

use super::{GrantId, Request};
use crate::names::OrganisationName;
use crate::time::Time;
use std::collections::BTreeMap;

/// Cost of a prompt token relative to a generated token.
const PROMPT_COST: f64 = 0.05;

/// Expected cost of a request, in generated tokens.
fn cost(request: &Request) -> f64 {
    f64::from(request.prompt_tokens) * PROMPT_COST + request.length_distribution.mean()
}

/// Fraction of its patience during which a request that does not fit may be overtaken by requests
/// of equal or lower priority.
const BACKFILL_FRACTION: f64 = 0.5;

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: Request,
    since: Time,
}

impl Waiting {
    /// Whether requests of equal or lower priority may still overtake this one.
    fn allows_backfill(&self, now: Time) -> bool {
        let patience = self.request.patience_until.since(self.since).0 as f64;
        (now.since(self.since).0 as f64) < patience * BACKFILL_FRACTION
    }
}

/// Limits overtaking (backfill) of queued requests that do not fit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BackfillLimit {
    /// Only requests above this priority may start; `None` if any may.
    priority: Option<u8>,
}

impl BackfillLimit {
    pub(super) fn allows(self, request: &Request) -> bool {
        self.priority.is_none_or(|priority| request.priority > priority)
    }

    pub(super) fn add(&mut self, now: Time, waiting: &Waiting) {
        if !waiting.allows_backfill(now) {
            self.priority = self.priority.max(Some(waiting.request.priority));
        }
    }
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    share: f64,
    /// Cost served so far, divided by the share.
    virtual_time: f64,
    /// In reverse order of service: the next request is last.
    requests: Vec<Waiting>,
}

impl OrganisationQueue {
    fn cost(&self) -> f64 {
        self.requests.iter().map(|waiting| cost(&waiting.request)).sum()
    }

    fn cost_at_or_above(&self, priority: u8) -> f64 {
        let is_counted = |waiting: &&Waiting| waiting.request.priority >= priority;
        self.requests.iter().filter(is_counted).map(|waiting| cost(&waiting.request)).sum()
    }

    fn insert(&mut self, waiting: Waiting) {
        let priority = waiting.request.priority;
        let has_lower_priority = |other: &Waiting| other.request.priority < priority;
        let index = self.requests.partition_point(has_lower_priority);
        self.requests.insert(index, waiting);
    }
}

/// Weighted fair queue over organisations, ordered by priority and then arrival within each.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    queues: BTreeMap<OrganisationName, OrganisationQueue>,
    len: usize,
    virtual_time: f64,
}

impl FairQueue {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn push(&mut self, now: Time, request: Request) {
        let floor = self.virtual_time;
        let queue = self.queues.entry(request.organisation.clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(floor);
        }
        queue.share = request.share;
        queue.insert(Waiting { request, since: now });
        self.len += 1;
    }

    /// Whether a new request that fits may start ahead of the queue.
    pub(super) fn may_bypass(&self, now: Time, request: &Request) -> bool {
        let mut backfill_limit = BackfillLimit::default();
        self.heads().for_each(|waiting| backfill_limit.add(now, waiting));
        backfill_limit.allows(request)
    }

    /// Charges an organisation for a request that started without queueing.
    pub(super) fn charge(&mut self, request: &Request) {
        if self.is_empty() {
            return;
        }
        let floor = self.virtual_time;
        let queue = self.queues.entry(request.organisation.clone()).or_default();
        queue.share = request.share;
        queue.virtual_time = queue.virtual_time.max(floor) + cost(request) / request.share;
    }

    /// The first request of each organisation, in order of virtual time.
    pub(super) fn heads(&self) -> impl Iterator<Item = &Waiting> {
        let mut queues: Vec<_> =
            self.queues.values().filter(|queue| !queue.requests.is_empty()).collect();
        queues.sort_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
        queues.into_iter().filter_map(|queue| queue.requests.last())
    }

    pub(super) fn pop(&mut self, organisation: &OrganisationName) -> Option<Request> {
        let queue = self.queues.get_mut(organisation)?;
        let request = queue.requests.pop()?.request;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += cost(&request) / queue.share;
        self.len -= 1;
        self.prune_idle();
        Some(request)
    }

    /// Drops queues that are empty and not ahead of the global virtual time.
    fn prune_idle(&mut self) {
        let now = self.virtual_time;
        self.queues.retain(|_, queue| !queue.requests.is_empty() || queue.virtual_time > now);
    }

    /// Removes and returns requests whose patience has run out.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Request> {
        self.remove_where(|request| request.patience_until <= now)
    }

    pub(super) fn remove(&mut self, id: GrantId) {
        self.remove_where(|request| request.id == id);
    }

    pub(super) fn drain(&mut self) -> Vec<Request> {
        self.remove_where(|_| true)
    }

    fn remove_where(&mut self, should_remove: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let taken = queue.requests.extract_if(.., |waiting| should_remove(&waiting.request));
            removed.extend(taken.map(|waiting| waiting.request));
        }
        self.len -= removed.len();
        removed
    }

    /// Makes room in a full queue by evicting a request of the organisation with the most queued
    /// cost relative to its share; `None` if that is the new request's own organisation.
    pub(super) fn evict_for(&mut self, request: &Request) -> Option<GrantId> {
        let load = |queue: &OrganisationQueue| queue.cost() / queue.share.max(1e-9);
        let (heaviest, queue) = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| !queue.requests.is_empty())
            .max_by(|a, b| load(a.1).total_cmp(&load(b.1)))?;
        if *heaviest == request.organisation {
            return None;
        }
        let id = queue.requests.first()?.request.id;
        queue.requests.remove(0);
        self.len -= 1;
        Some(id)
    }

    /// Cost served before `request` would be, across all organisations. Requests of lower priority
    /// do not count, because `request` overtakes them.
    pub(super) fn cost_ahead_of(&self, request: &Request) -> f64 {
        let own = self.queues.get(&request.organisation);
        let own_ahead = own.map_or(0.0, |queue| queue.cost_at_or_above(request.priority));
        let debt = own.map_or(0.0, |queue| (queue.virtual_time - self.virtual_time).max(0.0));
        let finish = debt + (own_ahead + cost(request)) / request.share;
        let before = |queue: &OrganisationQueue| {
            let start = (queue.virtual_time - self.virtual_time).max(0.0);
            let served = (finish - start).max(0.0) * queue.share;
            queue.cost_at_or_above(request.priority).min(served)
        };
        let others = self.queues.iter().filter(|(name, _)| **name != request.organisation);
        own_ahead + others.map(|(_, queue)| before(queue)).sum::<f64>()
    }
}
