//! A stream is given up only when its engine has stopped and no copy is left, whatever the order of
//! copies, attempts to continue, ends and silence.

use magnoliawinch::handover::{
    Action, BodyEnd, CopyOutcome, CutCause, Handover, KeptCopy, ReclaimOutcome, ResumeOutcome,
    ResumePoint, SHARED_WORK_LIMIT, SILENCE, SOUND_SILENCE, Stop, caller_patience,
};
use magnoliawinch::pool::MoveMethod;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_schedules::{check, check_detects};
use quickcheck::{Arbitrary, Gen};

const PATIENCE: Millis = Millis(2_000);
const DEADLINE: Time = Time(20_000);

/// Longest pause that callers allow.
const MAX_PAUSE: Millis = Millis(180);

/// Bounds of the relay on a copy, an attempt to continue and a check.
const STEP_LIMIT: Millis = Millis(2_500);

/// The same on an attempt while the source may write.
const SHARED_STEP_LIMIT: Millis = Millis(250);

/// Time for which two engines may work on a run.
const MAX_SHARED_WORK: Millis = Millis(400);

/// Longest time after an attempt was sent at which its engine begins the run.
const MAX_START: u64 = 100;

/// Longest pause between attempts to continue.
const RETRY_PAUSE: Millis = Millis(400);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Data,
    Order(u8, bool),
    /// The copy in progress ends.
    Copy(u8),
    Resume(u8),
    Reclaim(u8),
    Check(bool),
    /// The body ends, unframed if set.
    End(bool),
    /// The engine ends, and its body with its connection.
    Crash,
    /// The body ends unframed, as the engine has lost its answer and works on.
    LoseAnswer,
    /// The connection to the source breaks; the engine works on if set.
    Break(bool),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        let flag = bool::arbitrary(g);
        match u8::arbitrary(g) % 18 {
            0..=3 => Self::Data,
            4..=5 => Self::Order(number % 4, flag),
            6..=8 => Self::Copy(number),
            9..=11 => Self::Resume(number),
            12 => Self::Check(flag),
            13 if number < 60 => Self::End(flag),
            13 if number < 80 => Self::Crash,
            13 if number < 100 => Self::LoseAnswer,
            14 if number < 100 => Self::Break(flag),
            15..=16 => Self::Reclaim(number),
            _ => Self::Wait(number),
        }
    }
}

/// Fault that the checks must detect, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// An attempt that was not sent uses its copy up.
    UsesUpUnsent,
    /// An attempt that may have run does not use its copy up.
    ReusesCopies,
    /// A run that ends well counts as broken off.
    BreaksWholeEnds,
    /// A final copy of unknown outcome counts as without effect.
    IgnoresDoubt,
    /// Timers do not fire.
    ForgetsTimers,
    /// Failed moves are not reported.
    KeepsFailedMoves,
    /// An attempt that may have run counts as refused.
    IgnoresLostAnswers,
    /// A closed connection counts as the end of an engine's work.
    TrustsClosedConnections,
    /// An end without a mark counts as that of a complete stream.
    TrustsUncheckedEnds,
}

type Point = ResumePoint<u8>;

/// An engine other than the source that works on the run.
#[derive(Clone, Debug)]
struct Worker {
    engine: u8,
    /// The attempt of which the answer was lost; `None` for a former source.
    attempt: Option<Point>,
    begins_at: Time,
    silent_since: Time,
    is_unreachable: bool,
    /// Whether it was told to stop.
    was_told: bool,
}

impl Worker {
    /// Whether the rule on shared work leaves the engine out: this host does not reach it, or it has been
    /// silent for longer than sound engines are.
    fn is_excused(&self, now: Time) -> bool {
        self.is_unreachable || now >= self.silent_since + SOUND_SILENCE
    }
}

struct World {
    variant: Variant,
    now: Time,
    handover: Handover<u8>,
    /// Whether the source has really stopped the run for a copy.
    has_stopped: bool,
    end: Option<BodyEnd>,
    last_data_at: Time,
    copying: Option<(u8, bool, Time)>,
    /// The attempt in progress, when it was sent, and its limit.
    resuming: Option<(Point, Time, Millis)>,
    workers: Vec<Worker>,
    /// Engines that are told to stop, the targets of their copies, and when they were told.
    reclaiming: Vec<(u8, u8, Time)>,
    checking: Option<Time>,
    /// Whether the end of the body is being checked, and whether the engine has outlived it.
    checking_end: Option<bool>,
    has_crashed: bool,
    /// When the source began to write.
    began_at: Time,
    /// Copies that are not needed.
    dropped: Vec<String>,
    /// Places where the run can continue, as far as responses have shown.
    usable: Vec<Point>,
    has_open_order: bool,
    /// Attempts to use the backup since it was ordered, other than those after a failed check.
    ordered_attempts: u32,
    has_failed_check: bool,
    /// End of the last attempt to continue.
    resumed_at: Option<Time>,
    outcome: Option<Action<u8>>,
}

impl World {
    fn new(variant: Variant) -> Self {
        let now = Time(1_000);
        Self {
            variant,
            now,
            handover: Handover::new(now, 0, Some(1), PATIENCE, DEADLINE)
                .with_max_pause(Some(MAX_PAUSE)),
            has_stopped: false,
            end: None,
            last_data_at: now,
            copying: None,
            resuming: None,
            workers: Vec::new(),
            reclaiming: Vec::new(),
            checking: None,
            checking_end: None,
            has_crashed: false,
            began_at: now,
            dropped: Vec::new(),
            usable: vec![ResumePoint { engine: 1, copy: KeptCopy::Backup }],
            has_open_order: false,
            ordered_attempts: 0,
            has_failed_check: false,
            resumed_at: None,
            outcome: None,
        }
    }

    fn source(&self) -> u8 {
        *self.handover.source()
    }

    fn moved(&self, engine: u8, handle: &str) -> Point {
        let copy = KeptCopy::Moved { source: self.source(), handle: handle.to_owned() };
        ResumePoint { engine, copy }
    }

    /// Whether the source works on the run, whatever has become of its body.
    fn source_works(&self) -> bool {
        self.end.is_none() && !self.has_stopped
    }

    /// Notes that the source goes on working although its connection is closed.
    fn add_former_source(&mut self) {
        let engine = self.source();
        self.workers.push(Worker {
            engine,
            attempt: None,
            begins_at: self.began_at,
            silent_since: self.last_data_at,
            is_unreachable: false,
            // A final copy stops the run, too.
            was_told: self.reclaiming.iter().any(|(told, ..)| *told == engine)
                || self.copying.is_some_and(|(_, is_final, _)| is_final),
        });
    }

    /// Notes that an engine whose answer was lost runs the request, unless another one uses its copy.
    fn add_attempt(&mut self, point: &Point, sent_at: Time, begins_at: Time) {
        let has_same_copy = |worker: &Worker| {
            worker.attempt.as_ref().is_some_and(|attempt| attempt.copy == point.copy)
        };
        if self.workers.iter().any(|w| has_same_copy(w) && w.begins_at <= begins_at) {
            return;
        }
        self.workers.retain(|worker| !has_same_copy(worker));
        self.workers.push(Worker {
            engine: point.engine,
            attempt: Some(point.clone()),
            begins_at,
            silent_since: sent_at,
            is_unreachable: false,
            was_told: false,
        });
    }

    fn end(&mut self, end: BodyEnd) {
        self.end = Some(end);
        self.handover.on_end(match (self.variant, end) {
            (Variant::BreaksWholeEnds, BodyEnd::Whole) => BodyEnd::Broken,
            _ => end,
        });
    }

    /// After a final copy that may have stopped the run, what was copied before to `to` can be used
    /// at the source as well.
    fn doubt(&mut self, to: u8) {
        let is_copy = |point: &&Point| point.engine == to && point.copy != KeptCopy::Backup;
        let copy = self.usable.iter().find(is_copy).map(|point| point.copy.clone());
        self.usable.extend(copy.map(|copy| ResumePoint { engine: self.source(), copy }));
    }

    fn end_copy(&mut self, choice: u8) {
        let Some((to, is_final, _)) = self.copying.take() else {
            return;
        };
        let handle = format!("{to} at {}", self.now.0);
        let outcome = match choice % 7 {
            0 | 1 => CopyOutcome::Copied { handle: handle.clone() },
            2 => CopyOutcome::NotSent,
            3 => CopyOutcome::Refused,
            4 => CopyOutcome::NoRoom { kept: None },
            5 => CopyOutcome::NoRoom { kept: Some(handle.clone()) },
            _ => CopyOutcome::Unknown,
        };
        let in_target = self.moved(to, &handle);
        let in_source = self.moved(self.source(), &handle);
        match &outcome {
            CopyOutcome::Copied { .. } => {
                self.usable.retain(|point| point.copy == KeptCopy::Backup);
                self.usable.push(in_target);
                self.usable.extend(is_final.then_some(in_source));
                self.has_stopped |= is_final;
            }
            CopyOutcome::NoRoom { kept: Some(_) } if is_final => {
                self.usable.push(in_source);
                self.has_stopped = true;
            }
            CopyOutcome::Unknown | CopyOutcome::NoRoom { kept: None } if is_final => {
                self.has_stopped |= choice > 127;
                self.doubt(to);
            }
            _ => {}
        }
        if self.has_stopped {
            let source = self.source();
            self.workers.retain(|worker| worker.attempt.is_some() || worker.engine != source);
        }
        let is_doubtful =
            matches!(outcome, CopyOutcome::Unknown | CopyOutcome::NoRoom { kept: None });
        self.handover.on_copy(
            self.now,
            match self.variant {
                Variant::IgnoresDoubt if is_final && is_doubtful => CopyOutcome::NotSent,
                _ => outcome,
            },
        );
    }

    fn end_resume(&mut self, choice: u8) {
        let Some((point, sent_at, _)) = self.resuming.take() else {
            return;
        };
        self.resumed_at = Some(self.now);
        let has_same_copy = |worker: &&Worker| {
            worker.attempt.as_ref().is_some_and(|attempt| attempt.copy == point.copy)
        };
        let other = self.workers.iter().find(has_same_copy);
        let is_used_up = other.is_some_and(|other| self.now >= other.begins_at);
        let outcome = match choice % 6 {
            _ if is_used_up => ResumeOutcome::Refused,
            0 => ResumeOutcome::Started,
            1..=3 => ResumeOutcome::NotSent,
            4 => ResumeOutcome::Refused,
            _ => ResumeOutcome::MayHaveRun { sent_at },
        };
        if matches!(outcome, ResumeOutcome::MayHaveRun { .. }) && choice > 60 {
            self.add_attempt(&point, sent_at, sent_at + Millis(u64::from(choice) % MAX_START));
        }
        match outcome {
            ResumeOutcome::Started => {
                if self.source_works() && choice > 90 {
                    self.add_former_source();
                }
                // An attempt that has not begun does not find its copy any longer.
                self.workers.retain(|worker| {
                    worker.attempt.as_ref().is_none_or(|attempt| attempt.copy != point.copy)
                });
                self.workers.retain(|worker| worker.engine != point.engine);
                self.usable
                    .retain(|other| other.copy == KeptCopy::Backup && other.engine != point.engine);
                (self.has_stopped, self.end, self.copying) = (false, None, None);
                (self.checking, self.checking_end, self.has_open_order) = (None, None, false);
                self.has_crashed = false;
                (self.last_data_at, self.began_at) = (self.now, self.now);
            }
            ResumeOutcome::NotSent => {}
            // An engine refuses a copy that another one has used.
            ResumeOutcome::Refused | ResumeOutcome::MayHaveRun { .. } => {
                self.usable.retain(|other| *other != point);
            }
        }
        let outcome = match (self.variant, outcome) {
            (Variant::UsesUpUnsent, ResumeOutcome::NotSent) => ResumeOutcome::Refused,
            (Variant::ReusesCopies, ResumeOutcome::MayHaveRun { .. }) => ResumeOutcome::NotSent,
            (Variant::IgnoresLostAnswers, ResumeOutcome::MayHaveRun { .. }) => {
                ResumeOutcome::Refused
            }
            (_, outcome) => outcome,
        };
        self.handover.on_resume(self.now, outcome);
    }

    /// The engine that was told to stop first replies, or never does.
    fn end_reclaim(&mut self, choice: u8) {
        if self.reclaiming.is_empty() {
            return;
        }
        let (engine, to, _) = self.reclaiming.remove(0);
        let is_source = engine == self.source() && self.source_works();
        let index = self.workers.iter().position(|worker| worker.engine == engine);
        let is_working =
            is_source || index.is_some_and(|index| self.now >= self.workers[index].begins_at);
        let is_pending = index.is_some() && !is_working;
        let handle = format!("kept at {engine} at {}", self.now.0);
        let outcome = match choice % 8 {
            0 => ReclaimOutcome::Unknown,
            1 => ReclaimOutcome::Unreachable,
            2 => ReclaimOutcome::Failed,
            3 if is_working => ReclaimOutcome::Stopping,
            4 | 5 if is_working => ReclaimOutcome::Stopped { handle, is_copied: false },
            _ if is_working => ReclaimOutcome::Stopped { handle, is_copied: true },
            3 if !is_pending => ReclaimOutcome::Ended,
            _ => ReclaimOutcome::NoRun,
        };
        let outcome = match outcome {
            // A source that writes is reached.
            ReclaimOutcome::Unreachable if is_source => ReclaimOutcome::Unknown,
            outcome => outcome,
        };
        if let Some(index) = index {
            let worker = &mut self.workers[index];
            worker.is_unreachable = outcome == ReclaimOutcome::Unreachable;
            if outcome == ReclaimOutcome::Failed {
                worker.silent_since = self.now;
            }
        }
        let has_stopped =
            matches!(outcome, ReclaimOutcome::Stopped { .. } | ReclaimOutcome::Stopping);
        if let ReclaimOutcome::Stopped { handle, is_copied } = &outcome {
            let copy = KeptCopy::Moved { source: engine, handle: handle.clone() };
            let is_attempt = index.is_some_and(|index| self.workers[index].attempt.is_some());
            let is_needed = is_source || is_attempt || !self.handover.may_be_written();
            if is_needed {
                let copied_to = is_copied.then_some(to).filter(|_| !is_attempt);
                let engines = [Some(engine), copied_to].into_iter().flatten();
                self.usable
                    .extend(engines.map(|engine| ResumePoint { engine, copy: copy.clone() }));
            } else {
                self.dropped.push(handle.clone());
            }
        }
        if has_stopped && is_source {
            self.has_stopped = true;
        }
        if has_stopped && let Some(index) = index {
            self.workers.remove(index);
        }
        self.handover.on_reclaim(self.now, &engine, outcome);
    }

    fn check_shared_work(&self) -> Result<(), String> {
        let is_long = |from: Time| self.now > from + MAX_SHARED_WORK;
        let mut working: Vec<_> = self.workers.iter().filter(|w| !w.is_excused(self.now)).collect();
        working.retain(|worker| self.now >= worker.begins_at);
        for (n, worker) in working.iter().enumerate() {
            let beside_source = self.source_works() && worker.engine != self.source();
            if beside_source && is_long(worker.begins_at.max(self.began_at)) {
                return Err(format!("an engine works on beside the source: {worker:?}"));
            }
            // Of two engines that are both told to stop and do not, none can be stopped in another way.
            let is_shared = |other: &&&Worker| {
                // It is told as soon as the check of its end is over.
                let is_checked =
                    |w: &Worker| w.engine == self.source() && self.checking_end.is_some();
                let was_told = |w: &Worker| w.was_told || is_checked(w);
                let were_told = was_told(worker) && was_told(other);
                !were_told && is_long(worker.begins_at.max(other.begins_at))
            };
            if let Some(other) = working[n + 1..].iter().find(is_shared) {
                return Err(format!("two engines work on the run: {worker:?}, {other:?}"));
            }
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Data if self.end.is_none() && !self.has_stopped => {
                (self.last_data_at, self.has_failed_check) = (self.now, false);
                self.handover.on_data(self.now, true);
            }
            Step::Order(to, is_copy) if self.handover.accepts_orders() => {
                self.ordered_attempts = 0;
                self.has_open_order = true;
                let method = if is_copy { MoveMethod::Copy } else { MoveMethod::Backup };
                self.handover.on_order(true, to, method);
            }
            Step::Copy(choice) => self.end_copy(choice),
            Step::Resume(choice) => self.end_resume(choice),
            Step::Reclaim(choice) => self.end_reclaim(choice),
            Step::Check(is_alive) if self.checking.take().is_some() => {
                let is_long = self.now >= self.last_data_at + SOUND_SILENCE;
                self.has_failed_check |= !is_alive && is_long;
                self.handover.on_check(self.now, is_alive);
            }
            Step::End(is_unframed) if self.end.is_none() => {
                // A stopped run is closed without its end.
                self.end(match (is_unframed, self.has_stopped) {
                    (true, _) => BodyEnd::Unframed,
                    (false, true) => BodyEnd::Broken,
                    (false, false) => BodyEnd::Whole,
                });
            }
            Step::Crash if self.end.is_none() => {
                self.has_crashed = true;
                self.end(BodyEnd::Unframed);
            }
            Step::LoseAnswer if self.end.is_none() && !self.has_stopped => {
                self.add_former_source();
                self.end(BodyEnd::Unframed);
            }
            Step::Break(works_on) if self.end.is_none() => {
                if works_on && !self.has_stopped {
                    self.add_former_source();
                }
                self.end(BodyEnd::Broken);
            }
            Step::Wait(ms) => return self.wait(Millis(u64::from(ms) * 4)),
            _ => {}
        }
        self.act()
    }

    /// Lets time pass. Steps in progress end within their bound.
    fn wait(&mut self, duration: Millis) -> Result<(), String> {
        let until = self.now + duration;
        while self.outcome.is_none() && self.now < until {
            let wakeup = self.handover.next_wakeup(self.now);
            if wakeup <= self.now {
                return Err(format!("a timer of {wakeup:?} does not pass at {:?}", self.now));
            }
            let limits = [
                self.copying.as_ref().map(|(.., at)| *at + STEP_LIMIT),
                self.resuming.as_ref().map(|(_, at, limit)| *at + *limit),
                self.reclaiming.first().map(|(.., at)| *at + STEP_LIMIT),
                self.checking.map(|at| at + STEP_LIMIT),
                self.checking_end.map(|_| self.now + Millis(5)),
            ];
            let limit = limits.into_iter().flatten().min().unwrap_or(until);
            self.now = wakeup.min(limit).min(until);
            self.check_shared_work()?;
            if self.copying.as_ref().is_some_and(|(.., at)| *at + STEP_LIMIT <= self.now) {
                self.end_copy(6);
            }
            if self.resuming.as_ref().is_some_and(|(_, at, limit)| *at + *limit <= self.now) {
                self.end_resume(5);
            }
            if self.reclaiming.first().is_some_and(|(.., at)| *at + STEP_LIMIT <= self.now) {
                self.end_reclaim(0);
            }
            if let Some(has_outlived) = self.checking_end.take() {
                let has_outlived = has_outlived || self.variant == Variant::TrustsUncheckedEnds;
                self.handover.on_end_checked(has_outlived);
            }
            if self.checking.take_if(|at| *at + STEP_LIMIT <= self.now).is_some() {
                self.has_failed_check |= self.now >= self.last_data_at + SOUND_SILENCE;
                self.handover.on_check(self.now, false);
            }
            if self.variant != Variant::ForgetsTimers {
                self.act()?;
            }
        }
        Ok(())
    }

    fn act(&mut self) -> Result<(), String> {
        while let Some(action) = self.handover.next_action(self.now) {
            match action {
                Action::StartCopy { to, is_final } => {
                    self.copying = Some((to, is_final, self.now));
                }
                Action::Resume(point) => self.check_resume(point)?,
                Action::Reclaim { from, to, .. } => {
                    assert_ne!(from, to);
                    if self.resuming.as_ref().is_some_and(|(point, ..)| point.engine == from) {
                        return Err("stops the run where it is to continue".to_owned());
                    }
                    let told = self.workers.iter_mut().filter(|worker| worker.engine == from);
                    told.for_each(|worker| worker.was_told = true);
                    let is_former = from != self.source()
                        && self.workers.iter().all(|w| w.engine != from || w.attempt.is_none());
                    if self.variant == Variant::TrustsClosedConnections && is_former {
                        self.handover.on_reclaim(self.now, &from, ReclaimOutcome::NoRun);
                    } else {
                        self.reclaiming.push((from, to, self.now));
                    }
                }
                Action::DropCopy { handle, .. } => {
                    let Some(index) = self.dropped.iter().position(|known| *known == handle) else {
                        return Err(format!("drops a copy that is needed: {handle}"));
                    };
                    self.dropped.remove(index);
                }
                Action::LeaveSource => {
                    if self.handover.others().all(|engine| *engine == self.source()) {
                        return Err("leaves an engine that alone writes the stream".to_owned());
                    }
                    if !self.has_stopped {
                        // The engine works on although its connection is closed.
                        self.add_former_source();
                    }
                    self.end = Some(BodyEnd::Broken);
                }
                Action::CheckSource => self.checking = Some(self.now),
                Action::CheckEnd => self.checking_end = Some(!self.has_crashed),
                Action::ReportFailedMove { .. } => {
                    self.has_open_order = self.variant == Variant::KeepsFailedMoves;
                }
                Action::Complete | Action::Cut(_) => return self.check_outcome(action),
            }
        }
        // A final copy that takes too long is given up, a first one when the run has to continue.
        if let Some((to, true, _)) = self.copying.take_if(|_| self.handover.copying().is_none()) {
            self.doubt(to);
        }
        self.check_settled()
    }

    fn check_resume(&mut self, point: Point) -> Result<(), String> {
        if !self.usable.contains(&point) {
            return Err(format!("continues from a copy that is used up: {point:?}"));
        }
        if self.resuming.is_some() {
            return Err("continues at two engines".to_owned());
        }
        let other = self.workers.iter().find(|worker| {
            let has_same_copy = worker.attempt.as_ref().is_some_and(|at| at.copy == point.copy);
            worker.engine != self.source() && !worker.is_excused(self.now) && !has_same_copy
        });
        if let Some(other) = other {
            return Err(format!("continues at {point:?} beside {other:?}"));
        }
        let is_written = self.end.is_none() && self.handover.stop() == Stop::Excluded;
        let uses_backup = point.copy == KeptCopy::Backup;
        self.ordered_attempts += u32::from(is_written && uses_backup && !self.has_failed_check);
        let may_be_written = self.end.is_none() && !self.has_stopped;
        let limit = if may_be_written { SHARED_STEP_LIMIT } else { STEP_LIMIT };
        self.resuming = Some((point, self.now, limit));
        if self.ordered_attempts > 2 {
            return Err("tries the backup again and again".to_owned());
        }
        Ok(())
    }

    fn check_outcome(&mut self, action: Action<u8>) -> Result<(), String> {
        let is_whole = self.end == Some(BodyEnd::Whole);
        let works_on = |worker: &Worker| {
            let is_former = worker.attempt.is_none() && worker.engine == self.source();
            is_former && !worker.is_excused(self.now)
        };
        let has_ended_well = self.end == Some(BodyEnd::Unframed)
            && !self.has_stopped
            && !self.has_crashed
            && !self.workers.iter().any(works_on);
        let is_late = self.now >= self.last_data_at + PATIENCE;
        match &action {
            Action::Complete if !is_whole && !has_ended_well => {
                return Err(format!("is complete after {:?}", self.end));
            }
            Action::Cut(_) if self.now >= DEADLINE => {}
            Action::Cut(_) if is_whole => return Err("cut a run that ended well".to_owned()),
            Action::Cut(_) if self.source_works() => {
                return Err("cut a stream that its engine writes".to_owned());
            }
            Action::Cut(_) if !is_late && !self.usable.is_empty() => {
                return Err(format!("cut with copies left: {:?}", self.usable));
            }
            _ => {}
        }
        self.outcome = Some(action);
        Ok(())
    }

    fn check_settled(&self) -> Result<(), String> {
        if self.has_open_order && self.handover.accepts_orders() {
            return Err("a move has ended unreported".to_owned());
        }
        let is_idle = self.copying.is_none()
            && self.resuming.is_none()
            && self.reclaiming.is_empty()
            && self.checking_end.is_none()
            && self.handover.others().next().is_none();
        if self.end.is_some() && is_idle && self.now >= self.last_data_at + PATIENCE {
            return Err("waits for nothing".to_owned());
        }
        if let Some((_, true, started_at)) = self.copying
            && self.now > started_at.max(self.last_data_at) + Millis(PATIENCE.0 / 2)
        {
            return Err("a final copy outlasts the caller".to_owned());
        }
        let is_due = match self.handover.stop() {
            _ if self.end.is_some() => true,
            Stop::Excluded => false,
            Stop::InDoubt => self.now >= self.last_data_at + SILENCE,
            Stop::Certain => true,
        };
        let has_paused = self.resumed_at.is_none_or(|at| self.now >= at + RETRY_PAUSE);
        if is_due && has_paused && is_idle && !self.usable.is_empty() {
            return Err("a stopped run is not continued".to_owned());
        }
        Ok(())
    }
}

fn run(variant: Variant, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(variant);
    for step in steps {
        if world.outcome.is_some() {
            return Ok(());
        }
        world.step(*step)?;
    }
    world.wait(DEADLINE.since(world.now))?;
    match world.outcome {
        Some(_) => Ok(()),
        None => Err("the stream has no end".to_owned()),
    }
}

#[test]
fn streams_are_given_up_only_when_nothing_is_left() {
    check(|steps: &[Step]| run(Variant::Correct, steps));
}

#[test]
fn faults_are_detected() {
    for variant in [
        Variant::UsesUpUnsent,
        Variant::ReusesCopies,
        Variant::BreaksWholeEnds,
        Variant::IgnoresDoubt,
        Variant::ForgetsTimers,
        Variant::KeepsFailedMoves,
        Variant::IgnoresLostAnswers,
        Variant::TrustsClosedConnections,
        Variant::TrustsUncheckedEnds,
    ] {
        println!("{variant:?}");
        check_detects(|steps: &[Step]| run(variant, steps));
    }
}

#[test]
fn callers_wait_for_the_longest_of_three_gaps() {
    assert_eq!(caller_patience(Millis(100), None), Millis(2_000));
    assert_eq!(caller_patience(Millis(1_800), Some(Millis(180))), Millis(7_200));
    assert_eq!(caller_patience(Millis(100), Some(Millis(300))), Millis(2_400));
}

/// A source that cannot be reached is the one to blame, not the target, and is read on.
#[test]
fn a_source_that_refuses_a_copy_is_reported() {
    for is_final in [false, true] {
        let now = Time(1_000);
        let mut handover = Handover::new(now, 0, None, PATIENCE, DEADLINE);
        handover.on_order(true, 2, MoveMethod::Copy);
        assert_eq!(handover.next_action(now), Some(Action::StartCopy { to: 2, is_final: false }));
        if is_final {
            handover.on_copy(now, CopyOutcome::Copied { handle: "h".to_owned() });
            assert_eq!(
                handover.next_action(now),
                Some(Action::StartCopy { to: 2, is_final: true })
            );
        }
        handover.on_copy(now, CopyOutcome::NotSent);
        let report = Action::ReportFailedMove { refused_by: Some(0) };
        assert_eq!(handover.next_action(now), Some(report));
        assert_eq!(handover.next_action(now), None);
        assert_eq!(handover.stop(), Stop::Excluded);
    }
}

/// Guards against cutting a stream whose caller did not read for long: nothing was decided or read
/// in that time.
#[test]
fn time_in_which_the_stream_is_not_read_does_not_count() {
    let now = Time(1_000);
    let mut handover = Handover::new(now, 0, Some(1), PATIENCE, DEADLINE);
    handover.on_order(true, 2, MoveMethod::Copy);
    handover.next_action(now);
    handover.on_copy(now, CopyOutcome::Copied { handle: "h".to_owned() });
    let final_copy = Action::StartCopy { to: 2, is_final: true };
    assert_eq!(handover.next_action(now), Some(final_copy));
    let pause = PATIENCE + PATIENCE;
    let later = now + pause;
    handover.skip(pause);
    assert_eq!(handover.next_action(later), None, "the copy has not expired");
    handover.on_end(BodyEnd::Broken);
    handover.on_copy(now, CopyOutcome::Copied { handle: "h".to_owned() });
    assert!(matches!(handover.next_action(later), Some(Action::Resume(_))));
}

/// Guards against continuing a run elsewhere while its sound engine, which has only fallen silent for a
/// moment, still works on it.
#[test]
fn a_silent_engine_keeps_its_run_for_longer_than_a_moment() {
    let start = Time(1_000);
    let mut handover = Handover::new(start, 0, Some(1), PATIENCE, DEADLINE);
    handover.on_data(start, true);
    let mut now = start;
    let mut checked_at = None;
    while now < start + SOUND_SILENCE {
        match handover.next_action(now) {
            Some(Action::CheckSource) => checked_at = Some(now),
            Some(action) => panic!("{action:?} after {:?}", now.since(start)),
            None => {}
        }
        // The health check of a silent engine times out.
        if checked_at.take_if(|at| now.since(*at) >= Millis(400)).is_some() {
            handover.on_check(now, false);
        }
        now = now + Millis(10);
    }
    assert_eq!(handover.stop(), Stop::Excluded);
    while handover.next_action(now).is_none_or(|action| action == Action::CheckSource) {
        handover.on_check(now, false);
        now = now + Millis(10);
        assert!(now < start + PATIENCE, "an engine that stays silent loses its run");
    }
}

/// A run whose source 0 writes, and whose attempt to continue from the backup at 1, sent at `sent_at`, has
/// lost its answer.
fn with_lost_answer(sent_at: Time) -> Handover<u8> {
    let mut handover = Handover::new(sent_at, 0, Some(1), PATIENCE, DEADLINE);
    handover.on_data(sent_at, true);
    handover.on_order(true, 1, MoveMethod::Backup);
    let backup = ResumePoint { engine: 1, copy: KeptCopy::Backup };
    assert_eq!(handover.next_action(sent_at), Some(Action::Resume(backup)));
    handover.on_resume(sent_at + Millis(2), ResumeOutcome::MayHaveRun { sent_at });
    handover
}

fn reclaim(from: u8, to: u8) -> Action<u8> {
    Action::Reclaim { from, to, is_repeated: false, needs_copy: true }
}

/// Guards against two engines that work on one run after an answer was lost (TWICE): the other engine is
/// told to stop, and the run continues from what it keeps.
#[test]
fn an_engine_whose_answer_was_lost_is_told_to_stop() {
    let sent_at = Time(1_000);
    let mut handover = with_lost_answer(sent_at);
    let now = sent_at + Millis(2);
    assert_eq!(handover.next_action(now), Some(reclaim(1, 0)));
    assert_eq!(handover.next_action(now), None);
    assert!(!handover.accepts_orders(), "the run may not be moved from its source");
    let now = now + Millis(60);
    let stopped = ReclaimOutcome::Stopped { handle: "h".to_owned(), is_copied: false };
    handover.on_reclaim(now, &1, stopped);
    let copy = KeptCopy::Moved { source: 1, handle: "h".to_owned() };
    assert_eq!(handover.next_action(now), Some(Action::Resume(ResumePoint { engine: 1, copy })));
    handover.on_resume(now, ResumeOutcome::Started);
    assert_eq!(handover.next_action(now), None);
    assert_eq!(*handover.source(), 1);
    assert!(handover.others().eq([&0]), "the former source is told to stop, too");
}

/// Guards against the same where the other engine does not reply: its source is left in time.
#[test]
fn a_source_is_left_while_an_engine_whose_answer_was_lost_may_run_the_request() {
    let sent_at = Time(1_000);
    let mut handover = with_lost_answer(sent_at);
    let mut now = sent_at + Millis(2);
    let mut left_at = None;
    let cut = loop {
        match handover.next_action(now) {
            Some(Action::Reclaim { from, .. }) => {
                handover.on_reclaim(now, &from, ReclaimOutcome::Unknown);
            }
            Some(Action::LeaveSource) => left_at = Some(now),
            Some(Action::Cut(cause)) => break cause,
            Some(action) => panic!("{action:?}"),
            None => now = handover.next_wakeup(now),
        }
        assert!(now < DEADLINE);
    };
    assert_eq!(left_at, Some(sent_at + SHARED_WORK_LIMIT));
    assert_eq!((cut, now), (CutCause::AnswerLost, sent_at + PATIENCE));
}

/// Guards against leaving a sound source because of an attempt that never reached its engine.
#[test]
fn a_source_is_read_on_if_the_other_engine_does_not_have_the_run() {
    let sent_at = Time(1_000);
    let mut handover = with_lost_answer(sent_at);
    let mut now = sent_at + Millis(2);
    let mut asked = 0;
    let report = loop {
        match handover.next_action(now) {
            Some(Action::Reclaim { from: 1, to: 0, .. }) => {
                asked += 1;
                handover.on_reclaim(now, &1, ReclaimOutcome::NoRun);
            }
            Some(action) => break action,
            None => now = handover.next_wakeup(now),
        }
    };
    assert_eq!(report, Action::ReportFailedMove { refused_by: None });
    assert_eq!(asked, 2, "it may begin the run after the first reply");
    assert!(now < sent_at + SHARED_WORK_LIMIT);
    let later = sent_at + SHARED_WORK_LIMIT + SHARED_WORK_LIMIT;
    handover.on_data(later, true);
    assert_eq!(handover.next_action(later), None);
    assert!(handover.is_reading() && handover.accepts_orders());
}

/// Guards against a third run of a request beside one whose answer was lost (TWICE): no other copy is used.
#[test]
fn no_other_copy_is_used_while_an_engine_may_run_the_request() {
    let now = Time(1_000);
    let mut handover = Handover::new(now, 0, Some(1), PATIENCE, DEADLINE);
    handover.on_order(true, 2, MoveMethod::Copy);
    for _ in 0..2 {
        assert!(matches!(handover.next_action(now), Some(Action::StartCopy { .. })));
        handover.on_copy(now, CopyOutcome::Copied { handle: "h".to_owned() });
    }
    let moved = |engine| {
        let copy = KeptCopy::Moved { source: 0, handle: "h".to_owned() };
        Some(Action::Resume(ResumePoint { engine, copy }))
    };
    assert_eq!(handover.next_action(now), moved(2));
    handover.on_resume(now, ResumeOutcome::MayHaveRun { sent_at: now });
    // Only one engine can use the copy.
    assert_eq!(handover.next_action(now), moved(0));
    handover.on_resume(now, ResumeOutcome::Refused);
    assert_eq!(handover.next_action(now), Some(reclaim(2, 0)));
    assert_eq!(handover.next_action(now), None);
    handover.on_reclaim(now, &2, ReclaimOutcome::Ended);
    let backup = ResumePoint { engine: 1, copy: KeptCopy::Backup };
    assert_eq!(handover.next_action(now), Some(Action::Resume(backup)));
}
