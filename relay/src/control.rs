//! The control thread: owns this daemon's cluster state and its engine pools.

mod cells;
mod configurations;
mod convert;
mod crashes;
mod evacuations;
mod fatal_parts;
mod following;
mod leaving;
mod limits;
mod members;
mod news;
mod pools;
mod reports;
mod servers;
mod sharing;
mod updates;

pub(crate) use crashes::LostRequest;
pub use evacuations::EvacuationUpdate;
pub use updates::ListUpdate;

use crate::runs::Assignment;
use crate::shared::Shared;
use crate::view::{SuspectRequests, View};
use cells::Cells;
use following::HeldPoll;
use magnoliawinch::announced_versions::AnnouncedVersions;
use magnoliawinch::cells::{Cell, CellSet};
use magnoliawinch::crash_detection::{CrashDetector, Reachability, UpstreamProcess};
use magnoliawinch::dissemination::{ChunkRequest, Follower, Transfer};
use magnoliawinch::evacuations::Evacuations;
use magnoliawinch::fatal_parts::{FatalParts, Survivals};
use magnoliawinch::fleet::{ChangeLog, Fleet};
use magnoliawinch::leaving_news::LeavingNews;
use magnoliawinch::membership::{Member, MemberState, Membership};
use magnoliawinch::names::{FailureDomain, ServiceName, UpstreamName};
use magnoliawinch::pool::PlacementRequest;
use magnoliawinch::prompt_parts::PartId;
use magnoliawinch::quarantine::{Fingerprint, Quarantine};
use magnoliawinch::route_table::{Configuration, RouteTable};
use magnoliawinch::shares::CellFigures;
use magnoliawinch::store_position::StorePosition;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::upstream_notices::Incarnation;
use magnoliawinch_peer::{
    FetchReply, ProbeReply, ProbeRequest, RelocateRequest, RunsReply, RunsReport, StateReply,
    StateRequest,
};
use magnoliawinch_runtime::ControlState;
use news::UrgentNews;
use pools::Pools;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PlaceOutcome {
    /// The run starts at this engine.
    Placed(Assignment),
    /// The run is refused; the caller may retry after this time.
    Refused(Millis),
    /// The run is still queued; ask again.
    Queued,
    /// This daemon does not know the pool or the engine.
    Unknown,
    /// All engines that may get new runs are to be avoided.
    AllAvoided,
}

/// Messages to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// Requests an engine for a run.
    Place {
        service: ServiceName,
        cell: Cell,
        request: Box<PlacementRequest>,
        reply: oneshot::Sender<PlaceOutcome>,
    },
    /// A report of another daemon's runs.
    Report { report: Box<RunsReport>, reply: oneshot::Sender<RunsReply> },
    /// An owner's reply to a report.
    ReportReply { service: ServiceName, cell: Cell, reply: Box<RunsReply> },
    /// A complete configuration.
    Configuration(Box<Configuration>),
    /// An update of the list of upstreams.
    UpstreamList(ListUpdate),
    /// Evacuations read up to a position in the store.
    Evacuations(StorePosition, EvacuationUpdate),
    /// An upstream responded that it is leaving or is not the one addressed.
    UpstreamLeaving(Incarnation),
    /// Connecting to an upstream failed.
    UpstreamUnreachable(UpstreamName),
    /// An owner's order to move a run held by this daemon.
    Relocate(RelocateRequest),
    /// Sends reports to the owners on the next tick.
    ReportSoon,
    /// An upstream names another limit, or none any more.
    LimitNews,
    /// A server of a plain service has become slow or silent.
    ServerNews,
    /// A request under which an upstream has ended completed now.
    SuspectCompleted(Fingerprint),
    /// Asks for what is refused, to be kept in the platform's store.
    RefusalsToKeep(oneshot::Sender<Vec<u8>>),
    /// What was kept there.
    KeptRefusals(Vec<u8>),
    /// The connection of a request was lost before the response was complete.
    RequestLost(LostRequest),
    /// A connection to an upstream was opened or failed.
    ProcessChecked { upstream: UpstreamProcess, result: Reachability },
    /// A probe from another daemon.
    Probe { req: ProbeRequest, reply: oneshot::Sender<ProbeReply> },
    /// A reply to this daemon's probe.
    ProbeReply(ProbeReply),
    /// Peer addresses where other daemons may be running.
    Seeds(Vec<SocketAddr>),
    /// Another daemon's request for configuration and list of upstreams.
    State { req: StateRequest, reply: oneshot::Sender<StateReply> },
    /// A peer's reply to such a request.
    PeerState { source: SocketAddr, state: Box<StateReply> },
    /// The reply of the daemon that this one follows; `None` if the poll failed.
    Followed { source: SocketAddr, reply: Option<Box<StateReply>> },
    /// The reply to a request for a chunk of a configuration; `None` if there was none.
    Chunk { req: ChunkRequest, reply: Option<FetchReply> },
    /// This daemon is shutting down.
    Leave,
}

/// Minimum time between two published views.
const MIN_VIEW_INTERVAL: Millis = Millis(5);

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Arc<Shared>,
    membership: Membership,
    rng: ChaCha8Rng,
    table: Option<Arc<RouteTable>>,
    fleet: Fleet,
    /// Changes of the list that concern this daemon.
    list_log: ChangeLog,
    pools: Pools,
    /// Use in the cells of a divided system, kept by readers of the list.
    cell_figures: CellFigures,
    evacuations: Evacuations,
    /// The evacuated failure domains as published in the view.
    evacuated: Arc<BTreeSet<FailureDomain>>,
    quarantine: Quarantine,
    fatal_parts: FatalParts,
    survivals: Survivals,
    urgent_news: UrgentNews,
    server_news_told_at: Time,
    announced_versions: AnnouncedVersions,
    leaving_news: LeavingNews,
    follower: Follower,
    transfer: Transfer,
    reader_rank: Option<usize>,
    /// Addresses of the readers and deputies, by the hashes of their hosts' names.
    reader_addresses: HashMap<u64, SocketAddr>,
    held_polls: Vec<HeldPoll>,
    crash_detector: CrashDetector,
    /// Requests that wait for the result of a check, by upstream; dropping a sender tells its request.
    waiting_for_checks: Vec<(UpstreamProcess, oneshot::Sender<()>)>,
    peak_daemons: usize,
    members_version: u64,
    members: Arc<Vec<Member>>,
    cells: Cells,
    fleet_view: Arc<Fleet>,
    fleet_view_is_stale: bool,
    /// The quarantine as published in the view.
    quarantine_view: Arc<HashMap<Fingerprint, SuspectRequests>>,
    /// The refused parts of prompts as published in the view.
    blamed_view: Arc<HashMap<PartId, Time>>,
    view_is_stale: bool,
    view_published_at: Time,
}

impl Control {
    pub(crate) fn new(shared: Arc<Shared>, own: Member) -> Self {
        let now = shared.clock.now();
        Self {
            membership: Membership::new(own),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            table: None,
            fleet: Fleet::new(),
            list_log: ChangeLog::default(),
            pools: Pools::new(now),
            cell_figures: CellFigures::new(),
            evacuations: Evacuations::new(),
            evacuated: Arc::default(),
            quarantine: Quarantine::new(),
            fatal_parts: FatalParts::new(),
            survivals: Survivals::new(),
            urgent_news: UrgentNews::default(),
            server_news_told_at: Time(0),
            announced_versions: AnnouncedVersions::new(),
            leaving_news: LeavingNews::new(),
            follower: Follower::new(now),
            transfer: Transfer::new(),
            reader_rank: None,
            reader_addresses: HashMap::new(),
            held_polls: Vec::new(),
            crash_detector: CrashDetector::new(),
            waiting_for_checks: Vec::new(),
            peak_daemons: 1,
            members_version: u64::MAX,
            members: Arc::default(),
            cells: Cells::new(),
            fleet_view: Arc::default(),
            fleet_view_is_stale: true,
            quarantine_view: Arc::default(),
            blamed_view: Arc::default(),
            view_is_stale: true,
            view_published_at: Time(0),
            shared,
        }
    }

    /// Version of the configuration in force; zero if there is none.
    fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// Puts a configuration in force, unless the current one is as new or newer.
    fn apply_configuration(&mut self, now: Time, configuration: Configuration) {
        let version = configuration.version;
        let old = self.table.as_ref().map(|table| table.version());
        if old.is_some_and(|old| old >= version) {
            return;
        }
        log::info!(version, old_version = old.unwrap_or(0); "configuration in force");
        self.table = Some(Arc::new(RouteTable::new(configuration)));
        self.transfer.set_in_force(version);
        // The configuration defines which services have engines.
        self.update_owners();
        if self.membership.own().state == MemberState::Joining {
            self.membership.mark_alive();
            self.announce();
        }
        // Publishes at once: requests must not wait for the next tick to see the configuration.
        self.publish_view(now);
    }

    fn publish_view_if_due(&mut self, now: Time) {
        let members_changed = self.membership.version() != self.members_version;
        let is_due = now.since(self.view_published_at) >= MIN_VIEW_INTERVAL;
        if (self.view_is_stale || self.fleet_view_is_stale || members_changed) && is_due {
            self.publish_view(now);
        }
    }

    fn publish_view(&mut self, now: Time) {
        self.update_members();
        if self.fleet_view_is_stale {
            self.fleet_view = Arc::new(self.fleet.clone());
            let is_listed = |name: &UpstreamName| self.fleet.get(name).is_some();
            self.shared.routing().balancer.retain(is_listed);
            self.fleet_view_is_stale = false;
        }
        self.view_published_at = now;
        self.view_is_stale = false;
        let before = self.shared.view.swap(Arc::new(View {
            own: self.membership.own().clone(),
            members: Arc::clone(&self.members),
            cells: self.cells.owners.clone(),
            cell_loads: Arc::new(self.cells.loads.clone()),
            knows_whole_list: self.cells.covered.covers(&CellSet::all()),
            reader_rank: self.reader_rank,
            peak_daemons: self.peak_daemons,
            table: self.table.clone(),
            fleet: Arc::clone(&self.fleet_view),
            quarantine: Arc::clone(&self.quarantine_view),
            blamed_parts: Arc::clone(&self.blamed_view),
            evacuated: Arc::clone(&self.evacuated),
        }));
        if !Arc::ptr_eq(&before.quarantine, &self.quarantine_view)
            || !Arc::ptr_eq(&before.blamed_parts, &self.blamed_view)
        {
            self.shared.refusals_changed.send_replace(());
        }
    }

    fn update_members(&mut self) {
        if self.membership.version() == self.members_version {
            return;
        }
        self.members_version = self.membership.version();
        let own = std::iter::once(self.membership.own());
        let has_not_failed = |m: &&Member| m.state != MemberState::Failed;
        self.members =
            Arc::new(own.chain(self.membership.others()).filter(has_not_failed).cloned().collect());
        self.update_owners();
        self.update_sources();
        self.update_sharing_hosts();
        self.peak_daemons = self.peak_daemons.max(self.members.len());
        log::info!(
            members = self.members.len(),
            owner = self.cells.owners.readers().primary().map_or("", |owner| owner.host.as_str()),
            cells = self.cells.layout.cell_count();
            "members changed"
        );
    }

    fn leave(&mut self) {
        self.membership.leave();
        self.announce();
        let now = self.shared.clock.now();
        self.publish_view(now);
    }
}

impl ControlState for Control {
    type Message = Message;

    fn handle(&mut self, message: Message) {
        let now = self.shared.clock.now();
        match message {
            Message::Place { service, cell, request, reply } => {
                self.place(now, service, cell, *request, reply);
            }
            Message::Report { report, reply } => {
                let _ = reply.send(self.handle_report(now, &report));
            }
            Message::ReportReply { service, cell, reply } => {
                self.handle_report_reply(now, service, cell, &reply);
            }
            Message::Configuration(configuration) => self.apply_configuration(now, *configuration),
            Message::UpstreamList(update) => self.apply_list(now, update, &CellSet::all()),
            Message::Evacuations(position, update) => {
                self.apply_evacuations(now, position, update);
            }
            Message::UpstreamLeaving(upstream) => self.handle_upstream_leaving(now, &upstream),
            Message::UpstreamUnreachable(name) => {
                self.fleet.mark_unreachable(now, &name);
                self.fleet_view_is_stale = true;
            }
            Message::Relocate(req) => self.deliver_move_order(&req),
            Message::ReportSoon => self.pools.report_soon(),
            Message::LimitNews => self.tell_news(now),
            Message::ServerNews => self.tell_server_news(now),
            Message::SuspectCompleted(fingerprint) => {
                self.handle_suspect_completed(now, fingerprint);
            }
            Message::RefusalsToKeep(reply) => {
                let _ = reply.send(self.refusals_to_keep(now));
            }
            Message::KeptRefusals(record) => self.apply_kept_refusals(now, &record),
            Message::RequestLost(lost) => self.handle_lost_request(now, lost),
            Message::ProcessChecked { upstream, result } => {
                self.handle_process_checked(now, &upstream, result);
            }
            Message::Probe { req, reply } => self.handle_probe(now, &req, reply),
            Message::ProbeReply(reply) => self.handle_probe_reply(now, &reply),
            Message::Seeds(seeds) => self.probe_seeds(&seeds),
            Message::State { req, reply } => {
                self.handle_state_request(now, req, reply);
            }
            Message::PeerState { source, state } => {
                self.apply_peer_state(now, source, false, &state);
            }
            Message::Chunk { req, reply } => self.handle_chunk(now, &req, reply.as_ref()),
            Message::Followed { source, reply } => {
                self.handle_followed(now, source, reply.as_deref());
            }
            Message::Leave => self.leave(),
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.send_probes(now);
        let removed = self.fleet.tick(now);
        self.drain_upstreams(now, &removed);
        if self.fleet.take_restored() {
            self.fleet_view_is_stale = true;
            self.update_pool_engines();
        }
        self.tick_pools(now);
        self.tick_crash_detector(now);
        self.tick_quarantine(now);
        self.tick_evacuations(now);
        self.tell_due_news(now);
        self.request_announced_version(now);
        self.poll_readers(now);
        self.follow_source(now);
        self.fetch_chunk(now);
        self.answer_held_polls(now);
        self.publish_view_if_due(now);
    }

    fn next_tick(&self) -> Millis {
        const BUSY_TICK_INTERVAL: Millis = Millis(10);
        const IDLE_TICK_INTERVAL: Millis = Millis(50);
        if self.pools.is_busy() || self.view_is_stale {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        }
    }
}
