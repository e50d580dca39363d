//! Load balancing of calls to plain services: picks a server with a low expected latency.
//!
//! A daemon uses its own outstanding calls, the load that servers reported with earlier responses,
//! and the outcomes of earlier calls. A failure counts as the time it wastes.
//!
//! Servers that report the slowdown of their machines are chosen by [`ServerModel`]: the faster ones
//! by far more often, but never so often that the calls which leave slow servers overload them.

use crate::failure_rate::FailureRate;
use crate::names::UpstreamName;
use crate::server_model::{Estimate, ServerFacts, ServerModel};
use crate::time::{Millis, Time};
use rand::{Rng, RngExt};
use std::collections::HashMap;
use strum::{Display, EnumString};

/// Weight of the newest response in a server's moving average of latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// Latency assumed before a server's first response: the service time of a call in the users'
/// data sheets.
const PRIOR_LATENCY_MS: f64 = 30.0;

/// Cost of a certain failure: the callers' timeout.
const FAILURE_COST_MS: f64 = 1_000.0;

/// Age from which a reported load is ignored.
const LOAD_MAX_AGE: Millis = Millis(500);

/// Extra latency of a server in another failure domain.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Random jitter on scores, so that daemons do not all choose the same server.
const SCORE_JITTER_MS: f64 = 3.0;

/// Preference for faster servers: a server's share falls with this power of its expected time. The
/// first one applies that overloads no server.
const PREFERENCES: [i32; 4] = [8, 4, 2, 1];

/// Utilisation up to which calls rarely wait for a slot for longer than a slow machine takes.
const MAX_UTILISATION: f64 = 0.85;

/// Part of the calls that may be repeated with which silent servers are tried.
const TRIAL_SHARE: f64 = 0.05;

/// Minimum time before a response is late, which covers the way to a server and back.
const MIN_LATE: Millis = Millis(20);

/// Time after a server was slow or silent for which other daemons are told about it.
const TOLD_FOR: Millis = Millis(2_000);

/// When servers are chosen by their models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ModelUse {
    /// For services whose servers report the slowdown of their machines.
    #[default]
    Reported,
    /// For all services.
    Always,
    /// For none.
    Never,
}

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

#[derive(Clone, Debug)]
struct Server {
    model: ServerModel,
    outstanding: u32,
    mean_latency_ms: f64,
    failures: FailureRate,
    load: Option<(Time, Load)>,
}

impl Candidate<'_> {
    fn domain_ms(&self) -> f64 {
        if self.in_same_domain { 0.0 } else { CROSS_DOMAIN_MS }
    }

    fn unreachable_ms(&self) -> f64 {
        if self.is_unreachable { FAILURE_COST_MS } else { 0.0 }
    }
}

impl Server {
    fn new(now: Time) -> Self {
        Self {
            model: ServerModel::new(now),
            outstanding: 0,
            mean_latency_ms: PRIOR_LATENCY_MS,
            failures: FailureRate::new(now),
            load: None,
        }
    }

    fn expected_ms(&self, now: Time, slots: u32) -> f64 {
        let fresh = self.load.filter(|(at, _)| now.since(*at) < LOAD_MAX_AGE);
        let reported = fresh.map_or(0, |(_, load)| load.running.saturating_add(load.waiting));
        let ahead = f64::from(self.outstanding.max(reported));
        let slots = f64::from(slots.max(1));
        // Once all slots are taken, each full round of calls ahead adds one mean latency.
        let rounds = 1.0 + ((ahead + 1.0 - slots) / slots).max(0.0);
        let utilisation = ahead / slots;
        self.mean_latency_ms * (rounds + 0.5 * utilisation) + self.failures.rate() * FAILURE_COST_MS
    }
}

/// A server that can take a call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the server.
    pub name: &'a UpstreamName,
    /// When this incarnation of it started.
    pub born: u64,
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
    model_use: ModelUse,
}

/// The server chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// Name of the server.
    pub name: &'a UpstreamName,
    /// When to send the call to a second server, too, if it may be repeated and the first has not
    /// responded; `None` where servers are not chosen by their models.
    pub late_after: Option<Millis>,
}

impl Balancer {
    /// Creates a balancer without statistics.
    pub fn new() -> Self {
        Self::default()
    }

    fn server(&mut self, now: Time, name: &UpstreamName) -> &mut Server {
        self.servers.entry(name.clone()).or_insert_with(|| Server::new(now))
    }

    /// Sets when servers are chosen by their models.
    pub fn with_model_use(mut self, model_use: ModelUse) -> Self {
        self.model_use = model_use;
        self
    }

    /// Chooses a server; `None` without candidates.
    pub fn choose<'a, R: Rng>(
        &mut self,
        now: Time,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
        may_repeat: bool,
        rng: &mut R,
    ) -> Option<Choice<'a>> {
        let candidates: Vec<_> = candidates.into_iter().collect();
        for candidate in &candidates {
            self.server(now, candidate.name).model.set_incarnation(now, candidate.born);
        }
        if self.uses_models(&candidates) {
            return self.choose_by_model(now, &candidates, may_repeat, rng);
        }
        let mut best: Option<(f64, &UpstreamName)> = None;
        for candidate in candidates {
            let server = self.server(now, candidate.name);
            server.failures.decay(now);
            let mut score = server.expected_ms(now, candidate.slots);
            score += candidate.domain_ms() + candidate.unreachable_ms();
            score += rng.random_range(0.0..SCORE_JITTER_MS);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate.name));
            }
        }
        best.map(|(_, name)| Choice { name, late_after: None })
    }

    fn uses_models(&self, candidates: &[Candidate<'_>]) -> bool {
        let reports = |candidate: &Candidate<'_>| {
            let server = self.servers.get(candidate.name);
            server.is_some_and(|server| server.model.reports_slowdown())
        };
        match self.model_use {
            ModelUse::Always => true,
            ModelUse::Never => false,
            ModelUse::Reported => candidates.iter().any(reports),
        }
    }

    fn choose_by_model<'a, R: Rng>(
        &mut self,
        now: Time,
        candidates: &[Candidate<'a>],
        may_repeat: bool,
        rng: &mut R,
    ) -> Option<Choice<'a>> {
        let mut pooled_work_ms = 0.0;
        let mut late_after_ms = f64::INFINITY;
        for candidate in candidates {
            let model = &self.server(now, candidate.name).model;
            pooled_work_ms += model.work_ms() / candidates.len() as f64;
            late_after_ms = late_after_ms.min(model.late_after_ms());
        }
        let late_after = Some(Millis(late_after_ms as u64).max(MIN_LATE));
        let mut estimates = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let model = &mut self.server(now, candidate.name).model;
            let is_trial = may_repeat && candidates.len() > 1 && model.may_be_tried(now);
            if is_trial && rng.random_bool(TRIAL_SHARE) {
                return Some(Choice { name: candidate.name, late_after });
            }
            let mut estimate = model.estimate(now, candidate.slots, pooled_work_ms);
            estimate.response_ms += candidate.domain_ms();
            estimate.failure_ms += candidate.unreachable_ms();
            estimates.push(estimate);
        }
        let mut left = rng.random::<f64>();
        let chosen = shares(&estimates).into_iter().position(|share| {
            left -= share;
            left < 0.0
        });
        let chosen = candidates.get(chosen.unwrap_or(0))?;
        Some(Choice { name: chosen.name, late_after })
    }

    /// Records the start of a call.
    pub fn started(&mut self, now: Time, name: &UpstreamName) {
        let server = self.server(now, name);
        server.outstanding += 1;
        server.model.started(now);
    }

    /// Records the end of a call that was sent at `sent_at`; `outcome` is `None` if the caller left
    /// before the response.
    pub fn ended(
        &mut self,
        now: Time,
        name: &UpstreamName,
        sent_at: Time,
        outcome: Option<Outcome>,
    ) {
        let server = self.server(now, name);
        server.outstanding = server.outstanding.saturating_sub(1);
        server.model.ended(sent_at);
        let Some(outcome) = outcome else {
            return;
        };
        let took = now.since(sent_at);
        match outcome {
            Outcome::Responded => {
                server.failures.note_success(now);
                server.mean_latency_ms +=
                    LATENCY_EWMA_WEIGHT * (took.0 as f64 - server.mean_latency_ms);
                server.model.responded(now, took);
            }
            Outcome::Error => {
                server.failures.note_failure(now);
                server.model.failed(now, true);
            }
            Outcome::NoResponse => {
                server.failures.note_failure(now);
                server.model.failed(now, false);
                server.model.given_up(now, took);
            }
        }
    }

    /// Records that a request failed at two servers, which shows that the request was the cause.
    pub fn failed_at_both(&mut self, now: Time, names: [&UpstreamName; 2]) {
        for name in names {
            self.server(now, name).model.excuse_failure();
        }
    }

    /// Records the load that a server reported; returns whether other daemons should hear of it at
    /// once.
    pub fn record_load(&mut self, now: Time, name: &UpstreamName, load: Load) -> bool {
        let server = self.server(now, name);
        server.load = Some((now, load));
        server.model.record_load(now, load)
    }

    /// Records that a response is late. That counts as a failure, also if the call is withdrawn before
    /// its end.
    pub fn note_late(&mut self, now: Time, name: &UpstreamName) {
        self.server(now, name).failures.note_failure(now);
    }

    /// Records that another server responded to a request first, `waited` after it was sent to this one.
    pub fn overtaken(&mut self, now: Time, name: &UpstreamName, waited: Millis) {
        self.server(now, name).model.given_up(now, waited);
    }

    /// Marks a server as silent if it is by now; returns whether other daemons should hear of it at
    /// once.
    pub fn note_silence(&mut self, now: Time, name: &UpstreamName) -> bool {
        self.server(now, name).model.note_silence(now)
    }

    /// At most `max` servers that were slow or silent lately, for other daemons.
    pub fn news(&self, now: Time, max: usize) -> Vec<(&UpstreamName, ServerFacts)> {
        if self.model_use == ModelUse::Never {
            return Vec::new();
        }
        let is_news = |model: &ServerModel| {
            let changed_at = model.facts().silent_since.max(model.recovered_at());
            model.is_slow(now) || changed_at.is_some_and(|at| now.since(at) < TOLD_FOR)
        };
        let news = self.servers.iter().filter(|(_, server)| is_news(&server.model));
        news.map(|(name, server)| (name, server.model.facts())).take(max).collect()
    }

    /// Applies what another daemon knows of a server; returns whether more daemons should hear of it
    /// at once.
    pub fn apply_news(&mut self, now: Time, name: &UpstreamName, facts: &ServerFacts) -> bool {
        self.model_use != ModelUse::Never && self.server(now, name).model.apply_facts(now, facts)
    }

    /// Drops unknown servers without outstanding calls.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.servers.retain(|name, server| server.outstanding > 0 || is_known(name));
    }
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded.
    Responded,
    /// The server responded with an error.
    Error,
    /// The call got no usable response.
    NoResponse,
}

/// Shares of the calls for each server: the more unequal, the less of their capacity is in use.
/// Failing servers are avoided all the same.
fn shares(estimates: &[Estimate]) -> Vec<f64> {
    let arrivals: f64 = estimates.iter().map(|estimate| estimate.arrivals_per_ms).sum();
    let mut shares = Vec::new();
    for preference in PREFERENCES {
        let weight = |e: &Estimate| {
            let success = e.response_ms / (e.response_ms + e.failure_ms);
            e.response_ms.powi(-preference) * success.powi(PREFERENCES[0])
        };
        let sum: f64 = estimates.iter().map(weight).sum();
        shares = estimates.iter().map(|estimate| weight(estimate) / sum).collect();
        let is_overloaded = |(share, estimate): (&f64, &Estimate)| {
            arrivals * share > MAX_UTILISATION * estimate.capacity_per_ms
        };
        if !shares.iter().zip(estimates).any(is_overloaded) {
            break;
        }
    }
    shares
}
