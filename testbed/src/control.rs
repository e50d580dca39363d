//! Measures the cost of the control plane on real daemons over loopback.

mod process;

use crate::deployment::{GENERATION_SERVICE, ORGANISATIONS, STREAM_KIND, bearer_key};
use crate::figures::Latencies;
use crate::load::{self, LoadOptions, Target};
use crate::testbed::{CATALOGUE_STREAM, Testbed, TestbedError, TestbedOptions};
use magnoliawinch::catalogue::{Change, Offset, Record};
use magnoliawinch::ini::Keys;
use magnoliawinch::names::{HostName, ServiceName};
use magnoliawinchd::Daemon;
use process::Usage;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Failure domains at the target size.
const MAX_FAILURE_DOMAINS: usize = 15;

/// Daemons per failure domain, from which the number of domains is derived.
const DAEMONS_PER_DOMAIN: usize = 12;

/// Time limit for all daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval between checks of the daemons' state.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time limit for a change to be in force, and for daemons to detect a killed one.
const CONVERGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum time for daemons to settle after their start.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Additional settling time per daemon, while the starts of all daemons are gossiped.
const SETTLE_TIME_PER_DAEMON: Duration = Duration::from_millis(150);

/// Tokens of each response in a run with requests.
const LOAD_RESPONSE_TOKENS: u32 = 64;

/// Step time of the engines in a run with requests.
const LOAD_STEP_MS: f64 = 20.0;

/// Memory of each engine in a run with requests.
const LOAD_MEMORY_TOKENS: u64 = 10_000_000;

/// The deployment and load to measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlOptions {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of upstreams of the generation service.
    pub upstreams: usize,
    /// Number of organisations; at least three are used.
    pub organisations: usize,
    /// Configuration changes per second.
    pub changes_a_second: f64,
    /// Requests per second over all daemons.
    pub requests_a_second: f64,
    /// Duration of the measurement, in seconds.
    pub seconds: u64,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            daemons: 9,
            upstreams: 14,
            organisations: 10,
            changes_a_second: 0.9,
            requests_a_second: 0.0,
            seconds: 10,
        }
    }
}

/// The measured cost of the control plane.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlFigures {
    /// CPU time of a daemon's control thread, in cores.
    pub control_core: f64,
    /// CPU time of a daemon's traffic threads, in cores.
    pub traffic_core: f64,
    /// Resident memory per daemon, in bytes; includes its share of the measuring process's growth.
    pub memory_bytes: f64,
    /// Loopback traffic per daemon, in bytes per second, including headers.
    pub bytes_per_second: f64,
    /// Median time until a change was in force on all daemons.
    pub in_force_ms_p50: f64,
    /// 99th percentile of that time.
    pub in_force_ms_p99: f64,
    /// Maximum of that time.
    pub in_force_ms_max: f64,
    /// Number of changes that were observed in force.
    pub changes: u64,
    /// Appends to the log per second.
    pub log_appends_per_second: f64,
    /// Reads of the log per second.
    pub log_reads_per_second: f64,
    /// Time from the start of the first daemon until every daemon knew all others.
    pub ready_ms: f64,
    /// Time until every daemon detected a killed one.
    pub converge_ms: f64,
    /// Fraction of the upstreams whose admission owner changed when a daemon was killed.
    pub owners_moved: f64,
    /// Fraction of the upstreams whose admission the killed daemon owned, the minimum to move.
    pub owners_of_killed: f64,
    /// Complete responses per second in a run with requests.
    pub answers_per_second: f64,
}

/// A measurement and its options.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlReport {
    /// The options of the measurement.
    pub options: ControlOptions,
    /// The results.
    pub figures: ControlFigures,
}

fn testbed_options(options: &ControlOptions) -> TestbedOptions {
    let mut testbed = TestbedOptions {
        daemons: options.daemons,
        engines: 4,
        plain_upstreams: 1,
        generation_upstreams: options.upstreams,
        failure_domains: (options.daemons / DAEMONS_PER_DOMAIN).clamp(3, MAX_FAILURE_DOMAINS),
        extra_organisations: options.organisations.saturating_sub(ORGANISATIONS.len()),
        directory_lifetime: Duration::from_secs(30),
        ..TestbedOptions::default()
    };
    if options.requests_a_second > 0.0 {
        testbed.engines = options.upstreams.min(16);
        testbed.model.base_ms = LOAD_STEP_MS;
        testbed.model.answer_ms = 0.0;
        testbed.model.context_ms = 0.0;
        testbed.model.memory_tokens = LOAD_MEMORY_TOKENS;
        testbed.model.max_running = 4_096;
    }
    testbed
}

/// Starts the daemons, measures them, then kills one and measures how the others react.
pub async fn run(options: &ControlOptions) -> Result<ControlReport, TestbedError> {
    let mut testbed = Testbed::start_platform(testbed_options(options)).await?;
    testbed.publish_services();
    let memory_before = process::resident_bytes();
    let started = Instant::now();
    for index in 0..options.daemons {
        testbed.start_daemon(index).await?;
    }
    testbed.wait_ready(READY_TIMEOUT).await?;
    let ready_ms = started.elapsed().as_secs_f64() * 1_000.0;
    sleep(SETTLE_TIME + SETTLE_TIME_PER_DAEMON * options.daemons as u32).await;
    let mut figures = measure(&testbed, options).await;
    figures.ready_ms = ready_ms;
    let memory = process::resident_bytes().saturating_sub(memory_before);
    figures.memory_bytes = memory as f64 / options.daemons as f64;
    if options.daemons > 1 {
        kill_first_daemon(&mut testbed, options, &mut figures).await;
    }
    Ok(ControlReport { options: options.clone(), figures })
}

async fn measure(testbed: &Testbed, options: &ControlOptions) -> ControlFigures {
    let duration = Duration::from_secs(options.seconds);
    let before = Usage::now();
    let (appends, reads) = testbed.log.append_and_read_counts();
    let started = Instant::now();
    let (in_force, responses) = tokio::join!(
        change_configuration(testbed, options, started + duration),
        send_requests(testbed, options, duration)
    );
    sleep_until(started + duration).await;
    let elapsed = started.elapsed().as_secs_f64();
    let used = Usage::now().since(&before);
    let (appends_after, reads_after) = testbed.log.append_and_read_counts();
    let daemons = options.daemons as f64;
    let max = in_force.quantile_ms(1.0);
    ControlFigures {
        control_core: used.control_seconds / elapsed / daemons,
        traffic_core: used.traffic_seconds / elapsed / daemons,
        bytes_per_second: used.loopback_bytes as f64 / elapsed / daemons,
        in_force_ms_p50: in_force.quantile_ms(0.5),
        in_force_ms_p99: in_force.quantile_ms(0.99),
        in_force_ms_max: max,
        changes: in_force.len(),
        log_appends_per_second: (appends_after - appends) as f64 / elapsed,
        log_reads_per_second: (reads_after - reads) as f64 / elapsed,
        answers_per_second: responses as f64 / elapsed,
        ..ControlFigures::default()
    }
}

/// Appends changes at the configured rate and waits until each is in force on every daemon.
/// Returns the times that this took.
async fn change_configuration(
    testbed: &Testbed,
    options: &ControlOptions,
    until: Instant,
) -> Latencies {
    let mut in_force = Latencies::new();
    if options.changes_a_second <= 0.0 {
        return in_force;
    }
    let interval = Duration::from_secs_f64(1.0 / options.changes_a_second);
    let mut due = Instant::now();
    let mut base = Offset(1);
    let mut pending: Vec<(u64, Instant)> = Vec::new();
    let mut number = 0;
    while Instant::now() < until || !pending.is_empty() {
        if Instant::now() >= due && Instant::now() < until {
            number += 1;
            let appended_at = Instant::now();
            base = append_change(testbed, base, number);
            pending.push((base.0, appended_at));
            due += interval;
        }
        let min_offset = testbed.daemons().map(Daemon::configuration_offset).min().unwrap_or(0);
        for (_, at) in pending.extract_if(.., |(offset, _)| *offset <= min_offset) {
            in_force.record(at.elapsed());
        }
        if Instant::now() >= until + CONVERGE_TIMEOUT {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    in_force
}

/// Appends a change of the generation service's limits, a record of about 1.2 KB.
fn append_change(testbed: &Testbed, base: Offset, number: u64) -> Offset {
    const PADDING_BYTES: usize = 900;
    let limits: Keys = [
        ("queue_length".to_owned(), (500 + number % 100).to_string()),
        ("silence_ms".to_owned(), "1500".to_owned()),
        ("first_token_ms".to_owned(), "5000".to_owned()),
    ]
    .into();
    let change = Change {
        service: ServiceName::new(GENERATION_SERVICE),
        base,
        nonce: 1_000 + number,
        author: "x".repeat(PADDING_BYTES),
        put: BTreeMap::from([("limits".to_owned(), limits)]),
        remove: Vec::new(),
        withdraw: false,
    };
    let data = serde_json::to_string(&Record::Change(change)).unwrap_or_default();
    testbed.log.append(CATALOGUE_STREAM, &data)
}

async fn send_requests(testbed: &Testbed, options: &ControlOptions, duration: Duration) -> u64 {
    if options.requests_a_second <= 0.0 {
        return 0;
    }
    let load = LoadOptions {
        rate: options.requests_a_second,
        duration,
        length: LOAD_RESPONSE_TOKENS,
        seed: 1,
    };
    let target = Target::Daemons {
        hosts: testbed.caller_addresses(),
        key: bearer_key(ORGANISATIONS[0]),
        service: GENERATION_SERVICE.to_owned(),
        kind: STREAM_KIND.to_owned(),
    };
    load::run(&load, &target).await.whole
}

fn admission_owners(testbed: &Testbed, options: &ControlOptions) -> Vec<Option<HostName>> {
    let Some(daemon) = testbed.daemons().last() else {
        return Vec::new();
    };
    let owner = |index| daemon.admission_owner(GENERATION_SERVICE, &format!("guidance-{index}"));
    (0..options.upstreams).map(owner).collect()
}

/// Kills the first daemon and waits until all others have detected it.
async fn kill_first_daemon(
    testbed: &mut Testbed,
    options: &ControlOptions,
    figures: &mut ControlFigures,
) {
    let killed = testbed.settings(0).host.clone();
    let before = admission_owners(testbed, options);
    testbed.kill_daemon(0);
    let started = Instant::now();
    let remaining = options.daemons - 1;
    while started.elapsed() < CONVERGE_TIMEOUT
        && testbed.daemons().any(|d| d.member_count() != remaining)
    {
        sleep(POLL_INTERVAL).await;
    }
    figures.converge_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let after = admission_owners(testbed, options);
    let fraction = |count: usize| count as f64 / options.upstreams.max(1) as f64;
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new).count();
    let owned_by_killed = before.iter().filter(|owner| owner.as_ref() == Some(&killed)).count();
    figures.owners_moved = fraction(moved);
    figures.owners_of_killed = fraction(owned_by_killed);
}
