//! Updates of the configuration and of the list of upstreams, from the platform or from peers.

use super::{Control, Message};
use magnoliawinch::cells::{Cell, CellSet};
use magnoliawinch::dissemination::{KnownRead, Reader};
use magnoliawinch::fleet::{Change, ChangeLog, Gap, ListedUpstream, Missed, Origin};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::store_position::StorePosition;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{CellLoad, CellOf, StateReply, StateRequest};
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a state request to a peer.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An update of the list of upstreams.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// Changes since the last update.
    Changes {
        /// Position after the last change.
        end: StorePosition,
        /// Where the changes come from.
        origin: Origin,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// The whole list.
    Snapshot {
        /// Position after the last change that it contains.
        end: StorePosition,
        /// Where the list comes from.
        origin: Origin,
        /// All entries.
        entries: Vec<ListedUpstream>,
    },
    /// The list was read and has not changed.
    Unchanged,
}

/// A list update as daemons send it to each other, in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct ListMessage {
    /// Whether `put` has all entries.
    is_whole: bool,
    /// New or changed entries.
    #[serde(deserialize_with = "known_entries")]
    put: Vec<ListedUpstream>,
    removed: Vec<UpstreamName>,
    /// Expired entries, each with the time after which it is removed unless it returns.
    expiring: Vec<(UpstreamName, Millis)>,
    /// Gaps in what the sender knows of the changes; older builds know of none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    gaps: Vec<Gap>,
}

/// Entries without those of a form that only a newer build knows.
fn known_entries<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<ListedUpstream>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Entry {
        Known(ListedUpstream),
        Unknown(IgnoredAny),
    }
    let known = Vec::deserialize(deserializer)?.into_iter().filter_map(|entry| match entry {
        Entry::Known(listed) => Some(listed),
        Entry::Unknown(_) => None,
    });
    Ok(known.collect())
}

impl ListMessage {
    fn into_update(self, end: StorePosition) -> ListUpdate {
        let origin = Origin::Peer(self.expiring);
        if self.is_whole {
            return ListUpdate::Snapshot { end, origin, entries: self.put };
        }
        let put = self.put.into_iter().map(Change::Put);
        let removed = self.removed.into_iter().map(Change::Removed);
        ListUpdate::Changes { end, origin, changes: put.chain(removed).collect() }
    }
}

impl Control {
    /// Applies an update that covers the upstreams of `scope`; ignores it if this daemon has to
    /// track more.
    pub(super) fn apply_list(&mut self, now: Time, update: ListUpdate, scope: &CellSet) {
        if !scope.covers(&self.cells.needed) {
            return;
        }
        let is_premature =
            !matches!(update, ListUpdate::Snapshot { .. }) && !self.cells.covers_needed();
        if is_premature {
            // Changes are useless without the entries that they apply to.
            return;
        }
        let update = self.filter_needed(update);
        let was_read = self.fleet.has_been_read();
        let (leaving, has_changes) = match update {
            ListUpdate::Unchanged => {
                self.fleet.record_read(now);
                (Vec::new(), false)
            }
            ListUpdate::Changes { end, origin, changes } => {
                let has_changes = self.list_log.record_changes(&self.fleet, end, &origin, &changes);
                (self.fleet.apply(now, end, &origin, changes), has_changes)
            }
            ListUpdate::Snapshot { end, origin, entries } => {
                if end >= self.fleet.position() {
                    if !self.cells.covers_needed() {
                        // Nothing is known of earlier changes to upstreams that were not tracked.
                        self.list_log = ChangeLog::new(end);
                    }
                    self.cells.covered = self.cells.needed.clone();
                }
                let has_changes = self.list_log.record_whole(&self.fleet, end, &entries);
                (self.fleet.replace(now, end, &origin, entries), has_changes)
            }
        };
        if has_changes || !was_read {
            self.fleet_view_is_stale = true;
            self.update_pool_engines();
        }
        if let Some(at) = self.fleet.read_at() {
            self.shared.note_list_read(at);
        }
        self.drain_upstreams(now, &leaving);
        if has_changes || !was_read {
            self.find_replaced(now);
            self.update_layout();
        }
    }

    /// Drops the upstreams that this daemon does not track from an update.
    fn filter_needed(&self, update: ListUpdate) -> ListUpdate {
        if self.cells.needed == CellSet::all() {
            return update;
        }
        match update {
            ListUpdate::Unchanged => ListUpdate::Unchanged,
            ListUpdate::Snapshot { end, origin, entries } => {
                let entries = entries.into_iter().filter(|listed| self.needs(listed)).collect();
                ListUpdate::Snapshot { end, origin, entries }
            }
            ListUpdate::Changes { end, origin, changes } => {
                let is_needed = |change: &Change| match change {
                    Change::Put(listed) => self.needs(listed),
                    Change::Removed(_) => true,
                };
                let changes = changes.into_iter().filter(is_needed).collect();
                ListUpdate::Changes { end, origin, changes }
            }
        }
    }

    /// Notes the configuration version that a peer has.
    pub(super) fn note_peer_version(
        &mut self,
        now: Time,
        version: u64,
        peer: Option<&magnoliawinch_peer::Member>,
    ) {
        if let Some(address) = peer.and_then(|peer| peer.peer_address.parse().ok()) {
            self.note_announced_version(now, version, address);
        }
    }

    /// Notes that the daemon at `peer` has `version`, to be requested from it if it does not
    /// arrive.
    pub(super) fn note_announced_version(&mut self, now: Time, version: u64, peer: SocketAddr) {
        if version > self.version() {
            self.announced_versions.record(now, version, peer);
        }
    }

    /// Requests an announced version from a peer if it has not arrived in time.
    pub(super) fn request_announced_version(&mut self, now: Time) {
        let known = self.version().max(self.transfer.newest_version());
        if let Some(peer) = self.announced_versions.peer_to_query(now, known) {
            self.request_state(peer);
        }
    }

    /// A request for newer configuration and list entries.
    pub(super) fn state_request(&self, now: Time) -> StateRequest {
        let (configuration_age_ms, attempt_age_ms) = self.read_ages_ms(now);
        StateRequest {
            configuration_version: self.version(),
            announced_version: self.transfer.newest_version(),
            list_offset: self.list_position().offset,
            list_era: self.list_position().era,
            wanted: self.cells.needed.cells().map(Into::into).collect(),
            loads: self.own_loads(now).into_iter().map(cell_load_to_proto).collect(),
            wait_ms: 0,
            configuration_age_ms,
            attempt_age_ms,
            evacuations_era: self.evacuations.position().era,
            evacuations_offset: self.evacuations.position().offset,
            above_share: self.own_use_above_share(now),
        }
    }

    /// Requests newer configuration and list entries from a peer.
    pub(super) fn request_state(&self, address: SocketAddr) {
        let req = self.state_request(self.shared.clock.now());
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let reply = shared.call_state("state", address, STATE_TIMEOUT, req).await;
            if let Some(state) = reply {
                shared.tell(Message::PeerState { source: address, state: Box::new(state) });
            }
        });
    }

    pub(super) fn state_reply(&mut self, now: Time, req: &StateRequest) -> StateReply {
        if self.is_reader() {
            self.update_cell_loads(&req.loads);
            self.record_use_above_share(now, &req.above_share);
        }
        let wanted = cell_set(&req.wanted);
        let is_covered = self.cells.covered.covers(&wanted);
        let configuration = self.configuration_after(now, req.configuration_version);
        let (configuration_age_ms, attempt_age_ms) = self.read_ages_ms(now);
        let reader = self.shared.last_configuration_read().reader;
        let list = self.list_json_after(list_position(req), &wanted);
        let inline = configuration.as_ref().map_or(0, |configuration| configuration.body.len());
        self.shared.metrics.add("bytes_sent", "configuration", inline);
        self.shared.metrics.add("bytes_sent", "list", list.len());
        StateReply {
            configuration,
            list,
            list_offset: self.fleet.position().offset,
            list_era: self.fleet.position().era,
            list_age_ms: if is_covered { self.list_age_ms(now) } else { u32::MAX },
            told: req.wanted.clone(),
            layout: Some(self.cells.layout.into()),
            cell_loads: self.all_loads(now),
            configuration_age_ms,
            attempt_age_ms,
            configuration_reader: reader.host,
            configuration_reader_rank: reader.rank,
            quarantine: self.quarantine_news(now),
            evacuations: self.evacuations_to_proto(),
            above_share: self.total_use_above_share(now),
        }
    }

    /// Position up to which this daemon's part of the list is complete; the start if incomplete.
    pub(super) fn list_position(&self) -> StorePosition {
        if self.cells.covers_needed() { self.fleet.position() } else { StorePosition::START }
    }

    fn has_changes_after(&self, position: StorePosition, cells: &CellSet) -> bool {
        let is_covered = self.fleet.has_been_read() && self.cells.covered.covers(cells);
        is_covered && self.list_log.has_news_after(position)
    }

    /// Whether the list has changes for the sender of `req`.
    pub(super) fn has_list_for(&self, req: &StateRequest) -> bool {
        self.has_changes_after(list_position(req), &cell_set(&req.wanted))
    }

    /// Changes since `position` to the upstreams of `cells`, as JSON; all of these upstreams if
    /// `position` is the start or the changes are no longer kept. Empty if there are none, or if
    /// this daemon's list is incomplete for `cells`.
    pub(super) fn list_json_after(&self, position: StorePosition, cells: &CellSet) -> String {
        if !self.has_changes_after(position, cells) {
            return String::new();
        }
        let is_wanted = |listed: &&ListedUpstream| self.is_relevant(cells, listed);
        let now = self.shared.clock.now();
        let expiring = self.fleet.expiring().map(|(name, at)| (name.clone(), at.since(now)));
        let expiring = expiring.collect();
        let missed = match position {
            StorePosition::START => Missed::Unknown,
            position => self.list_log.since(position),
        };
        let message = match missed {
            Missed::Nothing => return String::new(),
            Missed::Changes(names, gaps) => {
                let (put, removed): (Vec<_>, Vec<_>) =
                    names.into_iter().partition(|name| self.fleet.get(name).is_some());
                let put = put.into_iter().filter_map(|name| self.fleet.get(name));
                ListMessage {
                    is_whole: false,
                    put: put.filter(is_wanted).cloned().collect(),
                    removed: removed.into_iter().cloned().collect(),
                    expiring,
                    gaps,
                }
            }
            Missed::Unknown => ListMessage {
                is_whole: true,
                put: self.fleet.all().filter(is_wanted).cloned().collect(),
                removed: Vec::new(),
                expiring,
                gaps: Vec::new(),
            },
        };
        to_json(&message)
    }

    pub(super) fn list_age_ms(&self, now: Time) -> u32 {
        self.fleet.read_at().map_or(u32::MAX, |at| age_ms(now, at))
    }

    /// Applies the state of the daemon at `source`; `is_followed` if this daemon polls it.
    pub(super) fn apply_peer_state(
        &mut self,
        now: Time,
        source: SocketAddr,
        is_followed: bool,
        state: &StateReply,
    ) {
        // First, as the configuration makes this daemon ready.
        self.apply_quarantine_news(now, state.quarantine.as_ref());
        self.apply_peer_evacuations(now, state.evacuations.as_ref());
        if let Some(configuration) = &state.configuration {
            self.shared.metrics.add("bytes_received", "configuration", configuration.body.len());
            self.apply_peer_configuration(now, source, is_followed, configuration);
        }
        self.shared.note_configuration_read(KnownRead {
            at: now - Millis(u64::from(state.configuration_age_ms)),
            reader: Reader {
                rank: state.configuration_reader_rank,
                host: state.configuration_reader,
            },
        });
        self.shared.note_read_attempt(now - Millis(u64::from(state.attempt_age_ms)));
        if let Some(layout) = state.layout.as_ref().and_then(magnoliawinch_peer::Layout::layout) {
            self.apply_layout(layout);
        }
        if !self.cells.layout.is_undivided() && !self.is_reader() {
            self.replace_cell_loads(&state.cell_loads);
            self.apply_use_above_share(now, &state.above_share);
        }
        let scope = cell_set(&state.told);
        let position = StorePosition { era: state.list_era, offset: state.list_offset };
        self.apply_peer_list(now, &state.list, position, state.list_age_ms, &scope);
    }

    /// Applies a peer's list of the upstreams of `scope`.
    pub(super) fn apply_peer_list(
        &mut self,
        now: Time,
        list: &str,
        position: StorePosition,
        age_ms: u32,
        scope: &CellSet,
    ) {
        /// Age above which a peer's list is ignored: using it would be no better than having none.
        const MAX_LIST_AGE_MS: u32 = 5_000;
        if age_ms > MAX_LIST_AGE_MS || position < self.fleet.position() {
            return;
        }
        self.shared.metrics.add("bytes_received", "list", list.len());
        let read_at = now - Millis(u64::from(age_ms));
        if list.is_empty() {
            // The peer has read up to a later offset and found no change. Older builds also send
            // nothing for an older era, of which they may not know all entries.
            let is_known = self.fleet.has_been_read()
                && !position.is_rewound_since(self.fleet.position())
                && !self.list_log.has_news_after(position);
            if is_known {
                let update = ListUpdate::Changes {
                    end: position,
                    origin: Origin::Peer(Vec::new()),
                    changes: Vec::new(),
                };
                self.apply_list(read_at, update, scope);
            }
            return;
        }
        match serde_json::from_str::<ListMessage>(list) {
            Ok(mut message) => {
                let gaps = std::mem::take(&mut message.gaps);
                self.apply_list(read_at, message.into_update(position), scope);
                gaps.into_iter().for_each(|gap| self.list_log.record_gap(gap));
            }
            Err(e) => log::warn!("failed to parse a peer's list of upstreams: {e}"),
        }
    }

    /// Moves runs off upstreams that are leaving or were removed from the list.
    pub(super) fn drain_upstreams(&mut self, now: Time, leaving: &[UpstreamName]) {
        if leaving.is_empty() {
            return;
        }
        self.fleet_view_is_stale = true;
        self.update_pool_engines();
        for name in leaving {
            let list_offset = self.fleet.position().offset;
            log::info!(upstream = name.as_str(), list_offset; "upstream leaves");
            self.drain_engine(now, name);
        }
    }
}

fn cell_load_to_proto((cell, load): (Cell, f32)) -> CellLoad {
    CellLoad { cell: Some(cell.into()), load }
}

/// Position up to which the sender of a request has the list.
fn list_position(req: &StateRequest) -> StorePosition {
    StorePosition { era: req.list_era, offset: req.list_offset }
}

/// The set of `cells`; all upstreams if empty.
fn cell_set(cells: &[CellOf]) -> CellSet {
    match cells.is_empty() {
        true => CellSet::all(),
        false => CellSet::new(cells.iter().filter_map(CellOf::cell)),
    }
}

/// Time since `at`, saturating.
pub(super) fn age_ms(now: Time, at: Time) -> u32 {
    now.since(at).0.min(u64::from(u32::MAX)) as u32
}

fn to_json(value: &impl Serialize) -> String {
    match serde_json::to_string(value) {
        Ok(text) => text,
        Err(e) => {
            log::error!("failed to serialize state as JSON: {e}");
            String::new()
        }
    }
}
