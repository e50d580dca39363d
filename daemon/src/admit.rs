//! Asks admission owners for a place at an upstream.

use crate::control::{AdmitAnswer, AdmitCall, AdmitResult, Message};
use crate::grants::Grant;
use crate::peer_server::{AdmitCode, THOUSANDTHS, Withdrawal, next_token};
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

/// Asks `owner` for a place as `call` says, and notes what it tells of the upstream's load.
pub(crate) async fn admit(shared: &Arc<Shared>, owner: &Member, call: AdmitCall) -> Admitted {
    let upstream = call.upstream.clone();
    let answer = match owner.host == shared.settings.host {
        true => admit_here(shared, call).await,
        false => admit_there(shared, owner, call).await,
    };
    let Some(AdmitAnswer { result, utilisation }) = answer else {
        return Admitted::Silent;
    };
    let now = shared.clock.now();
    let note = |wait| shared.routing().router.note_load(now, &upstream, wait, utilisation);
    match result {
        AdmitResult::Granted(id) => {
            note(Millis(0));
            Admitted::Granted(Grant::new(owner.clone(), id, shared.grants.clone()))
        }
        AdmitResult::Busy(wait) => {
            note(wait);
            Admitted::Busy(wait)
        }
        AdmitResult::Refused(retry) => {
            note(retry);
            Admitted::Refused(retry)
        }
        AdmitResult::Unknown => Admitted::Silent,
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
    let wait = if call.no_queue { Duration::ZERO } else { call.patience.into() };
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
        .call(owner.peer_address, limit, |mut peer| async move { peer.admit(req).await })
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
    let result = match AdmitCode::from_repr(reply.decision)? {
        AdmitCode::Granted => AdmitResult::Granted(reply.grant),
        AdmitCode::Busy => AdmitResult::Busy(millis(reply.expected_wait_ms)),
        AdmitCode::Refused => AdmitResult::Refused(millis(reply.retry_after_ms)),
        AdmitCode::Unknown => AdmitResult::Unknown,
    };
    Some(AdmitAnswer { result, utilisation: f64::from(reply.utilisation) / THOUSANDTHS })
}
