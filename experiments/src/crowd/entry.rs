//! One entry daemon as the world sees it: what it knows, apart from all others.

use super::policy::Policy;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::routing::{Plan, Router, RoutingCriteria};
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// State of one entry daemon.
pub(super) struct Entry {
    turn: usize,
    pub(super) outstanding: Vec<u32>,
    /// Answers and requests at each engine by its latest report.
    pub(super) reported: Vec<u32>,
    pub(super) router: Router,
    pool: Vec<UpstreamName>,
    rng: ChaCha8Rng,
    pub(super) domain: magnoliawinch::names::FailureDomain,
}

impl Entry {
    pub(super) fn new(
        place: usize,
        engines: &[UpstreamName],
        seed: u64,
        domain: magnoliawinch::names::FailureDomain,
    ) -> Self {
        Self {
            turn: place,
            outstanding: vec![0; engines.len()],
            reported: vec![0; engines.len()],
            router: Router::new(),
            pool: engines.to_vec(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ((place as u64) << 32)),
            domain,
        }
    }

    /// The engine that a direct policy takes among those that are alive.
    pub(super) fn choose(&mut self, policy: Policy, alive: &[usize]) -> usize {
        match policy {
            Policy::RoundRobin => {
                self.turn += 1;
                alive[self.turn % alive.len()]
            }
            Policy::LeastOutstanding => {
                let start = self.rng.random_range(0..alive.len());
                let turned = (0..alive.len()).map(|step| alive[(start + step) % alive.len()]);
                turned.min_by_key(|engine| self.outstanding[*engine]).unwrap_or(alive[0])
            }
            _ => {
                let first = alive[self.rng.random_range(0..alive.len())];
                let second = alive[self.rng.random_range(0..alive.len())];
                match self.reported[first] <= self.reported[second] {
                    true => first,
                    false => second,
                }
            }
        }
    }

    /// The plan of a request that goes through admission owners.
    pub(super) fn plan(
        &mut self,
        now: Time,
        service: &ServiceSpec,
        prefix: u64,
        prefix_tokens: u32,
        is_usable: impl Fn(&UpstreamName) -> bool,
    ) -> Plan {
        let wish =
            RoutingCriteria { prefix, prefix_tokens, local_domain: &self.domain, avoid: None };
        let candidates =
            self.router.candidates(now, service, &self.pool, is_usable, wish, &mut self.rng);
        Plan::new(candidates.into_iter().map(|candidate| candidate.upstream).collect())
    }
}
