//! The daemon that runs on every entry host.
//!
//! A control thread owns the state on which decisions are based. Traffic threads read snapshots of
//! it and send other queries to the control thread over bounded channels.

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
