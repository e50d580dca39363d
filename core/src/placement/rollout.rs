//! Brings the engines of a service to the wanted model version, a few at a time.

use super::lease::Right;
use crate::catalogue::Offset;
use crate::names::UpstreamName;
use crate::service_file::{ModelSpec, ServiceSpec};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Engines of one service that load at the same time.
const MAX_LOADING: usize = 1;

/// Time after which an order without effect is given again.
const ORDER_RETRY: Millis = Millis(20_000);

/// Time after an order from which an observation without its effect means that it was undone.
const UNDONE_AFTER: Millis = Millis(5_000);

/// Age at which an observation says nothing any more.
const OBSERVATION_LIFETIME: Millis = Millis(10_000);

/// An order to an engine: the state that it is to reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The fencing number of the holder.
    pub fencing: Offset,
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
}

/// What an engine says of its model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Observed {
    /// The model.
    pub model: String,
    /// The version that serves.
    pub version: String,
    /// The version that is being loaded, if any.
    pub loading: Option<String>,
}

#[derive(Clone, Debug)]
struct Seen {
    observed: Observed,
    at: Time,
}

#[derive(Clone, Debug)]
struct Given {
    version: String,
    at: Time,
}

/// The progress of one service.
#[derive(Clone, Debug)]
pub struct Rollout {
    seen: HashMap<UpstreamName, Seen>,
    given: HashMap<UpstreamName, Given>,
    /// Bytes that may be loaded from the weight store now.
    allowance: f64,
    bytes_per_ms: f64,
    earned_at: Option<Time>,
}

impl Rollout {
    /// A rollout that loads at most `bytes_per_second` from the weight store on average.
    pub fn new(bytes_per_second: u64) -> Self {
        const MILLIS: f64 = 1_000.0;
        Self {
            seen: HashMap::new(),
            given: HashMap::new(),
            allowance: 0.0,
            bytes_per_ms: bytes_per_second as f64 / MILLIS,
            earned_at: None,
        }
    }

    /// Notes what an engine said of its model.
    pub fn observe(&mut self, now: Time, upstream: &UpstreamName, observed: Observed) {
        self.seen.insert(upstream.clone(), Seen { observed, at: now });
    }

    /// The orders to give now.
    pub fn orders(
        &mut self,
        now: Time,
        right: Right,
        service: &ServiceSpec,
    ) -> Vec<(UpstreamName, Order)> {
        let Some(model) = &service.model else {
            return Vec::new();
        };
        self.earn(now, model);
        self.forget_undone();
        let mut loading = self.loading(now).len();
        let mut orders = Vec::new();
        for (name, upstream) in &service.upstreams {
            let may_order = upstream.checks_fencing || right.includes_unchecked;
            if loading >= MAX_LOADING || self.allowance < model.weight_bytes as f64 {
                break;
            }
            if !may_order || !self.needs_order(now, name, model) {
                continue;
            }
            loading += 1;
            self.allowance -= model.weight_bytes as f64;
            self.given.insert(name.clone(), Given { version: model.version.clone(), at: now });
            let order = Order {
                fencing: right.fencing,
                model: model.name.clone(),
                version: model.version.clone(),
            };
            orders.push((name.clone(), order));
        }
        orders
    }

    /// Earns what the weight store may be asked for; at most two loads are saved up.
    fn earn(&mut self, now: Time, model: &ModelSpec) {
        let most = 2.0 * model.weight_bytes as f64;
        let first = model.weight_bytes as f64;
        self.allowance = match self.earned_at {
            Some(at) => (self.allowance + now.since(at).0 as f64 * self.bytes_per_ms).min(most),
            None => first,
        };
        self.earned_at = Some(now);
    }

    /// Forgets orders whose engines show neither their effect nor that they load, so that these are
    /// told again.
    fn forget_undone(&mut self) {
        let seen = &self.seen;
        self.given.retain(|name, given| {
            let is_undone = seen.get(name).is_some_and(|seen| {
                let is_late = seen.at > given.at + UNDONE_AFTER;
                is_late && seen.observed.version != given.version && seen.observed.loading.is_none()
            });
            !is_undone
        });
    }

    /// Engines that load, or were ordered to and have not said that they finished.
    pub fn loading(&self, now: Time) -> Vec<UpstreamName> {
        let is_loading = |(name, given): &(&UpstreamName, &Given)| {
            let is_recent = now.since(given.at) < ORDER_RETRY;
            let has_it = self.seen.get(*name).is_some_and(|seen| {
                seen.at > given.at
                    && seen.observed.version == given.version
                    && seen.observed.loading.is_none()
            });
            is_recent && !has_it
        };
        self.given.iter().filter(is_loading).map(|(name, _)| name.clone()).collect()
    }

    fn needs_order(&self, now: Time, name: &UpstreamName, model: &ModelSpec) -> bool {
        let Some(seen) = self.seen.get(name) else {
            return false;
        };
        let is_fresh = now.since(seen.at) < OBSERVATION_LIFETIME;
        let has_it = seen.observed.model == model.name
            && seen.observed.version == model.version
            && seen.observed.loading.is_none();
        let loads_it = seen.observed.loading.as_ref() == Some(&model.version);
        let was_told = self.given.get(name).is_some_and(|given| {
            given.version == model.version && now.since(given.at) < ORDER_RETRY
        });
        is_fresh && !has_it && !loads_it && !was_told
    }
}
