//! Limits that upstreams name for all hosts together.

use super::Control;
use super::updates::age_ms;
use crate::statements::log_limit;
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
            per_second: statement.terms.per_second,
            age_ms: age_ms(now, statement.at),
            max_rejections: statement.terms.brittle.map(|brittle| brittle.max_rejections),
            turned_away_age_ms: statement.turned_away_at.map(|at| age_ms(now, at)),
        });
        statements.collect()
    }

    /// Applies what a peer knows of limits.
    pub(super) fn apply_limit_statements(&mut self, now: Time, statements: &[UpstreamLimit]) {
        for statement in statements {
            let name = UpstreamName::new(&statement.upstream);
            let Some(service) = self.fleet.get(&name).map(|listed| listed.service.clone()) else {
                continue;
            };
            let UpstreamLimit { born, per_second, max_rejections, .. } = *statement;
            let upstream = Incarnation { service, name, born };
            let terms = self.shared.terms(&upstream, per_second, max_rejections);
            let at = |age_ms: u32| now - Millis(u64::from(age_ms));
            let mut notices = self.shared.upstreams.notices();
            let is_news = notices.record_limit(now, at(statement.age_ms), &upstream, terms);
            let is_full = statement
                .turned_away_age_ms
                .is_some_and(|age_ms| notices.record_turned_away(now, at(age_ms), &upstream));
            drop(notices);
            if is_news {
                log_limit(&upstream, terms, "peer");
            }
            if is_news || is_full {
                self.tell_news(now);
            }
        }
    }
}
