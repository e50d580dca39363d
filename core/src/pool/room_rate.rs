//! How fast waiting requests find room in a pool.

use super::ranking::Rank;
use super::{MIN_RETRY_AFTER, PlacementRequest};
use crate::time::{Millis, Time};

/// Time over which the rate of starting prompts is averaged: short enough to follow engines that leave.
const STARTING_WINDOW: Millis = Millis(3_000);

/// Time over which the rate of arriving prompts is averaged: bursts that are shorter than a caller's
/// patience do not make it hopeless to wait.
const ARRIVING_WINDOW: Millis = Millis(10_000);

/// Fraction of the room that is promised to callers who return while newcomers would take all of it.
const KEPT_FOR_RETURNS: f64 = 0.1;

/// A queued request is refused when its expected wait exceeds the rest of its patience by this
/// factor: it was admitted once, and waits vary.
pub(super) const HOPELESS_FACTOR: f64 = 1.5;

/// Moving average of a rate of tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenRate {
    window_ms: f64,
    per_ms: f64,
    at: Time,
}

impl TokenRate {
    fn new(Millis(window): Millis) -> Self {
        Self { window_ms: window as f64, per_ms: 0.0, at: Time(0) }
    }

    pub(super) fn of_starting() -> Self {
        Self::new(STARTING_WINDOW)
    }

    pub(super) fn of_arriving() -> Self {
        Self::new(ARRIVING_WINDOW)
    }

    pub(super) fn add(&mut self, now: Time, tokens: u32) {
        self.per_ms = self.per_ms(now) + f64::from(tokens) / self.window_ms;
        self.at = now;
    }

    pub(super) fn per_ms(&self, now: Time) -> f64 {
        self.per_ms * (-(now.since(self.at).0 as f64) / self.window_ms).exp()
    }
}

/// How fast prompts find room.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoomRate {
    /// Memory that is free, in tokens.
    pub(super) free: f64,
    pub(super) freed_per_ms: f64,
    pub(super) prefilled_per_ms: f64,
    /// Prompts of newcomers that go before requests that are late.
    pub(super) arriving_per_ms: f64,
    pub(super) starting_per_ms: f64,
}

impl RoomRate {
    /// Expected time until `tokens` of prompts have found room, if no others go before them.
    pub(super) fn wait(&self, tokens: f64) -> f64 {
        if self.freed_per_ms <= 0.0 || self.prefilled_per_ms <= 0.0 {
            return MIN_RETRY_AFTER.0 as f64;
        }
        let for_memory = (tokens - self.free) / self.freed_per_ms.max(self.starting_per_ms);
        let for_prefill = tokens / self.prefilled_per_ms.max(self.starting_per_ms);
        for_memory.max(for_prefill).max(0.0)
    }

    pub(super) fn served_per_ms(&self) -> f64 {
        self.freed_per_ms.min(self.prefilled_per_ms).max(self.starting_per_ms)
    }

    /// Room for callers who return, in tokens a millisecond.
    pub(super) fn for_returns(&self) -> f64 {
        let served = self.served_per_ms();
        (served - self.arriving_per_ms).max(served * KEPT_FOR_RETURNS)
    }

    /// Expected time until `tokens` of prompts have found room behind newcomers; infinite if these take all room.
    pub(super) fn wait_behind_newcomers(&self, tokens: f64) -> f64 {
        let served = self.served_per_ms();
        match self.arriving_per_ms < served {
            true => self.wait(tokens) / (1.0 - self.arriving_per_ms / served),
            false => f64::INFINITY,
        }
    }

    /// Expected wait of a request behind others with `ahead` tokens.
    pub(super) fn wait_of(
        &self,
        now: Time,
        request: &PlacementRequest,
        rank: Rank,
        ahead: f64,
    ) -> f64 {
        let tokens = ahead + f64::from(request.prompt_tokens);
        let wait = self.wait(tokens);
        let stays_on_time =
            request.is_on_time_after(now, wait / HOPELESS_FACTOR, request.prefill_ms());
        match rank.has_room || stays_on_time {
            true => wait,
            false => self.wait_behind_newcomers(tokens),
        }
    }
}
