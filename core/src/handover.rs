//! Which engine writes a run's stream while the run moves between engines, and what to do next.
//!
//! A step that provably had no effect changes nothing: a stream is read as long as its source, the
//! engine that writes it, may write it. It ends early only if its source has stopped and no copy of
//! the run's memory is left to continue from, or its caller is expected to have left.
//!
//! Other engines may work on the run: a source whose stream broke off or was left, and an engine whose
//! answer to an attempt to continue the run was lost. Each is told to stop, and until it has replied, can't
//! be reached or has been silent for too long, the run does not continue elsewhere. An ordered move to a
//! backup starts there first; the new source is left if the former one does not stop in time.

mod copying;
mod others;
mod steps;

pub use others::SHARED_WORK_LIMIT;
pub use steps::{
    Action, BodyEnd, CopyOutcome, CutCause, KeptCopy, ReclaimOutcome, ResumeOutcome, ResumePoint,
    Stop,
};

use crate::pool::MoveMethod;
use crate::time::{Millis, Time};
use copying::{Copying, stop_limit};
use others::{OtherEngine, Settled};
use std::collections::VecDeque;

/// Time without data after which the source is checked.
pub const SILENCE: Millis = Millis(600);

/// Time without data after which a source that may have stopped is told to stop once more; longer than
/// most pauses of a run in progress.
pub const DOUBT_SILENCE: Millis = Millis(150);

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
    /// Some other engine, to which memory of the run may be copied if no better one is known.
    last_resort: Option<E>,
    /// How the body of the source ended; `None` while it is open.
    end: Option<BodyEnd>,
    stop: Stop,
    copying: Option<Copying<E>>,
    /// Target of the last copy.
    copied_to: Option<E>,
    /// Where the run can continue, in the order of attempts.
    points: Vec<ResumePoint<E>>,
    resuming: Option<ResumePoint<E>>,
    /// Engines that may work on the run and have to stop; the source, too, if nothing shows whether it has.
    others: Vec<OtherEngine<E>>,
    /// Whether the source, which was not stopped for a move, does not work on the run any longer.
    has_source_stopped: bool,
    /// Whether the run continues from the memory of an engine whose answer was lost.
    is_reclaimed: bool,
    /// Whether the attempt there was ordered.
    was_reclaim_ordered: bool,
    /// Engines that were told to stop, need not, and have not replied.
    replies_due: Vec<E>,
    /// Copies that are not needed.
    dropped_copies: VecDeque<(E, String)>,
    is_checking_end: bool,
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
        let last_resort = backup.clone();
        let backup = backup.map(|engine| ResumePoint { engine, copy: KeptCopy::Backup });
        Self {
            source,
            last_resort,
            end: None,
            stop: Stop::Excluded,
            copying: None,
            copied_to: None,
            points: backup.into_iter().collect(),
            resuming: None,
            others: Vec::new(),
            has_source_stopped: false,
            is_reclaimed: false,
            was_reclaim_ordered: false,
            replies_due: Vec::new(),
            dropped_copies: VecDeque::new(),
            is_checking_end: false,
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
        self.is_reading() && self.stop != Stop::Certain && !self.has_source_stopped
    }

    /// Engines that may work on the run and have not been found to have stopped.
    pub fn others(&self) -> impl Iterator<Item = &E> {
        self.others.iter().map(|other| &other.engine)
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
            && self.others.iter().all(OtherEngine::is_unreachable)
            && !self.has_source_stopped
            && !self.is_reclaimed
            && self.backup_attempts == 0
    }

    /// Handles an order to move the run to `to`; `is_from_source` is false for an order to move it
    /// from an engine that it has left.
    pub fn on_order(&mut self, is_from_source: bool, to: E, method: MoveMethod) {
        if !self.accepts_orders() || !is_from_source || to == self.source {
            return self.failed_moves.push_back(None);
        }
        self.last_resort = Some(to.clone());
        match method {
            MoveMethod::Copy => self.copying = Some(Copying::new(to)),
            MoveMethod::Backup if self.backup_point().is_some_and(|point| self.is_free(point)) => {
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
        let source = &self.source;
        // A source that writes is not told to stop again.
        let is_source = |other: &OtherEngine<E>| other.attempt.is_none() && other.engine == *source;
        self.others.retain(|other| !is_source(other) || other.is_asked());
        self.others
            .iter_mut()
            .filter(|other| other.engine == *source)
            .for_each(|o| o.note_data(now));
    }

    /// Leaves out a time in which the stream was not read, as its caller did not read.
    pub fn skip(&mut self, pause: Millis) {
        for at in [&mut self.last_data_at, &mut self.checked_at] {
            *at = *at + pause;
        }
        if let Some(copying) = &mut self.copying {
            copying.skip(pause);
        }
        self.others.iter_mut().for_each(|other| other.skip(pause));
    }

    /// Handles the end of the source's body. What is known of an end without a mark when it comes belongs to
    /// it: later, that the run was not stopped does not show that it was complete.
    pub fn on_end(&mut self, end: BodyEnd) {
        self.end = Some(match end {
            BodyEnd::Outlived if self.may_end_early() => BodyEnd::Unframed,
            end => end,
        });
    }

    /// Handles the result of [`Action::CheckEnd`].
    pub fn on_end_checked(&mut self, has_outlived: bool) {
        if std::mem::take(&mut self.is_checking_end) && self.end == Some(BodyEnd::Unframed) {
            self.end = Some(if has_outlived { BodyEnd::Outlived } else { BodyEnd::Broken });
        }
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
                } else if self.is_reading() {
                    self.copying = Some(copying.next(now, self.stop_limit));
                } else {
                    self.failed_moves.push_back(None);
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
                if std::mem::take(&mut self.was_reclaim_ordered) {
                    self.failed_moves.push_back(None);
                }
            }
            ResumeOutcome::MayHaveRun { sent_at } => {
                self.points.retain(|other| *other != point);
                self.is_reclaimed = false;
                let was_ordered = was_ordered || std::mem::take(&mut self.was_reclaim_ordered);
                self.others.push(OtherEngine::from_attempt(now, sent_at, point, was_ordered));
                return;
            }
        }
        if was_ordered && self.backup_attempts == 0 {
            let refused_by = (outcome == ResumeOutcome::NotSent).then_some(point.engine);
            self.failed_moves.push_back(refused_by);
        }
    }

    /// Handles the reply of `from` to [`Action::Reclaim`].
    pub fn on_reclaim(&mut self, now: Time, from: &E, outcome: ReclaimOutcome) {
        let is_asked = |other: &OtherEngine<E>| other.engine == *from && other.is_asked();
        let Some(index) = self.others.iter().position(is_asked) else {
            self.replies_due.retain(|engine| engine != from);
            return self.drop_copy_of(from, outcome);
        };
        let other = &mut self.others[index];
        let settled = other.on_reply(now, outcome);
        if settled == Settled::Open {
            // Until it is reached, the run may be moved elsewhere.
            if other.is_unreachable() && other.take_order() {
                self.failed_moves.push_back(None);
            }
            return;
        }
        let mut other = self.others.remove(index);
        if other.engine == self.source {
            self.has_source_stopped = true;
            self.end = self.end.map(|end| match (end, &settled) {
                (BodyEnd::Outlived, Settled::NotRunning) => BodyEnd::Whole,
                // It was still writing.
                (BodyEnd::Outlived, _) => BodyEnd::Broken,
                (end, _) => end,
            });
        }
        let was_ordered = other.take_order();
        match settled {
            Settled::Stopped { handle, copied_to } => {
                self.was_reclaim_ordered |= was_ordered;
                self.keep_copy(other, handle, copied_to);
            }
            Settled::NotRunning | Settled::Stopping if was_ordered => {
                self.failed_moves.push_back(None);
            }
            Settled::NotRunning | Settled::Stopping | Settled::Open => {}
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
        if let Some((engine, handle)) = self.dropped_copies.pop_front() {
            return Some(Action::DropCopy { engine, handle });
        }
        self.note_source_in_question(now);
        if self.is_complete(now) {
            self.is_over = true;
            return Some(Action::Complete);
        }
        if let Some(cause) = self.cut_cause(now) {
            self.is_over = true;
            return Some(Action::Cut(cause));
        }
        if self.is_end_unchecked() && !self.is_checking_end {
            self.is_checking_end = true;
            return Some(Action::CheckEnd);
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
            self.last_data_at + DOUBT_SILENCE,
            self.checked_at + SILENCE,
            self.last_data_at + self.patience,
        ];
        let times = times.into_iter().chain(self.final_copy_expires_at());
        let times = times.chain(self.others.iter().flat_map(OtherEngine::wakeups));
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
        let may_work = self.stop != Stop::Certain && !self.has_source_stopped;
        let former = std::mem::replace(&mut self.source, point.engine);
        let is_known = self.others.iter().any(|other| other.engine == former);
        if may_work && !is_known {
            let other = OtherEngine::from_source(now, former.clone(), self.last_data_at);
            self.others.push(other.with_drop_time());
        }
        if former != self.source {
            self.last_resort = Some(former);
        }
        let source = &self.source;
        // Only one engine can use a copy.
        let has_same_copy = |other: &OtherEngine<E>| {
            other.attempt.as_ref().is_some_and(|attempt| attempt.copy == point.copy)
        };
        let is_settled =
            |other: &mut OtherEngine<E>| other.engine == *source || has_same_copy(other);
        let settled = self.others.extract_if(.., is_settled).filter(OtherEngine::is_asked);
        self.replies_due.extend(settled.map(|other| other.engine));
        self.others.iter_mut().for_each(|other| other.share_from(now));
        self.points.retain(|point| point.copy == KeptCopy::Backup && point.engine != *source);
        (self.has_source_stopped, self.is_reclaimed) = (false, false);
        self.was_reclaim_ordered = false;
        (self.end, self.stop, self.copying) = (None, Stop::Excluded, None);
        (self.is_suspect, self.is_checking, self.is_checking_end) = (false, false, false);
        self.retry_pause = RETRY_PAUSE;
        (self.last_data_at, self.checked_at) = (now, now);
    }

    fn is_complete(&self, now: Time) -> bool {
        match self.end {
            Some(BodyEnd::Whole) => true,
            // It can't be asked whether it works on.
            Some(BodyEnd::Outlived) => {
                let mut others = self.others.iter();
                others.find(|o| o.engine == self.source).is_none_or(|o| o.is_excused(now))
            }
            Some(BodyEnd::Unframed | BodyEnd::Broken) | None => false,
        }
    }

    /// Whether the body has ended with its connection, the run was not stopped, and nothing shows yet whether
    /// this is the end of the stream.
    fn is_end_open(&self) -> bool {
        self.end == Some(BodyEnd::Outlived) || self.is_end_unchecked()
    }

    /// Whether the source may have ended with its connection.
    fn is_end_unchecked(&self) -> bool {
        self.end == Some(BodyEnd::Unframed) && !self.may_end_early()
    }

    /// Has the source told to stop if the run is to continue elsewhere and nothing shows that it has.
    fn note_source_in_question(&mut self, now: Time) {
        let has_ended = self.end.is_some() && !self.is_end_unchecked();
        let is_in_doubt = self.stop == Stop::InDoubt && now >= self.last_data_at + DOUBT_SILENCE;
        let is_known = self.others.iter().any(|other| other.engine == self.source);
        if (has_ended || is_in_doubt)
            && self.stop != Stop::Certain
            && !self.has_source_stopped
            && !self.is_final_copy_pending()
            && self.copy_target(&self.source).is_some()
            && !is_known
        {
            let source = self.source.clone();
            self.others.push(OtherEngine::from_source(now, source, self.last_data_at));
        }
    }

    /// Keeps the memory of a run that `other` has stopped, unless the run does not need it.
    fn keep_copy(&mut self, other: OtherEngine<E>, handle: String, copied_to: Option<E>) {
        let OtherEngine { engine, attempt, .. } = other;
        if attempt.is_none() && engine != self.source && self.may_be_written() {
            return self.dropped_copies.push_back((engine, handle));
        }
        let copy = KeptCopy::Moved { source: engine.clone(), handle };
        let points = match attempt {
            Some(attempt) => {
                // Only one engine can use a copy.
                let has_same_copy = |other: &mut OtherEngine<E>| {
                    other.attempt.as_ref().is_some_and(|other| other.copy == attempt.copy)
                };
                let settled = self.others.extract_if(.., has_same_copy);
                let asked = settled.filter(OtherEngine::is_asked);
                self.replies_due.extend(asked.map(|other| other.engine));
                self.is_reclaimed = true;
                [Some(engine), None]
            }
            // A source that leaves takes no requests.
            None => [copied_to, Some(engine)],
        };
        let points = points.into_iter().flatten();
        let points = points.map(|engine| ResumePoint { engine, copy: copy.clone() });
        self.points.splice(0..0, points);
    }

    fn drop_copy_of(&mut self, engine: &E, outcome: ReclaimOutcome) {
        if let ReclaimOutcome::Stopped { handle, .. } = outcome {
            self.dropped_copies.push_back((engine.clone(), handle));
        }
    }

    fn cut_cause(&self, now: Time) -> Option<CutCause> {
        if now >= self.deadline {
            return Some(CutCause::Timeout);
        }
        let has_stopped =
            self.end.is_some() || self.stop == Stop::Certain || self.has_source_stopped;
        if !has_stopped || self.resuming.is_some() || self.is_final_copy_pending() {
            return None;
        }
        let has_attempts = self.others.iter().any(|other| other.attempt.is_some());
        let may_keep_memory = has_attempts || self.others.iter().any(|o| !o.is_excused(now));
        let is_exhausted =
            self.end.is_some() && self.points.is_empty() && !self.is_end_open() && !may_keep_memory;
        let is_abandoned = now >= self.last_data_at + self.patience;
        let cause = match self.stop {
            _ if has_attempts => CutCause::AnswerLost,
            Stop::Excluded => CutCause::EngineLost,
            Stop::InDoubt | Stop::Certain => CutCause::MoveFailed,
        };
        (is_exhausted || is_abandoned).then_some(cause)
    }

    /// Whether the run has to continue elsewhere.
    fn needs_resume(&self) -> bool {
        if self.is_final_copy_pending() || self.is_end_open() {
            return false;
        }
        let is_in_question = || self.others.iter().any(|other| other.engine == self.source);
        match self.stop {
            _ if self.end.is_some() || self.is_suspect || self.is_reclaimed => true,
            _ if self.has_source_stopped => true,
            Stop::Certain => true,
            Stop::InDoubt => is_in_question(),
            Stop::Excluded => false,
        }
    }

    fn next_point(&mut self, now: Time) -> Option<ResumePoint<E>> {
        if self.resuming.is_some() || now < self.retry_at {
            return None;
        }
        let mut free = self.points.iter().filter(|point| self.is_free(point));
        let mut unsettled = self.others.iter().filter(|other| !other.is_excused(now));
        if let Some(other) = unsettled.next() {
            // Only one engine can use a copy.
            let attempt = other.attempt.as_ref().filter(|_| unsettled.next().is_none())?;
            let has_stopped = self.stop == Stop::Certain || self.has_source_stopped;
            return free.find(|point| has_stopped && point.copy == attempt.copy).cloned();
        }
        if self.needs_resume() {
            let point = free.next().cloned()?;
            if self.copying.take().is_some() {
                self.failed_moves.push_back(None);
            }
            return Some(point);
        }
        free.find(|point| self.backup_attempts > 0 && point.copy == KeptCopy::Backup).cloned()
    }

    /// Whether the run may continue at a point: an engine that is told to stop would stop it there.
    fn is_free(&self, point: &ResumePoint<E>) -> bool {
        self.others().chain(&self.replies_due).all(|engine| *engine != point.engine)
    }

    /// Whether the source and another engine may have worked on the run for too long.
    fn leaves_source(&self, now: Time) -> bool {
        let works_too_long = |other: &OtherEngine<E>| {
            other.engine != self.source && !other.is_excused(now) && now >= other.leave_at()
        };
        self.may_be_written() && self.others.iter().any(works_too_long)
    }

    fn next_reclaim(&mut self, now: Time) -> Option<Action<E>> {
        let resuming = self.resuming.as_ref().map(|point| &point.engine);
        let index = self.others.iter().position(|other| {
            // An attempt at the same copy may settle it, unless a further engine works on the run.
            let is_settled_by_attempt = other.attempt.is_some() && self.others.len() == 1;
            let may_ask =
                resuming.is_none_or(|engine| *engine != other.engine && !is_settled_by_attempt);
            may_ask && other.is_due(now)
        })?;
        let from = self.others[index].engine.clone();
        let to = self.copy_target(&from)?;
        let goes_on = from != self.source && self.may_be_written();
        let is_attempt = self.others[index].attempt.is_some();
        let needs_copy = is_attempt || (self.points.is_empty() && !goes_on);
        let is_repeated = self.others[index].ask(to.clone());
        Some(Action::Reclaim { from, to, is_repeated, needs_copy })
    }

    /// An engine other than `from` to which memory of the run can be copied.
    fn copy_target(&self, from: &E) -> Option<E> {
        let preferred = [Some(&self.source), self.copied_to.as_ref(), self.backup()];
        let points = self.points.iter().map(|point| &point.engine);
        let candidates = preferred.into_iter().flatten().chain(points).chain(self.others());
        // An engine stops the run even if it can't copy it there.
        let candidates = candidates.chain(&self.last_resort);
        candidates.into_iter().find(|engine| *engine != from).cloned()
    }

    fn is_check_due(&self, now: Time) -> bool {
        self.is_reading()
            && self.has_events
            && self.stop == Stop::Excluded
            && !self.is_final_copy_pending()
            && !self.points.is_empty()
            && self.resuming.is_none()
            && self.others.iter().all(OtherEngine::is_unreachable)
            && !self.is_suspect
            && !self.is_checking
            && now >= self.last_data_at.max(self.checked_at) + SILENCE
    }
}
