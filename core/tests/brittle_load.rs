//! Load: brittle servers under bursts. Pattern: servers with six slots and no queue, which end when they turn more
//! than two requests away in a second; any number of hosts, each of which sees only its own requests;
//! callers who choose hosts at random and come three times as often for a few seconds.

use magnoliawinch::names::{HostName, ServiceName, UpstreamName};
use magnoliawinch::time::Time;
use magnoliawinch::upstream_limits::{Brittle, Hosts, Terms};
use magnoliawinch::upstream_notices::{Incarnation, UpstreamNotices};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 4;
const SLOTS: u32 = 6;
const MAX_REJECTIONS: u32 = 2;
/// By then the hosts know each other.
const START_MS: u64 = 5_000;
const DURATION_MS: u64 = 20_000;
const BURST_MS: std::ops::Range<u64> = 8_000..12_000;
/// Draws of a request in a millisecond.
const DRAWS: u32 = 4;
/// Mean work of a request.
const WORK_MS: f64 = 30.0;
/// Requests a second that take a quarter of all slots.
const REQUESTS_PER_SECOND: f64 = 0.25 * SERVERS as f64 * SLOTS as f64 * 1_000.0 / WORK_MS;
const PATIENCE_MS: u64 = 250;
/// Time in which word of a rejection reaches all hosts.
const NEWS_DELAY_MS: u64 = 150;
/// From then on the rejections count.
const REACTION_MS: u64 = 3_000;

fn server(n: usize) -> Incarnation {
    let name = UpstreamName::new(&format!("s{n}"));
    Incarnation { service: ServiceName::new("app"), name, born: 1 }
}

fn host(n: usize) -> HostName {
    HostName::new(&format!("edge-{n}"))
}

#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    served: usize,
    /// By server and second.
    rejections: std::collections::BTreeMap<(usize, u64), u32>,
}

impl Outcome {
    fn falls(&self) -> usize {
        self.rejections.values().filter(|count| **count > MAX_REJECTIONS).count()
    }
}

/// Plays `count` hosts; those of one group do not see those of another. Without `is_shared`, hosts only
/// keep away from a server that has turned a request away.
fn play(count: usize, groups: usize, is_shared: bool, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let slots = if is_shared { SLOTS } else { 0 };
    let brittle = Some(Brittle { max_rejections: MAX_REJECTIONS, slots });
    let mut hosts: Vec<_> = (0..count)
        .map(|n| {
            let mut notices = UpstreamNotices::new().with_hosts(Hosts::new(Time(0), host(n)));
            let group = (0..count).filter(|m| m % groups == n % groups).map(host).collect();
            notices.set_running_hosts(Time(0), group);
            for n in 0..SERVERS {
                let (at, terms) = (Time(START_MS), Terms { per_second: None, brittle });
                notices.record_limit(at, at, &server(n), terms);
            }
            notices
        })
        .collect();
    let mut running: Vec<Vec<(u64, usize)>> = vec![Vec::new(); SERVERS];
    let mut news: Vec<(u64, usize)> = Vec::new();
    let mut waiting: Vec<(u64, usize)> = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..DURATION_MS {
        let at = Time(START_MS + now);
        for (n, requests) in running.iter_mut().enumerate() {
            for (_, sender) in requests.extract_if(.., |(ends_at, _)| *ends_at <= now) {
                hosts[sender].request_ended(&server(n).name);
                outcome.served += 1;
            }
        }
        for (_, n) in news.extract_if(.., |(due, _)| *due <= now) {
            for notices in &mut hosts {
                notices.record_turned_away(at, Time(START_MS + now - NEWS_DELAY_MS), &server(n));
            }
        }
        let factor = if BURST_MS.contains(&now) { 3.0 } else { 1.0 };
        for _ in 0..DRAWS {
            if !rng.random_bool(REQUESTS_PER_SECOND * factor / 1_000.0 / f64::from(DRAWS)) {
                continue;
            }
            outcome.sent += 1;
            let own = rng.random_range(0..count);
            // A host without a part of the room has another one of its group serve the request.
            let has_room = |host: usize| {
                (0..SERVERS).any(|n| {
                    let senders = hosts[host].room_senders(at, &server(n).name, 1);
                    senders.is_none_or(|(_, is_sender)| is_sender)
                })
            };
            let others: Vec<_> =
                (0..count).filter(|m| m % groups == own % groups && has_room(*m)).collect();
            let sender = if has_room(own) { Some(own) } else { others.choose(&mut rng).copied() };
            waiting.extend(sender.map(|sender| (now + PATIENCE_MS, sender)));
        }
        waiting.retain(|(until, sender)| {
            let notices = &mut hosts[*sender];
            let free: Vec<_> = (0..SERVERS)
                .filter(|n| notices.withheld(at, &server(*n).name, 1).is_none())
                .collect();
            let Some(n) = free.choose(&mut rng).copied() else {
                return now < *until;
            };
            notices.take(at, &server(n).name, 1).unwrap();
            if running[n].len() >= SLOTS as usize {
                notices.request_ended(&server(n).name);
                notices.record_turned_away(at, at, &server(n));
                news.push((now + NEWS_DELAY_MS, n));
                if now >= REACTION_MS {
                    *outcome.rejections.entry((n, now / 1_000)).or_default() += 1;
                }
                return true;
            }
            let work = -WORK_MS * (1.0 - rng.random_range(0.0_f64..1.0)).ln();
            let work = work as u64 + 1;
            running[n].push((now + work, *sender));
            false
        });
    }
    outcome
}

/// Guards against hosts that find out one after the other that a server is full, at any size of the
/// fleet.
#[test]
fn hosts_together_send_brittle_servers_no_more_than_these_have_room_for() {
    for count in [1, 2, 7, 9, 58, 295] {
        let outcome = play(count, 1, true, 1);
        println!("{count} hosts: {} of {} served", outcome.served, outcome.sent);
        assert!(outcome.rejections.is_empty(), "{count} hosts: {:?}", outcome.rejections);
        // Nine tenths of what half of the slots can serve.
        let used = 0.5 * (SERVERS as u32 * SLOTS) as f64 * 1_000.0 / WORK_MS;
        let burst_s = (BURST_MS.end - BURST_MS.start) as f64 / 1_000.0;
        let rest_s = DURATION_MS as f64 / 1_000.0 - burst_s;
        let possible =
            burst_s * used.min(3.0 * REQUESTS_PER_SECOND) + rest_s * used.min(REQUESTS_PER_SECOND);
        assert!(outcome.served as f64 >= 0.9 * possible, "{count} hosts: {outcome:?}");
    }
}

/// Guards against a test that any behaviour passes: without sharing, servers end all the time.
#[test]
fn hosts_that_only_keep_away_from_full_servers_make_them_end() {
    for count in [9, 58] {
        let outcome = play(count, 1, false, 1);
        println!("{count} hosts, not shared: {} falls", outcome.falls());
        assert!(outcome.falls() > MAX_FALLS);
    }
}

/// Falls of the servers that are tolerated while they are brittle.
const MAX_FALLS: usize = 2;

/// Guards against two groups of hosts that do not see each other and use the room twice.
#[test]
fn two_views_of_the_fleet_make_few_servers_end() {
    for count in [9, 58, 295] {
        let outcome = play(count, 2, true, 1);
        println!("{count} hosts, two views: {} falls {:?}", outcome.falls(), outcome.rejections);
        assert!(outcome.falls() <= MAX_FALLS, "{count} hosts: {:?}", outcome.rejections);
    }
}

/// Guards against a host that has just started, knows no other and takes all of the room for itself.
#[test]
fn a_host_that_has_just_started_uses_no_room() {
    let started_at = Time(60_000);
    let mut notices = UpstreamNotices::new().with_hosts(Hosts::new(started_at, host(1)));
    let brittle = Some(Brittle { max_rejections: MAX_REJECTIONS, slots: SLOTS });
    let now = Time(60_500);
    notices.record_limit(now, now, &server(1), Terms { per_second: None, brittle });
    assert!(notices.take(now, &server(1).name, 1).is_err());
    let senders = notices.room_senders(now, &server(1).name, 1);
    assert!(senders.is_some_and(|(_, is_sender)| !is_sender));
    assert!(notices.take(Time(63_001), &server(1).name, 1).is_ok());
}
