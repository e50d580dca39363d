//! Fakes of the external systems: model engines, plain services, and the platform's log service and
//! host list.
//!
//! Tests can inject faults into them.

pub mod engine;
pub mod hosts;
pub mod http_helpers;
pub mod log;
pub mod service;
