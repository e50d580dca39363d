//! Runs experiments.

use super::{CommandError, block_on};
use crate::options::{
    ControlOptions, CrowdOptions, ExperimentCommand, ExperimentOptions, OrdersOptions,
    ReclaimOptions,
};
use crate::output::{print_json, print_rows};
use magnoliawinch_experiments::crowd::{self, Options, Policy, Report};
use magnoliawinch_experiments::reclaim;
use magnoliawinch_testbed::control::{self, ControlReport};
use magnoliawinch_testbed::orders;
use std::process::ExitCode;

pub(crate) fn run(options: &ExperimentOptions) -> Result<ExitCode, CommandError> {
    match &options.command {
        Some(ExperimentCommand::Crowd(options)) => run_crowd(options),
        Some(ExperimentCommand::Control(options)) => run_control(options),
        Some(ExperimentCommand::Orders(options)) => run_orders(options),
        Some(ExperimentCommand::Reclaim(options)) => run_reclaim(options),
        Some(ExperimentCommand::CrowdTable(options)) => super::crowd_table::run(options),
        Some(ExperimentCommand::Capacity(options)) => super::capacity::run(options),
        None => Err(CommandError::MissingArgument("EXPERIMENT")),
    }
}

fn run_crowd(options: &CrowdOptions) -> Result<ExitCode, CommandError> {
    let deployment = options.deployment.ok_or(CommandError::MissingArgument("--deployment"))?;
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
        false => print_crowd(&report),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_crowd(report: &Report) {
    println!(
        "{} at load {}, seed {}, {:.1} requests/s at load 1",
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

fn run_reclaim(options: &ReclaimOptions) -> Result<ExitCode, CommandError> {
    let deployment = options.deployment.ok_or(CommandError::MissingArgument("--deployment"))?;
    let report = reclaim::run(&reclaim::Options {
        deployment,
        seeds: options.seeds,
        load: options.load,
        seconds: options.seconds,
    });
    match options.json {
        true => print_json(&report),
        false => print_reclaim(&report),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_reclaim(report: &reclaim::Report) {
    let options = &report.options;
    println!(
        "{}, {} simulations of {} s at load {}; worth: fraction earned; late, lost, refused: \
         fractions of all long requests; reclaimed, crashed: fractions of the affected generations \
         that completed on time",
        options.deployment, options.seeds, options.seconds, options.load
    );
    println!(
        "{:8} {:>7} {:>7} {:>7} {:>8} {:>9} {:>7} {:>7} {:>7} {:>8}",
        "policy",
        "worth",
        "late",
        "lost",
        "refused",
        "reclaimed",
        "crashed",
        "pause50",
        "pause99",
        "preempt"
    );
    for row in &report.rows {
        let f = &row.figures;
        let fraction = |count: u64| count as f64 / f.long.max(1) as f64;
        println!(
            "{:8} {:7.3} {:7.3} {:7.3} {:8.3} {:9.3} {:7.3} {:7} {:7} {:8}",
            row.policy.to_string(),
            f.earned_fraction(),
            fraction(f.long_late),
            fraction(f.long_lost),
            fraction(f.long_refused),
            f.reclaimed.on_time_fraction(),
            f.crashed.on_time_fraction(),
            f.pause_quantile_ms(0.5),
            f.pause_quantile_ms(0.99),
            f.preemptions
        );
    }
}

fn run_control(options: &ControlOptions) -> Result<ExitCode, CommandError> {
    let control_options = control::ControlOptions {
        daemons: options.daemons,
        upstreams: options.upstreams,
        organisations: options.organisations,
        changes_a_second: options.changes_a_second,
        requests_a_second: options.requests_a_second,
        seconds: options.seconds,
    };
    let report = block_on(control::run(&control_options))??;
    match options.json {
        true => print_json(&report),
        false => print_control(&report),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_control(report: &ControlReport) {
    let f = &report.figures;
    print_rows(&[
        ("control thread", format!("{:.3}% of a core", f.control_core * 100.0)),
        ("traffic threads", format!("{:.3}% of a core", f.traffic_core * 100.0)),
        ("memory", format!("{:.2} MB", f.memory_bytes / 1e6)),
        ("loopback bytes", format!("{:.0}/s", f.bytes_per_second)),
        ("in force p50", format!("{:.0} ms", f.in_force_ms_p50)),
        ("in force p99", format!("{:.0} ms", f.in_force_ms_p99)),
        ("in force max", format!("{:.0} ms of {} changes", f.in_force_ms_max, f.changes)),
        ("log appends", format!("{:.2}/s", f.log_appends_per_second)),
        ("log reads", format!("{:.2}/s", f.log_reads_per_second)),
        ("all ready after", format!("{:.0} ms", f.ready_ms)),
        ("loss detected after", format!("{:.0} ms", f.converge_ms)),
        ("owners moved", format!("{:.3} of {:.3}", f.owners_moved, f.owners_of_killed)),
        ("answers", format!("{:.1}/s", f.answers_per_second)),
    ]);
}

fn run_orders(options: &OrdersOptions) -> Result<ExitCode, CommandError> {
    let order_options = orders::OrderOptions {
        orders_a_second: options.orders_a_second,
        seconds: options.seconds,
        log_ms: options.log_ms,
        kill: options.kill,
        seed: options.seed,
    };
    let f = block_on(orders::run(&order_options))??;
    if options.json {
        print_json(&f);
        return Ok(ExitCode::SUCCESS);
    }
    print_rows(&[
        ("sent", f.sent.to_string()),
        ("answered", f.answered.to_string()),
        ("run twice", f.run_twice.to_string()),
        ("refused as not run, but ran", f.not_run_but_ran.to_string()),
        ("appends per order", format!("{:.2}", f.appends_per_order)),
        ("appends", format!("{:.0}/s", f.appends_per_second)),
        ("response time p50", format!("{:.1} ms", f.answer_ms_p50)),
        ("response time p99", format!("{:.1} ms", f.answer_ms_p99)),
        ("response time max", format!("{:.1} ms", f.answer_ms_max)),
    ]);
    Ok(ExitCode::SUCCESS)
}
