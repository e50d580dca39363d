//! Selection of the hosts that a caller should use.

use crate::membership::Member;
use crate::names::{FailureDomain, OrganisationName};
use crate::rendezvous;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Maximum number of hosts in one response.
pub const MAX_HOSTS_PER_RESPONSE: usize = 3;

/// Address of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
}

/// The directory's response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryResponse {
    /// Hosts in order of preference, in distinct failure domains as far as possible.
    pub hosts: Vec<HostAddress>,
    /// How long the response may be cached.
    pub lifetime_ms: Millis,
}

/// Chooses hosts for a caller of `organisation`, in distinct failure domains if possible.
///
/// The choice is stable within each slot of length `lifetime` and distributes callers by `spread`,
/// any number that differs between them.
pub fn choose_hosts<'a, I>(
    now: Time,
    members: I,
    organisation: Option<&OrganisationName>,
    spread: u64,
    lifetime: Millis,
) -> DirectoryResponse
where
    I: IntoIterator<Item = &'a Member>,
{
    let slot = now.0 / lifetime.0.max(1);
    let organisation = organisation.map_or("", OrganisationName::as_str);
    let key = format!("{organisation}/{spread}/{slot}");
    let mut ranked: Vec<_> = members
        .into_iter()
        .map(|member| (rendezvous::weight(&key, member.host.as_str()), member))
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let mut seen = HashSet::new();
    let (mut first, second): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .map(|(_, member)| member)
        .partition(|member| seen.insert(&member.failure_domain));
    first.extend(second);
    first.truncate(MAX_HOSTS_PER_RESPONSE);
    let hosts = first
        .into_iter()
        .map(|member| HostAddress {
            address: member.caller_address,
            failure_domain: member.failure_domain.clone(),
        })
        .collect();
    DirectoryResponse { hosts, lifetime_ms: lifetime }
}
