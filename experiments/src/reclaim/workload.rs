//! Sites, arrivals and the ends of engines, from the users' sheets.

use crate::crowd::Deployment;
use magnoliawinch::names::{KindName, OrganisationName};
use magnoliawinch::route_table::EngineConfig;
use magnoliawinch::time::{Millis, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// When a day begins; the pool's clock does not start at zero.
pub(super) const START: Time = Time(10_000);

/// Organisations of a site.
const ORGANISATIONS: u64 = 24;

/// Daemons that callers use.
pub(super) const DAEMONS: u64 = 30;

/// Time between two reclaims of engines; from the users' sheets.
const RECLAIM_EVERY_MS: u64 = 3_300;

/// Engines of which one is reclaimed each time, in thousandths of all.
const RECLAIMED_PER_MILLE: u64 = 170;

/// Time between the notice and the end of an engine; from the users' sheets.
const NOTICE_MS: std::ops::Range<u64> = 1_500..2_100;

/// Time between two engines that crash, of which the sheets say nothing; a few a day.
const CRASH_EVERY_MS: u64 = 9_000;

/// Time until an engine that replaces another takes work.
const COLD_MS: u64 = 1_000;

/// Answers of a stream have so many tokens an event.
pub(super) const TOKENS_PER_EVENT: u32 = 4;

/// A kind of request.
#[derive(Clone, Debug)]
pub(super) struct Kind {
    pub(super) name: KindName,
    per_second: f64,
    prompt_tokens: (f64, f64),
    events: (f64, f64),
    max_events: f64,
    pub(super) objective: Millis,
    pub(super) max_gap: Millis,
    pub(super) deadline: Millis,
    pub(super) worth: f64,
    pub(super) late_worth: f64,
    pub(super) priority: u8,
    /// Whether it writes for seconds, so that its engine may leave under it.
    pub(super) is_long: bool,
}

/// A site.
#[derive(Clone, Debug)]
pub(super) struct Site {
    pub(super) engines: u64,
    pub(super) domains: u64,
    pub(super) shape: EngineConfig,
    pub(super) kinds: [Kind; 2],
}

fn long(name: &str, per_second: f64, worth: (f64, f64)) -> Kind {
    Kind {
        name: KindName::new(name),
        per_second,
        prompt_tokens: (3_000.0, 0.35),
        events: (188.0, 1.344),
        max_events: 442.0,
        objective: Millis(1_800),
        max_gap: Millis(180),
        deadline: Millis(39_000),
        worth: worth.0,
        late_worth: worth.1,
        priority: 1,
        is_long: true,
    }
}

fn short(name: &str, per_second: f64, worth: (f64, f64)) -> Kind {
    Kind {
        name: KindName::new(name),
        per_second,
        prompt_tokens: (2_200.0, 0.6),
        events: (2.4, 1.42),
        max_events: 8.4,
        objective: Millis(1_500),
        max_gap: Millis(180),
        deadline: Millis(6_000),
        worth: worth.0,
        late_worth: worth.1,
        priority: 0,
        is_long: false,
    }
}

impl Site {
    /// The larger site of a user.
    pub(super) fn new(deployment: Deployment) -> Self {
        let (engines, domains, memory_tokens) = match deployment {
            Deployment::Peachtree => (44, 3, 21_826),
            Deployment::LoPresti => (56, 5, 22_013),
        };
        let kinds = match deployment {
            Deployment::Peachtree => {
                [long("guide", 27.3, (200.0, 30.0)), short("classify", 30.8, (27.0, 4.0))]
            }
            Deployment::LoPresti => {
                [long("report", 34.8, (160.0, 24.0)), short("classify", 39.3, (21.0, 3.1))]
            }
        };
        let shape = EngineConfig {
            slots: 24,
            memory_tokens,
            bytes_per_token: 18_432,
            link_bits_per_ms: 2_700_000,
            tokens_per_event: TOKENS_PER_EVENT,
            can_move: true,
            can_back_up: true,
        };
        Self { engines, domains, shape, kinds }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Time,
    pub(super) kind: usize,
    pub(super) organisation: OrganisationName,
    pub(super) daemon: u64,
    pub(super) prompt_tokens: u32,
    /// Tokens of the answer.
    pub(super) length: u32,
}

/// The end of an engine that stands in a place.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub(super) at: Time,
    /// The same as `at` for a crash.
    pub(super) noticed_at: Time,
    pub(super) place: u64,
    /// When the one that takes its place does work.
    pub(super) replaced_at: Time,
}

impl End {
    pub(super) fn is_crash(&self) -> bool {
        self.at == self.noticed_at
    }
}

/// What happens on one day.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    /// In order of time.
    pub(super) arrivals: Vec<Arrival>,
    /// In order of time.
    pub(super) ends: Vec<End>,
    pub(super) until: Time,
}

/// A number whose logarithm is normal, with this mean and this deviation as a part of it.
fn draw(rng: &mut ChaCha8Rng, mean: f64, spread: f64) -> f64 {
    let variance = (1.0 + spread * spread).ln();
    let (u, v): (f64, f64) = (rng.random_range(1e-12..1.0), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp()
}

impl Workload {
    pub(super) fn new(site: &Site, seed: u64, load: f64, seconds: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let until = START + Millis(seconds * 1_000);
        let mut arrivals: Vec<_> = (0..site.kinds.len())
            .flat_map(|kind| arrivals(&mut rng, site, kind, load, until))
            .collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        let mut ends = reclaims(&mut rng, site, until);
        ends.extend(crashes(&mut rng, site, until));
        ends.sort_by_key(|end| end.at);
        Self { arrivals, ends, until }
    }
}

fn arrivals(
    rng: &mut ChaCha8Rng,
    site: &Site,
    kind: usize,
    load: f64,
    until: Time,
) -> Vec<Arrival> {
    const MILLIS_PER_SECOND: f64 = 1_000.0;
    let profile = &site.kinds[kind];
    let mean_gap = MILLIS_PER_SECOND / (profile.per_second * load);
    let mut at = START.0 as f64;
    let mut arrivals = Vec::new();
    loop {
        at -= mean_gap * rng.random_range(1e-12_f64..1.0).ln();
        if at >= until.0 as f64 {
            return arrivals;
        }
        let events = draw(rng, profile.events.0, profile.events.1);
        let events = events.clamp(1.0, profile.max_events) as u32;
        let prompt = draw(rng, profile.prompt_tokens.0, profile.prompt_tokens.1);
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

fn reclaims(rng: &mut ChaCha8Rng, site: &Site, until: Time) -> Vec<End> {
    const PER_MILLE: u64 = 1_000;
    let count = (site.engines * RECLAIMED_PER_MILLE / PER_MILLE) as usize;
    let mut ends = Vec::new();
    let mut at = START + Millis(RECLAIM_EVERY_MS);
    while at < until {
        let mut places: Vec<_> = (0..site.engines).collect();
        for _ in 0..count {
            let place = places.swap_remove(rng.random_range(0..places.len()));
            let end = at + Millis(rng.random_range(NOTICE_MS));
            ends.push(End { at: end, noticed_at: at, place, replaced_at: at + Millis(COLD_MS) });
        }
        at = at + Millis(RECLAIM_EVERY_MS);
    }
    ends
}

fn crashes(rng: &mut ChaCha8Rng, site: &Site, until: Time) -> Vec<End> {
    let mut ends = Vec::new();
    let mut at = START + Millis(CRASH_EVERY_MS / 2);
    while at < until {
        let place = rng.random_range(0..site.engines);
        ends.push(End { at, noticed_at: at, place, replaced_at: at + Millis(COLD_MS) });
        at = at + Millis(CRASH_EVERY_MS);
    }
    ends
}
