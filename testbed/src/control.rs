//! Measures what control costs on real daemons over loopback.

mod process;

use crate::bed::{Bed, BedError, BedOptions, CATALOGUE_STREAM};
use crate::deployment::{GUIDANCE, ORGANISATIONS, WALKTHROUGH, key_of};
use crate::figures::Latencies;
use crate::load::{self, LoadOptions, Target};
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

/// Daemons of one failure domain before another one is used.
const DAEMONS_PER_DOMAIN: usize = 12;

/// Longest time until all daemons are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// Time between two looks at the daemons.
const POLL: Duration = Duration::from_millis(2);

/// Longest time for a change to be in force, and for owners to converge.
const CONVERGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Least time for daemons to settle after their start.
const SETTLE: Duration = Duration::from_secs(4);

/// Time added for each daemon, as the news of all starts spread.
const SETTLE_EACH: Duration = Duration::from_millis(150);

/// Tokens of each answer of a busy run.
const BUSY_LENGTH: u32 = 64;

/// Step of the engines of a busy run, in milliseconds.
const BUSY_STEP_MS: f64 = 20.0;

/// Memory of the engines of a busy run, in tokens.
const BUSY_MEMORY: u64 = 10_000_000;

/// What to measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlOptions {
    /// Daemons.
    pub daemons: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Organisations.
    pub organisations: usize,
    /// Changes of the configuration a second.
    pub changes_a_second: f64,
    /// Requests a second over all daemons.
    pub requests_a_second: f64,
    /// How long to measure, in seconds.
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

/// What control cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlFigures {
    /// Processor time of a daemon's control thread as a part of a core.
    pub control_core: f64,
    /// Processor time of a daemon's traffic threads as a part of a core.
    pub traffic_core: f64,
    /// Resident memory that a daemon added, in bytes, with its part of the measuring process.
    pub memory_bytes: f64,
    /// Bytes that crossed the loopback a second, for each daemon; headers included.
    pub bytes_per_second: f64,
    /// Time until a change was in force on all daemons.
    pub in_force_ms_p50: f64,
    /// The same.
    pub in_force_ms_p99: f64,
    /// The same.
    pub in_force_ms_max: f64,
    /// Changes that were followed.
    pub changes: u64,
    /// Appends to the log a second.
    pub log_appends_per_second: f64,
    /// Reads of the log a second.
    pub log_reads_per_second: f64,
    /// Time until every daemon knew of all others after their start.
    pub ready_ms: f64,
    /// Time until every daemon knew of a killed one.
    pub converge_ms: f64,
    /// Part of the upstreams whose admission moved with it.
    pub owners_moved: f64,
    /// Part that would have moved at best.
    pub owners_of_killed: f64,
    /// Whole answers a second of a busy run.
    pub answers_per_second: f64,
}

/// One measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlReport {
    /// What was measured.
    pub options: ControlOptions,
    /// The figures.
    pub figures: ControlFigures,
}

fn bed_options(options: &ControlOptions) -> BedOptions {
    let mut bed = BedOptions {
        daemons: options.daemons,
        engines: 4,
        services: 1,
        upstreams: options.upstreams,
        failure_domains: (options.daemons / DAEMONS_PER_DOMAIN).clamp(3, MAX_FAILURE_DOMAINS),
        more_organisations: options.organisations.saturating_sub(ORGANISATIONS.len()),
        directory_lifetime: Duration::from_secs(30),
        ..BedOptions::default()
    };
    if options.requests_a_second > 0.0 {
        bed.engines = options.upstreams.min(16);
        bed.model.base_ms = BUSY_STEP_MS;
        bed.model.answer_ms = 0.0;
        bed.model.context_ms = 0.0;
        bed.model.memory_tokens = BUSY_MEMORY;
        bed.model.max_running = 4_096;
    }
    bed
}

/// Starts the daemons, measures them, and kills one.
pub async fn run(options: &ControlOptions) -> Result<ControlReport, BedError> {
    let mut bed = Bed::start_platform(bed_options(options)).await?;
    bed.publish_services();
    let memory_before = process::resident_bytes();
    let started = Instant::now();
    for place in 0..options.daemons {
        bed.start_daemon(place).await?;
    }
    bed.wait_ready(READY_TIMEOUT).await?;
    let ready_ms = started.elapsed().as_secs_f64() * 1_000.0;
    sleep(SETTLE + SETTLE_EACH * options.daemons as u32).await;
    let mut figures = measure(&bed, options).await;
    figures.ready_ms = ready_ms;
    let memory = process::resident_bytes().saturating_sub(memory_before);
    figures.memory_bytes = memory as f64 / options.daemons as f64;
    if options.daemons > 1 {
        lose_one(&mut bed, options, &mut figures).await;
    }
    Ok(ControlReport { options: options.clone(), figures })
}

async fn measure(bed: &Bed, options: &ControlOptions) -> ControlFigures {
    let span = Duration::from_secs(options.seconds);
    let before = Usage::now();
    let (appends, reads) = bed.log.counts();
    let started = Instant::now();
    let (in_force, answers) = tokio::join!(
        change_configuration(bed, options, started + span),
        send_requests(bed, options, span)
    );
    sleep_until(started + span).await;
    let elapsed = started.elapsed().as_secs_f64();
    let used = Usage::now().since(&before);
    let (appends_after, reads_after) = bed.log.counts();
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
        answers_per_second: answers as f64 / elapsed,
        ..ControlFigures::default()
    }
}

/// Appends changes at their rate and waits until each is in force everywhere.
async fn change_configuration(bed: &Bed, options: &ControlOptions, until: Instant) -> Latencies {
    let mut in_force = Latencies::new();
    if options.changes_a_second <= 0.0 {
        return in_force;
    }
    let gap = Duration::from_secs_f64(1.0 / options.changes_a_second);
    let mut due = Instant::now();
    let mut base = Offset(1);
    let mut open: Vec<(u64, Instant)> = Vec::new();
    let mut number = 0;
    while Instant::now() < until || !open.is_empty() {
        if Instant::now() >= due && Instant::now() < until {
            number += 1;
            let appended_at = Instant::now();
            base = append_change(bed, base, number);
            open.push((base.0, appended_at));
            due += gap;
        }
        let through = bed.daemons().map(Daemon::configuration_offset).min().unwrap_or(0);
        for (_, at) in open.extract_if(.., |(offset, _)| *offset <= through) {
            in_force.add(at.elapsed());
        }
        if Instant::now() >= until + CONVERGE_TIMEOUT {
            break;
        }
        sleep(POLL).await;
    }
    in_force
}

/// Changes the limits of the generation service by a record of about 1.2 KB.
fn append_change(bed: &Bed, base: Offset, number: u64) -> Offset {
    const PADDING_BYTES: usize = 900;
    let limits: Keys = [
        ("queue_length".to_owned(), (500 + number % 100).to_string()),
        ("silence_ms".to_owned(), "1500".to_owned()),
        ("first_token_ms".to_owned(), "5000".to_owned()),
    ]
    .into();
    let change = Change {
        service: ServiceName::new(GUIDANCE),
        base,
        nonce: 1_000 + number,
        author: "x".repeat(PADDING_BYTES),
        put: BTreeMap::from([("limits".to_owned(), limits)]),
        remove: Vec::new(),
        withdraw: false,
    };
    let data = serde_json::to_string(&Record::Change(change)).unwrap_or_default();
    bed.log.append(CATALOGUE_STREAM, &data)
}

async fn send_requests(bed: &Bed, options: &ControlOptions, span: Duration) -> u64 {
    if options.requests_a_second <= 0.0 {
        return 0;
    }
    let load = LoadOptions { rate: options.requests_a_second, span, length: BUSY_LENGTH, seed: 1 };
    let target = Target::Daemons {
        hosts: bed.caller_addresses(),
        key: key_of(ORGANISATIONS[0]),
        service: GUIDANCE.to_owned(),
        kind: WALKTHROUGH.to_owned(),
    };
    load::run(&load, &target).await.whole
}

fn owners(bed: &Bed, options: &ControlOptions) -> Vec<Option<HostName>> {
    let Some(daemon) = bed.daemons().last() else {
        return Vec::new();
    };
    let owner = |place| daemon.admission_owner(GUIDANCE, &format!("guidance-{place}"));
    (0..options.upstreams).map(owner).collect()
}

/// Kills the first daemon and waits until all others know.
async fn lose_one(bed: &mut Bed, options: &ControlOptions, figures: &mut ControlFigures) {
    let killed = bed.settings(0).host.clone();
    let before = owners(bed, options);
    bed.kill_daemon(0);
    let started = Instant::now();
    let left = options.daemons - 1;
    while started.elapsed() < CONVERGE_TIMEOUT && bed.daemons().any(|d| d.member_count() != left) {
        sleep(POLL).await;
    }
    figures.converge_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let after = owners(bed, options);
    let part = |count: usize| count as f64 / options.upstreams.max(1) as f64;
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new).count();
    let lost = before.iter().filter(|owner| owner.as_ref() == Some(&killed)).count();
    figures.owners_moved = part(moved);
    figures.owners_of_killed = part(lost);
}
