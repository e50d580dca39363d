//! Which upstreams are leaving or unreachable, according to reports that may be out of date.
//!
//! `magnoliawinchd` tracks only this health because the service files list its upstreams, whereas
//! `magnoliawinch-edge` learns from the platform's list which exist, in [`crate::fleet`].

use crate::names::UpstreamName;
use crate::time::{Millis, Time};
use std::collections::HashMap;
use std::net::IpAddr;

/// How long an unreachable upstream gets no work.
pub const UNREACHABLE_BACKOFF: Millis = Millis(1_000);

const TRANSMISSIONS_PER_NOTICE: u32 = 12;

/// Maximum number of notices of each type in one message.
const MAX_NOTICES_PER_MESSAGE: usize = 8;

/// A leaving incarnation of an upstream; it gets no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The incarnation; increases with each restart.
    pub incarnation: u64,
}

/// A host's state in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostNotice {
    /// Address of the host.
    pub ip: IpAddr,
    /// Incarnation of the host in the list.
    pub incarnation: u64,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct HostState {
    incarnation: u64,
    leaving: bool,
    transmissions_left: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamState {
    incarnation: u64,
    leaving: bool,
    unreachable_until: Time,
    transmissions_left: u32,
}

/// Health of known upstreams. Leaving is sticky per incarnation: only a higher one clears it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    states: HashMap<UpstreamName, UpstreamState>,
    /// Latest state of hosts, from the platform's list or peers.
    hosts: HashMap<IpAddr, HostState>,
}

impl UpstreamHealth {
    /// Creates the state without upstreams or hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report from the upstream itself, which shows that it is reachable; returns whether
    /// it is newly known to be leaving.
    pub fn record_report(
        &mut self,
        upstream: &UpstreamName,
        incarnation: u64,
        draining: bool,
    ) -> bool {
        let state = self.states.entry(upstream.clone()).or_default();
        if incarnation > state.incarnation {
            *state = UpstreamState { incarnation, ..UpstreamState::default() };
        }
        state.unreachable_until = Time(0);
        match draining {
            true => self.mark_leaving(&LeavingNotice { upstream: upstream.clone(), incarnation }),
            false => false,
        }
    }

    /// Records that an incarnation of an upstream is leaving; returns whether that is new. A notice
    /// about an earlier incarnation is ignored.
    pub fn mark_leaving(&mut self, leaving: &LeavingNotice) -> bool {
        let state = self.states.entry(leaving.upstream.clone()).or_default();
        let is_new = leaving.incarnation > state.incarnation
            || (leaving.incarnation == state.incarnation && !state.leaving);
        if is_new {
            state.incarnation = leaving.incarnation;
            state.leaving = true;
            state.transmissions_left = TRANSMISSIONS_PER_NOTICE;
        }
        is_new
    }

    /// Records that an upstream refused a request because it leaves. The refusal names no
    /// incarnation, so the latest known one counts; returns whether that is new.
    pub fn mark_current_incarnation_leaving(&mut self, upstream: &UpstreamName) -> bool {
        let incarnation = self.states.get(upstream).map_or(0, |state| state.incarnation);
        self.mark_leaving(&LeavingNotice { upstream: upstream.clone(), incarnation })
    }

    /// Records a failure to reach an upstream.
    pub fn mark_unreachable(&mut self, now: Time, upstream: &UpstreamName) {
        self.states.entry(upstream.clone()).or_default().unreachable_until =
            now + UNREACHABLE_BACKOFF;
    }

    /// Records a host's state from the platform's list or a peer; returns whether it is new. A
    /// leaving host stays so until listed as live with a higher incarnation.
    pub fn record_host_notice(&mut self, notice: HostNotice) -> bool {
        let HostNotice { ip, incarnation, leaving } = notice;
        let is_new = match self.hosts.get(&ip) {
            Some(known) if leaving => {
                incarnation > known.incarnation
                    || (incarnation == known.incarnation && !known.leaving)
            }
            Some(known) => incarnation > known.incarnation,
            None => leaving,
        };
        if is_new {
            self.hosts.insert(
                ip,
                HostState { incarnation, leaving, transmissions_left: TRANSMISSIONS_PER_NOTICE },
            );
        } else {
            // Remembered to recognise older notices of its leaving as outdated.
            let state = HostState { incarnation, leaving, transmissions_left: 0 };
            self.hosts.entry(ip).or_insert(state);
        }
        is_new
    }

    fn is_host_leaving(&self, ip: IpAddr) -> bool {
        self.hosts.get(&ip).is_some_and(|host| host.leaving)
    }

    /// Whether the upstream at `ip` may get new work.
    pub fn is_usable(&self, now: Time, upstream: &str, ip: IpAddr) -> bool {
        let is_unusable = |state: &UpstreamState| state.leaving || now < state.unreachable_until;
        !self.is_host_leaving(ip) && !self.states.get(upstream).is_some_and(is_unusable)
    }

    /// Whether the upstream or its host at `ip` is leaving.
    pub fn is_leaving(&self, upstream: &str, ip: IpAddr) -> bool {
        self.is_host_leaving(ip) || self.states.get(upstream).is_some_and(|state| state.leaving)
    }

    /// Notices about hosts to put into the next message.
    pub fn host_notices(&mut self) -> Vec<HostNotice> {
        let pending = self.hosts.iter_mut().filter(|(_, host)| host.transmissions_left > 0);
        let transmit = |(ip, host): (&IpAddr, &mut HostState)| {
            host.transmissions_left -= 1;
            HostNotice { ip: *ip, incarnation: host.incarnation, leaving: host.leaving }
        };
        pending.take(MAX_NOTICES_PER_MESSAGE).map(transmit).collect()
    }

    /// Notices about leaving upstreams to put into the next message.
    pub fn leaving_notices(&mut self) -> Vec<LeavingNotice> {
        let pending = self.states.iter_mut().filter(|(_, state)| state.transmissions_left > 0);
        let transmit = |(upstream, state): (&UpstreamName, &mut UpstreamState)| {
            state.transmissions_left -= 1;
            LeavingNotice { upstream: upstream.clone(), incarnation: state.incarnation }
        };
        pending.take(MAX_NOTICES_PER_MESSAGE).map(transmit).collect()
    }

    /// Drops upstreams that no service names.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.states.retain(|name, _| is_known(name));
    }
}
