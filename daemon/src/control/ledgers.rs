//! The ledger shards that this daemon owns.

use super::{Control, Message};
use crate::shared::Shared;
use magnoliawinch::catalogue::Offset;
use magnoliawinch::ledger::{
    self, Action, Batch, Claim, ClaimDecision, Claimant, Outcome, ShardOwner, min_append_interval,
};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_log::Page;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Maximum wait of one read for new records.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after which an unused shard is dropped from memory.
const IDLE_SHARD_LIFETIME: Millis = Millis(60_000);

/// A claim to be made in a shard.
#[derive(Debug)]
pub(crate) struct ShardClaim {
    pub(crate) shard: u32,
    pub(crate) claim: Claim,
    /// How long the claimant waits for the reply.
    pub(crate) patience: Millis,
}

#[derive(Debug)]
struct ShardState {
    owner: ShardOwner,
    /// Claims without a reply, by nonce.
    claims: HashMap<u64, oneshot::Sender<ClaimDecision>>,
    /// Outcomes not yet in the log, by nonce of their claim.
    settles: HashMap<u64, oneshot::Sender<()>>,
    /// Whether a `read_shard` task is running.
    has_reader: bool,
    used_at: Time,
}

/// The shards that are held in memory.
#[derive(Debug)]
pub(super) struct Ledgers {
    shards: HashMap<u32, ShardState>,
}

impl Ledgers {
    pub(super) fn new() -> Self {
        Self { shards: HashMap::new() }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.shards.values().any(|shard| shard.owner.is_waiting())
    }

    /// The state of a shard; creates it and starts to read its records if needed.
    fn ensure_shard(&mut self, shared: &Arc<Shared>, now: Time, shard: u32) -> &mut ShardState {
        let validity = Millis(shared.settings.key_validity_ms);
        let append_interval = min_append_interval(shared.settings.ledger_shards);
        let state = self.shards.entry(shard).or_insert_with(|| ShardState {
            owner: ShardOwner::new(validity, append_interval),
            claims: HashMap::new(),
            settles: HashMap::new(),
            has_reader: false,
            used_at: now,
        });
        state.used_at = now;
        if !state.has_reader {
            state.has_reader = true;
            let reader = read_shard(Arc::clone(shared), shard, state.owner.next_offset());
            shared.traffic.spawn(reader);
        }
        state
    }

    fn claim(
        &mut self,
        shared: &Arc<Shared>,
        now: Time,
        claim: ShardClaim,
        reply: oneshot::Sender<ClaimDecision>,
    ) {
        let state = self.ensure_shard(shared, now, claim.shard);
        state.claims.insert(claim.claim.nonce, reply);
        state.owner.claim(claim.claim, now + claim.patience);
        self.tick_shard(shared, now, claim.shard);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn settle(
        &mut self,
        shared: &Arc<Shared>,
        now: Time,
        shard: u32,
        key: &str,
        nonce: u64,
        outcome: Outcome,
        reply: oneshot::Sender<()>,
    ) {
        let state = self.ensure_shard(shared, now, shard);
        state.settles.insert(nonce, reply);
        state.owner.settle(key, nonce, outcome);
        self.tick_shard(shared, now, shard);
    }

    /// Applies a page of records; returns the offset to read next, or `None` to stop reading.
    pub(super) fn apply_page(
        &mut self,
        shared: &Arc<Shared>,
        now: Time,
        shard: u32,
        page: Option<Page>,
    ) -> Option<Offset> {
        let state = self.shards.get_mut(&shard)?;
        if let Some(page) = page {
            state.owner.set_log_start(page.first);
            for record in &page.records {
                let actions = state.owner.apply_record(record.offset, record.at_ms, &record.data);
                state.apply(shared, shard, actions);
            }
        }
        self.tick_shard(shared, now, shard);
        let state = self.shards.get_mut(&shard)?;
        state.has_reader = state.owner.is_waiting();
        state.has_reader.then(|| state.owner.next_offset())
    }

    pub(super) fn append_ended(
        &mut self,
        shared: &Arc<Shared>,
        now: Time,
        shard: u32,
        succeeded: bool,
    ) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.owner.append_ended(succeeded);
        }
        self.tick_shard(shared, now, shard);
    }

    fn tick_shard(&mut self, shared: &Arc<Shared>, now: Time, shard: u32) {
        if let Some(state) = self.shards.get_mut(&shard) {
            let actions = state.owner.tick(now);
            state.apply(shared, shard, actions);
        }
    }

    pub(super) fn tick(&mut self, shared: &Arc<Shared>, now: Time) {
        for (shard, state) in &mut self.shards {
            let actions = state.owner.tick(now);
            state.apply(shared, *shard, actions);
        }
    }

    pub(super) fn sweep(&mut self, now: Time, has_stopped: impl Fn(&Claimant) -> bool) {
        for state in self.shards.values_mut() {
            state.owner.settle_orphaned_claims(&has_stopped);
        }
        let is_used = |_: &u32, state: &mut ShardState| {
            state.owner.is_waiting() || now.since(state.used_at) < IDLE_SHARD_LIFETIME
        };
        self.shards.retain(is_used);
    }
}

impl ShardState {
    fn apply(&mut self, shared: &Arc<Shared>, shard: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(batch) => append(shared, shard, &batch),
                Action::Reply { nonce, decision } => {
                    if let Some(reply) = self.claims.remove(&nonce) {
                        let _ = reply.send(decision);
                    }
                }
                Action::Settled { nonce } => {
                    if let Some(reply) = self.settles.remove(&nonce) {
                        let _ = reply.send(());
                    }
                }
            }
        }
    }
}

fn append(shared: &Arc<Shared>, shard: u32, batch: &Batch) {
    let data = serde_json::to_string(batch).unwrap_or_default();
    let task_shared = Arc::clone(shared);
    shared.traffic.spawn(async move {
        let result = task_shared.log.append(&ledger::stream_name(shard), &data).await;
        if let Err(e) = &result {
            log::warn!("append to ledger shard {shard} failed: {e}");
            sleep(RETRY_DELAY).await;
        }
        let succeeded = result.is_ok();
        let _ = task_shared.control.send(Message::LedgerAppended { shard, succeeded }).await;
    });
}

/// Reads a shard's records until the control thread needs no more.
async fn read_shard(shared: Arc<Shared>, shard: u32, from: Offset) {
    let stream = ledger::stream_name(shard);
    let mut from = from;
    loop {
        let page = shared.log.read(&stream, from, READ_WAIT).await;
        let failed = page.is_err();
        let next = shared.ask(|reply| Message::LedgerPage { shard, page: page.ok(), reply }).await;
        match next.flatten() {
            Some(next) => from = next,
            None => return,
        }
        if failed {
            sleep(RETRY_DELAY).await;
        }
    }
}

impl Control {
    pub(super) fn claim(
        &mut self,
        now: Time,
        claim: ShardClaim,
        reply: oneshot::Sender<ClaimDecision>,
    ) {
        self.ledgers.claim(&self.shared, now, claim, reply);
    }
}
