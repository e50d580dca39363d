//! When a run is stopped for the final copy of its memory, and what happens if the target ends.

use magnoliawinch::handover::{Action, CopyOutcome, Handover, ResumeOutcome, Stop};
use magnoliawinch::pool::MoveMethod;
use magnoliawinch::time::{Millis, Time};

const START: Time = Time(1_000);

/// Longest pause that the caller allows.
const MAX_PAUSE: Millis = Millis(180);

/// A run at engine 0 that was ordered to be copied to engine 2.
fn ordered() -> Handover<u8> {
    let handover = Handover::new(START, 0, None, Millis(2_000), Time(60_000));
    let mut handover = handover.with_max_pause(Some(MAX_PAUSE));
    handover.on_order(true, 2, MoveMethod::Copy);
    handover
}

/// Has the next copy take `duration`; returns whether it is final.
fn copy(handover: &mut Handover<u8>, now: &mut Time, duration: Millis) -> bool {
    let action = handover.next_action(*now);
    let Some(Action::StartCopy { to: 2, is_final }) = action else {
        panic!("{action:?}");
    };
    *now = *now + duration;
    handover.on_data(*now, true);
    handover.on_copy(*now, CopyOutcome::Copied { handle: "h".to_owned() });
    is_final
}

/// Which of the copies that take `durations` are final.
fn rounds(durations: &[u64]) -> Vec<bool> {
    let (mut handover, mut now) = (ordered(), START);
    durations.iter().map(|ms| copy(&mut handover, &mut now, Millis(*ms))).collect()
}

/// A first copy takes long, much is new after it, and other copies have come to the link meanwhile: a
/// stopped run would wait behind them for longer than its caller allows.
#[test]
fn a_run_stops_only_after_a_short_copy() {
    assert_eq!(rounds(&[20, 10]), [false, true]);
    assert_eq!(rounds(&[400, 12, 10]), [false, false, true]);
    assert_eq!(rounds(&[400, 180, 12, 10]), [false, false, false, true]);
}

/// The link of a leaving engine stays crowded. The engine stops soon, and a run that has not moved by
/// then is lost.
#[test]
fn a_run_stops_after_some_long_copies() {
    assert_eq!(rounds(&[200, 200, 200, 200, 200]), [false, false, false, false, true]);
    assert_eq!(rounds(&[700, 400, 10]), [false, false, true]);
}

/// Callers of other streams allow any pause.
#[test]
fn without_a_longest_pause_the_second_copy_is_final() {
    let mut handover = Handover::new(START, 0, None, Millis(2_000), Time(60_000));
    handover.on_order(true, 2, MoveMethod::Copy);
    let mut now = START;
    let is_final = [400, 10].map(|ms| copy(&mut handover, &mut now, Millis(ms)));
    assert_eq!(is_final, [false, true]);
}

/// The target ends between two copies, while the run goes on.
#[test]
fn a_target_that_ends_between_copies_is_reported_and_the_run_goes_on() {
    for outcome in [CopyOutcome::NoRoom { kept: None }, CopyOutcome::Unknown] {
        let (mut handover, mut now) = (ordered(), START);
        assert!(!copy(&mut handover, &mut now, Millis(400)));
        let again = Action::StartCopy { to: 2, is_final: false };
        assert_eq!(handover.next_action(now), Some(again));
        handover.on_copy(now, outcome);
        let report = Action::ReportFailedMove { refused_by: Some(2) };
        assert_eq!(handover.next_action(now), Some(report));
        assert_eq!(handover.next_action(now), None);
        assert_eq!((handover.stop(), handover.is_reading()), (Stop::Excluded, true));
        assert!(handover.accepts_orders());
    }
}

/// The target ends after the final copy. The run went on at its source, whose owner did not hear of the
/// target and ordered the run there again.
#[test]
fn a_run_that_returns_to_its_source_reports_the_target() {
    let may_have_run = ResumeOutcome::MayHaveRun { sent_at: START };
    for lost in [ResumeOutcome::NotSent, ResumeOutcome::Refused, may_have_run] {
        let (mut handover, mut now) = (ordered(), START);
        let is_final = [20, 10].map(|ms| copy(&mut handover, &mut now, Millis(ms)));
        assert_eq!(is_final, [false, true]);
        for (engine, outcome) in [(2, lost), (0, ResumeOutcome::Started)] {
            now = now + Millis(60);
            let action = handover.next_action(now);
            assert!(matches!(&action, Some(Action::Resume(point)) if point.engine == engine));
            handover.on_resume(now, outcome);
        }
        let report = Action::ReportFailedMove { refused_by: Some(2) };
        assert_eq!(handover.next_action(now), Some(report));
        assert!(handover.accepts_orders());
    }
}
