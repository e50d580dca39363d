//! Daemons and stand-ins in one process on loopback addresses, for the demo, the load tool, the
//! experiments and the end-to-end tests.

pub mod answer;
pub mod bed;
pub mod control;
pub mod demo;
pub mod deployment;
pub mod figures;
pub mod load;
pub mod orders;
pub mod stand_ins;
pub mod user;

pub use answer::{AnswerCheck, AnswerError};
pub use bed::{Bed, BedOptions};
