//! How the configuration and the list of upstreams reach all daemons from the few that read the
//! platform's store.
//!
//! The daemons of each failure domain form a forest with two roots and a fixed fan-out. Roots
//! follow the readers; every other daemon follows its parent with long polls, which are answered
//! as soon as there is news. A change therefore takes a number of hops that grows with the
//! logarithm of the fleet, and crosses into each failure domain twice. A daemon whose source is
//! silent or outdated tries the next one: another daemon of the parent's level, then the readers
//! and their deputies.

use crate::capacity::Capacity;
use crate::membership::{Member, MemberState, Membership};
use crate::ownership::large_owners;
use crate::rendezvous;
use crate::time::{Millis, Time};
use rand::{Rng, RngExt};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Daemons that follow one parent.
const FANOUT: usize = 8;

/// Daemons of each failure domain that follow the readers.
const ROOTS_PER_DOMAIN: usize = 2;

/// Readers and their deputies, which take over when the readers cannot reach the store.
pub const MAX_READERS: usize = 16;

/// Readers that a daemon may follow after its regular sources.
const READERS_FOLLOWED: usize = 6;

/// Rendezvous key of the readers, shared with the owners of the first cell: owners need the newest
/// list.
pub const READER_KEY: &str = "pools";

const FOREST_KEY: &str = "followers";

/// Readers, best first: the primary, which reads regularly, its standby and their deputies. Large hosts go first.
pub fn ranked_readers(membership: &Membership) -> Vec<&Member> {
    let mut readers = large_owners(READER_KEY, membership);
    let regular: Vec<_> = readers.iter().map(|member| &member.host).collect();
    let others = membership.alive().filter(|member| !regular.contains(&&member.host)).collect();
    readers.extend(ranked_by_size(READER_KEY, others, MAX_READERS - readers.len().min(2)));
    readers
}

/// Large hosts first, each group by rendezvous weight; at most `count`.
fn ranked_by_size<'a>(key: &str, members: Vec<&'a Member>, count: usize) -> Vec<&'a Member> {
    let largest = members.iter().map(|member| member.capacity).max().unwrap_or_default();
    let rank = |member: &&Member| {
        let is_large = Capacity::is_large(member.capacity, largest);
        Reverse((is_large, rendezvous::weight(key, member.host.as_str())))
    };
    let mut ranked = members;
    ranked.sort_by_cached_key(rank);
    ranked.truncate(count);
    ranked
}

/// Daemons that this one follows, in order of preference, given the ranked `readers`; empty if it
/// knows no other that runs.
///
/// Parents precede their children in one ranking of the failure domain, so daemons with the same
/// view do not follow each other.
pub fn sources(membership: &Membership, readers: &[&Member]) -> Vec<SocketAddr> {
    let own = membership.own();
    let is_regular = |member: &Member| readers.iter().take(2).any(|r| r.host == member.host);
    let mut sources: Vec<&Member> = Vec::new();
    if !is_regular(own) {
        let local = membership.alive().filter(|member| {
            member.failure_domain == own.failure_domain
                && member.host != own.host
                && !is_regular(member)
        });
        // A daemon that is not yet alive takes the place that it will have then.
        let local = local.chain([own]).collect();
        let ranked = ranked_by_size(FOREST_KEY, local, usize::MAX);
        let position = ranked.iter().position(|member| member.host == own.host).unwrap_or(0);
        if position >= ROOTS_PER_DOMAIN {
            let parent = (position - ROOTS_PER_DOMAIN) / FANOUT;
            sources.push(ranked[parent]);
            // Precedes this daemon too: `parent ^ 1` is at most one more than `parent`.
            sources.push(ranked[parent ^ 1]);
        } else if position == 1 {
            // The roots start with different readers, so that one silent reader delays only one.
            sources.extend(readers.get(1));
        }
    }
    sources.extend(readers.iter().take(READERS_FOLLOWED));
    let mut sources: Vec<_> =
        sources.into_iter().filter(|source| source.host != own.host).collect();
    if sources.is_empty() {
        // Nobody accepts work yet, as after a start of all: one of those that start reads first.
        let starting = membership.others().filter(|other| other.state == MemberState::Joining);
        sources = ranked_by_size(own.host.as_str(), starting.collect(), READERS_FOLLOWED);
    }
    let mut addresses = Vec::new();
    for source in sources {
        if !addresses.contains(&source.peer_address) {
            addresses.push(source.peer_address);
        }
    }
    addresses
}

/// How long a source holds a poll without news.
pub const POLL_WAIT: Millis = Millis(600);

/// Time after which a poll has failed, beyond `POLL_WAIT`.
pub const POLL_REPLY_TIME: Millis = Millis(350);

/// Minimum time between two polls of the same source.
const MIN_POLL_INTERVAL: Millis = Millis(50);

/// Pause after all sources have failed or were outdated.
const RETRY_PAUSE: Millis = Millis(400);

/// Time after which a daemon tries its preferred source again.
const PREFERENCE_INTERVAL: Millis = Millis(10_000);

/// Rank of the primary reader.
const PRIMARY_RANK: usize = 0;

/// Rank of the reader that takes over from the primary.
pub const STANDBY_RANK: usize = 1;

/// Whether a daemon of `rank` among the readers follows others: all but a primary that reaches the
/// store itself.
pub fn follows_others(rank: Option<usize>, reaches_store: bool) -> bool {
    rank != Some(PRIMARY_RANK) || !reaches_store
}

/// Whether a daemon of `rank` among the readers follows the one that made the newest read: the regular
/// readers do, as they could otherwise follow each other while neither reaches the store.
pub fn follows_newest_reader(rank: Option<usize>) -> bool {
    matches!(rank, Some(PRIMARY_RANK | STANDBY_RANK))
}

/// Whether a source has nothing new to tell a daemon of `rank` among the readers, given the ages that
/// the source knows of the last read of the store and of the last attempt.
///
/// The two regular readers pass on what a deputy has read, so they look for one that reaches the
/// store. Everyone else stays with a source that hears of living readers.
pub fn is_outdated(rank: Option<usize>, read_age: Millis, attempt_age: Millis) -> bool {
    match follows_newest_reader(rank) {
        true => read_age >= MAX_READ_AGE,
        false => read_age.min(attempt_age) >= MAX_ATTEMPT_AGE,
    }
}

/// Polls sources in turn: stays with one as long as it replies and is not outdated.
#[derive(Clone, Debug)]
pub struct Follower {
    sources: Vec<SocketAddr>,
    index: usize,
    /// The poll without a reply, and when it was sent.
    pending: Option<(SocketAddr, Time)>,
    polled_at: Time,
    not_before: Time,
    preferred_at: Time,
    /// Consecutive sources that failed or were outdated.
    failures: usize,
}

impl Follower {
    /// A follower without sources.
    pub fn new(now: Time) -> Self {
        Self {
            sources: Vec::new(),
            index: 0,
            pending: None,
            polled_at: Time(0),
            not_before: now,
            preferred_at: now,
            failures: 0,
        }
    }

    /// Replaces the sources; stays with the current one only if it is still preferred.
    pub fn set_sources(&mut self, sources: Vec<SocketAddr>) {
        if sources != self.sources {
            (self.sources, self.index, self.failures) = (sources, 0, 0);
        }
    }

    /// Polls `source` next, if it is one.
    pub fn prefer(&mut self, source: SocketAddr) {
        if let Some(index) = self.sources.iter().position(|known| *known == source) {
            self.index = index;
        }
    }

    /// The source to poll now, if a poll is due.
    pub fn next_poll(&mut self, now: Time) -> Option<SocketAddr> {
        if let Some((source, at)) = self.pending {
            if now.since(at) <= POLL_WAIT + POLL_REPLY_TIME + MIN_POLL_INTERVAL {
                return None;
            }
            // The result was lost on the way to the control thread.
            self.failed(now, source);
        }
        if now < self.not_before || now.since(self.polled_at) < MIN_POLL_INTERVAL {
            return None;
        }
        if now.since(self.preferred_at) >= PREFERENCE_INTERVAL {
            (self.index, self.preferred_at) = (0, now);
        }
        let source = *self.sources.get(self.index)?;
        (self.pending, self.polled_at) = (Some((source, now)), now);
        Some(source)
    }

    /// Records a reply; `is_outdated` if the source itself has heard nothing for too long.
    pub fn replied(&mut self, now: Time, source: SocketAddr, is_outdated: bool) {
        if self.take_pending(source) {
            match is_outdated {
                true => self.try_next(now),
                false => self.failures = 0,
            }
        }
    }

    /// Records that a poll failed.
    pub fn failed(&mut self, now: Time, source: SocketAddr) {
        if self.take_pending(source) {
            self.try_next(now);
        }
    }

    fn take_pending(&mut self, source: SocketAddr) -> bool {
        let is_pending = self.pending.is_some_and(|(pending, _)| pending == source);
        if is_pending {
            self.pending = None;
        }
        is_pending
    }

    fn try_next(&mut self, now: Time) {
        let count = self.sources.len().max(1);
        self.index = (self.index + 1) % count;
        self.failures += 1;
        if self.failures.is_multiple_of(count) {
            self.not_before = now + RETRY_PAUSE;
        }
    }
}

/// A daemon that reads the store. The best-ranked one goes on, others that hear of it stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reader {
    /// Rank among the readers; `NO_RANK` for daemons that are no reader or deputy.
    pub rank: u32,
    /// Hash of the name of its host.
    pub host: u64,
}

/// Rank of a daemon that is neither a reader nor a deputy.
pub const NO_RANK: u32 = u32::MAX;

/// A read of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRead {
    /// When it was made.
    pub at: Time,
    /// Who made it.
    pub reader: Reader,
}

/// Time for which the read of a better-ranked daemon shows that this one need not go on reading.
const HEARD_WINDOW: Millis = Millis(1_000);

/// The newest reads of the configuration, by any daemon and by those ranked before this one.
///
/// A daemon that reads in place of the readers hears of its own reads from those that follow it, so
/// reads carry their reader.
#[derive(Clone, Copy, Debug)]
pub struct KnownReads {
    own: Reader,
    newest: KnownRead,
    by_better_at: Time,
}

impl KnownReads {
    /// No reads, at the host with the hashed name `host`.
    pub fn new(host: u64) -> Self {
        let own = Reader { rank: NO_RANK, host };
        Self { own, newest: KnownRead { at: Time(0), reader: own }, by_better_at: Time(0) }
    }

    /// Sets the rank of this daemon.
    pub fn set_rank(&mut self, rank: Option<usize>) {
        self.own.rank = rank.map_or(NO_RANK, |rank| rank as u32);
    }

    /// Records a read, by this daemon or as a peer reported it.
    pub fn record(&mut self, read: KnownRead) {
        if read.at > self.newest.at {
            self.newest = read;
        }
        if read.reader.host != self.own.host && read.reader < self.own {
            self.by_better_at = self.by_better_at.max(read.at);
        }
    }

    /// Records a read by this daemon.
    pub fn record_own(&mut self, now: Time) {
        self.record(KnownRead { at: now, reader: self.own });
    }

    /// The newest read.
    pub fn newest(&self) -> KnownRead {
        self.newest
    }

    /// Whether a better-ranked daemon has read recently.
    pub fn hears_better(&self, now: Time) -> bool {
        now.since(self.by_better_at) < HEARD_WINDOW
    }
}

/// What is known of the reads of one topic of the store, here or at the daemons followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadStatus {
    /// Time since the last successful read.
    pub age: Millis,
    /// Age from which this daemon may have to read for itself.
    pub max_age: Millis,
    /// Time since a reader last tried; tells readers that live without the store from silent ones.
    pub attempt_age: Millis,
    /// Rank of this daemon among the readers, from 0.
    pub rank: Option<usize>,
    /// Number of daemons.
    pub daemons: usize,
}

/// Age of the last read from which deputies and other daemons read the store. Allows for a long
/// poll of 500 ms, a slow store and the hops down the forest.
pub const MAX_READ_AGE: Millis = Millis(1_100);

/// Age of the last attempt from which the readers count as silent: a failed call takes up to a
/// second, and the next one follows within 600 ms.
const MAX_ATTEMPT_AGE: Millis = Millis(2_000);

/// Time after which twice as many deputies take part.
const DEPUTY_STEP: Millis = Millis(300);

/// Spread of the first reads of all daemons whose readers are silent, for each doubling of their
/// number: a single read reaches the others within a few hops.
const SPREAD_PER_DOUBLING: Millis = Millis(200);

/// Reads of a daemon that hears of no better-ranked one's, after which it reads without pause. One alone is
/// common after a start, when a daemon knows few others.
const MAX_UNHEARD_READS: u32 = 2;

/// Shortest wait between two checks whether to read.
const MIN_CHECK_INTERVAL: Millis = Millis(20);

/// Decides when a daemon that does not read regularly reads the store itself.
#[derive(Clone, Debug, Default)]
pub struct StoreFallback {
    due_at: Option<Time>,
    /// Consecutive successful reads of this daemon while it heard of no better-ranked one's.
    unheard_reads: u32,
}

impl StoreFallback {
    /// A fallback that has not been needed.
    pub fn new() -> Self {
        Self::default()
    }

    /// How long to wait before the next check; zero if this daemon has to read now.
    pub fn wait<R: Rng>(&mut self, now: Time, status: &ReadStatus, rng: &mut R) -> Millis {
        if self.unheard_reads >= MAX_UNHEARD_READS {
            return Millis(0);
        }
        if status.age < status.max_age {
            self.due_at = None;
            return (status.max_age - status.age).max(MIN_CHECK_INTERVAL);
        }
        let has_readers = status.attempt_age < MAX_ATTEMPT_AGE;
        if has_readers && status.rank.is_none() {
            // A read would fail just as those of the readers and their deputies.
            self.due_at = None;
            return (MAX_ATTEMPT_AGE - status.attempt_age).max(MIN_CHECK_INTERVAL);
        }
        let due_at = *self.due_at.get_or_insert_with(|| now + Self::delay(status, rng));
        due_at.since(now)
    }

    fn delay<R: Rng>(status: &ReadStatus, rng: &mut R) -> Millis {
        if let Some(rank) = status.rank {
            // The regular readers and the first two deputies read at once, then twice as many.
            return Millis(DEPUTY_STEP.0 * u64::from((rank.max(2) / 2).ilog2()));
        }
        let doublings = u64::from((status.daemons + 1).ilog2() + 1);
        Millis(rng.random_range(0..SPREAD_PER_DOUBLING.0 * doublings))
    }

    /// Records a read. After two successful ones while this daemon heard of no better-ranked one's, it
    /// reads without pause.
    pub fn record_read(&mut self, has_succeeded: bool, hears_better: bool) {
        self.due_at = None;
        let is_unheard = has_succeeded && !hears_better;
        self.unheard_reads = if is_unheard { self.unheard_reads + 1 } else { 0 };
    }
}
