//! Prompts beside running streams.
//!
//! An engine that reads a prompt makes the streams that run there pause for longer between their events,
//! in a slow moment of its machine longer than their callers allow. Prompts go where they make no stream
//! late, as far as they are still on time there.

use super::engine::{Engine, ProjectedLoad};
use super::{PERCENT, Placement, PlacementRequest, Pool, Run, STEP_MS};
use crate::names::UpstreamName;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};

/// Time of a step that also reads a chunk of a prompt, on a machine of the usual speed; from the users'
/// data sheets.
const READING_STEP_MS: f64 = 15.5;

/// Streams expected to be late from which a prompt waits for another engine.
const MAX_EXPECTED_LATE: f64 = 0.05;

/// Time left until the objective up to which a prompt waits, besides that for reading it.
const WAIT_RESERVE_MS: f64 = 700.0;

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
    /// Runs ordered to continue at another engine so that prompts there make them late no more.
    pub handed_off: usize,
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
        let Some(engine) = self.engines.get(&placement.engine).filter(|_| self.weighs_streams())
        else {
            return;
        };
        let (sensitive, _) = self.sensitive_streams(now, &placement.engine);
        let late = self.expected_late(now, engine, sensitive, request);
        match late > 0.0 {
            true => self.mixing.beside += 1,
            false => self.mixing.apart += 1,
        }
        self.mixing.expected_late += late;
    }

    /// Whether prompts are placed by what they do to streams: that was asked for, and engines report how
    /// long work takes on their machines.
    pub(super) fn weighs_streams(&self) -> bool {
        self.keeps_pauses && self.speed.is_reported()
    }

    /// Time to prefill a prompt at an engine.
    pub(super) fn prefill_ms(&self, request: &PlacementRequest, engine: &Engine) -> f64 {
        match self.weighs_streams() {
            true => request.prefill_ms() * self.speed.relative(&engine.speed),
            false => request.prefill_ms(),
        }
    }

    /// Time per token expected of an engine while no run shows it.
    pub(super) fn usual_token_ms(&self, engine: &Engine) -> f64 {
        match self.weighs_streams() {
            true => STEP_MS * self.speed.relative(&engine.speed),
            false => STEP_MS,
        }
    }

    /// Time between two events of a stream whose engine also reads a prompt, on a machine of the usual
    /// speed.
    fn pause_beside_prompt_ms(&self) -> f64 {
        READING_STEP_MS * f64::from(self.config.tokens_per_event)
    }

    /// The pause that a run is allowed, if a prompt read at `engine` in a slow moment would exceed it.
    pub(super) fn pause_at_risk(&self, run: &Run, engine: &UpstreamName) -> Option<Millis> {
        let max_pause = run.max_pause.filter(|_| self.weighs_streams())?;
        self.exceeds_pause(engine, max_pause).then_some(max_pause)
    }

    /// Whether a prompt read at `engine` in a slow moment makes a stream with this limit late.
    pub(super) fn exceeds_pause(&self, engine: &UpstreamName, max_pause: Millis) -> bool {
        self.engines.get(engine).is_some_and(|engine| {
            let slowdown = self.speed.in_slow_moment(&engine.speed);
            self.pause_beside_prompt_ms() * slowdown > max_pause.0 as f64
        })
    }

    /// The slowdown of an engine's machine up to which a prompt makes no stream there late.
    pub(super) fn max_slowdown_percent(&self, now: Time, engine: &UpstreamName) -> Option<u32> {
        let (_, min_pause) = self.sensitive_streams(now, engine);
        min_pause.map(|pause| (PERCENT * pause.0 as f64 / self.pause_beside_prompt_ms()) as u32)
    }

    /// Takes the prompt of a run that was placed before off the backlog of its engine, which did not get
    /// it.
    pub(super) fn forget_prefill(&mut self, request: &PlacementRequest) {
        let engine = self.runs.get(&request.run).map(|run| run.engine.clone());
        let Some(engine) = engine.filter(|_| self.weighs_streams()) else {
            return;
        };
        if let Some(ms) = self.engines.get(&engine).map(|engine| self.prefill_ms(request, engine))
            && let Some(engine) = self.engines.get_mut(&engine)
        {
            engine.prefill_until -= ms;
        }
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

    /// Whether a request that would make streams late at the best engine waits for another one: it is
    /// still on time if that takes a while.
    pub(super) fn should_wait(
        &self,
        now: Time,
        name: &UpstreamName,
        request: &PlacementRequest,
    ) -> bool {
        let Some(engine) = self.engines.get(name).filter(|_| self.weighs_streams()) else {
            return false;
        };
        let (sensitive, _) = self.sensitive_streams(now, name);
        let prefill_ms = engine.prefill_wait(now) + self.prefill_ms(request, engine);
        self.expected_late(now, engine, sensitive, request) > MAX_EXPECTED_LATE
            && request.is_on_time_after(now, WAIT_RESERVE_MS, prefill_ms)
    }

    /// Expected cost to the runs at `engine` of reading the prompt of `request` there.
    pub(super) fn mixing_cost_ms(
        &self,
        now: Time,
        engine: &Engine,
        load: &ProjectedLoad,
        request: &PlacementRequest,
    ) -> f64 {
        if !self.weighs_streams() {
            return 0.0;
        }
        let late = self.expected_late(now, engine, load.sensitive, request);
        // About half of the time of a step with a chunk of a prompt is for the chunk.
        let delay_ms = self.prefill_ms(request, engine) / 2.0;
        late * LATE_STREAM_MS + load.streams * delay_ms * DELAY_WEIGHT
    }
}
