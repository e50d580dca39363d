//! Validates settings and service files.

use super::{CommandError, read};
use crate::options::CheckOptions;
use crate::output::print_json;
use magnoliawinch::ini::IniError;
use magnoliawinch::service_file::ServiceSpec;
use magnoliawinch::settings::Settings;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Ending of service files.
pub(crate) const SERVICE_SUFFIX: &str = ".service.ini";

/// What was found out about a file.
#[derive(Debug, Serialize)]
struct Checked {
    file: PathBuf,
    error: Option<String>,
}

/// Whether a file is a service file by its name.
pub(crate) fn is_service_file(path: &Path) -> bool {
    path.to_string_lossy().ends_with(SERVICE_SUFFIX)
}

fn check(path: &Path) -> Result<Option<IniError>, CommandError> {
    let text = read(path)?;
    let result = match is_service_file(path) {
        true => ServiceSpec::parse(&text).map(drop),
        false => Settings::parse(&text).map(drop),
    };
    Ok(result.err())
}

/// Checks every file and prints what is wrong with each.
pub(crate) fn run(options: &CheckOptions) -> Result<ExitCode, CommandError> {
    if options.files.is_empty() {
        return Err(CommandError::Missing("FILE"));
    }
    let mut checked = Vec::new();
    for file in &options.files {
        let error = check(file)?.map(|e| e.to_string());
        checked.push(Checked { file: file.clone(), error });
    }
    let count = checked.iter().filter(|checked| checked.error.is_some()).count();
    match options.json {
        true => print_json(&checked),
        false => checked.iter().for_each(print),
    }
    match count {
        0 => Ok(ExitCode::SUCCESS),
        _ => Err(CommandError::BadFiles { count, all: checked.len() }),
    }
}

fn print(checked: &Checked) {
    let file = checked.file.display();
    match &checked.error {
        Some(error) => println!("{file}: {error}"),
        None => println!("{file}: valid"),
    }
}
