//! Conversions between protocol messages and domain types.

use crate::generated;
use magnoliawinch::admission::LoadReport;
use magnoliawinch::capacity::Capacity;
use magnoliawinch::cells::{Cell, Layout};
use magnoliawinch::membership::{Member, MemberState, Membership};
use magnoliawinch::names::{FailureDomain, HostName, is_valid};
use magnoliawinch::time::Time;
use thiserror::Error;

/// A received member has an invalid or missing field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("member \"{host}\" has an invalid {field}")]
pub struct InvalidMember {
    /// Host, as received.
    pub host: String,
    /// Field name.
    pub field: &'static str,
}

impl From<&Member> for generated::Member {
    fn from(member: &Member) -> Self {
        Self {
            host: member.host.to_string(),
            incarnation: member.incarnation,
            failure_domain: member.failure_domain.to_string(),
            peer_address: member.peer_address.to_string(),
            caller_address: member.caller_address.to_string(),
            capacity: member.capacity.0,
            state: member.state as u32,
        }
    }
}

impl TryFrom<&generated::Member> for Member {
    type Error = InvalidMember;

    fn try_from(message: &generated::Member) -> Result<Self, InvalidMember> {
        let invalid = |field| InvalidMember { host: message.host.clone(), field };
        if !is_valid(&message.host) {
            return Err(invalid("host"));
        }
        let state = u8::try_from(message.state).ok().and_then(MemberState::from_repr);
        // A state that a newer build has added: the daemon responds, and is given no work.
        let state = state.unwrap_or(MemberState::Leaving);
        Ok(Self {
            host: HostName::new(&message.host),
            incarnation: message.incarnation,
            failure_domain: FailureDomain::new(&message.failure_domain),
            peer_address: message.peer_address.parse().map_err(|_| invalid("peer address"))?,
            caller_address: message
                .caller_address
                .parse()
                .map_err(|_| invalid("caller address"))?,
            capacity: Capacity(message.capacity),
            state,
        })
    }
}

impl From<Cell> for generated::CellOf {
    fn from(cell: Cell) -> Self {
        Self { number: cell.number(), of: cell.cell_count() }
    }
}

impl generated::CellOf {
    /// The cell; `None` if the numbers are invalid.
    pub fn cell(&self) -> Option<Cell> {
        Cell::new(self.number, self.of)
    }
}

impl From<Layout> for generated::Layout {
    fn from(layout: Layout) -> Self {
        Self { cells: layout.cell_count(), decided_at: layout.decided_at() }
    }
}

impl generated::Layout {
    /// The layout; `None` if the number of cells is invalid.
    pub fn layout(&self) -> Option<Layout> {
        Layout::new(self.cells, self.decided_at)
    }
}

impl generated::UpstreamLoad {
    /// Message for a load report of `upstream`.
    pub fn new(upstream: &str, report: &LoadReport) -> Self {
        Self {
            upstream: upstream.to_owned(),
            incarnation: report.incarnation,
            running: report.running,
            waiting: report.waiting,
            used_tokens: report.used_tokens,
            step_ms: report.step_ms as f32,
            preemptions: report.preemptions,
            draining: report.draining,
            lag_ms: report.lag_ms as u32,
        }
    }
}

impl From<&generated::UpstreamLoad> for LoadReport {
    fn from(load: &generated::UpstreamLoad) -> Self {
        Self {
            incarnation: load.incarnation,
            running: load.running,
            waiting: load.waiting,
            used_tokens: load.used_tokens,
            step_ms: f64::from(load.step_ms),
            preemptions: load.preemptions,
            draining: load.draining,
            lag_ms: u64::from(load.lag_ms),
        }
    }
}

/// Merges members received from a peer into `membership`; logs and skips invalid ones.
pub fn merge_members(membership: &mut Membership, now: Time, members: &[generated::Member]) {
    for message in members {
        match Member::try_from(message) {
            Ok(member) => {
                membership.merge(now, member);
            }
            Err(e) => log::warn!("ignoring an invalid member received from a peer: {e}"),
        }
    }
}
