//! A simulated engine: steps, prompts, memory.

use std::collections::VecDeque;

/// Time of a step, in milliseconds; from the users' sheets.
const STEP_MS: f64 = 7.0;

/// Time that each answer adds to a step, in milliseconds; from the users' sheets.
const STEP_MS_PER_RUN: f64 = 0.12;

/// Tokens of prompts that a step reads at the most; from the users' sheets.
const CHUNK_TOKENS: f64 = 112.0;

/// Tokens of a prompt that are read in a millisecond; from the users' sheets.
const PROMPT_TOKENS_PER_MS: f64 = 14.0;

/// Tokens that must be free beyond a prompt before it is read.
const SPARE_TOKENS: f64 = 64.0;

/// A run at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) run: usize,
    /// Tokens in memory once it is read.
    pub(super) tokens: f64,
    /// Tokens that are still to be read.
    unread: f64,
}

/// What a step brought.
#[derive(Clone, Debug, Default)]
pub(super) struct Stepped {
    /// Runs that have one more token.
    pub(super) wrote: Vec<usize>,
    /// Runs that lost their place for want of memory.
    pub(super) preempted: u64,
}

/// An engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    memory: f64,
    slots: usize,
    writing: Vec<Job>,
    reading: VecDeque<Job>,
    waiting: VecDeque<Job>,
    /// Runs whose memory is copied here, with their tokens.
    pub(super) backups: Vec<(usize, f64)>,
    pub(super) next_step: f64,
}

impl Engine {
    pub(super) fn new(memory: f64, slots: u32, now: f64) -> Self {
        Self {
            memory,
            slots: slots as usize,
            writing: Vec::new(),
            reading: VecDeque::new(),
            waiting: VecDeque::new(),
            backups: Vec::new(),
            next_step: now,
        }
    }

    fn used(&self) -> f64 {
        let jobs = self.writing.iter().chain(&self.reading).map(|job| job.tokens);
        jobs.chain(self.backups.iter().map(|(_, tokens)| *tokens)).sum()
    }

    /// Takes a new run with its prompt.
    pub(super) fn start(&mut self, run: usize, prompt: f64) {
        self.waiting.push_back(Job { run, tokens: prompt, unread: prompt });
    }

    /// Takes a run with its memory; returns whether there is room.
    pub(super) fn take_over(&mut self, run: usize, tokens: f64) -> bool {
        self.drop_backup(run);
        let fits = self.used() + tokens <= self.memory && self.writing.len() < self.slots;
        if fits {
            self.writing.push(Job { run, tokens, unread: 0.0 });
        }
        fits
    }

    /// Keeps a copy of a run, if there is room.
    pub(super) fn keep_backup(&mut self, run: usize, tokens: f64) -> bool {
        let fits = self.used() + tokens <= self.memory;
        if fits {
            self.backups.push((run, tokens));
        }
        fits
    }

    pub(super) fn drop_backup(&mut self, run: usize) {
        self.backups.retain(|(other, _)| *other != run);
    }

    /// Ends a run here; returns its memory if it writes.
    pub(super) fn end(&mut self, run: usize) -> Option<f64> {
        let job = self.writing.iter().find(|job| job.run == run).map(|job| job.tokens);
        self.writing.retain(|job| job.run != run);
        self.reading.retain(|job| job.run != run);
        self.waiting.retain(|job| job.run != run);
        job
    }

    /// All runs here.
    pub(super) fn runs(&self) -> Vec<usize> {
        let jobs = self.writing.iter().chain(&self.reading).chain(&self.waiting);
        jobs.map(|job| job.run).collect()
    }

    /// Carries out the step that ends now.
    pub(super) fn step(&mut self) -> Stepped {
        let mut stepped = Stepped::default();
        for job in &mut self.writing {
            job.tokens += 1.0;
            stepped.wrote.push(job.run);
        }
        let mut chunk = CHUNK_TOKENS;
        while let Some(job) = self.reading.front_mut() {
            let read = job.unread.min(chunk);
            job.unread -= read;
            chunk -= read;
            if job.unread > 0.0 {
                break;
            }
            self.writing.extend(self.reading.pop_front());
        }
        stepped.preempted = self.preempt();
        self.admit();
        let read = CHUNK_TOKENS.min(self.reading.iter().map(|job| job.unread).sum());
        let answers = STEP_MS_PER_RUN * self.writing.len() as f64;
        self.next_step += STEP_MS + answers + read / PROMPT_TOKENS_PER_MS;
        stepped
    }

    /// Drops copies and then the newest runs until the memory holds the rest.
    fn preempt(&mut self) -> u64 {
        let mut count = 0;
        while self.used() > self.memory {
            if self.backups.pop().is_some() {
                continue;
            }
            let Some(job) = self.writing.pop() else { break };
            self.waiting.push_front(Job { unread: job.tokens, ..job });
            count += 1;
        }
        count
    }

    fn admit(&mut self) {
        while let Some(job) = self.waiting.front() {
            let count = self.writing.len() + self.reading.len();
            let fits = self.used() + job.tokens + SPARE_TOKENS <= self.memory;
            if count >= self.slots || (!fits && count > 0) {
                return;
            }
            self.reading.extend(self.waiting.pop_front());
        }
    }
}
