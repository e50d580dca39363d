//! Placement, queueing and moves of runs in a pool of engines.

#[path = "fixtures/pools.rs"]
mod pools;

use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::names::{
    HostName, KindName, OrganisationName, RunId, ServiceName, UpstreamName,
};
use magnoliawinch::pool::{
    EndedRun, Event, MoveMethod, Placement, PlacementDecision, PlacementRequest, Pool, Report,
    RunState,
};
use magnoliawinch::route_table::EngineConfig;
use magnoliawinch::time::{Millis, Time};
use pools::{config, draining_pool, listed, placed, pool, request, state};

/// The backup engine is reclaimed, then the run's engine, while reports still name the lost backup.
#[test]
fn a_run_is_not_moved_to_a_leaving_backup_engine() {
    let mut pool = pool(&[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    let placement = placed(pool.place(Time(0), request("r", 3_000)));
    let backup = placement.backup.clone().expect("memory is idle, so there is a backup");
    let engines = ["e1", "e2", "e3"].map(|name| listed(name, "a"));
    let usable =
        |leaving: &[&UpstreamName], listed: &ListedUpstream| !leaving.contains(&&listed.name);
    pool.set_engines(engines.iter().map(|l| (l, usable(&[&backup], l))));
    pool.drain_engine(Time(100), &backup);
    assert!(pool.plan_moves(Time(100), None).is_empty());
    let runs = [state("r", &placement, 3_000, 20)];
    let report = Report { runs: &runs, ..Report::default() };
    pool.report(Time(200), &HostName::new("edge-1"), &report);
    pool.set_engines(engines.iter().map(|l| (l, usable(&[&backup, &placement.engine], l))));
    pool.drain_engine(Time(300), &placement.engine);
    let orders = pool.plan_moves(Time(300), None);
    assert_eq!(orders.len(), 1);
    assert_ne!(orders[0].to, backup);
    assert_eq!(orders[0].way, MoveMethod::Copy);
}

/// How many runs of 3,000 tokens are placed before one is queued.
fn runs_placed(mut pool: Pool) -> usize {
    let is_placed = |run: &usize| {
        let decision = pool.place(Time(10 * *run as u64), request(&format!("r{run}"), 3_000));
        matches!(decision, PlacementDecision::Placed(_))
    };
    (0..1_000).take_while(is_placed).count()
}

/// Backup copies in an idle pool must leave room for a burst of new runs.
#[test]
fn backups_leave_most_of_the_memory_to_new_runs() {
    let names: Vec<_> = (0..12).map(|engine| format!("e{engine}")).collect();
    let engines: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let with_backups = pool(&engines);
    let mut without = pool(&engines);
    without.set_config(EngineConfig { can_back_up: false, ..config() });
    let (with_backups, without) = (runs_placed(with_backups), runs_placed(without));
    assert!(with_backups * 4 >= without * 3, "{with_backups} placed, {without} without backups");
}

/// Copies off a reclaimed engine share its link, so each begins when the one before has ended.
#[test]
fn copies_from_one_engine_are_sequential() {
    let mut pool = draining_pool(&["r1", "r2", "r3"]);
    let copy = config().copy_time(3_000).0;
    let mut ordered = Vec::new();
    for ms in (10..2_000).step_by(5) {
        let orders = pool.plan_moves(Time(ms), None);
        assert!(orders.len() <= 1, "{orders:?}");
        ordered.extend(orders.into_iter().map(|order| (ms, order.to)));
    }
    assert_eq!(ordered.len(), 3);
    assert!(ordered.windows(2).all(|pair| pair[1].0 >= pair[0].0 + copy), "{ordered:?}");
    // The runs are spread over both targets.
    assert!(ordered.iter().any(|(_, to)| to.as_str() == "e2"));
    assert!(ordered.iter().any(|(_, to)| to.as_str() == "e3"));
}

/// The target of a move refuses the run for lack of room.
#[test]
fn a_run_whose_move_was_refused_gets_another_engine() {
    let mut pool = draining_pool(&["r"]);
    let first = pool.plan_moves(Time(10), None).remove(0);
    let placement = Placement::new(UpstreamName::new("e1"));
    let refused = RunState { refused: vec![first.to.clone()], ..state("r", &placement, 3_000, 5) };
    let report = Report { runs: &[refused], ..Report::default() };
    pool.report(Time(30), &HostName::new("edge-1"), &report);
    let second = (30..600).find_map(|ms| pool.plan_moves(Time(ms), None).pop());
    let second = second.expect("another engine has room");
    assert_ne!(second.to, first.to);
}

/// No engine has room when one is reclaimed, but another joins before that one has stopped.
#[test]
fn a_move_without_room_is_retried() {
    let mut pool = pool(&[("e1", "a")]);
    placed(pool.place(Time(0), request("r", 3_000)));
    let one = [listed("e1", "a")];
    pool.set_engines(one.iter().map(|l| (l, false)));
    pool.drain_engine(Time(10), &one[0].name);
    assert!(pool.plan_moves(Time(10), None).is_empty());
    let two = ["e1", "e2"].map(|name| listed(name, "a"));
    pool.set_engines(two.iter().map(|l| (l, l.name.as_str() == "e2")));
    assert_eq!(pool.plan_moves(Time(500), None).len(), 1);
}

/// With its owner unreachable while engines are reclaimed, a daemon moves the runs that it holds.
#[test]
fn a_holder_moves_only_its_own_runs() {
    let mut pool = draining_pool(&["r"]);
    let (own, other) = (HostName::new("edge-1"), HostName::new("edge-2"));
    assert!(pool.plan_moves(Time(100), Some(&other)).is_empty());
    assert_eq!(pool.plan_moves(Time(100), Some(&own)).len(), 1);
}

#[test]
fn a_repeated_request_gets_the_same_placement() {
    let mut pool = pool(&[("e1", "a"), ("e2", "a")]);
    let first = placed(pool.place(Time(0), request("r", 3_000)));
    let second = placed(pool.place(Time(5), request("r", 3_000)));
    assert_eq!(first, second);
    assert_eq!(pool.running(), 1);
}

/// Under overload, runs queue while memory is full and start as soon as others end.
#[test]
fn a_run_waits_while_memory_is_full_and_starts_when_it_is_free() {
    let mut pool = pool(&[("e1", "a")]);
    let mut running = Vec::new();
    let mut waiting = None;
    for n in 0..20 {
        let run = format!("r{n}");
        match pool.place(Time(n), request(&run, 6_000)) {
            PlacementDecision::Placed(placement) => running.push((run, placement)),
            PlacementDecision::Queued => {
                waiting = Some(run);
                break;
            }
            PlacementDecision::Refused(_) | PlacementDecision::AllAvoided => {
                panic!("refused while it could wait")
            }
        }
    }
    let waiting = waiting.expect("memory holds fewer than 20 runs of 6,000 tokens");
    assert!(running.len() >= 2);
    // The run ended before its first report.
    let released = [RunId::new(&running[0].0)];
    pool.report(
        Time(300),
        &HostName::new("edge-1"),
        &Report { released: &released, ..Report::default() },
    );
    let events = pool.tick(Time(301));
    let started = |event: &Event| matches!(event, Event::Placed(run, _) if run.as_str() == waiting);
    assert!(events.iter().any(started), "{events:?}");
}

/// Under overload, a run of higher priority starts before one that was queued earlier.
#[test]
fn the_more_urgent_run_starts_first() {
    let mut pool = pool(&[("e1", "a")]);
    let mut placed_runs = Vec::new();
    let mut n = 0;
    while let PlacementDecision::Placed(placement) =
        pool.place(Time(0), request(&format!("r{n}"), 6_000))
    {
        placed_runs.push((format!("r{n}"), placement));
        n += 1;
    }
    let urgent = PlacementRequest { priority: 0, ..request("urgent", 6_000) };
    assert_eq!(pool.place(Time(1), urgent), PlacementDecision::Queued);
    let released = [RunId::new(&placed_runs[0].0)];
    pool.report(
        Time(310),
        &HostName::new("edge-1"),
        &Report { released: &released, ..Report::default() },
    );
    let events = pool.tick(Time(320));
    let first = events.first().expect("there is room for one run");
    assert!(matches!(first, Event::Placed(run, _) if run.as_str() == "urgent"), "{events:?}");
}

/// Engines of a pool differ in speed, or one becomes slow; long runs go to the faster ones.
#[test]
fn a_slow_engine_gets_fewer_runs() {
    let mut pool = pool(&[("e1", "a"), ("e2", "a")]);
    let holder = HostName::new("edge-1");
    let slow = Placement::new(UpstreamName::new("e1"));
    let fast = Placement::new(UpstreamName::new("e2"));
    for n in 1..12 {
        let runs = [
            state("slow", &slow, 3_000, u32::try_from(n * 10).unwrap()),
            state("fast", &fast, 3_000, u32::try_from(n * 35).unwrap()),
        ];
        pool.report(Time(n * 300), &holder, &Report { runs: &runs, ..Report::default() });
    }
    for n in 0..3 {
        let placement = placed(pool.place(Time(3_400 + n * 500), request(&format!("r{n}"), 500)));
        assert_eq!(placement.engine, fast.engine, "run {n}");
    }
}

/// A pool of one engine that is full of long runs, and the number of those runs.
fn full_pool() -> (Pool, usize) {
    let mut pool = pool(&[("e1", "a")]);
    let short = EndedRun {
        kind: KindName::new("short"),
        organisation: OrganisationName::new("a"),
        written: 12,
    };
    let ended = vec![short; 30];
    let report = Report { ended: &ended, ..Report::default() };
    pool.report(Time(0), &HostName::new("edge-1"), &report);
    let mut n = 0;
    while let PlacementDecision::Placed(_) = pool.place(Time(0), request(&format!("r{n}"), 3_000)) {
        n += 1;
    }
    pool.withdraw(&RunId::new(&format!("r{n}")));
    (pool, n)
}

/// Under lasting overload, runs that can no longer be on time are overtaken by those that can;
/// otherwise every run would be late.
#[test]
fn runs_that_can_still_be_on_time_go_first() {
    let (mut pool, running) = full_pool();
    let late = PlacementRequest { first_event_deadline: Time(100), ..request("late", 3_000) };
    // The engine is still busy with the other runs' prefill.
    let fresh = PlacementRequest { first_event_deadline: Time(6_000), ..request("fresh", 3_000) };
    assert_eq!(pool.place(Time(10), late), PlacementDecision::Queued);
    assert_eq!(pool.place(Time(300), fresh.clone()), PlacementDecision::Queued);
    assert!(running > 3);
    let released: Vec<_> = (0..3).map(|n| RunId::new(&format!("r{n}"))).collect();
    pool.report(
        Time(400),
        &HostName::new("edge-1"),
        &Report { released: &released, ..Report::default() },
    );
    let events = pool.tick(Time(410));
    assert!(matches!(&events[0], Event::Placed(run, _) if *run == fresh.run), "{events:?}");
}

/// A single empty engine has room for many queued runs but prefills one prompt at a time. Runs that
/// would be late in its backlog stay queued for the next engine that joins.
#[test]
fn prompts_do_not_pile_up_on_the_only_engine_with_room() {
    let mut pool = pool(&[("e1", "a")]);
    let requests: Vec<_> = (0..6)
        .map(|n| PlacementRequest {
            first_event_deadline: Time(1_800),
            ..request(&format!("r{n}"), 3_000)
        })
        .collect();
    let decisions: Vec<_> =
        requests.iter().map(|request| pool.place(Time(0), request.clone())).collect();
    let at_once = decisions
        .iter()
        .filter(|decision| matches!(decision, PlacementDecision::Placed(_)))
        .count();
    assert!((2..=4).contains(&at_once), "{decisions:?}");
    let engines = ["e1", "e2"].map(|name| listed(name, "a"));
    pool.set_engines(engines.iter().map(|listed| (listed, true)));
    let events = pool.tick(Time(200));
    assert_eq!(events.len(), requests.len() - at_once, "{events:?}");
    let all_at_e2 = events.iter().all(
        |event| matches!(event, Event::Placed(_, placement) if placement.engine.as_str() == "e2"),
    );
    assert!(all_at_e2, "{events:?}");
}

/// An engine holds copies unknown to the pool's owner, so a prompt waits there for memory, and any
/// run placed there would wait behind it.
#[test]
fn no_run_goes_to_an_engine_where_a_prompt_waits_for_memory() {
    let mut pool = pool(&[("e1", "a"), ("e2", "b")]);
    let stuck = placed(pool.place(Time(0), request("stuck", 3_000)));
    assert_eq!(stuck.engine.as_str(), "e1");
    let report = |pool: &mut Pool, now: Time, written: u32| {
        let runs = [state("stuck", &stuck, 3_000, written)];
        let report = Report { runs: &runs, ..Report::default() };
        pool.report(now, &HostName::new("edge-1"), &report);
    };
    report(&mut pool, Time(800), 0);
    assert_eq!(placed(pool.place(Time(800), request("r1", 100))).engine.as_str(), "e1");
    report(&mut pool, Time(1_000), 0);
    assert_eq!(placed(pool.place(Time(1_000), request("r2", 100))).engine.as_str(), "e2");
    report(&mut pool, Time(1_300), 4);
    assert_eq!(placed(pool.place(Time(1_300), request("r3", 100))).engine.as_str(), "e1");
}

/// A run that no engine can prefill in time any more is still served, without making others late.
#[test]
fn a_late_run_is_placed_once_the_prefill_backlog_is_short() {
    let mut pool = pool(&[("e1", "a")]);
    for n in 0..4 {
        placed(pool.place(Time(0), request(&format!("r{n}"), 3_000)));
    }
    let late = PlacementRequest { first_event_deadline: Time(300), ..request("late", 3_000) };
    assert_eq!(pool.place(Time(0), late.clone()), PlacementDecision::Queued);
    assert_eq!(pool.tick(Time(500)), []);
    assert_eq!(pool.place(Time(900), late.clone()), PlacementDecision::Queued);
    let events = pool.tick(Time(1_000));
    assert!(matches!(&events[..], [Event::Placed(run, _)] if *run == late.run), "{events:?}");
}

/// Memory reserved for long runs' growth is usable by a run that ends before they grow.
#[test]
fn a_short_run_fits_into_memory_reserved_for_growth() {
    let (mut pool, _) = full_pool();
    let short = PlacementRequest { kind: KindName::new("short"), ..request("short", 1_500) };
    assert!(matches!(pool.place(Time(20), short), PlacementDecision::Placed(_)));
}

/// After a power failure of all daemons, the list of engines is not known yet. Callers retry only
/// once, so the retry delay must be long enough.
#[test]
fn a_pool_without_engines_refuses_at_once_with_a_long_retry_delay() {
    let mut pool = Pool::new(ServiceName::new("guide"), config());
    let decision = pool.place(Time(0), request("r", 3_000));
    assert_eq!(decision, PlacementDecision::Refused(Millis(1_000)));
}

/// A nearly full pool loses an engine. A run moved into another engine's last free memory would
/// make that engine run out of memory as soon as its own runs grow.
#[test]
fn a_run_is_not_moved_into_memory_that_others_need_next() {
    let mut pool = draining_pool(&["mover"]);
    let e2 = Placement::new(UpstreamName::new("e2"));
    let e3 = Placement::new(UpstreamName::new("e3"));
    let fills = |written: u32| {
        [("a", &e2), ("b", &e3)].map(|(run, placement)| state(run, placement, 28_000, written))
    };
    let report = |pool: &mut Pool, now: Time, runs: &[RunState]| {
        let e1 = Placement::new(UpstreamName::new("e1"));
        let mut all = vec![state("mover", &e1, 3_000, 200)];
        all.extend_from_slice(runs);
        let report = Report { runs: &all, ..Report::default() };
        pool.report(now, &HostName::new("edge-1"), &report);
    };
    report(&mut pool, Time(20), &fills(1_000));
    assert_eq!(pool.plan_moves(Time(20), None), []);
    report(&mut pool, Time(40), &[state("b", &e3, 26_000, 1_000)]);
    let orders = pool.plan_moves(Time(40), None);
    assert!(matches!(&orders[..], [order] if order.to.as_str() != "e1"), "{orders:?}");
}

/// Guards against a run that waits for engines which want no requests of its holder, and against
/// one that is sent there after it has waited.
#[test]
fn a_run_does_not_wait_for_engines_that_it_avoids() {
    let mut pool = pool(&[("e0", "a"), ("e1", "a")]);
    let engines = [UpstreamName::new("e0"), UpstreamName::new("e1")];
    let avoiding = |avoid: &[UpstreamName]| PlacementRequest {
        avoid: avoid.to_vec(),
        ..request("waiting", 6_000)
    };
    let mut n = 0;
    while let PlacementDecision::Placed(_) = pool.place(Time(0), request(&format!("r{n}"), 6_000)) {
        n += 1;
    }
    assert_eq!(pool.place(Time(1), avoiding(&[])), PlacementDecision::Queued);
    assert_eq!(pool.place(Time(2), avoiding(&engines[..1])), PlacementDecision::Queued);
    for run in 0..=n {
        pool.withdraw(&RunId::new(&format!("r{run}")));
    }
    let events = pool.tick(Time(3));
    assert!(
        matches!(&events[..], [.., Event::Placed(_, placement)] if placement.engine == engines[1]),
        "{events:?}"
    );
    pool.withdraw(&RunId::new("waiting"));
    assert_eq!(pool.place(Time(4), avoiding(&engines)), PlacementDecision::AllAvoided);
    assert_eq!(pool.waiting(), 0);
}
