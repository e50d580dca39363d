//! Starts and stops a daemon.

use crate::clock::Clock;
use crate::control::{Control, ListUpdate, Message, report_interval};
use crate::entry::Entry;
use crate::peer_server::RelayService;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::wire::Wire;
use magnoliawinch::configuration_polling::{StorePoll, next_poll};
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
const MAILBOX: usize = 4_096;

/// Time between two looks at the requests in progress while the daemon leaves.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Time before the kill at which the daemon ends whatever is in progress.
const BEFORE_KILL: Millis = Millis(500);

/// How long callers may still come with an address that they were told before: some keep it three
/// times as long as they should.
const STALE_ADDRESSES: Millis = Millis(3_000);

/// Time between two questions of seeds while no other daemon is known.
const SEED_PAUSE: Duration = Duration::from_millis(500);

/// The same while others are known.
const SEED_PAUSE_KNOWN: Duration = Duration::from_millis(5_000);

/// Reports without an answer after which a daemon looks for itself.
const REPORTS_MISSED: u64 = 2;

/// Age of the list at an owner, and the time for its answer.
const LIST_LAG: Millis = Millis(400);

/// Time for those who read the list to tell it, when the owners of a cell do not.
const READERS_ASKED: Millis = Millis(1_000);

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
pub struct Source {
    shared: Arc<Shared>,
}

impl Source {
    /// Hands on a configuration in full.
    pub async fn configuration(&self, configuration: Configuration) {
        self.send(Message::Configuration(Box::new(configuration))).await;
    }

    /// Hands on news of the list of upstreams.
    pub async fn list(&self, news: ListUpdate) {
        self.send(Message::UpstreamList(news)).await;
    }

    /// Hands on peer addresses at which daemons may run.
    pub async fn seeds(&self, seeds: Vec<SocketAddr>) {
        self.send(Message::Seeds(seeds)).await;
    }

    async fn send(&self, message: Message) {
        if self.shared.control.send(message).await.is_err() {
            log::error!("the control thread has ended");
        }
    }

    /// The version of the configuration in force; zero for none.
    pub fn version(&self) -> u64 {
        self.shared.view.load().table.as_ref().map_or(0, |table| table.version())
    }

    /// Notes that the store was asked for a newer configuration just now. Only those that do so for
    /// others rest on it.
    pub fn looked_for_configuration(&self) {
        if self.reads_for_others() {
            self.shared.note_configuration_check(self.shared.clock.now());
        }
    }

    /// Waits until this daemon should look for a newer configuration, and says why.
    pub async fn should_look(&self) -> StorePoll {
        let mut named = self.shared.announced_version.subscribe();
        loop {
            let newest = *named.borrow_and_update();
            let now = self.shared.clock.now();
            match next_poll(now, self.version(), newest, self.shared.last_configuration_check()) {
                StorePoll::NotBefore(until) => {
                    // An error means that the daemon ends.
                    let _ = timeout(until.since(now).into(), named.changed()).await;
                }
                look => return look,
            }
        }
    }

    /// Whether this daemon reads the list of upstreams for the others.
    pub fn reads_for_others(&self) -> bool {
        let view = self.shared.view.load();
        view.cells.readers().contains(&view.own.host)
    }

    /// Whether this daemon decides for all, so that its list must be the freshest.
    pub fn decides(&self) -> bool {
        let view = self.shared.view.load();
        view.cells.readers().is_primary(&view.own.host)
    }

    /// Whether the list is as fresh as owners keep it who are heard from.
    pub fn list_is_fresh(&self) -> bool {
        let view = self.shared.view.load();
        let Millis(every) = report_interval(view.cells.daemons_per_cell(view.members.len()));
        let mut too_old = Millis(REPORTS_MISSED * every + LIST_LAG.0);
        if !view.cells.layout().is_undivided() {
            too_old = too_old + READERS_ASKED;
        }
        self.shared.list_age() < too_old
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
    pub fn daemons(&self) -> usize {
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
        let (control_tx, control_rx) = mpsc::channel(MAILBOX);
        let shared =
            Arc::new(Shared::new(settings, clock, own.clone(), control_tx, Handle::current()));
        let (stop, stopped) = watch::channel(false);
        let control = Control::new(Arc::clone(&shared), own);
        start_control(control, control_rx, stopped.clone()).map_err(StartError::Control)?;
        tokio::spawn(serve_peers(Arc::clone(&shared), peers, stopped));
        tokio::spawn(ask_seeds(Arc::clone(&shared)));
        log::info!(
            host = shared.settings.host.as_str(),
            failure_domain = shared.settings.failure_domain.as_str(),
            incarnation = shared.clock.started_at().0;
            "daemon started"
        );
        Ok(Self { shared, stop })
    }

    /// Serves callers' requests that look like `wire`.
    pub fn entry<W: Wire>(&self, wire: W) -> Entry<W> {
        Entry::new(Arc::clone(&self.shared), wire)
    }

    /// Where the platform's news goes in.
    pub fn source(&self) -> Source {
        Source { shared: Arc::clone(&self.shared) }
    }

    /// Turns true when the daemon ends; its servers then finish what is in progress.
    pub fn stopped(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Leaves without cutting a request: tells the others, serves callers that still come, and
    /// returns when nothing is in progress or the time is nearly over.
    pub async fn leave(&self) {
        let begun = Instant::now();
        log::info!(in_progress = self.shared.in_progress(); "daemon leaves");
        if self.shared.control.send(Message::Leave).await.is_err() {
            log::error!("the control thread has ended");
        }
        let until = Duration::from(self.shared.settings.bounds.grace - BEFORE_KILL);
        let stale = Duration::from(STALE_ADDRESSES).min(until);
        while begun.elapsed() < until {
            if begun.elapsed() >= stale && self.shared.in_progress() == 0 {
                break;
            }
            sleep(DRAIN_POLL).await;
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
async fn ask_seeds(shared: Arc<Shared>) {
    loop {
        let seeds = shared.settings.seeds.clone();
        if shared.control.send(Message::Seeds(seeds)).await.is_err() {
            return;
        }
        let is_alone = shared.view.load().members.len() < 2;
        sleep(if is_alone { SEED_PAUSE } else { SEED_PAUSE_KNOWN }).await;
    }
}
