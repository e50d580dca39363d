//! The commands.

pub(crate) mod capacity;
pub(crate) mod check;
pub(crate) mod crowd_table;
pub(crate) mod demo;
pub(crate) mod drain;
pub(crate) mod experiment;
pub(crate) mod explain;
pub(crate) mod hosts;
pub(crate) mod load;
pub(crate) mod lost;
mod page;
pub(crate) mod publish;
pub(crate) mod stand_ins;
pub(crate) mod status;

use crate::output::{EXIT_BAD_INPUT, EXIT_REFUSED, EXIT_UNREACHABLE};
use magnoliawinch_caller::client::CallerError;
use magnoliawinch_operator::client::{OperatorClient, OperatorError};
use magnoliawinch_testbed::testbed::TestbedError;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::runtime::Builder;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// An argument is missing.
    #[error("argument {0} is missing")]
    Missing(&'static str),
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read { path: PathBuf, source: io::Error },
    /// Files are wrong; each was named before.
    #[error("{count} of {all} files cannot be used")]
    BadFiles { count: usize, all: usize },
    /// A directory has no service files.
    #[error("{0} has no *.service.ini files")]
    NoFiles(PathBuf),
    /// The daemon did not answer or refused.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A host did not answer or refused.
    #[error(transparent)]
    Caller(#[from] CallerError),
    /// The testbed did not start.
    #[error(transparent)]
    Bed(#[from] TestbedError),
    /// A picture cannot be drawn.
    #[error(transparent)]
    Plot(#[from] magnoliawinch_experiments::crowd::PlotError),
    /// A page or its data cannot be used.
    #[error(transparent)]
    Page(#[from] page::PageError),
    /// The runtime cannot be started.
    #[error("cannot start: {0}")]
    Runtime(#[from] io::Error),
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Missing(_) | Self::Read { .. } | Self::BadFiles { .. } | Self::NoFiles(_) => {
                EXIT_BAD_INPUT
            }
            Self::Operator(OperatorError::Send(_)) | Self::Caller(CallerError::Send(_)) => {
                EXIT_UNREACHABLE
            }
            _ => EXIT_REFUSED,
        }
    }
}

/// Runs `future` on a runtime of its own.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CommandError> {
    let rt = Builder::new_multi_thread().enable_all().build()?;
    Ok(rt.block_on(future))
}

pub(crate) fn read(path: &Path) -> Result<String, CommandError> {
    let path = path.to_owned();
    std::fs::read_to_string(&path).map_err(|source| CommandError::Read { path, source })
}

pub(crate) fn read_key(path: Option<&Path>) -> Result<String, CommandError> {
    let path = path.ok_or(CommandError::Missing("--key-file"))?;
    Ok(read(path)?.trim().to_owned())
}

pub(crate) fn operator(
    daemon: Option<SocketAddr>,
    key_file: Option<&Path>,
) -> Result<OperatorClient, CommandError> {
    let daemon = daemon.ok_or(CommandError::Missing("--daemon"))?;
    Ok(OperatorClient::new(daemon, &read_key(key_file)?))
}
