//! Which upstreams leave or are down, from evidence that may be old.

use crate::names::UpstreamName;
use crate::time::{Millis, Time};
use std::collections::HashMap;
use std::net::IpAddr;

/// How long an upstream that could not be reached gets no work.
pub const DOWN_FOR: Millis = Millis(1_000);

/// Messages that carry one notice of leaving.
const SPREAD: u32 = 12;

/// Notices of one sort in one message.
const PER_MESSAGE: usize = 8;

/// An upstream's run that gets no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its run.
    pub incarnation: u64,
}

/// What the platform's list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostNotice {
    /// Its address.
    pub ip: IpAddr,
    /// The list's incarnation of the host.
    pub incarnation: u64,
    /// Whether it will be taken away.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct HostState {
    incarnation: u64,
    leaving: bool,
    spread_left: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    incarnation: u64,
    leaving: bool,
    down_until: Time,
    spread_left: u32,
}

/// Evidence about upstreams. Leaving is sticky for each incarnation: only a higher one clears it.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    states: HashMap<UpstreamName, State>,
    /// What the platform's list says of hosts that were leaving at some time.
    hosts: HashMap<IpAddr, HostState>,
}

impl Upstreams {
    /// No evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a report from the upstream itself; returns whether that changed what is known.
    pub fn reported(&mut self, upstream: &UpstreamName, incarnation: u64, draining: bool) -> bool {
        let state = self.states.entry(upstream.clone()).or_default();
        if incarnation > state.incarnation {
            *state = State { incarnation, ..State::default() };
        }
        state.down_until = Time(0);
        match draining {
            true => self.leaves(&Leaving { upstream: upstream.clone(), incarnation }),
            false => false,
        }
    }

    /// Notes that a run of an upstream leaves; old news about an earlier run changes nothing.
    pub fn leaves(&mut self, leaving: &Leaving) -> bool {
        let state = self.states.entry(leaving.upstream.clone()).or_default();
        let is_news = leaving.incarnation > state.incarnation
            || (leaving.incarnation == state.incarnation && !state.leaving);
        if is_news {
            state.incarnation = leaving.incarnation;
            state.leaving = true;
            state.spread_left = SPREAD;
        }
        is_news
    }

    /// Notes a refusal that said the upstream leaves, whichever run it is.
    pub fn refused_as_leaving(&mut self, upstream: &UpstreamName) -> bool {
        let incarnation = self.states.get(upstream).map_or(0, |state| state.incarnation);
        self.leaves(&Leaving { upstream: upstream.clone(), incarnation })
    }

    /// Notes that an upstream could not be reached.
    pub fn unreachable(&mut self, now: Time, upstream: &UpstreamName) {
        self.states.entry(upstream.clone()).or_default().down_until = now + DOWN_FOR;
    }

    /// Notes what the platform's list or a peer says of a host; returns whether that is news. A
    /// host that leaves stays so until it is live with a higher incarnation.
    pub fn listed(&mut self, notice: HostNotice) -> bool {
        let HostNotice { ip, incarnation, leaving } = notice;
        let is_news = match self.hosts.get(&ip) {
            Some(known) if leaving => {
                incarnation > known.incarnation
                    || (incarnation == known.incarnation && !known.leaving)
            }
            Some(known) => incarnation > known.incarnation,
            None => leaving,
        };
        if is_news {
            self.hosts.insert(ip, HostState { incarnation, leaving, spread_left: SPREAD });
        } else {
            // Remembered so that older news of its leaving is known to be old.
            let state = HostState { incarnation, leaving, spread_left: 0 };
            self.hosts.entry(ip).or_insert(state);
        }
        is_news
    }

    fn host_leaves(&self, ip: IpAddr) -> bool {
        self.hosts.get(&ip).is_some_and(|host| host.leaving)
    }

    /// Whether an upstream may get new work.
    pub fn is_usable(&self, now: Time, upstream: &str, ip: IpAddr) -> bool {
        let is_known_bad = |state: &State| state.leaving || now < state.down_until;
        !self.host_leaves(ip) && !self.states.get(upstream).is_some_and(is_known_bad)
    }

    /// Whether an upstream leaves.
    pub fn is_leaving(&self, upstream: &str, ip: IpAddr) -> bool {
        self.host_leaves(ip) || self.states.get(upstream).is_some_and(|state| state.leaving)
    }

    /// Notices about hosts to put into a message.
    pub fn host_notices(&mut self) -> Vec<HostNotice> {
        let open = self.hosts.iter_mut().filter(|(_, host)| host.spread_left > 0);
        let tell = |(ip, host): (&IpAddr, &mut HostState)| {
            host.spread_left -= 1;
            HostNotice { ip: *ip, incarnation: host.incarnation, leaving: host.leaving }
        };
        open.take(PER_MESSAGE).map(tell).collect()
    }

    /// Notices about upstreams to put into a message.
    pub fn notices(&mut self) -> Vec<Leaving> {
        let open = self.states.iter_mut().filter(|(_, state)| state.spread_left > 0);
        let tell = |(upstream, state): (&UpstreamName, &mut State)| {
            state.spread_left -= 1;
            Leaving { upstream: upstream.clone(), incarnation: state.incarnation }
        };
        open.take(PER_MESSAGE).map(tell).collect()
    }

    /// Drops what is known of upstreams that no service names.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.states.retain(|name, _| is_known(name));
    }
}
