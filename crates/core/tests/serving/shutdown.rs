//! Times of a graceful shutdown.

use std::time::Duration;

use cyclamengauge_core::{clock::Instant, serving::shutdown::Shutdown};

/// Guards against answers that come after the kill, and against requests that are refused
/// although there is time: the share of the users' rule is a sixth of the grace time.
#[test]
fn answers_come_in_the_last_sixth_of_the_grace_time() {
    for grace_ms in [500, 2_000, 8_000, 30_000] {
        let (now, grace) = (Instant::from_millis(100), Duration::from_millis(grace_ms));
        let shutdown = Shutdown::begin(now, grace);
        assert!(shutdown.refuses_at < shutdown.answers_at);
        assert!(shutdown.answers_at < shutdown.ends_at);
        assert!(shutdown.ends_at < now + grace);
        assert!(shutdown.answers_at - now > grace.mul_f64(5.0 / 6.0));
        assert!(!shutdown.refuses(now));
        assert!(shutdown.refuses(now + grace.mul_f64(0.31)));
    }
}

/// Guards against a queued prompt that is placed so late that its response is cut.
#[test]
fn a_request_whose_response_would_begin_after_the_end_is_too_late() {
    let now = Instant::ZERO;
    let shutdown = Shutdown::begin(now, Duration::from_secs(10));
    let later = now + Duration::from_secs(5);
    assert!(!shutdown.is_too_late(Duration::from_secs(3), later));
    assert!(shutdown.is_too_late(Duration::from_secs(5), later));
    // While new requests are accepted, the estimate does not refuse any.
    assert!(!shutdown.is_too_late(Duration::from_secs(60), now));
}

/// Guards against a shutdown without a grace time that accepts requests or waits.
#[test]
fn a_shutdown_without_a_grace_time_ends_at_once() {
    let now = Instant::from_millis(7);
    let shutdown = Shutdown::begin(now, Duration::ZERO);
    assert_eq!((shutdown.refuses_at, shutdown.ends_at), (now, now));
    assert!(shutdown.refuses(now + Duration::from_millis(1)));
}
