//! Small stand-ins for what the system meets: model engines, plain services and the platform.
//!
//! They take faults by switch, so that tests can cause the failures that the system is built for.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod reply;
pub mod service;
