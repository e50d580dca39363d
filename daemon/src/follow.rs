//! Keeps the configuration up to date. A few daemons of each failure domain read the log; the
//! others read from them.

use crate::control::{Message, NextRead};
use crate::shared::Shared;
use magnoliawinch::catalogue::{Offset, State};
use magnoliawinch::membership::Member;
use magnoliawinch::time::Time;
use magnoliawinch_log::{LogRecord, Page};
use magnoliawinch_peer::{FollowReply, FollowRequest};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a read may wait for new records.
const LONG_POLL_WAIT: Duration = Duration::from_millis(5_000);

/// Time allowed for a reader's reply beyond the wait.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after failed reads.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time without a successful read after which the log is read instead of a reader's records.
const STALE_AFTER: Duration = Duration::from_millis(2_000);

/// Reads the configuration until the daemon stops.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut last_read_at = Instant::now();
    let mut failures = 0_usize;
    while let Some(next) = shared.ask(Message::NextRead).await {
        let view = shared.view.load_full();
        let own = &shared.settings.host;
        let other_readers: Vec<_> = view.readers.iter().filter(|m| m.host != *own).collect();
        let is_reader = other_readers.len() == view.readers.len().saturating_sub(1);
        let is_stale = last_read_at.elapsed() >= STALE_AFTER;
        let reader = other_readers.get(failures % other_readers.len().max(1)).copied();
        let reads_log = is_reader || other_readers.is_empty() || is_stale;
        let succeeded = match (reads_log, reader) {
            (false, Some(reader)) => read_from_peer(&shared, reader, next).await,
            _ => read_log(&shared, next).await,
        };
        if succeeded {
            last_read_at = Instant::now();
            continue;
        }
        failures += 1;
        // While the log is unavailable, any reader or peer will do.
        let peer = reader.cloned().or_else(|| any_peer(&shared, failures));
        let succeeded = match peer {
            Some(peer) => read_from_peer(&shared, &peer, next).await,
            None => false,
        };
        if !succeeded {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// One of the other daemons, in turn as `index` grows; `None` if there are none.
fn any_peer(shared: &Shared, index: usize) -> Option<Member> {
    let view = shared.view.load();
    let own = &shared.settings.host;
    let others: Vec<_> = view.owners.members().filter(|m| m.host != *own).collect();
    others.get(index % others.len().max(1)).map(|member| (*member).clone())
}

async fn read_log(shared: &Arc<Shared>, next: NextRead) -> bool {
    match shared.log.read(crate::control::STREAM, next.from, LONG_POLL_WAIT).await {
        Ok(page) => apply_page(shared, page).await,
        Err(e) => {
            log::warn!("reading the configuration from the log failed: {e}");
            false
        }
    }
}

/// Returns whether the page continued the configuration without a gap.
async fn apply_page(shared: &Arc<Shared>, page: Page) -> bool {
    shared.ask(|reply| Message::CataloguePage { page, reply }).await.unwrap_or(false)
}

async fn read_from_peer(shared: &Arc<Shared>, member: &Member, next: NextRead) -> bool {
    let req = FollowRequest {
        from: next.from.0,
        wait_ms: LONG_POLL_WAIT.as_millis() as u32,
        host: shared.settings.host.to_string(),
    };
    let timeout = LONG_POLL_WAIT + REPLY_TIMEOUT;
    let call = shared
        .peers
        .call(member.peer_address, timeout, |mut peer| async move { peer.follow(req).await });
    match call.await {
        Ok(reply) => apply_reply(shared, next, reply).await,
        Err(e) => {
            log::debug!("failed to read the configuration from {}: {e}", member.host);
            false
        }
    }
}

async fn apply_reply(shared: &Arc<Shared>, next: NextRead, reply: FollowReply) -> bool {
    if !reply.snapshot.is_empty() {
        let Some(state) = State::from_json(&reply.snapshot) else {
            return false;
        };
        let state = Box::new(state);
        return shared.ask(|reply| Message::CatalogueState { state, reply }).await.unwrap_or(false);
    }
    // After a gap, only a complete state or all records from the first one can be applied.
    let is_incomplete = next.wants_state && next.from > Offset(1);
    if is_incomplete || reply.first > next.from.0 {
        return false;
    }
    let records: Vec<_> = reply
        .records
        .into_iter()
        .map(|record| LogRecord {
            offset: Offset(record.offset),
            at_ms: Time(record.at_ms),
            data: record.data,
        })
        .collect();
    let page = Page { first: next.from, end: Offset(reply.next), records };
    apply_page(shared, page).await
}
