//! Which daemon decides about what, by rendezvous hashing over the members that take work.

use crate::capacity::Capacity;
use crate::membership::{Member, Membership};
use crate::names::{FailureDomain, ServiceName, UpstreamName};
use crate::quarantine::Fingerprint;
use crate::rendezvous;
use std::collections::BTreeMap;

/// Owners according to one view of the members.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    by_domain: BTreeMap<FailureDomain, Vec<Member>>,
}

impl Owners {
    /// The owners according to `membership`.
    pub fn new(membership: &Membership) -> Self {
        let mut by_domain: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for member in membership.alive() {
            let list = by_domain.entry(member.failure_domain.clone()).or_default();
            list.push(member.clone());
        }
        Self { by_domain }
    }

    /// The members that take work.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.by_domain.values().flatten()
    }

    fn owner(&self, key: &str) -> Option<&Member> {
        highest_weight(key, self.members())
    }

    /// The admission owner of an upstream: a daemon of its failure domain, or any when that
    /// failure domain has none.
    pub fn of_upstream(&self, name: &UpstreamName, domain: &FailureDomain) -> Option<&Member> {
        let in_domain =
            self.by_domain.get(domain).and_then(|list| highest_weight(name.as_str(), list));
        in_domain.or_else(|| self.owner(name.as_str()))
    }

    /// The owner of a ledger shard.
    pub fn of_shard(&self, shard: u32) -> Option<&Member> {
        self.owner(&format!("ledger-{shard}"))
    }

    /// The owner of a fingerprint.
    pub fn of_fingerprint(&self, fingerprint: Fingerprint) -> Option<&Member> {
        self.owner(&format!("fingerprint-{}", fingerprint.0))
    }

    /// The daemon that reads the platform's list in the time slot `slot` and tells the others.
    pub fn of_list(&self, slot: u64) -> Option<&Member> {
        self.owner(&format!("list-{slot}"))
    }

    /// The daemon that orders the engines of a service to load models.
    pub fn of_placement(&self, service: &ServiceName) -> Option<&Member> {
        self.owner(&format!("placement-{service}"))
    }

    /// The daemon that writes checkpoints of the configuration.
    pub fn of_checkpoints(&self) -> Option<&Member> {
        self.owner("checkpoints")
    }
}

/// The owner of `key` and the one that takes its place: two of the larger hosts, in two failure
/// domains if there are.
///
/// An owner's work grows with the whole system while other daemons' does not, so a small host would
/// answer late for all.
pub fn large_owners<'a>(key: &str, membership: &'a Membership) -> Vec<&'a Member> {
    let largest = membership.alive().map(|member| member.capacity).max().unwrap_or_default();
    let is_large = |member: &&Member| Capacity::is_large(member.capacity, largest);
    let large = || membership.alive().filter(is_large);
    let Some(first) = highest_weight(key, large()) else {
        return Vec::new();
    };
    let others = || large().filter(|member| member.host != first.host);
    let elsewhere = others().filter(|member| member.failure_domain != first.failure_domain);
    let second =
        highest_weight(key, elsewhere).or_else(|| highest_weight(key, others())).or_else(|| {
            let rest = membership.alive().filter(|member| member.host != first.host);
            highest_weight(key, rest)
        });
    std::iter::once(first).chain(second).collect()
}

fn highest_weight<'a, I>(key: &str, members: I) -> Option<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    members.into_iter().max_by_key(|m| (rendezvous::weight(key, m.host.as_str()), &m.host))
}
