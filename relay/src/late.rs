//! Calls that may be repeated and are late: a second server gets them, too.

use crate::call::{Attempt, ChosenServer};
use crate::forward::Forward;
use crate::handler::RequestHandler;
use crate::wire::Wire;
use magnoliawinch::names::UpstreamName;
use magnoliawinch::retry::RepeatCause;
use magnoliawinch::server_model::SILENCE;
use magnoliawinch::time::Millis;
use std::pin::{Pin, pin};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

impl<W: Wire> RequestHandler<W> {
    /// Sends a call to the chosen server and, if it may be repeated and the response is late, to a
    /// second one. Returns how the attempts ended, in this order, up to the first success.
    pub(crate) async fn attempt_unless_late(
        &self,
        fwd: &Forward,
        chosen: ChosenServer,
        may_retry: bool,
        tried: &[UpstreamName],
    ) -> Vec<(UpstreamName, Attempt)> {
        let ChosenServer { server, late_after } = chosen;
        let sent_at = Instant::now();
        let mut first = pin!(self.attempt(fwd, &server, may_retry));
        let Some(late_after) = late_after else {
            return vec![(server.name.clone(), first.await)];
        };
        let second_server = match may_retry {
            true => match timeout(late_after.into(), &mut first).await {
                Ok(attempt) => return vec![(server.name.clone(), attempt)],
                Err(_) => self.second_server(fwd, &server.name, late_after, tried),
            },
            false => None,
        };
        let Some(second_server) = second_server else {
            let silent_in = Duration::from(SILENCE).saturating_sub(sent_at.elapsed());
            let attempt = self.await_noting_silence(&server.name, silent_in, first).await;
            return vec![(server.name.clone(), attempt)];
        };
        let repeated_at = Instant::now();
        let mut second = pin!(self.attempt(fwd, &second_server.server, false));
        let (first_name, second_name) = (&server.name, &second_server.server.name);
        let (is_second, attempt) = tokio::select! {
            attempt = &mut first => (false, attempt),
            attempt = &mut second => (true, attempt),
        };
        let (name, other_name, other_sent_at) = match is_second {
            false => (first_name, second_name, repeated_at),
            true => (second_name, first_name, sent_at),
        };
        let is_success = attempt.is_success();
        self.shared.note_repeat(&fwd.service, RepeatCause::Late, is_second && is_success);
        let mut attempts = vec![(name.clone(), attempt)];
        if is_success {
            let waited = Millis(other_sent_at.elapsed().as_millis() as u64);
            self.shared.note_overtaken(other_name, waited);
        } else {
            let other = if is_second { first.await } else { second.await };
            attempts.push((other_name.clone(), other));
        }
        attempts
    }

    /// A second server for a call that is late, if the retry budget allows it.
    fn second_server(
        &self,
        fwd: &Forward,
        first: &UpstreamName,
        late_after: Millis,
        tried: &[UpstreamName],
    ) -> Option<ChosenServer> {
        let avoid: Vec<_> = tried.iter().chain([first]).cloned().collect();
        let second = self.choose_server(fwd, &avoid)?;
        if !self.shared.spend_repeat(&fwd.service, RepeatCause::Late) {
            return None;
        }
        if self.shared.log_limiter.admits(self.shared.clock.now()) {
            log::info!(
                request = fwd.info.run.as_str(),
                first = first.as_str(),
                second = second.server.name.as_str(),
                late_after_ms = late_after.0;
                "late call is sent to a second server"
            );
        }
        Some(second)
    }

    /// Awaits an attempt; other hosts are told if the server is silent meanwhile.
    async fn await_noting_silence(
        &self,
        server: &UpstreamName,
        silent_in: Duration,
        mut attempt: Pin<&mut impl Future<Output = Attempt>>,
    ) -> Attempt {
        tokio::select! {
            attempt = &mut attempt => attempt,
            () = sleep(silent_in) => {
                self.shared.note_silence(server);
                attempt.await
            }
        }
    }
}
