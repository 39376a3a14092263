//! A request's course: deadlines, retries, resuming, cancelling, shutting down.

mod common;

use std::time::Duration;

use common::{
    dispatcher, engine_id, finished_requests, lead_engine, ms, only_refusal, only_sent_attempt,
    report_all, request, run_timers, sent_attempts,
};
use cyclamengauge_core::{
    dispatch::{Action, Delivery, Failure, Outcome, Probed},
    ids::RequestId,
    membership::TargetState,
    request::{ExecutionState, RefusalReason},
    routing::Report,
};

#[test]
fn whole_answer_completes_the_request() {
    let mut dispatcher = dispatcher(2);
    let sending = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    for position in 0..100 {
        let (delivery, _) = dispatcher.tokens(sending.attempt, position, 1, ms(2));
        assert_eq!(delivery, Delivery::Deliver);
    }
    let ends = finished_requests(&dispatcher.completed(sending.attempt, ms(3)));
    assert_eq!(ends, [(RequestId(1), Outcome::Completed)]);
    assert_eq!(dispatcher.in_flight(), 0);
}

#[test]
fn deadline_gives_up_at_once_and_frees_the_engine() {
    let mut dispatcher = dispatcher(1);
    let mut wanted = request(1, 1_000);
    wanted.deadline = ms(20_000);
    let sending = only_sent_attempt(&dispatcher.arrive(wanted, ms(1)));
    // The stream goes on, slowly, so that it never counts as stalled.
    for i in 0..10 {
        report_all(&mut dispatcher, 1, ms(i * 2_000));
        run_timers(&mut dispatcher, ms(i * 2_000));
        dispatcher.tokens(sending.attempt, i, 1, ms(i * 2_000));
    }
    let actions = run_timers(&mut dispatcher, ms(20_000));
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
    let refusal = only_refusal(&actions);
    assert_eq!(
        (refusal.reason, refusal.ran),
        (RefusalReason::DeadlineExceeded, ExecutionState::Partial)
    );
}

#[test]
fn failure_to_connect_is_retried_elsewhere() {
    let mut dispatcher = dispatcher(3);
    let first = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    dispatcher.failed(first.attempt, Failure::NotSent, ms(2));
    // One failure alone does not make the engine dead, but its load does not
    // attract either; a second one closes it.
    let mut last = None;
    for at in 3..10 {
        let actions = dispatcher.arrive(request(at, 1_000), ms(at));
        last = sent_attempts(&actions).into_iter().next().or(last);
    }
    assert!(last.is_some());
    assert_eq!(dispatcher.in_flight(), 8);
}

#[test]
fn broken_link_resumes_at_the_next_token() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    dispatcher.tokens(first.attempt, 0, 7, ms(2));
    let actions = dispatcher.failed(first.attempt, Failure::Broken, ms(3));
    assert!(matches!(&actions[..], [Action::Probe(_)]), "{actions:?}");
    let alive = Probed::Alive { incarnation: 1 };
    let second = only_sent_attempt(&dispatcher.probed(&lead_engine(&first), alive, ms(4)));
    assert_eq!(second.resume_from, 7);
    assert_ne!(second.attempt, first.attempt);
}

#[test]
fn late_tokens_of_a_dropped_attempt_are_dropped() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    dispatcher.tokens(first.attempt, 0, 3, ms(2));
    let second = only_sent_attempt(&dispatcher.failed(first.attempt, Failure::Stalled, ms(3)));
    let (late, _) = dispatcher.tokens(first.attempt, 3, 1, ms(4));
    assert_eq!(late, Delivery::Drop);
    assert!(dispatcher.completed(first.attempt, ms(4)).is_empty());
    let (next, _) = dispatcher.tokens(second.attempt, 3, 1, ms(5));
    assert_eq!(next, Delivery::Deliver);
}

#[test]
fn repeated_or_skipped_tokens_never_reach_the_caller() {
    for wrong in [2, 4] {
        let mut dispatcher = dispatcher(2);
        let sending = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
        dispatcher.tokens(sending.attempt, 0, 3, ms(2));
        let (delivery, actions) = dispatcher.tokens(sending.attempt, wrong, 1, ms(3));
        assert_eq!(delivery, Delivery::Drop);
        assert_eq!(only_sent_attempt(&actions).resume_from, 3);
    }
}

#[test]
fn retries_cannot_amplify_an_outage() {
    let mut dispatcher = dispatcher(4);
    let mut attempts = 0;
    let mut queue = Vec::new();
    for i in 0..500 {
        queue.extend(sent_attempts(&dispatcher.arrive(request(i, 1_000), ms(1))));
    }
    // Every engine refuses everything.
    while let Some(sending) = queue.pop() {
        attempts += 1;
        queue.extend(sent_attempts(&dispatcher.failed(
            sending.attempt,
            Failure::Rejected,
            ms(2),
        )));
    }
    assert!(attempts <= 500 + 20, "{attempts} attempts for 500 requests");
    assert_eq!(dispatcher.in_flight(), 0);
}

#[test]
fn caller_that_goes_away_frees_the_engine() {
    let mut dispatcher = dispatcher(1);
    let sending = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    let actions = dispatcher.caller_gone(RequestId(1), ms(2));
    let cancelled = actions.iter().any(|action| match action {
        Action::Cancel { attempt, .. } => *attempt == sending.attempt,
        _ => false,
    });
    assert!(cancelled);
    assert_eq!(dispatcher.fleet().engines()[0].load.own_requests(), 0);
}

#[test]
fn leaving_engine_gets_nothing_new_and_keeps_what_it_has() {
    let mut dispatcher = dispatcher(2);
    let before = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    let leaving = lead_engine(&before);
    dispatcher.listed(&leaving, true, ms(2));
    for i in 2..50 {
        let sending = only_sent_attempt(&dispatcher.arrive(request(i, 1_000), ms(2)));
        assert_ne!(lead_engine(&sending), leaving);
    }
    let (delivery, _) = dispatcher.tokens(before.attempt, 0, 1, ms(3));
    assert_eq!(delivery, Delivery::Deliver);
    assert_eq!(
        finished_requests(&dispatcher.completed(before.attempt, ms(4))).len(),
        1
    );
}

#[test]
fn engine_that_reports_leaving_is_believed_at_once() {
    let mut dispatcher = dispatcher(2);
    dispatcher.reported(&engine_id(0), 1, true, &Report::default(), ms(5));
    for i in 0..20 {
        let sending = only_sent_attempt(&dispatcher.arrive(request(i, 1_000), ms(6)));
        assert_eq!(lead_engine(&sending), engine_id(1));
    }
}

#[test]
fn engine_that_does_not_answer_a_probe_gets_nothing_new() {
    let mut dispatcher = dispatcher(2);
    dispatcher.probed(&engine_id(0), Probed::Dead, ms(10));
    assert_eq!(
        dispatcher.members().target_state(&engine_id(0), ms(10)),
        TargetState::Dead
    );
    for i in 0..20 {
        let sending = only_sent_attempt(&dispatcher.arrive(request(i, 1_000), ms(11)));
        assert_eq!(lead_engine(&sending), engine_id(1));
    }
    dispatcher.reported(&engine_id(0), 1, false, &Report::default(), ms(12));
    assert_eq!(
        dispatcher.members().target_state(&engine_id(0), ms(12)),
        TargetState::Live
    );
}

#[test]
fn engine_that_nobody_hears_of_gets_nothing_new() {
    let mut dispatcher = dispatcher(2);
    dispatcher.reported(&engine_id(1), 1, false, &Report::default(), ms(30_000));
    run_timers(&mut dispatcher, ms(30_260));
    for i in 0..20 {
        let sending = only_sent_attempt(&dispatcher.arrive(request(i, 1_000), ms(30_270)));
        assert_eq!(lead_engine(&sending), engine_id(1));
    }
}

#[test]
fn stalling_engine_is_ejected_but_never_too_many() {
    let mut dispatcher = dispatcher(10);
    let mut now = 10;
    for round in 0..40 {
        now += 20;
        report_all(&mut dispatcher, 10, ms(now));
        let mut wanted = request(round, 1_000);
        wanted.deadline = ms(600_000);
        for sending in sent_attempts(&dispatcher.arrive(wanted, ms(now))) {
            dispatcher.failed(sending.attempt, Failure::Stalled, ms(now));
        }
    }
    // A fifth of ten engines may be ejected, though all of them stall.
    assert_eq!(dispatcher.members().ejected_count(ms(now)), 2);
}

#[test]
fn silence_before_the_first_token_counts_as_a_stall() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    for at in [1_000, 2_000, 3_000] {
        report_all(&mut dispatcher, 2, ms(at));
    }
    let actions = run_timers(&mut dispatcher, ms(5_000));
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
    assert_ne!(only_sent_attempt(&actions).attempt, first.attempt);
}

#[test]
fn closing_refuses_the_new_and_finishes_the_old() {
    let mut dispatcher = dispatcher(1);
    let sending = only_sent_attempt(&dispatcher.arrive(request(1, 1_000), ms(1)));
    dispatcher.close();
    let refused = only_refusal(&dispatcher.arrive(request(2, 1_000), ms(2)));
    assert_eq!(
        (refused.reason, refused.ran),
        (RefusalReason::ShuttingDown, ExecutionState::NotExecuted)
    );
    assert_eq!(
        finished_requests(&dispatcher.completed(sending.attempt, ms(3))).len(),
        1
    );
    assert_eq!(dispatcher.in_flight(), 0);
}

#[test]
fn refusals_of_requests_that_wait_say_when_to_come_back() {
    let mut dispatcher = dispatcher(1);
    dispatcher.listed(&engine_id(0), true, ms(1));
    let refused = only_refusal(&dispatcher.arrive(request(1, 1_000), ms(1)));
    assert_eq!(refused.reason, RefusalReason::NoEngine);
    assert!(refused.retry_after.unwrap() >= Duration::from_secs(1));
}
