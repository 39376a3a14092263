//! Arrival rates by priority level, and the size of the engine pool for long prompts.

use std::time::Duration;

use crate::{
    clock::Instant,
    routing::load::{PRIORITY_LEVELS, Priority},
    units::{Tokens, TokensPerSecond},
};

/// Time constant of the average.
const AVERAGING_WINDOW: Duration = Duration::from_secs(30);

/// Planned utilisation of the engines in the long pool, 0 to 1.
const LONG_POOL_UTILISATION: f64 = 0.6;

/// Smallest share of the fleet's engines that stays outside the long pool, 0 to 1.
const MIN_SHORT_ENGINE_SHARE: f64 = 0.25;

/// First priority level of long prompts.
pub const FIRST_LONG_LEVEL: usize = 5;

/// Exponentially averaged arrivals at this instance, in prefill tokens per second by
/// priority level.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRates {
    rates: [f64; PRIORITY_LEVELS],
    updated_at: Instant,
    first_arrival_at: Option<Instant>,
}

impl ArrivalRates {
    /// Adds an arrival at this instance.
    pub fn record_arrival(&mut self, priority: Priority, prefill_tokens: Tokens, now: Instant) {
        self.decay(now);
        self.first_arrival_at.get_or_insert(now);
        self.rates[priority.index()] += prefill_tokens.0 as f64 / AVERAGING_WINDOW.as_secs_f64();
    }

    /// Share of the fleet's prefill rate that arrivals more urgent than `priority` use.
    ///
    /// The platform's load balancer spreads the traffic about evenly over `instances`,
    /// so the rates of this instance are multiplied by their number.
    pub fn more_urgent_share(
        &self,
        priority: Priority,
        fleet_rate: TokensPerSecond,
        instances: u32,
        now: Instant,
    ) -> f64 {
        let rate: f64 = self.rates[..priority.index()].iter().sum();
        self.fleet_share(rate, fleet_rate, instances, now)
    }

    /// Number of engines in the long pool of a fleet of `engines`: at least 1.
    pub fn long_pool_size(
        &self,
        engines: usize,
        fleet_rate: TokensPerSecond,
        instances: u32,
        now: Instant,
    ) -> usize {
        let rate: f64 = self.rates[FIRST_LONG_LEVEL..].iter().sum();
        let share = self.fleet_share(rate, fleet_rate, instances, now) / LONG_POOL_UTILISATION;
        let max_size = (engines as f64 * (1.0 - MIN_SHORT_ENGINE_SHARE))
            .floor()
            .max(1.0);
        let wanted = (engines as f64 * share).ceil();
        wanted.clamp(1.0, max_size) as usize
    }

    fn fleet_share(
        &self,
        rate: f64,
        fleet_rate: TokensPerSecond,
        instances: u32,
        now: Instant,
    ) -> f64 {
        let total = rate * f64::from(instances.max(1)) * self.warm_up_factor(now);
        total / fleet_rate.0.max(1.0)
    }

    /// Factor that corrects the average while the time since the first arrival is short
    /// compared with the averaging window.
    fn warm_up_factor(&self, now: Instant) -> f64 {
        let Some(first_arrival_at) = self.first_arrival_at else {
            return 1.0;
        };
        let elapsed_windows =
            (now - first_arrival_at).as_secs_f64() / AVERAGING_WINDOW.as_secs_f64();
        1.0 / (1.0 - (-elapsed_windows.max(0.03)).exp())
    }

    fn decay(&mut self, now: Instant) {
        let elapsed_s = (now - self.updated_at).as_secs_f64();
        let factor = (-elapsed_s / AVERAGING_WINDOW.as_secs_f64()).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= factor);
        self.updated_at = now;
    }
}
