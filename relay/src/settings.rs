//! Settings of a relay daemon.

use magnoliawinch::balance::ModelUse;
use magnoliawinch::capacity::Capacity;
use magnoliawinch::ini::{Document, IniError, SectionReader};
use magnoliawinch::names::{FailureDomain, HostName, OrganisationName};
use magnoliawinch::retry::SharedRetryLimits;
use magnoliawinch::shares::Weights;
use magnoliawinch::time::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Settings of a relay daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Capacity of the host.
    pub capacity: Capacity,
    /// Address that serves callers' requests.
    pub caller_address: SocketAddr,
    /// Address that serves the readiness check.
    pub ready_address: SocketAddr,
    /// Address that serves the directory of hosts.
    pub directory_address: SocketAddr,
    /// Address under which other daemons reach this one.
    pub peer_address: SocketAddr,
    /// Address that serves other daemons; differs from `peer_address` behind a port forwarding.
    pub peer_listen_address: SocketAddr,
    /// Address that serves metrics as text; `None` disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of some daemons; may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// When servers of plain services are chosen by models of their speed.
    pub server_model: ModelUse,
    /// Limits set by the platform.
    pub bounds: Bounds,
    /// How runs are placed on engines.
    pub scheduling: Scheduling,
    /// Weights by which organisations share the engines of a service; `None` if they do not.
    pub sharing: Option<Weights>,
}

/// How runs are placed on engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduling {
    /// Whether prompts are kept away from streams whose pauses they would make too long.
    pub keeps_pauses: bool,
}

/// Limits set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the stop signal and the kill.
    pub grace: Millis,
    /// How long callers may cache addresses from the directory.
    pub directory_lifetime: Millis,
    /// Limits of the retry budget that all daemons share.
    pub retries: SharedRetryLimits,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Memory for all responses of upstreams that are being read, in megabytes.
    pub response_buffer_mb: u64,
    /// Memory for all bodies of callers' requests in progress, in megabytes.
    pub request_buffer_mb: u64,
    /// Longest time for which an upstream gets no requests because it said so in a refusal.
    pub max_retry_after: Millis,
}

impl Bounds {
    /// Memory for all responses of upstreams that are being read, in bytes.
    pub fn response_buffer_bytes(&self) -> usize {
        bytes_of_mb(self.response_buffer_mb)
    }

    /// Memory for all bodies of callers' requests in progress, in bytes.
    pub fn request_buffer_bytes(&self) -> usize {
        bytes_of_mb(self.request_buffer_mb)
    }
}

fn bytes_of_mb(mb: u64) -> usize {
    usize::try_from(mb * BYTES_PER_MB).unwrap_or(usize::MAX)
}

const BYTES_PER_MB: u64 = 1_000_000;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Part of the memory limit that responses being read take by default.
const RESPONSE_BUFFER_DIVISOR: u64 = 4;

/// Part of the memory limit that bodies of requests take by default.
const REQUEST_BUFFER_DIVISOR: u64 = 2;

/// Limits of the memory limit, in megabytes.
const MEMORY_MB: RangeInclusive<u64> = 16..=1_048_576;

/// Limit for the number of cores and for their speed relative to a reference core.
const MAX_CORES: f64 = 1_024.0;

/// Limit for the link of a host, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1_000_000.0;

/// Limits of the weight of an organisation.
const WEIGHT: RangeInclusive<f64> = 0.001..=1_000.0;

/// Limit for durations: one day.
const MAX_SECONDS: f64 = 86_400.0;

const DEFAULT_MAX_RETRY_AFTER_S: f64 = 30.0;

impl Settings {
    /// Parses a settings file; the error names the section or key at fault.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let doc = Document::parse(text)?;
        let known = ["daemon", "host", "platform", "bounds", "scheduling", "sharing"];
        if let Some(section) = doc.sections().keys().find(|s| !known.contains(&s.as_str())) {
            return Err(IniError::UnknownSection {
                section: section.clone(),
                expected: "[daemon], [host], [platform], [bounds], [scheduling] or [sharing]"
                    .to_owned(),
            });
        }
        let mut daemon = doc.section("daemon")?;
        let mut host = doc.section("host")?;
        let mut platform = doc.section("platform")?;
        let mut bounds = doc.section("bounds")?;
        let mut scheduling = match doc.sections().contains_key("scheduling") {
            true => doc.section("scheduling")?,
            false => SectionReader::new("scheduling", &BTreeMap::new()),
        };
        let sharing = match doc.sections().contains_key("sharing") {
            true => sharing(doc.section("sharing")?)?,
            false => None,
        };
        let peer_address = daemon.required("peer_address")?;
        let memory_mb = bounds.number_or("memory_mb", 256, MEMORY_MB)?;
        let response_buffer_mb = memory_mb / RESPONSE_BUFFER_DIVISOR;
        let request_buffer_mb = memory_mb / REQUEST_BUFFER_DIVISOR;
        let settings = Self {
            host: HostName::from(daemon.name("host")?),
            failure_domain: FailureDomain::from(daemon.name("failure_domain")?),
            capacity: capacity(&mut host)?,
            caller_address: daemon.required("caller_address")?,
            ready_address: daemon.required("ready_address")?,
            directory_address: daemon.required("directory_address")?,
            peer_address,
            peer_listen_address: daemon.value_or("peer_listen_address", peer_address)?,
            metrics_address: daemon.optional("metrics_address")?,
            seeds: addresses(&mut daemon, "seeds")?,
            server_model: server_model(&mut daemon)?,
            store_address: platform.required("store_address")?,
            bounds: Bounds {
                grace: seconds(&mut bounds, "grace_s")?,
                directory_lifetime: seconds(&mut bounds, "directory_lifetime_s")?,
                retries: SharedRetryLimits {
                    ratio: non_negative(&mut bounds, "retry_ratio", 1.0)?,
                    slack: non_negative(&mut bounds, "retry_slack", 1e9)?,
                    window: seconds(&mut bounds, "retry_window_s")?,
                },
                memory_mb,
                response_buffer_mb: bounds.number_or(
                    "response_buffer_mb",
                    response_buffer_mb,
                    1..=memory_mb,
                )?,
                request_buffer_mb: bounds.number_or(
                    "request_buffer_mb",
                    request_buffer_mb,
                    1..=memory_mb,
                )?,
                max_retry_after: seconds_or(
                    &mut bounds,
                    "max_retry_after_s",
                    DEFAULT_MAX_RETRY_AFTER_S,
                )?,
            },
            scheduling: Scheduling { keeps_pauses: scheduling.value_or("keep_pauses", false)? },
            sharing,
        };
        scheduling.finish()?;
        daemon.finish()?;
        host.finish()?;
        platform.finish()?;
        bounds.finish()?;
        Ok(settings)
    }
}

fn server_model(section: &mut SectionReader) -> Result<ModelUse, IniError> {
    const KEY: &str = "server_model";
    let text: String = section.value_or(KEY, ModelUse::default().to_string())?;
    text.parse().map_err(|_| section.bad_value(KEY, &text, "expected reported, always or never"))
}

fn addresses(section: &mut SectionReader, key: &str) -> Result<Vec<SocketAddr>, IniError> {
    let text: String = section.value_or(key, String::new())?;
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts
        .map(|part| {
            part.parse().map_err(|_| section.bad_value(key, part, "expected IP:PORT, IP:PORT, …"))
        })
        .collect()
}

/// Weights of organisations, if they share the engines.
fn sharing(mut section: SectionReader) -> Result<Option<Weights>, IniError> {
    let is_on = section.value_or("by_organisation", false)?;
    let text: String = section.value_or("weights", String::new())?;
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let mut weights = BTreeMap::new();
    for part in parts {
        let parsed = part.split_once('=').and_then(|(name, weight)| {
            let weight = weight.trim().parse::<f64>().ok()?;
            let is_valid = !name.trim().is_empty() && WEIGHT.contains(&weight);
            is_valid.then(|| (OrganisationName::new(name.trim()), weight))
        });
        let reason =
            format!("expected NAME=WEIGHT, …, each {} to {}", WEIGHT.start(), WEIGHT.end());
        let (name, weight) = parsed.ok_or_else(|| section.bad_value("weights", part, &reason))?;
        if weights.insert(name, weight).is_some() {
            return Err(section.bad_value("weights", part, "the organisation has two weights"));
        }
    }
    section.finish()?;
    Ok(is_on.then(|| Weights::new(weights)))
}

/// The host's share of processor cores, their speed relative to a reference core, and its link.
fn capacity(section: &mut SectionReader) -> Result<Capacity, IniError> {
    let share = non_negative(section, "processor_share", MAX_CORES)?;
    let speed = non_negative(section, "processor_speed", MAX_CORES)?;
    let link_mbps = non_negative(section, "link_mbps", MAX_LINK_MBPS)?;
    Ok(Capacity::new(share * speed, link_mbps))
}

fn non_negative(section: &mut SectionReader, key: &str, max: f64) -> Result<f64, IniError> {
    let value = section.required(key)?;
    check_range(section, key, value, max)
}

fn check_range(
    section: &mut SectionReader,
    key: &str,
    value: f64,
    max: f64,
) -> Result<f64, IniError> {
    if (0.0..=max).contains(&value) {
        return Ok(value);
    }
    Err(section.bad_value(key, &value.to_string(), &format!("expected 0 to {max}")))
}

fn seconds(section: &mut SectionReader, key: &str) -> Result<Millis, IniError> {
    let value = non_negative(section, key, MAX_SECONDS)?;
    Ok(Millis((value * MILLIS_PER_SECOND) as u64))
}

fn seconds_or(section: &mut SectionReader, key: &str, default: f64) -> Result<Millis, IniError> {
    let value = section.value_or(key, default)?;
    let value = check_range(section, key, value, MAX_SECONDS)?;
    Ok(Millis((value * MILLIS_PER_SECOND) as u64))
}
