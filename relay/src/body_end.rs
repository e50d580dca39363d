//! Ends of bodies with neither a length nor chunks.
//!
//! Such a body ends with its connection, which an upstream that ends closes, too. So its upstream is
//! asked over a new connection: a process that has ended answers nothing, although its listener may be
//! open for some moments longer than its connections.

use crate::forward::Forward;
use crate::handler::RequestHandler;
use crate::runs::Endpoint;
use crate::wire::{ProcessInfo, Wire};
use magnoliawinch_http::SendError;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Timeout of the health check of an upstream that has closed the connection of a body; it may wait for
/// a slot.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of the response to a health check.
const MAX_CHECK_BYTES: usize = 262_144;

/// Cause of a failure.
pub(crate) const UNFRAMED_END: &str =
    "the connection was closed and the upstream is not known to live";

impl<W: Wire> RequestHandler<W> {
    /// Whether an upstream that has closed the connection of a body with neither a length nor chunks did
    /// so at the end of the body: the same process lives on.
    pub(crate) async fn has_closed_whole_body(&self, fwd: &Forward, upstream: &Endpoint) -> bool {
        let started_at = Instant::now();
        let checked = self.ask_process(fwd, upstream).await;
        let (result, problem) = match &checked {
            Ok(process) if is_process_of(process, upstream) => ("alive", String::new()),
            Ok(_) => ("replaced", String::new()),
            Err(e) => ("no_answer", e.to_string()),
        };
        self.shared.metrics.count("unframed_end", result);
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.info.run.as_str(),
                upstream = upstream.name.as_str(),
                result,
                took_ms = started_at.elapsed().as_millis() as u64,
                problem;
                "upstream checked after a body without a length"
            );
        }
        result == "alive"
    }

    /// What the process at the address of an upstream states about itself.
    async fn ask_process(
        &self,
        fwd: &Forward,
        upstream: &Endpoint,
    ) -> Result<ProcessInfo, SendError> {
        let view = self.shared.view.load();
        let config = view.table.as_ref().and_then(|table| table.service(fwd.service.as_str()));
        let path = config.and_then(|config| config.health_path.as_deref());
        // Reports of engines take no slot.
        let req = match path.filter(|_| !fwd.is_pooled) {
            Some(path) => self.wire.load_request(path)?,
            None => self.wire.health_check_request(),
        };
        let limit = CHECK_TIMEOUT.min(fwd.remaining());
        let exchange = async {
            let response = self.send_order(&fwd.service, upstream, req, limit).await?;
            let headers = response.headers().clone();
            let body = response.bytes(MAX_CHECK_BYTES).await?;
            Ok(self.wire.parse_process(&headers, &body))
        };
        let timed_out = SendError::Timeout { address: upstream.address, after: limit };
        timeout(limit, exchange).await.unwrap_or(Err(timed_out))
    }
}

fn is_process_of(process: &ProcessInfo, upstream: &Endpoint) -> bool {
    let has_name = process.name.as_ref().is_none_or(|name| *name == upstream.name);
    // Entries of older writers have no start.
    let has_start = process.born.is_none_or(|born| born == upstream.born || upstream.born == 0);
    has_name && has_start
}
