//! The cells of engines: who owns them, which upstreams this daemon has to know, and their loads.

use super::Control;
use super::reports::report_every;
use crate::view::{CellOwners, PoolOwners};
use magnoliawinch::cells::{Cell, Interest, Layout};
use magnoliawinch::fleet::Listed;
use magnoliawinch::ownership::large_owners;
use magnoliawinch::quarantine::{Fingerprint, RefusedFingerprints};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CellLoad, CellOf};
use std::collections::HashSet;

/// Time between two questions of an owner to those who read the list.
const ASK_READERS_EVERY: Millis = Millis(150);

/// The same of a daemon whose owners are silent.
const ASK_READERS_ALONE: Millis = Millis(400);

/// Age of the list from which the second of those who read it is asked.
const ASK_SECOND_AFTER: Millis = Millis(700);

/// Time for an owner's list beyond two reports.
const OWNER_LIST_LAG: Millis = Millis(500);

/// What this daemon knows of the cells.
#[derive(Debug)]
pub(super) struct Cells {
    pub(super) layout: Layout,
    pub(super) owners: CellOwners,
    /// Engines that this daemon has to know.
    pub(super) needed: Interest,
    /// Engines that it knows.
    pub(super) covered: Interest,
    /// Parts of memory in use, by number.
    pub(super) loads: Vec<f32>,
    /// Requests that owners of other cells refuse, as this daemon tells further.
    pub(super) passed_on: RefusedFingerprints,
    asked_at: Time,
}

impl Cells {
    pub(super) fn new() -> Self {
        Self {
            layout: Layout::default(),
            owners: CellOwners::default(),
            needed: Interest::whole(),
            covered: Interest::new([]),
            loads: Vec::new(),
            passed_on: RefusedFingerprints::new(),
            asked_at: Time(0),
        }
    }

    /// Whether the list is known as far as it has to be.
    pub(super) fn are_covered(&self) -> bool {
        self.covered.covers(&self.needed)
    }
}

impl Control {
    /// Ranks the owners of all cells anew.
    pub(super) fn update_owners(&mut self) {
        let layout = self.cells.layout;
        let ranked = layout.cells().map(|cell| {
            let owners = large_owners(&cell.key(), &self.membership);
            PoolOwners::new(owners.into_iter().cloned().collect())
        });
        let home = layout.home_of(&self.membership.own().host);
        self.cells.owners = CellOwners::new(layout, home, ranked.collect());
        let needs_all = layout.is_whole() || self.is_reader();
        self.cells.needed =
            if needs_all { Interest::whole() } else { Interest::new(self.pool_cells()) };
        self.forget_what_is_not_needed();
        self.shape_pools();
    }

    /// The cells of which this daemon keeps pools.
    pub(super) fn pool_cells(&self) -> Vec<Cell> {
        let owners = &self.cells.owners;
        let mut cells: Vec<_> = owners.owned_by(&self.membership.own().host).collect();
        if !cells.contains(&owners.home()) {
            cells.push(owners.home());
        }
        cells
    }

    /// Whether this daemon reads the list for the others.
    pub(super) fn is_reader(&self) -> bool {
        self.cells.owners.readers().include(&self.membership.own().host)
    }

    /// Whether this daemon owns a cell.
    pub(super) fn owns(&self, cell: Cell) -> bool {
        self.cells.owners.of(cell).include(&self.membership.own().host)
    }

    /// Whether this daemon decides for a cell.
    pub(super) fn decides_in(&self, cell: Cell) -> bool {
        self.cells.owners.of(cell).are_led_by(&self.membership.own().host)
    }

    /// Whether an upstream is one that this daemon has to know: one of its engines, or any server
    /// that is no engine.
    pub(super) fn needs(&self, listed: &Listed) -> bool {
        self.is_in(&self.cells.needed, listed)
    }

    /// Whether an upstream is of interest to one that has to know `interest`.
    pub(super) fn is_in(&self, interest: &Interest, listed: &Listed) -> bool {
        !self.is_engine(listed) || interest.has(&listed.name)
    }

    fn is_engine(&self, listed: &Listed) -> bool {
        let table = self.table.as_ref();
        let service = table.and_then(|table| table.service(listed.service.as_str()));
        service.is_some_and(|service| service.engine.is_some())
    }

    fn forget_what_is_not_needed(&mut self) {
        if !self.cells.are_covered() || self.cells.covered == self.cells.needed {
            return;
        }
        let is_needed = |listed: &&Listed| self.needs(listed);
        let kept: HashSet<_> =
            self.fleet.all().filter(is_needed).map(|listed| listed.name.clone()).collect();
        self.fleet.retain(|listed| kept.contains(&listed.name));
        self.cells.covered = self.cells.needed.clone();
        self.fleet_is_old = true;
    }

    /// Divides the engines by their number, as the daemon that decides for all; as another one only
    /// until that is heard, so that after a start of all not each reads the list of a large system
    /// again and again.
    pub(super) fn decide_layout(&mut self) {
        let leads = self.decides_in(self.first_cell());
        let may_decide = leads || self.cells.layout == Layout::default();
        if !may_decide || !self.cells.covered.covers(&Interest::whole()) {
            return;
        }
        let engines = self.fleet.all().filter(|listed| self.is_engine(listed));
        let offset = if leads { self.fleet.through() } else { 0 };
        let layout = self.cells.layout.for_engines(engines.count(), offset);
        self.take_layout(layout);
    }

    fn first_cell(&self) -> Cell {
        Cell::new(0, self.cells.layout.count()).unwrap_or(Cell::WHOLE)
    }

    /// Takes over a layout that was decided later than the one known.
    pub(super) fn take_layout(&mut self, layout: Layout) {
        if !layout.is_newer_than(self.cells.layout) {
            return;
        }
        let is_same = layout.count() == self.cells.layout.count();
        if is_same {
            self.cells.layout = layout;
            return;
        }
        log::info!(
            cells = layout.count(),
            old_cells = self.cells.layout.count(),
            decided_at = layout.decided_at();
            "engines divided anew"
        );
        self.cells.layout = layout;
        self.cells.loads = vec![0.0; layout.count() as usize];
        self.view_is_old = true;
        self.update_owners();
    }

    /// Asks those who read the list for what is new, as the owner of a cell, or because the owners
    /// of this daemon's cell are silent.
    pub(super) fn ask_readers(&mut self, now: Time) {
        if self.cells.layout.is_whole() || self.is_reader() {
            return;
        }
        let own = self.membership.own().host.clone();
        let is_owner = self.cells.owners.owned_by(&own).next().is_some();
        let Millis(report) = report_every(self.cells.owners.share_of(self.members.len()));
        let age = Millis(u64::from(self.list_age_ms(now)));
        let every = match is_owner {
            true => ASK_READERS_EVERY,
            false if age > Millis(2 * report) + OWNER_LIST_LAG || !self.cells.are_covered() => {
                ASK_READERS_ALONE
            }
            false => return,
        };
        if now.since(self.cells.asked_at) < every {
            return;
        }
        self.cells.asked_at = now;
        let readers = self.cells.owners.readers();
        let asked = if age > ASK_SECOND_AFTER { 2 } else { 1 };
        for reader in readers.iter().take(asked) {
            self.ask_state(reader.peer_address);
        }
    }

    /// Loads of the cells for which this daemon decides.
    pub(super) fn own_loads(&self, now: Time) -> Vec<(Cell, f32)> {
        let own = self.pool_cells().into_iter().filter(|cell| self.decides_in(*cell));
        own.map(|cell| (cell, self.load_of(now, cell))).collect()
    }

    /// Takes over loads that owners tell.
    pub(super) fn take_cell_loads(&mut self, loads: &[CellLoad]) {
        for told in loads {
            let cell = told.cell.as_ref().and_then(CellOf::cell);
            let known = cell.filter(|cell| cell.of() == self.cells.layout.count());
            if let Some(load) = known.and_then(|c| self.cells.loads.get_mut(c.number() as usize)) {
                *load = told.load;
                self.view_is_old = true;
            }
        }
    }

    /// Takes over the loads of all cells.
    pub(super) fn take_loads(&mut self, loads: &[f32]) {
        if loads.len() == self.cells.loads.len() && !self.cells.layout.is_whole() {
            self.cells.loads.clear();
            self.cells.loads.extend_from_slice(loads);
            self.view_is_old = true;
        }
    }

    /// Loads of all cells, as told further.
    pub(super) fn all_loads(&mut self, now: Time) -> Vec<f32> {
        if self.cells.layout.is_whole() {
            return Vec::new();
        }
        for (cell, load) in self.own_loads(now) {
            if let Some(known) = self.cells.loads.get_mut(cell.number() as usize) {
                *known = load;
            }
        }
        self.cells.loads.clone()
    }

    /// Requests that owners of any cell refuse, as far as this daemon hears of it.
    pub(super) fn refused_anywhere(&self) -> Vec<u64> {
        let own = self.quarantine.refused();
        own.chain(self.cells.passed_on.iter()).map(|print| print.0).collect()
    }

    /// Takes over requests that others refuse, to be told further.
    pub(super) fn pass_on_refused(&mut self, now: Time, refused: &[u64]) {
        for print in refused {
            self.cells.passed_on.renew(now, Fingerprint(*print));
            self.view_is_old |= self.refused.renew(now, Fingerprint(*print));
        }
    }
}
