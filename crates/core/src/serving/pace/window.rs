//! Recent samples of one target, and what this instance concludes from them.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Instant;

/// Samples kept per target. A change shows in the median after half of them.
const MAX_SAMPLES: usize = 11;

/// Time in which the weight of a sample among newer ones falls to 1/e.
const RECENT_TIME: Duration = Duration::from_millis(1_500);

/// Time in which the trust in samples falls to 1/e if no newer ones arrive.
const TRUST_TIME: Duration = Duration::from_secs(15);

/// Ratio of the upper loads to the lower ones from which samples tell how time grows
/// with load.
const MIN_LOAD_RATIO: f64 = 1.5;

/// Samples in each half of the loads from which they tell that.
const MIN_HALF: usize = 3;

/// Growth of the time between the halves above which the target is past its knee.
const KNEE_GROWTH: f64 = 1.5;

/// Growth below which it is not.
const NO_KNEE_GROWTH: f64 = 1.2;

/// Time in which a knee doubles if no sample confirms it, so that it is tested.
const KNEE_DOUBLING_TIME: Duration = Duration::from_secs(15);

/// Weight below which samples say nothing any more.
pub(super) const MIN_WEIGHT: f64 = 0.05;

/// A measured time of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// End of the measured time.
    pub at: Instant,
    /// Logarithm of the measured time, over the expected one for an engine.
    pub log_time: f64,
    /// Requests at the target, this one included.
    pub requests: f64,
}

/// Number of concurrent requests beyond which the time of a request grows as fast as
/// their number.
#[derive(Clone, Copy, Debug)]
struct Knee {
    requests: f64,
    at: Instant,
}

/// What the samples of one target say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Logarithm of the time below the knee.
    pub log_time: f64,
    /// Number of samples, weighed by the trust in them.
    pub weight: f64,
    /// Half of the interquartile range of the samples.
    pub spread: f64,
    /// Knee; infinite if none was seen.
    pub knee: f64,
    /// Time of the latest sample.
    pub at: Instant,
}

/// Recent samples of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    samples: VecDeque<Sample>,
    knee: Option<Knee>,
}

impl Window {
    /// Time of the latest sample.
    pub fn last_at(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.at)
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Sample) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        self.update_knee(sample.at);
    }

    /// What the samples say now; none without recent samples.
    pub fn recent_estimate(&self, now: Instant) -> Option<Estimate> {
        self.estimate(now).filter(|e| e.weight >= MIN_WEIGHT)
    }

    fn estimate(&self, now: Instant) -> Option<Estimate> {
        let at = self.last_at()?;
        let knee = self.knee_at(now);
        let weighed = self.samples.iter().map(|sample| {
            let excess = (sample.requests / knee).max(1.0).ln();
            (sample.log_time - excess, recency(at - sample.at))
        });
        let mut weighed: Vec<(f64, f64)> = weighed.collect();
        Some(Estimate {
            log_time: weighted_quantile(&mut weighed, 0.5),
            weight: self.samples.iter().map(|s| trust(now - s.at)).sum(),
            spread: (weighted_quantile(&mut weighed, 0.75) - weighted_quantile(&mut weighed, 0.25))
                / 2.0,
            knee,
            at,
        })
    }

    /// The knee now; infinite if none is known.
    fn knee_at(&self, now: Instant) -> f64 {
        self.knee.map_or(f64::INFINITY, |knee| {
            let doublings = (now - knee.at).as_secs_f64() / KNEE_DOUBLING_TIME.as_secs_f64();
            knee.requests * doublings.exp2()
        })
    }

    /// Compares the samples at lower loads with those at higher ones.
    fn update_knee(&mut self, now: Instant) {
        let mut by_load: Vec<Sample> = self.samples.iter().copied().collect();
        by_load.sort_by(|a, b| a.requests.total_cmp(&b.requests));
        let (low, high) = by_load.split_at(by_load.len() / 2);
        if low.len() < MIN_HALF {
            return;
        }
        let (low_requests, low_time) = medians(low);
        let (high_requests, high_time) = medians(high);
        if high_requests < low_requests * MIN_LOAD_RATIO {
            return;
        }
        let growth = (high_time - low_time).exp();
        if growth > KNEE_GROWTH {
            let requests = (high_requests / growth).max(1.0);
            self.knee = Some(Knee { requests, at: now });
        } else if growth < NO_KNEE_GROWTH && self.knee_at(now) < high_requests {
            self.knee = None;
        }
    }
}

/// Weight, among newer samples, of one of this age.
pub(super) fn recency(age: Duration) -> f64 {
    (-age.as_secs_f64() / RECENT_TIME.as_secs_f64()).exp()
}

/// Trust in a sample of this age.
pub(super) fn trust(age: Duration) -> f64 {
    (-age.as_secs_f64() / TRUST_TIME.as_secs_f64()).exp()
}

/// Smallest value that has at least the share `quantile` of the weights up to it.
/// Sorts `weighed`, which must not be empty.
pub(super) fn weighted_quantile(weighed: &mut [(f64, f64)], quantile: f64) -> f64 {
    weighed.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total: f64 = weighed.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    for (value, weight) in weighed.iter() {
        below += weight;
        if below >= total * quantile {
            return *value;
        }
    }
    weighed.last().map_or(0.0, |(value, _)| *value)
}

/// Median load and median time of samples.
fn medians(samples: &[Sample]) -> (f64, f64) {
    let mut requests: Vec<(f64, f64)> = samples.iter().map(|s| (s.requests, 1.0)).collect();
    let mut times: Vec<(f64, f64)> = samples.iter().map(|s| (s.log_time, 1.0)).collect();
    (
        weighted_quantile(&mut requests, 0.5),
        weighted_quantile(&mut times, 0.5),
    )
}
