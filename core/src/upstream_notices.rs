//! What upstreams have stated to this daemon about themselves: that they are leaving, that they want
//! no requests for a while, or how many they take from all daemons together.
//!
//! Each statement holds for one incarnation of an upstream. A response that arrives late from an
//! older incarnation changes nothing for a newer one. Nothing here depends on the addresses of
//! upstreams, which other services use again.

use crate::names::{HostName, ServiceName, UpstreamName};
use crate::time::{Millis, Time};
use crate::upstream_limits::{Hosts, Terms, UpstreamLimit};
use std::collections::HashMap;
use strum::{Display, IntoStaticStr};

/// How long an upstream that is leaving is remembered; such upstreams stop within seconds.
const LEAVING_RETENTION: Millis = Millis(600_000);

/// Upstreams remembered at a time; beyond that, the oldest statement is dropped.
const MAX_UPSTREAMS: usize = 4_096;

/// Requests that continue runs, sent to an upstream while it wants none. The platform tolerates two.
const MAX_RESUMES_WHILE_PAUSED: u32 = 2;

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Name of the upstream.
    pub name: UpstreamName,
    /// When it started, in milliseconds since 1970 by its own clock.
    pub born: u64,
}

/// Why an upstream gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Withheld {
    /// It is leaving.
    Leaving {
        /// Time since this was learned.
        age: Millis,
    },
    /// It wants no requests for a while.
    Paused {
        /// Time since this was learned.
        age: Millis,
        /// Time until it wants requests again.
        left: Millis,
    },
    /// Its failure domain is evacuated.
    Evacuated,
    /// It takes a limited number of requests from all daemons together.
    Limited {
        /// Time since this was learned.
        age: Millis,
        /// Time until this daemon may send one, or a caller may try another daemon.
        left: Millis,
    },
}

impl Withheld {
    /// Time since the reason was learned.
    pub fn age(&self) -> Millis {
        match self {
            Self::Leaving { age } | Self::Paused { age, .. } | Self::Limited { age, .. } => *age,
            Self::Evacuated => Millis(0),
        }
    }

    /// Time until requests may be sent again; `None` if never.
    pub fn left(&self) -> Option<Millis> {
        match self {
            Self::Leaving { .. } | Self::Evacuated => None,
            Self::Paused { left, .. } | Self::Limited { left, .. } => Some(*left),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    learned_at: Time,
    until: Time,
    resumes: u32,
}

#[derive(Clone, Debug)]
struct Statements {
    service: ServiceName,
    born: u64,
    leaving_since: Option<Time>,
    pause: Option<Pause>,
    limit: Option<UpstreamLimit>,
}

impl Statements {
    fn new(service: ServiceName, born: u64) -> Self {
        Self { service, born, leaving_since: None, pause: None, limit: None }
    }

    fn learned_at(&self) -> Time {
        let pause = self.pause.map(|pause| pause.learned_at);
        let limit = self.limit.as_ref().map(UpstreamLimit::learned_at);
        self.leaving_since.max(pause).max(limit).unwrap_or_default()
    }

    fn leaving_at(&self, now: Time) -> Option<Time> {
        self.leaving_since.filter(|at| now.since(*at) < LEAVING_RETENTION)
    }

    fn is_current(&self, now: Time) -> bool {
        self.leaving_at(now).is_some()
            || self.pause.is_some_and(|pause| now < pause.until)
            || self.limit.as_ref().is_some_and(|limit| limit.is_current(now))
    }

    fn withheld(&self, now: Time, hosts: &Hosts) -> Option<Withheld> {
        if let Some(at) = self.leaving_at(now) {
            return Some(Withheld::Leaving { age: now.since(at) });
        }
        if let Some(pause) = self.pause.filter(|pause| now < pause.until) {
            let age = now.since(pause.learned_at);
            return Some(Withheld::Paused { age, left: pause.until.since(now) });
        }
        self.over_limit(now, hosts)
    }

    fn over_limit(&self, now: Time, hosts: &Hosts) -> Option<Withheld> {
        let limit = self.limit.as_ref()?;
        let left = limit.wait(now, hosts)?;
        Some(Withheld::Limited { age: now.since(limit.learned_at()), left })
    }
}

/// What an upstream says about its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitStatement {
    /// The upstream.
    pub upstream: UpstreamName,
    /// When that incarnation started, in milliseconds since 1970 by its own clock.
    pub born: u64,
    /// Empty if it names no limit.
    pub terms: Terms,
    /// When it was last known to say so.
    pub at: Time,
    /// When it last turned a request away although it is brittle, if that still counts.
    pub turned_away_at: Option<Time>,
}

/// One daemon's knowledge of what upstreams have stated.
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    by_name: HashMap<UpstreamName, Statements>,
    hosts: Hosts,
}

impl UpstreamNotices {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the hosts among which limits are shared.
    pub fn with_hosts(self, hosts: Hosts) -> Self {
        Self { hosts, ..self }
    }

    /// Replaces the running hosts, which include this one unless it is about to stop.
    pub fn set_running_hosts(&mut self, now: Time, all: Vec<HostName>) {
        self.hosts.set_running(all);
        for known in self.by_name.values_mut() {
            if let Some(limit) = &mut known.limit {
                limit.update(now, &self.hosts);
            }
        }
    }

    /// Number of upstreams remembered.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no upstream is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Records that an upstream is leaving; returns whether that is news.
    pub fn record_leaving(&mut self, now: Time, upstream: &Incarnation) -> bool {
        let Some(known) = self.entry(now, upstream) else {
            return false;
        };
        let is_news = known.leaving_since.is_none();
        known.leaving_since.get_or_insert(now);
        is_news
    }

    /// Records that an upstream wants no requests for `wait`. An earlier statement that holds for
    /// longer stays in force.
    pub fn record_retry_after(&mut self, now: Time, upstream: &Incarnation, wait: Millis) {
        let Some(known) = self.entry(now, upstream) else {
            return;
        };
        let before = known.pause.filter(|pause| now < pause.until);
        known.pause = Some(Pause {
            learned_at: now,
            until: before.map_or(now, |pause| pause.until).max(now + wait),
            resumes: before.map_or(0, |pause| pause.resumes),
        });
    }

    /// Records that an upstream named limits, or none, at `stated_at`; returns whether that is news.
    pub fn record_limit(
        &mut self,
        now: Time,
        stated_at: Time,
        upstream: &Incarnation,
        terms: impl Into<Terms>,
    ) -> bool {
        let terms = terms.into();
        let is_known = self.by_name.get(&upstream.name).is_some_and(|known| known.limit.is_some());
        if terms.is_none() && !is_known {
            return false;
        }
        let hosts = std::mem::take(&mut self.hosts);
        let is_news = self.entry(now, upstream).is_some_and(|known| match &mut known.limit {
            Some(limit) => limit.state(now, stated_at, terms, &hosts),
            None if terms.is_none() => false,
            None => {
                known.limit =
                    Some(UpstreamLimit::new(now, stated_at, &upstream.name, terms, &hosts));
                true
            }
        });
        self.hosts = hosts;
        is_news
    }

    /// Records that an upstream turned a request away at `at`; returns whether it is brittle and that
    /// is news.
    pub fn record_turned_away(&mut self, now: Time, at: Time, upstream: &Incarnation) -> bool {
        let known = self.by_name.get_mut(&upstream.name);
        let known = known.filter(|known| known.born == upstream.born);
        let limit = known.and_then(|known| known.limit.as_mut());
        limit.is_some_and(|limit| limit.turned_away(now, at))
    }

    /// Whether an upstream was known at `sent_at` to name a limit.
    pub fn names_limit_since(&self, name: &UpstreamName, sent_at: Time) -> bool {
        let limit = self.by_name.get(name).and_then(|known| known.limit.as_ref());
        limit
            .map(UpstreamLimit::statement)
            .is_some_and(|(terms, at)| !terms.is_none() && at <= sent_at)
    }

    /// Whether requests that are sent to an incarnation are counted until they end.
    pub fn counts_requests(&self, name: &UpstreamName, born: u64) -> bool {
        let known = self.by_name.get(name).filter(|known| known.born >= born);
        known.is_some_and(|known| known.limit.is_some())
    }

    /// Records that a counted request to an upstream has ended.
    pub fn request_ended(&mut self, name: &UpstreamName) {
        if let Some(limit) = self.by_name.get_mut(name).and_then(|known| known.limit.as_mut()) {
            limit.ended();
        }
    }

    /// Hosts that share the room of an incarnation, and whether this one does; `None` if it is not
    /// shared.
    pub fn room_senders(
        &self,
        now: Time,
        name: &UpstreamName,
        born: u64,
    ) -> Option<(&[HostName], bool)> {
        let limit = self.of(now, name, born)?.limit.as_ref()?;
        Some((limit.room_senders(now)?, limit.has_room_share(now)))
    }

    /// Statements about limits that are recent enough to be passed on, newest first, at most `max`.
    pub fn limit_statements(&self, now: Time, max: usize) -> Vec<LimitStatement> {
        let known = self.by_name.iter();
        let with_limit =
            known.filter_map(|(name, known)| Some((name, known, known.limit.as_ref()?)));
        let current = with_limit.filter(|(_, _, limit)| limit.is_current(now));
        let statements = current.map(|(name, known, limit)| {
            let (terms, at) = limit.statement();
            let (upstream, turned_away_at) = (name.clone(), limit.turned_away_at(now));
            LimitStatement { upstream, born: known.born, terms, at, turned_away_at }
        });
        let mut statements: Vec<_> = statements.collect();
        statements.sort_by(|a, b| b.at.cmp(&a.at).then_with(|| a.upstream.cmp(&b.upstream)));
        statements.truncate(max);
        statements
    }

    /// Takes one request from what may be sent to an upstream as new work; `Err` if none may.
    pub fn take(&mut self, now: Time, name: &UpstreamName, born: u64) -> Result<(), Withheld> {
        if let Some(withheld) = self.withheld(now, name, born) {
            return Err(withheld);
        }
        self.note_sent(now, name, born);
        Ok(())
    }

    fn note_sent(&mut self, now: Time, name: &UpstreamName, born: u64) {
        let known = self.by_name.get_mut(name).filter(|known| known.born >= born);
        if let Some(limit) = known.and_then(|known| known.limit.as_mut()) {
            limit.sent(now);
        }
    }

    /// The statements of this incarnation; `None` if a newer one is known.
    fn entry(&mut self, now: Time, upstream: &Incarnation) -> Option<&mut Statements> {
        let known = self.by_name.get(&upstream.name);
        if known.is_some_and(|known| known.born > upstream.born) {
            return None;
        }
        if known.is_none() {
            self.make_room(now);
        }
        let new = || Statements::new(upstream.service.clone(), upstream.born);
        let known = self.by_name.entry(upstream.name.clone()).or_insert_with(new);
        if known.born < upstream.born {
            *known = new();
        }
        Some(known)
    }

    fn make_room(&mut self, now: Time) {
        if self.by_name.len() < MAX_UPSTREAMS {
            return;
        }
        self.by_name.retain(|_, known| known.is_current(now));
        if self.by_name.len() >= MAX_UPSTREAMS {
            let oldest = self.by_name.iter().min_by_key(|(_, known)| known.learned_at());
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.by_name.remove(&name);
            }
        }
    }

    /// Why an upstream gets no new work; `None` if it may.
    pub fn withheld(&self, now: Time, name: &UpstreamName, born: u64) -> Option<Withheld> {
        self.of(now, name, born)?.withheld(now, &self.hosts)
    }

    /// The current statements of an incarnation.
    fn of(&self, now: Time, name: &UpstreamName, born: u64) -> Option<&Statements> {
        let known = self.by_name.get(name)?;
        // An older incarnation is gone, whatever it has stated.
        (known.born >= born && known.is_current(now)).then_some(known)
    }

    /// Takes one request to continue a run that began at `run_began_at` at an upstream that has its
    /// memory; returns why it may not be sent, if it may not. A run that began before the upstream stated that it is leaving is not new
    /// work. While the upstream wants no requests, only two may be sent, and each call that returns
    /// `None` counts as one.
    pub fn withheld_from_resume(
        &mut self,
        now: Time,
        name: &UpstreamName,
        born: u64,
        run_began_at: Time,
    ) -> Option<Withheld> {
        let known = self.by_name.get_mut(name).filter(|known| known.born >= born)?;
        if let Some(at) = known.leaving_at(now).filter(|at| run_began_at > *at) {
            return Some(Withheld::Leaving { age: now.since(at) });
        }
        if let Some(limited) = known.over_limit(now, &self.hosts) {
            return Some(limited);
        }
        if let Some(pause) = known.pause.as_mut().filter(|pause| now < pause.until) {
            if pause.resumes >= MAX_RESUMES_WHILE_PAUSED {
                let age = now.since(pause.learned_at);
                return Some(Withheld::Paused { age, left: pause.until.since(now) });
            }
            pause.resumes += 1;
        }
        self.note_sent(now, name, born);
        None
    }

    /// Incarnations of a service's upstreams that get no new work, and why.
    pub fn withheld_of<'a>(
        &'a self,
        now: Time,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a UpstreamName, u64, Withheld)> {
        let of_service = self.by_name.iter().filter(move |(_, known)| known.service == *service);
        let current = of_service.filter(move |(_, known)| known.is_current(now));
        current.filter_map(move |(name, known)| {
            Some((name, known.born, known.withheld(now, &self.hosts)?))
        })
    }
}
