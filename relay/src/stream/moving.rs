//! Goes on with a run at another engine.

use super::{CopyResult, Moving, Streaming, is_framed};
use crate::call::problem;
use crate::control::Message;
use crate::relocate::CopyError;
use crate::runs::{Assignment, Endpoint, MoveOrder};
use crate::wire::{CopyRefused, Outgoing, Resume, Wire};
use magnoliawinch::names::UpstreamName;
use magnoliawinch::pool::MoveMethod;
use magnoliawinch_http::Reuse;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time for the head of the answer of an engine where a run goes on.
const RESUME_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time in which a living engine answers.
const ALIVE_WITHIN: Duration = Duration::from_millis(400);

impl<W: Wire> Streaming<W> {
    /// Begins a move.
    pub(super) async fn obey(&mut self, order: MoveOrder) {
        if order.from != self.engine.name || order.to.name == self.engine.name {
            return self.move_failed(None);
        }
        match order.way {
            MoveMethod::Copy => self.begin_copy(order.to, false),
            MoveMethod::Backup => {
                if let Err(why) = self.go_to_backup().await {
                    // The copy was not complete yet. The engine still runs and can make one.
                    log::info!(
                        request = self.fwd.ask.run.as_str(),
                        to = order.to.name.as_str(),
                        reason = why.as_str();
                        "no copy to go on from"
                    );
                    self.move_failed(None);
                }
            }
        }
    }

    /// Asks for another engine to move to.
    fn move_failed(&mut self, refused_by: Option<&UpstreamName>) {
        self.run.move_failed(refused_by);
        self.entry.shared.tell(Message::ReportSoon);
    }

    fn begin_copy(&mut self, to: Endpoint, is_last: bool) {
        let (tx, result) = oneshot::channel();
        let entry = self.entry.clone();
        let (run, from, address) = (self.fwd.ask.run.clone(), self.engine.address, to.address);
        self.entry.shared.traffic.spawn(async move {
            // The receiver is gone when the stream has ended meanwhile.
            let _ = tx.send(entry.copy(&run, from, address, is_last).await);
        });
        self.moving = Some(Moving { to, is_last, result });
    }

    /// Goes on with a move whose copy ended.
    pub(super) async fn copied(&mut self, result: CopyResult) -> Result<(), String> {
        let Some(moving) = self.moving.take() else {
            return Ok(());
        };
        self.note_copy(&moving, &result);
        match result {
            Ok(copied) if moving.is_last => {
                let source = self.engine.clone();
                match self.go_on_at(moving.to, &copied.copy).await {
                    Ok(()) => Ok(()),
                    // The engine that stopped it still keeps its memory.
                    Err(_) => self.resume(source.clone(), source.address, copied.copy).await,
                }
            }
            Ok(copied) => {
                self.copied = Some((moving.to.clone(), copied));
                self.begin_copy(moving.to, true);
                Ok(())
            }
            Err(e) if moving.is_last => self.stopped_without_copy(moving, e).await,
            // It has not begun to write, or has ended.
            Err(CopyError::Refused(CopyRefused::NoRun | CopyRefused::Busy)) => {
                self.move_failed(None);
                Ok(())
            }
            Err(_) => {
                self.move_failed(Some(&moving.to.name));
                Ok(())
            }
        }
    }

    /// The run may have been stopped, and its last copy did not arrive.
    async fn stopped_without_copy(&mut self, moving: Moving, e: CopyError) -> Result<(), String> {
        match e {
            // The run ended by itself; the rest of its stream is still to come.
            CopyError::Refused(CopyRefused::NoRun | CopyRefused::Busy) => Ok(()),
            CopyError::Refused(CopyRefused::NoRoom { kept: Some(kept) }) => {
                // The engine that stopped it goes on with it.
                let engine = self.engine.clone();
                self.resume(engine.clone(), engine.address, kept).await
            }
            e => {
                let copied = self.copied.take();
                match copied {
                    Some((to, copied)) if to == moving.to => self.go_on_at(to, &copied.copy).await,
                    _ => Err(e.to_string()),
                }
            }
        }
    }

    /// Goes on at `to` from the copy that its former engine made there.
    async fn go_on_at(&mut self, to: Endpoint, copy: &str) -> Result<(), String> {
        let source = self.engine.address;
        self.resume(to, source, copy.to_owned()).await
    }

    /// Goes on at the engine that keeps a copy of the run.
    async fn go_to_backup(&mut self) -> Result<(), String> {
        let Some(backup) = self.run.assignment().backup else {
            return Err("there is no copy".to_owned());
        };
        self.run.drop_backup();
        self.moving = None;
        let run = self.fwd.ask.run.to_string();
        self.resume(backup.clone(), backup.address, run).await
    }

    /// Sends the request to `to`, to go on from a copy.
    async fn resume(
        &mut self,
        to: Endpoint,
        address: SocketAddr,
        copy: String,
    ) -> Result<(), String> {
        let begun = Instant::now();
        let resume = Resume { address, copy, last_event: self.events.last() };
        let out = Outgoing {
            upstream: &to.name,
            organisation: self.fwd.organisation.as_ref().map(|o| o.name.as_str()),
            remaining: self.fwd.remaining_ms(),
            backup: None,
            resume: Some(&resume),
        };
        let req = self.fwd.request(&*self.entry.wire, &out);
        let limit = self.fwd.remaining().min(RESUME_TIMEOUT);
        let sent = self.entry.shared.upstreams.send(to.address, req, Reuse::Never, limit).await;
        let reply = sent.map_err(|e| e.to_string())?;
        let marks = self.entry.wire.marks(reply.headers());
        let status = reply.status();
        if !status.is_success() || marks.not_run {
            return Err(format!("{} does not go on: {status}", to.name));
        }
        if let Some(problem) = problem(&self.fwd, status, &marks) {
            return Err(format!("{} answered {status}, {problem}", to.name));
        }
        log::info!(
            request = self.fwd.ask.run.as_str(),
            from = self.engine.name.as_str(),
            to = to.name.as_str(),
            last_event = resume.last_event.unwrap_or(0),
            took_ms = begun.elapsed().as_millis() as u64,
            pause_ms = self.heard_at.elapsed().as_millis() as u64;
            "run goes on"
        );
        self.moves += 1;
        self.is_framed = is_framed(reply.headers());
        self.upstream = reply.into_body();
        self.events.drop_part();
        let backup = self.run.assignment().backup.filter(|backup| *backup != to);
        self.engine = to;
        self.copied = None;
        self.run.set_assignment(Assignment { engine: self.engine.clone(), backup });
        Ok(())
    }

    /// The stream broke off.
    pub(super) async fn broke(&mut self, why: &str) -> Result<(), String> {
        if self.moving.as_ref().is_some_and(|moving| moving.is_last) {
            return self.await_last_copy().await;
        }
        log::info!(
            request = self.fwd.ask.run.as_str(),
            upstream = self.engine.name.as_str(),
            events = self.events.count(),
            reason = why;
            "stream broke off"
        );
        self.entry.shared.tell(Message::UpstreamUnreachable(self.engine.name.clone()));
        self.go_on_after_loss(why).await
    }

    /// Goes on from whatever copy there is of a run whose engine is lost.
    async fn go_on_after_loss(&mut self, why: &str) -> Result<(), String> {
        self.moving = None;
        let mut reason = why.to_owned();
        if let Some((to, copied)) = self.copied.take() {
            match self.go_on_at(to, &copied.copy).await {
                Ok(()) => return Ok(()),
                Err(e) => reason = e,
            }
        }
        if self.run.assignment().backup.is_some() {
            match self.go_to_backup().await {
                Ok(()) => return Ok(()),
                Err(e) => reason = e,
            }
        }
        self.entry.note_crash(&self.fwd, &self.engine.name);
        Err(reason)
    }

    /// The run was stopped; its copy arrives at the other engine.
    async fn await_last_copy(&mut self) -> Result<(), String> {
        let Some(moving) = &mut self.moving else {
            return Err("no move is in progress".to_owned());
        };
        let result = (&mut moving.result).await;
        self.copied(result.unwrap_or(Err(CopyRefused::Busy.into()))).await
    }

    /// The stream ended; returns whether it is whole.
    pub(super) async fn ended(&mut self) -> Result<bool, String> {
        let is_stopping = self.moving.as_ref().is_some_and(|moving| moving.is_last);
        if self.is_framed || !is_stopping {
            return match self.events.has_part() {
                true => self.broke("the stream ended within an event").await.map(|()| false),
                false => Ok(true),
            };
        }
        let before = self.moves;
        self.await_last_copy().await?;
        Ok(self.moves == before)
    }

    /// The stream is silent; goes on elsewhere if its engine does not live.
    pub(super) async fn silent(&mut self) -> Result<(), String> {
        self.heard_at = Instant::now();
        let has_copy = self.copied.is_some() || self.run.assignment().backup.is_some();
        if !has_copy || self.entry.is_alive(self.engine.address, ALIVE_WITHIN).await {
            return Ok(());
        }
        self.go_on_after_loss("the engine is silent").await
    }

    fn note_copy(&self, moving: &Moving, result: &CopyResult) {
        let problem = result.as_ref().err().map(ToString::to_string);
        log::info!(
            request = self.fwd.ask.run.as_str(),
            from = self.engine.name.as_str(),
            to = moving.to.name.as_str(),
            last = moving.is_last,
            events = self.events.count(),
            problem = problem.as_deref().unwrap_or("");
            "memory copied"
        );
    }
}
