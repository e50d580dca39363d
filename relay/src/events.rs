//! Splits a stream of server-sent events and checks that each event arrives once and in order.

use bytes::{Buf, Bytes, BytesMut};
use magnoliawinch_http::{BodyBudget, BudgetExceeded, BudgetShare};
use memchr::memmem;
use thiserror::Error;

/// Largest event that is accepted, in bytes; typical events are a few kilobytes.
const MAX_EVENT_BYTES: usize = 1_048_576;

/// Why a stream cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// One or more events are missing.
    #[error("event {got} follows event {last}")]
    Gap {
        /// Id of the last event before the gap.
        last: u64,
        /// Id of the event after the gap.
        got: u64,
    },
    /// An event is larger than accepted.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// Events and other responses take all memory that they may.
    #[error("{0}")]
    NoMemory(#[from] BudgetExceeded),
}

/// Reads the events of one run, which may arrive from several engines in turn.
#[derive(Debug)]
pub struct EventReader {
    buf: BytesMut,
    /// Memory for a partial event.
    share: BudgetShare,
    last_id: Option<u64>,
    count: u64,
}

impl EventReader {
    /// Creates a reader that expects the first event of a run.
    pub fn new(budget: &BodyBudget) -> Self {
        Self { buf: BytesMut::new(), share: budget.share(), last_id: None, count: 0 }
    }

    /// Id of the last event; `None` if no event with an id has arrived.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events returned so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether part of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops a partial event, which the next engine of the run sends again.
    pub fn discard_partial_event(&mut self) {
        self.buf.clear();
    }

    /// Adds received bytes; returns all new complete events, concatenated, or nothing if there is
    /// none. Events that arrived before are dropped.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventError> {
        self.buf.extend_from_slice(chunk);
        let mut out = BytesMut::new();
        while let Some(len) = event_len(&self.buf) {
            let event = self.buf.split_to(len);
            if self.is_new(&event)? {
                self.count += 1;
                if out.is_empty() {
                    out = event;
                } else {
                    out.unsplit(event);
                }
            }
        }
        if self.buf.remaining() > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        self.share.cover(self.buf.remaining())?;
        Ok(out.freeze())
    }

    fn is_new(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(id) = event_id(event) else {
            return Ok(true);
        };
        match self.last_id {
            Some(last) if id <= last => return Ok(false),
            Some(last) if id > last + 1 => return Err(EventError::Gap { last, got: id }),
            _ => self.last_id = Some(id),
        }
        Ok(true)
    }
}

/// Length of the first event, including the blank line that ends it.
fn event_len(buf: &[u8]) -> Option<usize> {
    let with_lf = memmem::find(buf, b"\n\n").map(|at| at + 2);
    let with_crlf = memmem::find(buf, b"\r\n\r\n").map(|at| at + 4);
    match (with_lf, with_crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
