//! When daemons look for a newer configuration.

use magnoliawinch::configuration_news::{Look, NamedVersions, look};
use magnoliawinch::time::{Millis, Time};
use std::net::SocketAddr;

const START: Time = Time(10_000);

fn peer(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

#[test]
fn a_daemon_rests_while_others_look() {
    let Look::NotBefore(until) = look(START, 7, 7, START) else {
        panic!("nothing is new");
    };
    assert!(until > START + Millis(1_000), "a report of ninety daemons takes 570 ms");
    assert_eq!(look(until, 7, 7, START), Look::Alone);
}

#[test]
fn a_named_version_is_looked_for_at_once() {
    assert_eq!(look(START, 7, 8, START), Look::ForNews);
}

/// Pattern: those that wait for the others are parted from the store.
#[test]
fn a_change_is_found_in_time_when_those_who_look_cannot() {
    /// The bound of a change, less the time for the read itself.
    const IN_FORCE: Millis = Millis(1_700);
    let mut now = START;
    while look(now, 7, 7, START) != Look::Alone {
        now = now + Millis(10);
        assert!(now.since(START) < IN_FORCE);
    }
}

/// Pattern: the store turns a daemon away while its peers have the change.
#[test]
fn what_the_store_does_not_give_is_asked_of_a_peer() {
    let mut named = NamedVersions::new();
    assert!(named.name(START, 8, peer(1)));
    assert!(!named.name(START, 8, peer(2)));
    assert_eq!(named.ask(START, 7), None, "the store may give it");
    let later = START + Millis(400);
    assert_eq!(named.ask(later, 7), Some(peer(2)));
    assert_eq!(named.ask(later, 7), None, "it was asked just now");
    assert_eq!(named.ask(later + Millis(400), 8), None, "it is in force");
}

#[test]
fn an_older_version_is_no_news() {
    let mut named = NamedVersions::new();
    named.name(START, 8, peer(1));
    assert!(!named.name(START, 7, peer(2)));
    assert_eq!(named.ask(START + Millis(400), 7), Some(peer(1)));
}
