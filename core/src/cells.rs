//! Cells of engines, each with owners of its own.
//!
//! An owner's work grows with the engines that it knows and with the daemons that report to it. So
//! a large system is divided: every engine lies in one cell, by the hash of its name, and every
//! daemon has a home cell, whose owners it asks first. Cells are halved and joined, so that an
//! engine's old cell always contains its new one or the other way round.

use crate::names::{HostName, UpstreamName};
use crate::rendezvous;
use rand::{Rng, RngExt};
use std::collections::BTreeSet;

/// Engines of a cell beyond which it is halved: an owner's look at the waiting runs of so many takes
/// 0.6 ms (`core/benches/decisions.rs`), 100 times a second.
const MAX_ENGINES_PER_CELL: usize = 128;

/// Engines of a cell below which two are joined, well under half of that, so that engines which come
/// and go do not change it often.
const MIN_ENGINES_PER_CELL: usize = 40;

/// Cells at the most: twice what 12,000 engines need.
const MAX_CELLS: u32 = 256;

/// When a layout was decided that no daemon has decided for all.
const PROVISIONAL_OFFSET: u64 = 1;

/// Part of a cell's memory in use from which runs of its own daemons look at other cells.
const SPILL_THRESHOLD: f32 = 0.85;

/// How much of its runs a crowded cell sends to another, by how much less that one holds: not all at
/// once, as what is known of loads is about a second old.
const SPILL_GAIN: f32 = 1.5;

/// One part of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    number: u32,
    cell_count: u32,
}

impl Cell {
    /// All engines.
    pub const ALL: Self = Self { number: 0, cell_count: 1 };

    /// The cell `number` of `of`, if there is such a one.
    pub fn new(number: u32, cell_count: u32) -> Option<Self> {
        let is_valid =
            cell_count.is_power_of_two() && cell_count <= MAX_CELLS && number < cell_count;
        is_valid.then_some(Self { number, cell_count })
    }

    /// Its place among all cells.
    pub fn number(self) -> u32 {
        self.number
    }

    /// How many cells there are.
    pub fn cell_count(self) -> u32 {
        self.cell_count
    }

    /// The key by which its owners are ranked.
    pub fn key(self) -> String {
        match self.number {
            0 => "pools".to_owned(),
            number => format!("pools-{number}"),
        }
    }

    /// Whether an engine lies in it.
    pub fn has(self, engine: &UpstreamName) -> bool {
        cell_number(engine.as_str(), self.cell_count) == self.number
    }

    /// Whether all engines of `other` lie in it.
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

/// How the engines are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    cells: u32,
    /// Offset of the list at which it was decided; the latest decision counts.
    decided_at: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self { cells: 1, decided_at: 0 }
    }
}

impl Layout {
    /// A layout that another daemon tells, if it can be one.
    pub fn new(cells: u32, decided_at: u64) -> Option<Self> {
        Cell::new(0, cells).map(|_| Self { cells, decided_at })
    }

    /// The layout for so many engines, as known at an offset of the list; offset zero is for a
    /// provisional one, which any other replaces.
    pub fn for_engines(self, engines: usize, offset: u64) -> Self {
        let mut cells = self.cells;
        while cells < MAX_CELLS && engines > MAX_ENGINES_PER_CELL * cells as usize {
            cells *= 2;
        }
        while cells > 1 && engines < MIN_ENGINES_PER_CELL * cells as usize {
            cells /= 2;
        }
        let was_provisional = self.decided_at == PROVISIONAL_OFFSET && offset > PROVISIONAL_OFFSET;
        if cells == self.cells && !was_provisional {
            return self;
        }
        Self { cells, decided_at: offset.max(self.decided_at + 1) }
    }

    /// Whether `self` was decided after `other`.
    pub fn is_newer_than(self, other: Self) -> bool {
        self.decided_at > other.decided_at
    }

    /// How many cells there are.
    pub fn cell_count(self) -> u32 {
        self.cells
    }

    /// Offset of the list at which it was decided.
    pub fn decided_at(self) -> u64 {
        self.decided_at
    }

    /// Whether the engines are not divided.
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

    /// The cell for a new run of a daemon at `home`: when that is crowded, now and then another one
    /// that is less so. `loads` are the parts of memory in use, by number.
    pub fn choose<R: Rng>(self, home: Cell, loads: &[f32], rng: &mut R) -> Cell {
        let load = |cell: Cell| loads.get(cell.number as usize).copied().unwrap_or(0.0);
        if self.is_undivided() || load(home) < SPILL_THRESHOLD {
            return home;
        }
        let other = Cell { number: rng.random_range(0..self.cells), cell_count: self.cells };
        let share = SPILL_GAIN * (load(home) - load(other)) / load(home);
        if rng.random::<f32>() < share { other } else { home }
    }
}

/// The engines that a daemon has to know, or knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellSet(BTreeSet<Cell>);

impl CellSet {
    /// The engines of `cells`.
    pub fn new(cells: impl IntoIterator<Item = Cell>) -> Self {
        Self(cells.into_iter().collect())
    }

    /// All engines.
    pub fn all() -> Self {
        Self::new([Cell::ALL])
    }

    /// Its cells.
    pub fn cells(&self) -> impl Iterator<Item = Cell> {
        self.0.iter().copied()
    }

    /// Whether an engine is among them.
    pub fn has(&self, engine: &UpstreamName) -> bool {
        self.0.iter().any(|cell| cell.has(engine))
    }

    /// Whether all engines of `other` are among them.
    pub fn covers(&self, other: &Self) -> bool {
        other.0.iter().all(|cell| self.covers_cell(*cell))
    }

    /// Whether all engines of `cell` are among them.
    pub fn covers_cell(&self, cell: Cell) -> bool {
        self.0.iter().any(|own| own.contains(cell))
            || cell.cell_count < MAX_CELLS
                && cell.halves().iter().all(|half| self.covers_cell(*half))
    }
}
