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

#[derive(Clone, Debug, Default)]
struct Line {
    share: f64,
    /// Cost served so far over the share.
    virtual_time: f64,
    /// Sorted: the next one is last.
    requests: Vec<Request>,
}

impl Line {
    fn cost(&self) -> f64 {
        self.requests.iter().map(cost).sum()
    }

    fn insert(&mut self, request: Request) {
        let goes_before = |other: &Request| other.priority >= request.priority;
        let place = self.requests.partition_point(|other| !goes_before(other));
        self.requests.insert(place, request);
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

    pub(super) fn push(&mut self, request: Request) {
        let floor = self.virtual_time;
        let line = self.lines.entry(request.organisation.clone()).or_default();
        if line.requests.is_empty() {
            line.virtual_time = line.virtual_time.max(floor);
        }
        line.share = request.share;
        line.insert(request);
        self.len += 1;
    }

    fn next_line(&self) -> Option<&OrganisationName> {
        self.lines
            .iter()
            .filter(|(_, line)| !line.requests.is_empty())
            .min_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time))
            .map(|(organisation, _)| organisation)
    }

    pub(super) fn peek(&self) -> Option<&Request> {
        let organisation = self.next_line()?;
        self.lines.get(organisation)?.requests.last()
    }

    pub(super) fn pop(&mut self) -> Option<Request> {
        let organisation = self.next_line()?.clone();
        let line = self.lines.get_mut(&organisation)?;
        let request = line.requests.pop()?;
        self.virtual_time = line.virtual_time;
        line.virtual_time += cost(&request) / line.share;
        self.len -= 1;
        self.forget_idle();
        Some(request)
    }

    /// Drops lines that are empty and have no debt.
    fn forget_idle(&mut self) {
        let now = self.virtual_time;
        self.lines
            .retain(|_, line| !line.requests.is_empty() || line.virtual_time > now);
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
            out.extend(line.requests.extract_if(.., |request| is_out(request)));
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
        let id = line.requests.first()?.id;
        line.requests.remove(0);
        self.len -= 1;
        Some(id)
    }

    /// Cost that is served before a request would be, including its own organisation's.
    pub(super) fn cost_ahead_of(&self, request: &Request) -> f64 {
        let own = self.lines.get(&request.organisation);
        let own_ahead: f64 = own.map_or(0.0, |line| {
            line.requests
                .iter()
                .filter(|r| r.priority >= request.priority)
                .map(cost)
                .sum()
        });
        let debt = own.map_or(0.0, |line| (line.virtual_time - self.virtual_time).max(0.0));
        let finish = debt + own_ahead / request.share;
        let others: f64 = self
            .lines
            .iter()
            .filter(|(name, _)| **name != request.organisation)
            .map(|(_, line)| {
                let before = finish - (line.virtual_time - self.virtual_time).max(0.0);
                line.cost()
                    .min((before.max(0.0) + cost(request) / request.share) * line.share)
            })
            .sum();
        own_ahead + others
    }
}
