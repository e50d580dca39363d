//! Counts requests in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The requests of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    count: Arc<AtomicU64>,
}

impl Requests {
    /// None is in progress.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many are in progress.
    pub fn in_progress(&self) -> u64 {
        self.count.load(Ordering::Acquire)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn enter(&self) -> InProgress {
        self.count.fetch_add(1, Ordering::AcqRel);
        InProgress { requests: self.clone() }
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct InProgress {
    requests: Requests,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.requests.count.fetch_sub(1, Ordering::AcqRel);
    }
}
