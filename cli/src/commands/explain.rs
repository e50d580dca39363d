//! Shows the logged decisions about one request.

use super::{CommandError, block_on, operator_client};
use crate::options::ExplainOptions;
use crate::output::print_json;
use std::process::ExitCode;

/// Fetches and prints the decision lines of a request from the daemon that served it.
pub(crate) fn run(options: &ExplainOptions) -> Result<ExitCode, CommandError> {
    let request = options.request.as_deref().ok_or(CommandError::MissingArgument("REQUEST-ID"))?;
    let operator = operator_client(options.daemon, options.key_file.as_deref())?;
    let explanation = block_on(operator.explain(request))??;
    if options.json {
        print_json(&explanation);
        return Ok(ExitCode::SUCCESS);
    }
    if explanation.lines.is_empty() {
        println!("this daemon has logged no decisions about request \"{request}\"");
    }
    for line in &explanation.lines {
        let fields = serde_json::to_string(&line.decision).unwrap_or_default();
        println!("{} {fields}", line.service);
    }
    Ok(ExitCode::SUCCESS)
}
