//! The command line for operators: checks and publishes files, shows the state of daemons, and runs
//! load tests and experiments.

mod commands;
mod options;
mod output;

use commands::CommandError;
use gumdrop::Options;
use options::{Arguments, Command};
use std::process::ExitCode;

/// Parses the arguments of the process, runs the command and returns its exit code. Errors go to
/// standard error.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("{}", Arguments::usage());
        if let Some(list) = Arguments::command_list() {
            eprintln!("\nCommands:\n{list}");
        }
        return ExitCode::from(output::EXIT_BAD_INPUT);
    };
    match dispatch(command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("magnoliawinch: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn dispatch(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Check(options) => commands::check::run(&options),
        Command::Publish(options) => commands::publish::run(&options),
        Command::Status(options) => commands::status::run(&options),
        Command::Hosts(options) => commands::hosts::run(&options),
        Command::Explain(options) => commands::explain::run(&options),
        Command::Drain(options) => commands::drain::run(&options),
        Command::Demo(options) => commands::demo::run(&options),
        Command::Load(options) => commands::load::run(&options),
        Command::Lost(options) => commands::lost::run(&options).map(|()| ExitCode::SUCCESS),
        Command::StandIns(options) => commands::stand_ins::run(&options),
        Command::Experiment(options) => commands::experiment::run(&options),
    }
}
