//! Orders engines to load model versions, from one daemon at a time.
//!
//! Orders are sent under a lease kept in the platform's log. Its fencing number is the offset of
//! the record that granted it; engines that check it refuse orders of a previous holder. For
//! engines that do not check it, a new holder waits until no order of the previous holder can be
//! in flight, orders state the target version, and the loaded version is read back and corrected.

pub mod lease;
pub mod rollout;

pub use lease::{LeaseClient, LeaseRecord, Leases};
pub use rollout::{ModelStatus, Order, Rollout};
