//! Tests of which requests are refused for the crashes that they caused.

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
