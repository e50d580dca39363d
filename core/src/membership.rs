//! Gossip-based membership and failure detection of daemons.
//!
//! Each daemon probes a few successors on a ring of hashed host names, and random members; probes
//! and replies carry a few changes. Views may differ for a while, and so may owners chosen by
//! rendezvous hashing, which costs efficiency but not correctness.

use crate::capacity::Capacity;
use crate::ledger::Claimant;
use crate::names::{FailureDomain, HostName};
use crate::rendezvous;
use crate::time::{Millis, Time};
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use strum::{Display, EnumString, FromRepr};

/// State of a member.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    FromRepr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum MemberState {
    /// Runs, but has no complete configuration yet.
    Joining = 0,
    /// Responds and accepts work.
    Alive = 1,
    /// Finishes its work and accepts no more.
    Leaving = 2,
    /// Does not respond.
    Failed = 3,
}

/// A daemon, as gossiped between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host that it runs on.
    pub host: HostName,
    /// Identifies the process; increases with each restart of the daemon.
    pub incarnation: u64,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Capacity of the host.
    pub capacity: Capacity,
    /// State of the daemon.
    pub state: MemberState,
}

impl Member {
    fn supersedes(&self, old: &Self) -> bool {
        (self.incarnation, self.state) > (old.incarnation, old.state)
    }

    /// Identifies this incarnation of the daemon in claims.
    pub fn claimant(&self) -> Claimant {
        Claimant { host: self.host.clone(), incarnation: self.incarnation }
    }
}

/// Interval between rounds, each with one successor probe.
pub const PROBE_INTERVAL: Millis = Millis(1_000);

/// Silence after which a successor counts as failed.
pub const FAILURE_TIMEOUT: Millis = Millis(4_500);

/// Random members told at once that another left or failed.
const URGENT_FANOUT: usize = 2;

/// Minimum interval between two such rounds of messages of one daemon.
const URGENT_MIN_INTERVAL: Millis = Millis(200);

const ROUNDS_PER_RANDOM_PROBE: u64 = 5;

/// Rounds after startup that each probe a random member.
const STARTUP_ROUNDS: u64 = 10;

const SUCCESSORS_PROBED: usize = 2;

/// Members told directly that this daemon starts to accept work or leaves.
const ANNOUNCE_FANOUT: usize = 16;

/// Most recently changed members sent when views differ.
const RECENT_PER_MESSAGE: usize = 12;

/// Random members sent in addition.
const SAMPLE_PER_MESSAGE: usize = 4;

/// Maximum changes in one message.
const CHANGES_PER_MESSAGE: usize = 32;

/// Messages per change, as a multiple of the binary logarithm of the number of members.
const TRANSMISSION_FACTOR: u32 = 2;

/// How long a departed or failed member is remembered.
const DEPARTED_RETENTION: Millis = Millis(3_600_000);

/// Rounds per probe of a failed member, so that the sides of a network partition find each other
/// again; every round for a daemon that knows no running member.
const ROUNDS_PER_FAILED_PROBE: u64 = 6;

/// Daemons per failure domain that read the configuration from the log.
const READERS_PER_DOMAIN: usize = 2;

/// Rendezvous key that ranks the readers.
const READER_KEY: &str = "catalogue";

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    changed_at: Time,
    /// Messages that are still to carry the change.
    transmissions_left: u32,
}

/// One daemon's view of all daemons.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    records: BTreeMap<HostName, Record>,
    /// When each probed successor was last heard from.
    last_heard: HashMap<HostName, Time>,
    probed_at: Option<Time>,
    rounds: u64,
    /// Whether a member left or failed since the last urgent messages.
    has_urgent_changes: bool,
    urgent_sent_at: Option<Time>,
    version: u64,
}

impl Membership {
    /// A view of only this daemon.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            records: BTreeMap::new(),
            last_heard: HashMap::new(),
            probed_at: None,
            rounds: 0,
            has_urgent_changes: false,
            urgent_sent_at: None,
            version: 0,
        }
    }

    /// This daemon.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Increases with every change of the view.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All known members but this daemon.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|record| &record.member)
    }

    /// Members that accept work, including this daemon while alive.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own)
            .chain(self.others())
            .filter(|member| member.state == MemberState::Alive)
    }

    /// The member on `host`, if known.
    pub fn get(&self, host: &str) -> Option<&Member> {
        match self.own.host.as_str() == host {
            true => Some(&self.own),
            false => self.records.get(host).map(|record| &record.member),
        }
    }

    /// Whether, according to this view, the claimant has failed or has a later incarnation.
    pub fn has_stopped(&self, claimant: &Claimant) -> bool {
        self.get(claimant.host.as_str()).is_some_and(|member| {
            let is_later = member.incarnation > claimant.incarnation;
            let is_same = member.incarnation == claimant.incarnation;
            is_later || (is_same && member.state == MemberState::Failed)
        })
    }

    /// Moves this daemon from `Joining` to `Alive`.
    pub fn mark_alive(&mut self) {
        if self.own.state == MemberState::Joining {
            self.own.state = MemberState::Alive;
            self.version += 1;
        }
    }

    /// Moves this daemon to `Leaving`.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.version += 1;
    }

    /// Merges a record from a message or from the platform's list; returns whether it changed what
    /// is known of another member. A wrong record of this daemon is refuted.
    pub fn merge(&mut self, now: Time, member: Member) -> bool {
        if member.host == self.own.host {
            self.refute(&member);
            return false;
        }
        let old = self.records.get(&member.host);
        if old.is_some_and(|record| !member.supersedes(&record.member)) {
            return false;
        }
        if member.state != MemberState::Failed {
            self.heard_from(now, member.host.as_str());
        }
        self.has_urgent_changes |= member.state >= MemberState::Leaving;
        let transmissions_left = self.transmissions();
        let record = Record { changed_at: now, transmissions_left, member };
        self.records.insert(record.member.host.clone(), record);
        self.version += 1;
        true
    }

    fn transmissions(&self) -> u32 {
        TRANSMISSION_FACTOR * (self.records.len() as u32 + 2).ilog2().max(1)
    }

    fn refute(&mut self, reported: &Member) {
        let is_wrong =
            reported.incarnation >= self.own.incarnation && reported.state > self.own.state;
        if is_wrong {
            self.own.incarnation = reported.incarnation + 1;
            self.version += 1;
        }
    }

    /// Records a message or reply of `host`.
    pub fn heard_from(&mut self, now: Time, host: &str) {
        if let Some(at) = self.last_heard.get_mut(host) {
            *at = now;
        }
    }

    /// Marks silent successors as failed and returns members to probe now.
    pub fn tick<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<Member> {
        let urgent = self.urgent_targets(now, rng);
        if self.probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL) {
            return urgent;
        }
        self.probed_at = Some(now);
        self.drop_departed(now);
        let mut targets = self.successors();
        self.fail_unresponsive(now, &mut targets);
        self.rounds += 1;
        if targets.len() > 1 {
            let index = self.rounds as usize % targets.len();
            targets = vec![targets.swap_remove(index)];
        }
        let is_random_due = self.rounds.is_multiple_of(ROUNDS_PER_RANDOM_PROBE);
        let is_starting = self.rounds < STARTUP_ROUNDS;
        if is_random_due || is_starting {
            targets.extend(self.random_member(false, rng));
        }
        targets.extend(urgent);
        if targets.is_empty() || self.rounds.is_multiple_of(ROUNDS_PER_FAILED_PROBE) {
            targets.extend(self.random_member(true, rng));
        }
        targets
    }

    /// Random members to tell at once that others left or failed.
    fn urgent_targets<R: Rng>(&mut self, now: Time, rng: &mut R) -> Vec<Member> {
        let is_too_soon = self.urgent_sent_at.is_some_and(|at| now.since(at) < URGENT_MIN_INTERVAL);
        if !self.has_urgent_changes || is_too_soon {
            return Vec::new();
        }
        self.has_urgent_changes = false;
        self.urgent_sent_at = Some(now);
        (0..URGENT_FANOUT).filter_map(|_| self.random_member(false, rng)).collect()
    }

    fn successors(&self) -> Vec<Member> {
        let own = rendezvous::hash(self.own.host.as_str());
        let mut ring: Vec<_> = self
            .others()
            .filter(|member| member.state != MemberState::Failed)
            .map(|m| (rendezvous::hash(m.host.as_str()).wrapping_sub(own), m))
            .collect();
        let count = SUCCESSORS_PROBED.min(ring.len());
        if count > 0 {
            ring.select_nth_unstable_by_key(count - 1, |(distance, _)| *distance);
        }
        ring.truncate(count);
        ring.into_iter().map(|(_, member)| member.clone()).collect()
    }

    fn fail_unresponsive(&mut self, now: Time, targets: &mut Vec<Member>) {
        for target in targets.iter() {
            // A new successor's timeout starts with its first probe.
            let last_heard = *self.last_heard.entry(target.host.clone()).or_insert(now);
            if now.since(last_heard) >= FAILURE_TIMEOUT {
                let failed = Member { state: MemberState::Failed, ..target.clone() };
                self.merge(now, failed);
                self.last_heard.remove(&target.host);
            }
        }
        targets.retain(|t| self.last_heard.contains_key(&t.host));
        let probed: Vec<_> = targets.iter().map(|t| t.host.clone()).collect();
        self.last_heard.retain(|host, _| probed.contains(host));
    }

    fn random_member<R: Rng>(&self, failed: bool, rng: &mut R) -> Option<Member> {
        let candidates: Vec<_> =
            self.others().filter(|m| (m.state == MemberState::Failed) == failed).collect();
        candidates.choose(rng).map(|member| (*member).clone())
    }

    /// At most `count` random members that have not failed.
    pub fn random_members<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<Member> {
        let running: Vec<_> = self.others().filter(|m| m.state != MemberState::Failed).collect();
        running.sample(rng, count).map(|member| (*member).clone()).collect()
    }

    /// The same, of this daemon's failure domain.
    pub fn random_neighbours<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<Member> {
        let domain = &self.own().failure_domain;
        let running = self.others().filter(|m| m.state != MemberState::Failed);
        let near: Vec<_> = running.filter(|m| m.failure_domain == *domain).collect();
        near.sample(rng, count).map(|member| (*member).clone()).collect()
    }

    fn drop_departed(&mut self, now: Time) {
        let is_kept = |_: &HostName, record: &mut Record| {
            record.member.state <= MemberState::Alive
                || now.since(record.changed_at) < DEPARTED_RETENTION
        };
        self.records.retain(is_kept);
    }

    /// Changes to put into the next message, those sent least often first.
    pub fn changes(&mut self) -> Vec<Member> {
        let mut pending: Vec<_> =
            self.records.values_mut().filter(|record| record.transmissions_left > 0).collect();
        pending.sort_by_key(|record| std::cmp::Reverse(record.transmissions_left));
        pending.truncate(CHANGES_PER_MESSAGE);
        let transmit = |record: &mut Record| {
            record.transmissions_left -= 1;
            record.member.clone()
        };
        pending.into_iter().map(transmit).collect()
    }

    /// All other members, for a daemon that has just joined.
    pub fn snapshot(&self) -> Vec<Member> {
        self.others().cloned().collect()
    }

    /// Members for a daemon whose view differs: the latest changes, which it most likely lacks, and
    /// a few random ones.
    pub fn gossip_sample<R: Rng>(&self, rng: &mut R) -> Vec<Member> {
        let mut records: Vec<_> = self.records.values().collect();
        records.sort_by_key(|record| std::cmp::Reverse(record.changed_at));
        let (recent, others) = records.split_at(records.len().min(RECENT_PER_MESSAGE));
        let random = others.sample(rng, SAMPLE_PER_MESSAGE);
        recent.iter().chain(random).map(|record| record.member.clone()).collect()
    }

    /// Members in the reply to a probe: all if the sender `is_new`, changes and a sample if its
    /// view `differs`, else only changes.
    pub fn probe_reply<R: Rng>(&mut self, is_new: bool, differs: bool, rng: &mut R) -> Vec<Member> {
        match (is_new, differs) {
            (true, _) => self.snapshot(),
            (false, true) => {
                let mut changes = self.changes();
                changes.extend(self.gossip_sample(rng));
                changes
            }
            (false, false) => self.changes(),
        }
    }

    /// Members to tell directly that this daemon accepts work or leaves; the others learn by
    /// gossip.
    pub fn announce_targets(&self) -> Vec<Member> {
        let reachable = self.others().filter(|member| member.state <= MemberState::Alive);
        reachable.take(ANNOUNCE_FANOUT).cloned().collect()
    }

    /// Whether `host` is known, in any state.
    pub fn knows(&self, host: &str) -> bool {
        self.get(host).is_some()
    }

    /// Daemons of `failure_domain` that read the configuration from the log for the others,
    /// best-ranked first.
    pub fn readers(&self, failure_domain: &FailureDomain) -> Vec<&Member> {
        let local = self.others().chain(std::iter::once(&self.own)).filter(|member| {
            member.failure_domain == *failure_domain && member.state <= MemberState::Alive
        });
        let hosts = local.map(|member| member.host.as_str());
        rendezvous::ranked(READER_KEY, hosts, READERS_PER_DOMAIN)
            .into_iter()
            .filter_map(|host| self.get(host))
            .collect()
    }

    /// Digest of hosts, incarnations and states; equal for equal views.
    pub fn digest(&self) -> u64 {
        std::iter::once(&self.own)
            .chain(self.others())
            .map(|m| rendezvous::weight(m.host.as_str(), &format!("{}{}", m.incarnation, m.state)))
            .fold(0, |sum, weight| sum ^ weight)
    }
}
