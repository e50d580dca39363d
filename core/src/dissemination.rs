//! How the configuration and the list of upstreams reach all daemons from the few that read the
//! platform's store.
//!
//! The daemons of each failure domain form a forest with two roots and a fixed fan-out. Roots
//! follow the readers; every other daemon follows its parent with long polls, which are answered
//! as soon as there is news. A change therefore takes a number of hops that grows with the
//! logarithm of the fleet, and crosses into each failure domain twice. A daemon whose source is
//! silent or outdated tries the next one: another daemon of the parent's level, then the readers
//! and their deputies.
//!
//! Polls carry small news only. The body of a large configuration follows in chunks, see
//! [`Transfer`].

mod follower;
mod store_reads;
mod transfer;
mod transfer_slots;

pub use follower::{
    Follower, POLL_REPLY_TIME, POLL_WAIT, STANDBY_RANK, follows_newest_reader, follows_others,
    is_outdated,
};
pub use store_reads::{KnownRead, KnownReads, NO_RANK, ReadStatus, Reader, StoreFallback};
pub use transfer::{
    BodyId, CHUNK_BYTES, CHUNK_TIMEOUT, ChunkRequest, ChunkResult, MAX_BODY_BYTES, Transfer,
};
pub use transfer_slots::{MAX_SERVED, TransferSlots};

use crate::capacity::Capacity;
use crate::membership::{Member, MemberState, Membership};
use crate::ownership::large_owners;
use crate::rendezvous;
use crate::time::Millis;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Age of the last read from which deputies and other daemons read the store. Allows for a long
/// poll of 500 ms, a slow store and the hops down the forest.
pub const MAX_READ_AGE: Millis = Millis(1_100);

/// Age of the last attempt from which the readers count as silent: a failed call takes up to a
/// second, and the next one follows within 600 ms.
const MAX_ATTEMPT_AGE: Millis = Millis(2_000);

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

/// Readers, best first: the primary, which reads regularly, its standby and their deputies. Large
/// hosts go first.
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
