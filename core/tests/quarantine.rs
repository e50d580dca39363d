//! Quarantine of requests that crash upstreams.

use magnoliawinch::names::UpstreamName;
use magnoliawinch::quarantine::{
    Fingerprint, Quarantine, REFUSAL_DURATION, REFUSAL_NOTICE_LIFETIME, RefusedFingerprints,
};
use magnoliawinch::time::{Millis, Time};

const FINGERPRINT: Fingerprint = Fingerprint(7);

/// Passes refused fingerprints to another daemon.
fn notify(quarantine: &Quarantine, now: Time, refused: &mut RefusedFingerprints) {
    for fingerprint in quarantine.refused() {
        refused.renew(now, fingerprint);
    }
}

#[test]
fn a_request_is_refused_only_after_its_second_crash() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed(Time(0), FINGERPRINT);
    assert_eq!(quarantine.refused().count(), 0);
    quarantine.crashed(Time(10), FINGERPRINT);
    assert_eq!(quarantine.refused().collect::<Vec<_>>(), [FINGERPRINT]);
}

/// A popular prompt runs several times on one engine; all its runs fail in the same crash.
#[test]
fn equal_requests_on_one_crashed_upstream_count_as_one_crash() {
    let mut quarantine = Quarantine::new();
    let (first, second) = (UpstreamName::new("e1"), UpstreamName::new("e2"));
    for ms in [0, 1, 300] {
        quarantine.crashed_on(Time(ms), FINGERPRINT, &first);
    }
    assert_eq!(quarantine.refused().count(), 0);
    quarantine.crashed_on(Time(400), FINGERPRINT, &second);
    assert_eq!(quarantine.refused().count(), 1);
}

/// A popular prompt runs on engines that crash for another reason.
#[test]
fn a_completed_request_is_no_suspect() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed_on(Time(0), FINGERPRINT, &UpstreamName::new("e1"));
    quarantine.completed(FINGERPRINT);
    quarantine.crashed_on(Time(9_000), FINGERPRINT, &UpstreamName::new("e2"));
    assert_eq!(quarantine.refused().count(), 0);
}

#[test]
fn a_daemon_accepts_a_request_again_once_its_owner_does() {
    let mut quarantine = Quarantine::new();
    let mut refused = RefusedFingerprints::new();
    quarantine.crashed(Time(0), FINGERPRINT);
    quarantine.crashed(Time(0), FINGERPRINT);
    let step = Millis(300);
    let mut now = Time(0);
    while now < Time(0) + REFUSAL_DURATION {
        quarantine.tick(now);
        notify(&quarantine, now, &mut refused);
        refused.tick(now);
        assert_eq!(refused.iter().count(), 1, "{now:?}");
        now = now + step;
    }
    let over = now + REFUSAL_NOTICE_LIFETIME + step;
    quarantine.tick(over);
    notify(&quarantine, over, &mut refused);
    assert!(refused.tick(over));
    assert_eq!(refused.iter().count(), 0);
}

#[test]
fn a_crashing_request_stays_refused_for_a_time_after_its_owner_is_lost() {
    let mut refused = RefusedFingerprints::new();
    refused.renew(Time(0), FINGERPRINT);
    assert!(!refused.tick(Time(0) + REFUSAL_NOTICE_LIFETIME - Millis(1)));
    assert!(refused.tick(Time(0) + REFUSAL_NOTICE_LIFETIME));
}
