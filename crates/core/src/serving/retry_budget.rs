//! Retry budget: a limit on the attempts after the first one.
//!
//! The limit holds for all instances together and needs no messages between
//! them: each instance adds an equal part of the fixed number of retries to a
//! ratio of its own requests.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{clock::Instant, ids::ServiceId};

crate::data_types! {
    /// Limits of the retry budget, from the settings.
    #[derive(Copy)]
    pub struct RetryLimits {
        /// Retries per request.
        pub ratio: f64,
        /// Additional retries per window, over all instances.
        pub extra_retries: f64,
        /// Length of the sliding window in which requests and retries count.
        pub window: Duration,
    }
}

/// Share of the budget that retries may use. The rest is a reserve for instances
/// that this instance does not count yet.
const SPENDABLE_SHARE: f64 = 0.8;

/// Times of requests and retries in the sliding window, the oldest first.
#[derive(Clone, Debug, Default)]
struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Retry budget of this instance, per service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    windows: HashMap<ServiceId, RetryWindow>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            windows: HashMap::new(),
        }
    }

    /// Replaces the limits; recorded requests and retries stay.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Records a client request, which adds to the budget.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        let service_window = self.windows.entry(service.clone()).or_default();
        service_window.requests.push_back(now);
        service_window.drop_older(now, self.limits.window);
    }

    /// Takes one retry from the budget and returns whether there was one.
    /// `instances` is the number of instances that share the budget.
    pub fn try_take(&mut self, service: &ServiceId, instances: u32, now: Instant) -> bool {
        let (used, allowed) = self.used_and_allowed(service, instances, now);
        if used + 1.0 > allowed {
            return false;
        }
        let service_window = self.windows.entry(service.clone()).or_default();
        service_window.retries.push_back(now);
        true
    }
}

impl RetryBudget {
    /// Number of retries that remain in the budget.
    pub fn remaining(&mut self, service: &ServiceId, instances: u32, now: Instant) -> u64 {
        let (used, allowed) = self.used_and_allowed(service, instances, now);
        (allowed - used).max(0.0) as u64
    }

    /// Number of retries used and allowed in the present window.
    fn used_and_allowed(
        &mut self,
        service: &ServiceId,
        instances: u32,
        now: Instant,
    ) -> (f64, f64) {
        let service_window = self.windows.entry(service.clone()).or_default();
        service_window.drop_older(now, self.limits.window);
        let ratio_retries = self.limits.ratio * service_window.requests.len() as f64;
        let extra_retries = self.limits.extra_retries / f64::from(instances.max(1));
        (
            service_window.retries.len() as f64,
            SPENDABLE_SHARE * (ratio_retries + extra_retries),
        )
    }
}

impl RetryWindow {
    fn drop_older(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}
