//! Simulation of one seed under one policy.

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
use moves::MemoryCopy;
use run::{LossCause, Phase, Run};
use std::collections::HashMap;

/// Resolution of the clock.
const TICK_MS: u64 = 2;

/// Interval at which the pool checks its queue and plans moves; as in the daemons.
const POOL_TICK_MS: u64 = 10;

/// Interval of the reports of a daemon; as in a fleet of nine daemons.
const REPORT_INTERVAL_MS: u64 = 330;

/// Time until the list of upstreams shows a notice.
const LIST_LAG: Millis = Millis(200);

/// Interval at which a waiting run requests placement again.
const PLACEMENT_RETRY_INTERVAL: Millis = Millis(200);

/// Longest wait of a request, in latency objectives; as in the daemons.
const PATIENCE_IN_OBJECTIVES: f64 = 2.5;

/// Longest time that the simulation continues after the end of the arrivals.
const WIND_DOWN: Millis = Millis(45_000);

/// Prefill speed beside decoding, as the oracle assumes it.
const ORACLE_PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Decode time per token, as the oracle assumes it.
const ORACLE_TOKEN_MS: f64 = 10.0;

/// Completed runs of each answer length that the oracle reports in advance.
const ORACLE_SAMPLES: usize = 40;

pub(super) struct Simulation<'a> {
    site: &'a Site,
    workload: &'a Workload,
    policy: Policy,
    pool: Pool,
    hosts: Hosts,
    runs: Vec<Run>,
    by_id: HashMap<RunId, usize>,
    copies: Vec<MemoryCopy>,
    /// Runs that completed or were lost since their daemon's last report, per daemon.
    released: Vec<Vec<usize>>,
    figures: Figures,
    now: Time,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(site: &'a Site, workload: &'a Workload, policy: Policy) -> Self {
        let engine_config = EngineConfig {
            can_move: policy.can_move(),
            can_back_up: policy.can_back_up(),
            ..site.engine_config
        };
        let losses: &[_] = if policy.loses_engines() { &workload.losses } else { &[] };
        Self {
            site,
            workload,
            policy,
            pool: Pool::new(ServiceName::new("engines"), engine_config),
            hosts: Hosts::new(site, losses),
            runs: workload.arrivals.iter().map(Run::new).collect(),
            by_id: HashMap::new(),
            copies: Vec::new(),
            released: vec![Vec::new(); DAEMONS as usize],
            figures: Figures::default(),
            now: START,
        }
    }

    pub(super) fn run(mut self) -> Figures {
        if self.policy.is_oracle() {
            self.preload_lengths();
        }
        let mut arrived = 0;
        while self.now < self.workload.arrivals_end + WIND_DOWN {
            self.update_list();
            self.handle_engine_losses();
            while self.workload.arrivals.get(arrived).is_some_and(|a| a.at <= self.now) {
                self.request_placement(arrived);
                arrived += 1;
            }
            self.step_engines();
            self.process_due_copies();
            if self.now.0.is_multiple_of(POOL_TICK_MS) {
                self.tick_pool();
            }
            self.report();
            let is_finished = arrived == self.runs.len() && self.runs.iter().all(Run::is_finished);
            if is_finished {
                break;
            }
            self.now = self.now + Millis(TICK_MS);
        }
        self.sum_outcomes();
        self.figures
    }

    /// The kind of request that the pool is told; under the oracle, its name includes the answer
    /// length, so that the pool's estimates are exact.
    fn kind_name(&self, arrival: &Arrival) -> KindName {
        let name = &self.site.kinds[arrival.kind].name;
        match self.policy.is_oracle() {
            true => KindName::from(format!("{name}-{}", arrival.length)),
            false => name.clone(),
        }
    }

    /// Reports completed runs of every answer length in advance.
    fn preload_lengths(&mut self) {
        let mut seen = std::collections::HashSet::new();
        let mut ended = Vec::new();
        for arrival in &self.workload.arrivals {
            let kind = self.kind_name(arrival);
            if seen.insert((kind.clone(), arrival.organisation.clone())) {
                let ended_run = EndedRun {
                    kind,
                    organisation: arrival.organisation.clone(),
                    written: arrival.length,
                };
                ended.extend(vec![ended_run; ORACLE_SAMPLES]);
            }
        }
        let report = Report { ended: &ended, ..Report::default() };
        self.pool.report(self.now, &daemon(0), &report);
    }

    fn update_list(&mut self) {
        let Some(leaving) = self.hosts.refresh_list(self.now) else {
            return;
        };
        let listed: Vec<_> = self.hosts.listed(self.now).collect();
        self.pool.set_engines(listed.iter().map(|(listed, is_usable)| (listed, *is_usable)));
        for name in leaving {
            self.pool.drain_engine(self.now, &name);
        }
    }

    fn placement_request(&self, index: usize) -> PlacementRequest {
        let (run, arrival) = (&self.runs[index], &self.workload.arrivals[index]);
        let kind = &self.site.kinds[arrival.kind];
        let patience = Millis((kind.objective.0 as f64 * PATIENCE_IN_OBJECTIVES) as u64);
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
            patience_until: run.first_requested_at + patience,
            avoid: run.avoid.clone(),
            max_pause: None,
            fingerprint: None,
        }
    }

    /// Under the oracle, places a run on an engine that should outlast it, if one is free now.
    fn place_until_completion(&mut self, request: &PlacementRequest) -> Option<Placement> {
        if !self.policy.is_oracle() {
            return None;
        }
        let arrival = &self.workload.arrivals[*self.by_id.get(&request.run)?];
        let prefill_ms = f64::from(arrival.prompt_tokens) / ORACLE_PREFILL_TOKENS_PER_MS;
        let decode_ms = f64::from(arrival.length) * ORACLE_TOKEN_MS;
        let mut request = request.clone();
        request
            .avoid
            .extend(self.hosts.lost_before(self.now + Millis((prefill_ms + decode_ms) as u64)));
        let run = request.run.clone();
        match self.pool.place(self.now, request) {
            PlacementDecision::Placed(placement) => Some(placement),
            _ => {
                self.pool.withdraw(&run);
                None
            }
        }
    }

    fn request_placement(&mut self, index: usize) {
        if self.runs[index].first_requested_at == Time(0) {
            self.runs[index].first_requested_at = self.now;
            self.by_id.insert(self.runs[index].id.clone(), index);
        }
        let request = self.placement_request(index);
        self.runs[index].phase = Phase::Waiting { retry_at: self.now + PLACEMENT_RETRY_INTERVAL };
        let decision = match self.place_until_completion(&request) {
            Some(placement) => PlacementDecision::Placed(placement),
            None => self.pool.place(self.now, request),
        };
        match decision {
            PlacementDecision::Placed(placement) => self.start(index, &placement),
            PlacementDecision::Refused(wait) => self.handle_refusal(index, wait),
            PlacementDecision::Queued | PlacementDecision::AllAvoided => {}
        }
    }

    fn start(&mut self, index: usize, placement: &Placement) {
        let prompt_tokens = f64::from(self.workload.arrivals[index].prompt_tokens);
        let Some(host) = self.hosts.find_alive(&placement.engine) else {
            self.runs[index].avoid.push(placement.engine.clone());
            return;
        };
        self.hosts.engine(host).submit(index, prompt_tokens);
        let backup = placement.backup.as_ref().and_then(|name| self.hosts.find_alive(name));
        let backup =
            backup.filter(|backup| self.hosts.engine(*backup).store_backup(index, prompt_tokens));
        let run = &mut self.runs[index];
        run.backup = backup;
        run.phase = Phase::Running { host };
    }

    /// A refused caller retries once.
    fn handle_refusal(&mut self, index: usize, wait: Millis) {
        let run = &mut self.runs[index];
        if run.has_retried {
            run.phase = Phase::Refused;
            return;
        }
        run.has_retried = true;
        run.id = RunId::from(format!("{}-again", run.id));
        run.first_requested_at = Time(0);
        run.phase = Phase::Waiting { retry_at: self.now + wait };
    }

    fn tick_pool(&mut self) {
        for event in self.pool.tick(self.now) {
            match event {
                Event::Placed(id, placement) => {
                    if let Some(index) = self.by_id.get(&id).copied() {
                        self.start(index, &placement);
                    }
                }
                Event::Refused(id, wait) => {
                    if let Some(index) = self.by_id.get(&id).copied() {
                        self.handle_refusal(index, wait);
                    }
                }
            }
        }
        let due: Vec<_> = (0..self.runs.len())
            .filter(|index| self.runs[*index].retry_at().is_some_and(|at| at <= self.now))
            .collect();
        for index in due {
            self.request_placement(index);
        }
        if self.policy.can_move() || self.policy.can_back_up() {
            self.plan_moves();
        }
    }

    fn step_engines(&mut self) {
        for host in 0..self.hosts.len() {
            while self.hosts.is_running(host, self.now)
                && self.hosts.engine(host).step_end_ms <= self.now.0 as f64
            {
                let output = self.hosts.engine(host).step();
                self.figures.preemptions += output.preempted;
                for index in output.decoded {
                    self.record_token(host, index);
                }
            }
        }
    }

    fn record_token(&mut self, host: usize, index: usize) {
        let length = self.workload.arrivals[index].length;
        let run = &mut self.runs[index];
        if let Some(pause) = run.record_token(self.now) {
            self.figures.pauses_ms.push(pause);
        }
        if run.written >= length {
            run.phase = Phase::Completed { at: self.now };
            self.hosts.engine(host).remove(index);
            self.release(index);
        }
    }

    /// Frees the backup and pending copies of a finished run.
    fn release(&mut self, index: usize) {
        if let Some(backup) = self.runs[index].backup.take() {
            self.hosts.engine(backup).drop_backup(index);
        }
        self.copies.retain(|copy| copy.run != index);
        self.released[self.workload.arrivals[index].daemon as usize].push(index);
    }

    fn mark_lost(&mut self, index: usize) {
        self.runs[index].phase = Phase::Lost;
        self.release(index);
    }

    /// Removes the engines whose loss is due; their runs fail over to their backups.
    fn handle_engine_losses(&mut self) {
        for host in self.hosts.remove_lost(self.now) {
            let cause =
                if self.hosts.is_loss_crash(host) { LossCause::Crash } else { LossCause::Reclaim };
            for index in self.hosts.engine(host).runs() {
                self.runs[index].engine_loss.get_or_insert(cause);
                self.fail_over_to_backup(index);
            }
        }
    }

    fn report(&mut self) {
        for number in 0..DAEMONS {
            let offset = number * REPORT_INTERVAL_MS / DAEMONS;
            if !(self.now.0 + offset).is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            let released = std::mem::take(&mut self.released[number as usize]);
            let ended: Vec<_> =
                released.iter().filter_map(|index| self.ended_run(*index)).collect();
            let released: Vec<_> =
                released.iter().map(|index| self.runs[*index].id.clone()).collect();
            let runs: Vec<_> = (0..self.runs.len())
                .filter(|index| self.workload.arrivals[*index].daemon == number)
                .filter_map(|index| self.run_state(index))
                .collect();
            let report =
                Report { runs: &runs, ended: &ended, released: &released, ..Report::default() };
            self.pool.report(self.now, &daemon(number), &report);
        }
    }

    fn ended_run(&self, index: usize) -> Option<EndedRun> {
        let (run, arrival) = (&self.runs[index], &self.workload.arrivals[index]);
        let is_complete = matches!(run.phase, Phase::Completed { .. });
        is_complete.then(|| EndedRun {
            kind: self.kind_name(arrival),
            organisation: OrganisationName::clone(&arrival.organisation),
            written: run.written,
        })
    }

    /// Adds the outcomes of all requests to the figures.
    fn sum_outcomes(&mut self) {
        for (run, arrival) in self.runs.iter().zip(&self.workload.arrivals) {
            let kind = &self.site.kinds[arrival.kind];
            let figures = &mut self.figures;
            figures.owed += kind.value;
            let completed_at = match run.phase {
                Phase::Completed { at } if at.since(arrival.at) <= kind.deadline => Some(at),
                _ => None,
            };
            let is_on_time = completed_at.is_some() && run.is_on_time(arrival, kind);
            figures.earned += match (completed_at, is_on_time) {
                (Some(_), true) => kind.value,
                (Some(_), false) => kind.late_value,
                (None, _) => 0.0,
            };
            if !kind.is_long {
                continue;
            }
            figures.long += 1;
            figures.long_late += u64::from(completed_at.is_some() && !is_on_time);
            figures.long_refused += u64::from(matches!(run.phase, Phase::Refused));
            figures.long_lost += u64::from(matches!(run.phase, Phase::Lost));
            let survival: &mut Survival = match run.engine_loss {
                Some(LossCause::Reclaim) => &mut figures.reclaimed,
                Some(LossCause::Crash) => &mut figures.crashed,
                None => continue,
            };
            survival.hit += 1;
            survival.whole += u64::from(completed_at.is_some());
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

fn engine_name(engine_index: u64, incarnation: u32) -> UpstreamName {
    UpstreamName::from(format!("engine-{engine_index}-{incarnation}"))
}

fn new_engine(site: &Site, at: Time) -> Engine {
    Engine::new(site.engine_config.memory_tokens as f64, site.engine_config.slots, at.0 as f64)
}
