//! Limits that upstreams name for the requests of all hosts together.

use magnoliawinch::names::{HostName, ServiceName, UpstreamName};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::upstream_limits::{Hosts, SETTLING_TIME};
use magnoliawinch::upstream_notices::{Incarnation, UpstreamNotices, Withheld};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time after a limit is first named from which it must be kept.
const REACTION_TIME: Millis = Millis(3_000);

const WINDOW: Millis = Millis(4_000);

const LIMITS: [f64; 8] = [0.0, 0.1, 0.7, 1.0, 1.8, 5.5, 20.0, 150.0];

const FLEETS: [usize; 5] = [1, 9, 58, 295, 1_400];

fn s1(born: u64) -> Incarnation {
    Incarnation { service: ServiceName::new("app"), name: UpstreamName::new("s1"), born }
}

fn host(n: usize) -> HostName {
    HostName::new(&format!("edge-{n}"))
}

/// Hosts that send to one upstream whenever they may.
struct Fleet {
    hosts: Vec<UpstreamNotices>,
    sent: Vec<Time>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let new = |n| UpstreamNotices::new().with_hosts(Hosts::new(Time(0), host(n)));
        Self { hosts: (0..count).map(new).collect(), sent: Vec::new() }
    }

    /// Has each host of `seen_by` see just the hosts of `running`.
    fn set_running(&mut self, now: Time, seen_by: &[usize], running: &[usize]) {
        for n in seen_by {
            let running = running.iter().map(|n| host(*n)).collect();
            self.hosts[*n].set_running_hosts(now, running);
        }
    }

    fn name_limit(&mut self, now: Time, per_second: Option<f64>) {
        for notices in &mut self.hosts {
            notices.record_limit(now, now, &s1(1), per_second);
        }
    }

    /// Has `hosts` try to send at each step from `from` to `until`.
    fn send(&mut self, hosts: &[usize], from: Time, until: Time, step: Millis) {
        let mut now = from;
        while now < until {
            for n in hosts {
                if self.hosts[*n].take(now, &s1(1).name, 1).is_ok() {
                    self.sent.push(now);
                }
            }
            now = now + step;
        }
    }

    /// The most requests in a window after the reaction time.
    fn peak(&self) -> usize {
        let from = self.sent.partition_point(|at| *at < Time(0) + SETTLING_TIME + REACTION_TIME);
        let sent = &self.sent[from..];
        let in_window = |n: usize| sent[n..].partition_point(|at| at.since(sent[n]) < WINDOW);
        (0..sent.len()).map(in_window).max().unwrap_or(0)
    }
}

fn allowed(per_second: f64) -> f64 {
    per_second * 4.0 * 1.5 + 5.0
}

/// Guards against a share for each host, which adds up to the number of hosts.
#[test]
fn hosts_together_keep_to_a_limit_whatever_their_number() {
    for count in FLEETS {
        for per_second in LIMITS {
            let all: Vec<_> = (0..count).collect();
            let mut fleet = Fleet::new(count);
            fleet.set_running(Time(0), &all, &all);
            fleet.name_limit(Time(0), Some(per_second));
            let until = Time(0) + SETTLING_TIME + Millis(23_000);
            fleet.send(&all, Time(0), until, Millis(100));
            let peak = fleet.peak();
            assert!(peak as f64 <= allowed(per_second), "{count} hosts, {per_second}: {peak}");
            // Most of a limit that callers need is used: 20 s, hosts that try ten times a second.
            let usable = (0.5 * per_second).min(count as f64 * 5.0) * 20.0;
            assert!(fleet.sent.len() as f64 + 1.0 >= usable, "{count} hosts, {per_second}: unused");
        }
    }
}

/// Guards against two groups of hosts that do not see each other, each of which uses the limit.
#[test]
fn two_separated_groups_of_hosts_keep_to_a_limit_together() {
    for count in [2, 9, 58, 295] {
        for per_second in LIMITS {
            let all: Vec<_> = (0..count).collect();
            let (left, right) = all.split_at(count / 2);
            let mut fleet = Fleet::new(count);
            fleet.set_running(Time(0), &all, &all);
            fleet.name_limit(Time(0), Some(per_second));
            let cut_at = Time(0) + SETTLING_TIME + Millis(7_000);
            fleet.send(&all, Time(0), cut_at, Millis(100));
            fleet.set_running(cut_at, left, left);
            fleet.set_running(cut_at, right, right);
            let healed_at = cut_at + Millis(15_000);
            fleet.send(&all, cut_at, healed_at, Millis(100));
            fleet.set_running(healed_at, &all, &all);
            fleet.send(&all, healed_at, healed_at + Millis(10_000), Millis(100));
            let peak = fleet.peak();
            assert!(peak as f64 <= allowed(per_second), "{count} hosts, {per_second}: {peak}");
        }
    }
}

/// Guards against a new sender that does not know what the one before has just sent.
#[test]
fn a_limit_is_kept_while_hosts_come_and_go() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for count in [9, 58] {
        for per_second in LIMITS {
            let all: Vec<_> = (0..count).collect();
            let mut fleet = Fleet::new(count);
            fleet.set_running(Time(0), &all, &all);
            fleet.name_limit(Time(0), Some(per_second));
            let mut now = Time(0);
            for _ in 0..30 {
                let running: Vec<_> = all.sample(&mut rng, count * 2 / 3).copied().collect();
                // Half of the hosts hear of it a second later.
                let (first, late) = running.split_at(running.len() / 2);
                fleet.set_running(now, first, &running);
                let later = now + Millis(rng.random_range(100..1_000));
                fleet.send(&running, now, later, Millis(100));
                fleet.set_running(later, late, &running);
                now = later + Millis(1_000);
                fleet.send(&running, later, now, Millis(100));
            }
            let peak = fleet.peak();
            assert!(peak as f64 <= allowed(per_second), "{count} hosts, {per_second}: {peak}");
        }
    }
}

/// Guards against hosts that have just started and each take themselves for the only one.
#[test]
fn a_host_sends_nothing_to_a_limited_upstream_before_it_knows_the_others() {
    let mut fleet = Fleet::new(1);
    fleet.name_limit(Time(0), Some(10.0));
    let settled_at = Time(0) + SETTLING_TIME;
    fleet.send(&[0], Time(0), settled_at, Millis(10));
    assert!(fleet.sent.is_empty());
    fleet.send(&[0], settled_at, settled_at + Millis(2_000), Millis(10));
    assert!(!fleet.sent.is_empty());
}

#[test]
fn the_latest_statement_of_a_limit_holds() {
    let mut notices = UpstreamNotices::new().with_hosts(Hosts::new(Time(0), host(0)));
    let (now, e1) = (Time(0) + SETTLING_TIME, s1(1));
    let is_limited = |notices: &UpstreamNotices, now| {
        matches!(notices.withheld(now, &e1.name, e1.born), Some(Withheld::Limited { .. }))
    };
    assert!(!notices.record_limit(now, now, &e1, None), "nothing was known");
    assert!(notices.record_limit(now, now, &e1, Some(1.0)));
    assert!(!notices.record_limit(now, now, &e1, Some(1.0)), "known");
    assert!(is_limited(&notices, now), "a new sender waits");
    assert!(!notices.record_limit(now, now - Millis(1), &e1, None), "older");
    assert!(notices.names_limit_since(&e1.name, now));
    assert!(!notices.names_limit_since(&e1.name, now - Millis(1)), "a response that crossed it");
    assert!(notices.record_limit(now, now + Millis(1), &e1, None));
    assert!(!is_limited(&notices, now));
    assert!(notices.record_limit(now, now + Millis(2), &e1, Some(2.0)));
    assert!(!notices.record_limit(now, now + Millis(3), &s1(0), None), "an older incarnation");
    notices.record_limit(now, now + Millis(3), &s1(2), None);
    assert!(!is_limited(&notices, now), "a newer incarnation is another process");
}

/// Guards against a limit that holds for ever because the upstream is not asked any more.
#[test]
fn a_limit_of_which_nothing_is_heard_ends() {
    let mut notices = UpstreamNotices::new().with_hosts(Hosts::new(Time(0), host(0)));
    notices.record_limit(Time(0), Time(0), &s1(1), Some(0.0));
    assert_eq!(notices.limit_statements(Time(1_000), 32).len(), 1);
    assert!(notices.withheld(Time(3_001), &s1(1).name, 1).is_some());
    assert!(notices.withheld(Time(61_000), &s1(1).name, 1).is_none());
    assert!(notices.limit_statements(Time(61_000), 32).is_empty());
}

/// Guards against runs that go on beyond the limit because they are no new work.
#[test]
fn runs_that_go_on_count_towards_a_limit() {
    let mut notices = UpstreamNotices::new().with_hosts(Hosts::new(Time(0), host(0)));
    notices.record_limit(Time(0), Time(0), &s1(1), Some(1.0));
    let resumed = |at: u64, notices: &mut UpstreamNotices| {
        notices.withheld_from_resume(Time(at), &s1(1).name, 1, Time(0)).is_none()
    };
    let count = (4_000..8_000).filter(|at| resumed(*at, &mut notices)).count();
    assert!((2..=5).contains(&count), "{count}");
}
