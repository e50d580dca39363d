//! Orders engines to load models while this daemon holds their service's lease.

use super::{Control, Message};
use crate::shared::Shared;
use magnoliawinch::catalogue::Offset;
use magnoliawinch::decision::Decision;
use magnoliawinch::ledger::Claimant;
use magnoliawinch::names::{ServiceName, UpstreamName};
use magnoliawinch::placement::lease::STREAM;
use magnoliawinch::placement::{LeaseClient, LeaseRecord, Leases, ModelStatus, Order, Rollout};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_log::Page;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between polls of the engines' models.
const POLL_INTERVAL: Millis = Millis(2_000);

/// Engines of a service polled per interval, besides those that are loading. The bound keeps the
/// cost independent of the number of engines.
const POLLED_PER_ROUND: usize = 4;

/// Maximum wait of one read for new lease records.
const READ_WAIT: Duration = Duration::from_millis(3_000);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The services whose models this daemon places, with their leases.
#[derive(Debug, Default)]
pub(super) struct Placement {
    leases: Leases,
    next_offset: Offset,
    /// Whether a `read_leases` task is running.
    has_reader: bool,
    services: HashMap<ServiceName, PlacedService>,
}

#[derive(Debug)]
struct PlacedService {
    lease_client: LeaseClient,
    rollout: Rollout,
    polled_at: Option<Time>,
    /// Index of the engine to poll next.
    next_poll: usize,
}

impl Placement {
    pub(super) fn new() -> Self {
        Self { next_offset: Offset(1), ..Self::default() }
    }

    fn apply_page(&mut self, now: Time, page: &Page) {
        self.next_offset = self.next_offset.max(page.first);
        for record in page.records.iter().filter(|record| record.offset >= self.next_offset) {
            let Ok(lease) = serde_json::from_str::<LeaseRecord>(&record.data) else {
                log::warn!("cannot parse lease record {}", record.offset.0);
                continue;
            };
            self.leases.apply(record.offset, record.at_ms, &lease);
            for placed in self.services.values_mut() {
                placed.lease_client.on_record(now, &lease, &self.leases);
            }
        }
        self.next_offset = page
            .records
            .last()
            .map_or(self.next_offset, |last| last.offset.next().max(self.next_offset));
    }
}

fn append_record(shared: &Arc<Shared>, record: &LeaseRecord) {
    let data = serde_json::to_string(record).unwrap_or_default();
    let task_shared = Arc::clone(shared);
    shared.traffic.spawn(async move {
        if let Err(e) = task_shared.log.append(STREAM, &data).await {
            log::warn!("failed to append a lease record: {e}");
        }
    });
}

/// Reads lease records until the control thread needs no more.
async fn read_leases(shared: Arc<Shared>, from: Offset) {
    let mut from = from;
    loop {
        let page = shared.log.read(STREAM, from, READ_WAIT).await.ok();
        let failed = page.is_none();
        match shared.ask(|reply| Message::LeasePage { page, reply }).await.flatten() {
            Some(next) => from = next,
            None => return,
        }
        if failed {
            sleep(RETRY_DELAY).await;
        }
    }
}

impl Control {
    /// Takes, renews and releases leases, and sends the orders that are due.
    pub(super) fn tick_placement(&mut self, now: Time) {
        let mut wanted = Vec::new();
        for service in self.services.values() {
            let name = &service.spec.name;
            let owner = self.owners.of_placement(name);
            let own = &self.members.membership.own().host;
            let is_owner = owner.is_some_and(|owner| owner.host == *own);
            if is_owner && service.spec.model.is_some() {
                wanted.push(name.clone());
            }
        }
        self.release_unwanted(&wanted);
        for name in wanted {
            self.place_service(now, &name);
        }
        if !self.placement.services.is_empty() && !self.placement.has_reader {
            self.placement.has_reader = true;
            let reader = read_leases(Arc::clone(&self.shared), self.placement.next_offset);
            self.shared.traffic.spawn(reader);
        }
    }

    fn release_unwanted(&mut self, wanted: &[ServiceName]) {
        let shared = &self.shared;
        let unwanted = |name: &ServiceName, _: &mut PlacedService| !wanted.contains(name);
        for (_, mut placed) in self.placement.services.extract_if(unwanted) {
            if let Some(record) = placed.lease_client.release() {
                append_record(shared, &record);
            }
        }
    }

    fn place_service(&mut self, now: Time, name: &ServiceName) {
        let own = self.members.membership.own();
        let incarnation = self.shared.clock.started_at().0;
        let claimant = Claimant { host: own.host.clone(), incarnation };
        let rate = self.shared.settings.weight_bytes_per_second;
        let placed = self.placement.services.entry(name.clone()).or_insert_with(|| PlacedService {
            lease_client: LeaseClient::new(name.as_str(), claimant),
            rollout: Rollout::new(rate),
            polled_at: None,
            next_poll: 0,
        });
        if let Some(record) = placed.lease_client.tick(now) {
            append_record(&self.shared, &record);
        }
        let Some(permit) = placed.lease_client.order_permit(now) else {
            return;
        };
        let Some(service) = self.services.get(name) else {
            return;
        };
        for (upstream, order) in placed.rollout.orders(now, permit, &service.spec) {
            if let Some(spec) = service.spec.upstreams.get(&upstream) {
                send_order(&self.shared, name, upstream, spec.address, order);
            }
        }
        let is_due = placed.polled_at.is_none_or(|at| now.since(at) >= POLL_INTERVAL);
        if is_due {
            placed.polled_at = Some(now);
            let loading = placed.rollout.loading(now);
            let all = service.spec.upstreams.keys().cycle().skip(placed.next_poll);
            let count = POLLED_PER_ROUND.min(service.spec.upstreams.len());
            let polled: BTreeSet<_> = loading.iter().chain(all.take(count)).collect();
            for upstream in polled {
                if let Some(spec) = service.spec.upstreams.get(upstream) {
                    poll_model(&self.shared, name.clone(), upstream.clone(), spec.address);
                }
            }
            placed.next_poll = (placed.next_poll + count) % service.spec.upstreams.len().max(1);
        }
    }

    pub(super) fn handle_model_status(
        &mut self,
        now: Time,
        service: &ServiceName,
        upstream: &UpstreamName,
        status: ModelStatus,
    ) {
        if let Some(placed) = self.placement.services.get_mut(service) {
            placed.rollout.observe(now, upstream, status);
        }
    }

    /// Applies lease records; returns the offset to read next, or `None` to stop reading.
    pub(super) fn apply_lease_page(&mut self, now: Time, page: Option<&Page>) -> Option<Offset> {
        if let Some(page) = page {
            self.placement.apply_page(now, page);
        }
        self.placement.has_reader = !self.placement.services.is_empty();
        self.placement.has_reader.then_some(self.placement.next_offset)
    }
}

fn poll_model(
    shared: &Arc<Shared>,
    service: ServiceName,
    upstream: UpstreamName,
    address: SocketAddr,
) {
    let task_shared = Arc::clone(shared);
    shared.traffic.spawn(async move {
        if let Ok(status) = task_shared.engines.model(address).await {
            let message = Message::ModelStatus { service, upstream, status };
            let _ = task_shared.control.send(message).await;
        }
    });
}

fn send_order(
    shared: &Arc<Shared>,
    service: &ServiceName,
    upstream: UpstreamName,
    address: SocketAddr,
    order: Order,
) {
    let decision = Decision::Ordered {
        upstream: upstream.clone(),
        model: order.model.clone(),
        version: order.version.clone(),
        fencing: order.fencing,
    };
    // An order belongs to no request, so this name stands in for the request ID.
    shared.decisions.log("placement", service, decision);
    let task_shared = Arc::clone(shared);
    shared.traffic.spawn(async move {
        if let Err(e) = task_shared.engines.order(address, &order).await {
            log::warn!("failed to send a model order to {upstream}: {e}");
        }
    });
}
