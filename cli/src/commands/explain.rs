//! Shows the decisions about one request.

use super::{CommandError, block_on, operator};
use crate::options::ExplainOptions;
use crate::output::print_json;
use std::process::ExitCode;

/// Asks the daemon that served the request for its decision lines.
pub(crate) fn run(options: &ExplainOptions) -> Result<ExitCode, CommandError> {
    let request = options.request.as_deref().ok_or(CommandError::Missing("REQUEST-ID"))?;
    let operator = operator(options.daemon, options.key_file.as_deref())?;
    let explanation = block_on(operator.explain(request))??;
    if options.json {
        print_json(&explanation);
        return Ok(ExitCode::SUCCESS);
    }
    if explanation.lines.is_empty() {
        println!("this daemon has no decisions about request \"{request}\"");
    }
    for line in &explanation.lines {
        let fields = serde_json::to_string(&line.decision).unwrap_or_default();
        println!("{} {fields}", line.service);
    }
    Ok(ExitCode::SUCCESS)
}
