//! Sites, arrivals and engine losses, from the users' data sheets.

use crate::crowd::Deployment;
use magnoliawinch::names::{KindName, OrganisationName};
use magnoliawinch::route_table::EngineConfig;
use magnoliawinch::time::{Millis, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Virtual time at which a simulation starts; not zero, as the pool's clock does not start at zero.
pub(super) const START: Time = Time(10_000);

/// Organisations of a site.
const ORGANISATIONS: u64 = 24;

/// Daemons that receive requests.
pub(super) const DAEMONS: u64 = 30;

/// Time between two reclaims, each of several engines; from the users' data sheets.
const RECLAIM_INTERVAL_MS: u64 = 3_300;

/// Engines reclaimed at a time, in thousandths of all.
const RECLAIMED_PER_THOUSAND: u64 = 170;

/// Time from the notice to the loss of an engine; from the users' data sheets.
const NOTICE_MS: std::ops::Range<u64> = 1_500..2_100;

/// Time between two engine crashes. The users' data sheets give no rate; this gives a few in a
/// simulation of 30 s.
const CRASH_INTERVAL_MS: u64 = 9_000;

/// Time from the notice, or from the crash, until the replacement engine accepts runs.
const REPLACEMENT_MS: u64 = 1_000;

/// Tokens per event of a stream.
pub(super) const TOKENS_PER_EVENT: u32 = 4;

/// A kind of request.
#[derive(Clone, Debug)]
pub(super) struct Kind {
    pub(super) name: KindName,
    requests_per_second: f64,
    /// Tokens of a prompt: mean, and standard deviation relative to the mean.
    prompt_tokens: (f64, f64),
    /// Events of an answer: mean, and standard deviation relative to the mean.
    events: (f64, f64),
    max_events: f64,
    /// Longest time from arrival to the first event of an answer on time.
    pub(super) objective: Millis,
    /// Longest allowed gap between two events.
    pub(super) max_gap: Millis,
    /// Longest time from arrival to the end of the answer.
    pub(super) deadline: Millis,
    /// Value of an answer that is complete and on time.
    pub(super) value: f64,
    /// Value of an answer that is complete before the deadline but late.
    pub(super) late_value: f64,
    pub(super) priority: u8,
    /// Whether answers take seconds to generate, so that their engine may be lost meanwhile.
    pub(super) is_long: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Site {
    pub(super) engines: u64,
    pub(super) domains: u64,
    pub(super) engine_config: EngineConfig,
    pub(super) kinds: [Kind; 2],
}

/// A kind with long answers; `values` are those of an answer on time and of a late one.
fn long_kind(name: &str, requests_per_second: f64, values: (f64, f64)) -> Kind {
    Kind {
        name: KindName::new(name),
        requests_per_second,
        prompt_tokens: (3_000.0, 0.35),
        events: (188.0, 1.344),
        max_events: 442.0,
        objective: Millis(1_800),
        max_gap: Millis(180),
        deadline: Millis(39_000),
        value: values.0,
        late_value: values.1,
        priority: 1,
        is_long: true,
    }
}

/// A kind with short answers; `values` are those of an answer on time and of a late one.
fn short_kind(name: &str, requests_per_second: f64, values: (f64, f64)) -> Kind {
    Kind {
        name: KindName::new(name),
        requests_per_second,
        prompt_tokens: (2_200.0, 0.6),
        events: (2.4, 1.42),
        max_events: 8.4,
        objective: Millis(1_500),
        max_gap: Millis(180),
        deadline: Millis(6_000),
        value: values.0,
        late_value: values.1,
        priority: 0,
        is_long: false,
    }
}

impl Site {
    /// The user's larger site.
    pub(super) fn new(deployment: Deployment) -> Self {
        let (engines, domains, memory_tokens) = match deployment {
            Deployment::Peachtree => (44, 3, 21_826),
            Deployment::LoPresti => (56, 5, 22_013),
        };
        let kinds = match deployment {
            Deployment::Peachtree => {
                [long_kind("guide", 27.3, (200.0, 30.0)), short_kind("classify", 30.8, (27.0, 4.0))]
            }
            Deployment::LoPresti => [
                long_kind("report", 34.8, (160.0, 24.0)),
                short_kind("classify", 39.3, (21.0, 3.1)),
            ],
        };
        let engine_config = EngineConfig {
            slots: 24,
            memory_tokens,
            bytes_per_token: 18_432,
            link_bits_per_ms: 2_700_000,
            tokens_per_event: TOKENS_PER_EVENT,
            can_move: true,
            can_back_up: true,
        };
        Self { engines, domains, engine_config, kinds }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Time,
    pub(super) kind: usize,
    pub(super) organisation: OrganisationName,
    pub(super) daemon: u64,
    pub(super) prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub(super) length: u32,
}

/// The loss of an engine, by reclaim or crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineLoss {
    pub(super) at: Time,
    /// Time of the announcement; equals `at` for a crash.
    pub(super) notice_at: Time,
    /// The engine; its replacement gets the same index.
    pub(super) engine_index: u64,
    /// When its replacement accepts runs.
    pub(super) replaced_at: Time,
}

impl EngineLoss {
    pub(super) fn is_crash(&self) -> bool {
        self.at == self.notice_at
    }
}

/// Arrivals and engine losses of one simulation.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    /// Arrivals, sorted by time.
    pub(super) arrivals: Vec<Arrival>,
    /// Losses, sorted by time.
    pub(super) losses: Vec<EngineLoss>,
    pub(super) arrivals_end: Time,
}

/// Draws with a standard deviation of `spread` times the mean.
fn log_normal(rng: &mut ChaCha8Rng, mean: f64, spread: f64) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    let (u, v): (f64, f64) = (rng.random_range(1e-12..1.0), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp()
}

impl Workload {
    pub(super) fn new(site: &Site, seed: u64, load: f64, seconds: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let arrivals_end = START + Millis(seconds * 1_000);
        let mut arrivals: Vec<_> = (0..site.kinds.len())
            .flat_map(|kind| draw_arrivals(&mut rng, site, kind, load, arrivals_end))
            .collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        let mut losses = draw_reclaims(&mut rng, site, arrivals_end);
        losses.extend(draw_crashes(&mut rng, site, arrivals_end));
        losses.sort_by_key(|loss| loss.at);
        Self { arrivals, losses, arrivals_end }
    }
}

fn draw_arrivals(
    rng: &mut ChaCha8Rng,
    site: &Site,
    kind: usize,
    load: f64,
    arrivals_end: Time,
) -> Vec<Arrival> {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    let profile = &site.kinds[kind];
    let mean_gap_ms = MILLIS_PER_SECOND / (profile.requests_per_second * load);
    let mut at = START.0 as f64;
    let mut arrivals = Vec::new();
    loop {
        at -= mean_gap_ms * rng.random_range(1e-12_f64..1.0).ln();
        if at >= arrivals_end.0 as f64 {
            return arrivals;
        }
        let events = log_normal(rng, profile.events.0, profile.events.1);
        let events = events.clamp(1.0, profile.max_events) as u32;
        let prompt = log_normal(rng, profile.prompt_tokens.0, profile.prompt_tokens.1);
        arrivals.push(Arrival {
            at: Time(at as u64),
            kind,
            organisation: OrganisationName::from(format!(
                "o-{}",
                rng.random_range(0..ORGANISATIONS)
            )),
            daemon: rng.random_range(0..DAEMONS),
            prompt_tokens: prompt.clamp(100.0, 6_000.0) as u32,
            length: events.max(1) * TOKENS_PER_EVENT,
        });
    }
}

fn draw_reclaims(rng: &mut ChaCha8Rng, site: &Site, arrivals_end: Time) -> Vec<EngineLoss> {
    const PER_THOUSAND: u64 = 1_000;
    let count = (site.engines * RECLAIMED_PER_THOUSAND / PER_THOUSAND) as usize;
    let mut losses = Vec::new();
    let mut at = START + Millis(RECLAIM_INTERVAL_MS);
    while at < arrivals_end {
        let mut indices: Vec<_> = (0..site.engines).collect();
        for _ in 0..count {
            let engine_index = indices.swap_remove(rng.random_range(0..indices.len()));
            let lost_at = at + Millis(rng.random_range(NOTICE_MS));
            losses.push(EngineLoss {
                at: lost_at,
                notice_at: at,
                engine_index,
                replaced_at: at + Millis(REPLACEMENT_MS),
            });
        }
        at = at + Millis(RECLAIM_INTERVAL_MS);
    }
    losses
}

fn draw_crashes(rng: &mut ChaCha8Rng, site: &Site, arrivals_end: Time) -> Vec<EngineLoss> {
    let mut losses = Vec::new();
    let mut at = START + Millis(CRASH_INTERVAL_MS / 2);
    while at < arrivals_end {
        let engine_index = rng.random_range(0..site.engines);
        losses.push(EngineLoss {
            at,
            notice_at: at,
            engine_index,
            replaced_at: at + Millis(REPLACEMENT_MS),
        });
        at = at + Millis(CRASH_INTERVAL_MS);
    }
    losses
}
