//! Server-sent events of a generation.

use crate::error::ErrorBody;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// A token as the caller gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenData {
    /// Its place, from 0.
    pub index: u64,
    /// Its text.
    pub text: String,
}

/// The end as the caller gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndData {
    /// The number of tokens.
    pub tokens: u64,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token; its event id is `GENERATION.INDEX`.
    Token {
        /// The event id.
        id: String,
        /// The token.
        data: TokenData,
    },
    /// The answer is whole.
    End(EndData),
    /// The answer is not whole and will not become so.
    Error(ErrorBody),
}

/// Appends a token event to `buf`.
pub fn write_token(buf: &mut String, generation: &str, index: u64, text: &str) {
    let data = serde_json::to_string(text).unwrap_or_default();
    let _ = write!(
        buf,
        "event: token\nid: {generation}.{index}\ndata: {{\"index\":{index},\"text\":{data}}}\n\n"
    );
}

/// Appends the end event to `buf`.
pub fn write_end(buf: &mut String, tokens: u64) {
    let _ = write!(buf, "event: end\ndata: {{\"tokens\":{tokens}}}\n\n");
}

/// Appends an error event to `buf`.
pub fn write_error(buf: &mut String, error: &ErrorBody) {
    let data = serde_json::to_string(error).unwrap_or_default();
    let _ = write!(buf, "event: error\ndata: {data}\n\n");
}

/// A comment that keeps connections proved alive.
pub const KEEP_ALIVE: &str = ": alive\n\n";

/// Splits an event id into the generation and the index.
pub fn split_event_id(id: &str) -> Option<(&str, u64)> {
    let (generation, index) = id.rsplit_once('.')?;
    Some((generation, index.parse().ok()?))
}

/// Reads events from pieces of a body.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    /// A reader at the start of a body.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a piece of the body.
    pub fn push(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// The next whole event; comments are passed over.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
            let block: Vec<u8> = self.buf.drain(..end + 2).collect();
            if let Some(event) = parse(&String::from_utf8_lossy(&block)) {
                return Some(event);
            }
        }
    }
}

fn parse(block: &str) -> Option<Event> {
    let field =
        |name: &str| block.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    let data = field("data")?;
    match field("event")? {
        "token" => {
            let id = field("id")?.to_owned();
            Some(Event::Token { id, data: serde_json::from_str(data).ok()? })
        }
        "end" => Some(Event::End(serde_json::from_str(data).ok()?)),
        "error" => Some(Event::Error(serde_json::from_str(data).ok()?)),
        _ => None,
    }
}
