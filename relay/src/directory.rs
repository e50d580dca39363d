//! Which hosts callers are told to use.

use crate::view::View;
use magnoliawinch::membership::MemberState;
use magnoliawinch::names::FailureDomain;
use magnoliawinch::time::Millis;
use std::net::SocketAddr;

/// Addresses in one answer at the most; from the platform's page.
const MAX_ADDRESSES: usize = 64;

/// How long callers keep an answer: short, so that they follow hosts that come and go.
const MAX_LIFETIME: Millis = Millis(2_000);

/// Addresses for a caller, and how long it may keep them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressList {
    /// Where to connect.
    pub addresses: Vec<SocketAddr>,
    /// How long that holds.
    pub lifetime: Millis,
}

/// The hosts for a caller that stands in `near`.
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
    AddressList { addresses, lifetime: MAX_LIFETIME.min(max_lifetime) }
}
