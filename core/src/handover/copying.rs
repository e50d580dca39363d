//! Copies of a run's memory to the target of a move.
//!
//! The run goes on while the first one is made, and stops for the final one. A final copy waits behind
//! those that already use the link of either engine, so what is new is copied again before, until a
//! copy shows that the link is free.

use crate::time::{Millis, Time};

/// Part of the longest pause that the caller allows which a final copy may wait for other copies. The
/// rest is for the attempt to continue and the first step at the target.
const STOP_PAUSE_DIVISOR: u64 = 3;

/// Copies made while the run goes on, and the time for all of them, before a final one is made even
/// though others use the link: a leaving engine stops soon.
const MAX_ROUNDS: u32 = 4;
const MAX_ROUNDS_TIME: Millis = Millis(1_000);

/// Time that a final copy may wait for other copies of a run whose caller allows `max_pause`.
pub(super) fn stop_limit(max_pause: Millis) -> Millis {
    Millis(max_pause.0 / STOP_PAUSE_DIVISOR)
}

/// A copy that is due or in progress.
#[derive(Clone, Debug)]
pub(super) struct Copying<E> {
    pub(super) to: E,
    pub(super) is_final: bool,
    pub(super) started_at: Option<Time>,
    /// Copies to the target before this one.
    rounds: u32,
    /// When the first of them started.
    first_started_at: Option<Time>,
    /// Time that this copy takes over a free link.
    expected: Millis,
}

impl<E> Copying<E> {
    /// The first copy to `to`.
    pub(super) fn new(to: E, expected: Millis) -> Self {
        Self { to, is_final: false, started_at: None, rounds: 0, first_started_at: None, expected }
    }

    pub(super) fn start(&mut self, now: Time) {
        self.started_at = Some(now);
        self.first_started_at.get_or_insert(now);
    }

    /// Leaves out a time in which nothing was decided.
    pub(super) fn skip(&mut self, pause: Millis) {
        for at in [&mut self.started_at, &mut self.first_started_at].into_iter().flatten() {
            *at = *at + pause;
        }
    }

    /// The copy of what is new since this one, which ends now. It is final unless this one had to wait
    /// for longer than `stop_limit`.
    pub(super) fn next(self, now: Time, stop_limit: Option<Millis>) -> Self {
        let since = |at: Option<Time>| at.map_or(Millis(0), |at| now.since(at));
        let rounds = self.rounds + 1;
        let took = since(self.started_at);
        let is_link_free = stop_limit.is_none_or(|limit| took <= self.expected + limit);
        let is_exhausted = rounds >= MAX_ROUNDS || since(self.first_started_at) >= MAX_ROUNDS_TIME;
        Self {
            is_final: is_link_free || is_exhausted,
            started_at: None,
            rounds,
            expected: Millis(0),
            ..self
        }
    }
}
