//! Whether upstreams can be reached, from this host and from others.

use crate::runs::Endpoint;
use crate::shared::Shared;
use futures_util::future::join_all;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{ServiceName, UpstreamName};
use magnoliawinch::reachability::{Reachability, choose_witnesses};
use magnoliawinch_peer::{ReachReply, ReachRequest};
use rand::seq::IteratorRandom;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for the word of another host, which may itself wait for a connection.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(450);

/// Other upstreams tried by a host that is refused by one.
const MAX_OTHERS_TRIED: usize = 2;

impl Shared {
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
            let view = self.view.load();
            let others = view.fleet.all().filter(|listed| listed.name != *except);
            let (of_service, rest): (Vec<_>, Vec<_>) =
                others.partition(|listed| listed.service == *service);
            let candidates = if of_service.is_empty() { rest } else { of_service };
            let mut routing = self.routing();
            let chosen = candidates.iter().sample(&mut routing.rng, MAX_OTHERS_TRIED);
            chosen.into_iter().map(|listed| listed.address).collect()
        };
        let probed = join_all(others.iter().map(|address| self.probe(*address))).await;
        probed.is_empty() || probed.contains(&Reachability::Accepted)
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
