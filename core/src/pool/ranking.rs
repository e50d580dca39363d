//! Places of queued requests in a pool that organisations share.

use super::PlacementRequest;
use super::queue::QueuedRequest;
use super::returns::ReturnedCaller;
use crate::names::{KindName, OrganisationName};
use crate::shares::Standings;
use crate::time::{Millis, Time};
use std::cmp::Ordering;
use std::collections::HashMap;

/// Longest backlog of prompts at an engine that gets a request. More would keep no engine busier, and who
/// waits at an engine cannot go behind others any more.
const MAX_BACKLOG_MS: f64 = 1_000.0;

/// The same for organisations above their share; the rest of the backlog is for others.
const MAX_BACKLOG_ABOVE_SHARE_MS: f64 = 600.0;

/// What comes first when requests wait for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Its first event can still be on time, or its caller came back when room was promised to it.
    OnTime,
    /// It is late, and its caller came back when it was told to.
    Returned,
    Late,
}

/// Place of a request in the queue; the least goes first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rank {
    pub(super) class: Class,
    pub(super) priority: u8,
    /// Use of its organisation relative to the share; zero within the share.
    pub(super) excess: f64,
    pub(super) waiting_since: Time,
    /// Whether room was promised to its caller.
    pub(super) has_room: bool,
}

impl Rank {
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        let by_class = self.class.cmp(&other.class);
        let by_priority = self.priority.cmp(&other.priority);
        let by_excess = self.excess.total_cmp(&other.excess);
        let by_wait = self.waiting_since.cmp(&other.waiting_since);
        by_class.then(by_priority).then(by_excess).then(by_wait)
    }
}

impl PlacementRequest {
    /// The request as it chooses its engine, which has to read its prompt soon.
    pub(super) fn at_rank(&self, now: Time, rank: Rank) -> Self {
        let backlog = match rank.excess > 0.0 {
            true => MAX_BACKLOG_ABOVE_SHARE_MS,
            false => MAX_BACKLOG_MS,
        };
        let latest = now + Millis((backlog + self.first_event_ms()) as u64);
        let first_event_deadline = match self.can_be_on_time(now) {
            true => self.first_event_deadline.min(latest),
            false => latest,
        };
        Self { first_event_deadline, ..self.clone() }
    }
}

/// Standings by overall use, and by use of each kind of request: the runs of some kinds hold memory
/// so briefly that their organisation could take all prefill time within its share of memory.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolStandings {
    pub(super) overall: Standings,
    pub(super) by_kind: HashMap<KindName, Standings>,
}

impl PoolStandings {
    pub(super) fn excess(&self, kind: &KindName, organisation: &OrganisationName) -> f64 {
        let of_kind = self.by_kind.get(kind);
        let of_kind = of_kind.map_or(0.0, |standings| standings.excess(organisation));
        self.overall.excess(organisation).max(of_kind)
    }

    pub(super) fn rank(
        &self,
        now: Time,
        request: &PlacementRequest,
        queued_at: Time,
        returned: Option<ReturnedCaller>,
    ) -> Rank {
        let class = match returned {
            _ if request.can_be_on_time(now) => Class::OnTime,
            Some(ReturnedCaller { has_room: true, .. }) => Class::OnTime,
            Some(_) => Class::Returned,
            None => Class::Late,
        };
        Rank {
            class,
            priority: request.priority,
            excess: self.excess(&request.kind, &request.organisation),
            waiting_since: returned.map_or(queued_at, |caller| caller.first_refused_at),
            has_room: returned.is_some_and(|caller| caller.has_room),
        }
    }

    pub(super) fn rank_queued(&self, now: Time, queued: &QueuedRequest) -> Rank {
        self.rank(now, &queued.request, queued.queued_at, queued.returned)
    }
}
