//! The subcommands, one module each.

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

#[derive(Debug, Error)]
pub(crate) enum CommandError {
    #[error("argument {0} is missing")]
    MissingArgument(&'static str),
    #[error("cannot read {path}: {source}")]
    Read { path: PathBuf, source: io::Error },
    /// Invalid files; the error of each one has been printed.
    #[error("{count} of {total} files are invalid")]
    BadFiles { count: usize, total: usize },
    #[error("{0} has no *.service.ini files")]
    NoFiles(PathBuf),
    /// The daemon did not respond, or refused the request.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The host did not respond, or refused the request.
    #[error(transparent)]
    Caller(#[from] CallerError),
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    #[error(transparent)]
    Plot(#[from] magnoliawinch_experiments::crowd::PlotError),
    #[error(transparent)]
    Page(#[from] page::PageError),
    /// The async runtime or the stand-ins could not be started.
    #[error("cannot start: {0}")]
    Runtime(#[from] io::Error),
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::MissingArgument(_)
            | Self::Read { .. }
            | Self::BadFiles { .. }
            | Self::NoFiles(_) => EXIT_BAD_INPUT,
            Self::Operator(OperatorError::Send(_)) | Self::Caller(CallerError::Send(_)) => {
                EXIT_UNREACHABLE
            }
            _ => EXIT_REFUSED,
        }
    }
}

/// Runs `future` to completion on a new multi-threaded runtime.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CommandError> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(future))
}

pub(crate) fn read_file(path: &Path) -> Result<String, CommandError> {
    let path = path.to_owned();
    std::fs::read_to_string(&path).map_err(|source| CommandError::Read { path, source })
}

/// Reads a bearer key from a file, without surrounding white space.
pub(crate) fn read_key(path: Option<&Path>) -> Result<String, CommandError> {
    let path = path.ok_or(CommandError::MissingArgument("--key-file"))?;
    Ok(read_file(path)?.trim().to_owned())
}

/// Returns a client of `daemon` that authenticates with the key in `key_file`.
pub(crate) fn operator_client(
    daemon: Option<SocketAddr>,
    key_file: Option<&Path>,
) -> Result<OperatorClient, CommandError> {
    let daemon = daemon.ok_or(CommandError::MissingArgument("--daemon"))?;
    Ok(OperatorClient::new(daemon, &read_key(key_file)?))
}
