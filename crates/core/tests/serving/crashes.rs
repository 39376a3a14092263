//! Contents that crash engines.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    request::Fingerprint,
    serving::crashes::{Crashes, MAX_CRASHES},
    text::SmolStr,
};

const CONTENT: Fingerprint = Fingerprint([7; 16]);

fn crash(number: usize) -> SmolStr {
    SmolStr::new(format!("e{number}/r{number}"))
}

#[test]
fn a_content_is_refused_at_every_instance_that_heard_of_three_crashes() {
    let now = Instant::from_millis(0);
    let mut here = Crashes::default();
    let mut there = Crashes::default();
    for number in 0..MAX_CRASHES {
        assert!(!there.is_refused(&CONTENT, now));
        here.record_crash(CONTENT, crash(number), now);
        for (content, names) in here.recent(Duration::from_secs(60), now) {
            for name in names {
                there.record_crash(content, name, now);
            }
        }
    }
    assert!(here.is_refused(&CONTENT, now));
    assert!(there.is_refused(&CONTENT, now));
}

#[test]
fn news_that_comes_twice_counts_once() {
    let now = Instant::from_millis(0);
    let mut crashes = Crashes::default();
    for _ in 0..10 {
        crashes.record_crash(CONTENT, crash(1), now);
    }
    assert!(!crashes.is_refused(&CONTENT, now));
}

#[test]
fn instances_that_repeat_old_news_do_not_keep_it_alive() {
    let mut here = Crashes::default();
    let mut there = Crashes::default();
    for number in 0..MAX_CRASHES {
        here.record_crash(CONTENT, crash(number), Instant::from_millis(0));
    }
    let hour = Duration::from_secs(3_600);
    for minute in 0..20 {
        let now = Instant::from_millis(minute * 60_000);
        for (from, to) in [(0, 1), (1, 0)] {
            let pair = [&mut here, &mut there];
            let news = pair[from].recent(hour, now);
            for (content, names) in news {
                for name in names {
                    pair[to].record_crash(content, name, now);
                }
            }
        }
    }
    let now = Instant::from_millis(20 * 60_000);
    assert!(!here.is_refused(&CONTENT, now));
    assert!(!there.is_refused(&CONTENT, now));
}

#[test]
fn a_content_that_ran_to_its_end_is_cleared() {
    let now = Instant::from_millis(0);
    let mut crashes = Crashes::default();
    for number in 0..MAX_CRASHES {
        crashes.record_crash(CONTENT, crash(number), now);
    }
    crashes.record_completion(&CONTENT);
    assert!(!crashes.is_refused(&CONTENT, now));
}
