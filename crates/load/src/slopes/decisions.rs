//! Processor time of decisions.

use std::time::{Duration, Instant as WallInstant};

use cyclamengauge_core::{
    admission,
    clock::Instant,
    dispatch::{Action, Dispatcher, Settings},
    ids::{AccountId, EngineId, ModelId, RequestId},
    request::{Fingerprint, Request},
    routing,
    units::{Tokens, TokensPerSecond},
};

use crate::slopes::Slope;

/// Engines in view.
const TARGETS: [usize; 5] = [20, 50, 100, 300, 760];

/// Requests in progress.
const IN_PROGRESS: [usize; 4] = [200, 1_000, 4_000, 16_000];

/// Decisions timed at each size.
const DECISIONS: usize = 5_000;

pub(super) fn measure() -> Vec<Slope> {
    let decision = TARGETS.map(|n| (n as f64, decision_us(n)));
    let request = IN_PROGRESS.map(|n| (n as f64, request_us(n)));
    vec![
        Slope::new("decision_us", "us", "target in view", decision.to_vec()),
        Slope::new("dispatch_us", "us", "request in progress", request.to_vec()),
    ]
}

/// A dispatcher that sees `engines` live engines.
pub(super) fn dispatcher(engines: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings {
        max_in_flight: usize::MAX,
        ..Settings::default()
    });
    let limits = admission::AccountLimits {
        account: AccountId::new("a"),
        weight: 1.0,
        requests_per_s: 1e9,
        prompt_tokens_per_s: 1e12,
        max_concurrent: u32::MAX,
    };
    let settings = Settings {
        max_in_flight: usize::MAX,
        ..Settings::default()
    };
    dispatcher.configure(settings, vec![limits]);
    for i in 0..engines {
        let id = EngineId::new(format!("engine-{i:05}"));
        let facts = routing::EngineFacts {
            id: id.clone(),
            model: ModelId::new("m"),
            memory: Tokens(u64::MAX / 4),
            slots: 1_000_000,
            prefill_rate: TokensPerSecond(50_000.0),
            network_delay: Duration::from_micros(500),
        };
        dispatcher.declare_engine(facts, false, Instant::ZERO);
        dispatcher.handle_report(
            &id,
            1,
            false,
            &routing::LoadReport::default(),
            Instant::ZERO,
        );
    }
    dispatcher
}

pub(super) fn request(number: u64) -> Request {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Request {
        id: RequestId(number),
        account: AccountId::new("a"),
        model: ModelId::new("m"),
        prompt: Tokens(2_000),
        max_output: Tokens(100),
        prefixes: Vec::new(),
        fingerprint: Fingerprint(bytes),
        deadline: Instant::from_millis(3_600_000),
    }
}

/// Time of one decision among `targets` engines, by the plan alone.
fn decision_us(targets: usize) -> f64 {
    let mut fleet = dispatcher(targets).fleet().clone();
    let asked = request(1);
    let started = WallInstant::now();
    for i in 0..DECISIONS {
        let now = Instant::from_micros(i as u64);
        let plan = fleet.plan(&asked, now);
        assert!(plan.is_ok(), "an idle fleet has room");
    }
    started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

/// Time of a request's whole course through the dispatcher, with so many others
/// in progress.
fn request_us(in_progress: usize) -> f64 {
    let mut dispatcher = dispatcher(20);
    let now = Instant::from_millis(1);
    for i in 0..in_progress {
        dispatcher.submit_request(request(i as u64), now);
    }
    let started = WallInstant::now();
    for i in 0..DECISIONS {
        let number = (in_progress + i) as u64;
        for action in dispatcher.submit_request(request(number), now) {
            if let Action::Send(sending) = action {
                dispatcher.handle_tokens(sending.attempt, 0, 1, now);
                dispatcher.handle_completion(sending.attempt, now);
            }
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}
