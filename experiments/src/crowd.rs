//! Policies compared on crowded engines, on the same arrivals.

mod entry;
mod figures;
mod plot;
mod policy;
mod workload;
mod world;

pub use figures::Figures;
pub use plot::{PlotError, plot};
pub use policy::Policy;
pub use workload::{Deployment, Profile};

use serde::{Deserialize, Serialize};
use workload::Workload;
use world::World;

/// What to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Whose deployment.
    pub deployment: Deployment,
    /// The seed of all chance.
    pub seed: u64,
    /// Load as a part of the deployment's capacity.
    pub load: f64,
    /// Load of the middle third of the time, when it differs.
    pub surge: Option<f64>,
    /// How long requests arrive, in seconds of virtual time.
    pub seconds: u64,
    /// Lag of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether one engine dies at half the time.
    pub engine_loss: bool,
    /// Whether one engine is slow, not dead, in the second third of the time.
    pub grey_engine: bool,
    /// The policies to compare.
    pub policies: Vec<Policy>,
}

impl Options {
    /// All policies at `load` with the usual lags.
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

/// One policy's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The policy.
    pub policy: Policy,
    /// Its figures.
    pub figures: Figures,
}

/// The figures of all policies on the same arrivals.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// What was run.
    pub options: Options,
    /// Weights of the score.
    pub weights: figures::Weights,
    /// Requests a second at load 1.
    pub capacity_per_second: f64,
    /// One row for each policy.
    pub rows: Vec<Row>,
}

/// Runs every policy on the same arrivals.
pub fn run(options: &Options) -> Report {
    let workload = Workload::new(options);
    let row = |policy: &Policy| {
        let world = World::new(options, &workload, *policy);
        Row { policy: *policy, figures: world.run() }
    };
    Report {
        weights: figures::Weights::of(options.deployment),
        capacity_per_second: workload.capacity_per_second(),
        rows: options.policies.iter().map(row).collect(),
        options: options.clone(),
    }
}
