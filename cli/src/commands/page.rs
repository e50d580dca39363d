//! Pages whose tables are rewritten from committed measurements.

use super::{CommandError, read};
use serde::de::DeserializeOwned;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a page cannot be rewritten.
#[derive(Debug, Error)]
pub(crate) enum PageError {
    /// A measurement cannot be read.
    #[error("measurement {path} cannot be read: {reason}")]
    BadData { path: PathBuf, reason: String },
    /// There are too few measurements for a fit.
    #[error("series \"{0}\" has fewer than two measurements")]
    TooFew(&'static str),
    /// The page has no place for a table.
    #[error("the page has no place for table \"{0}\"")]
    NoPlace(&'static str),
    /// The page cannot be written.
    #[error("cannot write {path}: {source}")]
    Write { path: PathBuf, source: io::Error },
}

/// Reads the JSON files of `directory` whose names start with `prefix`, in order of name.
pub(super) fn load<T: DeserializeOwned>(
    directory: &Path,
    prefix: &str,
) -> Result<Vec<T>, CommandError> {
    let unreadable = |source| CommandError::Read { path: directory.to_owned(), source };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if name.starts_with(prefix) && name.ends_with(".json") {
            paths.push(path);
        }
    }
    paths.sort();
    let mut values = Vec::new();
    for path in paths {
        let text = read(&path)?;
        let value = serde_json::from_str(&text)
            .map_err(|e| PageError::BadData { path, reason: e.to_string() })?;
        values.push(value);
    }
    Ok(values)
}

/// Puts a table in its place between `<!-- table:NAME -->` and `<!-- end -->`.
pub(super) fn fill(page: &str, name: &'static str, table: &str) -> Result<String, PageError> {
    let start = format!("<!-- table:{name} -->\n");
    let end = "<!-- end -->";
    let from = page.find(&start).ok_or(PageError::NoPlace(name))? + start.len();
    let to = page[from..].find(end).ok_or(PageError::NoPlace(name))? + from;
    Ok(format!("{}\n{table}\n{}", &page[..from], &page[to..]))
}

/// Writes a page.
pub(super) fn write_page(path: &Path, page: &str) -> Result<(), PageError> {
    std::fs::write(path, page).map_err(|source| PageError::Write { path: path.to_owned(), source })
}
