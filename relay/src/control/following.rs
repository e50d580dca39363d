//! Following other daemons for news of the configuration and the list of upstreams, and answering
//! those that follow this one.

use super::updates::age_ms;
use super::{Control, Message};
use magnoliawinch::dissemination::{
    POLL_REPLY_TIME, POLL_WAIT, follows_newest_reader, follows_others, is_outdated, ranked_readers,
    sources,
};
use magnoliawinch::rendezvous;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_peer::{StateReply, StateRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Polls held at a time. Further ones are refused, so that their senders try another source.
const MAX_HELD_POLLS: usize = 64;

/// Progress of the reads of the store that is news by itself.
const READ_PROGRESS: Millis = Millis(400);

/// A follower's poll that waits for news.
#[derive(Debug)]
pub(super) struct HeldPoll {
    req: StateRequest,
    /// The last read of the configuration that the follower knows of.
    read_at: Time,
    attempted_at: Time,
    deadline: Time,
    reply: oneshot::Sender<StateReply>,
}

impl Control {
    /// Handles a request for this daemon's state; holds it until there is news if the sender wants
    /// that.
    pub(super) fn handle_state_request(
        &mut self,
        now: Time,
        req: StateRequest,
        reply: oneshot::Sender<StateReply>,
    ) {
        let poll = HeldPoll {
            read_at: now - Millis(u64::from(req.configuration_age_ms)),
            attempted_at: now - Millis(u64::from(req.attempt_age_ms)),
            deadline: now + Millis(u64::from(req.wait_ms)).min(POLL_WAIT),
            req,
            reply,
        };
        if poll.deadline <= now || self.has_news_for(&poll) {
            self.answer_poll(now, poll);
        } else if self.held_polls.len() < MAX_HELD_POLLS {
            self.held_polls.push(poll);
        } else {
            self.shared.metrics.count("refused_poll", "held");
            let refusal = StateReply {
                configuration_age_ms: u32::MAX,
                attempt_age_ms: u32::MAX,
                list_age_ms: u32::MAX,
                ..StateReply::default()
            };
            let _ = poll.reply.send(refusal);
        }
    }

    fn has_news_for(&self, poll: &HeldPoll) -> bool {
        let has_read = self.shared.last_configuration_read().at >= poll.read_at + READ_PROGRESS;
        let has_tried = self.shared.last_read_attempt() >= poll.attempted_at + READ_PROGRESS;
        self.version() > poll.req.configuration_version.max(poll.req.announced_version)
            || has_read
            || has_tried
            || self.has_list_for(&poll.req)
            || self.has_evacuations_for(&poll.req)
    }

    fn answer_poll(&mut self, now: Time, poll: HeldPoll) {
        let reply = self.state_reply(now, &poll.req);
        // Fails if the follower has given up.
        let _ = poll.reply.send(reply);
    }

    /// Answers the held polls for which there is news or whose time is over.
    pub(super) fn answer_held_polls(&mut self, now: Time) {
        let held = std::mem::take(&mut self.held_polls);
        for poll in held {
            if poll.reply.is_closed() {
                continue;
            }
            if poll.deadline <= now || self.has_news_for(&poll) {
                self.answer_poll(now, poll);
            } else {
                self.held_polls.push(poll);
            }
        }
    }

    /// Recomputes the readers and the daemons that this one follows.
    pub(super) fn update_sources(&mut self) {
        let own = &self.membership.own().host;
        let readers = ranked_readers(&self.membership);
        self.reader_rank = readers.iter().position(|reader| reader.host == *own);
        let addresses = readers
            .iter()
            .map(|reader| (rendezvous::hash(reader.host.as_str()), reader.peer_address));
        self.reader_addresses = addresses.collect();
        self.shared.set_reader_rank(self.reader_rank);
        self.follower.set_sources(sources(&self.membership, &readers));
    }

    /// Polls the followed daemon when the last poll has been answered.
    pub(super) fn follow_source(&mut self, now: Time) {
        if !follows_others(self.reader_rank, self.shared.reaches_store()) {
            return;
        }
        let Some(source) = self.follower.next_poll(now) else {
            return;
        };
        let req = StateRequest { wait_ms: POLL_WAIT.0 as u32, ..self.state_request(now) };
        let shared = Arc::clone(&self.shared);
        self.shared.traffic.spawn(async move {
            let timeout = (POLL_WAIT + POLL_REPLY_TIME).into();
            let reply = shared.call_state("poll", source, timeout, req).await;
            shared.tell(Message::Followed { source, reply: reply.map(Box::new) });
        });
    }

    /// Applies the reply of the followed daemon, if there was one.
    pub(super) fn handle_followed(
        &mut self,
        now: Time,
        source: SocketAddr,
        reply: Option<&StateReply>,
    ) {
        match reply {
            Some(reply) => {
                let read_age = Millis(u64::from(reply.configuration_age_ms));
                let attempt_age = Millis(u64::from(reply.attempt_age_ms));
                let is_outdated = is_outdated(self.reader_rank, read_age, attempt_age);
                self.follower.replied(now, source, is_outdated);
                self.apply_peer_state(now, source, true, reply);
                if follows_newest_reader(self.reader_rank) {
                    let newest = self.shared.last_configuration_read().reader.host;
                    if let Some(reader) = self.reader_addresses.get(&newest) {
                        self.follower.prefer(*reader);
                    }
                }
            }
            None => self.follower.failed(now, source),
        }
        // Polls again at once, so that the source can answer as soon as it has news.
        self.follow_source(now);
    }

    /// Age of the last known read of the configuration and of the last attempt, for messages.
    pub(super) fn read_ages_ms(&self, now: Time) -> (u32, u32) {
        let read_at = self.shared.last_configuration_read().at;
        (age_ms(now, read_at), age_ms(now, self.shared.last_read_attempt()))
    }
}
