//! What the traffic thread sees of the control state.

use magnoliawinch::fleet::Fleet;
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::route_table::RouteTable;
use std::collections::HashSet;
use std::sync::Arc;

/// A snapshot of the control state.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// This daemon.
    pub(crate) own: Member,
    /// All daemons that take work or leave, this one among them.
    pub(crate) members: Arc<Vec<Member>>,
    /// Daemons that own the pools, the first before the second.
    pub(crate) owners: Arc<Vec<Member>>,
    /// Daemons that the shared budgets are divided among.
    pub(crate) daemons: usize,
    /// The configuration in force.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// The upstreams.
    pub(crate) fleet: Arc<Fleet>,
    /// Fingerprints of requests that are refused.
    pub(crate) refused: Arc<HashSet<u64>>,
}

impl View {
    pub(crate) fn new(own: Member) -> Self {
        Self {
            members: Arc::new(vec![own.clone()]),
            owners: Arc::default(),
            daemons: 1,
            table: None,
            fleet: Arc::default(),
            refused: Arc::default(),
            own,
        }
    }

    /// Whether the daemon takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.is_some() && self.fleet.is_known() && self.own.state == MemberState::Alive
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.own.state == MemberState::Leaving
    }
}
