//! An engine that batches continuously.
//!
//! It works in steps. Each step reads up to a fixed number of prompt tokens,
//! the most urgent first, and adds one token to every answer under way.

use std::{collections::BTreeMap, time::Duration};

use cyclamengauge_core::routing::PRIORITY_LEVELS;

use crate::model::PrefixCache;

/// Prompt tokens read in one step at most: about what fits the shortest step.
const STEP_TOKENS: u64 = 1_024;

/// Shortest step.
const SHORTEST_STEP: Duration = Duration::from_millis(20);

/// Time that one answer under way adds to a step.
const ANSWER_TIME: Duration = Duration::from_micros(100);

/// Share of the memory that prefixes may occupy.
const CACHE_SHARE: f64 = 0.4;

/// Number of a job on its engine, chosen by the owner of the engine.
pub type JobId = u64;

/// Size and speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Requests run at a time.
    pub slots: usize,
    /// KV memory, in tokens.
    pub memory_tokens: u64,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 50_000.0,
            slots: 64,
            memory_tokens: 450_000,
        }
    }
}

impl Spec {
    /// Busy time that a request costs an engine at least, without cache hits.
    pub fn work(&self, prompt_tokens: u64, output_tokens: u64) -> Duration {
        let reading = prompt_tokens as f64 / self.prefill_tokens_per_s;
        Duration::from_secs_f64(reading) + ANSWER_TIME * output_tokens as u32
    }
}

/// Work for an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// Prompt tokens to read.
    pub prompt: u64,
    /// Tokens to generate; none for a segment that is only read.
    pub output: u64,
    /// Tokens that the caller has already.
    pub resume_from: u64,
    /// KV memory to take; none if it was reserved before.
    pub memory: u64,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Leading parts with their length, shortest first.
    pub prefixes: Vec<(u64, u64)>,
    /// Whether reading it crashes the engine.
    pub poison: bool,
}

/// What a step produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// A token of a job's answer.
    Token {
        /// The job.
        job: JobId,
        /// Position in the answer.
        position: u64,
    },
    /// The job is over.
    Done {
        /// The job.
        job: JobId,
    },
    /// The engine crashed.
    Crashed,
}

/// A step: how long it takes and what it yields at its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its length.
    pub time: Duration,
    /// What it yields.
    pub outputs: Vec<Output>,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    unread: u64,
    produced: u64,
    /// Tokens read and generated, to account for waste.
    worked: u64,
}

/// The state of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    /// Waiting jobs by urgency and order of arrival.
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<Running>,
    reservations: BTreeMap<String, u64>,
    cache: PrefixCache,
    arrivals: u64,
    /// Tokens worked for jobs that ended whole.
    useful_tokens: u64,
    /// Tokens worked for jobs that were cancelled.
    wasted_tokens: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: Spec) -> Self {
        let cache_tokens = spec.memory_tokens as f64 * CACHE_SHARE;
        Self {
            spec,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            reservations: BTreeMap::new(),
            cache: PrefixCache::new(cache_tokens as u64),
            arrivals: 0,
            useful_tokens: 0,
            wasted_tokens: 0,
        }
    }

    /// Jobs that hold a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Jobs that wait for a slot or memory.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Jobs taken in since the start.
    pub fn submitted(&self) -> u64 {
        self.arrivals
    }

    /// Memory in use by jobs and reservations.
    pub fn reserved(&self) -> u64 {
        let jobs: u64 = self.running.iter().map(|r| r.job.memory).sum();
        let reserved: u64 = self.reservations.values().sum();
        jobs + reserved
    }

    /// Memory held by reservations alone.
    pub fn reservations(&self) -> &BTreeMap<String, u64> {
        &self.reservations
    }

    /// Size and speed.
    pub fn spec(&self) -> Spec {
        self.spec
    }

    /// The cache of prefixes.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Tokens worked for jobs that ended whole, and for others.
    pub fn worked(&self) -> (u64, u64) {
        (self.useful_tokens, self.wasted_tokens)
    }

    /// Prompt tokens to be read, by priority level.
    pub fn unread(&self) -> [u64; PRIORITY_LEVELS] {
        let mut levels = [0; PRIORITY_LEVELS];
        for running in &self.running {
            levels[level(running.job.priority)] += running.unread;
        }
        for job in self.waiting.values() {
            levels[level(job.priority)] += job.prompt;
        }
        levels
    }

    /// Takes a job in.
    pub fn submit(&mut self, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
    }

    /// Reserves memory under a name; false if there is too little.
    pub fn reserve(&mut self, name: &str, tokens: u64) -> bool {
        if self.reservations.contains_key(name) {
            return true;
        }
        if self.reserved() + tokens > self.spec.memory_tokens {
            return false;
        }
        self.reservations.insert(name.to_owned(), tokens);
        true
    }

    /// Gives reserved memory back; false if there was none of that name.
    pub fn release(&mut self, name: &str) -> bool {
        self.reservations.remove(name).is_some()
    }

    /// Cancels a job; false if it is not here.
    pub fn cancel(&mut self, id: JobId) -> bool {
        if let Some(at) = self.running.iter().position(|r| r.job.id == id) {
            let running = self.running.swap_remove(at);
            self.wasted_tokens += running.worked;
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|_, job| job.id != id);
        self.waiting.len() < before
    }

    /// Drops everything, as a crash does.
    pub fn crash(&mut self) {
        self.wasted_tokens += self.running.iter().map(|r| r.worked).sum::<u64>();
        self.running.clear();
        self.waiting.clear();
        self.reservations.clear();
        self.cache = PrefixCache::new((self.spec.memory_tokens as f64 * CACHE_SHARE) as u64);
    }

    /// Begins the next step; none if there is nothing to do.
    pub fn step(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let (read, crashed) = self.read();
        if crashed {
            return Some(Step {
                time: SHORTEST_STEP,
                outputs: vec![Output::Crashed],
            });
        }
        let (outputs, answers) = self.generate();
        let reading = Duration::from_secs_f64(read as f64 / self.spec.prefill_tokens_per_s);
        Some(Step {
            time: reading.max(SHORTEST_STEP) + ANSWER_TIME * answers,
            outputs,
        })
    }

    /// Moves waiting jobs into slots, the most urgent first.
    fn admit(&mut self) {
        while self.running.len() < self.spec.slots {
            let Some((key, job)) = self.waiting.first_key_value() else {
                return;
            };
            if self.reserved() + job.memory > self.spec.memory_tokens {
                return;
            }
            let key = *key;
            let Some(job) = self.waiting.remove(&key) else {
                return;
            };
            let cached = self.cache.hit(&job.prefixes);
            self.running.push(Running {
                unread: job.prompt.saturating_sub(cached).max(1),
                produced: job.resume_from,
                worked: 0,
                job,
            });
        }
    }

    /// Reads prompts; says how many tokens, and whether that crashed the engine.
    fn read(&mut self) -> (u64, bool) {
        let mut order: Vec<usize> = (0..self.running.len())
            .filter(|i| self.running[*i].unread > 0)
            .collect();
        order.sort_by_key(|i| self.running[*i].job.priority);
        let mut budget = STEP_TOKENS;
        for i in order {
            if budget == 0 {
                break;
            }
            let running = &mut self.running[i];
            if running.job.poison {
                return (0, true);
            }
            let tokens = running.unread.min(budget);
            running.unread -= tokens;
            running.worked += tokens;
            budget -= tokens;
            if running.unread == 0 {
                self.cache.store(&running.job.prefixes);
            }
        }
        (STEP_TOKENS - budget, false)
    }

    /// Adds a token to each answer whose prompt has been read.
    fn generate(&mut self) -> (Vec<Output>, u32) {
        let mut outputs = Vec::new();
        let mut answers = 0;
        for running in self.running.iter_mut().filter(|r| r.unread == 0) {
            let job = running.job.id;
            if running.produced < running.job.output {
                let position = running.produced;
                outputs.push(Output::Token { job, position });
                running.produced += 1;
                running.worked += 1;
                answers += 1;
            }
            if running.produced >= running.job.output {
                outputs.push(Output::Done { job });
                self.useful_tokens += running.worked;
            }
        }
        self.running
            .retain(|r| r.unread > 0 || r.produced < r.job.output);
        (outputs, answers)
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}
