//! A run in a pool, as its holder last reported it.

use super::relocation::{PendingMove, Refusals, Retries};
use super::{MIN_TIME_LEFT, STEP_MS};
use crate::admission::load::Footprint;
use crate::names::{HostName, KindName, OrganisationName, UpstreamName};
use crate::time::{Millis, Time};

/// Time past its expected prefill after which a run without an event is taken to wait for memory
/// that its engine lacks. Well over the 100 ms of a first event, and short enough that the next run
/// is not late.
const STUCK_AFTER: Millis = Millis(400);

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) holder: HostName,
    pub(super) kind: KindName,
    pub(super) organisation: OrganisationName,
    pub(super) engine: UpstreamName,
    pub(super) backup: Option<UpstreamName>,
    /// The move that the holder was ordered to make, until it ends.
    pub(super) pending_move: Option<PendingMove>,
    /// Target of a move that its holder still reports after the move's time limit.
    pub(super) expired_move: Option<UpstreamName>,
    pub(super) refusals: Refusals,
    pub(super) retries: Retries,
    pub(super) footprint: Footprint,
    pub(super) placed_at: Time,
    /// Expected end of its prefill.
    pub(super) prefill_due: Time,
    /// When its holder last reported it; `placed_at` before the first report.
    pub(super) confirmed_at: Time,
    pub(super) max_pause: Option<Millis>,
    /// When its holder first reported output.
    pub(super) begun_at: Option<Time>,
}

impl Run {
    pub(super) fn tokens(&self, now: Time) -> f64 {
        self.footprint.tokens(now, STEP_MS)
    }

    pub(super) fn remaining_ms(&self, now: Time) -> f64 {
        self.footprint.expected_residual(now, STEP_MS) * STEP_MS
    }

    /// Whether it will probably be written for a while.
    pub(super) fn is_long(&self, now: Time) -> bool {
        self.remaining_ms(now) >= MIN_TIME_LEFT.0 as f64
    }

    /// Whether it has begun to write.
    pub(super) fn has_begun(&self) -> bool {
        self.footprint.written > 0.0
    }

    /// Whether it has no output well after its prefill should be complete.
    pub(super) fn is_stuck(&self) -> bool {
        !self.has_begun()
            && self.pending_move.is_none()
            && self.confirmed_at.since(self.prefill_due) > STUCK_AFTER
    }

    /// Engines with its memory or a copy of it, without duplicates.
    pub(super) fn occupied(&self) -> impl Iterator<Item = &UpstreamName> {
        let target = self.pending_move.as_ref().map(|pending_move| &pending_move.to);
        let target = target.filter(|to| **to != self.engine);
        let backup = self.backup.as_ref();
        let backup = backup.filter(|name| **name != self.engine && target != Some(*name));
        std::iter::once(&self.engine).chain(target).chain(backup)
    }
}
