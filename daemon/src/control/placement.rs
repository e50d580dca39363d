//! Orders engines to load models, while this daemon holds the lease for it.

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

/// Time between two looks at the models of engines.
const OBSERVE_EVERY: Millis = Millis(2_000);

/// Engines of a service looked at in one round, besides those that load; a bound keeps the cost
/// apart from the number of engines.
const OBSERVED_PER_ROUND: usize = 4;

/// Longest wait of one read of the leases.
const READ_WAIT: Duration = Duration::from_millis(3_000);

/// Wait before a read after one that failed.
const READ_RETRY: Duration = Duration::from_millis(500);

/// The services that this daemon places.
#[derive(Debug, Default)]
pub(super) struct Placement {
    leases: Leases,
    next: Offset,
    is_read: bool,
    services: HashMap<ServiceName, Placed>,
}

#[derive(Debug)]
struct Placed {
    holder: LeaseClient,
    rollout: Rollout,
    observed_at: Option<Time>,
    /// Place of the engine to look at next.
    next_look: usize,
}

impl Placement {
    pub(super) fn new() -> Self {
        Self { next: Offset(1), ..Self::default() }
    }

    fn fold(&mut self, now: Time, page: &Page) {
        self.next = self.next.max(page.first);
        for record in page.records.iter().filter(|record| record.offset >= self.next) {
            let Ok(lease) = serde_json::from_str::<LeaseRecord>(&record.data) else {
                log::warn!("unreadable lease record {}", record.offset.0);
                continue;
            };
            self.leases.fold(record.offset, record.at_ms, &lease);
            for placed in self.services.values_mut() {
                placed.holder.on_record(now, &lease, &self.leases);
            }
        }
        self.next = page.records.last().map_or(self.next, |last| last.offset.next().max(self.next));
    }
}

fn append(shared: &Arc<Shared>, record: &LeaseRecord) {
    let data = serde_json::to_string(record).unwrap_or_default();
    let task = Arc::clone(shared);
    shared.traffic.spawn(async move {
        if let Err(e) = task.log.append(STREAM, &data).await {
            log::warn!("append of a lease failed: {e}");
        }
    });
}

/// Reads the leases while the control thread wants them.
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
            sleep(READ_RETRY).await;
        }
    }
}

impl Control {
    /// Takes, renews and gives back leases, and gives the orders that are due.
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
        self.drop_unwanted(&wanted);
        for name in wanted {
            self.place(now, &name);
        }
        if !self.placement.services.is_empty() && !self.placement.is_read {
            self.placement.is_read = true;
            let reader = read_leases(Arc::clone(&self.shared), self.placement.next);
            self.shared.traffic.spawn(reader);
        }
    }

    fn drop_unwanted(&mut self, wanted: &[ServiceName]) {
        let shared = &self.shared;
        let unwanted = |name: &ServiceName, _: &mut Placed| !wanted.contains(name);
        for (_, mut placed) in self.placement.services.extract_if(unwanted) {
            if let Some(record) = placed.holder.release() {
                append(shared, &record);
            }
        }
    }

    fn place(&mut self, now: Time, name: &ServiceName) {
        let own = self.members.membership.own();
        let incarnation = self.shared.clock.started_at().0;
        let claimant = Claimant { host: own.host.clone(), incarnation };
        let rate = self.shared.settings.weight_bytes_per_second;
        let placed = self.placement.services.entry(name.clone()).or_insert_with(|| Placed {
            holder: LeaseClient::new(name.as_str(), claimant),
            rollout: Rollout::new(rate),
            observed_at: None,
            next_look: 0,
        });
        if let Some(record) = placed.holder.tick(now) {
            append(&self.shared, &record);
        }
        let Some(permit) = placed.holder.order_permit(now) else {
            return;
        };
        let Some(service) = self.services.get(name) else {
            return;
        };
        for (upstream, order) in placed.rollout.orders(now, permit, &service.spec) {
            if let Some(spec) = service.spec.upstreams.get(&upstream) {
                give(&self.shared, name, upstream, spec.address, order);
            }
        }
        let is_due = placed.observed_at.is_none_or(|at| now.since(at) >= OBSERVE_EVERY);
        if is_due {
            placed.observed_at = Some(now);
            let loading = placed.rollout.loading(now);
            let all = service.spec.upstreams.keys().cycle().skip(placed.next_look);
            let count = OBSERVED_PER_ROUND.min(service.spec.upstreams.len());
            let looks: BTreeSet<_> = loading.iter().chain(all.take(count)).collect();
            for upstream in looks {
                if let Some(spec) = service.spec.upstreams.get(upstream) {
                    observe(&self.shared, name.clone(), upstream.clone(), spec.address);
                }
            }
            placed.next_look = (placed.next_look + count) % service.spec.upstreams.len().max(1);
        }
    }

    /// Takes what an engine said of its model.
    pub(super) fn observed(
        &mut self,
        now: Time,
        service: &ServiceName,
        upstream: &UpstreamName,
        observed: ModelStatus,
    ) {
        if let Some(placed) = self.placement.services.get_mut(service) {
            placed.rollout.observe(now, upstream, observed);
        }
    }

    /// Folds leases; returns the offset to read next, or `None` to stop reading.
    pub(super) fn lease_page(&mut self, now: Time, page: Option<&Page>) -> Option<Offset> {
        if let Some(page) = page {
            self.placement.fold(now, page);
        }
        self.placement.is_read = !self.placement.services.is_empty();
        self.placement.is_read.then_some(self.placement.next)
    }
}

fn observe(
    shared: &Arc<Shared>,
    service: ServiceName,
    upstream: UpstreamName,
    address: SocketAddr,
) {
    let task = Arc::clone(shared);
    shared.traffic.spawn(async move {
        if let Ok(observed) = task.engines.model(address).await {
            let message = Message::Observed { service, upstream, observed };
            let _ = task.control.send(message).await;
        }
    });
}

fn give(
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
    shared.decisions.log("placement", service, decision);
    let task = Arc::clone(shared);
    shared.traffic.spawn(async move {
        if let Err(e) = task.engines.order(address, &order).await {
            log::warn!("order to {upstream} failed: {e}");
        }
    });
}
