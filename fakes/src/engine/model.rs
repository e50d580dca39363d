//! Simulation of the time and memory use of a model engine, as a state machine without I/O.
//!
//! The engine uses continuous batching: each step decodes one token for every running job and
//! prefills a bounded number of prompt tokens. Memory use grows with each token. When memory is
//! full, the engine preempts the job with the lowest priority, the most recent one of these, and
//! later recomputes its context.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Size and speed of a simulated engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelParameters {
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of concurrently running jobs.
    pub max_running: usize,
    /// Fixed time of a step, in milliseconds.
    pub base_ms: f64,
    /// Additional time of a step for each job that decodes, in milliseconds.
    pub answer_ms: f64,
    /// Additional time of a step for each context token, in milliseconds.
    pub context_ms: f64,
    /// Additional time of a step for each prefilled token, in milliseconds.
    pub prefill_ms: f64,
    /// Maximum number of tokens that one step prefills.
    pub prefill_chunk: u32,
    /// Factor on the time of every step; 1 for a healthy engine.
    pub slowness: f64,
}

impl Default for ModelParameters {
    fn default() -> Self {
        Self {
            memory_tokens: 40_000,
            max_running: 128,
            base_ms: 12.0,
            answer_ms: 0.30,
            context_ms: 0.000_3,
            prefill_ms: 0.02,
            prefill_chunk: 1_024,
            slowness: 1.0,
        }
    }
}

/// A request to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Unique id.
    pub id: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hash of the shared prefix of the prompt; 0 if there is none.
    pub prefix: u64,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u32,
    /// Length of the answer, in tokens; the system under test does not know it.
    pub length: u32,
    /// Jobs with a higher priority start first.
    pub priority: u8,
}

/// An output of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// A token of an answer.
    Token {
        /// The job.
        id: u64,
        /// Index of the token in the answer, from 0.
        index: u32,
    },
    /// An answer is complete.
    End {
        /// The job.
        id: u64,
    },
    /// A job was preempted.
    Preempted {
        /// The job.
        id: u64,
        /// Number of context tokens to recompute.
        tokens: u32,
    },
}

/// Size of a memory block.
const BLOCK_TOKENS: u64 = 16;

/// Blocks that must stay free when a job starts.
const WATERMARK_BLOCKS: u64 = 4;

#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    /// Tokens decoded so far.
    decoded: u32,
    /// Tokens to prefill before the next token can be decoded.
    to_prefill: u32,
    /// Position in the order of arrival.
    arrival: u64,
}

impl Sequence {
    fn context(&self) -> u64 {
        u64::from(self.job.prompt_tokens) + u64::from(self.decoded)
    }

    /// Blocks for the context and the next token, without those of the shared prefix.
    fn blocks(&self) -> u64 {
        (self.context() - u64::from(self.job.prefix_tokens) + 1).div_ceil(BLOCK_TOKENS)
    }
}

#[derive(Clone, Copy, Debug)]
struct Prefix {
    tokens: u32,
    /// Running jobs that use the prefix.
    users: u32,
    used_at_step: u64,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    parameters: ModelParameters,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    prefixes: HashMap<u64, Prefix>,
    steps: u64,
    arrivals: u64,
    preemptions: u64,
    prefix_hits: u64,
    prefix_misses: u64,
    last_step_ms: f64,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(parameters: ModelParameters) -> Self {
        Self {
            parameters,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefixes: HashMap::new(),
            steps: 0,
            arrivals: 0,
            preemptions: 0,
            prefix_hits: 0,
            prefix_misses: 0,
            last_step_ms: 0.0,
        }
    }

    /// Sets [`ModelParameters::slowness`].
    pub fn set_slowness(&mut self, slowness: f64) {
        self.parameters.slowness = slowness;
    }

    /// Adds a job to the queue.
    pub fn submit(&mut self, job: Job) {
        self.arrivals += 1;
        let to_prefill = job.prompt_tokens;
        let sequence = Sequence { job, decoded: 0, to_prefill, arrival: self.arrivals };
        self.enqueue(sequence);
    }

    /// Inserts into the queue, which is ordered by priority, then by arrival.
    fn enqueue(&mut self, sequence: Sequence) {
        let rank = |s: &Sequence| (std::cmp::Reverse(s.job.priority), s.arrival);
        let position = self.waiting.partition_point(|other| rank(other) < rank(&sequence));
        self.waiting.insert(position, sequence);
    }

    /// Removes a job, whether waiting or running.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|sequence| sequence.job.id != id);
        if let Some(position) = self.running.iter().position(|sequence| sequence.job.id == id) {
            let sequence = self.running.remove(position);
            self.release_prefix(&sequence);
        }
    }

    /// Whether no job is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Number of prompts whose prefix was in memory, and of those whose prefix was not.
    pub fn prefix_lookups(&self) -> (u64, u64) {
        (self.prefix_hits, self.prefix_misses)
    }

    /// Duration of the latest step, in milliseconds.
    pub fn last_step_ms(&self) -> f64 {
        self.last_step_ms
    }

    /// Memory used by running jobs, in tokens, without that of unused prefixes.
    pub fn used_tokens(&self) -> u64 {
        let own: u64 = self.running.iter().map(Sequence::blocks).sum();
        let shared: u64 = self.prefixes.values().filter(|p| p.users > 0).map(prefix_blocks).sum();
        (own + shared) * BLOCK_TOKENS
    }

    /// Hashes of the prefixes in memory.
    pub fn cached_prefixes(&self) -> impl Iterator<Item = u64> {
        self.prefixes.keys().copied()
    }

    fn total_blocks(&self) -> u64 {
        self.parameters.memory_tokens / BLOCK_TOKENS
    }

    fn free_blocks(&self) -> u64 {
        let own: u64 = self.running.iter().map(Sequence::blocks).sum();
        let shared: u64 = self.prefixes.values().map(prefix_blocks).sum();
        self.total_blocks().saturating_sub(own + shared)
    }

    /// Evicts unused prefixes, least recently used first, until `blocks` are free; returns whether
    /// they are.
    fn evict_prefixes(&mut self, blocks: u64) -> bool {
        while self.free_blocks() < blocks {
            let idle = self.prefixes.iter().filter(|(_, prefix)| prefix.users == 0);
            let Some((oldest, _)) = idle.min_by_key(|(id, p)| (p.used_at_step, **id)) else {
                return false;
            };
            let oldest = *oldest;
            self.prefixes.remove(&oldest);
        }
        true
    }

    /// Starts waiting jobs in order while they fit. If no job is running, the first one starts
    /// whether it fits or not.
    fn start_waiting_jobs(&mut self) {
        while self.running.len() < self.parameters.max_running {
            let Some(sequence) = self.waiting.front() else {
                return;
            };
            let prefix = sequence.job.prefix;
            let is_cached = self.prefixes.contains_key(&prefix);
            let mut needed = sequence.blocks() + WATERMARK_BLOCKS;
            if prefix != 0 && !is_cached {
                needed += u64::from(sequence.job.prefix_tokens).div_ceil(BLOCK_TOKENS);
            }
            // Counts the job as a user first, so that its own prefix is not evicted.
            if is_cached {
                self.touch_prefix(prefix, 1);
            }
            let fits = self.evict_prefixes(needed);
            if is_cached && !fits {
                self.touch_prefix(prefix, -1);
            }
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            if prefix != 0 {
                self.acquire_prefix(&mut sequence, is_cached);
            }
            self.running.push(sequence);
        }
    }

    /// Adds `user_change` to the users of a prefix and marks it as used in this step.
    fn touch_prefix(&mut self, prefix: u64, user_change: i32) {
        let step = self.steps;
        if let Some(prefix) = self.prefixes.get_mut(&prefix) {
            prefix.users = prefix.users.saturating_add_signed(user_change);
            prefix.used_at_step = step;
        }
    }

    fn acquire_prefix(&mut self, sequence: &mut Sequence, is_cached: bool) {
        if is_cached {
            self.prefix_hits += 1;
            sequence.to_prefill = sequence.to_prefill.saturating_sub(sequence.job.prefix_tokens);
            return;
        }
        self.prefix_misses += 1;
        let prefix =
            Prefix { tokens: sequence.job.prefix_tokens, users: 1, used_at_step: self.steps };
        self.prefixes.insert(sequence.job.prefix, prefix);
    }

    fn release_prefix(&mut self, sequence: &Sequence) {
        if sequence.job.prefix != 0 {
            self.touch_prefix(sequence.job.prefix, -1);
        }
    }

    /// Evicts prefixes, then preempts jobs, until a block is free or one job is left.
    fn free_block_for_step(&mut self, outputs: &mut Vec<Output>) {
        while self.free_blocks() == 0 && !self.evict_prefixes(1) && self.running.len() > 1 {
            let rank = |s: &Sequence| (std::cmp::Reverse(s.job.priority), s.arrival);
            let Some(position) = (0..self.running.len()).max_by_key(|p| rank(&self.running[*p]))
            else {
                return;
            };
            let mut sequence = self.running.remove(position);
            self.release_prefix(&sequence);
            self.preemptions += 1;
            let tokens = sequence.context() as u32;
            outputs.push(Output::Preempted { id: sequence.job.id, tokens });
            sequence.to_prefill = tokens;
            self.enqueue(sequence);
        }
    }

    /// Runs one step and appends its outputs; returns its duration in milliseconds.
    pub fn step(&mut self, outputs: &mut Vec<Output>) -> f64 {
        self.steps += 1;
        self.start_waiting_jobs();
        self.free_block_for_step(outputs);
        let prefilled = self.prefill();
        let decoding = self.running.iter().filter(|sequence| sequence.to_prefill == 0).count();
        let context: u64 = self.running.iter().map(Sequence::context).sum();
        let p = self.parameters;
        let ms = p.base_ms
            + p.answer_ms * decoding as f64
            + p.context_ms * context as f64
            + p.prefill_ms * f64::from(prefilled);
        self.decode(outputs);
        self.last_step_ms = ms * p.slowness;
        self.last_step_ms
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.parameters.prefill_chunk;
        for sequence in &mut self.running {
            let chunk = sequence.to_prefill.min(budget);
            sequence.to_prefill -= chunk;
            budget -= chunk;
        }
        self.parameters.prefill_chunk - budget
    }

    fn decode(&mut self, outputs: &mut Vec<Output>) {
        let mut ended = Vec::new();
        for sequence in &mut self.running {
            if sequence.to_prefill > 0 {
                continue;
            }
            if sequence.decoded < sequence.job.length {
                outputs.push(Output::Token { id: sequence.job.id, index: sequence.decoded });
                sequence.decoded += 1;
            }
            if sequence.decoded >= sequence.job.length {
                outputs.push(Output::End { id: sequence.job.id });
                ended.push(sequence.job.id);
            }
        }
        for id in ended {
            self.cancel(id);
        }
    }
}

fn prefix_blocks(prefix: &Prefix) -> u64 {
    u64::from(prefix.tokens).div_ceil(BLOCK_TOKENS)
}
