//! Refusal of request contents that crash engines.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::EngineId,
    request::Fingerprint,
    serving::crashes::{self, Crashes, MAX_CRASHES},
    text::SmolStr,
};

const CONTENT: Fingerprint = Fingerprint([7; 16]);

fn crash_id(number: usize) -> SmolStr {
    SmolStr::new(format!("e{number}/r{number}"))
}

#[test]
fn a_content_is_refused_at_every_instance_after_three_crashes() {
    let now = Instant::from_millis(0);
    let mut local = Crashes::default();
    let mut peer = Crashes::default();
    for number in 0..MAX_CRASHES {
        assert!(!peer.is_refused(&CONTENT, now));
        local.record_crash(CONTENT, crash_id(number), now);
        for (content, crash_ids) in local.recent(Duration::from_secs(60), now) {
            for crash_id in crash_ids {
                peer.record_crash(content, crash_id, now);
            }
        }
    }
    assert!(local.is_refused(&CONTENT, now));
    assert!(peer.is_refused(&CONTENT, now));
}

#[test]
fn a_crash_reported_repeatedly_counts_once() {
    let now = Instant::from_millis(0);
    let mut crashes = Crashes::default();
    for _ in 0..10 {
        crashes.record_crash(CONTENT, crash_id(1), now);
    }
    assert!(!crashes.is_refused(&CONTENT, now));
}

#[test]
fn repeated_reports_between_instances_do_not_extend_the_retention_of_crashes() {
    let mut local = Crashes::default();
    let mut peer = Crashes::default();
    for number in 0..MAX_CRASHES {
        local.record_crash(CONTENT, crash_id(number), Instant::from_millis(0));
    }
    let hour = Duration::from_secs(3_600);
    for minute in 0..20 {
        let now = Instant::from_millis(minute * 60_000);
        for (from, to) in [(0, 1), (1, 0)] {
            let pair = [&mut local, &mut peer];
            let reports = pair[from].recent(hour, now);
            for (content, crash_ids) in reports {
                for crash_id in crash_ids {
                    pair[to].record_crash(content, crash_id, now);
                }
            }
        }
    }
    let now = Instant::from_millis(20 * 60_000);
    assert!(!local.is_refused(&CONTENT, now));
    assert!(!peer.is_refused(&CONTENT, now));
}

#[test]
fn a_content_that_ran_to_completion_is_cleared() {
    let now = Instant::from_millis(0);
    let mut crashes = Crashes::default();
    for number in 0..MAX_CRASHES {
        crashes.record_crash(CONTENT, crash_id(number), now);
    }
    crashes.record_completion(&CONTENT);
    assert!(!crashes.is_refused(&CONTENT, now));
}

/// Pattern: equal lookups that run on one engine when it crashes.
#[test]
fn a_crash_counts_once_however_many_equal_requests_it_breaks() {
    let now = Instant::from_millis(0);
    let mut crashes = Crashes::default();
    let crash = |engine: &str| crashes::crash_id(&EngineId::new(engine), 1_000);
    for _ in 0..10 {
        crashes.record_crash(CONTENT, crash("e1"), now);
    }
    assert!(!crashes.is_refused(&CONTENT, now));
    // Another process with the id of the first one is another engine.
    let restarted = crashes::crash_id(&EngineId::new("e1"), 2_000);
    crashes.record_crash(CONTENT, restarted, now);
    crashes.record_crash(CONTENT, crash("e2"), now);
    assert!(crashes.is_refused(&CONTENT, now));
}

/// Pattern: a content runs to completion at one instance, and its peers report the crashes
/// from before once more.
#[test]
fn crashes_before_a_completion_do_not_count_again() {
    let now = Instant::from_millis(0);
    let mut crashes = Crashes::default();
    for number in 0..MAX_CRASHES {
        crashes.record_crash(CONTENT, crash_id(number), now);
    }
    crashes.record_completion(&CONTENT);
    for number in 0..MAX_CRASHES {
        crashes.record_crash(CONTENT, crash_id(number), now);
    }
    assert!(!crashes.is_refused(&CONTENT, now));
    assert_eq!(crashes.recent(Duration::from_secs(60), now), []);
    for number in 0..MAX_CRASHES {
        crashes.record_crash(CONTENT, crash_id(100 + number), now);
    }
    assert!(crashes.is_refused(&CONTENT, now));
}
