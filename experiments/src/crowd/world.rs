//! Daemons that decide apart and engines that run, under one virtual clock.

use super::Options;
use super::entry::Entry;
use super::figures::{EngineTotals, Figures, Gatherer, Trace, Weights};
use super::policy::Policy;
use super::workload::{Arrival, ENGINES, Workload, domain_of};
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

/// Time between two load reports of an engine, in milliseconds.
const REPORT_EVERY_MS: u64 = 2_000;

/// Time between two looks at the queues, in milliseconds.
const TICK_MS: u64 = 20;

/// Tokens of the first progress report; each later one comes at twice the tokens.
const FIRST_REPORT_TOKENS: u32 = 32;

/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// Slowness of a grey engine.
const GREY_SLOWNESS: f64 = 3.0;

/// How long after its last arrival a run goes on, in milliseconds.
const RUN_OUT_MS: u64 = 920_000;

/// What happens next; times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    /// A question reaches an owner.
    Ask {
        request: usize,
        engine: usize,
        queue: bool,
    },
    /// An answer reaches the entry daemon.
    Answer {
        request: usize,
        engine: usize,
        answer: Answer,
        /// Part of the engine's bounds in use, in thousandths.
        utilisation: u64,
    },
    /// An owner learns that a request no longer waits.
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
    /// The outputs of a step are there.
    Outputs {
        engine: usize,
        step: usize,
    },
    /// News of a grant reach its owner.
    Progress {
        request: usize,
        engine: usize,
        written: u32,
    },
    Release {
        request: usize,
        engine: usize,
        complete: bool,
    },
    Report(usize),
    /// A load report arrives, as the lag has it.
    Reported {
        engine: usize,
        report: usize,
    },
    Tick,
    Deadline(usize),
    KillEngine(usize),
    SlowEngine {
        engine: usize,
        grey: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Granted,
    Busy(u64),
    Refused(u64),
}

/// Thousandths in 1.
const THOUSANDTHS: f64 = 1_000.0;

struct Engine {
    model: EngineModel,
    stepping: bool,
    dead: bool,
    outputs: Vec<Vec<Output>>,
    preempted_tokens: u64,
}

/// An admission owner of one engine; each learns lengths by itself.
struct Owner {
    admission: Admission,
    estimator: LengthEstimator,
}

#[derive(Default)]
struct RequestState {
    plan: Option<Plan>,
    engine: Option<usize>,
    granted: bool,
    over: bool,
    next_report: u32,
    written: u32,
    reruns: u32,
    /// Engines whose owners have the request in their queues.
    queued_at: Vec<usize>,
}

/// One run of one policy.
pub(super) struct World<'a> {
    options: &'a Options,
    workload: &'a Workload,
    policy: Policy,
    now: u64,
    order: u64,
    happenings: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    engines: Vec<Engine>,
    names: Vec<UpstreamName>,
    owners: Vec<Owner>,
    entries: Vec<Entry>,
    requests: Vec<RequestState>,
    traces: Vec<Trace>,
    gatherer: Gatherer,
    reports: Vec<LoadReport>,
    end: u64,
}

impl<'a> World<'a> {
    pub(super) fn new(options: &'a Options, workload: &'a Workload, policy: Policy) -> Self {
        let profile = &workload.profile;
        let service = &profile.service;
        let names: Vec<_> =
            (0..ENGINES).map(|place| UpstreamName::from(format!("engine-{place}"))).collect();
        let owner = |name: &UpstreamName| {
            let bounds = policy.bounds(Bounds::of(service, &service.upstreams[name]));
            Owner { admission: Admission::new(bounds), estimator: LengthEstimator::new() }
        };
        let engine = |_| Engine {
            model: EngineModel::new(profile.model),
            stepping: false,
            dead: false,
            outputs: Vec::new(),
            preempted_tokens: 0,
        };
        let entry =
            |place| Entry::new(place, &names, options.seed, domain_of(place, profile.domains));
        let entries = (0..profile.daemons).map(entry).collect();
        let count = workload.arrivals.len();
        Self {
            options,
            workload,
            policy,
            now: 0,
            order: 0,
            happenings: BinaryHeap::new(),
            engines: (0..ENGINES).map(engine).collect(),
            owners: names.iter().map(owner).collect(),
            names,
            entries,
            requests: (0..count).map(|_| RequestState::default()).collect(),
            traces: vec![Trace::default(); count],
            gatherer: Gatherer::new(service.limits.inter_token_ms as f64),
            reports: Vec::new(),
            end: options.seconds * 1_000 * MICROS,
        }
    }

    fn schedule(&mut self, at: u64, happening: Happening) {
        self.order += 1;
        self.happenings.push(Reverse((at, self.order, happening)));
    }

    fn after_ms(&mut self, ms: u64, happening: Happening) {
        self.schedule(self.now + ms * MICROS, happening);
    }

    fn time(&self) -> Time {
        Time(self.now / MICROS)
    }

    fn now_ms(&self) -> f64 {
        self.now as f64 / MICROS as f64
    }

    /// Runs to the end and returns the figures.
    pub(super) fn run(mut self) -> Figures {
        for (place, arrival) in self.workload.arrivals.iter().enumerate() {
            self.schedule((arrival.at_ms * MICROS as f64) as u64, Happening::Arrive(place));
        }
        for engine in 0..ENGINES {
            let offset = REPORT_EVERY_MS * engine as u64 / ENGINES as u64;
            self.after_ms(offset, Happening::Report(engine));
        }
        self.after_ms(TICK_MS, Happening::Tick);
        if self.options.engine_loss {
            self.schedule(self.end / 2, Happening::KillEngine(0));
        }
        if self.options.grey_engine {
            self.schedule(self.end / 3, Happening::SlowEngine { engine: 1, grey: true });
            let healed = Happening::SlowEngine { engine: 1, grey: false };
            self.schedule(self.end * 2 / 3, healed);
        }
        let stop = self.end + RUN_OUT_MS * MICROS;
        while let Some(Reverse((at, _, happening))) = self.happenings.pop() {
            if at > stop || (at > self.end && self.requests.iter().all(|r| r.over)) {
                break;
            }
            self.now = at;
            self.handle(happening);
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
        self.gatherer.finish(self.workload, &self.traces, weights, totals)
    }

    fn arrival(&self, request: usize) -> &'a Arrival {
        &self.workload.arrivals[request]
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(request) => self.arrive(request),
            Happening::Ask { request, engine, queue } => self.ask(request, engine, queue),
            Happening::Answer { request, engine, answer, utilisation } => {
                self.answer(request, engine, answer, utilisation);
            }
            Happening::Withdraw { request, engine } => {
                self.owners[engine].admission.withdraw(GrantId(request as u64));
            }
            Happening::Submit { request, engine } => self.submit(request, engine),
            Happening::Step(engine) => self.step(engine),
            Happening::Outputs { engine, step } => self.outputs(engine, step),
            Happening::Progress { request, engine, written } => {
                let (now, id) = (self.time(), GrantId(request as u64));
                self.owners[engine].admission.progress(now, id, written);
            }
            Happening::Release { request, engine, complete } => {
                self.release(request, engine, complete);
            }
            Happening::Report(engine) => self.report(engine),
            Happening::Reported { engine, report } => self.reported(engine, report),
            Happening::Tick => self.tick(),
            Happening::Deadline(request) => self.deadline(request),
            Happening::KillEngine(engine) => self.kill(engine),
            Happening::SlowEngine { engine, grey } => {
                let slowness = if grey { GREY_SLOWNESS } else { 1.0 };
                self.engines[engine].model.set_slowness(slowness);
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let kind = &self.workload.profile.kinds[self.arrival(request).kind].spec;
        self.after_ms(kind.deadline_ms, Happening::Deadline(request));
        self.route(request);
    }

    fn alive(&self) -> Vec<usize> {
        (0..ENGINES).filter(|engine| !self.engines[*engine].dead).collect()
    }

    fn route(&mut self, request: usize) {
        let arrival = self.arrival(request);
        let hop = self.workload.profile.hop_ms;
        if self.policy.is_direct() {
            let alive = self.alive();
            let engine = self.entries[arrival.entry].choose(self.policy, &alive);
            self.entries[arrival.entry].outstanding[engine] += 1;
            self.requests[request].engine = Some(engine);
            self.after_ms(hop, Happening::Submit { request, engine });
            return;
        }
        let (engines, names) = (&self.engines, &self.names);
        let is_usable = |name: &UpstreamName| {
            names.iter().position(|n| n == name).is_some_and(|place| !engines[place].dead)
        };
        let now = Time(self.now / MICROS);
        let service = &self.workload.profile.service;
        let (prefix, tokens) = (arrival.prefix, arrival.prefix_tokens);
        let plan = self.entries[arrival.entry].plan(now, service, prefix, tokens, is_usable);
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
                self.traces[request].refused = true;
                self.requests[request].over = true;
            }
        }
    }

    fn ask_owner(&mut self, request: usize, upstream: &UpstreamName, queue: bool) {
        let hop = self.workload.profile.hop_ms;
        let Some(engine) = self.names.iter().position(|name| name == upstream) else {
            return;
        };
        if queue {
            self.requests[request].queued_at.push(engine);
        }
        self.after_ms(hop, Happening::Ask { request, engine, queue });
    }

    fn ask(&mut self, request: usize, engine: usize, queue: bool) {
        if self.requests[request].over {
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
        let wanted = Request {
            id: GrantId(request as u64),
            holder: HostName::from(format!("entry-{}", arrival.entry)),
            organisation: arrival.organisation.clone(),
            kind: kind.name.clone(),
            share: service.organisations[&arrival.organisation].share,
            priority: kind.spec.priority,
            prompt_tokens: arrival.prompt_tokens,
            length_distribution,
            patience_until: arrived + Millis(kind.spec.first_token_ms),
            suspect: false,
            no_queue: !queue,
        };
        let (decision, events) = owner.admission.request(now, wanted);
        let answer = match decision {
            Decision::Granted => Some(Answer::Granted),
            Decision::Busy(wait) => Some(Answer::Busy(wait.0)),
            Decision::Refused(retry) => Some(Answer::Refused(retry.0)),
            Decision::Queued => None,
        };
        if let Some(answer) = answer {
            self.tell(request, engine, answer);
        }
        self.apply(engine, events);
    }

    fn apply(&mut self, engine: usize, events: Vec<AdmissionEvent>) {
        for event in events {
            let (id, answer) = match event {
                AdmissionEvent::Granted(id) => (id, Answer::Granted),
                AdmissionEvent::Refused(id, retry) => (id, Answer::Refused(retry.0)),
            };
            self.tell(id.0 as usize, engine, answer);
        }
    }

    /// Sends an owner's answer to the entry daemon.
    fn tell(&mut self, request: usize, engine: usize, answer: Answer) {
        let used = self.owners[engine].admission.utilisation(self.time());
        let utilisation = (used * THOUSANDTHS) as u64;
        let hop = self.workload.profile.hop_ms;
        self.after_ms(hop, Happening::Answer { request, engine, answer, utilisation });
    }

    fn answer(&mut self, request: usize, engine: usize, answer: Answer, utilisation: u64) {
        let used = utilisation as f64 / THOUSANDTHS;
        let (entry, now) = (self.arrival(request).entry, self.time());
        let hop = self.workload.profile.hop_ms;
        let has_place = self.requests[request].over || self.requests[request].granted;
        if has_place {
            if answer == Answer::Granted {
                let complete = false;
                self.after_ms(hop, Happening::Release { request, engine, complete });
            }
            return;
        }
        let name = &self.names[engine];
        match answer {
            Answer::Granted => {
                self.entries[entry].router.note_load(now, name, Millis(0), used);
                self.entries[entry].router.note_start(name);
                let state = &mut self.requests[request];
                state.engine = Some(engine);
                state.granted = true;
                state.next_report = FIRST_REPORT_TOKENS;
                let queued_at = std::mem::take(&mut state.queued_at);
                for other in queued_at.into_iter().filter(|other| *other != engine) {
                    self.after_ms(hop, Happening::Withdraw { request, engine: other });
                }
                self.after_ms(hop, Happening::Submit { request, engine });
            }
            Answer::Busy(ms) | Answer::Refused(ms) => {
                self.entries[entry].router.note_load(now, name, Millis(ms), used);
                if let Some(plan) = &mut self.requests[request].plan {
                    match answer {
                        Answer::Busy(ms) => plan.busy(Millis(ms)),
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
        if self.requests[request].over {
            return;
        }
        if self.engines[engine].dead {
            self.lost(request);
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
        if !self.engines[engine].stepping {
            self.engines[engine].stepping = true;
            self.schedule(self.now, Happening::Step(engine));
        }
    }

    fn step(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        if engine.dead || engine.model.is_idle() {
            engine.stepping = false;
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
        let at = self.now + (ms * MICROS as f64) as u64;
        self.schedule(at, Happening::Outputs { engine: place, step });
        self.schedule(at, Happening::Step(place));
    }

    fn outputs(&mut self, engine: usize, step: usize) {
        if self.engines[engine].dead {
            return;
        }
        let outputs = std::mem::take(&mut self.engines[engine].outputs[step]);
        for output in outputs {
            match output {
                Output::Token { id, .. } => self.token(id as usize, engine),
                Output::End { id } => self.ended(id as usize, engine),
                Output::Preempted { .. } => {}
            }
        }
    }

    fn token(&mut self, request: usize, engine: usize) {
        if self.requests[request].over {
            return;
        }
        let now_ms = self.now_ms();
        self.gatherer.token(&mut self.traces[request], now_ms);
        let hop = self.workload.profile.hop_ms;
        let state = &mut self.requests[request];
        state.written += 1;
        if state.granted && state.written == state.next_report {
            state.next_report *= 2;
            let written = state.written;
            self.after_ms(hop, Happening::Progress { request, engine, written });
        }
    }

    fn ended(&mut self, request: usize, engine: usize) {
        if self.requests[request].over {
            return;
        }
        self.traces[request].completed = true;
        self.close(request, engine, true);
    }

    /// Ends a request that was at an engine.
    fn close(&mut self, request: usize, engine: usize, complete: bool) {
        let entry = self.arrival(request).entry;
        self.requests[request].over = true;
        let outstanding = &mut self.entries[entry].outstanding[engine];
        *outstanding = outstanding.saturating_sub(1);
        if self.requests[request].granted {
            let name = &self.names[engine];
            self.entries[entry].router.note_end(name);
            let hop = self.workload.profile.hop_ms;
            self.after_ms(hop, Happening::Release { request, engine, complete });
        }
    }

    fn release(&mut self, request: usize, engine: usize, complete: bool) {
        let now = self.time();
        let written = self.requests[request].written;
        let owner = &mut self.owners[engine];
        let ended = owner.admission.release(GrantId(request as u64), written);
        if let Some(ended) = ended.filter(|_| complete) {
            let service = &self.workload.profile.service.name;
            owner.estimator.learn(service, &ended.kind, &ended.organisation, written);
        }
        let events = owner.admission.tick(now);
        self.apply(engine, events);
    }

    fn report(&mut self, engine: usize) {
        self.after_ms(REPORT_EVERY_MS, Happening::Report(engine));
        let model = &self.engines[engine].model;
        if self.engines[engine].dead {
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
        self.after_ms(self.options.report_lag_ms, Happening::Reported { engine, report });
    }

    fn reported(&mut self, engine: usize, report: usize) {
        let report = self.reports[report];
        for entry in &mut self.entries {
            entry.reported[engine] = report.running + report.waiting;
        }
        let now = self.time();
        self.owners[engine].admission.report(now, &report);
        let events = self.owners[engine].admission.tick(now);
        self.apply(engine, events);
    }

    fn tick(&mut self) {
        self.after_ms(TICK_MS, Happening::Tick);
        let now = self.time();
        for engine in 0..ENGINES {
            if self.owners[engine].admission.queued() > 0 {
                let events = self.owners[engine].admission.tick(now);
                self.apply(engine, events);
            }
        }
    }

    fn deadline(&mut self, request: usize) {
        if self.requests[request].over {
            return;
        }
        match self.requests[request].engine {
            Some(engine) => {
                self.engines[engine].model.cancel(request as u64);
                self.close(request, engine, false);
            }
            None => self.requests[request].over = true,
        }
    }

    fn kill(&mut self, engine: usize) {
        self.engines[engine].dead = true;
        let events = self.owners[engine].admission.close();
        self.apply(engine, events);
        let at_engine = |request: &usize| self.requests[*request].engine == Some(engine);
        let lost: Vec<_> = (0..self.requests.len())
            .filter(at_engine)
            .filter(|r| !self.requests[*r].over)
            .collect();
        for request in lost {
            self.lost(request);
        }
    }

    /// Runs a request again when nothing of it was released; ends it otherwise.
    fn lost(&mut self, request: usize) {
        let arrival = self.arrival(request);
        let kind = &self.workload.profile.kinds[arrival.kind].spec;
        let released = kind.delivery == Delivery::Stream && self.requests[request].written > 0;
        let Some(engine) = self.requests[request].engine else {
            return;
        };
        self.close(request, engine, false);
        if released || self.requests[request].reruns > 0 {
            return;
        }
        let state = &mut self.requests[request];
        state.over = false;
        state.granted = false;
        state.engine = None;
        state.written = 0;
        state.reruns += 1;
        self.traces[request] = Trace::default();
        self.route(request);
    }
}
