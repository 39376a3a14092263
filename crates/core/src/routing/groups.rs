//! Plans of requests that a group of engines serves.

use std::time::Duration;

use crate::{
    clock::Instant,
    request::Request,
    routing::{
        fleet::{Engine, Fleet, Policy},
        plan::{ChoiceReason, MIN_SPLIT_PROMPT, Plan, PlanError, Segment, free_memory},
    },
    units::{Tokens, TokensPerSecond},
};

/// Maximum number of engines considered for a group.
const MAX_GROUP_CANDIDATES: usize = 64;

/// Maximum size of a group, as a multiple of the number of engines that the request's
/// memory needs.
const MAX_GROUP_SIZE_FACTOR: usize = 3;

/// Share of the largest engine's memory above which a request is large.
const LARGE_REQUEST_MEMORY_SHARE: f64 = 0.4;

/// Maximum number of engines over which a prompt is split if one engine could hold it.
const MAX_SPLIT_ENGINES: usize = 4;

/// Minimum ratio of the time to first token on one engine to that of a split.
const MIN_SPLIT_SPEEDUP: f64 = 1.3;

/// Additional prefill for the exchange with each further engine of a group, as a share of
/// a segment.
const EXCHANGE_OVERHEAD_SHARE: f64 = 0.05;

/// Share of an engine's memory that a segment may use.
const MAX_SEGMENT_MEMORY_SHARE: f64 = 0.95;

impl Fleet {
    /// Time to first token if all engines were idle, without network delay.
    pub fn min_time_to_first_token(&self, request: &Request) -> Duration {
        let routable = self.routable.get(&request.model).into_iter().flatten();
        let prefill_rates = routable.map(|index| self.engines[*index].facts.prefill_rate.0);
        let fastest = TokensPerSecond(prefill_rates.fold(1.0, f64::max));
        let engine_count = match self.is_large(request) || request.prompt >= MIN_SPLIT_PROMPT {
            true => MAX_SPLIT_ENGINES,
            false => 1,
        };
        fastest.time_for(segment_prefill_tokens(request.prompt, engine_count))
    }

    /// Plans a request on the group of engines with free memory that gives the earliest
    /// first token.
    pub(super) fn plan_group(
        &mut self,
        request: &Request,
        now: Instant,
    ) -> Result<Plan, PlanError> {
        let routable = self
            .routable
            .get(&request.model)
            .cloned()
            .unwrap_or_default();
        let allocatable_memory =
            |engine: &Engine| engine.facts.memory.0 as f64 * MAX_SEGMENT_MEMORY_SHARE;
        let total_memory: f64 = routable
            .iter()
            .map(|i| allocatable_memory(&self.engines[*i]))
            .sum();
        if total_memory < request.memory().0 as f64 {
            return Err(PlanError::TooLong);
        }
        let largest = routable
            .iter()
            .map(|i| allocatable_memory(&self.engines[*i]))
            .fold(1.0, f64::max);
        let min_size = (request.memory().0 as f64 / largest).ceil() as usize;
        let max_size = match self.settings.policy {
            Policy::LengthAware => (min_size * MAX_GROUP_SIZE_FACTOR).min(routable.len()),
            _ => min_size,
        };
        let best = self.best_group(request, min_size, max_size, now);
        best.ok_or(PlanError::NoFreeMemory)
    }

    /// Plan with the earliest first token for a group of `min_size` to `max_size` engines.
    fn best_group(
        &mut self,
        request: &Request,
        min_size: usize,
        max_size: usize,
        now: Instant,
    ) -> Option<Plan> {
        let mut best: Option<Plan> = None;
        for size in min_size..=max_size {
            let plan = self.plan_group_of_size(request, size, now);
            let is_faster = |p: &Plan| best.as_ref().is_none_or(|b| p.estimate < b.estimate);
            if plan.as_ref().is_some_and(is_faster) {
                best = plan;
            }
        }
        best
    }

    fn plan_group_of_size(&mut self, request: &Request, size: usize, now: Instant) -> Option<Plan> {
        let segment_memory = Tokens(request.memory().0.div_ceil(size as u64));
        let prefill_tokens = segment_prefill_tokens(request.prompt, size);
        let segment = Request {
            prompt: prefill_tokens,
            max_output: segment_memory - prefill_tokens.min(segment_memory),
            prefixes: Vec::new(),
            ..request.clone()
        };
        let mut candidates = self.candidates(&segment, MAX_GROUP_CANDIDATES, now);
        candidates.retain(|c| free_memory(&self.engines[c.engine]) >= segment_memory);
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let members = candidates.get(..size)?;
        let segments = members.iter().map(|member| Segment {
            engine: self.engines[member.engine].facts.id.clone(),
            memory: segment_memory,
            prefill_tokens,
        });
        let slowest = members.iter().map(|member| member.estimate).max();
        Some(Plan {
            segments: segments.collect(),
            priority: self.priority(prefill_tokens),
            estimate: slowest.unwrap_or_default(),
            cached: Tokens(0),
            choice: ChoiceReason::Group,
            runners_up: Vec::new(),
        })
    }

    /// Splits a prompt that one engine could hold over several engines if that is faster
    /// by the factor `MIN_SPLIT_SPEEDUP`. Large requests are split whenever possible.
    pub(super) fn split_if_faster(
        &mut self,
        request: &Request,
        single: Plan,
        now: Instant,
    ) -> Result<Plan, PlanError> {
        let max_size = MAX_SPLIT_ENGINES.min(self.routable_engine_count(&request.model));
        let split = self.best_group(request, 2, max_size, now);
        if self.is_large(request) {
            // On a single engine the request would have to wait for nearly all of the
            // memory, which shorter requests keep allocating.
            let has_memory = self.has_free_memory(&single);
            return split
                .or(has_memory.then_some(single))
                .ok_or(PlanError::NoFreeMemory);
        }
        let exceeds_min_speedup =
            |split: &Plan| split.estimate.mul_f64(MIN_SPLIT_SPEEDUP) < single.estimate;
        Ok(split.filter(exceeds_min_speedup).unwrap_or(single))
    }

    fn is_large(&self, request: &Request) -> bool {
        let largest = self.largest_memory(&request.model);
        request.memory().0 as f64 > largest.0 as f64 * LARGE_REQUEST_MEMORY_SHARE
    }

    fn has_free_memory(&self, plan: &Plan) -> bool {
        let has_segment_memory = |segment: &Segment| {
            let engine = self.engine(&segment.engine);
            engine.is_some_and(|engine| free_memory(engine) >= segment.memory)
        };
        plan.segments.iter().all(has_segment_memory)
    }
}

/// Prefill tokens of each of `size` engines: its share of the prompt, and the additional
/// prefill for the exchange with each of the other engines.
fn segment_prefill_tokens(prompt: Tokens, size: usize) -> Tokens {
    let share = prompt.0.div_ceil(size as u64) as f64;
    let overhead_factor = 1.0 + EXCHANGE_OVERHEAD_SHARE * (size - 1) as f64;
    Tokens((share * overhead_factor) as u64)
}
