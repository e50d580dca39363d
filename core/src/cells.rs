//! Division of the engines into cells, each with its own owners.
//!
//! An owner's work grows with its engines and the daemons that report to it, so a large system is
//! divided: an engine's hashed name determines its cell, and every daemon has a home cell, whose
//! owners it asks first. Cells are only split in half or merged in pairs, so that an engine's old
//! cell always contains its new one or the other way round.

use crate::names::{HostName, UpstreamName};
use crate::rendezvous;
use crate::time::Millis;
use rand::{Rng, RngExt};
use std::collections::BTreeSet;

/// Mean engines per cell above which cells are split: a scheduling pass over as many queued runs
/// takes an owner 0.6 ms (`core/benches/decisions.rs`), 100 times a second.
const MAX_ENGINES_PER_CELL: usize = 128;

/// Mean engines per cell below which cells are merged: well under half of the maximum, so that
/// engines that join and leave seldom change the layout.
const MIN_ENGINES_PER_CELL: usize = 40;

/// Maximum number of cells: twice what 12,000 engines need.
const MAX_CELLS: u32 = 256;

/// Interval of reports to the owners of a cell with few daemons.
const REPORT_INTERVAL: Millis = Millis(300);

/// Added to the interval for each daemon, so that an owner's load grows little with their number.
const REPORT_INTERVAL_PER_DAEMON: Millis = Millis(3);

/// Maximum interval, for cells with three hundred daemons or more: owners forget runs after 3 s.
const MAX_REPORT_INTERVAL: Millis = Millis(1_200);

/// Offset of a layout that a daemon decided only for itself.
const PROVISIONAL_OFFSET: u64 = 1;

/// Memory utilisation of a home cell from which its daemons also send runs elsewhere.
const SPILL_THRESHOLD: f32 = 0.85;

/// Probability of sending a run to the other cell, as a multiple of the fraction by which that
/// cell's load is lower. Not all runs are sent at once, as known loads are about a second old.
const SPILL_GAIN: f32 = 1.5;

/// The engines whose hashed names equal `number` modulo `cell_count`, a power of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    number: u32,
    cell_count: u32,
}

impl Cell {
    /// All engines: the only cell of an undivided system.
    pub const ALL: Self = Self { number: 0, cell_count: 1 };

    /// Cell `number` of `cell_count`; `None` unless the count is a power of two up to 256 and the
    /// number below it.
    pub fn new(number: u32, cell_count: u32) -> Option<Self> {
        let is_valid =
            cell_count.is_power_of_two() && cell_count <= MAX_CELLS && number < cell_count;
        is_valid.then_some(Self { number, cell_count })
    }

    /// Index of the cell in its layout, from 0.
    pub fn number(self) -> u32 {
        self.number
    }

    /// The number of cells in its layout.
    pub fn cell_count(self) -> u32 {
        self.cell_count
    }

    /// The rendezvous key by which its owners are ranked.
    pub fn key(self) -> String {
        match self.number {
            0 => "pools".to_owned(),
            number => format!("pools-{number}"),
        }
    }

    /// Whether it contains an engine.
    pub fn has(self, engine: &UpstreamName) -> bool {
        cell_number(engine.as_str(), self.cell_count) == self.number
    }

    fn contains(self, other: Self) -> bool {
        other.cell_count >= self.cell_count && other.number % self.cell_count == self.number
    }

    fn halves(self) -> [Self; 2] {
        let cell_count = 2 * self.cell_count;
        [
            Self { number: self.number, cell_count },
            Self { number: self.number + self.cell_count, cell_count },
        ]
    }
}

fn cell_number(name: &str, cell_count: u32) -> u32 {
    (rendezvous::hash(name) % u64::from(cell_count)) as u32
}

/// The number of cells, and when it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    cells: u32,
    /// Offset of the upstream list at the decision; the highest takes precedence.
    decided_at: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self { cells: 1, decided_at: 0 }
    }
}

impl Layout {
    /// A layout received from another daemon; `None` if the number of cells is invalid.
    pub fn new(cells: u32, decided_at: u64) -> Option<Self> {
        Cell::new(0, cells).map(|_| Self { cells, decided_at })
    }

    /// The layout for this number of engines as of an offset of the upstream list; the same layout
    /// if it need not change. Offset zero makes a provisional layout, which any other one replaces.
    pub fn for_engines(self, engines: usize, offset: u64) -> Self {
        let mut cells = self.cells;
        while cells < MAX_CELLS && engines > MAX_ENGINES_PER_CELL * cells as usize {
            cells *= 2;
        }
        while cells > 1 && engines < MIN_ENGINES_PER_CELL * cells as usize {
            cells /= 2;
        }
        let was_decided = self.decided_at > PROVISIONAL_OFFSET || offset <= PROVISIONAL_OFFSET;
        if cells == self.cells && was_decided {
            return self;
        }
        Self { cells, decided_at: offset.max(self.decided_at + 1) }
    }

    /// Whether `self` was decided after `other`.
    pub fn is_newer_than(self, other: Self) -> bool {
        self.decided_at > other.decided_at
    }

    /// The number of cells.
    pub fn cell_count(self) -> u32 {
        self.cells
    }

    /// Offset of the upstream list at the decision.
    pub fn decided_at(self) -> u64 {
        self.decided_at
    }

    /// Whether there is only one cell.
    pub fn is_undivided(self) -> bool {
        self.cells == 1
    }

    /// All cells, by number.
    pub fn cells(self) -> impl Iterator<Item = Cell> {
        (0..self.cells).map(move |number| Cell { number, cell_count: self.cells })
    }

    /// The cell of an engine.
    pub fn cell_of(self, engine: &UpstreamName) -> Cell {
        Cell { number: cell_number(engine.as_str(), self.cells), cell_count: self.cells }
    }

    /// The cell whose owners a daemon asks first.
    pub fn home_of(self, host: &HostName) -> Cell {
        Cell { number: cell_number(host.as_str(), self.cells), cell_count: self.cells }
    }

    /// The cell for a new run from home cell `home`; when that is nearly full, possibly a random
    /// cell with less load. `loads` holds each cell's memory utilisation, by number.
    pub fn choose<R: Rng>(self, home: Cell, loads: &[f32], rng: &mut R) -> Cell {
        let load = |cell: Cell| loads.get(cell.number as usize).copied().unwrap_or(0.0);
        if self.is_undivided() || load(home) < SPILL_THRESHOLD {
            return home;
        }
        let other = Cell { number: rng.random_range(0..self.cells), cell_count: self.cells };
        let probability = SPILL_GAIN * (load(home) - load(other)) / load(home);
        if rng.random::<f32>() < probability { other } else { home }
    }
}

/// Interval between two reports of a daemon when `daemons` report to the same owner.
pub fn report_interval(daemons: usize) -> Millis {
    let added = REPORT_INTERVAL_PER_DAEMON.0 * daemons as u64;
    (REPORT_INTERVAL + Millis(added)).min(MAX_REPORT_INTERVAL)
}

/// Cells whose engines a daemon needs to know or knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellSet(BTreeSet<Cell>);

impl CellSet {
    /// A set of `cells`, possibly of different layouts.
    pub fn new(cells: impl IntoIterator<Item = Cell>) -> Self {
        Self(cells.into_iter().collect())
    }

    /// The set that contains all engines.
    pub fn all() -> Self {
        Self::new([Cell::ALL])
    }

    /// The cells in the set.
    pub fn cells(&self) -> impl Iterator<Item = Cell> {
        self.0.iter().copied()
    }

    /// Whether the set contains an engine.
    pub fn has(&self, engine: &UpstreamName) -> bool {
        self.0.iter().any(|cell| cell.has(engine))
    }

    /// Whether the set contains all engines of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        other.0.iter().all(|cell| self.covers_cell(*cell))
    }

    /// Whether the set contains all engines of `cell`.
    pub fn covers_cell(&self, cell: Cell) -> bool {
        self.0.iter().any(|own| own.contains(cell))
            || cell.cell_count < MAX_CELLS
                && cell.halves().iter().all(|half| self.covers_cell(*half))
    }
}
