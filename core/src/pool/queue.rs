//! Queue of placement requests that do not fit yet.

use super::PlacementRequest;
use super::returns::ReturnedCaller;
use crate::names::{OrganisationName, RunId};
use crate::time::{Millis, Time};
use std::cmp::Ordering;
use std::collections::HashMap;

#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: PlacementRequest,
    pub(super) queued_at: Time,
    /// Present if its caller was refused before.
    pub(super) returned: Option<ReturnedCaller>,
    /// When its holder last repeated the request, as it does while the run waits.
    polled_at: Time,
}

/// Time without a repeated request after which a queued run is dropped.
const POLL_TIMEOUT: Millis = Millis(700);

impl QueuedRequest {
    /// Whether it goes before `request`: it is no less urgent, and can still be on time or the new
    /// one cannot either.
    fn precedes(&self, now: Time, request: &PlacementRequest) -> bool {
        let is_no_later = !self.is_overdue(now) || !request.can_be_on_time(now);
        is_no_later && self.request.priority <= request.priority && self.request.run != request.run
    }

    fn is_overdue(&self, now: Time) -> bool {
        !self.request.can_be_on_time(now)
    }

    /// Whether it need not wait for the time that its caller was told.
    pub(super) fn has_its_time(&self, now: Time) -> bool {
        self.returned.is_none_or(|caller| caller.due <= now)
    }

    /// Whether later requests of its priority may start before it: for the first half of its
    /// patience.
    pub(super) fn may_be_overtaken(&self, now: Time) -> bool {
        let patience = self.request.patience_until.since(self.queued_at).0;
        now.since(self.queued_at).0 * 2 < patience
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    requests: Vec<QueuedRequest>,
}

impl Queue {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn push(&mut self, now: Time, request: PlacementRequest) {
        self.push_returned(now, request, None);
    }

    /// Adds a request whose caller may have been refused before.
    pub(super) fn push_returned(
        &mut self,
        now: Time,
        request: PlacementRequest,
        returned: Option<ReturnedCaller>,
    ) {
        match self.requests.iter_mut().find(|queued| queued.request.run == request.run) {
            Some(queued) => {
                queued.polled_at = now;
                queued.request.avoid = request.avoid;
            }
            None => self.requests.push(QueuedRequest {
                request,
                queued_at: now,
                returned,
                polled_at: now,
            }),
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.iter()
    }

    pub(super) fn get(&self, run: &RunId) -> Option<&QueuedRequest> {
        self.iter().find(|queued| queued.request.run == *run)
    }

    pub(super) fn remove(&mut self, run: &RunId) {
        self.requests.retain(|queued| queued.request.run != *run);
    }

    /// Whether a queued request goes before `request`.
    pub(super) fn has_ahead_of(&self, now: Time, request: &PlacementRequest) -> bool {
        self.requests.iter().any(|queued| queued.precedes(now, request))
    }

    /// Prompt tokens of the queued requests that go before `request`.
    pub(super) fn tokens_ahead_of(&self, now: Time, request: &PlacementRequest) -> f64 {
        let ahead = self.requests.iter().filter(|queued| queued.precedes(now, request));
        ahead.map(|queued| f64::from(queued.request.prompt_tokens)).sum()
    }

    /// Prompt tokens of all requests.
    pub(super) fn tokens(&self) -> u64 {
        self.requests.iter().map(|queued| u64::from(queued.request.prompt_tokens)).sum()
    }

    /// Removes and returns requests whose patience has run out; drops those that are no longer
    /// repeated.
    pub(super) fn expire(&mut self, now: Time) -> Vec<QueuedRequest> {
        self.requests.retain(|queued| now.since(queued.polled_at) < POLL_TIMEOUT);
        self.requests.extract_if(.., |queued| queued.request.patience_until <= now).collect()
    }

    /// Requests in scheduling order, with whether later ones may overtake them. Those that can
    /// still be on time go first, as otherwise every request would be late under lasting overload;
    /// then by priority, by whether they may be overtaken, by memory that their organisation
    /// already uses, and by age.
    pub(super) fn order(
        &self,
        now: Time,
        uses: &HashMap<&OrganisationName, f64>,
    ) -> Vec<(&PlacementRequest, bool)> {
        let mut order: Vec<_> =
            self.requests.iter().map(|queued| (QueueKey::new(now, queued, uses), queued)).collect();
        order.sort_by(|(a, _), (b, _)| a.compare(b));
        let in_order = order.into_iter();
        in_order.map(|(key, queued)| (&queued.request, key.may_be_overtaken)).collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct QueueKey {
    is_overdue: bool,
    priority: u8,
    may_be_overtaken: bool,
    /// Memory that its organisation already uses, in tokens.
    tokens_in_use: f64,
    queued_at: Time,
}

impl QueueKey {
    fn new(now: Time, queued: &QueuedRequest, uses: &HashMap<&OrganisationName, f64>) -> Self {
        Self {
            is_overdue: queued.is_overdue(now),
            priority: queued.request.priority,
            may_be_overtaken: queued.may_be_overtaken(now),
            tokens_in_use: uses.get(&queued.request.organisation).copied().unwrap_or_default(),
            queued_at: queued.queued_at,
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        let by_lateness = self.is_overdue.cmp(&other.is_overdue);
        let by_priority = self.priority.cmp(&other.priority);
        // Requests that may no longer be overtaken go first within their priority.
        let by_overtaking = self.may_be_overtaken.cmp(&other.may_be_overtaken);
        let by_usage = self.tokens_in_use.total_cmp(&other.tokens_in_use);
        let by_wait = self.queued_at.cmp(&other.queued_at);
        by_lateness.then(by_priority).then(by_overtaking).then(by_usage).then(by_wait)
    }
}
