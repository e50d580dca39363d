//! Runs experiments.

use super::CommandError;
use crate::options::{CrowdOptions, ExperimentCommand, ExperimentOptions};
use crate::output::print_json;
use magnoliawinch_experiments::crowd::{self, Options, Policy, Report};
use std::process::ExitCode;

/// Runs the experiment that the arguments name.
pub(crate) fn run(options: &ExperimentOptions) -> Result<ExitCode, CommandError> {
    match &options.command {
        Some(ExperimentCommand::Crowd(options)) => run_crowd(options),
        None => Err(CommandError::Missing("EXPERIMENT")),
    }
}

fn run_crowd(options: &CrowdOptions) -> Result<ExitCode, CommandError> {
    let deployment = options.deployment.ok_or(CommandError::Missing("--deployment"))?;
    let policies = match options.policy.is_empty() {
        true => Policy::all(),
        false => options.policy.clone(),
    };
    let crowd_options = Options {
        surge: options.surge,
        seconds: options.seconds,
        report_lag_ms: options.report_lag_ms,
        engine_loss: options.engine_loss,
        grey_engine: options.grey_engine,
        policies,
        ..Options::new(deployment, options.seed, options.load)
    };
    let report = crowd::run(&crowd_options);
    if let Some(path) = &options.plot {
        crowd::plot(&report, path)?;
    }
    match options.json {
        true => print_json(&report),
        false => print(&report),
    }
    Ok(ExitCode::SUCCESS)
}

fn print(report: &Report) {
    println!(
        "{} at load {}, seed {}, {:.1} requests a second at load 1",
        report.options.deployment,
        report.options.load,
        report.options.seed,
        report.capacity_per_second
    );
    println!(
        "{:18} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>6} {:>6} {:>8}",
        "policy",
        "stall95",
        "stall99",
        "preempt",
        "gap95",
        "gap99",
        "first50",
        "first95",
        "goodput",
        "refused",
        "hits",
        "fair",
        "score"
    );
    for row in &report.rows {
        let f = &row.figures;
        println!(
            "{:18} {:8.0} {:8.0} {:8} {:8.1} {:8.1} {:9.0} {:9.0} {:8.3} {:8} {:6.2} {:6.2} {:8.2}",
            row.policy.to_string(),
            f.stall_ms_p95,
            f.stall_ms_p99,
            f.preemptions,
            f.inter_token_ms_p95,
            f.inter_token_ms_p99,
            f.first_token_ms_p50,
            f.first_token_ms_p95,
            f.goodput,
            f.refused,
            f.prefix_hit_ratio,
            f.fairness,
            f.score
        );
    }
}
