//! Tests of the schedule of a planned stop.

use magnoliawinch::planned_stop::PlannedStop;
use magnoliawinch::time::{Millis, Time};
use quickcheck::{Gen, QuickCheck};

const TESTS: u64 = 2_000;

/// Guards against requests that are accepted although the daemon may end before their answers.
#[test]
fn accepted_requests_are_due_before_the_end() {
    fn check(now: u32, grace: u16, due_in: u16) -> bool {
        let (now, grace) = (Time(u64::from(now)), Millis(u64::from(grace)));
        let stop = PlannedStop::new(now, grace);
        let deadline = now + Millis(u64::from(due_in));
        let is_due_in_time = deadline < stop.ends_at() && deadline < now + grace;
        stop.ends_at() <= now + grace && (!stop.admits(deadline) || is_due_in_time || grace.0 < 500)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 45))
        .tests(TESTS)
        .quickcheck(check as fn(u32, u16, u16) -> bool);
}

#[test]
fn requests_are_admitted_until_their_time_limit_exceeds_the_stop() {
    let stop = PlannedStop::new(Time(10_000), Millis(8_000));
    let admits = |arrived_after: u64, limit: u64| stop.admits(Time(10_000 + arrived_after + limit));
    let admitted = [(0, 7_500), (6_500, 1_000), (7_499, 1)].map(|(at, limit)| admits(at, limit));
    assert_eq!(admitted, [true; 3]);
    let refused = [(0, 39_000), (6_501, 1_000), (7_500, 1)].map(|(at, limit)| admits(at, limit));
    assert_eq!(refused, [false; 3]);
}

#[test]
fn a_short_grace_period_admits_nothing() {
    let stop = PlannedStop::new(Time(10_000), Millis(300));
    assert!(!stop.admits(Time(10_001)));
    assert!(stop.ends_at() <= Time(10_300));
}
