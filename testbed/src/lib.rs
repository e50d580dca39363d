//! Runs daemons and stand-ins in one process on loopback addresses, for the demo, the load tool,
//! the experiments and the end-to-end tests.

pub mod control;
pub mod demo;
pub mod deployment;
pub mod figures;
pub mod host_choice;
pub mod load;
pub mod orders;
pub mod response;
pub mod stand_ins;
pub mod test_caller;
pub mod testbed;

pub use host_choice::HostChoice;
pub use response::{ResponseCheck, ResponseError};
pub use testbed::{Testbed, TestbedOptions};
