//! Counter of requests in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts requests in progress; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct RequestCounter {
    count: Arc<AtomicU64>,
}

impl RequestCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> u64 {
        self.count.load(Ordering::Acquire)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track(&self) -> InProgressGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InProgressGuard { counter: self.clone() }
    }
}

/// Counts one request as in progress until dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    counter: RequestCounter,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.counter.count.fetch_sub(1, Ordering::AcqRel);
    }
}
