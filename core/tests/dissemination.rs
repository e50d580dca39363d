//! The forest over which daemons learn what the readers have read, and reads of those that hear
//! nothing.

#[path = "fixtures/hosts.rs"]
mod hosts;

use hosts::{START, address, members, view_of};
use magnoliawinch::capacity::Capacity;
use magnoliawinch::dissemination::{
    Follower, KnownRead, KnownReads, MAX_READ_AGE, MAX_READERS, NO_RANK, POLL_REPLY_TIME,
    POLL_WAIT, ReadStatus, Reader, StoreFallback, ranked_readers, sources,
};
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::time::{Millis, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The preferred source of each daemon, by address.
fn preferred_sources(members: &[Member]) -> HashMap<SocketAddr, SocketAddr> {
    let mut preferred = HashMap::new();
    for own in 0..members.len() {
        let view = view_of(own, members);
        let sources = sources(&view, &ranked_readers(&view));
        assert!(sources.len() <= 8, "sources are bounded");
        preferred.insert(members[own].peer_address, sources[0]);
    }
    preferred
}

/// Pattern: hundreds of daemons follow two readers. Neither the hops nor the followers of one
/// daemon may grow with the fleet by more than its logarithm.
#[test]
fn every_daemon_reaches_a_reader_in_few_hops_and_none_has_many_followers() {
    for (count, domains, max_hops) in [(9, 3, 3), (30, 3, 4), (295, 5, 5), (1_400, 15, 5)] {
        let members = members(count, domains);
        let view = view_of(0, &members);
        let readers: Vec<_> =
            ranked_readers(&view).iter().take(2).map(|reader| reader.peer_address).collect();
        let preferred = preferred_sources(&members);
        let mut followers: HashMap<SocketAddr, usize> = HashMap::new();
        for (own, source) in &preferred {
            if readers.contains(own) {
                continue;
            }
            *followers.entry(*source).or_default() += 1;
            let (mut at, mut hops) = (*own, 0);
            while !readers.contains(&at) {
                at = preferred[&at];
                hops += 1;
                assert!(hops <= max_hops, "{count} daemons: more than {max_hops} hops");
            }
        }
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most <= 8 + 2 * domains, "{count} daemons: {most} followers");
    }
}

#[test]
fn readers_are_large_hosts_and_limited_in_number() {
    let members = members(295, 5);
    let view = view_of(7, &members);
    let readers = ranked_readers(&view);
    assert_eq!(readers.len(), MAX_READERS);
    assert!(readers.iter().all(|reader| reader.capacity == Capacity(500)));
    assert_ne!(readers[0].failure_domain, readers[1].failure_domain);
}

/// Pattern: all daemons start at the same time, so that none accepts work yet.
#[test]
fn a_daemon_follows_others_that_start_while_none_is_alive() {
    let mut members = members(30, 3);
    members.iter_mut().for_each(|member| member.state = MemberState::Joining);
    let view = view_of(3, &members);
    let sources = sources(&view, &ranked_readers(&view));
    assert!(!sources.is_empty() && !sources.contains(&members[3].peer_address));
}

#[test]
fn a_follower_stays_with_a_source_that_has_news_and_leaves_a_silent_one() {
    let mut follower = Follower::new(START);
    follower.set_sources(vec![address(1), address(2)]);
    assert_eq!(follower.next_poll(START), Some(address(1)));
    assert_eq!(follower.next_poll(START + Millis(10)), None, "the poll is in progress");
    let mut now = START + Millis(300);
    follower.replied(now, address(1), false);
    assert_eq!(follower.next_poll(now), Some(address(1)));
    // The result of a poll never arrives.
    now = now + POLL_WAIT + POLL_REPLY_TIME + Millis(100);
    assert_eq!(follower.next_poll(now), Some(address(2)));
    follower.replied(now + Millis(60), address(2), true);
    assert_eq!(follower.next_poll(now + Millis(70)), None, "all sources were tried");
    assert_eq!(follower.next_poll(now + Millis(500)), Some(address(1)));
}

#[test]
fn a_late_reply_of_a_former_source_changes_nothing() {
    let mut follower = Follower::new(START);
    follower.set_sources(vec![address(1), address(2)]);
    follower.next_poll(START);
    follower.failed(START + Millis(60), address(1));
    assert_eq!(follower.next_poll(START + Millis(120)), Some(address(2)));
    follower.failed(START + Millis(130), address(1));
    assert_eq!(follower.next_poll(START + Millis(200)), None, "the second poll is in progress");
}

fn status(age: u64, attempt_age: u64, rank: Option<usize>) -> ReadStatus {
    ReadStatus {
        age: Millis(age),
        max_age: MAX_READ_AGE,
        attempt_age: Millis(attempt_age),
        rank,
        daemons: 295,
    }
}

/// Time from the last known read until a daemon reads the store, if nothing else is heard.
fn time_to_read(rank: Option<usize>, attempt_age: impl Fn(u64) -> u64, seed: u64) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fallback = StoreFallback::new();
    let mut elapsed = 0;
    while elapsed < 20_000 {
        let status = status(elapsed, attempt_age(elapsed), rank);
        match fallback.wait(START + Millis(elapsed), &status, &mut rng) {
            Millis(0) => return Some(elapsed),
            Millis(wait) => elapsed += wait,
        }
    }
    None
}

#[test]
fn a_daemon_does_not_read_while_others_do() {
    let mut fallback = StoreFallback::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let wait = fallback.wait(START, &status(200, 200, Some(2)), &mut rng);
    assert_eq!(wait, MAX_READ_AGE - Millis(200));
}

/// Guards against missed changes when the readers lose contact to the store.
#[test]
fn a_change_is_found_in_time_when_the_readers_lose_the_store() {
    /// Time in which a change has to be in force, less that of the read itself.
    const MAX_READ_DELAY: u64 = 1_700;
    let readers_try = |_: u64| 300;
    let times: Vec<_> =
        (2..MAX_READERS).filter_map(|rank| time_to_read(Some(rank), readers_try, 1)).collect();
    assert_eq!(times.len(), MAX_READERS - 2);
    assert!(times.iter().all(|time| *time < MAX_READ_DELAY + 300), "{times:?}");
    assert!(*times.iter().min().unwrap() < MAX_READ_DELAY);
    assert_eq!(time_to_read(None, readers_try, 1), None, "the others wait for the readers");
}

/// Pattern: both readers are silent at once, as after a loss of power. A fleet that then reads
/// together overloads the store.
#[test]
fn reads_without_readers_are_spread() {
    let silent = |elapsed: u64| elapsed;
    let times: Vec<_> = (0..295).filter_map(|seed| time_to_read(None, silent, seed)).collect();
    assert_eq!(times.len(), 295);
    let in_any_100_ms =
        |from: u64| times.iter().filter(|t| (from..from + 100).contains(*t)).count();
    let most = (0..40).map(|step| in_any_100_ms(step * 100)).max().unwrap();
    assert!(most < 60, "{most} reads within 100 ms");
    assert!(times.iter().all(|time| *time < 4_000));
}

#[test]
fn a_daemon_that_hears_of_no_other_goes_on_reading() {
    let mut fallback = StoreFallback::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    fallback.record_read(true, false);
    assert_ne!(fallback.wait(START, &status(0, 9_000, None), &mut rng), Millis(0));
    fallback.record_read(true, false);
    assert_eq!(fallback.wait(START, &status(0, 9_000, None), &mut rng), Millis(0));
    fallback.record_read(true, true);
    assert_ne!(fallback.wait(START, &status(0, 9_000, None), &mut rng), Millis(0));
}

fn read(at: Time, rank: u32, host: u64) -> KnownRead {
    KnownRead { at, reader: Reader { rank, host } }
}

/// Pattern: the standby reads in place of a primary that follows it. It must not take its own
/// reads, which come back to it, for the primary's, and must stop when the primary reads again.
#[test]
fn reads_that_come_back_to_their_reader_are_not_another_daemons() {
    let mut reads = KnownReads::new(11);
    reads.set_rank(Some(1));
    reads.record_own(START);
    reads.record(read(START, 1, 11));
    assert!(!reads.hears_better(START + Millis(10)));
    // The primary's read is older than this daemon's newest.
    reads.record_own(START + Millis(300));
    reads.record(read(START + Millis(200), 0, 7));
    assert!(reads.hears_better(START + Millis(400)));
    assert_eq!(reads.newest(), read(START + Millis(300), 1, 11));
    assert!(!reads.hears_better(START + Millis(2_000)));
}

/// Pattern: several deputies begin to read at the same time, as both regular readers lost the
/// store. If each stopped for the others, none would read for a second, and engines would leave
/// unnoticed.
#[test]
fn the_best_ranked_of_several_readers_goes_on() {
    let mut best = KnownReads::new(12);
    best.set_rank(Some(2));
    best.record(read(START, 3, 9));
    best.record(read(START, NO_RANK, 1));
    assert!(!best.hears_better(START));
    let mut other = KnownReads::new(9);
    other.set_rank(Some(3));
    other.record(read(START, 2, 12));
    assert!(other.hears_better(START));
}
