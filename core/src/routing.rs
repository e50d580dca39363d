//! Which upstreams a request tries, in which order.
//!
//! The receiving daemon knows the load of upstreams only by hints in earlier replies of their
//! admission owners. It asks at most two or three owners, which know what runs there.

use crate::names::{FailureDomain, HostName, UpstreamName};
use crate::rendezvous;
use crate::service_file::ServiceSpec;
use crate::time::{Millis, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, HashMap};

/// Maximum upstreams whose owners are asked before a request queues.
pub const MAX_CANDIDATES: usize = 3;

/// Age from which a hint's load no longer affects the score.
const HINT_LIFETIME: Millis = Millis(5_000);

/// How long an upstream is ranked last after a failure. The score penalties for failures and for a
/// failure domain to avoid are multiples of it.
const AVOID_DURATION: Millis = Millis(2_000);

/// Score bonus per token of a cached prefix, in expected wait.
const PREFIX_BONUS_MS_PER_TOKEN: f64 = 0.1;

/// Score penalty at full utilisation, in expected wait.
const UTILISATION_PENALTY_MS: f64 = 100.0;

/// Score penalty for a hop to another failure domain, in expected wait.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Maximum upstreams of a service per daemon. Keeps the cost of a decision and the number of owners
/// that a daemon contacts independent of the system's size.
pub const POOL_SIZE: usize = 16;

/// Upstreams of `service` that the daemon on `host` uses: all, or a stable subset.
pub fn pool(host: &HostName, service: &ServiceSpec) -> Vec<UpstreamName> {
    let names = service.upstreams.keys();
    if service.upstreams.len() <= POOL_SIZE {
        return names.cloned().collect();
    }
    let ranked = rendezvous::ranked(host.as_str(), names.map(UpstreamName::as_str), POOL_SIZE);
    ranked.into_iter().map(UpstreamName::new).collect()
}

/// Upstreams sampled for a request, besides the one preferred for its prefix.
const SAMPLE_SIZE: usize = POOL_SIZE;

#[derive(Clone, Copy, Debug, Default)]
struct Hint {
    wait_ms: f64,
    /// Fraction of the upstream's limits in use.
    utilisation: f64,
    at: Time,
    failed_at: Option<Time>,
    outstanding: u32,
}

/// Criteria that rank a request's upstreams.
#[derive(Clone, Copy, Debug)]
pub struct RoutingCriteria<'a> {
    /// Hash of the prompt's shared prefix; 0 for none.
    pub prefix: u64,
    /// Length of that prefix, in tokens.
    pub prefix_tokens: u32,
    /// This daemon's failure domain.
    pub local_domain: &'a FailureDomain,
    /// Failure domain in which the request just failed.
    pub avoid: Option<&'a FailureDomain>,
}

/// Upstream and score, as in the decision log.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Score in milliseconds of expected wait; the lowest is tried first.
    pub score_ms: f64,
}

/// Ranks upstreams by hints about their load and recent failures.
#[derive(Clone, Debug, Default)]
pub struct Router {
    hints: HashMap<UpstreamName, Hint>,
}

impl Router {
    /// A router without hints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the owner's estimated wait and the fraction of the upstream's limits in use.
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

    /// Records that an attempt at an upstream failed.
    pub fn note_failure(&mut self, now: Time, upstream: &UpstreamName) {
        self.hints.entry(upstream.clone()).or_default().failed_at = Some(now);
    }

    /// Records that a request starts at an upstream.
    pub fn note_start(&mut self, upstream: &UpstreamName) {
        self.hints.entry(upstream.clone()).or_default().outstanding += 1;
    }

    /// Records that a request ended at an upstream.
    pub fn note_end(&mut self, upstream: &UpstreamName) {
        let hint = self.hints.entry(upstream.clone()).or_default();
        hint.outstanding = hint.outstanding.saturating_sub(1);
    }

    /// This daemon's requests in progress at an upstream.
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.hints.get(upstream).map_or(0, |hint| hint.outstanding)
    }

    /// Upstreams to try, best first, at most [`MAX_CANDIDATES`]: from `pool`, or from all of the
    /// service when none of the pool is usable.
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

    /// The upstream that requests with this prefix prefer, as it most likely caches the prefix.
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
            let is_cross_domain = spec.failure_domain != *criteria.local_domain;
            score += if is_cross_domain { CROSS_DOMAIN_MS } else { 0.0 };
            let is_avoided = criteria.avoid == Some(&spec.failure_domain);
            score += if is_avoided { AVOID_DURATION.0 as f64 } else { 0.0 };
        }
        let has_failed = hint.failed_at.is_some_and(|at| now.since(at) < AVOID_DURATION);
        score += if has_failed { 2.0 * AVOID_DURATION.0 as f64 } else { 0.0 };
        score + rng.random_range(0.0..1.0)
    }

    /// Drops hints about unknown upstreams.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.hints.retain(|name, _| is_known(name));
    }
}

/// Maximum owners at which a request queues at once.
pub const MAX_QUEUES: usize = 2;

/// Next step of a request that looks for an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask this upstream's owner, without queueing.
    Ask(UpstreamName),
    /// Queue at the owners of all of these until one grants admission, then withdraw from the others.
    Queue(Vec<UpstreamName>),
    /// Refuse the request: it has not run and may be retried after this time.
    GiveUp(Millis),
}

/// The sequence in which a request tries its candidates.
#[derive(Clone, Debug)]
pub struct Plan {
    candidates: Vec<UpstreamName>,
    asked: usize,
    /// Waits that owners estimated, in order of the candidates; `None` where one refused.
    waits: Vec<Option<Millis>>,
    queued: bool,
    retry_after: Millis,
}

/// Retry delay when no upstream is usable.
const NO_UPSTREAM_RETRY_AFTER: Millis = Millis(1_000);

impl Plan {
    /// A plan over `candidates`, best first.
    pub fn new(candidates: Vec<UpstreamName>) -> Self {
        let waits = Vec::with_capacity(candidates.len());
        Self { candidates, asked: 0, waits, queued: false, retry_after: NO_UPSTREAM_RETRY_AFTER }
    }

    /// The next step; call it at the start, after each reply to [`NextStep::Ask`], and when every
    /// owner at which the request queued has refused.
    pub fn next_step(&mut self) -> NextStep {
        // A single candidate is asked to queue at once, which saves a round trip.
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

    /// The candidates with the shortest waits, at most [`MAX_QUEUES`].
    fn shortest_waits(&self) -> Vec<UpstreamName> {
        let with_waits = self.candidates.iter().zip(&self.waits);
        let mut waits: Vec<_> =
            with_waits.filter_map(|(name, wait)| Some(((*wait)?, name))).collect();
        waits.sort();
        waits.into_iter().take(MAX_QUEUES).map(|(_, name)| name.clone()).collect()
    }

    /// Records that the owner just asked expects no capacity for `wait`.
    pub fn busy(&mut self, wait: Millis) {
        self.waits.push(Some(wait));
    }

    /// Records that the owner just asked refused or did not reply.
    pub fn refused(&mut self, retry_after: Millis) {
        self.retry_after = retry_after;
        self.waits.push(None);
    }
}
