//! News of the configuration and of the list of upstreams, from the platform or from peers.

use super::{Control, Message};
use magnoliawinch::cells::{Cell, CellSet};
use magnoliawinch::fleet::{Change, ChangeLog, ListedUpstream};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CellLoad, CellOf, StateReply, StateRequest};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
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
        all: Vec<ListedUpstream>,
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
    put: Vec<ListedUpstream>,
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
    pub(super) fn take_list(&mut self, now: Time, news: ListNews, told: &CellSet) {
        if !told.covers(&self.cells.needed) {
            return;
        }
        let is_partly = !matches!(news, ListNews::Whole { .. }) && !self.cells.are_covered();
        if is_partly {
            // Changes of what is not known yet.
            return;
        }
        let news = self.only_needed(news);
        let was_known = self.fleet.has_been_read();
        let (left, has_changes) = match news {
            ListNews::Read => {
                self.fleet.record_read(now);
                (Vec::new(), false)
            }
            ListNews::Changes { through, changes } => {
                let changed = self.changed_by(&changes);
                let left = self.fleet.apply(now, through, changes);
                (left, self.note_changes(through, changed))
            }
            ListNews::Whole { through, all } => {
                let changed = self.changed_in(&all);
                if !was_known {
                    self.list_log = ChangeLog::new(through);
                }
                if through >= self.fleet.offset() {
                    self.cells.covered = self.cells.needed.clone();
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
        if has_changes || !was_known {
            self.decide_layout();
        }
    }

    /// News without upstreams that are none of this daemon's concern.
    fn only_needed(&self, news: ListNews) -> ListNews {
        if self.cells.needed == CellSet::all() {
            return news;
        }
        match news {
            ListNews::Read => ListNews::Read,
            ListNews::Whole { through, all } => {
                let all = all.into_iter().filter(|listed| self.needs(listed)).collect();
                ListNews::Whole { through, all }
            }
            ListNews::Changes { through, changes } => {
                let is_needed = |change: &Change| match change {
                    Change::Put(listed) => self.needs(listed),
                    Change::Removed(_) => true,
                };
                let changes = changes.into_iter().filter(is_needed).collect();
                ListNews::Changes { through, changes }
            }
        }
    }

    /// Notes the entries that changed; returns whether there are any.
    fn note_changes(&mut self, through: u64, changed: Vec<UpstreamName>) -> bool {
        if changed.is_empty() {
            return false;
        }
        self.fleet_changed_at = self.fleet_changed_at.max(through);
        self.list_log.record(through, changed);
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
    fn changed_in(&self, all: &[ListedUpstream]) -> Vec<UpstreamName> {
        let names: HashSet<_> = all.iter().map(|listed| &listed.name).collect();
        let missing = |listed: &&ListedUpstream| !names.contains(&listed.name);
        let gone = self.fleet.all().filter(missing);
        let differs = |listed: &&ListedUpstream| self.fleet.get(&listed.name) != Some(*listed);
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
        if let Some(address) = peer.and_then(|peer| peer.peer_address.parse().ok()) {
            self.note_version_at(now, version, address);
        }
    }

    /// Has the configuration looked for that the daemon at `peer` has, if it is newer.
    pub(super) fn note_version_at(&mut self, now: Time, version: u64, peer: SocketAddr) {
        if version > self.version() && self.named_versions.name(now, version, peer) {
            self.shared.named_version.send_replace(version);
        }
    }

    /// Asks a peer for a version that the store has not given.
    pub(super) fn ask_for_version(&mut self, now: Time) {
        let in_force = self.version();
        if let Some(peer) = self.named_versions.ask(now, in_force) {
            self.ask_state(peer);
        }
    }

    /// Asks a peer for what is newer there.
    pub(super) fn ask_state(&self, address: SocketAddr) {
        let req = StateRequest {
            configuration_version: self.version(),
            list_offset: self.list_offset(),
            wanted: self.cells.needed.cells().map(Into::into).collect(),
            loads: self.own_loads(self.shared.clock.now()).into_iter().map(cell_load).collect(),
            refused: self.quarantine.refused().map(|print| print.0).collect(),
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
    pub(super) fn state_for(&mut self, now: Time, req: &StateRequest) -> StateReply {
        if self.is_reader() {
            self.take_cell_loads(&req.loads);
            self.pass_on_refused(now, &req.refused);
        }
        let wanted = interest_of(&req.wanted);
        let is_covered = self.cells.covered.covers(&wanted);
        let is_newer = |version: u64| version > req.configuration_version;
        let newer = self.table.as_ref().filter(|table| is_newer(table.version()));
        let configuration = newer.map(|table| to_json(table.configuration()));
        StateReply {
            configuration: configuration.unwrap_or_default(),
            list: self.list_json_after(req.list_offset, &wanted),
            list_offset: self.fleet.offset(),
            list_age_ms: if is_covered { self.list_age_ms(now) } else { u32::MAX },
            told: req.wanted.clone(),
            layout: Some(self.cells.layout.into()),
            cell_loads: self.all_loads(now),
            refused: self.refused_anywhere(),
            configuration_age_ms: age_ms(now, self.shared.looked_at()),
        }
    }

    /// The offset up to which this daemon knows what it has to know of the list.
    pub(super) fn list_offset(&self) -> u64 {
        if self.cells.are_covered() { self.fleet.offset() } else { 0 }
    }

    /// What one that knows the list up to `offset`, which is zero for nothing, has missed of the
    /// upstreams of `interest`, as JSON; nothing when that is nothing.
    pub(super) fn list_json_after(&self, offset: u64, interest: &CellSet) -> String {
        let is_covered = self.fleet.has_been_read() && self.cells.covered.covers(interest);
        if !is_covered || offset >= self.fleet_changed_at {
            return String::new();
        }
        let is_told = |listed: &&ListedUpstream| self.is_in(interest, listed);
        let names = (offset > 0).then(|| self.list_log.since(offset)).flatten();
        let message = match names {
            Some(names) => {
                let (put, removed): (Vec<_>, Vec<_>) =
                    names.into_iter().partition(|name| self.fleet.get(name).is_some());
                let put = put.into_iter().filter_map(|name| self.fleet.get(name));
                ListMessage {
                    is_whole: false,
                    put: put.filter(is_told).cloned().collect(),
                    removed: removed.into_iter().cloned().collect(),
                }
            }
            None => ListMessage {
                is_whole: true,
                put: self.fleet.all().filter(is_told).cloned().collect(),
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
        self.shared.note_look(now - Millis(u64::from(state.configuration_age_ms)));
        if let Some(layout) = state.layout.as_ref().and_then(magnoliawinch_peer::Layout::layout) {
            self.take_layout(layout);
        }
        if !self.cells.layout.is_undivided() && !self.is_reader() {
            self.take_loads(&state.cell_loads);
            self.pass_on_refused(now, &state.refused);
        }
        let told = interest_of(&state.told);
        self.take_peer_list(now, &state.list, state.list_offset, state.list_age_ms, &told);
    }

    /// Takes the list of the upstreams of `told` as a peer knows it.
    pub(super) fn take_peer_list(
        &mut self,
        now: Time,
        list: &str,
        offset: u64,
        age_ms: u32,
        told: &CellSet,
    ) {
        /// Age at which a peer's list is no better than none.
        const TOO_OLD_MS: u32 = 5_000;
        if age_ms > TOO_OLD_MS || offset < self.fleet.offset() {
            return;
        }
        let read_at = now - Millis(u64::from(age_ms));
        if list.is_empty() {
            // The peer has read further and found no change.
            if offset >= self.fleet_changed_at && self.fleet.has_been_read() {
                let news = ListNews::Changes { through: offset, changes: Vec::new() };
                self.take_list(read_at, news, told);
            }
            return;
        }
        match serde_json::from_str::<ListMessage>(list) {
            Ok(message) => self.take_list(read_at, message.news(offset), told),
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
            log::info!(upstream = name.as_str(), list_offset = self.fleet.offset(); "upstream leaves");
            self.vacate(now, name);
        }
    }
}

fn cell_load((cell, load): (Cell, f32)) -> CellLoad {
    CellLoad { cell: Some(cell.into()), load }
}

/// The interest that a peer names; all upstreams when it names none.
fn interest_of(cells: &[CellOf]) -> CellSet {
    match cells.is_empty() {
        true => CellSet::all(),
        false => CellSet::new(cells.iter().filter_map(CellOf::cell)),
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
