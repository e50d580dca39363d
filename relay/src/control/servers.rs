//! Slow and silent servers of plain services, of which hosts tell each other.

use super::Control;
use super::updates::age_ms;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::server_model::ServerFacts;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::ServerNews;

/// Servers in one message.
const MAX_SERVERS: usize = 16;

/// Daemons told at once, in this daemon's failure domain and anywhere: enough for the news to reach
/// nearly all, with little traffic between domains.
const NEAR_FANOUT: usize = 3;
const FAR_FANOUT: usize = 1;

/// Minimum time between two rounds of telling others at once. Where there are more changes, they
/// travel with the probes that are sent anyway.
const MIN_ROUND_INTERVAL: Millis = Millis(100);

impl Control {
    /// Tells others at once of a change, unless they were told of one a moment ago.
    pub(super) fn tell_server_news(&mut self, now: Time) {
        if now.since(self.server_news_told_at) < MIN_ROUND_INTERVAL {
            return;
        }
        self.server_news_told_at = now;
        let near = self.membership.random_neighbours(NEAR_FANOUT, &mut self.rng);
        let far = self.membership.random_members(FAR_FANOUT, &mut self.rng);
        for target in near.into_iter().chain(far) {
            self.send_probe(target.peer_address, Some(target.host));
        }
    }

    /// Slow and silent servers that this daemon knows, for peers.
    pub(super) fn server_news(&self, now: Time) -> Vec<ServerNews> {
        let routing = self.shared.routing();
        let age = |at: Time| age_ms(now, at);
        let news =
            routing.balancer.news(now, MAX_SERVERS).into_iter().map(|(name, facts)| ServerNews {
                upstream: name.to_string(),
                born: facts.born,
                slowdown_percent: facts.slowdown.map(|(_, percent)| percent),
                slowdown_age_ms: facts.slowdown.map_or(0, |(at, _)| age(at)),
                silent_for_ms: facts.silent_since.map(age),
                responded_age_ms: facts.responded_at.map(age),
            });
        news.collect()
    }

    /// Applies what a peer knows of servers.
    pub(super) fn apply_server_news(&mut self, now: Time, news: &[ServerNews]) {
        for server in news.iter().take(MAX_SERVERS) {
            let name = UpstreamName::new(&server.upstream);
            if self.fleet.get(&name).is_none() {
                continue;
            }
            let at = |age_ms: u32| now - Millis(u64::from(age_ms));
            let facts = ServerFacts {
                born: server.born,
                slowdown: server
                    .slowdown_percent
                    .map(|figure| (at(server.slowdown_age_ms), figure)),
                silent_since: server.silent_for_ms.map(at),
                responded_at: server.responded_age_ms.map(at),
            };
            if self.shared.routing().balancer.apply_news(now, &name, &facts) {
                self.shared.metrics.count("server_news", "heard");
                self.tell_server_news(now);
            }
        }
    }
}
