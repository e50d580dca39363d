//! Prompts beside running streams, on engines of uneven speed with slow moments.

#[allow(dead_code, reason = "only part of the fixture is used here")]
#[path = "fixtures/pools.rs"]
mod pools;

use magnoliawinch::names::{HostName, UpstreamName};
use magnoliawinch::pool::{
    EngineSlowdown, MoveMethod, Placement, PlacementDecision, PlacementRequest, Pool, Report,
    RunMove, RunState,
};
use magnoliawinch::time::{Millis, Time};
use pools::{placed, pool, request, state};

const MAX_PAUSE: Option<Millis> = Some(Millis(180));

/// Figures of a fast engine and of a slow one, in hundredths of the usual time.
const FAST: u32 = 55;
const SLOW: u32 = 120;

/// The same of a slow engine in a slow moment.
const SLOW_MOMENT: u32 = 300;

fn report_figures(pool: &mut Pool, now: Time, figures: &[(&str, u32)]) {
    let slowdowns: Vec<_> = figures
        .iter()
        .map(|(engine, percent)| EngineSlowdown {
            engine: UpstreamName::new(engine),
            percent: *percent,
            age: Millis(0),
        })
        .collect();
    let report = Report { slowdowns: &slowdowns, ..Report::default() };
    pool.report(now, &HostName::new("edge-9"), &report);
}

/// A pool of a fast engine `f` and slow engines `s1` and `s2` that has seen slow moments.
fn uneven_pool(keeps_pauses: bool) -> Pool {
    let mut pool = pool(&[("f", "a"), ("s1", "a"), ("s2", "a")]).with_pauses_kept(keeps_pauses);
    for n in 0..20 {
        let slow = if n % 5 == 4 { SLOW_MOMENT } else { SLOW };
        report_figures(&mut pool, Time(10 * n), &[("f", FAST), ("s1", slow), ("s2", SLOW)]);
    }
    pool
}

fn stream(run: &str) -> PlacementRequest {
    PlacementRequest { max_pause: MAX_PAUSE, ..request(run, 3_000) }
}

fn stream_state(run: &str, engine: &str, backup: Option<&str>, written: u32) -> RunState {
    let backup = backup.map(UpstreamName::new);
    let placement = Placement { backup, ..Placement::new(UpstreamName::new(engine)) };
    RunState { max_pause: MAX_PAUSE, ..state(run, &placement, 3_000, written) }
}

fn report_runs(pool: &mut Pool, now: Time, runs: &[RunState]) {
    pool.report(now, &HostName::new("edge-1"), &Report { runs, ..Report::default() });
}

/// A stream at a slow engine is made late by a prompt in a slow moment, one at a fast engine is not.
#[test]
fn prompts_go_where_they_make_no_stream_late() {
    let mut pool = uneven_pool(true);
    let streams = [stream_state("at-f", "f", None, 20), stream_state("at-s1", "s1", None, 20)];
    report_runs(&mut pool, Time(1_000), &streams);
    for n in 0..3 {
        let placement = placed(pool.place(Time(1_000 + n), stream(&format!("r{n}"))));
        assert_ne!(placement.engine.as_str(), "s1", "run {n}");
    }
}

/// Under load, when every engine that bears prompts is full, a prompt goes beside streams rather than
/// being late, and its holder learns up to which slowdown of the machine it may send it.
#[test]
fn a_prompt_goes_beside_streams_if_it_would_be_late_otherwise() {
    let mut pool = uneven_pool(true);
    let at_s1 = stream_state("at-s1", "s1", None, 20);
    let others: Vec<_> = (0..9)
        .flat_map(|n| {
            ["f", "s2"].map(|engine| stream_state(&format!("{engine}-{n}"), engine, None, 20))
        })
        .collect();
    let streams = [vec![at_s1], others].concat();
    report_runs(&mut pool, Time(1_000), &streams);
    let patient = PlacementRequest { first_event_deadline: Time(4_000), ..stream("patient") };
    assert_eq!(pool.place(Time(1_000), patient), PlacementDecision::Queued);
    let urgent = PlacementRequest { first_event_deadline: Time(1_900), ..stream("urgent") };
    let placement = placed(pool.place(Time(1_000), PlacementRequest { priority: 0, ..urgent }));
    assert_eq!(placement.engine.as_str(), "s1");
    // 180 ms for four steps of 15.5 ms.
    assert_eq!(placement.max_slowdown_percent, Some(290));
}

/// The holder has found the machine of the assigned engine slow and asks again.
#[test]
fn a_prompt_that_was_not_sent_is_no_backlog() {
    let mut pool = uneven_pool(true);
    let first = placed(pool.place(Time(1_000), stream("r"))).engine;
    for n in 0..10 {
        let again = PlacementRequest { avoid: vec![first.clone()], ..stream("r") };
        let other = placed(pool.place(Time(1_001 + n), again)).engine;
        let back = PlacementRequest { avoid: vec![other], ..stream("r") };
        assert_eq!(placed(pool.place(Time(1_002 + n), back)).engine, first, "round {n}");
    }
}

/// Without the setting, and in a pool whose daemons report no figures, runs are placed as before.
#[test]
fn figures_change_nothing_unless_asked_for() {
    let engines = [("f", "a"), ("s1", "a"), ("s2", "a")];
    let place = |mut pool: Pool| -> Vec<_> {
        (0..12).map(|n| pool.place(Time(1_000 + 100 * n), stream(&format!("r{n}")))).collect()
    };
    let before = place(pool(&engines));
    assert_eq!(place(uneven_pool(false)), before);
    assert_eq!(place(pool(&engines).with_pauses_kept(true)), before);
    // Many streams at one engine, and a backlog of prompts at the other.
    let engines = [("s1", "a"), ("s2", "a")];
    let s1 = Placement::new(UpstreamName::new("s1"));
    let streams: Vec<_> = (0..12)
        .map(|n| RunState { max_pause: MAX_PAUSE, ..state(&format!("at-s1-{n}"), &s1, 1_000, 20) })
        .collect();
    let beside = |mut pool: Pool| {
        report_runs(&mut pool, Time(900), &streams);
        let avoid = vec![s1.engine.clone()];
        placed(pool.place(Time(1_000), PlacementRequest { avoid, ..request("backlog", 2_500) }));
        placed(pool.place(Time(1_000), stream("r"))).engine
    };
    assert_eq!(beside(pool(&engines).with_pauses_kept(true)), beside(pool(&engines)));
}

/// A pool with a stream on slow engine `s1`, whose backup at fast engine `f` is up to date at 2 s.
fn pool_with_copied_run(per_placement: f64, per_second: f64) -> Pool {
    let mut pool = uneven_pool(true).with_handoffs(per_placement, per_second);
    for ms in [1_000, 1_300] {
        report_runs(&mut pool, Time(ms), &[stream_state("r", "s1", Some("f"), 40)]);
    }
    pool
}

/// A prompt was read at a slow engine; the run leaves it to other prompts.
#[test]
fn a_run_is_handed_to_an_engine_that_bears_prompts() {
    let mut pool = pool_with_copied_run(0.0, 10.0);
    // The prompt is not copied yet.
    assert_eq!(pool.plan_handoffs(Time(1_100)), []);
    let orders = pool.plan_handoffs(Time(2_000));
    let [RunMove { from, to, way: MoveMethod::Backup, .. }] = orders.as_slice() else {
        panic!("{orders:?}");
    };
    assert_eq!((from.as_str(), to.as_str()), ("s1", "f"));
    assert_eq!(pool.plan_handoffs(Time(2_010)), []);
}

/// Hand-offs count as repeated requests: beyond their limit runs stay.
#[test]
fn hand_offs_are_limited() {
    let mut pool = pool_with_copied_run(0.0, 0.0);
    assert_eq!(pool.plan_handoffs(Time(2_000)), []);
    let mut pool = uneven_pool(true).with_handoffs(0.0, 2.0);
    let runs: Vec<_> =
        (0..9).map(|n| stream_state(&format!("r{n}"), "s1", Some("f"), 40)).collect();
    for ms in [500, 600] {
        report_runs(&mut pool, Time(ms), &runs);
    }
    assert_eq!(pool.plan_handoffs(Time(600)), []);
    let mut ordered = 0;
    for ms in (1_000..=3_500).step_by(10) {
        ordered += pool.plan_handoffs(Time(ms)).len();
    }
    assert_eq!(ordered, 7);
}

/// The engine with the copy starts to leave, or the copy is lost, while the run waits for its hand-off.
#[test]
fn a_run_stays_if_its_copy_is_gone() {
    let mut pool = pool_with_copied_run(0.0, 10.0);
    pool.drain_engine(Time(1_400), &UpstreamName::new("f"));
    let engines = ["f", "s1", "s2"].map(|name| pools::listed(name, "a"));
    pool.set_engines(engines.iter().map(|l| (l, l.name.as_str() != "f")));
    assert_eq!(pool.plan_handoffs(Time(2_000)), []);
    let mut pool = pool_with_copied_run(0.0, 10.0);
    report_runs(&mut pool, Time(1_900), &[stream_state("r", "s1", None, 60)]);
    assert_eq!(pool.plan_handoffs(Time(2_000)), []);
}

/// The order gets lost, or the engine with the copy refuses the run.
#[test]
fn a_failed_hand_off_leaves_the_run_where_it_is() {
    let mut pool = pool_with_copied_run(0.0, 10.0);
    assert_eq!(pool.plan_handoffs(Time(2_000)).len(), 1);
    let without_copy = stream_state("r", "s1", None, 80);
    report_runs(&mut pool, Time(2_300), std::slice::from_ref(&without_copy));
    assert_eq!(pool.take_failed_moves().moves.len(), 1);
    report_runs(&mut pool, Time(2_600), &[without_copy]);
    assert_eq!(pool.plan_handoffs(Time(2_600)), []);
    assert_eq!(pool.running(), 1);
}
