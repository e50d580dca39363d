//! Checks from outside that an answer is one whole generation of its own prompt.

use magnoliawinch::rendezvous;
use thiserror::Error;

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// A token came twice or out of order.
    #[error("token {found} arrived where token {expected} was due")]
    Order {
        /// The index due.
        expected: u64,
        /// The index that came.
        found: u64,
    },
    /// A token answers another prompt.
    #[error("token {index} answers another prompt")]
    OtherPrompt {
        /// The token.
        index: u64,
    },
    /// A token is from another run of the generation.
    #[error("token {index} is from another generation")]
    OtherRun {
        /// The token.
        index: u64,
    },
    /// The text is not what the stand-in engine writes.
    #[error("token text \"{0}\" cannot be read")]
    Malformed(String),
    /// The end came too early.
    #[error("the answer ended after {found} of {expected} tokens")]
    Short {
        /// Tokens due.
        expected: u64,
        /// Tokens that came.
        found: u64,
    },
}

/// Follows the tokens of one answer.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    prompt: u64,
    length: u64,
    next: u64,
    run: Option<String>,
}

impl AnswerCheck {
    /// Expects the answer to `prompt`, which has `length` tokens.
    pub fn new(prompt: &str, length: u32) -> Self {
        let prompt = rendezvous::hash(prompt);
        Self { prompt, length: u64::from(length), next: 0, run: None }
    }

    /// Tokens received.
    pub fn received(&self) -> u64 {
        self.next
    }

    /// Checks one token.
    pub fn token(&mut self, index: u64, text: &str) -> Result<(), AnswerError> {
        if index != self.next {
            return Err(AnswerError::Order { expected: self.next, found: index });
        }
        let malformed = || AnswerError::Malformed(text.to_owned());
        let mut parts = text.trim().split('.');
        let place: u64 = parts.next().and_then(|p| p.parse().ok()).ok_or_else(malformed)?;
        let prompt = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        let run = parts.next().ok_or_else(malformed)?;
        if place != index {
            return Err(AnswerError::Order { expected: index, found: place });
        }
        if prompt != Some(self.prompt) {
            return Err(AnswerError::OtherPrompt { index });
        }
        if self.run.get_or_insert_with(|| run.to_owned()) != run {
            return Err(AnswerError::OtherRun { index });
        }
        self.next += 1;
        Ok(())
    }

    /// Checks the end.
    pub fn end(&self, tokens: u64) -> Result<(), AnswerError> {
        match tokens == self.length && self.next == self.length {
            true => Ok(()),
            false => Err(AnswerError::Short { expected: self.length, found: self.next }),
        }
    }

    /// Checks a whole text.
    pub fn whole(&mut self, text: &str) -> Result<(), AnswerError> {
        for (index, token) in text.split_whitespace().enumerate() {
            self.token(index as u64, token)?;
        }
        self.end(self.next)
    }
}
