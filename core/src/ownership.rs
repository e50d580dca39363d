//! Assignment of duties to daemons, by rendezvous hashing over members that take work.

use crate::capacity::Capacity;
use crate::membership::{Member, Membership};
use crate::names::{FailureDomain, ServiceName, UpstreamName};
use crate::quarantine::Fingerprint;
use crate::rendezvous;
use std::collections::BTreeMap;

/// Owners under one view of the membership.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    by_domain: BTreeMap<FailureDomain, Vec<Member>>,
}

impl Owners {
    /// Assigns owners among the members that take work.
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

    /// Admission owner: a daemon in the upstream's failure domain, or in any if that has none.
    /// `None`, as for the other owners, if no member takes work.
    pub fn of_upstream(&self, name: &UpstreamName, domain: &FailureDomain) -> Option<&Member> {
        let in_domain =
            self.by_domain.get(domain).and_then(|list| highest_weight(name.as_str(), list));
        in_domain.or_else(|| self.owner(name.as_str()))
    }

    /// Owner of a ledger shard.
    pub fn of_shard(&self, shard: u32) -> Option<&Member> {
        self.owner(&format!("ledger-{shard}"))
    }

    /// Owner of a fingerprint.
    pub fn of_fingerprint(&self, fingerprint: Fingerprint) -> Option<&Member> {
        self.owner(&format!("fingerprint-{}", fingerprint.0))
    }

    /// Daemon that reads and passes on the platform's list in time slot `slot`.
    pub fn of_list(&self, slot: u64) -> Option<&Member> {
        self.owner(&format!("list-{slot}"))
    }

    /// Daemon that orders a service's engines to load models.
    pub fn of_placement(&self, service: &ServiceName) -> Option<&Member> {
        self.owner(&format!("placement-{service}"))
    }

    /// Daemon that writes configuration checkpoints.
    pub fn of_checkpoints(&self) -> Option<&Member> {
        self.owner("checkpoints")
    }
}

/// Primary owner of `key`, then its standby: large hosts, in different failure domains if possible.
/// The standby is small if only one host is large. Empty if no member takes work.
///
/// An owner's work grows with the whole system, other daemons' does not: a small host would answer
/// every daemon late.
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
