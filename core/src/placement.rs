//! Which model versions engines load, ordered by one daemon at a time.
//!
//! Orders are given under a lease that is kept in the platform's log; its fencing number is the
//! offset of the record that granted it. Engines that check it refuse an old holder. For those
//! that do not, a new holder waits until no order of the old one can be in flight, orders name the
//! wanted end, and what engines have loaded is read back and put right.

pub mod lease;
pub mod rollout;

pub use lease::{Holder, LeaseRecord, Leases};
pub use rollout::{Observed, Order, Rollout};
