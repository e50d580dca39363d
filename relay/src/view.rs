//! What the traffic thread sees of the control state.

use magnoliawinch::fleet::Fleet;
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::names::HostName;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::route_table::RouteTable;
use std::collections::HashSet;
use std::sync::Arc;

/// The daemons that own the pools: the first decides, the second knows the same.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolOwners(Arc<Vec<Member>>);

impl PoolOwners {
    pub(crate) fn new(ranked: Vec<Member>) -> Self {
        Self(Arc::new(ranked))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }

    /// The one that decides.
    pub(crate) fn first(&self) -> Option<&Member> {
        self.0.first()
    }

    /// Whether `host` is an owner.
    pub(crate) fn include(&self, host: &HostName) -> bool {
        self.iter().any(|owner| owner.host == *host)
    }

    /// Whether `host` decides.
    pub(crate) fn are_led_by(&self, host: &HostName) -> bool {
        self.first().is_some_and(|owner| owner.host == *host)
    }
}

/// A snapshot of the control state.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// This daemon.
    pub(crate) own: Member,
    /// All daemons that take work or leave, this one among them.
    pub(crate) members: Arc<Vec<Member>>,
    pub(crate) owners: PoolOwners,
    /// Daemons that the shared budgets are divided among.
    pub(crate) daemons: usize,
    /// The configuration in force.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// The upstreams.
    pub(crate) fleet: Arc<Fleet>,
    /// Fingerprints of requests that are refused.
    pub(crate) refused: Arc<HashSet<Fingerprint>>,
}

impl View {
    pub(crate) fn new(own: Member) -> Self {
        Self {
            members: Arc::new(vec![own.clone()]),
            owners: PoolOwners::default(),
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
