//! Starts and stops the stand-ins and the daemons.

use crate::deployment::{failure_domain, generation_service_file, plain_service_file};
use magnoliawinch::catalogue::{Change, Offset, Record};
use magnoliawinch::ini::Document;
use magnoliawinch::names::{FailureDomain, HostName, ServiceName};
use magnoliawinch::service_file::key_digest;
use magnoliawinch::settings::Settings;
use magnoliawinch_fakes::engine::{FakeEngine, ModelParameters};
use magnoliawinch_fakes::hosts::FakeHosts;
use magnoliawinch_fakes::log::FakeLog;
use magnoliawinch_fakes::service::{FakeService, RunCounts};
use magnoliawinch_hosts::{DaemonAddresses, Host, HostState};
use magnoliawinchd::{Daemon, StartError};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// The operators' bearer key on every daemon of a testbed.
pub const OPERATOR_KEY: &str = "operator-key";

/// The log stream that holds the configuration.
pub const CATALOGUE_STREAM: &str = "catalogue";

/// How long the start of a daemon is retried while its killed predecessor holds its addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(5);

const ADDRESS_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a testbed failed to start.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A socket, thread or runtime could not be created.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A daemon failed to start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The daemons were not ready in time.
    #[error("only {ready} of {all} daemons were ready after {after:?}")]
    NotReady {
        /// Number of ready daemons.
        ready: usize,
        /// Number of running daemons.
        all: usize,
        /// The time limit.
        after: Duration,
    },
}

/// Size and timing of a testbed.
#[derive(Clone, Debug)]
pub struct TestbedOptions {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of upstreams of the plain service.
    pub plain_upstreams: usize,
    /// Capacity and speed of the engines.
    pub model: ModelParameters,
    /// Lag of the engines' load reports.
    pub report_lag: Duration,
    /// Lag of the platform's list of hosts.
    pub host_list_lag: Duration,
    /// How long callers may cache a list of addresses.
    pub directory_lifetime: Duration,
    /// Number of traffic threads per daemon.
    pub traffic_threads: usize,
    /// Number of failure domains over which daemons and upstreams are spread.
    pub failure_domains: usize,
    /// Number of upstreams of the generation service; they share engines if there are more
    /// upstreams than engines.
    pub generation_upstreams: usize,
    /// Number of organisations in addition to [`ORGANISATIONS`](crate::deployment::ORGANISATIONS).
    pub extra_organisations: usize,
}

impl Default for TestbedOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 3,
            plain_upstreams: 2,
            model: ModelParameters::default(),
            report_lag: Duration::from_millis(200),
            host_list_lag: Duration::from_secs(30),
            directory_lifetime: Duration::from_millis(1_000),
            traffic_threads: 1,
            failure_domains: 3,
            generation_upstreams: 3,
            extra_organisations: 0,
        }
    }
}

/// A daemon on its own runtime, so that all its tasks can be killed at once.
#[derive(Debug)]
struct TestbedDaemon {
    settings: Settings,
    runtime: Option<Runtime>,
    daemon: Option<Daemon>,
}

/// A running testbed.
#[derive(Debug)]
pub struct Testbed {
    /// Stand-in for the platform's log.
    pub log: FakeLog,
    /// Stand-in for the platform's list of hosts.
    pub host_list: FakeHosts,
    /// Stand-ins for the model engines.
    pub engines: Vec<FakeEngine>,
    /// Upstreams of the plain service.
    pub plain_upstreams: Vec<FakeService>,
    /// Number of runs per key at the upstreams of the plain service.
    pub run_counts: RunCounts,
    options: TestbedOptions,
    daemons: Vec<TestbedDaemon>,
}

async fn listen(ip: [u8; 4]) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::from(ip), 0)).await
}

/// First port for daemons. The range lies below the ephemeral ports, so that no outgoing connection
/// takes a port between its choice and its use.
const FIRST_DAEMON_PORT: u16 = 10_000;

/// Size of the daemons' port range.
const DAEMON_PORTS: u16 = 20_000;

/// Offset of the next port to try; every address of one process gets a different port.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address that no socket listens on.
async fn free_address(ip: [u8; 4]) -> io::Result<SocketAddr> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..DAEMON_PORTS {
        let port = FIRST_DAEMON_PORT + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % DAEMON_PORTS;
        match TcpListener::bind((Ipv4Addr::from(ip), port)).await {
            Ok(listener) => return listener.local_addr(),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

impl Testbed {
    /// Starts the stand-ins and daemons, publishes both services and waits until every daemon is
    /// ready.
    pub async fn start(options: TestbedOptions) -> Result<Self, TestbedError> {
        let mut testbed = Self::start_platform(options).await?;
        testbed.publish_services();
        for index in 0..testbed.options.daemons {
            testbed.start_daemon(index).await?;
        }
        testbed.wait_ready(Duration::from_secs(20)).await?;
        Ok(testbed)
    }

    /// Starts the stand-ins and chooses the daemons' addresses, without starting daemons.
    pub async fn start_platform(options: TestbedOptions) -> Result<Self, TestbedError> {
        let log = FakeLog::start(listen([127, 0, 0, 1]).await?)?;
        let mut engines = Vec::new();
        for index in 0..options.engines {
            let listener = listen([127, 0, 2, index as u8 + 1]).await?;
            engines.push(FakeEngine::start(listener, options.model, 1, options.report_lag)?);
        }
        let run_counts = RunCounts::default();
        let mut plain_upstreams = Vec::new();
        for index in 0..options.plain_upstreams {
            let listener = listen([127, 0, 3, index as u8 + 1]).await?;
            plain_upstreams.push(FakeService::start(listener, run_counts.clone())?);
        }
        let host_list_listener = listen([127, 0, 0, 1]).await?;
        let hosts_address = host_list_listener.local_addr()?;
        let mut daemons = Vec::new();
        for index in 0..options.daemons {
            let settings = daemon_settings(index, log.address(), hosts_address, &options).await?;
            daemons.push(TestbedDaemon { settings, runtime: None, daemon: None });
        }
        let hosts = daemons.iter().map(|d| host_entry(&d.settings, HostState::Live)).collect();
        let host_list = FakeHosts::start(host_list_listener, hosts, options.host_list_lag)?;
        Ok(Self { log, host_list, engines, plain_upstreams, run_counts, options, daemons })
    }

    /// Appends both service files to the log.
    pub fn publish_services(&self) {
        let engines = self.engines.iter().map(FakeEngine::address).cycle();
        let generation_upstreams: Vec<_> =
            engines.take(self.options.generation_upstreams).collect();
        let plain_upstreams: Vec<_> =
            self.plain_upstreams.iter().map(FakeService::address).collect();
        self.append_service(&generation_service_file(&generation_upstreams, &self.options), 1);
        self.append_service(&plain_service_file(&plain_upstreams, &self.options), 2);
    }

    /// Appends the first revision of a service directly to the log, bypassing the daemons.
    ///
    /// # Panics
    ///
    /// If `text` is not a valid service file with a name.
    pub fn append_service(&self, text: &str, nonce: u64) -> Offset {
        let document = Document::parse(text).expect("the service file is valid");
        let name = document.sections()["service"]["name"].clone();
        let change =
            Change::between(&ServiceName::new(&name), Offset(0), &Document::default(), &document)
                .expect("the document is not empty")
                .with_author(nonce, "testbed");
        let data = serde_json::to_string(&Record::Change(change)).expect("changes are JSON");
        self.log.append(CATALOGUE_STREAM, &data)
    }

    /// Starts the daemon of host `index`, retrying while a killed predecessor holds its addresses.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), TestbedError> {
        let deadline = Instant::now() + ADDRESS_TIMEOUT;
        loop {
            match self.try_start(index).await {
                Err(TestbedError::Start(StartError::Listen { .. }))
                    if Instant::now() < deadline =>
                {
                    sleep(ADDRESS_RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    async fn try_start(&mut self, index: usize) -> Result<(), TestbedError> {
        let settings = self.daemons[index].settings.clone();
        let runtime = Builder::new_multi_thread()
            .worker_threads(self.options.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        match runtime.spawn(Daemon::start(settings)).await.map_err(io::Error::other)? {
            Ok(daemon) => {
                self.daemons[index].daemon = Some(daemon);
                self.daemons[index].runtime = Some(runtime);
                Ok(())
            }
            Err(e) => {
                runtime.shutdown_background();
                Err(e.into())
            }
        }
    }

    /// Waits until every running daemon accepts requests and knows all others.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), TestbedError> {
        let deadline = Instant::now() + timeout;
        loop {
            let running: Vec<_> = self.daemons().collect();
            let all = running.len();
            let is_joined = |d: &&&Daemon| d.is_ready() && d.member_count() == all;
            let ready = running.iter().filter(is_joined).count();
            if ready == all {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(TestbedError::NotReady { ready, all, after: timeout });
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The running daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter_map(|testbed_daemon| testbed_daemon.daemon.as_ref())
    }

    /// Kills the daemon of host `index` at once, like a crash.
    pub fn kill_daemon(&mut self, index: usize) {
        let testbed_daemon = &mut self.daemons[index];
        if let Some(daemon) = testbed_daemon.daemon.take() {
            daemon.kill();
        }
        if let Some(runtime) = testbed_daemon.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Drains the daemon of host `index`; the handle completes when the daemon has stopped. Returns
    /// `None` if it is not running.
    pub fn drain_daemon(&mut self, index: usize) -> Option<JoinHandle<()>> {
        let testbed_daemon = &mut self.daemons[index];
        let daemon = testbed_daemon.daemon.take()?;
        let runtime = testbed_daemon.runtime.take()?;
        let leaving = runtime.spawn(daemon.leave());
        Some(tokio::spawn(async move {
            let _ = leaving.await;
            runtime.shutdown_background();
        }))
    }

    /// The daemon of host `index`, if it is running.
    pub fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.daemons[index].daemon.as_ref()
    }

    /// The settings of host `index`.
    pub fn settings(&self, index: usize) -> &Settings {
        &self.daemons[index].settings
    }

    /// The daemons' addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.settings.caller_address).collect()
    }

    /// The daemons' addresses for operators.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.settings.operator_address).collect()
    }

    /// All hosts as the platform's list contains them.
    pub fn listed_hosts(&self) -> Vec<Host> {
        self.daemons.iter().map(|d| host_entry(&d.settings, HostState::Live)).collect()
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for index in 0..self.daemons.len() {
            self.kill_daemon(index);
        }
    }
}

fn host_entry(settings: &Settings, state: HostState) -> Host {
    Host {
        host: settings.host.clone(),
        ip: settings.peer_address.ip(),
        failure_domain: settings.failure_domain.clone(),
        state,
        incarnation: 1,
        daemon: Some(DaemonAddresses {
            peer: settings.peer_address,
            caller: settings.caller_address,
        }),
    }
}

async fn daemon_settings(
    index: usize,
    log_address: SocketAddr,
    hosts_address: SocketAddr,
    options: &TestbedOptions,
) -> Result<Settings, TestbedError> {
    let ip = [127, 0, 1, index as u8 + 1];
    debug_assert!(IpAddr::from(ip).is_loopback());
    Ok(Settings {
        host: HostName::from(format!("entry-{index}")),
        failure_domain: FailureDomain::from(failure_domain(index, options)),
        caller_address: free_address(ip).await?,
        peer_address: free_address(ip).await?,
        operator_address: free_address(ip).await?,
        operator_key_sha256: key_digest(OPERATOR_KEY),
        log_address,
        hosts_address,
        metrics_address: None,
        weight_bytes_per_second: 1_000_000_000,
        traffic_threads: options.traffic_threads,
        directory_lifetime_ms: options.directory_lifetime.as_millis() as u64,
        ledger_shards: 4,
        key_validity_ms: 3_600_000,
        claim_bound_ms: 5_000,
        max_connections: 10_000,
        caller_silence_ms: 30_000,
    })
}
