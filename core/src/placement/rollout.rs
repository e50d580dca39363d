//! Rolls out a model version to a service's engines, one at a time.

use super::lease::OrderPermit;
use crate::catalogue::Offset;
use crate::names::UpstreamName;
use crate::service_file::{ModelSpec, ServiceSpec};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of engines of one service that load at the same time.
const MAX_LOADING_ENGINES: usize = 1;

/// Time after which an order without effect is repeated.
const ORDER_RETRY_DELAY: Millis = Millis(20_000);

/// Time after an order from which an observation without its effect means that it was reverted.
const REVERT_CHECK_DELAY: Millis = Millis(5_000);

const MAX_OBSERVATION_AGE: Millis = Millis(10_000);

/// Order to load the target version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing: Offset,
    /// Model name.
    pub model: String,
    /// Version to load.
    pub version: String,
}

/// Model status reported by an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelStatus {
    /// Model name.
    pub model: String,
    /// Version serving requests.
    pub version: String,
    /// Version being loaded, if any.
    pub loading: Option<String>,
}

#[derive(Clone, Debug)]
struct Observation {
    status: ModelStatus,
    at: Time,
}

#[derive(Clone, Debug)]
struct IssuedOrder {
    version: String,
    at: Time,
}

/// Rollout state of one service.
#[derive(Clone, Debug)]
pub struct Rollout {
    observations: HashMap<UpstreamName, Observation>,
    issued: HashMap<UpstreamName, IssuedOrder>,
    /// Token bucket: bytes that may now be loaded from the weight store.
    load_budget: f64,
    bytes_per_ms: f64,
    refilled_at: Option<Time>,
}

impl Rollout {
    /// Creates a rollout that loads on average at most `bytes_per_second` from the weight store.
    pub fn new(bytes_per_second: u64) -> Self {
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        Self {
            observations: HashMap::new(),
            issued: HashMap::new(),
            load_budget: 0.0,
            bytes_per_ms: bytes_per_second as f64 / MILLIS_PER_SECOND,
            refilled_at: None,
        }
    }

    /// Records an engine's model status.
    pub fn observe(&mut self, now: Time, upstream: &UpstreamName, status: ModelStatus) {
        self.observations.insert(upstream.clone(), Observation { status, at: now });
    }

    /// Orders to send now; they count as sent once returned.
    pub fn orders(
        &mut self,
        now: Time,
        permit: OrderPermit,
        service: &ServiceSpec,
    ) -> Vec<(UpstreamName, Order)> {
        let Some(model) = &service.model else {
            return Vec::new();
        };
        self.refill_budget(now, model);
        self.drop_reverted();
        let mut loading = self.loading(now).len();
        let mut orders = Vec::new();
        for (name, upstream) in &service.upstreams {
            let may_order = upstream.checks_fencing || permit.allows_unfenced;
            if loading >= MAX_LOADING_ENGINES || self.load_budget < model.weight_bytes as f64 {
                break;
            }
            if !may_order || !self.needs_order(now, name, model) {
                continue;
            }
            loading += 1;
            self.load_budget -= model.weight_bytes as f64;
            self.issued
                .insert(name.clone(), IssuedOrder { version: model.version.clone(), at: now });
            let order = Order {
                fencing: permit.fencing,
                model: model.name.clone(),
                version: model.version.clone(),
            };
            orders.push((name.clone(), order));
        }
        orders
    }

    /// Refills the load budget, up to two loads.
    fn refill_budget(&mut self, now: Time, model: &ModelSpec) {
        let max_budget = 2.0 * model.weight_bytes as f64;
        let initial_budget = model.weight_bytes as f64;
        self.load_budget = match self.refilled_at {
            Some(at) => {
                (self.load_budget + now.since(at).0 as f64 * self.bytes_per_ms).min(max_budget)
            }
            None => initial_budget,
        };
        self.refilled_at = Some(now);
    }

    /// Drops orders whose engines neither serve nor load the ordered version, so that they are sent
    /// again.
    fn drop_reverted(&mut self) {
        let observations = &self.observations;
        self.issued.retain(|name, issued| {
            let is_reverted = observations.get(name).is_some_and(|observation| {
                let is_late = observation.at > issued.at + REVERT_CHECK_DELAY;
                is_late
                    && observation.status.version != issued.version
                    && observation.status.loading.is_none()
            });
            !is_reverted
        });
    }

    /// Engines recently ordered to load that have not reported completion.
    pub fn loading(&self, now: Time) -> Vec<UpstreamName> {
        let is_loading = |(name, issued): &(&UpstreamName, &IssuedOrder)| {
            let is_recent = now.since(issued.at) < ORDER_RETRY_DELAY;
            let has_version = self.observations.get(*name).is_some_and(|observation| {
                observation.at > issued.at
                    && observation.status.version == issued.version
                    && observation.status.loading.is_none()
            });
            is_recent && !has_version
        };
        self.issued.iter().filter(is_loading).map(|(name, _)| name.clone()).collect()
    }

    fn needs_order(&self, now: Time, name: &UpstreamName, model: &ModelSpec) -> bool {
        let Some(observation) = self.observations.get(name) else {
            return false;
        };
        let is_fresh = now.since(observation.at) < MAX_OBSERVATION_AGE;
        let has_version = observation.status.model == model.name
            && observation.status.version == model.version
            && observation.status.loading.is_none();
        let is_loading = observation.status.loading.as_ref() == Some(&model.version);
        let was_ordered = self.issued.get(name).is_some_and(|issued| {
            issued.version == model.version && now.since(issued.at) < ORDER_RETRY_DELAY
        });
        is_fresh && !has_version && !is_loading && !was_ordered
    }
}
