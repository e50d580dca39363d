//! Prompts beside running streams.
//!
//! An engine that reads a prompt makes the streams that run there pause for longer between their events,
//! in a slow moment of its machine longer than their callers allow. Prompts go where they make no stream
//! late, as far as they are still on time there.

use super::engine::{Engine, ProjectedLoad};
use super::{Placement, PlacementRequest, Pool, Run, STEP_MS};
use crate::names::UpstreamName;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};

/// Time of a step that also reads a chunk of a prompt, on a machine of the usual speed.
const READING_STEP_MS: f64 = 15.5;

/// Weight of the time by which a prompt delays the end of other streams, as of a wait.
const DELAY_WEIGHT: f64 = 0.1;

/// Expected delay that a stream made late is worth: any wait after which the prompt is still on time.
const LATE_STREAM_MS: f64 = 3_000.0;

/// Prompts placed since the counts were last taken, by what they do to the streams beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MixingCounts {
    /// Prompts at engines where they make no stream late.
    pub apart: usize,
    /// Prompts at engines where they may.
    pub beside: usize,
    /// Streams that these are expected to make late.
    pub expected_late: f64,
}

impl Pool {
    /// The counts since the last call.
    pub fn take_mixing_counts(&mut self) -> MixingCounts {
        std::mem::take(&mut self.mixing)
    }

    pub(super) fn count_mixing(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        placement: &Placement,
    ) {
        let Some(engine) = self.engines.get(&placement.engine).filter(|_| self.keeps_pauses) else {
            return;
        };
        let sensitive = self.sensitive_streams(now, &placement.engine);
        let late = self.expected_late(now, engine, sensitive, request);
        match late > 0.0 {
            true => self.mixing.beside += 1,
            false => self.mixing.apart += 1,
        }
        self.mixing.expected_late += late;
    }

    /// Time to prefill a prompt at an engine.
    pub(super) fn prefill_ms(&self, request: &PlacementRequest, engine: &Engine) -> f64 {
        match self.keeps_pauses {
            true => request.prefill_ms() * self.speed.lasting(&engine.speed),
            false => request.prefill_ms(),
        }
    }

    /// Time per token expected of an engine while no run shows it.
    pub(super) fn usual_token_ms(&self, engine: &Engine) -> f64 {
        match self.keeps_pauses {
            true => STEP_MS * self.speed.lasting(&engine.speed),
            false => STEP_MS,
        }
    }

    /// Whether a prompt that `engine` reads in a slow moment makes a stream with this limit late.
    fn exceeds_pause(&self, engine: &Engine, max_pause: Millis) -> bool {
        let step = READING_STEP_MS * self.speed.in_slow_moment(&engine.speed);
        step * f64::from(self.config.tokens_per_event) > max_pause.0 as f64
    }

    /// Whether a prompt read at `engine` in a slow moment makes the run late.
    pub(super) fn is_sensitive_at(&self, run: &Run, engine: &UpstreamName) -> bool {
        let Some(max_pause) = run.max_pause.filter(|_| self.keeps_pauses) else {
            return false;
        };
        let engine = self.engines.get(engine);
        engine.is_some_and(|engine| self.exceeds_pause(engine, max_pause))
    }

    /// Streams that reading the prompt of `request` at `engine`, which runs `sensitive` ones, is expected
    /// to make late.
    pub(super) fn expected_late(
        &self,
        now: Time,
        engine: &Engine,
        sensitive: f64,
        request: &PlacementRequest,
    ) -> f64 {
        if sensitive == 0.0 {
            return 0.0;
        }
        let span = Millis((engine.prefill_wait(now) + self.prefill_ms(request, engine)) as u64);
        sensitive * self.speed.slow_within(now, &engine.speed, span)
    }

    /// Expected cost to the runs at `engine` of reading the prompt of `request` there.
    pub(super) fn mixing_cost_ms(
        &self,
        now: Time,
        engine: &Engine,
        load: &ProjectedLoad,
        request: &PlacementRequest,
    ) -> f64 {
        if !self.keeps_pauses {
            return 0.0;
        }
        let late = self.expected_late(now, engine, load.sensitive, request);
        // About half of the time of a step with a chunk of a prompt is for the chunk.
        let delay_ms = self.prefill_ms(request, engine) / 2.0;
        late * LATE_STREAM_MS + load.streams * delay_ms * DELAY_WEIGHT
    }
}
