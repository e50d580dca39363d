//! How a model engine spends its time and memory, as a state machine without I/O.
//!
//! It batches continuously: each step decodes one token for every running answer and prefills a
//! bounded number of prompt tokens. Memory grows with each token; when it is full, the answer
//! with the lowest priority that came last is preempted and later computed anew.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Size and speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelParameters {
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Answers that run at once.
    pub max_running: usize,
    /// Time of a step that decodes nothing, in milliseconds.
    pub base_ms: f64,
    /// Time added by each running answer, in milliseconds.
    pub answer_ms: f64,
    /// Time added by each token of context, in milliseconds.
    pub context_ms: f64,
    /// Time added by each prompt token that is prefilled, in milliseconds.
    pub prefill_ms: f64,
    /// Prompt tokens that one step prefills.
    pub prefill_chunk: u32,
    /// Slows every step; 1 for a healthy engine.
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
    /// Its number.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash of the shared part of the prompt; zero for none.
    pub prefix: u64,
    /// Tokens of that part.
    pub prefix_tokens: u32,
    /// Tokens that the answer will have; unknown to the system.
    pub length: u32,
    /// Higher goes first.
    pub priority: u8,
}

/// What a step produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// A token of an answer.
    Token {
        /// The job.
        id: u64,
        /// The token's place, from 0.
        index: u32,
    },
    /// An answer is complete.
    End {
        /// The job.
        id: u64,
    },
    /// An answer was preempted.
    Preempted {
        /// The job.
        id: u64,
        /// Tokens of context that have to be computed anew.
        tokens: u32,
    },
}

/// Tokens in one block of memory.
const BLOCK_TOKENS: u64 = 16;

/// Blocks kept free when a job starts.
const WATERMARK_BLOCKS: u64 = 4;

#[derive(Clone, Debug)]
struct Slot {
    job: Job,
    written: u32,
    /// Tokens still to be prefilled before the next token.
    to_prefill: u32,
    order: u64,
}

impl Slot {
    fn context(&self) -> u64 {
        u64::from(self.job.prompt_tokens) + u64::from(self.written)
    }

    /// Blocks of its own, without the shared prefix.
    fn blocks(&self) -> u64 {
        (self.context() - u64::from(self.job.prefix_tokens) + 1).div_ceil(BLOCK_TOKENS)
    }
}

#[derive(Clone, Copy, Debug)]
struct Prefix {
    tokens: u32,
    users: u32,
    used_at_step: u64,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    parameters: ModelParameters,
    waiting: VecDeque<Slot>,
    running: Vec<Slot>,
    prefixes: HashMap<u64, Prefix>,
    steps: u64,
    order: u64,
    preemptions: u64,
    prefix_hits: u64,
    prefix_misses: u64,
    last_step_ms: f64,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(parameters: ModelParameters) -> Self {
        Self {
            parameters,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefixes: HashMap::new(),
            steps: 0,
            order: 0,
            preemptions: 0,
            prefix_hits: 0,
            prefix_misses: 0,
            last_step_ms: 0.0,
        }
    }

    /// Slows the engine down or brings it back to its speed.
    pub fn set_slowness(&mut self, slowness: f64) {
        self.parameters.slowness = slowness;
    }

    /// Takes a job.
    pub fn submit(&mut self, job: Job) {
        self.order += 1;
        let to_prefill = job.prompt_tokens;
        let slot = Slot { job, written: 0, to_prefill, order: self.order };
        self.enqueue(slot);
    }

    /// Keeps the queue in order of priority and arrival.
    fn enqueue(&mut self, slot: Slot) {
        let rank = |s: &Slot| (std::cmp::Reverse(s.job.priority), s.order);
        let place = self.waiting.partition_point(|other| rank(other) < rank(&slot));
        self.waiting.insert(place, slot);
    }

    /// Drops a job.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|slot| slot.job.id != id);
        if let Some(place) = self.running.iter().position(|slot| slot.job.id == id) {
            let slot = self.running.remove(place);
            self.leave_prefix(&slot);
        }
    }

    /// Whether nothing is to be done.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Answers that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Prompts whose prefix was in memory, and those whose prefix was not.
    pub fn prefix_lookups(&self) -> (u64, u64) {
        (self.prefix_hits, self.prefix_misses)
    }

    /// Time of the latest step, in milliseconds.
    pub fn last_step_ms(&self) -> f64 {
        self.last_step_ms
    }

    /// Memory in use by answers, in tokens; idle prefixes do not count.
    pub fn used_tokens(&self) -> u64 {
        let own: u64 = self.running.iter().map(Slot::blocks).sum();
        let shared: u64 = self.prefixes.values().filter(|p| p.users > 0).map(prefix_blocks).sum();
        (own + shared) * BLOCK_TOKENS
    }

    /// Prefixes in memory.
    pub fn cached_prefixes(&self) -> impl Iterator<Item = u64> {
        self.prefixes.keys().copied()
    }

    fn total_blocks(&self) -> u64 {
        self.parameters.memory_tokens / BLOCK_TOKENS
    }

    fn free_blocks(&self) -> u64 {
        let own: u64 = self.running.iter().map(Slot::blocks).sum();
        let shared: u64 = self.prefixes.values().map(prefix_blocks).sum();
        self.total_blocks().saturating_sub(own + shared)
    }

    /// Frees idle prefixes, oldest first, until `blocks` are free.
    fn make_room(&mut self, blocks: u64) -> bool {
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

    fn start_waiting(&mut self) {
        while self.running.len() < self.parameters.max_running {
            let Some(slot) = self.waiting.front() else {
                return;
            };
            let prefix = slot.job.prefix;
            let is_cached = self.prefixes.contains_key(&prefix);
            let mut needed = slot.blocks() + WATERMARK_BLOCKS;
            if prefix != 0 && !is_cached {
                needed += u64::from(slot.job.prefix_tokens).div_ceil(BLOCK_TOKENS);
            }
            if is_cached {
                self.touch_prefix(prefix, 1);
            }
            let fits = self.make_room(needed);
            if is_cached && !fits {
                self.touch_prefix(prefix, -1);
            }
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some(mut slot) = self.waiting.pop_front() else {
                return;
            };
            if prefix != 0 {
                self.enter_prefix(&mut slot, is_cached);
            }
            self.running.push(slot);
        }
    }

    fn touch_prefix(&mut self, prefix: u64, users: i32) {
        let step = self.steps;
        if let Some(prefix) = self.prefixes.get_mut(&prefix) {
            prefix.users = prefix.users.saturating_add_signed(users);
            prefix.used_at_step = step;
        }
    }

    fn enter_prefix(&mut self, slot: &mut Slot, is_cached: bool) {
        if is_cached {
            self.prefix_hits += 1;
            slot.to_prefill = slot.to_prefill.saturating_sub(slot.job.prefix_tokens);
            return;
        }
        self.prefix_misses += 1;
        let prefix = Prefix { tokens: slot.job.prefix_tokens, users: 1, used_at_step: self.steps };
        self.prefixes.insert(slot.job.prefix, prefix);
    }

    fn leave_prefix(&mut self, slot: &Slot) {
        if slot.job.prefix != 0 {
            self.touch_prefix(slot.job.prefix, -1);
        }
    }

    /// Preempts answers until each running one has room for its next token.
    fn make_room_for_step(&mut self, outputs: &mut Vec<Output>) {
        while self.free_blocks() == 0 && !self.make_room(1) && self.running.len() > 1 {
            let rank = |s: &Slot| (std::cmp::Reverse(s.job.priority), s.order);
            let Some(place) = (0..self.running.len()).max_by_key(|p| rank(&self.running[*p]))
            else {
                return;
            };
            let mut slot = self.running.remove(place);
            self.leave_prefix(&slot);
            self.preemptions += 1;
            let tokens = slot.context() as u32;
            outputs.push(Output::Preempted { id: slot.job.id, tokens });
            slot.to_prefill = tokens;
            self.enqueue(slot);
        }
    }

    /// Runs one step; returns its time in milliseconds and adds what it produced.
    pub fn step(&mut self, outputs: &mut Vec<Output>) -> f64 {
        self.steps += 1;
        self.start_waiting();
        self.make_room_for_step(outputs);
        let prefilled = self.prefill();
        let decoding = self.running.iter().filter(|slot| slot.to_prefill == 0).count();
        let context: u64 = self.running.iter().map(Slot::context).sum();
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
        for slot in &mut self.running {
            let part = slot.to_prefill.min(budget);
            slot.to_prefill -= part;
            budget -= part;
        }
        self.parameters.prefill_chunk - budget
    }

    fn decode(&mut self, outputs: &mut Vec<Output>) {
        let mut ended = Vec::new();
        for slot in &mut self.running {
            if slot.to_prefill > 0 {
                continue;
            }
            if slot.written < slot.job.length {
                outputs.push(Output::Token { id: slot.job.id, index: slot.written });
                slot.written += 1;
            }
            if slot.written >= slot.job.length {
                outputs.push(Output::End { id: slot.job.id });
                ended.push(slot.job.id);
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
