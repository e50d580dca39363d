//! Lets a daemon finish its requests and end.

use super::{CommandError, block_on, operator, status};
use crate::options::OperatorOptions;
use crate::output::print_json;
use std::process::ExitCode;

/// Tells the daemon to leave and prints its last state.
pub(crate) fn run(options: &OperatorOptions) -> Result<ExitCode, CommandError> {
    let operator = operator(options.daemon, options.key_file.as_deref())?;
    let last = block_on(operator.drain())??;
    match options.json {
        true => print_json(&last),
        false => status::print(&last),
    }
    Ok(ExitCode::SUCCESS)
}
