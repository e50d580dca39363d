//! A queue that serves organisations by their shares.

use super::{GrantId, Request};
use crate::names::OrganisationName;
use crate::time::Time;
use std::collections::BTreeMap;

/// Prompt tokens that cost as much as one written token.
const PROMPT_COST: f64 = 0.05;

/// The expected cost of a request, in written tokens.
fn cost(request: &Request) -> f64 {
    f64::from(request.prompt_tokens) * PROMPT_COST + request.curve.mean()
}

/// Part of its patience for which a request that does not fit lets others of its priority pass.
const PASSED_PART: f64 = 0.5;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: Request,
    since: Time,
}

impl Waiting {
    /// Whether others of its priority may still pass it.
    fn lets_equals_pass(&self, now: Time) -> bool {
        let patience = self.request.patience_until.since(self.since).0 as f64;
        (now.since(self.since).0 as f64) < patience * PASSED_PART
    }
}

/// Requests that do not fit, before others that might.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Barrier {
    /// Only requests above this priority may pass.
    priority: Option<u8>,
}

impl Barrier {
    pub(super) fn lets_pass(self, request: &Request) -> bool {
        self.priority.is_none_or(|priority| request.priority > priority)
    }

    pub(super) fn add(&mut self, now: Time, waiting: &Waiting) {
        if !waiting.lets_equals_pass(now) {
            self.priority = self.priority.max(Some(waiting.request.priority));
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Line {
    share: f64,
    /// Cost served so far over the share.
    virtual_time: f64,
    /// Sorted: the next one is last.
    requests: Vec<Waiting>,
}

impl Line {
    fn cost(&self) -> f64 {
        self.requests.iter().map(|waiting| cost(&waiting.request)).sum()
    }

    /// The cost of what has at least this priority.
    fn cost_from(&self, priority: u8) -> f64 {
        let counts = |waiting: &&Waiting| waiting.request.priority >= priority;
        self.requests.iter().filter(counts).map(|waiting| cost(&waiting.request)).sum()
    }

    fn insert(&mut self, waiting: Waiting) {
        let priority = waiting.request.priority;
        let goes_after = |other: &Waiting| other.request.priority < priority;
        let place = self.requests.partition_point(goes_after);
        self.requests.insert(place, waiting);
    }
}

/// Weighted fair queueing over organisations, by priority and then arrival within each.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    lines: BTreeMap<OrganisationName, Line>,
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
        let line = self.lines.entry(request.organisation.clone()).or_default();
        if line.requests.is_empty() {
            line.virtual_time = line.virtual_time.max(floor);
        }
        line.share = request.share;
        line.insert(Waiting { request, since: now });
        self.len += 1;
    }

    /// Whether a newcomer that fits may start before everything that waits.
    pub(super) fn lets_pass(&self, now: Time, request: &Request) -> bool {
        let mut barrier = Barrier::default();
        self.heads().for_each(|waiting| barrier.add(now, waiting));
        barrier.lets_pass(request)
    }

    /// Counts a request that started without waiting as served.
    pub(super) fn charge(&mut self, request: &Request) {
        if self.is_empty() {
            return;
        }
        let floor = self.virtual_time;
        let line = self.lines.entry(request.organisation.clone()).or_default();
        line.share = request.share;
        line.virtual_time = line.virtual_time.max(floor) + cost(request) / request.share;
    }

    /// The first request of each organisation, in the order in which they are due.
    pub(super) fn heads(&self) -> impl Iterator<Item = &Waiting> {
        let mut lines: Vec<_> = self.lines.values().filter(|l| !l.requests.is_empty()).collect();
        lines.sort_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
        lines.into_iter().filter_map(|line| line.requests.last())
    }

    /// Takes the first request of an organisation.
    pub(super) fn pop(&mut self, organisation: &OrganisationName) -> Option<Request> {
        let line = self.lines.get_mut(organisation)?;
        let request = line.requests.pop()?.request;
        self.virtual_time = self.virtual_time.max(line.virtual_time);
        line.virtual_time += cost(&request) / line.share;
        self.len -= 1;
        self.forget_idle();
        Some(request)
    }

    /// Drops lines that are empty and have no debt.
    fn forget_idle(&mut self) {
        let now = self.virtual_time;
        self.lines.retain(|_, line| !line.requests.is_empty() || line.virtual_time > now);
    }

    /// Takes out what has waited too long.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Request> {
        self.take_out(|request| request.patience_until <= now)
    }

    pub(super) fn remove(&mut self, id: GrantId) {
        self.take_out(|request| request.id == id);
    }

    pub(super) fn drain(&mut self) -> Vec<Request> {
        self.take_out(|_| true)
    }

    fn take_out(&mut self, is_out: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut out = Vec::new();
        for line in self.lines.values_mut() {
            let taken = line.requests.extract_if(.., |waiting| is_out(&waiting.request));
            out.extend(taken.map(|waiting| waiting.request));
        }
        self.len -= out.len();
        out
    }

    /// Makes room in a full queue at the cost of the organisation that waits with the most work
    /// for its share; `None` when that is the newcomer's own.
    pub(super) fn make_room_for(&mut self, request: &Request) -> Option<GrantId> {
        let load = |line: &Line| line.cost() / line.share.max(1e-9);
        let (heaviest, line) = self
            .lines
            .iter_mut()
            .filter(|(_, line)| !line.requests.is_empty())
            .max_by(|a, b| load(a.1).total_cmp(&load(b.1)))?;
        if *heaviest == request.organisation {
            return None;
        }
        let id = line.requests.first()?.request.id;
        line.requests.remove(0);
        self.len -= 1;
        Some(id)
    }

    /// Cost that is served before a request would be, including its own organisation's. What has
    /// a lower priority lets the request pass.
    pub(super) fn cost_ahead_of(&self, request: &Request) -> f64 {
        let own = self.lines.get(&request.organisation);
        let own_ahead = own.map_or(0.0, |line| line.cost_from(request.priority));
        let debt = own.map_or(0.0, |line| (line.virtual_time - self.virtual_time).max(0.0));
        let finish = debt + (own_ahead + cost(request)) / request.share;
        let before = |line: &Line| {
            let start = (line.virtual_time - self.virtual_time).max(0.0);
            let served = (finish - start).max(0.0) * line.share;
            line.cost_from(request.priority).min(served)
        };
        let others = self.lines.iter().filter(|(name, _)| **name != request.organisation);
        own_ahead + others.map(|(_, line)| before(line)).sum::<f64>()
    }
}
