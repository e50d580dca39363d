//! Resource usage of this process, by kind of thread.

use std::fs;

const NANOS_PER_SECOND: f64 = 1e9;

const PAGE_BYTES: u64 = 4_096;

/// Accumulated CPU time and loopback traffic.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    pub(super) control_seconds: f64,
    pub(super) traffic_seconds: f64,
    pub(super) loopback_bytes: u64,
}

impl Usage {
    pub(super) fn now() -> Self {
        let mut usage = Self { loopback_bytes: loopback_bytes(), ..Self::default() };
        let Ok(tasks) = fs::read_dir("/proc/self/task") else {
            return usage;
        };
        for task in tasks.flatten() {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            let schedstat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let nanos: f64 =
                schedstat.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0.0);
            match name.trim() {
                "control" => usage.control_seconds += nanos / NANOS_PER_SECOND,
                "traffic" => usage.traffic_seconds += nanos / NANOS_PER_SECOND,
                _ => {}
            }
        }
        usage
    }

    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            control_seconds: self.control_seconds - earlier.control_seconds,
            traffic_seconds: self.traffic_seconds - earlier.traffic_seconds,
            loopback_bytes: self.loopback_bytes.saturating_sub(earlier.loopback_bytes),
        }
    }
}

fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}

/// Resident memory of this process.
pub(super) fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
