//! When daemons poll for a newer configuration.

use magnoliawinch::configuration_polling::{AnnouncedVersions, StorePoll, next_poll};
use magnoliawinch::time::{Millis, Time};
use std::net::SocketAddr;

const START: Time = Time(10_000);

fn peer(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

#[test]
fn a_daemon_does_not_poll_while_others_do() {
    let StorePoll::NotBefore(until) = next_poll(START, 7, 7, START) else {
        panic!("no newer version was announced");
    };
    assert!(until > START + Millis(1_000), "reports of ninety daemons come every 570 ms");
    assert_eq!(next_poll(until, 7, 7, START), StorePoll::NoRecentPoll);
}

#[test]
fn an_announced_version_is_polled_for_at_once() {
    assert_eq!(next_poll(START, 7, 8, START), StorePoll::VersionAnnounced);
}

/// Guards against missed changes when the daemons that do long polls lose contact to the store.
#[test]
fn a_change_is_found_in_time_when_the_polling_daemons_lose_the_store() {
    /// Time in which a change has to be in force, less that of the read itself.
    const MAX_POLL_DELAY: Millis = Millis(1_700);
    let mut now = START;
    while next_poll(now, 7, 7, START) != StorePoll::NoRecentPoll {
        now = now + Millis(10);
        assert!(now.since(START) < MAX_POLL_DELAY);
    }
}

/// Guards against a daemon that stays behind because the store refuses its polls.
#[test]
fn a_version_the_store_does_not_return_is_requested_from_a_peer() {
    let mut versions = AnnouncedVersions::new();
    assert!(versions.record(START, 8, peer(1)));
    assert!(!versions.record(START, 8, peer(2)));
    assert_eq!(versions.peer_to_query(START, 7), None, "the store may still return it");
    let later = START + Millis(400);
    assert_eq!(versions.peer_to_query(later, 7), Some(peer(2)));
    assert_eq!(versions.peer_to_query(later, 7), None, "a peer was just asked");
    assert_eq!(versions.peer_to_query(later + Millis(400), 8), None, "the version is in force");
}

#[test]
fn an_older_version_is_ignored() {
    let mut versions = AnnouncedVersions::new();
    versions.record(START, 8, peer(1));
    assert!(!versions.record(START, 7, peer(2)));
    assert_eq!(versions.peer_to_query(START + Millis(400), 7), Some(peer(1)));
}
