//! Limits that upstreams name for the requests of all hosts together.
//!
//! A few hosts, chosen by rendezvous hashing, share what an upstream takes, each at a steady pace; the
//! others send it nothing. The hosts that are told of the limit may get 1.5 times what it allows in
//! four seconds, and 5 requests more. Half of that is used, so that two groups of hosts that do not
//! see each other stay within it together.

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

const MILLIS_PER_SECOND: f64 = 1_000.0;

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

    /// Whether this host is among the `count` that send to an upstream.
    fn is_sender(&self, upstream: &UpstreamName, count: usize) -> bool {
        let Some(own) = self.own.as_ref().filter(|own| self.all.contains(own)) else {
            return false;
        };
        let rank = |host: &HostName| {
            (rendezvous::weight(upstream.as_str(), host.as_str()), host.as_str().to_owned())
        };
        let own_rank = rank(own);
        self.all.iter().filter(|host| rank(host) > own_rank).count() < count
    }
}

/// What each sender may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Share {
    senders: usize,
    /// Time between two requests of one of them.
    interval: Millis,
}

impl Share {
    fn new(per_second: f64, hosts: usize) -> Self {
        let senders = (MIN_SENDERS + SENDERS_PER_REQUEST * per_second) as usize;
        let senders = senders.min(hosts).max(1);
        let rate = USED_PART * per_second.max(MIN_PER_SECOND) / senders as f64;
        Self { senders, interval: Millis((MILLIS_PER_SECOND / rate).ceil() as u64) }
    }
}

/// What is known of the limit of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamLimit {
    upstream: UpstreamName,
    /// Requests a second; `None` once the upstream names no limit any more.
    per_second: Option<f64>,
    /// When it was last known to say so.
    stated_at: Time,
    learned_at: Time,
    share: Share,
    is_sender: bool,
    next_send_at: Time,
}

impl UpstreamLimit {
    /// The limit that an upstream named at `stated_at`.
    pub fn new(
        now: Time,
        stated_at: Time,
        upstream: &UpstreamName,
        per_second: f64,
        hosts: &Hosts,
    ) -> Self {
        let mut limit = Self {
            upstream: upstream.clone(),
            per_second: Some(per_second),
            stated_at,
            learned_at: now,
            share: Share::new(per_second, hosts.all.len()),
            is_sender: false,
            next_send_at: now,
        };
        limit.update(now, hosts);
        limit
    }

    /// Requests a second; `None` if no limit is in force.
    pub fn per_second(&self, now: Time) -> Option<f64> {
        self.per_second.filter(|_| self.is_current(now))
    }

    /// Whether the statement is recent enough to be believed and passed on.
    pub fn is_current(&self, now: Time) -> bool {
        now.since(self.stated_at) < RETENTION
    }

    /// What the upstream said last, and when.
    pub fn statement(&self) -> (Option<f64>, Time) {
        (self.per_second, self.stated_at)
    }

    /// When this was learned.
    pub fn learned_at(&self) -> Time {
        self.learned_at
    }

    /// Records a later statement; returns whether it says something else.
    pub fn state(
        &mut self,
        now: Time,
        stated_at: Time,
        per_second: Option<f64>,
        hosts: &Hosts,
    ) -> bool {
        if stated_at < self.stated_at {
            return false;
        }
        let before = self.per_second(now);
        self.stated_at = stated_at;
        self.per_second = per_second;
        let is_news = before != per_second;
        if is_news {
            self.learned_at = now;
            self.update(now, hosts);
        }
        is_news
    }

    /// Follows a change of the limit or of the hosts. A new sender waits before its first request, as
    /// another host may just have sent one.
    pub fn update(&mut self, now: Time, hosts: &Hosts) {
        let Some(per_second) = self.per_second else {
            return;
        };
        let share = Share::new(per_second, hosts.all.len());
        let is_sender = hosts.is_sender(&self.upstream, share.senders);
        if is_sender && (!self.is_sender || share != self.share) {
            self.next_send_at = self.next_send_at.max(now + share.interval);
        }
        (self.share, self.is_sender) = (share, is_sender);
    }

    /// Time until this host may send a request; `None` if it may now.
    pub fn wait(&self, now: Time, hosts: &Hosts) -> Option<Millis> {
        self.per_second(now)?;
        if !self.is_sender {
            return Some(NOT_A_SENDER_WAIT);
        }
        let due_at = self.next_send_at.max(hosts.settled_at);
        (now < due_at).then(|| due_at.since(now))
    }

    /// Records that this host sends a request.
    pub fn sent(&mut self, now: Time) {
        self.next_send_at = now + self.share.interval;
    }
}
