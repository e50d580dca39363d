//! How long answers become, learned from those that ended.

use crate::names::{KindName, OrganisationName, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;

/// Buckets for each doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Buckets in all; the last one begins at 2^17 tokens.
const BUCKETS: usize = 69;

/// Answers after which an old one weighs 1/e.
const MEMORY_ANSWERS: f64 = 400.0;

/// Answers of the kind that weigh as much as the organisation's own.
const PRIOR_ANSWERS: f64 = 20.0;

/// Weight of the assumption that every doubling of the length is equally likely.
const IGNORANCE_ANSWERS: f64 = 2.0;

/// Longest answer that the assumption covers, as a bucket: 4,096 tokens.
const IGNORANCE_BUCKETS: usize = 48;

/// Largest weight of one answer before the weights are scaled down.
const RESCALE_AT: f64 = 1e6;

/// Probability below which a length counts as never seen.
const MIN_SURVIVAL: f64 = 1e-9;

fn position(length: f64) -> f64 {
    BUCKETS_PER_DOUBLING * (length + 1.0).log2()
}

fn lower_bound(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2() - 1.0
}

/// A histogram of lengths in which old answers fade.
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
        let bucket = (position(f64::from(length)) as usize).min(BUCKETS - 1);
        self.weights[bucket] += self.next_weight;
        self.next_weight *= 1.0 + 1.0 / MEMORY_ANSWERS;
        if self.next_weight > RESCALE_AT {
            let scale = 1.0 / self.next_weight;
            self.weights.iter_mut().for_each(|weight| *weight *= scale);
            self.next_weight = 1.0;
        }
    }

    /// Weights in answers: the newest answer weighs 1.
    fn answers(&self) -> impl Iterator<Item = f64> {
        self.weights.iter().map(|weight| weight / self.next_weight)
    }
}

/// The distribution of the length of one answer.
#[derive(Clone, Debug)]
pub struct Curve {
    /// The part of answers that are longer than each bucket's lower bound.
    survival: [f64; BUCKETS + 1],
    /// Expected tokens beyond each bucket's lower bound, over all answers.
    beyond: [f64; BUCKETS + 1],
    mean: f64,
}

impl Curve {
    fn new(weights: &[f64; BUCKETS]) -> Self {
        let total: f64 = weights.iter().sum();
        let mut survival = [0.0; BUCKETS + 1];
        let mut left = total;
        let mut mean = 0.0;
        for bucket in 0..BUCKETS {
            survival[bucket] = left / total;
            left = (left - weights[bucket]).max(0.0);
            let middle = f64::midpoint(lower_bound(bucket), lower_bound(bucket + 1));
            mean += weights[bucket] / total * middle;
        }
        let mut beyond = [0.0; BUCKETS + 1];
        for bucket in (0..BUCKETS).rev() {
            let width = lower_bound(bucket + 1) - lower_bound(bucket);
            let part = width * f64::midpoint(survival[bucket], survival[bucket + 1]);
            beyond[bucket] = beyond[bucket + 1] + part;
        }
        Self { survival, beyond, mean }
    }

    /// A curve for an answer whose length is known, for comparisons.
    pub fn exact(length: u32) -> Self {
        let mut histogram = Histogram::new();
        histogram.add(length);
        Self { mean: f64::from(length), ..Self::new(&histogram.weights) }
    }

    /// The expected length, in tokens.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// The probability that the answer is longer than `length` tokens.
    pub fn survival(&self, length: f64) -> f64 {
        let position = position(length);
        let bucket = position as usize;
        if bucket >= BUCKETS {
            return 0.0;
        }
        let part = position - bucket as f64;
        self.survival[bucket] * (1.0 - part) + self.survival[bucket + 1] * part
    }

    /// The probability that an answer with `written` tokens gets at least `more` of them.
    pub fn residual(&self, written: f64, more: f64) -> f64 {
        self.rest(written).at_least(more)
    }

    /// What is known of the rest of an answer with `written` tokens.
    pub(crate) fn rest(&self, written: f64) -> Rest<'_> {
        Rest { curve: self, written, survival: self.survival(written) }
    }

    /// The length that the answer stays below with probability `p`, given `written` tokens.
    pub fn quantile(&self, written: f64, p: f64) -> f64 {
        let target = self.survival(written) * (1.0 - p);
        let first = position(written) as usize;
        (first.min(BUCKETS)..=BUCKETS)
            .find(|bucket| self.survival[*bucket] <= target)
            .map_or(lower_bound(BUCKETS), |bucket| lower_bound(bucket).max(written))
    }

    /// The expected number of tokens still to come after `written`.
    pub fn expected_residual(&self, written: f64) -> f64 {
        let now = self.survival(written);
        if now < MIN_SURVIVAL {
            return written;
        }
        let next = (position(written) as usize + 1).min(BUCKETS);
        let width = (lower_bound(next) - written).max(0.0);
        let sum = width * f64::midpoint(now, self.survival[next]) + self.beyond[next];
        sum / now
    }
}

/// What is known of the rest of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rest<'a> {
    curve: &'a Curve,
    written: f64,
    /// The probability of what is written.
    survival: f64,
}

impl Rest<'_> {
    /// The probability that it has `more` tokens or more.
    pub(crate) fn at_least(self, more: f64) -> f64 {
        if self.survival < MIN_SURVIVAL {
            // Longer than any answer before it: the rest may be as long as what is written.
            return (self.written + 1.0) / (self.written + more + 1.0);
        }
        self.curve.survival(self.written + more) / self.survival
    }
}

#[derive(Clone, Debug)]
struct KindLengths {
    all: Histogram,
    by_organisation: HashMap<OrganisationName, Histogram>,
    curves: HashMap<OrganisationName, (u64, Arc<Curve>)>,
    answers: u64,
}

/// Answers of a kind after which a curve is computed anew.
const CURVE_ANSWERS: u64 = 8;

/// Learns lengths by service, kind and organisation.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    kinds: HashMap<(ServiceName, KindName), KindLengths>,
}

impl Estimator {
    /// An estimator that has seen no answer.
    pub fn new() -> Self {
        Self::default()
    }

    fn kind(&mut self, service: &ServiceName, kind: &KindName) -> &mut KindLengths {
        self.kinds.entry((service.clone(), kind.clone())).or_insert_with(|| KindLengths {
            all: Histogram::new(),
            by_organisation: HashMap::new(),
            curves: HashMap::new(),
            answers: 0,
        })
    }

    /// Learns from an answer that ended by itself after `length` tokens.
    pub fn learn(
        &mut self,
        service: &ServiceName,
        kind: &KindName,
        organisation: &OrganisationName,
        length: u32,
    ) {
        let lengths = self.kind(service, kind);
        lengths.all.add(length);
        lengths.answers += 1;
        lengths
            .by_organisation
            .entry(organisation.clone())
            .or_insert_with(Histogram::new)
            .add(length);
    }

    /// The distribution for a new answer.
    pub fn curve(
        &mut self,
        service: &ServiceName,
        kind: &KindName,
        organisation: &OrganisationName,
    ) -> Arc<Curve> {
        let lengths = self.kind(service, kind);
        if let Some((answers, curve)) = lengths.curves.get(organisation)
            && lengths.answers < answers + CURVE_ANSWERS
        {
            return Arc::clone(curve);
        }
        let curve = Arc::new(Curve::new(&lengths.blend(organisation)));
        let cached = (lengths.answers, Arc::clone(&curve));
        lengths.curves.insert(organisation.clone(), cached);
        curve
    }
}

impl KindLengths {
    /// The organisation's own lengths, with the kind's as a prior and ignorance below both.
    fn blend(&self, organisation: &OrganisationName) -> [f64; BUCKETS] {
        let mut weights = [0.0; BUCKETS];
        for weight in weights.iter_mut().take(IGNORANCE_BUCKETS) {
            *weight = IGNORANCE_ANSWERS / IGNORANCE_BUCKETS as f64;
        }
        let total: f64 = self.all.answers().sum();
        let prior = total.min(PRIOR_ANSWERS) / total.max(1.0);
        for (weight, answers) in weights.iter_mut().zip(self.all.answers()) {
            *weight += answers * prior;
        }
        if let Some(own) = self.by_organisation.get(organisation) {
            for (weight, answers) in weights.iter_mut().zip(own.answers()) {
                *weight += answers;
            }
        }
        weights
    }
}
