//! Moves of runs between engines, as the daemons carry them out.

use super::run::{LossCause, Phase};
use super::{Simulation, daemon};
use magnoliawinch::pool::{MoveMethod, Report, RunMove, RunState};
use magnoliawinch::time::{Millis, Time};

/// Time for the calls of a move, before and after the copy.
const CALL_OVERHEAD: Millis = Millis(30);

/// Time for the final copy, of the tokens added since the first.
const FINAL_COPY: Millis = Millis(25);

/// Factor on the copy time between failure domains; from the users' data sheets.
const CROSS_DOMAIN_FACTOR: u64 = 2;

/// A copy in progress of a run's memory to another engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryCopy {
    pub(super) run: usize,
    to: usize,
    done_at: Time,
    /// Tokens of the stopped run in the final copy; absent in the first copy.
    stopped_tokens: Option<f64>,
}

impl Simulation<'_> {
    /// State of a run as its daemon reports it; absent unless it is on an engine or moving.
    pub(super) fn run_state(&self, index: usize) -> Option<RunState> {
        let (run, arrival) = (&self.runs[index], &self.workload.arrivals[index]);
        let host = match run.phase {
            Phase::Running { host } | Phase::Moving { from: host, .. } => host,
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
            is_copied: matches!(run.phase, Phase::Moving { .. }),
            refused: run.refused_by.clone(),
            max_pause: None,
        })
    }

    pub(super) fn plan_moves(&mut self) {
        if !self.pool.has_runs_to_move() {
            return;
        }
        for order in self.pool.plan_moves(self.now, None) {
            self.start_move(&order);
        }
    }

    fn start_move(&mut self, order: &RunMove) {
        let index = self.by_id.get(&order.run).copied();
        let Some((index, to)) = index.zip(self.hosts.find_alive(&order.to)) else {
            return;
        };
        let Phase::Running { host } = self.runs[index].phase else {
            return;
        };
        self.runs[index].moving_to = Some(order.to.clone());
        match order.way {
            MoveMethod::Backup => self.stop(index, host, to, CALL_OVERHEAD),
            MoveMethod::Copy => {
                let tokens = self.workload.arrivals[index].prompt_tokens + self.runs[index].written;
                let Millis(copy_ms) = self.site.engine_config.copy_time(u64::from(tokens));
                let factor =
                    if self.hosts.in_different_domains(host, to) { CROSS_DOMAIN_FACTOR } else { 1 };
                let done_at = self.now + Millis(copy_ms * factor) + CALL_OVERHEAD;
                self.copies.push(MemoryCopy { run: index, to, done_at, stopped_tokens: None });
            }
        }
    }

    /// Stops a run; its memory is at the other engine after `duration`.
    fn stop(&mut self, index: usize, from: usize, to: usize, duration: Millis) {
        let Some(tokens) = self.hosts.engine(from).remove(index) else {
            // Its prefill is not complete, so there is no memory to move: it is queued here again.
            let prompt_tokens = f64::from(self.workload.arrivals[index].prompt_tokens);
            self.hosts.engine(from).submit(index, prompt_tokens);
            self.record_refusal(index, to);
            return;
        };
        self.runs[index].phase = Phase::Moving { from, to };
        let done_at = self.now + duration;
        self.copies.push(MemoryCopy { run: index, to, done_at, stopped_tokens: Some(tokens) });
    }

    /// Ends the copies that are due: a first copy stops its run, a final copy completes its move.
    pub(super) fn process_due_copies(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.copies.extract_if(.., |copy| copy.done_at <= now).collect();
        for copy in due {
            match (copy.stopped_tokens, self.runs[copy.run].phase) {
                (None, Phase::Running { host }) => self.stop(copy.run, host, copy.to, FINAL_COPY),
                (Some(tokens), Phase::Moving { from, to }) => {
                    self.finish_move(copy.run, from, to, tokens);
                }
                _ => {}
            }
        }
    }

    fn finish_move(&mut self, index: usize, from: usize, to: usize, tokens: f64) {
        let is_target_up = self.hosts.is_running(to, self.now);
        if is_target_up && self.hosts.engine(to).take_over(index, tokens) {
            let run = &mut self.runs[index];
            run.phase = Phase::Running { host: to };
            run.backup.take_if(|backup| *backup == to);
            run.moving_to = None;
            run.refused_by.clear();
            run.has_moved = true;
            run.engine_loss.get_or_insert(LossCause::Reclaim);
            return self.report_at_once(index);
        }
        self.record_refusal(index, to);
        let has_returned = self.hosts.is_running(from, self.now)
            && self.hosts.engine(from).take_over(index, tokens);
        if has_returned {
            self.runs[index].phase = Phase::Running { host: from };
        } else {
            self.runs[index].engine_loss.get_or_insert(LossCause::Reclaim);
            self.mark_lost(index);
        }
    }

    /// Records that a move of a run to an engine failed; its daemon reports that at once.
    fn record_refusal(&mut self, index: usize, to: usize) {
        let name = self.hosts.name(to).clone();
        let run = &mut self.runs[index];
        run.moving_to = None;
        run.refused_by.push(name);
        self.report_at_once(index);
    }

    /// Has the daemon of a run report its runs.
    fn report_at_once(&mut self, index: usize) {
        let reporter = daemon(self.workload.arrivals[index].daemon);
        let states: Vec<_> = (0..self.runs.len())
            .filter(|other| {
                self.workload.arrivals[*other].daemon == self.workload.arrivals[index].daemon
            })
            .filter_map(|other| self.run_state(other))
            .collect();
        self.pool.report(self.now, &reporter, &Report { runs: &states, ..Report::default() });
    }

    /// Continues a run, whose engine is lost, on the engine of its backup. Without one, or without
    /// room there, the run is lost.
    pub(super) fn fail_over_to_backup(&mut self, index: usize) {
        let backup = self.runs[index].backup.take();
        let backup = backup.filter(|backup| self.hosts.is_running(*backup, self.now));
        let tokens = self.workload.arrivals[index].prompt_tokens + self.runs[index].written;
        let Some(backup) = backup else {
            self.mark_lost(index);
            return;
        };
        if self.hosts.engine(backup).take_over(index, f64::from(tokens)) {
            let run = &mut self.runs[index];
            run.phase = Phase::Running { host: backup };
            run.has_moved = true;
        } else {
            self.mark_lost(index);
        }
    }
}
