//! What every daemon runs on: a thread that owns its control state, and a count of the requests in
//! progress.

mod control;
mod in_progress;

pub use control::{ControlState, ask, start_control};
pub use in_progress::{InProgress, Requests};
