//! The configuration: applies its log records, passes them on, publishes changes and writes
//! checkpoints.

use super::{Control, Message};
use magnoliawinch::catalogue::{
    ApplyOutcome, CHECKPOINT_PART_BYTES, Catalogue, Change, Offset, Record, State,
};
use magnoliawinch::names::HostName;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_log::{LogRecord, Page};
use magnoliawinch_operator::{InForce, Published, ServiceInForce};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Log stream that holds the configuration.
pub(crate) const STREAM: &str = "catalogue";

/// Recent records kept for followers.
const MAX_RECENT_RECORDS: usize = 2_000;

/// Number of records after which a checkpoint is written.
const RECORDS_PER_CHECKPOINT: u64 = 500;

/// Minimum time between checkpoints of one daemon.
const MIN_CHECKPOINT_INTERVAL: Millis = Millis(10_000);

/// Time after which a change that the log has not confirmed is reported as unknown.
const PUBLISH_TIMEOUT: Millis = Millis(10_000);

/// Time since its last read after which a follower is dropped.
const FOLLOWER_TIMEOUT: Millis = Millis(10_000);

/// What to read next from the configuration stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NextRead {
    /// Offset of the next record.
    pub(crate) from: Offset,
    /// Whether records are missing, which a complete state from a peer can replace.
    pub(crate) wants_state: bool,
}

/// A reader's reply to a follower.
#[derive(Clone, Debug, Default)]
pub(crate) struct FollowerReply {
    pub(crate) records: Vec<LogRecord>,
    /// Offset of the first record; later than requested if older ones are no longer kept.
    pub(crate) first: Offset,
    /// Offset after the reader's last record.
    pub(crate) next: Offset,
    /// The complete state as JSON, if the requested records are no longer kept.
    pub(crate) snapshot: Option<String>,
}

#[derive(Debug)]
struct WaitingFollower {
    from: Offset,
    deadline: Time,
    reply: oneshot::Sender<FollowerReply>,
}

#[derive(Debug)]
struct Publisher {
    deadline: Time,
    reply: oneshot::Sender<Published>,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    /// Offset of the next record it asked for.
    from: Offset,
    heard_at: Time,
}

/// This daemon's configuration, and its work as a reader and for publishers.
#[derive(Debug)]
pub(super) struct Configuration {
    catalogue: Catalogue,
    /// Whether this daemon has had the newest configuration at some time.
    ready: bool,
    recent_records: VecDeque<LogRecord>,
    waiting: Vec<WaitingFollower>,
    followers: HashMap<String, Follower>,
    publishers: HashMap<u64, Publisher>,
    /// Results to be sent once the change is in the view of the traffic threads.
    decided: Vec<(Publisher, Published)>,
    checkpoint_at: Time,
    rng: ChaCha8Rng,
}

impl Configuration {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            catalogue: Catalogue::new(),
            ready: false,
            recent_records: VecDeque::new(),
            waiting: Vec::new(),
            followers: HashMap::new(),
            publishers: HashMap::new(),
            decided: Vec::new(),
            checkpoint_at: Time(0),
            rng: ChaCha8Rng::seed_from_u64(!seed),
        }
    }

    pub(super) fn state(&self) -> Option<&State> {
        self.catalogue.state()
    }

    pub(super) fn last_offset(&self) -> Offset {
        self.catalogue.next_offset().previous()
    }

    /// Whether this daemon has had the newest configuration at some time.
    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Applies a page of records; returns whether the state changed, `None` if records before the
    /// page are missing.
    fn apply_page(&mut self, page: &Page) -> Option<bool> {
        let mut changed = false;
        self.catalogue.set_log_start(page.first);
        for record in &page.records {
            let outcome = self.catalogue.apply_record(record.offset, &record.data).ok()?;
            match &outcome {
                ApplyOutcome::AlreadyApplied => continue,
                ApplyOutcome::Accepted { .. } | ApplyOutcome::Restored => changed = true,
                ApplyOutcome::Unreadable => log::warn!("cannot parse record {}", record.offset.0),
                _ => {}
            }
            self.note_decision(record.offset, &outcome);
            self.keep_record(record.clone());
        }
        Some(changed)
    }

    fn keep_record(&mut self, record: LogRecord) {
        if self.recent_records.back().is_some_and(|last| last.offset.next() != record.offset) {
            self.recent_records.clear();
        }
        self.recent_records.push_back(record);
        if self.recent_records.len() > MAX_RECENT_RECORDS {
            self.recent_records.pop_front();
        }
    }

    fn note_decision(&mut self, offset: Offset, outcome: &ApplyOutcome) {
        let (nonce, result) = match outcome {
            ApplyOutcome::Accepted { nonce, .. } => {
                (nonce, Published::Accepted { revision: offset })
            }
            ApplyOutcome::Refused { nonce, refusal } => {
                (nonce, Published::Refused { reason: refusal.to_string() })
            }
            _ => return,
        };
        if let Some(publisher) = self.publishers.remove(nonce) {
            self.decided.push((publisher, result));
        }
    }

    fn reply_to_publishers(&mut self) {
        for (publisher, result) in self.decided.drain(..) {
            let _ = publisher.reply.send(result);
        }
    }

    pub(super) fn publish_failed(&mut self, nonce: u64, reason: String) {
        if let Some(publisher) = self.publishers.remove(&nonce) {
            let _ = publisher.reply.send(Published::Unknown { reason });
        }
    }

    pub(super) fn service(&self, name: &str) -> ServiceInForce {
        let entry = self.state().and_then(|state| state.services.get(name));
        entry.map_or_else(ServiceInForce::default, |entry| ServiceInForce {
            revision: entry.revision,
            author: entry.author.clone(),
            document: entry.document.clone(),
        })
    }

    /// Replies to a follower as soon as there are records from `from`, or after `wait` without any.
    pub(super) fn follow(
        &mut self,
        now: Time,
        host: String,
        from: Offset,
        wait: Millis,
        reply: oneshot::Sender<FollowerReply>,
    ) {
        self.followers.insert(host, Follower { from, heard_at: now });
        self.waiting.push(WaitingFollower { from, deadline: now + wait, reply });
        self.reply_to_followers(now);
    }

    fn reply_to_followers(&mut self, now: Time) {
        let next = self.catalogue.next_offset();
        let due: Vec<_> =
            self.waiting.extract_if(.., |f| f.from < next || f.deadline <= now).collect();
        for follower in due {
            let reply = self.reply_from(follower.from);
            let _ = follower.reply.send(reply);
        }
    }

    fn reply_from(&self, from: Offset) -> FollowerReply {
        let next = self.catalogue.next_offset();
        let first_recent = self.recent_records.front().map_or(next, |record| record.offset);
        if from < first_recent {
            let has_all = !self.catalogue.has_gap();
            let snapshot = self.state().filter(|_| has_all).map(State::to_json);
            return FollowerReply { records: Vec::new(), first: first_recent, next, snapshot };
        }
        let records =
            self.recent_records.iter().filter(|record| record.offset >= from).cloned().collect();
        FollowerReply { records, first: from, next, snapshot: None }
    }

    /// Which of this daemon and its followers have applied the record at `offset`.
    pub(super) fn in_force(&self, now: Time, own: &HostName, offset: Offset) -> InForce {
        let mut in_force = InForce::default();
        let recent =
            self.followers.iter().filter(|(_, f)| now.since(f.heard_at) < FOLLOWER_TIMEOUT);
        let own_next = self.catalogue.next_offset();
        let all = recent
            .map(|(host, follower)| (HostName::new(host), follower.from))
            .chain(std::iter::once((own.clone(), own_next)));
        for (host, from) in all {
            match from > offset {
                true => in_force.reached.push(host),
                false => in_force.behind.push(host),
            }
        }
        in_force.reached.sort();
        in_force.behind.sort();
        in_force
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.reply_to_followers(now);
        let expired: Vec<_> = self
            .publishers
            .iter()
            .filter(|(_, publisher)| publisher.deadline <= now)
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in expired {
            let reason = "the log did not confirm the change in time".to_owned();
            self.publish_failed(nonce, reason);
        }
        self.followers.retain(|_, follower| now.since(follower.heard_at) < FOLLOWER_TIMEOUT);
    }
}

impl Control {
    /// Replies what to read next from the configuration stream.
    pub(super) fn next_read(&mut self, reply: oneshot::Sender<NextRead>) {
        let catalogue = &self.configuration.catalogue;
        let _ = reply
            .send(NextRead { from: catalogue.next_offset(), wants_state: catalogue.has_gap() });
    }

    pub(super) fn apply_catalogue_page(
        &mut self,
        now: Time,
        page: &Page,
        reply: oneshot::Sender<bool>,
    ) {
        let changed = self.configuration.apply_page(page);
        let reached_end = self.configuration.catalogue.next_offset() >= page.end;
        let is_newest = self.configuration.last_offset().0 >= self.members.newest_offset();
        let has_state = self.configuration.state().is_some();
        let became_ready = !self.configuration.ready && reached_end && is_newest && has_state;
        self.configuration.ready |= became_ready;
        if changed == Some(true) || became_ready {
            self.configuration_changed();
        }
        if !page.records.is_empty() {
            // Before a change is reported as in force, the traffic threads must see it.
            self.publish_view(now);
        }
        let _ = reply.send(changed.is_some());
        self.configuration.reply_to_publishers();
        self.configuration.reply_to_followers(now);
    }

    /// Applies a peer's complete configuration if it is newer; replies whether it did.
    pub(super) fn restore_catalogue(&mut self, state: State, reply: oneshot::Sender<bool>) {
        let restored = self.configuration.catalogue.restore(state);
        let _ = reply.send(restored);
        if restored {
            self.configuration.recent_records.clear();
            self.configuration_changed();
            self.check_ready();
        }
    }

    /// Marks this daemon as ready once it has a complete configuration and at least one peer has
    /// replied, but none has reported a newer one.
    pub(super) fn check_ready(&mut self) {
        let is_newest = self.configuration.last_offset().0 >= self.members.newest_offset();
        let has_state = self.configuration.state().is_some();
        let has_records = self.configuration.last_offset() > Offset(0);
        if !self.configuration.ready
            && has_state
            && has_records
            && is_newest
            && self.members.heard_from_peer()
            && !self.configuration.catalogue.has_gap()
        {
            self.configuration.ready = true;
            self.configuration_changed();
        }
    }

    /// Appends an operator's change to the log; it is accepted or refused when read back.
    pub(super) fn publish(&mut self, now: Time, change: Change, reply: oneshot::Sender<Published>) {
        let nonce = match change.nonce {
            0 => self.configuration.rng.random_range(1..u64::MAX),
            nonce => nonce,
        };
        let change = Change { nonce, ..change };
        let publisher = Publisher { deadline: now + PUBLISH_TIMEOUT, reply };
        self.configuration.publishers.insert(nonce, publisher);
        let data = serde_json::to_string(&Record::Change(change)).unwrap_or_default();
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            const MAX_ATTEMPTS: u32 = 5;
            const RETRY_DELAY: Duration = Duration::from_millis(500);
            for _ in 0..MAX_ATTEMPTS {
                match shared.log.append(STREAM, &data).await {
                    Ok(_) => return,
                    Err(e) => log::warn!("failed to append a configuration change: {e}"),
                }
                sleep(RETRY_DELAY).await;
            }
            let reason = "the log did not take the change; it may still turn up".to_owned();
            let _ = shared.control.send(Message::PublishFailed { nonce, reason }).await;
        });
    }

    /// Writes a checkpoint if this daemon is responsible for them and enough records were read
    /// since the last.
    pub(super) fn write_checkpoint_if_due(&mut self, now: Time) {
        let configuration = &mut self.configuration;
        let owner = self.owners.of_checkpoints();
        let is_owner = owner.is_some_and(|owner| owner.host == self.members.membership.own().host);
        let records = configuration.catalogue.records_since_checkpoint();
        let is_due = records >= RECORDS_PER_CHECKPOINT
            && now.since(configuration.checkpoint_at) >= MIN_CHECKPOINT_INTERVAL;
        if !is_owner || !is_due {
            return;
        }
        configuration.checkpoint_at = now;
        let id = configuration.rng.random_range(1..u64::MAX);
        let Some(parts) = configuration.catalogue.checkpoint(id, CHECKPOINT_PART_BYTES) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            for part in parts {
                let data = serde_json::to_string(&part).unwrap_or_default();
                if let Err(e) = shared.log.append(STREAM, &data).await {
                    log::warn!("failed to write a checkpoint: {e}");
                    return;
                }
            }
        });
    }
}
