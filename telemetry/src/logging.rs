//! Logs as JSON lines on standard output.

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Lines that wait to be written; more are dropped, so that a reader that stalls holds up nothing.
const WAITING_LINES: usize = 4_096;

/// Sends log records to standard output as JSON lines, from a thread of its own.
pub fn init_logging() {
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let writer = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(WAITING_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(writer))
        .apply();
}
