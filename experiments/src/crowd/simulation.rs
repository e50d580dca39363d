//! Discrete-event simulation of independent daemons and engines on one virtual clock.

use super::Options;
use super::daemon::Daemon;
use super::figures::{Collector, EngineTotals, Figures, Trace, Weights};
use super::policy::Policy;
use super::workload::{Arrival, ENGINES, Workload, domain_name};
use magnoliawinch::admission::{
    Admission, Bounds, Decision, Event as AdmissionEvent, GrantId, LoadReport, Request,
};
use magnoliawinch::estimate::{LengthDistribution, LengthEstimator};
use magnoliawinch::names::{HostName, UpstreamName};
use magnoliawinch::routing::{NextStep, Plan};
use magnoliawinch::service_file::Delivery;
use magnoliawinch::time::{Millis, Time};
use magnoliawinch_fakes::engine::{EngineModel, Job, Output};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Interval of an engine's load reports.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// Interval at which owners check their queues.
const QUEUE_TICK_MS: u64 = 20;

/// Tokens at a request's first progress report; each later one comes at twice the tokens.
const FIRST_PROGRESS_TOKENS: u32 = 32;

const MICROS_PER_MS: u64 = 1_000;

/// Factor on the step time of a grey engine.
const GREY_SLOWNESS: f64 = 3.0;

/// Longest time that the simulation continues after the end of the arrivals.
const WIND_DOWN_MS: u64 = 920_000;

/// Events of the simulation; their times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive(usize),
    /// A request for a grant reaches an owner.
    Ask {
        request: usize,
        engine: usize,
        may_queue: bool,
    },
    /// An owner's reply reaches the daemon that asked.
    Reply {
        request: usize,
        engine: usize,
        reply: OwnerReply,
        /// Fraction of the engine's bounds in use, in thousandths.
        utilisation: u64,
    },
    /// An owner learns that a queued request has been withdrawn.
    Withdraw {
        request: usize,
        engine: usize,
    },
    /// A request reaches its engine.
    Submit {
        request: usize,
        engine: usize,
    },
    /// An engine starts a step.
    Step(usize),
    /// An engine completes a step, which makes its outputs available.
    StepEnd {
        engine: usize,
        step: usize,
    },
    /// The progress of a grant reaches its owner.
    Progress {
        request: usize,
        engine: usize,
        written: u32,
    },
    Release {
        request: usize,
        engine: usize,
        is_complete: bool,
    },
    SendReport(usize),
    /// A load report arrives after its delay.
    ReceiveReport {
        engine: usize,
        report: usize,
    },
    Tick,
    Deadline(usize),
    LoseEngine(usize),
    /// An engine becomes grey, or recovers.
    SetSlowness {
        engine: usize,
        is_grey: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OwnerReply {
    Granted,
    Busy(u64),
    Refused(u64),
}

const PER_THOUSAND: f64 = 1_000.0;

struct Engine {
    model: EngineModel,
    is_stepping: bool,
    is_lost: bool,
    outputs: Vec<Vec<Output>>,
    preempted_tokens: u64,
}

/// The admission owner of one engine; each estimates answer lengths from its own requests.
struct Owner {
    admission: Admission,
    estimator: LengthEstimator,
}

#[derive(Default)]
struct RequestState {
    plan: Option<Plan>,
    engine: Option<usize>,
    is_granted: bool,
    is_finished: bool,
    /// Tokens at the next progress report.
    next_progress_tokens: u32,
    written: u32,
    reruns: u32,
    /// Engines whose owners have the request in their queues.
    queued_at: Vec<usize>,
}

/// Simulation of one policy.
pub(super) struct Simulation<'a> {
    options: &'a Options,
    workload: &'a Workload,
    policy: Policy,
    now_us: u64,
    /// Events scheduled so far; orders events at the same time.
    sequence: u64,
    pending_events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    engines: Vec<Engine>,
    names: Vec<UpstreamName>,
    owners: Vec<Owner>,
    daemons: Vec<Daemon>,
    requests: Vec<RequestState>,
    traces: Vec<Trace>,
    collector: Collector,
    reports: Vec<LoadReport>,
    /// End of the arrivals.
    end_us: u64,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(options: &'a Options, workload: &'a Workload, policy: Policy) -> Self {
        let profile = &workload.profile;
        let service = &profile.service;
        let names: Vec<_> =
            (0..ENGINES).map(|index| UpstreamName::from(format!("engine-{index}"))).collect();
        let owner = |name: &UpstreamName| {
            let bounds = policy.bounds(Bounds::of(service, &service.upstreams[name]));
            Owner { admission: Admission::new(bounds), estimator: LengthEstimator::new() }
        };
        let engine = |_| Engine {
            model: EngineModel::new(profile.model),
            is_stepping: false,
            is_lost: false,
            outputs: Vec::new(),
            preempted_tokens: 0,
        };
        let daemon =
            |index| Daemon::new(index, &names, options.seed, domain_name(index, profile.domains));
        let daemons = (0..profile.daemons).map(daemon).collect();
        let count = workload.arrivals.len();
        Self {
            options,
            workload,
            policy,
            now_us: 0,
            sequence: 0,
            pending_events: BinaryHeap::new(),
            engines: (0..ENGINES).map(engine).collect(),
            owners: names.iter().map(owner).collect(),
            names,
            daemons,
            requests: (0..count).map(|_| RequestState::default()).collect(),
            traces: vec![Trace::default(); count],
            collector: Collector::new(service.limits.inter_token_ms as f64),
            reports: Vec::new(),
            end_us: options.seconds * 1_000 * MICROS_PER_MS,
        }
    }

    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.sequence += 1;
        self.pending_events.push(Reverse((at_us, self.sequence, event)));
    }

    fn schedule_after_ms(&mut self, ms: u64, event: SimEvent) {
        self.schedule(self.now_us + ms * MICROS_PER_MS, event);
    }

    fn time(&self) -> Time {
        Time(self.now_us / MICROS_PER_MS)
    }

    fn now_ms(&self) -> f64 {
        self.now_us as f64 / MICROS_PER_MS as f64
    }

    pub(super) fn run(mut self) -> Figures {
        for (index, arrival) in self.workload.arrivals.iter().enumerate() {
            self.schedule((arrival.at_ms * MICROS_PER_MS as f64) as u64, SimEvent::Arrive(index));
        }
        for engine in 0..ENGINES {
            let offset = REPORT_INTERVAL_MS * engine as u64 / ENGINES as u64;
            self.schedule_after_ms(offset, SimEvent::SendReport(engine));
        }
        self.schedule_after_ms(QUEUE_TICK_MS, SimEvent::Tick);
        if self.options.engine_loss {
            self.schedule(self.end_us / 2, SimEvent::LoseEngine(0));
        }
        if self.options.grey_engine {
            self.schedule(self.end_us / 3, SimEvent::SetSlowness { engine: 1, is_grey: true });
            let recovered = SimEvent::SetSlowness { engine: 1, is_grey: false };
            self.schedule(self.end_us * 2 / 3, recovered);
        }
        let stop_us = self.end_us + WIND_DOWN_MS * MICROS_PER_MS;
        while let Some(Reverse((at_us, _, event))) = self.pending_events.pop() {
            if at_us > stop_us
                || (at_us > self.end_us && self.requests.iter().all(|r| r.is_finished))
            {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.finish()
    }

    fn finish(self) -> Figures {
        let mut totals = EngineTotals::default();
        for engine in &self.engines {
            let (hits, misses) = engine.model.prefix_lookups();
            totals.preemptions += engine.model.preemptions();
            totals.preempted_tokens += engine.preempted_tokens;
            totals.prefix_hits += hits;
            totals.prefix_misses += misses;
        }
        let weights = Weights::of(self.options.deployment);
        self.collector.finish(self.workload, &self.traces, weights, totals)
    }

    fn arrival(&self, request: usize) -> &'a Arrival {
        &self.workload.arrivals[request]
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.arrive(request),
            SimEvent::Ask { request, engine, may_queue } => self.decide(request, engine, may_queue),
            SimEvent::Reply { request, engine, reply, utilisation } => {
                self.handle_reply(request, engine, reply, utilisation);
            }
            SimEvent::Withdraw { request, engine } => {
                self.owners[engine].admission.withdraw(GrantId(request as u64));
            }
            SimEvent::Submit { request, engine } => self.submit(request, engine),
            SimEvent::Step(engine) => self.step(engine),
            SimEvent::StepEnd { engine, step } => self.end_step(engine, step),
            SimEvent::Progress { request, engine, written } => {
                let (now, id) = (self.time(), GrantId(request as u64));
                self.owners[engine].admission.progress(now, id, written);
            }
            SimEvent::Release { request, engine, is_complete } => {
                self.release(request, engine, is_complete);
            }
            SimEvent::SendReport(engine) => self.send_report(engine),
            SimEvent::ReceiveReport { engine, report } => self.receive_report(engine, report),
            SimEvent::Tick => self.tick(),
            SimEvent::Deadline(request) => self.expire(request),
            SimEvent::LoseEngine(engine) => self.lose_engine(engine),
            SimEvent::SetSlowness { engine, is_grey } => {
                let slowness = if is_grey { GREY_SLOWNESS } else { 1.0 };
                self.engines[engine].model.set_slowness(slowness);
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let kind = &self.workload.profile.kinds[self.arrival(request).kind].spec;
        self.schedule_after_ms(kind.deadline_ms, SimEvent::Deadline(request));
        self.route(request);
    }

    fn alive(&self) -> Vec<usize> {
        (0..ENGINES).filter(|engine| !self.engines[*engine].is_lost).collect()
    }

    fn route(&mut self, request: usize) {
        let arrival = self.arrival(request);
        let hop_ms = self.workload.profile.hop_ms;
        if self.policy.is_direct() {
            let alive = self.alive();
            let engine = self.daemons[arrival.daemon].choose(self.policy, &alive);
            self.daemons[arrival.daemon].outstanding[engine] += 1;
            self.requests[request].engine = Some(engine);
            self.schedule_after_ms(hop_ms, SimEvent::Submit { request, engine });
            return;
        }
        let (engines, names) = (&self.engines, &self.names);
        let is_usable = |name: &UpstreamName| {
            names.iter().position(|n| n == name).is_some_and(|index| !engines[index].is_lost)
        };
        let now = Time(self.now_us / MICROS_PER_MS);
        let service = &self.workload.profile.service;
        let (prefix, tokens) = (arrival.prefix, arrival.prefix_tokens);
        let plan = self.daemons[arrival.daemon].plan(now, service, prefix, tokens, is_usable);
        self.requests[request].plan = Some(plan);
        self.next_step(request);
    }

    fn next_step(&mut self, request: usize) {
        let Some(plan) = &mut self.requests[request].plan else {
            return;
        };
        match plan.next_step() {
            NextStep::Ask(upstream) => self.ask_owner(request, &upstream, false),
            NextStep::Queue(upstreams) => {
                self.requests[request].queued_at.clear();
                for upstream in upstreams {
                    self.ask_owner(request, &upstream, true);
                }
            }
            NextStep::GiveUp(_) => {
                self.traces[request].is_refused = true;
                self.requests[request].is_finished = true;
            }
        }
    }

    fn ask_owner(&mut self, request: usize, upstream: &UpstreamName, may_queue: bool) {
        let hop_ms = self.workload.profile.hop_ms;
        let Some(engine) = self.names.iter().position(|name| name == upstream) else {
            return;
        };
        if may_queue {
            self.requests[request].queued_at.push(engine);
        }
        self.schedule_after_ms(hop_ms, SimEvent::Ask { request, engine, may_queue });
    }

    /// Decides on a request as the admission owner of an engine.
    fn decide(&mut self, request: usize, engine: usize, may_queue: bool) {
        if self.requests[request].is_finished {
            return;
        }
        let (arrival, now) = (self.arrival(request), self.time());
        let kind = &self.workload.profile.kinds[arrival.kind];
        let service = &self.workload.profile.service;
        let owner = &mut self.owners[engine];
        let length_distribution = match self.policy {
            Policy::Oracle => Arc::new(LengthDistribution::exact(arrival.length)),
            _ => owner.estimator.distribution(&service.name, &kind.name, &arrival.organisation),
        };
        self.traces[request].bound_p90 = Some(length_distribution.quantile(0.0, 0.9));
        let arrived = Time(arrival.at_ms as u64);
        let admission_request = Request {
            id: GrantId(request as u64),
            holder: HostName::from(format!("entry-{}", arrival.daemon)),
            organisation: arrival.organisation.clone(),
            kind: kind.name.clone(),
            share: service.organisations[&arrival.organisation].share,
            priority: kind.spec.priority,
            prompt_tokens: arrival.prompt_tokens,
            length_distribution,
            patience_until: arrived + Millis(kind.spec.first_token_ms),
            suspect: false,
            no_queue: !may_queue,
        };
        let (decision, events) = owner.admission.request(now, admission_request);
        let reply = match decision {
            Decision::Granted => Some(OwnerReply::Granted),
            Decision::Busy(wait) => Some(OwnerReply::Busy(wait.0)),
            Decision::Refused(retry) => Some(OwnerReply::Refused(retry.0)),
            Decision::Queued => None,
        };
        if let Some(reply) = reply {
            self.send_reply(request, engine, reply);
        }
        self.apply(engine, events);
    }

    fn apply(&mut self, engine: usize, events: Vec<AdmissionEvent>) {
        for event in events {
            let (id, reply) = match event {
                AdmissionEvent::Granted(id) => (id, OwnerReply::Granted),
                AdmissionEvent::Refused(id, retry) => (id, OwnerReply::Refused(retry.0)),
            };
            self.send_reply(id.0 as usize, engine, reply);
        }
    }

    /// Sends an owner's reply to the daemon that asked.
    fn send_reply(&mut self, request: usize, engine: usize, reply: OwnerReply) {
        let used = self.owners[engine].admission.utilisation(self.time());
        let utilisation = (used * PER_THOUSAND) as u64;
        let hop_ms = self.workload.profile.hop_ms;
        self.schedule_after_ms(hop_ms, SimEvent::Reply { request, engine, reply, utilisation });
    }

    fn handle_reply(&mut self, request: usize, engine: usize, reply: OwnerReply, utilisation: u64) {
        let used = utilisation as f64 / PER_THOUSAND;
        let (daemon, now) = (self.arrival(request).daemon, self.time());
        let hop_ms = self.workload.profile.hop_ms;
        let is_settled = self.requests[request].is_finished || self.requests[request].is_granted;
        if is_settled {
            if reply == OwnerReply::Granted {
                let is_complete = false;
                self.schedule_after_ms(hop_ms, SimEvent::Release { request, engine, is_complete });
            }
            return;
        }
        let name = &self.names[engine];
        match reply {
            OwnerReply::Granted => {
                self.daemons[daemon].router.note_load(now, name, Millis(0), used);
                self.daemons[daemon].router.note_start(name);
                let state = &mut self.requests[request];
                state.engine = Some(engine);
                state.is_granted = true;
                state.next_progress_tokens = FIRST_PROGRESS_TOKENS;
                let queued_at = std::mem::take(&mut state.queued_at);
                for other in queued_at.into_iter().filter(|other| *other != engine) {
                    self.schedule_after_ms(hop_ms, SimEvent::Withdraw { request, engine: other });
                }
                self.schedule_after_ms(hop_ms, SimEvent::Submit { request, engine });
            }
            OwnerReply::Busy(ms) | OwnerReply::Refused(ms) => {
                self.daemons[daemon].router.note_load(now, name, Millis(ms), used);
                if let Some(plan) = &mut self.requests[request].plan {
                    match reply {
                        OwnerReply::Busy(ms) => plan.busy(Millis(ms)),
                        _ => plan.refused(Millis(ms)),
                    }
                }
                self.requests[request].queued_at.retain(|other| *other != engine);
                if self.requests[request].queued_at.is_empty() {
                    self.next_step(request);
                }
            }
        }
    }

    fn submit(&mut self, request: usize, engine: usize) {
        if self.requests[request].is_finished {
            return;
        }
        if self.engines[engine].is_lost {
            self.rerun_or_end(request);
            return;
        }
        let arrival = self.arrival(request);
        let kind = &self.workload.profile.kinds[arrival.kind].spec;
        self.engines[engine].model.submit(Job {
            id: request as u64,
            prompt_tokens: arrival.prompt_tokens,
            prefix: arrival.prefix,
            prefix_tokens: arrival.prefix_tokens,
            length: arrival.length,
            priority: kind.priority,
        });
        if !self.engines[engine].is_stepping {
            self.engines[engine].is_stepping = true;
            self.schedule(self.now_us, SimEvent::Step(engine));
        }
    }

    fn step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.is_lost || engine.model.is_idle() {
            engine.is_stepping = false;
            return;
        }
        let mut outputs = Vec::new();
        let ms = engine.model.step(&mut outputs);
        for output in &outputs {
            if let Output::Preempted { tokens, .. } = output {
                engine.preempted_tokens += u64::from(*tokens);
            }
        }
        engine.outputs.push(outputs);
        let step = engine.outputs.len() - 1;
        let at_us = self.now_us + (ms * MICROS_PER_MS as f64) as u64;
        self.schedule(at_us, SimEvent::StepEnd { engine: index, step });
        self.schedule(at_us, SimEvent::Step(index));
    }

    fn end_step(&mut self, engine: usize, step: usize) {
        if self.engines[engine].is_lost {
            return;
        }
        let outputs = std::mem::take(&mut self.engines[engine].outputs[step]);
        for output in outputs {
            match output {
                Output::Token { id, .. } => self.record_token(id as usize, engine),
                Output::End { id } => self.complete_request(id as usize, engine),
                Output::Preempted { .. } => {}
            }
        }
    }

    fn record_token(&mut self, request: usize, engine: usize) {
        if self.requests[request].is_finished {
            return;
        }
        let now_ms = self.now_ms();
        self.collector.record_token(&mut self.traces[request], now_ms);
        let hop_ms = self.workload.profile.hop_ms;
        let state = &mut self.requests[request];
        state.written += 1;
        if state.is_granted && state.written == state.next_progress_tokens {
            state.next_progress_tokens *= 2;
            let written = state.written;
            self.schedule_after_ms(hop_ms, SimEvent::Progress { request, engine, written });
        }
    }

    fn complete_request(&mut self, request: usize, engine: usize) {
        if self.requests[request].is_finished {
            return;
        }
        self.traces[request].is_complete = true;
        self.end_request(request, engine, true);
    }

    fn end_request(&mut self, request: usize, engine: usize, is_complete: bool) {
        let daemon = self.arrival(request).daemon;
        self.requests[request].is_finished = true;
        let outstanding = &mut self.daemons[daemon].outstanding[engine];
        *outstanding = outstanding.saturating_sub(1);
        if self.requests[request].is_granted {
            let name = &self.names[engine];
            self.daemons[daemon].router.note_end(name);
            let hop_ms = self.workload.profile.hop_ms;
            self.schedule_after_ms(hop_ms, SimEvent::Release { request, engine, is_complete });
        }
    }

    fn release(&mut self, request: usize, engine: usize, is_complete: bool) {
        let now = self.time();
        let written = self.requests[request].written;
        let owner = &mut self.owners[engine];
        let ended = owner.admission.release(GrantId(request as u64), written);
        if let Some(ended) = ended.filter(|_| is_complete) {
            let service = &self.workload.profile.service.name;
            owner.estimator.learn(service, &ended.kind, &ended.organisation, written);
        }
        let events = owner.admission.tick(now);
        self.apply(engine, events);
    }

    fn send_report(&mut self, engine: usize) {
        self.schedule_after_ms(REPORT_INTERVAL_MS, SimEvent::SendReport(engine));
        let model = &self.engines[engine].model;
        if self.engines[engine].is_lost {
            return;
        }
        let report = LoadReport {
            incarnation: 1,
            running: model.running() as u32,
            waiting: model.waiting() as u32,
            used_tokens: model.used_tokens(),
            step_ms: model.last_step_ms(),
            preemptions: model.preemptions(),
            draining: false,
            lag_ms: self.options.report_lag_ms,
        };
        self.reports.push(report);
        let report = self.reports.len() - 1;
        self.schedule_after_ms(
            self.options.report_lag_ms,
            SimEvent::ReceiveReport { engine, report },
        );
    }

    fn receive_report(&mut self, engine: usize, report: usize) {
        let report = self.reports[report];
        for daemon in &mut self.daemons {
            daemon.reported[engine] = report.running + report.waiting;
        }
        let now = self.time();
        self.owners[engine].admission.report(now, &report);
        let events = self.owners[engine].admission.tick(now);
        self.apply(engine, events);
    }

    fn tick(&mut self) {
        self.schedule_after_ms(QUEUE_TICK_MS, SimEvent::Tick);
        let now = self.time();
        for engine in 0..ENGINES {
            if self.owners[engine].admission.queued() > 0 {
                let events = self.owners[engine].admission.tick(now);
                self.apply(engine, events);
            }
        }
    }

    fn expire(&mut self, request: usize) {
        if self.requests[request].is_finished {
            return;
        }
        match self.requests[request].engine {
            Some(engine) => {
                self.engines[engine].model.cancel(request as u64);
                self.end_request(request, engine, false);
            }
            None => self.requests[request].is_finished = true,
        }
    }

    fn lose_engine(&mut self, engine: usize) {
        self.engines[engine].is_lost = true;
        let events = self.owners[engine].admission.close();
        self.apply(engine, events);
        let at_engine = |request: &usize| self.requests[*request].engine == Some(engine);
        let affected: Vec<_> = (0..self.requests.len())
            .filter(at_engine)
            .filter(|r| !self.requests[*r].is_finished)
            .collect();
        for request in affected {
            self.rerun_or_end(request);
        }
    }

    /// Ends a request whose engine is lost, or reruns it once if no output was delivered.
    fn rerun_or_end(&mut self, request: usize) {
        let arrival = self.arrival(request);
        let kind = &self.workload.profile.kinds[arrival.kind].spec;
        let is_output_delivered =
            kind.delivery == Delivery::Stream && self.requests[request].written > 0;
        let Some(engine) = self.requests[request].engine else {
            return;
        };
        self.end_request(request, engine, false);
        if is_output_delivered || self.requests[request].reruns > 0 {
            return;
        }
        let state = &mut self.requests[request];
        state.is_finished = false;
        state.is_granted = false;
        state.engine = None;
        state.written = 0;
        state.reruns += 1;
        self.traces[request] = Trace::default();
        self.route(request);
    }
}
