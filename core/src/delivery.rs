//! Checks that a stream carries one generation's tokens, complete and in order.

use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Event on an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// A token.
    Token {
        /// Generation ID.
        generation: String,
        /// Position of the token, starting at 0.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The generation is complete.
    End {
        /// Generation ID.
        generation: String,
        /// Number of tokens of the generation.
        tokens: u64,
    },
    /// The engine is alive but has no new token.
    Heartbeat,
    /// The engine aborted the generation.
    Failed {
        /// Generation ID.
        generation: String,
        /// Cause given by the engine.
        reason: String,
    },
}

/// Why a stream's connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The event belongs to another generation.
    #[error("received an event of generation \"{found}\" on the stream of \"{expected}\"")]
    OtherGeneration {
        /// Generation requested.
        expected: String,
        /// Generation received.
        found: String,
    },
    /// Tokens are missing.
    #[error("expected token {expected} but received token {found}")]
    Gap {
        /// The index that was due.
        expected: u64,
        /// The index received, or the reported length if the end arrived before some tokens.
        found: u64,
    },
    /// The generation ended with fewer tokens than received.
    #[error("the generation ended after {reported} tokens, but {next} tokens had arrived")]
    EndMismatch {
        /// Length that the engine reported.
        reported: u64,
        /// The index that was due.
        next: u64,
    },
    /// The engine aborted the generation.
    #[error("the engine aborted the generation: {reason}")]
    Failed {
        /// Cause given by the engine.
        reason: String,
    },
    /// No event arrived in time.
    #[error("no event arrived for {silence}")]
    Silent {
        /// Longest silence allowed.
        silence: Millis,
    },
}

impl StreamError {
    /// Whether the generation may be resumed on a new connection.
    pub fn may_resume(&self) -> bool {
        !matches!(self, Self::Failed { .. } | Self::EndMismatch { .. })
    }
}

/// What to do with an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Deliver the token to the caller.
    Deliver {
        /// Position of the token.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// Nothing to deliver: a heartbeat or a duplicate token.
    Ignore,
    /// The generation is complete.
    Complete,
}

/// Validates a generation's stream from the token that the caller needs next.
#[derive(Clone, Debug)]
pub struct StreamValidator {
    generation: String,
    next: u64,
    last_activity_at: Time,
    silence: Millis,
    complete: bool,
}

impl StreamValidator {
    /// Expects `generation` from token `next`, with at most `silence` between events.
    pub fn new(generation: &str, next: u64, now: Time, silence: Millis) -> Self {
        Self {
            generation: generation.to_owned(),
            next,
            last_activity_at: now,
            silence,
            complete: false,
        }
    }

    /// Index of the next token due, from which to resume.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Whether the end was reached with all tokens delivered.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// When to close the connection unless an event arrives.
    pub fn silence_deadline(&self) -> Time {
        self.last_activity_at + self.silence
    }

    /// Restarts the silence timeout on a new connection.
    pub fn reconnected(&mut self, now: Time) {
        self.last_activity_at = now;
    }

    /// Validates an event and returns what to do with it.
    pub fn on_event(&mut self, now: Time, event: EngineEvent) -> Result<StreamAction, StreamError> {
        self.last_activity_at = now;
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

    /// Fails with [`StreamError::Silent`] after the silence timeout.
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
