//! Placement of prompts beside running streams.
//!
//! While an engine prefills a prompt, the streams that it decodes pause for longer between their events; in
//! a slow moment of its machine for longer than their callers allow. Prompts are placed where they make no
//! stream late, as long as they are on time there.

use super::engine::{Engine, ProjectedLoad};
use super::{PERCENT, Placement, PlacementRequest, Pool, Run, STEP_MS};
use crate::names::UpstreamName;
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};

/// Time of a decode step that also prefills a chunk of a prompt, on a machine of the usual speed; from the
/// users' data sheets.
const PREFILL_STEP_MS: f64 = 15.5;

/// Number of streams expected to become late above which a prompt waits for another engine.
const MAX_EXPECTED_LATE: f64 = 0.05;

/// A prompt waits only while it would start this long before it has to, to be on time.
const WAIT_RESERVE_MS: f64 = 700.0;

/// Weight of the delay of other streams against that of the prompt itself.
const DELAY_WEIGHT: f64 = 0.1;

/// Cost of a stream that becomes late, as a delay: more than any wait with which a prompt is on time.
const LATE_STREAM_MS: f64 = 3_000.0;

/// Prompts placed since the counts were last taken, by what they do to the streams beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MixingCounts {
    /// Prompts at engines without a stream at risk.
    pub apart: usize,
    /// Prompts at engines with streams at risk.
    pub beside: usize,
    /// Streams expected to become late by these.
    pub expected_late: f64,
    /// Runs handed off.
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
        let (at_risk, _) = self.streams_at_risk(now, &placement.engine);
        let late = self.expected_late(now, engine, at_risk, request);
        match late > 0.0 {
            true => self.mixing.beside += 1,
            false => self.mixing.apart += 1,
        }
        self.mixing.expected_late += late;
    }

    /// Whether prompts are placed by their effect on streams: the settings ask for it, and engines report the
    /// slowdown of their machines.
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

    /// Time between two events of a stream while its engine prefills a prompt, on a machine of the usual
    /// speed.
    fn pause_beside_prompt_ms(&self) -> f64 {
        PREFILL_STEP_MS * f64::from(self.config.tokens_per_event)
    }

    /// The pause that a run is allowed, if a prefill at `engine` in a slow moment would exceed it.
    pub(super) fn pause_at_risk(&self, run: &Run, engine: &UpstreamName) -> Option<Millis> {
        let max_pause = run.max_pause.filter(|_| self.weighs_streams())?;
        self.exceeds_pause(engine, max_pause).then_some(max_pause)
    }

    /// Whether a prefill at `engine` in a slow moment makes a stream with this limit late.
    pub(super) fn exceeds_pause(&self, engine: &UpstreamName, max_pause: Millis) -> bool {
        self.engines.get(engine).is_some_and(|engine| {
            let slowdown = self.speed.in_slow_moment(&engine.speed);
            self.pause_beside_prompt_ms() * slowdown > max_pause.0 as f64
        })
    }

    /// The slowdown of an engine's machine up to which a prompt makes no stream there late.
    pub(super) fn max_slowdown_percent(&self, now: Time, engine: &UpstreamName) -> Option<u32> {
        let (_, min_pause) = self.streams_at_risk(now, engine);
        min_pause.map(|pause| (PERCENT * pause.0 as f64 / self.pause_beside_prompt_ms()) as u32)
    }

    /// Removes the prompt of a run that is placed again from the prefill backlog of the engine that did not
    /// get it.
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

    /// Number of streams expected to become late if the prompt of `request` is prefilled at `engine`, where
    /// `at_risk` streams are at risk.
    pub(super) fn expected_late(
        &self,
        now: Time,
        engine: &Engine,
        at_risk: f64,
        request: &PlacementRequest,
    ) -> f64 {
        if at_risk == 0.0 {
            return 0.0;
        }
        let span = Millis((engine.prefill_wait(now) + self.prefill_ms(request, engine)) as u64);
        at_risk * self.speed.slow_within(now, &engine.speed, span)
    }

    /// Whether a request that would make streams late at the best engine is to wait for another one, as it
    /// has time for that.
    pub(super) fn should_wait(
        &self,
        now: Time,
        name: &UpstreamName,
        request: &PlacementRequest,
    ) -> bool {
        let Some(engine) = self.engines.get(name).filter(|_| self.weighs_streams()) else {
            return false;
        };
        let (at_risk, _) = self.streams_at_risk(now, name);
        let prefill_ms = engine.prefill_wait(now) + self.prefill_ms(request, engine);
        self.expected_late(now, engine, at_risk, request) > MAX_EXPECTED_LATE
            && request.is_on_time_after(now, WAIT_RESERVE_MS, prefill_ms)
    }

    /// Expected cost of the prompt of `request` to the streams at `engine`, as a delay.
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
        let late = self.expected_late(now, engine, load.at_risk, request);
        // About half of the time of a step with a chunk of a prompt is for the chunk.
        let delay_ms = self.prefill_ms(request, engine) / 2.0;
        late * LATE_STREAM_MS + load.streams * delay_ms * DELAY_WEIGHT
    }
}
