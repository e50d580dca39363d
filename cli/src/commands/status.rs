//! Shows the state of a daemon.

use super::{CommandError, block_on, operator_client};
use crate::options::OperatorOptions;
use crate::output::{print_json, print_rows};
use magnoliawinch_operator::Status;
use std::process::ExitCode;

pub(crate) fn run(options: &OperatorOptions) -> Result<ExitCode, CommandError> {
    let operator = operator_client(options.daemon, options.key_file.as_deref())?;
    let status = block_on(operator.status())??;
    match options.json {
        true => print_json(&status),
        false => print(&status),
    }
    Ok(ExitCode::SUCCESS)
}

pub(super) fn print(status: &Status) {
    print_rows(&[
        ("host", status.own.host.to_string()),
        ("state", status.own.state.to_string()),
        ("ready", status.ready.to_string()),
        ("configuration", status.through.0.to_string()),
        ("requests in progress", status.in_progress.to_string()),
        ("control thread CPU time", format!("{} ms", status.control_cpu_ms)),
    ]);
    for member in &status.others {
        println!("member {} in {}: {}", member.host, member.failure_domain, member.state);
    }
    for upstream in &status.upstreams {
        let leaving = if upstream.leaving { ", leaving" } else { "" };
        println!(
            "upstream {}: {} running, {} queued, {:.0}% in use{leaving}",
            upstream.upstream,
            upstream.running,
            upstream.queued,
            upstream.utilisation * 100.0
        );
    }
}
