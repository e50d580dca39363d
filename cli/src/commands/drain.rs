//! Tells a daemon to finish its requests and exit.

use super::{CommandError, block_on, operator_client, status};
use crate::options::OperatorOptions;
use crate::output::print_json;
use std::process::ExitCode;

/// Starts the drain of a daemon and prints the state that it returns.
pub(crate) fn run(options: &OperatorOptions) -> Result<ExitCode, CommandError> {
    let operator = operator_client(options.daemon, options.key_file.as_deref())?;
    let status = block_on(operator.drain())??;
    match options.json {
        true => print_json(&status),
        false => status::print(&status),
    }
    Ok(ExitCode::SUCCESS)
}
