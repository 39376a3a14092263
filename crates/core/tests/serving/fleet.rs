//! Facts shared by the tests: engines of the users' size.

use std::{net::SocketAddr, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, EngineId, ServiceId},
    serving::{
        cost::EngineModel,
        placement::{Placement, PlacementError, PlacementRequest, Stream, choose},
        targets::{FlightId, TargetFacts, Targets},
    },
    units::Tokens,
};

pub const ENGINES: usize = 18;

pub fn ms(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

pub fn model() -> EngineModel {
    EngineModel {
        step_ms: 0.925,
        per_stream_ms: 0.00483,
        per_1k_context_ms: 0.00254,
        prefill_tokens_per_ms: 256.0,
        per_million_pairs_ms: 0.0917,
        steps_per_iteration: 46,
        memory: Tokens(450_000),
        slots: 16,
    }
}

pub fn id(number: usize) -> EngineId {
    EngineId::new(format!("e{number}"))
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 8_000))
}

pub fn facts(number: usize) -> TargetFacts {
    TargetFacts {
        id: id(number),
        service: ServiceId::new("engines"),
        address: address(number),
        data_centre: DataCentreId::new(format!("dc{}", number % 3)),
        slots: 16,
        draining: false,
        born_unix_ms: 1,
    }
}

pub fn targets() -> Targets {
    targets_of(ENGINES, 16)
}

/// So many engines with so many slots each.
pub fn targets_of(engines: usize, slots: u32) -> Targets {
    let mut targets = Targets::default();
    for number in 0..engines {
        let facts = TargetFacts {
            slots,
            ..facts(number)
        };
        targets.listed(facts, ms(0));
    }
    targets
}

/// A stream of one of the users' three kinds, by the length of its prompt.
pub fn stream(prompt: u64) -> Stream {
    let (objective_ms, gap_ms) = match prompt {
        0..25_000 => (300, 200),
        25_000..120_000 => (1_500, 500),
        _ => (3_000, 800),
    };
    Stream {
        prompt: Tokens(prompt),
        output: Tokens(1_600),
        objective: Duration::from_millis(objective_ms),
        gap: Duration::from_millis(gap_ms),
    }
}

pub fn ask(prompt: u64) -> PlacementRequest {
    PlacementRequest {
        service: ServiceId::new("engines"),
        data_centre: DataCentreId::new("dc0"),
        stream: Some(stream(prompt)),
        instances: 5,
        unreported_streams: 2.0,
        excluded: Vec::new(),
    }
}

pub fn place(
    targets: &Targets,
    prompt: u64,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Result<Placement, PlacementError> {
    choose(targets, &ask(prompt), Some(&model()), rng, now)
}

/// Places a prompt and notes it as sent.
pub fn send(
    targets: &mut Targets,
    prompt: u64,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> (Placement, FlightId) {
    let placement = place(targets, prompt, rng, now).unwrap();
    let flight = targets.begin(placement.parts.clone(), placement.stream, now);
    (placement, flight)
}
