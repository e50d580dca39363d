//! What upstreams take from all hosts together: requests a second, or requests at a time.
//!
//! A few hosts, chosen by rendezvous hashing, share what an upstream takes; the others send it
//! nothing. Nothing is asked, and hosts with the same members choose the same senders.
//!
//! A limit in requests a second is shared at a steady pace. The hosts that are told of it may get 1.5
//! times what it allows in four seconds, and 5 requests more. Half of that is used, so that two groups
//! of hosts that do not see each other stay within it together.
//!
//! A brittle upstream ends when it has to turn too many requests away. Half of its slots are shared,
//! so that it has room for all that two such groups send.

use crate::names::{HostName, UpstreamName};
use crate::rendezvous;
use crate::time::{Millis, Time};

/// Part of a limit that is used.
const USED_PART: f64 = 0.65;

/// Hosts that share a limit: a few, and more for each request a second.
const MIN_SENDERS: f64 = 2.5;
const SENDERS_PER_REQUEST: f64 = 0.4;

/// Limit assumed for a lower one: without any requests, nobody would learn that it is over.
const MIN_PER_SECOND: f64 = 0.15;

/// How long a limit holds after an upstream was last known to name it. Statements travel between
/// hosts within seconds.
const RETENTION: Millis = Millis(60_000);

/// When a host that must not send to an upstream has a caller come back: to another host.
const NOT_A_SENDER_WAIT: Millis = Millis(1_000);

/// Time after its start for which a host sends nothing to upstreams with limits, as it may not know
/// the other hosts yet.
pub const SETTLING_TIME: Millis = Millis(3_000);

/// Time for which a brittle upstream that has turned a request away gets no others: the upstream counts
/// them for each second.
const FULL_PAUSE: Millis = Millis(1_000);

/// When a request may be sent to an upstream whose slots of this host are all in use.
const BUSY_WAIT: Millis = Millis(10);

/// Time for which a new sender to a brittle upstream waits: the requests of the one before end.
const ROOM_SETTLING_TIME: Millis = Millis(500);

/// Part of the slots of a brittle upstream that is used.
const USED_SLOTS_DIVISOR: u32 = 2;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What an upstream says that it takes from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Requests a second.
    pub per_second: Option<f64>,
    /// Present while the upstream is brittle.
    pub brittle: Option<Brittle>,
}

/// An upstream that ends when it turns too many requests away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Brittle {
    /// Requests that it may turn away in a second.
    pub max_rejections: u32,
    /// Its slots, which hosts share; zero if the owner of its pool places all requests.
    pub slots: u32,
}

impl Terms {
    /// Whether there are none.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl From<Option<f64>> for Terms {
    fn from(per_second: Option<f64>) -> Self {
        Self { per_second, brittle: None }
    }
}

/// The hosts among which limits are shared, as known to one of them.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    own: Option<HostName>,
    all: Vec<HostName>,
    /// When this host may begin to send.
    settled_at: Time,
}

impl Hosts {
    /// The host `own`, which starts at `now`, and no other.
    pub fn new(now: Time, own: HostName) -> Self {
        Self { all: vec![own.clone()], own: Some(own), settled_at: now + SETTLING_TIME }
    }

    /// Replaces the running hosts, which include this one unless it is about to stop.
    pub fn set_running(&mut self, all: Vec<HostName>) {
        self.all = all;
    }

    /// The `count` hosts that send to an upstream.
    fn senders(&self, upstream: &UpstreamName, count: usize) -> Vec<HostName> {
        let all = self.all.iter().map(HostName::as_str);
        rendezvous::ranked(upstream.as_str(), all, count).into_iter().map(HostName::new).collect()
    }

    fn is_own(&self, host: &HostName) -> bool {
        self.own.as_ref() == Some(host)
    }
}

/// What each sender may send of a limit in requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pace {
    senders: usize,
    /// Time between two requests of one of them.
    interval: Millis,
}

impl Pace {
    fn new(per_second: f64, hosts: usize) -> Self {
        let senders = (MIN_SENDERS + SENDERS_PER_REQUEST * per_second) as usize;
        let senders = senders.min(hosts).max(1);
        let rate = USED_PART * per_second.max(MIN_PER_SECOND) / senders as f64;
        Self { senders, interval: Millis((MILLIS_PER_SECOND / rate).ceil() as u64) }
    }
}

/// What each sender may have outstanding at a brittle upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Room {
    senders: usize,
    requests: u32,
    /// Senders, the first ones, that may have one more.
    with_one_more: usize,
}

impl Room {
    /// `None` if the slots are not shared.
    fn new(brittle: Brittle, hosts: usize) -> Option<Self> {
        let shared = match brittle.slots {
            0 => return None,
            slots => (slots / USED_SLOTS_DIVISOR).max(1),
        };
        let senders = hosts.clamp(1, shared as usize);
        Some(Self {
            senders,
            requests: shared / senders as u32,
            with_one_more: shared as usize % senders,
        })
    }
}

/// The limits of one upstream, and this host's part of them.
#[derive(Clone, Debug)]
pub struct UpstreamLimit {
    upstream: UpstreamName,
    /// Empty if the upstream names no limit.
    terms: Terms,
    /// When it was last known to say so.
    stated_at: Time,
    learned_at: Time,
    pace: Option<Pace>,
    is_sender: bool,
    next_send_at: Time,
    room: Option<Room>,
    /// Hosts that share the room.
    room_senders: Vec<HostName>,
    /// Requests that this host may have outstanding.
    own_room: u32,
    /// When it may use its part of the room; `None` if it has none.
    has_room_at: Option<Time>,
    outstanding: u32,
    /// When it last turned a request away while it was brittle, and when that was learned.
    turned_away_at: Option<(Time, Time)>,
}

impl UpstreamLimit {
    /// What an upstream named at `stated_at`.
    pub fn new(
        now: Time,
        stated_at: Time,
        upstream: &UpstreamName,
        terms: Terms,
        hosts: &Hosts,
    ) -> Self {
        let mut limit = Self {
            upstream: upstream.clone(),
            terms,
            stated_at,
            learned_at: now,
            pace: None,
            is_sender: false,
            next_send_at: now,
            room: None,
            room_senders: Vec::new(),
            own_room: 0,
            has_room_at: None,
            outstanding: 0,
            turned_away_at: None,
        };
        limit.update(now, hosts);
        // All hosts learn of it now. One that has just started may not know any other yet.
        let settled_at = if hosts.all.len() > 1 { now } else { hosts.settled_at };
        limit.has_room_at = limit.has_room_at.map(|_| now.max(settled_at));
        limit
    }

    /// What is in force.
    pub fn terms(&self, now: Time) -> Terms {
        if self.is_current(now) { self.terms } else { Terms::default() }
    }

    /// Whether the statement is recent enough to be believed and passed on.
    pub fn is_current(&self, now: Time) -> bool {
        now.since(self.stated_at) < RETENTION
    }

    /// What the upstream said last, and when.
    pub fn statement(&self) -> (Terms, Time) {
        (self.terms, self.stated_at)
    }

    /// When it last turned a request away, if that still counts.
    pub fn turned_away_at(&self, now: Time) -> Option<Time> {
        let at = self.turned_away_at.map(|(at, _)| at);
        at.filter(|at| self.terms.brittle.is_some() && now.since(*at) < FULL_PAUSE)
    }

    /// When the last of all this was learned.
    pub fn learned_at(&self) -> Time {
        self.turned_away_at.map_or(self.learned_at, |(_, learned)| learned.max(self.learned_at))
    }

    /// Records a later statement; returns whether it says something else.
    pub fn state(&mut self, now: Time, stated_at: Time, terms: Terms, hosts: &Hosts) -> bool {
        if stated_at < self.stated_at {
            return false;
        }
        let before = self.terms(now);
        self.stated_at = stated_at;
        self.terms = terms;
        let is_news = before != terms;
        if is_news {
            self.learned_at = now;
            self.update(now, hosts);
        }
        is_news
    }

    /// Records that the upstream turned a request away at `at`; returns whether it is brittle and that
    /// is news.
    pub fn turned_away(&mut self, now: Time, at: Time) -> bool {
        if self.terms(now).brittle.is_none() || now.since(at) >= FULL_PAUSE {
            return false;
        }
        let is_news = self.turned_away_at(now).is_none();
        if self.turned_away_at.is_none_or(|(known, _)| known < at) {
            self.turned_away_at = Some((at, now));
        }
        is_news
    }

    /// Follows a change of the limit or of the hosts. A new sender waits before its first request, as
    /// another host may just have sent one.
    pub fn update(&mut self, now: Time, hosts: &Hosts) {
        self.update_pace(now, hosts);
        self.update_room(now, hosts);
    }

    fn update_pace(&mut self, now: Time, hosts: &Hosts) {
        let Some(per_second) = self.terms.per_second else {
            (self.pace, self.is_sender) = (None, false);
            return;
        };
        let pace = Pace::new(per_second, hosts.all.len());
        let senders = hosts.senders(&self.upstream, pace.senders);
        let is_sender = senders.iter().any(|host| hosts.is_own(host));
        if is_sender && (!self.is_sender || self.pace != Some(pace)) {
            self.next_send_at = self.next_send_at.max(now + pace.interval);
        }
        (self.pace, self.is_sender) = (Some(pace), is_sender);
    }

    fn update_room(&mut self, now: Time, hosts: &Hosts) {
        let brittle = self.terms.brittle;
        self.room = brittle.and_then(|brittle| Room::new(brittle, hosts.all.len()));
        let count = self.room.map_or(0, |room| room.senders);
        self.room_senders = hosts.senders(&self.upstream, count);
        let rank = self.room_senders.iter().position(|host| hosts.is_own(host));
        let own_room = self
            .room
            .zip(rank)
            .map(|(room, rank)| room.requests + u32::from(rank < room.with_one_more));
        self.own_room = own_room.unwrap_or(0);
        let is_sender = rank.is_some();
        let settled_at = now + ROOM_SETTLING_TIME;
        self.has_room_at = is_sender.then(|| self.has_room_at.unwrap_or(settled_at));
    }

    /// Hosts that share the room of a brittle upstream; `None` if it is not shared.
    pub fn room_senders(&self, now: Time) -> Option<&[HostName]> {
        (self.is_current(now) && self.room.is_some()).then_some(&self.room_senders)
    }

    /// Whether this host has a part of the room.
    pub fn has_room_share(&self, now: Time) -> bool {
        self.has_room_at.is_some_and(|at| now >= at)
    }

    /// Time until this host may send a request; `None` if it may now.
    pub fn wait(&self, now: Time, hosts: &Hosts) -> Option<Millis> {
        if !self.is_current(now) {
            return None;
        }
        if let Some(at) = self.turned_away_at(now) {
            return Some(FULL_PAUSE - now.since(at));
        }
        self.wait_for_pace(now, hosts).max(self.wait_for_room(now))
    }

    fn wait_for_pace(&self, now: Time, hosts: &Hosts) -> Option<Millis> {
        self.pace?;
        if !self.is_sender {
            return Some(NOT_A_SENDER_WAIT);
        }
        let due_at = self.next_send_at.max(hosts.settled_at);
        (now < due_at).then(|| due_at.since(now))
    }

    fn wait_for_room(&self, now: Time) -> Option<Millis> {
        self.room?;
        let Some(has_room_at) = self.has_room_at else {
            return Some(NOT_A_SENDER_WAIT);
        };
        if now < has_room_at {
            return Some(has_room_at.since(now));
        }
        (self.outstanding >= self.own_room).then_some(BUSY_WAIT)
    }

    /// Records that this host sends a request.
    pub fn sent(&mut self, now: Time) {
        if let Some(pace) = self.pace {
            self.next_send_at = now + pace.interval;
        }
        self.outstanding += 1;
    }

    /// Records that a request of this host has ended.
    pub fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }
}
