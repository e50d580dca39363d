//! Moves off many leaving engines at a time: one copy over each link, and none behind a target that
//! does not respond.

#[allow(dead_code, reason = "only some of it is needed here")]
#[path = "fixtures/pools.rs"]
mod pools;

use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::{HostName, ServiceName, UpstreamName};
use magnoliawinch::pool::{MoveMethod, Placement, Pool, Report, RunMove, RunState};
use magnoliawinch::time::{Millis, Time};
use pools::{config, listed, state};
use std::collections::HashMap;

const PROMPT_TOKENS: u32 = 3_000;

/// Time for the calls around a copy, for the final one, and until its holder's report.
const CALLS: Millis = Millis(50);

fn engine(number: usize) -> UpstreamName {
    UpstreamName::new(&format!("e{number}"))
}

fn at(run: &str, engine: UpstreamName) -> RunState {
    state(run, &Placement::new(engine), PROMPT_TOKENS, 400)
}

fn report(pool: &mut Pool, now: Time, runs: &[RunState]) {
    pool.report(now, &HostName::new("edge-1"), &Report { runs, ..Report::default() });
}

/// A pool of engines `e0` to `e{engines}` without runs.
fn pool(engines: usize) -> (Pool, Vec<ListedUpstream>) {
    let listed: Vec<_> = (0..engines).map(|n| listed(engine(n).as_str(), "a")).collect();
    let mut pool = Pool::new(ServiceName::new("guide"), config());
    pool.set_engines(listed.iter().map(|listed| (listed, true)));
    (pool, listed)
}

/// Marks the engines in `leaving` as leaving.
fn drain(pool: &mut Pool, now: Time, engines: &[ListedUpstream], leaving: &[UpstreamName]) {
    pool.set_engines(engines.iter().map(|listed| (listed, !leaving.contains(&listed.name))));
    leaving.iter().for_each(|name| pool.drain_engine(now, name));
}

/// Carries out one move: the engines that its copy uses, when that ends, and whether it has.
struct Copy {
    order: RunMove,
    ends_at: Time,
}

/// A sixth of the engines leaves every 3.3 s with a notice of 2 s, in which the link of an engine carries
/// eight runs. Each has up to eight, and the others have room for all but four of them. Copies were
/// ordered when those before should have ended, so that the final copies of stopped runs waited behind
/// the first copies of others.
#[test]
fn runs_leave_in_time_and_one_at_a_time_over_each_link() {
    const ENGINES: usize = 24;
    const LEAVING: usize = 4;
    /// An engine takes eight of them before it is nine tenths full.
    const RUNS: usize = (ENGINES - LEAVING) * 8 - 4;
    const NOTICE: Millis = Millis(2_000);
    const PERIOD: Millis = Millis(3_300);
    let (mut pool, engines) = pool(ENGINES);
    let mut runs: Vec<RunState> =
        (0..RUNS).map(|run| at(&format!("r{run}"), engine(run % ENGINES))).collect();
    let Millis(copy) = config().copy_time(u64::from(PROMPT_TOKENS) + 400);
    let mut copies: Vec<Copy> = Vec::new();
    for wave in 0..3 {
        let start = Time(1_000 + wave as u64 * PERIOD.0);
        report(&mut pool, start, &runs);
        let leaving: Vec<_> = (0..LEAVING).map(|n| engine(wave * LEAVING + n)).collect();
        drain(&mut pool, start, &engines, &leaving);
        let had_notice = runs.iter().filter(|run| leaving.contains(&run.engine)).count();
        let mut first_order: HashMap<UpstreamName, Time> = HashMap::new();
        for now in (0..NOTICE.0).step_by(10).map(|ms| start + Millis(ms)) {
            let ended: Vec<_> = copies.extract_if(.., |copy| copy.ends_at <= now).collect();
            for Copy { order, .. } in &ended {
                let run =
                    runs.iter_mut().find(|run| run.run == order.run).expect("the run is held");
                run.engine.clone_from(&order.to);
                run.moving_to = None;
            }
            if !ended.is_empty() {
                report(&mut pool, now, &runs);
            }
            for order in pool.plan_moves(now, None) {
                assert_eq!(order.way, MoveMethod::Copy);
                let uses = |name: &UpstreamName| {
                    copies.iter().any(|c| c.order.from == *name || c.order.to == *name)
                };
                assert!(!uses(&order.from) && !uses(&order.to), "{order:?} behind another copy");
                first_order.entry(order.from.clone()).or_insert(now);
                let run =
                    runs.iter_mut().find(|run| run.run == order.run).expect("the run is held");
                run.moving_to = Some(order.to.clone());
                copies.push(Copy { order, ends_at: now + Millis(copy) + CALLS });
            }
        }
        let lost = runs.iter().filter(|run| leaving.contains(&run.engine)).count();
        assert!(lost * 20 <= had_notice, "{lost} of {had_notice} runs are still there");
        assert_eq!(first_order.len(), LEAVING);
        assert!(first_order.values().all(|at| at.since(start) < Millis(1_000)));
        pool.set_engines(engines.iter().map(|listed| (listed, true)));
    }
}

/// Two engines leave and one has room. The second copy waits until the holder of the first reports that
/// all is copied, however long that takes, unless it takes far too long.
#[test]
fn two_leaving_engines_share_a_target_by_turns() {
    let (mut pool, engines) = pool(3);
    let runs = [at("r0", engine(0)), at("r1", engine(1))];
    report(&mut pool, Time(1_000), &runs);
    drain(&mut pool, Time(1_000), &engines, &[engine(0), engine(1)]);
    let first = pool.plan_moves(Time(1_000), None);
    let [RunMove { run, to, .. }] = &first[..] else {
        panic!("{first:?}");
    };
    let moving = |is_copied| {
        runs.clone().map(|state| match state.run == *run {
            true => RunState { moving_to: Some(to.clone()), is_copied, ..state },
            false => state,
        })
    };
    let Millis(copy) = config().copy_time(3_400);
    for ms in (10..2 * copy).step_by(10) {
        let now = Time(1_000 + ms);
        report(&mut pool, now, &moving(false));
        assert_eq!(pool.plan_moves(now, None), []);
    }
    let mut silent = pool.clone();
    let late = Time(1_000 + 4 * (copy + 30));
    report(&mut silent, late, &moving(false));
    assert_eq!(silent.plan_moves(late, None).len(), 1);
    let now = Time(1_000 + 2 * copy);
    report(&mut pool, now, &moving(true));
    assert_eq!(pool.plan_moves(now, None).len(), 1);
}

/// The owner is lost after its orders. The new one knows them from the holders' reports only, and
/// ordered copies over the links that they use.
#[test]
fn a_new_owner_keeps_links_of_copies_in_progress() {
    let (mut pool, engines) = pool(3);
    let moving =
        |is_copied| RunState { moving_to: Some(engine(2)), is_copied, ..at("r0", engine(0)) };
    let waiting = [at("r1", engine(0)), at("r2", engine(1))];
    let all = |is_copied| [vec![moving(is_copied)], waiting.to_vec()].concat();
    report(&mut pool, Time(1_000), &all(false));
    drain(&mut pool, Time(1_000), &engines, &[engine(0), engine(1)]);
    assert_eq!(pool.plan_moves(Time(1_000), None), []);
    report(&mut pool, Time(1_200), &all(false));
    assert_eq!(pool.plan_moves(Time(1_200), None), []);
    report(&mut pool, Time(1_250), &all(true));
    assert_eq!(pool.plan_moves(Time(1_250), None).len(), 1);
}

/// A target has ended and its entry is still listed, as the store is down: each run in turn was ordered
/// there and waited for its connection.
#[test]
fn a_target_that_does_not_respond_is_the_last_choice_for_all_runs() {
    let (mut pool, engines) = pool(3);
    let mut runs: Vec<_> = (0..4).map(|run| at(&format!("r{run}"), engine(0))).collect();
    // The empty engine is preferred.
    runs.push(at("other", engine(2)));
    report(&mut pool, Time(1_000), &runs);
    drain(&mut pool, Time(1_000), &engines, &[engine(0)]);
    let mut ordered_to_lost = 0;
    let mut now = Time(1_000);
    for _ in 0..8 {
        let Some(order) = pool.plan_moves(now, None).pop() else {
            break;
        };
        now = now + Millis(300);
        let index = runs.iter().position(|run| run.run == order.run).expect("the run is held");
        if order.to == engine(1) {
            ordered_to_lost += 1;
            runs[index].refused = vec![order.to];
        } else {
            runs[index].engine = order.to;
        }
        report(&mut pool, now, &runs);
    }
    assert!(runs.iter().all(|run| run.engine == engine(2)), "{runs:?}");
    assert!(ordered_to_lost <= 2, "{ordered_to_lost}");
}
