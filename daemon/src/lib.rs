//! The daemon that runs on every entry host.
//!
//! One thread owns the decisions; traffic threads read snapshots of them and ask the rest through
//! bounded channels.

mod admit;
mod clock;
mod control;
mod daemon;
mod decisions;
mod follow;
mod grants;
mod ledger;
mod metrics;
mod operator;
pub mod options;
mod peer_server;
mod shared;
mod traffic;
mod view;

pub use daemon::{Daemon, StartError};
