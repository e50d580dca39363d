//! Failure domains that operators evacuate: their upstreams get no requests until that is taken back.

use crate::names::FailureDomain;
use crate::store_position::StorePosition;
use crate::time::{Millis, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which an evacuation is kept that a copy of the store does not have: operators write again
/// what the store has lost.
const REWIND_GRACE: Millis = Millis(10_000);

/// The evacuations that one daemon knows of.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Where the last change of `domains` was read.
    position: StorePosition,
    /// With the time until which each is kept without being written again, if it has to be.
    domains: BTreeMap<FailureDomain, Option<Time>>,
}

impl Evacuations {
    /// Creates a record without evacuations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Where the last change was read.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.domains.keys()
    }

    /// Applies all evacuations that the store has at `position`; returns whether any has changed.
    pub fn replace(
        &mut self,
        now: Time,
        position: StorePosition,
        domains: &BTreeSet<FailureDomain>,
    ) -> bool {
        if position < self.position {
            return false;
        }
        let is_copy = position.is_rewound_since(self.position);
        let mut new: BTreeMap<_, _> = domains.iter().map(|domain| (domain.clone(), None)).collect();
        if is_copy {
            for (domain, until) in &self.domains {
                let until = until.unwrap_or(now + REWIND_GRACE);
                new.entry(domain.clone()).or_insert(Some(until));
            }
        }
        self.set(position, new)
    }

    /// Applies changes before `position`, each with whether the failure domain is evacuated from then
    /// on; returns whether any has changed.
    pub fn apply(
        &mut self,
        position: StorePosition,
        changes: impl IntoIterator<Item = (FailureDomain, bool)>,
    ) -> bool {
        if position < self.position {
            return false;
        }
        let mut new = self.domains.clone();
        for (domain, is_evacuated) in changes {
            if is_evacuated {
                new.insert(domain, None);
            } else {
                new.remove(&domain);
            }
        }
        self.set(position, new)
    }

    /// Applies what a peer knows; returns whether it is news.
    pub fn learn(
        &mut self,
        position: StorePosition,
        domains: impl IntoIterator<Item = FailureDomain>,
    ) -> bool {
        position > self.position
            && self.set(position, domains.into_iter().map(|domain| (domain, None)).collect())
    }

    fn set(
        &mut self,
        position: StorePosition,
        domains: BTreeMap<FailureDomain, Option<Time>>,
    ) -> bool {
        let has_changed = self.domains.keys().ne(domains.keys());
        self.domains = domains;
        if has_changed {
            self.position = position;
        }
        has_changed
    }

    /// Drops evacuations that were not written again; returns whether there were any.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.domains.len();
        self.domains.retain(|_, until| until.is_none_or(|until| now < until));
        let has_changed = self.domains.len() < before;
        if has_changed {
            // Peers have to hear of it, too.
            self.position.offset += 1;
        }
        has_changed
    }
}
