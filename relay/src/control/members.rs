//! Sends and handles membership probes.

use super::{Control, Message};
use magnoliawinch::names::HostName;
use magnoliawinch::time::Time;
use magnoliawinch_peer::{ProbeReply, ProbeRequest, merge_members};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Control {
    /// Probes the members whose probe is due.
    pub(super) fn send_probes(&mut self, now: Time) {
        let targets = self.membership.tick(now, &mut self.rng);
        for target in targets {
            self.send_probe(target.peer_address, Some(target.host));
        }
    }

    /// Probes addresses where other daemons may be running.
    pub(super) fn probe_seeds(&mut self, seeds: &[SocketAddr]) {
        let own = self.shared.settings.peer_address;
        for seed in seeds.iter().filter(|seed| **seed != own) {
            self.send_probe(*seed, None);
        }
    }

    pub(super) fn send_probe(&mut self, address: SocketAddr, host: Option<HostName>) {
        let now = self.shared.clock.now();
        let req = ProbeRequest {
            sender: Some(self.membership.own().into()),
            changes: self.changes(),
            // Relay daemons send the version of their configuration in this field.
            catalogue_offset: self.version(),
            table_digest: self.membership.digest(),
            leaving: self.leaving_news(now),
            hosts: Vec::new(),
            quarantine: self.quarantine_news(now),
            limits: self.limit_statements(now),
            servers: self.server_news(now),
        };
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let probe = shared
                .peers
                .call(address, PROBE_TIMEOUT, |mut peer| async move { peer.probe(req).await });
            match probe.await {
                Ok(reply) => shared.tell(Message::ProbeReply(reply)),
                Err(e) => {
                    shared.peers.evict(address);
                    let host = host.as_ref().map_or("seed", HostName::as_str);
                    log::debug!("probe of {host} failed: {e}");
                }
            }
        });
    }

    fn changes(&mut self) -> Vec<magnoliawinch_peer::Member> {
        self.membership.changes().iter().map(Into::into).collect()
    }

    pub(super) fn handle_probe(
        &mut self,
        now: Time,
        req: &ProbeRequest,
        reply: oneshot::Sender<ProbeReply>,
    ) {
        let is_new = req.sender.as_ref().is_some_and(|m| !self.membership.knows(&m.host));
        let table_differs = req.table_digest != self.membership.digest();
        if let Some(sender) = &req.sender {
            self.membership.heard_from(now, &sender.host);
            merge_members(&mut self.membership, now, std::slice::from_ref(sender));
        }
        merge_members(&mut self.membership, now, &req.changes);
        self.note_peer_version(now, req.catalogue_offset, req.sender.as_ref());
        self.apply_leaving_news(now, &req.leaving);
        self.apply_quarantine_news(now, req.quarantine.as_ref());
        self.apply_limit_statements(now, &req.limits);
        self.apply_server_news(now, &req.servers);
        let changes = self.membership.probe_reply(is_new, table_differs, &mut self.rng);
        let _ = reply.send(ProbeReply {
            sender: Some(self.membership.own().into()),
            changes: changes.iter().map(Into::into).collect(),
            catalogue_offset: self.version(),
            leaving: self.leaving_news(now),
            hosts: Vec::new(),
            quarantine: self.quarantine_news(now),
            limits: self.limit_statements(now),
            servers: self.server_news(now),
        });
    }

    pub(super) fn handle_probe_reply(&mut self, now: Time, reply: &ProbeReply) {
        if let Some(sender) = &reply.sender {
            self.membership.heard_from(now, &sender.host);
            merge_members(&mut self.membership, now, std::slice::from_ref(sender));
        }
        merge_members(&mut self.membership, now, &reply.changes);
        self.note_peer_version(now, reply.catalogue_offset, reply.sender.as_ref());
        self.apply_leaving_news(now, &reply.leaving);
        self.apply_quarantine_news(now, reply.quarantine.as_ref());
        self.apply_limit_statements(now, &reply.limits);
        self.apply_server_news(now, &reply.servers);
    }

    /// Notifies other members at once that this daemon accepts work or is leaving.
    pub(super) fn announce(&mut self) {
        for member in self.membership.announce_targets() {
            self.send_probe(member.peer_address, Some(member.host));
        }
    }
}
