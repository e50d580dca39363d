//! Stand-ins for the external systems on the addresses in the sample files, to try the daemons
//! without a platform.

use magnoliawinch::settings::Settings;
use magnoliawinch_fakes::engine::{FakeEngine, ModelParameters};
use magnoliawinch_fakes::hosts::FakeHosts;
use magnoliawinch_fakes::log::FakeLog;
use magnoliawinch_fakes::service::{FakeService, RunCounts};
use magnoliawinch_hosts::{DaemonAddresses, Host, HostState};
use std::future::pending;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;

/// Ports of the engines in the sample service files.
const ENGINE_PORTS: [u16; 3] = [7_011, 7_012, 7_013];

/// Ports of the plain service's upstreams in the sample service files.
const PLAIN_UPSTREAM_PORTS: [u16; 2] = [7_021, 7_022];

/// Lag of the engines' load reports.
const REPORT_LAG: Duration = Duration::from_millis(500);

async fn listen(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await
}

fn host_entry(settings: &Settings) -> Host {
    Host {
        host: settings.host.clone(),
        ip: settings.peer_address.ip(),
        failure_domain: settings.failure_domain.clone(),
        state: HostState::Live,
        incarnation: 1,
        daemon: Some(DaemonAddresses {
            peer: settings.peer_address,
            caller: settings.caller_address,
        }),
    }
}

/// Runs a log, a list of the hosts in `daemon_settings`, three engines and two upstreams of a plain
/// service until the process ends. The addresses of the log and the list are those in the first
/// settings. Fails if `daemon_settings` is empty or an address is not available.
pub async fn run(daemon_settings: &[Settings]) -> io::Result<()> {
    let from_first = |field: fn(&Settings) -> SocketAddr| daemon_settings.first().map(field);
    let log_address = from_first(|settings| settings.log_address);
    let hosts_address = from_first(|settings| settings.hosts_address);
    let (Some(log_address), Some(hosts_address)) = (log_address, hosts_address) else {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "no settings file was given"));
    };
    let _log = FakeLog::start(TcpListener::bind(log_address).await?)?;
    let hosts = daemon_settings.iter().map(host_entry).collect();
    let _host_list =
        FakeHosts::start(TcpListener::bind(hosts_address).await?, hosts, Duration::ZERO)?;
    let mut engines = Vec::new();
    for port in ENGINE_PORTS {
        let listener = listen(port).await?;
        engines.push(FakeEngine::start(listener, ModelParameters::default(), 1, REPORT_LAG)?);
    }
    let counts = RunCounts::default();
    let mut plain_upstreams = Vec::new();
    for port in PLAIN_UPSTREAM_PORTS {
        plain_upstreams.push(FakeService::start(listen(port).await?, counts.clone())?);
    }
    pending().await
}
