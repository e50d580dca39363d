//! Load balancing of calls to plain services: picks the server with the lowest expected latency.
//!
//! A daemon uses its own outstanding calls, the load that servers reported with earlier responses,
//! and the outcomes of earlier calls. A failure counts as the time it wastes.

use crate::names::UpstreamName;
use crate::time::{Millis, Time};
use rand::{Rng, RngExt};
use std::collections::HashMap;

/// Weight of the newest response in a server's moving average of latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// Latency assumed before a server's first response: the service time of a call in the users'
/// data sheets.
const PRIOR_LATENCY_MS: f64 = 30.0;

/// Half-life of the weight of an observed outcome.
const FAILURE_HALF_LIFE: Millis = Millis(3_000);

/// Weight of the prior failure rate, in calls.
const PRIOR_CALLS: f64 = 4.0;

/// Failure rate expected of any server; more indicates a problem.
const PRIOR_FAILURE_RATE: f64 = 0.1;

/// Cost of a certain failure: the callers' timeout.
const FAILURE_COST_MS: f64 = 1_000.0;

/// Age from which a reported load is ignored.
const LOAD_MAX_AGE: Millis = Millis(500);

/// Extra latency of a server in another failure domain.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Random jitter on scores, so that daemons do not all choose the same server.
const SCORE_JITTER_MS: f64 = 3.0;

/// Load reported by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Calls in progress.
    pub running: u32,
    /// Calls queued.
    pub waiting: u32,
    /// Maximum concurrent calls.
    pub slots: u32,
    /// How long work takes on the server's machine at this moment, in hundredths of the usual time;
    /// absent if the server does not report it.
    pub slowdown_percent: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Server {
    outstanding: u32,
    mean_latency_ms: f64,
    /// Ended calls, and failed ones among them, weighted by age as of `decayed_at`.
    calls: f64,
    failures: f64,
    decayed_at: Time,
    load: Option<(Time, Load)>,
}

impl Server {
    fn new(now: Time) -> Self {
        Self {
            outstanding: 0,
            mean_latency_ms: PRIOR_LATENCY_MS,
            calls: 0.0,
            failures: 0.0,
            decayed_at: now,
            load: None,
        }
    }

    fn decay(&mut self, now: Time) {
        let age = now.since(self.decayed_at).0 as f64 / FAILURE_HALF_LIFE.0 as f64;
        let factor = 0.5_f64.powf(age);
        self.calls *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    fn failure_rate(&self) -> f64 {
        (self.failures + PRIOR_CALLS * PRIOR_FAILURE_RATE) / (self.calls + PRIOR_CALLS)
    }

    fn expected_ms(&self, now: Time, slots: u32) -> f64 {
        let fresh = self.load.filter(|(at, _)| now.since(*at) < LOAD_MAX_AGE);
        let reported = fresh.map_or(0, |(_, load)| load.running + load.waiting);
        let ahead = f64::from(self.outstanding.max(reported));
        let slots = f64::from(slots.max(1));
        // Once all slots are taken, each full round of calls ahead adds one mean latency.
        let rounds = 1.0 + ((ahead + 1.0 - slots) / slots).max(0.0);
        let utilisation = ahead / slots;
        self.mean_latency_ms * (rounds + 0.5 * utilisation) + self.failure_rate() * FAILURE_COST_MS
    }
}

/// A server that can take a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the server.
    pub name: &'a UpstreamName,
    /// Number of concurrent calls that it accepts.
    pub slots: u32,
    /// Whether it is in this daemon's failure domain.
    pub in_same_domain: bool,
    /// Whether it was recently unreachable.
    pub is_unreachable: bool,
}

/// One daemon's statistics on servers of plain services.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    servers: HashMap<UpstreamName, Server>,
}

impl Balancer {
    /// Creates a balancer without statistics.
    pub fn new() -> Self {
        Self::default()
    }

    fn server(&mut self, now: Time, name: &UpstreamName) -> &mut Server {
        self.servers.entry(name.clone()).or_insert_with(|| Server::new(now))
    }

    /// The candidate with the lowest score; `None` without candidates.
    pub fn choose<'a, R: Rng>(
        &mut self,
        now: Time,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
        rng: &mut R,
    ) -> Option<&'a UpstreamName> {
        let mut best: Option<(f64, &UpstreamName)> = None;
        for candidate in candidates {
            let server = self.server(now, candidate.name);
            server.decay(now);
            let mut score = server.expected_ms(now, candidate.slots);
            score += if candidate.in_same_domain { 0.0 } else { CROSS_DOMAIN_MS };
            score += if candidate.is_unreachable { FAILURE_COST_MS } else { 0.0 };
            score += rng.random_range(0.0..SCORE_JITTER_MS);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate.name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Records the start of a call.
    pub fn started(&mut self, now: Time, name: &UpstreamName) {
        self.server(now, name).outstanding += 1;
    }

    /// Records the end of a call; `outcome` is `None` if the caller left before the response.
    pub fn ended(&mut self, now: Time, name: &UpstreamName, outcome: Option<Outcome>) {
        let server = self.server(now, name);
        server.outstanding = server.outstanding.saturating_sub(1);
        let Some(outcome) = outcome else {
            return;
        };
        server.decay(now);
        server.calls += 1.0;
        match outcome {
            Outcome::Responded(took) => {
                server.mean_latency_ms +=
                    LATENCY_EWMA_WEIGHT * (took.0 as f64 - server.mean_latency_ms);
            }
            Outcome::Failed => server.failures += 1.0,
        }
    }

    /// Records the load that a server reported.
    pub fn record_load(&mut self, now: Time, name: &UpstreamName, load: Load) {
        self.server(now, name).load = Some((now, load));
    }

    /// Drops unknown servers without outstanding calls.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.servers.retain(|name, server| server.outstanding > 0 || is_known(name));
    }
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded after this time.
    Responded(Millis),
    /// The call failed or got no response.
    Failed,
}
