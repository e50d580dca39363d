//! The control thread: owns every decision that is not made from a snapshot.

mod admissions;
mod catalogue;
mod ledgers;
mod members;
mod placement;
mod thread;

pub(crate) use admissions::{AdmitAnswer, AdmitCall, AdmitResult};
pub(crate) use catalogue::{FollowAnswer, NextRead, STREAM};
pub(crate) use ledgers::ClaimCall;
pub(crate) use thread::cpu_ms;

use crate::shared::Shared;
use crate::view::{Services, View};
use admissions::Admissions;
use catalogue::Configuration;
use ledgers::Ledgers;
use magnoliawinch::admission::LoadReport;
use magnoliawinch::catalogue::{Change, Offset, State};
use magnoliawinch::ledger::{ClaimAnswer, Outcome};
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::names::{ServiceName, UpstreamName};
use magnoliawinch::ownership::Owners;
use magnoliawinch::placement::ModelStatus;
use magnoliawinch::quarantine::{Fingerprint, Quarantine, QuarantineStatus};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_hosts::HostList;
use magnoliawinch_log::Page;
use magnoliawinch_operator::{InForce, Published, ServiceInForce, Status};
use magnoliawinch_peer::{ProbeReply, ProbeRequest, RenewRequest};
use magnoliawinch_runtime::ControlState;
use members::Members;
use placement::Placement;
use std::sync::Arc;
use tokio::sync::oneshot;

/// What the control thread is asked and told.
#[derive(Debug)]
pub(crate) enum Message {
    /// A place at an upstream is wanted.
    Admit { call: AdmitCall, reply: oneshot::Sender<AdmitAnswer> },
    /// A caller of `Admit` stopped waiting.
    Withdraw { upstream: UpstreamName, token: u64 },
    /// News of grants.
    Renew(RenewRequest),
    /// A load report, or its absence.
    Load { upstream: UpstreamName, report: Option<LoadReport> },
    /// An upstream said that it leaves.
    UpstreamLeaves(UpstreamName),
    /// An upstream could not be reached.
    UpstreamUnreachable(UpstreamName),
    /// Another daemon probes this one.
    Probe { req: ProbeRequest, reply: oneshot::Sender<ProbeReply> },
    /// A probe was answered.
    Probed(ProbeReply),
    /// The platform's list.
    Listed(HostList),
    /// The configuration follower asks what to read.
    NextRead(oneshot::Sender<NextRead>),
    /// Records of the configuration stream; the answer says whether they joined up.
    CataloguePage { page: Page, reply: oneshot::Sender<bool> },
    /// The whole configuration from a peer.
    CatalogueState { state: Box<State>, reply: oneshot::Sender<bool> },
    /// A follower reads the configuration here.
    Follow { host: String, from: Offset, wait: Millis, reply: oneshot::Sender<FollowAnswer> },
    /// An operator publishes a change.
    Publish { change: Box<Change>, reply: oneshot::Sender<Published> },
    /// The append of a published change failed for sure or perhaps.
    PublishFailed { nonce: u64, reason: String },
    /// An operator asks for a service.
    Service { name: String, reply: oneshot::Sender<ServiceInForce> },
    /// Which followers of this relay have folded an offset.
    InForce { offset: Offset, reply: oneshot::Sender<InForce> },
    /// A claim of a call.
    Claim { call: ClaimCall, reply: oneshot::Sender<ClaimAnswer> },
    /// The outcome of a claimed call; the answer comes when it is in the log.
    Settle { shard: u32, key: String, nonce: u64, outcome: Outcome, reply: oneshot::Sender<()> },
    /// Records of a ledger shard; the answer says whether to go on reading.
    LedgerPage { shard: u32, page: Option<Page>, reply: oneshot::Sender<Option<Offset>> },
    /// An append to a ledger shard ended.
    LedgerAppended { shard: u32, succeeded: bool },
    /// Records of the leases; the answer says whether to go on reading.
    LeasePage { page: Option<Page>, reply: oneshot::Sender<Option<Offset>> },
    /// What an engine said of its model.
    Observed { service: ServiceName, upstream: UpstreamName, observed: ModelStatus },
    /// Asks how a fingerprint may run.
    Treatment { fingerprint: Fingerprint, reply: oneshot::Sender<QuarantineStatus> },
    /// A request with this fingerprint was in progress at an upstream that died.
    Crashed { fingerprint: Fingerprint, reply: oneshot::Sender<QuarantineStatus> },
    /// A suspect ran to its end.
    SuspectCompleted(Fingerprint),
    /// This daemon leaves.
    Leave,
    /// An operator asks for the state.
    Status(oneshot::Sender<Status>),
}

/// Time between two views at the least.
const VIEW_EVERY: Millis = Millis(10);

/// Time between two sweeps of what has expired.
const SWEEP_EVERY: Millis = Millis(1_000);

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    shared: Arc<Shared>,
    members: Members,
    configuration: Configuration,
    admissions: Admissions,
    ledgers: Ledgers,
    quarantine: Quarantine,
    placement: Placement,
    services: Arc<Services>,
    owners: Arc<Owners>,
    members_version: u64,
    view_is_old: bool,
    viewed_at: Time,
    swept_at: Time,
}

impl Control {
    pub(crate) fn new(shared: Arc<Shared>, own: Member, seed: u64) -> Self {
        Self {
            members: Members::new(own, seed),
            configuration: Configuration::new(seed),
            admissions: Admissions::new(),
            ledgers: Ledgers::new(),
            quarantine: Quarantine::new(),
            placement: Placement::new(),
            services: Arc::default(),
            owners: Arc::default(),
            members_version: u64::MAX,
            view_is_old: true,
            viewed_at: Time(0),
            swept_at: Time(0),
            shared,
        }
    }

    fn now(&self) -> Time {
        self.shared.clock.now()
    }

    fn sweep(&mut self, now: Time) {
        self.quarantine.tick(now);
        self.admissions.sweep(now);
        let membership = &self.members.membership;
        self.ledgers.sweep(now, |claimant| membership.is_gone(claimant));
        self.write_checkpoint_if_due(now);
        self.poll_loads(now);
        self.tick_placement(now);
    }

    /// Publishes a new view when the old one is out of date.
    fn publish_view(&mut self, now: Time) {
        let members_changed = self.members.membership.version() != self.members_version;
        let is_due = now.since(self.viewed_at) >= VIEW_EVERY;
        if (self.view_is_old || members_changed) && is_due {
            self.store_view(now);
        }
    }

    /// Stores a new view for the traffic threads.
    fn store_view(&mut self, now: Time) {
        let version = self.members.membership.version();
        if version != self.members_version {
            self.owners = Arc::new(Owners::new(&self.members.membership));
            self.members_version = version;
        }
        self.viewed_at = now;
        self.view_is_old = false;
        let membership = &self.members.membership;
        let domain = &membership.own().failure_domain;
        self.shared.view.store(Arc::new(View {
            ready: self.configuration.is_ready(),
            own: membership.own().clone(),
            through: self.configuration.through(),
            services: Arc::clone(&self.services),
            owners: Arc::clone(&self.owners),
            upstreams: Arc::new(self.members.upstreams.clone()),
            readers: membership.readers(domain).into_iter().cloned().collect(),
        }));
    }

    fn leave(&mut self) {
        self.members.membership.leave();
        let now = self.now();
        self.admissions.close_all(now);
        self.announce();
        self.store_view(now);
    }

    fn status(&self, now: Time) -> Status {
        let membership = &self.members.membership;
        Status {
            own: membership.own().clone(),
            others: membership.others().cloned().collect(),
            ready: self.configuration.is_ready() && membership.own().state == MemberState::Alive,
            through: self.configuration.through(),
            in_progress: self.shared.in_progress(),
            upstreams: self.admissions.status(now),
            control_cpu_ms: cpu_ms(),
        }
    }

    /// Takes over a configuration that changed.
    fn configuration_changed(&mut self) {
        if let Some(state) = self.configuration.state() {
            self.services =
                Arc::new(crate::view::services(&self.shared.settings.host, state, &self.services));
        }
        if self.configuration.is_ready()
            && self.members.membership.own().state == MemberState::Joining
        {
            self.members.membership.mark_alive();
            self.announce();
        }
        self.admissions.reconfigure(&self.services);
        let services = &self.services;
        let is_known =
            |name: &UpstreamName| services.values().any(|s| s.spec.upstreams.contains_key(name));
        self.members.upstreams.retain(is_known);
        self.view_is_old = true;
    }
}

impl ControlState for Control {
    type Message = Message;

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Admit { call, reply } => self.admit(now, call, reply),
            Message::Withdraw { upstream, token } => self.admissions.withdraw(&upstream, token),
            Message::Renew(req) => self.renew(now, &req),
            Message::Load { upstream, report } => self.load(now, &upstream, report),
            Message::UpstreamLeaves(upstream) => self.upstream_leaves(&upstream),
            Message::UpstreamUnreachable(upstream) => {
                self.members.upstreams.mark_unreachable(now, &upstream);
                self.view_is_old = true;
            }
            Message::Probe { req, reply } => self.probe(now, &req, reply),
            Message::Probed(answer) => self.probed(now, &answer),
            Message::Listed(list) => self.listed(now, &list),
            Message::NextRead(reply) => self.next_read(reply),
            Message::CataloguePage { page, reply } => self.catalogue_page(now, &page, reply),
            Message::CatalogueState { state, reply } => self.catalogue_state(*state, reply),
            Message::Follow { host, from, wait, reply } => {
                self.configuration.follow(now, host, from, wait, reply);
            }
            Message::Publish { change, reply } => self.publish(now, *change, reply),
            Message::PublishFailed { nonce, reason } => {
                self.configuration.publish_failed(nonce, reason);
            }
            Message::Service { name, reply } => {
                let _ = reply.send(self.configuration.service(&name));
            }
            Message::InForce { offset, reply } => {
                let own = self.members.membership.own().host.clone();
                let _ = reply.send(self.configuration.in_force(now, &own, offset));
            }
            Message::Claim { call, reply } => self.claim(now, call, reply),
            Message::Settle { shard, key, nonce, outcome, reply } => {
                let shared = &self.shared;
                self.ledgers.settle(shared, now, shard, &key, nonce, outcome, reply);
            }
            Message::LedgerPage { shard, page, reply } => {
                let next = self.ledgers.page(&self.shared, now, shard, page);
                let _ = reply.send(next);
            }
            Message::LedgerAppended { shard, succeeded } => {
                self.ledgers.appended(&self.shared, now, shard, succeeded);
            }
            Message::LeasePage { page, reply } => {
                let _ = reply.send(self.lease_page(now, page.as_ref()));
            }
            Message::Observed { service, upstream, observed } => {
                self.observed(now, &service, &upstream, observed);
            }
            Message::Treatment { fingerprint, reply } => {
                let _ = reply.send(self.quarantine.status(now, fingerprint));
            }
            Message::Crashed { fingerprint, reply } => {
                let _ = reply.send(self.quarantine.crashed(now, fingerprint));
            }
            Message::SuspectCompleted(fingerprint) => self.quarantine.completed(fingerprint),
            Message::Leave => self.leave(),
            Message::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.send_probes(now);
        self.admissions.tick(now);
        self.ledgers.tick(&self.shared, now);
        self.configuration.tick(now);
        if now.since(self.swept_at) >= SWEEP_EVERY {
            self.swept_at = now;
            self.sweep(now);
        }
        self.publish_view(now);
    }

    fn next_tick(&self) -> Millis {
        const BUSY: Millis = Millis(5);
        const IDLE: Millis = Millis(50);
        let is_busy = self.ledgers.is_waiting() || self.admissions.is_waiting();
        if is_busy || self.view_is_old { BUSY } else { IDLE }
    }
}
