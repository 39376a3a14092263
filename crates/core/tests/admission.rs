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

fn gate(instances: u32, requests_per_s: f64, tokens_per_s: f64) -> Controller {
    let mut gate = Controller::new(instances);
    let mut limits = account_limits("a");
    limits.requests_per_s = requests_per_s;
    limits.prompt_tokens_per_s = tokens_per_s;
    gate.set_accounts(vec![limits]);
    gate
}

/// Requests of `prompt` tokens admitted in `seconds` when asked `per_s` times.
fn admitted(gate: &mut Controller, prompt: u64, per_s: u64, seconds: u64) -> u64 {
    let account = AccountId::new("a");
    let tries = per_s * seconds;
    let at = |i: u64| Instant::from_micros(i * 1_000_000 / per_s);
    let mut count = 0;
    for i in 0..tries {
        if gate.admit(&account, Tokens(prompt), at(i)).is_ok() {
            gate.end_request(&account);
            count += 1;
        }
    }
    count
}

#[test]
fn request_rate_holds_over_time() {
    let count = admitted(&mut gate(1, 10.0, 1e12), 1, 100, 60);
    assert!((600..=630).contains(&count), "{count}");
}

#[test]
fn all_instances_together_exceed_a_limit_by_the_skew_allowance_at_most() {
    let sum: u64 = (0..4)
        .map(|_| admitted(&mut gate(4, 40.0, 1e12), 1, 200, 100))
        .sum();
    let burst = 2.0 * 40.0 * SKEW_ALLOWANCE;
    let most = 40.0 * 100.0 * SKEW_ALLOWANCE + burst + 4.0;
    assert!((sum as f64) <= most, "{sum} admitted, allowed {most}");
}

#[test]
fn uneven_spread_within_the_allowance_refuses_nothing_early() {
    // 30 % of the traffic of an account at its limit arrives at one of four.
    let count = admitted(&mut gate(4, 40.0, 1e12), 1, 12, 100);
    assert_eq!(count, 1_200);
}

#[test]
fn prompt_larger_than_the_token_rate_passes_and_is_paid_off() {
    let mut gate = gate(1, 1e6, 100_000.0);
    let account = AccountId::new("a");
    assert!(gate.admit(&account, Tokens(1_000_000), ms(0)).is_ok());
    let refused = gate.admit(&account, Tokens(1_000), ms(1_000)).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::RateLimited);
    let wait = refused.retry_after.unwrap();
    assert!(wait > Duration::from_secs(6), "{wait:?}");
    assert!(
        gate.admit(&account, Tokens(1_000), ms(1_001) + wait)
            .is_ok()
    );
}

#[test]
fn limits_changed_midway_keep_requests_in_progress_counted() {
    let mut gate = gate(1, 1e6, 1e12);
    let account = AccountId::new("a");
    gate.admit(&account, Tokens(1), ms(0)).unwrap();
    gate.set_accounts(vec![account_limits("a")]);
    assert_eq!(gate.in_progress(&account), 1);
    gate.end_request(&account);
    assert_eq!(gate.in_progress(&account), 0);
}

#[test]
fn unreachable_deadline_is_refused_at_once() {
    let mut dispatcher = dispatcher(1);
    let mut wanted = request(1, 400_000);
    wanted.deadline = ms(2_000);
    let refusal = only_refusal(&dispatcher.arrive(wanted, ms(10)));
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert_eq!(refusal.ran, ExecutionState::NotExecuted);
    assert!(refusal.retry_after.unwrap() >= Duration::from_secs(1));
}

#[test]
fn account_above_its_share_gives_way_when_time_is_short() {
    let mut dispatcher = dispatcher(1);
    for i in 0..60 {
        dispatcher.arrive(request(i, 20_000), ms(10));
    }
    let mut early = request(90, 1_000);
    early.account = AccountId::new("b");
    dispatcher.arrive(early, ms(10));
    let mut greedy = request(100, 20_000);
    greedy.deadline = ms(34_000);
    let mut modest = request(101, 20_000);
    modest.account = AccountId::new("b");
    modest.deadline = ms(34_000);
    let refused = only_refusal(&dispatcher.arrive(greedy, ms(20)));
    assert_eq!(refused.reason, RefusalReason::OverFairShare);
    let actions = dispatcher.arrive(modest, ms(20));
    assert_eq!(common::sent_attempts(&actions).len(), 1, "{actions:?}");
}

#[test]
fn full_instance_refuses_truly() {
    let settings = cyclamengauge_core::dispatch::Settings {
        max_in_flight: 2,
        ..Default::default()
    };
    let mut dispatcher = common::dispatcher_with_settings(3, settings);
    dispatcher.arrive(request(1, 1_000), ms(1));
    dispatcher.arrive(request(2, 1_000), ms(1));
    let refusal = only_refusal(&dispatcher.arrive(request(3, 1_000), ms(1)));
    assert_eq!(refusal.reason, RefusalReason::InstanceFull);
    assert_eq!(refusal.ran, ExecutionState::NotExecuted);
}
