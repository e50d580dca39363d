//! The control thread: owns what this daemon believes, and the pools.

mod cells;
mod convert;
mod members;
mod news;
mod pools;
mod reports;

pub use news::ListNews;
pub(crate) use reports::report_every;

use crate::runs::Placed;
use crate::shared::Shared;
use crate::view::View;
use cells::Cells;
use magnoliawinch::cells::{Cell, Interest};
use magnoliawinch::configuration_news::NamedVersions;
use magnoliawinch::fleet::{ChangeLog, Fleet};
use magnoliawinch::membership::{Member, MemberState, Membership};
use magnoliawinch::names::{ServiceName, UpstreamName};
use magnoliawinch::pool::Wish;
use magnoliawinch::quarantine::{Fingerprint, Quarantine, RefusedFingerprints};
use magnoliawinch::route_table::{Configuration, RouteTable};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{
    ProbeReply, ProbeRequest, RelocateRequest, RunsReply, RunsReport, StateReply, StateRequest,
};
use magnoliawinch_runtime::ControlState;
use pools::Pools;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The outcome of a question for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decided {
    /// It starts there.
    Placed(Placed),
    /// It does not run, and may come back after this time.
    Refused(Millis),
    /// It waits; ask again.
    Waits,
    /// The pool is not known here.
    Unknown,
}

/// A request was in progress at an upstream that died.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) upstream: UpstreamName,
}

/// What the control thread is asked and told.
#[derive(Debug)]
pub(crate) enum Message {
    /// A place in a pool is wanted.
    Place { service: ServiceName, cell: Cell, wish: Box<Wish>, reply: oneshot::Sender<Decided> },
    /// The runs of another daemon.
    Report { report: Box<RunsReport>, reply: oneshot::Sender<RunsReply> },
    /// The answer of an owner to a report.
    Reported { service: ServiceName, cell: Cell, reply: Box<RunsReply> },
    /// A whole configuration.
    Configuration(Box<Configuration>),
    /// News of the list of upstreams.
    List(ListNews),
    /// An upstream said that it leaves or is another one.
    UpstreamLeaves(UpstreamName),
    /// An upstream could not be reached.
    UpstreamUnreachable(UpstreamName),
    /// An owner orders a run of this daemon to move.
    Relocate(RelocateRequest),
    /// The owners are to hear of the runs without delay.
    ReportSoon,
    /// A request was in progress at an upstream that died.
    Crashed(Crash),
    /// Another daemon probes this one.
    Probe { req: ProbeRequest, reply: oneshot::Sender<ProbeReply> },
    /// A probe was answered.
    Probed(ProbeReply),
    /// Peer addresses at which daemons may run.
    Seeds(Vec<SocketAddr>),
    /// Another daemon asks for what it needs to begin.
    State { req: StateRequest, reply: oneshot::Sender<StateReply> },
    /// Such an answer.
    PeerState(Box<StateReply>),
    /// This daemon leaves.
    Leave,
}

/// Time between two views at the least.
const VIEW_EVERY: Millis = Millis(5);

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Arc<Shared>,
    membership: Membership,
    rng: ChaCha8Rng,
    table: Option<Arc<RouteTable>>,
    fleet: Fleet,
    /// Offset of the list at its last change that matters here.
    fleet_changed_at: u64,
    list_log: ChangeLog,
    pools: Pools,
    quarantine: Quarantine,
    refused: RefusedFingerprints,
    named_versions: NamedVersions,
    crashed: Vec<Crash>,
    most_daemons: usize,
    members_version: u64,
    members: Arc<Vec<Member>>,
    cells: Cells,
    fleet_view: Arc<Fleet>,
    fleet_is_old: bool,
    view_is_old: bool,
    viewed_at: Time,
}

impl Control {
    pub(crate) fn new(shared: Arc<Shared>, own: Member) -> Self {
        let now = shared.clock.now();
        Self {
            membership: Membership::new(own),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            table: None,
            fleet: Fleet::new(),
            fleet_changed_at: 0,
            list_log: ChangeLog::default(),
            pools: Pools::new(now),
            quarantine: Quarantine::new(),
            refused: RefusedFingerprints::new(),
            named_versions: NamedVersions::new(),
            crashed: Vec::new(),
            most_daemons: 1,
            members_version: u64::MAX,
            members: Arc::default(),
            cells: Cells::new(),
            fleet_view: Arc::default(),
            fleet_is_old: true,
            view_is_old: true,
            viewed_at: Time(0),
            shared,
        }
    }

    /// The version of the configuration in force; zero for none.
    fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// Puts a configuration in force, unless a newer one is.
    fn configure(&mut self, now: Time, configuration: Configuration) {
        let version = configuration.version;
        let old = self.table.as_ref().map(|table| table.version());
        if old.is_some_and(|old| old >= version) {
            return;
        }
        log::info!(version, old_version = old.unwrap_or(0); "configuration in force");
        self.table = Some(Arc::new(RouteTable::new(configuration)));
        // What an engine is, the configuration says.
        self.update_owners();
        if self.membership.own().state == MemberState::Joining {
            self.membership.ready();
            self.announce();
        }
        // Requests must not wait for the next tick to see it.
        self.store_view(now);
    }

    fn publish_view(&mut self, now: Time) {
        let members_changed = self.membership.version() != self.members_version;
        let is_due = now.since(self.viewed_at) >= VIEW_EVERY;
        if (self.view_is_old || self.fleet_is_old || members_changed) && is_due {
            self.store_view(now);
        }
    }

    fn store_view(&mut self, now: Time) {
        self.update_members();
        if self.fleet_is_old {
            self.fleet_view = Arc::new(self.fleet.clone());
            let is_listed = |name: &UpstreamName| self.fleet.get(name).is_some();
            self.shared.routing().balancer.retain(is_listed);
            self.fleet_is_old = false;
        }
        self.viewed_at = now;
        self.view_is_old = false;
        self.shared.view.store(Arc::new(View {
            own: self.membership.own().clone(),
            members: Arc::clone(&self.members),
            cells: self.cells.owners.clone(),
            cell_loads: Arc::new(self.cells.loads.clone()),
            knows_whole_list: self.cells.covered.covers(&Interest::whole()),
            daemons: self.most_daemons,
            table: self.table.clone(),
            fleet: Arc::clone(&self.fleet_view),
            refused: Arc::new(self.refused.iter().collect()),
        }));
    }

    fn update_members(&mut self) {
        if self.membership.version() == self.members_version {
            return;
        }
        self.members_version = self.membership.version();
        let own = std::iter::once(self.membership.own());
        let takes_part = |m: &&Member| m.state != MemberState::Failed;
        self.members =
            Arc::new(own.chain(self.membership.others()).filter(takes_part).cloned().collect());
        self.update_owners();
        self.most_daemons = self.most_daemons.max(self.members.len());
        log::info!(
            members = self.members.len(),
            owner = self.cells.owners.readers().first().map_or("", |owner| owner.host.as_str()),
            cells = self.cells.layout.count();
            "members changed"
        );
    }

    fn leave(&mut self) {
        self.membership.leave();
        self.announce();
        let now = self.shared.clock.now();
        self.store_view(now);
    }
}

impl ControlState for Control {
    type Message = Message;

    fn handle(&mut self, message: Message) {
        let now = self.shared.clock.now();
        match message {
            Message::Place { service, cell, wish, reply } => {
                self.place(now, service, cell, *wish, reply);
            }
            Message::Report { report, reply } => {
                let _ = reply.send(self.take_report(now, &report));
            }
            Message::Reported { service, cell, reply } => {
                self.take_reply(now, service, cell, &reply);
            }
            Message::Configuration(configuration) => self.configure(now, *configuration),
            Message::List(news) => self.take_list(now, news, &Interest::whole()),
            Message::UpstreamLeaves(name) => self.upstream_leaves(now, &name),
            Message::UpstreamUnreachable(name) => {
                self.fleet.unreachable(now, &name);
                self.fleet_is_old = true;
            }
            Message::Relocate(req) => self.relocate(&req),
            Message::ReportSoon => self.pools.report_soon(),
            Message::Crashed(crash) => self.crashed.push(crash),
            Message::Probe { req, reply } => self.probe(now, &req, reply),
            Message::Probed(answer) => self.probed(now, &answer),
            Message::Seeds(seeds) => self.probe_seeds(&seeds),
            Message::State { req, reply } => {
                let _ = reply.send(self.state_for(now, &req));
            }
            Message::PeerState(state) => self.take_state(now, &state),
            Message::Leave => self.leave(),
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.send_probes(now);
        let gone = self.fleet.tick(now);
        self.upstreams_left(now, &gone);
        self.tick_pools(now);
        self.tick_quarantine(now);
        self.ask_for_version(now);
        self.ask_readers(now);
        self.publish_view(now);
    }

    fn next_tick(&self) -> Millis {
        const BUSY: Millis = Millis(10);
        const IDLE: Millis = Millis(50);
        if self.pools.is_busy() || self.view_is_old { BUSY } else { IDLE }
    }
}
