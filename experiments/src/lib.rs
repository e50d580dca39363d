//! Experiments that drive the decisions and the stand-in engines under one virtual clock.

pub mod crowd;
pub mod reclaim;
