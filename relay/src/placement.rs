//! Requests an engine for a run from the owner of its pool.

use crate::control::{Message, PlaceOutcome};
use crate::forward::Forward;
use crate::handler::RequestHandler;
use crate::peer_server::PlaceCode;
use crate::refusal::Refusal;
use crate::runs::{Assignment, Endpoint};
use crate::wire::Wire;
use magnoliawinch::cells::Cell;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{KindName, OrganisationName, UpstreamName};
use magnoliawinch::pool::PlacementRequest;
use magnoliawinch::quarantine::Fingerprint;
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{PlaceReply, PlaceRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a placement request; an owner holds it open for up to 200 ms.
const OWNER_REPLY_TIMEOUT: Duration = Duration::from_millis(350);

/// How long an owner that did not reply is skipped.
const SILENT_OWNER_BACKOFF: Millis = Millis(1_500);

/// A request waits for an engine for at most its total time divided by this, so that a refused
/// caller can still retry in time.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Maximum wait for an engine, in multiples of the latency objective. Callers disconnect after four
/// objectives without an event; the last of these is needed for the prompt, and callers that retry
/// expect the same time again.
const MAX_WAIT_OBJECTIVES: f64 = 2.5;

/// Delay before a placement request whose pool or engine was unknown is repeated.
const UNKNOWN_POOL_DELAY: Duration = Duration::from_millis(50);

/// Placement requests with an unknown pool or engine after which the run is refused.
const UNKNOWN_POOL_ATTEMPTS: u32 = 4;

/// Retry delay for the caller of a run whose pool or engine stayed unknown.
const UNKNOWN_POOL_RETRY_AFTER: Millis = Millis(500);

/// Retry delay for the caller of a run that all engines of the pool have refused, at least one of
/// them without a time.
const REFUSED_BY_ALL_RETRY_AFTER: Millis = Millis(500);

/// Engines whose machines are checked for one request, which is sent to the next one unchecked.
const MAX_MACHINE_CHECKS: u32 = 3;

impl<W: Wire> RequestHandler<W> {
    /// How long a request may still wait for an engine.
    fn remaining_wait(fwd: &Forward) -> Millis {
        let objective = Duration::from(fwd.route.objective);
        let share = fwd.deadline.saturating_duration_since(fwd.arrived_at) / MAX_WAIT_DIVISOR;
        millis_until(fwd.arrived_at + share.min(objective.mul_f64(MAX_WAIT_OBJECTIVES)))
    }

    /// Time left until the latency objective of the first event.
    fn time_to_objective(fwd: &Forward) -> Millis {
        millis_until(fwd.arrived_at + Duration::from(fwd.route.objective))
    }

    /// Assigns a run to an engine other than those in `avoid`, unless this daemon stops before the run
    /// is due.
    pub(crate) async fn place(
        &self,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Result<Assignment, Refusal> {
        tokio::select! {
            assignment = self.place_when_decided(fwd, avoid) => assignment,
            () = self.shared.outlives_daemon(fwd.deadline) => Err(Refusal::Leaving),
        }
    }

    /// Repeats the request for an engine until the owner has decided.
    async fn place_when_decided(
        &self,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Result<Assignment, Refusal> {
        // A run waits in the queue of one cell only.
        let cell = self.choose_cell();
        let mut unknown_replies = 0;
        let mut withheld = Vec::new();
        let mut slow = Vec::new();
        let mut checks_left = MAX_MACHINE_CHECKS;
        loop {
            withheld = self.withheld_upstreams(fwd, &withheld);
            let all_avoided = [avoid, withheld.as_slice(), slow.as_slice()].concat();
            match self.ask_owners(cell, fwd, &all_avoided).await {
                PlaceOutcome::Placed(assignment) => match assignment.max_slowdown_percent {
                    Some(max)
                        if checks_left > 0
                            && self.slowdown_exceeds(fwd, &assignment.engine, max).await =>
                    {
                        checks_left -= 1;
                        slow.push(assignment.engine.name);
                    }
                    _ => return Ok(assignment),
                },
                // Engines that are slow at the moment are better than none.
                _ if !slow.is_empty() => {
                    slow.clear();
                    checks_left = 0;
                }
                PlaceOutcome::Refused(wait) => return Err(Refusal::Overloaded(wait)),
                PlaceOutcome::Queued => {}
                PlaceOutcome::AllAvoided => {
                    let has_stated = |name: &UpstreamName| withheld.contains(name);
                    let wait = match avoid.iter().all(has_stated) {
                        true => self.wait_for_withheld(fwd),
                        false => REFUSED_BY_ALL_RETRY_AFTER,
                    };
                    return Err(Refusal::Overloaded(wait));
                }
                PlaceOutcome::Unknown => {
                    unknown_replies += 1;
                    if unknown_replies >= UNKNOWN_POOL_ATTEMPTS {
                        return Err(Refusal::Overloaded(UNKNOWN_POOL_RETRY_AFTER));
                    }
                    tokio::time::sleep(UNKNOWN_POOL_DELAY).await;
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
        log::warn!(owner = owner.host.as_str(); "pool owner did not reply; asking the next one");
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
        let prompt = fwd.info.prompt;
        let req = PlaceRequest {
            service: fwd.service.to_string(),
            run: fwd.info.run.to_string(),
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
            max_pause_ms: fwd.route.max_pause.map(|pause| pause.0 as u32),
            fingerprint: self.caller_fingerprint(fwd).map(|fingerprint| fingerprint.0),
        };
        let call = self.shared.peers.call(
            owner.peer_address,
            OWNER_REPLY_TIMEOUT,
            |mut peer| async move { peer.place(req).await },
        );
        match call.await {
            Ok(reply) => place_outcome(&reply),
            Err(e) => {
                log::debug!("placement request failed: {e}");
                None
            }
        }
    }

    /// The cell itself if this daemon owns it, else its home cell, whose pools it also keeps.
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

    /// What all attempts of a caller share, if organisations share the engines. Bodies may be equal
    /// where the headers tell the prompt.
    fn caller_fingerprint(&self, fwd: &Forward) -> Option<Fingerprint> {
        self.shared.settings.sharing.as_ref()?;
        let prompt = fwd.info.prompt.map_or(0, |prompt| prompt.digest);
        Some(Fingerprint(fwd.fingerprint.0 ^ prompt))
    }

    fn placement_request(&self, fwd: &Forward, avoid: &[UpstreamName]) -> PlacementRequest {
        let settings = &self.shared.settings;
        PlacementRequest {
            run: fwd.info.run.clone(),
            holder: settings.host.clone(),
            holder_domain: settings.failure_domain.clone(),
            kind: KindName::new(&fwd.route.name),
            organisation: OrganisationName::new(fwd.organisation_name()),
            prompt_tokens: fwd.info.prompt.map_or(0, |prompt| prompt.tokens),
            max_tokens: fwd.info.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
            priority: fwd.priority(),
            first_event_deadline: self.shared.clock.now() + Self::time_to_objective(fwd),
            patience_until: self.shared.clock.now() + Self::remaining_wait(fwd),
            avoid: avoid.to_vec(),
            max_pause: fwd.route.max_pause,
            fingerprint: self.caller_fingerprint(fwd),
        }
    }
}

fn millis_until(until: Instant) -> Millis {
    Millis(until.saturating_duration_since(Instant::now()).as_millis() as u64)
}

fn place_outcome(reply: &PlaceReply) -> Option<PlaceOutcome> {
    let endpoint = |name: &str, address: &str, born: u64| {
        let address: SocketAddr = address.parse().ok()?;
        Some(Endpoint { name: UpstreamName::new(name), address, born })
    };
    let Some(code) = PlaceCode::from_repr(reply.decision) else {
        // An owner of a newer build; it is not silent, and the next one may know the pool.
        log::debug!("unknown placement decision {}", reply.decision);
        return Some(PlaceOutcome::Unknown);
    };
    match code {
        PlaceCode::Placed => {
            let engine = endpoint(&reply.engine, &reply.engine_address, reply.engine_born)?;
            let backup = endpoint(&reply.backup, &reply.backup_address, reply.backup_born);
            let max_slowdown_percent = reply.max_slowdown_percent;
            Some(PlaceOutcome::Placed(Assignment { engine, backup, max_slowdown_percent }))
        }
        PlaceCode::Refused => Some(PlaceOutcome::Refused(Millis(u64::from(reply.retry_after_ms)))),
        PlaceCode::Queued => Some(PlaceOutcome::Queued),
        PlaceCode::Unknown => Some(PlaceOutcome::Unknown),
        PlaceCode::AllAvoided => Some(PlaceOutcome::AllAvoided),
    }
}
