//! Which upstreams a request tries, and in which order.
//!
//! An entry daemon knows upstreams only by hints from earlier answers of their owners. It asks
//! two or three owners at most; the owners know what runs there.

use crate::names::{FailureDomain, HostName, UpstreamName};
use crate::rendezvous;
use crate::service_file::ServiceSpec;
use crate::time::{Millis, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, HashMap};

/// Upstreams that one request asks at most before it waits at one of them.
pub const MAX_CANDIDATES: usize = 3;

/// Age at which a hint says nothing any more.
const HINT_LIFETIME: Millis = Millis(5_000);

/// How long an upstream that failed is tried last.
const AVOID_DURATION: Millis = Millis(2_000);

/// Wait that a cached prefix is worth for each of its tokens, in milliseconds.
const PREFIX_BONUS_MS_PER_TOKEN: f64 = 0.1;

/// Wait that an upstream's use of all its bounds counts as, in milliseconds.
const UTILISATION_PENALTY_MS: f64 = 100.0;

/// Wait that a hop to another failure domain costs, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 2.0;

/// Upstreams of a service that one daemon uses. A bounded pool keeps the cost of a decision, and
/// the number of owners that a daemon talks to, apart from the size of the whole system.
pub const POOL_SIZE: usize = 16;

/// The upstreams of `service` that the daemon of `host` uses.
pub fn pool(host: &HostName, service: &ServiceSpec) -> Vec<UpstreamName> {
    let names = service.upstreams.keys();
    if service.upstreams.len() <= POOL_SIZE {
        return names.cloned().collect();
    }
    let ranked = rendezvous::ranked(host.as_str(), names.map(UpstreamName::as_str), POOL_SIZE);
    ranked.into_iter().map(UpstreamName::new).collect()
}

/// Upstreams sampled for a request besides those that suit its prefix.
const SAMPLE_SIZE: usize = POOL_SIZE;

#[derive(Clone, Copy, Debug, Default)]
struct Hint {
    wait_ms: f64,
    /// Part of the upstream's bounds in use.
    utilisation: f64,
    at: Time,
    failed_at: Option<Time>,
    outstanding: u32,
}

/// What a request looks for.
#[derive(Clone, Copy, Debug)]
pub struct RoutingCriteria<'a> {
    /// Hash of the prompt's shared prefix; zero for none.
    pub prefix: u64,
    /// Tokens of that prefix.
    pub prefix_tokens: u32,
    /// Where this daemon stands.
    pub local_domain: &'a FailureDomain,
    /// A failure domain that just failed the request.
    pub avoid: Option<&'a FailureDomain>,
}

/// Why an upstream was chosen, for the decision log.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its score in milliseconds of expected wait; the lowest goes first.
    pub score_ms: f64,
}

/// Hints about upstreams and the choice among them.
#[derive(Clone, Debug, Default)]
pub struct Router {
    hints: HashMap<UpstreamName, Hint>,
}

impl Router {
    /// A router without hints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the wait that an owner named and the part of the upstream's bounds in use.
    pub fn note_load(
        &mut self,
        now: Time,
        upstream: &UpstreamName,
        wait: Millis,
        utilisation: f64,
    ) {
        let hint = self.hints.entry(upstream.clone()).or_default();
        hint.wait_ms = wait.0 as f64;
        hint.utilisation = utilisation;
        hint.at = now;
    }

    /// Notes that an attempt at an upstream failed.
    pub fn note_failure(&mut self, now: Time, upstream: &UpstreamName) {
        self.hints.entry(upstream.clone()).or_default().failed_at = Some(now);
    }

    /// Notes that a request starts at an upstream.
    pub fn note_start(&mut self, upstream: &UpstreamName) {
        self.hints.entry(upstream.clone()).or_default().outstanding += 1;
    }

    /// Notes that a request ended at an upstream.
    pub fn note_end(&mut self, upstream: &UpstreamName) {
        let hint = self.hints.entry(upstream.clone()).or_default();
        hint.outstanding = hint.outstanding.saturating_sub(1);
    }

    /// Requests of this daemon in progress at an upstream.
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.hints.get(upstream).map_or(0, |hint| hint.outstanding)
    }

    /// The upstreams of `pool` to try, best first; all of the service's when none of the pool is
    /// usable.
    pub fn candidates<R: Rng>(
        &self,
        now: Time,
        service: &ServiceSpec,
        pool: &[UpstreamName],
        is_usable: impl Fn(&UpstreamName) -> bool,
        criteria: RoutingCriteria<'_>,
        rng: &mut R,
    ) -> Vec<Candidate> {
        let mut usable: Vec<_> = pool.iter().filter(|name| is_usable(name)).collect();
        if usable.is_empty() {
            usable = service.upstreams.keys().filter(|name| is_usable(name)).collect();
        }
        let mut chosen: BTreeMap<&UpstreamName, f64> = BTreeMap::new();
        for name in self.preferred_for_prefix(&usable, criteria.prefix) {
            let bonus = f64::from(criteria.prefix_tokens) * PREFIX_BONUS_MS_PER_TOKEN;
            chosen.insert(name, self.score(now, service, name, criteria, rng) - bonus);
        }
        for name in usable.sample(rng, SAMPLE_SIZE) {
            chosen.entry(name).or_insert_with(|| self.score(now, service, name, criteria, rng));
        }
        let mut candidates: Vec<_> = chosen
            .into_iter()
            .map(|(name, score_ms)| Candidate { upstream: name.clone(), score_ms })
            .collect();
        candidates.sort_by(|a, b| a.score_ms.total_cmp(&b.score_ms));
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    /// The upstream where answers with this prefix usually go.
    fn preferred_for_prefix<'a>(
        &self,
        usable: &[&'a UpstreamName],
        prefix: u64,
    ) -> Vec<&'a UpstreamName> {
        if prefix == 0 {
            return Vec::new();
        }
        let key = prefix.to_string();
        let preferred = rendezvous::owner(&key, usable.iter().map(|name| name.as_str()));
        usable.iter().filter(|name| Some(name.as_str()) == preferred).copied().collect()
    }

    fn score<R: Rng>(
        &self,
        now: Time,
        service: &ServiceSpec,
        name: &UpstreamName,
        criteria: RoutingCriteria<'_>,
        rng: &mut R,
    ) -> f64 {
        let hint = self.hints.get(name).copied().unwrap_or_default();
        let age = now.since(hint.at).0 as f64 / HINT_LIFETIME.0 as f64;
        let mut score =
            (hint.wait_ms + hint.utilisation * UTILISATION_PENALTY_MS) * (1.0 - age).max(0.0);
        score += f64::from(hint.outstanding);
        if let Some(spec) = service.upstreams.get(name) {
            let is_remote = spec.failure_domain != *criteria.local_domain;
            score += if is_remote { REMOTE_PENALTY_MS } else { 0.0 };
            let is_avoided = criteria.avoid == Some(&spec.failure_domain);
            score += if is_avoided { AVOID_DURATION.0 as f64 } else { 0.0 };
        }
        let failed = hint.failed_at.is_some_and(|at| now.since(at) < AVOID_DURATION);
        score += if failed { 2.0 * AVOID_DURATION.0 as f64 } else { 0.0 };
        score + rng.random_range(0.0..1.0)
    }

    /// Drops hints about upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.hints.retain(|name, _| is_known(name));
    }
}

/// Owners at which a request queues at the same time.
pub const MAX_QUEUES: usize = 2;

/// How a request goes on after an owner's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask this owner, without waiting there.
    Ask(UpstreamName),
    /// Wait at all of these until one grants a place; the others are told that it is over.
    Queue(Vec<UpstreamName>),
    /// Give up: the request is not run and may come back after this time.
    GiveUp(Millis),
}

/// One request's way through its candidates.
#[derive(Clone, Debug)]
pub struct Plan {
    candidates: Vec<UpstreamName>,
    asked: usize,
    /// Waits that owners named, in the order of the candidates; none where one refused.
    waits: Vec<Option<Millis>>,
    queued: bool,
    retry_after: Millis,
}

/// Retry time when no upstream is usable.
const NO_UPSTREAM_RETRY_AFTER: Millis = Millis(1_000);

impl Plan {
    /// A plan over `candidates`, best first.
    pub fn new(candidates: Vec<UpstreamName>) -> Self {
        let waits = Vec::with_capacity(candidates.len());
        Self { candidates, asked: 0, waits, queued: false, retry_after: NO_UPSTREAM_RETRY_AFTER }
    }

    /// The next step; call it first, after each answer to a question, and when every owner at
    /// which the request queued has refused.
    pub fn next_step(&mut self) -> NextStep {
        // The only candidate is asked to queue at once, which saves a round trip.
        if self.candidates.len() == 1 && !self.queued {
            self.queued = true;
            return NextStep::Queue(self.candidates.clone());
        }
        if let Some(upstream) = self.candidates.get(self.asked).filter(|_| !self.queued) {
            self.asked += 1;
            return NextStep::Ask(upstream.clone());
        }
        let shortest = self.shortest_waits();
        if self.queued || shortest.is_empty() {
            return NextStep::GiveUp(self.retry_after);
        }
        self.queued = true;
        NextStep::Queue(shortest)
    }

    /// The candidates with the shortest waits.
    fn shortest_waits(&self) -> Vec<UpstreamName> {
        let with_waits = self.candidates.iter().zip(&self.waits);
        let mut waits: Vec<_> =
            with_waits.filter_map(|(name, wait)| Some(((*wait)?, name))).collect();
        waits.sort();
        waits.into_iter().take(MAX_QUEUES).map(|(_, name)| name.clone()).collect()
    }

    /// Notes that the owner just asked has no room for `wait`.
    pub fn busy(&mut self, wait: Millis) {
        self.waits.push(Some(wait));
    }

    /// Notes that the owner just asked refused, or did not answer.
    pub fn refused(&mut self, retry_after: Millis) {
        self.retry_after = retry_after;
        self.waits.push(None);
    }
}
