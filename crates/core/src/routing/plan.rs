//! The choice of an engine, or of a group of engines, for one request.

use std::time::Duration;

use crate::{
    clock::Instant,
    ids::EngineId,
    request::Request,
    routing::{
        arrival_rates::FIRST_LONG_LEVEL,
        fleet::{Engine, Fleet, Policy},
        load::{Backlog, Priority},
        prefix_index::EngineIndex,
    },
    units::{Tokens, TokensPerSecond},
};

/// Shortest prompt that is split though one engine could hold it.
pub(super) const SPLIT_FROM: Tokens = Tokens(100_000);

/// Engines considered for one decision; more are sampled down to this number,
/// which keeps the cost of a decision level as the fleet grows.
const MAX_CANDIDATES: usize = 32;

/// Prompt tokens that an engine reads in one step; a request waits for the
/// step in progress whatever its priority.
const STEP: Tokens = Tokens(1_024);

/// Mean time for which a request holds its slot.
const MEAN_STREAM: Duration = Duration::from_secs(4);

/// Wait assumed on an engine without memory for the request.
const MEMORY_WAIT: Duration = Duration::from_secs(8);

/// Most of an engine's speed that more urgent arrivals are assumed to take.
const MAX_SHARE_ABOVE: f64 = 0.95;

/// Estimates this close count as equal.
const TOLERANCE: Duration = Duration::from_millis(4);

/// Share of its own reading time that a long prompt must gain before it goes
/// to an engine outside the long ones' own, at a short weight of 1.
const SPILL_SHARE: f64 = 0.1;

/// Time that a short request must gain on an engine which another instance
/// prefers. Reports are stale; instances that come to different engines first
/// collide less.
const PREFERENCE: Duration = Duration::from_millis(20);

/// Alternatives named in the log.
const RUNNERS_UP: usize = 2;

/// Why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It gives the earliest first token.
    Earliest,
    /// It caches part of the prompt and gives the earliest first token.
    Cached,
    /// It belongs to the engines kept for long prompts.
    LongPool,
    /// No single engine has the memory, so a group serves the request.
    Group,
    /// The request is suspected of crashing engines and runs alone.
    Isolated,
    /// The next in turn, by a baseline policy.
    Turn,
    /// The least loaded, by a baseline policy.
    LeastLoaded,
    /// Drawn at random, by a baseline policy.
    Drawn,
}

impl std::fmt::Display for ChoiceReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Earliest => "earliest",
            Self::Cached => "cached",
            Self::LongPool => "long-home",
            Self::Group => "group",
            Self::Isolated => "isolated",
            Self::Turn => "turn",
            Self::LeastLoaded => "least",
            Self::Drawn => "drawn",
        })
    }
}

crate::data_types! {
    /// Part of a request's memory on one engine.
    pub struct Segment {
        /// The engine.
        pub engine: EngineId,
        /// KV memory for the segment.
        pub memory: Tokens,
        /// Prompt tokens to be read there.
        pub prefill_tokens: Tokens,
    }

    /// Where a request is to run.
    ///
    /// Invariant: `segments` is not empty, names each engine once, and its
    /// memory sums to at least the request's.
    pub struct Plan {
        /// One segment, or several for a prompt larger than an engine. The
        /// first engine leads: it generates the answer.
        pub segments: Vec<Segment>,
        /// Priority on the engines.
        pub priority: Priority,
        /// Estimated time to first token.
        pub estimate: Duration,
        /// Prompt tokens expected in the lead engine's cache.
        pub cached: Tokens,
        /// Why this engine.
        pub choice: ChoiceReason,
        /// The next best engines with their estimates.
        pub runners_up: Vec<(EngineId, Duration)>,
    }
}

/// Why no plan could be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// No open engine serves the model.
    NoEngine,
    /// All engines together lack the memory, even when idle.
    TooLong,
    /// A group is needed and too few engines have room now.
    NoFreeMemory,
}

/// One engine under consideration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) engine: EngineIndex,
    cached: Tokens,
    pub(super) estimate: Duration,
    /// What the policy minimises, in seconds for the length-aware one.
    pub(super) cost: f64,
}

impl Fleet {
    /// Decides where a request runs. Nothing is noted as sent by that.
    ///
    /// # Errors
    ///
    /// If no engine, or no group of engines, can take the request.
    pub fn plan(&mut self, request: &Request, now: Instant) -> Result<Plan, PlanError> {
        let open = self.routable_engine_count(&request.model);
        if open == 0 {
            return Err(PlanError::NoEngine);
        }
        if request.memory() > self.largest_memory(&request.model) {
            return self.plan_group(request, now);
        }
        let mut candidates = self.candidates(request, MAX_CANDIDATES, now);
        candidates.retain(|c| self.engines[c.engine].facts.memory >= request.memory());
        let single = self.pick(request, candidates)?;
        if self.settings.policy != Policy::LengthAware || request.prompt < SPLIT_FROM {
            return Ok(single);
        }
        self.split_if_faster(request, single, now)
    }

    /// Notes an admitted request in the measured mix, with what its plan
    /// expects engines to read.
    pub fn record_admission(&mut self, request: &Request, plan: Option<&Plan>, now: Instant) {
        let planned = plan.map(|plan| plan.segments.iter().map(|s| s.prefill_tokens).sum());
        let prefill_tokens: Tokens = planned.unwrap_or(request.prompt);
        self.mix
            .arrived(Priority::for_prefill(prefill_tokens), prefill_tokens, now);
    }

    /// Plans a suspect's run on an engine that it has to itself.
    pub fn plan_isolated(&self, request: &Request, engine: &EngineId) -> Plan {
        let segment = Segment {
            engine: engine.clone(),
            memory: request.memory(),
            prefill_tokens: request.prompt,
        };
        Plan {
            segments: vec![segment],
            priority: Priority::for_prefill(request.prompt),
            estimate: Duration::ZERO,
            cached: Tokens(0),
            choice: ChoiceReason::Isolated,
            runners_up: Vec::new(),
        }
    }

    fn pick(
        &mut self,
        request: &Request,
        mut candidates: Vec<Candidate>,
    ) -> Result<Plan, PlanError> {
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let best = *candidates.first().ok_or(PlanError::NoFreeMemory)?;
        let chosen = match self.settings.policy {
            Policy::LengthAware => self.among_equals(&candidates),
            _ => best,
        };
        let runners_up = candidates
            .iter()
            .filter(|other| other.engine != chosen.engine)
            .take(RUNNERS_UP)
            .map(|other| (self.engines[other.engine].facts.id.clone(), other.estimate))
            .collect();
        let prefill_tokens = request.prompt - chosen.cached;
        Ok(Plan {
            segments: vec![Segment {
                engine: self.engines[chosen.engine].facts.id.clone(),
                memory: request.memory(),
                prefill_tokens,
            }],
            priority: self.priority(prefill_tokens),
            estimate: chosen.estimate,
            cached: chosen.cached,
            choice: self.choice(&chosen, prefill_tokens),
            runners_up,
        })
    }

    /// Instances with the same stale view would all take the same engine; a
    /// random choice among near equals spreads them.
    fn among_equals(&mut self, sorted: &[Candidate]) -> Candidate {
        let limit = sorted[0].cost + TOLERANCE.as_secs_f64();
        let equals = sorted.iter().take_while(|c| c.cost <= limit).count();
        sorted[self.rng.usize(..equals)]
    }

    pub(super) fn priority(&self, prefill_tokens: Tokens) -> Priority {
        match self.settings.policy {
            Policy::LengthAware => Priority::for_prefill(prefill_tokens),
            _ => Priority(0),
        }
    }

    fn choice(&self, chosen: &Candidate, prefill_tokens: Tokens) -> ChoiceReason {
        let long = Priority::for_prefill(prefill_tokens).index() >= FIRST_LONG_LEVEL;
        match self.settings.policy {
            Policy::LengthAware if chosen.cached.0 > 0 => ChoiceReason::Cached,
            Policy::LengthAware if long && self.engines[chosen.engine].in_long_pool => {
                ChoiceReason::LongPool
            }
            Policy::LengthAware => ChoiceReason::Earliest,
            Policy::RoundRobin => ChoiceReason::Turn,
            Policy::Random => ChoiceReason::Drawn,
            Policy::LeastRequests | Policy::LeastTokens => ChoiceReason::LeastLoaded,
        }
    }

    pub(super) fn candidates(
        &mut self,
        request: &Request,
        most: usize,
        now: Instant,
    ) -> Vec<Candidate> {
        let open = self
            .routable
            .get(&request.model)
            .cloned()
            .unwrap_or_default();
        match self.settings.policy {
            Policy::LengthAware => self.length_aware(request, &open, most, now),
            policy => self.baseline(policy, request, &open, now),
        }
    }

    fn baseline(
        &mut self,
        policy: Policy,
        request: &Request,
        open: &[EngineIndex],
        now: Instant,
    ) -> Vec<Candidate> {
        self.round_robin_counter += 1;
        let turn = self.round_robin_counter;
        let count = open.len();
        let mut candidates = Vec::with_capacity(count);
        for (position, index) in open.iter().enumerate() {
            let engine = &self.engines[*index];
            let backlog = engine.load.backlog(now, engine.facts.prefill_rate);
            let cost = match policy {
                Policy::RoundRobin => ((position + count - turn % count) % count) as f64,
                Policy::Random => self.rng.f64(),
                Policy::LeastTokens => backlog.total() + self.rng.f64(),
                _ => f64::from(engine.load.requests()) + self.rng.f64(),
            };
            let wait =
                engine.facts.prefill_rate.0.recip() * (backlog.total() + request.prompt.0 as f64);
            candidates.push(Candidate {
                engine: *index,
                cached: Tokens(0),
                estimate: Duration::from_secs_f64(wait),
                cost,
            });
        }
        candidates
    }

    fn length_aware(
        &mut self,
        request: &Request,
        open: &[EngineIndex],
        most: usize,
        now: Instant,
    ) -> Vec<Candidate> {
        let cached = self.index.lookup(&request.prefixes);
        let mut sampled = self.sample(open, most);
        for (engine, _) in &cached {
            let routable = self.engines[*engine].usable && !self.engines[*engine].isolated;
            let serves = self.engines[*engine].facts.model == request.model;
            if routable && serves && !sampled.contains(engine) {
                sampled.push(*engine);
            }
        }
        let speed = self.speed_of(open);
        sampled
            .into_iter()
            .map(|engine| {
                let known = cached.iter().find(|(holder, _)| *holder == engine);
                let hit = known.map_or(Tokens(0), |(_, tokens)| *tokens);
                let share = self.share_above(request.prompt - hit, speed, now);
                self.estimate(request, engine, hit, share, now)
            })
            .collect()
    }

    /// A mean is enough here, and its cost does not grow with the fleet.
    fn speed_of(&self, open: &[EngineIndex]) -> f64 {
        let probe = &open[..open.len().min(MAX_CANDIDATES)];
        let sum: f64 = probe
            .iter()
            .map(|i| self.engines[*i].facts.prefill_rate.0)
            .sum();
        sum / probe.len().max(1) as f64 * open.len() as f64
    }

    fn share_above(&self, prefill_tokens: Tokens, speed: f64, now: Instant) -> f64 {
        let fleet = TokensPerSecond(speed);
        let priority = Priority::for_prefill(prefill_tokens);
        let share = self
            .mix
            .share_above(priority, fleet, self.settings.instances, now);
        share.min(MAX_SHARE_ABOVE)
    }

    fn sample(&mut self, open: &[EngineIndex], most: usize) -> Vec<EngineIndex> {
        if open.len() <= most {
            return open.to_vec();
        }
        let mut sampled = Vec::with_capacity(most + 4);
        while sampled.len() < most {
            let drawn = open[self.rng.usize(..open.len())];
            if !sampled.contains(&drawn) {
                sampled.push(drawn);
            }
        }
        sampled
    }

    fn estimate(
        &self,
        request: &Request,
        index: EngineIndex,
        cached: Tokens,
        share_above: f64,
        now: Instant,
    ) -> Candidate {
        let engine = &self.engines[index];
        let prefill_tokens = request.prompt - cached;
        let priority = Priority::for_prefill(prefill_tokens);
        let backlog = engine.load.backlog(now, engine.facts.prefill_rate);
        let rate = engine.facts.prefill_rate.0;
        let reading =
            (backlog.ahead_of(priority) + prefill_tokens.0 as f64) / rate / (1.0 - share_above);
        let step = step_wait(&backlog, priority, rate);
        let estimate = reading
            + step
            + 2.0 * engine.facts.network_delay.as_secs_f64()
            + slot_wait(engine)
            + memory_wait(engine, request.memory());
        let cost = estimate + self.interference(engine, priority, prefill_tokens, step);
        Candidate {
            engine: index,
            cached,
            estimate: Duration::from_secs_f64(estimate),
            cost,
        }
    }

    /// What the choice costs others, in seconds: long prompts outside their own
    /// engines hold up the short ones there, and short ones among the long hold
    /// up those.
    fn interference(
        &self,
        engine: &Engine,
        priority: Priority,
        prefill_tokens: Tokens,
        step: f64,
    ) -> f64 {
        let weight = self.settings.short_weight;
        if priority.index() >= FIRST_LONG_LEVEL {
            if engine.in_long_pool {
                return 0.0;
            }
            return weight * SPILL_SHARE * prefill_tokens.0 as f64 / engine.facts.prefill_rate.0;
        }
        let elsewhere = if engine.preferred {
            0.0
        } else {
            PREFERENCE.as_secs_f64()
        };
        weight * step + elsewhere
    }
}

pub(super) fn free_memory(engine: &Engine) -> Tokens {
    engine.facts.memory - engine.load.reserved()
}

/// Expected rest of the step in progress when less urgent work is running.
fn step_wait(backlog: &Backlog, priority: Priority, rate: f64) -> f64 {
    let behind = backlog.behind(priority).min(STEP.0 as f64);
    behind / rate / 2.0
}

fn slot_wait(engine: &Engine) -> f64 {
    let requests = engine.load.requests();
    let over = (requests + 1).saturating_sub(engine.facts.slots);
    f64::from(over) * MEAN_STREAM.as_secs_f64() / f64::from(engine.facts.slots.max(1))
}

fn memory_wait(engine: &Engine, memory: Tokens) -> f64 {
    let free = free_memory(engine);
    if free >= memory {
        return 0.0;
    }
    let missing = (memory - free).0 as f64 / engine.facts.memory.0.max(1) as f64;
    MEMORY_WAIT.as_secs_f64() * missing.min(1.0)
}
