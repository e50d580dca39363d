//! Starts and stops a daemon.

use crate::clock::Clock;
use crate::control::{Control, ListUpdate, Message, report_interval};
use crate::handler::RequestHandler;
use crate::peer_server::RelayService;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::wire::Wire;
use magnoliawinch::configuration_news::{Look, look};
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::route_table::Configuration;
use magnoliawinch::time::Millis;
use magnoliawinch_peer::RelayServer;
use magnoliawinch_runtime::start_control;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// Messages that wait for the control thread.
const CONTROL_QUEUE_CAPACITY: usize = 4_096;

/// Time between two looks at the requests in progress while the daemon leaves.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the kill at which the daemon ends whatever is in progress.
const KILL_MARGIN: Millis = Millis(500);

/// How long callers may still come with an address that they were told before: some keep it three
/// times as long as they should.
const STALE_ADDRESS_PERIOD: Millis = Millis(3_000);

/// Time between two questions of seeds while no other daemon is known.
const SEED_PROBE_INTERVAL_ALONE: Duration = Duration::from_millis(500);

/// The same while others are known.
const SEED_PROBE_INTERVAL: Duration = Duration::from_millis(5_000);

/// Reports without an answer after which a daemon looks for itself.
const MAX_MISSED_REPORTS: u64 = 2;

/// Age of the list at an owner, and the time for its answer.
const OWNER_LIST_LAG: Millis = Millis(400);

/// Time for those who read the list to tell it, when the owners of a cell do not.
const READER_REPLY_TIME: Millis = Millis(1_000);

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
    /// The control thread cannot be started.
    #[error("cannot start the control thread: {0}")]
    Control(io::Error),
}

/// Opens a listener for the setting `key`.
pub async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { key, address, source })
}

/// A running daemon.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

/// Where the platform's news goes in.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    shared: Arc<Shared>,
}

impl ControlHandle {
    /// Hands on a configuration in full.
    pub async fn update_configuration(&self, configuration: Configuration) {
        self.send(Message::Configuration(Box::new(configuration))).await;
    }

    /// Hands on news of the list of upstreams.
    pub async fn update_list(&self, update: ListUpdate) {
        self.send(Message::UpstreamList(update)).await;
    }

    /// Hands on peer addresses at which daemons may run.
    pub async fn probe_seeds(&self, seeds: Vec<SocketAddr>) {
        self.send(Message::Seeds(seeds)).await;
    }

    async fn send(&self, message: Message) {
        if self.shared.control.send(message).await.is_err() {
            log::error!("the control thread has ended");
        }
    }

    /// The version of the configuration in force; zero for none.
    pub fn configuration_version(&self) -> u64 {
        self.shared.view.load().table.as_ref().map_or(0, |table| table.version())
    }

    /// Notes that the store was asked for a newer configuration just now. Only those that do so for
    /// others rest on it.
    pub fn note_configuration_check(&self) {
        if self.is_reader() {
            self.shared.note_configuration_check(self.shared.clock.now());
        }
    }

    /// Waits until this daemon should look for a newer configuration, and says why.
    pub async fn next_configuration_check(&self) -> Look {
        let mut announced = self.shared.announced_version.subscribe();
        loop {
            let newest = *announced.borrow_and_update();
            let now = self.shared.clock.now();
            match look(
                now,
                self.configuration_version(),
                newest,
                self.shared.last_configuration_check(),
            ) {
                Look::NotBefore(until) => {
                    // An error means that the daemon ends.
                    let _ = timeout(until.since(now).into(), announced.changed()).await;
                }
                look => return look,
            }
        }
    }

    /// Whether this daemon reads the list of upstreams for the others.
    pub fn is_reader(&self) -> bool {
        let view = self.shared.view.load();
        view.cells.readers().contains(&view.own.host)
    }

    /// Whether this daemon decides for all, so that its list must be the freshest.
    pub fn is_primary_reader(&self) -> bool {
        let view = self.shared.view.load();
        view.cells.readers().is_primary(&view.own.host)
    }

    /// Whether the list is as fresh as owners keep it who are heard from.
    pub fn list_is_fresh(&self) -> bool {
        let view = self.shared.view.load();
        let Millis(interval) = report_interval(view.cells.daemons_per_cell(view.members.len()));
        let mut max_age = Millis(MAX_MISSED_REPORTS * interval + OWNER_LIST_LAG.0);
        if !view.cells.layout().is_whole() {
            max_age = max_age + READER_REPLY_TIME;
        }
        self.shared.list_age() < max_age
    }

    /// Whether this daemon knows the whole list, of which most need only a part.
    pub fn knows_whole_list(&self) -> bool {
        self.shared.view.load().knows_whole_list
    }

    /// This daemon as the others know it.
    pub fn own(&self) -> Member {
        self.shared.view.load().own.clone()
    }

    /// How many daemons are known, this one among them.
    pub fn daemon_count(&self) -> usize {
        self.shared.view.load().members.len()
    }
}

impl Node {
    /// Starts the control thread and the service for other daemons.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let peers = listen("peer_address", settings.peer_address).await?;
        let clock = Clock::new();
        let own = Member {
            host: settings.host.clone(),
            incarnation: clock.started_at().0,
            failure_domain: settings.failure_domain.clone(),
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            capacity: settings.capacity,
            state: MemberState::Joining,
        };
        let (control_tx, control_rx) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let shared =
            Arc::new(Shared::new(settings, clock, own.clone(), control_tx, Handle::current()));
        let (stop, stopped) = watch::channel(false);
        let control = Control::new(Arc::clone(&shared), own);
        start_control(control, control_rx, stopped.clone()).map_err(StartError::Control)?;
        tokio::spawn(serve_peers(Arc::clone(&shared), peers, stopped));
        tokio::spawn(probe_seeds_periodically(Arc::clone(&shared)));
        log::info!(
            host = shared.settings.host.as_str(),
            failure_domain = shared.settings.failure_domain.as_str(),
            incarnation = shared.clock.started_at().0;
            "daemon started"
        );
        Ok(Self { shared, stop })
    }

    /// Serves callers' requests that look like `wire`.
    pub fn handler<W: Wire>(&self, wire: W) -> RequestHandler<W> {
        RequestHandler::new(Arc::clone(&self.shared), wire)
    }

    /// Where the platform's news goes in.
    pub fn control_handle(&self) -> ControlHandle {
        ControlHandle { shared: Arc::clone(&self.shared) }
    }

    /// Turns true when the daemon ends; its servers then finish what is in progress.
    pub fn stopped(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Leaves without cutting a request: tells the others, serves callers that still come, and
    /// returns when nothing is in progress or the time is nearly over.
    pub async fn leave(&self) {
        let started_at = Instant::now();
        log::info!(in_progress = self.shared.in_progress(); "daemon leaves");
        if self.shared.control.send(Message::Leave).await.is_err() {
            log::error!("the control thread has ended");
        }
        let max_drain = Duration::from(self.shared.settings.bounds.grace - KILL_MARGIN);
        let min_drain = Duration::from(STALE_ADDRESS_PERIOD).min(max_drain);
        while started_at.elapsed() < max_drain {
            if started_at.elapsed() >= min_drain && self.shared.in_progress() == 0 {
                break;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        log::info!(in_progress = self.shared.in_progress(); "daemon ends");
        // Without receivers there is nobody to tell.
        let _ = self.stop.send(true);
    }
}

async fn serve_peers(shared: Arc<Shared>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let services = tonic::transport::Server::builder()
        .add_service(RelayServer::new(RelayService::new(shared)));
    magnoliawinch_peer::serve(services, listener, stop).await;
}

/// Asks the seeds of the settings for other daemons, often while none is known.
async fn probe_seeds_periodically(shared: Arc<Shared>) {
    loop {
        let seeds = shared.settings.seeds.clone();
        if shared.control.send(Message::Seeds(seeds)).await.is_err() {
            return;
        }
        let is_alone = shared.view.load().members.len() < 2;
        sleep(if is_alone { SEED_PROBE_INTERVAL_ALONE } else { SEED_PROBE_INTERVAL }).await;
    }
}
