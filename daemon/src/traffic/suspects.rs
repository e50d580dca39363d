//! Asks and tells the owners of fingerprints about requests that may have crashed upstreams.

use crate::control::Message;
use crate::peer_server::SuspectReport;
use crate::shared::Shared;
use magnoliawinch::quarantine::{Fingerprint, QuarantineStatus};
use magnoliawinch::time::Millis;
use magnoliawinch_peer::SuspectRequest;
use std::sync::Arc;
use std::time::Duration;

/// Time for a question about a fingerprint.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks or tells the owner of a fingerprint; without its answer the request runs as any other.
pub(super) async fn ask_about(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    report: SuspectReport,
) -> QuarantineStatus {
    let view = shared.view.load_full();
    let Some(owner) = view.owners.of_fingerprint(fingerprint) else {
        return QuarantineStatus::Normal;
    };
    if owner.host == shared.settings.host {
        return ask_here(shared, fingerprint, report).await;
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

async fn ask_here(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    report: SuspectReport,
) -> QuarantineStatus {
    let answer = match report {
        SuspectReport::Ask => shared.ask(|reply| Message::Quarantine { fingerprint, reply }).await,
        SuspectReport::Crashed => shared.ask(|reply| Message::Crashed { fingerprint, reply }).await,
        SuspectReport::Completed => {
            let _ = shared.control.send(Message::SuspectCompleted(fingerprint)).await;
            None
        }
    };
    answer.unwrap_or(QuarantineStatus::Normal)
}
