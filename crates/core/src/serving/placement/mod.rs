//! Chooses the target of a request.
//!
//! Plain requests go to the target with the least load. Streams are placed where
//! they delay the other streams least.

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

/// Excess over the mean failure rate that is attributed to chance.
const FAILURE_RATE_MARGIN: f64 = 0.1;

/// Cost of a target in another data centre for a plain request, in requests per
/// slot. Also the range of the random cost that spreads requests among equal targets.
const REMOTE_COST: f64 = 0.02;

/// Cost of a target whose slots are all in use, in requests per slot, where targets may
/// differ in speed: a fast one must not be given more than it holds.
const NO_SLOT_COST: f64 = 4.0;

/// Credit of a target that a request is to test, above all costs of an idle one.
const TEST_CREDIT: f64 = 100_000.0;

/// Number of runners-up in a placement.
pub const MAX_RUNNERS_UP: usize = 2;

crate::data_types! {
    /// A stream to be placed.
    pub struct Stream {
        /// Length of the prompt.
        pub prompt: Tokens,
        /// Maximum length of the response.
        pub output: Tokens,
        /// Objective for the time to the first event.
        pub objective: Duration,
        /// Objective for the gap between two events.
        pub gap: Duration,
    }

    /// A request to be placed.
    pub struct PlacementRequest {
        /// Requested service.
        pub service: ServiceId,
        /// Data centre of this instance.
        pub data_centre: DataCentreId,
        /// Size and objectives of a stream; none for a plain request.
        pub stream: Option<Stream>,
        /// Instances that place requests on the same targets, this one included.
        pub instances: u32,
        /// Expected number of streams that peers have placed since they last
        /// reported their loads.
        pub unreported_streams: f64,
        /// Targets that the request was already sent to.
        pub excluded: Vec<EngineId>,
    }

    /// An engine that prefills a part of a split prompt for the lead engine.
    pub struct Helper {
        /// Id of the engine.
        pub target: EngineId,
        /// Address of the engine.
        pub address: SocketAddr,
        /// KV memory to reserve on the engine before dispatch; zero if it holds
        /// none of the prompt.
        pub memory: Tokens,
    }

    /// One of the cheapest targets after the chosen one.
    pub struct RunnerUp {
        /// Id of the target.
        pub target: EngineId,
        /// Cost above that of the chosen target, in ms of waiting for streams and
        /// in requests per slot for plain requests.
        pub excess_cost: f64,
    }

    /// The target of a request and the engines that help it.
    pub struct Placement {
        /// Target that responds; the lead engine of a split prompt.
        pub target: EngineId,
        /// Address of the target.
        pub address: SocketAddr,
        /// Engines that prefill other parts of the prompt.
        pub helpers: Vec<Helper>,
        /// Work of the target and of each helper, the target first.
        pub parts: Vec<Part>,
        /// Expected time to the first event of a stream; zero for a plain request.
        pub estimate: Duration,
        /// Longest prefill backlog of the chosen engines; zero for a plain request.
        pub wait: Duration,
        /// Whether the prompt is longer than a short one.
        pub long: bool,
        /// Whether enough engines are idle to dispatch a long prompt without
        /// queueing it.
        pub can_skip_queue: bool,
        /// Gap objective and value of a stream, for the load of its target.
        pub stream: Option<StreamTraits>,
        /// The cheapest targets after the chosen one, at most [`MAX_RUNNERS_UP`].
        pub runners_up: Vec<RunnerUp>,
    }
}

/// Why a request can't be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no usable target.
    NoTarget,
    /// The stream needs more KV memory than all usable engines have together.
    TooLong,
    /// The chosen engines have too little free KV memory at present.
    NoMemory,
    /// The limits of all usable targets are reached. Holds the time until the first of
    /// them allows another request.
    AtLimit(Duration),
    /// All usable targets want no requests of this instance at present. Holds the time
    /// until the first of them does.
    Paused(Duration),
}

/// Chooses the target of a request, and helpers if the prompt is to be split.
///
/// # Errors
///
/// Returns an error if the service has no usable target or if the stream doesn't
/// fit into the memory of the engines.
pub fn choose(
    targets: &Targets,
    request: &PlacementRequest,
    model: Option<&EngineModel>,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Result<Placement, PlacementError> {
    let usable = targets.usable(&request.service, &request.excluded, now);
    if usable.is_empty() {
        let at_limit = targets.at_limit(&request.service, &request.excluded, now);
        let waits = at_limit.iter();
        let waits = waits.map(|target| targets.limits.wait(&target.facts.id, now));
        if let Some(wait) = waits.min() {
            return Err(PlacementError::AtLimit(wait));
        }
        let pause = targets.pause_left(&request.service, &request.excluded, now);
        return Err(pause.map_or(PlacementError::NoTarget, PlacementError::Paused));
    }
    match (&request.stream, model) {
        (Some(stream), Some(model)) => {
            stream::place(targets, &usable, request, stream, model, rng, now)
        }
        _ => Ok(place_plain(targets, &usable, request, rng, now)),
    }
}

/// Engines of a service, for the long-prompt queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCount {
    /// Usable engines.
    pub usable: usize,
    /// Usable engines that can prefill a long prompt at present, since they serve no
    /// short streams.
    pub available: usize,
}

/// Counts a service's engines for long prompts with gap objective `gap`.
pub fn count_engines(
    targets: &Targets,
    service: &ServiceId,
    gap: Duration,
    now: Instant,
) -> EngineCount {
    let usable = targets.usable(service, &[], now);
    EngineCount {
        usable: usable.len(),
        available: stream::count_long_prefill_engines(targets, &usable, gap, now),
    }
}

fn place_plain(
    targets: &Targets,
    usable: &[&Target],
    request: &PlacementRequest,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Placement {
    let mean_failure_rate = mean_failure_rate(usable, now);
    let idle = usable.iter().map(|target| &target.facts.id);
    let idle = idle.filter(|id| targets.pace.is_enabled() && targets.load(id, now).requests == 0);
    let tested = targets.pace.draw_tested(idle, rng);
    let cost = |target: &Target| {
        if Some(&target.facts.id) == tested {
            return -TEST_CREDIT;
        }
        let load = targets.load(&target.facts.id, now);
        let utilisation = f64::from(load.requests) / f64::from(target.facts.slots.max(1));
        let remote_cost = if target.facts.data_centre == request.data_centre {
            0.0
        } else {
            REMOTE_COST
        };
        let slowdown = targets.pace.slowdown(&target.facts.id, load.requests);
        let no_slot_cost = match targets.pace.is_enabled() && utilisation >= 1.0 {
            true => NO_SLOT_COST,
            false => 0.0,
        };
        // The time of the request, which grows with the target's load, over that of one
        // at an idle target of usual speed.
        slowdown * (1.0 + utilisation) - 1.0
            + no_slot_cost
            + remote_cost
            + excess_failure_rate(target, mean_failure_rate, now)
    };
    let costs = usable
        .iter()
        .map(|target| cost(target) + rng.f64() * REMOTE_COST);
    let costs: Vec<f64> = costs.collect();
    let order = cheapest_first(&costs);
    let target = usable[order[0]];
    let ids = |index: usize| &usable[index].facts.id;
    let part = Part {
        target: target.facts.id.clone(),
        prefill_time: Duration::ZERO,
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

/// Indexes of the [`MAX_RUNNERS_UP`] + 1 lowest costs, in ascending order of cost.
fn cheapest_first(costs: &[f64]) -> Vec<usize> {
    let mut order: Vec<usize> = Vec::with_capacity(MAX_RUNNERS_UP + 2);
    for (index, cost) in costs.iter().enumerate() {
        let position = order.partition_point(|other| costs[*other] <= *cost);
        if position <= MAX_RUNNERS_UP {
            order.insert(position, index);
            order.truncate(MAX_RUNNERS_UP + 1);
        }
    }
    order
}

fn runners_up<'a>(
    costs: &[f64],
    order: &[usize],
    id: impl Fn(usize) -> &'a EngineId,
) -> Vec<RunnerUp> {
    let chosen_cost = order.first().map_or(0.0, |index| costs[*index]);
    let others = order.iter().skip(1);
    let others = others.map(|index| RunnerUp {
        target: id(*index).clone(),
        excess_cost: costs[*index] - chosen_cost,
    });
    others.collect()
}

fn mean_failure_rate(targets: &[&Target], now: Instant) -> f64 {
    let sum: f64 = targets.iter().map(|target| target.failure_rate(now)).sum();
    sum / targets.len().max(1) as f64
}

/// Failure rate of a target above the mean and the margin for chance, 0 to 1.
fn excess_failure_rate(target: &Target, mean: f64, now: Instant) -> f64 {
    (target.failure_rate(now) - mean - FAILURE_RATE_MARGIN).max(0.0)
}
