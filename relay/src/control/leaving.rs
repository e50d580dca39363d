//! Evidence that upstreams are leaving, apart from the list: their own statements, which daemons
//! pass on to each other.

use super::Control;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::Time;
use magnoliawinch::upstream_notices::Incarnation;
use magnoliawinch::upstreams::LeavingNotice;
use magnoliawinch_peer::UpstreamLeaving;

impl Control {
    /// Handles an upstream's own statement that it is leaving.
    pub(super) fn handle_upstream_leaving(&mut self, now: Time, upstream: &Incarnation) {
        if self.learn_leaving(now, &upstream.name, upstream.born) {
            // The owners of its pool place the runs of all daemons.
            self.pools.report_soon();
        }
    }

    /// Handles what a peer has learned.
    pub(super) fn apply_leaving_news(&mut self, now: Time, news: &[UpstreamLeaving]) {
        for UpstreamLeaving { upstream, incarnation } in news {
            let name = UpstreamName::new(upstream);
            let service = self.fleet.get(&name).map(|listed| listed.service.clone());
            if self.learn_leaving(now, &name, *incarnation)
                && let Some(service) = service
            {
                let upstream = Incarnation { service, name, born: *incarnation };
                self.shared.upstreams.notices().record_leaving(now, &upstream);
            }
        }
    }

    /// Takes an upstream out of use; returns whether the fact is new, and then passes it on.
    fn learn_leaving(&mut self, now: Time, name: &UpstreamName, born: u64) -> bool {
        if !self.fleet.mark_leaving(now, name, born) {
            return false;
        }
        self.fleet_view_is_stale = true;
        self.drain_upstreams(now, std::slice::from_ref(name));
        self.leaving_news.record(now, LeavingNotice { upstream: name.clone(), incarnation: born });
        true
    }

    /// What this daemon has recently learned, for peers.
    pub(super) fn leaving_news(&self, now: Time) -> Vec<UpstreamLeaving> {
        let recent = self.leaving_news.recent(now).map(|fact| UpstreamLeaving {
            upstream: fact.upstream.to_string(),
            incarnation: fact.incarnation,
        });
        recent.collect()
    }
}
