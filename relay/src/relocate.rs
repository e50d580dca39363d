//! Requests to engines: copies of a run's memory to another engine, and health checks.

use crate::handler::RequestHandler;
use crate::wire::{CopyRefusal, RunCopy, Wire};
use hyper::StatusCode;

use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_http::{Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of one copy. An engine announces 1.5 to 2.1 s in advance that it leaves; a copy that
/// takes longer is lost.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum size of the response to a copy request.
const MAX_RESPONSE_BYTES: usize = 65_536;

#[derive(Debug, Error)]
pub(crate) enum CopyError {
    /// The engine refused.
    #[error("{0}")]
    Refused(#[from] CopyRefusal),
    /// The engine did not respond.
    #[error("{0}")]
    NoResponse(#[from] SendError),
}

impl CopyError {
    /// Whether the engine may have acted on the request; a final copy that did stopped the run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::Refused(CopyRefusal::NoRun | CopyRefusal::Busy) => Verdict::NotRun,
            Self::Refused(CopyRefusal::TargetUnavailable { kept: Some(_) }) => Verdict::Ran,
            Self::Refused(_) => Verdict::MayHaveRun,
            Self::NoResponse(e) => e.verdict(),
        }
    }
}

/// Why a run does not continue at an engine.
#[derive(Debug, Error)]
pub(crate) enum ResumeError {
    /// The engine did not respond.
    #[error("{0}")]
    NoResponse(#[from] SendError),
    /// The engine responded with an error.
    #[error("{engine} did not resume the run: {status}")]
    Refused {
        engine: UpstreamName,
        status: StatusCode,
        /// Whether it states that it did not run the request.
        not_run: bool,
    },
    /// The response is not that of the run.
    #[error("invalid response with status {status} from {engine}: {problem}")]
    Invalid { engine: UpstreamName, status: StatusCode, problem: &'static str },
}

impl ResumeError {
    /// Whether the engine may have used the copy.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::NoResponse(e) => e.verdict(),
            Self::Refused { not_run: true, .. } => Verdict::NotRun,
            Self::Refused { .. } | Self::Invalid { .. } => Verdict::MayHaveRun,
        }
    }
}

impl<W: Wire> RequestHandler<W> {
    /// Copies the memory of `run` from the engine at `from` to that at `to`; with `is_final` the
    /// run stops first.
    pub(crate) async fn copy_run(
        &self,
        run: &RunId,
        from: SocketAddr,
        to: SocketAddr,
        is_final: bool,
    ) -> Result<RunCopy, CopyError> {
        let req = self.wire.copy_request(run, to, is_final);
        let response = self.shared.upstreams.send(from, req, Reuse::Never, COPY_TIMEOUT).await?;
        let status = response.status();
        let body = response.bytes(MAX_RESPONSE_BYTES).await?;
        Ok(self.wire.parse_copy_response(status, &body)?)
    }

    /// Whether the engine at `address` responds to a health check.
    pub(crate) async fn is_alive(&self, address: SocketAddr, timeout: Duration) -> bool {
        let req = self.wire.health_check_request();
        self.shared.upstreams.send(address, req, Reuse::Never, timeout).await.is_ok()
    }
}
