//! A small fleet for tests of the dispatcher, in virtual time.
#![allow(dead_code)]

use std::time::Duration;

use cyclamengauge_core::{
    admission,
    clock::Instant,
    dispatch::{Action, Dispatcher, Outcome, Sending, Settings},
    ids::{AccountId, EngineId, ModelId, RequestId},
    request::{Fingerprint, Refusal, Request},
    routing,
    units::{Tokens, TokensPerSecond},
};

pub const MEMORY: u64 = 450_000;

pub fn ms(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

pub fn engine_id(number: usize) -> EngineId {
    EngineId::new(format!("e{number}"))
}

pub fn facts(number: usize) -> routing::EngineFacts {
    routing::EngineFacts {
        id: engine_id(number),
        model: ModelId::new("m"),
        memory: Tokens(MEMORY),
        slots: 64,
        prefill: TokensPerSecond(50_000.0),
        distance: Duration::from_micros(500),
    }
}

pub fn limits(name: &str) -> admission::AccountLimits {
    admission::AccountLimits {
        account: AccountId::new(name),
        weight: 1.0,
        requests_per_s: 1e6,
        prompt_tokens_per_s: 1e12,
        max_concurrent: 100_000,
    }
}

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

/// A dispatcher with `engines` live, idle engines.
pub fn dispatcher(engines: usize) -> Dispatcher {
    with_settings(engines, Settings::default())
}

pub fn with_settings(engines: usize, settings: Settings) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings.clone());
    dispatcher.configure(settings, vec![limits("a"), limits("b")]);
    for i in 0..engines {
        dispatcher.declare_engine(facts(i), false, Instant::ZERO);
    }
    report_all(&mut dispatcher, engines, Instant::ZERO);
    dispatcher
}

/// All engines report that they are idle and have not restarted.
pub fn report_all(dispatcher: &mut Dispatcher, engines: usize, now: Instant) -> Vec<Action> {
    let idle = routing::Report::default();
    (0..engines)
        .flat_map(|i| dispatcher.reported(&engine_id(i), 1, false, &idle, now))
        .collect()
}

pub fn sent(actions: &[Action]) -> Vec<Sending> {
    let sendings = actions.iter().filter_map(|action| match action {
        Action::Send(sending) => Some(sending.clone()),
        _ => None,
    });
    sendings.collect()
}

pub fn only_sent(actions: &[Action]) -> Sending {
    let all = sent(actions);
    assert_eq!(all.len(), 1, "{actions:?}");
    all[0].clone()
}

pub fn finished(actions: &[Action]) -> Vec<(RequestId, Outcome)> {
    let ends = actions.iter().filter_map(|action| match action {
        Action::Finish { request, outcome } => Some((*request, outcome.clone())),
        _ => None,
    });
    ends.collect()
}

pub fn refusal(actions: &[Action]) -> Refusal {
    match &finished(actions)[..] {
        [(_, Outcome::Refused(refusal))] => *refusal,
        other => panic!("not one refusal: {other:?}"),
    }
}

pub fn lead(sending: &Sending) -> EngineId {
    sending.plan.segments[0].engine.clone()
}

/// Ticks until nothing is due before `until`, collecting actions.
pub fn run_timers(dispatcher: &mut Dispatcher, until: Instant) -> Vec<Action> {
    let mut actions = Vec::new();
    while let Some(next) = dispatcher.next_tick().filter(|next| *next <= until) {
        actions.extend(dispatcher.tick(next));
    }
    actions
}
