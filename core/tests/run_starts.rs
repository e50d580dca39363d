//! Which runs may be the cause of their upstream's end, and which are cleared.

use magnoliawinch::names::{RunId, UpstreamName};
use magnoliawinch::prompt_parts::{PartId, PromptParts};
use magnoliawinch::run_starts::RunStarts;
use magnoliawinch::time::Time;

const BORN: u64 = 7;

fn run(name: &str) -> RunId {
    RunId::new(name)
}

fn engine() -> UpstreamName {
    UpstreamName::new("e1")
}

fn parts(ids: &[u64]) -> PromptParts {
    ids.iter().map(|id| PartId(*id)).collect()
}

fn sent_and_begun(starts: &mut RunStarts, name: &str, begun_at: u64) {
    starts.sent(&run(name), &engine(), BORN, &parts(&[1, begun_at]));
    starts.begun(Time(begun_at), &run(name), &engine());
}

fn suspects(starts: &mut RunStarts, at: u64) -> Vec<String> {
    let suspects = starts.take_suspects(Time(at), &engine(), BORN);
    suspects.iter().map(|suspect| suspect.run.to_string()).collect()
}

/// Guards against blaming runs that had been written for seconds when their engine ended.
#[test]
fn only_runs_that_have_just_begun_or_not_begun_are_suspects() {
    let mut starts = RunStarts::new();
    sent_and_begun(&mut starts, "old", 1_000);
    sent_and_begun(&mut starts, "new", 4_900);
    starts.sent(&run("queued"), &engine(), BORN, &parts(&[1]));
    starts.sent(&run("elsewhere"), &UpstreamName::new("e2"), BORN, &parts(&[1]));
    starts.sent(&run("rejected"), &engine(), BORN, &parts(&[1]));
    starts.not_run(&run("rejected"), &engine());
    assert_eq!(suspects(&mut starts, 5_000), ["new", "queued"]);
    assert!(suspects(&mut starts, 5_000).is_empty(), "each is reported once");
}

/// Guards against losing the cause when its own stream ends before its engine is known to have
/// ended, also when it continues at another engine at once.
#[test]
fn a_run_that_broke_off_or_went_on_elsewhere_stays_a_suspect() {
    let mut starts = RunStarts::new();
    sent_and_begun(&mut starts, "cut", 1_000);
    starts.broke(Time(1_100), &run("cut"), &engine());
    sent_and_begun(&mut starts, "moved", 1_050);
    starts.broke(Time(1_110), &run("moved"), &engine());
    starts.sent(&run("moved"), &UpstreamName::new("e2"), BORN, &parts(&[1]));
    assert_eq!(suspects(&mut starts, 1_120), ["cut", "moved"]);
}

/// Guards against clearing a part by a run that completed just before its engine ended.
#[test]
fn a_run_that_completed_just_before_the_end_is_a_suspect_and_no_survivor() {
    let mut starts = RunStarts::new();
    sent_and_begun(&mut starts, "short", 1_000);
    starts.completed(Time(1_060), &run("short"), &engine());
    assert!(starts.take_survivors(Time(1_100)).is_empty());
    assert_eq!(suspects(&mut starts, 1_120), ["short"]);
    assert!(starts.take_survivors(Time(9_000)).is_empty());
}

/// Guards against parts that are never cleared: runs that outlive their start, completed or not.
#[test]
fn runs_that_outlive_their_start_are_survivors() {
    let mut starts = RunStarts::new();
    sent_and_begun(&mut starts, "long", 1_000);
    starts.progressed(Time(1_400), &run("long"), &engine());
    assert!(starts.take_survivors(Time(1_400)).is_empty(), "it has just begun");
    starts.progressed(Time(1_600), &run("long"), &engine());
    sent_and_begun(&mut starts, "short", 1_500);
    starts.completed(Time(1_550), &run("short"), &engine());
    let begun: Vec<_> =
        starts.take_survivors(Time(2_500)).iter().map(|survivor| survivor.begun_at).collect();
    assert_eq!(begun, [Time(1_000), Time(1_500)]);
    starts.progressed(Time(3_000), &run("long"), &engine());
    assert!(starts.take_survivors(Time(4_000)).is_empty(), "each is reported once");
}

/// Guards against clearing a part by a run whose response broke off.
#[test]
fn a_run_that_broke_off_is_no_survivor() {
    let mut starts = RunStarts::new();
    sent_and_begun(&mut starts, "cut", 1_000);
    starts.broke(Time(1_100), &run("cut"), &engine());
    assert!(starts.take_survivors(Time(60_000)).is_empty());
    assert!(suspects(&mut starts, 60_000).is_empty(), "it is forgotten");
}

/// Guards against keeping runs for ever whose callers have left before the response began.
#[test]
fn runs_that_nobody_waits_for_are_forgotten() {
    let mut starts = RunStarts::new();
    starts.sent(&run("r1"), &engine(), BORN, &parts(&[1]));
    starts.sent(&run("r1"), &UpstreamName::new("e2"), BORN, &parts(&[1]));
    starts.sent(&run("r2"), &engine(), BORN, &parts(&[1]));
    starts.dropped(Time(1_000), &run("r1"));
    assert_eq!(suspects(&mut starts, 1_100), ["r1", "r2"]);
    starts.dropped(Time(1_200), &run("r1"));
    starts.take_survivors(Time(60_000));
    assert!(starts.take_suspects(Time(60_000), &UpstreamName::new("e2"), BORN).is_empty());
}
