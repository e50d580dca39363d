//! Counts lost and late requests by cause, from the daemons' logs.

use super::{CommandError, read_file};
use crate::options::LostOptions;
use magnoliawinch_telemetry::lost::{LogLine, losses};

pub(crate) fn run(options: &LostOptions) -> Result<(), CommandError> {
    if options.files.is_empty() {
        return Err(CommandError::MissingArgument("FILE"));
    }
    let mut lines = Vec::new();
    for path in &options.files {
        lines.extend(read_file(path)?.lines().filter_map(LogLine::parse));
    }
    match &options.request {
        Some(request) => show_request(&mut lines, request),
        None => show_causes(&lines),
    }
    Ok(())
}

fn show_request(lines: &mut Vec<LogLine>, request: &str) {
    lines.retain(|line| line.request() == Some(request));
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    for line in lines {
        let fields: Vec<_> = line.kvs.iter().map(|(key, value)| format!("{key}={value}")).collect();
        println!("{} {} {}", line.timestamp, line.message, fields.join(" "));
    }
}

fn show_causes(lines: &[LogLine]) {
    let mut causes: Vec<_> = losses(lines).into_iter().collect();
    causes.sort_by_key(|(_, losses)| std::cmp::Reverse(losses.count));
    for (cause, losses) in causes {
        println!("{:>6}  {cause}  ({})", losses.count, losses.ids.join(", "));
    }
}
