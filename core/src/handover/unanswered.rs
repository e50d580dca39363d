//! Attempts to continue a run whose answer was lost.
//!
//! The engine may run the request, for nobody, or may begin to. Telling it to stop settles which: a run
//! that it had is stopped and its memory kept.

use super::steps::{ReclaimOutcome, ResumePoint};
use crate::time::{Millis, Time};

/// Time after an attempt was sent for which its engine and the source may both work on the run. They may
/// for 400 ms; the rest is for the close to arrive.
pub const SHARED_WORK_LIMIT: Millis = Millis(300);

/// Time after an attempt was sent in which its engine may begin the run; until then, that it does not have
/// the run shows nothing. Engines begin within 40 ms.
const START_LIMIT: Millis = Millis(150);

/// Pause before the engine is asked again; it doubles each time.
const ASK_PAUSE: Millis = Millis(50);
const MAX_ASK_PAUSE: Millis = Millis(400);

/// An engine that may run the request.
#[derive(Clone, Debug)]
pub(super) struct Unanswered<E> {
    /// Where the run was to continue.
    pub(super) point: ResumePoint<E>,
    /// Whether the attempt was ordered.
    pub(super) was_ordered: bool,
    sent_at: Time,
    is_asked: bool,
    ask_at: Time,
    pause: Millis,
}

/// What is known of the engine after its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Settled<E> {
    /// It may still run the request.
    Open,
    /// It does not run the request.
    NotRunning,
    /// It has stopped the run and keeps its memory under `handle`.
    Stopped { engine: E, handle: String },
}

impl<E: Clone> Unanswered<E> {
    pub(super) fn new(now: Time, sent_at: Time, point: ResumePoint<E>, was_ordered: bool) -> Self {
        Self { point, was_ordered, sent_at, is_asked: false, ask_at: now, pause: ASK_PAUSE }
    }

    /// When the source has to be left.
    pub(super) fn leave_at(&self) -> Time {
        self.sent_at + SHARED_WORK_LIMIT
    }

    /// When the engine is asked next.
    pub(super) fn ask_at(&self) -> Time {
        self.ask_at
    }

    pub(super) fn wakeups(&self) -> [Time; 2] {
        [self.ask_at, self.leave_at()]
    }

    /// Whether it has been asked and has not replied.
    pub(super) fn is_asked(&self) -> bool {
        self.is_asked
    }

    /// Notes that it is asked now.
    pub(super) fn ask(&mut self) {
        self.is_asked = true;
    }

    pub(super) fn on_reply(&mut self, now: Time, outcome: ReclaimOutcome) -> Settled<E> {
        self.is_asked = false;
        let can_begin = now < self.sent_at + START_LIMIT;
        match outcome {
            ReclaimOutcome::Stopped { handle } => {
                Settled::Stopped { engine: self.point.engine.clone(), handle }
            }
            ReclaimOutcome::Ended => Settled::NotRunning,
            ReclaimOutcome::NoRun if !can_begin => Settled::NotRunning,
            ReclaimOutcome::NoRun => {
                self.ask_at = self.sent_at + START_LIMIT;
                Settled::Open
            }
            ReclaimOutcome::Unknown => {
                self.ask_at = now + self.pause;
                self.pause = MAX_ASK_PAUSE.min(self.pause + self.pause);
                Settled::Open
            }
        }
    }
}
