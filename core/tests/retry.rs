//! Retries follow verdicts, deadlines and a budget.

use magnoliawinch::retry::{Attempt, Budget, next_attempt};
use magnoliawinch::time::Time;
use magnoliawinch::verdict::Verdict;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn attempt(verdict: Verdict, idempotent: bool, released: bool) -> Attempt {
    Attempt { count: 1, verdict, idempotent, released, deadline: Time(10_000) }
}

#[test]
fn only_what_may_run_again_is_retried() {
    let mut rows = Vec::new();
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
        for idempotent in [false, true] {
            for released in [false, true] {
                let attempt = attempt(verdict, idempotent, released);
                let next = next_attempt(Time(0), attempt, &mut Budget::new());
                rows.push(format!(
                    "{verdict}, idempotent {idempotent}, released {released}: {}",
                    next.map_or("no".to_owned(), |wait| wait.to_string())
                ));
            }
        }
    }
    insta::assert_debug_snapshot!(rows);
}

#[test]
fn no_retry_goes_beyond_the_deadline() {
    let late = attempt(Verdict::NotRun, false, false);
    assert_eq!(next_attempt(Time(9_995), late, &mut Budget::new()), None);
}

/// Attempts for each request when a part of the upstreams refuse.
fn attempts_per_request(refusing: f64, with_budget: bool) -> f64 {
    const REQUESTS: u32 = 20_000;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut budget = Budget::new();
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        budget.earn();
        let mut count = 0;
        loop {
            count += 1;
            attempts += 1;
            if rng.random::<f64>() >= refusing {
                break;
            }
            let attempt = Attempt { count, ..attempt(Verdict::NotRun, true, false) };
            let mut free = Budget::new();
            let budget = if with_budget { &mut budget } else { &mut free };
            if next_attempt(Time(0), attempt, budget).is_none() {
                break;
            }
        }
    }
    f64::from(attempts) / f64::from(REQUESTS)
}

#[test]
fn the_budget_bounds_attempts_when_upstreams_refuse() {
    // The budget allows one retry for ten requests.
    assert!(attempts_per_request(1.0 / 3.0, true) < 1.11);
    assert!(attempts_per_request(1.0, true) < 1.11);
    // Without it a total outage multiplies the load.
    assert!(attempts_per_request(1.0, false) > 3.9);
}
