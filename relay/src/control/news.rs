//! News of the configuration and of the list of upstreams, from the platform or from peers.

use super::{Control, Message};
use magnoliawinch::fleet::{Change, Listed};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{StateReply, StateRequest};
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
                let matters = changes.iter().any(|change| self.matters(change));
                let left = self.fleet.fold(now, through, changes);
                self.note_change(through, matters);
                (left, matters)
            }
            ListNews::Whole { through, all } => {
                let matters = self.differs(&all);
                let left = self.fleet.replace(now, through, all);
                self.note_change(through, matters);
                (left, matters)
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

    fn note_change(&mut self, through: u64, matters: bool) {
        if matters {
            self.fleet_changed_at = self.fleet_changed_at.max(through);
        }
    }

    fn matters(&self, change: &Change) -> bool {
        match change {
            Change::Put(listed) => self.fleet.get(&listed.name) != Some(listed),
            Change::Removed(name) => self.fleet.get(name).is_some(),
        }
    }

    fn differs(&self, all: &[Listed]) -> bool {
        all.len() != self.fleet.all().count()
            || all.iter().any(|listed| self.fleet.get(&listed.name) != Some(listed))
    }

    /// Looks for a newer configuration where a peer has one.
    pub(super) fn note_version(&mut self, version: u64, peer: Option<&magnoliawinch_peer::Member>) {
        let own = self.table.as_ref().map_or(0, |table| table.version());
        if version <= own {
            return;
        }
        if let Some(address) = peer.and_then(|peer| peer.peer_address.parse().ok()) {
            self.ask_state(address);
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

    /// The list as JSON, or nothing when one that knows it up to `offset` has missed no change.
    pub(super) fn list_json_after(&self, offset: u64) -> String {
        let is_news = self.fleet.is_known() && offset < self.fleet_changed_at;
        let all: Vec<&Listed> = self.fleet.all().collect();
        if is_news { to_json(&all) } else { String::new() }
    }

    pub(super) fn list_age_ms(&self, now: Time) -> u32 {
        let age = self.fleet.read_at().map(|at| now.since(at));
        age.map_or(u32::MAX, |Millis(ms)| ms.min(u64::from(u32::MAX)) as u32)
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
        match serde_json::from_str(list) {
            Ok(all) => self.take_list(read_at, ListNews::Whole { through: offset, all }),
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

fn to_json(value: &impl serde::Serialize) -> String {
    match serde_json::to_string(value) {
        Ok(text) => text,
        Err(e) => {
            log::error!("state cannot be written as JSON: {e}");
            String::new()
        }
    }
}
