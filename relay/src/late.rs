//! Calls that may be repeated and are late: other servers get them, too, and the first answer is taken.

use crate::call::{
    Attempt, BufferedResponse, CRASH_CHECK_PATIENCE, ChosenServer, MIN_ATTEMPT_TIME,
};
use crate::forward::Forward;
use crate::handler::RequestHandler;
use crate::runs::Endpoint;
use crate::wire::Wire;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::retry::RepeatCause;
use magnoliawinch::time::Millis;
use std::collections::VecDeque;
use std::future::pending;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time without a response after which a call is late on any server; the longest processing time that
/// users specify is 220 ms.
const MAX_PATIENCE: Duration = Duration::from_millis(350);

/// Servers that get one call, those included that do not run it.
const MAX_SERVERS_ASKED: usize = 4;

/// A server that has got a call.
struct AskedServer {
    name: UpstreamName,
    at: Instant,
    /// Why it got the call after another server.
    cause: Option<RepeatCause>,
}

impl<W: Wire> RequestHandler<W> {
    /// Sends a call to the chosen server and, while the response is late, to further ones; at most
    /// `max_runs` of them may run it. Returns the first success, or how the attempts ended, in this
    /// order.
    pub(crate) async fn attempt_unless_late(
        &self,
        fwd: &Forward,
        chosen: ChosenServer,
        max_runs: u32,
        tried: &[UpstreamName],
    ) -> Result<BufferedResponse, Vec<(UpstreamName, Attempt)>> {
        let mut asked: Vec<AskedServer> = Vec::new();
        let mut failed = Vec::new();
        let mut in_progress = FuturesUnordered::new();
        let mut late_at = VecDeque::new();
        let mut next = Some((chosen, None));
        loop {
            if let Some((chosen, cause)) = next.take() {
                let (name, at) = (chosen.server.name.clone(), Instant::now());
                asked.push(AskedServer { name, at, cause });
                let may_repeat = may_ask_another(&asked, &failed, max_runs);
                // The model of its server tells when a call is late, but not by how much.
                let late_after = chosen.late_after.filter(|_| asked.len() == 1);
                late_at = if may_repeat { late_times(at, late_after) } else { VecDeque::new() };
                in_progress.push(self.attempt_noting_lateness(fwd, chosen, may_repeat));
            }
            let cause = tokio::select! {
                biased;
                Some((name, attempt)) = in_progress.next() => {
                    let cause = attempt.repeat_cause();
                    match attempt {
                        Attempt::Responded(response) if !response.is_failure() => {
                            self.note_success(fwd, &asked, &failed, &name);
                            return Ok(response);
                        }
                        attempt => failed.push((name, attempt)),
                    }
                    if in_progress.is_empty() {
                        self.note_repeats(fwd, &asked, None);
                        return Err(failed);
                    }
                    cause
                }
                cause = next_late(&late_at) => {
                    late_at.pop_front();
                    Some(cause)
                }
            };
            if may_ask_another(&asked, &failed, max_runs) {
                next = self.further_server(fwd, &asked, cause, tried).map(|chosen| (chosen, cause));
            }
        }
    }

    /// A further server for a call in progress, if the retry budget allows it.
    fn further_server(
        &self,
        fwd: &Forward,
        asked: &[AskedServer],
        cause: Option<RepeatCause>,
        tried: &[UpstreamName],
    ) -> Option<ChosenServer> {
        if fwd.remaining() <= MIN_ATTEMPT_TIME || self.quarantined(fwd).is_some() {
            return None;
        }
        let avoid: Vec<_> =
            tried.iter().chain(asked.iter().map(|server| &server.name)).cloned().collect();
        let chosen = self.choose_server(fwd, &avoid)?;
        if cause.is_some_and(|cause| !self.spend_retry(fwd, &chosen, cause)) {
            return None;
        }
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.info.run.as_str(),
                first = asked.first().map_or("", |server| server.name.as_str()),
                further = chosen.server.name.as_str(),
                servers_asked = asked.len(),
                waited_ms = asked.first().map_or(0, |server| server.at.elapsed().as_millis() as u64);
                "late call is sent to a further server"
            );
        }
        Some(chosen)
    }

    /// Awaits an attempt, however late it is. If it is late, the server counts as failing until it
    /// responds, and it is examined whether it has ended.
    async fn attempt_noting_lateness(
        &self,
        fwd: &Forward,
        chosen: ChosenServer,
        may_repeat: bool,
    ) -> (UpstreamName, Attempt) {
        let ChosenServer { server, late_after } = chosen;
        let mut attempt = pin!(self.attempt(fwd, &server, may_repeat));
        let attempt = tokio::select! {
            biased;
            attempt = &mut attempt => attempt,
            () = sleep(MAX_PATIENCE) => {
                if late_after.is_some() {
                    self.shared.note_silence(&server.name);
                }
                if may_repeat {
                    let now = self.shared.clock.now();
                    self.shared.routing().balancer.note_late(now, &server.name);
                    drop(self.note_lost_connection(fwd, &Endpoint::from(&server)));
                }
                attempt.await
            }
        };
        (server.name.clone(), attempt)
    }

    fn note_success(
        &self,
        fwd: &Forward,
        asked: &[AskedServer],
        failed: &[(UpstreamName, Attempt)],
        first: &UpstreamName,
    ) {
        self.note_repeats(fwd, asked, Some(first));
        let is_overtaken = |server: &&AskedServer| {
            server.name != *first && failed.iter().all(|(name, _)| *name != server.name)
        };
        for server in asked.iter().filter(is_overtaken) {
            let waited = Millis(server.at.elapsed().as_millis() as u64);
            self.shared.note_overtaken(&server.name, waited);
        }
    }

    /// Records which of the further servers helped: none but the one that succeeded.
    fn note_repeats(&self, fwd: &Forward, asked: &[AskedServer], succeeded: Option<&UpstreamName>) {
        for server in asked {
            if let Some(cause) = server.cause {
                let has_helped = succeeded == Some(&server.name);
                self.shared.note_repeat(&fwd.service, cause, has_helped);
            }
        }
    }
}

/// Whether one more server may get the call.
fn may_ask_another(
    asked: &[AskedServer],
    failed: &[(UpstreamName, Attempt)],
    max_runs: u32,
) -> bool {
    let is_not_run =
        |(_, attempt): &&(UpstreamName, Attempt)| matches!(attempt, Attempt::NotRun { .. });
    let runs = asked.len() - failed.iter().filter(is_not_run).count();
    runs < max_runs as usize && asked.len() < MAX_SERVERS_ASKED
}

/// When a call sent at `sent_at` is late: by the model of its server, and on any server. The latter
/// leaves time to learn whether the server has ended.
fn late_times(sent_at: Instant, late_after: Option<Millis>) -> VecDeque<(Instant, RepeatCause)> {
    let by_model = late_after.map(|after| (sent_at + after.into(), RepeatCause::Late));
    let at_last = (sent_at + MAX_PATIENCE + CRASH_CHECK_PATIENCE, RepeatCause::NoResponse);
    by_model.into_iter().chain([at_last]).collect()
}

/// Waits until the call is late for the next time.
async fn next_late(late_at: &VecDeque<(Instant, RepeatCause)>) -> RepeatCause {
    match late_at.front() {
        Some((at, cause)) => {
            sleep_until(*at).await;
            *cause
        }
        None => pending().await,
    }
}
