//! A simulated engine with continuous batching, chunked prefill and limited memory.

use std::collections::VecDeque;

/// Time of an empty step; from the users' data sheets.
const BASE_STEP_MS: f64 = 7.0;

/// Time that each decoding run adds to a step; from the users' data sheets.
const DECODE_MS_PER_RUN: f64 = 0.12;

/// Maximum prompt tokens prefilled in a step; from the users' data sheets.
const PREFILL_CHUNK_TOKENS: f64 = 112.0;

/// Prefill speed; from the users' data sheets.
const PREFILL_TOKENS_PER_MS: f64 = 14.0;

/// Tokens that must be free in addition to a prompt before its prefill starts.
const HEADROOM_TOKENS: f64 = 64.0;

/// State of a run on an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) run: usize,
    /// Tokens in memory once its prefill is complete.
    pub(super) tokens: f64,
    /// Tokens still to be prefilled.
    to_prefill: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct StepOutput {
    /// Runs that generated a token.
    pub(super) decoded: Vec<usize>,
    /// Runs preempted for lack of memory.
    pub(super) preempted: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Engine {
    memory_tokens: f64,
    slots: usize,
    decoding: Vec<Job>,
    prefilling: VecDeque<Job>,
    waiting: VecDeque<Job>,
    /// Backup copies kept here: the run, and the size in tokens.
    pub(super) backups: Vec<(usize, f64)>,
    /// End of the current step, in virtual time.
    pub(super) step_end_ms: f64,
}

impl Engine {
    pub(super) fn new(memory_tokens: f64, slots: u32, now_ms: f64) -> Self {
        Self {
            memory_tokens,
            slots: slots as usize,
            decoding: Vec::new(),
            prefilling: VecDeque::new(),
            waiting: VecDeque::new(),
            backups: Vec::new(),
            step_end_ms: now_ms,
        }
    }

    fn used_tokens(&self) -> f64 {
        let jobs = self.decoding.iter().chain(&self.prefilling).map(|job| job.tokens);
        jobs.chain(self.backups.iter().map(|(_, tokens)| *tokens)).sum()
    }

    /// Queues a run whose prompt is not in memory yet.
    pub(super) fn submit(&mut self, run: usize, prompt_tokens: f64) {
        self.waiting.push_back(Job { run, tokens: prompt_tokens, to_prefill: prompt_tokens });
    }

    /// Takes over a run whose memory is already here; returns whether there is room.
    pub(super) fn take_over(&mut self, run: usize, tokens: f64) -> bool {
        self.drop_backup(run);
        let fits =
            self.used_tokens() + tokens <= self.memory_tokens && self.decoding.len() < self.slots;
        if fits {
            self.decoding.push(Job { run, tokens, to_prefill: 0.0 });
        }
        fits
    }

    /// Stores a backup copy of a run; returns whether there is room.
    pub(super) fn store_backup(&mut self, run: usize, tokens: f64) -> bool {
        let fits = self.used_tokens() + tokens <= self.memory_tokens;
        if fits {
            self.backups.push((run, tokens));
        }
        fits
    }

    pub(super) fn drop_backup(&mut self, run: usize) {
        self.backups.retain(|(other, _)| *other != run);
    }

    /// Removes a run; returns its tokens in memory if it was decoding.
    pub(super) fn remove(&mut self, run: usize) -> Option<f64> {
        let tokens = self.decoding.iter().find(|job| job.run == run).map(|job| job.tokens);
        self.decoding.retain(|job| job.run != run);
        self.prefilling.retain(|job| job.run != run);
        self.waiting.retain(|job| job.run != run);
        tokens
    }

    /// All runs, queued ones included.
    pub(super) fn runs(&self) -> Vec<usize> {
        let jobs = self.decoding.iter().chain(&self.prefilling).chain(&self.waiting);
        jobs.map(|job| job.run).collect()
    }

    /// Completes the current step and starts the next one.
    pub(super) fn step(&mut self) -> StepOutput {
        let mut output = StepOutput::default();
        for job in &mut self.decoding {
            job.tokens += 1.0;
            output.decoded.push(job.run);
        }
        let mut budget = PREFILL_CHUNK_TOKENS;
        while let Some(job) = self.prefilling.front_mut() {
            let prefilled = job.to_prefill.min(budget);
            job.to_prefill -= prefilled;
            budget -= prefilled;
            if job.to_prefill > 0.0 {
                break;
            }
            self.decoding.extend(self.prefilling.pop_front());
        }
        output.preempted = self.preempt();
        self.admit();
        let prefill_tokens =
            PREFILL_CHUNK_TOKENS.min(self.prefilling.iter().map(|job| job.to_prefill).sum());
        let decode_ms = DECODE_MS_PER_RUN * self.decoding.len() as f64;
        self.step_end_ms += BASE_STEP_MS + decode_ms + prefill_tokens / PREFILL_TOKENS_PER_MS;
        output
    }

    /// Drops backup copies, then preempts the newest runs, until the rest fits into memory.
    fn preempt(&mut self) -> u64 {
        let mut count = 0;
        while self.used_tokens() > self.memory_tokens {
            if self.backups.pop().is_some() {
                continue;
            }
            let Some(job) = self.decoding.pop() else { break };
            self.waiting.push_front(Job { to_prefill: job.tokens, ..job });
            count += 1;
        }
        count
    }

    fn admit(&mut self) {
        while let Some(job) = self.waiting.front() {
            let count = self.decoding.len() + self.prefilling.len();
            let fits = self.used_tokens() + job.tokens + HEADROOM_TOKENS <= self.memory_tokens;
            if count >= self.slots || (!fits && count > 0) {
                return;
            }
            self.prefilling.extend(self.waiting.pop_front());
        }
    }
}
