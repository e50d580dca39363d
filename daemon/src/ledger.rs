//! Client of ledger shard owners: claims keys and records outcomes of calls that must run at most
//! once.

use crate::control::{Message, ShardClaim};
use crate::peer_server::ClaimCode;
use crate::shared::Shared;
use magnoliawinch::ledger::{Claim, ClaimDecision, Outcome, shard_of};
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{ClaimReply, ClaimRequest, SettleRequest};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time allowed for an owner's reply beyond the time that it may wait for the log.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of one attempt to record an outcome.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_SETTLE_ATTEMPTS: u32 = 20;

const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Claims the right to dispatch a call; `LogUnavailable` if the shard's owner does not reply.
pub(crate) async fn claim(shared: &Arc<Shared>, claim: Claim, patience: Millis) -> ClaimDecision {
    let shard = shard_of(&claim.key, shared.settings.ledger_shards);
    let view = shared.view.load_full();
    let Some(owner) = view.owners.of_shard(shard).cloned() else {
        return ClaimDecision::LogUnavailable;
    };
    if owner.host == shared.settings.host {
        let claim = ShardClaim { shard, claim, patience };
        let decision = shared.ask(|reply| Message::Claim { claim, reply }).await;
        return decision.unwrap_or(ClaimDecision::LogUnavailable);
    }
    let req = ClaimRequest {
        shard,
        key: claim.key,
        body_digest: claim.body_digest,
        host: claim.claimant.host.to_string(),
        host_incarnation: claim.claimant.incarnation,
        nonce: claim.nonce,
        patience_ms: patience.0.min(u64::from(u32::MAX)) as u32,
    };
    let timeout = Duration::from(patience) + REPLY_TIMEOUT;
    let result = shared
        .peers
        .call(owner.peer_address, timeout, |mut peer| async move { peer.claim(req).await })
        .await;
    match result {
        Ok(reply) => decision_from_proto(&reply).unwrap_or(ClaimDecision::LogUnavailable),
        Err(e) => {
            log::warn!("owner {} of ledger shard {shard} did not reply: {e}", owner.host);
            ClaimDecision::LogUnavailable
        }
    }
}

fn decision_from_proto(reply: &ClaimReply) -> Option<ClaimDecision> {
    Some(match ClaimCode::from_repr(reply.decision)? {
        ClaimCode::Won => ClaimDecision::Won,
        ClaimCode::Running => ClaimDecision::Running,
        ClaimCode::Released => ClaimDecision::Released,
        ClaimCode::Finished => ClaimDecision::Finished(serde_json::from_str(&reply.outcome).ok()?),
        ClaimCode::OtherBody => ClaimDecision::OtherBody,
        ClaimCode::LogUnavailable => ClaimDecision::LogUnavailable,
    })
}

/// Records a claim's outcome; returns whether the log confirmed it.
pub(crate) async fn settle(shared: &Arc<Shared>, key: &str, nonce: u64, outcome: &Outcome) -> bool {
    let shard = shard_of(key, shared.settings.ledger_shards);
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        if settle_once(shared, shard, key, nonce, outcome).await {
            return true;
        }
        sleep(SETTLE_RETRY_DELAY).await;
    }
    log::error!("the outcome of \"{key}\" could not be recorded");
    false
}

async fn settle_once(
    shared: &Arc<Shared>,
    shard: u32,
    key: &str,
    nonce: u64,
    outcome: &Outcome,
) -> bool {
    let view = shared.view.load_full();
    let Some(owner) = view.owners.of_shard(shard) else {
        return false;
    };
    if owner.host == shared.settings.host {
        let (key, outcome) = (key.to_owned(), outcome.clone());
        let settled = shared.ask(|reply| Message::Settle { shard, key, nonce, outcome, reply });
        return tokio::time::timeout(SETTLE_TIMEOUT, settled).await.ok().flatten().is_some();
    }
    let req = SettleRequest {
        shard,
        key: key.to_owned(),
        nonce,
        outcome: serde_json::to_string(outcome).unwrap_or_default(),
    };
    shared
        .peers
        .call(owner.peer_address, SETTLE_TIMEOUT, |mut peer| async move { peer.settle(req).await })
        .await
        .is_ok_and(|reply| reply.recorded)
}
