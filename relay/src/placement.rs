//! Asks the owner of a pool for a place.

use crate::control::{Decided, Message};
use crate::entry::Entry;
use crate::forward::Forward;
use crate::peer_server::PlaceCode;
use crate::refusal::Refusal;
use crate::runs::{Placed, Target};
use crate::wire::Wire;
use magnoliawinch::cells::Cell;
use magnoliawinch::membership::Member;
use magnoliawinch::names::{KindName, OrganisationName, UpstreamName};
use magnoliawinch::pool::PlacementRequest;
use magnoliawinch::time::Millis;
use magnoliawinch_peer::{PlaceReply, PlaceRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for an owner's answer; it holds a question for 200 ms at the most.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// How long an owner that did not answer is passed over.
const SILENT_FOR: Millis = Millis(1_500);

/// Part of a request's time for which it waits for a place: a caller that is refused then can
/// still come back in time.
const PATIENCE_PART: u32 = 2;

/// Latency objectives for which a request waits at the most. Callers leave after four without an
/// event, of which the last is for the prompt, and those that come back want as much again.
const PATIENCE_OBJECTIVES: f64 = 2.5;

/// Pause before a question is repeated that found its pool or engine unknown.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(50);

/// Questions that may find the pool unknown.
const UNKNOWN_TRIES: u32 = 4;

/// Time after which a caller may come back whose run found no pool.
const UNKNOWN_RETRY: Millis = Millis(500);

impl<W: Wire> Entry<W> {
    /// The time for which a request may still wait for a place.
    fn patience(fwd: &Forward) -> Millis {
        let objective = Duration::from(fwd.route.objective);
        let whole = fwd.until.saturating_duration_since(fwd.arrived) / PATIENCE_PART;
        left(fwd.arrived + whole.min(objective.mul_f64(PATIENCE_OBJECTIVES)))
    }

    /// The time in which a request's first event is on time.
    fn on_time(fwd: &Forward) -> Millis {
        left(fwd.arrived + Duration::from(fwd.route.objective))
    }

    /// A place for a run; asks until the owner has decided.
    pub(crate) async fn place(
        &self,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Result<Placed, Refusal> {
        // It waits in one cell only.
        let cell = self.choose_cell();
        let mut unknown = 0;
        loop {
            match self.ask_owners(cell, fwd, avoid).await {
                Decided::Placed(placed) => return Ok(placed),
                Decided::Refused(wait) => return Err(Refusal::Overloaded(wait)),
                Decided::Waits => {}
                Decided::Unknown => {
                    unknown += 1;
                    if unknown >= UNKNOWN_TRIES {
                        return Err(Refusal::Overloaded(UNKNOWN_RETRY));
                    }
                    tokio::time::sleep(UNKNOWN_PAUSE).await;
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

    async fn ask_owners(&self, cell: Cell, fwd: &Forward, avoid: &[UpstreamName]) -> Decided {
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
                Some(Decided::Unknown) => {}
                Some(decided) => return decided,
                None => self.note_silent(owner),
            }
        }
        self.ask_own_pool(cell, fwd, avoid).await
    }

    fn is_silent(&self, owner: &Member) -> bool {
        let now = self.shared.clock.now();
        let routing = self.shared.routing();
        routing.silent_until.get(owner.host.as_str()).is_some_and(|until| now < *until)
    }

    fn note_silent(&self, owner: &Member) {
        let now = self.shared.clock.now();
        log::warn!(owner = owner.host.as_str(); "owner of the pools is silent; asking the next");
        let mut routing = self.shared.routing();
        routing.silent_until.insert(owner.host.to_string(), now + SILENT_FOR);
    }

    async fn ask_owner(
        &self,
        owner: &Member,
        cell: Cell,
        fwd: &Forward,
        avoid: &[UpstreamName],
    ) -> Option<Decided> {
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
            on_time_ms: Self::on_time(fwd).0 as u32,
            patience_ms: Self::patience(fwd).0 as u32,
            avoid: avoid.iter().map(UpstreamName::to_string).collect(),
            cell: Some(cell.into()),
        };
        let call =
            self.shared.peers.call(owner.peer_address, ANSWER_TIMEOUT, |mut peer| async move {
                peer.place(req).await
            });
        match call.await {
            Ok(reply) => decided(&reply),
            Err(e) => {
                log::debug!("no answer to a question for a place: {e}");
                None
            }
        }
    }

    /// The cell itself if this daemon owns it, else the one of which it keeps a pool.
    fn own_cell(&self, cell: Cell) -> Cell {
        let cells = &self.shared.view.load().cells;
        if cells.of(cell).include(&self.shared.settings.host) { cell } else { cells.home() }
    }

    async fn ask_own_pool(&self, cell: Cell, fwd: &Forward, avoid: &[UpstreamName]) -> Decided {
        let wish = Box::new(self.wish(fwd, avoid));
        let service = fwd.service.clone();
        let cell = self.own_cell(cell);
        let decided = self.shared.ask(|reply| Message::Place { service, cell, wish, reply }).await;
        decided.unwrap_or(Decided::Unknown)
    }

    fn wish(&self, fwd: &Forward, avoid: &[UpstreamName]) -> PlacementRequest {
        let settings = &self.shared.settings;
        PlacementRequest {
            run: fwd.ask.run.clone(),
            holder: settings.host.clone(),
            holder_domain: settings.failure_domain.clone(),
            kind: KindName::new(&fwd.route.name),
            organisation: OrganisationName::new(fwd.organisation_name()),
            prompt_tokens: fwd.ask.prompt.map_or(0, |prompt| prompt.tokens),
            max_tokens: fwd.ask.prompt.map_or(0, |prompt| prompt.max_answer_tokens),
            priority: fwd.priority(),
            first_event_deadline: self.shared.clock.now() + Self::on_time(fwd),
            patience_until: self.shared.clock.now() + Self::patience(fwd),
            avoid: avoid.to_vec(),
        }
    }
}

fn left(until: Instant) -> Millis {
    Millis(until.saturating_duration_since(Instant::now()).as_millis() as u64)
}

fn decided(reply: &PlaceReply) -> Option<Decided> {
    let target = |name: &str, address: &str| {
        let address: SocketAddr = address.parse().ok()?;
        Some(Target { name: UpstreamName::new(name), address })
    };
    match PlaceCode::from_repr(reply.decision)? {
        PlaceCode::Placed => {
            let engine = target(&reply.engine, &reply.engine_address)?;
            let backup = target(&reply.backup, &reply.backup_address);
            Some(Decided::Placed(Placed { engine, backup }))
        }
        PlaceCode::Refused => Some(Decided::Refused(Millis(u64::from(reply.retry_after_ms)))),
        PlaceCode::Waits => Some(Decided::Waits),
        PlaceCode::Unknown => Some(Decided::Unknown),
    }
}
