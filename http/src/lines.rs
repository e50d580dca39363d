//! Streams of JSON values, one on each line.

use crate::client::Body;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use thiserror::Error;

/// The longest line that is accepted, in bytes.
const MAX_LINE_BYTES: usize = 1_048_576;

/// Why a stream of lines ended early.
#[derive(Debug, Error)]
pub enum LineError {
    /// The connection broke.
    #[error("the stream broke: {0}")]
    Broken(#[from] hyper::Error),
    /// A line is not the expected JSON.
    #[error("line \"{line}\" cannot be read: {reason}")]
    Malformed {
        /// The start of the line.
        line: String,
        /// What is wrong.
        reason: String,
    },
    /// A line is too long.
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// Reads values of type `T` from a body.
#[derive(Debug)]
pub struct JsonLines<T> {
    body: Body,
    buf: Vec<u8>,
    /// Bytes at the start of `buf` that were returned.
    used: usize,
    value: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> JsonLines<T> {
    /// Reads from `body`.
    pub fn new(body: Body) -> Self {
        Self { body, buf: Vec::new(), used: 0, value: PhantomData }
    }

    /// The next value; `None` at the end of the body. A dropped call loses nothing.
    pub async fn next(&mut self) -> Option<Result<T, LineError>> {
        loop {
            if let Some(end) = self.buf[self.used..].iter().position(|b| *b == b'\n') {
                let line = &self.buf[self.used..self.used + end];
                let value = serde_json::from_slice(line).map_err(|e| malformed(line, &e));
                self.used += end + 1;
                return Some(value);
            }
            self.buf.drain(..self.used);
            self.used = 0;
            if self.buf.len() > MAX_LINE_BYTES {
                return Some(Err(LineError::TooLong));
            }
            match self.body.piece().await? {
                Ok(piece) => self.buf.extend_from_slice(&piece),
                Err(e) => return Some(Err(e.into())),
            }
        }
    }
}

fn malformed(line: &[u8], e: &serde_json::Error) -> LineError {
    const SHOWN_BYTES: usize = 80;
    let shown = String::from_utf8_lossy(&line[..line.len().min(SHOWN_BYTES)]).into_owned();
    LineError::Malformed { line: shown, reason: e.to_string() }
}
