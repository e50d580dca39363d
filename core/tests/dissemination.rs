//! The forest over which daemons learn what the readers have read, and reads of those that hear
//! nothing.

use magnoliawinch::capacity::Capacity;
use magnoliawinch::dissemination::{
    Follower, KnownRead, KnownReads, MAX_READ_AGE, MAX_READERS, NO_RANK, POLL_REPLY_TIME,
    POLL_WAIT, ReadStatus, Reader, StoreFallback, follows_newest_reader, follows_others,
    is_outdated, ranked_readers, sources,
};
use magnoliawinch::membership::{Member, MemberState, Membership};
use magnoliawinch::names::{FailureDomain, HostName};
use magnoliawinch::time::{Millis, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

const START: Time = Time(100_000);

fn address(host: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (host / 250) as u8, (host % 250) as u8), 1).into()
}

fn member(host: usize, domains: usize) -> Member {
    Member {
        host: HostName::from(format!("entry-{host}")),
        incarnation: 1,
        failure_domain: FailureDomain::from(format!("domain-{}", host % domains)),
        peer_address: address(host),
        caller_address: address(host),
        // Every tenth host of a domain is large.
        capacity: if (host / domains).is_multiple_of(10) { Capacity(500) } else { Capacity(120) },
        state: MemberState::Alive,
    }
}

fn members(count: usize, domains: usize) -> Vec<Member> {
    (0..count).map(|host| member(host, domains)).collect()
}

fn view_of(own: usize, members: &[Member]) -> Membership {
    let mut membership = Membership::new(members[own].clone());
    for other in members.iter().filter(|other| other.host != members[own].host) {
        membership.merge(START, other.clone());
    }
    membership
}

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

/// Pattern: hundreds of daemons follow two readers. Neither the hops nor the followers of one daemon
/// may grow with the fleet by more than its logarithm.
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

/// Pattern: the standby reads in place of a primary that follows it. It must not take its own reads,
/// which come back to it, for the primary's, and must stop when the primary reads again.
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

/// Pattern: several deputies begin to read at the same time, as both regular readers lost the store.
/// If each stopped for the others, none would read for a second, and engines would leave unnoticed.
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

/// How long a call to a store that refuses the daemon takes.
const REFUSAL: Millis = Millis(150);

/// Interval of the primary's reads.
const READ_INTERVAL: Millis = Millis(500);

/// A daemon of the simulated fleet: what it knows, and since when the store's newest change.
#[derive(Debug)]
struct Node {
    address: SocketAddr,
    sources: Vec<SocketAddr>,
    rank: Option<usize>,
    follower: Follower,
    fallback: StoreFallback,
    is_silent: bool,
    reaches_store: bool,
    read_at: Time,
    /// Index of the daemon that made that read.
    reader: usize,
    attempted_at: Time,
    version: u64,
    next_read_at: Time,
    /// The poll that it has sent: the source's index, and when it expires.
    poll: Option<(usize, Time)>,
    polls_received: u64,
}

/// A fleet under one clock: followers poll and read as the daemons do, with one step of 10 ms a hop.
struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    store_version: u64,
    reads: u64,
    rng: ChaCha8Rng,
}

const STEP: Millis = Millis(10);

impl Fleet {
    fn new(count: usize, domains: usize, seed: u64) -> Self {
        let members = members(count, domains);
        let by_address = members.iter().enumerate().map(|(n, m)| (m.peer_address, n)).collect();
        let nodes = (0..count).map(|own| {
            let view = view_of(own, &members);
            let readers = ranked_readers(&view);
            let sources = sources(&view, &readers);
            let mut follower = Follower::new(START);
            follower.set_sources(sources.clone());
            Node {
                address: members[own].peer_address,
                sources,
                rank: readers.iter().position(|reader| reader.host == members[own].host),
                follower,
                fallback: StoreFallback::new(),
                is_silent: false,
                reaches_store: true,
                read_at: START,
                reader: own,
                attempted_at: START,
                version: 1,
                next_read_at: START,
                poll: None,
                polls_received: 0,
            }
        });
        let mut fleet = Self {
            now: START,
            nodes: nodes.collect(),
            by_address,
            store_version: 1,
            reads: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        fleet.run(Millis(3_000));
        fleet
    }

    fn node_of_rank(&mut self, rank: usize) -> &mut Node {
        self.nodes.iter_mut().find(|node| node.rank == Some(rank)).unwrap()
    }

    fn run(&mut self, duration: Millis) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_silent {
                self.read_if_due(index);
                self.follow(index);
            }
        }
    }

    fn read_if_due(&mut self, index: usize) {
        let (now, daemons) = (self.now, self.nodes.len());
        let node = &mut self.nodes[index];
        if now < node.next_read_at {
            return;
        }
        if node.rank != Some(0) {
            let max_age = if node.rank == Some(1) { Millis(700) } else { MAX_READ_AGE };
            let status = ReadStatus {
                age: now.since(node.read_at),
                max_age,
                attempt_age: now.since(node.attempted_at),
                rank: node.rank,
                daemons,
            };
            if node.fallback.wait(now, &status, &mut self.rng) > Millis(0) {
                return;
            }
        }
        self.reads += 1;
        let has_heard_others = now.since(node.read_at) < Millis(400);
        node.fallback.record_read(node.reaches_store, has_heard_others);
        if node.rank.is_some() {
            node.attempted_at = now;
        }
        node.next_read_at = now + if node.reaches_store { READ_INTERVAL } else { REFUSAL };
        if node.reaches_store {
            (node.read_at, node.reader, node.version) = (now, index, self.store_version);
        }
    }

    fn follow(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !follows_others(node.rank, node.reaches_store) {
            return;
        }
        if node.poll.is_none() {
            let Some(source) = node.follower.next_poll(now) else {
                return;
            };
            let source = self.by_address[&source];
            node.poll = Some((source, now + POLL_WAIT));
            self.nodes[source].polls_received += 1;
            return;
        }
        let Some((source, expires_at)) = node.poll else {
            return;
        };
        let (read_at, reader, attempted_at, version) = {
            let source = &self.nodes[source];
            (source.read_at, source.reader, source.attempted_at, source.version)
        };
        let is_silent = self.nodes[source].is_silent;
        let node = &mut self.nodes[index];
        let address = node.sources.iter().find(|address| self.by_address[*address] == source);
        let address = *address.unwrap();
        if is_silent {
            if now >= expires_at + POLL_REPLY_TIME {
                node.follower.failed(now, address);
                node.poll = None;
            }
            return;
        }
        let has_news = version > node.version
            || read_at >= node.read_at + Millis(400)
            || attempted_at >= node.attempted_at + Millis(400);
        if has_news || now >= expires_at {
            let outdated = is_outdated(node.rank, now.since(read_at), now.since(attempted_at));
            if read_at > node.read_at {
                (node.read_at, node.reader) = (read_at, reader);
            }
            node.attempted_at = node.attempted_at.max(attempted_at);
            node.version = node.version.max(version);
            node.follower.replied(now, address, outdated);
            node.poll = None;
            if follows_newest_reader(node.rank) {
                let reader = node.reader;
                let address = self.nodes[reader].address;
                self.nodes[index].follower.prefer(address);
            }
        }
    }

    /// Time until all daemons that run know a change made now.
    fn time_until_all_know(&mut self) -> Millis {
        self.store_version += 1;
        let started_at = self.now;
        while self.nodes.iter().any(|node| !node.is_silent && node.version < self.store_version) {
            self.step();
            assert!(self.now.since(started_at) < Millis(10_000), "some daemon never hears of it");
        }
        self.now.since(started_at)
    }
}

/// Pattern: a calm fleet. Neither the time until all know a change nor the calls to the store grow
/// with it.
#[test]
fn a_change_reaches_a_calm_fleet_of_any_size_within_a_second() {
    for (count, domains) in [(9, 3), (30, 3), (295, 5), (1_400, 15)] {
        let mut fleet = Fleet::new(count, domains, 1);
        fleet.reads = 0;
        let took = fleet.time_until_all_know();
        assert!(took <= Millis(1_000), "{count} daemons: {took}");
        fleet.run(Millis(10_000) - took);
        assert!(fleet.reads <= 25, "{count} daemons: {} reads in 10 s", fleet.reads);
        let most = fleet.nodes.iter().map(|node| node.polls_received).max().unwrap();
        assert!(most <= 900, "{count} daemons: {most} polls of one daemon");
    }
}

/// Pattern: the store turns a third of the hosts away, among them the primary reader that decides
/// about placements, as on trouble-1 of pivot-desk-large. It has to know of leaving engines before
/// their notice of 1.5 s is over.
#[test]
fn a_primary_that_the_store_refuses_hears_of_changes_in_time() {
    for (count, domains) in [(9, 3), (295, 5), (1_400, 15)] {
        let mut fleet = Fleet::new(count, domains, 2);
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            node.reaches_store = index % 3 != 0;
        }
        // With the standby among those refused, the two could follow each other.
        fleet.node_of_rank(0).reaches_store = false;
        fleet.node_of_rank(1).reaches_store = false;
        fleet.run(Millis(3_000));
        for _ in 0..15 {
            fleet.store_version += 1;
            let changed_at = fleet.now;
            while fleet.node_of_rank(0).version < fleet.store_version {
                fleet.step();
                let took = fleet.now.since(changed_at);
                assert!(took < Millis(800), "{count} daemons: the primary hears of nothing");
            }
            fleet.run(Millis(700));
        }
    }
}

/// Pattern: both regular readers lose the store, or fall silent, while it changes.
#[test]
fn deputies_replace_the_readers() {
    /// Time in which a change has to be in force at the users' large site.
    const BOUND: Millis = Millis(4_000);
    for (count, domains) in [(9, 3), (295, 5), (1_400, 15)] {
        for are_silent in [false, true] {
            let mut fleet = Fleet::new(count, domains, 3);
            for rank in [0, 1] {
                let reader = fleet.node_of_rank(rank);
                (reader.reaches_store, reader.is_silent) = (false, are_silent);
            }
            fleet.reads = 0;
            let took = fleet.time_until_all_know();
            assert!(took < BOUND, "{count} daemons, silent {are_silent}: {took}");
            let most = (count as u64 / 2).max(60);
            assert!(fleet.reads < most, "{count} daemons: {} reads", fleet.reads);
        }
    }
}
