//! Cells of engines: how they are divided, who knows what, and where runs go when homes are uneven.

use magnoliawinch::cells::{Cell, CellSet, Layout};
use magnoliawinch::names::{HostName, UpstreamName};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn engine(number: usize) -> UpstreamName {
    UpstreamName::from(format!("engine-{number}"))
}

#[test]
fn the_users_sites_are_not_divided() {
    for engines in [3, 44, 56, 98] {
        assert!(Layout::default().for_engines(engines, 1).is_undivided(), "{engines}");
    }
}

#[test]
fn no_cell_grows_with_the_system() {
    for engines in [300, 1_000, 3_000, 12_000] {
        let layout = Layout::default().for_engines(engines, 1);
        let mut counts = vec![0; layout.cell_count() as usize];
        for number in 0..engines {
            counts[layout.cell_of(&engine(number)).number() as usize] += 1;
        }
        let most = counts.iter().max().unwrap();
        assert!(*most < 180, "{engines} engines: {counts:?}");
    }
}

#[test]
fn engines_that_come_and_go_do_not_change_the_layout() {
    let layout = Layout::default().for_engines(3_000, 5_000);
    for engines in [2_500, 2_000, 3_600] {
        assert_eq!(layout.for_engines(engines, 6_000), layout);
    }
    assert!(layout.for_engines(1_000, 6_000).is_newer_than(layout));
}

#[test]
fn what_one_decides_for_all_replaces_what_each_decided_for_itself() {
    let own = Layout::default().for_engines(300, 0);
    let leaders = own.for_engines(300, 70);
    assert_eq!(leaders.cell_count(), own.cell_count());
    assert!(leaders.is_newer_than(own));
    assert_eq!(leaders.for_engines(300, 80), leaders);
}

#[test]
fn what_cannot_be_a_cell_is_refused() {
    assert_eq!(Cell::new(2, 2), None);
    assert_eq!(Cell::new(0, 3), None);
    assert_eq!(Cell::new(0, 0), None);
    assert_eq!(Layout::new(0, 1), None);
    assert_eq!(Layout::new(1_024, 1), None);
}

#[test]
fn halves_cover_a_cell_and_one_of_them_does_not() {
    let cell = |number, cell_count| Cell::new(number, cell_count).unwrap();
    let both = CellSet::new([cell(1, 8), cell(5, 8)]);
    assert!(both.covers_cell(cell(1, 4)));
    assert!(!CellSet::new([cell(1, 8)]).covers_cell(cell(1, 4)));
    assert!(CellSet::all().covers(&both));
    assert!(!both.covers(&CellSet::all()));
}

quickcheck! {
    /// A daemon that keeps a cell it covers after a change of the layout misses no engine.
    fn covered_cells_have_the_same_engines(name: String, bits: u8, other_bits: u8) -> bool {
        let (cell_count, other_count) = (1 << (bits % 6), 1 << (other_bits % 6));
        let engine = UpstreamName::from(name);
        let holders = (0..cell_count).filter_map(|number| Cell::new(number, cell_count));
        holders.filter(|cell| cell.has(&engine)).count() == 1
            && (0..other_count).filter_map(|number| Cell::new(number, other_count)).all(|cell| {
                let known = CellSet::new([cell]);
                (0..cell_count)
                    .filter_map(|number| Cell::new(number, cell_count))
                    .all(|part| !known.covers_cell(part) || !part.has(&engine) || known.has(&engine))
            })
    }
}

/// Rounds of the simulation below, of which a run lasts `LENGTH`.
const ROUNDS: usize = 60;
const LENGTH: usize = 10;

/// What runs in a cell at the beginning of a round, as a part of its memory.
fn load(started: &[Vec<f32>], round: usize, cell: usize) -> f32 {
    (round.saturating_sub(LENGTH)..round).map(|past| started[past][cell]).sum()
}

/// What 300 daemons start in each cell in each round, when each starts as much as fills nine tenths
/// of all memory.
fn started(
    layout: Layout,
    choose: impl Fn(Cell, &[f32], &mut ChaCha8Rng) -> Cell,
) -> Vec<Vec<f32>> {
    const DAEMONS: usize = 300;
    /// Rounds until others hear of a cell's load.
    const LAG: usize = 2;
    let cells = layout.cell_count() as usize;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let part = 0.9 / LENGTH as f32 * cells as f32 / DAEMONS as f32;
    let mut started = vec![vec![0.0; cells]; ROUNDS];
    for round in 0..ROUNDS {
        let known: Vec<_> =
            (0..cells).map(|cell| load(&started, round.saturating_sub(LAG), cell)).collect();
        for daemon in 0..DAEMONS {
            let home = layout.home_of(&HostName::from(format!("entry-{daemon}")));
            started[round][choose(home, &known, &mut rng).number() as usize] += part;
        }
    }
    started
}

/// What did not fit in its cell, as a part of all that ran, over the second half of the rounds.
fn did_not_fit(started: &[Vec<f32>]) -> f32 {
    let loads: Vec<_> = (ROUNDS / 2..ROUNDS)
        .flat_map(|round| (0..started[0].len()).map(move |cell| load(started, round, cell)))
        .collect();
    let over: f32 = loads.iter().map(|load| (load - 1.0).max(0.0)).sum();
    over / loads.iter().sum::<f32>()
}

/// Pattern: daemons fall unevenly on their home cells, some get half as many again as others, and
/// nearly every engine is needed.
#[test]
fn runs_of_crowded_cells_go_where_there_is_room() {
    let layout = Layout::default().for_engines(2_800, 1);
    let at_home = did_not_fit(&started(layout, |home, _, _| home));
    let spread = did_not_fit(&started(layout, |home, loads, rng| layout.choose(home, loads, rng)));
    assert!(at_home > 0.07, "homes are uneven: {at_home}");
    assert!(spread < 0.02, "{spread} did not fit, {at_home} when all stay at home");
}
