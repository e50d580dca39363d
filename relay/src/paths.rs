//! Whether upstreams can be reached, from this host and from others, and whether this host has lost
//! its paths to a whole service.

use crate::runs::Endpoint;
use crate::shared::Shared;
use futures_util::future::join_all;
use magnoliawinch::fleet::ListedUpstream;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{HostName, ServiceName, UpstreamName};
use magnoliawinch::reachability::{Reachability, choose_others, choose_witnesses};
use magnoliawinch::service_paths::{ConnectFailure, PROBE_INTERVAL};
use magnoliawinch_peer::{ReachReply, ReachRequest};
use rand::seq::IteratorRandom;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout for the word of another host, which may itself wait for a connection.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(450);

/// Other upstreams tried together by a host that is refused by one; a connection may take a slot there.
const OTHERS_AT_A_TIME: usize = 2;

impl Shared {
    /// Notes that a connection to an upstream did not open; has other hosts asked if that is due.
    pub(crate) fn note_connect_failure(
        self: &Arc<Self>,
        service: &ServiceName,
        upstream: &Endpoint,
        failure: ConnectFailure,
    ) {
        let now = self.clock.now();
        let is_check_due = self.paths().connect_failed(now, service, &upstream.name, failure);
        if is_check_due {
            let (shared, service, upstream) = (Arc::clone(self), service.clone(), upstream.clone());
            self.traffic.spawn(async move { shared.check_paths(&service, &upstream).await });
        }
    }

    /// Finds out whether other hosts reach an upstream that this one does not.
    async fn check_paths(self: Arc<Self>, service: &ServiceName, upstream: &Endpoint) {
        let witnessed = self.ask_witnesses(service, upstream).await;
        let (asked, via) = (witnessed.len(), reaching_hosts(witnessed));
        let reaching = via.len();
        let is_cut = self.paths().checked(self.clock.now(), service, &upstream.name, via);
        self.paths_changed.send_replace(());
        if !is_cut {
            return;
        }
        self.metrics.count("service_cut_off", service.as_str());
        log::warn!(
            service = service.as_str(),
            upstream = upstream.name.as_str(),
            asked,
            reaching;
            "this host is cut off from a service that others reach"
        );
        self.traffic.spawn(Arc::clone(&self).watch_cut(service.clone()));
    }

    /// Tries the upstreams of a service that is cut off until the cut is over.
    async fn watch_cut(self: Arc<Self>, service: ServiceName) {
        let since = self.paths().cut_since(&service);
        let is_down = loop {
            sleep(PROBE_INTERVAL.into()).await;
            let Some(upstream) = self.random_upstream(&service) else {
                if self.paths().refreshed(&service, Vec::new()) {
                    break true;
                }
                continue;
            };
            let has_opened = self.probe(upstream.address).await == Reachability::Accepted;
            if self.paths().probed(&service, has_opened) {
                break false;
            }
            if !has_opened {
                let via = reaching_hosts(self.ask_witnesses(&service, &upstream).await);
                if self.paths().refreshed(&service, via) {
                    break true;
                }
            }
        };
        self.paths_changed.send_replace(());
        let lasted = since.map_or(0, |since| self.clock.now().since(since).0);
        log::info!(
            service = service.as_str(),
            lasted_ms = lasted,
            is_down;
            "this host is no longer cut off from a service"
        );
    }

    fn random_upstream(&self, service: &ServiceName) -> Option<Endpoint> {
        let view = self.view.load();
        let usable = view.fleet.usable(service.as_str());
        usable.choose(&mut self.routing().rng).map(Endpoint::from)
    }

    /// Opens a connection to an upstream and closes it.
    async fn probe(&self, address: SocketAddr) -> Reachability {
        let probed: io::Result<()> = self.upstreams.probe(address).await;
        match probed {
            Ok(()) => Reachability::Accepted,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Reachability::Refused,
            Err(_) => Reachability::Unknown,
        }
    }

    /// Whether this host reaches some upstream other than `except`, one of `service` if there is any;
    /// also if there is no other.
    async fn reaches_others(&self, service: &ServiceName, except: &UpstreamName) -> bool {
        let others: Vec<_> = {
            let (now, view) = (self.clock.now(), self.view.load());
            let fleet = &view.fleet;
            let is_down = |listed: &ListedUpstream| {
                !fleet.is_usable(&listed.name) || fleet.is_unreachable(now, &listed.name)
            };
            let rng = &mut self.routing().rng;
            let chosen = choose_others(fleet.all(), service, except, is_down, rng);
            chosen.into_iter().map(|listed| listed.address).collect()
        };
        for tried in others.chunks(OTHERS_AT_A_TIME) {
            let probed = join_all(tried.iter().map(|address| self.probe(*address))).await;
            if probed.contains(&Reachability::Accepted) {
                return true;
            }
        }
        others.is_empty()
    }

    /// What this host tells another one about an upstream. A refusal says nothing on a host that
    /// reaches no other upstream either.
    pub(crate) async fn witness(
        &self,
        service: &ServiceName,
        upstream: &UpstreamName,
        address: SocketAddr,
    ) -> Reachability {
        match self.probe(address).await {
            Reachability::Refused if !self.reaches_others(service, upstream).await => {
                Reachability::Unknown
            }
            result => result,
        }
    }

    /// Asks other hosts whether they reach an upstream; returns the replies.
    pub(crate) async fn ask_witnesses(
        &self,
        service: &ServiceName,
        upstream: &Endpoint,
    ) -> Vec<(Member, Reachability)> {
        let witnesses: Vec<Member> = {
            let view = self.view.load();
            let settings = &self.settings;
            let mut routing = self.routing();
            let chosen = choose_witnesses(
                view.members.iter(),
                &settings.host,
                &settings.failure_domain,
                &mut routing.rng,
            );
            chosen.into_iter().cloned().collect()
        };
        let replies = join_all(witnesses.into_iter().map(|witness| async move {
            let req = ReachRequest {
                upstream: upstream.name.to_string(),
                address: upstream.address.to_string(),
                service: service.to_string(),
            };
            let call =
                self.peers.call(witness.peer_address, WITNESS_TIMEOUT, |mut peer| async move {
                    peer.reach(req).await
                });
            let reply = call.await.inspect_err(|e| log::debug!("no word on an upstream: {e}"));
            let ReachReply { result } = reply.ok()?;
            Some((witness, Reachability::from_repr(result).unwrap_or_default()))
        }))
        .await;
        replies.into_iter().flatten().collect()
    }

    /// Whether an upstream can be reached, by the word of this host and of others.
    pub(crate) async fn examine(&self, service: &ServiceName, upstream: &Endpoint) -> Reachability {
        let own = self.probe(upstream.address).await;
        if own != Reachability::Refused {
            return own;
        }
        let (witnessed, reaches_others) = tokio::join!(
            self.ask_witnesses(service, upstream),
            self.reaches_others(service, &upstream.name)
        );
        let witnessed: Vec<_> = witnessed.into_iter().map(|(_, result)| result).collect();
        own.confirmed(&witnessed, reaches_others)
    }
}

fn reaching_hosts(witnessed: Vec<(Member, Reachability)>) -> Vec<HostName> {
    let reaching = witnessed.into_iter().filter(|(_, result)| *result == Reachability::Accepted);
    reaching.map(|(member, _)| member.host).collect()
}
