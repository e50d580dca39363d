//! The configuration as a fold over the platform's log.
//!
//! Every daemon applies the same records in log order with the same rule, so all of them accept
//! and refuse the same changes. The state only moves forward in log order.

use crate::ini::{Document, IniError, Keys};
use crate::names::ServiceName;
use crate::service_file::ServiceSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// A position in a stream of the log; the first record has offset 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// A change of one service as an operator published it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The service.
    pub service: ServiceName,
    /// The revision that the operator saw; zero for a new service.
    pub base: Offset,
    /// Tells a repeated append from a second change.
    pub nonce: u64,
    /// Who published it.
    pub author: String,
    /// Sections that are new or differ.
    #[serde(default)]
    pub put: BTreeMap<String, Keys>,
    /// Sections that are gone.
    #[serde(default)]
    pub remove: Vec<String>,
    /// Whether the service is withdrawn.
    #[serde(default)]
    pub withdraw: bool,
}

impl Change {
    /// The change that makes `new` out of `old`; `None` when they are the same.
    pub fn between(
        service: &ServiceName,
        base: Offset,
        old: &Document,
        new: &Document,
    ) -> Option<Self> {
        let differs =
            |(name, keys): &(&String, &Arc<Keys>)| old.sections().get(*name) != Some(*keys);
        let put: BTreeMap<_, _> = new
            .sections()
            .iter()
            .filter(differs)
            .map(|(name, keys)| (name.clone(), Keys::clone(keys)))
            .collect();
        let is_gone = |name: &&String| !new.sections().contains_key(*name);
        let remove: Vec<_> = old.sections().keys().filter(is_gone).cloned().collect();
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

    /// The same change with `nonce` and `author`.
    pub fn with_author(self, nonce: u64, author: &str) -> Self {
        Self { nonce, author: author.to_owned(), ..self }
    }
}

/// One part of a checkpoint: the whole state through an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointPart {
    /// Tells the parts of one checkpoint from those of another.
    pub id: u64,
    /// The last offset that the state contains.
    pub through: Offset,
    /// The place of this part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// A piece of the state as JSON.
    pub text: String,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A change.
    Change(Change),
    /// A part of a checkpoint.
    CheckpointPart(CheckpointPart),
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Another change came first.
    #[error(
        "service \"{service}\" is at revision {current}, published by \"{winner}\"; the change \
         was made for revision {base}"
    )]
    Superseded {
        /// The service.
        service: ServiceName,
        /// The revision that the change was made for.
        base: u64,
        /// The revision in force.
        current: u64,
        /// The author of the revision in force.
        winner: String,
    },
    /// The result would not be a valid service file.
    #[error("service \"{service}\": {error}")]
    Invalid {
        /// The service.
        service: ServiceName,
        /// What is wrong.
        error: IniError,
    },
    /// The service section names another service.
    #[error("service \"{service}\" cannot be published under the name \"{other}\"")]
    OtherName {
        /// The service of the change.
        service: ServiceName,
        /// The service that the section names.
        other: ServiceName,
    },
}

/// What became of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Folded {
    /// The change is in force.
    Accepted {
        /// Its nonce.
        nonce: u64,
        /// The service.
        service: ServiceName,
    },
    /// The change is not in force and never will be.
    Refused {
        /// Its nonce.
        nonce: u64,
        /// Why.
        refusal: Refusal,
    },
    /// The change in force was appended once more.
    Repeated,
    /// The record was already contained in the state.
    Old,
    /// A checkpoint gave this reader its state.
    Restored,
    /// A checkpoint part, or a change that waits for a checkpoint.
    Kept,
    /// The record cannot be read; every reader passes over it.
    Unreadable,
}

/// The reader missed records.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("offset {found} follows offset {through}; the records between are missing")]
pub struct Gap {
    /// The last offset in the state.
    pub through: u64,
    /// The offset that came.
    pub found: u64,
}

/// A service in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The offset of the change that made it so.
    pub revision: Offset,
    /// The nonce of that change.
    pub nonce: u64,
    /// Who published it.
    pub author: String,
    /// The file.
    pub document: Document,
    /// What the file says; `None` when the service is withdrawn.
    #[serde(skip)]
    pub spec: Option<Arc<ServiceSpec>>,
}

/// The whole configuration through an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The last offset that was applied.
    pub through: Offset,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<Entry>>,
}

impl State {
    /// Reads a state that `to_json` wrote and checks every service in it.
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

    /// The state as text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the state has only string keys")
    }

    /// The service `name`, when it is in force.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)?.spec.as_ref()
    }

    /// All services in force.
    pub fn specs(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values().filter_map(|entry| entry.spec.as_ref())
    }

    fn apply(&mut self, offset: Offset, change: &Change) -> Folded {
        let current = self.services.get(&change.service);
        let revision = current.map_or(Offset(0), |entry| entry.revision);
        if current.is_some_and(|entry| entry.nonce == change.nonce) {
            return Folded::Repeated;
        }
        if revision != change.base {
            let refusal = Refusal::Superseded {
                service: change.service.clone(),
                base: change.base.0,
                current: revision.0,
                winner: current.map(|entry| entry.author.clone()).unwrap_or_default(),
            };
            return Folded::Refused { nonce: change.nonce, refusal };
        }
        let document = patched(current, change);
        match checked(&document, change, current) {
            Ok(spec) => {
                let entry = Entry {
                    revision: offset,
                    nonce: change.nonce,
                    author: change.author.clone(),
                    document,
                    spec,
                };
                self.services.insert(change.service.clone(), Arc::new(entry));
                Folded::Accepted { nonce: change.nonce, service: change.service.clone() }
            }
            Err(refusal) => Folded::Refused { nonce: change.nonce, refusal },
        }
    }
}

fn patched(current: Option<&Arc<Entry>>, change: &Change) -> Document {
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

fn checked(
    document: &Document,
    change: &Change,
    current: Option<&Arc<Entry>>,
) -> Result<Option<Arc<ServiceSpec>>, Refusal> {
    if change.withdraw {
        return Ok(None);
    }
    let old = current.and_then(|entry| Some((&entry.document, entry.spec.as_deref()?)));
    let spec = ServiceSpec::from_changed(document, old)
        .map_err(|error| Refusal::Invalid { service: change.service.clone(), error })?;
    if spec.name != change.service {
        return Err(Refusal::OtherName { service: change.service.clone(), other: spec.name });
    }
    Ok(Some(Arc::new(spec)))
}

/// The usual text of one checkpoint part, in bytes.
pub const CHECKPOINT_PART_BYTES: usize = 65_536;

/// The most unfinished checkpoints that are kept in memory.
const MAX_UNFINISHED_CHECKPOINTS: usize = 4;

/// The most parts of one checkpoint: 256 MiB of state.
const MAX_CHECKPOINT_PARTS: u32 = 4_096;

/// Folds the configuration stream.
#[derive(Clone, Debug)]
pub struct Catalogue {
    state: State,
    /// Whether `state` was whole at some time.
    known: bool,
    /// The last of the records that this reader missed; `None` when it missed none.
    hole: Option<Offset>,
    /// Changes after the hole, in log order.
    waiting: Vec<(Offset, Change)>,
    /// The last offset that was read.
    read_through: Offset,
    parts: BTreeMap<u64, Vec<Option<String>>>,
    records_since_checkpoint: u64,
}

impl Default for Catalogue {
    fn default() -> Self {
        Self::new()
    }
}

impl Catalogue {
    /// A reader that has read nothing.
    pub fn new() -> Self {
        Self {
            state: State::default(),
            known: false,
            hole: Some(Offset(0)),
            waiting: Vec::new(),
            read_through: Offset(0),
            parts: BTreeMap::new(),
            records_since_checkpoint: 0,
        }
    }

    /// The newest configuration that was whole here, if there was one.
    pub fn state(&self) -> Option<&State> {
        self.known.then_some(&self.state)
    }

    /// Whether records are missing between the state and the offset to read next.
    pub fn has_hole(&self) -> bool {
        self.hole.is_some()
    }

    /// The offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.state.through.max(self.read_through).next()
    }

    /// Records folded since a complete checkpoint was seen.
    pub fn records_since_checkpoint(&self) -> u64 {
        self.records_since_checkpoint
    }

    /// Notes that the log or a relay holds nothing older than `first`.
    pub fn starts_at(&mut self, first: Offset) {
        if first > self.next_offset() {
            self.hole = Some(first.previous());
            self.waiting.clear();
            self.read_through = first.previous();
        } else if first <= Offset(1) && !self.known && self.read_through == Offset(0) {
            self.known = true;
            self.hole = None;
        }
    }

    /// Takes the whole state from a checkpoint or a peer; refuses one that is not newer than its
    /// own or that does not reach over the missing records.
    pub fn adopt(&mut self, state: State) -> bool {
        let is_newer = !self.known || state.through > self.state.through;
        let reaches_over = self.hole.is_none_or(|hole| state.through >= hole);
        if !is_newer || !reaches_over {
            return false;
        }
        self.state = state;
        self.known = true;
        self.hole = None;
        for (offset, change) in std::mem::take(&mut self.waiting) {
            if offset > self.state.through {
                self.state.apply(offset, &change);
                self.state.through = offset;
            }
        }
        self.state.through = self.state.through.max(self.read_through);
        self.read_through = self.state.through;
        true
    }

    /// Folds the record at `offset`.
    pub fn fold(&mut self, offset: Offset, data: &str) -> Result<Folded, Gap> {
        if offset < self.next_offset() {
            return Ok(Folded::Old);
        }
        if offset != self.next_offset() {
            return Err(Gap { through: self.next_offset().previous().0, found: offset.0 });
        }
        self.records_since_checkpoint += 1;
        let folded = match serde_json::from_str(data) {
            Ok(Record::Change(change)) => self.fold_change(offset, change),
            Ok(Record::CheckpointPart(part)) => self.fold_part(part),
            Err(_) => Folded::Unreadable,
        };
        self.read_through = offset;
        if self.hole.is_none() {
            self.state.through = offset;
        }
        Ok(folded)
    }

    fn fold_change(&mut self, offset: Offset, change: Change) -> Folded {
        if self.hole.is_none() {
            return self.state.apply(offset, &change);
        }
        self.waiting.push((offset, change));
        Folded::Kept
    }

    fn fold_part(&mut self, part: CheckpointPart) -> Folded {
        let Some(text) = self.gather(part) else {
            return Folded::Kept;
        };
        self.records_since_checkpoint = 0;
        if self.hole.is_none() {
            return Folded::Kept;
        }
        match State::from_json(&text).map(|state| self.adopt(state)) {
            Some(true) => Folded::Restored,
            Some(false) => Folded::Kept,
            None => Folded::Unreadable,
        }
    }

    fn gather(&mut self, part: CheckpointPart) -> Option<String> {
        if part.parts == 0 || part.parts > MAX_CHECKPOINT_PARTS || part.part >= part.parts {
            return None;
        }
        let pieces = self.parts.entry(part.id).or_insert_with(|| vec![None; part.parts as usize]);
        *pieces.get_mut(part.part as usize)? = Some(part.text);
        if pieces.iter().all(Option::is_some) {
            let pieces = self.parts.remove(&part.id)?;
            return Some(pieces.into_iter().flatten().collect());
        }
        while self.parts.len() > MAX_UNFINISHED_CHECKPOINTS {
            self.parts.pop_first();
        }
        None
    }

    /// The state as records of at most `part_bytes` of text each; `None` when this reader's state
    /// is not whole.
    pub fn checkpoint(&self, id: u64, part_bytes: usize) -> Option<Vec<Record>> {
        if self.hole.is_some() {
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
