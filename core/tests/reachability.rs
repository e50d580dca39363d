//! What hosts conclude together about upstreams that one of them cannot reach.

use magnoliawinch::capacity::Capacity;
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::names::{FailureDomain, HostName, ServiceName, UpstreamName};
use magnoliawinch::reachability::Reachability::{Accepted, PathLost, Refused, Unknown};
use magnoliawinch::reachability::{OTHERS_TRIED, WITNESSES, choose_others, choose_witnesses};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// Guards against taking the word of one host for all: others reach the upstream, or nobody knows.
#[test]
fn a_refusal_is_an_end_only_if_no_other_host_gets_through() {
    let cases = [
        (Accepted, vec![Refused], true, Accepted),
        (Refused, vec![Refused, Accepted], true, PathLost),
        (Refused, vec![Refused, Unknown], false, Refused),
        (Refused, vec![Unknown, Unknown], false, Unknown),
        (Refused, vec![Unknown], true, Refused),
        (Refused, vec![], true, Refused),
        (Refused, vec![], false, Unknown),
        (Unknown, vec![Accepted], true, PathLost),
        (Unknown, vec![Refused], true, Unknown),
    ];
    for (own, witnessed, reaches_others, expected) in cases {
        let result = own.confirmed(&witnessed, reaches_others);
        assert_eq!(result, expected, "{own} {witnessed:?} {reaches_others}");
    }
}

fn member(host: usize, domain: usize) -> Member {
    Member {
        host: HostName::new(&format!("h{host}")),
        incarnation: 1,
        failure_domain: FailureDomain::new(&format!("d{domain}")),
        peer_address: "10.0.0.1:1".parse().unwrap(),
        caller_address: "10.0.0.1:2".parse().unwrap(),
        capacity: Capacity::default(),
        state: MemberState::Alive,
    }
}

/// Guards against asking only hosts that lost their paths together with this one.
#[test]
fn witnesses_come_from_as_many_failure_domains_as_possible() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (hosts, domains) in [(2, 1), (7, 4), (9, 3), (58, 3), (295, 5)] {
        let members: Vec<_> = (0..hosts).map(|n| member(n, n % domains)).collect();
        for _ in 0..100 {
            let (own, domain) = (&members[0].host, &members[0].failure_domain);
            let chosen = choose_witnesses(&members, own, domain, &mut rng);
            assert_eq!(chosen.len(), WITNESSES.min(hosts - 1));
            assert!(chosen.iter().all(|witness| witness.host != *own));
            let mut by_domain: HashMap<_, usize> = HashMap::new();
            for witness in &chosen {
                *by_domain.entry(&witness.failure_domain).or_default() += 1;
            }
            let from_own = by_domain.get(domain).copied().unwrap_or_default();
            let elsewhere = chosen.len() - from_own;
            assert!(elsewhere >= (domains - 1).min(WITNESSES), "{hosts} {by_domain:?}");
        }
    }
}

fn listed(name: &str, service: &str) -> ListedUpstream {
    ListedUpstream {
        name: UpstreamName::new(name),
        born: 1,
        service: ServiceName::new(service),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: FailureDomain::new("a"),
        slots: 6,
        leaving: false,
    }
}

/// Guards against ends that stay unknown because the upstreams that were tried for comparison had
/// ended, too, while others of the service lived.
#[test]
fn upstreams_tried_for_comparison_are_first_those_that_are_not_known_to_be_down() {
    let mut all: Vec<_> = (0..12).map(|n| listed(&format!("s{n}"), "app")).collect();
    all.push(listed("e1", "pool"));
    let known_down = |listed: &ListedUpstream| !["s3", "s7"].contains(&listed.name.as_str());
    let (service, except) = (ServiceName::new("app"), UpstreamName::new("s0"));
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let chosen = choose_others(&all, &service, &except, known_down, &mut rng);
        assert_eq!(chosen.len(), OTHERS_TRIED);
        assert!(chosen.iter().all(|l| l.service == service && l.name != except));
        let up = chosen.iter().filter(|listed| !known_down(listed)).count();
        assert_eq!(up, 2);
    }
    let (alone, mut rng) = (ServiceName::new("pool"), ChaCha8Rng::seed_from_u64(1));
    let chosen = choose_others(&all, &alone, &UpstreamName::new("e1"), known_down, &mut rng);
    assert_eq!(chosen.len(), OTHERS_TRIED, "of another service");
}
