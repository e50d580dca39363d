//! Compares routing and admission policies on highly loaded engines, with the same arrivals.

mod daemon;
mod figures;
mod plot;
mod policy;
mod simulation;
mod workload;

pub use figures::Figures;
pub use plot::{PlotError, plot};
pub use policy::Policy;
pub use workload::{Deployment, Profile};

use serde::{Deserialize, Serialize};
use simulation::Simulation;
use workload::Workload;

/// Parameters of the experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// The user whose deployment is simulated.
    pub deployment: Deployment,
    /// Seed of all random draws.
    pub seed: u64,
    /// Load relative to the deployment's capacity.
    pub load: f64,
    /// Load during the middle third of the time, if different.
    pub surge: Option<f64>,
    /// Time during which requests arrive, in seconds of virtual time.
    pub seconds: u64,
    /// Delay of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether one engine fails halfway through the time.
    pub engine_loss: bool,
    /// Whether one engine is slow, but not down, during the second third of the time.
    pub grey_engine: bool,
    /// The policies to compare.
    pub policies: Vec<Policy>,
}

impl Options {
    /// All policies at `load` for 600 seconds, with the default report delay and no faults.
    pub fn new(deployment: Deployment, seed: u64, load: f64) -> Self {
        Self {
            deployment,
            seed,
            load,
            surge: None,
            seconds: 600,
            report_lag_ms: 500,
            engine_loss: false,
            grey_engine: false,
            policies: Policy::all(),
        }
    }
}

/// Results of one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The policy.
    pub policy: Policy,
    /// Figures of the policy.
    pub figures: Figures,
}

/// Results of all policies on the same arrivals.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Parameters of the experiment.
    pub options: Options,
    /// Weights of the score.
    pub weights: figures::Weights,
    /// Requests per second at load 1.
    pub capacity_per_second: f64,
    /// One row per policy.
    pub rows: Vec<Row>,
}

/// Runs every policy on the same arrivals.
pub fn run(options: &Options) -> Report {
    let workload = Workload::new(options);
    let row = |policy: &Policy| {
        let simulation = Simulation::new(options, &workload, *policy);
        Row { policy: *policy, figures: simulation.run() }
    };
    Report {
        weights: figures::Weights::of(options.deployment),
        capacity_per_second: workload.capacity_per_second(),
        rows: options.policies.iter().map(row).collect(),
        options: options.clone(),
    }
}
