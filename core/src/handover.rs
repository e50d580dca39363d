//! Which engine writes a run's stream while the run moves between engines, and what to do next.
//!
//! A step that provably had no effect changes nothing: a stream is read as long as its source, the
//! engine that writes it, may write it. It ends early only if its source has stopped and no copy of
//! the run's memory is left to continue from, or its caller is expected to have left.
//!
//! An engine whose answer to an attempt to continue the run was lost may run it. It is told to stop, and
//! until it has replied, no other copy is used; the source is left before both have worked on the run
//! for too long.

mod copying;
mod steps;
mod unanswered;

pub use steps::{
    Action, BodyEnd, CopyOutcome, CutCause, KeptCopy, ReclaimOutcome, ResumeOutcome, ResumePoint,
    Stop,
};
pub use unanswered::SHARED_WORK_LIMIT;

use crate::pool::MoveMethod;
use crate::time::{Millis, Time};
use copying::{Copying, stop_limit};
use std::collections::VecDeque;
use unanswered::{Settled, Unanswered};

/// Time without data after which the source is checked, or left if the run may have stopped.
pub const SILENCE: Millis = Millis(600);

/// Silence that a sound engine may fall into, health checks included. Its run does not continue
/// elsewhere before that: both engines would work on it.
pub const SOUND_SILENCE: Millis = Millis(1_800);

/// Pause after an attempt to continue the run that was not sent; it doubles with each further one.
const RETRY_PAUSE: Millis = Millis(50);
const MAX_RETRY_PAUSE: Millis = Millis(400);

/// Attempts to use the backup while the source still writes.
const BACKUP_ATTEMPTS: u32 = 2;

/// Part of the caller's patience for which the response to a final copy is awaited.
const FINAL_COPY_PATIENCE_DIVISOR: u64 = 2;

/// Shortest gap in a stream after which its caller abandons it.
const MIN_PATIENCE: Millis = Millis(2_000);

/// The gap after which a caller abandons its stream, in objectives and in longest pauses.
const PATIENCE_OBJECTIVES: u64 = 4;
const PATIENCE_PAUSES: u64 = 8;

/// The gap in a stream after which its caller abandons it.
pub fn caller_patience(objective: Millis, max_pause: Option<Millis>) -> Millis {
    let pauses = max_pause.map_or(0, |pause| pause.0 * PATIENCE_PAUSES);
    MIN_PATIENCE.max(Millis(objective.0 * PATIENCE_OBJECTIVES)).max(Millis(pauses))
}

/// The moves of one run.
#[derive(Clone, Debug)]
pub struct Handover<E> {
    source: E,
    /// How the body of the source ended; `None` while it is open.
    end: Option<BodyEnd>,
    stop: Stop,
    copying: Option<Copying<E>>,
    /// Target of the last copy.
    copied_to: Option<E>,
    /// Where the run can continue, in the order of attempts.
    points: Vec<ResumePoint<E>>,
    resuming: Option<ResumePoint<E>>,
    /// Engines that may run the request although their answers were lost: one of them at most does, as all
    /// were to use the same copy.
    unanswered: Vec<Unanswered<E>>,
    /// Whether it has stopped, so that the run continues from the memory that it keeps.
    is_reclaimed: bool,
    /// Attempts left to use the backup although the source still writes.
    backup_attempts: u32,
    retry_at: Time,
    /// Pause after the next attempt that is not sent.
    retry_pause: Millis,
    /// Whether events have arrived. Until then, the run may wait for its start.
    has_events: bool,
    last_data_at: Time,
    is_checking: bool,
    checked_at: Time,
    /// Whether the silent source failed its check.
    is_suspect: bool,
    patience: Millis,
    /// Longest copy after which the run is stopped; `None` if any pause will do.
    stop_limit: Option<Millis>,
    deadline: Time,
    failed_moves: VecDeque<Option<E>>,
    is_over: bool,
}

impl<E: Clone + PartialEq> Handover<E> {
    /// A run that `source` writes and `backup` keeps a copy of. Its caller abandons the stream after
    /// a gap of `patience`, and at `deadline`.
    pub fn new(now: Time, source: E, backup: Option<E>, patience: Millis, deadline: Time) -> Self {
        let backup = backup.map(|engine| ResumePoint { engine, copy: KeptCopy::Backup });
        Self {
            source,
            end: None,
            stop: Stop::Excluded,
            copying: None,
            copied_to: None,
            points: backup.into_iter().collect(),
            resuming: None,
            unanswered: Vec::new(),
            is_reclaimed: false,
            backup_attempts: 0,
            retry_at: now,
            retry_pause: RETRY_PAUSE,
            has_events: false,
            last_data_at: now,
            is_checking: false,
            checked_at: now,
            is_suspect: false,
            patience,
            stop_limit: None,
            deadline,
            failed_moves: VecDeque::new(),
            is_over: false,
        }
    }

    /// Sets the longest pause that the caller allows: the run is stopped for a copy only after one that
    /// took a part of that.
    pub fn with_max_pause(self, max_pause: Option<Millis>) -> Self {
        Self { stop_limit: max_pause.map(stop_limit), ..self }
    }

    /// The engine that writes the stream, or did last.
    pub fn source(&self) -> &E {
        &self.source
    }

    /// Whether the source has stopped the run for a copy.
    pub fn stop(&self) -> Stop {
        self.stop
    }

    /// Whether the body of the source is open.
    pub fn is_reading(&self) -> bool {
        self.end.is_none()
    }

    /// Whether the source was told to stop, so that its body may end early.
    pub fn may_end_early(&self) -> bool {
        self.stop != Stop::Excluded || self.is_final_copy_pending()
    }

    /// The target of the copy in progress, and whether the copy is final.
    pub fn copying(&self) -> Option<(&E, bool)> {
        self.copying.as_ref().map(|copying| (&copying.to, copying.is_final))
    }

    /// The engine that keeps a usable backup.
    pub fn backup(&self) -> Option<&E> {
        self.backup_point().map(|point| &point.engine)
    }

    /// Whether the source may write while the run is continued elsewhere.
    pub fn may_be_written(&self) -> bool {
        self.is_reading() && self.stop != Stop::Certain
    }

    /// Whether an engine may run the request although its answer was lost.
    pub fn is_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Number of places where the run can continue.
    pub fn points_left(&self) -> usize {
        self.points.len()
    }

    /// Whether an order can be handled now; until then it waits.
    pub fn accepts_orders(&self) -> bool {
        !self.is_over
            && self.is_reading()
            && self.stop != Stop::Certain
            && self.copying.is_none()
            && self.resuming.is_none()
            && !self.is_unanswered()
            && !self.is_reclaimed
            && self.backup_attempts == 0
    }

    /// Handles an order to move the run to `to`; `is_from_source` is false for an order to move it
    /// from an engine that it has left.
    pub fn on_order(&mut self, is_from_source: bool, to: E, method: MoveMethod) {
        if !self.accepts_orders() || !is_from_source || to == self.source {
            return self.failed_moves.push_back(None);
        }
        match method {
            MoveMethod::Copy => self.copying = Some(Copying::new(to)),
            MoveMethod::Backup if self.backup_point().is_some() => {
                self.backup_attempts = BACKUP_ATTEMPTS;
            }
            MoveMethod::Backup => self.failed_moves.push_back(None),
        }
    }

    /// Handles data from the source; `has_events` if it completed events.
    pub fn on_data(&mut self, now: Time, has_events: bool) {
        self.last_data_at = now;
        self.has_events |= has_events;
        self.is_suspect = false;
    }

    /// Leaves out a time in which the stream was not read, as its caller did not read.
    pub fn skip(&mut self, pause: Millis) {
        for at in [&mut self.last_data_at, &mut self.checked_at] {
            *at = *at + pause;
        }
        if let Some(copying) = &mut self.copying {
            copying.skip(pause);
        }
    }

    /// Handles the end of the source's body.
    pub fn on_end(&mut self, end: BodyEnd) {
        self.end = Some(end);
    }

    /// Handles the end of the copy in progress.
    pub fn on_copy(&mut self, now: Time, outcome: CopyOutcome) {
        let Some(copying) = self.copying.take() else {
            return;
        };
        let source = self.source.clone();
        match outcome {
            CopyOutcome::Copied { handle } => {
                let copy = KeptCopy::Moved { source: source.clone(), handle };
                self.points.retain(|point| point.copy == KeptCopy::Backup);
                let engine = copying.to.clone();
                self.copied_to = Some(engine.clone());
                self.points.insert(0, ResumePoint { engine, copy: copy.clone() });
                if copying.is_final {
                    self.stop = Stop::Certain;
                    self.points.insert(1, ResumePoint { engine: source, copy });
                } else {
                    self.copying = Some(copying.next(now, self.stop_limit));
                }
            }
            CopyOutcome::NotSent => self.failed_moves.push_back(Some(source)),
            CopyOutcome::Refused => self.failed_moves.push_back(None),
            CopyOutcome::NoRoom { kept: Some(handle) } if copying.is_final => {
                self.stop = Stop::Certain;
                let copy = KeptCopy::Moved { source: source.clone(), handle };
                self.points.insert(0, ResumePoint { engine: source, copy });
            }
            CopyOutcome::NoRoom { .. } | CopyOutcome::Unknown if copying.is_final => {
                self.doubt(copying.to);
            }
            CopyOutcome::NoRoom { .. } | CopyOutcome::Unknown => {
                self.failed_moves.push_back(Some(copying.to));
            }
        }
    }

    /// Handles the end of the attempt to continue the run.
    pub fn on_resume(&mut self, now: Time, outcome: ResumeOutcome) {
        let Some(point) = self.resuming.take() else {
            return;
        };
        let attempts_left = self.backup_attempts.saturating_sub(1);
        let was_ordered = std::mem::take(&mut self.backup_attempts) > 0;
        match outcome {
            ResumeOutcome::Started => return self.restart(now, point),
            ResumeOutcome::NotSent => {
                self.retry_at = now + self.retry_pause;
                self.retry_pause = MAX_RETRY_PAUSE.min(self.retry_pause + self.retry_pause);
                // The next attempt is at another point, if there is one.
                if let Some(index) = self.points.iter().position(|other| *other == point) {
                    let point = self.points.remove(index);
                    self.points.push(point);
                }
                self.backup_attempts = attempts_left;
            }
            // The other engine of a copy refuses it if it has been used.
            ResumeOutcome::Refused => {
                self.points.retain(|other| *other != point);
                self.is_reclaimed = false;
            }
            ResumeOutcome::MayHaveRun { sent_at } => {
                self.points.retain(|other| *other != point);
                self.is_reclaimed = false;
                self.unanswered.push(Unanswered::new(now, sent_at, point, was_ordered));
                return;
            }
        }
        if was_ordered && self.backup_attempts == 0 {
            let refused_by = (outcome == ResumeOutcome::NotSent).then_some(point.engine);
            self.failed_moves.push_back(refused_by);
        }
    }

    /// Handles the reply to [`Action::Reclaim`].
    pub fn on_reclaim(&mut self, now: Time, outcome: ReclaimOutcome) {
        let Some(index) = self.unanswered.iter().position(Unanswered::is_asked) else {
            return;
        };
        match self.unanswered[index].on_reply(now, outcome) {
            Settled::Open => {}
            Settled::NotRunning => {
                if self.unanswered.remove(index).was_ordered {
                    self.failed_moves.push_back(None);
                }
            }
            Settled::Stopped { engine, handle } => {
                self.unanswered.clear();
                self.is_reclaimed = true;
                let copy = KeptCopy::Moved { source: engine.clone(), handle };
                self.points.insert(0, ResumePoint { engine, copy });
            }
        }
    }

    /// Handles the result of a check of the source.
    pub fn on_check(&mut self, now: Time, is_alive: bool) {
        self.is_checking = false;
        // Data that arrived since the check began shows that the source is alive.
        let has_been_silent = self.last_data_at <= self.checked_at;
        let is_long = now.since(self.last_data_at) >= SOUND_SILENCE;
        self.is_suspect = !is_alive && has_been_silent && is_long;
        self.checked_at = now;
    }

    /// The next thing to do; call it until it returns `None`, after each input and at
    /// [`Handover::next_wakeup`].
    pub fn next_action(&mut self, now: Time) -> Option<Action<E>> {
        if self.is_over {
            return None;
        }
        self.expire_final_copy(now);
        if let Some(refused_by) = self.failed_moves.pop_front() {
            return Some(Action::ReportFailedMove { refused_by });
        }
        if self.is_complete() {
            self.is_over = true;
            return Some(Action::Complete);
        }
        if let Some(cause) = self.cut_cause(now) {
            self.is_over = true;
            return Some(Action::Cut(cause));
        }
        if self.leaves_source(now) {
            self.end = Some(BodyEnd::Broken);
            return Some(Action::LeaveSource);
        }
        if let Some(point) = self.next_point(now) {
            self.resuming = Some(point.clone());
            return Some(Action::Resume(point));
        }
        if let Some(action) = self.next_reclaim(now) {
            return Some(action);
        }
        if let Some(copying) = self.copying.as_mut().filter(|copying| copying.started_at.is_none())
        {
            copying.start(now);
            let (to, is_final) = (copying.to.clone(), copying.is_final);
            return Some(Action::StartCopy { to, is_final });
        }
        if self.is_check_due(now) {
            (self.is_checking, self.checked_at) = (true, now);
            return Some(Action::CheckSource);
        }
        None
    }

    /// When [`Handover::next_action`] has to be called again unless there is an input before.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let times = [
            self.retry_at,
            self.last_data_at + SILENCE,
            self.checked_at + SILENCE,
            self.last_data_at + self.patience,
        ];
        let times = times.into_iter().chain(self.final_copy_expires_at());
        let times = times.chain(self.unanswered.iter().flat_map(Unanswered::wakeups));
        times.filter(|at| *at > now).fold(self.deadline, Time::min)
    }

    fn backup_point(&self) -> Option<&ResumePoint<E>> {
        self.points.iter().find(|point| point.copy == KeptCopy::Backup)
    }

    fn is_final_copy_pending(&self) -> bool {
        self.copying.as_ref().is_some_and(|copying| copying.is_final)
    }

    /// When the final copy in progress is given up.
    fn final_copy_expires_at(&self) -> Option<Time> {
        let copying = self.copying.as_ref().filter(|copying| copying.is_final)?;
        let limit = Millis(self.patience.0 / FINAL_COPY_PATIENCE_DIVISOR);
        Some(copying.started_at?.max(self.last_data_at) + limit)
    }

    fn expire_final_copy(&mut self, now: Time) {
        if self.final_copy_expires_at().is_some_and(|at| now >= at)
            && let Some(copying) = self.copying.take()
        {
            self.doubt(copying.to);
        }
    }

    /// Notes that a final copy to `to` may have stopped the run. What was copied before can then be
    /// used at the source too.
    fn doubt(&mut self, to: E) {
        self.stop = self.stop.max(Stop::InDoubt);
        let at_target = |point: &&ResumePoint<E>| {
            point.engine == to && matches!(point.copy, KeptCopy::Moved { .. })
        };
        if let Some(point) = self.points.iter().find(at_target) {
            let point = ResumePoint { engine: self.source.clone(), copy: point.copy.clone() };
            self.points.push(point);
        }
        self.failed_moves.push_back(Some(to));
    }

    /// Notes that the run continues at `point`.
    fn restart(&mut self, now: Time, point: ResumePoint<E>) {
        self.failed_moves.clear();
        if point.engine == self.source {
            // The target of the copy did not continue it.
            self.failed_moves.push_back(self.copied_to.take());
        }
        let source = point.engine;
        self.points.retain(|point| point.copy == KeptCopy::Backup && point.engine != source);
        self.source = source;
        (self.unanswered, self.is_reclaimed) = (Vec::new(), false);
        (self.end, self.stop, self.copying) = (None, Stop::Excluded, None);
        (self.is_suspect, self.is_checking) = (false, false);
        self.retry_pause = RETRY_PAUSE;
        (self.last_data_at, self.checked_at) = (now, now);
    }

    fn is_complete(&self) -> bool {
        match self.end {
            Some(BodyEnd::Whole) => true,
            Some(BodyEnd::Unframed) => !self.may_end_early(),
            Some(BodyEnd::Broken) | None => false,
        }
    }

    fn cut_cause(&self, now: Time) -> Option<CutCause> {
        if now >= self.deadline {
            return Some(CutCause::Timeout);
        }
        let has_stopped = self.end.is_some() || self.stop == Stop::Certain;
        if !has_stopped || self.resuming.is_some() || self.is_final_copy_pending() {
            return None;
        }
        let is_exhausted = self.end.is_some() && self.points.is_empty() && !self.is_unanswered();
        let is_abandoned = now >= self.last_data_at + self.patience;
        let cause = match self.stop {
            _ if self.is_unanswered() => CutCause::AnswerLost,
            Stop::Excluded => CutCause::EngineLost,
            Stop::InDoubt | Stop::Certain => CutCause::MoveFailed,
        };
        (is_exhausted || is_abandoned).then_some(cause)
    }

    /// Whether the run has to continue elsewhere.
    fn needs_resume(&self, now: Time) -> bool {
        if self.is_final_copy_pending() {
            return false;
        }
        match self.stop {
            _ if self.end.is_some() || self.is_suspect || self.is_reclaimed => true,
            Stop::Certain => true,
            Stop::InDoubt => now >= self.last_data_at + SILENCE,
            Stop::Excluded => false,
        }
    }

    fn next_point(&mut self, now: Time) -> Option<ResumePoint<E>> {
        if self.resuming.is_some() || now < self.retry_at {
            return None;
        }
        if let Some(unanswered) = self.unanswered.first() {
            // Only one engine can use a copy.
            let has_same_copy = |point: &&ResumePoint<E>| point.copy == unanswered.point.copy;
            let has_stopped = self.stop == Stop::Certain;
            return self.points.iter().find(has_same_copy).filter(|_| has_stopped).cloned();
        }
        if self.needs_resume(now) {
            let point = self.points.first().cloned()?;
            if self.copying.take().is_some() {
                self.failed_moves.push_back(None);
            }
            return Some(point);
        }
        self.backup_point().filter(|_| self.backup_attempts > 0).cloned()
    }

    /// Whether the source and an engine whose answer was lost may have worked on the run for too long.
    fn leaves_source(&self, now: Time) -> bool {
        self.may_be_written() && self.unanswered.iter().any(|other| now >= other.leave_at())
    }

    fn next_reclaim(&mut self, now: Time) -> Option<Action<E>> {
        if self.resuming.is_some() || self.unanswered.iter().any(Unanswered::is_asked) {
            return None;
        }
        let index = self.unanswered.iter().position(|other| now >= other.ask_at())?;
        let from = self.unanswered[index].point.engine.clone();
        // Its memory has to be copied to some other engine.
        let others = [Some(&self.source), self.copied_to.as_ref(), self.backup()];
        let to = others.into_iter().flatten().find(|engine| **engine != from)?.clone();
        self.unanswered[index].ask();
        Some(Action::Reclaim { from, to })
    }

    fn is_check_due(&self, now: Time) -> bool {
        self.is_reading()
            && self.has_events
            && self.stop == Stop::Excluded
            && !self.is_final_copy_pending()
            && !self.points.is_empty()
            && self.resuming.is_none()
            && !self.is_unanswered()
            && !self.is_suspect
            && !self.is_checking
            && now >= self.last_data_at.max(self.checked_at) + SILENCE
    }
}
