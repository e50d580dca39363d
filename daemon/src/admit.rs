//! Requests admission to an upstream from its owner.

use crate::control::{AdmissionReply, AdmissionRequest, AdmitDecision, Message};
use crate::grants::Grant;
use crate::peer_server::{AdmitCode, UTILISATION_SCALE, WithdrawGuard, next_withdraw_id};
use crate::shared::Shared;
use magnoliawinch::membership::Member;
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{AdmitReply, AdmitRequest};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of an owner's reply, beyond the time that the request may wait in its queue.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// The outcome of an admission request.
#[derive(Debug)]
pub(crate) enum AdmitOutcome {
    /// The generation may start; the grant is released when dropped.
    Granted(Grant),
    /// There is no capacity now; contains the expected wait.
    Busy(Millis),
    /// The request is not run; contains the time after which to retry.
    Refused(Millis),
    /// The owner did not reply, or does not know the upstream.
    Silent,
}

/// Sends `request` to `owner`; records the load in the reply for routing.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    owner: &Member,
    request: AdmissionRequest,
) -> AdmitOutcome {
    let upstream = request.upstream.clone();
    let reply = match owner.host == shared.settings.host {
        true => admit_locally(shared, request).await,
        false => admit_remotely(shared, owner, request).await,
    };
    let Some(AdmissionReply { decision, utilisation }) = reply else {
        return AdmitOutcome::Silent;
    };
    let now = shared.clock.now();
    let note_load = |wait| shared.routing().router.note_load(now, &upstream, wait, utilisation);
    match decision {
        AdmitDecision::Granted(id) => {
            note_load(Millis(0));
            AdmitOutcome::Granted(Grant::new(owner.clone(), id, shared.grant_updates.clone()))
        }
        AdmitDecision::Busy(wait) => {
            note_load(wait);
            AdmitOutcome::Busy(wait)
        }
        AdmitDecision::Refused(retry_after) => {
            note_load(retry_after);
            AdmitOutcome::Refused(retry_after)
        }
        AdmitDecision::Unknown => AdmitOutcome::Silent,
    }
}

async fn admit_locally(shared: &Arc<Shared>, request: AdmissionRequest) -> Option<AdmissionReply> {
    let withdraw_id = next_withdraw_id();
    let guard = WithdrawGuard::new(shared, &request.upstream, withdraw_id);
    let request = AdmissionRequest { withdraw_id, ..request };
    let reply = shared.ask(|reply| Message::Admit { request, reply }).await;
    guard.disarm();
    reply
}

async fn admit_remotely(
    shared: &Arc<Shared>,
    owner: &Member,
    request: AdmissionRequest,
) -> Option<AdmissionReply> {
    let queue_wait = if request.no_queue { Duration::ZERO } else { request.patience.into() };
    let req = AdmitRequest {
        service: request.service.to_string(),
        upstream: request.upstream.to_string(),
        organisation: request.organisation.to_string(),
        kind: request.kind.to_string(),
        prompt_tokens: request.prompt_tokens,
        patience_ms: request.patience.0.min(u64::from(u32::MAX)) as u32,
        suspect: request.suspect,
        no_queue: request.no_queue,
        host: request.holder.to_string(),
    };
    let timeout = queue_wait + REPLY_TIMEOUT;
    let result = shared
        .peers
        .call(owner.peer_address, timeout, |mut peer| async move { peer.admit(req).await })
        .await;
    match result {
        Ok(reply) => reply_from_proto(&reply),
        Err(e) => {
            log::debug!("admission owner {} did not reply: {e}", owner.host);
            None
        }
    }
}

fn reply_from_proto(reply: &AdmitReply) -> Option<AdmissionReply> {
    let millis = |ms: u32| Millis(u64::from(ms));
    let decision = match AdmitCode::from_repr(reply.decision)? {
        AdmitCode::Granted => AdmitDecision::Granted(reply.grant),
        AdmitCode::Busy => AdmitDecision::Busy(millis(reply.expected_wait_ms)),
        AdmitCode::Refused => AdmitDecision::Refused(millis(reply.retry_after_ms)),
        AdmitCode::Unknown => AdmitDecision::Unknown,
    };
    Some(AdmissionReply { decision, utilisation: f64::from(reply.utilisation) / UTILISATION_SCALE })
}
