//! Moves of runs off draining engines that fail, get lost or have to wait.

#[path = "fixtures/pools.rs"]
mod pools;

use magnoliawinch::names::{HostName, RunId, ServiceName, UpstreamName};
use magnoliawinch::pool::{
    DrainStatus, MoveFailure, MoveMethod, Placement, Pool, Report, RunMove, RunState,
};
use magnoliawinch::time::{Millis, Time};
use pools::{config, draining_pool, listed, state};

/// A run of `draining_pool` as its holder reports it.
fn at_e1(run: &str) -> RunState {
    let placement = Placement::new(UpstreamName::new("e1"));
    state(run, &placement, 3_000, 20)
}

fn moving(run: &str, to: &UpstreamName) -> RunState {
    RunState { moving_to: Some(to.clone()), ..at_e1(run) }
}

fn refused(run: &str, by: &[&UpstreamName]) -> RunState {
    RunState { refused: by.iter().map(|name| (*name).clone()).collect(), ..at_e1(run) }
}

fn report(pool: &mut Pool, now: u64, runs: &[RunState]) {
    let report = Report { runs, ..Report::default() };
    pool.report(Time(now), &HostName::new("edge-1"), &report);
}

/// The only order given now.
fn order(pool: &mut Pool, now: u64) -> RunMove {
    let mut orders = pool.plan_moves(Time(now), None);
    assert_eq!(orders.len(), 1, "{orders:?}");
    orders.remove(0)
}

fn set_unusable(pool: &mut Pool, unusable: &[&str]) {
    let engines = ["e1", "e2", "e3"].map(|name| listed(name, "a"));
    pool.set_engines(engines.iter().map(|l| (l, !unusable.contains(&l.name.as_str()))));
}

/// A stream is lost with its engine, and nothing says what its move waited for.
#[test]
fn the_status_says_what_runs_on_draining_engines_wait_for() {
    let mut pool = draining_pool(&["r1", "r2"]);
    order(&mut pool, 10);
    let status = DrainStatus { moving: 1, waiting_for_link: 1, ..DrainStatus::default() };
    assert_eq!(pool.drain_status(Time(10)), Some(status));
    set_unusable(&mut pool, &["e1", "e2", "e3"]);
    let oldest_notice = Millis(30);
    let status =
        DrainStatus { moving: 1, without_room: 1, oldest_notice, ..DrainStatus::default() };
    assert_eq!(pool.drain_status(Time(40)), Some(status));
    pool.tick(Time(3_050));
    assert_eq!(pool.drain_status(Time(3_050)), None);
}

/// A move fails and nothing says where or why; with many failures the log would be flooded.
#[test]
fn failed_moves_are_kept_with_their_cause_up_to_a_bound() {
    let mut pool = draining_pool(&["r"]);
    let first = order(&mut pool, 10);
    report(&mut pool, 40, &[refused("r", &[&first.to])]);
    let failed = pool.take_failed_moves();
    assert_eq!((failed.moves.len(), failed.omitted), (1, 0));
    let failed = &failed.moves[0];
    assert_eq!((failed.cause, failed.after), (MoveFailure::Refused, Millis(30)));
    assert_eq!((failed.way, &failed.to), (MoveMethod::Copy, &first.to));
    let mut now = 1_000;
    for _ in 0..20 {
        order(&mut pool, now);
        report(&mut pool, now + 300, &[at_e1("r")]);
        now += 800;
    }
    let failed = pool.take_failed_moves();
    assert_eq!((failed.moves.len(), failed.omitted), (8, 12));
    assert!(failed.moves.iter().all(|failed| failed.cause == MoveFailure::NotInProgress));
    assert!(pool.take_failed_moves().moves.is_empty());
}

/// The owner changes after an engine's notice: the new one only ever saw the engine as leaving, so
/// that nobody moved its runs.
#[test]
fn an_owner_that_missed_a_notice_moves_the_runs() {
    let mut pool = Pool::new(ServiceName::new("guide"), config());
    set_unusable(&mut pool, &["e1"]);
    report(&mut pool, 10, &[at_e1("r")]);
    pool.find_draining_engines(Time(20));
    assert!(pool.has_runs_to_move());
    assert_eq!(order(&mut pool, 20).from.as_str(), "e1");
}

/// As before, but the entry is gone already. An entry may also be missing because the list lags.
#[test]
fn runs_on_an_engine_that_is_not_listed_are_moved_after_a_while() {
    let mut pool = Pool::new(ServiceName::new("guide"), config());
    let engines = ["e2", "e3"].map(|name| listed(name, "a"));
    pool.set_engines(engines.iter().map(|l| (l, true)));
    let ordered_at = (0..5_000).step_by(50).find(|now| {
        report(&mut pool, *now, &[at_e1("r")]);
        pool.find_draining_engines(Time(*now));
        !pool.plan_moves(Time(*now), None).is_empty()
    });
    let ordered_at = ordered_at.expect("the run is ordered to move");
    assert!((500..=2_000).contains(&ordered_at), "{ordered_at}");
}

/// An engine starts again under its id within seconds; its new runs were moved off it.
#[test]
fn runs_of_an_engine_that_has_returned_stay() {
    let mut pool = draining_pool(&["old"]);
    let released = [RunId::new("old")];
    let over = Report { released: &released, ..Report::default() };
    pool.report(Time(1_000), &HostName::new("edge-1"), &over);
    set_unusable(&mut pool, &[]);
    report(&mut pool, 3_000, &[at_e1("new")]);
    pool.find_draining_engines(Time(3_000));
    assert!(!pool.has_runs_to_move());
    assert_eq!(pool.plan_moves(Time(3_000), None), []);
}

/// Engines take at times many seconds to stop; ten seconds after its notice an engine's runs were
/// forgotten.
#[test]
fn runs_are_moved_as_long_as_their_engine_takes_to_stop() {
    let mut pool = draining_pool(&["r"]);
    set_unusable(&mut pool, &["e1", "e2", "e3"]);
    for now in (0..30_000).step_by(300) {
        report(&mut pool, now, &[at_e1("r")]);
        assert_eq!(pool.plan_moves(Time(now), None), []);
    }
    set_unusable(&mut pool, &["e1"]);
    order(&mut pool, 30_000);
}

/// A holder that gave up, or could not queue, an order went on reporting it as in progress; the run
/// stayed on its engine until that had stopped.
#[test]
fn a_move_that_does_not_end_is_ordered_again() {
    let mut pool = draining_pool(&["r"]);
    let first = order(&mut pool, 10);
    let again = (100..20_000).step_by(300).find(|now| {
        report(&mut pool, *now, &[moving("r", &first.to)]);
        !pool.plan_moves(Time(*now), None).is_empty()
    });
    let again = again.expect("the run is ordered to move again");
    assert!((3_000..=7_000).contains(&again), "{again}");
}

/// The owner changes while a run moves; the new one ordered a second move, and both copies took
/// memory.
#[test]
fn a_new_owner_leaves_a_move_in_progress_alone() {
    let mut pool = Pool::new(ServiceName::new("guide"), config());
    set_unusable(&mut pool, &["e1"]);
    let to = UpstreamName::new("e2");
    report(&mut pool, 10, &[moving("r", &to)]);
    pool.find_draining_engines(Time(10));
    assert_eq!(pool.plan_moves(Time(10), None), []);
    report(&mut pool, 300, &[moving("r", &to)]);
    assert_eq!(pool.plan_moves(Time(300), None), []);
    report(&mut pool, 600, &[at_e1("r")]);
    order(&mut pool, 600);
}

/// Only one engine has room, and it refused the run once. A report from before the second order
/// ended that order, and the run got a third one while it was moving.
#[test]
fn an_old_refusal_does_not_end_a_new_move() {
    let mut pool = draining_pool(&["r"]);
    set_unusable(&mut pool, &["e1", "e3"]);
    let first = order(&mut pool, 10);
    report(&mut pool, 40, &[refused("r", &[&first.to])]);
    assert_eq!(order(&mut pool, 500).to, first.to);
    report(&mut pool, 530, &[refused("r", &[&first.to])]);
    assert_eq!(pool.plan_moves(Time(530), None), []);
    report(&mut pool, 700, &[moving("r", &first.to)]);
    assert_eq!(pool.plan_moves(Time(700), None), []);
}

/// The only engine with room refuses each time: a run that it has refused again is not sent back at
/// once.
#[test]
fn a_repeated_refusal_counts_again() {
    let mut pool = draining_pool(&["r"]);
    set_unusable(&mut pool, &["e1", "e3"]);
    let first = order(&mut pool, 10);
    report(&mut pool, 40, &[refused("r", &[&first.to])]);
    order(&mut pool, 500);
    report(&mut pool, 800, &[refused("r", &[&first.to])]);
    assert_eq!(pool.plan_moves(Time(810), None), []);
    order(&mut pool, 1_300);
}

/// A leaving engine takes no new connections for a while, so that no copy can start. Its run is
/// tried again; until then it does not keep the links from other runs.
#[test]
fn a_run_that_its_engine_does_not_copy_is_tried_again_and_does_not_block_others() {
    let mut pool = draining_pool(&["r1", "r2"]);
    let first = order(&mut pool, 10);
    let other = if first.run.as_str() == "r1" { "r2" } else { "r1" };
    let states = [refused(first.run.as_str(), &[&first.from]), at_e1(other)];
    report(&mut pool, 25, &states);
    assert_eq!(order(&mut pool, 30).run.as_str(), other);
    let states = [refused(first.run.as_str(), &[&first.from])];
    let again = (50..5_000).step_by(50).find(|now| {
        report(&mut pool, *now, &states);
        !pool.plan_moves(Time(*now), None).is_empty()
    });
    let again = again.expect("the run is ordered to move again");
    assert!((300..=1_000).contains(&again), "{again}");
}

/// A copy that fails at once kept both links for the time that it would have taken.
#[test]
fn a_failed_copy_frees_its_links() {
    let mut pool = draining_pool(&["r1", "r2"]);
    set_unusable(&mut pool, &["e1", "e3"]);
    let first = order(&mut pool, 10);
    let copy = config().copy_time(3_000).0;
    let other = if first.run.as_str() == "r1" { "r2" } else { "r1" };
    report(&mut pool, 20, &[refused(first.run.as_str(), &[&first.to]), at_e1(other)]);
    assert!(20 < 10 + copy);
    assert_eq!(order(&mut pool, 20).run.as_str(), other);
}

/// The smallest run has not begun to write, so its copies fail. It was tried first each time, and
/// kept the link from larger ones.
#[test]
fn a_run_whose_copies_fail_lets_others_go_first() {
    let mut pool = draining_pool(&["small", "large"]);
    set_unusable(&mut pool, &["e1", "e3"]);
    let large = RunState { prompt_tokens: 12_000, ..at_e1("large") };
    let small = at_e1("small");
    let mut ordered = Vec::new();
    for now in (10..2_000).step_by(10) {
        if now % 150 == 0 {
            report(&mut pool, now, &[small.clone(), large.clone()]);
        }
        ordered.extend(pool.plan_moves(Time(now), None).into_iter().map(|order| order.run));
    }
    let of_large = ordered.iter().filter(|run| run.as_str() == "large").count();
    assert!(of_large >= 3, "{ordered:?}");
}

/// The copy at the backup engine cannot be used; the run was ordered to be copied only with the
/// next report.
#[test]
fn a_run_whose_backup_is_lost_is_copied_at_once() {
    let mut pool = draining_pool(&["r"]);
    let backup = UpstreamName::new("e2");
    report(&mut pool, 15, &[RunState { backup: Some(backup.clone()), ..at_e1("r") }]);
    assert_eq!(order(&mut pool, 20).way, MoveMethod::Backup);
    // A report from before the order.
    report(&mut pool, 25, &[RunState { backup: Some(backup.clone()), ..at_e1("r") }]);
    assert_eq!(pool.plan_moves(Time(25), None), []);
    report(&mut pool, 40, &[moving("r", &backup)]);
    assert_eq!(pool.plan_moves(Time(40), None), []);
    report(&mut pool, 60, &[at_e1("r")]);
    assert_eq!(order(&mut pool, 60).way, MoveMethod::Copy);
}
