//! Which server of a plain service a call goes to: the one with the least expected time.
//!
//! A daemon knows the calls that it has in progress itself, what servers told of their load with
//! earlier answers, and how earlier calls ended. Failures weigh as the time that they waste.

use crate::names::UpstreamName;
use crate::time::{Millis, Time};
use rand::{Rng, RngExt};
use std::collections::HashMap;

/// Weight of the newest answer in the mean time of a server.
const NEWEST_WEIGHT: f64 = 0.2;

/// Time of a call at a server that has not answered yet, in milliseconds: the work of the users'
/// sheets.
const PRIOR_MS: f64 = 30.0;

/// Time after which an observed failure weighs half.
const FAILURE_HALF_LIFE: Millis = Millis(3_000);

/// Answers that a server without history is credited with.
const PRIOR_ANSWERS: f64 = 4.0;

/// Part of calls that fail anywhere, of which a failure more is a sign of trouble.
const PRIOR_FAILURES: f64 = 0.1;

/// Expected time that a certain failure counts as, in milliseconds: the callers' time limit.
const FAILURE_MS: f64 = 1_000.0;

/// Age at which a server's word about its load says nothing any more.
const LOAD_LIFETIME: Millis = Millis(500);

/// Extra time of another failure domain, in milliseconds.
const DISTANCE_MS: f64 = 2.0;

/// Random spread of the scores, so that daemons do not all choose alike, in milliseconds.
const SPREAD_MS: f64 = 3.0;

/// What a server told of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
    /// Calls that it works on at most.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Server {
    outstanding: u32,
    mean_ms: f64,
    answers: f64,
    failures: f64,
    faded_at: Time,
    load: Option<(Time, Load)>,
}

impl Server {
    fn new(now: Time) -> Self {
        Self {
            outstanding: 0,
            mean_ms: PRIOR_MS,
            answers: 0.0,
            failures: 0.0,
            faded_at: now,
            load: None,
        }
    }

    fn fade(&mut self, now: Time) {
        let age = now.since(self.faded_at).0 as f64 / FAILURE_HALF_LIFE.0 as f64;
        let factor = 0.5_f64.powf(age);
        self.answers *= factor;
        self.failures *= factor;
        self.faded_at = now;
    }

    fn failure_rate(&self) -> f64 {
        (self.failures + PRIOR_ANSWERS * PRIOR_FAILURES) / (self.answers + PRIOR_ANSWERS)
    }

    fn expected_ms(&self, now: Time, slots: u32) -> f64 {
        let told = self.load.filter(|(at, _)| now.since(*at) < LOAD_LIFETIME);
        let told = told.map_or(0, |(_, load)| load.running + load.waiting);
        let ahead = f64::from(self.outstanding.max(told));
        let slots = f64::from(slots.max(1));
        // Beyond its slots, each round of calls ahead costs one more mean time.
        let rounds = 1.0 + ((ahead + 1.0 - slots) / slots).max(0.0);
        let crowding = ahead / slots;
        self.mean_ms * (rounds + 0.5 * crowding) + self.failure_rate() * FAILURE_MS
    }
}

/// A server that a call may go to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a UpstreamName,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it stands in this daemon's failure domain.
    pub is_near: bool,
    /// Whether it could not be reached a moment ago.
    pub is_down: bool,
}

/// One daemon's knowledge of the servers of plain services.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    servers: HashMap<UpstreamName, Server>,
}

impl Balancer {
    /// Knows no server yet.
    pub fn new() -> Self {
        Self::default()
    }

    fn server(&mut self, now: Time, name: &UpstreamName) -> &mut Server {
        self.servers.entry(name.clone()).or_insert_with(|| Server::new(now))
    }

    /// The candidate with the least expected time.
    pub fn choose<'a, R: Rng>(
        &mut self,
        now: Time,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
        rng: &mut R,
    ) -> Option<&'a UpstreamName> {
        let mut best: Option<(f64, &UpstreamName)> = None;
        for candidate in candidates {
            let server = self.server(now, candidate.name);
            server.fade(now);
            let mut score = server.expected_ms(now, candidate.slots);
            score += if candidate.is_near { 0.0 } else { DISTANCE_MS };
            score += if candidate.is_down { FAILURE_MS } else { 0.0 };
            score += rng.random_range(0.0..SPREAD_MS);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate.name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Notes that a call starts.
    pub fn started(&mut self, now: Time, name: &UpstreamName) {
        self.server(now, name).outstanding += 1;
    }

    /// Notes that a call ended; `took` is absent when the caller left before the answer.
    pub fn ended(&mut self, now: Time, name: &UpstreamName, outcome: Option<Outcome>) {
        let server = self.server(now, name);
        server.outstanding = server.outstanding.saturating_sub(1);
        let Some(outcome) = outcome else {
            return;
        };
        server.fade(now);
        server.answers += 1.0;
        match outcome {
            Outcome::Answered(took) => {
                server.mean_ms += NEWEST_WEIGHT * (took.0 as f64 - server.mean_ms);
            }
            Outcome::Failed => server.failures += 1.0,
        }
    }

    /// Notes what a server told of its load.
    pub fn told(&mut self, now: Time, name: &UpstreamName, load: Load) {
        self.server(now, name).load = Some((now, load));
    }

    /// Drops servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.servers.retain(|name, server| server.outstanding > 0 || is_known(name));
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered after this time.
    Answered(Millis),
    /// It failed, or gave no answer.
    Failed,
}
