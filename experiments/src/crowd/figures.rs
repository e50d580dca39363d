//! Figures of one policy.

use super::workload::{Deployment, Workload};
use hdrhistogram::Histogram;
use magnoliawinch::names::OrganisationName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest time that is told apart, in microseconds: an hour.
const MAX_MICROS: u64 = 3_600_000_000;

/// Microseconds in a millisecond.
const MICROS: f64 = 1_000.0;

/// Stall p99 that counts as 1 in the score, in milliseconds.
const STALL_REFERENCE_MS: f64 = 1_000.0;

/// Time between tokens p99 that counts as 1 in the score, in milliseconds.
const TAIL_REFERENCE_MS: f64 = 56.0;

/// Preemptions for each 1,000 completed answers that count as 1 in the score.
const PREEMPTION_REFERENCE: f64 = 100.0;

/// Weights of the score.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Of stall p99 over one second.
    pub stall: f64,
    /// Of time between tokens p99 over 56 ms.
    pub tail_latency: f64,
    /// Of preemptions for each 1,000 completed answers over 100.
    pub preemption: f64,
}

impl Weights {
    /// The weights of a deployment, as its service file has them.
    pub fn of(deployment: Deployment) -> Self {
        let objective = super::Profile::new(deployment).service.objective;
        Self {
            stall: objective.stall,
            tail_latency: objective.tail_latency,
            preemption: objective.preemption,
        }
    }
}

/// What one policy did.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Time that an answer stood still beyond 56 ms between tokens, summed.
    pub stall_ms_p50: f64,
    /// The same.
    pub stall_ms_p95: f64,
    /// The same.
    pub stall_ms_p99: f64,
    /// Preemptions.
    pub preemptions: u64,
    /// Tokens computed anew after preemptions.
    pub preempted_tokens: u64,
    /// Time between tokens.
    pub inter_token_ms_p95: f64,
    /// The same.
    pub inter_token_ms_p99: f64,
    /// Time from arrival to the first token.
    pub first_token_ms_p50: f64,
    /// The same.
    pub first_token_ms_p95: f64,
    /// Requests.
    pub arrived: u64,
    /// Answers that were whole before their deadline.
    pub completed: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Part of the requests whose answers met their deadline and targets.
    pub goodput: f64,
    /// Part of the prompts whose prefix was in memory.
    pub prefix_hit_ratio: f64,
    /// Jain's index of what organisations got over what they were due.
    pub fairness: f64,
    /// Part of the grants whose answer stayed below the 90% quantile named at admission.
    pub calibration_p90: f64,
    /// Part of the requests of the last third that met their targets; shows recovery.
    pub goodput_last_third: f64,
    /// Weighted score; lower is better.
    pub score: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid")
}

/// How one request went.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    pub(super) first_token_ms: Option<f64>,
    pub(super) last_token_ms: f64,
    pub(super) gaps: u32,
    pub(super) late_gaps: u32,
    pub(super) stall_ms: f64,
    pub(super) tokens: u32,
    pub(super) completed: bool,
    pub(super) refused: bool,
    /// The length named at admission with 90% probability.
    pub(super) bound_p90: Option<f64>,
}

/// Gathers traces.
pub(super) struct Gatherer {
    gaps: Histogram<u64>,
    target_ms: f64,
}

impl Gatherer {
    pub(super) fn new(target_ms: f64) -> Self {
        Self { gaps: histogram(), target_ms }
    }

    /// Notes a token at `now`.
    pub(super) fn token(&mut self, trace: &mut Trace, now: f64) {
        if trace.first_token_ms.is_none() {
            trace.first_token_ms = Some(now);
        } else {
            let gap = now - trace.last_token_ms;
            self.gaps.saturating_record((gap * MICROS) as u64);
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
        let mut firsts = histogram();
        let mut figures = Figures { arrived: traces.len() as u64, ..Figures::default() };
        let (mut good, mut good_last, mut last) = (0_u64, 0_u64, 0_u64);
        let (mut bounded, mut held) = (0_u64, 0_u64);
        let end_ms = workload.arrivals.last().map_or(0.0, |arrival| arrival.at_ms);
        for (arrival, trace) in workload.arrivals.iter().zip(traces) {
            let kind = &workload.profile.kinds[arrival.kind].spec;
            if let Some(first) = trace.first_token_ms {
                firsts.saturating_record(((first - arrival.at_ms) * MICROS) as u64);
                stalls.saturating_record((trace.stall_ms * MICROS) as u64 + 1);
            }
            if let Some(bound) = trace.bound_p90 {
                bounded += 1;
                held += u64::from(f64::from(arrival.length) <= bound);
            }
            figures.completed += u64::from(trace.completed);
            figures.refused += u64::from(trace.refused);
            let is_last = arrival.at_ms > end_ms * 2.0 / 3.0;
            let in_time = trace
                .first_token_ms
                .is_some_and(|first| first - arrival.at_ms <= kind.first_token_ms as f64);
            let is_smooth = f64::from(trace.late_gaps) <= 0.05 * f64::from(trace.gaps) + 1.0;
            let is_good = trace.completed && in_time && is_smooth;
            good += u64::from(is_good);
            last += u64::from(is_last);
            good_last += u64::from(is_last && is_good);
        }
        let ms = |h: &Histogram<u64>, p: f64| h.value_at_quantile(p) as f64 / MICROS;
        figures.stall_ms_p50 = ms(&stalls, 0.50);
        figures.stall_ms_p95 = ms(&stalls, 0.95);
        figures.stall_ms_p99 = ms(&stalls, 0.99);
        figures.inter_token_ms_p95 = ms(&self.gaps, 0.95);
        figures.inter_token_ms_p99 = ms(&self.gaps, 0.99);
        figures.first_token_ms_p50 = ms(&firsts, 0.50);
        figures.first_token_ms_p95 = ms(&firsts, 0.95);
        figures.preemptions = engines.preemptions;
        figures.preempted_tokens = engines.preempted_tokens;
        figures.goodput = good as f64 / traces.len().max(1) as f64;
        figures.goodput_last_third = good_last as f64 / last.max(1) as f64;
        figures.calibration_p90 = held as f64 / bounded.max(1) as f64;
        let lookups = engines.prefix_hits + engines.prefix_misses;
        figures.prefix_hit_ratio = engines.prefix_hits as f64 / lookups.max(1) as f64;
        figures.fairness = fairness(workload, traces);
        figures.score = score(&figures, weights);
        figures
    }
}

/// Totals over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineTotals {
    pub(super) preemptions: u64,
    pub(super) preempted_tokens: u64,
    pub(super) prefix_hits: u64,
    pub(super) prefix_misses: u64,
}

fn score(figures: &Figures, weights: Weights) -> f64 {
    const ANSWERS: f64 = 1_000.0;
    let preemptions = figures.preemptions as f64 / figures.completed.max(1) as f64 * ANSWERS;
    weights.stall * figures.stall_ms_p99 / STALL_REFERENCE_MS
        + weights.tail_latency * figures.inter_token_ms_p99 / TAIL_REFERENCE_MS
        + weights.preemption * preemptions / PREEMPTION_REFERENCE
}

#[derive(Clone, Copy, Debug, Default)]
struct Need {
    share: f64,
    demand: f64,
    served: f64,
}

/// Jain's index of tokens served over tokens due; due is the max-min fair part of all that was
/// served, by shares and up to the demand.
fn fairness(workload: &Workload, traces: &[Trace]) -> f64 {
    let mut needs: BTreeMap<&OrganisationName, Need> = BTreeMap::new();
    for (arrival, trace) in workload.arrivals.iter().zip(traces) {
        let share = workload.profile.service.organisations[&arrival.organisation].share;
        let need = needs.entry(&arrival.organisation).or_default();
        need.share = share;
        need.demand += f64::from(arrival.length);
        need.served += f64::from(trace.tokens);
    }
    let needs: Vec<_> = needs.into_values().collect();
    let due = max_min(&needs);
    let parts: Vec<_> =
        needs.iter().zip(&due).map(|(need, due)| (need.served / due.max(1.0)).min(1.0)).collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|part| part * part).sum();
    sum * sum / (parts.len() as f64 * squares.max(1e-9))
}

fn max_min(needs: &[Need]) -> Vec<f64> {
    let mut due = vec![0.0; needs.len()];
    let mut left: f64 = needs.iter().map(|need| need.served).sum();
    let mut open: Vec<usize> = (0..needs.len()).collect();
    while !open.is_empty() && left > 1.0 {
        let shares: f64 = open.iter().map(|place| needs[*place].share).sum();
        let level = left / shares;
        let sated: Vec<_> = open
            .iter()
            .copied()
            .filter(|place| needs[*place].demand <= level * needs[*place].share)
            .collect();
        if sated.is_empty() {
            open.iter().for_each(|place| due[*place] = level * needs[*place].share);
            break;
        }
        for place in sated {
            due[place] = needs[place].demand;
            left -= needs[place].demand;
            open.retain(|other| *other != place);
        }
    }
    due
}
