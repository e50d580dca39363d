//! Estimates output lengths from completed generations.

use crate::names::{KindName, OrganisationName, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;

/// Buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Total number of buckets; the last one starts at 2^17 tokens.
const BUCKETS: usize = 69;

/// Number of newer generations after which the weight of an old one falls to 1/e.
const DECAY_GENERATIONS: f64 = 400.0;

/// Maximum weight of the kind's lengths as a prior for one organisation, in generations.
const KIND_PRIOR_WEIGHT: f64 = 20.0;

/// Weight of the prior in which each doubling of the length is equally likely, in generations.
const LOG_UNIFORM_PRIOR_WEIGHT: f64 = 2.0;

/// Buckets in the log-uniform prior: lengths up to 4,096 tokens.
const LOG_UNIFORM_PRIOR_BUCKETS: usize = 48;

/// Weight of one generation above which all are scaled down.
const MAX_WEIGHT: f64 = 1e6;

/// Survival probability below which a length counts as never observed.
const MIN_SURVIVAL: f64 = 1e-9;

fn bucket_position(length: f64) -> f64 {
    BUCKETS_PER_DOUBLING * (length + 1.0).log2()
}

fn lower_bound(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2() - 1.0
}

/// Histogram of lengths with exponentially decaying weights.
#[derive(Clone, Debug)]
struct Histogram {
    weights: [f64; BUCKETS],
    next_weight: f64,
}

impl Histogram {
    fn new() -> Self {
        Self { weights: [0.0; BUCKETS], next_weight: 1.0 }
    }

    fn add(&mut self, length: u32) {
        let bucket = (bucket_position(f64::from(length)) as usize).min(BUCKETS - 1);
        self.weights[bucket] += self.next_weight;
        self.next_weight *= 1.0 + 1.0 / DECAY_GENERATIONS;
        if self.next_weight > MAX_WEIGHT {
            let scale = 1.0 / self.next_weight;
            self.weights.iter_mut().for_each(|weight| *weight *= scale);
            self.next_weight = 1.0;
        }
    }

    /// Weights in generations, relative to a weight of 1 for the next one.
    fn relative_weights(&self) -> impl Iterator<Item = f64> {
        self.weights.iter().map(|weight| weight / self.next_weight)
    }
}

/// Distribution of the output length of one generation.
#[derive(Clone, Debug)]
pub struct LengthDistribution {
    /// Probability of exceeding each bucket's lower bound.
    survival: [f64; BUCKETS + 1],
    /// Integral of the survival function from each bucket's lower bound, in tokens.
    tail_area: [f64; BUCKETS + 1],
    mean: f64,
}

impl LengthDistribution {
    fn new(weights: &[f64; BUCKETS]) -> Self {
        let total: f64 = weights.iter().sum();
        let mut survival = [0.0; BUCKETS + 1];
        let mut remaining = total;
        let mut mean = 0.0;
        for bucket in 0..BUCKETS {
            survival[bucket] = remaining / total;
            remaining = (remaining - weights[bucket]).max(0.0);
            let middle = f64::midpoint(lower_bound(bucket), lower_bound(bucket + 1));
            mean += weights[bucket] / total * middle;
        }
        let mut tail_area = [0.0; BUCKETS + 1];
        for bucket in (0..BUCKETS).rev() {
            let width = lower_bound(bucket + 1) - lower_bound(bucket);
            let area = width * f64::midpoint(survival[bucket], survival[bucket + 1]);
            tail_area[bucket] = tail_area[bucket + 1] + area;
        }
        Self { survival, tail_area, mean }
    }

    /// Distribution of a known length, for comparison with estimates.
    pub fn exact(length: u32) -> Self {
        let mut histogram = Histogram::new();
        histogram.add(length);
        Self { mean: f64::from(length), ..Self::new(&histogram.weights) }
    }

    /// Expected length, in tokens.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Probability of more than `length` tokens.
    pub fn survival(&self, length: f64) -> f64 {
        let position = bucket_position(length);
        let bucket = position as usize;
        if bucket >= BUCKETS {
            return 0.0;
        }
        let fraction = position - bucket as f64;
        self.survival[bucket] * (1.0 - fraction) + self.survival[bucket + 1] * fraction
    }

    /// Probability of at least `more` further tokens after `written`.
    pub fn residual_survival(&self, written: f64, more: f64) -> f64 {
        self.residual(written).at_least(more)
    }

    /// Distribution of the length left after `written` tokens.
    pub(crate) fn residual(&self, written: f64) -> Residual<'_> {
        Residual { distribution: self, written, survival: self.survival(written) }
    }

    /// Total length not exceeded with probability `p`, given `written` tokens.
    pub fn quantile(&self, written: f64, p: f64) -> f64 {
        let target = self.survival(written) * (1.0 - p);
        let first = bucket_position(written) as usize;
        (first.min(BUCKETS)..=BUCKETS)
            .find(|bucket| self.survival[*bucket] <= target)
            .map_or(lower_bound(BUCKETS), |bucket| lower_bound(bucket).max(written))
    }

    /// Expected further tokens after `written`.
    pub fn expected_residual(&self, written: f64) -> f64 {
        let reached = self.survival(written);
        if reached < MIN_SURVIVAL {
            return written;
        }
        let next = (bucket_position(written) as usize + 1).min(BUCKETS);
        let width = (lower_bound(next) - written).max(0.0);
        let area = width * f64::midpoint(reached, self.survival[next]) + self.tail_area[next];
        area / reached
    }
}

/// Distribution of the remaining length of a generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Residual<'a> {
    distribution: &'a LengthDistribution,
    written: f64,
    /// Probability of reaching `written` tokens.
    survival: f64,
}

impl Residual<'_> {
    /// Probability of at least `more` further tokens.
    pub(crate) fn at_least(self, more: f64) -> f64 {
        if self.survival < MIN_SURVIVAL {
            // Longer than any observed length: the median remaining length is about `written`.
            return (self.written + 1.0) / (self.written + more + 1.0);
        }
        self.distribution.survival(self.written + more) / self.survival
    }
}

#[derive(Clone, Debug)]
struct KindLengths {
    all: Histogram,
    by_organisation: HashMap<OrganisationName, Histogram>,
    distributions: HashMap<OrganisationName, (u64, Arc<LengthDistribution>)>,
    count: u64,
}

/// New generations of a kind after which a cached distribution is recomputed.
const REFRESH_GENERATIONS: u64 = 8;

/// Learns length distributions by service, kind and organisation.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    kinds: HashMap<(ServiceName, KindName), KindLengths>,
}

impl LengthEstimator {
    /// Creates an estimator without observations.
    pub fn new() -> Self {
        Self::default()
    }

    fn lengths_of(&mut self, service: &ServiceName, kind: &KindName) -> &mut KindLengths {
        self.kinds.entry((service.clone(), kind.clone())).or_insert_with(|| KindLengths {
            all: Histogram::new(),
            by_organisation: HashMap::new(),
            distributions: HashMap::new(),
            count: 0,
        })
    }

    /// Adds a generation that completed by itself after `length` tokens.
    pub fn learn(
        &mut self,
        service: &ServiceName,
        kind: &KindName,
        organisation: &OrganisationName,
        length: u32,
    ) {
        let lengths = self.lengths_of(service, kind);
        lengths.all.add(length);
        lengths.count += 1;
        lengths
            .by_organisation
            .entry(organisation.clone())
            .or_insert_with(Histogram::new)
            .add(length);
    }

    /// Distribution for a new generation; refreshed after every few observations of the kind.
    pub fn distribution(
        &mut self,
        service: &ServiceName,
        kind: &KindName,
        organisation: &OrganisationName,
    ) -> Arc<LengthDistribution> {
        let lengths = self.lengths_of(service, kind);
        if let Some((count, distribution)) = lengths.distributions.get(organisation)
            && lengths.count < count + REFRESH_GENERATIONS
        {
            return Arc::clone(distribution);
        }
        let distribution =
            Arc::new(LengthDistribution::new(&lengths.combined_weights(organisation)));
        let cached = (lengths.count, Arc::clone(&distribution));
        lengths.distributions.insert(organisation.clone(), cached);
        distribution
    }
}

impl KindLengths {
    /// Weights of the organisation's own lengths, its kind's and a log-uniform prior.
    fn combined_weights(&self, organisation: &OrganisationName) -> [f64; BUCKETS] {
        let mut weights = [0.0; BUCKETS];
        for weight in weights.iter_mut().take(LOG_UNIFORM_PRIOR_BUCKETS) {
            *weight = LOG_UNIFORM_PRIOR_WEIGHT / LOG_UNIFORM_PRIOR_BUCKETS as f64;
        }
        let total: f64 = self.all.relative_weights().sum();
        let prior = total.min(KIND_PRIOR_WEIGHT) / total.max(1.0);
        for (weight, other) in weights.iter_mut().zip(self.all.relative_weights()) {
            *weight += other * prior;
        }
        if let Some(own) = self.by_organisation.get(organisation) {
            for (weight, other) in weights.iter_mut().zip(own.relative_weights()) {
                *weight += other;
            }
        }
        weights
    }
}
