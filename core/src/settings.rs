//! The settings file of a daemon.

use crate::ini::{Document, IniError};
use crate::names::{FailureDomain, HostName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Host name.
    pub host: HostName,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address to listen on for callers.
    pub caller_address: SocketAddr,
    /// Address to listen on for other daemons.
    pub peer_address: SocketAddr,
    /// Address to listen on for operators.
    pub operator_address: SocketAddr,
    /// SHA-256 digest of the operators' bearer key, in hex.
    pub operator_key_sha256: String,
    /// Address of the platform's log.
    pub log_address: SocketAddr,
    /// Address of the platform's list of hosts.
    pub hosts_address: SocketAddr,
    /// UDP destination of metrics, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Bytes per second that each service's engines may load from the weight store.
    pub weight_bytes_per_second: u64,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// How long callers may cache addresses, in milliseconds.
    pub directory_lifetime_ms: u64,
    /// Number of ledger shards; must be the same on every daemon.
    pub ledger_shards: u32,
    /// How long an idempotency key is remembered, in milliseconds.
    pub key_validity_ms: u64,
    /// Maximum time from claim to dispatch, in milliseconds.
    pub claim_bound_ms: u64,
    /// Maximum open caller connections.
    pub max_connections: usize,
    /// Time limit for a caller to send its headers or body, and to accept more data, in
    /// milliseconds.
    pub caller_silence_ms: u64,
}

impl Settings {
    /// Parses a settings file. Fails on invalid or missing values and unknown sections or keys.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let doc = Document::parse(text)?;
        let known = ["daemon", "platform", "limits"];
        if let Some(section) = doc.sections().keys().find(|s| !known.contains(&s.as_str())) {
            return Err(IniError::UnknownSection {
                section: section.clone(),
                expected: "[daemon], [platform] or [limits]".to_owned(),
            });
        }
        let mut daemon = doc.section("daemon")?;
        let mut platform = doc.section("platform")?;
        let mut limits = match doc.section("limits") {
            Ok(reader) => reader,
            Err(_) => crate::ini::SectionReader::new("limits", &Default::default()),
        };
        let settings = Self {
            host: HostName::from(daemon.name("host")?),
            failure_domain: FailureDomain::from(daemon.name("failure_domain")?),
            caller_address: daemon.required("caller_address")?,
            peer_address: daemon.required("peer_address")?,
            operator_address: daemon.required("operator_address")?,
            operator_key_sha256: daemon.required("operator_key_sha256")?,
            traffic_threads: daemon.number_or("traffic_threads", 2, 1..=256)? as usize,
            log_address: platform.required("log_address")?,
            hosts_address: platform.required("hosts_address")?,
            metrics_address: platform.optional("metrics_address")?,
            weight_bytes_per_second: limits.number_or(
                "weight_bytes_per_second",
                1_000_000_000,
                1..=1_000_000_000_000,
            )?,
            directory_lifetime_ms: limits.number_or(
                "directory_lifetime_ms",
                30_000,
                100..=3_600_000,
            )?,
            ledger_shards: limits.number_or("ledger_shards", 16, 1..=4_096)? as u32,
            key_validity_ms: limits.number_or(
                "key_validity_ms",
                43_200_000,
                10_000..=604_800_000,
            )?,
            claim_bound_ms: limits.number_or("claim_bound_ms", 5_000, 100..=60_000)?,
            max_connections: limits.number_or("max_connections", 10_000, 1..=1_000_000)? as usize,
            caller_silence_ms: limits.number_or("caller_silence_ms", 30_000, 100..=3_600_000)?,
        };
        daemon.finish()?;
        platform.finish()?;
        limits.finish()?;
        Ok(settings)
    }
}
