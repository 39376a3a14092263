//! Helpers for tests that run a dispatcher and its engines in virtual time.
#![allow(dead_code)]

use std::time::Duration;

use cyclamengauge_core::{
    admission,
    clock::Instant,
    dispatch::{Action, Dispatcher, Outcome, OutgoingAttempt, Settings},
    ids::{AccountId, EngineId, ModelId, RequestId},
    request::{Fingerprint, Refusal, Request},
    routing,
    units::{Tokens, TokensPerSecond},
};

/// KV memory of each engine.
pub const ENGINE_MEMORY_TOKENS: u64 = 450_000;

/// The instant `ms` milliseconds after the start.
pub fn ms(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

pub fn engine_id(number: usize) -> EngineId {
    EngineId::new(format!("e{number}"))
}

pub fn engine_facts(number: usize) -> routing::EngineFacts {
    routing::EngineFacts {
        id: engine_id(number),
        model: ModelId::new("m"),
        memory: Tokens(ENGINE_MEMORY_TOKENS),
        slots: 64,
        prefill_rate: TokensPerSecond(50_000.0),
        network_delay: Duration::from_micros(500),
    }
}

pub fn account_limits(name: &str) -> admission::AccountLimits {
    admission::AccountLimits {
        account: AccountId::new(name),
        weight: 1.0,
        requests_per_s: 1e6,
        prompt_tokens_per_s: 1e12,
        max_concurrent: 100_000,
    }
}

/// A request of account `a` for model `m`. Each number has its own fingerprint.
pub fn request(number: u64, prompt: u64) -> Request {
    let mut content = [0; 16];
    content[..8].copy_from_slice(&number.to_le_bytes());
    Request {
        id: RequestId(number),
        account: AccountId::new("a"),
        model: ModelId::new("m"),
        prompt: Tokens(prompt),
        max_output: Tokens(100),
        prefixes: Vec::new(),
        fingerprint: Fingerprint(content),
        deadline: ms(600_000),
    }
}

/// A dispatcher with default settings and `engines` live, idle engines.
pub fn dispatcher(engines: usize) -> Dispatcher {
    dispatcher_with_settings(engines, Settings::default())
}

/// Like [`dispatcher`], with other settings. Accounts `a` and `b` are configured.
pub fn dispatcher_with_settings(engines: usize, settings: Settings) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings.clone());
    dispatcher.configure(settings, vec![account_limits("a"), account_limits("b")]);
    for i in 0..engines {
        dispatcher.declare_engine(engine_facts(i), false, Instant::ZERO);
    }
    report_all(&mut dispatcher, engines, Instant::ZERO);
    dispatcher
}

/// Reports all engines as idle, in the incarnation in which they started.
pub fn report_all(dispatcher: &mut Dispatcher, engines: usize, now: Instant) -> Vec<Action> {
    let idle = routing::LoadReport::default();
    (0..engines)
        .flat_map(|i| dispatcher.handle_report(&engine_id(i), 1, false, &idle, now))
        .collect()
}

/// The attempts that `actions` send to engines.
pub fn sent_attempts(actions: &[Action]) -> Vec<OutgoingAttempt> {
    let attempts = actions.iter().filter_map(|action| match action {
        Action::Send(sending) => Some(sending.clone()),
        _ => None,
    });
    attempts.collect()
}

/// The attempt that `actions` send.
///
/// # Panics
///
/// If there is not exactly one.
pub fn only_sent_attempt(actions: &[Action]) -> OutgoingAttempt {
    let attempts = sent_attempts(actions);
    assert_eq!(attempts.len(), 1, "expected one sent attempt: {actions:?}");
    attempts[0].clone()
}

/// The requests that `actions` finish, with their outcomes.
pub fn finished_requests(actions: &[Action]) -> Vec<(RequestId, Outcome)> {
    let finished = actions.iter().filter_map(|action| match action {
        Action::Finish { request, outcome } => Some((*request, outcome.clone())),
        _ => None,
    });
    finished.collect()
}

/// The refusal of the one request that `actions` finish.
///
/// # Panics
///
/// If `actions` finish no request, several, or one that was not refused.
pub fn only_refusal(actions: &[Action]) -> Refusal {
    match &finished_requests(actions)[..] {
        [(_, Outcome::Refused(refusal))] => *refusal,
        other => panic!("expected one refused request, got {other:?}"),
    }
}

/// The engine that generates the response of an attempt.
pub fn lead_engine(sending: &OutgoingAttempt) -> EngineId {
    sending.plan.segments[0].engine.clone()
}

/// Runs all timers due at `until` or earlier and returns their actions.
pub fn run_timers(dispatcher: &mut Dispatcher, until: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    while let Some(next) = dispatcher.next_tick().filter(|next| *next <= until) {
        actions.extend(dispatcher.tick(next));
    }
    actions
}
