//! Load balancing over servers of a plain service, one test per traffic pattern.

use magnoliawinch::balance::{Balancer, Candidate, Load, Outcome};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn names() -> Vec<UpstreamName> {
    ["s1", "s2", "s3"].map(UpstreamName::new).to_vec()
}

fn candidate(name: &UpstreamName) -> Candidate<'_> {
    Candidate { name, born: 1, slots: 6, in_same_domain: true, is_unreachable: false }
}

/// How often each server is chosen in `count` calls not recorded as started.
fn choices(balancer: &mut Balancer, now: Time, count: usize) -> Vec<usize> {
    let (names, mut rng) = (names(), ChaCha8Rng::seed_from_u64(7));
    let mut chosen = vec![0; names.len()];
    for _ in 0..count {
        let name = balancer
            .choose(now, names.iter().map(candidate), false, &mut rng)
            .map(|choice| choice.name.clone());
        let index = names.iter().position(|n| Some(n) == name.as_ref());
        chosen[index.expect("the chosen name is a candidate")] += 1;
    }
    chosen
}

/// All servers have the same load and history.
#[test]
fn equal_servers_share_calls() {
    let chosen = choices(&mut Balancer::new(), Time(0), 300);
    assert!(chosen.iter().all(|count| *count > 60), "{chosen:?}");
}

/// Grey failure: a server fails about half of its calls while it looks healthy.
#[test]
fn a_failing_server_is_avoided_and_retried_later() {
    let mut balancer = Balancer::new();
    let names = names();
    for n in 0..12 {
        for name in &names {
            balancer.started(Time(n * 50), name);
            let fails = name.as_str() == "s1" && n % 2 == 0;
            let outcome = if fails { Outcome::Error } else { Outcome::Responded };
            balancer.ended(Time(n * 50 + 30), name, Time(n * 50), Some(outcome));
        }
    }
    assert_eq!(choices(&mut balancer, Time(700), 100)[0], 0);
    assert!(choices(&mut balancer, Time(60_000), 300)[0] > 60);
}

/// A burst: one server is full of this daemon's calls, another reports other daemons' calls.
#[test]
fn a_full_server_is_skipped() {
    let mut balancer = Balancer::new();
    let names = names();
    for _ in 0..9 {
        balancer.started(Time(0), &names[0]);
    }
    balancer.record_load(
        Time(0),
        &names[1],
        Load { running: 6, waiting: 10, slots: 6, slowdown_percent: None },
    );
    let chosen = choices(&mut balancer, Time(10), 100);
    assert_eq!(chosen, [0, 0, 100]);
}

#[test]
fn an_unreachable_server_is_the_last_choice() {
    let (names, mut rng) = (names(), ChaCha8Rng::seed_from_u64(7));
    let mut balancer = Balancer::new();
    let unreachable = Candidate { is_unreachable: true, ..candidate(&names[0]) };
    let both = [unreachable, candidate(&names[1])];
    let mut choose = |candidates: &[Candidate<'_>]| {
        let choice = balancer.choose(Time(0), candidates.iter().copied(), false, &mut rng);
        choice.map(|choice| choice.name.clone())
    };
    assert_eq!(choose(&both).as_ref(), Some(&names[1]));
    assert_eq!(choose(&[unreachable]).as_ref(), Some(&names[0]));
}
