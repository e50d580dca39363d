//! Service configuration: a state machine replicated through the platform's log.
//!
//! Every daemon applies the same records in log order by the same rules, so all daemons accept and
//! refuse the same changes. The state never moves back to an earlier offset.

use crate::ini::{Document, IniError, Keys};
use crate::names::ServiceName;
use crate::service_file::ServiceSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Position in a log stream, from 1; 0 means no record.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The next position.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The previous position; 0 if there is none.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// A change to one service, as published by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The service to change.
    pub service: ServiceName,
    /// The revision that the change is based on; 0 for a new service.
    pub base: Offset,
    /// Unique per change, so that a repeated append is not taken for a second change.
    pub nonce: u64,
    /// Who published the change.
    pub author: String,
    /// Sections to add or replace.
    #[serde(default)]
    pub put: BTreeMap<String, Keys>,
    /// Sections to remove.
    #[serde(default)]
    pub remove: Vec<String>,
    /// Whether to withdraw the service; `put` and `remove` are then ignored.
    #[serde(default)]
    pub withdraw: bool,
}

impl Change {
    /// The change that turns `old` into `new`, without nonce and author; `None` if they are equal.
    pub fn between(
        service: &ServiceName,
        base: Offset,
        old: &Document,
        new: &Document,
    ) -> Option<Self> {
        let is_changed =
            |(name, keys): &(&String, &Arc<Keys>)| old.sections().get(*name) != Some(*keys);
        let put: BTreeMap<_, _> = new
            .sections()
            .iter()
            .filter(is_changed)
            .map(|(name, keys)| (name.clone(), Keys::clone(keys)))
            .collect();
        let is_removed = |name: &&String| !new.sections().contains_key(*name);
        let remove: Vec<_> = old.sections().keys().filter(is_removed).cloned().collect();
        if put.is_empty() && remove.is_empty() {
            return None;
        }
        Some(Self {
            service: service.clone(),
            base,
            nonce: 0,
            author: String::new(),
            put,
            remove,
            withdraw: false,
        })
    }

    /// Sets `nonce` and `author`.
    pub fn with_author(self, nonce: u64, author: &str) -> Self {
        Self { nonce, author: author.to_owned(), ..self }
    }
}

/// One part of a checkpoint of the complete state up to an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointPart {
    /// The checkpoint that this part belongs to.
    pub id: u64,
    /// The last offset included in the state.
    pub through: Offset,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// This part of the state's JSON text.
    pub text: String,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A change to a service.
    Change(Change),
    /// One part of a checkpoint.
    CheckpointPart(CheckpointPart),
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The service changed after the change's base revision.
    #[error(
        "service \"{service}\" is at revision {current}, published by \"{winner}\"; the change \
         was made for revision {base}"
    )]
    Superseded {
        /// The service.
        service: ServiceName,
        /// Revision that the change is based on.
        base: u64,
        /// Current revision.
        current: u64,
        /// Author of the current revision.
        winner: String,
    },
    /// The changed service file would be invalid.
    #[error("service \"{service}\": {error}")]
    Invalid {
        /// The service.
        service: ServiceName,
        /// The error in the file.
        error: IniError,
    },
    /// The `[service]` section names another service.
    #[error("service \"{service}\" cannot be published under the name \"{other}\"")]
    NameMismatch {
        /// The service that the change is for.
        service: ServiceName,
        /// Name in the section.
        other: ServiceName,
    },
}

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    Accepted {
        /// The change's nonce.
        nonce: u64,
        /// The service.
        service: ServiceName,
    },
    /// The change was refused and will never take effect.
    Refused {
        /// The change's nonce.
        nonce: u64,
        /// The reason.
        refusal: Refusal,
    },
    /// A repeated append of the change in force.
    Duplicate,
    /// The record's offset was already read.
    AlreadyApplied,
    /// A checkpoint replaced the state and closed the gap.
    Restored,
    /// The state stays as it is: the record is a checkpoint part, or a change that was buffered
    /// until a checkpoint closes the gap.
    Unchanged,
    /// The record cannot be parsed; every daemon skips it.
    Unreadable,
}

/// Records are missing between the last read and the one received.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("offset {found} follows offset {last_read}; the records between are missing")]
pub struct Gap {
    /// Last offset read.
    pub last_read: u64,
    /// Offset received.
    pub found: u64,
}

/// Current revision of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The offset of the change that produced this revision.
    pub revision: Offset,
    /// Nonce of that change.
    pub nonce: u64,
    /// Publisher of that change.
    pub author: String,
    /// Service file; empty if withdrawn.
    pub document: Document,
    /// Parsed service file; `None` if withdrawn.
    #[serde(skip)]
    pub spec: Option<Arc<ServiceSpec>>,
}

/// Complete configuration up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The last offset applied.
    pub through: Offset,
    /// Services by name, including withdrawn ones.
    pub services: BTreeMap<ServiceName, Arc<ServiceEntry>>,
}

impl State {
    /// Parses and validates the output of `to_json`; `None` if invalid.
    pub fn from_json(text: &str) -> Option<Self> {
        let mut state: Self = serde_json::from_str(text).ok()?;
        for entry in state.services.values_mut() {
            let entry = Arc::make_mut(entry);
            if !entry.document.sections().is_empty() {
                let spec = ServiceSpec::from_document(&entry.document).ok()?;
                entry.spec = Some(Arc::new(spec));
            }
        }
        Some(state)
    }

    /// JSON text of the state.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the state has only string keys")
    }

    /// The service `name`, unless unknown or withdrawn.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)?.spec.as_ref()
    }

    /// All services that are not withdrawn.
    pub fn specs(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values().filter_map(|entry| entry.spec.as_ref())
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> ApplyOutcome {
        let current = self.services.get(&change.service);
        let revision = current.map_or(Offset(0), |entry| entry.revision);
        if current.is_some_and(|entry| entry.nonce == change.nonce) {
            return ApplyOutcome::Duplicate;
        }
        if revision != change.base {
            let refusal = Refusal::Superseded {
                service: change.service.clone(),
                base: change.base.0,
                current: revision.0,
                winner: current.map(|entry| entry.author.clone()).unwrap_or_default(),
            };
            return ApplyOutcome::Refused { nonce: change.nonce, refusal };
        }
        let document = patched_document(current, change);
        match validate(&document, change, current) {
            Ok(spec) => {
                let entry = ServiceEntry {
                    revision: offset,
                    nonce: change.nonce,
                    author: change.author.clone(),
                    document,
                    spec,
                };
                self.services.insert(change.service.clone(), Arc::new(entry));
                ApplyOutcome::Accepted { nonce: change.nonce, service: change.service.clone() }
            }
            Err(refusal) => ApplyOutcome::Refused { nonce: change.nonce, refusal },
        }
    }
}

fn patched_document(current: Option<&Arc<ServiceEntry>>, change: &Change) -> Document {
    if change.withdraw {
        return Document::default();
    }
    let mut document = current.map(|entry| entry.document.clone()).unwrap_or_default();
    for section in &change.remove {
        document.remove(section);
    }
    for (section, keys) in &change.put {
        document.put(section, keys.clone());
    }
    document
}

fn validate(
    document: &Document,
    change: &Change,
    current: Option<&Arc<ServiceEntry>>,
) -> Result<Option<Arc<ServiceSpec>>, Refusal> {
    if change.withdraw {
        return Ok(None);
    }
    let old = current.and_then(|entry| Some((&entry.document, entry.spec.as_deref()?)));
    let spec = ServiceSpec::from_document_reusing(document, old)
        .map_err(|error| Refusal::Invalid { service: change.service.clone(), error })?;
    if spec.name != change.service {
        return Err(Refusal::NameMismatch { service: change.service.clone(), other: spec.name });
    }
    Ok(Some(Arc::new(spec)))
}

/// The text size at which checkpoints are split into parts, in bytes.
pub const CHECKPOINT_PART_BYTES: usize = 65_536;

/// Incomplete checkpoints in memory; the lowest id is dropped first.
const MAX_INCOMPLETE_CHECKPOINTS: usize = 4;

/// Parts of one checkpoint: 256 MiB of state.
const MAX_CHECKPOINT_PARTS: u32 = 4_096;

/// Applies the records of the configuration stream.
#[derive(Clone, Debug)]
pub struct Catalogue {
    state: State,
    /// Whether `state` has ever been complete.
    has_state: bool,
    /// Last missing record; `None` if none is missing.
    gap_end: Option<Offset>,
    /// Changes after the gap, in log order.
    buffered: Vec<(Offset, Change)>,
    last_read: Offset,
    /// Texts of incomplete checkpoints by id and part index.
    checkpoint_parts: BTreeMap<u64, Vec<Option<String>>>,
    records_since_checkpoint: u64,
}

impl Default for Catalogue {
    fn default() -> Self {
        Self::new()
    }
}

impl Catalogue {
    /// Creates a catalogue that has read no records.
    pub fn new() -> Self {
        Self {
            state: State::default(),
            has_state: false,
            // Until the first state or the start of the log is known, changes are only buffered.
            gap_end: Some(Offset(0)),
            buffered: Vec::new(),
            last_read: Offset(0),
            checkpoint_parts: BTreeMap::new(),
            records_since_checkpoint: 0,
        }
    }

    /// Latest complete configuration, if any.
    pub fn state(&self) -> Option<&State> {
        self.has_state.then_some(&self.state)
    }

    /// Whether records are missing before the next offset to read.
    pub fn has_gap(&self) -> bool {
        self.gap_end.is_some()
    }

    /// Next offset to read.
    pub fn next_offset(&self) -> Offset {
        self.state.through.max(self.last_read).next()
    }

    /// Returns the number of records read since the last complete checkpoint.
    pub fn records_since_checkpoint(&self) -> u64 {
        self.records_since_checkpoint
    }

    /// Declares that the log or a reader holds no record before `first`. Unread records skipped by
    /// it are a gap that only `restore` or a checkpoint can close. If the log still starts at the
    /// first record, the state is complete and empty.
    pub fn set_log_start(&mut self, first: Offset) {
        if first > self.next_offset() {
            self.gap_end = Some(first.previous());
            self.buffered.clear();
            self.last_read = first.previous();
        } else if first <= Offset(1) && !self.has_state && self.last_read == Offset(0) {
            self.has_state = true;
            self.gap_end = None;
        }
    }

    /// Replaces the state by one from a checkpoint or a peer. Returns `false` and changes nothing
    /// if `state` is not newer than the current one or does not cover the gap.
    pub fn restore(&mut self, state: State) -> bool {
        let is_newer = !self.has_state || state.through > self.state.through;
        let covers_gap = self.gap_end.is_none_or(|gap_end| state.through >= gap_end);
        if !is_newer || !covers_gap {
            return false;
        }
        self.state = state;
        self.has_state = true;
        self.gap_end = None;
        for (offset, change) in std::mem::take(&mut self.buffered) {
            if offset > self.state.through {
                self.state.apply_change(offset, &change);
                self.state.through = offset;
            }
        }
        self.state.through = self.state.through.max(self.last_read);
        self.last_read = self.state.through;
        true
    }

    /// Applies the record at `offset`; fails if earlier ones have not been read.
    pub fn apply_record(&mut self, offset: Offset, data: &str) -> Result<ApplyOutcome, Gap> {
        if offset < self.next_offset() {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        if offset != self.next_offset() {
            return Err(Gap { last_read: self.next_offset().previous().0, found: offset.0 });
        }
        self.records_since_checkpoint += 1;
        let outcome = match serde_json::from_str(data) {
            Ok(Record::Change(change)) => self.apply_or_buffer(offset, change),
            Ok(Record::CheckpointPart(part)) => self.apply_checkpoint_part(part),
            Err(_) => ApplyOutcome::Unreadable,
        };
        self.last_read = offset;
        if self.gap_end.is_none() {
            self.state.through = offset;
        }
        Ok(outcome)
    }

    fn apply_or_buffer(&mut self, offset: Offset, change: Change) -> ApplyOutcome {
        if self.gap_end.is_none() {
            return self.state.apply_change(offset, &change);
        }
        self.buffered.push((offset, change));
        ApplyOutcome::Unchanged
    }

    fn apply_checkpoint_part(&mut self, part: CheckpointPart) -> ApplyOutcome {
        let Some(text) = self.collect_part(part) else {
            return ApplyOutcome::Unchanged;
        };
        self.records_since_checkpoint = 0;
        if self.gap_end.is_none() {
            return ApplyOutcome::Unchanged;
        }
        match State::from_json(&text).map(|state| self.restore(state)) {
            Some(true) => ApplyOutcome::Restored,
            Some(false) => ApplyOutcome::Unchanged,
            None => ApplyOutcome::Unreadable,
        }
    }

    fn collect_part(&mut self, part: CheckpointPart) -> Option<String> {
        if part.parts == 0 || part.parts > MAX_CHECKPOINT_PARTS || part.part >= part.parts {
            return None;
        }
        let pieces =
            self.checkpoint_parts.entry(part.id).or_insert_with(|| vec![None; part.parts as usize]);
        *pieces.get_mut(part.part as usize)? = Some(part.text);
        if pieces.iter().all(Option::is_some) {
            let pieces = self.checkpoint_parts.remove(&part.id)?;
            return Some(pieces.into_iter().flatten().collect());
        }
        while self.checkpoint_parts.len() > MAX_INCOMPLETE_CHECKPOINTS {
            self.checkpoint_parts.pop_first();
        }
        None
    }

    /// Returns the state as records with at most `part_bytes` of text each. `None` if the state is
    /// incomplete.
    pub fn checkpoint(&self, id: u64, part_bytes: usize) -> Option<Vec<Record>> {
        if self.gap_end.is_some() {
            return None;
        }
        let text = self.state()?.to_json();
        let pieces = split_text(&text, part_bytes);
        let parts = pieces.len() as u32;
        let record = |(part, text): (usize, String)| {
            Record::CheckpointPart(CheckpointPart {
                id,
                through: self.state.through,
                part: part as u32,
                parts,
                text,
            })
        };
        Some(pieces.into_iter().enumerate().map(record).collect())
    }
}

fn split_text(text: &str, max_bytes: usize) -> Vec<String> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > max_bytes {
        let mut end = max_bytes;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, tail) = rest.split_at(end);
        pieces.push(piece.to_owned());
        rest = tail;
    }
    pieces.push(rest.to_owned());
    pieces
}
