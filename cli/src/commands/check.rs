//! Validates settings and service files.

use super::{CommandError, read_file};
use crate::options::CheckOptions;
use crate::output::print_json;
use magnoliawinch::ini::IniError;
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::settings::Settings;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

pub(crate) const SERVICE_SUFFIX: &str = ".service.ini";

#[derive(Debug, Serialize)]
struct CheckResult {
    file: PathBuf,
    error: Option<String>,
}

pub(crate) fn is_service_file(path: &Path) -> bool {
    path.to_string_lossy().ends_with(SERVICE_SUFFIX)
}

/// Validates a file by its name: service files as such, all others as settings.
fn check(path: &Path) -> Result<Option<IniError>, CommandError> {
    let text = read_file(path)?;
    let result = match is_service_file(path) {
        true => ServiceSpec::parse(&text).map(drop),
        false => Settings::parse(&text).map(drop),
    };
    Ok(result.err())
}

/// Validates every file and prints the first error of each.
pub(crate) fn run(options: &CheckOptions) -> Result<ExitCode, CommandError> {
    if options.files.is_empty() {
        return Err(CommandError::MissingArgument("FILE"));
    }
    let mut results = Vec::new();
    for file in &options.files {
        let error = check(file)?.map(|e| e.to_string());
        results.push(CheckResult { file: file.clone(), error });
    }
    let count = results.iter().filter(|result| result.error.is_some()).count();
    match options.json {
        true => print_json(&results),
        false => results.iter().for_each(print),
    }
    match count {
        0 => Ok(ExitCode::SUCCESS),
        _ => Err(CommandError::BadFiles { count, total: results.len() }),
    }
}

fn print(result: &CheckResult) {
    let file = result.file.display();
    match &result.error {
        Some(error) => println!("{file}: {error}"),
        None => println!("{file}: valid"),
    }
}
