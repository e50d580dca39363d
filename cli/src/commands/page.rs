//! Markdown pages whose tables are generated from committed reports.

use super::{CommandError, read_file};
use serde::de::DeserializeOwned;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

#[derive(Debug, Error)]
pub(crate) enum PageError {
    #[error("cannot parse report {path}: {reason}")]
    BadData { path: PathBuf, reason: String },
    /// Too few measurements for a linear fit.
    #[error("series \"{0}\" has fewer than two measurements")]
    TooFewMeasurements(&'static str),
    #[error("the page has no start or end marker for table \"{0}\"")]
    MissingMarker(&'static str),
    #[error("cannot write {path}: {source}")]
    Write { path: PathBuf, source: io::Error },
}

/// Parses the JSON files in `directory` whose names start with `prefix`, sorted by name.
pub(super) fn load_reports<T: DeserializeOwned>(
    directory: &Path,
    prefix: &str,
) -> Result<Vec<T>, CommandError> {
    let read_error = |source| CommandError::Read { path: directory.to_owned(), source };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if name.starts_with(prefix) && name.ends_with(".json") {
            paths.push(path);
        }
    }
    paths.sort();
    let mut reports = Vec::new();
    for path in paths {
        let text = read_file(&path)?;
        let report = serde_json::from_str(&text)
            .map_err(|e| PageError::BadData { path, reason: e.to_string() })?;
        reports.push(report);
    }
    Ok(reports)
}

/// Replaces the text between the markers `<!-- table:NAME -->` and `<!-- end -->` with `table`.
pub(super) fn replace_table(
    page: &str,
    name: &'static str,
    table: &str,
) -> Result<String, PageError> {
    let start_marker = format!("<!-- table:{name} -->\n");
    let end_marker = "<!-- end -->";
    let start =
        page.find(&start_marker).ok_or(PageError::MissingMarker(name))? + start_marker.len();
    let end = page[start..].find(end_marker).ok_or(PageError::MissingMarker(name))? + start;
    Ok(format!("{}\n{table}\n{}", &page[..start], &page[end..]))
}

pub(super) fn write_page(path: &Path, page: &str) -> Result<(), PageError> {
    std::fs::write(path, page).map_err(|source| PageError::Write { path: path.to_owned(), source })
}
