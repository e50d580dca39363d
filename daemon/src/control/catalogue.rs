//! The configuration: folding, relaying, publishing and checkpoints.

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

/// The stream of the configuration.
pub(crate) const STREAM: &str = "catalogue";

/// Records that a relay keeps for its followers.
const KEPT_RECORDS: usize = 2_000;

/// Records after which a checkpoint is written.
const RECORDS_PER_CHECKPOINT: u64 = 500;

/// Least time between two checkpoints of one daemon.
const CHECKPOINT_EVERY: Millis = Millis(10_000);

/// How long a publisher waits for the log's decision.
const PUBLISH_PATIENCE: Millis = Millis(10_000);

/// How long a follower counts as one after its last question.
const FOLLOWER_LIFETIME: Millis = Millis(10_000);

/// What the follower has to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NextRead {
    /// The offset.
    pub(crate) from: Offset,
    /// Whether a whole state from a peer would help.
    pub(crate) wants_state: bool,
}

/// What a relay answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct FollowAnswer {
    pub(crate) records: Vec<LogRecord>,
    pub(crate) first: Offset,
    pub(crate) next: Offset,
    /// The whole state, when the records asked for are no longer kept.
    pub(crate) snapshot: Option<String>,
}

#[derive(Debug)]
struct WaitingFollower {
    from: Offset,
    until: Time,
    reply: oneshot::Sender<FollowAnswer>,
}

#[derive(Debug)]
struct Publisher {
    until: Time,
    reply: oneshot::Sender<Published>,
}

#[derive(Clone, Copy, Debug)]
struct Follower {
    from: Offset,
    at: Time,
}

/// The configuration of this daemon and what it does for others.
#[derive(Debug)]
pub(super) struct Configuration {
    catalogue: Catalogue,
    ready: bool,
    kept: VecDeque<LogRecord>,
    waiting: Vec<WaitingFollower>,
    followers: HashMap<String, Follower>,
    publishers: HashMap<u64, Publisher>,
    /// Answers to publishers that wait until the change is in the traffic threads' view.
    decided: Vec<(Publisher, Published)>,
    checkpoint_at: Time,
    rng: ChaCha8Rng,
}

impl Configuration {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            catalogue: Catalogue::new(),
            ready: false,
            kept: VecDeque::new(),
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

    pub(super) fn through(&self) -> Offset {
        self.catalogue.next_offset().previous()
    }

    /// Whether this daemon had the newest configuration at some time.
    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Folds a page; `None` when records are missing.
    fn fold(&mut self, page: &Page) -> Option<bool> {
        let mut changed = false;
        self.catalogue.set_log_start(page.first);
        for record in &page.records {
            let folded = self.catalogue.apply_record(record.offset, &record.data).ok()?;
            match &folded {
                ApplyOutcome::AlreadyApplied => continue,
                ApplyOutcome::Accepted { .. } | ApplyOutcome::Restored => changed = true,
                ApplyOutcome::Unreadable => log::warn!("unreadable record {}", record.offset.0),
                _ => {}
            }
            self.decide_publisher(record.offset, &folded);
            self.keep(record.clone());
        }
        Some(changed)
    }

    fn keep(&mut self, record: LogRecord) {
        if self.kept.back().is_some_and(|last| last.offset.next() != record.offset) {
            self.kept.clear();
        }
        self.kept.push_back(record);
        if self.kept.len() > KEPT_RECORDS {
            self.kept.pop_front();
        }
    }

    fn decide_publisher(&mut self, offset: Offset, folded: &ApplyOutcome) {
        let (nonce, result) = match folded {
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

    /// Answers the publishers whose changes were decided.
    fn tell_decided(&mut self) {
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

    /// Answers a follower, at once or when there are records.
    pub(super) fn follow(
        &mut self,
        now: Time,
        host: String,
        from: Offset,
        wait: Millis,
        reply: oneshot::Sender<FollowAnswer>,
    ) {
        self.followers.insert(host, Follower { from, at: now });
        self.waiting.push(WaitingFollower { from, until: now + wait, reply });
        self.answer_followers(now);
    }

    fn answer_followers(&mut self, now: Time) {
        let next = self.catalogue.next_offset();
        let due: Vec<_> =
            self.waiting.extract_if(.., |f| f.from < next || f.until <= now).collect();
        for follower in due {
            let answer = self.answer_from(follower.from);
            let _ = follower.reply.send(answer);
        }
    }

    fn answer_from(&self, from: Offset) -> FollowAnswer {
        let next = self.catalogue.next_offset();
        let kept_first = self.kept.front().map_or(next, |record| record.offset);
        if from < kept_first {
            let has_all = !self.catalogue.has_gap();
            let snapshot = self.state().filter(|_| has_all).map(State::to_json);
            return FollowAnswer { records: Vec::new(), first: kept_first, next, snapshot };
        }
        let records = self.kept.iter().filter(|record| record.offset >= from).cloned().collect();
        FollowAnswer { records, first: from, next, snapshot: None }
    }

    /// Which followers of this relay have folded `offset`.
    pub(super) fn in_force(&self, now: Time, own: &HostName, offset: Offset) -> InForce {
        let mut answer = InForce::default();
        let recent = self.followers.iter().filter(|(_, f)| now.since(f.at) < FOLLOWER_LIFETIME);
        let own_next = self.catalogue.next_offset();
        let all = recent
            .map(|(host, follower)| (HostName::new(host), follower.from))
            .chain(std::iter::once((own.clone(), own_next)));
        for (host, from) in all {
            match from > offset {
                true => answer.reached.push(host),
                false => answer.behind.push(host),
            }
        }
        answer.reached.sort();
        answer.behind.sort();
        answer
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.answer_followers(now);
        let over: Vec<_> = self
            .publishers
            .iter()
            .filter(|(_, publisher)| publisher.until <= now)
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in over {
            let reason = "the log did not confirm the change in time".to_owned();
            self.publish_failed(nonce, reason);
        }
        self.followers.retain(|_, follower| now.since(follower.at) < FOLLOWER_LIFETIME);
    }
}

impl Control {
    /// Tells the follower what to read.
    pub(super) fn next_read(&mut self, reply: oneshot::Sender<NextRead>) {
        let catalogue = &self.configuration.catalogue;
        let _ = reply
            .send(NextRead { from: catalogue.next_offset(), wants_state: catalogue.has_gap() });
    }

    /// Folds records of the configuration stream.
    pub(super) fn catalogue_page(&mut self, now: Time, page: &Page, reply: oneshot::Sender<bool>) {
        let folded = self.configuration.fold(page);
        let reached_end = self.configuration.catalogue.next_offset() >= page.end;
        let is_newest = self.configuration.through().0 >= self.members.newest_offset();
        let has_state = self.configuration.state().is_some();
        let became_ready = !self.configuration.ready && reached_end && is_newest && has_state;
        self.configuration.ready |= became_ready;
        if folded == Some(true) || became_ready {
            self.configuration_changed();
        }
        if !page.records.is_empty() {
            // What is said to be in force must be so for the traffic threads.
            self.store_view(now);
        }
        let _ = reply.send(folded.is_some());
        self.configuration.tell_decided();
        self.configuration.answer_followers(now);
    }

    /// Takes the whole configuration from a peer.
    pub(super) fn catalogue_state(&mut self, state: State, reply: oneshot::Sender<bool>) {
        let adopted = self.configuration.catalogue.restore(state);
        let _ = reply.send(adopted);
        if adopted {
            self.configuration.kept.clear();
            self.configuration_changed();
            self.check_ready();
        }
    }

    /// A daemon that got its configuration from peers is ready when none of them has a newer one.
    pub(super) fn check_ready(&mut self) {
        let is_newest = self.configuration.through().0 >= self.members.newest_offset();
        let has_state = self.configuration.state().is_some();
        let is_known = self.configuration.through() > Offset(0);
        if !self.configuration.ready
            && has_state
            && is_known
            && is_newest
            && self.members.heard_any()
            && !self.configuration.catalogue.has_gap()
        {
            self.configuration.ready = true;
            self.configuration_changed();
        }
    }

    /// Appends an operator's change; the fold decides what becomes of it.
    pub(super) fn publish(&mut self, now: Time, change: Change, reply: oneshot::Sender<Published>) {
        let nonce = match change.nonce {
            0 => self.configuration.rng.random_range(1..u64::MAX),
            nonce => nonce,
        };
        let change = Change { nonce, ..change };
        let publisher = Publisher { until: now + PUBLISH_PATIENCE, reply };
        self.configuration.publishers.insert(nonce, publisher);
        let data = serde_json::to_string(&Record::Change(change)).unwrap_or_default();
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            const ATTEMPTS: u32 = 5;
            const PAUSE: Duration = Duration::from_millis(500);
            for _ in 0..ATTEMPTS {
                match shared.log.append(STREAM, &data).await {
                    Ok(_) => return,
                    Err(e) => log::warn!("publishing failed: {e}"),
                }
                sleep(PAUSE).await;
            }
            let reason = "the log did not take the change; it may still turn up".to_owned();
            let _ = shared.control.send(Message::PublishFailed { nonce, reason }).await;
        });
    }

    /// Writes a checkpoint when many records have come since the last one.
    pub(super) fn write_checkpoint_if_due(&mut self, now: Time) {
        let configuration = &mut self.configuration;
        let owner = self.owners.of_checkpoints();
        let is_owner = owner.is_some_and(|owner| owner.host == self.members.membership.own().host);
        let records = configuration.catalogue.records_since_checkpoint();
        let is_due = records >= RECORDS_PER_CHECKPOINT
            && now.since(configuration.checkpoint_at) >= CHECKPOINT_EVERY;
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
                    log::warn!("checkpoint broken off: {e}");
                    return;
                }
            }
        });
    }
}
