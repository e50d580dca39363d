//! What daemons find out for each other about paths to upstreams.
//!
//! A host whose path to an upstream is cut meets with the same as one whose upstream has ended:
//! connections break, and new ones are refused or do not open. Other hosts tell the two apart.

use crate::fleet::ListedUpstream;
use crate::membership::{Member, MemberState};
use crate::names::{FailureDomain, HostName, ServiceName, UpstreamName};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use std::collections::HashMap;
use strum::{Display, FromRepr, IntoStaticStr};

/// Other hosts asked about one upstream.
pub const WITNESSES: usize = 4;

/// What a new connection to an upstream met with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, FromRepr, IntoStaticStr)]
#[repr(u32)]
#[strum(serialize_all = "snake_case")]
pub enum Reachability {
    /// It was not opened in time, failed in another way, or was refused on a host that reaches no
    /// other upstream either.
    #[default]
    Unknown = 0,
    /// Nothing listens at the address.
    Refused = 1,
    /// It was opened.
    Accepted = 2,
    /// It was not opened from this host, but from others.
    PathLost = 3,
}

impl Reachability {
    /// What is known after this daemon's own connection met with `self` and other hosts with
    /// `witnessed`. Without a word from them, a refusal counts if this daemon `reaches_others`.
    pub fn confirmed(self, witnessed: &[Self], reaches_others: bool) -> Self {
        let has = |result: Self| witnessed.contains(&result);
        match self {
            Self::Accepted => Self::Accepted,
            Self::Refused | Self::Unknown | Self::PathLost if has(Self::Accepted) => Self::PathLost,
            Self::Refused if has(Self::Refused) || reaches_others => Self::Refused,
            Self::Refused | Self::Unknown | Self::PathLost => Self::Unknown,
        }
    }
}

/// Other upstreams tried by a host that is refused by one. Several of a service may be down at once.
pub const OTHERS_TRIED: usize = 4;

/// At most `OTHERS_TRIED` of the `listed` upstreams other than `except`, at random: of its `service` if
/// there are any, and those first that are not `known_down`.
pub fn choose_others<'a, R: Rng>(
    listed: impl IntoIterator<Item = &'a ListedUpstream>,
    service: &ServiceName,
    except: &UpstreamName,
    known_down: impl Fn(&ListedUpstream) -> bool,
    rng: &mut R,
) -> Vec<&'a ListedUpstream> {
    let others = listed.into_iter().filter(|listed| listed.name != *except);
    let (of_service, rest): (Vec<_>, Vec<_>) =
        others.partition(|listed| listed.service == *service);
    let candidates = if of_service.is_empty() { rest } else { of_service };
    let (down, up): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|listed| known_down(listed));
    let mut chosen = up.into_iter().sample(rng, OTHERS_TRIED);
    chosen.extend(down.into_iter().sample(rng, OTHERS_TRIED - chosen.len()));
    chosen
}

/// At most `WITNESSES` of the running `members`, at random, from as many failure domains as
/// possible, those other than `own` first: what a host loses, its whole domain may have lost.
pub fn choose_witnesses<'a, R: Rng>(
    members: impl IntoIterator<Item = &'a Member>,
    own_host: &HostName,
    own: &FailureDomain,
    rng: &mut R,
) -> Vec<&'a Member> {
    let is_witness =
        |member: &&Member| member.state == MemberState::Alive && member.host != *own_host;
    let mut candidates: Vec<_> = members.into_iter().filter(is_witness).collect();
    candidates.shuffle(rng);
    let mut taken: HashMap<&FailureDomain, usize> = HashMap::from([(own, 1)]);
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|member| {
            let round = taken.entry(&member.failure_domain).or_default();
            *round += 1;
            (*round, member)
        })
        .collect();
    ranked.sort_by_key(|(round, _)| *round);
    ranked.into_iter().take(WITNESSES).map(|(_, member)| member).collect()
}
