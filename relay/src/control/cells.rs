//! Cells of engines: their owners and loads, and the upstreams that this daemon has to track.

use super::Control;
use crate::view::{CellOwners, PoolOwners};
use magnoliawinch::cells::{Cell, CellSet, Layout, report_interval};
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::ownership::large_owners;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CellLoad, CellOf};
use std::collections::HashSet;

/// Interval at which a cell owner polls the readers of the list.
const OWNER_POLL_INTERVAL: Millis = Millis(150);

/// Interval at which a daemon polls the readers when its cell's owners are silent.
const FALLBACK_POLL_INTERVAL: Millis = Millis(400);

/// Age of the list from which the second reader is polled as well.
const SECOND_READER_LIST_AGE: Millis = Millis(700);

/// Age that an owner's list may have beyond two report intervals.
const OWNER_LIST_SLACK: Millis = Millis(500);

#[derive(Debug)]
pub(super) struct Cells {
    pub(super) layout: Layout,
    pub(super) owners: CellOwners,
    /// Engines that this daemon has to track.
    pub(super) needed: CellSet,
    /// Engines for which its list is complete.
    pub(super) covered: CellSet,
    /// Fraction of memory in use or requested by waiting runs, by cell number; may exceed 1.
    pub(super) loads: Vec<f32>,
    readers_polled_at: Time,
}

impl Cells {
    pub(super) fn new() -> Self {
        Self {
            layout: Layout::default(),
            owners: CellOwners::default(),
            needed: CellSet::all(),
            covered: CellSet::new([]),
            loads: Vec::new(),
            readers_polled_at: Time(0),
        }
    }

    /// Whether the list is complete for all engines that this daemon has to track.
    pub(super) fn covers_needed(&self) -> bool {
        self.covered.covers(&self.needed)
    }
}

impl Control {
    /// Recomputes the owners of all cells, and the upstreams and pools that depend on them.
    pub(super) fn update_owners(&mut self) {
        let layout = self.cells.layout;
        let by_number = layout.cells().map(|cell| {
            let owners = large_owners(&cell.key(), &self.membership);
            PoolOwners::new(owners.into_iter().cloned().collect())
        });
        let home = layout.home_of(&self.membership.own().host);
        self.cells.owners = CellOwners::new(layout, home, by_number.collect());
        let needs_all = layout.is_undivided() || self.is_reader();
        self.cells.needed =
            if needs_all { CellSet::all() } else { CellSet::new(self.pool_cells()) };
        self.drop_unneeded_upstreams();
        self.sync_pools();
    }

    /// The cells whose pools this daemon keeps: those it owns and its home cell.
    pub(super) fn pool_cells(&self) -> Vec<Cell> {
        let owners = &self.cells.owners;
        let mut cells: Vec<_> = owners.owned_by(&self.membership.own().host).collect();
        if !cells.contains(&owners.home()) {
            cells.push(owners.home());
        }
        cells
    }

    /// Whether this daemon reads the platform's list for the others.
    pub(super) fn is_reader(&self) -> bool {
        self.cells.owners.readers().contains(&self.membership.own().host)
    }

    /// Whether this daemon is the primary or standby owner of a cell.
    pub(super) fn owns(&self, cell: Cell) -> bool {
        self.cells.owners.of(cell).contains(&self.membership.own().host)
    }

    /// Whether this daemon is the primary owner of a cell, which decides its placements.
    pub(super) fn is_primary_of(&self, cell: Cell) -> bool {
        self.cells.owners.of(cell).is_primary(&self.membership.own().host)
    }

    /// Whether this daemon has to track an upstream: an engine of its cells, or any server that is
    /// not an engine.
    pub(super) fn needs(&self, listed: &ListedUpstream) -> bool {
        self.is_relevant(&self.cells.needed, listed)
    }

    /// Whether a daemon that tracks the engines of `cells` has to know an upstream.
    pub(super) fn is_relevant(&self, cells: &CellSet, listed: &ListedUpstream) -> bool {
        !self.is_engine(listed) || cells.has(&listed.name)
    }

    fn is_engine(&self, listed: &ListedUpstream) -> bool {
        let table = self.table.as_ref();
        let service = table.and_then(|table| table.service(listed.service.as_str()));
        service.is_some_and(|service| service.engine.is_some())
    }

    fn drop_unneeded_upstreams(&mut self) {
        if !self.cells.covers_needed() || self.cells.covered == self.cells.needed {
            return;
        }
        let is_needed = |listed: &&ListedUpstream| self.needs(listed);
        let kept: HashSet<_> =
            self.fleet.all().filter(is_needed).map(|listed| listed.name.clone()).collect();
        self.fleet.retain(|listed| kept.contains(&listed.name));
        self.cells.covered = self.cells.needed.clone();
        self.fleet_view_is_stale = true;
    }

    /// Chooses the number of cells from the number of engines.
    ///
    /// The primary owner of the first cell decides for all daemons. Others use a provisional layout
    /// until they receive its decision; otherwise, after a restart of all daemons, each would
    /// repeatedly read the whole list of a large system.
    pub(super) fn update_layout(&mut self) {
        let is_primary = self.is_primary_of(self.first_cell());
        let may_decide = is_primary || self.cells.layout == Layout::default();
        if !may_decide || !self.cells.covered.covers(&CellSet::all()) {
            return;
        }
        // Engines that leave overlap with those that replace them.
        let is_counted =
            |listed: &&ListedUpstream| self.is_engine(listed) && self.fleet.is_usable(&listed.name);
        let engines = self.fleet.all().filter(is_counted);
        let offset = if is_primary { self.fleet.position().offset } else { 0 };
        let layout = self.cells.layout.for_engines(engines.count(), offset);
        self.apply_layout(layout);
    }

    fn first_cell(&self) -> Cell {
        Cell::new(0, self.cells.layout.cell_count()).unwrap_or(Cell::ALL)
    }

    /// Applies a layout if it was decided later than the current one.
    pub(super) fn apply_layout(&mut self, layout: Layout) {
        if !layout.is_newer_than(self.cells.layout) {
            return;
        }
        let has_same_cells = layout.cell_count() == self.cells.layout.cell_count();
        if has_same_cells {
            self.cells.layout = layout;
            return;
        }
        log::info!(
            cells = layout.cell_count(),
            old_cells = self.cells.layout.cell_count(),
            decided_at = layout.decided_at();
            "engines divided anew"
        );
        self.cells.layout = layout;
        self.cells.loads = vec![0.0; layout.cell_count() as usize];
        self.view_is_stale = true;
        self.update_owners();
    }

    /// Polls the readers of the list for updates if this daemon owns a cell, or if its list is
    /// incomplete or outdated because its cell's owners are silent.
    pub(super) fn poll_readers(&mut self, now: Time) {
        if self.cells.layout.is_undivided() || self.is_reader() {
            return;
        }
        let own = self.membership.own().host.clone();
        let is_owner = self.cells.owners.owned_by(&own).next().is_some();
        let Millis(report_ms) =
            report_interval(self.cells.owners.daemons_per_cell(self.members.len()));
        let age = Millis(u64::from(self.list_age_ms(now)));
        let interval = match is_owner {
            true => OWNER_POLL_INTERVAL,
            false
                if age > Millis(2 * report_ms) + OWNER_LIST_SLACK
                    || !self.cells.covers_needed() =>
            {
                FALLBACK_POLL_INTERVAL
            }
            false => return,
        };
        if now.since(self.cells.readers_polled_at) < interval {
            return;
        }
        self.cells.readers_polled_at = now;
        let readers = self.cells.owners.readers();
        let reader_count = if age > SECOND_READER_LIST_AGE { 2 } else { 1 };
        for reader in readers.iter().take(reader_count) {
            self.request_state(reader.peer_address);
        }
    }

    /// Loads of the cells whose primary owner is this daemon.
    pub(super) fn own_loads(&self, now: Time) -> Vec<(Cell, f32)> {
        let own = self.pool_cells().into_iter().filter(|cell| self.is_primary_of(*cell));
        own.map(|cell| (cell, self.load_of(now, cell))).collect()
    }

    /// Updates the loads that the owners of cells report.
    pub(super) fn update_cell_loads(&mut self, loads: &[CellLoad]) {
        for reported in loads {
            let cell = reported.cell.as_ref().and_then(CellOf::cell);
            let known = cell.filter(|cell| cell.cell_count() == self.cells.layout.cell_count());
            if let Some(load) = known.and_then(|c| self.cells.loads.get_mut(c.number() as usize)) {
                *load = reported.load;
                self.view_is_stale = true;
            }
        }
    }

    /// Replaces the loads of all cells by those that a peer sent.
    pub(super) fn replace_cell_loads(&mut self, loads: &[f32]) {
        if loads.len() == self.cells.loads.len() && !self.cells.layout.is_undivided() {
            self.cells.loads.clear();
            self.cells.loads.extend_from_slice(loads);
            self.view_is_stale = true;
        }
    }

    /// Loads of all cells, for replies to peers; empty if there is only one cell.
    pub(super) fn all_loads(&mut self, now: Time) -> Vec<f32> {
        if self.cells.layout.is_undivided() {
            return Vec::new();
        }
        for (cell, load) in self.own_loads(now) {
            if let Some(known) = self.cells.loads.get_mut(cell.number() as usize) {
                *known = load;
            }
        }
        self.cells.loads.clone()
    }
}
