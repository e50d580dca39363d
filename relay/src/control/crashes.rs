//! Ends of upstreams under requests.

use super::{Control, Message};
use magnoliawinch::crash_detection::{Reachability, Suspicion, UpstreamProcess};
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::time::Time;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use tokio::sync::oneshot;

/// A request whose connection to an upstream broke before the response was complete.
#[derive(Debug)]
pub(crate) struct BrokenRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) upstream: UpstreamProcess,
    /// Told when it is known whether the upstream has ended.
    pub(crate) reply: oneshot::Sender<()>,
}

impl Control {
    pub(super) fn handle_broken_request(&mut self, now: Time, broken: BrokenRequest) {
        let BrokenRequest { fingerprint, upstream, reply } = broken;
        // An upstream that leaves refuses connections before it ends what it runs.
        if self.fleet.is_known_to_leave(&upstream.name) {
            return;
        }
        match self.crash_detector.connection_broke(now, &upstream, fingerprint) {
            Suspicion::Ended => self.note_ended(&upstream, &[fingerprint], "ended_before"),
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
        self.shared.traffic.spawn(async move {
            let result = reachability(shared.upstreams.probe(upstream.address).await);
            shared.metrics.count("crash_check", result.into());
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
        self.note_ended(upstream, &ended, "refused");
        // Dropping the senders tells the requests that wait for the result.
        self.waiting_for_checks.retain(|(waited_for, _)| waited_for != upstream);
    }

    /// Finds upstreams that must have ended, as others are listed at their addresses.
    pub(super) fn find_replaced(&mut self) {
        if self.crash_detector.is_empty() {
            return;
        }
        let listed = self.fleet.all();
        let replaced: Vec<_> = listed
            .flat_map(|new| self.crash_detector.listed(&new.name, new.born, new.address))
            .collect();
        for (upstream, requests) in replaced {
            self.note_ended(&upstream, &requests, "replaced");
        }
    }

    /// Makes the checks that are due.
    pub(super) fn tick_crash_detector(&mut self, now: Time) {
        for upstream in self.crash_detector.tick(now) {
            self.check_process(upstream);
        }
    }

    fn note_ended(
        &self,
        upstream: &UpstreamProcess,
        requests: &[Fingerprint],
        evidence: &'static str,
    ) {
        for fingerprint in requests {
            self.shared.metrics.count("ended_under_request", evidence);
            log::warn!(
                upstream = upstream.name.as_str(),
                born = upstream.born,
                fingerprint = fingerprint.0,
                evidence;
                "upstream ended under a request"
            );
        }
    }
}

fn reachability(probe: io::Result<()>) -> Reachability {
    match probe {
        Ok(()) => Reachability::Accepted,
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => Reachability::Refused,
        Err(_) => Reachability::Unknown,
    }
}
