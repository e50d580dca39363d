//! The control thread: owns the control state and makes all decisions that need more than a
//! snapshot of it.

mod admissions;
mod catalogue;
mod ledgers;
mod members;
mod placement;
mod thread;

pub(crate) use admissions::{AdmissionReply, AdmissionRequest, AdmitDecision};
pub(crate) use catalogue::{FollowerReply, NextRead, STREAM};
pub(crate) use ledgers::ShardClaim;
pub(crate) use thread::cpu_ms;

use crate::shared::Shared;
use crate::view::{Services, View};
use admissions::Admissions;
use catalogue::Configuration;
use ledgers::Ledgers;
use magnoliawinch::admission::LoadReport;
use magnoliawinch::catalogue::{Change, Offset, State};
use magnoliawinch::ledger::{ClaimDecision, Outcome};
use magnoliawinch::membership::{Member, MemberState};
use magnoliawinch::names::{ServiceName, UpstreamName};
use magnoliawinch::ownership::Owners;
use magnoliawinch::placement::ModelStatus;
use magnoliawinch::quarantine::{Crash, Fingerprint, Quarantine, QuarantineStatus};
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

/// Messages to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// Requests admission to an upstream.
    Admit { request: AdmissionRequest, reply: oneshot::Sender<AdmissionReply> },
    /// Withdraws an admission request whose sender stopped waiting.
    Withdraw { upstream: UpstreamName, withdraw_id: u64 },
    /// Grant renewals, progress and releases from the grants' holder.
    Renew(RenewRequest),
    /// A load report; `None` if the load poll failed.
    Load { upstream: UpstreamName, report: Option<LoadReport> },
    /// An upstream replied that it is leaving.
    UpstreamLeaving(UpstreamName),
    /// A connection to an upstream failed.
    UpstreamUnreachable(UpstreamName),
    /// A probe from another daemon.
    Probe { req: ProbeRequest, reply: oneshot::Sender<ProbeReply> },
    /// A reply to a probe sent by this daemon.
    ProbeReply(ProbeReply),
    /// The platform's list of hosts.
    HostList(HostList),
    /// Asks which configuration record to read next.
    NextRead(oneshot::Sender<NextRead>),
    /// Records of the configuration stream; the reply is `false` if records before them are missing.
    CataloguePage { page: Page, reply: oneshot::Sender<bool> },
    /// A peer's complete configuration; the reply tells whether it was applied.
    CatalogueState { state: Box<State>, reply: oneshot::Sender<bool> },
    /// Another daemon's read of the configuration stream.
    Follow { host: String, from: Offset, wait: Millis, reply: oneshot::Sender<FollowerReply> },
    /// An operator's change to the configuration.
    Publish { change: Box<Change>, reply: oneshot::Sender<Published> },
    /// The append of a change failed; it may still have taken effect.
    PublishFailed { nonce: u64, reason: String },
    /// An operator's query for a service's current revision.
    Service { name: String, reply: oneshot::Sender<ServiceInForce> },
    /// Asks which followers of this daemon have applied the record at `offset`.
    InForce { offset: Offset, reply: oneshot::Sender<InForce> },
    /// Claims the right to dispatch a call.
    Claim { claim: ShardClaim, reply: oneshot::Sender<ClaimDecision> },
    /// Records a claimed call's outcome; the reply is sent when it is in the log.
    Settle { shard: u32, key: String, nonce: u64, outcome: Outcome, reply: oneshot::Sender<()> },
    /// Records of a ledger shard, `None` after a failed read; the reply is the offset to read next,
    /// `None` to stop reading.
    LedgerPage { shard: u32, page: Option<Page>, reply: oneshot::Sender<Option<Offset>> },
    /// An append to a ledger shard ended.
    LedgerAppended { shard: u32, succeeded: bool },
    /// Records of the lease stream, `None` after a failed read; the reply is as for `LedgerPage`.
    LeasePage { page: Option<Page>, reply: oneshot::Sender<Option<Offset>> },
    /// An engine's report of its model.
    ModelStatus { service: ServiceName, upstream: UpstreamName, status: ModelStatus },
    /// Asks whether and how requests with this fingerprint may run.
    Quarantine { fingerprint: Fingerprint, reply: oneshot::Sender<QuarantineStatus> },
    /// An upstream crashed with a request of this fingerprint in progress.
    Crashed { crash: Crash, reply: oneshot::Sender<QuarantineStatus> },
    /// A request with a suspect fingerprint ran to completion.
    SuspectCompleted(Fingerprint),
    /// This daemon is shutting down.
    Leave,
    /// An operator's query for the daemon's state.
    Status(oneshot::Sender<Status>),
}

/// Minimum time between two published views.
const MIN_VIEW_INTERVAL: Millis = Millis(10);

/// Interval between removals of expired state and other infrequent work.
const SWEEP_INTERVAL: Millis = Millis(1_000);

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
    view_is_stale: bool,
    view_published_at: Time,
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
            view_is_stale: true,
            view_published_at: Time(0),
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
        self.ledgers.sweep(now, |claimant| membership.has_stopped(claimant));
        self.write_checkpoint_if_due(now);
        self.poll_loads(now);
        self.tick_placement(now);
    }

    fn publish_view_if_due(&mut self, now: Time) {
        let members_changed = self.members.membership.version() != self.members_version;
        let is_due = now.since(self.view_published_at) >= MIN_VIEW_INTERVAL;
        if (self.view_is_stale || members_changed) && is_due {
            self.publish_view(now);
        }
    }

    /// Publishes a snapshot of the control state for the traffic threads.
    fn publish_view(&mut self, now: Time) {
        let version = self.members.membership.version();
        if version != self.members_version {
            self.owners = Arc::new(Owners::new(&self.members.membership));
            self.members_version = version;
        }
        self.view_published_at = now;
        self.view_is_stale = false;
        let membership = &self.members.membership;
        let domain = &membership.own().failure_domain;
        self.shared.view.store(Arc::new(View {
            ready: self.configuration.is_ready(),
            own: membership.own().clone(),
            last_offset: self.configuration.last_offset(),
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
        self.publish_view(now);
    }

    fn status(&self, now: Time) -> Status {
        let membership = &self.members.membership;
        Status {
            own: membership.own().clone(),
            others: membership.others().cloned().collect(),
            ready: self.configuration.is_ready() && membership.own().state == MemberState::Alive,
            through: self.configuration.last_offset(),
            in_progress: self.shared.in_progress(),
            upstreams: self.admissions.status(now),
            control_cpu_ms: cpu_ms(),
        }
    }

    /// Applies a changed configuration to the rest of the state.
    fn configuration_changed(&mut self) {
        if let Some(state) = self.configuration.state() {
            self.services = Arc::new(crate::view::service_views(
                &self.shared.settings.host,
                state,
                &self.services,
            ));
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
        self.view_is_stale = true;
    }
}

impl ControlState for Control {
    type Message = Message;

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Admit { request, reply } => self.admit(now, request, reply),
            Message::Withdraw { upstream, withdraw_id } => {
                self.admissions.withdraw(&upstream, withdraw_id);
            }
            Message::Renew(req) => self.renew(now, &req),
            Message::Load { upstream, report } => self.handle_load(now, &upstream, report),
            Message::UpstreamLeaving(upstream) => self.handle_upstream_leaving(&upstream),
            Message::UpstreamUnreachable(upstream) => {
                self.members.upstreams.mark_unreachable(now, &upstream);
                self.view_is_stale = true;
            }
            Message::Probe { req, reply } => self.handle_probe(now, &req, reply),
            Message::ProbeReply(reply) => self.handle_probe_reply(now, &reply),
            Message::HostList(list) => self.handle_host_list(now, &list),
            Message::NextRead(reply) => self.next_read(reply),
            Message::CataloguePage { page, reply } => self.apply_catalogue_page(now, &page, reply),
            Message::CatalogueState { state, reply } => self.restore_catalogue(*state, reply),
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
            Message::Claim { claim, reply } => self.claim(now, claim, reply),
            Message::Settle { shard, key, nonce, outcome, reply } => {
                let shared = &self.shared;
                self.ledgers.settle(shared, now, shard, &key, nonce, outcome, reply);
            }
            Message::LedgerPage { shard, page, reply } => {
                let next = self.ledgers.apply_page(&self.shared, now, shard, page);
                let _ = reply.send(next);
            }
            Message::LedgerAppended { shard, succeeded } => {
                self.ledgers.append_ended(&self.shared, now, shard, succeeded);
            }
            Message::LeasePage { page, reply } => {
                let _ = reply.send(self.apply_lease_page(now, page.as_ref()));
            }
            Message::ModelStatus { service, upstream, status } => {
                self.handle_model_status(now, &service, &upstream, status);
            }
            Message::Quarantine { fingerprint, reply } => {
                let _ = reply.send(self.quarantine.status(now, fingerprint));
            }
            Message::Crashed { crash, reply } => {
                self.quarantine.record_crash(now, now, &crash);
                let _ = reply.send(self.quarantine.status(now, crash.fingerprint));
            }
            Message::SuspectCompleted(fingerprint) => {
                self.quarantine.record_completion(now, now, fingerprint);
            }
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
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.sweep(now);
        }
        self.publish_view_if_due(now);
    }

    fn next_tick(&self) -> Millis {
        const BUSY_TICK: Millis = Millis(5);
        const IDLE_TICK: Millis = Millis(50);
        let is_busy = self.ledgers.is_waiting() || self.admissions.is_waiting();
        if is_busy || self.view_is_stale { BUSY_TICK } else { IDLE_TICK }
    }
}
