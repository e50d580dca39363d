//! Placement in a pool whose engines organisations share by weight: who goes first, and who is refused
//! at once.

use super::messages::PREFILL_TOKENS_PER_MS;
use super::queue::QueuedRequest;
use super::ranking::{Class, PoolStandings, Rank};
use super::returns::{Promises, Return, ReturnFigures};
use super::room_rate::{HOPELESS_FACTOR, RoomRate, TokenRate};
use super::{
    Choice, Engine, Event, MIN_RETRY_AFTER, NO_ENGINE_RETRY_AFTER, PlacementDecision,
    PlacementRequest, Pool,
};
use crate::names::{KindName, OrganisationName};
use crate::shares::{Demand, FIGURES_LIFETIME, Standings, UseAboveShare, Weights};
use crate::time::{Millis, Time};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::HashMap;

/// Fraction of memory that running requests can fill; above it growing runs need the rest.
const USABLE_FRACTION: f64 = 0.9;

/// Fraction of memory, in use or kept for callers who were told to return, below which a caller that
/// returns early takes nothing from others.
const IDLE_FRACTION: f64 = 0.6;

/// Interval of the search for queued requests that cannot be served in time.
const HOPELESS_CHECK_INTERVAL: Millis = Millis(100);

/// Shortest time for which a run is taken to hold its memory.
const MIN_HOLDING_MS: f64 = 100.0;

/// Organisations in one log line.
const LOGGED_ORGANISATIONS: usize = 3;

/// State of a pool that organisations share.
#[derive(Clone, Debug)]
pub(super) struct Sharing {
    weights: Weights,
    promises: Promises,
    /// Use in all cells of a divided system, and when it was told.
    all_cells: (UseAboveShare, Time),
    /// Prompts of callers that can still be on time, as they arrive.
    arriving: TokenRate,
    /// Prompts that start.
    starting: TokenRate,
    checked_at: Time,
    refused_early: usize,
}

impl Sharing {
    fn new(weights: Weights) -> Self {
        Self {
            weights,
            promises: Promises::new(),
            all_cells: (UseAboveShare::default(), Time(0)),
            arriving: TokenRate::of_arriving(),
            starting: TokenRate::of_starting(),
            checked_at: Time(0),
            refused_early: 0,
        }
    }

    fn use_in_all_cells(&self, now: Time) -> UseAboveShare {
        let (uses, told_at) = &self.all_cells;
        let is_fresh = now.since(*told_at) < FIGURES_LIFETIME;
        if is_fresh { uses.clone() } else { UseAboveShare::default() }
    }

    pub(super) fn start(&mut self, now: Time, request: &PlacementRequest) {
        self.starting.add(now, request.prompt_tokens);
        self.promises.start(request);
    }
}

/// Use and share of an organisation, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationStanding {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Tokens of its runs.
    pub used: u64,
    /// Its share of the tokens in use.
    pub share: u64,
}

/// Figures for logs and metrics.
#[derive(Clone, Debug, Default)]
pub struct SharingFigures {
    /// The organisations most above their shares.
    pub worst: Vec<OrganisationStanding>,
    /// What became of promises since the last query.
    pub returns: ReturnFigures,
    /// Queued requests refused since the last query because they could not be served in time.
    pub refused_early: usize,
}

impl Pool {
    /// Lets organisations share the engines by `weights`.
    pub fn with_sharing(mut self, weights: Weights) -> Self {
        self.sharing = Some(Sharing::new(weights));
        self
    }

    /// Sets the use in all cells of a divided system, of the organisations above their shares.
    pub fn set_use_in_all_cells(&mut self, now: Time, uses: UseAboveShare) {
        if let Some(sharing) = &mut self.sharing {
            sharing.all_cells = (uses, now);
        }
    }

    /// The organisations above their shares of this pool; `None` if it is not shared.
    pub fn use_above_share(&self, now: Time) -> Option<UseAboveShare> {
        let sharing = self.sharing.as_ref()?;
        let own = self.overall_standings(now, &sharing.weights, &UseAboveShare::default());
        Some(own.above_share())
    }

    /// Figures since the last query; `None` if the pool is not shared.
    pub fn take_sharing_figures(&mut self, now: Time) -> Option<SharingFigures> {
        let sharing = self.sharing.as_ref()?;
        let standings =
            self.overall_standings(now, &sharing.weights, &sharing.use_in_all_cells(now));
        let above_share = standings.above_share();
        let logged = above_share.uses().iter().take(LOGGED_ORGANISATIONS);
        let worst = logged.map(|known| OrganisationStanding {
            used: known.tokens,
            share: standings.share(&known.organisation) as u64,
            organisation: known.organisation.clone(),
        });
        let worst = worst.collect();
        let sharing = self.sharing.as_mut()?;
        Some(SharingFigures {
            worst,
            returns: sharing.promises.take_figures(),
            refused_early: std::mem::take(&mut sharing.refused_early),
        })
    }

    /// Decides where a run goes that is not placed.
    pub(super) fn place_by_share(
        &mut self,
        now: Time,
        mut request: PlacementRequest,
    ) -> PlacementDecision {
        if !self.engines.values().any(Engine::takes_runs) {
            return PlacementDecision::Refused(NO_ENGINE_RETRY_AFTER);
        }
        if self.avoids_all_engines(&request) {
            self.queue.remove(&request.run);
            return PlacementDecision::AllAvoided;
        }
        let known = match &mut self.sharing {
            Some(sharing) => sharing.promises.check(now, &request),
            None => Return::Newcomer,
        };
        let returned = match known {
            Return::Newcomer => None,
            Return::Early(wait) => {
                if !self.is_idle_for(now, &request) {
                    return PlacementDecision::Refused(wait);
                }
                None
            }
            Return::Returned { caller, first_event_deadline } => {
                // Its caller counts from its first attempt.
                request.first_event_deadline =
                    request.first_event_deadline.min(first_event_deadline);
                Some(caller)
            }
        };
        let queued_at = self.queue.get(&request.run).map(|queued| queued.queued_at);
        let is_new = queued_at.is_none();
        let queued_at = queued_at.unwrap_or(now);
        let standings = self.standings(now, Some(&request));
        let rank = standings.rank(now, &request, queued_at, returned);
        let is_too_early = returned.is_some_and(|caller| now < caller.due);
        let must_queue =
            is_too_early || self.queued_ahead(now, &request, rank, &standings).next().is_some();
        let choice = match must_queue {
            true => Choice::NoRoom,
            false => self.choose_engine(now, &request.at_rank(now, rank)),
        };
        if let Choice::Fits(placement) = choice {
            if is_new {
                self.note_arrival(now, &request, rank);
            }
            self.start(now, &request, &placement);
            return PlacementDecision::Placed(placement);
        }
        if let Return::Early(wait) = known {
            return PlacementDecision::Refused(wait);
        }
        let ahead = self.queued_ahead(now, &request, rank, &standings);
        let ahead = ahead.map(|queued| f64::from(queued.request.prompt_tokens)).sum();
        let wait = match is_too_early {
            true => 0.0,
            false => self.room_rate(now).wait_of(now, &request, rank, ahead),
        };
        if wait > request.patience_until.since(now).0 as f64 {
            self.queue.remove(&request.run);
            return PlacementDecision::Refused(self.promise(now, queued_at, &request));
        }
        if is_new {
            self.note_arrival(now, &request, rank);
        }
        self.queue.push_returned(now, request, returned);
        PlacementDecision::Queued
    }

    fn note_arrival(&mut self, now: Time, request: &PlacementRequest, rank: Rank) {
        if let Some(sharing) = self.sharing.as_mut().filter(|_| rank.class == Class::OnTime) {
            sharing.arriving.add(now, request.prompt_tokens);
        }
    }

    /// Refuses a request that was removed from the queue; returns when its caller may come back.
    pub(super) fn refuse_queued(&mut self, now: Time, queued: &QueuedRequest) -> Millis {
        self.promise(now, queued.queued_at, &queued.request)
    }

    fn promise(&mut self, now: Time, queued_at: Time, request: &PlacementRequest) -> Millis {
        let rate = self.room_rate(now).for_returns();
        match &mut self.sharing {
            Some(sharing) => sharing.promises.refuse(now, queued_at, request, rate),
            None => MIN_RETRY_AFTER,
        }
    }

    /// Queued requests in scheduling order, with whether later ones may overtake them.
    pub(super) fn queue_by_share(&self, now: Time) -> Vec<(PlacementRequest, bool)> {
        let standings = self.standings(now, None);
        let in_order = self.ranked_queue(now, &standings).into_iter().map(|(rank, queued)| {
            // What an organisation above its share waits for keeps no one else waiting.
            let may_be_overtaken = rank.excess > 0.0 || queued.may_be_overtaken(now);
            (queued.request.at_rank(now, rank), may_be_overtaken)
        });
        in_order.collect()
    }

    fn ranked_queue(&self, now: Time, standings: &PoolStandings) -> Vec<(Rank, &QueuedRequest)> {
        let waiting = self.queue.iter().filter(|queued| queued.has_its_time(now));
        let mut order: Vec<_> =
            waiting.map(|queued| (standings.rank_queued(now, queued), queued)).collect();
        order.sort_by(|(a, _), (b, _)| a.compare(b));
        order
    }

    /// Refuses queued requests that cannot be served within their patience, as others go first.
    pub(super) fn refuse_hopeless(&mut self, now: Time, events: &mut Vec<Event>) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        if now.since(sharing.checked_at) < HOPELESS_CHECK_INTERVAL {
            return;
        }
        sharing.checked_at = now;
        sharing.promises.expire(now);
        if self.queue.len() == 0 {
            return;
        }
        let standings = self.standings(now, None);
        let rate = self.room_rate(now);
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        for (rank, queued) in self.ranked_queue(now, &standings) {
            let request = &queued.request;
            let wait = rate.wait_of(now, request, rank, ahead);
            let left = request.patience_until.since(now).0 as f64;
            if wait > left * HOPELESS_FACTOR {
                hopeless.push(queued.clone());
            } else {
                ahead += f64::from(request.prompt_tokens);
            }
        }
        for queued in hopeless {
            self.queue.remove(&queued.request.run);
            let retry_after = self.refuse_queued(now, &queued);
            events.push(Event::Refused(queued.request.run, retry_after));
            if let Some(sharing) = &mut self.sharing {
                sharing.refused_early += 1;
            }
        }
    }

    /// Queued requests that go before one with this rank.
    fn queued_ahead(
        &self,
        now: Time,
        request: &PlacementRequest,
        rank: Rank,
        standings: &PoolStandings,
    ) -> impl Iterator<Item = &QueuedRequest> {
        self.queue.iter().filter(move |queued| {
            queued.has_its_time(now)
                && queued.request.run != request.run
                && standings.rank_queued(now, queued).compare(&rank) == Ordering::Less
        })
    }

    /// Whether a request takes nothing from others: nothing waits, and there is room beside what is
    /// kept for callers who will return.
    fn is_idle_for(&self, now: Time, request: &PlacementRequest) -> bool {
        let kept = self.sharing.as_ref().map_or(0.0, |sharing| sharing.promises.tokens());
        let used: f64 = self.runs.values().map(|run| run.tokens(now)).sum();
        let needed = used + kept + f64::from(request.prompt_tokens);
        self.queue.len() == 0 && needed <= self.usable_memory() * IDLE_FRACTION
    }

    /// Memory of all engines that may get new runs, in tokens.
    fn usable_memory(&self) -> f64 {
        let usable = self.engines.values().filter(|engine| engine.takes_runs()).count();
        self.engine_memory() * usable as f64
    }

    /// The rate at which running requests free memory, from the time for which each holds its own,
    /// and the rate at which engines read prompts.
    fn room_rate(&self, now: Time) -> RoomRate {
        let mut used = 0.0;
        let mut freed_per_ms = 0.0;
        for run in self.runs.values() {
            let tokens = run.tokens(now);
            let held = now.since(run.placed_at).0 as f64;
            let prefill_left = run.prefill_due.since(now).0 as f64;
            used += tokens;
            let holding = held + prefill_left + run.remaining_ms(now);
            freed_per_ms += tokens / holding.max(MIN_HOLDING_MS);
        }
        let usable = self.engines.values().filter(|engine| engine.takes_runs()).count();
        let rate_of = |rate: fn(&Sharing) -> TokenRate| {
            self.sharing.as_ref().map_or(0.0, |sharing| rate(sharing).per_ms(now))
        };
        RoomRate {
            free: (self.usable_memory() * USABLE_FRACTION - used).max(0.0),
            freed_per_ms,
            prefilled_per_ms: PREFILL_TOKENS_PER_MS * usable as f64,
            arriving_per_ms: rate_of(|sharing| sharing.arriving),
            starting_per_ms: rate_of(|sharing| sharing.starting),
        }
    }

    fn overall_standings(
        &self,
        now: Time,
        weights: &Weights,
        all_cells: &UseAboveShare,
    ) -> Standings {
        let mut demands: HashMap<&OrganisationName, Demand> = HashMap::new();
        for run in self.runs.values() {
            demands.entry(&run.organisation).or_default().used += run.tokens(now);
        }
        for queued in self.queue.iter() {
            demands.entry(&queued.request.organisation).or_default().queued +=
                f64::from(queued.request.prompt_tokens);
        }
        Standings::new(weights, &demands, all_cells)
    }

    /// Standings of all organisations, with `newcomer` counted among the queued requests.
    fn standings(&self, now: Time, newcomer: Option<&PlacementRequest>) -> PoolStandings {
        let Some(sharing) = &self.sharing else {
            return PoolStandings::default();
        };
        let mut overall: HashMap<&OrganisationName, Demand> = HashMap::new();
        let mut by_kind: HashMap<&KindName, HashMap<&OrganisationName, Demand>> = HashMap::new();
        for run in self.runs.values() {
            let tokens = run.tokens(now);
            let of_kind = by_kind.entry(&run.kind).or_default();
            of_kind.entry(&run.organisation).or_default().used += tokens;
            overall.entry(&run.organisation).or_default().used += tokens;
        }
        let queued = self.queue.iter().map(|queued| &queued.request);
        let newcomer = newcomer.filter(|request| self.queue.get(&request.run).is_none());
        for request in queued.chain(newcomer) {
            let tokens = f64::from(request.prompt_tokens);
            let of_kind = by_kind.entry(&request.kind).or_default();
            of_kind.entry(&request.organisation).or_default().queued += tokens;
            overall.entry(&request.organisation).or_default().queued += tokens;
        }
        let weights = &sharing.weights;
        let by_kind = by_kind.into_iter().map(|(kind, demands)| {
            (kind.clone(), Standings::new(weights, &demands, &UseAboveShare::default()))
        });
        PoolStandings {
            by_kind: by_kind.collect(),
            overall: Standings::new(weights, &overall, &sharing.use_in_all_cells(now)),
        }
    }
}
