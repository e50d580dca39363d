//! Failure domains that operators evacuate.

use super::Control;
use magnoliawinch::names::FailureDomain;
use magnoliawinch::store_position::StorePosition;
use magnoliawinch::time::Time;
use magnoliawinch_peer::StateRequest;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Evacuations read from the platform's store.
#[derive(Clone, Debug)]
pub enum EvacuationUpdate {
    /// Changes, each with whether the failure domain is evacuated from then on.
    Changes(Vec<(FailureDomain, bool)>),
    /// All failure domains that are evacuated.
    Snapshot(BTreeSet<FailureDomain>),
}

impl Control {
    /// Applies what this daemon has read up to `position`.
    pub(super) fn apply_evacuations(
        &mut self,
        now: Time,
        position: StorePosition,
        update: EvacuationUpdate,
    ) {
        let has_changed = match update {
            EvacuationUpdate::Changes(changes) => self.evacuations.apply(position, changes),
            EvacuationUpdate::Snapshot(domains) => {
                self.evacuations.replace(now, position, &domains)
            }
        };
        if has_changed {
            self.put_evacuations_in_force(now, "store");
        }
    }

    /// Applies what a peer knows.
    pub(super) fn apply_peer_evacuations(
        &mut self,
        now: Time,
        evacuations: Option<&magnoliawinch_peer::Evacuations>,
    ) {
        let Some(magnoliawinch_peer::Evacuations { era, offset, domains }) = evacuations else {
            return;
        };
        let position = StorePosition { era: *era, offset: *offset };
        let domains = domains.iter().map(|domain| FailureDomain::new(domain));
        if self.evacuations.learn(position, domains) {
            self.put_evacuations_in_force(now, "peer");
        }
    }

    /// What is known of evacuations, for peers.
    pub(super) fn evacuations_to_proto(&self) -> Option<magnoliawinch_peer::Evacuations> {
        let StorePosition { era, offset } = self.evacuations.position();
        let domains = self.evacuations.domains().map(ToString::to_string).collect();
        let is_known = self.evacuations.position() > StorePosition::START;
        is_known.then_some(magnoliawinch_peer::Evacuations { era, offset, domains })
    }

    /// Whether the sender of `req` does not know of the last change.
    pub(super) fn has_evacuations_for(&self, req: &StateRequest) -> bool {
        let known = StorePosition { era: req.evacuations_era, offset: req.evacuations_offset };
        self.evacuations.position() > known
    }

    pub(super) fn tick_evacuations(&mut self, now: Time) {
        if self.evacuations.tick(now) {
            self.put_evacuations_in_force(now, "own");
        }
    }

    fn put_evacuations_in_force(&mut self, now: Time, source: &'static str) {
        let domains: BTreeSet<_> = self.evacuations.domains().cloned().collect();
        let names: Vec<_> = domains.iter().map(FailureDomain::as_str).collect();
        log::info!(domains = names.join(",").as_str(), source; "evacuated failure domains");
        self.evacuated = Arc::new(domains);
        self.update_pool_engines();
        self.publish_view(now);
    }
}
