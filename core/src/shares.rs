//! Shares of organisations in the engine memory of a service.
//!
//! An organisation's share is proportional to its weight. What some do not need is lent to the others
//! and taken back as runs end, because requests of organisations within their shares go first.

use crate::cells::Cell;
use crate::names::{OrganisationName, ServiceName};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Weight of an organisation without a configured one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Organisations in one message; bounds what cells send each other.
pub const MAX_PUBLISHED: usize = 16;

/// Cells whose figures are kept for others.
const MAX_KEPT_CELLS: usize = 256;

/// How long figures about other cells stay valid: some intervals of their messages.
pub(crate) const FIGURES_LIFETIME: Millis = Millis(3_000);

/// Weights of organisations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weights(BTreeMap<OrganisationName, f64>);

impl Weights {
    /// Weights of the named organisations; the others have a weight of 1.
    pub fn new(weights: impl IntoIterator<Item = (OrganisationName, f64)>) -> Self {
        Self(weights.into_iter().collect())
    }

    fn of(&self, organisation: &OrganisationName) -> f64 {
        self.0.get(organisation).copied().unwrap_or(DEFAULT_WEIGHT)
    }
}

/// Memory that an organisation's runs use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUse {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Tokens of its runs.
    pub tokens: u64,
}

/// The organisations that use more than their shares of a service's engines, those with the highest use
/// first; at most [`MAX_PUBLISHED`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UseAboveShare(Vec<OrganisationUse>);

impl UseAboveShare {
    /// The uses, without those beyond the limit.
    pub fn new(mut uses: Vec<OrganisationUse>) -> Self {
        uses.sort_by(|a, b| {
            b.tokens.cmp(&a.tokens).then_with(|| a.organisation.cmp(&b.organisation))
        });
        uses.truncate(MAX_PUBLISHED);
        Self(uses)
    }

    /// The uses, the highest first.
    pub fn uses(&self) -> &[OrganisationUse] {
        &self.0
    }

    fn of(&self, organisation: &OrganisationName) -> f64 {
        let known = self.0.iter().find(|known| known.organisation == *organisation);
        known.map_or(0.0, |known| known.tokens as f64)
    }
}

/// Figures of the cells of a divided system, as a reader of the list collects them for all owners.
#[derive(Clone, Debug, Default)]
pub struct CellFigures {
    by_cell: BTreeMap<(ServiceName, Cell), (Time, UseAboveShare)>,
}

impl CellFigures {
    /// No figures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the figures of a cell.
    pub fn record(&mut self, now: Time, service: ServiceName, cell: Cell, uses: UseAboveShare) {
        self.by_cell.retain(|_, (at, _)| now.since(*at) < FIGURES_LIFETIME);
        let key = (service, cell);
        if self.by_cell.len() < MAX_KEPT_CELLS || self.by_cell.contains_key(&key) {
            self.by_cell.insert(key, (now, uses));
        }
    }

    /// Sums over all cells with recent figures, by service.
    pub fn totals(&self, now: Time) -> BTreeMap<&ServiceName, UseAboveShare> {
        let mut totals: BTreeMap<&ServiceName, BTreeMap<&OrganisationName, u64>> = BTreeMap::new();
        let fresh = self.by_cell.iter().filter(|(_, (at, _))| now.since(*at) < FIGURES_LIFETIME);
        for ((service, _), (_, uses)) in fresh {
            let of_service = totals.entry(service).or_default();
            for known in uses.uses() {
                *of_service.entry(&known.organisation).or_default() += known.tokens;
            }
        }
        let bounded = totals.into_iter().map(|(service, of_service)| {
            let uses = of_service.into_iter().map(|(organisation, tokens)| OrganisationUse {
                organisation: organisation.clone(),
                tokens,
            });
            (service, UseAboveShare::new(uses.collect()))
        });
        bounded.collect()
    }
}

/// What an organisation uses and asks for, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    pub(crate) used: f64,
    pub(crate) queued: f64,
}

/// Use and share of each organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Standings {
    /// Share of an organisation with a weight of 1, in tokens.
    share: f64,
    /// The same with what others lend; infinite if all demands are met.
    lent: f64,
    weights: Weights,
    used: HashMap<OrganisationName, f64>,
}

impl Standings {
    /// Divides the memory that is in use at the moment, which is what the engines can serve: they may
    /// run out of time for prompts before they run out of memory. `all_cells` is the use in all cells
    /// of the organisations above their shares.
    pub(crate) fn new(
        weights: &Weights,
        demands: &HashMap<&OrganisationName, Demand>,
        all_cells: &UseAboveShare,
    ) -> Self {
        let mut used = HashMap::new();
        let mut wanted = Vec::new();
        let mut in_use = 0.0;
        for (organisation, demand) in demands {
            let tokens = demand.used.max(all_cells.of(organisation));
            in_use += tokens;
            wanted.push((tokens + demand.queued, weights.of(organisation)));
            used.insert((*organisation).clone(), tokens);
        }
        let total_weight: f64 = wanted.iter().map(|(_, weight)| weight).sum();
        let share = in_use / total_weight.max(f64::MIN_POSITIVE);
        Self { share, lent: fair_level(in_use, wanted), weights: weights.clone(), used }
    }

    /// Use relative to the share; zero if it is within the share and what others lend.
    pub(crate) fn excess(&self, organisation: &OrganisationName) -> f64 {
        let weight = self.weights.of(organisation);
        let used = self.used(organisation);
        if used <= self.lent * weight { 0.0 } else { used / (self.share * weight) }
    }

    /// Tokens in use.
    pub(crate) fn used(&self, organisation: &OrganisationName) -> f64 {
        self.used.get(organisation).copied().unwrap_or_default()
    }

    /// The share, in tokens.
    pub(crate) fn share(&self, organisation: &OrganisationName) -> f64 {
        self.share * self.weights.of(organisation)
    }

    /// The organisations above their shares.
    pub(crate) fn above_share(&self) -> UseAboveShare {
        let above = self.used.iter().filter(|(organisation, _)| self.excess(organisation) > 0.0);
        let uses = above.map(|(organisation, tokens)| OrganisationUse {
            organisation: organisation.clone(),
            tokens: *tokens as u64,
        });
        UseAboveShare::new(uses.collect())
    }
}

/// The amount for each unit of weight that divides `capacity` among demands with weights, if what
/// some do not demand goes to the others; infinite if all demands are met.
fn fair_level(capacity: f64, mut demands: Vec<(f64, f64)>) -> f64 {
    demands.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut left = capacity;
    let mut weight_left: f64 = demands.iter().map(|(_, weight)| weight).sum();
    for (demand, weight) in demands {
        let level = left.max(0.0) / weight_left;
        if demand > level * weight {
            return level;
        }
        left -= demand;
        weight_left -= weight;
    }
    f64::INFINITY
}
