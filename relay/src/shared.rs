//! What all tasks of one daemon share.

use crate::clock::Clock;
use crate::control::Message;
use crate::runs::Runs;
use crate::settings::Settings;
use crate::view::View;
use arc_swap::ArcSwap;
use magnoliawinch::balance::Balancer;
use magnoliawinch::membership::Member;
use magnoliawinch::names::ServiceName;
use magnoliawinch::retry::SharedRetryBudget;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_http::Client;
use magnoliawinch_peer::{Peers, RelayClient};
use magnoliawinch_runtime::{InProgress, Requests, ask};
use magnoliawinch_telemetry::{Journal, Metrics};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tonic::transport::Channel;

/// Longest time to open a connection to an upstream: one that does not answer by then is passed
/// over, well within the time limit of the shortest requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Routing state of the traffic thread.
#[derive(Debug)]
pub(crate) struct Routing {
    pub(crate) balancer: Balancer,
    pub(crate) rng: ChaCha8Rng,
    budgets: HashMap<ServiceName, SharedRetryBudget>,
    /// Owners of pools that did not answer, until when they are passed over.
    pub(crate) silent_until: HashMap<String, Time>,
}

/// Shared by the tasks of one daemon.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) view: ArcSwap<View>,
    pub(crate) control: mpsc::Sender<Message>,
    pub(crate) peers: Peers<RelayClient<Channel>>,
    pub(crate) upstreams: Client,
    pub(crate) runs: Runs,
    pub(crate) metrics: Metrics,
    pub(crate) journal: Journal,
    pub(crate) traffic: Handle,
    routing: Mutex<Routing>,
    requests: Requests,
    /// When the list of upstreams was last read, as a `Time`; zero for never.
    list_read_at: AtomicU64,
    /// When a configuration was last looked for, here or by an owner that is heard from.
    configuration_looked_at: AtomicU64,
    /// The newest version of the configuration that a peer has named.
    pub(crate) named_version: watch::Sender<u64>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        own: Member,
        control: mpsc::Sender<Message>,
        traffic: Handle,
    ) -> Self {
        let routing = Routing {
            balancer: Balancer::new(),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            budgets: HashMap::new(),
            silent_until: HashMap::new(),
        };
        Self {
            settings,
            view: ArcSwap::from_pointee(View::new(own)),
            control,
            peers: Peers::new(),
            upstreams: Client::new().with_connect_timeout(CONNECT_TIMEOUT),
            runs: Runs::new(),
            metrics: Metrics::new(),
            journal: Journal::new(clock.now()),
            traffic,
            routing: Mutex::new(routing),
            requests: Requests::new(),
            list_read_at: AtomicU64::new(0),
            configuration_looked_at: AtomicU64::new(0),
            named_version: watch::Sender::new(0),
            clock,
        }
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to the control thread and waits for its answer.
    pub(crate) async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Option<T> {
        ask(&self.control, message).await
    }

    /// Tells the control thread something that it may miss under overload.
    pub(crate) fn tell(&self, message: Message) {
        if self.control.try_send(message).is_err() {
            self.metrics.count("control_overflow", "message");
        }
    }

    /// Notes a request for `service`, which earns a part of a retry.
    pub(crate) fn earn_retry(&self, service: &ServiceName) {
        self.with_budget(service, |budget, now| budget.record_request(now));
    }

    /// Spends one retry for `service`, if this daemon's part has one left.
    pub(crate) fn spend_retry(&self, service: &ServiceName) -> bool {
        let daemons = self.view.load().daemons;
        self.with_budget(service, |budget, now| budget.try_spend(now, daemons))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut SharedRetryBudget, Time) -> T,
    ) -> T {
        let bounds = self.settings.bounds.retries;
        let now = self.clock.now();
        let mut routing = self.routing();
        let budget = routing
            .budgets
            .entry(service.clone())
            .or_insert_with(|| SharedRetryBudget::new(bounds));
        f(budget, now)
    }

    /// Notes when the list of upstreams was last read, here or by the daemon that told of it.
    pub(crate) fn note_list_read(&self, at: Time) {
        self.list_read_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Time since the list of upstreams was last read.
    pub(crate) fn list_age(&self) -> Millis {
        self.clock.now().since(Time(self.list_read_at.load(Ordering::Acquire)))
    }

    /// Notes when a configuration was looked for, here or by an owner that tells so.
    pub(crate) fn note_look(&self, at: Time) {
        self.configuration_looked_at.fetch_max(at.0, Ordering::AcqRel);
    }

    /// When a configuration was last looked for.
    pub(crate) fn looked_at(&self) -> Time {
        Time(self.configuration_looked_at.load(Ordering::Acquire))
    }

    /// Requests in progress.
    pub(crate) fn in_progress(&self) -> u64 {
        self.requests.in_progress()
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn enter(&self) -> InProgress {
        self.requests.enter()
    }
}
