//! Tests of the choice among servers of a plain service, each under the load it answers.

use magnoliawinch::balance::{Balancer, Candidate, Load, Outcome};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::{Millis, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn names() -> Vec<UpstreamName> {
    ["s1", "s2", "s3"].map(UpstreamName::new).to_vec()
}

fn candidate(name: &UpstreamName) -> Candidate<'_> {
    Candidate { name, slots: 6, is_near: true, is_down: false }
}

/// How often each server is chosen in `count` calls that end at once.
fn choices(balancer: &mut Balancer, now: Time, count: usize) -> Vec<usize> {
    let (names, mut rng) = (names(), ChaCha8Rng::seed_from_u64(7));
    let mut chosen = vec![0; names.len()];
    for _ in 0..count {
        let name = balancer.choose(now, names.iter().map(candidate), &mut rng).cloned();
        let place = names.iter().position(|n| Some(n) == name.as_ref());
        chosen[place.expect("one of the candidates")] += 1;
    }
    chosen
}

/// Pattern: all servers alike.
#[test]
fn equal_servers_share_the_calls() {
    let chosen = choices(&mut Balancer::new(), Time(0), 300);
    assert!(chosen.iter().all(|count| *count > 60), "{chosen:?}");
}

/// Pattern: a server turns grey and fails nearly half of its calls while it says it is well.
#[test]
fn a_server_that_fails_calls_is_avoided_and_tried_again_later() {
    let mut balancer = Balancer::new();
    let names = names();
    for n in 0..12 {
        for name in &names {
            balancer.started(Time(n * 50), name);
            let is_bad = name.as_str() == "s1" && n % 2 == 0;
            let answered = Outcome::Answered(Millis(30));
            let outcome = if is_bad { Outcome::Failed } else { answered };
            balancer.ended(Time(n * 50 + 30), name, Some(outcome));
        }
    }
    assert_eq!(choices(&mut balancer, Time(700), 100)[0], 0);
    assert!(choices(&mut balancer, Time(60_000), 300)[0] > 60);
}

/// Pattern: a burst. Calls in progress here, and what servers told of others' calls.
#[test]
fn a_full_server_is_passed_over() {
    let mut balancer = Balancer::new();
    let names = names();
    for _ in 0..9 {
        balancer.started(Time(0), &names[0]);
    }
    balancer.told(Time(0), &names[1], Load { running: 6, waiting: 10, slots: 6 });
    let chosen = choices(&mut balancer, Time(10), 100);
    assert_eq!(chosen, [0, 0, 100]);
}

/// Pattern: a server that cannot be reached, beside ones that can.
#[test]
fn a_server_that_is_down_is_the_last_choice() {
    let (names, mut rng) = (names(), ChaCha8Rng::seed_from_u64(7));
    let mut balancer = Balancer::new();
    let down = Candidate { is_down: true, ..candidate(&names[0]) };
    let both = [down, candidate(&names[1])];
    assert_eq!(balancer.choose(Time(0), both, &mut rng), Some(&names[1]));
    assert_eq!(balancer.choose(Time(0), [down], &mut rng), Some(&names[0]));
}
