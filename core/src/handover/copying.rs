//! Copies of a run's memory to the target of a move.
//!
//! The run is written on during the first one, and stopped for the final one. A final copy waits behind
//! whatever has come to the link of either engine during the copy before it, so what is new is copied
//! again until a copy has been short.

use crate::time::{Millis, Time};

/// Part of the longest pause that the caller allows which the copy before the final one may take. The
/// rest is for the final one, the attempt to continue and the first step at the target.
const STOP_PAUSE_DIVISOR: u64 = 3;

/// Limits on the copies of a running run, and on their total time, before the final one is made although
/// others use the link: a leaving engine stops soon.
const MAX_ROUNDS: u32 = 4;
const MAX_ROUNDS_TIME: Millis = Millis(1_000);

/// Longest copy after which a run whose caller allows `max_pause` is stopped.
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
}

impl<E> Copying<E> {
    /// The first copy to `to`.
    pub(super) fn new(to: E) -> Self {
        Self { to, is_final: false, started_at: None, rounds: 0, first_started_at: None }
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

    /// The copy of what is new since this one, which ends now. It is final if this one took at most
    /// `stop_limit`: little is new, and only what has come to the links since can delay it.
    pub(super) fn next(self, now: Time, stop_limit: Option<Millis>) -> Self {
        let since = |at: Option<Time>| at.map_or(Millis(0), |at| now.since(at));
        let rounds = self.rounds + 1;
        let took = since(self.started_at);
        let is_short = stop_limit.is_none_or(|limit| took <= limit);
        let is_exhausted = rounds >= MAX_ROUNDS || since(self.first_started_at) >= MAX_ROUNDS_TIME;
        Self { is_final: is_short || is_exhausted, started_at: None, rounds, ..self }
    }
}
