//! Requests that several engines serve together.

use std::time::Duration;

use crate::{
    clock::Instant,
    request::Request,
    routing::{
        fleet::{Engine, Fleet, Policy},
        plan::{ChoiceReason, Plan, PlanError, SPLIT_FROM, Segment, free_memory},
    },
    units::{Tokens, TokensPerSecond},
};

/// Engines considered for a group.
const MAX_GROUP_CANDIDATES: usize = 64;

/// Most engines in a group, as a multiple of those that its memory needs.
const GROUP_SPREAD: usize = 3;

/// Share of an engine's memory from which a request is large for it.
const LARGE_SHARE: f64 = 0.4;

/// Most engines over which such a prompt is split.
const MAX_SPLIT: usize = 4;

/// Factor by which a split must be faster.
const SPLIT_GAIN: f64 = 1.3;

/// Reading that each further engine of a group adds, as a share of a segment.
const EXCHANGE_SHARE: f64 = 0.05;

/// Share of a member's memory that a group's segment may fill.
const SEGMENT_SHARE: f64 = 0.95;

impl Fleet {
    /// Time to first token if all engines were idle.
    pub fn min_time_to_first_token(&self, request: &Request) -> Duration {
        let open = self.routable.get(&request.model).into_iter().flatten();
        let rates = open.map(|index| self.engines[*index].facts.prefill_rate.0);
        let fastest = TokensPerSecond(rates.fold(1.0, f64::max));
        let size = match self.is_large(request) || request.prompt >= SPLIT_FROM {
            true => MAX_SPLIT,
            false => 1,
        };
        fastest.time_for(segment_tokens(request.prompt, size))
    }

    /// Spreads a request over as many engines as give the earliest first token,
    /// among those with room now.
    pub(super) fn plan_group(
        &mut self,
        request: &Request,
        now: Instant,
    ) -> Result<Plan, PlanError> {
        let open = self
            .routable
            .get(&request.model)
            .cloned()
            .unwrap_or_default();
        let usable_memory = |engine: &Engine| engine.facts.memory.0 as f64 * SEGMENT_SHARE;
        let capacity: f64 = open.iter().map(|i| usable_memory(&self.engines[*i])).sum();
        if capacity < request.memory().0 as f64 {
            return Err(PlanError::TooLong);
        }
        let largest = open
            .iter()
            .map(|i| usable_memory(&self.engines[*i]))
            .fold(1.0, f64::max);
        let least = (request.memory().0 as f64 / largest).ceil() as usize;
        let most = match self.settings.policy {
            Policy::LengthAware => (least * GROUP_SPREAD).min(open.len()),
            _ => least,
        };
        let best = self.best_group(request, least, most, now);
        best.ok_or(PlanError::NoFreeMemory)
    }

    /// The group of `least` to `most` engines with the earliest first token.
    fn best_group(
        &mut self,
        request: &Request,
        least: usize,
        most: usize,
        now: Instant,
    ) -> Option<Plan> {
        let mut best: Option<Plan> = None;
        for size in least..=most {
            let plan = self.plan_group_of(request, size, now);
            let better = |p: &Plan| best.as_ref().is_none_or(|b| p.estimate < b.estimate);
            if plan.as_ref().is_some_and(better) {
                best = plan;
            }
        }
        best
    }

    fn plan_group_of(&mut self, request: &Request, size: usize, now: Instant) -> Option<Plan> {
        let part = Tokens(request.memory().0.div_ceil(size as u64));
        let prefill_tokens = segment_tokens(request.prompt, size);
        let segment = Request {
            prompt: prefill_tokens,
            max_output: part - prefill_tokens.min(part),
            prefixes: Vec::new(),
            ..request.clone()
        };
        let mut candidates = self.candidates(&segment, MAX_GROUP_CANDIDATES, now);
        candidates.retain(|c| free_memory(&self.engines[c.engine]) >= part);
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let members = candidates.get(..size)?;
        let segments = members.iter().map(|member| Segment {
            engine: self.engines[member.engine].facts.id.clone(),
            memory: part,
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

    /// Splits a long prompt over several engines though one could hold it, if that
    /// gives the earlier first token.
    pub(super) fn split_if_faster(
        &mut self,
        request: &Request,
        single: Plan,
        now: Instant,
    ) -> Result<Plan, PlanError> {
        let most = MAX_SPLIT.min(self.routable_engine_count(&request.model));
        let split = self.best_group(request, 2, most, now);
        if self.is_large(request) {
            // On a single engine it would wait for nearly all the memory while
            // shorter requests keep taking it.
            let roomy = self.has_room(&single);
            return split
                .or(roomy.then_some(single))
                .ok_or(PlanError::NoFreeMemory);
        }
        let gains = |split: &Plan| split.estimate.mul_f64(SPLIT_GAIN) < single.estimate;
        Ok(split.filter(gains).unwrap_or(single))
    }

    fn is_large(&self, request: &Request) -> bool {
        let largest = self.largest_memory(&request.model);
        request.memory().0 as f64 > largest.0 as f64 * LARGE_SHARE
    }

    fn has_room(&self, plan: &Plan) -> bool {
        let room = |segment: &Segment| {
            let engine = self.engine(&segment.engine);
            engine.is_some_and(|engine| free_memory(engine) >= segment.memory)
        };
        plan.segments.iter().all(room)
    }
}

/// Prompt tokens that each of `size` engines reads: its part, and more for the
/// exchange with each of the others.
fn segment_tokens(prompt: Tokens, size: usize) -> Tokens {
    let part = prompt.0.div_ceil(size as u64) as f64;
    let exchange = 1.0 + EXCHANGE_SHARE * (size - 1) as f64;
    Tokens((part * exchange) as u64)
}
