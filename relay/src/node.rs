//! Starts and stops a relay daemon.

use crate::carry::CarriedCall;
use crate::clock::Clock;
use crate::control::{Control, EvacuationUpdate, ListUpdate, Message};
use crate::handler::RequestHandler;
use crate::peer_server::RelayService;
use crate::refusal::Refused;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::wire::Wire;
use magnoliawinch::cells::report_interval;
use magnoliawinch::dissemination::{MAX_READ_AGE, ReadStatus, STANDBY_RANK};
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::route_table::Configuration;
use magnoliawinch::store_position::StorePosition;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_http::PathFaults;
use magnoliawinch_peer::RelayServer;
use magnoliawinch_runtime::start_control;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Messages that may be queued for the control thread.
const CONTROL_QUEUE_LEN: usize = 4_096;

/// Requests of other hosts that may be queued.
const CARRIED_QUEUE_LEN: usize = 64;

/// Largest message of a daemon, in bytes; bodies of callers are larger than other messages.
const MAX_MESSAGE_BYTES: usize = 33_554_432;

/// Interval of checks for requests in progress while the daemon is leaving.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a leaving daemon waits for callers with outdated addresses: some cache addresses for
/// three times as long as allowed.
const STALE_ADDRESS_PERIOD: Millis = Millis(3_000);

/// Interval between probes of the seeds while no other daemon is known.
const SEED_PROBE_INTERVAL_ALONE: Duration = Duration::from_millis(500);

/// Interval between probes of the seeds while other daemons are known.
const SEED_PROBE_INTERVAL: Duration = Duration::from_millis(5_000);

/// Reports to owners without a reply after which a daemon reads the list of upstreams itself.
const MAX_MISSED_REPORTS: u64 = 2;

/// Allowance for the age of an owner's list and for its reply time.
const OWNER_LIST_LAG: Millis = Millis(400);

/// Allowance for getting the list from its readers if a cell's owners do not reply.
const READER_REPLY_TIME: Millis = Millis(1_000);

/// Age from which the standby reader reads for itself: it decides about placements as soon as the
/// primary is silent.
const STANDBY_MAX_READ_AGE: Millis = Millis(700);

/// Errors that prevent a daemon from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// Binding a listener failed.
    #[error("cannot listen on {key} {address}: {source}")]
    Listen {
        /// Name of the setting.
        key: &'static str,
        /// Address that it contains.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// Starting the control thread failed.
    #[error("cannot start the control thread: {0}")]
    Control(io::Error),
}

/// Binds a listener to the address in the setting `key`.
pub async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { key, address, source })
}

/// A running relay daemon.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    /// Ends once the daemon stops and replies to other hosts have been sent.
    peer_server: JoinHandle<()>,
    /// Taken by the first handler.
    carried: Mutex<Option<mpsc::Receiver<CarriedCall>>>,
}

/// Passes updates from the platform's store to the control thread and reads the daemon's state.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    shared: Arc<Shared>,
}

impl ControlHandle {
    /// Passes on a complete configuration.
    pub async fn update_configuration(&self, configuration: Configuration) {
        self.send(Message::Configuration(Box::new(configuration))).await;
    }

    /// Passes on an update of the list of upstreams.
    pub async fn update_list(&self, update: ListUpdate) {
        self.send(Message::UpstreamList(update)).await;
    }

    /// Passes on evacuations read up to a position in the store.
    pub async fn update_evacuations(&self, position: StorePosition, update: EvacuationUpdate) {
        self.send(Message::Evacuations(position, update)).await;
    }

    /// Probes peer addresses where other daemons may be running.
    pub async fn probe_seeds(&self, seeds: Vec<SocketAddr>) {
        self.send(Message::Seeds(seeds)).await;
    }

    /// Changes with what is refused.
    pub fn refusals_changed(&self) -> watch::Receiver<()> {
        self.shared.refusals_changed.subscribe()
    }

    /// All that is refused at present.
    pub fn refused(&self) -> Refused {
        self.shared.view.load().refused(self.shared.clock.now())
    }

    /// What is refused, as a record for the platform's store; `None` if the control thread has ended.
    pub async fn refusals_to_keep(&self) -> Option<Vec<u8>> {
        self.shared.ask(Message::RefusalsToKeep).await
    }

    /// Passes on such a record, which this daemon or another one wrote.
    pub async fn apply_kept_refusals(&self, record: Vec<u8>) {
        self.send(Message::KeptRefusals(record)).await;
    }

    async fn send(&self, message: Message) {
        if self.shared.control.send(message).await.is_err() {
            log::error!("the control thread has ended");
        }
    }

    /// Version of the configuration in force; zero if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.shared.view.load().table.as_ref().map_or(0, |table| table.version())
    }

    /// Notes that this daemon has read the store's configuration, or failed to.
    pub fn note_configuration_read(&self, has_succeeded: bool) {
        self.shared.set_reads_configuration(has_succeeded);
        if has_succeeded {
            self.shared.note_own_configuration_read();
        }
    }

    /// Notes that this daemon has read the list of upstreams, or failed to.
    pub fn note_list_read(&self, has_succeeded: bool) {
        self.shared.set_reads_list(has_succeeded);
    }

    /// Notes that this daemon tried to read the store. Has no effect unless it is a reader or a
    /// deputy: the others conclude from a recent attempt that these live.
    pub fn note_read_attempt(&self) {
        if self.shared.view.load().reader_rank.is_some() {
            self.shared.note_read_attempt(self.shared.clock.now());
        }
    }

    /// Counts a call to the store by its purpose.
    pub fn count_store_call(&self, purpose: &'static str) {
        self.shared.metrics.count("store_call", purpose);
    }

    /// Counts a failed call to the store by its purpose.
    pub fn count_failed_store_call(&self, purpose: &'static str) {
        self.shared.metrics.count("store_call_failed", purpose);
    }

    /// Counts bytes of records received from the store by their purpose.
    pub fn count_store_bytes(&self, purpose: &'static str, bytes: usize) {
        self.shared.metrics.add("bytes_received_from_store", purpose, bytes);
    }

    /// Whether a newer configuration is being received from another daemon.
    pub fn receives_configuration(&self) -> bool {
        self.shared.receives_configuration()
    }

    /// The time by the daemon's clock.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Whether a better-ranked daemon reads the store, so that this one need not go on.
    pub fn hears_better_reader(&self) -> bool {
        self.shared.hears_better_reader()
    }

    /// What is known of the reads of the configuration.
    pub fn configuration_read_status(&self) -> ReadStatus {
        let is_standby = self.shared.view.load().reader_rank == Some(STANDBY_RANK);
        let max_age = if is_standby { STANDBY_MAX_READ_AGE } else { MAX_READ_AGE };
        self.read_status(self.shared.configuration_read_age(), max_age)
    }

    /// What is known of the reads of the list of upstreams.
    pub fn list_read_status(&self) -> ReadStatus {
        let view = self.shared.view.load();
        let max_age = if view.reader_rank == Some(STANDBY_RANK) {
            STANDBY_MAX_READ_AGE
        } else if view.cells.layout().is_undivided() {
            MAX_READ_AGE
        } else {
            let interval = report_interval(view.cells.daemons_per_cell(view.members.len()));
            Millis(MAX_MISSED_REPORTS * interval.0) + OWNER_LIST_LAG + READER_REPLY_TIME
        };
        self.read_status(self.shared.list_age(), max_age)
    }

    fn read_status(&self, age: Millis, max_age: Millis) -> ReadStatus {
        let view = self.shared.view.load();
        ReadStatus {
            age,
            max_age,
            attempt_age: self.shared.clock.now().since(self.shared.last_read_attempt()),
            rank: view.reader_rank,
            daemons: view.members.len(),
        }
    }

    /// Whether this daemon reads the list of upstreams for all other daemons.
    pub fn is_reader(&self) -> bool {
        let view = self.shared.view.load();
        view.cells.readers().contains(&view.own.host)
    }

    /// Whether this daemon is a reader of the store or the deputy of one.
    pub fn is_reader_or_deputy(&self) -> bool {
        self.shared.view.load().reader_rank.is_some()
    }

    /// Whether this daemon is the reader that makes decisions and needs the freshest list.
    pub fn is_primary_reader(&self) -> bool {
        let view = self.shared.view.load();
        view.cells.readers().is_primary(&view.own.host)
    }

    /// Whether this daemon has the whole list of upstreams; most need only a part.
    pub fn knows_whole_list(&self) -> bool {
        self.shared.view.load().knows_whole_list
    }

    /// This daemon as announced to other daemons.
    pub fn own(&self) -> Member {
        self.shared.view.load().own.clone()
    }

    /// Number of known daemons, including this one.
    pub fn daemon_count(&self) -> usize {
        self.shared.view.load().members.len()
    }
}

impl Node {
    /// Starts the control thread and the gRPC service for other daemons.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let peers = listen("peer_listen_address", settings.peer_listen_address).await?;
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
        let (control_tx, control_rx) = mpsc::channel(CONTROL_QUEUE_LEN);
        let (carried_tx, carried_rx) = mpsc::channel(CARRIED_QUEUE_LEN);
        let traffic = Handle::current();
        let shared = Shared::new(settings, clock, own.clone(), control_tx, carried_tx, traffic);
        let shared = Arc::new(shared);
        let (stop, stopped) = watch::channel(false);
        let control = Control::new(Arc::clone(&shared), own);
        start_control(control, control_rx, stopped.clone()).map_err(StartError::Control)?;
        let peer_server = tokio::spawn(serve_peers(Arc::clone(&shared), peers, stopped));
        tokio::spawn(probe_seeds_periodically(Arc::clone(&shared)));
        log::info!(
            host = shared.settings.host.as_str(),
            failure_domain = shared.settings.failure_domain.as_str(),
            incarnation = shared.clock.started_at().0;
            "daemon started"
        );
        Ok(Self { shared, stop, peer_server, carried: Mutex::new(Some(carried_rx)) })
    }

    /// Faults on this daemon's paths to upstreams, for tests.
    pub fn path_faults(&self) -> &PathFaults {
        self.shared.upstreams.path_faults()
    }

    /// A handler for callers' requests in the format `wire`; the first one also handles those that
    /// other hosts carry to this one.
    pub fn handler<W: Wire>(&self, wire: W) -> RequestHandler<W> {
        let handler = RequestHandler::new(Arc::clone(&self.shared), wire);
        let carried = self.carried.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(carried) = carried {
            self.shared.traffic.spawn(handler.clone().serve_carried(carried));
        }
        handler
    }

    /// A handle for passing updates to the daemon.
    pub fn control_handle(&self) -> ControlHandle {
        ControlHandle { shared: Arc::clone(&self.shared) }
    }

    /// Becomes true when the daemon stops; its servers then finish the requests in progress.
    pub fn stopped(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Waits until replies to other hosts have been sent, once the daemon stops.
    pub async fn replies_sent(&mut self) {
        if let Err(e) = (&mut self.peer_server).await {
            log::error!("the server for peers failed: {e}");
        }
    }

    /// Shuts down gracefully: announces that this daemon leaves and serves the requests that are due
    /// before its end. Returns when none is in progress or all answers are due, with the time that is
    /// left for callers to read their answers.
    pub async fn leave(&self) -> Duration {
        let stop = self.shared.begin_stop();
        let clock = self.shared.clock;
        let min_drain_end = clock.now() + STALE_ADDRESS_PERIOD;
        log::info!(in_progress = self.shared.in_progress(); "daemon is leaving");
        if self.shared.control.send(Message::Leave).await.is_err() {
            log::error!("the control thread has ended");
        }
        while clock.now() < stop.answers_due() {
            if clock.now() >= min_drain_end && self.shared.in_progress() == 0 {
                break;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        log::info!(in_progress = self.shared.in_progress(); "daemon stops");
        // Fails only if there are no receivers left to notify.
        let _ = self.stop.send(true);
        stop.ends_at().since(clock.now()).into()
    }
}

async fn serve_peers(shared: Arc<Shared>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let service = RelayServer::new(RelayService::new(shared));
    let services = tonic::transport::Server::builder()
        .add_service(service.max_decoding_message_size(MAX_MESSAGE_BYTES));
    magnoliawinch_peer::serve(services, listener, stop).await;
}

/// Probes the seeds from the settings, more often while no other daemon is known.
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
