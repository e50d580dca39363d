//! Log output as JSON lines on standard output.

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Maximum number of buffered lines; further ones are dropped, so that a stalled reader of the
/// output blocks nothing.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Writes records of level info and above to standard output as JSON lines, from a separate thread.
pub fn init_logging() {
    let stdout = Stdout::default().with_layout(JsonLayout::default());
    let writer = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(writer))
        .apply();
}
