//! Fixtures shared by the tests: engines, targets and streams with the sizes of
//! the users' deployment.

use std::{net::SocketAddr, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, EngineId, ServiceId},
    serving::{
        cost::EngineModel,
        placement::{Placement, PlacementError, PlacementRequest, Stream, choose},
        targets::{InFlightId, TargetFacts, Targets},
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
        started_unix_ms: 1,
        cold_remaining: Duration::ZERO,
    }
}

pub fn targets() -> Targets {
    targets_of(ENGINES, 16)
}

/// Targets for `engines` engines with `slots` slots each.
pub fn targets_of(engines: usize, slots: u32) -> Targets {
    let mut targets = Targets::default();
    for number in 0..engines {
        let facts = TargetFacts {
            slots,
            ..facts(number)
        };
        targets.upsert(facts, ms(0));
    }
    targets
}

/// A stream with the objectives of one of the users' three size classes, by the
/// length of its prompt in tokens.
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

pub fn placement_request(prompt: u64) -> PlacementRequest {
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
    choose(
        targets,
        &placement_request(prompt),
        Some(&model()),
        rng,
        now,
    )
}

/// Places a prompt and records it as in flight.
pub fn send(
    targets: &mut Targets,
    prompt: u64,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> (Placement, InFlightId) {
    let placement = place(targets, prompt, rng, now).unwrap();
    let in_flight_id = targets.begin(placement.parts.clone(), placement.stream, now);
    (placement, in_flight_id)
}
