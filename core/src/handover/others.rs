//! Engines that may work on the run beside the one whose stream is read.
//!
//! A closed connection does not show that an engine has stopped, and neither does a lost answer to an
//! attempt to continue the run. Telling the engine to stop settles it: a run that it had is stopped and
//! its memory kept.

use super::SOUND_SILENCE;
use super::steps::{KeptCopy, ReclaimOutcome, ResumePoint};
use crate::time::{Millis, Time};

/// Time for which the source and another engine may both work on the run before the source is left. They
/// may for 400 ms; the rest is for the close and the order to stop to arrive.
pub const SHARED_WORK_LIMIT: Millis = Millis(300);

/// Time after an attempt was sent in which its engine may begin the run; until then, that it does not have
/// the run shows nothing. Engines begin within 40 ms.
const START_LIMIT: Millis = Millis(150);

/// Time after its connection was closed in which an engine that drops such requests has done so. Told to
/// stop before, it would copy memory that is not needed.
const DROP_TIME: Millis = Millis(20);

/// Pause before the engine is asked again; it doubles each time.
const ASK_PAUSE: Millis = Millis(20);
const MAX_ASK_PAUSE: Millis = Millis(400);

/// An attempt to continue the run whose answer was lost.
#[derive(Clone, Debug)]
pub(super) struct LostAttempt<E> {
    pub(super) copy: KeptCopy<E>,
    /// Whether the attempt was ordered.
    pub(super) was_ordered: bool,
}

/// An engine that may work on the run.
#[derive(Clone, Debug)]
pub(super) struct OtherEngine<E> {
    pub(super) engine: E,
    /// `None` for a former source.
    pub(super) attempt: Option<LostAttempt<E>>,
    /// Engine that its memory was last to be copied to.
    copied_to: Option<E>,
    /// Since when it and the source may both work on the run.
    shared_since: Time,
    /// Until then, that it does not have the run shows nothing.
    begins_until: Time,
    silent_since: Time,
    is_asked: bool,
    /// Whether it was asked at least once.
    was_asked: bool,
    ask_at: Time,
    pause: Millis,
    /// Whether it could not be reached when it was last asked.
    is_unreachable: bool,
}

/// What a reply shows about the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Settled<E> {
    /// It may still work on the run.
    Open,
    /// It does not work on the run.
    NotRunning,
    /// It has stopped the run; no handle of its memory is known.
    Stopping,
    /// It has stopped the run and keeps its memory under `handle`.
    Stopped {
        handle: String,
        /// Engine that has a copy of the memory.
        copied_to: Option<E>,
    },
}

impl<E: Clone> OtherEngine<E> {
    /// An engine whose answer to an attempt at `point` was lost.
    pub(super) fn from_attempt(
        now: Time,
        sent_at: Time,
        point: ResumePoint<E>,
        was_ordered: bool,
    ) -> Self {
        let attempt = LostAttempt { copy: point.copy, was_ordered };
        Self {
            attempt: Some(attempt),
            shared_since: sent_at,
            begins_until: sent_at + START_LIMIT,
            ..Self::from_source(now, point.engine, sent_at)
        }
    }

    /// A source whose stream has ended or stalled, or that is being left.
    pub(super) fn from_source(now: Time, engine: E, last_data_at: Time) -> Self {
        Self {
            engine,
            attempt: None,
            copied_to: None,
            shared_since: now,
            begins_until: now,
            silent_since: last_data_at,
            is_asked: false,
            was_asked: false,
            ask_at: now,
            pause: ASK_PAUSE,
            is_unreachable: false,
        }
    }

    /// Leaves time for the engine to drop the request by itself.
    pub(super) fn with_drop_time(self) -> Self {
        Self { ask_at: self.ask_at + DROP_TIME, ..self }
    }

    /// Whether nothing more can be learned from the engine for the moment: this host does not reach it, or
    /// it has been silent for longer than a sound engine is.
    pub(super) fn is_excused(&self, now: Time) -> bool {
        self.is_unreachable || now >= self.silent_since + SOUND_SILENCE
    }

    pub(super) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether it is at an ordered attempt, of which nothing was reported yet.
    pub(super) fn take_order(&mut self) -> bool {
        self.attempt.as_mut().is_some_and(|attempt| std::mem::take(&mut attempt.was_ordered))
    }

    /// When the source has to be left.
    pub(super) fn leave_at(&self) -> Time {
        self.shared_since + SHARED_WORK_LIMIT
    }

    /// Notes that another engine begins to write the stream.
    pub(super) fn share_from(&mut self, now: Time) {
        self.shared_since = self.shared_since.max(now);
    }

    /// Notes data from the engine.
    pub(super) fn note_data(&mut self, now: Time) {
        self.silent_since = now;
    }

    /// Leaves out a time in which nothing was decided.
    pub(super) fn skip(&mut self, pause: Millis) {
        self.silent_since = self.silent_since + pause;
    }

    /// Whether it has to be asked now.
    pub(super) fn is_due(&self, now: Time) -> bool {
        !self.is_asked && now >= self.ask_at
    }

    pub(super) fn wakeups(&self) -> [Time; 3] {
        [self.ask_at, self.leave_at(), self.silent_since + SOUND_SILENCE]
    }

    /// Whether it has been asked and has not replied.
    pub(super) fn is_asked(&self) -> bool {
        self.is_asked
    }

    /// Notes that it is asked now, its memory to be copied to `to`; returns whether it was asked before.
    pub(super) fn ask(&mut self, to: E) -> bool {
        (self.is_asked, self.copied_to) = (true, Some(to));
        std::mem::replace(&mut self.was_asked, true)
    }

    pub(super) fn on_reply(&mut self, now: Time, outcome: ReclaimOutcome) -> Settled<E> {
        self.is_asked = false;
        self.is_unreachable = outcome == ReclaimOutcome::Unreachable;
        match outcome {
            ReclaimOutcome::Stopped { handle, is_copied } => {
                let copied_to = self.copied_to.take().filter(|_| is_copied);
                return Settled::Stopped { handle, copied_to };
            }
            ReclaimOutcome::Stopping => return Settled::Stopping,
            ReclaimOutcome::Ended => return Settled::NotRunning,
            ReclaimOutcome::NoRun if now >= self.begins_until => return Settled::NotRunning,
            ReclaimOutcome::NoRun => {
                self.ask_at = self.begins_until;
                return Settled::Open;
            }
            ReclaimOutcome::Failed => self.silent_since = now,
            ReclaimOutcome::Unreachable | ReclaimOutcome::Unknown => {}
        }
        self.ask_at = now + self.pause;
        self.pause = MAX_ASK_PAUSE.min(self.pause + self.pause);
        Settled::Open
    }
}
