//! Which parts of prompts are refused because engines end on them.

use magnoliawinch::fatal_parts::{Blame, EngineEnd, FatalParts, PartNews, Suspect, Trials};
use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::prompt_parts::{MAX_PARTS, PartId};
use magnoliawinch::time::{Millis, Time};

const COMMON: u64 = 1;
const RARE: u64 = 2;
const FATAL: u64 = 3;
const OTHER: u64 = 4;

fn suspect(parts: &[u64], has_begun: bool) -> Suspect {
    Suspect { parts: parts.iter().copied().map(PartId).collect(), has_begun }
}

fn end(name: &str, at: u64, suspects: &[&[u64]]) -> EngineEnd {
    let suspects = suspects.iter().map(|parts| suspect(parts, true)).collect();
    EngineEnd { upstream: UpstreamName::new(name), born: 1, at: Time(at), suspects }
}

fn with_ends(ends: &[EngineEnd]) -> FatalParts {
    let mut parts = FatalParts::new();
    for end in ends {
        assert!(parts.record_end(end.at, end));
    }
    parts
}

fn blamed(parts: &FatalParts, now: u64) -> Vec<u64> {
    parts.blamed(Time(now)).iter().map(|blame| blame.part.0).collect()
}

/// Guards against needing a fifth engine, and against refusing what the culprit shares with others.
#[test]
fn a_part_is_refused_after_the_second_end_and_what_survives_is_not() {
    let mut parts = with_ends(&[end("e1", 1_000, &[&[COMMON, FATAL], &[COMMON, OTHER]])]);
    assert!(blamed(&parts, 1_000).is_empty(), "one end may have any cause");
    parts.record_survival(Time(1_900), PartId(COMMON), Time(1_300));
    parts.record_end(Time(2_500), &end("e2", 2_500, &[&[COMMON, FATAL]]));
    assert_eq!(blamed(&parts, 2_500), [FATAL]);
}

/// Guards against refusing all of an organisation while nothing has outlived its start yet: the most
/// specific part goes first, and the next one only if that is found sound.
#[test]
fn of_parts_that_come_together_only_the_last_is_refused() {
    let suspects: &[&[u64]] = &[&[COMMON, RARE, FATAL], &[COMMON]];
    let mut parts = with_ends(&[end("e1", 1_000, suspects), end("e2", 3_000, suspects)]);
    assert_eq!(blamed(&parts, 3_000), [FATAL]);
    parts.record_survival(Time(4_000), PartId(FATAL), Time(3_400));
    assert_eq!(blamed(&parts, 4_000), [RARE]);
    // Ends under the less specific part with others show that it is the cause.
    parts.record_end(Time(5_000), &end("e3", 5_000, &[&[COMMON, RARE, OTHER]]));
    assert_eq!(blamed(&parts, 5_000), [RARE]);
}

/// Guards against refusing what runs everywhere when a rack or a failure domain is lost.
#[test]
fn engines_that_end_in_one_moment_count_once() {
    let names: Vec<_> = (0..40).map(|n| format!("e{n}")).collect();
    let ends: Vec<_> =
        names.iter().zip(1_000..).map(|(name, at)| end(name, at, &[&[COMMON]])).collect();
    assert!(blamed(&with_ends(&ends), 1_100).is_empty());
}

/// Guards against a culprit whose responses never begin, as those that are sent whole.
#[test]
fn runs_of_which_nothing_had_arrived_weigh_half() {
    let mut parts = FatalParts::new();
    for (n, at) in [1_000, 3_000, 5_000, 7_000].into_iter().enumerate() {
        assert!(blamed(&parts, at).is_empty(), "{n} ends");
        let end = EngineEnd {
            suspects: vec![suspect(&[FATAL], false)],
            ..end(&format!("e{n}"), at, &[])
        };
        parts.record_end(Time(at), &end);
    }
    assert_eq!(blamed(&parts, 7_000), [FATAL]);
}

/// Guards against counting one end for each host that reports it, and against a survivor that began
/// before the end.
#[test]
fn reports_of_one_end_are_merged() {
    let mut parts = with_ends(&[end("e1", 1_000, &[&[FATAL]])]);
    assert!(!parts.record_end(Time(1_010), &end("e1", 1_010, &[&[FATAL]])), "no news");
    assert!(parts.record_end(Time(2_500), &end("e1", 2_500, &[&[FATAL, OTHER]])));
    assert!(blamed(&parts, 2_500).is_empty());
    assert!(!parts.record_survival(Time(1_600), PartId(FATAL), Time(900)));
    parts.record_end(Time(3_000), &end("e2", 3_000, &[&[FATAL]]));
    assert_eq!(blamed(&parts, 3_000), [FATAL]);
}

/// Guards against hosts that disagree, however news reaches them, and against messages that grow.
#[test]
fn hosts_that_have_heard_the_same_refuse_the_same() {
    let wide: Vec<u64> = (100..100 + MAX_PARTS as u64).collect();
    let all: Vec<_> = (0..200)
        .map(|n| end(&format!("e{n}"), 1_000 + n * 2_000, &[&[COMMON, FATAL], &wide]))
        .collect();
    let now = Time(500_000);
    let mut told = FatalParts::new();
    for news in with_ends(&all).news(now) {
        if let PartNews::Ended(end) = news {
            told.record_end(now, &end);
        }
    }
    assert!(blamed(&told, now.0).contains(&FATAL));
    let size: usize = told
        .news(now)
        .iter()
        .map(|news| match news {
            PartNews::Ended(end) => end.suspects.iter().map(|s| s.parts.len()).sum(),
            PartNews::Survived(..) => 1,
        })
        .sum();
    assert!(size <= 256, "{size} parts in a message");
}

/// Guards against refusing a part for good, and against trying it on many engines at once: one host
/// at a time tries one request.
#[test]
fn a_refused_part_is_tried_again_one_request_at_a_time() {
    let ends = [end("e1", 1_000, &[&[FATAL]]), end("e2", 3_000, &[&[FATAL]])];
    let Blame { until, .. } = with_ends(&ends).blamed(Time(3_000))[0];
    let hosts = ["h1", "h2", "h3"];
    let mut trials = hosts.map(|_| Trials::new());
    let mut tried = Vec::new();
    for at in (3_000..until.0 + 5_000).step_by(50) {
        for (n, host) in hosts.into_iter().enumerate() {
            let run = RunId::new(&format!("{host}-{at}"));
            let wait = trials[n].wait(Time(at), PartId(FATAL), until, &run, host, hosts);
            if wait.is_none() {
                assert!(Time(at) >= until);
                tried.push(run.clone());
                // The same request may go on.
                let again = trials[n].wait(Time(at), PartId(FATAL), until, &run, host, hosts);
                assert_eq!(again, None);
            }
        }
    }
    assert_eq!(tried.len(), 1, "{tried:?}");
    let wait = trials[0].wait(until - Millis(7), PartId(FATAL), until, &tried[0], "h1", hosts);
    assert_eq!(wait, Some(Millis(7)));
}

/// Guards against an engine each few seconds for as long as the culprit comes.
#[test]
fn further_ends_are_followed_by_longer_refusals() {
    let mut parts = FatalParts::new();
    let mut now = 0;
    let mut waits = Vec::new();
    for n in 0..5 {
        now += 2_000;
        parts.record_end(Time(now), &end(&format!("e{n}"), now, &[&[FATAL]]));
        waits.extend(parts.blamed(Time(now)).iter().map(|blame| blame.until.since(Time(now)).0));
    }
    assert_eq!(waits, [10_000, 60_000, 600_000, 600_000]);
    parts.tick(Time(2_000_000));
    assert!(parts.is_empty());
}
