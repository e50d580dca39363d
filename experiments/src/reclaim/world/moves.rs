//! Moves of runs, as their holders carry them out.

use super::run::{Hit, Phase};
use super::{World, daemon};
use magnoliawinch::pool::{MoveMethod, Report, RunMove, RunState};
use magnoliawinch::time::{Millis, Time};

/// Time for the calls around a copy.
const CALLS: Millis = Millis(30);

/// Time for the last copy, of what is new since the first.
const LAST_COPY: Millis = Millis(25);

/// Copies to another failure domain take so many times as long; from the users' sheets.
const FAR_FACTOR: u64 = 2;

/// Memory of a run on its way to another engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Copy {
    pub(super) run: usize,
    to: usize,
    until: Time,
    /// Tokens of the run when it has stopped, in the last copy.
    stopped_with: Option<f64>,
}

impl World<'_> {
    /// A run as its holder reports it.
    pub(super) fn state(&self, place: usize) -> Option<RunState> {
        let (run, arrival) = (&self.runs[place], &self.workload.arrivals[place]);
        let host = match run.phase {
            Phase::Runs { host } | Phase::Moves { from: host, .. } => host,
            _ => return None,
        };
        Some(RunState {
            run: run.id.clone(),
            kind: self.kind_name(arrival),
            organisation: arrival.organisation.clone(),
            engine: self.hosts.name(host).clone(),
            backup: run.backup.map(|backup| self.hosts.name(backup).clone()),
            prompt_tokens: arrival.prompt_tokens,
            written: run.written,
            max_tokens: u32::MAX,
            priority: self.site.kinds[arrival.kind].priority,
            moving_to: run.moving_to.clone(),
            refused: run.refused_by.clone(),
        })
    }

    pub(super) fn plan_moves(&mut self) {
        if !self.pool.has_runs_to_move() {
            return;
        }
        for order in self.pool.plan_moves(self.now, None) {
            self.begin(&order);
        }
    }

    fn begin(&mut self, order: &RunMove) {
        let place = self.by_id.get(&order.run).copied();
        let Some((place, to)) = place.zip(self.hosts.alive(&order.to)) else {
            return;
        };
        let Phase::Runs { host } = self.runs[place].phase else {
            return;
        };
        self.runs[place].moving_to = Some(order.to.clone());
        match order.way {
            MoveMethod::Backup => self.stop(place, host, to, CALLS),
            MoveMethod::Copy => {
                let tokens = self.workload.arrivals[place].prompt_tokens + self.runs[place].written;
                let Millis(copy) = self.site.shape.copy_time(u64::from(tokens));
                let factor = if self.hosts.are_apart(host, to) { FAR_FACTOR } else { 1 };
                let until = self.now + Millis(copy * factor) + CALLS;
                self.copies.push(Copy { run: place, to, until, stopped_with: None });
            }
        }
    }

    /// Stops a run at its engine; its memory is at the other after `takes`.
    fn stop(&mut self, place: usize, from: usize, to: usize, takes: Millis) {
        let Some(tokens) = self.hosts.engine(from).end(place) else {
            // Its prompt is not read: nothing can be moved.
            let prompt = f64::from(self.workload.arrivals[place].prompt_tokens);
            self.hosts.engine(from).start(place, prompt);
            self.refuse(place, to);
            return;
        };
        self.runs[place].phase = Phase::Moves { from, to };
        let until = self.now + takes;
        self.copies.push(Copy { run: place, to, until, stopped_with: Some(tokens) });
    }

    pub(super) fn carry_out_copies(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.copies.extract_if(.., |copy| copy.until <= now).collect();
        for copy in due {
            match (copy.stopped_with, self.runs[copy.run].phase) {
                (None, Phase::Runs { host }) => self.stop(copy.run, host, copy.to, LAST_COPY),
                (Some(tokens), Phase::Moves { from, to }) => {
                    self.arrive(copy.run, from, to, tokens);
                }
                _ => {}
            }
        }
    }

    fn arrive(&mut self, place: usize, from: usize, to: usize, tokens: f64) {
        let is_there = self.hosts.is_running(to, self.now);
        if is_there && self.hosts.engine(to).take_over(place, tokens) {
            let run = &mut self.runs[place];
            run.phase = Phase::Runs { host: to };
            run.backup.take_if(|backup| *backup == to);
            run.moving_to = None;
            run.refused_by.clear();
            run.has_moved = true;
            run.hit.get_or_insert(Hit::Reclaim);
            return;
        }
        self.refuse(place, to);
        let is_back = self.hosts.is_running(from, self.now)
            && self.hosts.engine(from).take_over(place, tokens);
        if is_back {
            self.runs[place].phase = Phase::Runs { host: from };
        } else {
            self.runs[place].hit.get_or_insert(Hit::Reclaim);
            self.lose(place);
        }
    }

    /// Notes that an engine cannot take a run; its holder says so at once.
    fn refuse(&mut self, place: usize, by: usize) {
        let name = self.hosts.name(by).clone();
        let run = &mut self.runs[place];
        run.moving_to = None;
        run.refused_by.push(name);
        let holder = daemon(self.workload.arrivals[place].daemon);
        let states: Vec<_> = (0..self.runs.len())
            .filter(|other| {
                self.workload.arrivals[*other].daemon == self.workload.arrivals[place].daemon
            })
            .filter_map(|other| self.state(other))
            .collect();
        self.pool.report(self.now, &holder, &Report { runs: &states, ..Report::default() });
    }

    /// A run whose engine is gone goes on at its copy, if there is one.
    pub(super) fn go_on_at_backup(&mut self, place: usize) {
        let backup = self.runs[place].backup.take();
        let backup = backup.filter(|backup| self.hosts.is_running(*backup, self.now));
        let tokens = self.workload.arrivals[place].prompt_tokens + self.runs[place].written;
        let Some(backup) = backup else {
            self.lose(place);
            return;
        };
        if self.hosts.engine(backup).take_over(place, f64::from(tokens)) {
            let run = &mut self.runs[place];
            run.phase = Phase::Runs { host: backup };
            run.has_moved = true;
        } else {
            self.lose(place);
        }
    }
}
