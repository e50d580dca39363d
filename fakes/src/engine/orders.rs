//! Loads models in the fake engine as placement orders request.

use magnoliawinch::catalogue::Offset;
use magnoliawinch::placement::{ModelStatus, Order};
use std::time::Duration;
use tokio::time::Instant;

/// Simulated time to load a model version.
const LOAD_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct PendingLoad {
    model: String,
    version: String,
    completes_at: Instant,
}

/// The loaded model of an engine and the one being loaded.
#[derive(Clone, Debug)]
pub(super) struct ModelLoader {
    model: String,
    version: String,
    loading: Option<PendingLoad>,
    /// Highest fencing number of an accepted order.
    highest_fencing: Offset,
    checks_fencing: bool,
    loads_started: u64,
}

impl ModelLoader {
    pub(super) fn new() -> Self {
        Self {
            model: "none".to_owned(),
            version: "none".to_owned(),
            loading: None,
            highest_fencing: Offset(0),
            checks_fencing: true,
            loads_started: 0,
        }
    }

    pub(super) fn set_checks_fencing(&mut self, checks: bool) {
        self.checks_fencing = checks;
    }

    pub(super) fn loads_started(&self) -> u64 {
        self.loads_started
    }

    /// Accepts an order unless its fencing number is old and the engine checks it. Returns whether
    /// the order was accepted.
    pub(super) fn accept(&mut self, order: &Order) -> bool {
        self.finish_load();
        if self.checks_fencing && order.fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        let is_loaded = self.model == order.model && self.version == order.version;
        let is_loading = self
            .loading
            .as_ref()
            .is_some_and(|load| load.model == order.model && load.version == order.version);
        if is_loaded && self.loading.is_none() || is_loading {
            return true;
        }
        self.loads_started += 1;
        self.loading = Some(PendingLoad {
            model: order.model.clone(),
            version: order.version.clone(),
            completes_at: Instant::now() + LOAD_TIME,
        });
        true
    }

    fn finish_load(&mut self) {
        if let Some(load) = self.loading.take_if(|load| Instant::now() >= load.completes_at) {
            self.model = load.model;
            self.version = load.version;
        }
    }

    pub(super) fn status(&mut self) -> ModelStatus {
        self.finish_load();
        ModelStatus {
            model: self.model.clone(),
            version: self.version.clone(),
            loading: self.loading.as_ref().map(|load| load.version.clone()),
        }
    }
}
