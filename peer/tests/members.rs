//! Members as received from other daemons.

use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch_peer::generated;

/// Guards against a daemon of a newer build that is not known at all, as its state is new.
#[test]
fn a_member_in_an_unknown_state_counts_as_leaving() {
    let address = "10.0.0.1:8748".to_owned();
    let message = generated::Member {
        host: "edge-1".to_owned(),
        incarnation: 7,
        failure_domain: "a".to_owned(),
        peer_address: address.clone(),
        caller_address: address,
        state: 99,
        capacity: 250,
    };
    assert_eq!(Member::try_from(&message).unwrap().state, MemberState::Leaving);
}
