//! When announced configuration versions are requested from peers.

use magnoliawinch::announced_versions::AnnouncedVersions;
use magnoliawinch::time::{Millis, Time};
use std::net::SocketAddr;

const START: Time = Time(10_000);

fn peer(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

/// Guards against a daemon that stays behind because its sources are silent.
#[test]
fn a_version_that_does_not_arrive_is_requested_from_a_peer() {
    let mut versions = AnnouncedVersions::new();
    assert!(versions.record(START, 8, peer(1)));
    assert!(!versions.record(START, 8, peer(2)));
    assert_eq!(versions.peer_to_query(START, 7), None, "it may still arrive");
    assert_eq!(
        versions.peer_to_query(START + Millis(950), 7),
        None,
        "a silent source's poll lasts"
    );
    let later = START + Millis(1_100);
    assert_eq!(versions.peer_to_query(later, 7), Some(peer(2)));
    assert_eq!(versions.peer_to_query(later, 7), None, "a peer was just asked");
    assert_eq!(versions.peer_to_query(later + Millis(1_100), 8), None, "the version is in force");
}

#[test]
fn an_older_version_is_ignored() {
    let mut versions = AnnouncedVersions::new();
    versions.record(START, 8, peer(1));
    assert!(!versions.record(START, 7, peer(2)));
    assert_eq!(versions.peer_to_query(START + Millis(1_100), 7), Some(peer(1)));
}
