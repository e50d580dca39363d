//! Simulations that run the production decision logic against simulated engines on a virtual
//! clock.

pub mod crowd;
pub mod reclaim;
