//! Organisations that share the engines of a pool, and callers that are told when to come back.

#[path = "fixtures/callers.rs"]
mod callers;
#[path = "fixtures/pools.rs"]
mod pools;

use callers::{Caller, Manner, attempt, play, shared_pool};
use magnoliawinch::cells::Cell;
use magnoliawinch::names::{OrganisationName, ServiceName};
use magnoliawinch::pool::{Event, PlacementDecision, PlacementRequest, Pool};
use magnoliawinch::shares::{CellFigures, MAX_PUBLISHED, OrganisationUse, UseAboveShare, Weights};
use magnoliawinch::time::{Millis, Time};

/// Callers of one organisation that arrive evenly.
fn steady(organisation: &str, per_s: f64, from: u64, until: u64, manner: Manner) -> Vec<Caller> {
    let count = (per_s * (until - from) as f64 / 1_000.0) as u64;
    let arrival = |n| from + (n as f64 * 1_000.0 / per_s) as u64;
    (0..count).map(|n| Caller::new(organisation, arrival(n), manner)).collect()
}

/// Nine organisations that ask for half of what four engines serve.
fn quiet() -> Vec<Caller> {
    let quiet = |n: u64| steady(&format!("quiet-{n}"), 0.5, 222 * n, 20_000, Manner::WhenTold);
    (0..9).flat_map(quiet).collect()
}

fn on_time<'a>(callers: impl IntoIterator<Item = &'a Caller>) -> usize {
    callers.into_iter().filter(|caller| caller.is_on_time()).count()
}

/// Load: one organisation with ten times its share, beside quiet ones.
#[test]
fn quiet_organisations_lose_nothing_to_one_with_ten_times_its_share() {
    let mut alone = quiet();
    play(&mut shared_pool(4, Weights::default()), &mut alone, Millis(30_000), None);
    let mut both = quiet();
    let quiet_count = both.len();
    both.extend(steady("loud", 10.0, 0, 20_000, Manner::WhenTold));
    play(&mut shared_pool(4, Weights::default()), &mut both, Millis(30_000), None);
    let (quiet, loud) = both.split_at(quiet_count);
    assert_eq!((on_time(&alone), on_time(quiet)), (quiet_count, quiet_count));
    assert!(loud.iter().any(|caller| caller.started.is_none()), "the load must exceed the room");
}
/// Load: the same, with objectives of 2 s, and quiet organisations that all arrive within 300 ms every 2 s.
#[test]
fn quiet_organisations_that_arrive_together_lose_nothing() {
    let mut quiet: Vec<_> = (0..10u64)
        .flat_map(|round| (0..9u64).map(move |n| (n, round * 2_000 + n * 33)))
        .map(|(n, at)| Caller::new(&format!("quiet-{n}"), at, Manner::WhenTold))
        .collect();
    let quiet_count = quiet.len();
    quiet.extend(steady("loud", 10.0, 0, 20_000, Manner::WhenTold));
    for caller in &mut quiet {
        caller.objective = Millis(2_000);
    }
    play(&mut shared_pool(4, Weights::default()), &mut quiet, Millis(30_000), None);
    assert_eq!(on_time(&quiet[..quiet_count]), quiet_count);
}

/// Load: a burst of 2.5 times what the engines serve, for 10 s; callers come back when told.
#[test]
fn a_burst_is_refused_at_once_and_promised_room_is_there() {
    let mut callers = steady("a", 5.0, 0, 25_000, Manner::WhenTold);
    callers.extend(steady("b", 20.0, 5_000, 15_000, Manner::WhenTold));
    let mut pool = shared_pool(4, Weights::default());
    play(&mut pool, &mut callers, Millis(40_000), None);
    let mut held: Vec<_> = callers.iter().flat_map(Caller::held).collect();
    held.sort();
    assert!(held.len() > 50, "the burst must exceed the room");
    assert!(held[held.len() / 2] <= Millis(200), "half of the refusals were held {held:?}");
    let mut returns: Vec<_> = callers.iter().filter(|c| c.refused.len() == 1).collect();
    returns.sort_by_key(|caller| caller.attempts.get(1).copied());
    assert!(returns.iter().any(|caller| caller.started.is_some()));
    let figures = pool.take_sharing_figures(Time(40_000)).unwrap().returns;
    assert!(figures.given > 0 && figures.kept >= 9 * figures.broken, "{figures:?}");
}

/// Load: some clients come back at once and often, the others when they are told.
#[test]
fn callers_that_repeat_early_gain_nothing() {
    let manner = |n: usize| if n.is_multiple_of(3) { Manner::AtOnce(3) } else { Manner::WhenTold };
    let mut callers = steady("a", 22.0, 0, 15_000, Manner::WhenTold);
    for (n, caller) in callers.iter_mut().enumerate() {
        caller.manner = manner(n);
    }
    let mut pool = shared_pool(4, Weights::default());
    play(&mut pool, &mut callers, Millis(30_000), None);
    let served = |is_early: bool| {
        let of_kind =
            callers.iter().filter(|caller| (caller.manner != Manner::WhenTold) == is_early);
        let refused: Vec<_> = of_kind.filter(|caller| !caller.refused.is_empty()).collect();
        let started = refused.iter().filter(|caller| caller.started.is_some()).count();
        started as f64 / refused.len() as f64
    };
    let (early, told) = (served(true), served(false));
    assert!(early <= told, "{early} of those who came early were served, {told} of the others");
    assert!(pool.take_sharing_figures(Time(30_000)).unwrap().returns.early > 0);
}

/// A pool whose engines are full, and a caller that was refused with this time to return.
fn refused_caller() -> (Pool, Caller, Millis) {
    let mut pool = shared_pool(1, Weights::default());
    for number in 0..60 {
        let caller = Caller::new("other", 0, Manner::WhenTold);
        pool.place(Time(0), attempt(Time(0), 1_000 + number, &caller));
    }
    let caller = Caller::new("a", 0, Manner::WhenTold);
    let impatient = |now| PlacementRequest {
        patience_until: now + Millis(500),
        first_event_deadline: now + Millis(300),
        ..attempt(now, 1, &caller)
    };
    let PlacementDecision::Refused(wait) = pool.place(Time(10), impatient(Time(10))) else {
        panic!("there is no room for it");
    };
    (pool, caller, wait)
}

/// Pattern: a client repeats before its time and will not wait for it; its time stays as it was.
#[test]
fn an_early_return_is_refused_with_the_time_that_is_left() {
    let (mut pool, mut caller, wait) = refused_caller();
    for ms in [20, 60, 100] {
        caller.attempts.push(Time(ms));
        let request = attempt(Time(ms), 1, &caller);
        let impatient = PlacementRequest { patience_until: Time(ms + 50), ..request };
        let decision = pool.place(Time(ms), impatient);
        assert_eq!(decision, PlacementDecision::Refused(Millis(wait.0 + 10 - ms)));
    }
}

/// Pattern: a client repeats before its time and waits; it gets no engine before that time.
#[test]
fn an_early_return_waits_for_its_time() {
    let (mut pool, mut caller, wait) = refused_caller();
    caller.attempts.push(Time(20));
    let request = attempt(Time(20), 1, &caller);
    assert_eq!(pool.place(Time(20), request.clone()), PlacementDecision::Queued);
    let engines: Vec<_> = ["e0", "e1", "e2"].map(|name| pools::listed(name, "a")).into();
    pool.set_engines(engines.iter().map(|listed| (listed, true)));
    let places = |pool: &mut Pool, now| {
        let events = pool.tick(now);
        let is_its = |event: &Event| matches!(event, Event::Placed(run, _) if *run == request.run);
        events.iter().any(is_its)
    };
    assert!(!places(&mut pool, Time(wait.0)));
    assert!(places(&mut pool, Time(wait.0 + 20)));
}

/// Failure: the owner that told callers when to return is lost; the next one takes them as newcomers.
#[test]
fn an_owner_without_the_promises_takes_callers_as_newcomers() {
    let (pool, mut caller, _) = refused_caller();
    let mut next_owner = shared_pool(1, Weights::default());
    drop(pool);
    caller.attempts.push(Time(20));
    let placement = pools::placed(next_owner.place(Time(20), attempt(Time(20), 1, &caller)));
    assert_eq!(placement.engine.as_str(), "e0");
}

/// Failure: the owner is lost in the middle of a burst of 2.5 times.
#[test]
fn a_burst_outlives_its_owner() {
    let served = |lost_at| {
        let mut callers = steady("a", 5.0, 0, 25_000, Manner::WhenTold);
        callers.extend(steady("b", 20.0, 5_000, 15_000, Manner::WhenTold));
        play(&mut shared_pool(4, Weights::default()), &mut callers, Millis(40_000), lost_at);
        callers.iter().filter(|caller| caller.started.is_some()).count()
    };
    let (kept, lost) = (served(None), served(Some(Time(10_000))));
    assert!(lost * 20 >= kept * 19, "{lost} served by two owners, {kept} by one");
}

/// Load: one organisation alone uses everything; when another comes, it gets its share as runs end.
#[test]
fn shares_are_lent_and_taken_back() {
    let mut callers = steady("borrower", 12.0, 0, 20_000, Manner::WhenTold);
    callers.extend(steady("lender", 12.0, 10_000, 20_000, Manner::WhenTold));
    play(&mut shared_pool(4, Weights::default()), &mut callers, Millis(30_000), None);
    let started = |organisation: &str, from: u64, until: u64| {
        let within = |caller: &&Caller| {
            caller.started.is_some_and(|at| Time(from) <= at && at < Time(until))
        };
        let of = callers.iter().filter(|caller| caller.organisation == organisation);
        of.filter(within).count()
    };
    let alone = started("borrower", 6_000, 10_000);
    let (borrower, lender) =
        (started("borrower", 15_000, 19_000), started("lender", 15_000, 19_000));
    assert!(
        10 * (borrower + lender) >= 8 * alone,
        "{alone} alone, {borrower} and {lender} together"
    );
    assert!(4 * lender >= 3 * borrower && 4 * borrower >= 3 * lender, "{borrower}, {lender}");
}

/// Load: two organisations ask for more than there is; one has three times the weight.
#[test]
fn room_is_divided_by_weight() {
    let weights = Weights::new([(OrganisationName::new("large"), 3.0)]);
    let mut callers = steady("large", 15.0, 0, 20_000, Manner::WhenTold);
    callers.extend(steady("small", 15.0, 0, 20_000, Manner::WhenTold));
    play(&mut shared_pool(4, weights), &mut callers, Millis(20_000), None);
    let started = |organisation: &str| {
        let of = callers.iter().filter(|caller| caller.organisation == organisation);
        of.filter(|caller| caller.started.is_some_and(|at| at > Time(8_000))).count() as f64
    };
    let ratio = started("large") / started("small");
    assert!((2.0..=4.0).contains(&ratio), "{ratio}");
}

fn uses(uses: &[(&str, u64)]) -> UseAboveShare {
    let uses = uses.iter().map(|(name, tokens)| OrganisationUse {
        organisation: OrganisationName::new(name),
        tokens: *tokens,
    });
    UseAboveShare::new(uses.collect())
}

/// Runs are moved off a leaving engine as in a pool that is not shared.
#[test]
fn sharing_leaves_moves_as_they_are() {
    let mut alone = pools::draining_pool(&["r1", "r2"]);
    let mut shared = pools::draining_pool(&["r1", "r2"]).with_sharing(Weights::default());
    let (alone, shared) = (alone.plan_moves(Time(20), None), shared.plan_moves(Time(20), None));
    assert_eq!(alone, shared);
    assert_eq!(alone.len(), 1);
}

/// Cells tell of the organisations above their shares, however many these are.
#[test]
fn figures_of_cells_are_summed_and_bounded() {
    let service = ServiceName::new("guide");
    let cell = |number| Cell::new(number, 256).unwrap();
    let mut figures = CellFigures::new();
    for number in 0..256 {
        let own = format!("only-{number}");
        let above = uses(&[("everywhere", 500), (&own, 100)]);
        figures.record(Time(0), service.clone(), cell(number), above);
    }
    let totals = figures.totals(Time(100));
    assert_eq!(totals[&service].uses().len(), MAX_PUBLISHED);
    assert_eq!(totals[&service].uses()[0], uses(&[("everywhere", 128_000)]).uses()[0]);
    assert!(figures.totals(Time(5_000)).is_empty(), "a silent cell no longer counts");
}

/// Load: an organisation that is above its share over all cells, beside another in this cell.
#[test]
fn use_in_other_cells_counts() {
    let started = |elsewhere: UseAboveShare| {
        let mut callers = steady("a", 15.0, 0, 10_000, Manner::WhenTold);
        callers.extend(steady("b", 15.0, 0, 10_000, Manner::WhenTold));
        let mut pool = shared_pool(4, Weights::default());
        pool.set_use_in_all_cells(Time(0), elsewhere);
        play(&mut pool, &mut callers, Millis(2_900), None);
        let of_a = callers.iter().filter(|caller| caller.organisation == "a");
        of_a.filter(|caller| caller.started.is_some_and(|at| at > Time(1_000))).count()
    };
    let (alone, spread) = (started(uses(&[])), started(uses(&[("a", 500_000)])));
    assert!(2 * spread < alone, "{spread} with use elsewhere, {alone} without");
}
