//! Shows the addresses that a host gives its callers.

use super::{CommandError, block_on, read_key};
use crate::options::HostsOptions;
use crate::output::print_json;
use magnoliawinch_caller::client::CallerClient;
use std::process::ExitCode;

/// Fetches the list of hosts with an organisation's key, as a caller does, and prints it.
pub(crate) fn run(options: &HostsOptions) -> Result<ExitCode, CommandError> {
    let host = options.host.ok_or(CommandError::MissingArgument("--host"))?;
    let caller = CallerClient::new(&read_key(options.key_file.as_deref())?);
    let response = block_on(caller.hosts(host))??;
    if options.json {
        print_json(&response);
        return Ok(ExitCode::SUCCESS);
    }
    for host in &response.hosts {
        println!("{} in {}", host.address, host.failure_domain);
    }
    println!("valid for {} ms", response.lifetime_ms);
    Ok(ExitCode::SUCCESS)
}
