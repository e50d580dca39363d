//! Limits that upstreams name for all hosts together.

use super::Control;
use super::updates::age_ms;
use crate::outbound::log_limit;
use magnoliawinch::membership::MemberState;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::upstream_notices::Incarnation;
use magnoliawinch_peer::UpstreamLimit;

/// Statements about limits in one message.
const MAX_STATEMENTS: usize = 32;

impl Control {
    /// Updates the hosts among which limits are shared.
    pub(super) fn update_sharing_hosts(&mut self) {
        let now = self.shared.clock.now();
        let running = self.members.iter().filter(|member| member.state == MemberState::Alive);
        let hosts = running.map(|member| member.host.clone()).collect();
        self.shared.upstreams.notices().set_running_hosts(now, hosts);
    }

    /// What is known of limits, for peers.
    pub(super) fn limit_statements(&self, now: Time) -> Vec<UpstreamLimit> {
        let statements = self.shared.upstreams.notices().limit_statements(now, MAX_STATEMENTS);
        let statements = statements.into_iter().map(|statement| UpstreamLimit {
            upstream: statement.upstream.to_string(),
            born: statement.born,
            per_second: statement.per_second,
            age_ms: age_ms(now, statement.at),
        });
        statements.collect()
    }

    /// Applies what a peer knows of limits.
    pub(super) fn apply_limit_statements(&mut self, now: Time, statements: &[UpstreamLimit]) {
        for UpstreamLimit { upstream, born, per_second, age_ms } in statements {
            let name = UpstreamName::new(upstream);
            let Some(service) = self.fleet.get(&name).map(|listed| listed.service.clone()) else {
                continue;
            };
            let upstream = Incarnation { service, name, born: *born };
            let stated_at = now - Millis(u64::from(*age_ms));
            let mut notices = self.shared.upstreams.notices();
            let is_news = notices.record_limit(now, stated_at, &upstream, *per_second);
            drop(notices);
            if is_news {
                log_limit(&upstream, *per_second, "peer");
                self.tell_news(now);
            }
        }
    }
}
