//! State shared by all tasks of one daemon.

use crate::clock::Clock;
use crate::control::Message;
use crate::decisions::Decisions;
use crate::grants::GrantSender;
use crate::metrics::Metrics;
use crate::view::{ServiceView, View};
use arc_swap::ArcSwap;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::retry::{AttemptHistory, RetryBudget, retry_delay};
use magnoliawinch::routing::{Candidate, Router, RoutingCriteria};
use magnoliawinch::settings::Settings;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::verdict::Verdict;
use magnoliawinch_engine::EngineClient;
use magnoliawinch_hosts::HostsClient;
use magnoliawinch_log::LogClient;
use magnoliawinch_peer::{PeerChannels, PeerClient};
use magnoliawinch_runtime::{InProgressGuard, RequestCounter, ask};
use magnoliawinch_service::ServiceClient;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tonic::transport::Channel;

/// State shared by the tasks of one daemon.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) view: ArcSwap<View>,
    pub(crate) control: mpsc::Sender<Message>,
    pub(crate) grant_updates: GrantSender,
    pub(crate) peers: PeerChannels<PeerClient<Channel>>,
    pub(crate) engines: EngineClient,
    pub(crate) services: ServiceClient,
    pub(crate) log: LogClient,
    pub(crate) hosts: HostsClient,
    pub(crate) decisions: Decisions,
    pub(crate) metrics: Metrics,
    /// Runtime of the traffic threads.
    pub(crate) traffic: Handle,
    routing: Mutex<Routing>,
    requests: RequestCounter,
    refuses_work: AtomicBool,
}

/// Routing state of the traffic threads.
#[derive(Debug)]
pub(crate) struct Routing {
    pub(crate) router: Router,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) rng: ChaCha8Rng,
}

/// What a daemon's shared state is built from, besides the settings.
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) view: View,
    pub(crate) control: mpsc::Sender<Message>,
    pub(crate) grant_updates: GrantSender,
    pub(crate) metrics: Metrics,
    pub(crate) traffic: Handle,
    pub(crate) seed: u64,
}

impl Shared {
    pub(crate) fn new(settings: Settings, parts: Parts) -> Self {
        let routing = Routing {
            router: Router::new(),
            retry_budget: RetryBudget::new(),
            rng: ChaCha8Rng::seed_from_u64(parts.seed),
        };
        Self {
            clock: parts.clock,
            view: ArcSwap::from_pointee(parts.view),
            control: parts.control,
            grant_updates: parts.grant_updates,
            peers: PeerChannels::new(),
            engines: EngineClient::new(),
            services: ServiceClient::new(),
            log: LogClient::new(settings.log_address),
            hosts: HostsClient::new(settings.hosts_address),
            decisions: Decisions::new(&settings.host),
            metrics: parts.metrics,
            traffic: parts.traffic,
            routing: Mutex::new(routing),
            requests: RequestCounter::new(),
            refuses_work: AtomicBool::new(false),
            settings,
        }
    }

    pub(crate) fn routing(&self) -> MutexGuard<'_, Routing> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to the control thread and waits for the reply; `None` if it has ended.
    pub(crate) async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Option<T> {
        ask(&self.control, message).await
    }

    /// The usable upstreams of `service` for a request, best first.
    pub(crate) fn candidates(
        &self,
        now: Time,
        service: &ServiceView,
        criteria: RoutingCriteria<'_>,
    ) -> Vec<Candidate> {
        let view = self.view.load();
        let is_usable = |name: &UpstreamName| {
            service.spec.upstreams.get(name).is_some_and(|spec| {
                let ip = spec.address.ip();
                !spec.leaving && view.upstreams.is_usable(now, name.as_str(), ip)
            })
        };
        let mut routing = self.routing();
        let Routing { router, rng, .. } = &mut *routing;
        router.candidates(now, &service.spec, &service.pool, is_usable, criteria, rng)
    }

    /// Delay before the next attempt of a request, none of whose answer has been released to the
    /// caller; `None` if there must be no further attempt.
    pub(crate) fn next_attempt(
        &self,
        count: u32,
        verdict: Verdict,
        idempotent: bool,
        deadline: Time,
    ) -> Option<Millis> {
        let history =
            AttemptHistory { count, verdict, idempotent, answer_started: false, deadline };
        retry_delay(self.clock.now(), history, &mut self.routing().retry_budget)
    }

    /// From now on, requests for new work are refused.
    pub(crate) fn refuse_work(&self) {
        self.refuses_work.store(true, Ordering::SeqCst);
    }

    /// Whether requests for new work are refused, as the daemon is about to stop.
    pub(crate) fn refuses_work(&self) -> bool {
        self.refuses_work.load(Ordering::SeqCst)
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
