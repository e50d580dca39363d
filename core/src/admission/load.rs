//! Projections of an upstream's memory and step time.

use crate::estimate::Curve;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What an engine reports of its load; it describes the engine `lag_ms` before it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// The engine's run; a restarted engine has a higher one.
    pub incarnation: u64,
    /// Answers that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Mean time of the latest steps that only decoded, in milliseconds.
    pub step_ms: f64,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Whether the engine leaves.
    pub draining: bool,
    /// Age of the report.
    pub lag_ms: u64,
}

/// Step time as a line over the number of running answers, learned from reports.
#[derive(Clone, Debug)]
pub struct StepModel {
    weight: f64,
    count: f64,
    step: f64,
    count_count: f64,
    count_step: f64,
}

/// Assumed step time with no answer running, in milliseconds.
const PRIOR_BASE_MS: f64 = 12.0;

/// Assumed step time added by each answer, in milliseconds.
const PRIOR_SLOPE_MS: f64 = 0.3;

/// Part of the older reports' weight that remains with each new one.
const FADING: f64 = 0.98;

/// Weight of the assumption, in reports.
const PRIOR_WEIGHT: f64 = 1.0;

/// Numbers of answers at which the assumption counts as observed.
const PRIOR_POINTS: [f64; 2] = [1.0, 64.0];

/// The least learned slope, in milliseconds an answer.
const MIN_SLOPE_MS: f64 = 0.01;

impl Default for StepModel {
    fn default() -> Self {
        Self::new()
    }
}

impl StepModel {
    /// A model that knows only the assumption.
    pub fn new() -> Self {
        let mut model =
            Self { weight: 0.0, count: 0.0, step: 0.0, count_count: 0.0, count_step: 0.0 };
        for count in PRIOR_POINTS {
            model.add(PRIOR_WEIGHT, count, PRIOR_BASE_MS + PRIOR_SLOPE_MS * count);
        }
        model
    }

    fn add(&mut self, weight: f64, count: f64, step: f64) {
        self.weight += weight;
        self.count += weight * count;
        self.step += weight * step;
        self.count_count += weight * count * count;
        self.count_step += weight * count * step;
    }

    /// Learns from a report; an idle engine says nothing about steps.
    pub fn learn(&mut self, report: &LoadReport) {
        if report.running == 0 || !report.step_ms.is_finite() || report.step_ms <= 0.0 {
            return;
        }
        for sum in [
            &mut self.weight,
            &mut self.count,
            &mut self.step,
            &mut self.count_count,
            &mut self.count_step,
        ] {
            *sum *= FADING;
        }
        self.add(1.0, f64::from(report.running), report.step_ms);
    }

    fn slope(&self) -> f64 {
        let spread = self.weight * self.count_count - self.count * self.count;
        let joint = self.weight * self.count_step - self.count * self.step;
        // With hardly any spread the line goes through the origin's assumed base.
        if spread < 0.01 * self.weight * self.weight {
            let mean = self.count / self.weight;
            let above = (self.step / self.weight - PRIOR_BASE_MS).max(0.0);
            return (above / mean.max(1.0)).max(MIN_SLOPE_MS);
        }
        (joint / spread).max(MIN_SLOPE_MS)
    }

    fn base(&self) -> f64 {
        ((self.step - self.slope() * self.count) / self.weight).max(0.1)
    }

    /// The step time with `count` answers running, in milliseconds.
    pub fn step_ms(&self, count: f64) -> f64 {
        self.base() + self.slope() * count
    }

    /// The number of answers at which a step takes `step_ms`.
    pub fn concurrency_at(&self, step_ms: f64) -> f64 {
        ((step_ms - self.base()) / self.slope()).max(1.0)
    }
}

/// The memory of one answer, now and later.
#[derive(Clone, Debug)]
pub(crate) struct Footprint {
    pub(crate) prompt: f64,
    /// Tokens written by `told_at`.
    pub(crate) written: f64,
    pub(crate) told_at: Time,
    pub(crate) curve: Arc<Curve>,
}

impl Footprint {
    /// Tokens written by now, when the answer goes on at `step_ms` a token.
    fn written_at(&self, now: Time, step_ms: f64) -> f64 {
        self.written + now.since(self.told_at).0 as f64 / step_ms
    }

    pub(crate) fn tokens(&self, now: Time, step_ms: f64) -> f64 {
        self.prompt + self.written_at(now, step_ms)
    }

    pub(crate) fn expected_residual(&self, now: Time, step_ms: f64) -> f64 {
        self.curve.expected_residual(self.written_at(now, step_ms))
    }
}

/// Steps ahead at which memory is projected.
const HORIZONS: [f64; 12] =
    [0.0, 16.0, 32.0, 64.0, 128.0, 256.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0, 16384.0];

/// Probability below which an answer counts as ended when others' memory is projected.
const PROBABLY_RUNNING: f64 = 0.05;

/// The projected memory of an upstream at each horizon.
#[derive(Clone, Debug)]
pub(crate) struct Projection {
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
}

impl Projection {
    pub(crate) fn new(foreign_tokens: f64) -> Self {
        Self { mean: [foreign_tokens; HORIZONS.len()], variance: [0.0; HORIZONS.len()] }
    }

    pub(crate) fn add(&mut self, now: Time, step_ms: f64, footprint: &Footprint) {
        let written = footprint.written_at(now, step_ms);
        let rest = footprint.curve.rest(written);
        for (place, horizon) in HORIZONS.iter().enumerate() {
            let p = rest.at_least(*horizon);
            let size = footprint.prompt + written + horizon;
            self.mean[place] += size * p;
            self.variance[place] += size * size * p * (1.0 - p);
        }
    }

    /// Adds what `other` projects.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (mean, more) in self.mean.iter_mut().zip(&other.mean) {
            *mean += more;
        }
        for (variance, more) in self.variance.iter_mut().zip(&other.variance) {
            *variance += more;
        }
    }

    /// The largest memory over the first `horizons`, `headroom` standard deviations above the mean.
    pub(crate) fn peak_within(&self, headroom: f64, horizons: usize) -> f64 {
        let at = |(mean, variance): (&f64, &f64)| mean + headroom * variance.sqrt();
        self.mean.iter().zip(&self.variance).map(at).take(horizons).fold(0.0, f64::max)
    }

    /// The same over all horizons.
    pub(crate) fn peak(&self, headroom: f64) -> f64 {
        self.peak_within(headroom, HORIZONS.len())
    }
}

/// Horizons over which an answer with this distribution probably runs.
pub(crate) fn horizons_of(curve: &Curve) -> usize {
    let rest = curve.rest(0.0);
    let is_running = |horizon: &f64| rest.at_least(*horizon) >= PROBABLY_RUNNING;
    HORIZONS.iter().take_while(|horizon| is_running(horizon)).count().max(1)
}
