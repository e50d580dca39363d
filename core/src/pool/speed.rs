//! Slowdown of the machines of engines, lasting and present.

use crate::time::{Millis, Time};

/// Slowdown of a machine of the usual speed.
const USUAL: f64 = 1.0;

/// Length of the windows whose lowest figures give the lasting slowdown. An engine reports a few figures
/// a second, and slow moments are shorter.
const WINDOW: Millis = Millis(5_000);

/// Age from which a figure does not count as present.
const MAX_AGE: Millis = Millis(500);

/// Slowdown relative to the lasting one from which a machine counts as slow at the moment.
const SLOW_RATIO: f64 = 1.25;

/// Weight of older figures in the statistics of slow moments with each new one.
const MOMENT_DECAY: f64 = 0.998;

/// Weight of the prior that there are no slow moments, in figures.
const PRIOR_MOMENTS: f64 = 20.0;

/// Weight of the newest slow moment in the moving average of their slowdown.
const RATIO_EWMA_WEIGHT: f64 = 0.05;

/// The slowdown of one engine's machine, from the figures in its responses: how long work takes there
/// relative to the usual time.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineSpeed {
    window_from: Time,
    /// Lowest figure of the current window and of the one before.
    lowest: Option<f64>,
    lowest_before: Option<f64>,
    latest: Option<(Time, f64)>,
}

impl EngineSpeed {
    /// Records a figure of time `at`; returns its ratio to the lasting slowdown, unless a newer figure
    /// is known.
    pub(super) fn record(&mut self, at: Time, slowdown: f64) -> Option<f64> {
        if self.latest.is_some_and(|(latest, _)| latest >= at) {
            return None;
        }
        self.latest = Some((at, slowdown));
        if at.since(self.window_from) >= WINDOW {
            self.lowest_before = self.lowest.take();
            self.window_from = at;
        }
        self.lowest = Some(self.lowest.map_or(slowdown, |lowest| lowest.min(slowdown)));
        Some(slowdown / self.lasting()?)
    }

    /// The lasting slowdown; `None` before the first figure.
    pub(super) fn lasting(&self) -> Option<f64> {
        match (self.lowest, self.lowest_before) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Whether the machine is slow at the moment; `None` if no recent figure tells.
    fn is_slow(&self, now: Time) -> Option<bool> {
        let (_, slowdown) = self.latest.filter(|(at, _)| now.since(*at) < MAX_AGE)?;
        Some(slowdown >= self.lasting()? * SLOW_RATIO)
    }
}

/// Statistics on all engines of a pool: how often their machines are slow, and by how much.
#[derive(Clone, Debug)]
pub(super) struct PoolSpeed {
    figures: f64,
    slow_figures: f64,
    /// Slowdown of a slow moment relative to the lasting one.
    slow_ratio: f64,
    /// Mean lasting slowdown of the engines that reported one.
    mean_lasting: f64,
    is_reported: bool,
}

impl Default for PoolSpeed {
    fn default() -> Self {
        Self {
            figures: PRIOR_MOMENTS,
            slow_figures: 0.0,
            slow_ratio: USUAL,
            mean_lasting: USUAL,
            is_reported: false,
        }
    }
}

impl PoolSpeed {
    /// Records a figure by its ratio to its engine's lasting slowdown.
    pub(super) fn record(&mut self, ratio: f64) {
        self.is_reported = true;
        self.figures = self.figures * MOMENT_DECAY + 1.0;
        self.slow_figures *= MOMENT_DECAY;
        if ratio < SLOW_RATIO {
            return;
        }
        self.slow_figures += 1.0;
        let weight = if self.slow_ratio <= USUAL { 1.0 } else { RATIO_EWMA_WEIGHT };
        self.slow_ratio += weight * (ratio - self.slow_ratio);
    }

    /// Whether engines report how long work takes on their machines.
    pub(super) fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Sets the mean of the lasting slowdowns that are known.
    pub(super) fn set_mean(&mut self, lasting: impl Iterator<Item = f64>) {
        let (count, sum) = lasting.fold((0.0, 0.0), |(n, sum), slowdown| (n + 1.0, sum + slowdown));
        if count > 0.0 {
            self.mean_lasting = sum / count;
        }
    }

    /// The lasting slowdown of an engine; the mean of the others while it has reported none.
    pub(super) fn lasting(&self, engine: &EngineSpeed) -> f64 {
        engine.lasting().unwrap_or(self.mean_lasting)
    }

    /// The lasting slowdown of an engine relative to the mean of all: the pool's assumed times are those of
    /// an average engine.
    pub(super) fn relative(&self, engine: &EngineSpeed) -> f64 {
        self.lasting(engine) / self.mean_lasting
    }

    /// The slowdown of an engine in a slow moment.
    pub(super) fn in_slow_moment(&self, engine: &EngineSpeed) -> f64 {
        self.lasting(engine) * self.slow_ratio
    }

    /// Probability that the machine of an engine is slow at some time within `span` from now.
    pub(super) fn slow_within(&self, now: Time, engine: &EngineSpeed, span: Millis) -> f64 {
        let share = self.slow_figures / self.figures;
        let further = span.0 as f64 / MAX_AGE.0 as f64;
        let moments = match engine.is_slow(now) {
            Some(true) => return 1.0,
            // Unknown states are checked before the prompt is sent.
            Some(false) | None => further,
        };
        1.0 - (1.0 - share).powf(moments)
    }
}
