//! Sends admission owners the progress and release of this daemon's grants.

use crate::control::Message;
use crate::shared::Shared;
use magnoliawinch::admission::LoadReport;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{HostName, UpstreamName};
use magnoliawinch_peer::{GrantProgress, RenewRequest, UpstreamLoad};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Time during which updates are collected into one message per owner.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Maximum time between messages to an owner while grants are held.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of messages that list all held grants.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(60);

/// Interval of checks whether a message is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a message to an owner.
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);

/// Tokens at the first progress report; each later one doubles the number.
const FIRST_REPORT_TOKENS: u32 = 32;

/// An update for the owner of a grant.
#[derive(Debug)]
pub(crate) struct GrantUpdate {
    owner: Member,
    update: Update,
}

#[derive(Debug)]
enum Update {
    /// This daemon now holds the grant.
    Held(u64),
    /// A grant's progress or release.
    Progress(GrantProgress),
    /// A load report received from the upstream.
    Load(UpstreamLoad),
}

pub(crate) type GrantSender = mpsc::UnboundedSender<GrantUpdate>;

/// A grant to run a generation; released when dropped.
#[derive(Debug)]
pub(crate) struct Grant {
    owner: Member,
    id: u64,
    tokens_written: u32,
    /// Tokens at the next progress report.
    next_report: u32,
    complete: bool,
    updates: GrantSender,
}

impl Grant {
    pub(crate) fn new(owner: Member, id: u64, updates: GrantSender) -> Self {
        let grant = Self {
            owner,
            id,
            tokens_written: 0,
            next_report: FIRST_REPORT_TOKENS,
            complete: false,
            updates,
        };
        grant.send(Update::Held(id));
        grant
    }

    pub(crate) fn owner(&self) -> &HostName {
        &self.owner.host
    }

    pub(crate) fn count_token(&mut self) {
        self.tokens_written += 1;
        if self.tokens_written == self.next_report {
            self.next_report *= 2;
            self.send_progress(false);
        }
    }

    /// Forwards the upstream's load report to the owner.
    pub(crate) fn report_load(&self, upstream: &UpstreamName, report: &LoadReport) {
        self.send(Update::Load(UpstreamLoad::new(upstream.as_str(), report)));
    }

    /// Notes that the generation ended by itself, so that the owner can learn its length.
    pub(crate) fn mark_completed(&mut self) {
        self.complete = true;
    }

    fn send_progress(&self, ended: bool) {
        self.send(Update::Progress(GrantProgress {
            grant: self.id,
            tokens_written: self.tokens_written,
            ended,
            complete: self.complete,
        }));
    }

    fn send(&self, update: Update) {
        // The receiver ends only with the daemon; its grants then expire at their owners.
        let _ = self.updates.send(GrantUpdate { owner: self.owner.clone(), update });
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.send_progress(true);
    }
}

/// The grants held from one owner, and the updates to send to it.
#[derive(Debug)]
struct OwnerGrants {
    owner: Member,
    ids: HashSet<u64>,
    sent_at: Instant,
    full_sent_at: Instant,
    progress: Vec<GrantProgress>,
    loads: HashMap<String, UpstreamLoad>,
}

impl OwnerGrants {
    fn has_updates(&self) -> bool {
        !self.progress.is_empty() || !self.loads.is_empty()
    }
}

/// Sends the updates of all grants of this daemon, batched by owner.
pub(crate) async fn send_grant_updates(
    shared: Arc<Shared>,
    mut rx: mpsc::UnboundedReceiver<GrantUpdate>,
) {
    let mut by_owner: HashMap<HostName, OwnerGrants> = HashMap::new();
    loop {
        tokio::select! {
            update = rx.recv() => match update {
                Some(update) => record(&mut by_owner, update),
                None => return,
            },
            () = sleep(CHECK_INTERVAL) => {}
        }
        sleep(BATCH_DELAY).await;
        while let Ok(update) = rx.try_recv() {
            record(&mut by_owner, update);
        }
        for grants in by_owner.values_mut() {
            send_if_due(&shared, grants).await;
        }
        by_owner.retain(|_, grants| !grants.ids.is_empty());
    }
}

fn record(by_owner: &mut HashMap<HostName, OwnerGrants>, update: GrantUpdate) {
    let entry = by_owner.entry(update.owner.host.clone()).or_insert_with(|| OwnerGrants {
        owner: update.owner,
        ids: HashSet::new(),
        sent_at: Instant::now(),
        full_sent_at: Instant::now(),
        progress: Vec::new(),
        loads: HashMap::new(),
    });
    match update.update {
        Update::Held(id) => {
            entry.ids.insert(id);
        }
        Update::Progress(progress) => {
            if progress.ended {
                entry.ids.remove(&progress.grant);
            }
            entry.progress.push(progress);
        }
        Update::Load(load) => {
            entry.loads.insert(load.upstream.clone(), load);
        }
    }
}

async fn send_if_due(shared: &Arc<Shared>, grants: &mut OwnerGrants) {
    let heartbeat_is_due = grants.sent_at.elapsed() >= HEARTBEAT_INTERVAL && !grants.ids.is_empty();
    if !grants.has_updates() && !heartbeat_is_due {
        return;
    }
    let full = grants.full_sent_at.elapsed() >= FULL_UPDATE_INTERVAL;
    grants.sent_at = Instant::now();
    if full {
        grants.full_sent_at = grants.sent_at;
    }
    let req = RenewRequest {
        host: shared.settings.host.to_string(),
        host_incarnation: shared.clock.started_at().0,
        grants: std::mem::take(&mut grants.progress),
        loads: grants.loads.drain().map(|(_, load)| load).collect(),
        full,
        held: if full { grants.ids.iter().copied().collect() } else { Vec::new() },
    };
    if grants.owner.host == shared.settings.host {
        let _ = shared.control.send(Message::Renew(req)).await;
        return;
    }
    let address = grants.owner.peer_address;
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let call = shared
            .peers
            .call(address, RENEW_TIMEOUT, |mut peer| async move { peer.renew(req).await });
        if let Err(e) = call.await {
            log::debug!("failed to send grant updates: {e}");
        }
    });
}
