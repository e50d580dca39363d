//! Asks the owner of a pool for a place.

use crate::control::{Message, PlaceOutcome};
use crate::entry::Entry;
use crate::forward::Forward;
use crate::peer_server::PlaceCode;
use crate::refusal::Refusal;
use crate::runs::{Assignment, Endpoint};
use crate::wire::Wire;
use magnoliawinch::cells::Cell;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{KindName, OrganisationName, UpstreamName};
use magnoliawinch::pool::Wish;
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{PlaceReply, PlaceRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for an owner's answer; it holds a question for 200 ms at the most.
const OWNER_REPLY_TIMEOUT: Duration = Duration::from_millis(350);

/// How long an owner that did not answer is passed over.
const SILENT_OWNER_BACKOFF: Millis = Millis(1_500);

/// Part of a request's time for which it waits for a place: a caller that is refused then can
/// still come back in time.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Latency objectives for which a request waits at the most. Callers leave after four without an
/// event, of which the last is for the prompt, and those that come back want as much again.
const MAX_WAIT_OBJECTIVES: f64 = 2.5;

/// Pause before a question is repeated that found its pool or engine unknown.
const UNKNOWN_POOL_PAUSE: Duration = Duration::from_millis(50);

/// Questions that may find the pool unknown.
const UNKNOWN_POOL_ATTEMPTS: u32 = 4;

/// Time after which a caller may come back whose run found no pool.
const UNKNOWN_POOL_RETRY_AFTER: Millis = Millis(500);

impl<W: Wire> Entry<W> {
    /// The time for which a request may still wait for a place.
    fn remaining_wait(fwd: &Forward) -> Millis {
        let objective = Duration::from(fwd.route.objective);
        let share = fwd.until.saturating_duration_since(fwd.arrived) / MAX_WAIT_DIVISOR;
        millis_until(fwd.arrived + share.min(objective.mul_f64(MAX_WAIT_OBJECTIVES)))
    }

    /// The time in which a request's first event is on time.
    fn time_to_objective(fwd: &Forward) -> Millis {
        millis_until(fwd.arrived + Duration::from(fwd.route.objective))
    }

    /// A place for a run; asks until the owner has decided.
    pub(crate) async fn place(
        &self,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Result<Assignment, Refusal> {
        // It waits in one cell only.
        let cell = self.choose_cell();
        let mut unknown_replies = 0;
        loop {
            match self.ask_owners(cell, fwd, avoid).await {
                PlaceOutcome::Placed(assignment) => return Ok(assignment),
                PlaceOutcome::Refused(wait) => return Err(Refusal::Overloaded(wait)),
                PlaceOutcome::Waits => {}
                PlaceOutcome::Unknown => {
                    unknown_replies += 1;
                    if unknown_replies >= UNKNOWN_POOL_ATTEMPTS {
                        return Err(Refusal::Overloaded(UNKNOWN_POOL_RETRY_AFTER));
                    }
                    tokio::time::sleep(UNKNOWN_POOL_PAUSE).await;
                }
            }
        }
    }

    fn choose_cell(&self) -> Cell {
        let view = self.shared.view.load();
        let mut routing = self.shared.routing();
        let cells = &view.cells;
        cells.layout().choose(cells.home(), &view.cell_loads, &mut routing.rng)
    }

    async fn ask_owners(&self, cell: Cell, fwd: &Forward, avoid: &[UpstreamName]) -> PlaceOutcome {
        let owners = self.shared.view.load().cells.of(cell);
        let own = &self.shared.settings.host;
        for owner in owners.iter() {
            if owner.host == *own {
                break;
            }
            if self.is_silent(owner) {
                continue;
            }
            match self.ask_owner(owner, cell, fwd, avoid).await {
                Some(PlaceOutcome::Unknown) => {}
                Some(outcome) => return outcome,
                None => self.mark_silent(owner),
            }
        }
        self.ask_own_pool(cell, fwd, avoid).await
    }

    fn is_silent(&self, owner: &Member) -> bool {
        let now = self.shared.clock.now();
        let routing = self.shared.routing();
        routing.silent_until.get(owner.host.as_str()).is_some_and(|until| now < *until)
    }

    fn mark_silent(&self, owner: &Member) {
        let now = self.shared.clock.now();
        log::warn!(owner = owner.host.as_str(); "owner of the pools is silent; asking the next");
        let mut routing = self.shared.routing();
        routing.silent_until.insert(owner.host.to_string(), now + SILENT_OWNER_BACKOFF);
    }

    async fn ask_owner(
        &self,
        owner: &Member,
        cell: Cell,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Option<PlaceOutcome> {
        let settings = &self.shared.settings;
        let prompt = fwd.ask.prompt;
        let req = PlaceRequest {
            service: fwd.service.to_string(),
            run: fwd.ask.run.to_string(),
            host: settings.host.to_string(),
            failure_domain: settings.failure_domain.to_string(),
            kind: fwd.route.name.clone(),
            organisation: fwd.organisation_name().to_owned(),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens),
            max_tokens: prompt.map_or(0, |prompt| prompt.max_answer_tokens),
            priority: u32::from(fwd.priority()),
            on_time_ms: Self::time_to_objective(fwd).0 as u32,
            patience_ms: Self::remaining_wait(fwd).0 as u32,
            avoid: avoid.iter().map(UpstreamName::to_string).collect(),
            cell: Some(cell.into()),
        };
        let call = self.shared.peers.call(
            owner.peer_address,
            OWNER_REPLY_TIMEOUT,
            |mut peer| async move { peer.place(req).await },
        );
        match call.await {
            Ok(reply) => place_outcome(&reply),
            Err(e) => {
                log::debug!("no answer to a question for a place: {e}");
                None
            }
        }
    }

    /// The cell itself if this daemon owns it, else the one of which it keeps a pool.
    fn own_cell(&self, cell: Cell) -> Cell {
        let cells = &self.shared.view.load().cells;
        if cells.of(cell).contains(&self.shared.settings.host) { cell } else { cells.home() }
    }

    async fn ask_own_pool(
        &self,
        cell: Cell,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> PlaceOutcome {
        let request = Box::new(self.placement_request(fwd, avoid));
        let service = fwd.service.clone();
        let cell = self.own_cell(cell);
        let outcome =
            self.shared.ask(|reply| Message::Place { service, cell, request, reply }).await;
        outcome.unwrap_or(PlaceOutcome::Unknown)
    }

    fn placement_request(&self, fwd: &Forward, avoid: &[UpstreamName]) -> Wish {
        let settings = &self.shared.settings;
        Wish {
            run: fwd.ask.run.clone(),
            holder: settings.host.clone(),
            near: settings.failure_domain.clone(),
            kind: KindName::new(&fwd.route.name),
            organisation: OrganisationName::new(fwd.organisation_name()),
            prompt_tokens: fwd.ask.prompt.map_or(0, |prompt| prompt.tokens),
            max_tokens: fwd.ask.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
            priority: fwd.priority(),
            on_time_until: self.shared.clock.now() + Self::time_to_objective(fwd),
            patience_until: self.shared.clock.now() + Self::remaining_wait(fwd),
            avoid: avoid.to_vec(),
        }
    }
}

fn millis_until(until: Instant) -> Millis {
    Millis(until.saturating_duration_since(Instant::now()).as_millis() as u64)
}

fn place_outcome(reply: &PlaceReply) -> Option<PlaceOutcome> {
    let endpoint = |name: &str, address: &str| {
        let address: SocketAddr = address.parse().ok()?;
        Some(Endpoint { name: UpstreamName::new(name), address })
    };
    match PlaceCode::from_repr(reply.decision)? {
        PlaceCode::Placed => {
            let engine = endpoint(&reply.engine, &reply.engine_address)?;
            let backup = endpoint(&reply.backup, &reply.backup_address);
            Some(PlaceOutcome::Placed(Assignment { engine, backup }))
        }
        PlaceCode::Refused => Some(PlaceOutcome::Refused(Millis(u64::from(reply.retry_after_ms)))),
        PlaceCode::Waits => Some(PlaceOutcome::Waits),
        PlaceCode::Unknown => Some(PlaceOutcome::Unknown),
    }
}
