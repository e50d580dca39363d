//! Command line of the daemon.

use gumdrop::Options;
use magnoliawinch::ini::IniError;
use magnoliawinch::settings::Settings;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Command line arguments.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Show help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Path of the settings file.
    #[options(help = "read settings from FILE", meta = "FILE", no_short)]
    pub settings: Option<PathBuf>,
}

/// Why the settings could not be loaded.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// No settings file was given.
    #[error("no settings file; use --settings FILE")]
    NoFile,
    /// The file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is invalid.
    #[error("{path}: {source}")]
    Settings {
        /// Path of the file.
        path: PathBuf,
        /// The error.
        source: IniError,
    },
}

/// Loads the settings from the file given in `arguments`.
pub fn load_settings(arguments: &Arguments) -> Result<Settings, OptionsError> {
    let path = arguments.settings.as_deref().ok_or(OptionsError::NoFile)?;
    read_file(path)
}

fn read_file(path: &Path) -> Result<Settings, OptionsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| OptionsError::Read { path: path.to_owned(), source })?;
    Settings::parse(&text)
        .map_err(|source| OptionsError::Settings { path: path.to_owned(), source })
}
