//! Runs that wait for a place.

use super::PlacementRequest;
use crate::names::{OrganisationName, RunId};
use crate::time::{Millis, Time};
use std::cmp::Ordering;
use std::collections::HashMap;

#[derive(Clone, Debug)]
struct QueuedRequest {
    request: PlacementRequest,
    queued_at: Time,
    /// Its holder asks again and again while it waits.
    polled_at: Time,
}

/// How long a run waits whose holder does not ask for it any more.
const POLL_TIMEOUT: Millis = Millis(700);

impl QueuedRequest {
    /// Whether it is due before the newcomer `wish`: it can still be on time, and ranks no lower.
    fn precedes(&self, now: Time, request: &PlacementRequest) -> bool {
        let is_due = !self.is_overdue(now) || !request.can_be_on_time(now);
        is_due && self.request.priority <= request.priority && self.request.run != request.run
    }

    /// Whether it cannot be on time any more.
    fn is_overdue(&self, now: Time) -> bool {
        !self.request.can_be_on_time(now)
    }

    /// Whether others of its rank may still start before it: for the first half of its patience.
    fn may_be_overtaken(&self, now: Time) -> bool {
        let patience = self.request.patience_until.since(self.queued_at).0;
        now.since(self.queued_at).0 * 2 < patience
    }
}

/// The waiting runs of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<QueuedRequest>,
}

impl Queue {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, now: Time, request: PlacementRequest) {
        match self.waiting.iter_mut().find(|waiting| waiting.request.run == request.run) {
            Some(waiting) => waiting.polled_at = now,
            None => self.waiting.push(QueuedRequest { request, queued_at: now, polled_at: now }),
        }
    }

    pub(super) fn remove(&mut self, run: &RunId) {
        self.waiting.retain(|waiting| waiting.request.run != *run);
    }

    /// Whether something else waits that goes before `wish`.
    pub(super) fn has_ahead_of(&self, now: Time, request: &PlacementRequest) -> bool {
        self.waiting.iter().any(|waiting| waiting.precedes(now, request))
    }

    /// Tokens of the prompts that go before `wish`.
    pub(super) fn tokens_ahead_of(&self, now: Time, request: &PlacementRequest) -> f64 {
        let before = self.waiting.iter().filter(|waiting| waiting.precedes(now, request));
        before.map(|waiting| f64::from(waiting.request.prompt_tokens)).sum()
    }

    /// Tokens of all prompts.
    pub(super) fn tokens(&self) -> u64 {
        self.waiting.iter().map(|waiting| u64::from(waiting.request.prompt_tokens)).sum()
    }

    /// Takes out what has waited too long; what nobody asks for any more is dropped.
    pub(super) fn expire(&mut self, now: Time) -> Vec<PlacementRequest> {
        self.waiting.retain(|waiting| now.since(waiting.polled_at) < POLL_TIMEOUT);
        let out = self.waiting.extract_if(.., |waiting| waiting.request.patience_until <= now);
        out.map(|waiting| waiting.request).collect()
    }

    /// The runs in the order in which they are due, each with whether later ones may start before
    /// it: those that can still be on time first, as in a crowd that lasts all would else be late;
    /// then by rank, by what their organisation uses already, and by age.
    pub(super) fn order(
        &self,
        now: Time,
        uses: &HashMap<&OrganisationName, f64>,
    ) -> Vec<(&PlacementRequest, bool)> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|waiting| (QueueKey::new(now, waiting, uses), waiting))
            .collect();
        order.sort_by(|(a, _), (b, _)| a.order(b));
        let in_order = order.into_iter();
        in_order.map(|(key, waiting)| (&waiting.request, key.may_be_overtaken)).collect()
    }
}

/// What the order of the waiting runs goes by.
#[derive(Clone, Copy, Debug)]
struct QueueKey {
    is_overdue: bool,
    priority: u8,
    may_be_overtaken: bool,
    /// Memory that its organisation uses already, in tokens.
    tokens_in_use: f64,
    queued_at: Time,
}

impl QueueKey {
    fn new(now: Time, waiting: &QueuedRequest, uses: &HashMap<&OrganisationName, f64>) -> Self {
        Self {
            is_overdue: waiting.is_overdue(now),
            priority: waiting.request.priority,
            may_be_overtaken: waiting.may_be_overtaken(now),
            tokens_in_use: uses.get(&waiting.request.organisation).copied().unwrap_or_default(),
            queued_at: waiting.queued_at,
        }
    }

    fn order(&self, other: &Self) -> Ordering {
        let by_lateness = self.is_overdue.cmp(&other.is_overdue);
        let by_priority = self.priority.cmp(&other.priority);
        // What others may no longer pass goes first within its rank.
        let by_overtaking = self.may_be_overtaken.cmp(&other.may_be_overtaken);
        let by_usage = self.tokens_in_use.total_cmp(&other.tokens_in_use);
        let by_wait = self.queued_at.cmp(&other.queued_at);
        by_lateness.then(by_priority).then(by_overtaking).then(by_usage).then(by_wait)
    }
}
