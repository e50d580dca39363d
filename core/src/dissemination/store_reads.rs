//! Reads of the store: which are known, and when a daemon has to make one itself.

use super::MAX_ATTEMPT_AGE;
use crate::time::{Millis, Time};
use rand::{Rng, RngExt};

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

/// Time after which twice as many deputies take part.
const DEPUTY_STEP: Millis = Millis(300);

/// Spread of the first reads of all daemons whose readers are silent, for each doubling of their
/// number: a single read reaches the others within a few hops.
const SPREAD_PER_DOUBLING: Millis = Millis(200);

/// Reads of a daemon that hears of no better-ranked one's, after which it reads without pause. One
/// alone is common after a start, when a daemon knows few others.
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

    /// Records a read. After two successful ones while this daemon heard of no better-ranked
    /// daemon's, it reads without pause.
    pub fn record_read(&mut self, has_succeeded: bool, hears_better: bool) {
        self.due_at = None;
        let is_unheard = has_succeeded && !hears_better;
        self.unheard_reads = if is_unheard { self.unheard_reads + 1 } else { 0 };
    }
}
