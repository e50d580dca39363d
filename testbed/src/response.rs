//! Checks that a response, as its caller received it, is one complete generation of its prompt.

use magnoliawinch::rendezvous;
use thiserror::Error;

/// Why a response is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// A token is missing, repeated or out of order.
    #[error("token {found} was received instead of token {expected}")]
    OutOfOrder {
        /// The index expected.
        expected: u64,
        /// The index received.
        found: u64,
    },
    /// A token belongs to another prompt.
    #[error("token {index} belongs to another prompt")]
    OtherPrompt {
        /// Index of the token.
        index: u64,
    },
    /// A token belongs to another run of the generation.
    #[error("token {index} belongs to another run of the generation")]
    OtherRun {
        /// Index of the token.
        index: u64,
    },
    /// The text does not have the format that the stand-in engine writes.
    #[error("token text \"{0}\" is malformed")]
    Malformed(String),
    /// The number of tokens received, or the one reported at the end, is wrong.
    #[error("the response ended after {found} of {expected} tokens")]
    WrongLength {
        /// Number of tokens expected.
        expected: u64,
        /// Number of tokens received.
        found: u64,
    },
}

/// Validates the tokens of one response.
#[derive(Clone, Debug)]
pub struct ResponseCheck {
    prompt_hash: u64,
    length: u64,
    received: u64,
    run: Option<String>,
}

impl ResponseCheck {
    /// Creates a check of the response to `prompt`, which has `length` tokens.
    pub fn new(prompt: &str, length: u32) -> Self {
        let prompt_hash = rendezvous::hash(prompt);
        Self { prompt_hash, length: u64::from(length), received: 0, run: None }
    }

    /// Number of tokens received so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Validates the next token; `index` and `text` are as received.
    pub fn token(&mut self, index: u64, text: &str) -> Result<(), ResponseError> {
        if index != self.received {
            return Err(ResponseError::OutOfOrder { expected: self.received, found: index });
        }
        let malformed = || ResponseError::Malformed(text.to_owned());
        let mut parts = text.trim().split('.');
        let text_index: u64 = parts.next().and_then(|p| p.parse().ok()).ok_or_else(malformed)?;
        let prompt_hash = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        let run = parts.next().ok_or_else(malformed)?;
        if text_index != index {
            return Err(ResponseError::OutOfOrder { expected: index, found: text_index });
        }
        if prompt_hash != Some(self.prompt_hash) {
            return Err(ResponseError::OtherPrompt { index });
        }
        if self.run.get_or_insert_with(|| run.to_owned()) != run {
            return Err(ResponseError::OtherRun { index });
        }
        self.received += 1;
        Ok(())
    }

    /// Validates the end of the response, which reports `tokens` tokens.
    pub fn end(&self, tokens: u64) -> Result<(), ResponseError> {
        match tokens == self.length && self.received == self.length {
            true => Ok(()),
            false => {
                Err(ResponseError::WrongLength { expected: self.length, found: self.received })
            }
        }
    }

    /// Validates the text of a response that was delivered whole.
    pub fn whole(&mut self, text: &str) -> Result<(), ResponseError> {
        for (index, token) in text.split_whitespace().enumerate() {
            self.token(index as u64, token)?;
        }
        self.end(self.received)
    }
}
