//! A limit for the memory of all bodies that are buffered at the same time.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;

/// Size up to which a body needs no share of the budget, in bytes: small bodies must not fail because
/// of large ones.
pub const FREE_BODY_BYTES: usize = 65_536;

/// Default budget, in bytes.
const DEFAULT_BUDGET_BYTES: usize = 33_554_432;

/// The bodies buffered at present take all memory that they may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the bodies being read take all of the {max_bytes} bytes that they may")]
pub struct BudgetExceeded {
    max_bytes: usize,
}

/// Memory that buffered bodies share; clones share it, too.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Default for BodyBudget {
    fn default() -> Self {
        Self::new(DEFAULT_BUDGET_BYTES)
    }
}

impl BodyBudget {
    /// A budget of `max_bytes` for all bodies.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used: Arc::default() }
    }

    /// Memory in use, in bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A share of the budget, empty at first.
    pub fn share(&self) -> BudgetShare {
        BudgetShare { budget: self.clone(), bytes: 0 }
    }
}

/// One body's share of a budget, returned when dropped.
#[derive(Debug)]
pub struct BudgetShare {
    budget: BodyBudget,
    bytes: usize,
}

impl BudgetShare {
    /// Enlarges the share for a body of `body_bytes`; never reduces it.
    pub fn cover(&mut self, body_bytes: usize) -> Result<(), BudgetExceeded> {
        if body_bytes <= self.bytes.max(FREE_BODY_BYTES) {
            return Ok(());
        }
        let BodyBudget { max_bytes, used } = &self.budget;
        let more = body_bytes - self.bytes;
        let enlarge = |used: usize| used.checked_add(more).filter(|used| used <= max_bytes);
        match used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, enlarge) {
            Ok(_) => {
                self.bytes = body_bytes;
                Ok(())
            }
            Err(_) => Err(BudgetExceeded { max_bytes: *max_bytes }),
        }
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A buffered body with its share of the budget.
#[derive(Debug)]
pub struct BufferedBody {
    buf: Vec<u8>,
    share: BudgetShare,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl BufferedBody {
    /// An empty body that takes its memory from `share`.
    pub fn new(share: BudgetShare) -> Self {
        Self { buf: Vec::new(), share }
    }

    /// Size in bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Adds `data`; allocates at most twice the size of the body, and no more than `max_bytes`.
    pub fn push(&mut self, data: &[u8], max_bytes: usize) -> Result<(), BudgetExceeded> {
        let needed = self.buf.len() + data.len();
        if needed > self.buf.capacity() {
            let capacity = (2 * self.buf.len()).min(max_bytes).max(needed);
            self.share.cover(capacity)?;
            self.buf.reserve_exact(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(data);
        Ok(())
    }

    /// The body; its share of the budget is returned when the last reference to it is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}
