//! What upstreams have stated to this daemon about themselves: that they are leaving, or that they
//! want no requests for a while.
//!
//! Each statement holds for one incarnation of an upstream. A response that arrives late from an
//! older incarnation changes nothing for a newer one. Nothing here depends on the addresses of
//! upstreams, which other services use again.

use crate::names::{ServiceName, UpstreamName};
use crate::time::{Millis, Time};
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
}

impl Withheld {
    /// Time since the reason was learned.
    pub fn age(&self) -> Millis {
        match self {
            Self::Leaving { age } | Self::Paused { age, .. } => *age,
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
}

impl Statements {
    fn new(service: ServiceName, born: u64) -> Self {
        Self { service, born, leaving_since: None, pause: None }
    }

    fn learned_at(&self) -> Time {
        let pause = self.pause.map(|pause| pause.learned_at);
        self.leaving_since.max(pause).unwrap_or_default()
    }

    fn leaving_at(&self, now: Time) -> Option<Time> {
        self.leaving_since.filter(|at| now.since(*at) < LEAVING_RETENTION)
    }

    fn is_current(&self, now: Time) -> bool {
        self.leaving_at(now).is_some() || self.pause.is_some_and(|pause| now < pause.until)
    }

    fn withheld(&self, now: Time) -> Option<Withheld> {
        if let Some(at) = self.leaving_at(now) {
            return Some(Withheld::Leaving { age: now.since(at) });
        }
        let pause = self.pause.filter(|pause| now < pause.until)?;
        let age = now.since(pause.learned_at);
        Some(Withheld::Paused { age, left: pause.until.since(now) })
    }
}

/// One daemon's knowledge of what upstreams have stated.
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    by_name: HashMap<UpstreamName, Statements>,
}

impl UpstreamNotices {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
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
        self.of(now, name, born)?.withheld(now)
    }

    /// The current statements of an incarnation.
    fn of(&self, now: Time, name: &UpstreamName, born: u64) -> Option<&Statements> {
        let known = self.by_name.get(name)?;
        // An older incarnation is gone, whatever it has stated.
        (known.born >= born && known.is_current(now)).then_some(known)
    }

    /// Why a run that began at `run_began_at` cannot continue at an upstream that has its memory;
    /// `None` if it may. A run that began before the upstream stated that it is leaving is not new
    /// work. While the upstream wants no requests, only two may be sent, and each call that returns
    /// `None` counts as one.
    pub fn withheld_from_resume(
        &mut self,
        now: Time,
        name: &UpstreamName,
        born: u64,
        run_began_at: Time,
    ) -> Option<Withheld> {
        let withheld = self.withheld(now, name, born)?;
        let known = self.by_name.get_mut(name)?;
        if known.leaving_at(now).is_some_and(|at| run_began_at > at) {
            return Some(withheld);
        }
        let pause = known.pause.as_mut().filter(|pause| now < pause.until)?;
        if pause.resumes < MAX_RESUMES_WHILE_PAUSED {
            pause.resumes += 1;
            return None;
        }
        let age = now.since(pause.learned_at);
        Some(Withheld::Paused { age, left: pause.until.since(now) })
    }

    /// Incarnations of a service's upstreams that get no new work, and why.
    pub fn withheld_of<'a>(
        &'a self,
        now: Time,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a UpstreamName, u64, Withheld)> {
        let of_service = self.by_name.iter().filter(move |(_, known)| known.service == *service);
        let current = of_service.filter(move |(_, known)| known.is_current(now));
        current.filter_map(move |(name, known)| Some((name, known.born, known.withheld(now)?)))
    }
}
