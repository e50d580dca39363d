//! Requests to engines: copies of a run's memory to another engine, and health checks.

use crate::forward::Forward;
use crate::handler::RequestHandler;
use crate::runs::Endpoint;
use crate::wire::{CopyRefusal, RunCopy, Wire};
use magnoliawinch_http::SendError;
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

impl<W: Wire> RequestHandler<W> {
    /// Copies the memory of the run of `fwd` from the engine `from` to that at `to`; with `is_final`
    /// the run stops first.
    pub(crate) async fn copy_run(
        &self,
        fwd: &Forward,
        from: &Endpoint,
        to: SocketAddr,
        is_final: bool,
    ) -> Result<RunCopy, CopyError> {
        let req = self.wire.copy_request(&fwd.info.run, to, is_final);
        let response = self.send_order(&fwd.service, from, req, COPY_TIMEOUT).await?;
        let status = response.status();
        let body = response.bytes(MAX_RESPONSE_BYTES).await?;
        Ok(self.wire.parse_copy_response(status, &body)?)
    }

    /// Whether the engine of a run responds to a health check.
    pub(crate) async fn is_alive(
        &self,
        fwd: &Forward,
        engine: &Endpoint,
        timeout: Duration,
    ) -> bool {
        let req = self.wire.health_check_request();
        self.send_order(&fwd.service, engine, req, timeout).await.is_ok()
    }
}
