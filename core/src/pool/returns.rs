//! Promises to refused callers: when to come back, and the place that they have then.
//!
//! A caller that returns at its time goes before newcomers of its rank. One that returns early waits for
//! its time in the queue, or is refused with the time that is left, so that it neither gains nor loses. Promises are soft state of
//! a pool's owner: if it is lost, callers come back as newcomers.

use super::PlacementRequest;
use crate::names::{OrganisationName, RunId};
use crate::quarantine::Fingerprint;
use crate::time::{Millis, Time};
use std::collections::HashMap;

/// Promises kept; further callers are refused with an estimate only.
const MAX_PROMISES: usize = 2_048;

/// Promises kept for one organisation, so that none fills the table.
const MAX_PROMISES_PER_ORGANISATION: usize = 256;

/// How much before its time a caller may return: callers and hosts round times.
const EARLY_TOLERANCE: Millis = Millis(50);

/// Time after the promised one for which a caller may return: some attempts to connect.
const RETURN_WINDOW: Millis = Millis(1_500);

/// Time after which a promise to a caller that has returned is dropped, well above the longest wait in
/// a queue.
const MAX_AGE: Millis = Millis(60_000);

/// Part of a caller's remaining time for which it may be told to stay away; it needs the rest to be
/// served.
const MAX_ABSENCE: f64 = 0.3;

/// Time left to a caller as a multiple of its patience, which is at most half of it.
const CALLER_TIME_TO_PATIENCE: f64 = 2.0;

const MIN_RETRY_AFTER: Millis = Millis(250);

#[derive(Clone, Debug)]
struct Promise {
    organisation: OrganisationName,
    first_refused_at: Time,
    /// Objective of the caller's first attempt.
    first_event_deadline: Time,
    due: Time,
    /// Whether room is kept for it; otherwise it keeps only its place among those who are late.
    has_room: bool,
    tokens: f64,
    /// Attempt with which the caller has returned.
    returned: Option<RunId>,
}

/// A caller that was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReturnedCaller {
    pub(super) first_refused_at: Time,
    /// Whether room was promised to it.
    pub(super) has_room: bool,
    /// The time that was promised to it.
    pub(super) due: Time,
}

/// The caller of a request, as far as promises identify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Return {
    /// It was not told to come back.
    Newcomer,
    /// It was told to return this much later, and its patience is shorter.
    Early(Millis),
    /// It returns at its time, or waits for it.
    Returned { caller: ReturnedCaller, first_event_deadline: Time },
}

/// What became of promises since the last query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnFigures {
    /// Promises given: callers for whom room is expected at their time.
    pub given: usize,
    /// Refusals without a promise: no room is expected, the table is full or there is no fingerprint.
    pub not_given: usize,
    /// Callers that returned at their time and got an engine.
    pub kept: usize,
    /// Callers that returned at their time and were refused again.
    pub broken: usize,
    /// Callers that did not return.
    pub missed: usize,
    /// Requests of callers that returned before their time.
    pub early: usize,
}

#[derive(Clone, Debug)]
pub(super) struct Promises {
    by_fingerprint: HashMap<Fingerprint, Promise>,
    by_organisation: HashMap<OrganisationName, usize>,
    /// When the next caller who is refused finds room on its return.
    room_at: Time,
    figures: ReturnFigures,
}

impl Promises {
    pub(super) fn new() -> Self {
        Self {
            by_fingerprint: HashMap::new(),
            by_organisation: HashMap::new(),
            room_at: Time(0),
            figures: ReturnFigures::default(),
        }
    }

    pub(super) fn take_figures(&mut self) -> ReturnFigures {
        std::mem::take(&mut self.figures)
    }

    /// The caller of `request`.
    pub(super) fn check(&mut self, now: Time, request: &PlacementRequest) -> Return {
        let known = request.fingerprint.and_then(|key| self.by_fingerprint.get_mut(&key));
        let Some(promise) = known else {
            return Return::Newcomer;
        };
        match &promise.returned {
            Some(run) if *run == request.run => {}
            // An equal request, of which one has the place.
            Some(_) => return Return::Newcomer,
            None if now + EARLY_TOLERANCE < promise.due => {
                self.figures.early += 1;
                if promise.due > request.patience_until {
                    return Return::Early(promise.due.since(now));
                }
                promise.returned = Some(request.run.clone());
            }
            None => promise.returned = Some(request.run.clone()),
        }
        let Promise { first_refused_at, first_event_deadline, has_room, due, .. } = *promise;
        let caller = ReturnedCaller { first_refused_at, has_room, due };
        Return::Returned { caller, first_event_deadline }
    }

    /// Refuses a request that has waited since `queued_at`, while callers who return find room at
    /// `rate` tokens a millisecond. Returns when its caller may come back.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        queued_at: Time,
        request: &PlacementRequest,
        rate: f64,
    ) -> Millis {
        let patience = request.patience_until.since(queued_at).0 as f64;
        let time_left = CALLER_TIME_TO_PATIENCE * patience - now.since(queued_at).0 as f64;
        let longest = Millis((MAX_ABSENCE * time_left).max(0.0) as u64).max(MIN_RETRY_AFTER);
        let room_at = self.room_at.max(now + MIN_RETRY_AFTER);
        let absence = room_at.since(now).min(longest);
        let Some(key) = request.fingerprint else {
            self.figures.not_given += 1;
            return absence;
        };
        let tokens = f64::from(request.prompt_tokens);
        let has_room = room_at <= now + longest && rate > 0.0;
        let due = now + absence;
        if let Some(promise) = self.by_fingerprint.get_mut(&key) {
            match promise.returned.take_if(|run| *run == request.run) {
                Some(_) => self.figures.broken += usize::from(promise.has_room),
                // The place of an equal request stays as it is.
                None => return promise.due.since(now).max(MIN_RETRY_AFTER),
            }
            promise.due = due;
            promise.has_room = has_room;
            self.note_refusal(room_at, has_room, tokens / rate);
            return absence;
        }
        let of_organisation = self.by_organisation.entry(request.organisation.clone()).or_default();
        if self.by_fingerprint.len() >= MAX_PROMISES
            || *of_organisation >= MAX_PROMISES_PER_ORGANISATION
        {
            self.figures.not_given += 1;
            return absence;
        }
        *of_organisation += 1;
        self.note_refusal(room_at, has_room, tokens / rate);
        let promise = Promise {
            organisation: request.organisation.clone(),
            first_refused_at: queued_at,
            first_event_deadline: request.first_event_deadline,
            due,
            has_room,
            tokens,
            returned: None,
        };
        self.by_fingerprint.insert(key, promise);
        absence
    }

    fn note_refusal(&mut self, room_at: Time, has_room: bool, filled_ms: f64) {
        if !has_room {
            self.figures.not_given += 1;
            return;
        }
        self.figures.given += 1;
        self.room_at = room_at + Millis(filled_ms as u64);
    }

    /// Removes the promise to the caller of a request that starts.
    pub(super) fn start(&mut self, request: &PlacementRequest) {
        let Some(key) = request.fingerprint else {
            return;
        };
        let holds_place =
            |promise: &Promise| promise.returned.as_ref().is_none_or(|run| *run == request.run);
        if let Some(promise) = self.by_fingerprint.get(&key).filter(|known| holds_place(known)) {
            let is_kept = promise.returned.is_some() && promise.has_room;
            self.figures.kept += usize::from(is_kept);
            self.remove(key);
        }
    }

    fn remove(&mut self, key: Fingerprint) {
        let Some(promise) = self.by_fingerprint.remove(&key) else {
            return;
        };
        if let Some(count) = self.by_organisation.get_mut(&promise.organisation) {
            *count -= 1;
            if *count == 0 {
                self.by_organisation.remove(&promise.organisation);
            }
        }
    }

    /// Drops promises to callers that do not come back.
    pub(super) fn expire(&mut self, now: Time) {
        let is_over = |promise: &Promise| match promise.returned {
            Some(_) => now.since(promise.due) > MAX_AGE,
            None => now.since(promise.due) > RETURN_WINDOW,
        };
        let over = self.by_fingerprint.iter().filter(|(_, promise)| is_over(promise));
        let over: Vec<_> = over
            .map(|(key, promise)| (*key, promise.returned.is_none() && promise.has_room))
            .collect();
        for (key, is_missed) in over {
            self.figures.missed += usize::from(is_missed);
            self.remove(key);
        }
    }

    /// Room that is kept for all callers who have not returned, in tokens.
    pub(super) fn tokens(&self) -> f64 {
        let is_awaited = |promise: &&Promise| promise.has_room && promise.returned.is_none();
        self.by_fingerprint.values().filter(is_awaited).map(|promise| promise.tokens).sum()
    }
}
