//! Results of one policy.

use super::workload::{Deployment, Workload};
use hdrhistogram::Histogram;
use magnoliawinch::names::OrganisationName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest time in a histogram: an hour.
const MAX_MICROS: u64 = 3_600_000_000;

const MICROS_PER_MS: f64 = 1_000.0;

/// Stall p99 that contributes 1 to the score before weighting.
const STALL_REFERENCE_MS: f64 = 1_000.0;

/// Inter-token p99 that contributes 1 to the score before weighting.
const TAIL_REFERENCE_MS: f64 = 56.0;

/// Preemptions per 1,000 completed answers that contribute 1 to the score before weighting.
const PREEMPTION_REFERENCE: f64 = 100.0;

/// Weights of the score.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of the stall p99, relative to one second.
    pub stall: f64,
    /// Weight of the inter-token p99, relative to 56 ms.
    pub tail_latency: f64,
    /// Weight of the preemptions per 1,000 completed answers, relative to 100.
    pub preemption: f64,
}

impl Weights {
    /// The weights in the deployment's service specification.
    pub fn of(deployment: Deployment) -> Self {
        let objective = super::Profile::new(deployment).service.objective;
        Self {
            stall: objective.stall,
            tail_latency: objective.tail_latency,
            preemption: objective.preemption,
        }
    }
}

/// Results of one policy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Median stall of an answer: the sum of its inter-token times in excess of 56 ms each.
    pub stall_ms_p50: f64,
    /// 95th percentile of the stall.
    pub stall_ms_p95: f64,
    /// 99th percentile of the stall.
    pub stall_ms_p99: f64,
    /// Number of preemptions.
    pub preemptions: u64,
    /// Tokens recomputed after preemptions.
    pub preempted_tokens: u64,
    /// 95th percentile of the inter-token time.
    pub inter_token_ms_p95: f64,
    /// 99th percentile of the inter-token time.
    pub inter_token_ms_p99: f64,
    /// Median time from arrival to the first token.
    pub first_token_ms_p50: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_ms_p95: f64,
    /// Number of requests.
    pub arrived: u64,
    /// Answers complete before their deadline.
    pub completed: u64,
    /// Requests refused without having run.
    pub refused: u64,
    /// Fraction of the requests whose answers met their deadline and latency targets.
    pub goodput: f64,
    /// Fraction of the prefills whose prefix was in memory.
    pub prefix_hit_ratio: f64,
    /// Jain's fairness index of the tokens served to each organisation relative to its fair share.
    pub fairness: f64,
    /// Fraction of the requests whose answer length was within the p90 predicted at admission.
    pub calibration_p90: f64,
    /// Goodput among the requests of the last third of the time; shows recovery from faults.
    pub goodput_last_third: f64,
    /// Weighted score; lower is better.
    pub score: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid")
}

/// Measurements of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    pub(super) first_token_ms: Option<f64>,
    pub(super) last_token_ms: f64,
    pub(super) gaps: u32,
    pub(super) late_gaps: u32,
    pub(super) stall_ms: f64,
    pub(super) tokens: u32,
    pub(super) is_complete: bool,
    pub(super) is_refused: bool,
    /// 90% quantile of the length predicted at admission.
    pub(super) bound_p90: Option<f64>,
}

/// Collects inter-token times and computes the figures.
pub(super) struct Collector {
    gaps: Histogram<u64>,
    target_ms: f64,
}

impl Collector {
    pub(super) fn new(target_ms: f64) -> Self {
        Self { gaps: histogram(), target_ms }
    }

    /// Records a token at `now`, in milliseconds.
    pub(super) fn record_token(&mut self, trace: &mut Trace, now: f64) {
        if trace.first_token_ms.is_none() {
            trace.first_token_ms = Some(now);
        } else {
            let gap = now - trace.last_token_ms;
            self.gaps.saturating_record((gap * MICROS_PER_MS) as u64);
            trace.gaps += 1;
            trace.late_gaps += u32::from(gap > self.target_ms);
            trace.stall_ms += (gap - self.target_ms).max(0.0);
        }
        trace.last_token_ms = now;
        trace.tokens += 1;
    }

    pub(super) fn finish(
        &self,
        workload: &Workload,
        traces: &[Trace],
        weights: Weights,
        engines: EngineTotals,
    ) -> Figures {
        let mut stalls = histogram();
        let mut first_tokens = histogram();
        let mut figures = Figures { arrived: traces.len() as u64, ..Figures::default() };
        let (mut good, mut good_in_last_third, mut in_last_third) = (0_u64, 0_u64, 0_u64);
        let (mut predicted, mut within_bound) = (0_u64, 0_u64);
        let end_ms = workload.arrivals.last().map_or(0.0, |arrival| arrival.at_ms);
        for (arrival, trace) in workload.arrivals.iter().zip(traces) {
            let kind = &workload.profile.kinds[arrival.kind].spec;
            if let Some(first) = trace.first_token_ms {
                first_tokens.saturating_record(((first - arrival.at_ms) * MICROS_PER_MS) as u64);
                stalls.saturating_record((trace.stall_ms * MICROS_PER_MS) as u64 + 1);
            }
            if let Some(bound) = trace.bound_p90 {
                predicted += 1;
                within_bound += u64::from(f64::from(arrival.length) <= bound);
            }
            figures.completed += u64::from(trace.is_complete);
            figures.refused += u64::from(trace.is_refused);
            let is_in_last_third = arrival.at_ms > end_ms * 2.0 / 3.0;
            let is_first_on_time = trace
                .first_token_ms
                .is_some_and(|first| first - arrival.at_ms <= kind.first_token_ms as f64);
            // At most one gap in 20, and one more, may exceed the target.
            let is_smooth = f64::from(trace.late_gaps) <= 0.05 * f64::from(trace.gaps) + 1.0;
            let meets_targets = trace.is_complete && is_first_on_time && is_smooth;
            good += u64::from(meets_targets);
            in_last_third += u64::from(is_in_last_third);
            good_in_last_third += u64::from(is_in_last_third && meets_targets);
        }
        let ms = |h: &Histogram<u64>, p: f64| h.value_at_quantile(p) as f64 / MICROS_PER_MS;
        figures.stall_ms_p50 = ms(&stalls, 0.50);
        figures.stall_ms_p95 = ms(&stalls, 0.95);
        figures.stall_ms_p99 = ms(&stalls, 0.99);
        figures.inter_token_ms_p95 = ms(&self.gaps, 0.95);
        figures.inter_token_ms_p99 = ms(&self.gaps, 0.99);
        figures.first_token_ms_p50 = ms(&first_tokens, 0.50);
        figures.first_token_ms_p95 = ms(&first_tokens, 0.95);
        figures.preemptions = engines.preemptions;
        figures.preempted_tokens = engines.preempted_tokens;
        figures.goodput = good as f64 / traces.len().max(1) as f64;
        figures.goodput_last_third = good_in_last_third as f64 / in_last_third.max(1) as f64;
        figures.calibration_p90 = within_bound as f64 / predicted.max(1) as f64;
        let lookups = engines.prefix_hits + engines.prefix_misses;
        figures.prefix_hit_ratio = engines.prefix_hits as f64 / lookups.max(1) as f64;
        figures.fairness = fairness(workload, traces);
        figures.score = score(&figures, weights);
        figures
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineTotals {
    pub(super) preemptions: u64,
    pub(super) preempted_tokens: u64,
    pub(super) prefix_hits: u64,
    pub(super) prefix_misses: u64,
}

fn score(figures: &Figures, weights: Weights) -> f64 {
    const PER_THOUSAND: f64 = 1_000.0;
    let preemptions = figures.preemptions as f64 / figures.completed.max(1) as f64 * PER_THOUSAND;
    weights.stall * figures.stall_ms_p99 / STALL_REFERENCE_MS
        + weights.tail_latency * figures.inter_token_ms_p99 / TAIL_REFERENCE_MS
        + weights.preemption * preemptions / PREEMPTION_REFERENCE
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    share: f64,
    demand: f64,
    served: f64,
}

/// Jain's fairness index of the organisations' ratios of tokens served to tokens due. Tokens due
/// are the max-min fair part of all tokens served, weighted by shares and limited by demand.
fn fairness(workload: &Workload, traces: &[Trace]) -> f64 {
    let mut usages: BTreeMap<&OrganisationName, Usage> = BTreeMap::new();
    for (arrival, trace) in workload.arrivals.iter().zip(traces) {
        let share = workload.profile.service.organisations[&arrival.organisation].share;
        let usage = usages.entry(&arrival.organisation).or_default();
        usage.share = share;
        usage.demand += f64::from(arrival.length);
        usage.served += f64::from(trace.tokens);
    }
    let usages: Vec<_> = usages.into_values().collect();
    let due = max_min_fair(&usages);
    let ratios: Vec<_> = usages
        .iter()
        .zip(&due)
        .map(|(usage, due)| (usage.served / due.max(1.0)).min(1.0))
        .collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    sum * sum / (ratios.len() as f64 * squares.max(1e-9))
}

fn max_min_fair(usages: &[Usage]) -> Vec<f64> {
    let mut due = vec![0.0; usages.len()];
    let mut remaining: f64 = usages.iter().map(|usage| usage.served).sum();
    let mut unsatisfied: Vec<usize> = (0..usages.len()).collect();
    while !unsatisfied.is_empty() && remaining > 1.0 {
        let shares: f64 = unsatisfied.iter().map(|index| usages[*index].share).sum();
        let tokens_per_share = remaining / shares;
        let satisfied: Vec<_> = unsatisfied
            .iter()
            .copied()
            .filter(|index| usages[*index].demand <= tokens_per_share * usages[*index].share)
            .collect();
        if satisfied.is_empty() {
            unsatisfied
                .iter()
                .for_each(|index| due[*index] = tokens_per_share * usages[*index].share);
            break;
        }
        for index in satisfied {
            due[index] = usages[index].demand;
            remaining -= usages[index].demand;
            unsatisfied.retain(|other| *other != index);
        }
    }
    due
}
