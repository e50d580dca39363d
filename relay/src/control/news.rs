//! News of the configuration and of the list of upstreams, from the platform or from peers.

use super::{Control, Message};
use magnoliawinch::fleet::{Change, ChangeLog, Listed};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{StateReply, StateRequest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for a peer to tell its state.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// News of the list of upstreams.
#[derive(Clone, Debug)]
pub enum ListNews {
    /// Changes up to an offset.
    Changes {
        /// The offset after the last of them.
        through: u64,
        /// In order.
        changes: Vec<Change>,
    },
    /// The whole list up to an offset.
    Whole {
        /// The offset.
        through: u64,
        /// Every entry.
        all: Vec<Listed>,
    },
    /// The list was read and held no news.
    Read,
}

/// News of the list between daemons.
#[derive(Debug, Serialize, Deserialize)]
struct ListMessage {
    /// Whether `put` is every entry.
    is_whole: bool,
    /// Entries as they are now.
    put: Vec<Listed>,
    /// Entries that were removed.
    removed: Vec<UpstreamName>,
}

impl ListMessage {
    fn news(self, through: u64) -> ListNews {
        if self.is_whole {
            return ListNews::Whole { through, all: self.put };
        }
        let put = self.put.into_iter().map(Change::Put);
        let removed = self.removed.into_iter().map(Change::Removed);
        ListNews::Changes { through, changes: put.chain(removed).collect() }
    }
}

impl Control {
    /// Takes news of the list.
    pub(super) fn take_list(&mut self, now: Time, news: ListNews) {
        let was_known = self.fleet.is_known();
        let (left, has_changes) = match news {
            ListNews::Read => {
                self.fleet.note_read(now);
                (Vec::new(), false)
            }
            ListNews::Changes { through, changes } => {
                let changed = self.changed_by(&changes);
                let left = self.fleet.fold(now, through, changes);
                (left, self.note_changes(through, changed))
            }
            ListNews::Whole { through, all } => {
                let changed = self.changed_in(&all);
                if !was_known {
                    self.list_log = ChangeLog::new(through);
                }
                let left = self.fleet.replace(now, through, all);
                (left, self.note_changes(through, changed))
            }
        };
        if has_changes || !was_known {
            self.fleet_is_old = true;
            self.fill_pools();
        }
        if let Some(at) = self.fleet.read_at() {
            self.shared.note_list_read(at);
        }
        self.upstreams_left(now, &left);
    }

    /// Notes the entries that changed; returns whether there are any.
    fn note_changes(&mut self, through: u64, changed: Vec<UpstreamName>) -> bool {
        if changed.is_empty() {
            return false;
        }
        self.fleet_changed_at = self.fleet_changed_at.max(through);
        self.list_log.note(through, changed);
        true
    }

    /// The entries that `changes` really change.
    fn changed_by(&self, changes: &[Change]) -> Vec<UpstreamName> {
        let changed = changes.iter().filter_map(|change| match change {
            Change::Put(listed) => {
                (self.fleet.get(&listed.name) != Some(listed)).then(|| listed.name.clone())
            }
            Change::Removed(name) => self.fleet.get(name).map(|listed| listed.name.clone()),
        });
        changed.collect()
    }

    /// The entries in which `all` differs from what is known.
    fn changed_in(&self, all: &[Listed]) -> Vec<UpstreamName> {
        let missing = |listed: &&Listed| !all.iter().any(|other| other.name == listed.name);
        let gone = self.fleet.all().filter(missing);
        let differs = |listed: &&Listed| self.fleet.get(&listed.name) != Some(*listed);
        let other = all.iter().filter(differs);
        gone.chain(other).map(|listed| listed.name.clone()).collect()
    }

    /// Looks for a newer configuration where a peer has one.
    pub(super) fn note_version(
        &mut self,
        now: Time,
        version: u64,
        peer: Option<&magnoliawinch_peer::Member>,
    ) {
        let own = self.table.as_ref().map_or(0, |table| table.version());
        if version <= own {
            return;
        }
        if let Some(address) = peer.and_then(|peer| peer.peer_address.parse().ok()) {
            self.note_version_at(now, version, address);
        }
    }

    /// Has a newer configuration looked for that the daemon at `peer` has.
    pub(super) fn note_version_at(&mut self, now: Time, version: u64, peer: SocketAddr) {
        if self.named_versions.name(now, version, peer) {
            self.shared.named_version.send_replace(version);
        }
    }

    /// Asks a peer for a version that the store has not given.
    pub(super) fn ask_for_version(&mut self, now: Time) {
        let own = self.table.as_ref().map_or(0, |table| table.version());
        if let Some(peer) = self.named_versions.ask(now, own) {
            self.ask_state(peer);
        }
    }

    /// Asks a peer for what is newer there.
    pub(super) fn ask_state(&self, address: SocketAddr) {
        let req = StateRequest {
            configuration_version: self.table.as_ref().map_or(0, |table| table.version()),
            list_offset: self.fleet.through(),
        };
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let call = shared
                .peers
                .call(address, STATE_TIMEOUT, |mut peer| async move { peer.state(req).await });
            match call.await {
                Ok(state) => shared.tell(Message::PeerState(Box::new(state))),
                Err(e) => log::debug!("no state: {e}"),
            }
        });
    }

    /// What another daemon needs to begin.
    pub(super) fn state_for(&self, now: Time, req: &StateRequest) -> StateReply {
        let is_newer = |version: u64| version > req.configuration_version;
        let newer = self.table.as_ref().filter(|table| is_newer(table.version()));
        let configuration = newer.map(|table| to_json(table.configuration()));
        StateReply {
            configuration: configuration.unwrap_or_default(),
            list: self.list_json_after(req.list_offset),
            list_offset: self.fleet.through(),
            list_age_ms: self.list_age_ms(now),
        }
    }

    /// What one that knows the list up to `offset` has missed, as JSON; nothing when that is
    /// nothing.
    pub(super) fn list_json_after(&self, offset: u64) -> String {
        if !self.fleet.is_known() || offset >= self.fleet_changed_at {
            return String::new();
        }
        let message = match self.list_log.since(offset) {
            Some(names) => {
                let (put, removed): (Vec<_>, Vec<_>) =
                    names.into_iter().partition(|name| self.fleet.get(name).is_some());
                ListMessage {
                    is_whole: false,
                    put: put.into_iter().filter_map(|name| self.fleet.get(name)).cloned().collect(),
                    removed: removed.into_iter().cloned().collect(),
                }
            }
            None => ListMessage {
                is_whole: true,
                put: self.fleet.all().cloned().collect(),
                removed: Vec::new(),
            },
        };
        to_json(&message)
    }

    pub(super) fn list_age_ms(&self, now: Time) -> u32 {
        self.fleet.read_at().map_or(u32::MAX, |at| age_ms(now, at))
    }

    /// Takes the state that a peer told.
    pub(super) fn take_state(&mut self, now: Time, state: &StateReply) {
        if !state.configuration.is_empty() {
            match serde_json::from_str(&state.configuration) {
                Ok(configuration) => self.configure(now, configuration),
                Err(e) => log::warn!("a peer's configuration cannot be read: {e}"),
            }
        }
        self.take_peer_list(now, &state.list, state.list_offset, state.list_age_ms);
    }

    /// Takes the list as a peer knows it.
    pub(super) fn take_peer_list(&mut self, now: Time, list: &str, offset: u64, age_ms: u32) {
        /// Age at which a peer's list is no better than none.
        const TOO_OLD_MS: u32 = 5_000;
        if age_ms > TOO_OLD_MS || offset < self.fleet.through() {
            return;
        }
        let read_at = now - Millis(u64::from(age_ms));
        if list.is_empty() {
            // The peer has read further and found no change.
            if offset >= self.fleet_changed_at && self.fleet.is_known() {
                self.take_list(read_at, ListNews::Changes { through: offset, changes: Vec::new() });
            }
            return;
        }
        match serde_json::from_str::<ListMessage>(list) {
            Ok(message) => self.take_list(read_at, message.news(offset)),
            Err(e) => log::warn!("a peer's list of upstreams cannot be read: {e}"),
        }
    }

    /// Gets runs off upstreams that leave.
    pub(super) fn upstreams_left(&mut self, now: Time, left: &[UpstreamName]) {
        if left.is_empty() {
            return;
        }
        self.fleet_is_old = true;
        self.fill_pools();
        for name in left {
            log::info!(upstream = name.as_str(), list_offset = self.fleet.through(); "upstream leaves");
            self.vacate(now, name);
        }
    }
}

/// Time since `at`, in milliseconds.
pub(super) fn age_ms(now: Time, at: Time) -> u32 {
    now.since(at).0.min(u64::from(u32::MAX)) as u32
}

fn to_json(value: &impl Serialize) -> String {
    match serde_json::to_string(value) {
        Ok(text) => text,
        Err(e) => {
            log::error!("state cannot be written as JSON: {e}");
            String::new()
        }
    }
}
