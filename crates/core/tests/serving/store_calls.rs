//! Recovery of a watch after its calls to the store were lost.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    serving::store_calls::{FeedCall, StoreCalls, WatchLimits},
};

/// Times from connecting to the store to its response.
const CALL_TIME: Duration = Duration::from_millis(10);

/// Time for passing a change on to the instances that don't watch the table.
const PASS_ON_TIME: Duration = Duration::from_millis(500);

/// Limits of the users' deployments.
const LIMITS: [WatchLimits; 3] = [
    WatchLimits {
        reconnect: Duration::from_millis(3_000),
        apply: Duration::from_millis(2_000),
    },
    WatchLimits {
        reconnect: Duration::from_millis(4_000),
        apply: Duration::from_millis(3_000),
    },
    WatchLimits {
        reconnect: Duration::from_millis(5_000),
        apply: Duration::from_millis(4_000),
    },
];

/// A time in which the store responds to no call, also not to those that it got before.
#[derive(Clone, Copy, Debug)]
struct Silence {
    from: Instant,
    until: Instant,
}

/// Returns when a change made at the end of the silence is read by an instance that has
/// watched the table since the start. Retries are delayed as long as the jitter allows.
fn read_change_at(silence: Silence, limits: WatchLimits) -> Instant {
    let mut calls = StoreCalls::default();
    let mut now = Instant::ZERO;
    loop {
        let feed: FeedCall = calls.feed_call(limits);
        let sent_at = now;
        let responds_at = match sent_at >= silence.until {
            true => sent_at + CALL_TIME,
            false => sent_at + feed.max_wait + CALL_TIME,
        };
        let is_lost = sent_at < silence.until && responds_at > silence.from;
        if is_lost {
            now = sent_at + feed.timeout;
            calls.record_failure(sent_at, now);
            now = now + calls.take_retry_delay(1.0);
            continue;
        }
        calls.record_success();
        now = responds_at;
        if sent_at >= silence.until {
            return now;
        }
    }
}

/// Guards against a change that is in force too late because a call that was lost
/// shortly before the store responded again is given up only after its whole wait.
#[test]
fn a_change_after_lost_calls_is_read_within_the_reconnect_limit() {
    for limits in LIMITS {
        // Also connections that fall silent for good at one moment.
        for length_ms in (0..12_000).step_by(130) {
            for from_ms in (5_000..10_000).step_by(70) {
                let from = Instant::from_millis(from_ms);
                let until = from + Duration::from_millis(length_ms);
                let silence = Silence { from, until };
                let took = read_change_at(silence, limits) - until;
                let limit = limits.reconnect.max(limits.apply) - PASS_ON_TIME;
                assert!(
                    took <= limit,
                    "{limits:?}: change read {took:?} after {silence:?}, limit {limit:?}"
                );
            }
        }
    }
}
