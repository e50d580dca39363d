//! Upstreams that this daemon has learned are leaving, to be passed on to other daemons.
//!
//! Each daemon passes a fact on for a short time from when it first learns of it, so that every fact
//! spreads and then ends, however many daemons repeat it.

use crate::time::{Millis, Time};
use crate::upstreams::LeavingNotice;
use std::collections::VecDeque;

/// How long a fact is passed on: some intervals of reports and probes.
const PASSED_ON_FOR: Millis = Millis(3_000);

/// Facts in one message.
const MAX_FACTS: usize = 128;

/// Recently learned facts, oldest first.
#[derive(Clone, Debug, Default)]
pub struct LeavingNews {
    facts: VecDeque<(Time, LeavingNotice)>,
}

impl LeavingNews {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fact, which must not have been known before.
    pub fn record(&mut self, now: Time, fact: LeavingNotice) {
        self.facts.push_back((now, fact));
        if self.facts.len() > MAX_FACTS {
            self.facts.pop_front();
        }
    }

    /// The facts to pass on.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &LeavingNotice> {
        let is_recent = move |(at, _): &&(Time, LeavingNotice)| now.since(*at) < PASSED_ON_FOR;
        self.facts.iter().filter(is_recent).map(|(_, fact)| fact)
    }
}
