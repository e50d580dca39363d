//! Moves a run to another engine.

use super::{CopyResult, EventStream, PendingCopy, is_framed};
use crate::call::response_problem;
use crate::control::Message;
use crate::relocate::CopyError;
use crate::runs::{Assignment, Endpoint, MoveOrder};
use crate::wire::{CopyRefusal, Outgoing, Resume, Wire};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::pool::MoveMethod;
use magnoliawinch_http::Reuse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Timeout for the response headers of an engine where a run continues.
const RESUME_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout of the health check of a silent engine.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

impl<W: Wire> EventStream<W> {
    /// Starts an ordered move.
    pub(super) async fn handle_order(&mut self, order: MoveOrder) {
        if order.from != self.engine.name || order.to.name == self.engine.name {
            return self.move_failed(None);
        }
        if self.handler.withheld(&self.fwd, &order.to.name, order.to.born).is_some() {
            return self.move_failed(Some(&order.to.name));
        }
        match order.way {
            MoveMethod::Copy => self.start_copy(order.to, false),
            MoveMethod::Backup => {
                if let Err(cause) = self.continue_at_backup().await {
                    // The backup was not complete yet. The engine still runs and can make a copy.
                    log::info!(
                        request = self.fwd.info.run.as_str(),
                        to = order.to.name.as_str(),
                        reason = cause.as_str();
                        "backup is not usable; requesting another move"
                    );
                    self.move_failed(None);
                }
            }
        }
    }

    /// Notes that the move failed and requests another engine.
    fn move_failed(&mut self, refused_by: Option<&UpstreamName>) {
        self.run.move_failed(refused_by);
        self.handler.shared.tell(Message::ReportSoon);
    }

    fn start_copy(&mut self, to: Endpoint, is_final: bool) {
        let (tx, result) = oneshot::channel();
        let handler = self.handler.clone();
        let (fwd, from, address) = (Arc::clone(&self.fwd), self.engine.clone(), to.address);
        self.handler.shared.traffic.spawn(async move {
            // Fails if the stream has ended in the meantime.
            let _ = tx.send(handler.copy_run(&fwd, &from, address, is_final).await);
        });
        self.pending_copy = Some(PendingCopy { to, is_final, result });
    }

    /// Continues a move after its copy succeeded or failed.
    pub(super) async fn handle_copy_result(&mut self, result: CopyResult) -> Result<(), String> {
        let Some(pending) = self.pending_copy.take() else {
            return Ok(());
        };
        self.log_copy(&pending, &result);
        match result {
            Ok(copied) if pending.is_final => {
                let source = self.engine.clone();
                match self.continue_at(pending.to, &copied.handle).await {
                    Ok(()) => Ok(()),
                    // The engine that stopped the run still has its memory.
                    Err(_) => self.resume(source.clone(), source.address, copied.handle).await,
                }
            }
            Ok(copied) => {
                let PendingCopy { to, .. } = pending;
                self.latest_copy = Some((to.clone(), copied));
                // The target may have stated otherwise since; the run must not stop in vain.
                if self.handler.withheld(&self.fwd, &to.name, to.born).is_some() {
                    self.move_failed(Some(&to.name));
                } else {
                    self.start_copy(to, true);
                }
                Ok(())
            }
            Err(e) if pending.is_final => self.recover_from_failed_copy(pending, e).await,
            // The run has not started to write, or has ended.
            Err(CopyError::Refused(CopyRefusal::NoRun | CopyRefusal::Busy)) => {
                self.move_failed(None);
                Ok(())
            }
            Err(_) => {
                self.move_failed(Some(&pending.to.name));
                Ok(())
            }
        }
    }

    /// Continues a run whose final copy failed and that may have been stopped.
    async fn recover_from_failed_copy(
        &mut self,
        pending: PendingCopy,
        e: CopyError,
    ) -> Result<(), String> {
        match e {
            // The run ended by itself; the rest of its stream still arrives.
            CopyError::Refused(CopyRefusal::NoRun | CopyRefusal::Busy) => Ok(()),
            CopyError::Refused(CopyRefusal::TargetUnavailable { kept: Some(kept) }) => {
                // The run continues at the engine that stopped it.
                let engine = self.engine.clone();
                self.resume(engine.clone(), engine.address, kept).await
            }
            e => {
                let copied = self.latest_copy.take();
                match copied {
                    Some((to, copied)) if to == pending.to => {
                        self.continue_at(to, &copied.handle).await
                    }
                    _ => Err(e.to_string()),
                }
            }
        }
    }

    /// Continues the run at `to` from the copy that the current engine made there.
    async fn continue_at(&mut self, to: Endpoint, handle: &str) -> Result<(), String> {
        let source = self.engine.address;
        self.resume(to, source, handle.to_owned()).await
    }

    async fn continue_at_backup(&mut self) -> Result<(), String> {
        let Some(backup) = self.run.assignment().backup else {
            return Err("the run has no backup".to_owned());
        };
        self.run.drop_backup();
        self.pending_copy = None;
        let run = self.fwd.info.run.to_string();
        self.resume(backup.clone(), backup.address, run).await
    }

    /// Sends the request to `to` and continues from the copy `handle` of the engine at `address`.
    async fn resume(
        &mut self,
        to: Endpoint,
        address: SocketAddr,
        handle: String,
    ) -> Result<(), String> {
        let started_at = Instant::now();
        let permit = self.handler.permit_resume(&self.fwd, &to).map_err(|withheld| {
            let reason: &'static str = withheld.into();
            format!("{} wants no requests: {reason}", to.name)
        })?;
        let resume = Resume { address, handle, last_event: self.events.last_id() };
        let out = Outgoing {
            upstream: &to.name,
            organisation: self.fwd.organisation.as_ref().map(|o| o.name.as_str()),
            remaining: self.fwd.remaining_ms(),
            backup: None,
            resume: Some(&resume),
        };
        let req = self.fwd.request(&*self.handler.wire, &out);
        let timeout = self.fwd.remaining().min(RESUME_TIMEOUT);
        let sent = self.handler.send(permit, req, Reuse::Never, timeout).await;
        let (response, info) = sent.map_err(|e| e.to_string())?;
        let status = response.status();
        if !status.is_success() || info.not_run {
            return Err(format!("{} did not resume the run: {status}", to.name));
        }
        if let Some(problem) = response_problem(&self.fwd, status, &info) {
            return Err(format!(
                "invalid response with status {status} from {}: {problem}",
                to.name
            ));
        }
        log::info!(
            request = self.fwd.info.run.as_str(),
            from = self.engine.name.as_str(),
            to = to.name.as_str(),
            last_event = resume.last_event.unwrap_or(0),
            took_ms = started_at.elapsed().as_millis() as u64,
            pause_ms = self.last_received_at.elapsed().as_millis() as u64;
            "run goes on"
        );
        self.moves += 1;
        self.is_framed = is_framed(response.headers());
        self.body = response.into_body();
        self.events.discard_partial_event();
        let backup = self.run.assignment().backup.filter(|backup| *backup != to);
        self.engine = to;
        self.latest_copy = None;
        self.run.set_assignment(Assignment { engine: self.engine.clone(), backup });
        Ok(())
    }

    pub(super) async fn handle_broken_stream(&mut self, cause: &str) -> Result<(), String> {
        if self.pending_copy.as_ref().is_some_and(|pending| pending.is_final) {
            return self.await_final_copy().await;
        }
        log::info!(
            request = self.fwd.info.run.as_str(),
            upstream = self.engine.name.as_str(),
            events = self.events.count(),
            reason = cause;
            "stream broke off"
        );
        self.handler.shared.tell(Message::UpstreamUnreachable(self.engine.name.clone()));
        self.recover_from_engine_loss(cause).await
    }

    /// Continues the run from its latest copy, or else from its backup.
    async fn recover_from_engine_loss(&mut self, cause: &str) -> Result<(), String> {
        self.pending_copy = None;
        let mut reason = cause.to_owned();
        if let Some((to, copied)) = self.latest_copy.take() {
            match self.continue_at(to, &copied.handle).await {
                Ok(()) => return Ok(()),
                Err(e) => reason = e,
            }
        }
        if self.run.assignment().backup.is_some() {
            match self.continue_at_backup().await {
                Ok(()) => return Ok(()),
                Err(e) => reason = e,
            }
        }
        self.handler.note_crash(&self.fwd, &self.engine.name);
        Err(reason)
    }

    /// Waits for the final copy of a run that was told to stop, and continues from it.
    async fn await_final_copy(&mut self) -> Result<(), String> {
        let Some(pending) = &mut self.pending_copy else {
            return Err("no copy is in progress".to_owned());
        };
        let result = (&mut pending.result).await;
        self.handle_copy_result(result.unwrap_or(Err(CopyRefusal::Busy.into()))).await
    }

    /// Handles the end of the response body; returns whether the stream is complete.
    pub(super) async fn handle_end(&mut self) -> Result<bool, String> {
        let is_final_pending = self.pending_copy.as_ref().is_some_and(|pending| pending.is_final);
        if self.is_framed || !is_final_pending {
            return match self.events.has_partial_event() {
                true => self
                    .handle_broken_stream("the stream ended within an event")
                    .await
                    .map(|()| false),
                false => Ok(true),
            };
        }
        let moves_before = self.moves;
        self.await_final_copy().await?;
        Ok(self.moves == moves_before)
    }

    /// Handles a silent stream: if there is a copy and the engine fails its health check, continues
    /// the run elsewhere.
    pub(super) async fn handle_silence(&mut self) -> Result<(), String> {
        self.last_received_at = Instant::now();
        let has_copy = self.latest_copy.is_some() || self.run.assignment().backup.is_some();
        if !has_copy || self.handler.is_alive(&self.fwd, &self.engine, HEALTH_CHECK_TIMEOUT).await {
            return Ok(());
        }
        self.recover_from_engine_loss("the silent engine failed its health check").await
    }

    fn log_copy(&self, pending: &PendingCopy, result: &CopyResult) {
        let problem = result.as_ref().err().map(ToString::to_string);
        log::info!(
            request = self.fwd.info.run.as_str(),
            from = self.engine.name.as_str(),
            to = pending.to.name.as_str(),
            last = pending.is_final,
            events = self.events.count(),
            problem = problem.as_deref().unwrap_or("");
            "memory copied"
        );
    }
}
