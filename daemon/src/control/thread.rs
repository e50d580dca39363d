//! CPU time of the control thread.

/// CPU time used by the calling thread, in milliseconds; 0 if `/proc` does not provide it.
pub(crate) fn cpu_ms() -> u64 {
    const NANOS_PER_MILLI: u64 = 1_000_000;
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos: u64 = stat.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0);
    nanos / NANOS_PER_MILLI
}
