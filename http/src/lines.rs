//! Streams of JSON values, one per line.

use crate::client::Body;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use thiserror::Error;

const MAX_LINE_BYTES: usize = 1_048_576;

/// Error of a stream of lines.
#[derive(Debug, Error)]
pub enum LineError {
    /// The connection broke.
    #[error("connection lost while reading the stream: {0}")]
    Broken(#[from] hyper::Error),
    /// A line is not valid JSON of the expected type.
    #[error("malformed line \"{line}\": {reason}")]
    Malformed {
        /// Start of the line.
        line: String,
        /// Parse error.
        reason: String,
    },
    /// A line exceeds the maximum length.
    #[error("line longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// Reads values of type `T` from a response body.
#[derive(Debug)]
pub struct JsonLines<T> {
    body: Body,
    buf: Vec<u8>,
    /// Consumed bytes at the start of `buf`.
    consumed: usize,
    value: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> JsonLines<T> {
    /// Creates a reader of `body`.
    pub fn new(body: Body) -> Self {
        Self { body, buf: Vec::new(), consumed: 0, value: PhantomData }
    }

    /// The next value; `None` at the end of the body. Cancel safe.
    pub async fn next(&mut self) -> Option<Result<T, LineError>> {
        loop {
            if let Some(end) = self.buf[self.consumed..].iter().position(|b| *b == b'\n') {
                let line = &self.buf[self.consumed..self.consumed + end];
                let value = serde_json::from_slice(line).map_err(|e| malformed(line, &e));
                self.consumed += end + 1;
                return Some(value);
            }
            self.buf.drain(..self.consumed);
            self.consumed = 0;
            if self.buf.len() > MAX_LINE_BYTES {
                return Some(Err(LineError::TooLong));
            }
            match self.body.chunk().await? {
                Ok(chunk) => self.buf.extend_from_slice(&chunk),
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
