//! The bound on requests that are sent to a second target.
//!
//! The bound holds for all instances together. Each instance takes its part of
//! the fixed allowance and its own requests' part of the ratio, so no message
//! is needed to keep it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{clock::Instant, ids::ServiceId};

crate::data_types! {
    /// The bound, from the settings.
    #[derive(Copy)]
    pub struct RetryLimits {
        /// Retries per request.
        pub ratio: f64,
        /// Retries in a window besides, over all instances.
        pub extra: f64,
        /// Length of the window.
        pub window: Duration,
    }
}

/// Part of the allowance that is spent; the rest covers instances that this one
/// has not heard of.
const SAFETY_SHARE: f64 = 0.8;

#[derive(Clone, Debug, Default)]
struct History {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Requests and retries of this instance, by service.
#[derive(Clone, Debug)]
pub struct Retries {
    limits: RetryLimits,
    histories: HashMap<ServiceId, History>,
}

impl Retries {
    /// Creates a history without requests.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            histories: HashMap::new(),
        }
    }

    /// Replaces the bound.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Notes a caller's request.
    pub fn requested(&mut self, service: &ServiceId, now: Instant) {
        let history = self.histories.entry(service.clone()).or_default();
        history.requests.push_back(now);
        history.forget(now, self.limits.window);
    }

    /// Takes one retry from the budget; false if there is none left.
    /// `instances` is the number of instances that share the budget.
    pub fn take(&mut self, service: &ServiceId, instances: u32, now: Instant) -> bool {
        let (used, allowed) = self.use_of(service, instances, now);
        if used + 1.0 > allowed {
            return false;
        }
        let history = self.histories.entry(service.clone()).or_default();
        history.retries.push_back(now);
        true
    }
}

impl Retries {
    /// Retries that are left in the budget now.
    pub fn left(&mut self, service: &ServiceId, instances: u32, now: Instant) -> u64 {
        let (used, allowed) = self.use_of(service, instances, now);
        (allowed - used).max(0.0) as u64
    }

    /// Retries that were made, and that may be made, in the window up to now.
    fn use_of(&mut self, service: &ServiceId, instances: u32, now: Instant) -> (f64, f64) {
        let history = self.histories.entry(service.clone()).or_default();
        history.forget(now, self.limits.window);
        let own = self.limits.ratio * history.requests.len() as f64;
        let part = self.limits.extra / f64::from(instances.max(1));
        (history.retries.len() as f64, SAFETY_SHARE * (own + part))
    }
}

impl History {
    fn forget(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}
