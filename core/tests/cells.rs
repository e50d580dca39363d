//! Division of engines into cells, sets of cells, and the choice of a run's cell.

use magnoliawinch::cells::{Cell, CellSet, Layout, report_interval};
use magnoliawinch::names::{HostName, UpstreamName};
use magnoliawinch::time::Millis;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn engine(number: usize) -> UpstreamName {
    UpstreamName::from(format!("engine-{number}"))
}

/// The users' sites have 3 to 98 engines.
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

/// Pattern: many hosts before few engines, all in one cell. Owners drop runs that they have not heard
/// of for 3 s.
#[test]
fn reports_come_twice_within_the_lifetime_of_a_run_however_many_daemons_there_are() {
    for daemons in [1, 9, 90, 295, 1_400] {
        let Millis(interval) = report_interval(daemons);
        assert!((300..1_500).contains(&interval), "{daemons} daemons: {interval} ms");
    }
}

#[test]
fn moderate_changes_in_engine_count_keep_the_layout() {
    let layout = Layout::default().for_engines(3_000, 5_000);
    for engines in [2_500, 2_000, 3_600] {
        assert_eq!(layout.for_engines(engines, 6_000), layout);
    }
    assert!(layout.for_engines(1_000, 6_000).is_newer_than(layout));
}

#[test]
fn a_layout_decided_for_all_replaces_a_provisional_one() {
    let provisional = Layout::default().for_engines(300, 0);
    let decided = provisional.for_engines(300, 70);
    assert_eq!(decided.cell_count(), provisional.cell_count());
    assert!(decided.is_newer_than(provisional));
    assert_eq!(decided.for_engines(300, 80), decided);
}

#[test]
fn invalid_cells_and_layouts_are_rejected() {
    assert_eq!(Cell::new(2, 2), None);
    assert_eq!(Cell::new(0, 3), None);
    assert_eq!(Cell::new(0, 0), None);
    assert_eq!(Layout::new(0, 1), None);
    assert_eq!(Layout::new(1_024, 1), None);
}

#[test]
fn both_halves_cover_a_cell_and_one_alone_does_not() {
    let cell = |number, cell_count| Cell::new(number, cell_count).unwrap();
    let both = CellSet::new([cell(1, 8), cell(5, 8)]);
    assert!(both.covers_cell(cell(1, 4)));
    assert!(!CellSet::new([cell(1, 8)]).covers_cell(cell(1, 4)));
    assert!(CellSet::all().covers(&both));
    assert!(!both.covers(&CellSet::all()));
}

quickcheck! {
    /// A daemon whose known cells cover a cell of another layout knows all its engines.
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

const ROUNDS: usize = 60;
/// Rounds that a run lasts.
const RUN_ROUNDS: usize = 10;

/// Load at the beginning of a round, as a fraction of the cell's memory.
fn load(started: &[Vec<f32>], round: usize, cell: usize) -> f32 {
    (round.saturating_sub(RUN_ROUNDS)..round).map(|past| started[past][cell]).sum()
}

/// Load started in each cell and round by 300 daemons that together use nine tenths of all memory.
fn started(
    layout: Layout,
    choose: impl Fn(Cell, &[f32], &mut ChaCha8Rng) -> Cell,
) -> Vec<Vec<f32>> {
    const DAEMONS: usize = 300;
    /// Rounds until daemons know a cell's load.
    const LAG_ROUNDS: usize = 2;
    let cells = layout.cell_count() as usize;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let run_load = 0.9 / RUN_ROUNDS as f32 * cells as f32 / DAEMONS as f32;
    let mut started = vec![vec![0.0; cells]; ROUNDS];
    for round in 0..ROUNDS {
        let known: Vec<_> =
            (0..cells).map(|cell| load(&started, round.saturating_sub(LAG_ROUNDS), cell)).collect();
        for daemon in 0..DAEMONS {
            let home = layout.home_of(&HostName::from(format!("entry-{daemon}")));
            started[round][choose(home, &known, &mut rng).number() as usize] += run_load;
        }
    }
    started
}

/// Load above the cells' memory over the second half of the rounds, as a fraction of all load.
fn overflow(started: &[Vec<f32>]) -> f32 {
    let loads: Vec<_> = (ROUNDS / 2..ROUNDS)
        .flat_map(|round| (0..started[0].len()).map(move |cell| load(started, round, cell)))
        .collect();
    let over: f32 = loads.iter().map(|load| (load - 1.0).max(0.0)).sum();
    over / loads.iter().sum::<f32>()
}

/// Daemons are spread unevenly over home cells, some with half as many again as others, while
/// nearly every engine is needed.
#[test]
fn runs_of_overloaded_cells_go_to_cells_with_room() {
    let layout = Layout::default().for_engines(2_800, 1);
    let at_home = overflow(&started(layout, |home, _, _| home));
    let spread = overflow(&started(layout, |home, loads, rng| layout.choose(home, loads, rng)));
    assert!(at_home > 0.07, "home cells are too even: overflow {at_home}");
    assert!(spread < 0.02, "overflow {spread}, {at_home} if all runs stay in their home cells");
}
