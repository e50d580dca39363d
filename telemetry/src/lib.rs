//! Logs and metrics of every daemon: rate-limited JSON lines on standard output, and a text page of
//! counters and histograms.

mod log_limiter;
mod logging;
pub mod lost;
mod metrics;

pub use log_limiter::LogLimiter;
pub use logging::init_logging;
pub use metrics::Metrics;
