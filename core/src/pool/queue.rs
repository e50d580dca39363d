//! Runs that wait for a place.

use super::Wish;
use crate::names::{OrganisationName, RunId};
use crate::time::{Millis, Time};
use std::cmp::Ordering;
use std::collections::HashMap;

#[derive(Clone, Debug)]
struct Waiting {
    wish: Wish,
    since: Time,
    /// Its holder asks again and again while it waits.
    asked_at: Time,
}

/// How long a run waits whose holder does not ask for it any more.
const ASKED_LIFETIME: Millis = Millis(700);

impl Waiting {
    /// Whether it is due before the newcomer `wish`: it can still be on time, and ranks no lower.
    fn goes_before(&self, now: Time, wish: &Wish) -> bool {
        let is_due = !self.is_overdue(now) || !wish.can_be_on_time(now);
        is_due && self.wish.priority <= wish.priority && self.wish.run != wish.run
    }

    /// Whether it cannot be on time any more.
    fn is_overdue(&self, now: Time) -> bool {
        !self.wish.can_be_on_time(now)
    }

    /// Whether others of its rank may still start before it: for the first half of its patience.
    fn may_be_passed(&self, now: Time) -> bool {
        let patience = self.wish.patience_until.since(self.since).0;
        now.since(self.since).0 * 2 < patience
    }
}

/// The waiting runs of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub(super) fn new() -> Self {
        Self::default()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, now: Time, wish: Wish) {
        match self.waiting.iter_mut().find(|waiting| waiting.wish.run == wish.run) {
            Some(waiting) => waiting.asked_at = now,
            None => self.waiting.push(Waiting { wish, since: now, asked_at: now }),
        }
    }

    pub(super) fn remove(&mut self, run: &RunId) {
        self.waiting.retain(|waiting| waiting.wish.run != *run);
    }

    /// Whether something else waits that goes before `wish`.
    pub(super) fn has_before(&self, now: Time, wish: &Wish) -> bool {
        self.waiting.iter().any(|waiting| waiting.goes_before(now, wish))
    }

    /// Tokens of the prompts that go before `wish`.
    pub(super) fn tokens_before(&self, now: Time, wish: &Wish) -> f64 {
        let before = self.waiting.iter().filter(|waiting| waiting.goes_before(now, wish));
        before.map(|waiting| f64::from(waiting.wish.prompt_tokens)).sum()
    }

    /// Tokens of all prompts.
    pub(super) fn tokens(&self) -> u64 {
        self.waiting.iter().map(|waiting| u64::from(waiting.wish.prompt_tokens)).sum()
    }

    /// Takes out what has waited too long; what nobody asks for any more is dropped.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Wish> {
        self.waiting.retain(|waiting| now.since(waiting.asked_at) < ASKED_LIFETIME);
        let out = self.waiting.extract_if(.., |waiting| waiting.wish.patience_until <= now);
        out.map(|waiting| waiting.wish).collect()
    }

    /// The runs in the order in which they are due, each with whether later ones may start before
    /// it: those that can still be on time first, as in a crowd that lasts all would else be late;
    /// then by rank, by what their organisation uses already, and by age.
    pub(super) fn order(
        &self,
        now: Time,
        uses: &HashMap<&OrganisationName, f64>,
    ) -> Vec<(&Wish, bool)> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|waiting| (Urgency::new(now, waiting, uses), waiting))
            .collect();
        order.sort_by(|(a, _), (b, _)| a.order(b));
        let in_order = order.into_iter();
        in_order.map(|(urgency, waiting)| (&waiting.wish, urgency.may_be_passed)).collect()
    }
}

/// What the order of the waiting runs goes by.
#[derive(Clone, Copy, Debug)]
struct Urgency {
    is_overdue: bool,
    rank: u8,
    may_be_passed: bool,
    /// Memory that its organisation uses already, in tokens.
    in_use: f64,
    since: Time,
}

impl Urgency {
    fn new(now: Time, waiting: &Waiting, uses: &HashMap<&OrganisationName, f64>) -> Self {
        Self {
            is_overdue: waiting.is_overdue(now),
            rank: waiting.wish.priority,
            may_be_passed: waiting.may_be_passed(now),
            in_use: uses.get(&waiting.wish.organisation).copied().unwrap_or_default(),
            since: waiting.since,
        }
    }

    fn order(&self, other: &Self) -> Ordering {
        let by_time = self.is_overdue.cmp(&other.is_overdue);
        let by_rank = self.rank.cmp(&other.rank);
        // What others may no longer pass goes first within its rank.
        let by_age = self.may_be_passed.cmp(&other.may_be_passed);
        let by_use = self.in_use.total_cmp(&other.in_use);
        let by_wait = self.since.cmp(&other.since);
        by_time.then(by_rank).then(by_age).then(by_use).then(by_wait)
    }
}
