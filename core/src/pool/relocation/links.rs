//! Use of engines' links by copies of runs: one copy at a time over each.
//!
//! A move uses the links of both engines until its holder reports that the final copy has ended, or the
//! move has. So a run that has stopped does not wait behind the first copy of another.

use super::outcome::PendingMove;
use crate::names::UpstreamName;
use crate::pool::{Pool, Run};
use crate::time::{Millis, Time};
use std::collections::HashSet;

/// Time for the remote calls around a copy.
const COPY_RPC_MS: u64 = 30;

/// Slowdown of a copy to another failure domain, as documented by the platform.
const CROSS_DOMAIN_COPY_FACTOR: u64 = 2;

/// Expected times of a copy after which it no longer keeps others from its links: it is stuck, or its
/// holder does not report its progress.
const MAX_COPY_OVERRUN: u64 = 3;

/// Engines whose links copies use.
#[derive(Clone, Debug)]
pub(super) struct BusyLinks(HashSet<UpstreamName>);

impl BusyLinks {
    pub(super) fn contains(&self, engine: &UpstreamName) -> bool {
        self.0.contains(engine)
    }

    pub(super) fn insert(&mut self, from: &UpstreamName, to: &UpstreamName) {
        self.0.extend([from.clone(), to.clone()]);
    }
}

impl Pool {
    pub(super) fn busy_links(&self, now: Time) -> BusyLinks {
        let mut links = BusyLinks(HashSet::new());
        for run in self.runs.values() {
            if let Some(PendingMove { to, .. }) =
                run.pending_move.as_ref().filter(|pending| pending.uses_links(now))
            {
                links.insert(&run.engine, to);
            }
        }
        links
    }

    pub(in crate::pool) fn is_cross_domain(&self, from: &UpstreamName, to: &UpstreamName) -> bool {
        let domain = |name| self.engines.get(name).map(|engine| &engine.failure_domain);
        domain(from) != domain(to)
    }

    /// Time of a run's first copy over free links, with the calls around it.
    pub(super) fn copy_time(&self, now: Time, run: &Run, to: &UpstreamName) -> Millis {
        let Millis(transfer) = self.transfer_time(&run.engine, to, run.tokens(now) as u64);
        Millis(transfer + COPY_RPC_MS)
    }

    /// Time to transfer the memory of `tokens` between two engines over free links.
    pub(in crate::pool) fn transfer_time(
        &self,
        from: &UpstreamName,
        to: &UpstreamName,
        tokens: u64,
    ) -> Millis {
        let Millis(copy) = self.config.copy_time(tokens);
        let factor = if self.is_cross_domain(from, to) { CROSS_DOMAIN_COPY_FACTOR } else { 1 };
        Millis(copy * factor)
    }

    /// Until when a copy that is ordered now keeps others from its links, unless it ends before.
    pub(super) fn link_until(&self, now: Time, run: &Run, copy_time: Millis) -> Time {
        // The engine copies no run that has not begun to write.
        let overrun = if run.has_begun() { MAX_COPY_OVERRUN } else { 1 };
        now + Millis(copy_time.0 * overrun)
    }
}
