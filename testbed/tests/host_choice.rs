//! Which host a caller uses after one has failed.

use magnoliawinch_testbed::HostChoice;
use std::net::SocketAddr;

fn hosts() -> [SocketAddr; 3] {
    [1, 2, 3].map(|n| ([10, 0, 0, n], 80).into())
}

/// The directory lists a killed host until its failure is detected, here always first.
#[test]
fn a_refreshed_list_does_not_lead_back_to_the_failed_host() {
    let [killed, second, third] = hosts();
    let mut choice = HostChoice::new(&hosts(), 0);
    assert_eq!(choice.selected(), killed);
    choice.select_next();
    choice.refresh(vec![killed, second, third]);
    assert_eq!(choice.selected(), second);
}

#[test]
fn each_host_is_tried_in_turn_and_a_single_one_again() {
    let [first, second, third] = hosts();
    let mut choice = HostChoice::new(&hosts(), 0);
    let mut tried = Vec::new();
    for _ in 0..4 {
        tried.push(choice.selected());
        choice.select_next();
    }
    assert_eq!(tried, [first, second, third, first]);
    choice.refresh(vec![second]);
    choice.select_next();
    assert_eq!(choice.selected(), second);
}
