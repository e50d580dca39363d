//! Logs and metrics of every daemon: JSON lines on standard output, bounded in volume, and a page
//! of counters and histograms.

mod journal;
mod logging;
pub mod lost;
mod page;

pub use journal::Journal;
pub use logging::init_logging;
pub use page::Metrics;
