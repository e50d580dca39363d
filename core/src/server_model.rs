//! What one daemon knows of a server of a plain service, and how long a call there is expected to
//! take.
//!
//! A server that shares its machine reports how long work takes there at the moment. That figure is
//! soon out of date; then the mean of its figures counts, the lasting speed of the machine.
//!
//! - A server without a response yet, new or back cold, counts as an average one with a single slot, so
//!   it gets one call at a time.
//! - A server that has not responded to anything since a call that is long overdue counts as probably
//!   down before that call times out.
//! - A silent server has not responded to anything since a call that should have ended; it stays so
//!   until it responds to any daemon, and counts for less with time.

use crate::balance::Load;
use crate::failure_rate::FailureRate;
use crate::time::{Millis, Time};

/// Time of a call assumed before a server's first response.
const PRIOR_WORK_MS: f64 = 30.0;

/// Deviation of that time assumed before the first response.
const PRIOR_DEVIATION_MS: f64 = 15.0;

/// Weight of the newest response in moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Deviations up to which a response counts: a single long call says little about its server.
const MAX_DEVIATIONS: f64 = 3.0;

/// Weight of a server's own mean time against that of all servers, where the figures that they report
/// tell their speed.
const OWN_WORK_WEIGHT: f64 = 0.3;

/// Time after which a reported slowdown says nothing about the present any more.
pub const SLOWDOWN_VALIDITY: Millis = Millis(600);

/// Excess of a slowdown over the lasting one, as a part of it, from which a server counts as slow.
const SLOW_PART: f64 = 0.5;

/// Time after which reported calls ahead say nothing any more: a few times that of a call.
const QUEUE_VALIDITY: Millis = Millis(150);

/// Cost of a certain failure: the callers' timeout.
const FAILURE_COST_MS: f64 = 1_000.0;

/// Deviations beyond the mean after which a response is late.
const LATE_DEVIATIONS: f64 = 4.0;

/// Multiple of that time after which a call is overdue.
const OVERDUE_MULTIPLE: f64 = 2.0;

/// Probability that a server still responds after a call that is overdue or lost.
const DOUBT: f64 = 0.5;

/// Time without any response after which a server with an outstanding call is silent: more than the
/// longest processing time that users specify.
pub const SILENCE: Millis = Millis(300);

/// Time after which silence says nothing about the present any more.
const SILENCE_VALIDITY: Millis = Millis(5_000);

/// Time since which a server has to be silent to be tried.
const TRIAL_DELAY: Millis = Millis(800);

/// Reports of silence that are closer together are one.
const SILENCE_RESOLUTION: Millis = Millis(200);

/// A figure and when it was reported.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reported<T> {
    at: Time,
    value: T,
}

impl<T> Reported<T> {
    /// Weight of the figure against the usual one: falls from 1 to 0 within `validity`.
    fn weight(&self, now: Time, validity: Millis) -> f64 {
        1.0 - (now.since(self.at).0 as f64 / validity.0 as f64).min(1.0)
    }
}

/// Facts about a server that other daemons can use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerFacts {
    /// When this incarnation started; zero if unknown.
    pub born: u64,
    /// The newest reported slowdown of its machine, in hundredths, and when it was reported.
    pub slowdown: Option<(Time, u32)>,
    /// Since when some daemon's call has had no response, nor any other, as far as that daemon knew.
    pub silent_since: Option<Time>,
    /// When it last responded.
    pub responded_at: Option<Time>,
}

/// One daemon's model of a server.
#[derive(Clone, Debug)]
pub struct ServerModel {
    born: u64,
    /// Mean time of a call at a slowdown of 1, and the mean deviation from it.
    work_ms: f64,
    deviation_ms: f64,
    lasting_slowdown: f64,
    slowdown: Option<Reported<u32>>,
    /// Calls in progress or waiting there, in the mean.
    usual_ahead: f64,
    load: Option<Reported<Load>>,
    /// When the outstanding calls of this daemon were sent.
    outstanding: Vec<Time>,
    failures: FailureRate,
    /// Calls without a response since the last one with a response, and when the last of them ended.
    lost: Reported<u32>,
    silent_since: Option<Time>,
    /// When it last responded to any daemon, as far as known.
    responded_at: Option<Time>,
    /// When a response last ended a silence, or refuted one that another daemon knew of.
    recovered_at: Option<Time>,
}

impl ServerModel {
    /// The model of a server that nothing is known of.
    pub fn new(now: Time) -> Self {
        Self {
            born: 0,
            work_ms: PRIOR_WORK_MS,
            deviation_ms: PRIOR_DEVIATION_MS,
            lasting_slowdown: 1.0,
            slowdown: None,
            usual_ahead: 0.0,
            load: None,
            outstanding: Vec::new(),
            failures: FailureRate::new(now),
            lost: Reported { at: now, value: 0 },
            silent_since: None,
            responded_at: None,
            recovered_at: None,
        }
    }

    /// Forgets what was learned of an earlier incarnation.
    pub fn set_incarnation(&mut self, now: Time, born: u64) {
        if self.born != 0 && self.born != born {
            let outstanding = std::mem::take(&mut self.outstanding);
            *self = Self { outstanding, ..Self::new(now) };
        }
        self.born = born;
    }

    /// Whether the server reports the slowdown of its machine.
    pub fn reports_slowdown(&self) -> bool {
        self.slowdown.is_some()
    }

    /// Records the start of a call.
    pub fn started(&mut self, now: Time) {
        self.outstanding.push(now);
    }

    /// Records that a call sent at `sent_at` is not outstanding any more.
    pub fn ended(&mut self, sent_at: Time) {
        if let Some(index) = self.outstanding.iter().position(|at| *at == sent_at) {
            self.outstanding.remove(index);
        }
    }

    /// Records a response without an error, `took` after the call was sent.
    pub fn responded(&mut self, now: Time, took: Millis) {
        self.failures.note_success(now);
        let has_queue = self.load.is_some_and(|load| load.value.waiting > 0);
        if !has_queue {
            self.learn_work(took.0 as f64 / self.slowdown(now));
        }
        self.hear(now);
    }

    /// Records that a call has taken `waited` so far and was given up.
    pub fn given_up(&mut self, now: Time, waited: Millis) {
        let work_ms = waited.0 as f64 / self.slowdown(now);
        if work_ms > self.work_ms {
            self.learn_work(work_ms);
        }
        self.note_silence_since(now, now - waited);
    }

    /// Records a call that failed; `has_responded` tells whether the server responded.
    pub fn failed(&mut self, now: Time, has_responded: bool) {
        self.failures.note_failure(now);
        match has_responded {
            true => self.hear(now),
            false => self.lost = Reported { at: now, value: self.lost.value + 1 },
        }
    }

    /// Takes back a failure that was the request's, as it failed elsewhere, too.
    pub fn excuse_failure(&mut self) {
        self.failures.forgive();
    }

    /// Records the load that the server reported; returns whether other daemons should hear that it is
    /// slow now.
    pub fn record_load(&mut self, now: Time, load: Load) -> bool {
        let ahead = calls_ahead(load);
        let weight = if self.load.is_some() { EWMA_WEIGHT } else { 1.0 };
        self.usual_ahead += weight * (ahead - self.usual_ahead);
        self.load = Some(Reported { at: now, value: load });
        load.slowdown_percent.is_some_and(|percent| self.record_slowdown(now, now, percent))
    }

    /// Records a slowdown reported at `at`; returns whether it is news that the server is slow.
    fn record_slowdown(&mut self, now: Time, at: Time, percent: u32) -> bool {
        if self.slowdown.is_some_and(|known| known.at >= at) {
            return false;
        }
        let was_slow = self.is_slow(now);
        let factor = f64::from(percent) / 100.0;
        self.lasting_slowdown += EWMA_WEIGHT * (factor - self.lasting_slowdown);
        self.slowdown = Some(Reported { at, value: percent });
        !was_slow && self.is_slow(now)
    }

    fn hear(&mut self, at: Time) {
        if self.responded_at.is_none_or(|known| known < at) {
            self.responded_at = Some(at);
            self.lost.value = 0;
        }
        if self.silent_since.is_some_and(|since| since < at) {
            self.silent_since = None;
            self.recovered_at = Some(at);
        }
    }

    /// Marks the server as silent if it is by now; returns whether that is news.
    pub fn note_silence(&mut self, now: Time) -> bool {
        let oldest = self.outstanding.iter().min().copied();
        oldest.is_some_and(|since| self.note_silence_since(now, since))
    }

    fn note_silence_since(&mut self, now: Time, since: Time) -> bool {
        let is_silent =
            now.since(since) >= SILENCE && self.responded_at.is_none_or(|heard| heard <= since);
        is_silent && self.set_silent(since)
    }

    fn set_silent(&mut self, since: Time) -> bool {
        let is_news =
            self.silent_since.is_none_or(|known| since.since(known) >= SILENCE_RESOLUTION);
        if is_news {
            self.silent_since = Some(since);
        }
        is_news
    }

    /// What other daemons can use of it.
    pub fn facts(&self) -> ServerFacts {
        let Self { born, silent_since, responded_at, .. } = *self;
        let slowdown = self.slowdown.map(|reported| (reported.at, reported.value));
        ServerFacts { born, slowdown, silent_since, responded_at }
    }

    /// When a response last ended a silence, or refuted one that another daemon knew of.
    pub fn recovered_at(&self) -> Option<Time> {
        self.recovered_at
    }

    /// Applies what another daemon knows; returns whether more daemons should hear of it at once.
    pub fn apply_facts(&mut self, now: Time, facts: &ServerFacts) -> bool {
        if self.born != 0 && facts.born != self.born {
            return false;
        }
        let is_slow =
            facts.slowdown.is_some_and(|(at, percent)| self.record_slowdown(now, at, percent));
        let was_silent = self.silent_since.is_some();
        if let Some(at) = facts.responded_at {
            self.hear(at);
        }
        let is_refuted = match (facts.silent_since, self.responded_at) {
            (Some(since), Some(heard)) if since < heard => {
                self.recovered_at = Some(now);
                true
            }
            (Some(since), _) => {
                self.set_silent(since);
                false
            }
            (None, _) => false,
        };
        is_slow || is_refuted || was_silent != self.silent_since.is_some()
    }

    /// Slowdown expected now.
    pub fn slowdown(&self, now: Time) -> f64 {
        let Some(reported) = self.slowdown else {
            return 1.0;
        };
        let present = f64::from(reported.value) / 100.0;
        let weight = reported.weight(now, SLOWDOWN_VALIDITY);
        self.lasting_slowdown + weight * (present - self.lasting_slowdown)
    }

    /// Whether the machine was slower than usual by its last figure, which is still of use.
    pub fn is_slow(&self, now: Time) -> bool {
        self.slowdown.is_some_and(|reported| {
            let is_fresh = now.since(reported.at) < SLOWDOWN_VALIDITY;
            let limit = self.lasting_slowdown * (1.0 + SLOW_PART);
            is_fresh && f64::from(reported.value) / 100.0 > limit
        })
    }

    /// How likely the server is silent now, from 0 to 1.
    pub fn silence(&self, now: Time) -> f64 {
        self.silent_since.map_or(0.0, |at| Reported { at, value: () }.weight(now, SILENCE_VALIDITY))
    }

    /// Whether a silent server may be tried with a call that may be repeated.
    pub fn may_be_tried(&self, now: Time) -> bool {
        self.silent_since.is_some_and(|at| now.since(at) >= TRIAL_DELAY)
    }

    /// Time after which a response is late on a machine that is as fast as usual.
    pub fn late_after_ms(&self) -> f64 {
        self.lasting_slowdown * (self.work_ms + LATE_DEVIATIONS * self.deviation_ms)
    }

    fn learn_work(&mut self, work_ms: f64) {
        let error = (work_ms - self.work_ms).min(MAX_DEVIATIONS * self.deviation_ms);
        self.work_ms += EWMA_WEIGHT * error;
        self.deviation_ms += EWMA_WEIGHT * (error.abs() - self.deviation_ms);
    }

    /// How likely the server has stopped responding, from the calls that were lost or are overdue and
    /// since which it has not responded to any.
    fn unresponsiveness(&self, now: Time) -> f64 {
        let limit_ms = OVERDUE_MULTIPLE * self.late_after_ms() * self.slowdown(now).max(1.0);
        let is_overdue = |at: &&Time| {
            let is_unanswered = self.responded_at.is_none_or(|heard| heard < **at);
            is_unanswered && now.since(**at).0 as f64 > limit_ms
        };
        let overdue = self.outstanding.iter().filter(is_overdue).count() as f64;
        let lost = f64::from(self.lost.value) * self.lost.weight(now, SILENCE_VALIDITY);
        1.0 - DOUBT.powf(overdue + lost)
    }

    /// Calls in progress or waiting there now.
    fn ahead(&self, now: Time) -> f64 {
        let own = self.outstanding.len() as f64;
        let Some(load) = self.load else {
            return own;
        };
        let weight = load.weight(now, QUEUE_VALIDITY);
        own.max(self.usual_ahead + weight * (calls_ahead(load.value) - self.usual_ahead))
    }

    /// Mean time of a call at a slowdown of 1.
    pub fn work_ms(&self) -> f64 {
        self.work_ms
    }

    /// What to expect of a call sent now; `pooled_work_ms` is the mean time of a call at all servers of
    /// the service.
    pub fn estimate(&mut self, now: Time, slots: u32, pooled_work_ms: f64) -> Estimate {
        self.failures.decay(now);
        let own_weight = if self.reports_slowdown() { OWN_WORK_WEIGHT } else { 1.0 };
        let work_ms = (pooled_work_ms + own_weight * (self.work_ms - pooled_work_ms)).max(1.0);
        let service_ms = work_ms * self.slowdown(now);
        let slots = if self.responded_at.is_some() { f64::from(slots.max(1)) } else { 1.0 };
        let ahead = self.ahead(now);
        // Once all slots are taken, each full round of calls ahead adds one mean time.
        let rounds = 1.0 + ((ahead + 1.0 - slots) / slots).max(0.0);
        let failure_rate =
            self.failures.excess().max(self.unresponsiveness(now)).max(self.silence(now));
        Estimate {
            response_ms: service_ms * (rounds + 0.5 * ahead / slots),
            failure_ms: failure_rate * FAILURE_COST_MS,
            capacity_per_ms: slots / service_ms,
            arrivals_per_ms: self.usual_ahead / (work_ms * self.lasting_slowdown),
        }
    }
}

/// Calls at a server apart from the one in whose response it reported its load.
fn calls_ahead(load: Load) -> f64 {
    f64::from(load.running.saturating_add(load.waiting).saturating_sub(1))
}

/// What to expect of a call to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time to the response.
    pub response_ms: f64,
    /// Time that a failure costs, times its probability.
    pub failure_ms: f64,
    /// Calls that the server completes in a millisecond.
    pub capacity_per_ms: f64,
    /// Calls that it gets in a millisecond, in the mean.
    pub arrivals_per_ms: f64,
}
