//! A daemon's view of the upstreams, and its log of changes.

use magnoliawinch::fleet::{
    Change, ChangeLog, EXPIRY_GRACE, Fleet, ListedUpstream, Missed, Origin,
};
use magnoliawinch::names::{FailureDomain, ServiceName, UpstreamName};
use magnoliawinch::store_position::StorePosition;
use magnoliawinch::time::{Millis, Time};

fn listed(name: &str, born: u64, leaving: bool) -> ListedUpstream {
    ListedUpstream {
        name: UpstreamName::new(name),
        born,
        service: ServiceName::new("guide"),
        address: ([10, 0, 0, 1], 80).into(),
        failure_domain: FailureDomain::new("a"),
        slots: 4,
        leaving,
    }
}

fn at(offset: u64) -> StorePosition {
    StorePosition { era: 1, offset }
}

fn usable(fleet: &Fleet) -> Vec<&str> {
    fleet.usable("guide").map(|listed| listed.name.as_str()).collect()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.replace(
        Time(0),
        at(10),
        &Origin::Store,
        vec![listed("e1", 1, false), listed("e2", 1, false)],
    );
    fleet
}

#[test]
fn a_leaving_upstream_gets_no_new_work_and_is_reported_once() {
    let mut fleet = fleet();
    let leaving =
        fleet.apply(Time(100), at(11), &Origin::Store, [Change::Put(listed("e1", 1, true))]);
    assert_eq!(leaving, [UpstreamName::new("e1")]);
    assert_eq!(usable(&fleet), ["e2"]);
    let again =
        fleet.apply(Time(200), at(12), &Origin::Store, [Change::Put(listed("e1", 1, true))]);
    assert!(again.is_empty());
    let removed =
        fleet.apply(Time(300), at(13), &Origin::Store, [Change::Removed(UpstreamName::new("e1"))]);
    assert!(removed.is_empty());
}

#[test]
fn an_older_list_is_ignored() {
    let mut fleet = fleet();
    fleet.apply(Time(100), at(20), &Origin::Store, [Change::Put(listed("e1", 1, true))]);
    fleet.replace(Time(200), at(15), &Origin::Store, vec![listed("e1", 1, false)]);
    assert_eq!(usable(&fleet), ["e2"]);
    assert_eq!(fleet.position(), at(20));
}

#[test]
fn a_new_incarnation_under_the_old_name_is_usable() {
    let mut fleet = fleet();
    assert!(fleet.mark_leaving(Time(50), &UpstreamName::new("e1"), 1));
    assert!(!fleet.mark_leaving(Time(60), &UpstreamName::new("e1"), 1));
    assert_eq!(usable(&fleet), ["e2"]);
    fleet.apply(Time(100), at(11), &Origin::Store, [Change::Put(listed("e1", 1, false))]);
    assert_eq!(usable(&fleet), ["e2"], "a late entry of the leaving incarnation");
    fleet.apply(Time(200), at(12), &Origin::Store, [Change::Put(listed("e1", 2, false))]);
    assert_eq!(usable(&fleet), ["e1", "e2"]);
}

/// Guards against work for an upstream that has stated that it is leaving: once the store, out of
/// touch for minutes, still lists it, and once the list that names it arrives late.
#[test]
fn a_statement_of_leaving_outlasts_any_list_of_that_incarnation() {
    let mut fleet = fleet();
    fleet.mark_leaving(Time(100), &UpstreamName::new("e1"), 1);
    fleet.tick(Time(300_000));
    assert_eq!(usable(&fleet), ["e2"]);
    assert!(fleet.mark_leaving(Time(300_000), &UpstreamName::new("e3"), 5));
    let all = [("e1", 1), ("e2", 1), ("e3", 5)].map(|(name, born)| listed(name, born, false));
    fleet.replace(Time(300_100), at(11), &Origin::Store, all.to_vec());
    assert_eq!(usable(&fleet), ["e2"]);
    assert!(!fleet.mark_leaving(Time(300_200), &UpstreamName::new("e2"), 0), "an older one");
    assert_eq!(usable(&fleet), ["e2"]);
    fleet.apply(Time(300_300), at(12), &Origin::Store, [Change::Put(listed("e3", 6, false))]);
    assert_eq!(usable(&fleet), ["e2", "e3"]);
}

#[test]
fn entries_that_expired_in_an_outage_stay_usable_for_a_grace_period() {
    let mut fleet = fleet();
    let outage_end = Time(10_000);
    fleet.record_read(outage_end);
    let expired = [Change::Removed(UpstreamName::new("e1"))];
    assert!(fleet.apply(outage_end + Millis(5), at(11), &Origin::Store, expired).is_empty());
    assert_eq!(usable(&fleet), ["e1", "e2"]);
    assert!(fleet.tick(outage_end + Millis(EXPIRY_GRACE.0 / 2)).is_empty());
    let removed = fleet.tick(outage_end + EXPIRY_GRACE + Millis(10));
    assert_eq!(removed, [UpstreamName::new("e1")]);
    assert_eq!(usable(&fleet), ["e2"]);
}

#[test]
fn an_expired_entry_that_is_renewed_stays_usable() {
    let mut fleet = fleet();
    let outage_end = Time(10_000);
    fleet.record_read(outage_end);
    fleet.apply(outage_end, at(11), &Origin::Store, [Change::Removed(UpstreamName::new("e1"))]);
    fleet.apply(
        outage_end + Millis(800),
        at(12),
        &Origin::Store,
        [Change::Put(listed("e1", 1, false))],
    );
    assert!(fleet.tick(outage_end + Millis(60_000)).is_empty());
    assert_eq!(usable(&fleet), ["e1", "e2"]);
}

#[test]
fn a_removal_outside_an_outage_applies_at_once_until_a_new_entry() {
    let mut fleet = fleet();
    let leaving =
        fleet.apply(Time(100), at(11), &Origin::Store, [Change::Removed(UpstreamName::new("e1"))]);
    assert_eq!(leaving, [UpstreamName::new("e1")]);
    fleet.apply(Time(900), at(12), &Origin::Store, [Change::Put(listed("e1", 1, false))]);
    assert_eq!(usable(&fleet), ["e1", "e2"]);
}

#[test]
fn an_unreachable_upstream_is_avoided_briefly() {
    let mut fleet = fleet();
    let name = UpstreamName::new("e1");
    fleet.mark_unreachable(Time(100), &name);
    assert!(fleet.is_unreachable(Time(200), &name));
    assert!(!fleet.is_unreachable(Time(5_000), &name));
    assert!(fleet.is_usable(&name), "it is usable if there is no alternative");
}

/// Many upstreams are replaced while many daemons follow one owner over a slow link, so each must
/// receive only the changes that it missed, not the whole list.
#[test]
fn a_follower_gets_only_the_changes_that_it_missed() {
    let name = UpstreamName::new;
    let mut log = ChangeLog::new(at(10));
    log.record(at(12), [name("e1"), name("e2")]);
    log.record(at(15), [name("e2"), name("e3")]);
    let names = |offset: u64| -> Option<Vec<String>> {
        match log.since(at(offset)) {
            Missed::Nothing => Some(Vec::new()),
            Missed::Changes(names, _) => Some(names.into_iter().map(ToString::to_string).collect()),
            Missed::Unknown => None,
        }
    };
    assert_eq!(names(9), None, "older than the log");
    assert_eq!(names(10).unwrap(), ["e1", "e2", "e3"]);
    assert_eq!(names(12).unwrap(), ["e2", "e3"]);
    assert!(names(15).unwrap().is_empty());
}

#[test]
fn a_full_log_reports_offsets_that_it_no_longer_covers() {
    let mut log = ChangeLog::new(at(0));
    for offset in 1..=600 {
        log.record(at(offset), [UpstreamName::new("e")]);
    }
    assert_eq!(log.since(at(10)), Missed::Unknown);
    assert!(matches!(log.since(at(590)), Missed::Changes(names, _) if names.len() == 1));
}

/// Guards against a follower that drops an upstream for good: it was told that the entry had expired,
/// and has to hear that the same entry is back.
#[test]
fn an_expired_entry_that_is_back_counts_as_changed() {
    let e1 = || listed("e1", 1, false);
    let expired = || {
        let mut fleet = fleet();
        // The list could not be read for a while.
        fleet.record_read(Time(10_000));
        let removed = Change::Removed(UpstreamName::new("e1"));
        fleet.apply(Time(10_100), at(11), &Origin::Store, [removed]);
        assert_eq!(fleet.expiring().count(), 1);
        fleet
    };
    let names = [UpstreamName::new("e1")];
    assert_eq!(fleet().names_changed_by(&[Change::Put(e1())]), []);
    assert_eq!(expired().names_changed_by(&[Change::Put(e1())]), names);
    assert_eq!(expired().names_differing_from(&[e1(), listed("e2", 1, false)]), names);
}

/// Guards against sending the whole list to all followers each time another daemon becomes the reader.
#[test]
fn a_reader_that_had_the_list_from_a_peer_has_no_news_of_entries_that_stay() {
    let at = |offset: u64| StorePosition { era: 0, offset };
    for count in [400, 3_000] {
        let entries: Vec<_> = (0..count).map(|n| listed(&format!("e{n}"), 1, false)).collect();
        let (mut fleet, mut log) = (Fleet::new(), ChangeLog::default());
        log.record_whole(&fleet, at(10), &entries);
        fleet.replace(Time(0), at(10), &Origin::Peer(Vec::new()), entries.clone());
        assert!(!log.record_whole(&fleet, at(11), &entries), "{count} entries");
        fleet.replace(Time(1_000), at(11), &Origin::Store, entries);
        assert_eq!(log.since(at(10)), Missed::Nothing, "{count} entries");
    }
}
