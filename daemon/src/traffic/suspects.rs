//! Queries and reports to fingerprint owners, for requests that may have crashed upstreams.

use crate::control::Message;
use crate::peer_server::SuspectReport;
use crate::shared::Shared;
use magnoliawinch::quarantine::{Fingerprint, QuarantineStatus};
use magnoliawinch::time::Millis;
use magnoliawinch_peer::SuspectRequest;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for the reply of a fingerprint's owner.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends a query or report to the owner of a fingerprint and returns the request's status; `Normal`
/// if the owner does not reply.
pub(super) async fn report_suspect(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    report: SuspectReport,
) -> QuarantineStatus {
    let view = shared.view.load_full();
    let Some(owner) = view.owners.of_fingerprint(fingerprint) else {
        return QuarantineStatus::Normal;
    };
    if owner.host == shared.settings.host {
        return report_to_self(shared, fingerprint, report).await;
    }
    let req = SuspectRequest { fingerprint: fingerprint.0, report: report as u32 };
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
    report: SuspectReport,
) -> QuarantineStatus {
    let status = match report {
        SuspectReport::Ask => shared.ask(|reply| Message::Quarantine { fingerprint, reply }).await,
        SuspectReport::Crashed => shared.ask(|reply| Message::Crashed { fingerprint, reply }).await,
        SuspectReport::Completed => {
            let _ = shared.control.send(Message::SuspectCompleted(fingerprint)).await;
            None
        }
    };
    status.unwrap_or(QuarantineStatus::Normal)
}
