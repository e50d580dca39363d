//! Starts and stops a daemon.

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

/// Messages that wait for the control thread.
const MAILBOX: usize = 8_192;

/// Time in which one daemon reads the platform's list for all.
const LIST_SLOT: Millis = Millis(5_000);

/// Time between two looks whether this daemon has to read the list.
const SLOT_PAUSE: Duration = Duration::from_millis(1_000);

/// The same while no other daemon is known.
const ALONE_PAUSE: Duration = Duration::from_millis(250);

/// Time between two looks at the requests in progress while the daemon leaves.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Why a daemon does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {key} {address}: {source}")]
    Listen {
        /// The setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[error("cannot send metrics: {0}")]
    Metrics(io::Error),
    /// The control thread cannot be started.
    #[error("cannot start the control thread: {0}")]
    Control(io::Error),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    leave: Arc<Notify>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    serving: Vec<JoinHandle<()>>,
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { key, address, source })
}

impl Daemon {
    /// Starts a daemon whose traffic runs on the current runtime.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let callers = listen("caller_address", settings.caller_address).await?;
        let peers = listen("peer_address", settings.peer_address).await?;
        let operators = listen("operator_address", settings.operator_address).await?;
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
        let (control_tx, control_rx) = mpsc::channel(MAILBOX);
        let (grants_tx, grants_rx) = mpsc::unbounded_channel();
        // Nonces of two daemons must differ even when they start in the same millisecond.
        let seed: u64 = rand::random();
        let parts = Parts {
            clock,
            view: View::new(own.clone()),
            control: control_tx,
            grants: grants_tx,
            metrics: Metrics::new(settings.metrics_address).map_err(StartError::Metrics)?,
            traffic: Handle::current(),
            seed,
        };
        let shared = Arc::new(Shared::new(settings, parts));
        let (stop, stopped) = watch::channel(false);
        let control = Control::new(Arc::clone(&shared), own, rand::random());
        start_control(control, control_rx, stopped.clone()).map_err(StartError::Control)?;
        let leave = Arc::new(Notify::new());
        let serving = vec![
            tokio::spawn(serve_callers(Arc::clone(&shared), callers, stopped.clone())),
            tokio::spawn(serve_operators(
                Arc::clone(&shared),
                Arc::clone(&leave),
                operators,
                stopped.clone(),
            )),
            tokio::spawn(serve_peers(Arc::clone(&shared), peers, stopped)),
        ];
        let tasks = vec![
            tokio::spawn(follow(Arc::clone(&shared))),
            tokio::spawn(send_grant_updates(Arc::clone(&shared), grants_rx)),
            tokio::spawn(read_list(Arc::clone(&shared))),
        ];
        log::info!("daemon of host {} started", shared.settings.host);
        Ok(Self { shared, leave, stop, tasks, serving })
    }

    /// Whether the daemon takes requests.
    pub fn is_ready(&self) -> bool {
        let view = self.shared.view.load();
        view.ready && view.own.state == MemberState::Alive
    }

    /// The number of daemons that this one believes to take work.
    pub fn members(&self) -> usize {
        self.shared.view.load().owners.members().count()
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u64 {
        self.shared.in_progress()
    }

    /// The last configuration offset that is in force here.
    pub fn through(&self) -> u64 {
        self.shared.view.load().through.0
    }

    /// The host that owns the admission to an upstream, as this daemon sees it.
    pub fn admission_owner(&self, service: &str, upstream: &str) -> Option<HostName> {
        let view = self.shared.view.load();
        let spec = &view.services.get(service)?.spec;
        let (name, upstream) = spec.upstreams.get_key_value(upstream)?;
        let owner = view.owners.of_upstream(name, &upstream.failure_domain)?;
        Some(owner.host.clone())
    }

    /// Waits until an operator asks the daemon to leave.
    pub async fn asked_to_leave(&self) {
        self.leave.notified().await;
    }

    /// Leaves without cutting a request: tells the others, serves callers that hold old answers
    /// until those expire, and ends when no request is in progress.
    pub async fn leave(self) {
        let _ = self.shared.control.send(Message::Leave).await;
        let lifetime = Duration::from_millis(self.shared.settings.directory_lifetime_ms);
        let until = Instant::now() + lifetime;
        log::info!("host {} leaves", self.shared.settings.host);
        while Instant::now() < until || self.shared.in_progress() > 0 {
            sleep(DRAIN_POLL).await;
        }
        self.end().await;
    }

    /// Ends when the requests in progress have ended.
    async fn end(mut self) {
        let _ = self.stop.send(true);
        for task in self.serving.drain(..) {
            let _ = task.await;
        }
        log::info!("daemon of host {} ended", self.shared.settings.host);
    }

    /// Ends at once, as a crash does.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        self.tasks.iter().chain(&self.serving).for_each(JoinHandle::abort);
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
    leave: Arc<Notify>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) {
    serve(listener, ServerLimits::default(), stop, move |req| {
        operator::handle(Arc::clone(&shared), Arc::clone(&leave), req)
    })
    .await;
}

async fn serve_peers(shared: Arc<Shared>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let services =
        tonic::transport::Server::builder().add_service(PeerServer::new(PeerService::new(shared)));
    magnoliawinch_peer::serve(services, listener, stop).await;
}

/// Reads the platform's list of hosts until the daemon ends: whenever this daemon knows no other,
/// and else in the time slots in which it reads for all.
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
                Err(e) => log::warn!("reading the platform's list failed: {e}"),
            }
        }
        sleep(if is_alone { ALONE_PAUSE } else { SLOT_PAUSE }).await;
    }
}
