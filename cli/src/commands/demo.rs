//! Runs daemons, callers and stand-ins in one process.

use super::{CommandError, block_on};
use crate::options::DemoOptions;
use crate::output::{EXIT_REFUSED, print_json, print_rows};
use magnoliawinch_testbed::demo::{self, Report};
use std::process::ExitCode;
use std::time::Duration;

/// Succeeds only if every check of the report holds.
pub(crate) fn run(options: &DemoOptions) -> Result<ExitCode, CommandError> {
    let duration = Duration::from_secs(options.seconds);
    let report = block_on(demo::run(duration, options.seed))??;
    match options.json {
        true => print_json(&report),
        false => print(&report),
    }
    let violations = report.violations();
    violations.iter().for_each(|check| eprintln!("check failed: {check}"));
    match violations.is_empty() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(EXIT_REFUSED)),
    }
}

fn print(report: &Report) {
    print_rows(&[
        ("generations", report.generations.to_string()),
        ("complete and in order", report.whole_in_order.to_string()),
        ("interrupted streams", report.broken_streams.to_string()),
        ("streams resumed on another host", report.resumed.to_string()),
        ("refused", report.generations_refused.to_string()),
        ("orders", report.orders.to_string()),
        ("orders run twice", report.orders_run_twice.to_string()),
        ("refused as not run, but ran", report.not_run_but_ran.to_string()),
        ("preemptions", report.preemptions.to_string()),
        ("stall p99", format!("{:.1} ms", report.stall_ms_p99)),
        ("time between tokens p95", format!("{:.1} ms", report.inter_token_ms_p95)),
        ("time between tokens p99", format!("{:.1} ms", report.inter_token_ms_p99)),
        ("time to first token p95", format!("{:.1} ms", report.first_token_ms_p95)),
    ]);
}
