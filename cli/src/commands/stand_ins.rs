//! Runs stand-ins for the platform and the upstreams at the addresses of the sample files.

use super::{CommandError, block_on, read_file};
use crate::options::StandInsOptions;
use magnoliawinch::settings::Settings;
use magnoliawinch_testbed::stand_ins;
use std::process::ExitCode;

/// Runs the stand-ins until the process is stopped.
pub(crate) fn run(options: &StandInsOptions) -> Result<ExitCode, CommandError> {
    let mut daemons = Vec::new();
    for file in &options.settings {
        match Settings::parse(&read_file(file)?) {
            Ok(settings) => daemons.push(settings),
            Err(e) => {
                eprintln!("{}: {e}", file.display());
                return Err(CommandError::BadFiles { count: 1, total: options.settings.len() });
            }
        }
    }
    if daemons.is_empty() {
        return Err(CommandError::MissingArgument("FILE"));
    }
    block_on(stand_ins::run(&daemons))??;
    Ok(ExitCode::SUCCESS)
}
