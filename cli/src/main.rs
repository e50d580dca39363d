//! The command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    magnoliawinch_cli::run()
}
