//! Orders engines to load model versions, from one daemon at a time.
//!
//! Orders are sent under a lease kept in the platform's log. Its fencing number is the offset of
//! the granting record; engines that check it refuse a previous holder's orders. For the others, a
//! new holder waits until no order of the previous one can be in flight, orders state the target
//! version, and the loaded version is read back and corrected.

pub mod lease;
pub mod rollout;

pub use lease::{LeaseClient, LeaseRecord, Leases};
pub use rollout::{ModelStatus, Order, Rollout};
