//! Chooses where a request runs.
//!
//! Plain requests go to the least busy target. Streams are placed by what they
//! cost the streams beside them.

mod stream;

use std::{net::SocketAddr, time::Duration};

use crate::{
    clock::Instant,
    ids::{DataCentreId, EngineId, ServiceId},
    serving::{
        cost::EngineModel,
        targets::{Part, StreamTraits, Target, Targets},
    },
    units::Tokens,
};

/// Excess over the mean failure rate that is put down to chance.
const FAILURE_NOISE: f64 = 0.1;

/// Cost of a plain request's data centre being another, in requests per slot.
const FAR_COST: f64 = 0.02;

/// Targets that a placement names besides the chosen one, for its explanation.
pub const RUNNERS_UP: usize = 2;

crate::values! {
    /// A stream that is to be placed.
    pub struct Stream {
        /// Length of the prompt.
        pub prompt: Tokens,
        /// Longest answer.
        pub output: Tokens,
        /// Objective for the first event.
        pub objective: Duration,
        /// Longest pause between events that is on time.
        pub gap: Duration,
    }

    /// A request that is to be placed.
    pub struct PlacementRequest {
        /// Service that is to answer.
        pub service: ServiceId,
        /// Data centre of this instance.
        pub data_centre: DataCentreId,
        /// What is known of a stream; none for a plain request.
        pub stream: Option<Stream>,
        /// Instances that place requests by the same, slightly old news.
        pub instances: u32,
        /// Streams that other instances are likely to have placed since the news
        /// of their loads.
        pub unreported_streams: f64,
        /// Targets that have had the request.
        pub excluded: Vec<EngineId>,
    }

    /// An engine that helps to read a prompt.
    pub struct Helper {
        /// The engine.
        pub target: EngineId,
        /// Its address.
        pub address: SocketAddr,
        /// Memory that it must have reserved first; zero if it only reads.
        pub memory: Tokens,
    }

    /// A target that could have been chosen instead.
    pub struct RunnerUp {
        /// The target.
        pub target: EngineId,
        /// Its cost above the chosen target's: in ms of waiting for streams, in
        /// requests per slot for others.
        pub excess_cost: f64,
    }

    /// Where a request is to run.
    pub struct Placement {
        /// Target that answers.
        pub target: EngineId,
        /// Its address.
        pub address: SocketAddr,
        /// Engines that help to read the prompt.
        pub helpers: Vec<Helper>,
        /// The target and its helpers with their parts; the target first.
        pub parts: Vec<Part>,
        /// Expected time to the first event, or to the answer.
        pub estimate: Duration,
        /// Part of it that passes before the prompt is being read.
        pub wait: Duration,
        /// Whether the prompt is a long one.
        pub long: bool,
        /// Whether so many engines are idle that no turn is needed.
        pub can_skip_queue: bool,
        /// What the load of a stream depends on.
        pub stream: Option<StreamTraits>,
        /// The next cheapest targets, at most [`RUNNERS_UP`].
        pub runners_up: Vec<RunnerUp>,
    }
}

/// Why a request can't be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no usable target.
    NoTarget,
    /// The prompt needs more memory than all engines have together.
    TooLong,
    /// The engines have too little free memory now.
    NoMemory,
}

/// Chooses the target of a request, and helpers if it is a long prompt.
///
/// # Errors
///
/// If the service has no target that can take the request.
pub fn choose(
    targets: &Targets,
    ask: &PlacementRequest,
    model: Option<&EngineModel>,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Result<Placement, PlacementError> {
    let usable = targets.usable(&ask.service, &ask.excluded, now);
    if usable.is_empty() {
        return Err(PlacementError::NoTarget);
    }
    match (&ask.stream, model) {
        (Some(wanted), Some(model)) => {
            stream::place(targets, &usable, ask, wanted, model, rng, now)
        }
        _ => Ok(place_plain(targets, &usable, ask, rng, now)),
    }
}

/// Engines of a service on which a long prompt with such a gap objective could be
/// read now without harm to short streams.
pub fn count_long_prefill_engines(
    targets: &Targets,
    service: &ServiceId,
    gap: Duration,
    now: Instant,
) -> usize {
    let usable = targets.usable(service, &[], now);
    stream::tolerant(targets, &usable, gap, now)
}

fn place_plain(
    targets: &Targets,
    usable: &[&Target],
    ask: &PlacementRequest,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Placement {
    let mean = mean_failure_rate(usable, now);
    let cost = |target: &Target| {
        let load = targets.load(&target.facts.id, now);
        let busy = f64::from(load.requests) / f64::from(target.facts.slots.max(1));
        let far = if target.facts.data_centre == ask.data_centre {
            0.0
        } else {
            FAR_COST
        };
        busy + far + failing(target, mean, now)
    };
    let costs = usable
        .iter()
        .map(|target| cost(target) + rng.f64() * FAR_COST);
    let costs: Vec<f64> = costs.collect();
    let order = cheapest_first(&costs);
    let target = usable[order[0]];
    let ids = |index: usize| &usable[index].facts.id;
    let part = Part {
        target: target.facts.id.clone(),
        read_time: Duration::ZERO,
        memory: Tokens(0),
    };
    Placement {
        target: target.facts.id.clone(),
        address: target.facts.address,
        helpers: Vec::new(),
        parts: vec![part],
        estimate: Duration::ZERO,
        wait: Duration::ZERO,
        long: false,
        can_skip_queue: false,
        stream: None,
        runners_up: runners_up(&costs, &order, ids),
    }
}

/// Indexes of the cheapest few, the cheapest first.
fn cheapest_first(costs: &[f64]) -> Vec<usize> {
    let mut order: Vec<usize> = Vec::with_capacity(RUNNERS_UP + 2);
    for (index, cost) in costs.iter().enumerate() {
        let place = order.partition_point(|other| costs[*other] <= *cost);
        if place <= RUNNERS_UP {
            order.insert(place, index);
            order.truncate(RUNNERS_UP + 1);
        }
    }
    order
}

fn runners_up<'a>(
    costs: &[f64],
    order: &[usize],
    id: impl Fn(usize) -> &'a EngineId,
) -> Vec<RunnerUp> {
    let chosen = order.first().map_or(0.0, |index| costs[*index]);
    let others = order.iter().skip(1);
    let others = others.map(|index| RunnerUp {
        target: id(*index).clone(),
        excess_cost: costs[*index] - chosen,
    });
    others.collect()
}

fn mean_failure_rate(targets: &[&Target], now: Instant) -> f64 {
    let sum: f64 = targets.iter().map(|target| target.failure_rate(now)).sum();
    sum / targets.len().max(1) as f64
}

/// How much more often than the others a target fails, 0 to 1.
fn failing(target: &Target, mean: f64, now: Instant) -> f64 {
    (target.failure_rate(now) - mean - FAILURE_NOISE).max(0.0)
}
