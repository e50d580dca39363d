//! Arrivals modelled on the users' deployments.

use super::Options;
use magnoliawinch::names::{FailureDomain, KindName, OrganisationName, ServiceName, UpstreamName};
use magnoliawinch::service_file::{
    Delivery, KindSpec, Limits, Objective, OrganisationSpec, ServiceSpec, ServiceType, UpstreamSpec,
};
use magnoliawinch_fakes::engine::ModelParameters;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use strum::{Display, EnumString};

/// Engines of a pool.
pub(super) const ENGINES: usize = 10;

/// Organisations of a deployment.
const ORGANISATIONS: usize = 10;

/// Shared prompt prefixes of each kind.
const PREFIXES_PER_KIND: u64 = 40;

const MAX_ANSWER_TOKENS: f64 = 16_384.0;

/// A user's deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Parts: repair guidance and classifications.
    Peachtree,
    /// Appraisals: long reports and stone classifications.
    LoPresti,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub(super) struct KindProfile {
    pub(super) name: KindName,
    pub(super) spec: KindSpec,
    /// Fraction of all requests.
    fraction: f64,
    /// Minimum and maximum prompt length, in tokens.
    prompt_range: (u32, u32),
    prefix_tokens: u32,
    /// Median answer length, in tokens.
    median_length: f64,
    /// Standard deviation of the logarithm of the answer length.
    length_sigma: f64,
}

/// Engines, daemons and request kinds of a deployment.
#[derive(Clone, Debug)]
pub struct Profile {
    pub(super) model: ModelParameters,
    pub(super) daemons: usize,
    pub(super) domains: usize,
    /// One-way network latency.
    pub(super) hop_ms: u64,
    pub(super) kinds: Vec<KindProfile>,
    pub(super) service: ServiceSpec,
}

fn kind_spec(weight: f64, priority: u8, delivery: Delivery, limits_ms: (u64, u64)) -> KindSpec {
    let (first_token_ms, deadline_ms) = limits_ms;
    KindSpec { weight, priority, delivery, idempotent: true, deadline_ms, first_token_ms }
}

impl Profile {
    /// The profile of a deployment, from the users' requirements.
    pub fn new(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Peachtree => peachtree(),
            Deployment::LoPresti => lo_presti(),
        }
    }

    /// Requests per second that the engines sustain within their memory, their slots and the
    /// inter-token target.
    fn capacity_per_second(&self) -> f64 {
        let mean = |value: &dyn Fn(&KindProfile) -> f64| -> f64 {
            self.kinds.iter().map(|kind| kind.fraction * value(kind)).sum()
        };
        let prompt = mean(&|kind| kind.mean_unshared_prompt());
        let length = mean(&|kind| kind.mean_length());
        // Memory that an answer holds, in tokens, summed over its steps.
        let token_steps = mean(&|kind| {
            kind.mean_unshared_prompt() * kind.mean_length() + kind.mean_squared_length() / 2.0
        });
        let footprint = token_steps / length;
        let model = &self.model;
        let memory_limit = model.memory_tokens as f64 / footprint;
        let target = self.service.limits.inter_token_ms as f64;
        let per_answer = model.answer_ms + model.context_ms * footprint;
        let step_limit = (target - model.base_ms) / per_answer;
        let count = memory_limit.min(step_limit).min(model.max_running as f64);
        // The rate sets the share of prefill in the steps, which limits the rate: iterate.
        let mut rate = 0.0;
        for _ in 0..50 {
            let prefill = (model.prefill_ms * prompt * rate).min(0.9);
            let step = (model.base_ms + per_answer * count) / (1.0 - prefill);
            rate = f64::midpoint(rate, count / (length * step));
        }
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        rate * MILLIS_PER_SECOND * ENGINES as f64
    }
}

fn peachtree() -> Profile {
    let kinds = vec![
        KindProfile {
            name: KindName::new("walkthrough"),
            spec: kind_spec(5.0, 5, Delivery::Stream, (1_800, 60_000)),
            fraction: 0.7,
            prompt_range: (300, 1_500),
            prefix_tokens: 256,
            median_length: 180.0,
            length_sigma: 1.0,
        },
        KindProfile {
            name: KindName::new("classification"),
            spec: kind_spec(1.0, 7, Delivery::Whole, (1_800, 10_000)),
            fraction: 0.3,
            prompt_range: (500, 700),
            prefix_tokens: 256,
            median_length: 12.0,
            length_sigma: 0.5,
        },
    ];
    let model = ModelParameters { memory_tokens: 60_000, ..ModelParameters::default() };
    let objective = Objective { stall: 3.0, tail_latency: 3.0, preemption: 1.0 };
    let service = service_spec("repair-guidance", objective, &kinds, &model, 3);
    Profile { model, daemons: 9, domains: 3, hop_ms: 1, kinds, service }
}

fn lo_presti() -> Profile {
    let kinds = vec![
        KindProfile {
            name: KindName::new("appraisal"),
            spec: kind_spec(5.0, 3, Delivery::Whole, (60_000, 900_000)),
            fraction: 0.5,
            prompt_range: (800, 2_400),
            prefix_tokens: 512,
            median_length: 700.0,
            length_sigma: 1.0,
        },
        KindProfile {
            name: KindName::new("stone"),
            spec: kind_spec(2.0, 8, Delivery::Stream, (1_800, 10_000)),
            fraction: 0.5,
            prompt_range: (300, 500),
            prefix_tokens: 128,
            median_length: 20.0,
            length_sigma: 0.5,
        },
    ];
    let model = ModelParameters { memory_tokens: 60_000, ..ModelParameters::default() };
    let objective = Objective { stall: 1.0, tail_latency: 1.0, preemption: 5.0 };
    let service = service_spec("appraisals", objective, &kinds, &model, 4);
    Profile { model, daemons: 8, domains: 4, hop_ms: 1, kinds, service }
}

fn service_spec(
    name: &str,
    objective: Objective,
    kinds: &[KindProfile],
    model: &ModelParameters,
    domains: usize,
) -> ServiceSpec {
    let upstream = |index: usize| {
        let spec = UpstreamSpec {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16 + 1)),
            failure_domain: domain_name(index, domains),
            memory_tokens: model.memory_tokens,
            max_running: model.max_running,
            checks_fencing: true,
            leaving: false,
        };
        (UpstreamName::from(format!("engine-{index}")), spec)
    };
    let organisation = |index: usize| {
        let spec = OrganisationSpec { share: organisation_share(index), key_sha256: Vec::new() };
        (organisation_name(index), Arc::new(spec))
    };
    ServiceSpec {
        name: ServiceName::new(name),
        service_type: ServiceType::Generation,
        objective,
        limits: Limits {
            queue_length: 500,
            body_bytes: 1,
            max_tokens: MAX_ANSWER_TOKENS as u32,
            inter_token_ms: 56,
            first_token_ms: 1_800,
            silence_ms: 2_000,
        },
        model: None,
        kinds: kinds.iter().map(|kind| (kind.name.clone(), kind.spec.clone())).collect(),
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        upstreams: (0..ENGINES).map(upstream).collect(),
    }
}

pub(super) fn domain_name(index: usize, domains: usize) -> FailureDomain {
    FailureDomain::from(format!("domain-{}", index % domains))
}

fn organisation_name(index: usize) -> OrganisationName {
    OrganisationName::from(format!("organisation-{index}"))
}

/// Gives a few organisations large shares.
fn organisation_share(index: usize) -> f64 {
    match index {
        0 => 4.0,
        1 | 2 => 2.0,
        _ => 1.0,
    }
}

/// Lets the largest organisation send more than its share.
fn demand_weight(index: usize) -> f64 {
    match index {
        0 => 8.0,
        1 | 2 => 2.0,
        _ => 0.6,
    }
}

impl KindProfile {
    /// Mean length of a prompt without its shared prefix, in tokens.
    fn mean_unshared_prompt(&self) -> f64 {
        let mean_prompt = f64::midpoint(self.prompt_range.0.into(), self.prompt_range.1.into());
        mean_prompt - f64::from(self.prefix_tokens)
    }

    fn mean_length(&self) -> f64 {
        self.median_length
            * mean_length_scale(1)
            * (self.length_sigma * self.length_sigma / 2.0).exp()
    }

    fn mean_squared_length(&self) -> f64 {
        self.median_length
            * self.median_length
            * mean_length_scale(2)
            * (2.0 * self.length_sigma * self.length_sigma).exp()
    }

    fn length<R: RngExt>(&self, rng: &mut R, scale: f64) -> u32 {
        let length = self.median_length * scale * (self.length_sigma * standard_normal(rng)).exp();
        length.clamp(1.0, MAX_ANSWER_TOKENS) as u32
    }
}

/// Factor on the median answer length, which differs between organisations.
fn length_scale(organisation: usize) -> f64 {
    0.6 + 0.1 * organisation as f64
}

/// Mean of a power of the length scale over all requests.
fn mean_length_scale(power: i32) -> f64 {
    let demand: f64 = (0..ORGANISATIONS).map(demand_weight).sum();
    let fraction = |index| demand_weight(index) / demand * length_scale(index).powi(power);
    (0..ORGANISATIONS).map(fraction).sum()
}

/// Draws with the Box-Muller transform.
fn standard_normal<R: RngExt>(rng: &mut R) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at_ms: f64,
    pub(super) daemon: usize,
    pub(super) organisation: OrganisationName,
    pub(super) kind: usize,
    pub(super) prompt_tokens: u32,
    pub(super) prefix: u64,
    pub(super) prefix_tokens: u32,
    pub(super) length: u32,
}

/// The arrivals of one experiment, the same for every policy.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) profile: Profile,
    pub(super) arrivals: Vec<Arrival>,
    capacity_per_second: f64,
}

impl Workload {
    pub(super) fn new(options: &Options) -> Self {
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        let profile = Profile::new(options.deployment);
        let capacity_per_second = profile.capacity_per_second();
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let span_ms = options.seconds as f64 * MILLIS_PER_SECOND;
        let mut arrivals = Vec::new();
        let mut at_ms = 0.0;
        loop {
            let is_surge = (span_ms / 3.0..span_ms * 2.0 / 3.0).contains(&at_ms);
            let load = options.surge.filter(|_| is_surge).unwrap_or(options.load);
            let gap_seconds = -(1.0 - rng.random::<f64>()).ln() / (capacity_per_second * load);
            at_ms += gap_seconds * MILLIS_PER_SECOND;
            if at_ms >= span_ms {
                break;
            }
            arrivals.push(draw_arrival(&profile, at_ms, &mut rng));
        }
        Self { profile, arrivals, capacity_per_second }
    }

    pub(super) fn capacity_per_second(&self) -> f64 {
        self.capacity_per_second
    }
}

fn pick_weighted<R: RngExt>(rng: &mut R, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut remaining = rng.random::<f64>() * total;
    for (index, weight) in weights.enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    0
}

fn draw_arrival<R: RngExt>(profile: &Profile, at_ms: f64, rng: &mut R) -> Arrival {
    let kind_index = pick_weighted(rng, profile.kinds.iter().map(|kind| kind.fraction));
    let kind = &profile.kinds[kind_index];
    let organisation = pick_weighted(rng, (0..ORGANISATIONS).map(demand_weight));
    // A few prefixes are popular.
    let prefix = (PREFIXES_PER_KIND as f64 * rng.random::<f64>().powi(3)) as u64;
    Arrival {
        at_ms,
        daemon: rng.random_range(0..profile.daemons),
        organisation: organisation_name(organisation),
        kind: kind_index,
        prompt_tokens: rng.random_range(kind.prompt_range.0..=kind.prompt_range.1),
        prefix: 1 + kind_index as u64 * PREFIXES_PER_KIND + prefix,
        prefix_tokens: kind.prefix_tokens,
        length: kind.length(rng, length_scale(organisation)),
    }
}
