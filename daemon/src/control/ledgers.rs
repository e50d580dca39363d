//! Ledger shards that this daemon owns.

use super::{Control, Message};
use crate::shared::Shared;
use magnoliawinch::catalogue::Offset;
use magnoliawinch::ledger::{
    self, Action, Batch, Claim, ClaimAnswer, Claimant, Outcome, ShardOwner, min_append_interval,
};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_log::Page;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Longest wait of one read of a shard.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Wait before a read of a shard after one that failed.
const READ_RETRY: Duration = Duration::from_millis(100);

/// A shard without claims is forgotten after this time.
const IDLE_SHARD_LIFETIME: Millis = Millis(60_000);

/// A claim of a call.
#[derive(Debug)]
pub(crate) struct ClaimCall {
    pub(crate) shard: u32,
    pub(crate) claim: Claim,
    pub(crate) patience: Millis,
}

#[derive(Debug)]
struct ShardState {
    owner: ShardOwner,
    claims: HashMap<u64, oneshot::Sender<ClaimAnswer>>,
    settles: HashMap<u64, oneshot::Sender<()>>,
    is_read: bool,
    used_at: Time,
}

/// The shards in memory.
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

    fn shard(&mut self, shared: &Arc<Shared>, now: Time, shard: u32) -> &mut ShardState {
        let validity = Millis(shared.settings.key_validity_ms);
        let pause = min_append_interval(shared.settings.ledger_shards);
        let state = self.shards.entry(shard).or_insert_with(|| ShardState {
            owner: ShardOwner::new(validity, pause),
            claims: HashMap::new(),
            settles: HashMap::new(),
            is_read: false,
            used_at: now,
        });
        state.used_at = now;
        if !state.is_read {
            state.is_read = true;
            let reader = read_shard(Arc::clone(shared), shard, state.owner.next_offset());
            shared.traffic.spawn(reader);
        }
        state
    }

    fn claim(
        &mut self,
        shared: &Arc<Shared>,
        now: Time,
        call: ClaimCall,
        reply: oneshot::Sender<ClaimAnswer>,
    ) {
        let state = self.shard(shared, now, call.shard);
        state.claims.insert(call.claim.nonce, reply);
        state.owner.claim(call.claim, now + call.patience);
        self.tick_shard(shared, now, call.shard);
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
        let state = self.shard(shared, now, shard);
        state.settles.insert(nonce, reply);
        state.owner.settle(key, nonce, outcome);
        self.tick_shard(shared, now, shard);
    }

    /// Folds a page; returns the offset to read next, or `None` to stop reading.
    pub(super) fn page(
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
        state.is_read = state.owner.is_waiting();
        state.is_read.then(|| state.owner.next_offset())
    }

    pub(super) fn appended(
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

    pub(super) fn sweep(&mut self, now: Time, is_gone: impl Fn(&Claimant) -> bool) {
        for state in self.shards.values_mut() {
            state.owner.settle_orphaned_claims(&is_gone);
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
                Action::Answer { nonce, answer } => {
                    if let Some(reply) = self.claims.remove(&nonce) {
                        let _ = reply.send(answer);
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
    let task = Arc::clone(shared);
    shared.traffic.spawn(async move {
        let result = task.log.append(&ledger::stream_name(shard), &data).await;
        if let Err(e) = &result {
            log::warn!("append to ledger shard {shard} failed: {e}");
            sleep(READ_RETRY).await;
        }
        let succeeded = result.is_ok();
        let _ = task.control.send(Message::LedgerAppended { shard, succeeded }).await;
    });
}

/// Reads a shard while the control thread waits for its records.
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
            sleep(READ_RETRY).await;
        }
    }
}

impl Control {
    pub(super) fn claim(
        &mut self,
        now: Time,
        call: ClaimCall,
        reply: oneshot::Sender<ClaimAnswer>,
    ) {
        self.ledgers.claim(&self.shared, now, call, reply);
    }
}
