//! Follows the configuration: from the log on a few daemons of each failure domain, from these on
//! the others.

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

/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_millis(5_000);

/// Time for an answer beyond the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait after a read that failed.
const RETRY: Duration = Duration::from_millis(200);

/// Time without any answer from relays after which the log is asked.
const STALE_AFTER: Duration = Duration::from_millis(2_000);

/// Reads the configuration until the daemon ends.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut heard_at = Instant::now();
    let mut turn = 0_usize;
    while let Some(next) = shared.ask(Message::NextRead).await {
        let view = shared.view.load_full();
        let own = &shared.settings.host;
        let relays: Vec<_> = view.readers.iter().filter(|m| m.host != *own).collect();
        let is_reader = relays.len() == view.readers.len().saturating_sub(1);
        let is_stale = heard_at.elapsed() >= STALE_AFTER;
        let relay = relays.get(turn % relays.len().max(1)).copied();
        let reads_log = is_reader || relays.is_empty() || is_stale;
        let answered = match (reads_log, relay) {
            (false, Some(relay)) => read_relay(&shared, relay, next).await,
            _ => read_log(&shared, next).await,
        };
        if answered {
            heard_at = Instant::now();
            continue;
        }
        turn += 1;
        // With the log down, any relay or peer helps.
        let peer = relay.cloned().or_else(|| any_peer(&shared, turn));
        let helped = match peer {
            Some(peer) => read_relay(&shared, &peer, next).await,
            None => false,
        };
        if !helped {
            sleep(RETRY).await;
        }
    }
}

fn any_peer(shared: &Shared, turn: usize) -> Option<Member> {
    let view = shared.view.load();
    let own = &shared.settings.host;
    let others: Vec<_> = view.owners.members().filter(|m| m.host != *own).collect();
    others.get(turn % others.len().max(1)).map(|member| (*member).clone())
}

async fn read_log(shared: &Arc<Shared>, next: NextRead) -> bool {
    match shared.log.read(crate::control::STREAM, next.from, READ_WAIT).await {
        Ok(page) => fold(shared, page).await,
        Err(e) => {
            log::warn!("reading the configuration from the log failed: {e}");
            false
        }
    }
}

async fn fold(shared: &Arc<Shared>, page: Page) -> bool {
    shared.ask(|reply| Message::CataloguePage { page, reply }).await.unwrap_or(false)
}

async fn read_relay(shared: &Arc<Shared>, relay: &Member, next: NextRead) -> bool {
    let req = FollowRequest {
        from: next.from.0,
        wait_ms: READ_WAIT.as_millis() as u32,
        host: shared.settings.host.to_string(),
    };
    let limit = READ_WAIT + ANSWER_TIMEOUT;
    let call = shared
        .peers
        .call(relay.peer_address, limit, |mut peer| async move { peer.follow(req).await });
    match call.await {
        Ok(answer) => take(shared, next, answer).await,
        Err(e) => {
            log::debug!("reading the configuration from {} failed: {e}", relay.host);
            false
        }
    }
}

async fn take(shared: &Arc<Shared>, next: NextRead, answer: FollowReply) -> bool {
    if !answer.snapshot.is_empty() {
        let Some(state) = State::from_json(&answer.snapshot) else {
            return false;
        };
        let state = Box::new(state);
        return shared.ask(|reply| Message::CatalogueState { state, reply }).await.unwrap_or(false);
    }
    // Without a whole state of its own, this daemon cannot use records from the middle.
    let starts_in_the_middle = next.wants_state && next.from > Offset(1);
    if starts_in_the_middle || answer.first > next.from.0 {
        return false;
    }
    let records: Vec<_> = answer
        .records
        .into_iter()
        .map(|record| LogRecord {
            offset: Offset(record.offset),
            at_ms: Time(record.at_ms),
            data: record.data,
        })
        .collect();
    let page = Page { first: next.from, end: Offset(answer.next), records };
    fold(shared, page).await
}
