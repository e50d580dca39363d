//! Starts and stops the stand-ins and the daemons.

use crate::deployment::{failure_domain, guidance_file, parts_file};
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

/// The operators' key of every daemon of a testbed.
pub const OPERATOR_KEY: &str = "operator-key";

/// The stream of the configuration.
pub const CATALOGUE_STREAM: &str = "catalogue";

/// How long a daemon waits for the addresses of a killed one.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two tries.
const ADDRESS_PAUSE: Duration = Duration::from_millis(20);

/// Why a testbed does not start.
#[derive(Debug, Error)]
pub enum BedError {
    /// A socket or a thread cannot be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A daemon does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The daemons were not ready in time.
    #[error("only {ready} of {all} daemons were ready after {after:?}")]
    NotReady {
        /// Daemons that were.
        ready: usize,
        /// All daemons.
        all: usize,
        /// The time that was given.
        after: Duration,
    },
}

/// Size and speed of a testbed.
#[derive(Clone, Debug)]
pub struct BedOptions {
    /// Daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Size and speed of the engines.
    pub model: ModelParameters,
    /// Lag of the engines' load reports.
    pub report_lag: Duration,
    /// Lag of the platform's list.
    pub list_lag: Duration,
    /// How long callers may keep addresses.
    pub directory_lifetime: Duration,
    /// Traffic threads of each daemon.
    pub traffic_threads: usize,
    /// Failure domains over which daemons and upstreams are spread.
    pub failure_domains: usize,
    /// Upstreams of the generation service; several share an engine when there are more.
    pub upstreams: usize,
    /// Organisations beyond the usual ones.
    pub more_organisations: usize,
}

impl Default for BedOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 3,
            services: 2,
            model: ModelParameters::default(),
            report_lag: Duration::from_millis(200),
            list_lag: Duration::from_secs(30),
            directory_lifetime: Duration::from_millis(1_000),
            traffic_threads: 1,
            failure_domains: 3,
            upstreams: 3,
            more_organisations: 0,
        }
    }
}

/// A daemon with a runtime of its own, so that it can be killed as a whole.
#[derive(Debug)]
struct BedDaemon {
    settings: Settings,
    runtime: Option<Runtime>,
    daemon: Option<Daemon>,
}

/// A running testbed.
#[derive(Debug)]
pub struct Bed {
    /// The platform's log.
    pub log: FakeLog,
    /// The platform's list.
    pub list: FakeHosts,
    /// Model engines.
    pub engines: Vec<FakeEngine>,
    /// Plain services.
    pub services: Vec<FakeService>,
    /// What the plain services ran.
    pub counts: RunCounts,
    options: BedOptions,
    daemons: Vec<BedDaemon>,
}

async fn listen(ip: [u8; 4]) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::from(ip), 0)).await
}

/// Ports for daemons: below those that the system gives to outgoing connections, so that none of
/// these takes a port between its choice and its use.
const FIRST_PORT: u16 = 10_000;

/// Ports in all.
const PORTS: u16 = 20_000;

/// The next port to try; every address of one process gets another one.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address that nobody listens on.
async fn free_address(ip: [u8; 4]) -> io::Result<SocketAddr> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORTS {
        let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
        match TcpListener::bind((Ipv4Addr::from(ip), port)).await {
            Ok(listener) => return listener.local_addr(),
            Err(e) => last = e,
        }
    }
    Err(last)
}

impl Bed {
    /// Starts everything, publishes both services and waits until every daemon is ready.
    pub async fn start(options: BedOptions) -> Result<Self, BedError> {
        let mut bed = Self::start_platform(options).await?;
        bed.publish_services();
        for place in 0..bed.options.daemons {
            bed.start_daemon(place).await?;
        }
        bed.wait_ready(Duration::from_secs(20)).await?;
        Ok(bed)
    }

    /// Starts the stand-ins and reserves the daemons' addresses.
    pub async fn start_platform(options: BedOptions) -> Result<Self, BedError> {
        let log = FakeLog::start(listen([127, 0, 0, 1]).await?)?;
        let mut engines = Vec::new();
        for place in 0..options.engines {
            let listener = listen([127, 0, 2, place as u8 + 1]).await?;
            engines.push(FakeEngine::start(listener, options.model, 1, options.report_lag)?);
        }
        let counts = RunCounts::default();
        let mut services = Vec::new();
        for place in 0..options.services {
            let listener = listen([127, 0, 3, place as u8 + 1]).await?;
            services.push(FakeService::start(listener, counts.clone())?);
        }
        let list_listener = listen([127, 0, 0, 1]).await?;
        let list_address = list_listener.local_addr()?;
        let mut daemons = Vec::new();
        for place in 0..options.daemons {
            let settings = settings(place, log.address(), list_address, &options).await?;
            daemons.push(BedDaemon { settings, runtime: None, daemon: None });
        }
        let hosts = daemons.iter().map(|d| listed(&d.settings, HostState::Live)).collect();
        let list = FakeHosts::start(list_listener, hosts, options.list_lag)?;
        Ok(Self { log, list, engines, services, counts, options, daemons })
    }

    /// Puts both service files into the log.
    pub fn publish_services(&self) {
        let engines = self.engines.iter().map(FakeEngine::address).cycle();
        let engines: Vec<_> = engines.take(self.options.upstreams).collect();
        let services: Vec<_> = self.services.iter().map(FakeService::address).collect();
        self.append_service(&guidance_file(&engines, &self.options), 1);
        self.append_service(&parts_file(&services, &self.options), 2);
    }

    /// Appends the first revision of a service without a daemon.
    pub fn append_service(&self, text: &str, nonce: u64) -> Offset {
        let document = Document::parse(text).expect("the testbed's files are valid");
        let name = document.sections()["service"]["name"].clone();
        let change =
            Change::between(&ServiceName::new(&name), Offset(0), &Document::default(), &document)
                .expect("a new service differs from nothing")
                .with_author(nonce, "testbed");
        let data = serde_json::to_string(&Record::Change(change)).expect("changes are JSON");
        self.log.append(CATALOGUE_STREAM, &data)
    }

    /// Starts the daemon of host `place`; waits for its addresses while a killed one ends.
    pub async fn start_daemon(&mut self, place: usize) -> Result<(), BedError> {
        let until = Instant::now() + ADDRESS_TIMEOUT;
        loop {
            match self.try_start(place).await {
                Err(BedError::Start(StartError::Listen { .. })) if Instant::now() < until => {
                    sleep(ADDRESS_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    async fn try_start(&mut self, place: usize) -> Result<(), BedError> {
        let settings = self.daemons[place].settings.clone();
        let runtime = Builder::new_multi_thread()
            .worker_threads(self.options.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        match runtime.spawn(Daemon::start(settings)).await.map_err(io::Error::other)? {
            Ok(daemon) => {
                self.daemons[place].daemon = Some(daemon);
                self.daemons[place].runtime = Some(runtime);
                Ok(())
            }
            Err(e) => {
                runtime.shutdown_background();
                Err(e.into())
            }
        }
    }

    /// Waits until every started daemon takes requests and knows all others.
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), BedError> {
        let until = Instant::now() + limit;
        loop {
            let running: Vec<_> = self.daemons().collect();
            let all = running.len();
            let is_ready = |d: &&&Daemon| d.is_ready() && d.member_count() == all;
            let ready = running.iter().filter(is_ready).count();
            if ready == all {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(BedError::NotReady { ready, all, after: limit });
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// The running daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter_map(|bed_daemon| bed_daemon.daemon.as_ref())
    }

    /// Kills the daemon of host `place` as a crash does.
    pub fn kill_daemon(&mut self, place: usize) {
        let bed_daemon = &mut self.daemons[place];
        if let Some(daemon) = bed_daemon.daemon.take() {
            daemon.kill();
        }
        if let Some(runtime) = bed_daemon.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Lets the daemon of host `place` leave; the handle ends when it has.
    pub fn drain_daemon(&mut self, place: usize) -> Option<JoinHandle<()>> {
        let bed_daemon = &mut self.daemons[place];
        let daemon = bed_daemon.daemon.take()?;
        let runtime = bed_daemon.runtime.take()?;
        let left = runtime.spawn(daemon.leave());
        Some(tokio::spawn(async move {
            let _ = left.await;
            runtime.shutdown_background();
        }))
    }

    /// The running daemon of host `place`.
    pub fn daemon(&self, place: usize) -> Option<&Daemon> {
        self.daemons[place].daemon.as_ref()
    }

    /// The settings of host `place`.
    pub fn settings(&self, place: usize) -> &Settings {
        &self.daemons[place].settings
    }

    /// Where callers reach the daemons.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.settings.caller_address).collect()
    }

    /// Where operators reach the daemons.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.settings.operator_address).collect()
    }

    /// The hosts as the platform's list has them.
    pub fn listed_hosts(&self) -> Vec<Host> {
        self.daemons.iter().map(|d| listed(&d.settings, HostState::Live)).collect()
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        for place in 0..self.daemons.len() {
            self.kill_daemon(place);
        }
    }
}

fn listed(settings: &Settings, state: HostState) -> Host {
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

async fn settings(
    place: usize,
    log_address: SocketAddr,
    hosts_address: SocketAddr,
    options: &BedOptions,
) -> Result<Settings, BedError> {
    let ip = [127, 0, 1, place as u8 + 1];
    debug_assert!(IpAddr::from(ip).is_loopback());
    Ok(Settings {
        host: HostName::from(format!("entry-{place}")),
        failure_domain: FailureDomain::from(failure_domain(place, options)),
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
