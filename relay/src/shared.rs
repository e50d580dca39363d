//! State shared by all tasks of one daemon.

use crate::carry::CarriedCall;
use crate::clock::Clock;
use crate::configuration_body::ServedBodies;
use crate::control::Message;
use crate::outbound::Upstreams;
use crate::runs::Runs;
use crate::settings::Settings;
use crate::view::View;
use arc_swap::ArcSwap;
use magnoliawinch::balance::Balancer;
use magnoliawinch::dissemination::{ChunkRequest, KnownRead, KnownReads};
use magnoliawinch::fatal_parts::Trials;
use magnoliawinch::membership::Member;
use magnoliawinch::names::ServiceName;
use magnoliawinch::planned_stop::PlannedStop;
use magnoliawinch::quarantine::{Completions, Fingerprint};
use magnoliawinch::rendezvous;
use magnoliawinch::retry::{RepeatCause, RepeatUses, SharedRetryBudget};
use magnoliawinch::run_starts::RunStarts;
use magnoliawinch::service_paths::ServicePaths;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::upstream_limits::Hosts;
use magnoliawinch_http::BodyBudget;
use magnoliawinch_peer::{
    FetchReply, FetchRequest, PeerChannels, PeerError, RelayClient, StateReply, StateRequest,
};
use magnoliawinch_runtime::{InProgressGuard, RequestCounter, ask};
use magnoliawinch_telemetry::{LogLimiter, Metrics};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep};
use tonic::transport::Channel;

/// Time after the last chunk for which a daemon waits for a transfer from a peer instead of reading
/// the store.
const TRANSFER_PATIENCE: Millis = Millis(1_500);

/// Retries of one service's requests.
#[derive(Debug)]
struct ServiceRetries {
    budget: SharedRetryBudget,
    uses: RepeatUses,
}

/// Routing state of the traffic thread.
#[derive(Debug)]
pub(crate) struct Routing {
    pub(crate) balancer: Balancer,
    pub(crate) rng: ChaCha8Rng,
    retries: HashMap<ServiceName, ServiceRetries>,
    /// Pool owners that did not reply, by host, and until when they are skipped.
    pub(crate) silent_until: HashMap<String, Time>,
}

/// State shared by the tasks of one daemon.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) view: ArcSwap<View>,
    pub(crate) control: mpsc::Sender<Message>,
    pub(crate) peers: PeerChannels<RelayClient<Channel>>,
    /// Channels for transfers, which must not delay other messages or fail with them.
    pub(crate) bulk_peers: PeerChannels<RelayClient<Channel>>,
    /// Channels for callers' requests that other hosts serve.
    pub(crate) carriers: PeerChannels<RelayClient<Channel>>,
    /// Requests that other hosts carry to this one.
    pub(crate) carried: mpsc::Sender<CarriedCall>,
    pub(crate) upstreams: Upstreams,
    /// The memory that bodies of callers' requests share.
    pub(crate) request_budget: BodyBudget,
    pub(crate) runs: Runs,
    pub(crate) metrics: Metrics,
    pub(crate) log_limiter: LogLimiter,
    pub(crate) traffic: Handle,
    routing: Mutex<Routing>,
    completions: Mutex<Completions>,
    run_starts: Mutex<RunStarts>,
    trials: Mutex<Trials>,
    paths: Mutex<ServicePaths>,
    /// Changes with the paths.
    pub(crate) paths_changed: watch::Sender<()>,
    /// Changes with the requests and parts of prompts that are refused, after the view.
    pub(crate) refusals_changed: watch::Sender<()>,
    requests: RequestCounter,
    /// The planned stop, once it has begun.
    planned_stop: watch::Sender<Option<PlannedStop>>,
    /// Polls and state requests without a reply.
    state_calls: RequestCounter,
    bodies: Mutex<ServedBodies>,
    /// Until when a transfer of a configuration from a peer counts as advancing.
    receives_until: AtomicU64,
    /// When the list of upstreams was last read, as a `Time`; zero if never.
    list_read_at: AtomicU64,
    configuration_reads: Mutex<KnownReads>,
    /// When a reader or deputy last tried to.
    read_attempted_at: AtomicU64,
    /// Whether this daemon's own last read of the configuration succeeded.
    reads_configuration: AtomicBool,
    /// The same for the list of upstreams.
    reads_list: AtomicBool,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        own: Member,
        control: mpsc::Sender<Message>,
        carried: mpsc::Sender<CarriedCall>,
        traffic: Handle,
    ) -> Self {
        let routing = Routing {
            balancer: Balancer::new().with_model_use(settings.server_model),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            retries: HashMap::new(),
            silent_until: HashMap::new(),
        };
        let own_hash = rendezvous::hash(own.host.as_str());
        let body_budget = BodyBudget::new(settings.bounds.response_buffer_bytes());
        let request_budget = BodyBudget::new(settings.bounds.request_buffer_bytes());
        let sharing_hosts = Hosts::new(clock.now(), own.host.clone());
        Self {
            settings,
            view: ArcSwap::from_pointee(View::new(own)),
            control,
            peers: PeerChannels::new(),
            bulk_peers: PeerChannels::new(),
            carriers: PeerChannels::new(),
            carried,
            upstreams: Upstreams::new(sharing_hosts, body_budget),
            request_budget,
            runs: Runs::new(),
            metrics: Metrics::new(),
            log_limiter: LogLimiter::new(clock.now()),
            traffic,
            routing: Mutex::new(routing),
            completions: Mutex::default(),
            run_starts: Mutex::default(),
            trials: Mutex::default(),
            paths: Mutex::default(),
            paths_changed: watch::Sender::new(()),
            refusals_changed: watch::Sender::new(()),
            requests: RequestCounter::new(),
            planned_stop: watch::Sender::new(None),
            state_calls: RequestCounter::new(),
            bodies: Mutex::default(),
            receives_until: AtomicU64::new(0),
            list_read_at: AtomicU64::new(0),
            configuration_reads: Mutex::new(KnownReads::new(own_hash)),
            read_attempted_at: AtomicU64::new(0),
            reads_configuration: AtomicBool::new(false),
            reads_list: AtomicBool::new(false),
            clock,
        }
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When runs last completed.
    pub(crate) fn completions(&self) -> MutexGuard<'_, Completions> {
        self.completions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this host reaches the services.
    pub(crate) fn paths(&self) -> MutexGuard<'_, ServicePaths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests with refused parts that are tried.
    pub(crate) fn trials(&self) -> MutexGuard<'_, Trials> {
        self.trials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs that have just begun.
    pub(crate) fn run_starts(&self) -> MutexGuard<'_, RunStarts> {
        self.run_starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a run completed, so that its fingerprint is no suspect.
    pub(crate) fn note_completed(&self, fingerprint: Fingerprint) {
        self.completions().record(self.clock.now(), fingerprint);
        if self.view.load().quarantine.contains_key(&fingerprint) {
            self.tell(Message::SuspectCompleted(fingerprint));
        }
    }

    /// Sends a message to the control thread and waits for the reply; `None` if the thread
    /// has ended.
    pub(crate) async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Option<T> {
        ask(&self.control, message).await
    }

    /// Sends a message to the control thread without waiting; drops it if the queue is full.
    pub(crate) fn tell(&self, message: Message) {
        if self.control.try_send(message).is_err() {
            self.metrics.count("control_overflow", "message");
        }
    }

    /// Requests the state of the daemon at `address`; logs and counts a failure by `purpose`.
    pub(crate) async fn call_state(
        &self,
        purpose: &'static str,
        address: SocketAddr,
        timeout: Duration,
        req: StateRequest,
    ) -> Option<StateReply> {
        let (version, started_at) = (req.configuration_version, self.clock.now());
        let result = {
            let _in_progress = self.state_calls.track();
            self.metrics.set("state_calls", "in_progress", self.state_calls.in_progress());
            self.peers.call(address, timeout, |mut peer| async move { peer.state(req).await }).await
        };
        self.metrics.set("state_calls", "in_progress", self.state_calls.in_progress());
        match result {
            Ok(reply) => Some(reply),
            Err(e) => {
                self.note_failed_call(purpose, started_at, version, 0, &e);
                None
            }
        }
    }

    /// Requests a chunk; logs and counts a failure.
    pub(crate) async fn call_fetch(
        &self,
        chunk: &ChunkRequest,
        timeout: Duration,
        req: FetchRequest,
    ) -> Option<FetchReply> {
        let started_at = self.clock.now();
        let call = self
            .bulk_peers
            .call(chunk.source, timeout, |mut peer| async move { peer.fetch(req).await });
        match call.await {
            Ok(reply) => Some(reply),
            Err(e) => {
                self.note_failed_call("chunk", started_at, chunk.id.version, chunk.offset, &e);
                None
            }
        }
    }

    fn note_failed_call(
        &self,
        purpose: &'static str,
        started_at: Time,
        version: u64,
        received: usize,
        e: &PeerError,
    ) {
        self.metrics.count("peer_call_failed", purpose);
        let now = self.clock.now();
        if self.log_limiter.admits(now) {
            log::warn!(
                what = purpose,
                took_ms = now.since(started_at).0,
                version,
                received,
                in_progress = self.state_calls.in_progress();
                "call to a peer failed: {e}"
            );
        }
    }

    /// Credits a request for `service`, which adds a fraction of a retry to its budget.
    pub(crate) fn earn_retry(&self, service: &ServiceName) {
        self.with_retries(service, |retries, now| retries.budget.record_request(now));
    }

    /// Spends one retry for `service`; returns whether this daemon's share of the budget allows it.
    pub(crate) fn spend_retry(&self, service: &ServiceName) -> bool {
        self.spend(service, |_| 0.0)
    }

    /// The same, but leaves a part of the budget to retries that help more often than those for `cause`.
    pub(crate) fn spend_repeat(&self, service: &ServiceName, cause: RepeatCause) -> bool {
        self.spend(service, |uses| uses.reserve(cause))
    }

    fn spend(&self, service: &ServiceName, reserve: impl FnOnce(&mut RepeatUses) -> f64) -> bool {
        // The seeds are daemons, too, even if none has answered yet.
        let daemons = self.view.load().peak_daemons.max(self.settings.seeds.len());
        let (may_retry, is_new) = self.with_retries(service, |retries, now| {
            let reserve = reserve(&mut retries.uses);
            let may_retry = retries.budget.try_spend_with_reserve(now, daemons, reserve);
            (may_retry, retries.budget.is_new(now))
        });
        if !may_retry {
            let budget = if is_new { "new" } else { "shared" };
            self.metrics.count("retry_refused", budget);
        }
        may_retry
    }

    /// Records whether a request was helped by being sent to a second server for `cause`.
    pub(crate) fn note_repeat(&self, service: &ServiceName, cause: RepeatCause, helped: bool) {
        let name: &'static str = cause.into();
        self.metrics.count(if helped { "repeat_helped" } else { "repeat_in_vain" }, name);
        self.with_retries(service, |retries, _| retries.uses.record(cause, helped));
    }

    /// Records that a run of `service` was continued at another upstream, or that this was refused.
    pub(crate) fn note_resumption(&self, service: &ServiceName) {
        self.with_retries(service, |retries, now| retries.budget.record_retry(now));
    }

    fn with_retries<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut ServiceRetries, Time) -> T,
    ) -> T {
        let limits = self.settings.bounds.retries;
        let now = self.clock.now();
        let mut routing = self.routing();
        let retries = routing.retries.entry(service.clone()).or_insert_with(|| ServiceRetries {
            budget: SharedRetryBudget::new(limits, self.clock.started_at()),
            uses: RepeatUses::default(),
        });
        f(retries, now)
    }

    /// Notes when the list of upstreams was read, here or by the daemon that sent it.
    pub(crate) fn note_list_read(&self, at: Time) {
        self.list_read_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Time since the list of upstreams was last read.
    pub(crate) fn list_age(&self) -> Millis {
        self.clock.now().since(self.last_list_read())
    }

    /// When the list of upstreams was last read.
    pub(crate) fn last_list_read(&self) -> Time {
        Time(self.list_read_at.load(Ordering::Acquire))
    }

    /// The bodies of configurations that this daemon serves.
    pub(crate) fn bodies(&self) -> MutexGuard<'_, ServedBodies> {
        self.bodies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes whether a configuration is being received from a peer.
    pub(crate) fn set_receives_configuration(&self, is_advancing: bool, now: Time) {
        let until = if is_advancing { now + TRANSFER_PATIENCE } else { Time(0) };
        self.receives_until.store(until.0, Ordering::Release);
    }

    /// Whether a configuration is being received from a peer, so that the store need not be read.
    pub(crate) fn receives_configuration(&self) -> bool {
        self.clock.now() < Time(self.receives_until.load(Ordering::Acquire))
    }

    fn configuration_reads(&self) -> MutexGuard<'_, KnownReads> {
        self.configuration_reads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a read of the store's configuration that a peer reported.
    pub(crate) fn note_configuration_read(&self, read: KnownRead) {
        self.configuration_reads().record(read);
    }

    /// Notes a read of the store's configuration by this daemon.
    pub(crate) fn note_own_configuration_read(&self) {
        self.configuration_reads().record_own(self.clock.now());
    }

    /// The last known read of the store's configuration.
    pub(crate) fn last_configuration_read(&self) -> KnownRead {
        self.configuration_reads().newest()
    }

    /// Sets the rank of this daemon among the readers.
    pub(crate) fn set_reader_rank(&self, rank: Option<usize>) {
        self.configuration_reads().set_rank(rank);
    }

    /// Whether a better-ranked daemon has recently read the store's configuration.
    pub(crate) fn hears_better_reader(&self) -> bool {
        self.configuration_reads().hears_better(self.clock.now())
    }

    /// Time since the store's configuration was last read.
    pub(crate) fn configuration_read_age(&self) -> Millis {
        self.clock.now().since(self.last_configuration_read().at)
    }

    /// Notes when a reader or deputy tried to read the store.
    pub(crate) fn note_read_attempt(&self, at: Time) {
        self.read_attempted_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// When a reader or deputy last tried to read the store.
    pub(crate) fn last_read_attempt(&self) -> Time {
        Time(self.read_attempted_at.load(Ordering::Acquire))
    }

    /// Notes whether this daemon's own read of the configuration succeeded.
    pub(crate) fn set_reads_configuration(&self, has_succeeded: bool) {
        self.reads_configuration.store(has_succeeded, Ordering::Release);
    }

    /// Notes whether this daemon's own read of the list of upstreams succeeded.
    pub(crate) fn set_reads_list(&self, has_succeeded: bool) {
        self.reads_list.store(has_succeeded, Ordering::Release);
    }

    /// Whether this daemon's own last reads of the store succeeded.
    pub(crate) fn reaches_store(&self) -> bool {
        self.reads_configuration.load(Ordering::Acquire) && self.reads_list.load(Ordering::Acquire)
    }

    /// Begins the planned stop.
    pub(crate) fn begin_stop(&self) -> PlannedStop {
        let stop = PlannedStop::new(self.clock.now(), self.settings.bounds.grace);
        self.planned_stop.send_replace(Some(stop));
        stop
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.planned_stop.borrow().is_some()
    }

    /// Whether a planned stop has got to the time at which all answers are due.
    pub(crate) fn are_answers_due(&self) -> bool {
        let stop = *self.planned_stop.borrow();
        stop.is_some_and(|stop| stop.answers_due() <= self.clock.now())
    }

    /// Whether a request that is due at `deadline` gets its answer before a planned stop that has begun.
    pub(crate) fn accepts(&self, deadline: Instant) -> bool {
        let stop = *self.planned_stop.borrow();
        stop.is_none_or(|stop| stop.admits(self.clock.time_of(deadline)))
    }

    /// Completes when a planned stop has begun before whose end a request that is due at `deadline` may
    /// get no answer.
    pub(crate) async fn outlives_daemon(&self, deadline: Instant) {
        let stop = self.stop_begins().await;
        if stop.admits(self.clock.time_of(deadline)) {
            pending::<()>().await;
        }
    }

    /// Completes when a planned stop has begun and all answers are due.
    pub(crate) async fn answers_due(&self) {
        let stop = self.stop_begins().await;
        loop {
            let left = stop.answers_due().since(self.clock.now());
            if left == Millis(0) {
                return;
            }
            sleep(left.into()).await;
        }
    }

    /// Completes when a planned stop begins, or has begun.
    async fn stop_begins(&self) -> PlannedStop {
        let mut stop = self.planned_stop.subscribe();
        match stop.wait_for(Option::is_some).await.map(|stop| *stop) {
            Ok(Some(stop)) => stop,
            // The sender lives as long as `self`.
            Ok(None) | Err(_) => pending().await,
        }
    }

    /// Number of requests in progress.
    pub(crate) fn in_progress(&self) -> u64 {
        self.requests.in_progress()
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn track_request(&self) -> InProgressGuard {
        self.requests.track()
    }
}
