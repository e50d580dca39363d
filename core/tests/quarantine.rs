//! Tests of which requests are refused for the crashes that they caused.

use magnoliawinch::names::UpstreamName;
use magnoliawinch::quarantine::{Fingerprint, Quarantine, REFUSED_FOR, RefusedPrints, TOLD_FOR};
use magnoliawinch::time::{Millis, Time};

const PRINT: Fingerprint = Fingerprint(7);

/// One owner tells, another daemon refuses.
fn told(quarantine: &Quarantine, now: Time, prints: &mut RefusedPrints) {
    for print in quarantine.refused() {
        prints.told(now, print);
    }
}

#[test]
fn a_request_is_refused_after_its_second_crash_and_not_before() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed(Time(0), PRINT);
    assert_eq!(quarantine.refused().count(), 0);
    quarantine.crashed(Time(10), PRINT);
    assert_eq!(quarantine.refused().collect::<Vec<_>>(), [PRINT]);
}

/// Pattern: a popular prompt. Its runs at one engine die together when that engine crashes.
#[test]
fn equal_requests_that_die_with_one_upstream_count_as_one_crash() {
    let mut quarantine = Quarantine::new();
    let (first, second) = (UpstreamName::new("e1"), UpstreamName::new("e2"));
    for ms in [0, 1, 300] {
        quarantine.crashed_at(Time(ms), PRINT, &first);
    }
    assert_eq!(quarantine.refused().count(), 0);
    quarantine.crashed_at(Time(400), PRINT, &second);
    assert_eq!(quarantine.refused().count(), 1);
}

/// Pattern: a popular prompt, and engines that crash for another reason.
#[test]
fn a_request_that_ran_to_its_end_is_no_suspect() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed_at(Time(0), PRINT, &UpstreamName::new("e1"));
    quarantine.completed(PRINT);
    quarantine.crashed_at(Time(9_000), PRINT, &UpstreamName::new("e2"));
    assert_eq!(quarantine.refused().count(), 0);
}

#[test]
fn a_daemon_serves_a_request_again_once_its_owner_does() {
    let mut quarantine = Quarantine::new();
    let mut prints = RefusedPrints::new();
    quarantine.crashed(Time(0), PRINT);
    quarantine.crashed(Time(0), PRINT);
    let step = Millis(300);
    let mut now = Time(0);
    while now < Time(0) + REFUSED_FOR {
        quarantine.tick(now);
        told(&quarantine, now, &mut prints);
        prints.tick(now);
        assert_eq!(prints.iter().count(), 1, "{now:?}");
        now = now + step;
    }
    let over = now + TOLD_FOR + step;
    quarantine.tick(over);
    told(&quarantine, over, &mut prints);
    assert!(prints.tick(over));
    assert_eq!(prints.iter().count(), 0);
}

#[test]
fn a_lost_owner_does_not_let_a_crashing_request_through_at_once() {
    let mut prints = RefusedPrints::new();
    prints.told(Time(0), PRINT);
    assert!(!prints.tick(Time(0) + TOLD_FOR - Millis(1)));
    assert!(prints.tick(Time(0) + TOLD_FOR));
}
