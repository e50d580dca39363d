//! Start and shutdown of a daemon.

use crate::clock::Clock;
use crate::control::{Control, Message};
use crate::follow::follow;
use crate::grants::send_grant_updates;
use crate::metrics::Metrics;
use crate::peer_server::PeerService;
use crate::shared::{Parts, Shared};
use crate::view::View;
use crate::{operator, traffic};
use magnoliawinch::capacity::Capacity;
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::names::HostName;
use magnoliawinch::settings::Settings;
use magnoliawinch::time::Millis;
use magnoliawinch_http::{ServerLimits, serve};
use magnoliawinch_peer::PeerServer;
use magnoliawinch_runtime::start_control;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Capacity of the control thread's message queue.
const CONTROL_QUEUE_LEN: usize = 8_192;

/// Length of the time slots; in each, one daemon reads the platform's list of hosts for all.
const LIST_SLOT: Millis = Millis(5_000);

/// Interval between checks for whether this daemon has to read the list.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval of reads of the list while no other daemon is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of checks for requests in progress while the daemon drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a request in progress before the servers stop: callers that send their next request
/// as soon as they have an answer get a refusal instead of a closed connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);

/// Why a daemon failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Opening a listening socket failed.
    #[error("cannot listen on {key} {address}: {source}")]
    Listen {
        /// Name of the setting that has the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Opening the metrics socket failed.
    #[error("cannot open the metrics socket: {0}")]
    Metrics(io::Error),
    /// Starting the control thread failed.
    #[error("cannot start the control thread: {0}")]
    Control(io::Error),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    leave_requested: Arc<Notify>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    servers: Vec<JoinHandle<()>>,
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { key, address, source })
}

impl Daemon {
    /// Starts a daemon on the current runtime.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let caller_listener = listen("caller_address", settings.caller_address).await?;
        let peer_listener = listen("peer_address", settings.peer_address).await?;
        let operator_listener = listen("operator_address", settings.operator_address).await?;
        let clock = Clock::new();
        let own = Member {
            host: settings.host.clone(),
            incarnation: clock.started_at().0,
            failure_domain: settings.failure_domain.clone(),
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            capacity: Capacity::default(),
            state: MemberState::Joining,
        };
        let (control_tx, control_rx) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (grants_tx, grants_rx) = mpsc::unbounded_channel();
        // Random: the nonces of two daemons must differ even if both start in the same millisecond.
        let seed: u64 = rand::random();
        let parts = Parts {
            clock,
            view: View::new(own.clone()),
            control: control_tx,
            grant_updates: grants_tx,
            metrics: Metrics::new(settings.metrics_address).map_err(StartError::Metrics)?,
            traffic: Handle::current(),
            seed,
        };
        let shared = Arc::new(Shared::new(settings, parts));
        let (stop, stopped) = watch::channel(false);
        let control = Control::new(Arc::clone(&shared), own, rand::random());
        start_control(control, control_rx, stopped.clone()).map_err(StartError::Control)?;
        let leave_requested = Arc::new(Notify::new());
        let servers = vec![
            tokio::spawn(serve_callers(Arc::clone(&shared), caller_listener, stopped.clone())),
            tokio::spawn(serve_operators(
                Arc::clone(&shared),
                Arc::clone(&leave_requested),
                operator_listener,
                stopped.clone(),
            )),
            tokio::spawn(serve_peers(Arc::clone(&shared), peer_listener, stopped)),
        ];
        let tasks = vec![
            tokio::spawn(follow(Arc::clone(&shared))),
            tokio::spawn(send_grant_updates(Arc::clone(&shared), grants_rx)),
            tokio::spawn(read_list(Arc::clone(&shared))),
        ];
        log::info!("daemon of host {} started", shared.settings.host);
        Ok(Self { shared, leave_requested, stop, tasks, servers })
    }

    /// Whether the daemon is configured and takes requests.
    pub fn is_ready(&self) -> bool {
        let view = self.shared.view.load();
        view.ready && view.own.state == MemberState::Alive
    }

    /// Number of members that take work, as this daemon sees them.
    pub fn member_count(&self) -> usize {
        self.shared.view.load().owners.members().count()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> u64 {
        self.shared.in_progress()
    }

    /// Last configuration offset that is in force on this daemon.
    pub fn configuration_offset(&self) -> u64 {
        self.shared.view.load().last_offset.0
    }

    /// Host of an upstream's admission owner, as this daemon sees it; `None` if the upstream is
    /// unknown or no member takes work.
    pub fn admission_owner(&self, service: &str, upstream: &str) -> Option<HostName> {
        let view = self.shared.view.load();
        let spec = &view.services.get(service)?.spec;
        let (name, upstream) = spec.upstreams.get_key_value(upstream)?;
        let owner = view.owners.of_upstream(name, &upstream.failure_domain)?;
        Some(owner.host.clone())
    }

    /// Waits until an operator requests that the daemon leaves.
    pub async fn leave_requested(&self) {
        self.leave_requested.notified().await;
    }

    /// Shuts down without interrupting requests: announces that this daemon leaves, serves until
    /// all directory responses that may name this host have expired, refuses new work from then on,
    /// and stops when no request is in progress.
    pub async fn leave(self) {
        let _ = self.shared.control.send(Message::Leave).await;
        log::info!("daemon of host {} is leaving", self.shared.settings.host);
        sleep(Duration::from_millis(self.shared.settings.directory_lifetime_ms)).await;
        self.shared.refuse_work();
        let in_progress = self.shared.in_progress();
        log::info!("new requests are refused; {in_progress} in progress");
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < MIN_IDLE_TIME {
            sleep(DRAIN_POLL_INTERVAL).await;
            if self.shared.in_progress() > 0 {
                idle_since = Instant::now();
            }
        }
        self.stop_servers().await;
    }

    /// Stops the servers and waits until their requests have ended.
    async fn stop_servers(mut self) {
        let _ = self.stop.send(true);
        for task in self.servers.drain(..) {
            let _ = task.await;
        }
        log::info!("daemon of host {} stopped", self.shared.settings.host);
    }

    /// Stops at once and interrupts requests, as a crash does.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        self.tasks.iter().chain(&self.servers).for_each(JoinHandle::abort);
    }
}

async fn serve_callers(shared: Arc<Shared>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let limits = ServerLimits {
        max_connections: shared.settings.max_connections,
        header_timeout: Duration::from_millis(shared.settings.caller_silence_ms),
        ..ServerLimits::default()
    };
    serve(listener, limits, stop, move |req| traffic::handle(Arc::clone(&shared), req)).await;
}

async fn serve_operators(
    shared: Arc<Shared>,
    leave_requested: Arc<Notify>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) {
    serve(listener, ServerLimits::default(), stop, move |req| {
        operator::handle(Arc::clone(&shared), Arc::clone(&leave_requested), req)
    })
    .await;
}

async fn serve_peers(shared: Arc<Shared>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let services =
        tonic::transport::Server::builder().add_service(PeerServer::new(PeerService::new(shared)));
    magnoliawinch_peer::serve(services, listener, stop).await;
}

/// Reads the platform's list of hosts until the daemon stops: often while no other daemon is known,
/// else once in each time slot in which this daemon reads for all.
async fn read_list(shared: Arc<Shared>) {
    let mut last_slot = 0;
    loop {
        let slot = shared.clock.now().0 / LIST_SLOT.0;
        let view = shared.view.load_full();
        let is_alone = view.owners.members().count() < 2;
        let owner = view.owners.of_list(slot);
        let is_owner = owner.is_some_and(|owner| owner.host == shared.settings.host);
        if is_alone || (is_owner && slot != last_slot) {
            last_slot = slot;
            match shared.hosts.list().await {
                Ok(list) => {
                    if shared.control.send(Message::HostList(list)).await.is_err() {
                        return;
                    }
                }
                Err(e) => log::warn!("failed to read the platform's list of hosts: {e}"),
            }
        }
        sleep(if is_alone { DISCOVERY_INTERVAL } else { LIST_CHECK_INTERVAL }).await;
    }
}
