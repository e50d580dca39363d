//! Hand-offs of runs after their prefill.
//!
//! A run whose engine may make it late while it prefills other prompts gets its backup at an engine that
//! does not: a faster one, or one that only decodes. Once the prompt is prefilled and copied, the run
//! continues there, and the first engine is free for prompts again. Each hand-off is another request to
//! the service, so their rate is limited.

use super::engine::ProjectedRun;
use super::relocation::PendingMove;
use super::{MIN_TIME_LEFT, MoveMethod, Pool, Run, RunMove, STEP_MS};
use crate::names::{RunId, UpstreamName};
use crate::time::{Millis, Time};

/// Fraction of an engine's memory that may be in use with a run handed to it.
const MAX_FILL: f64 = 0.85;

/// Time after the copy of the prompt for copying what the run has written since.
const COPY_GRACE: Millis = Millis(200);

/// Cost of an engine that only decodes, as a delay, against one at which streams are not at risk.
const DECODE_ONLY_MS: f64 = 300.0;

/// Hand-offs that may be ordered at once after a time without any.
const MAX_BURST: f64 = 20.0;

/// Limit on the rate of hand-offs.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandoffBudget {
    /// Hand-offs allowed for each placed run.
    per_placement: f64,
    /// Hand-offs allowed for each millisecond.
    per_ms: f64,
    left: f64,
    updated_at: Time,
}

impl HandoffBudget {
    pub(super) fn new(per_placement: f64, per_ms: f64) -> Self {
        Self { per_placement, per_ms, left: 0.0, updated_at: Time(0) }
    }

    fn earn(&mut self, amount: f64) {
        self.left = (self.left + amount).min(MAX_BURST);
    }

    pub(super) fn note_placement(&mut self) {
        self.earn(self.per_placement);
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).0 as f64;
        self.updated_at = now;
        self.earn(elapsed * self.per_ms);
    }

    fn spend(&mut self) -> bool {
        let is_allowed = self.left >= 1.0;
        self.left -= if is_allowed { 1.0 } else { 0.0 };
        is_allowed
    }
}

impl Pool {
    /// The engine at which a run placed at `engine` should continue after its prefill.
    pub(super) fn choose_decode_engine(
        &self,
        now: Time,
        engine: &UpstreamName,
        added: &ProjectedRun,
        max_pause: Option<Millis>,
    ) -> Option<UpstreamName> {
        let max_pause = max_pause.filter(|_| self.weighs_streams() && self.config.can_back_up)?;
        let remaining_ms = added.remaining_tokens(now) * STEP_MS;
        if remaining_ms < MIN_TIME_LEFT.0 as f64 || !self.exceeds_pause(engine, max_pause) {
            return None;
        }
        let mut best: Option<(f64, &UpstreamName)> = None;
        for (name, other) in &self.engines {
            if name == engine || !other.takes_runs() {
                continue;
            }
            let load = self.load_with(now, name, added);
            if load.peak > self.engine_memory() * MAX_FILL
                || !self.is_safe_for_stream(now, name, max_pause)
            {
                continue;
            }
            let is_decode_only = self.exceeds_pause(name, max_pause);
            let Millis(copy) = self.config.copy_time(added.tokens() as u64);
            let score = self.contention_ms(load.peak, load.running)
                + if is_decode_only { DECODE_ONLY_MS } else { 0.0 }
                + if self.is_cross_domain(engine, name) { copy as f64 } else { 0.0 };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Whether a stream with this limit is safe at an engine: prefills do not exceed the limit there, or the
    /// engine has other such streams and no prompt to prefill.
    fn is_safe_for_stream(&self, now: Time, name: &UpstreamName, max_pause: Millis) -> bool {
        if !self.exceeds_pause(name, max_pause) {
            return true;
        }
        let is_prefilling = |engine: &super::Engine| engine.prefill_wait(now) > 0.0;
        let (at_risk, _) = self.streams_at_risk(now, name);
        at_risk > 0.0 && !self.engines.get(name).is_some_and(is_prefilling)
    }

    /// Orders hand-offs of runs whose prompts are prefilled and copied.
    pub fn plan_handoffs(&mut self, now: Time) -> Vec<RunMove> {
        if !self.weighs_streams() {
            return Vec::new();
        }
        self.handoffs.advance(now);
        let is_ready =
            |(id, run): (&RunId, &Run)| self.handoff_target(now, run).map(|to| (id.clone(), to));
        let ready: Vec<_> = self.runs.iter().filter_map(is_ready).collect();
        ready.into_iter().filter_map(|(id, to)| self.order_handoff(now, &id, to)).collect()
    }

    fn handoff_target(&self, now: Time, run: &Run) -> Option<UpstreamName> {
        let (to, max_pause, begun_at) = (run.backup.as_ref()?, run.max_pause?, run.begun_at?);
        let Millis(transfer) = self.transfer_time(&run.engine, to, run.footprint.prompt as u64);
        let is_copied = now.since(begun_at) > Millis(transfer + COPY_GRACE.0);
        let may_move = is_copied
            && run.pending_move.is_none()
            && !self.draining.contains_key(&run.engine)
            && !run.is_refused(now, to)
            && run.is_long(now)
            && self.is_usable(to)
            && self.exceeds_pause(&run.engine, max_pause)
            && self.is_safe_for_stream(now, to, max_pause);
        may_move.then(|| to.clone())
    }

    fn order_handoff(&mut self, now: Time, id: &RunId, to: UpstreamName) -> Option<RunMove> {
        if !self.handoffs.spend() {
            return None;
        }
        let run = self.runs.get_mut(id)?;
        let way = MoveMethod::Backup;
        run.pending_move = Some(PendingMove::new(now, to.clone(), way, now));
        let (holder, from) = (run.holder.clone(), run.engine.clone());
        self.mixing.handed_off += 1;
        self.invalidate_loads();
        Some(RunMove { run: id.clone(), holder, from, to, way })
    }
}
