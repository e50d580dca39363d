//! Generations on engines that are taken away: what moving and insuring them is worth.
//!
//! The pool's own decisions are driven against simulated engines, at the rates, sizes and links of
//! the users' larger sites; every policy meets the same arrivals, notices and crashes.

mod engine;
mod figures;
mod policy;
mod workload;
mod world;

pub use figures::Figures;
pub use policy::Policy;

use crate::crowd::Deployment;
use serde::{Deserialize, Serialize};
use std::num::NonZero;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use workload::{Site, Workload};
use world::World;

/// What to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Whose site.
    pub deployment: Deployment,
    /// Seeds of all chance, each a day.
    pub seeds: u64,
    /// Requests as a part of what the site's sheet says.
    pub load: f64,
    /// How long requests arrive, in seconds of virtual time.
    pub seconds: u64,
}

/// The figures of one policy over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The policy.
    pub policy: Policy,
    /// The sum over all seeds.
    pub figures: Figures,
}

/// The figures of all policies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// What was run.
    pub options: Options,
    /// One row for each policy.
    pub rows: Vec<Row>,
}

/// Runs every policy on the same days, on as many threads as there are cores.
pub fn run(options: &Options) -> Report {
    let next = AtomicU64::new(1);
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    let days = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(|| days(options, &next))).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    let mut days: Vec<(u64, Vec<Figures>)> = days;
    // Sums of floats depend on their order.
    days.sort_by_key(|(seed, _)| *seed);
    let row = |(place, policy): (usize, Policy)| {
        let mut figures = Figures::default();
        days.iter().for_each(|(_, day)| figures.add(&day[place]));
        Row { policy, figures }
    };
    let rows = Policy::all().into_iter().enumerate().map(row).collect();
    Report { options: options.clone(), rows }
}

/// Plays days until none is left; each with the figures of every policy.
fn days(options: &Options, next: &AtomicU64) -> Vec<(u64, Vec<Figures>)> {
    let mut days = Vec::new();
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed > options.seeds {
            return days;
        }
        let site = Site::new(options.deployment);
        let workload = Workload::new(&site, seed, options.load, options.seconds);
        let day = Policy::all().into_iter().map(|p| World::new(&site, &workload, p).run());
        days.push((seed, day.collect()));
    }
}
