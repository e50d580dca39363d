//! Queries and reports to fingerprint owners, for requests that may have crashed upstreams.

use crate::control::Message;
use crate::peer_server::SuspectReport;
use crate::shared::Shared;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::quarantine::{Crash, Fingerprint, QuarantineStatus, UNKNOWN_INCARNATION};
use magnoliawinch::time::Millis;
use magnoliawinch_peer::SuspectRequest;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for the reply of a fingerprint's owner.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(300);

/// What the owner of a fingerprint is told or asked.
#[derive(Clone, Copy, Debug)]
pub(super) enum Notice<'a> {
    /// Whether requests with the fingerprint may run.
    Ask,
    /// This upstream ended under a request.
    Crashed(&'a UpstreamName),
    /// A suspect completed.
    Completed,
}

impl Notice<'_> {
    fn report(&self) -> SuspectReport {
        match self {
            Self::Ask => SuspectReport::Ask,
            Self::Crashed(_) => SuspectReport::Crashed,
            Self::Completed => SuspectReport::Completed,
        }
    }

    fn upstream(&self) -> &str {
        match self {
            Self::Crashed(upstream) => upstream.as_str(),
            Self::Ask | Self::Completed => "",
        }
    }
}

/// Sends a query or report to the owner of a fingerprint and returns the request's status; `Normal`
/// if the owner does not reply.
pub(super) async fn report_suspect(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    notice: Notice<'_>,
) -> QuarantineStatus {
    let view = shared.view.load_full();
    let Some(owner) = view.owners.of_fingerprint(fingerprint) else {
        return QuarantineStatus::Normal;
    };
    if owner.host == shared.settings.host {
        return report_to_self(shared, fingerprint, notice).await;
    }
    let req = SuspectRequest {
        fingerprint: fingerprint.0,
        report: notice.report() as u32,
        upstream: notice.upstream().to_owned(),
    };
    let call = shared.peers.call(owner.peer_address, SUSPECT_TIMEOUT, |mut peer| async move {
        peer.suspect(req).await
    });
    match call.await {
        Ok(reply) if reply.refused_for_ms > 0 => {
            QuarantineStatus::Refused(Millis(u64::from(reply.refused_for_ms)))
        }
        Ok(reply) if reply.suspect => QuarantineStatus::Suspect,
        _ => QuarantineStatus::Normal,
    }
}

async fn report_to_self(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    notice: Notice<'_>,
) -> QuarantineStatus {
    let status = match notice {
        Notice::Ask => shared.ask(|reply| Message::Quarantine { fingerprint, reply }).await,
        Notice::Crashed(upstream) => {
            let crash =
                Crash { fingerprint, upstream: upstream.clone(), born: UNKNOWN_INCARNATION };
            shared.ask(|reply| Message::Crashed { crash, reply }).await
        }
        Notice::Completed => {
            let _ = shared.control.send(Message::SuspectCompleted(fingerprint)).await;
            None
        }
    };
    status.unwrap_or(QuarantineStatus::Normal)
}
