//! Asks admission owners for a place at an upstream.

use crate::control::{AdmitAnswer, AdmitCall, Message};
use crate::grants::Grant;
use crate::peer_server::{AdmitCode, Withdrawal, next_token};
use crate::shared::Shared;
use magnoliawinch::membership::Member;
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{AdmitReply, AdmitRequest};
use std::sync::Arc;
use std::time::Duration;

/// Time for an owner's answer that does not wait in its queue.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How an owner answered.
#[derive(Debug)]
pub(crate) enum Admitted {
    /// The place is there until the guard is dropped.
    Granted(Grant),
    /// There is no room now; the wait would be this long.
    Busy(Millis),
    /// The request is not run here; come back after this time.
    Refused(Millis),
    /// The owner did not answer.
    Silent,
}

/// Asks `owner` for a place as `call` says.
pub(crate) async fn admit(shared: &Arc<Shared>, owner: &Member, call: AdmitCall) -> Admitted {
    let answer = match owner.host == shared.settings.host {
        true => admit_here(shared, call).await,
        false => admit_there(shared, owner, call).await,
    };
    match answer {
        Some(AdmitAnswer::Granted(id)) => {
            Admitted::Granted(Grant::new(owner.clone(), id, shared.grants.clone()))
        }
        Some(AdmitAnswer::Busy(wait)) => Admitted::Busy(wait),
        Some(AdmitAnswer::Refused(retry)) => Admitted::Refused(retry),
        Some(AdmitAnswer::Unknown) | None => Admitted::Silent,
    }
}

async fn admit_here(shared: &Arc<Shared>, call: AdmitCall) -> Option<AdmitAnswer> {
    let token = next_token();
    let withdrawal = Withdrawal::new(shared, &call.upstream, token);
    let call = AdmitCall { token, ..call };
    let answer = shared.ask(|reply| Message::Admit { call, reply }).await;
    withdrawal.answered();
    answer
}

async fn admit_there(shared: &Arc<Shared>, owner: &Member, call: AdmitCall) -> Option<AdmitAnswer> {
    let wait = if call.no_queue {
        Duration::ZERO
    } else {
        call.patience.into()
    };
    let req = AdmitRequest {
        service: call.service.to_string(),
        upstream: call.upstream.to_string(),
        organisation: call.organisation.to_string(),
        kind: call.kind.to_string(),
        prompt_tokens: call.prompt_tokens,
        patience_ms: call.patience.0.min(u64::from(u32::MAX)) as u32,
        suspect: call.suspect,
        no_queue: call.no_queue,
        host: call.holder.to_string(),
    };
    let limit = wait + ANSWER_TIMEOUT;
    let result = shared
        .peers
        .call(owner.peer_address, limit, |mut peer| async move {
            peer.admit(req).await
        })
        .await;
    match result {
        Ok(reply) => read_reply(&reply),
        Err(e) => {
            log::debug!("admission owner {} did not answer: {e}", owner.host);
            None
        }
    }
}

fn read_reply(reply: &AdmitReply) -> Option<AdmitAnswer> {
    let millis = |ms: u32| Millis(u64::from(ms));
    match AdmitCode::from_repr(reply.decision)? {
        AdmitCode::Granted => Some(AdmitAnswer::Granted(reply.grant)),
        AdmitCode::Busy => Some(AdmitAnswer::Busy(millis(reply.expected_wait_ms))),
        AdmitCode::Refused => Some(AdmitAnswer::Refused(millis(reply.retry_after_ms))),
        AdmitCode::Unknown => Some(AdmitAnswer::Unknown),
    }
}
