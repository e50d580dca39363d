//! The daemon's command line.

use gumdrop::Options;
use magnoliawinch::ini::IniError;
use magnoliawinch::settings::Settings;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Arguments of the daemon.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Shows the arguments.
    #[options(help = "show this help")]
    pub help: bool,
    /// The settings file.
    #[options(help = "read settings from FILE", meta = "FILE", no_short)]
    pub settings: Option<PathBuf>,
}

/// Why the daemon has no settings.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// No file was named.
    #[error("no settings file; use --settings FILE")]
    NoFile,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is wrong.
    #[error("{path}: {source}")]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: IniError,
    },
}

/// Reads the settings that the arguments name.
pub fn settings(arguments: &Arguments) -> Result<Settings, OptionsError> {
    let path = arguments.settings.as_deref().ok_or(OptionsError::NoFile)?;
    read(path)
}

fn read(path: &Path) -> Result<Settings, OptionsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| OptionsError::Read { path: path.to_owned(), source })?;
    Settings::parse(&text)
        .map_err(|source| OptionsError::Settings { path: path.to_owned(), source })
}
