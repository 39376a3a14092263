//! When placements, progress and complete states are reported to the peers.

use std::time::Duration;

use cyclamengauge_core::serving::{
    dissemination::{
        COMPLETE_STATE_INTERVAL, DueMessage, PLACEMENT_DELAY, PROGRESS_DELAY,
        QUEUE_REPORT_INTERVAL, Schedule,
    },
    peers,
};

use crate::fleet::ms;

fn idle_schedule() -> Schedule {
    let mut schedule = Schedule::default();
    let first = schedule.take_due(false, ms(0));
    assert_eq!(first, Some(DueMessage::CompleteState));
    schedule
}

#[test]
fn a_placement_is_reported_before_progress() {
    let mut schedule = idle_schedule();
    schedule.record_progress(ms(10));
    assert_eq!(schedule.due_at(), ms(10) + PROGRESS_DELAY);
    schedule.record_placement(ms(20));
    let due_at = ms(20) + PLACEMENT_DELAY;
    assert_eq!(schedule.due_at(), due_at);
    assert_eq!(schedule.take_due(false, ms(20)), None);
    assert_eq!(schedule.take_due(false, due_at), Some(DueMessage::Changes));
    assert_eq!(schedule.take_due(false, due_at), None);
    assert_eq!(schedule.due_at(), ms(0) + COMPLETE_STATE_INTERVAL);
}

#[test]
fn progress_does_not_delay_a_placement_that_was_recorded_before() {
    let mut schedule = idle_schedule();
    schedule.record_placement(ms(20));
    schedule.record_progress(ms(20));
    assert_eq!(schedule.due_at(), ms(20) + PLACEMENT_DELAY);
}

/// Peers ignore queued prompts whose report is older than 600 ms.
#[test]
fn queued_prompts_are_reported_again_while_they_wait() {
    let mut schedule = idle_schedule();
    schedule.record_placement(ms(20));
    let mut reports = 0;
    for now in 20..1_020 {
        while let Some(message) = schedule.take_due(true, ms(now)) {
            reports += u32::from(message == DueMessage::Changes);
        }
    }
    assert!(QUEUE_REPORT_INTERVAL * 2 < Duration::from_millis(600));
    assert_eq!(reports, 4);
}

/// Pattern: 118 instances, of which each gets a few requests a second. What an instance
/// knows of its peers' placements is far newer than the shortest objective, 300 ms.
#[test]
fn placements_are_known_in_time_at_any_size_up_to_hundreds_of_instances() {
    for peers in [4, 31, 117, 299] {
        let age = peers::expected_gossip_age(peers);
        assert!(
            age <= Duration::from_millis(30),
            "expected age of placements with {peers} peers is {age:?}"
        );
    }
}
