//! Facts that other daemons must hear of within moments.

use super::Control;
use magnoliawinch::time::{Millis, Time};

/// Daemons told at once; each tells as many others.
const FANOUT: usize = 4;

/// Minimum time between two such rounds of one daemon, as many hosts may report one fact.
const MIN_INTERVAL: Millis = Millis(50);

/// Whether there is news that other daemons have not been told of.
#[derive(Debug, Default)]
pub(super) struct UrgentNews {
    told_at: Time,
    is_due: bool,
}

impl Control {
    /// Tells random daemons of this daemon's news, or does so shortly if others were told a moment
    /// ago. All probes carry it.
    pub(super) fn tell_news(&mut self, now: Time) {
        self.urgent_news.is_due = true;
        self.tell_due_news(now);
    }

    pub(super) fn tell_due_news(&mut self, now: Time) {
        if !self.urgent_news.is_due || now.since(self.urgent_news.told_at) < MIN_INTERVAL {
            return;
        }
        self.urgent_news = UrgentNews { told_at: now, is_due: false };
        for target in self.membership.random_members(FANOUT, &mut self.rng) {
            self.send_probe(target.peer_address, Some(target.host));
        }
    }
}
