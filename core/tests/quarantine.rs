//! Quarantine of requests under which upstreams end.

use magnoliawinch::names::UpstreamName;
use magnoliawinch::quarantine::{
    COMPLETION_RETENTION, Completions, Crash, FIRST_REFUSAL_DURATION, Fact, Fingerprint,
    Quarantine, QuarantineStatus, REFUSAL_DURATION,
};
use magnoliawinch::rendezvous;
use magnoliawinch::time::{Millis, Time};
use quickcheck::{Gen, QuickCheck};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FINGERPRINT: Fingerprint = Fingerprint(7);

fn crash(upstream: &str, born: u64) -> Crash {
    Crash { fingerprint: FINGERPRINT, upstream: UpstreamName::new(upstream), born }
}

fn record(quarantine: &mut Quarantine, at: u64, upstream: &str, born: u64) -> QuarantineStatus {
    quarantine.record_crash(Time(at), Time(at), &crash(upstream, born));
    quarantine.status(Time(at), FINGERPRINT)
}

#[test]
fn a_request_is_refused_only_after_its_second_crash() {
    let mut quarantine = Quarantine::new();
    assert_eq!(quarantine.status(Time(0), FINGERPRINT), QuarantineStatus::Normal);
    assert_eq!(record(&mut quarantine, 0, "e1", 1), QuarantineStatus::Suspect);
    let refused = QuarantineStatus::Refused(FIRST_REFUSAL_DURATION);
    assert_eq!(record(&mut quarantine, 10, "e2", 1), refused);
    let later = quarantine.status(Time(1_010), FINGERPRINT);
    assert_eq!(later, QuarantineStatus::Refused(FIRST_REFUSAL_DURATION - Millis(1_000)));
}

/// Guards against refusing a request that ran beside the cause of two ends for as long as the cause.
#[test]
fn a_request_gets_one_more_chance_after_its_second_crash() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 0, "e1", 1);
    record(&mut quarantine, 0, "e2", 1);
    let Time(over) = Time(0) + FIRST_REFUSAL_DURATION;
    assert_eq!(quarantine.status(Time(over), FINGERPRINT), QuarantineStatus::Suspect);
    let refused = QuarantineStatus::Refused(REFUSAL_DURATION);
    assert_eq!(record(&mut quarantine, over, "e3", 1), refused);
    let over = Time(over) + REFUSAL_DURATION;
    assert_eq!(quarantine.status(over, FINGERPRINT), QuarantineStatus::Normal);
}

/// A popular prompt runs several times on one engine; all its runs fail in the same crash.
#[test]
fn equal_requests_on_one_crashed_upstream_count_as_one_crash() {
    let mut quarantine = Quarantine::new();
    for at in [0, 1, 300] {
        assert_eq!(record(&mut quarantine, at, "e1", 1), QuarantineStatus::Suspect);
    }
    assert!(matches!(record(&mut quarantine, 400, "e2", 1), QuarantineStatus::Refused(_)));
}

/// Guards against counting three ends when those of two upstreams are reported in turn.
#[test]
fn reports_of_two_crashes_in_turn_count_as_two() {
    let mut quarantine = Quarantine::new();
    for (at, upstream) in [(0, "e1"), (1, "e2"), (2, "e1"), (3, "e2")] {
        record(&mut quarantine, at, upstream, 1);
    }
    let over = Time(3) + FIRST_REFUSAL_DURATION;
    assert_eq!(quarantine.status(over, FINGERPRINT), QuarantineStatus::Suspect);
}

/// Guards against missing the end of an upstream that has started again under its name.
#[test]
fn two_crashes_of_one_upstream_count_as_two() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 0, "e1", 1);
    assert!(matches!(record(&mut quarantine, 1_000, "e1", 2), QuarantineStatus::Refused(_)));
}

/// Guards against counting one end twice where incarnations are unknown.
#[test]
fn late_reports_of_one_crash_count_as_one_without_incarnations() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 0, "e1", 0);
    assert_eq!(record(&mut quarantine, 2_000, "e1", 0), QuarantineStatus::Suspect);
    assert!(matches!(record(&mut quarantine, 9_000, "e1", 0), QuarantineStatus::Refused(_)));
}

/// A popular prompt runs on engines that crash for another reason.
#[test]
fn a_completed_request_is_no_suspect() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 0, "e1", 1);
    record(&mut quarantine, 0, "e2", 1);
    assert!(quarantine.record_completion(Time(100), Time(100), FINGERPRINT));
    assert_eq!(quarantine.status(Time(100), FINGERPRINT), QuarantineStatus::Normal);
    assert_eq!(record(&mut quarantine, 9_000, "e3", 1), QuarantineStatus::Suspect);
    assert_eq!(record(&mut quarantine, 9_000, "e4", 1), QuarantineStatus::Suspect);
    assert!(quarantine.record_completion(Time(9_030), Time(9_030), FINGERPRINT));
    assert_eq!(quarantine.status(Time(9_030), FINGERPRINT), QuarantineStatus::Normal);
    assert!(!quarantine.record_completion(Time(9_100), Time(9_100), Fingerprint(8)), "unknown");
}

/// Guards against an upgrade that makes a request fatal which has completed until then.
#[test]
fn a_request_that_ends_upstreams_after_it_completed_is_refused() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 1_000, "e1", 1);
    quarantine.record_completion(Time(1_000), Time(900), FINGERPRINT);
    record(&mut quarantine, 1_040, "e2", 1);
    assert!(matches!(record(&mut quarantine, 3_000, "e3", 1), QuarantineStatus::Refused(_)));
    quarantine.record_completion(Time(3_010), Time(3_005), FINGERPRINT);
    assert_eq!(quarantine.status(Time(3_010), FINGERPRINT), QuarantineStatus::Normal);
}

/// Guards against ends of one moment, as in the loss of a rack, that count several times for popular
/// requests, which are in progress everywhere.
#[test]
fn ends_of_one_moment_count_once_for_a_request_that_completed_before() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 1_000, "e0", 1);
    quarantine.record_completion(Time(1_000), Time(990), FINGERPRINT);
    for n in 1..16 {
        let status = record(&mut quarantine, 1_000 + 60 * n, &format!("e{n}"), 1);
        assert!(!matches!(status, QuarantineStatus::Refused(_)), "{n} ends");
    }
}

/// Guards against forgetting the first moment when many ends of the second one are reported.
#[test]
fn many_ends_of_a_second_moment_do_not_lift_the_refusal() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 1_000, "e0", 1);
    quarantine.record_completion(Time(1_000), Time(990), FINGERPRINT);
    for n in 1..16 {
        let status = record(&mut quarantine, 4_000 + n, &format!("e{n}"), 1);
        assert!(matches!(status, QuarantineStatus::Refused(_)), "{n} ends");
    }
}

/// Guards against a request that has become fatal and is never refused as it once completed.
#[test]
fn a_completed_request_is_a_suspect_again_after_a_time() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 0, "e1", 1);
    quarantine.record_completion(Time(0), Time(0), FINGERPRINT);
    let Time(later) = Time(1) + COMPLETION_RETENTION;
    record(&mut quarantine, later, "e2", 1);
    assert!(matches!(record(&mut quarantine, later, "e3", 1), QuarantineStatus::Refused(_)));
}

#[test]
fn completions_are_remembered_for_a_time() {
    let mut completions = Completions::new();
    completions.record(Time(0), FINGERPRINT);
    completions.record(Time(50), FINGERPRINT);
    assert_eq!(completions.last(Time(60), FINGERPRINT), Some(Time(50)));
    assert_eq!(completions.last(Time(50) + COMPLETION_RETENTION, FINGERPRINT), None);
    for n in 0..10_000 {
        completions.record(Time(100), Fingerprint(100 + n));
    }
    assert_eq!(completions.last(Time(100), FINGERPRINT), None, "bounded");
    assert_eq!(completions.last(Time(100), Fingerprint(10_099)), Some(Time(100)));
}

/// Guards against a status that depends on the order in which facts arrive.
#[test]
fn daemons_agree_in_whatever_order_facts_arrive() {
    fn agree(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let last = *[900, 8_000].choose(&mut rng).unwrap();
        let mut facts: Vec<_> = (0..rng.random_range(1..5))
            .map(|n| Fact::Crashed(crash(&format!("e{n}"), 1), Time(rng.random_range(0..last))))
            .collect();
        for _ in 0..rng.random_range(0..3) {
            facts.push(Fact::Completed(FINGERPRINT, Time(rng.random_range(0..last))));
        }
        let now = Time(last + 100);
        let mut statuses = (0..4).map(|_| {
            let mut quarantine = Quarantine::new();
            let mut arriving: Vec<_> = facts.iter().chain(&facts).cloned().collect();
            arriving.shuffle(&mut rng);
            // A completion says nothing while no end is known; its daemon repeats it.
            arriving.extend(facts.iter().cloned());
            quarantine.apply(now, arriving);
            quarantine.status(now, FINGERPRINT)
        });
        let first = statuses.next();
        statuses.all(|status| Some(status) == first)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 1))
        .tests(500)
        .quickcheck(agree as fn(u64) -> bool);
}

/// One daemon learns of two ends and is lost; a second one was cut off meanwhile.
#[test]
fn a_crashing_request_stays_refused_after_the_daemon_that_reported_it_is_lost() {
    let mut reporter = Quarantine::new();
    record(&mut reporter, 0, "e1", 1);
    record(&mut reporter, 5, "e2", 1);
    let mut other = Quarantine::new();
    assert!(other.apply(Time(10), reporter.news(Time(10))));
    assert!(!other.apply(Time(11), reporter.news(Time(11))), "known");
    drop(reporter);
    let Time(over) = Time(5) + FIRST_REFUSAL_DURATION;
    for at in (10..over).step_by(300) {
        other.tick(Time(at));
        let mut cut_off = Quarantine::new();
        cut_off.apply(Time(at), other.news(Time(at)));
        let left = Time(over).since(Time(at));
        assert_eq!(cut_off.status(Time(at), FINGERPRINT), QuarantineStatus::Refused(left));
    }
    assert_eq!(other.status(Time(over), FINGERPRINT), QuarantineStatus::Suspect);
}

/// Guards against facts that daemons pass to each other for ever.
#[test]
fn facts_about_suspects_end() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 0, "e1", 1);
    assert_eq!(quarantine.news(Time(100)).len(), 1);
    assert!(quarantine.news(Time(10_000)).is_empty());
}

/// An outage of many engines makes suspects of all that ran there.
#[test]
fn many_suspects_do_not_displace_refused_requests() {
    let mut quarantine = Quarantine::new();
    record(&mut quarantine, 0, "e1", 1);
    record(&mut quarantine, 0, "e2", 1);
    for n in 0..20_000 {
        let fingerprint = Fingerprint(100 + n);
        quarantine.record_crash(Time(1), Time(1), &Crash { fingerprint, ..crash("e3", 1) });
    }
    assert!(quarantine.len() <= 1_024);
    assert!(matches!(quarantine.status(Time(1), FINGERPRINT), QuarantineStatus::Refused(_)));
    let news = quarantine.news(Time(1));
    assert!(news.len() <= 64);
    let is_told = |fact: &Fact| matches!(fact, Fact::Crashed(c, _) if c.fingerprint == FINGERPRINT);
    assert_eq!(news.iter().filter(|fact| is_told(fact)).count(), 2);
}

/// Guards against suspects that no peer hears of as more upstreams ended at once than one message tells:
/// a culprit among them would be refused only after further ends.
#[test]
fn all_suspects_of_a_large_outage_are_told_while_they_are_news() {
    let mut reporter = Quarantine::new();
    let suspects: Vec<_> =
        (0..200).map(|n| Fingerprint(rendezvous::hash(&n.to_string()))).collect();
    for fingerprint in suspects.iter().copied() {
        reporter.record_crash(Time(0), Time(0), &Crash { fingerprint, ..crash("e1", 1) });
    }
    // Three others are told in turn, and tell each other.
    let mut others = vec![Quarantine::new(); 3];
    for (n, at) in (0..3_000).step_by(100).enumerate() {
        let news = reporter.news(Time(at));
        others[n % 3].apply(Time(at + 5), news);
        let news = others[n % 3].news(Time(at + 5));
        others[(n + 1) % 3].apply(Time(at + 10), news);
    }
    for other in &others {
        let status = |fingerprint| other.status(Time(3_000), fingerprint);
        let known = suspects.iter().filter(|f| status(**f) == QuarantineStatus::Suspect).count();
        assert_eq!(known, suspects.len());
    }
}
