//! Estimates of one target from all instances, merged into what placements apply.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Instant,
    ids::InstanceId,
    serving::pace::window::{self, Estimate, MIN_WEIGHT, Window},
};

/// Largest weight of one instance's estimate, so that no instance outvotes several.
pub(super) const MAX_INSTANCE_WEIGHT: f64 = 8.0;

/// Weight at which an estimate counts half. Below it, a target is treated more like one
/// without samples.
const HALF_TRUST_WEIGHT: f64 = 0.7;

/// Logarithm of the slowdown up to which a difference is taken for noise, and from which
/// it counts in full.
const NOISE_BAND: (f64, f64) = (0.25, 0.45);

/// The same for targets that are faster than usual: prefill that was expected and has
/// ended early looks like it.
const FASTER_NOISE_BAND: (f64, f64) = (0.45, 0.65);

/// Time in which the applied slowdown moves by 1 - 1/e towards the estimate. Load moves
/// gradually, although all instances learn of a change at once.
const APPLY_TIME: Duration = Duration::from_millis(400);

/// Logarithm of the ratio of a wait that has not ended to the expected time from which
/// it counts: 1.5.
const MIN_OVERDUE_LOG_RATIO: f64 = 0.405;

/// Number of targets from which their times are compared with each other.
const MIN_COMPARED_TARGETS: usize = 3;

/// An instance's estimate of a target, relative to the other targets that it sees.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contribution {
    pub log_slowdown: f64,
    pub weight: f64,
    pub knee: f64,
    /// Time of the latest sample.
    pub sampled_at: Instant,
    /// Time at which the weight was as given.
    pub at: Instant,
}

/// What is known of one target.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    pub window: Window,
    /// Logarithm of the ratio by which all requests of this instance are overdue.
    pub overdue: Option<f64>,
    /// This instance's estimate at the latest refresh.
    pub own: Option<Estimate>,
    /// The same, relative to the other targets that this instance sees.
    pub own_relative: f64,
    pub peers: HashMap<InstanceId, Contribution>,
    /// Slowdown and knee that placements apply, as logarithms.
    applied_log_slowdown: f64,
    applied_log_knee: f64,
    /// Standard error of the logarithm of the slowdown.
    uncertainty: f64,
    /// Sum of the weights over all instances.
    weight: f64,
    /// Estimate in the latest report to the peers, and its time.
    pub reported: (f64, Instant),
    /// Slowdown at the latest reported change.
    pub logged_log_slowdown: f64,
    applied_at: Instant,
}

/// Merged estimate of a target before it is compared with the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Merged {
    pub log_slowdown: f64,
    pub weight: f64,
    log_knee: f64,
    spread: f64,
}

impl Evidence {
    pub fn new(now: Instant) -> Self {
        Self {
            window: Window::default(),
            overdue: None,
            own: None,
            own_relative: 0.0,
            peers: HashMap::new(),
            applied_log_slowdown: 0.0,
            applied_log_knee: LOG_MAX_KNEE,
            uncertainty: 0.0,
            weight: 0.0,
            reported: (0.0, now),
            logged_log_slowdown: 0.0,
            applied_at: now,
        }
    }

    /// Factor on the times of the target with `requests` requests, one more included.
    pub fn slowdown(&self, requests: u32) -> f64 {
        let knee = self.applied_log_knee.exp();
        self.applied_log_slowdown.exp() * ((f64::from(requests) + 1.0) / knee).max(1.0)
    }

    /// Factor on the times of the target below its knee.
    pub fn base_slowdown(&self) -> f64 {
        self.applied_log_slowdown.exp()
    }

    /// Relative standard error of the slowdown.
    pub fn uncertainty(&self) -> f64 {
        self.uncertainty
    }

    /// Samples of all instances, weighed by age.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Concurrent requests beyond which times grow; none if there is no such number.
    pub fn knee(&self) -> Option<f64> {
        (self.applied_log_knee < LOG_MAX_KNEE - f64::EPSILON).then(|| self.applied_log_knee.exp())
    }

    /// Whether nothing is known any more and nothing is applied.
    pub fn is_spent(&self) -> bool {
        self.own.is_none()
            && self.peers.is_empty()
            && self.applied_log_slowdown.abs() < 0.01
            && self.knee().is_none()
    }

    /// Updates this instance's estimate. If all its requests at the target are overdue,
    /// the target is at least that slow.
    pub fn estimate_own(&mut self, now: Instant) {
        self.own = self.window.recent_estimate(now);
        let overdue = self.overdue.take();
        let Some(overdue) = overdue.filter(|overdue| *overdue >= MIN_OVERDUE_LOG_RATIO) else {
            return;
        };
        let own = self.own.get_or_insert(Estimate {
            log_time: 0.0,
            weight: 0.0,
            spread: 0.0,
            knee: f64::INFINITY,
            at: now,
        });
        if overdue > own.log_time {
            own.log_time = overdue;
            own.weight += 1.0;
            own.at = now;
        }
    }

    /// Merges the estimates of all instances; none without any.
    pub fn merge(&mut self, now: Instant) -> Option<Merged> {
        self.peers
            .retain(|_, peer| peer.trusted_weight(now) >= MIN_WEIGHT);
        let own = self.own.map(|own| Contribution {
            log_slowdown: self.own_relative,
            weight: own.weight.min(MAX_INSTANCE_WEIGHT),
            knee: own.knee,
            sampled_at: own.at,
            at: now,
        });
        let all = own.iter().chain(self.peers.values());
        let all: Vec<&Contribution> = all.collect();
        let latest = all.iter().map(|c| c.sampled_at).max()?;
        let weigh = |value: fn(&Contribution) -> f64| {
            let weighed = all.iter().map(|c| {
                let weight = c.trusted_weight(now) * window::recency(latest - c.sampled_at);
                (value(c), weight)
            });
            weighed.collect::<Vec<(f64, f64)>>()
        };
        let mut slowdowns = weigh(|c| c.log_slowdown);
        let mut knees = weigh(|c| c.knee.max(1.0).ln().min(LOG_MAX_KNEE));
        let own_spread = self.own.map_or(0.0, |own| own.spread);
        let log_slowdown = window::weighted_quantile(&mut slowdowns, 0.5);
        let spread = (window::weighted_quantile(&mut slowdowns, 0.75)
            - window::weighted_quantile(&mut slowdowns, 0.25))
            / 2.0;
        Some(Merged {
            log_slowdown,
            weight: all.iter().map(|c| c.trusted_weight(now)).sum(),
            log_knee: window::weighted_quantile(&mut knees, 0.5),
            spread: spread.max(own_spread),
        })
    }

    /// Moves what placements apply towards the merged estimate, relative to `baseline`.
    pub fn apply(&mut self, merged: Option<Merged>, baseline: f64, now: Instant) {
        let elapsed = (now - self.applied_at).as_secs_f64();
        let step = 1.0 - (-elapsed / APPLY_TIME.as_secs_f64()).exp();
        self.applied_at = now;
        let trust = merged.map_or(0.0, |m| m.weight / (m.weight + HALF_TRUST_WEIGHT));
        let log_slowdown = merged.map_or(0.0, |m| without_noise(m.log_slowdown - baseline));
        let log_knee = merged.map_or(LOG_MAX_KNEE, |m| m.log_knee);
        self.applied_log_slowdown += step * (log_slowdown * trust - self.applied_log_slowdown);
        self.applied_log_knee += step * (log_knee - self.applied_log_knee);
        if log_knee >= LOG_MAX_KNEE && self.applied_log_knee > LOG_MAX_KNEE - 0.05 {
            self.applied_log_knee = LOG_MAX_KNEE;
        }
        self.weight = merged.map_or(0.0, |m| m.weight);
        self.uncertainty = merged.map_or(1.0, |m| m.spread / m.weight.max(MIN_WEIGHT).sqrt());
    }
}

/// Logarithm of a knee that no target reaches.
const LOG_MAX_KNEE: f64 = 7.0;

impl Contribution {
    fn trusted_weight(&self, now: Instant) -> f64 {
        self.weight.min(MAX_INSTANCE_WEIGHT) * window::trust(now - self.at)
    }
}

/// The usual value among targets: that of the model, which is 0, if it lies between the
/// quartiles, else the nearer quartile. `has_model` tells whether times are relative to
/// a model; without one, it is the median. None if there are too few targets to compare.
pub(super) fn baseline(weighed: &mut [(f64, f64)], has_model: bool) -> Option<f64> {
    if weighed.len() < MIN_COMPARED_TARGETS {
        return None;
    }
    Some(match has_model {
        true => {
            let lower = window::weighted_quantile(weighed, 0.25);
            let upper = window::weighted_quantile(weighed, 0.75);
            0.0_f64.clamp(lower, upper)
        }
        false => window::weighted_quantile(weighed, 0.5),
    })
}

fn without_noise(log_slowdown: f64) -> f64 {
    let (from, to) = match log_slowdown < 0.0 {
        true => FASTER_NOISE_BAND,
        false => NOISE_BAND,
    };
    log_slowdown * ((log_slowdown.abs() - from) / (to - from)).clamp(0.0, 1.0)
}
