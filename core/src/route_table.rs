//! Which service a caller's request goes to, and under which bounds.
//!
//! Operators publish the whole table under a version; a daemon only ever moves to a higher one.

use crate::names::{OrganisationName, ServiceName};
use crate::rendezvous;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use strum::{Display, EnumString};

/// How often a request may run, and how its answer arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Delivery {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
    /// Runs at most once; the answer is a stream of numbered events.
    Stream,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's destinations.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name; requests of one route count as one kind.
    pub name: String,
    /// The host header of its requests.
    pub host: String,
    /// What their paths begin with.
    pub path_prefix: String,
    /// Where they go.
    pub destinations: Vec<Destination>,
    /// How often they may run.
    pub delivery: Delivery,
    /// Longest time until the final answer.
    pub timeout: Millis,
    /// Latency objective: to the answer, or to the first event of a stream.
    pub objective: Millis,
    /// Longest pause between two events of a stream that is on time.
    pub max_pause: Option<Millis>,
    /// Upstreams that one attempt may run on.
    pub max_upstreams: u32,
    /// Rank among the requests of a service; 0 goes first.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// What is known of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Bytes of memory for each token.
    pub bytes_per_token: u64,
    /// Speed of the link over which memory is copied, in bits a millisecond.
    pub link_bits_per_ms: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Whether a run can be moved to another engine.
    pub can_move: bool,
    /// Whether a run's memory can be copied to another engine as it grows.
    pub can_back_up: bool,
}

impl EngineConfig {
    /// Time to copy `tokens` over one link.
    pub fn copy_time(&self, tokens: u64) -> Millis {
        const BITS_PER_BYTE: u64 = 8;
        let bits = tokens * self.bytes_per_token * BITS_PER_BYTE;
        Millis(bits.div_ceil(self.link_bits_per_ms.max(1)))
    }
}

/// A service as operators describe it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// The service.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all daemons.
    pub max_connections: u32,
    /// Present when its upstreams are model engines.
    pub engine: Option<EngineConfig>,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation.
    pub name: OrganisationName,
    /// Its bearer keys.
    pub keys: Vec<String>,
    /// Goes before the priority of the route.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Size of the headers, in bytes.
    pub header_bytes: usize,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Time for the headers.
    pub header_timeout: Millis,
    /// Time that a connection may stay idle.
    pub idle_timeout: Millis,
}

/// The configuration in full, as one version of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<ServiceConfig>,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// Organisations; with none, requests need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// A configuration with its look-ups.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    /// By host; the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    organisations: HashMap<String, Arc<Organisation>>,
    services: HashMap<ServiceName, ServiceConfig>,
}

impl RouteTable {
    /// Builds the look-ups of `configuration`.
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

    /// The version.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// The configuration in full.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Bounds for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.configuration.limits
    }

    /// The route of a request: of those for `host`, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let list = self.routes.get(host)?;
        list.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key, unless their route is anonymous.
    pub fn requires_keys(&self) -> bool {
        self.configuration.organisations.is_some()
    }

    /// The organisation that holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(key)
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Services whose upstreams are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServiceName, EngineConfig)> {
        self.services.iter().filter_map(|(name, config)| Some((name, config.engine?)))
    }
}

impl Route {
    /// The service for the attempt `attempt`: the same on every daemon.
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
