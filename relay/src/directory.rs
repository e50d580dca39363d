//! The list of hosts that callers can connect to.

use crate::view::View;
use magnoliawinch::membership::MemberState;
use magnoliawinch::names::FailureDomain;
use magnoliawinch::time::Millis;
use std::net::SocketAddr;

/// Maximum number of addresses in one response, as specified by the platform.
const MAX_ADDRESSES: usize = 64;

/// How long callers may cache addresses; short, so that they notice when hosts come and go.
const ADDRESS_LIFETIME: Millis = Millis(2_000);

/// Addresses for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressList {
    /// Where to connect.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the addresses.
    pub lifetime: Millis,
}

/// Addresses of live hosts, those in the failure domain `near` first; callers may cache them for at
/// most `max_lifetime`, the platform's limit.
pub(crate) fn address_list(
    view: &View,
    near: Option<&FailureDomain>,
    max_lifetime: Millis,
) -> AddressList {
    let alive = view.members.iter().filter(|member| member.state == MemberState::Alive);
    let mut members: Vec<_> = alive.collect();
    members.sort_by_key(|member| Some(&member.failure_domain) != near);
    members.truncate(MAX_ADDRESSES);
    let addresses = members.into_iter().map(|member| member.caller_address).collect();
    AddressList { addresses, lifetime: ADDRESS_LIFETIME.min(max_lifetime) }
}
