//! Upstreams that may get work, according to the platform's list, which lags, and to direct
//! evidence.
//!
//! An incarnation that has begun to leave stays unusable, except that a new entry cancels a
//! removal. After an outage of the list, an upstream with an expired entry may only have failed to
//! renew it, so it stays in use for a short while. The same holds for entries that are missing when
//! the store returns from a copy; entries of that copy do not bring back what has left since.
//!
//! `magnoliawinch-edge` learns from the list which upstreams exist, whereas `magnoliawinchd` has
//! them from the service files and tracks only their health, in [`crate::upstreams`].

use crate::names::{FailureDomain, ServiceName, UpstreamName};
use crate::store_position::StorePosition;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// Time after a list outage by which expired entries are renewed, as documented by the platform.
pub const EXPIRY_GRACE: Millis = Millis(2_000);

/// Time without a successful read that counts as an outage of the list.
const OUTAGE_AFTER: Millis = Millis(1_500);

/// Time by which an upstream that has stopped loses an entry that the store's copy brought back:
/// three renewals at the platform's interval, and the time to read the list.
const COPY_EXPIRY: Millis = Millis(4_500);

/// How long an unreachable upstream gets no work, unless there is no alternative.
const UNREACHABLE_BACKOFF: Millis = Millis(1_000);

/// How long evidence that an upstream leaves is kept; its own statement is kept for at least as long
/// as it is listed.
const LEAVING_RETENTION: Millis = Millis(60_000);

/// The list's entry for an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Name of the upstream; a new incarnation usually has a new one.
    pub name: UpstreamName,
    /// When this incarnation started, in milliseconds since 1970 by its own clock.
    pub born: u64,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether it only finishes the work that it has.
    pub leaving: bool,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry was added or updated.
    Put(ListedUpstream),
    /// An entry was removed.
    Removed(UpstreamName),
}

impl Change {
    fn name(&self) -> &UpstreamName {
        match self {
            Self::Put(listed) => &listed.name,
            Self::Removed(name) => name,
        }
    }
}

/// Where an update of the list comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Read from the store by this daemon.
    Store,
    /// Passed on by a peer, with the entries that the peer removes after the given times unless
    /// they return. What the peer has removed is gone for good.
    Peer(Vec<(UpstreamName, Millis)>),
}

#[derive(Clone, Debug)]
struct Upstream {
    listed: ListedUpstream,
    /// When it counts as removed unless its entry returns; set if that expired around an outage of
    /// the list.
    removal_at: Option<Time>,
    /// Whether the store may have another entry at the position that is applied: this one was kept
    /// although the store's copy has an older one, by this daemon or by the peer that passed it on.
    is_unconfirmed: bool,
}

/// Evidence that an incarnation of an upstream leaves or has left.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    born: u64,
    at: Time,
    /// Whether the evidence is a removed entry; a new entry cancels it.
    was_removed: bool,
}

/// One daemon's view of the upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<UpstreamName, Upstream>,
    leaving: HashMap<UpstreamName, Leaving>,
    unreachable_until: HashMap<UpstreamName, Time>,
    /// The list's records before this position are applied.
    position: StorePosition,
    read_at: Option<Time>,
    outage_ended_at: Option<Time>,
    /// Removed upstreams that the store's copy lists, and when they are usable if they still are
    /// listed then.
    brought_back: HashMap<UpstreamName, Time>,
    /// Whether any of them has become usable since this was last asked.
    has_restored: bool,
}

impl Fleet {
    /// Creates a view that has not read the list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Position up to which the list is applied.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Whether the list was ever read.
    pub fn has_been_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// When the list was last read, by this daemon or by the peer that passed it on.
    pub fn read_at(&self) -> Option<Time> {
        self.read_at
    }

    /// Applies `changes` up to `position`, unless a later one is already applied; returns upstreams
    /// that have begun to leave.
    pub fn apply(
        &mut self,
        now: Time,
        position: StorePosition,
        origin: &Origin,
        changes: impl IntoIterator<Item = Change>,
    ) -> Vec<UpstreamName> {
        if position < self.position {
            return Vec::new();
        }
        let is_copy = self.has_been_read() && position.is_rewound_since(self.position);
        self.record_read(now);
        if is_copy {
            self.outage_ended_at = Some(now);
        }
        self.position = position;
        let mut leaving = Vec::new();
        for change in changes {
            leaving.extend(match (change, origin) {
                (Change::Put(listed), _) if is_copy => self.put_from_copy(now, listed),
                (Change::Put(listed), _) => self.put(now, listed),
                (Change::Removed(name), Origin::Store) => self.expire(now, &name),
                (Change::Removed(name), Origin::Peer(_)) => self.remove(now, &name),
            });
        }
        if let Origin::Peer(expiring) = origin {
            for (name, left) in expiring {
                if let Some(upstream) = self.upstreams.get_mut(name) {
                    upstream.removal_at.get_or_insert(now + *left);
                }
            }
        }
        leaving
    }

    /// Replaces all entries by the list as of `position`, unless a later one is already applied;
    /// returns the upstreams that have begun to leave.
    pub fn replace(
        &mut self,
        now: Time,
        position: StorePosition,
        origin: &Origin,
        all: Vec<ListedUpstream>,
    ) -> Vec<UpstreamName> {
        if position < self.position {
            return Vec::new();
        }
        let names: HashSet<_> = all.iter().map(|listed| &listed.name).collect();
        let is_listed = |name: &UpstreamName| names.contains(name);
        let missing: Vec<_> =
            self.upstreams.keys().filter(|name| !is_listed(name)).cloned().collect();
        let changes = missing.into_iter().map(Change::Removed);
        let changes: Vec<_> = changes.chain(all.into_iter().map(Change::Put)).collect();
        let leaving = self.apply(now, position, origin, changes);
        // Only entries that a rewound store lacks or has in an older form are kept against it.
        if matches!(origin, Origin::Peer(_)) && position.era > 0 {
            self.upstreams.values_mut().for_each(|upstream| upstream.is_unconfirmed = true);
        }
        leaving
    }

    /// Names of entries that `changes` add, modify or remove.
    pub fn names_changed_by(&self, changes: &[Change]) -> Vec<UpstreamName> {
        let changed = changes.iter().filter_map(|change| match change {
            Change::Put(listed) => self.differs(listed).then(|| listed.name.clone()),
            Change::Removed(name) => self.get(name).map(|listed| listed.name.clone()),
        });
        changed.collect()
    }

    /// Names of entries in which `entries` differs from the known list.
    pub fn names_differing_from(&self, entries: &[ListedUpstream]) -> Vec<UpstreamName> {
        let names: HashSet<_> = entries.iter().map(|listed| &listed.name).collect();
        let removed = self.all().filter(|listed| !names.contains(&listed.name));
        let differing = entries.iter().filter(|listed| self.differs(listed));
        removed.chain(differing).map(|listed| listed.name.clone()).collect()
    }

    /// Whether peers have to hear of an entry: also of one that is renewed or confirmed, as they may
    /// know it as expired or in an older form.
    fn differs(&self, listed: &ListedUpstream) -> bool {
        let known = self.upstreams.get(&listed.name);
        known.is_none_or(|known| {
            known.listed != *listed || known.removal_at.is_some() || known.is_unconfirmed
        })
    }

    /// Drops the upstreams that `is_kept` rejects: this daemon no longer needs to know them.
    pub fn retain(&mut self, is_kept: impl Fn(&ListedUpstream) -> bool) {
        self.upstreams.retain(|_, upstream| is_kept(&upstream.listed));
    }

    /// Records a successful read of the list, with or without changes.
    pub fn record_read(&mut self, now: Time) {
        let was_outage = self.read_at.is_some_and(|at| now.since(at) >= OUTAGE_AFTER);
        if was_outage {
            self.outage_ended_at = Some(now);
        }
        self.read_at = self.read_at.max(Some(now));
    }

    fn put(&mut self, now: Time, listed: ListedUpstream) -> Option<UpstreamName> {
        let name = listed.name.clone();
        let was_usable = self.upstreams.get(&name).is_some_and(|old| {
            old.listed.born == listed.born && !old.listed.leaving && old.removal_at.is_none()
        });
        let leaves = listed.leaving;
        if leaves {
            let leaving = Leaving { born: listed.born, at: now, was_removed: false };
            self.leaving.insert(name.clone(), leaving);
        } else {
            self.cancel_removal(&name);
        }
        self.brought_back.remove(&name);
        self.upstreams
            .insert(name.clone(), Upstream { listed, removal_at: None, is_unconfirmed: false });
        (was_usable && leaves).then_some(name)
    }

    fn cancel_removal(&mut self, name: &UpstreamName) {
        if self.leaving.get(name).is_some_and(|leaving| leaving.was_removed) {
            self.leaving.remove(name);
        }
    }

    /// Adds an entry of the store's copy, which may be older than what is known.
    fn put_from_copy(&mut self, now: Time, listed: ListedUpstream) -> Option<UpstreamName> {
        let name = listed.name.clone();
        let known = self.upstreams.get_mut(&name);
        if let Some(known) = known.filter(|known| known.listed.born >= listed.born) {
            if listed.leaving && known.listed.born == listed.born {
                return self.put(now, listed);
            }
            // Renewed or not, the entry is there.
            known.removal_at = None;
            known.is_unconfirmed = known.listed != listed;
            return None;
        }
        let has_left = self.leaving.get(&name).is_some_and(|leaving| leaving.born >= listed.born);
        if !has_left {
            return self.put(now, listed);
        }
        self.brought_back.insert(name.clone(), now + COPY_EXPIRY);
        self.upstreams.insert(name, Upstream { listed, removal_at: None, is_unconfirmed: false });
        None
    }

    /// Removes an entry that the store no longer has; later if it may be renewed after an outage.
    fn expire(&mut self, now: Time, name: &UpstreamName) -> Option<UpstreamName> {
        let is_after_outage = self.outage_ended_at.is_some_and(|at| now.since(at) < EXPIRY_GRACE);
        let upstream = self.upstreams.get_mut(name)?;
        if is_after_outage && !upstream.listed.leaving {
            upstream.removal_at.get_or_insert(now + EXPIRY_GRACE);
            return None;
        }
        self.remove(now, name)
    }

    fn remove(&mut self, now: Time, name: &UpstreamName) -> Option<UpstreamName> {
        let upstream = self.upstreams.remove(name)?;
        let born = upstream.listed.born;
        let was_leaving = upstream.listed.leaving || self.is_leaving(name);
        if !was_leaving {
            self.leaving.insert(name.clone(), Leaving { born, at: now, was_removed: true });
        }
        (!was_leaving).then(|| name.clone())
    }

    /// Removes and returns upstreams whose entries expired around an outage without renewal in
    /// time.
    pub fn tick(&mut self, now: Time) -> Vec<UpstreamName> {
        self.leaving.retain(|name, leaving| {
            let listed = self.upstreams.get(name).map(|upstream| &upstream.listed);
            let is_listed = listed.is_some_and(|listed| listed.born <= leaving.born);
            now.since(leaving.at) < LEAVING_RETENTION || (is_listed && !leaving.was_removed)
        });
        self.unreachable_until.retain(|_, until| now < *until);
        let renewed: Vec<_> = self.brought_back.extract_if(|_, at| now >= *at).collect();
        for (name, _) in renewed {
            if self.upstreams.contains_key(&name) {
                self.cancel_removal(&name);
                self.has_restored = true;
            }
        }
        let is_due = |upstream: &Upstream| upstream.removal_at.is_some_and(|at| now >= at);
        let removed: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| is_due(upstream))
            .map(|(name, _)| name.clone())
            .collect();
        self.upstreams.retain(|_, upstream| !is_due(upstream));
        removed
    }

    /// Whether an upstream that the store's copy brought back has become usable since the last call.
    pub fn take_restored(&mut self) -> bool {
        std::mem::take(&mut self.has_restored)
    }

    /// Records that an incarnation of an upstream leaves, as the upstream itself or a peer reported;
    /// returns whether that was not known. The upstream need not be listed yet.
    pub fn mark_leaving(&mut self, now: Time, name: &UpstreamName, born: u64) -> bool {
        let listed = self.upstreams.get(name).map(|upstream| &upstream.listed);
        let is_outdated = listed.is_some_and(|listed| listed.born > born);
        let known = self.leaving.get(name);
        if is_outdated || known.is_some_and(|known| known.born >= born && !known.was_removed) {
            return false;
        }
        let is_new = listed.is_none_or(|listed| !listed.leaving) && !self.is_leaving(name);
        self.leaving.insert(name.clone(), Leaving { born, at: now, was_removed: false });
        is_new
    }

    /// Records a failure to reach an upstream.
    pub fn mark_unreachable(&mut self, now: Time, name: &UpstreamName) {
        self.unreachable_until.insert(name.clone(), now + UNREACHABLE_BACKOFF);
    }

    fn is_leaving(&self, name: &UpstreamName) -> bool {
        // Without an entry, evidence on any incarnation counts.
        let born = self.upstreams.get(name).map_or(u64::MAX, |u| u.listed.born);
        self.leaving.get(name).is_some_and(|leaving| leaving.born >= born || born == u64::MAX)
    }

    /// Whether there is evidence that an upstream leaves or has left; it need not be listed.
    pub fn is_known_to_leave(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|u| u.listed.leaving) || self.is_leaving(name)
    }

    /// Whether an upstream may get new work.
    pub fn is_usable(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|u| !u.listed.leaving) && !self.is_leaving(name)
    }

    /// Whether an upstream could not be reached within the last second.
    pub fn is_unreachable(&self, now: Time, name: &UpstreamName) -> bool {
        self.unreachable_until.get(name).is_some_and(|until| now < *until)
    }

    /// The list's entry for an upstream, if there is one.
    pub fn get(&self, name: &UpstreamName) -> Option<&ListedUpstream> {
        self.upstreams.get(name).map(|upstream| &upstream.listed)
    }

    /// All entries.
    pub fn all(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values().map(|upstream| &upstream.listed)
    }

    /// Expired entries and when they are removed unless they return.
    pub fn expiring(&self) -> impl Iterator<Item = (&UpstreamName, Time)> {
        let removals = self.upstreams.iter();
        removals.filter_map(|(name, upstream)| Some((name, upstream.removal_at?)))
    }

    /// Upstreams of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ListedUpstream> {
        self.all().filter(move |l| l.service.as_str() == service && self.is_usable(&l.name))
    }
}

/// Changes that are kept: with a few hundred upstreams, several minutes of normal operation.
const MAX_LOGGED_CHANGES: usize = 512;

/// Gaps that are kept; with more, the oldest ones are merged.
const MAX_GAPS: usize = 16;

/// Positions between two reads of the whole list, neither included.
///
/// Entries that were removed and written again in between are in no change, though a daemon that read
/// the list at one of these positions may know them as removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Position before the read.
    pub after: StorePosition,
    /// Position of the read.
    pub before: StorePosition,
}

impl Gap {
    fn contains(self, position: StorePosition) -> bool {
        self.after < position && position < self.before
    }

    fn is_empty(self) -> bool {
        let has_same_era = self.after.era == self.before.era;
        self.before <= self.after || (has_same_era && self.before.offset - self.after.offset == 1)
    }
}

/// What a peer has missed since some position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missed<'a> {
    /// Nothing.
    Nothing,
    /// Changes of these entries, and gaps in what is known of the time since.
    Changes(BTreeSet<&'a UpstreamName>, Vec<Gap>),
    /// It is not known what has changed: the peer needs the whole list.
    Unknown,
}

/// Latest changed entries with their positions, so that peers receive only what they missed.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(StorePosition, UpstreamName)>,
    /// Every change after this position is held, except for those in gaps; earlier ones may be missing.
    complete_after: StorePosition,
    gaps: VecDeque<Gap>,
}

impl ChangeLog {
    /// Creates a log of changes after `position`.
    pub fn new(position: StorePosition) -> Self {
        Self { complete_after: position, ..Self::default() }
    }

    /// Records changes that are about to be applied to `fleet`; returns whether there are any.
    pub fn record_changes(
        &mut self,
        fleet: &Fleet,
        end: StorePosition,
        origin: &Origin,
        changes: &[Change],
    ) -> bool {
        if end < fleet.position() {
            return false;
        }
        let changed = fleet.names_changed_by(changes);
        let is_changed = !changed.is_empty();
        match origin {
            Origin::Store => self.record(end, changed),
            // A daemon that has read the list since may differ in entries in which this one does not.
            Origin::Peer(_) => self.record(end, changes.iter().map(|change| change.name().clone())),
        }
        is_changed
    }

    /// Records that the whole list is about to replace the one of `fleet`; returns whether entries differ.
    pub fn record_whole(
        &mut self,
        fleet: &Fleet,
        end: StorePosition,
        entries: &[ListedUpstream],
    ) -> bool {
        if end < fleet.position() {
            return false;
        }
        if !fleet.has_been_read() || end.is_rewound_since(fleet.position()) {
            // What peers know may have been lost.
            *self = Self::new(end);
        }
        self.record_gap(Gap { after: fleet.position(), before: end });
        let changed = fleet.names_differing_from(entries);
        let is_changed = !changed.is_empty();
        self.record(end, changed);
        is_changed
    }

    /// Adds entries changed at or before `position`.
    pub fn record(
        &mut self,
        position: StorePosition,
        names: impl IntoIterator<Item = UpstreamName>,
    ) {
        self.changes.extend(names.into_iter().map(|name| (position, name)));
        while self.changes.len() > MAX_LOGGED_CHANGES {
            if let Some((position, _)) = self.changes.pop_front() {
                self.complete_after = self.complete_after.max(position);
            }
        }
        let complete_after = self.complete_after;
        self.gaps.retain(|gap| gap.before > complete_after);
    }

    /// Adds a gap, which this daemon or the peer that passed the list on has.
    pub fn record_gap(&mut self, gap: Gap) {
        if gap.is_empty() || gap.before <= self.complete_after || self.gaps.contains(&gap) {
            return;
        }
        self.gaps.push_back(gap);
        if self.gaps.len() > MAX_GAPS
            && let Some(oldest) = self.gaps.pop_front()
            && let Some(next) = self.gaps.front_mut()
        {
            next.after = next.after.min(oldest.after);
            next.before = next.before.max(oldest.before);
        }
    }

    /// Whether a peer that has the list up to `position` may have missed anything.
    pub fn has_news_after(&self, position: StorePosition) -> bool {
        let newest = self.changes.back().map_or(self.complete_after, |(at, _)| *at);
        position < newest.max(self.complete_after)
            || self.gaps.iter().any(|gap| position < gap.before)
    }

    /// What a peer that has the list up to `position` has missed.
    pub fn since(&self, position: StorePosition) -> Missed<'_> {
        if !self.has_news_after(position) {
            return Missed::Nothing;
        }
        let is_known = position >= self.complete_after;
        if !is_known || self.gaps.iter().any(|gap| gap.contains(position)) {
            return Missed::Unknown;
        }
        let newer = self.changes.iter().filter(|(changed_at, _)| *changed_at > position);
        let gaps = self.gaps.iter().filter(|gap| gap.before > position);
        Missed::Changes(newer.map(|(_, name)| name).collect(), gaps.copied().collect())
    }
}
