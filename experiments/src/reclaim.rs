//! Measures how many generations survive the reclaim or crash of their engine if runs are moved or
//! backed up.
//!
//! The pool's production logic runs against simulated engines, with the rates, sizes and link
//! bandwidths of the users' larger sites. Every policy gets the same arrivals, notices and crashes.

mod engine;
mod figures;
mod policy;
mod simulation;
mod workload;

pub use figures::Figures;
pub use policy::Policy;

use crate::crowd::Deployment;
use serde::{Deserialize, Serialize};
use simulation::Simulation;
use std::num::NonZero;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use workload::{Site, Workload};

/// Parameters of the experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// The user whose site is simulated.
    pub deployment: Deployment,
    /// Number of simulations of each policy; they use the seeds from 1 on.
    pub seeds: u64,
    /// Request rate relative to the site's data sheet.
    pub load: f64,
    /// Time during which requests arrive in a simulation, in seconds of virtual time.
    pub seconds: u64,
}

/// Results of one policy over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The policy.
    pub policy: Policy,
    /// Figures of the policy, summed over all seeds.
    pub figures: Figures,
}

/// Results of all policies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Parameters of the experiment.
    pub options: Options,
    /// One row per policy.
    pub rows: Vec<Row>,
}

/// Simulates every policy with the same seeds, with one thread per core.
pub fn run(options: &Options) -> Report {
    let next_seed = AtomicU64::new(1);
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    let results = thread::scope(|scope| {
        let workers: Vec<_> =
            (0..threads).map(|_| scope.spawn(|| simulate_seeds(options, &next_seed))).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    let mut results: Vec<(u64, Vec<Figures>)> = results;
    // Floating-point sums depend on the order of their terms.
    results.sort_by_key(|(seed, _)| *seed);
    let row = |(index, policy): (usize, Policy)| {
        let mut figures = Figures::default();
        results.iter().for_each(|(_, per_policy)| figures.add(&per_policy[index]));
        Row { policy, figures }
    };
    let rows = Policy::all().into_iter().enumerate().map(row).collect();
    Report { options: options.clone(), rows }
}

/// Simulates seeds until none is left. Returns each seed with the figures of every policy.
fn simulate_seeds(options: &Options, next_seed: &AtomicU64) -> Vec<(u64, Vec<Figures>)> {
    let mut results = Vec::new();
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed > options.seeds {
            return results;
        }
        let site = Site::new(options.deployment);
        let workload = Workload::new(&site, seed, options.load, options.seconds);
        let per_policy =
            Policy::all().into_iter().map(|p| Simulation::new(&site, &workload, p).run());
        results.push((seed, per_policy.collect()));
    }
}
