//! The retry budget of all instances together.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::ServiceId,
    serving::retry_budget::{RetryBudget, RetryLimits},
};

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra_retries: 106.0,
    window: Duration::from_secs(10),
};

/// Retries that five instances can take in one window of an outage.
fn taken(requests_per_instance: u64) -> u64 {
    let service = ServiceId::new("s");
    let mut taken = 0;
    for _ in 0..5 {
        let mut retries = RetryBudget::new(LIMITS);
        for request in 0..requests_per_instance {
            let now = Instant::from_millis(request * 10_000 / requests_per_instance.max(1));
            retries.record_request(&service, now);
        }
        let now = Instant::from_millis(10_000);
        taken += (0..1_000)
            .filter(|_| retries.try_take(&service, 5, now))
            .count() as u64;
    }
    taken
}

#[test]
fn all_instances_together_keep_the_bound() {
    for requests in [0, 10, 100, 1_000] {
        let bound = 0.2 * 5.0 * requests as f64 + 106.0;
        let taken = taken(requests);
        assert!((taken as f64) <= bound, "{taken} of {bound}");
    }
}

#[test]
fn a_quiet_service_may_still_retry() {
    assert!(taken(0) >= 5, "each instance has at least one");
}

#[test]
fn retries_come_back_when_the_window_has_passed() {
    let service = ServiceId::new("s");
    let mut retries = RetryBudget::new(LIMITS);
    let now = Instant::from_millis(0);
    while retries.try_take(&service, 5, now) {}
    assert!(!retries.try_take(&service, 5, now + Duration::from_secs(9)));
    assert!(retries.try_take(&service, 5, now + Duration::from_secs(11)));
}
