//! Lifecycle of a request: deadlines, retries, resumption, cancellation, shutdown.

mod common;

use std::time::Duration;

use common::{
    dispatcher, engine_id, finished_requests, lead_engine, ms, only_refusal, only_sent_attempt,
    report_all, request, run_timers, sent_attempts,
};
use cyclamengauge_core::{
    dispatch::{Action, Delivery, Failure, Outcome, ProbeResult},
    ids::RequestId,
    membership::TargetState,
    request::{ExecutionState, RefusalReason},
    routing::LoadReport,
};

#[test]
fn complete_response_finishes_the_request() {
    let mut dispatcher = dispatcher(2);
    let sent = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    for position in 0..100 {
        let (delivery, _) = dispatcher.handle_tokens(sent.attempt, position, 1, ms(2));
        assert_eq!(delivery, Delivery::Deliver);
    }
    let finished = finished_requests(&dispatcher.handle_completion(sent.attempt, ms(3)));
    assert_eq!(finished, [(RequestId(1), Outcome::Completed)]);
    assert_eq!(dispatcher.in_flight(), 0);
}

#[test]
fn passed_deadline_refuses_the_request_and_cancels_its_attempt() {
    let mut dispatcher = dispatcher(1);
    let mut new_request = request(1, 1_000);
    new_request.deadline = ms(20_000);
    let sent = only_sent_attempt(&dispatcher.submit_request(new_request, ms(1)));
    // Tokens keep arriving, slowly, so that the stream does not count as stalled.
    for i in 0..10 {
        report_all(&mut dispatcher, 1, ms(i * 2_000));
        run_timers(&mut dispatcher, ms(i * 2_000));
        dispatcher.handle_tokens(sent.attempt, i, 1, ms(i * 2_000));
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
fn requests_stay_in_flight_after_a_failed_connection() {
    let mut dispatcher = dispatcher(3);
    let first = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    dispatcher.handle_failure(first.attempt, Failure::NotSent, ms(2));
    // A single failed connection leaves the engine usable, but its load gives it no
    // preference; a second one in a row makes it dead.
    let mut last = None;
    for at in 3..10 {
        let actions = dispatcher.submit_request(request(at, 1_000), ms(at));
        last = sent_attempts(&actions).into_iter().next().or(last);
    }
    assert!(last.is_some(), "expected an attempt, got none");
    assert_eq!(dispatcher.in_flight(), 8);
}

#[test]
fn broken_connection_resumes_at_the_next_token() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    dispatcher.handle_tokens(first.attempt, 0, 7, ms(2));
    let actions = dispatcher.handle_failure(first.attempt, Failure::Broken, ms(3));
    assert!(matches!(&actions[..], [Action::Probe(_)]), "{actions:?}");
    let alive = ProbeResult::Alive { incarnation: 1 };
    let second = only_sent_attempt(&dispatcher.handle_probe_result(
        &lead_engine(&first),
        alive,
        ms(3),
        ms(4),
    ));
    assert_eq!(second.resume_from, 7);
    assert_ne!(second.attempt, first.attempt);
}

#[test]
fn late_tokens_of_an_ended_attempt_are_dropped() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    dispatcher.handle_tokens(first.attempt, 0, 3, ms(2));
    let second =
        only_sent_attempt(&dispatcher.handle_failure(first.attempt, Failure::Stalled, ms(3)));
    let (late_delivery, _) = dispatcher.handle_tokens(first.attempt, 3, 1, ms(4));
    assert_eq!(late_delivery, Delivery::Drop);
    assert!(
        dispatcher
            .handle_completion(first.attempt, ms(4))
            .is_empty()
    );
    let (next_delivery, _) = dispatcher.handle_tokens(second.attempt, 3, 1, ms(5));
    assert_eq!(next_delivery, Delivery::Deliver);
}

#[test]
fn repeated_or_skipped_tokens_never_reach_the_client() {
    for position in [2, 4] {
        let mut dispatcher = dispatcher(2);
        let sent = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
        dispatcher.handle_tokens(sent.attempt, 0, 3, ms(2));
        let (delivery, actions) = dispatcher.handle_tokens(sent.attempt, position, 1, ms(3));
        assert_eq!(delivery, Delivery::Drop);
        assert_eq!(only_sent_attempt(&actions).resume_from, 3);
    }
}

#[test]
fn retry_budget_bounds_attempts_during_an_outage() {
    let mut dispatcher = dispatcher(4);
    let mut attempt_count = 0;
    let mut pending = Vec::new();
    for i in 0..500 {
        pending.extend(sent_attempts(
            &dispatcher.submit_request(request(i, 1_000), ms(1)),
        ));
    }
    // All engines refuse all attempts.
    while let Some(sent) = pending.pop() {
        attempt_count += 1;
        pending.extend(sent_attempts(&dispatcher.handle_failure(
            sent.attempt,
            Failure::Rejected,
            ms(2),
        )));
    }
    assert!(
        attempt_count <= 500 + 20,
        "expected at most 520 attempts for 500 requests, got {attempt_count}"
    );
    assert_eq!(dispatcher.in_flight(), 0);
}

#[test]
fn client_disconnect_cancels_the_attempt_and_updates_the_load() {
    let mut dispatcher = dispatcher(1);
    let sent = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    let actions = dispatcher.handle_client_disconnect(RequestId(1), ms(2));
    let is_cancelled = actions.iter().any(|action| match action {
        Action::Cancel { attempt, .. } => *attempt == sent.attempt,
        _ => false,
    });
    assert!(
        is_cancelled,
        "expected a cancelled attempt {:?}, got {actions:?}",
        sent.attempt
    );
    assert_eq!(dispatcher.fleet().engines()[0].load.own_requests(), 0);
}

#[test]
fn leaving_engine_receives_no_new_requests_and_finishes_running_ones() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    let leaving_engine = lead_engine(&first);
    dispatcher.handle_list_entry(&leaving_engine, true, ms(2));
    for i in 2..50 {
        let sent = only_sent_attempt(&dispatcher.submit_request(request(i, 1_000), ms(2)));
        assert_ne!(lead_engine(&sent), leaving_engine);
    }
    let (delivery, _) = dispatcher.handle_tokens(first.attempt, 0, 1, ms(3));
    assert_eq!(delivery, Delivery::Deliver);
    assert_eq!(
        finished_requests(&dispatcher.handle_completion(first.attempt, ms(4))).len(),
        1
    );
}

#[test]
fn engine_that_reports_leaving_receives_no_new_requests() {
    let mut dispatcher = dispatcher(2);
    dispatcher.handle_report(&engine_id(0), 1, true, &LoadReport::default(), ms(5));
    for i in 0..20 {
        let sent = only_sent_attempt(&dispatcher.submit_request(request(i, 1_000), ms(6)));
        assert_eq!(lead_engine(&sent), engine_id(1));
    }
}

#[test]
fn engine_that_fails_a_probe_receives_no_new_requests_until_it_reports() {
    let mut dispatcher = dispatcher(2);
    dispatcher.handle_probe_result(&engine_id(0), ProbeResult::Dead, ms(10), ms(10));
    assert_eq!(
        dispatcher.membership().target_state(&engine_id(0), ms(10)),
        TargetState::Dead
    );
    for i in 0..20 {
        let sent = only_sent_attempt(&dispatcher.submit_request(request(i, 1_000), ms(11)));
        assert_eq!(lead_engine(&sent), engine_id(1));
    }
    dispatcher.handle_report(&engine_id(0), 1, false, &LoadReport::default(), ms(12));
    assert_eq!(
        dispatcher.membership().target_state(&engine_id(0), ms(12)),
        TargetState::Live
    );
}

/// Guards against a slow engine that is taken for a crashed one: its requests would be made
/// again elsewhere, and a sound content that runs long would be quarantined.
#[test]
fn engine_that_is_silent_keeps_its_requests_and_their_contents_are_not_suspected() {
    let mut dispatcher = dispatcher(2);
    let sent = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    let silent = lead_engine(&sent);
    for round in 0..10 {
        let now = ms(100 + round * 100);
        let actions = dispatcher.handle_probe_result(&silent, ProbeResult::Silent, now, now);
        assert!(actions.is_empty(), "{actions:?}");
    }
    for i in 2..20 {
        let other = only_sent_attempt(&dispatcher.submit_request(request(i, 1_000), ms(1_200)));
        assert_ne!(lead_engine(&other), silent, "a silent engine gets requests");
    }
    let (delivery, _) = dispatcher.handle_tokens(sent.attempt, 0, 1, ms(1_300));
    assert_eq!(delivery, Delivery::Deliver);
    let ended = dispatcher.handle_completion(sent.attempt, ms(1_400));
    assert_eq!(finished_requests(&ended).len(), 1);
}

/// A connection that broke to an engine that is silent: the request is made again, and its
/// content is not suspected.
#[test]
fn request_of_a_broken_connection_to_a_silent_engine_is_retried_without_suspicion() {
    let mut dispatcher = dispatcher(3);
    let sent = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    let engine = lead_engine(&sent);
    dispatcher.handle_failure(sent.attempt, Failure::Broken, ms(10));
    let actions = dispatcher.handle_probe_result(&engine, ProbeResult::Silent, ms(10), ms(510));
    let retried = only_sent_attempt(&actions);
    let fingerprint = request(1, 1_000).fingerprint;
    assert_eq!(
        dispatcher.quarantine().crash_count(&fingerprint, ms(511)),
        0
    );
    let (delivery, _) = dispatcher.handle_tokens(retried.attempt, 0, 1, ms(600));
    assert_eq!(delivery, Delivery::Deliver);
}

/// Guards against a content that crashes engines and is sent on without suspicion: probes of an
/// engine that ends may be answered from before its end, or see silence, before one is refused.
#[test]
fn request_on_an_engine_that_ends_is_suspected_whatever_other_probes_saw() {
    let mut dispatcher = dispatcher(3);
    let sent = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    let engine = lead_engine(&sent);
    dispatcher.handle_failure(sent.attempt, Failure::Broken, ms(10));
    let alive = ProbeResult::Alive { incarnation: 1 };
    let actions = dispatcher.handle_probe_result(&engine, alive, ms(9), ms(11));
    assert!(actions.is_empty(), "{actions:?}");
    let actions = dispatcher.handle_probe_result(&engine, ProbeResult::Silent, ms(10), ms(160));
    assert!(matches!(&actions[..], [Action::Probe(_)]), "{actions:?}");
    dispatcher.handle_probe_result(&engine, ProbeResult::Dead, ms(160), ms(170));
    let fingerprint = request(1, 1_000).fingerprint;
    let crashes = dispatcher.quarantine().crash_count(&fingerprint, ms(171));
    assert_eq!(crashes, 1);
}

#[test]
fn engine_without_recent_reports_receives_no_new_requests() {
    let mut dispatcher = dispatcher(2);
    dispatcher.handle_report(&engine_id(1), 1, false, &LoadReport::default(), ms(30_000));
    run_timers(&mut dispatcher, ms(30_260));
    for i in 0..20 {
        let sent = only_sent_attempt(&dispatcher.submit_request(request(i, 1_000), ms(30_270)));
        assert_eq!(lead_engine(&sent), engine_id(1));
    }
}

#[test]
fn stalling_engines_are_ejected_up_to_the_maximum_share() {
    let mut dispatcher = dispatcher(10);
    let mut now = 10;
    for round in 0..40 {
        now += 20;
        report_all(&mut dispatcher, 10, ms(now));
        let mut new_request = request(round, 1_000);
        new_request.deadline = ms(600_000);
        for sent in sent_attempts(&dispatcher.submit_request(new_request, ms(now))) {
            dispatcher.handle_failure(sent.attempt, Failure::Stalled, ms(now));
        }
    }
    // At most a fifth of the ten engines is ejected, though all of them stall.
    assert_eq!(dispatcher.membership().ejected_count(ms(now)), 2);
}

#[test]
fn missing_first_token_counts_as_a_stall() {
    let mut dispatcher = dispatcher(2);
    let first = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    for at in [1_000, 2_000, 3_000] {
        report_all(&mut dispatcher, 2, ms(at));
    }
    let actions = run_timers(&mut dispatcher, ms(5_000));
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
    assert_ne!(only_sent_attempt(&actions).attempt, first.attempt);
}

#[test]
fn closed_dispatcher_refuses_new_requests_and_finishes_running_ones() {
    let mut dispatcher = dispatcher(1);
    let sent = only_sent_attempt(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    dispatcher.close();
    let refusal = only_refusal(&dispatcher.submit_request(request(2, 1_000), ms(2)));
    assert_eq!(
        (refusal.reason, refusal.ran),
        (RefusalReason::ShuttingDown, ExecutionState::NotExecuted)
    );
    assert_eq!(
        finished_requests(&dispatcher.handle_completion(sent.attempt, ms(3))).len(),
        1
    );
    assert_eq!(dispatcher.in_flight(), 0);
}

#[test]
fn refusal_for_lack_of_a_usable_engine_has_a_retry_after() {
    let mut dispatcher = dispatcher(1);
    dispatcher.handle_list_entry(&engine_id(0), true, ms(1));
    let refusal = only_refusal(&dispatcher.submit_request(request(1, 1_000), ms(1)));
    assert_eq!(refusal.reason, RefusalReason::NoEngine);
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(1));
}
