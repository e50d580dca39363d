//! Logs as JSON lines on standard output.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::LevelFilter;

/// Sends log records to standard output as JSON lines.
pub fn init_logging() {
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(logforth::record::Level::Info))
                .append(append::Stdout::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
