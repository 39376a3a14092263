//! Order of the long-prompt queue.

use std::time::Duration;

use cyclamengauge_core::{
    ids::InstanceId,
    serving::queue::{Patience, Queue, QueuedPrompt},
};

use crate::fleet::{ENGINES, ms};

const TYPICAL_PREFILL: Duration = Duration::from_millis(3_000);
const LONGEST_PREFILL: Duration = Duration::from_millis(13_000);

/// Reports one prompt queued at a peer.
fn report_peer_prompt(queue: &mut Queue, slack_ms: i64, prefill_time: Duration, at_ms: u64) {
    let prompts = vec![QueuedPrompt {
        slack_ms,
        prefill_time,
    }];
    queue.update_peer(InstanceId::new("peer"), prompts, ms(at_ms));
}

#[test]
fn prompts_of_equal_length_are_dispatched_by_objective() {
    let mut queue = Queue::default();
    let first = queue.enqueue(ms(3_000), TYPICAL_PREFILL);
    let second = queue.enqueue(ms(3_100), TYPICAL_PREFILL);
    assert!(queue.is_next(first, ENGINES, ms(100)));
    assert!(!queue.is_next(second, ENGINES, ms(100)));
    queue.remove(first);
    assert!(queue.is_next(second, ENGINES, ms(100)));
}

#[test]
fn a_peers_prompt_with_less_slack_goes_first() {
    let mut queue = Queue::default();
    let local = queue.enqueue(ms(3_000), TYPICAL_PREFILL);
    report_peer_prompt(&mut queue, 2_000, TYPICAL_PREFILL, 0);
    assert!(!queue.is_next(local, ENGINES, ms(10)));
    report_peer_prompt(&mut queue, 2_999, TYPICAL_PREFILL, 20);
    assert!(queue.is_next(local, ENGINES, ms(20)));
}

#[test]
fn prompts_of_a_silent_peer_expire() {
    let mut queue = Queue::default();
    let local = queue.enqueue(ms(3_000), TYPICAL_PREFILL);
    report_peer_prompt(&mut queue, 1_000, TYPICAL_PREFILL, 0);
    assert!(!queue.is_next(local, ENGINES, ms(500)));
    assert!(queue.is_next(local, ENGINES, ms(700)));
}

#[test]
fn prompts_that_can_be_on_time_go_before_late_prompts() {
    let mut queue = Queue::default();
    let late = queue.enqueue(ms(1_000), TYPICAL_PREFILL);
    let on_time = queue.enqueue(ms(4_000), TYPICAL_PREFILL);
    assert!(!queue.is_next(late, ENGINES, ms(1_500)));
    assert!(queue.is_next(on_time, ENGINES, ms(1_500)));
}

#[test]
fn a_longer_prompt_goes_after_a_shorter_one_with_a_later_objective() {
    let mut queue = Queue::default();
    let longest = queue.enqueue(ms(3_000), LONGEST_PREFILL);
    let typical = queue.enqueue(ms(4_000), TYPICAL_PREFILL);
    assert!(!queue.is_next(longest, ENGINES, ms(1_000)));
    queue.remove(typical);
    assert!(queue.is_next(longest, ENGINES, ms(1_000)));
}

#[test]
fn exactly_one_prompt_among_all_instances_is_next() {
    let mut queue_a = Queue::default();
    let mut queue_b = Queue::default();
    let prompt_a = queue_a.enqueue(ms(3_000), TYPICAL_PREFILL);
    let prompt_b = queue_b.enqueue(ms(3_500), TYPICAL_PREFILL);
    let (name_a, name_b) = (InstanceId::new("here"), InstanceId::new("there"));
    queue_a.update_peer(name_b, queue_b.local_prompts(ms(0)), ms(0));
    queue_b.update_peer(name_a, queue_a.local_prompts(ms(0)), ms(0));
    assert!(queue_a.is_next(prompt_a, ENGINES, ms(5)));
    assert!(!queue_b.is_next(prompt_b, ENGINES, ms(5)));
}

#[test]
fn the_expected_wait_counts_earlier_prompts_and_available_engines() {
    let mut queue = Queue::default();
    for _ in 0..9 {
        queue.enqueue(ms(3_000), TYPICAL_PREFILL);
    }
    let last = queue.enqueue(ms(3_500), TYPICAL_PREFILL);
    // 30 s of prefill on three quarters of 12 engines.
    let wait = queue.expected_wait(last, ENGINES, 12, ms(0));
    assert_eq!(wait.as_millis(), 3_333);
    // Without engines for long prompts, the wait is the prefill time on one engine.
    assert!(queue.expected_wait(last, ENGINES, 0, ms(0)) >= Duration::from_secs(30));
}

/// Pattern: prompts of all sizes before many engines. The longest ones stood back behind
/// every other prompt although they held up few of them, and were refused in the end.
#[test]
fn the_longest_prompt_stands_back_less_the_more_engines_there_are() {
    for (engines, is_longest_next) in [(ENGINES, false), (60, false), (150, true), (7_600, true)] {
        let mut queue = Queue::default();
        let longest = queue.enqueue(ms(4_000), LONGEST_PREFILL);
        queue.enqueue(ms(5_500), TYPICAL_PREFILL);
        assert_eq!(
            queue.is_next(longest, engines, ms(1_500)),
            is_longest_next,
            "the longest prompt, 1.5 s earlier, before {engines} engines"
        );
    }
}

/// Pattern: a prompt of a million tokens, 50 s of prefill, before 150 engines. Split over
/// 16 of them, it can be on time, and counts as a prompt that can.
#[test]
fn a_prompt_that_can_be_on_time_when_split_does_not_count_as_late() {
    let mut queue = Queue::default();
    let longest = queue.enqueue(ms(4_000), Duration::from_secs(50));
    let late = queue.enqueue(ms(300), TYPICAL_PREFILL);
    assert!(queue.is_next(longest, 150, ms(0)));
    assert!(!queue.is_next(late, 150, ms(0)));
}

/// Guards against a stream that is ended in the moment in which it breaks, with seconds left
/// until its deadline, as the wait in the queue counted from the arrival of the request, and
/// against one that is given up because a long wait is expected.
#[test]
fn the_rest_of_a_long_stream_waits_as_long_as_its_client_does() {
    let client_timeout = Duration::from_secs(10);
    let patience = Patience::of_stream_under_way(ms(7_900), client_timeout, ms(15_000));
    let expected_wait = Duration::from_millis(6_500);
    assert!(!patience.is_exhausted(expected_wait, ms(8_200)));
    assert!(!patience.is_exhausted(expected_wait, ms(14_900)));
    assert!(patience.is_exhausted(expected_wait, ms(15_000)));
    // The client gives up after this time without an event.
    let patience = Patience::of_stream_under_way(ms(3_000), client_timeout, ms(15_000));
    assert!(!patience.is_exhausted(expected_wait, ms(12_900)));
    assert!(patience.is_exhausted(expected_wait, ms(13_000)));
}

/// Guards against a new prompt that waits although it can't be served in time.
#[test]
fn a_new_prompt_is_refused_at_once_if_the_expected_wait_is_too_long() {
    let client_timeout = Duration::from_secs(10);
    let patience = Patience::of_new(ms(0), client_timeout, ms(15_000), ms(0));
    assert!(!patience.is_exhausted(Duration::from_millis(5_900), ms(0)));
    assert!(patience.is_exhausted(Duration::from_millis(6_000), ms(0)));
    assert!(patience.is_exhausted(Duration::from_millis(100), ms(5_950)));
}
