//! Parts that all daemons share: the control thread, which owns the control state, and a counter of
//! requests in progress.

mod control;
mod in_progress;

pub use control::{ControlState, ask, start_control};
pub use in_progress::{InProgressGuard, RequestCounter};
