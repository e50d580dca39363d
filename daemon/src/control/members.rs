//! Membership probes, which also carry notices about leaving upstreams and hosts.

use super::{Control, Message};
use magnoliawinch::membership::{Member, Membership};
use magnoliawinch::names::{HostName, UpstreamName};
use magnoliawinch::time::{Millis, Time};
use magnoliawinch::upstreams::{HostNotice, LeavingNotice, UpstreamHealth};
use magnoliawinch_hosts::{HostList, HostState};
use magnoliawinch_peer::{ProbeReply, ProbeRequest, UpstreamLeaving, merge_members};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of unknown daemons probed per read of the platform's list.
const MAX_SEEDS: usize = 3;

/// Time for which the newest reported configuration offset counts.
const OFFSET_LIFETIME: Millis = Millis(10_000);

/// What this daemon knows of the other daemons and of the health of upstreams.
#[derive(Debug)]
pub(super) struct Members {
    pub(super) membership: Membership,
    pub(super) upstreams: UpstreamHealth,
    pub(super) rng: ChaCha8Rng,
    newest_offset: u64,
    newest_offset_at: Time,
    heard_from_peer: bool,
}

impl Members {
    pub(super) fn new(own: Member, seed: u64) -> Self {
        Self {
            membership: Membership::new(own),
            upstreams: UpstreamHealth::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            newest_offset: 0,
            newest_offset_at: Time(0),
            heard_from_peer: false,
        }
    }

    /// The newest configuration offset reported by any peer.
    pub(super) fn newest_offset(&self) -> u64 {
        self.newest_offset
    }

    /// Whether any peer has replied to a probe.
    pub(super) fn heard_from_peer(&self) -> bool {
        self.heard_from_peer
    }

    fn note_offset(&mut self, now: Time, offset: u64) {
        let is_old = now.since(self.newest_offset_at) > OFFSET_LIFETIME;
        if offset >= self.newest_offset || is_old {
            self.newest_offset = self.newest_offset.max(offset);
            self.newest_offset_at = now;
        }
    }

    fn record_leaving_notices(&mut self, leaving: &[UpstreamLeaving]) -> bool {
        let mut changed = false;
        for notice in leaving {
            let upstream = UpstreamName::new(&notice.upstream);
            let leaving = LeavingNotice { upstream, incarnation: notice.incarnation };
            changed |= self.upstreams.mark_leaving(&leaving);
        }
        changed
    }

    fn leaving_notices(&mut self) -> Vec<UpstreamLeaving> {
        let notice = |leaving: LeavingNotice| UpstreamLeaving {
            upstream: leaving.upstream.to_string(),
            incarnation: leaving.incarnation,
        };
        self.upstreams.leaving_notices().into_iter().map(notice).collect()
    }

    fn record_host_notices(&mut self, notices: &[magnoliawinch_peer::HostNotice]) -> bool {
        let mut changed = false;
        for notice in notices {
            let Ok(ip) = notice.ip.parse() else {
                log::warn!("host notice has an invalid address \"{}\"", notice.ip);
                continue;
            };
            let (incarnation, leaving) = (notice.incarnation, notice.leaving);
            changed |= self.upstreams.record_host_notice(HostNotice { ip, incarnation, leaving });
        }
        changed
    }

    fn host_notices(&mut self) -> Vec<magnoliawinch_peer::HostNotice> {
        let notice = |n: HostNotice| magnoliawinch_peer::HostNotice {
            ip: n.ip.to_string(),
            incarnation: n.incarnation,
            leaving: n.leaving,
        };
        self.upstreams.host_notices().into_iter().map(notice).collect()
    }

    fn sender(&self) -> Option<magnoliawinch_peer::Member> {
        Some(self.membership.own().into())
    }
}

impl Control {
    /// Probes the members whose probe is due.
    pub(super) fn send_probes(&mut self, now: Time) {
        let members = &mut self.members;
        let targets = members.membership.tick(now, &mut members.rng);
        for target in targets {
            self.send_probe(target.peer_address, Some(target.host));
        }
    }

    fn send_probe(&mut self, address: SocketAddr, host: Option<HostName>) {
        let req = ProbeRequest {
            sender: self.members.sender(),
            changes: self.changes(),
            catalogue_offset: self.configuration.last_offset().0,
            table_digest: self.members.membership.digest(),
            leaving: self.members.leaving_notices(),
            hosts: self.members.host_notices(),
            // Owners of fingerprints are asked for each request.
            quarantine: None,
            limits: Vec::new(),
            servers: Vec::new(),
        };
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let probe = shared
                .peers
                .call(address, PROBE_TIMEOUT, |mut peer| async move { peer.probe(req).await });
            match probe.await {
                Ok(reply) => {
                    let _ = shared.control.send(Message::ProbeReply(reply)).await;
                }
                Err(e) => {
                    shared.peers.evict(address);
                    let host = host.as_ref().map_or("seed", HostName::as_str);
                    log::debug!("probe of {host} failed: {e}");
                }
            }
        });
    }

    fn changes(&mut self) -> Vec<magnoliawinch_peer::Member> {
        self.members.membership.changes().iter().map(Into::into).collect()
    }

    pub(super) fn handle_probe(
        &mut self,
        now: Time,
        req: &ProbeRequest,
        reply: oneshot::Sender<ProbeReply>,
    ) {
        let sender = req.sender.as_ref();
        let is_new = sender.is_some_and(|m| !self.members.membership.knows(&m.host));
        let digest_differs = req.table_digest != self.members.membership.digest();
        self.apply_gossip(now, sender, &req.changes, req.catalogue_offset);
        self.apply_notices(&req.leaving, &req.hosts);
        let members = &mut self.members;
        let changes = members.membership.probe_reply(is_new, digest_differs, &mut members.rng);
        let _ = reply.send(ProbeReply {
            sender: self.members.sender(),
            changes: changes.iter().map(Into::into).collect(),
            catalogue_offset: self.configuration.last_offset().0,
            leaving: self.members.leaving_notices(),
            hosts: self.members.host_notices(),
            quarantine: None,
            limits: Vec::new(),
            servers: Vec::new(),
        });
    }

    pub(super) fn handle_probe_reply(&mut self, now: Time, reply: &ProbeReply) {
        self.members.heard_from_peer = true;
        let sender = reply.sender.as_ref();
        self.apply_gossip(now, sender, &reply.changes, reply.catalogue_offset);
        self.apply_notices(&reply.leaving, &reply.hosts);
        if let Some(sender) = sender {
            self.members.membership.heard_from(now, &sender.host);
        }
        self.check_ready();
    }

    fn apply_gossip(
        &mut self,
        now: Time,
        sender: Option<&magnoliawinch_peer::Member>,
        changes: &[magnoliawinch_peer::Member],
        offset: u64,
    ) {
        self.members.note_offset(now, offset);
        if let Some(sender) = sender {
            merge_members(&mut self.members.membership, now, std::slice::from_ref(sender));
        }
        merge_members(&mut self.members.membership, now, changes);
    }

    fn apply_notices(
        &mut self,
        leaving: &[UpstreamLeaving],
        hosts: &[magnoliawinch_peer::HostNotice],
    ) {
        let upstreams_changed = self.members.record_leaving_notices(leaving);
        let hosts_changed = self.members.record_host_notices(hosts);
        if upstreams_changed || hosts_changed {
            self.update_leaving_upstreams();
        }
    }

    /// Probes unknown daemons on the platform's list and notes the states of the hosts.
    pub(super) fn handle_host_list(&mut self, now: Time, list: &HostList) {
        let mut changed = false;
        let mut seeds = Vec::new();
        for host in &list.hosts {
            let leaving = host.state == HostState::Leaving;
            match host.daemon {
                None => {
                    let (ip, incarnation) = (host.ip, host.incarnation);
                    let notice = HostNotice { ip, incarnation, leaving };
                    changed |= self.members.upstreams.record_host_notice(notice);
                }
                Some(daemon) if !self.members.membership.knows(host.host.as_str()) => {
                    seeds.push(daemon.peer);
                }
                Some(_) => {}
            }
        }
        // Ordered by hash, so that daemons that start together probe different seeds.
        let own = self.shared.settings.host.clone();
        seeds.sort_by_key(|seed| {
            magnoliawinch::rendezvous::weight(own.as_str(), &format!("{seed}{}", now.0))
        });
        for seed in seeds.into_iter().take(MAX_SEEDS) {
            self.send_probe(seed, None);
        }
        if changed {
            self.update_leaving_upstreams();
        }
    }

    /// Notifies other members at once that this daemon accepts work or is leaving; the rest learn it
    /// by gossip.
    pub(super) fn announce(&mut self) {
        for member in self.members.membership.announce_targets() {
            self.send_probe(member.peer_address, Some(member.host));
        }
    }

    /// Handles an upstream's own notice that it is leaving.
    pub(super) fn handle_upstream_leaving(&mut self, upstream: &UpstreamName) {
        if self.members.upstreams.mark_current_incarnation_leaving(upstream) {
            self.update_leaving_upstreams();
        }
    }

    /// Stops admission to upstreams that are leaving, and resumes it where they no longer are.
    pub(super) fn update_leaving_upstreams(&mut self) {
        let now = self.shared.clock.now();
        let upstreams = &self.members.upstreams;
        self.admissions.update_leaving(now, |name, ip| upstreams.is_leaving(name.as_str(), ip));
        self.view_is_stale = true;
    }
}
