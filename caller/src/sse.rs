//! Encoding of a generation as server-sent events.

use crate::error::ErrorBody;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Data of a token event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenData {
    /// Position of the token, from 0.
    pub index: u64,
    /// Text of the token.
    pub text: String,
}

/// Data of the end event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndData {
    /// Number of tokens of the generation.
    pub tokens: u64,
}

/// An event of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token; its event ID is `GENERATION.INDEX`.
    Token {
        /// The event ID.
        id: String,
        /// The token.
        data: TokenData,
    },
    /// The generation is complete.
    End(EndData),
    /// The answer is incomplete and stays so.
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

/// Comment line, ignored by clients, that keeps an idle connection open.
pub const KEEP_ALIVE: &str = ": alive\n\n";

/// Splits an event ID into generation and token index; `None` if malformed.
pub fn split_event_id(id: &str) -> Option<(&str, u64)> {
    let (generation, index) = id.rsplit_once('.')?;
    Some((generation, index.parse().ok()?))
}

/// Incremental event parser.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    buf: Vec<u8>,
}

impl EventParser {
    /// Creates a parser at the start of a body.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk of the body.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// The next complete event; `None` if more data is needed. Skips comments and malformed events.
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
