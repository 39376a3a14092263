//! Retry budget over all instances.

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

/// Number of retries that five instances can take in one window of an outage.
fn taken_by_five(requests_per_instance: u64) -> u64 {
    let service = ServiceId::new("s");
    let mut taken = 0;
    for _ in 0..5 {
        let mut budget = RetryBudget::new(LIMITS);
        for request in 0..requests_per_instance {
            let now = Instant::from_millis(request * 10_000 / requests_per_instance.max(1));
            budget.record_request(&service, now);
        }
        let now = Instant::from_millis(10_000);
        taken += (0..1_000)
            .filter(|_| budget.try_take(&service, 5, now))
            .count() as u64;
    }
    taken
}

#[test]
fn all_instances_together_stay_within_the_budget() {
    for requests in [0, 10, 100, 1_000] {
        let bound = 0.2 * 5.0 * requests as f64 + 106.0;
        let taken = taken_by_five(requests);
        assert!(
            (taken as f64) <= bound,
            "{requests} requests per instance: expected at most {bound} retries, took {taken}"
        );
    }
}

#[test]
fn each_instance_can_retry_without_recent_requests() {
    assert!(
        taken_by_five(0) >= 5,
        "expected at least one retry for each of five instances"
    );
}

#[test]
fn used_retries_are_available_again_after_the_window() {
    let service = ServiceId::new("s");
    let mut budget = RetryBudget::new(LIMITS);
    let now = Instant::from_millis(0);
    while budget.try_take(&service, 5, now) {}
    assert!(!budget.try_take(&service, 5, now + Duration::from_secs(9)));
    assert!(budget.try_take(&service, 5, now + Duration::from_secs(11)));
}
