//! Checks that a stream of tokens is one generation, whole and in order.

use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// A token.
    Token {
        /// The generation.
        generation: String,
        /// Its place, from 0.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The generation is complete.
    End {
        /// The generation.
        generation: String,
        /// The number of its tokens.
        tokens: u64,
    },
    /// The engine is alive but has written nothing.
    Heartbeat,
    /// The engine gave the generation up.
    Failed {
        /// The generation.
        generation: String,
        /// Why.
        reason: String,
    },
}

/// Why a stream cannot be used any more.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The engine sent another generation's event.
    #[error("generation \"{found}\" arrived on the stream of generation \"{expected}\"")]
    OtherGeneration {
        /// The generation asked for.
        expected: String,
        /// The generation that came.
        found: String,
    },
    /// Tokens are missing.
    #[error("token {found} arrived where token {expected} was due")]
    Gap {
        /// The index that was due.
        expected: u64,
        /// The index that came.
        found: u64,
    },
    /// The end does not fit the tokens.
    #[error("the generation ended after {reported} tokens, but token {next} was due")]
    EndMismatch {
        /// The length that the engine named.
        reported: u64,
        /// The index that was due.
        next: u64,
    },
    /// The engine gave up.
    #[error("the engine gave up: {reason}")]
    Failed {
        /// Why.
        reason: String,
    },
    /// Nothing arrived for too long.
    #[error("nothing arrived for {silence}")]
    Silent {
        /// The bound.
        silence: Millis,
    },
}

impl StreamError {
    /// Whether the same generation may be resumed on a new connection.
    pub fn may_resume(&self) -> bool {
        !matches!(self, Self::Failed { .. } | Self::EndMismatch { .. })
    }
}

/// What to do with an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Hand the token to the caller.
    Deliver {
        /// Its place.
        index: u64,
        /// Its text.
        text: String,
    },
    /// Nothing to hand on.
    Ignore,
    /// The answer is whole.
    Complete,
}

/// Follows one generation from the index that the caller has to get next.
#[derive(Clone, Debug)]
pub struct StreamValidator {
    generation: String,
    next: u64,
    last_event_at: Time,
    silence: Millis,
    complete: bool,
}

impl StreamValidator {
    /// Follows `generation` from `next`, allowing `silence` without an event.
    pub fn new(generation: &str, next: u64, now: Time, silence: Millis) -> Self {
        Self {
            generation: generation.to_owned(),
            next,
            last_event_at: now,
            silence,
            complete: false,
        }
    }

    /// The index due next, from which to resume.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Whether the whole generation was handed on.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// When the connection has to be given up unless something arrives.
    pub fn silence_deadline(&self) -> Time {
        self.last_event_at + self.silence
    }

    /// Notes that a new connection was opened.
    pub fn reconnected(&mut self, now: Time) {
        self.last_event_at = now;
    }

    /// Checks one event.
    pub fn on_event(&mut self, now: Time, event: EngineEvent) -> Result<StreamAction, StreamError> {
        self.last_event_at = now;
        match event {
            EngineEvent::Heartbeat => Ok(StreamAction::Ignore),
            EngineEvent::Token { generation, index, text } => {
                self.check_generation(&generation)?;
                self.on_token(index, text)
            }
            EngineEvent::End { generation, tokens } => {
                self.check_generation(&generation)?;
                self.on_end(tokens)
            }
            EngineEvent::Failed { generation, reason } => {
                self.check_generation(&generation)?;
                Err(StreamError::Failed { reason })
            }
        }
    }

    /// Checks the time.
    pub fn tick(&self, now: Time) -> Result<(), StreamError> {
        match now >= self.silence_deadline() {
            true => Err(StreamError::Silent { silence: self.silence }),
            false => Ok(()),
        }
    }

    fn check_generation(&self, found: &str) -> Result<(), StreamError> {
        if found == self.generation {
            return Ok(());
        }
        let expected = self.generation.clone();
        Err(StreamError::OtherGeneration { expected, found: found.to_owned() })
    }

    fn on_token(&mut self, index: u64, text: String) -> Result<StreamAction, StreamError> {
        if index < self.next {
            return Ok(StreamAction::Ignore);
        }
        if index > self.next {
            return Err(StreamError::Gap { expected: self.next, found: index });
        }
        self.next += 1;
        Ok(StreamAction::Deliver { index, text })
    }

    fn on_end(&mut self, reported: u64) -> Result<StreamAction, StreamError> {
        if reported > self.next {
            return Err(StreamError::Gap { expected: self.next, found: reported });
        }
        if reported < self.next {
            return Err(StreamError::EndMismatch { reported, next: self.next });
        }
        self.complete = true;
        Ok(StreamAction::Complete)
    }
}
