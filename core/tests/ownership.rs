//! Selection of large hosts as owners.

use magnoliawinch::capacity::Capacity;
use magnoliawinch::membership::{Member, MemberState, Membership};
use magnoliawinch::names::{FailureDomain, HostName};
use magnoliawinch::ownership::large_owners;
use magnoliawinch::time::Time;
use std::net::{Ipv4Addr, SocketAddr};

const SMALL: Capacity = Capacity(120);
const LARGE: Capacity = Capacity(500);

fn member(host: usize, capacity: Capacity) -> Member {
    let address = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 0, host as u8), port));
    Member {
        host: HostName::from(format!("entry-{host}")),
        incarnation: 1,
        failure_domain: FailureDomain::from(format!("domain-{}", host % 3)),
        peer_address: address(1),
        caller_address: address(2),
        capacity,
        state: MemberState::Alive,
    }
}

fn membership(members: &[Member]) -> Membership {
    let mut membership = Membership::new(members[0].clone());
    for member in &members[1..] {
        membership.merge(Time(1), member.clone());
    }
    membership
}

/// Ninety hosts of which six are large, as at the users' grown sites.
fn grown_site() -> Vec<Member> {
    let capacity = |host| if host % 15 == 0 { LARGE } else { SMALL };
    (0..90).map(|host| member(host, capacity(host))).collect()
}

fn owners(members: &[Member]) -> Vec<Member> {
    large_owners("pools", &membership(members)).into_iter().cloned().collect()
}

#[test]
fn owners_are_large_hosts() {
    let owners = owners(&grown_site());
    assert_eq!(owners.len(), 2);
    assert!(owners.iter().all(|owner| owner.capacity == LARGE), "{owners:?}");
}

#[test]
fn owners_are_in_two_failure_domains() {
    // Large hosts in two failure domains, most of them in one.
    let members: Vec<_> = (0..90)
        .map(|host| member(host, if host % 3 == 0 || host == 1 { LARGE } else { SMALL }))
        .collect();
    for key in 0..20 {
        let membership = membership(&members);
        let owners = large_owners(&format!("key-{key}"), &membership);
        assert_ne!(owners[0].failure_domain, owners[1].failure_domain);
    }
}

#[test]
fn a_small_host_is_standby_if_only_one_is_large() {
    let members: Vec<_> =
        (0..9).map(|host| member(host, if host == 4 { LARGE } else { SMALL })).collect();
    let owners = owners(&members);
    assert_eq!(owners[0].capacity, LARGE);
    assert_eq!(owners[1].capacity, SMALL);
}

#[test]
fn every_view_of_the_same_members_has_the_same_owners() {
    let members = grown_site();
    let expected = owners(&members);
    let mut rotated = members.clone();
    rotated.rotate_left(37);
    assert_eq!(owners(&rotated), expected);
}

#[test]
fn capacity_is_limited_by_cores_and_by_the_link() {
    assert!(Capacity::new(0.5, 10.0) < Capacity::new(0.25, 1_000.0));
    assert_eq!(Capacity::new(0.12, 10.0), SMALL);
    assert_eq!(Capacity::new(0.5, 200.0), LARGE);
}
