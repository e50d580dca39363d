//! A simulated daemon, which routes on its own knowledge only.

use super::policy::Policy;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::routing::{Plan, Router, RoutingCriteria};
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(super) struct Daemon {
    next_turn: usize,
    /// Requests that this daemon has at each engine.
    pub(super) outstanding: Vec<u32>,
    /// Running and waiting requests at each engine, from its latest report.
    pub(super) reported: Vec<u32>,
    pub(super) router: Router,
    engines: Vec<UpstreamName>,
    rng: ChaCha8Rng,
    pub(super) domain: magnoliawinch::names::FailureDomain,
}

impl Daemon {
    pub(super) fn new(
        index: usize,
        engines: &[UpstreamName],
        seed: u64,
        domain: magnoliawinch::names::FailureDomain,
    ) -> Self {
        Self {
            next_turn: index,
            outstanding: vec![0; engines.len()],
            reported: vec![0; engines.len()],
            router: Router::new(),
            engines: engines.to_vec(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ((index as u64) << 32)),
            domain,
        }
    }

    /// Chooses among the `alive` engines under a policy without admission owners.
    pub(super) fn choose(&mut self, policy: Policy, alive: &[usize]) -> usize {
        match policy {
            Policy::RoundRobin => {
                self.next_turn += 1;
                alive[self.next_turn % alive.len()]
            }
            Policy::LeastOutstanding => {
                let start = self.rng.random_range(0..alive.len());
                let rotated = (0..alive.len()).map(|step| alive[(start + step) % alive.len()]);
                rotated.min_by_key(|engine| self.outstanding[*engine]).unwrap_or(alive[0])
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

    /// Plans which admission owners a request asks.
    pub(super) fn plan(
        &mut self,
        now: Time,
        service: &ServiceSpec,
        prefix: u64,
        prefix_tokens: u32,
        is_usable: impl Fn(&UpstreamName) -> bool,
    ) -> Plan {
        let criteria =
            RoutingCriteria { prefix, prefix_tokens, local_domain: &self.domain, avoid: None };
        let candidates =
            self.router.candidates(now, service, &self.engines, is_usable, criteria, &mut self.rng);
        Plan::new(candidates.into_iter().map(|candidate| candidate.upstream).collect())
    }
}
