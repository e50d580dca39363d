//! Client of the platform's list of live and leaving hosts.
//!
//! `GET /hosts` answers the whole list as JSON. The list lags behind reality, so it is evidence
//! among other evidence.

use hyper::Method;
use magnoliawinch::names::{FailureDomain, HostName};
use magnoliawinch_http::{Client, SendError};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use strum::{Display, EnumString};

/// Time for an answer.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 8_388_608;

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host will be taken away.
    Leaving,
}

/// The addresses of a daemon on an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// For other daemons.
    pub peer: SocketAddr,
    /// For callers.
    pub caller: SocketAddr,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: HostName,
    /// Its address.
    pub ip: IpAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its state.
    pub state: HostState,
    /// When it was started; a replaced host has a higher number.
    pub incarnation: u64,
    /// Present on entry hosts.
    pub daemon: Option<DaemonAddresses>,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts in no order.
    pub hosts: Vec<Host>,
}

/// A client of the list.
#[derive(Clone, Debug)]
pub struct HostsClient {
    client: Client,
    address: SocketAddr,
}

impl HostsClient {
    /// A client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), address }
    }

    /// Reads the list.
    pub async fn list(&self) -> Result<HostList, SendError> {
        self.client
            .json(self.address, Method::GET, "/hosts", None::<&()>, LIST_TIMEOUT, MAX_LIST_BYTES)
            .await
    }
}
