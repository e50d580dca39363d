//! Routing of requests to services, and the limits that apply to them.
//!
//! Operators publish the complete table under a version; a daemon only ever moves to a higher one.

use crate::names::{OrganisationName, ServiceName};
use crate::rendezvous;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use strum::{Display, EnumString};

/// How often a request may run, and how its answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Delivery {
    /// May run more than once.
    Idempotent,
    /// Answers with a stream of numbered events, and runs at most once.
    Stream,
    /// Runs at most once per attempt of the caller. So do kinds that newer builds have added, as every
    /// kind allows that.
    #[serde(other)]
    AtMostOnce,
}

/// Service with a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Maps requests by host header and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route; requests of one route count as one kind.
    pub name: String,
    /// Host header of its requests.
    pub host: String,
    /// Prefix of their paths.
    pub path_prefix: String,
    /// Services that share the requests.
    pub destinations: Vec<Destination>,
    /// How often requests may run, and how answers are delivered.
    pub delivery: Delivery,
    /// Time limit for the complete answer.
    pub timeout: Millis,
    /// Latency objective: to the answer, or to a stream's first event.
    pub objective: Millis,
    /// Longest pause between events of a stream that is on time.
    pub max_pause: Option<Millis>,
    /// Maximum upstreams that one attempt may run on.
    pub max_upstreams: u32,
    /// Priority within a service; 0 is served first.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// Properties of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that fit into the engine's memory.
    pub memory_tokens: u64,
    /// Memory per token, in bytes.
    pub bytes_per_token: u64,
    /// Bandwidth of the link for memory copies, in bits per millisecond.
    pub link_bits_per_ms: u64,
    /// Tokens per stream event.
    pub tokens_per_event: u32,
    /// Whether runs can move to another engine.
    pub can_move: bool,
    /// Whether a run's memory can be copied elsewhere while it grows.
    pub can_back_up: bool,
}

impl EngineConfig {
    /// Time to copy the memory of `tokens` over one link.
    pub fn copy_time(&self, tokens: u64) -> Millis {
        const BITS_PER_BYTE: u64 = 8;
        let bits = tokens * self.bytes_per_token * BITS_PER_BYTE;
        Millis(bits.div_ceil(self.link_bits_per_ms.max(1)))
    }
}

/// A service as configured by operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// The service.
    pub name: ServiceName,
    /// Connections per upstream, from all daemons together.
    pub max_connections: u32,
    /// Path of the upstreams' health checks, if they have one.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Present if the upstreams are model engines.
    pub engine: Option<EngineConfig>,
}

/// An organisation and its bearer keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation.
    pub name: OrganisationName,
    /// Any of these identifies the organisation.
    pub keys: Vec<String>,
    /// Overrides the route's priority.
    pub priority: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum header size, in bytes.
    pub header_bytes: usize,
    /// Maximum body size, in bytes.
    pub body_bytes: usize,
    /// Time limit for complete headers.
    pub header_timeout: Millis,
    /// Time limit for an idle connection.
    pub idle_timeout: Millis,
}

/// One version of the complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<ServiceConfig>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Organisations; when absent, requests need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// A configuration with lookup tables.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    /// Routes by host header, longest path prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    organisations: HashMap<String, Arc<Organisation>>,
    services: HashMap<ServiceName, ServiceConfig>,
}

impl RouteTable {
    /// Builds the lookup tables of `configuration`.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut organisations = HashMap::new();
        for organisation in configuration.organisations.iter().flatten() {
            let organisation = Arc::new(organisation.clone());
            for key in &organisation.keys {
                organisations.insert(key.clone(), Arc::clone(&organisation));
            }
        }
        let services = configuration.services.iter().map(|s| (s.name.clone(), s.clone())).collect();
        Self { configuration, routes, organisations, services }
    }

    /// Configuration version.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// The complete configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Limits for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.configuration.limits
    }

    /// The route of a request: among those for `host`, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let list = self.routes.get(host)?;
        list.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key unless their route is anonymous.
    pub fn requires_keys(&self) -> bool {
        self.configuration.organisations.is_some()
    }

    /// Organisation that holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(key)
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Services whose upstreams are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServiceName, EngineConfig)> {
        self.services.iter().filter_map(|(name, config)| Some((name, config.engine?)))
    }
}

impl Route {
    /// Service for an attempt ID, the same on every daemon; `None` without destinations.
    pub fn destination(&self, attempt: &str) -> Option<&ServiceName> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        if total == 0 {
            return self.destinations.first().map(|d| &d.service);
        }
        let mut point = rendezvous::hash(attempt) % total;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if point < weight {
                return Some(&destination.service);
            }
            point -= weight;
        }
        None
    }
}
