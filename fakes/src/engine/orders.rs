//! Orders that the stand-in engine takes.

use magnoliawinch::catalogue::Offset;
use magnoliawinch::placement::{ModelStatus, Order};
use std::time::Duration;
use tokio::time::Instant;

/// Time to load a version.
const LOAD_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Load {
    model: String,
    version: String,
    until: Instant,
}

/// Which model an engine has and loads.
#[derive(Clone, Debug)]
pub(super) struct Orders {
    model: String,
    version: String,
    loading: Option<Load>,
    highest: Offset,
    checks_fencing: bool,
    loads: u64,
}

impl Orders {
    pub(super) fn new() -> Self {
        Self {
            model: "none".to_owned(),
            version: "none".to_owned(),
            loading: None,
            highest: Offset(0),
            checks_fencing: true,
            loads: 0,
        }
    }

    pub(super) fn set_checks_fencing(&mut self, checks: bool) {
        self.checks_fencing = checks;
    }

    pub(super) fn loads(&self) -> u64 {
        self.loads
    }

    /// Takes an order unless its fencing number is old and the engine checks it.
    pub(super) fn take(&mut self, order: &Order) -> bool {
        self.finish_load();
        if self.checks_fencing && order.fencing < self.highest {
            return false;
        }
        self.highest = self.highest.max(order.fencing);
        let has_it = self.model == order.model && self.version == order.version;
        let loads_it = self
            .loading
            .as_ref()
            .is_some_and(|load| load.model == order.model && load.version == order.version);
        if has_it && self.loading.is_none() || loads_it {
            return true;
        }
        self.loads += 1;
        self.loading = Some(Load {
            model: order.model.clone(),
            version: order.version.clone(),
            until: Instant::now() + LOAD_TIME,
        });
        true
    }

    fn finish_load(&mut self) {
        if let Some(load) = self.loading.take_if(|load| Instant::now() >= load.until) {
            self.model = load.model;
            self.version = load.version;
        }
    }

    pub(super) fn observed(&mut self) -> ModelStatus {
        self.finish_load();
        ModelStatus {
            model: self.model.clone(),
            version: self.version.clone(),
            loading: self.loading.as_ref().map(|load| load.version.clone()),
        }
    }
}
