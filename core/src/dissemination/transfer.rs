//! Transfer of a configuration's body, in chunks, from daemons that have it.
//!
//! News of a version are small and arrive with polls; its body may take longer than any of them may
//! take. A daemon fetches one chunk of one body at a time. What has arrived is kept when a source
//! fails, and the next source goes on from there.

use crate::time::{Millis, Time};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Size of a chunk, in bytes: 26 ms of a link of 10 Mbit/s, for which urgent messages wait.
pub const CHUNK_BYTES: usize = 32_768;

/// Time limit for one chunk. A link of 1 Mbit/s takes 260 ms for it, and may carry other messages.
pub const CHUNK_TIMEOUT: Millis = Millis(1_200);

/// Maximum size of a body as it is sent, in bytes.
pub const MAX_BODY_BYTES: usize = 8_388_608;

/// Sources kept for one body.
const MAX_SOURCES: usize = 4;

/// Consecutive failures after which a source is dropped, unless it announces the body again.
const MAX_SOURCE_FAILURES: u32 = 3;

/// Pause of a source after its first failure; grows linearly with further ones.
const FAILURE_PAUSE: Millis = Millis(300);

/// Bounds of the time that a busy source may ask to wait.
const BUSY_WAIT: std::ops::RangeInclusive<Millis> = Millis(20)..=Millis(1_000);

/// Time beyond `CHUNK_TIMEOUT` after which the result of a request counts as lost.
const RESULT_SLACK: Millis = Millis(200);

/// Time since the last chunk for which a transfer counts as advancing.
const MAX_CHUNK_GAP: Millis = Millis(1_500);

/// Identifies the body of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyId {
    /// Configuration version.
    pub version: u64,
    /// Hash of the body.
    pub digest: u64,
    /// Length of the body, in bytes.
    pub length: usize,
}

impl BodyId {
    /// The id of `body`.
    pub fn new(version: u64, body: &[u8]) -> Self {
        Self { version, digest: xxh3_64(body), length: body.len() }
    }

    /// Whether `body` is the one identified.
    pub fn matches(&self, body: &[u8]) -> bool {
        body.len() == self.length && xxh3_64(body) == self.digest
    }
}

/// A request for the chunk of a body at `offset`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    /// The body.
    pub id: BodyId,
    /// Whom to ask.
    pub source: SocketAddr,
    /// Where the chunk starts.
    pub offset: usize,
    number: u64,
}

/// Result of a request for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkResult<'a> {
    /// The chunk.
    Data(&'a [u8]),
    /// The source serves others and may be asked again after this time.
    Busy(Millis),
    /// The source no longer has the body.
    Unknown,
    /// There was no reply.
    Failed,
}

#[derive(Clone, Debug)]
struct Source {
    address: SocketAddr,
    not_before: Time,
    /// Consecutive failures.
    failures: u32,
    /// Whether a part of the body came from it.
    has_sent: bool,
}

#[derive(Clone, Debug)]
struct Body {
    id: BodyId,
    received: Vec<u8>,
    sources: Vec<Source>,
}

impl Body {
    fn new(now: Time, id: BodyId, source: SocketAddr) -> Self {
        let mut body = Self { id, received: Vec::new(), sources: Vec::new() };
        body.add_source(now, source, true);
        body
    }

    fn add_source(&mut self, now: Time, address: SocketAddr, is_followed: bool) {
        if self.sources.iter().any(|source| source.address == address) {
            return;
        }
        let source = Source { address, not_before: now, failures: 0, has_sent: false };
        if is_followed {
            self.sources.truncate(MAX_SOURCES - 1);
            self.sources.insert(0, source);
        } else if self.sources.len() < MAX_SOURCES {
            self.sources.push(source);
        }
    }
}

/// Fetches one body at a time.
///
/// A newer version waits until the body in progress is complete or nobody has it any more: giving
/// it up would let versions that follow each other quickly keep a slow link from ever getting one.
#[derive(Clone, Debug, Default)]
pub struct Transfer {
    body: Option<Body>,
    /// The newest version beyond the one in progress.
    next: Option<Body>,
    /// The request without a result, and when it was made.
    pending: Option<(ChunkRequest, Time)>,
    requests: u64,
    in_force: u64,
    progressed_at: Option<Time>,
    /// A complete body that could not be used.
    rejected: Option<BodyId>,
}

impl Transfer {
    /// No transfer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `source` has the body `id`. A source that `is_followed` is preferred to others.
    pub fn announce(&mut self, now: Time, id: BodyId, source: SocketAddr, is_followed: bool) {
        let has_valid_length = (1..=MAX_BODY_BYTES).contains(&id.length);
        if id.version <= self.in_force || !has_valid_length || self.rejected == Some(id) {
            return;
        }
        let has_sources = self.body.as_ref().is_some_and(|body| !body.sources.is_empty());
        match &mut self.body {
            Some(body) if body.id == id => body.add_source(now, source, is_followed),
            Some(body) if has_sources && id.version <= body.id.version => {}
            Some(_) if has_sources => match &mut self.next {
                Some(next) if next.id == id => next.add_source(now, source, is_followed),
                Some(next) if id.version <= next.id.version => {}
                next => *next = Some(Body::new(now, id, source)),
            },
            body => {
                *body = Some(Body::new(now, id, source));
                self.pending = None;
            }
        }
    }

    /// Records the version in force, however it arrived; stops fetching older ones.
    pub fn set_in_force(&mut self, version: u64) {
        self.in_force = self.in_force.max(version);
        let is_needed = |body: &Body| body.id.version > version;
        self.next = self.next.take().filter(is_needed);
        if !self.body.as_ref().is_some_and(is_needed) {
            self.start_next();
        }
    }

    fn start_next(&mut self) {
        (self.body, self.pending) = (self.next.take(), None);
    }

    /// Newest version for which a source is known that has not just failed, or that was rejected;
    /// zero if there is none.
    pub fn newest_version(&self) -> u64 {
        let is_sound = |source: &Source| source.failures == 0;
        let bodies = self.body.iter().chain(&self.next);
        let with_source = bodies.filter(|body| body.sources.iter().any(is_sound));
        let versions = with_source.map(|body| body.id.version);
        versions.chain(self.rejected.map(|id| id.version)).max().unwrap_or(0)
    }

    /// Whether a body is in progress and a chunk has arrived recently.
    pub fn is_advancing(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < MAX_CHUNK_GAP;
        self.body.is_some() && self.progressed_at.is_some_and(is_recent)
    }

    /// The body in progress, and how much of it has arrived.
    pub fn progress(&self) -> Option<(BodyId, usize)> {
        self.body.as_ref().map(|body| (body.id, body.received.len()))
    }

    /// The chunk to request now, if none is on its way.
    pub fn next_request(&mut self, now: Time) -> Option<ChunkRequest> {
        if let Some((req, at)) = self.pending {
            if now.since(at) < CHUNK_TIMEOUT + RESULT_SLACK {
                return None;
            }
            // The result was lost on the way to the control thread.
            self.record(now, &req, ChunkResult::Failed);
        }
        let body = self.body.as_ref()?;
        let source = body.sources.iter().find(|source| source.not_before <= now)?;
        self.requests += 1;
        let (id, offset) = (body.id, body.received.len());
        let req = ChunkRequest { id, source: source.address, offset, number: self.requests };
        self.pending = Some((req, now));
        Some(req)
    }

    /// Records the result of a request; returns the body if it is complete. Late results of former
    /// requests are ignored.
    pub fn record(
        &mut self,
        now: Time,
        req: &ChunkRequest,
        result: ChunkResult<'_>,
    ) -> Option<(BodyId, Vec<u8>)> {
        if self.pending.is_none_or(|(pending, _)| pending != *req) {
            return None;
        }
        self.pending = None;
        let body = self.body.as_mut()?;
        let index = body.sources.iter().position(|source| source.address == req.source);
        let rest = body.id.length - body.received.len();
        match result {
            ChunkResult::Data(data) if (1..=rest.min(CHUNK_BYTES)).contains(&data.len()) => {
                body.received.extend_from_slice(data);
                self.progressed_at = Some(now);
                if let Some(source) = index.map(|index| &mut body.sources[index]) {
                    (source.failures, source.has_sent) = (0, true);
                }
            }
            ChunkResult::Busy(wait) => {
                let wait = wait.clamp(*BUSY_WAIT.start(), *BUSY_WAIT.end());
                if let Some(source) = index.map(|index| &mut body.sources[index]) {
                    source.not_before = now + wait;
                }
            }
            ChunkResult::Unknown => {
                index.map(|index| body.sources.remove(index));
            }
            ChunkResult::Data(_) | ChunkResult::Failed => {
                if let Some(source) = index.map(|index| &mut body.sources[index]) {
                    source.failures += 1;
                    source.not_before = now + Millis(FAILURE_PAUSE.0 * u64::from(source.failures));
                }
                body.sources.retain(|source| source.failures < MAX_SOURCE_FAILURES);
            }
        }
        self.take_complete()
    }

    fn take_complete(&mut self) -> Option<(BodyId, Vec<u8>)> {
        let body = self.body.as_mut()?;
        if body.received.len() == body.id.length {
            if body.id.matches(&body.received) {
                let (id, received) = (body.id, std::mem::take(&mut body.received));
                self.start_next();
                return Some((id, received));
            }
            // Any of those that sent a part may have sent a wrong one.
            body.received.clear();
            body.sources.retain(|source| !source.has_sent);
        }
        if body.sources.is_empty() && self.next.is_some() {
            self.start_next();
        }
        None
    }

    /// Ignores further announcements of a complete body that cannot be used.
    pub fn reject(&mut self, id: BodyId) {
        self.rejected = Some(id);
    }
}
