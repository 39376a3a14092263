//! The measured mix of prompt lengths, and how many engines long ones need.

use std::time::Duration;

use crate::{
    clock::Instant,
    routing::load::{PRIORITY_LEVELS, Priority},
    units::{Tokens, TokensPerSecond},
};

/// Time over which the mix is averaged.
const WINDOW: Duration = Duration::from_secs(30);

/// Share of its engines that the long work is planned to use, 0 to 1.
const LONG_UTILISATION: f64 = 0.6;

/// Engines of the fleet that long prompts never claim as their own, 0 to 1.
const SHORT_FLOOR: f64 = 0.25;

/// First level that counts as long for the split.
pub const FIRST_LONG_LEVEL: usize = 5;

/// Exponentially averaged arrivals, in prompt tokens a second by level.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRates {
    rates: [f64; PRIORITY_LEVELS],
    updated_at: Instant,
    started_at: Option<Instant>,
}

impl ArrivalRates {
    /// Notes an arrival at this instance.
    pub fn arrived(&mut self, priority: Priority, prefill_tokens: Tokens, now: Instant) {
        self.decay(now);
        self.started_at.get_or_insert(now);
        self.rates[priority.index()] += prefill_tokens.0 as f64 / WINDOW.as_secs_f64();
    }

    /// Share of the fleet's speed taken by arrivals more urgent than `priority`.
    ///
    /// `instances` see about equal parts of the traffic, as the platform's
    /// balancer spreads it.
    pub fn share_above(
        &self,
        priority: Priority,
        fleet: TokensPerSecond,
        instances: u32,
        now: Instant,
    ) -> f64 {
        let rate: f64 = self.rates[..priority.index()].iter().sum();
        self.fleet_share(rate, fleet, instances, now)
    }

    /// Number of engines, of `engines` in the fleet, that long prompts need.
    pub fn long_engines(
        &self,
        engines: usize,
        fleet: TokensPerSecond,
        instances: u32,
        now: Instant,
    ) -> usize {
        let rate: f64 = self.rates[FIRST_LONG_LEVEL..].iter().sum();
        let share = self.fleet_share(rate, fleet, instances, now) / LONG_UTILISATION;
        let most = (engines as f64 * (1.0 - SHORT_FLOOR)).floor().max(1.0);
        let wanted = (engines as f64 * share).ceil();
        wanted.clamp(1.0, most) as usize
    }

    fn fleet_share(&self, rate: f64, fleet: TokensPerSecond, instances: u32, now: Instant) -> f64 {
        let total = rate * f64::from(instances.max(1)) * self.warm_up(now);
        total / fleet.0.max(1.0)
    }

    /// Corrects the average for the time since start being under the window.
    fn warm_up(&self, now: Instant) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let seen = (now - started_at).as_secs_f64() / WINDOW.as_secs_f64();
        1.0 / (1.0 - (-seen.max(0.03)).exp())
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = (now - self.updated_at).as_secs_f64();
        let factor = (-elapsed / WINDOW.as_secs_f64()).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= factor);
        self.updated_at = now;
    }
}
