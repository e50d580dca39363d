//! Facts about leaving upstreams are passed on for a short time and in a bounded number.

use magnoliawinch::leaving_news::LeavingNews;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::Time;
use magnoliawinch::upstreams::LeavingNotice;

/// Guards against facts that circulate for ever, and against messages without a bound.
#[test]
fn facts_are_passed_on_briefly_and_the_newest_first_of_all() {
    let mut news = LeavingNews::new();
    for incarnation in 0..1_000 {
        let upstream = UpstreamName::new("e1");
        news.record(Time(incarnation), LeavingNotice { upstream, incarnation });
    }
    let recent: Vec<_> = news.recent(Time(1_000)).map(|fact| fact.incarnation).collect();
    assert_eq!(recent, (872..1_000).collect::<Vec<_>>());
    assert_eq!(news.recent(Time(3_900)).count(), 99);
    assert_eq!(news.recent(Time(4_000)).count(), 0);
}
