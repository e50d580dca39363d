//! Ends of upstreams under requests, and the quarantine of such requests.

use super::convert::QuarantineUpdate;
use super::{Control, Message};
use crate::runs::Endpoint;
use crate::view::SuspectRequests;
use magnoliawinch::crash_detection::{Reachability, Suspicion, UpstreamProcess};
use magnoliawinch::names::ServiceName;
use magnoliawinch::quarantine::{Crash, Fact, Fingerprint, QuarantineStatus};
use magnoliawinch::service_paths::ConnectFailure;
use magnoliawinch::time::Time;
use magnoliawinch_peer::{QuarantineNews, StoredQuarantine};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A request whose connection to an upstream was lost before the response was complete.
#[derive(Debug)]
pub(crate) struct LostRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) upstream: UpstreamProcess,
    /// Dropped once it is known whether the upstream has ended.
    pub(crate) reply: oneshot::Sender<()>,
}

impl Control {
    /// Has it examined whether the upstream ended, unless that is known.
    pub(super) fn handle_lost_request(&mut self, now: Time, lost: LostRequest) {
        let LostRequest { fingerprint, upstream, reply } = lost;
        // An upstream that leaves refuses connections before it ends what it runs.
        if self.fleet.is_known_to_leave(&upstream.name) {
            return;
        }
        match self.crash_detector.connection_lost(now, &upstream, fingerprint) {
            Suspicion::Ended => self.note_ended(now, &upstream, &[fingerprint], "ended_before"),
            Suspicion::CheckDue => {
                self.waiting_for_checks.push((upstream.clone(), reply));
                self.check_process(upstream);
            }
            Suspicion::CheckInProgress => self.waiting_for_checks.push((upstream, reply)),
            Suspicion::Open => {}
        }
    }

    fn check_process(&self, upstream: UpstreamProcess) {
        let shared = Arc::clone(&self.shared);
        let listed = self.fleet.get(&upstream.name);
        let service = listed.map_or_else(|| ServiceName::new(""), |listed| listed.service.clone());
        self.shared.traffic.spawn(async move {
            let endpoint = Endpoint::from(&upstream);
            let result = shared.examine(&service, &endpoint).await;
            shared.metrics.count("crash_check", result.into());
            if result == Reachability::PathLost {
                shared.note_connect_failure(&service, &endpoint, ConnectFailure::Refused);
                log::info!(
                    upstream = upstream.name.as_str(),
                    born = upstream.born;
                    "this host cannot reach an upstream that others reach"
                );
            }
            let message = Message::ProcessChecked { upstream, result };
            if shared.control.send(message).await.is_err() {
                log::debug!("the control thread has ended");
            }
        });
    }

    pub(super) fn handle_process_checked(
        &mut self,
        now: Time,
        upstream: &UpstreamProcess,
        result: Reachability,
    ) {
        let ended = self.crash_detector.checked(now, upstream, result);
        if ended.is_empty() && self.shared.log_limiter.admits(now) {
            log::info!(
                upstream = upstream.name.as_str(),
                born = upstream.born,
                result:% = result;
                "upstream is not known to have ended under a request"
            );
        }
        self.note_ended(now, upstream, &ended, "refused");
        self.waiting_for_checks.retain(|(waited_for, _)| waited_for != upstream);
    }

    /// Finds upstreams that must have ended, as others are listed at their addresses.
    pub(super) fn find_replaced(&mut self, now: Time) {
        if self.crash_detector.is_empty() {
            return;
        }
        let listed = self.fleet.all();
        let replaced: Vec<_> = listed
            .flat_map(|new| self.crash_detector.listed(&new.name, new.born, new.address))
            .collect();
        for (upstream, requests) in replaced {
            self.note_ended(now, &upstream, &requests, "replaced");
        }
    }

    /// Makes the checks that are due.
    pub(super) fn tick_crash_detector(&mut self, now: Time) {
        self.note_survivors(now);
        for upstream in self.crash_detector.tick(now) {
            self.check_process(upstream);
        }
    }

    fn note_ended(
        &mut self,
        now: Time,
        upstream: &UpstreamProcess,
        requests: &[Fingerprint],
        evidence: &'static str,
    ) {
        let at = self.crash_detector.lost_at(upstream).unwrap_or(now);
        if !requests.is_empty() {
            self.note_suspect_runs(now, upstream, at);
        }
        for fingerprint in requests.iter().copied() {
            self.shared.metrics.count("ended_under_request", evidence);
            log::warn!(
                upstream = upstream.name.as_str(),
                born = upstream.born,
                fingerprint = fingerprint.0,
                evidence;
                "upstream ended under a request"
            );
            let crash = Crash { fingerprint, upstream: upstream.name.clone(), born: upstream.born };
            self.learn_facts(now, [Fact::Crashed(crash, at)], "own");
        }
    }

    /// Handles the end of a run with a fingerprint under which upstreams have ended.
    pub(super) fn handle_suspect_completed(&mut self, now: Time, fingerprint: Fingerprint) {
        self.learn_facts(now, [Fact::Completed(fingerprint, now)], "own");
    }

    /// Handles what a peer has passed on.
    pub(super) fn apply_quarantine_news(&mut self, now: Time, news: Option<&QuarantineNews>) {
        if let Some(news) = news {
            let QuarantineUpdate { facts, parts } = QuarantineUpdate::from_proto(now, news);
            self.learn_facts(now, facts, "peer");
            self.learn_part_news(now, parts, "peer");
        }
    }

    /// What is refused, as a record for the platform's store.
    pub(super) fn refusals_to_keep(&self, now: Time) -> Vec<u8> {
        let news = self.quarantine_news(now);
        StoredQuarantine { written_at_ms: now.0, news }.to_bytes()
    }

    /// Applies what was refused when all daemons ended.
    pub(super) fn apply_kept_refusals(&mut self, now: Time, record: &[u8]) {
        let stored = match StoredQuarantine::from_bytes(record) {
            Ok(stored) => stored,
            Err(e) => {
                log::warn!("cannot read what the store keeps of refused requests: {e}");
                return;
            }
        };
        let written_at = Time(stored.written_at_ms).min(now);
        let news = stored.news.unwrap_or_default();
        let QuarantineUpdate { facts, parts } = QuarantineUpdate::from_proto(written_at, &news);
        log::info!(
            age_ms = now.since(written_at).0,
            facts = facts.len(),
            parts = parts.len();
            "read what the store keeps of refused requests"
        );
        self.learn_facts(now, facts, "store");
        self.learn_part_news(now, parts, "store");
    }

    /// Adds facts to the quarantine; puts them in force at once and passes on those that are news.
    fn learn_facts(
        &mut self,
        now: Time,
        facts: impl IntoIterator<Item = Fact>,
        source: &'static str,
    ) {
        let mut is_news = false;
        for fact in facts {
            let fingerprint = fact.fingerprint();
            if !self.quarantine.apply(now, [fact.clone()]) {
                continue;
            }
            is_news = true;
            self.shared.metrics.count("quarantine_news", source);
            if matches!(fact, Fact::Completed(..)) {
                self.shared.metrics.count("fingerprint_cleared", source);
                log::info!(fingerprint = fingerprint.0, source; "completed run clears its fingerprint");
            }
            // A request that this daemon has seen complete is not the cause.
            let completed_at = self.shared.completions().last(now, fingerprint);
            if let Some(at) = completed_at {
                self.quarantine.record_completion(now, at, fingerprint);
            }
            self.log_status(now, fingerprint, source);
        }
        if is_news {
            if self.update_quarantine_view(now) {
                self.publish_view(now);
            }
            self.tell_news(now);
        }
    }

    fn log_status(&self, now: Time, fingerprint: Fingerprint, source: &'static str) {
        let refused_for = match self.quarantine.status(now, fingerprint) {
            QuarantineStatus::Refused(left) => left,
            QuarantineStatus::Normal | QuarantineStatus::Suspect => return,
        };
        log::warn!(
            fingerprint = fingerprint.0,
            refused_for_ms = refused_for.0,
            source;
            "requests under which upstreams end are refused"
        );
    }

    /// Updates the part of the view; returns whether it has changed.
    fn update_quarantine_view(&mut self, now: Time) -> bool {
        let suspects = self.quarantine.suspects(now).map(|(fingerprint, status)| {
            let refused_until = match status {
                QuarantineStatus::Refused(left) => now + left,
                QuarantineStatus::Normal | QuarantineStatus::Suspect => Time(0),
            };
            let are_withdrawn = !self.quarantine.has_completed_before(now, fingerprint);
            (fingerprint, SuspectRequests { refused_until, are_withdrawn })
        });
        let suspects: HashMap<_, _> = suspects.collect();
        let has_changed = suspects != *self.quarantine_view;
        if has_changed {
            self.quarantine_view = Arc::new(suspects);
        }
        has_changed
    }

    /// What this daemon passes on, for messages.
    pub(super) fn quarantine_news(&self, now: Time) -> Option<QuarantineNews> {
        let (facts, parts) = (self.quarantine.news(now), self.fatal_parts.news(now));
        let update = QuarantineUpdate { facts, parts };
        (!update.is_empty()).then(|| update.to_proto(now))
    }

    pub(super) fn tick_quarantine(&mut self, now: Time) {
        self.tick_fatal_parts(now);
        if self.quarantine.is_empty() && self.quarantine_view.is_empty() {
            return;
        }
        self.quarantine.tick(now);
        self.view_is_stale |= self.update_quarantine_view(now);
    }
}
