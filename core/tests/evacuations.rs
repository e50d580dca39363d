//! Which failure domains are evacuated.

use magnoliawinch::evacuations::Evacuations;
use magnoliawinch::names::FailureDomain;
use magnoliawinch::store_position::StorePosition;
use magnoliawinch::time::Time;

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name)
}

fn at(era: u64, offset: u64) -> StorePosition {
    StorePosition { era, offset }
}

fn known(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.domains().map(FailureDomain::as_str).collect()
}

/// Guards against an evacuation that comes back with an older message, and against one that stays.
#[test]
fn the_newest_word_counts() {
    let mut own = Evacuations::new();
    assert!(own.apply(at(1, 5), [(domain("a"), true)]));
    assert!(!own.apply(at(1, 6), [(domain("a"), true)]), "no change");
    assert!(own.apply(at(1, 9), [(domain("a"), false), (domain("b"), true)]));
    assert!(!own.learn(at(1, 5), [domain("a")]), "older");
    assert_eq!(known(&own), ["b"]);
    assert!(own.learn(at(1, 12), []));
    assert!(known(&own).is_empty());
}

/// Guards against using a failure domain again because the store returned from a copy that is older than its
/// evacuation, and against keeping it evacuated for ever.
#[test]
fn an_evacuation_survives_a_copy_of_the_store_for_a_while() {
    let mut own = Evacuations::new();
    own.apply(at(1, 50), [(domain("a"), true), (domain("b"), true)]);
    own.replace(Time(1_000), at(2, 40), &[domain("b")].into());
    assert_eq!(known(&own), ["a", "b"]);
    own.apply(at(2, 41), [(domain("a"), true)]);
    assert!(!own.tick(Time(60_000)), "written again");
    own.replace(Time(61_000), at(3, 30), &[].into());
    assert!(!own.tick(Time(62_000)));
    assert!(own.tick(Time(80_000)));
    assert!(known(&own).is_empty());
    let mut peer = Evacuations::new();
    assert!(!peer.learn(own.position(), []));
}
