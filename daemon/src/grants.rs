//! Tells admission owners how grants go on and when they end.

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

/// News that gather before one message to an owner.
const LINGER: Duration = Duration::from_millis(5);

/// Longest time without a message to an owner while grants are held.
const HEARTBEAT: Duration = Duration::from_secs(10);

/// Time between two messages that name every grant that is held.
const FULL_EVERY: Duration = Duration::from_secs(60);

/// Time between two looks whether a message is due.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Time for a message to an owner.
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);

/// Tokens of the first progress report; each later one comes at twice the tokens.
const FIRST_REPORT_TOKENS: u32 = 32;

/// News for an owner.
#[derive(Debug)]
pub(crate) struct GrantNews {
    owner: Member,
    news: News,
}

#[derive(Debug)]
enum News {
    /// A grant is held here from now on.
    Taken(u64),
    /// A grant went on or ended.
    Progress(GrantProgress),
    /// The upstream told its load.
    Load(UpstreamLoad),
}

pub(crate) type GrantSender = mpsc::UnboundedSender<GrantNews>;

/// A place at an upstream; dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct Grant {
    owner: Member,
    id: u64,
    written: u32,
    next_report: u32,
    complete: bool,
    news: GrantSender,
}

impl Grant {
    pub(crate) fn new(owner: Member, id: u64, news: GrantSender) -> Self {
        let grant =
            Self { owner, id, written: 0, next_report: FIRST_REPORT_TOKENS, complete: false, news };
        grant.send(News::Taken(id));
        grant
    }

    pub(crate) fn owner(&self) -> &HostName {
        &self.owner.host
    }

    /// Notes one more token.
    pub(crate) fn wrote_token(&mut self) {
        self.written += 1;
        if self.written == self.next_report {
            self.next_report *= 2;
            self.send_progress(false);
        }
    }

    /// Hands on what the upstream told of its load.
    pub(crate) fn told_load(&self, upstream: &UpstreamName, report: &LoadReport) {
        self.send(News::Load(UpstreamLoad::new(upstream.as_str(), report)));
    }

    /// Notes that the answer came to its natural end.
    pub(crate) fn completed(&mut self) {
        self.complete = true;
    }

    fn send_progress(&self, ended: bool) {
        self.send(News::Progress(GrantProgress {
            grant: self.id,
            tokens_written: self.written,
            ended,
            complete: self.complete,
        }));
    }

    fn send(&self, news: News) {
        // The keeper ends only with the daemon; grants then expire at their owners.
        let _ = self.news.send(GrantNews { owner: self.owner.clone(), news });
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.send_progress(true);
    }
}

#[derive(Debug)]
struct Held {
    owner: Member,
    ids: HashSet<u64>,
    told_at: Instant,
    told_all_at: Instant,
    progress: Vec<GrantProgress>,
    loads: HashMap<String, UpstreamLoad>,
}

impl Held {
    fn has_news(&self) -> bool {
        !self.progress.is_empty() || !self.loads.is_empty()
    }
}

/// Sends the news of all grants of this daemon, batched by owner.
pub(crate) async fn keep_grants(shared: Arc<Shared>, mut rx: mpsc::UnboundedReceiver<GrantNews>) {
    let mut held: HashMap<HostName, Held> = HashMap::new();
    loop {
        tokio::select! {
            news = rx.recv() => match news {
                Some(news) => take(&mut held, news),
                None => return,
            },
            () = sleep(LOOK_EVERY) => {}
        }
        sleep(LINGER).await;
        while let Ok(news) = rx.try_recv() {
            take(&mut held, news);
        }
        for held in held.values_mut() {
            tell(&shared, held).await;
        }
        held.retain(|_, held| !held.ids.is_empty());
    }
}

fn take(held: &mut HashMap<HostName, Held>, news: GrantNews) {
    let entry = held.entry(news.owner.host.clone()).or_insert_with(|| Held {
        owner: news.owner,
        ids: HashSet::new(),
        told_at: Instant::now(),
        told_all_at: Instant::now(),
        progress: Vec::new(),
        loads: HashMap::new(),
    });
    match news.news {
        News::Taken(id) => {
            entry.ids.insert(id);
        }
        News::Progress(progress) => {
            if progress.ended {
                entry.ids.remove(&progress.grant);
            }
            entry.progress.push(progress);
        }
        News::Load(load) => {
            entry.loads.insert(load.upstream.clone(), load);
        }
    }
}

async fn tell(shared: &Arc<Shared>, held: &mut Held) {
    let is_due = held.told_at.elapsed() >= HEARTBEAT && !held.ids.is_empty();
    if !held.has_news() && !is_due {
        return;
    }
    let full = held.told_all_at.elapsed() >= FULL_EVERY;
    held.told_at = Instant::now();
    if full {
        held.told_all_at = held.told_at;
    }
    let req = RenewRequest {
        host: shared.settings.host.to_string(),
        host_incarnation: shared.clock.started_at().0,
        grants: std::mem::take(&mut held.progress),
        loads: held.loads.drain().map(|(_, load)| load).collect(),
        full,
        held: if full { held.ids.iter().copied().collect() } else { Vec::new() },
    };
    if held.owner.host == shared.settings.host {
        let _ = shared.control.send(Message::Renew(req)).await;
        return;
    }
    let address = held.owner.peer_address;
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let call = shared
            .peers
            .call(address, RENEW_TIMEOUT, |mut peer| async move { peer.renew(req).await });
        if let Err(e) = call.await {
            log::debug!("renewal failed: {e}");
        }
    });
}
