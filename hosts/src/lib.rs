//! Client of the platform's list of live and leaving hosts.
//!
//! `GET /hosts` returns the whole list as JSON. It lags behind the hosts' actual state, so it must
//! be combined with other evidence.

use hyper::Method;
use magnoliawinch::names::{FailureDomain, HostName};
use magnoliawinch_http::{Client, SendError};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use strum::{Display, EnumString};

const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);

const MAX_LIST_BYTES: usize = 8_388_608;

/// State of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The host will be removed.
    Leaving,
}

/// Addresses of an entry host's daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: HostName,
    /// IP address of the host.
    pub ip: IpAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// State of the host.
    pub state: HostState,
    /// Incarnation number of the host; a host that replaces it has a higher one.
    pub incarnation: u64,
    /// Addresses of the daemon; present on entry hosts only.
    pub daemon: Option<DaemonAddresses>,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts, in no particular order.
    pub hosts: Vec<Host>,
}

/// Client of the host list.
#[derive(Clone, Debug)]
pub struct HostsClient {
    client: Client,
    address: SocketAddr,
}

impl HostsClient {
    /// Client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), address }
    }

    /// Fetches the whole list.
    pub async fn list(&self) -> Result<HostList, SendError> {
        self.client
            .json(self.address, Method::GET, "/hosts", None::<&()>, LIST_TIMEOUT, MAX_LIST_BYTES)
            .await
    }
}
