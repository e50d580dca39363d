//! One day under one policy.

mod hosts;
mod moves;
mod run;

use super::engine::Engine;
use super::figures::{Figures, Survival};
use super::policy::Policy;
use super::workload::{Arrival, DAEMONS, START, Site, Workload};
use hosts::Hosts;
use magnoliawinch::names::{
    FailureDomain, HostName, KindName, OrganisationName, RunId, ServiceName, UpstreamName,
};
use magnoliawinch::pool::{
    EndedRun, Event, Placement, PlacementDecision, PlacementRequest, Pool, Report,
};
use magnoliawinch::route_table::EngineConfig;
use magnoliawinch::time::{Millis, Time};
use moves::Copy;
use run::{Hit, Phase, Run};
use std::collections::HashMap;

/// Resolution of the clock, in milliseconds.
const TICK: u64 = 2;

/// Time between two looks of the pool at what waits; as the daemons have it.
const POOL_EVERY: u64 = 10;

/// Time between two reports of a daemon; as nine of them have it.
const REPORT_EVERY: u64 = 330;

/// Time after which the list shows a notice.
const LIST_LAG: Millis = Millis(200);

/// Time between two questions of a run that waits.
const ASK_EVERY: Millis = Millis(200);

/// Latency objectives for which a request waits at the most; as the daemons have it.
const PATIENCE_OBJECTIVES: f64 = 2.5;

/// Time for which requests that arrived last are still followed.
const RUN_OUT: Millis = Millis(45_000);

/// Tokens of a prompt that are read in a millisecond beside answers, for the oracle.
const PROMPT_TOKENS_PER_MS: f64 = 7.0;

/// Time for a token, in milliseconds, for the oracle.
const TOKEN_MS: f64 = 10.0;

/// Ended answers of each length that the oracle has seen.
const KNOWN_ANSWERS: usize = 40;

/// One day under one policy.
pub(super) struct World<'a> {
    site: &'a Site,
    workload: &'a Workload,
    policy: Policy,
    pool: Pool,
    hosts: Hosts,
    runs: Vec<Run>,
    by_id: HashMap<RunId, usize>,
    copies: Vec<Copy>,
    /// Runs that ended or broke off since their daemon's last report.
    over: Vec<Vec<usize>>,
    figures: Figures,
    now: Time,
}

impl<'a> World<'a> {
    pub(super) fn new(site: &'a Site, workload: &'a Workload, policy: Policy) -> Self {
        let shape = EngineConfig {
            can_move: policy.can_move(),
            can_back_up: policy.can_back_up(),
            ..site.shape
        };
        let ends: &[_] = if policy.is_disturbed() { &workload.ends } else { &[] };
        Self {
            site,
            workload,
            policy,
            pool: Pool::new(ServiceName::new("engines"), shape),
            hosts: Hosts::new(site, ends),
            runs: workload.arrivals.iter().map(Run::new).collect(),
            by_id: HashMap::new(),
            copies: Vec::new(),
            over: vec![Vec::new(); DAEMONS as usize],
            figures: Figures::default(),
            now: START,
        }
    }

    /// Plays the day.
    pub(super) fn run(mut self) -> Figures {
        if self.policy.knows_all() {
            self.teach_lengths();
        }
        let mut arrived = 0;
        while self.now < self.workload.until + RUN_OUT {
            self.update_list();
            self.end_hosts();
            while self.workload.arrivals.get(arrived).is_some_and(|a| a.at <= self.now) {
                self.ask(arrived);
                arrived += 1;
            }
            self.step_engines();
            self.carry_out_copies();
            if self.now.0.is_multiple_of(POOL_EVERY) {
                self.tick_pool();
            }
            self.report();
            let is_over = arrived == self.runs.len() && self.runs.iter().all(Run::is_over);
            if is_over {
                break;
            }
            self.now = self.now + Millis(TICK);
        }
        self.count();
        self.figures
    }

    /// The name of a request's kind for the pool: the oracle's says how long the answer gets.
    fn kind_name(&self, arrival: &Arrival) -> KindName {
        let name = &self.site.kinds[arrival.kind].name;
        match self.policy.knows_all() {
            true => KindName::from(format!("{name}-{}", arrival.length)),
            false => name.clone(),
        }
    }

    fn teach_lengths(&mut self) {
        let mut known = std::collections::HashSet::new();
        let mut ended = Vec::new();
        for arrival in &self.workload.arrivals {
            let kind = self.kind_name(arrival);
            if known.insert((kind.clone(), arrival.organisation.clone())) {
                let answer = EndedRun {
                    kind,
                    organisation: arrival.organisation.clone(),
                    written: arrival.length,
                };
                ended.extend(vec![answer; KNOWN_ANSWERS]);
            }
        }
        let report = Report { ended: &ended, ..Report::default() };
        self.pool.report(self.now, &daemon(0), &report);
    }

    fn update_list(&mut self) {
        let Some(known_to_leave) = self.hosts.update(self.now) else {
            return;
        };
        let listed: Vec<_> = self.hosts.listed(self.now).collect();
        self.pool.set_engines(listed.iter().map(|(listed, is_usable)| (listed, *is_usable)));
        for name in known_to_leave {
            self.pool.drain_engine(self.now, &name);
        }
    }

    fn wish(&self, place: usize) -> PlacementRequest {
        let (run, arrival) = (&self.runs[place], &self.workload.arrivals[place]);
        let kind = &self.site.kinds[arrival.kind];
        let patience = Millis((kind.objective.0 as f64 * PATIENCE_OBJECTIVES) as u64);
        PlacementRequest {
            run: run.id.clone(),
            holder: daemon(arrival.daemon),
            holder_domain: domain(self.site, arrival.daemon),
            kind: self.kind_name(arrival),
            organisation: arrival.organisation.clone(),
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: u32::MAX,
            priority: kind.priority,
            first_event_deadline: arrival.at + kind.objective,
            patience_until: run.asked_first_at + patience,
            avoid: run.avoid.clone(),
        }
    }

    /// For the oracle, a place at an engine that is there until the run ends, if there is one now.
    fn place_that_stays(&mut self, wish: &PlacementRequest) -> Option<Placement> {
        if !self.policy.knows_all() {
            return None;
        }
        let arrival = &self.workload.arrivals[*self.by_id.get(&wish.run)?];
        let prompt = f64::from(arrival.prompt_tokens) / PROMPT_TOKENS_PER_MS;
        let answer = f64::from(arrival.length) * TOKEN_MS;
        let mut wish = wish.clone();
        wish.avoid.extend(self.hosts.gone_by(self.now + Millis((prompt + answer) as u64)));
        let run = wish.run.clone();
        match self.pool.place(self.now, wish) {
            PlacementDecision::Placed(found) => Some(found),
            _ => {
                self.pool.withdraw(&run);
                None
            }
        }
    }

    /// Asks the pool for a place for the run of an arrival.
    fn ask(&mut self, place: usize) {
        if self.runs[place].asked_first_at == Time(0) {
            self.runs[place].asked_first_at = self.now;
            self.by_id.insert(self.runs[place].id.clone(), place);
        }
        let wish = self.wish(place);
        self.runs[place].phase = Phase::Asks { again_at: self.now + ASK_EVERY };
        let answer = match self.place_that_stays(&wish) {
            Some(found) => PlacementDecision::Placed(found),
            None => self.pool.place(self.now, wish),
        };
        match answer {
            PlacementDecision::Placed(found) => self.start(place, &found),
            PlacementDecision::Refused(wait) => self.refused(place, wait),
            PlacementDecision::Queued => {}
        }
    }

    fn start(&mut self, place: usize, found: &Placement) {
        let prompt = f64::from(self.workload.arrivals[place].prompt_tokens);
        let Some(host) = self.hosts.alive(&found.engine) else {
            self.runs[place].avoid.push(found.engine.clone());
            return;
        };
        self.hosts.engine(host).start(place, prompt);
        let backup = found.backup.as_ref().and_then(|name| self.hosts.alive(name));
        let kept = backup.filter(|backup| self.hosts.engine(*backup).keep_backup(place, prompt));
        let run = &mut self.runs[place];
        run.backup = kept;
        run.phase = Phase::Runs { host };
    }

    /// A caller that is refused comes back once.
    fn refused(&mut self, place: usize, wait: Millis) {
        let run = &mut self.runs[place];
        if run.came_back {
            run.phase = Phase::Refused;
            return;
        }
        run.came_back = true;
        run.id = RunId::from(format!("{}-again", run.id));
        run.asked_first_at = Time(0);
        run.phase = Phase::Asks { again_at: self.now + wait };
    }

    fn tick_pool(&mut self) {
        for event in self.pool.tick(self.now) {
            match event {
                Event::Placed(id, found) => {
                    if let Some(place) = self.by_id.get(&id).copied() {
                        self.start(place, &found);
                    }
                }
                Event::Refused(id, wait) => {
                    if let Some(place) = self.by_id.get(&id).copied() {
                        self.refused(place, wait);
                    }
                }
            }
        }
        let due: Vec<_> = (0..self.runs.len())
            .filter(|place| self.runs[*place].asks_at().is_some_and(|at| at <= self.now))
            .collect();
        for place in due {
            self.ask(place);
        }
        if self.policy.can_move() || self.policy.can_back_up() {
            self.plan_moves();
        }
    }

    fn step_engines(&mut self) {
        for host in 0..self.hosts.len() {
            while self.hosts.is_running(host, self.now)
                && self.hosts.engine(host).next_step <= self.now.0 as f64
            {
                let stepped = self.hosts.engine(host).step();
                self.figures.preemptions += stepped.preempted;
                for place in stepped.wrote {
                    self.wrote(host, place);
                }
            }
        }
    }

    fn wrote(&mut self, host: usize, place: usize) {
        let length = self.workload.arrivals[place].length;
        let run = &mut self.runs[place];
        if let Some(pause) = run.note_token(self.now) {
            self.figures.pauses_ms.push(pause);
        }
        if run.written >= length {
            run.phase = Phase::Whole { at: self.now };
            self.hosts.engine(host).end(place);
            self.let_go(place);
        }
    }

    /// Forgets what a run that is over holds.
    fn let_go(&mut self, place: usize) {
        if let Some(backup) = self.runs[place].backup.take() {
            self.hosts.engine(backup).drop_backup(place);
        }
        self.copies.retain(|copy| copy.run != place);
        self.over[self.workload.arrivals[place].daemon as usize].push(place);
    }

    fn lose(&mut self, place: usize) {
        self.runs[place].phase = Phase::Lost;
        self.let_go(place);
    }

    /// Takes away the engines whose time is over.
    fn end_hosts(&mut self) {
        for host in self.hosts.end(self.now) {
            let hit = if self.hosts.crashes(host) { Hit::Crash } else { Hit::Reclaim };
            for place in self.hosts.engine(host).runs() {
                self.runs[place].hit.get_or_insert(hit);
                self.go_on_at_backup(place);
            }
        }
    }

    fn report(&mut self) {
        for number in 0..DAEMONS {
            let offset = number * REPORT_EVERY / DAEMONS;
            if !(self.now.0 + offset).is_multiple_of(REPORT_EVERY) {
                continue;
            }
            let over = std::mem::take(&mut self.over[number as usize]);
            let ended: Vec<_> = over.iter().filter_map(|place| self.ended(*place)).collect();
            let over: Vec<_> = over.iter().map(|place| self.runs[*place].id.clone()).collect();
            let runs: Vec<_> = (0..self.runs.len())
                .filter(|place| self.workload.arrivals[*place].daemon == number)
                .filter_map(|place| self.state(place))
                .collect();
            let report = Report { runs: &runs, ended: &ended, released: &over };
            self.pool.report(self.now, &daemon(number), &report);
        }
    }

    fn ended(&self, place: usize) -> Option<EndedRun> {
        let (run, arrival) = (&self.runs[place], &self.workload.arrivals[place]);
        let is_whole = matches!(run.phase, Phase::Whole { .. });
        is_whole.then(|| EndedRun {
            kind: self.kind_name(arrival),
            organisation: OrganisationName::clone(&arrival.organisation),
            written: run.written,
        })
    }

    /// Sums up how all requests ended.
    fn count(&mut self) {
        for (run, arrival) in self.runs.iter().zip(&self.workload.arrivals) {
            let kind = &self.site.kinds[arrival.kind];
            let figures = &mut self.figures;
            figures.owed += kind.worth;
            let whole_at = match run.phase {
                Phase::Whole { at } if at.since(arrival.at) <= kind.deadline => Some(at),
                _ => None,
            };
            let is_on_time = whole_at.is_some() && run.is_on_time(arrival, kind);
            figures.earned += match (whole_at, is_on_time) {
                (Some(_), true) => kind.worth,
                (Some(_), false) => kind.late_worth,
                (None, _) => 0.0,
            };
            if !kind.is_long {
                continue;
            }
            figures.long += 1;
            figures.long_late += u64::from(whole_at.is_some() && !is_on_time);
            figures.long_refused += u64::from(matches!(run.phase, Phase::Refused));
            figures.long_lost += u64::from(matches!(run.phase, Phase::Lost));
            let survival: &mut Survival = match run.hit {
                Some(Hit::Reclaim) => &mut figures.reclaimed,
                Some(Hit::Crash) => &mut figures.crashed,
                None => continue,
            };
            survival.hit += 1;
            survival.whole += u64::from(whole_at.is_some());
            survival.on_time += u64::from(is_on_time);
        }
    }
}

fn daemon(number: u64) -> HostName {
    HostName::from(format!("entry-{number}"))
}

fn domain(site: &Site, number: u64) -> FailureDomain {
    FailureDomain::from(format!("domain-{}", number % site.domains))
}

fn engine_name(place: u64, run: u32) -> UpstreamName {
    UpstreamName::from(format!("engine-{place}-{run}"))
}

fn new_engine(site: &Site, at: Time) -> Engine {
    Engine::new(site.shape.memory_tokens as f64, site.shape.slots, at.0 as f64)
}
