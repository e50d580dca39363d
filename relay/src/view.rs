//! Snapshots of the control state for the traffic thread.

use crate::refusal::{Culprit, Refused};
use magnoliawinch::cells::{Cell, Layout};
use magnoliawinch::fleet::Fleet;
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::names::{FailureDomain, HostName, UpstreamName};
use magnoliawinch::prompt_parts::PartId;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::route_table::RouteTable;
use magnoliawinch::time::{Millis, Time};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Owners of a cell's pools: the primary decides, the standby gets the same reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolOwners(Arc<Vec<Member>>);

impl PoolOwners {
    pub(crate) fn new(ranked: Vec<Member>) -> Self {
        Self(Arc::new(ranked))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }

    pub(crate) fn primary(&self) -> Option<&Member> {
        self.0.first()
    }

    pub(crate) fn contains(&self, host: &HostName) -> bool {
        self.iter().any(|owner| owner.host == *host)
    }

    pub(crate) fn is_primary(&self, host: &HostName) -> bool {
        self.primary().is_some_and(|owner| owner.host == *host)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct CellOwners {
    layout: Layout,
    home: Cell,
    by_number: Arc<Vec<PoolOwners>>,
}

impl Default for CellOwners {
    fn default() -> Self {
        Self { layout: Layout::default(), home: Cell::ALL, by_number: Arc::default() }
    }
}

impl CellOwners {
    /// The owners indexed by cell number, for a daemon whose home cell is `home`.
    pub(crate) fn new(layout: Layout, home: Cell, by_number: Vec<PoolOwners>) -> Self {
        Self { layout, home, by_number: Arc::new(by_number) }
    }

    pub(crate) fn layout(&self) -> Layout {
        self.layout
    }

    /// The cell whose owners this daemon asks first.
    pub(crate) fn home(&self) -> Cell {
        self.home
    }

    /// The owners of a cell; empty if it is not part of this layout.
    pub(crate) fn of(&self, cell: Cell) -> PoolOwners {
        let is_known = cell.cell_count() == self.layout.cell_count();
        let owners = is_known.then(|| self.by_number.get(cell.number() as usize)).flatten();
        owners.cloned().unwrap_or_default()
    }

    /// The owners of the first cell, which read the platform's list for all others.
    pub(crate) fn readers(&self) -> PoolOwners {
        self.by_number.first().cloned().unwrap_or_default()
    }

    pub(crate) fn owned_by(&self, host: &HostName) -> impl Iterator<Item = Cell> {
        self.layout.cells().filter(|cell| self.of(*cell).contains(host))
    }

    /// Average number of daemons per cell for a total of `daemons`, rounded up.
    pub(crate) fn daemons_per_cell(&self, daemons: usize) -> usize {
        daemons.div_ceil(self.layout.cell_count() as usize)
    }
}

/// A snapshot of the control state.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// This daemon.
    pub(crate) own: Member,
    /// All daemons that have not failed, including this one.
    pub(crate) members: Arc<Vec<Member>>,
    pub(crate) cells: CellOwners,
    /// Fraction of memory in use or requested by waiting runs, by cell number; may exceed 1.
    pub(crate) cell_loads: Arc<Vec<f32>>,
    /// Rank of this daemon among the readers of the store and their deputies, from 0.
    pub(crate) reader_rank: Option<usize>,
    /// Largest number of daemons seen; shared budgets are divided among that many.
    pub(crate) peak_daemons: usize,
    /// The configuration in force.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// The upstreams.
    pub(crate) fleet: Arc<Fleet>,
    /// Whether `fleet` has all upstreams, not only those of this daemon's cells.
    pub(crate) knows_whole_list: bool,
    /// Requests under which upstreams have ended.
    pub(crate) quarantine: Arc<HashMap<Fingerprint, SuspectRequests>>,
    /// Parts of prompts on which engines end, and until when all requests with them are refused.
    pub(crate) blamed_parts: Arc<HashMap<PartId, Time>>,
    /// Failure domains whose upstreams get no requests.
    pub(crate) evacuated: Arc<BTreeSet<FailureDomain>>,
}

/// Equal requests under which upstreams have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SuspectRequests {
    /// Until when new ones are refused.
    pub(crate) refused_until: Time,
    /// Whether those in progress are withdrawn meanwhile.
    pub(crate) are_withdrawn: bool,
}

impl View {
    pub(crate) fn new(own: Member) -> Self {
        Self {
            members: Arc::new(vec![own.clone()]),
            cells: CellOwners::default(),
            cell_loads: Arc::default(),
            reader_rank: None,
            peak_daemons: 1,
            table: None,
            fleet: Arc::default(),
            knows_whole_list: false,
            quarantine: Arc::default(),
            blamed_parts: Arc::default(),
            evacuated: Arc::default(),
            own,
        }
    }

    /// Whether the daemon accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.is_some() && self.fleet.has_been_read() && self.own.state == MemberState::Alive
    }

    /// Whether an upstream is in a failure domain that is evacuated.
    pub(crate) fn is_evacuated(&self, upstream: &UpstreamName) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let listed = self.fleet.get(upstream);
        listed.is_some_and(|listed| self.evacuated.contains(&listed.failure_domain))
    }

    /// How long requests with this fingerprint are refused; `None` if they may run.
    pub(crate) fn refused_for(&self, now: Time, fingerprint: Fingerprint) -> Option<Millis> {
        let until = self.quarantine.get(&fingerprint)?.refused_until;
        (now < until).then(|| until.since(now))
    }

    /// All that is refused.
    pub(crate) fn refused(&self, now: Time) -> Refused {
        let equal = self.quarantine.iter().map(|(fingerprint, suspects)| {
            (Culprit::Fingerprint(*fingerprint), suspects.refused_until)
        });
        let parts = self.blamed_parts.iter().map(|(part, until)| (Culprit::Part(*part), *until));
        equal.chain(parts).filter(|(_, until)| now < *until).collect()
    }

    /// Whether requests with this fingerprint that wait for their upstreams are withdrawn.
    pub(crate) fn withdraws(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let suspects = self.quarantine.get(&fingerprint);
        suspects.is_some_and(|suspects| suspects.are_withdrawn && now < suspects.refused_until)
    }
}
