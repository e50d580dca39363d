//! Decision lines: written to the log, and the latest kept in memory for `explain`.

use magnoliawinch::decision::{Decision, DecisionLine};
use magnoliawinch::names::{HostName, ServiceName};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Maximum number of lines kept in memory.
const MAX_LINES: usize = 20_000;

/// The latest decision lines of this daemon.
#[derive(Debug)]
pub(crate) struct Decisions {
    host: HostName,
    lines: Mutex<VecDeque<DecisionLine>>,
}

impl Decisions {
    pub(crate) fn new(host: &HostName) -> Self {
        Self { host: host.clone(), lines: Mutex::new(VecDeque::new()) }
    }

    /// Logs a decision and keeps its line.
    pub(crate) fn log(&self, request: &str, service: &ServiceName, decision: Decision) {
        let line = DecisionLine {
            request: request.to_owned(),
            service: service.clone(),
            host: self.host.clone(),
            decision,
        };
        line.log();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() >= MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Lines of one request still in memory, oldest first.
    pub(crate) fn for_request(&self, request: &str) -> Vec<DecisionLine> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|line| line.request == request).cloned().collect()
    }
}
