//! Copies the memory of a run to another engine.

use crate::entry::Entry;
use crate::wire::{Copied, CopyRefused, Wire};
use magnoliawinch::names::RunId;
use magnoliawinch_http::{Reuse, SendError};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Time for one copy: a notice is 1.5 to 2.1 s ahead, and what takes longer is lost.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest answer to a copy request, in bytes.
const MAX_ANSWER_BYTES: usize = 65_536;

/// Why there is no copy.
#[derive(Debug, Error)]
pub(crate) enum CopyError {
    /// The engine refused.
    #[error("{0}")]
    Refused(#[from] CopyRefused),
    /// It gave no answer.
    #[error("{0}")]
    NoAnswer(#[from] SendError),
}

impl<W: Wire> Entry<W> {
    /// Copies the memory of `run` from the engine at `from` to the one at `to`. With `last` the
    /// run stops first.
    pub(crate) async fn copy(
        &self,
        run: &RunId,
        from: SocketAddr,
        to: SocketAddr,
        last: bool,
    ) -> Result<Copied, CopyError> {
        let req = self.wire.copy_request(run, to, last);
        let reply = self.shared.upstreams.send(from, req, Reuse::Never, COPY_TIMEOUT).await?;
        let status = reply.status();
        let body = reply.bytes(MAX_ANSWER_BYTES).await?;
        Ok(self.wire.copied(status, &body)?)
    }

    /// Whether the engine at `address` answers at all.
    pub(crate) async fn is_alive(&self, address: SocketAddr, limit: Duration) -> bool {
        let req = self.wire.alive_request();
        self.shared.upstreams.send(address, req, Reuse::Never, limit).await.is_ok()
    }
}
