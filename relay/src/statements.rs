//! What upstreams state about themselves in their responses.

use crate::control::Message;
use crate::shared::Shared;
use magnoliawinch::balance::Load;
use magnoliawinch::names::{ServiceName, UpstreamName};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::upstream_limits::{Brittle, Terms};
use magnoliawinch::upstream_notices::Incarnation;

impl Shared {
    /// Notes that an upstream is leaving, or wants no requests for a while.
    pub(crate) fn note_statements(
        &self,
        upstream: &Incarnation,
        is_leaving: bool,
        retry_after: Option<Millis>,
    ) {
        let now = self.clock.now();
        if let Some(wait) = retry_after {
            self.note_retry_after(now, upstream, wait);
        }
        if !is_leaving {
            return;
        }
        let is_news = self.upstreams.notices().record_leaving(now, upstream);
        if is_news {
            self.metrics.count("upstream_statement", "leaving");
            log::info!(
                upstream = upstream.name.as_str(),
                born = upstream.born;
                "upstream states that it is leaving"
            );
        }
        // Repeated until it has arrived: the control thread drops messages when it is overloaded.
        if is_news || self.view.load().fleet.is_usable(&upstream.name) {
            self.tell(Message::UpstreamLeaving(upstream.clone()));
        }
    }

    /// Notes how long work takes on the machine of an engine, in hundredths of the usual time.
    pub(crate) fn note_slowdown(&self, service: &ServiceName, engine: &UpstreamName, percent: u32) {
        let view = self.view.load();
        let service = view.table.as_ref().and_then(|table| table.service(service.as_str()));
        if self.settings.scheduling.keeps_pauses
            && let Some(service) = service.filter(|service| service.engine.is_some())
        {
            self.runs.note_slowdown(self.clock.now(), &service.name, engine, percent);
        }
    }

    /// The limits that an upstream names.
    pub(crate) fn terms(
        &self,
        upstream: &Incarnation,
        per_second: Option<f64>,
        max_rejections: Option<u32>,
    ) -> Terms {
        let view = self.view.load();
        let service =
            view.table.as_ref().and_then(|table| table.service(upstream.service.as_str()));
        let is_pooled = service.is_some_and(|service| service.engine.is_some());
        let listed = view.fleet.get(&upstream.name).filter(|_| !is_pooled);
        let slots = listed.map_or(0, |listed| listed.slots);
        let brittle = max_rejections.map(|max_rejections| Brittle { max_rejections, slots });
        Terms { per_second, brittle }
    }

    /// Notes the limits that an upstream names in the response to a request sent at `sent_at`.
    pub(crate) fn note_limit(&self, upstream: &Incarnation, sent_at: Time, terms: Terms) {
        let now = self.clock.now();
        let is_news = {
            let mut notices = self.upstreams.notices();
            // A response that has crossed one with a limit does not end that.
            let is_known = !terms.is_none() || notices.names_limit_since(&upstream.name, sent_at);
            is_known && notices.record_limit(now, now, upstream, terms)
        };
        if is_news {
            self.metrics.count("upstream_statement", "limit");
            log_limit(upstream, terms, "own");
            self.tell(Message::LimitNews);
        }
    }

    /// Notes that an upstream turned a request away for want of room.
    pub(crate) fn note_turned_away(&self, upstream: &Incarnation) {
        let now = self.clock.now();
        if self.upstreams.notices().record_turned_away(now, now, upstream) {
            self.metrics.count("upstream_statement", "full");
            log::info!(
                upstream = upstream.name.as_str(),
                born = upstream.born;
                "brittle upstream turned a request away"
            );
            self.tell(Message::LimitNews);
        }
    }

    /// Notes the load that a server of a plain service reported.
    pub(crate) fn note_load(&self, server: &UpstreamName, load: Load) {
        let is_news = self.routing().balancer.record_load(self.clock.now(), server, load);
        if is_news {
            self.note_server_news(server, "slow");
        }
    }

    /// Notes that another server responded to a request first, `waited` after it was sent to this one.
    pub(crate) fn note_overtaken(&self, server: &UpstreamName, waited: Millis) {
        self.routing().balancer.overtaken(self.clock.now(), server, waited);
        self.note_silence(server);
    }

    /// Notes that a server has not responded for a while, if that is so.
    pub(crate) fn note_silence(&self, server: &UpstreamName) {
        let is_news = self.routing().balancer.note_silence(self.clock.now(), server);
        if is_news {
            self.note_server_news(server, "silent");
        }
    }

    fn note_server_news(&self, server: &UpstreamName, state: &'static str) {
        self.metrics.count("server_news", state);
        if self.log_limiter.admits(self.clock.now()) {
            log::info!(upstream = server.as_str(), state; "state of server has changed");
        }
        self.tell(Message::ServerNews);
    }

    fn note_retry_after(&self, now: Time, upstream: &Incarnation, wait: Millis) {
        let honoured = wait.min(self.settings.bounds.max_retry_after);
        self.upstreams.notices().record_retry_after(now, upstream, honoured);
        self.metrics.count("upstream_statement", "retry_after");
        if self.log_limiter.admits(now) {
            log::info!(
                upstream = upstream.name.as_str(),
                wait_ms = wait.0,
                honoured_ms = honoured.0;
                "upstream wants no requests for a while"
            );
        }
    }
}

/// Logs that an upstream names other limits, or none any more.
pub(crate) fn log_limit(upstream: &Incarnation, terms: Terms, source: &'static str) {
    log::info!(
        upstream = upstream.name.as_str(),
        born = upstream.born,
        has_limit = terms.per_second.is_some(),
        per_second = terms.per_second.unwrap_or_default(),
        is_brittle = terms.brittle.is_some(),
        max_rejections = terms.brittle.map_or(0, |brittle| brittle.max_rejections),
        source;
        "limit of upstream"
    );
}
