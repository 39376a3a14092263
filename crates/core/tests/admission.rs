//! Limits and fair shares of client accounts.

mod common;

use std::time::Duration;

use common::{account_limits, dispatcher, ms, only_refusal, request};
use cyclamengauge_core::{
    admission::{Controller, SKEW_ALLOWANCE},
    clock::Instant,
    ids::AccountId,
    request::{ExecutionState, RefusalReason},
    units::Tokens,
};

fn controller(instance_count: u32, requests_per_s: f64, tokens_per_s: f64) -> Controller {
    let mut controller = Controller::new(instance_count);
    let mut limits = account_limits("a");
    limits.requests_per_s = requests_per_s;
    limits.prompt_tokens_per_s = tokens_per_s;
    controller.set_accounts(vec![limits]);
    controller
}

/// Number of requests with `prompt` tokens that are admitted in `seconds`, of
/// `per_s` requests per second.
fn count_admitted(controller: &mut Controller, prompt: u64, per_s: u64, seconds: u64) -> u64 {
    let account = AccountId::new("a");
    let request_count = per_s * seconds;
    let arrival = |i: u64| Instant::from_micros(i * 1_000_000 / per_s);
    let mut count = 0;
    for i in 0..request_count {
        if controller
            .admit(&account, Tokens(prompt), arrival(i))
            .is_ok()
        {
            controller.end_request(&account);
            count += 1;
        }
    }
    count
}

#[test]
fn request_rate_limit_holds_over_a_minute() {
    let count = count_admitted(&mut controller(1, 10.0, 1e12), 1, 100, 60);
    assert!(
        (600..=630).contains(&count),
        "{count} admitted, expected 600 to 630"
    );
}

#[test]
fn all_instances_together_exceed_a_rate_limit_at_most_by_the_skew_allowance() {
    let sum: u64 = (0..4)
        .map(|_| count_admitted(&mut controller(4, 40.0, 1e12), 1, 200, 100))
        .sum();
    let burst = 2.0 * 40.0 * SKEW_ALLOWANCE;
    let limit = 40.0 * 100.0 * SKEW_ALLOWANCE + burst + 4.0;
    assert!(
        (sum as f64) <= limit,
        "{sum} admitted, at most {limit} allowed"
    );
}

#[test]
fn traffic_skew_within_the_allowance_causes_no_refusal() {
    // An account at its limit sends 30 % of its requests to one of four instances.
    let count = count_admitted(&mut controller(4, 40.0, 1e12), 1, 12, 100);
    assert_eq!(count, 1_200);
}

#[test]
fn prompt_larger_than_the_token_rate_is_admitted_and_delays_the_next_request() {
    let mut controller = controller(1, 1e6, 100_000.0);
    let account = AccountId::new("a");
    assert!(controller.admit(&account, Tokens(1_000_000), ms(0)).is_ok());
    let refused = controller
        .admit(&account, Tokens(1_000), ms(1_000))
        .unwrap_err();
    assert_eq!(refused.reason, RefusalReason::RateLimited);
    let wait = refused.retry_after.unwrap();
    assert!(
        wait > Duration::from_secs(6),
        "retry after {wait:?}, expected more than 6 s"
    );
    assert!(
        controller
            .admit(&account, Tokens(1_000), ms(1_001) + wait)
            .is_ok()
    );
}

#[test]
fn change_of_limits_keeps_the_count_of_requests_in_progress() {
    let mut controller = controller(1, 1e6, 1e12);
    let account = AccountId::new("a");
    controller.admit(&account, Tokens(1), ms(0)).unwrap();
    controller.set_accounts(vec![account_limits("a")]);
    assert_eq!(controller.in_progress(&account), 1);
    controller.end_request(&account);
    assert_eq!(controller.in_progress(&account), 0);
}

#[test]
fn request_with_unreachable_deadline_is_refused_on_arrival() {
    let mut dispatcher = dispatcher(1);
    let mut unreachable_request = request(1, 400_000);
    unreachable_request.deadline = ms(2_000);
    let refusal = only_refusal(&dispatcher.submit_request(unreachable_request, ms(10)));
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert_eq!(refusal.ran, ExecutionState::NotExecuted);
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(1));
}

#[test]
fn account_above_its_fair_share_is_refused_when_capacity_is_short() {
    let mut dispatcher = dispatcher(1);
    for i in 0..60 {
        dispatcher.submit_request(request(i, 20_000), ms(10));
    }
    let mut early = request(90, 1_000);
    early.account = AccountId::new("b");
    dispatcher.submit_request(early, ms(10));
    let mut greedy = request(100, 20_000);
    greedy.deadline = ms(34_000);
    let mut modest = request(101, 20_000);
    modest.account = AccountId::new("b");
    modest.deadline = ms(34_000);
    let refused = only_refusal(&dispatcher.submit_request(greedy, ms(20)));
    assert_eq!(refused.reason, RefusalReason::OverFairShare);
    let actions = dispatcher.submit_request(modest, ms(20));
    assert_eq!(common::sent_attempts(&actions).len(), 1, "{actions:?}");
}

#[test]
fn full_instance_refuses_requests_as_not_executed() {
    let settings = cyclamengauge_core::dispatch::Settings {
        max_in_flight: 2,
        ..Default::default()
    };
    let mut dispatcher = common::dispatcher_with_settings(3, settings);
    dispatcher.submit_request(request(1, 1_000), ms(1));
    dispatcher.submit_request(request(2, 1_000), ms(1));
    let refusal = only_refusal(&dispatcher.submit_request(request(3, 1_000), ms(1)));
    assert_eq!(refusal.reason, RefusalReason::InstanceFull);
    assert_eq!(refusal.ran, ExecutionState::NotExecuted);
}
