//! Telling upstreams that ended under requests from those that only failed them.

use magnoliawinch::crash_detection::{CrashDetector, Reachability, Suspicion, UpstreamProcess};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::time::Time;

const FIRST: Fingerprint = Fingerprint(1);
const SECOND: Fingerprint = Fingerprint(2);

fn process(name: &str, born: u64) -> UpstreamProcess {
    let address = "10.0.0.1:80".parse().unwrap();
    UpstreamProcess { name: UpstreamName::new(name), born, address }
}

/// Guards against one check for each of many requests that break in the same moment.
#[test]
fn an_upstream_that_refuses_connections_has_ended_under_all_its_requests() {
    let (mut detector, s1) = (CrashDetector::new(), process("s1", 1));
    assert_eq!(detector.connection_lost(Time(0), &s1, FIRST), Suspicion::CheckDue);
    assert_eq!(detector.connection_lost(Time(1), &s1, SECOND), Suspicion::CheckInProgress);
    assert_eq!(detector.connection_lost(Time(1), &s1, SECOND), Suspicion::CheckInProgress);
    assert_eq!(detector.checked(Time(3), &s1, Reachability::Refused), [FIRST, SECOND]);
    assert_eq!(detector.connection_lost(Time(4), &s1, FIRST), Suspicion::Ended);
}

/// Guards against taking a reset, a cut or a lost answer for the end of its server.
#[test]
fn an_upstream_that_accepts_connections_has_not_ended() {
    for result in [Reachability::Accepted, Reachability::Unknown] {
        let (mut detector, s1) = (CrashDetector::new(), process("s1", 1));
        detector.connection_lost(Time(0), &s1, FIRST);
        assert!(detector.checked(Time(2), &s1, result).is_empty());
        assert!(detector.tick(Time(10)).is_empty(), "not at once");
        assert_eq!(detector.tick(Time(100)), std::slice::from_ref(&s1));
        assert!(detector.checked(Time(102), &s1, result).is_empty());
        assert!(detector.tick(Time(1_000)).is_empty(), "checked twice");
        assert!(detector.listed(&s1.name, s1.born, s1.address).is_empty(), "the same incarnation");
        detector.tick(Time(60_000));
        assert!(detector.is_empty());
    }
}

/// Guards against missing an end whose listener was closed after the connections.
#[test]
fn a_second_check_finds_an_upstream_that_closes_its_listener_late() {
    let (mut detector, s1) = (CrashDetector::new(), process("s1", 1));
    detector.connection_lost(Time(0), &s1, FIRST);
    detector.checked(Time(2), &s1, Reachability::Accepted);
    assert_eq!(detector.tick(Time(100)), std::slice::from_ref(&s1));
    assert_eq!(detector.checked(Time(102), &s1, Reachability::Refused), [FIRST]);
}

/// Guards against missing the end of an upstream that could not be reached.
#[test]
fn a_new_incarnation_at_the_address_shows_that_an_unreachable_one_has_ended() {
    for (name, born) in [("s1", 2), ("s9", 2)] {
        let (mut detector, s1) = (CrashDetector::new(), process("s1", 1));
        detector.connection_lost(Time(0), &s1, FIRST);
        detector.checked(Time(2), &s1, Reachability::Unknown);
        let new = process(name, born);
        let ended = detector.listed(&new.name, new.born, new.address);
        assert_eq!(ended, [(s1.clone(), vec![FIRST])]);
        assert!(detector.listed(&new.name, new.born, new.address).is_empty(), "reported once");
    }
}

/// Guards against judging a later break by the checks of an earlier one, and against blaming a
/// request whose answer was lost before the end.
#[test]
fn a_later_break_is_checked_again() {
    let (mut detector, s1) = (CrashDetector::new(), process("s1", 1));
    detector.connection_lost(Time(0), &s1, FIRST);
    detector.checked(Time(2), &s1, Reachability::Accepted);
    detector.tick(Time(100));
    detector.checked(Time(102), &s1, Reachability::Accepted);
    assert_eq!(detector.connection_lost(Time(2_000), &s1, SECOND), Suspicion::CheckDue);
    assert_eq!(detector.checked(Time(2_002), &s1, Reachability::Refused), [SECOND]);
}
