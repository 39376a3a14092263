//! Places streams on engines that work in passes.
//!
//! Reading a prompt stretches the pass of its engine, and with it the pause of
//! every stream that writes there. Short streams therefore gather on as few
//! engines as hold them, from one end of an order on which all instances agree.
//! Prompts of middle length are written there too, but read on others. Long ones
//! take their turn on all engines without short streams.

use std::time::Duration;

use crate::{
    clock::Instant,
    routing::hash,
    serving::{
        cost::EngineModel,
        placement::{
            self, Helper, Placement, PlacementError, PlacementRequest, RunnerUp, Stream, failing,
            mean_failure_rate,
        },
        queue,
        targets::{Load, Part, StreamTraits, Target, Targets},
    },
    units::Tokens,
};

/// Numbers of engines over which a prompt may be split; an engine takes at most
/// 16 helpers.
const SPLITS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 12, 16];

/// Reading time from which a prompt counts as long: half of the pause that short
/// streams allow, of which the other half is left to the pass.
const LONG_READ: Duration = Duration::from_millis(100);

/// Cost of making a stream late, in ms of waiting for each unit of its value.
const LATE_MS: f64 = 400.0;

/// How sharply the risk of a late event rises towards the objective. Passes vary
/// by what arrives during them, so there is a risk below the objective too.
const RISK_EXPONENT: i32 = 10;

/// Cost for a short prompt of the first short stream on an engine, in ms: an
/// engine without short streams is left to long prompts.
const OPEN_MS: f64 = 300.0;

/// Room that is kept for streams which other instances place unseen, as a multiple
/// of their expected number.
const UNSEEN_RESERVE: f64 = 2.0;

/// Cost of the far end of the order against the near end, in ms.
const ORDER_MS: f64 = 60.0;

/// The same for a part of a long prompt, which takes most engines anyway.
const LONG_ORDER_MS: f64 = 8.0;

/// Cost for a short stream of an engine that reads long prompts, in ms.
const LONG_NEIGHBOUR_MS: f64 = 150.0;

/// Cost of a part of a long prompt on an engine whose streams allow shorter
/// pauses, in ms.
const SHORT_NEIGHBOUR_MS: f64 = 40.0;

/// Part of the engines without short streams over which a prompt that waits for
/// its turn is split at least. Prompts are read one after the other, each by all
/// of them, because side by side each would take as long as all together.
const LEAST_SPLIT_SHARE: f64 = 0.7;

/// With so many times the engines of a long prompt idle, prompts of other
/// instances find some too, and none needs a turn.
const PLENTY: usize = 2;

/// Part of an engine's memory that may be promised.
const PROMISED_SHARE: f64 = 0.95;

/// Streams on an engine are short ones if their gap objective is below this part
/// of the long prompt's.
const TOLERANT_GAP_PART: u32 = 2;

/// Part of an engine's slots from which each further request has a cost: other
/// instances may be sending there too.
const COMFORTABLE_SLOTS: f64 = 0.75;

/// Cost of a request beyond the comfortable number, in ms.
const CROWDED_MS: f64 = 100.0;

/// Cost of a wait for a slot, in ms.
const FULL_MS: f64 = 1_000.0;

/// Cost of memory that is missing: the engine would put off other streams.
const NO_MEMORY_MS: f64 = 5_000.0;

/// Cost of a target whose requests all fail, in ms.
const FAILING_MS: f64 = 2_000.0;

/// Weight of the time to the first event, whether or not it is late.
const FIRST_EVENT_WEIGHT: f64 = 0.5;

/// Range of a random cost, in ms for each instance: what others place while news
/// travels grows with their number, and a choice among near equals spreads it.
const JITTER_MS: f64 = 1.0;

/// Instances from which the random cost grows no more.
const MAX_JITTER_INSTANCES: u32 = 40;

/// Streams of other instances that are taken into account at most. It bounds the
/// time of a choice; more of them spread over all engines anyway.
const MAX_UNSEEN: f64 = 64.0;

/// Cost of answering a short stream from another data centre, in ms: its events
/// cross the link between them.
const FAR_MS: f64 = 25.0;

/// How a prompt is read and written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Size {
    /// Read and written on one engine.
    Short,
    /// Read on several engines, written beside short streams.
    Middle,
    /// Read in its turn on all engines without short streams, written there.
    Long,
}

impl Size {
    fn of(work: Duration) -> Self {
        match work {
            work if work < LONG_READ => Self::Short,
            work if work < queue::MIN_QUEUED_PREFILL_TIME => Self::Middle,
            _ => Self::Long,
        }
    }
}

/// An engine under consideration.
#[derive(Clone)]
struct View<'a> {
    target: &'a Target,
    load: Load,
    pass_ms: f64,
    backlog_ms: f64,
    /// Place in the order on which all instances agree, 0 to 1.
    order: f64,
    failing_ms: f64,
    /// Cost of being in another data centre.
    far_ms: f64,
    /// Random cost, so that instances don't choose alike.
    jitter_ms: f64,
}

/// A set of engines under consideration.
struct Candidate {
    /// Indexes of the engines; the first one answers.
    members: Vec<usize>,
    /// Cost of answering, by engine.
    lead_costs_ms: Vec<f64>,
    first_event_ms: f64,
    cost_ms: f64,
}

/// The choice for one stream.
struct Search<'a> {
    views: Vec<View<'a>>,
    stream: &'a Stream,
    model: &'a EngineModel,
    /// KV memory that the stream needs at most.
    memory: Tokens,
    /// Time to read the prompt on one engine.
    work: Duration,
    value: f64,
    size: Size,
    /// Cost of the first short stream on an engine.
    open_ms: f64,
}

/// Chooses the engine that answers a stream, and helpers to read its prompt.
pub(super) fn place(
    targets: &Targets,
    usable: &[&Target],
    ask: &PlacementRequest,
    stream: &Stream,
    model: &EngineModel,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Result<Placement, PlacementError> {
    let memory = stream.prompt + stream.output;
    if memory > Tokens(model.memory.0 * usable.len() as u64) {
        return Err(PlacementError::TooLong);
    }
    let mean = mean_failure_rate(usable, now);
    let loads = targets.loads(now);
    let views = usable.iter().map(|target| {
        let load = loads.get(&target.facts.id).copied().unwrap_or_default();
        let mut view = View::new(target, load, model);
        view.failing_ms = FAILING_MS * failing(target, mean, now);
        view.jitter_ms = rng.f64() * JITTER_MS * f64::from(ask.instances.min(MAX_JITTER_INSTANCES));
        if target.facts.data_centre != ask.data_centre {
            view.far_ms = FAR_MS;
        }
        view
    });
    let views: Vec<View<'_>> = views.collect();
    let work = model.prefill_time(stream.prompt);
    let mut search = Search {
        open_ms: open_cost(&views, stream, model, ask.unreported_streams),
        views,
        stream,
        model,
        memory,
        work,
        value: model.value(stream.prompt),
        size: Size::of(work),
    };
    if search.size == Size::Short {
        search.add_unseen(ask.unreported_streams, rng);
    }
    search.run()
}

impl Search<'_> {
    /// Adds streams like this one, each where it costs least, for those that other
    /// instances place at this time. They do the same, so each takes a place of
    /// its own by chance: the number of streams added is drawn.
    fn add_unseen(&mut self, unreported_streams: f64, rng: &mut fastrand::Rng) {
        let before = (unreported_streams * rng.f64()).round().min(MAX_UNSEEN) as u32;
        let work_ms = self.work.as_secs_f64() * 1e3;
        let (memory, work, value, gap) = (self.memory, self.work, self.value, self.stream.gap);
        let cost =
            |search: &Self, view: &View<'_>| search.lead_cost(view, work_ms) + view.wait_ms();
        let mut costs: Vec<f64> = self.views.iter().map(|view| cost(self, view)).collect();
        let mut any_open = self.views.iter().any(|view| view.is_open(gap));
        for _ in 0..before {
            let index = placement::cheapest_first(&costs)[0];
            self.views[index].add(memory, work, value, gap);
            costs[index] = cost(self, &self.views[index]);
            if !any_open {
                any_open = true;
                self.open_ms = open_cost(&self.views, self.stream, self.model, unreported_streams);
                costs = self.views.iter().map(|view| cost(self, view)).collect();
            }
        }
    }

    fn run(&self) -> Result<Placement, PlacementError> {
        let candidates = self.splits().map(|split| self.candidate(split));
        let best = candidates.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        let best = best.ok_or(PlacementError::NoTarget)?;
        let shares = self
            .memory_shares(&best.members)
            .ok_or(PlacementError::NoMemory)?;
        Ok(self.placement(&best, &shares))
    }

    /// Numbers of engines that come into question.
    fn splits(&self) -> impl Iterator<Item = usize> {
        let all = self.views.len();
        let (least, most) = match self.size {
            Size::Short => (1, 1),
            Size::Middle => (1, all),
            Size::Long => {
                let tolerant = self.views.iter().filter(|view| view.tolerates(self.stream));
                let tolerant = tolerant.count();
                let least = (tolerant as f64 * LEAST_SPLIT_SHARE) as usize;
                // One is left free for the next short streams.
                let most = tolerant.saturating_sub(1).max(1);
                (least.min(SPLITS[SPLITS.len() - 1]), most)
            }
        };
        let splits = SPLITS.into_iter();
        splits.filter(move |split| (least..=most).contains(split))
    }

    /// The cheapest engines for a prompt in `split` parts.
    fn candidate(&self, split: usize) -> Candidate {
        let part_ms = self.work.as_secs_f64() * 1e3 / split as f64;
        let lead_costs = self.views.iter();
        let lead_costs = lead_costs.map(|view| self.lead_cost(view, part_ms) + view.wait_ms());
        let lead_costs_ms: Vec<f64> = lead_costs.collect();
        let lead = placement::cheapest_first(&lead_costs_ms)[0];
        let helper_cost = |i: &usize| {
            let view = &self.views[*i];
            self.helper_cost(view, part_ms) + view.wait_ms()
        };
        let mut members: Vec<usize> = (0..self.views.len()).filter(|i| *i != lead).collect();
        members.sort_by(|a, b| helper_cost(a).total_cmp(&helper_cost(b)));
        members.insert(0, lead);
        members.truncate(split);
        let waits = members.iter().map(|i| self.views[*i].wait_ms());
        let first_event_ms = waits.fold(0.0, f64::max) + part_ms + self.views[lead].pass_ms;
        let helpers = members[1..].iter().map(|i| &self.views[*i]);
        let helpers_ms: f64 = helpers.map(|view| self.helper_cost(view, part_ms)).sum();
        let late_ms = self.value * LATE_MS * risk(first_event_ms, self.stream.objective);
        let cost_ms = FIRST_EVENT_WEIGHT * first_event_ms
            + late_ms
            + helpers_ms
            + self.lead_cost(&self.views[lead], part_ms);
        Candidate {
            members,
            lead_costs_ms,
            first_event_ms,
            cost_ms,
        }
    }

    /// Cost of a part on an engine that only reads it.
    fn helper_cost(&self, view: &View<'_>, part_ms: f64) -> f64 {
        let mut cost = view.harm(part_ms) + LONG_ORDER_MS * view.order;
        if view.load.strictest_gap.is_some_and(|g| g < self.stream.gap) {
            cost += SHORT_NEIGHBOUR_MS;
        }
        cost
    }

    /// Cost of a part on the engine that also answers.
    fn lead_cost(&self, view: &View<'_>, part_ms: f64) -> f64 {
        let mut cost = view.harm(part_ms) + self.room_cost(view);
        match self.size {
            Size::Short | Size::Middle => {
                cost += view.jitter_ms + view.far_ms;
                if !view.is_open(self.stream.gap) {
                    cost += self.open_ms + ORDER_MS * (1.0 - view.order);
                    if view.load.requests > 0 {
                        cost += LONG_NEIGHBOUR_MS;
                    }
                }
            }
            Size::Long => {
                let share = view.load.memory.0 as f64 / self.model.memory.0.max(1) as f64;
                cost += LONG_ORDER_MS * view.order + LATE_MS * share;
                if !view.tolerates(self.stream) {
                    cost += SHORT_NEIGHBOUR_MS;
                }
            }
        }
        cost
    }

    /// What the lack of slots and memory costs.
    fn room_cost(&self, view: &View<'_>) -> f64 {
        let slots = f64::from(self.model.slots.min(view.target.facts.slots));
        let requests = f64::from(view.load.requests);
        let crowded = (requests + 1.0 - slots * COMFORTABLE_SLOTS).max(0.0);
        let mut cost = CROWDED_MS * crowded;
        if requests >= slots {
            cost += FULL_MS * (requests + 1.0 - slots);
        }
        let fits_when_idle = self.memory <= self.model.memory;
        if fits_when_idle && view.load.memory + self.memory > self.model.memory {
            cost += NO_MEMORY_MS;
        }
        cost
    }

    /// Memory of the request on each member. The first one holds all of it if it
    /// has room; else the others, those with most room first, hold what they can.
    fn memory_shares(&self, members: &[usize]) -> Option<Vec<Tokens>> {
        let room = |member: usize| self.views[members[member]].room(self.model);
        let mut shares = vec![Tokens(0); members.len()];
        if self.memory <= room(0) || members.len() == 1 {
            shares[0] = self.memory;
            // What fits an idle engine may wait there for its memory.
            return (self.memory <= self.model.memory).then_some(shares);
        }
        shares[0] = room(0);
        let mut rest = self.memory - shares[0];
        let mut holders: Vec<usize> = (1..members.len()).collect();
        holders.sort_by_key(|holder| std::cmp::Reverse(room(*holder).0));
        for holder in holders {
            shares[holder] = room(holder).min(rest);
            rest = rest - shares[holder];
        }
        (rest == Tokens(0)).then_some(shares)
    }

    fn placement(&self, best: &Candidate, shares: &[Tokens]) -> Placement {
        let read_time = self.work / best.members.len() as u32;
        let views = best.members.iter().map(|member| &self.views[*member]);
        let parts = views.clone().zip(shares).map(|(view, share)| Part {
            target: view.target.facts.id.clone(),
            read_time,
            memory: *share,
        });
        let helpers = views.clone().zip(shares).skip(1);
        let helpers = helpers.map(|(view, share)| Helper {
            target: view.target.facts.id.clone(),
            address: view.target.facts.address,
            memory: *share,
        });
        let idle = self.views.iter().filter(|view| {
            view.tolerates(self.stream)
                && view.backlog_ms <= queue::MAX_DISPATCH_BACKLOG.as_millis() as f64
        });
        let can_skip_queue = idle.count() >= PLENTY * best.members.len();
        let wait_ms = views.map(|view| view.backlog_ms).fold(0.0, f64::max);
        let lead = &self.views[best.members[0]].target.facts;
        Placement {
            target: lead.id.clone(),
            address: lead.address,
            helpers: helpers.collect(),
            parts: parts.collect(),
            estimate: Duration::from_secs_f64(best.first_event_ms / 1e3),
            wait: Duration::from_secs_f64(wait_ms / 1e3),
            long: self.size != Size::Short,
            can_skip_queue,
            stream: Some(StreamTraits {
                gap: self.stream.gap,
                value: self.value,
            }),
            runners_up: self.runners_up(best),
        }
    }

    /// The next cheapest engines to answer.
    fn runners_up(&self, best: &Candidate) -> Vec<RunnerUp> {
        let order = placement::cheapest_first(&best.lead_costs_ms);
        let id = |index: usize| &self.views[index].target.facts.id;
        placement::runners_up(&best.lead_costs_ms, &order, id)
    }
}

impl<'a> View<'a> {
    fn new(target: &'a Target, load: Load, model: &EngineModel) -> Self {
        // The stream itself will be a writer.
        let pass = model.iteration_time(load.writers + 1, load.memory);
        let digest = hash::mix(hash::text(target.facts.id.as_str()));
        Self {
            target,
            load,
            pass_ms: pass.as_secs_f64() * 1e3,
            backlog_ms: load.backlog.as_secs_f64() * 1e3,
            order: digest as f64 / u64::MAX as f64,
            failing_ms: 0.0,
            far_ms: 0.0,
            jitter_ms: 0.0,
        }
    }

    /// Whether streams write here whose gap objective is as strict.
    fn is_open(&self, gap: Duration) -> bool {
        self.load.strictest_gap.is_some_and(|own| own <= gap)
    }

    /// Counts one more short stream.
    fn add(&mut self, memory: Tokens, work: Duration, value: f64, gap: Duration) {
        self.load.add(&Load {
            requests: 1,
            writers: 0,
            backlog: work,
            memory,
            strictest_gap: Some(gap),
            value,
        });
        self.backlog_ms += work.as_secs_f64() * 1e3;
    }

    /// Time until a part that is sent now is being read: the rest of a pass, if
    /// there are writers, and what is to be read before it.
    fn wait_ms(&self) -> f64 {
        let rest = if self.load.writers > 0 {
            self.pass_ms / 2.0
        } else {
            0.0
        };
        rest + self.backlog_ms
    }

    /// Memory that may be promised to a prompt; the rest is left to what peers
    /// send meanwhile.
    fn room(&self, model: &EngineModel) -> Tokens {
        let kept_back = Tokens((model.memory.0 as f64 * (1.0 - PROMISED_SHARE)) as u64);
        model.memory - self.load.memory - kept_back
    }

    /// Whether streams here allow pauses in which a part of a long prompt is read.
    fn tolerates(&self, stream: &Stream) -> bool {
        tolerates(&self.load, stream.gap)
    }

    /// What reading a part here costs others, as far as its pass makes their
    /// streams late, and how unreliable the engine is.
    fn harm(&self, part_ms: f64) -> f64 {
        let harm = self.load.strictest_gap.map_or(0.0, |gap| {
            let before_ms = self.pass_ms + self.backlog_ms;
            let risen = risk(before_ms + part_ms, gap) - risk(before_ms, gap);
            self.load.value * LATE_MS * risen
        });
        harm + self.failing_ms
    }
}

/// Cost of a short stream on an engine that has none. It falls to nothing as the
/// engines that have some run out of room for what is placed unseen.
fn open_cost(
    views: &[View<'_>],
    stream: &Stream,
    model: &EngineModel,
    unreported_streams: f64,
) -> f64 {
    let comfortable = f64::from(model.slots) * COMFORTABLE_SLOTS;
    let open = views.iter().filter(|view| view.is_open(stream.gap));
    let room = open.map(|view| (comfortable - f64::from(view.load.requests)).max(0.0));
    let needed = (unreported_streams * UNSEEN_RESERVE).max(1.0);
    OPEN_MS * (room.sum::<f64>() / needed).min(1.0)
}

/// Engines on which long prompts with such a gap objective are read now.
pub(super) fn tolerant(
    targets: &Targets,
    usable: &[&Target],
    gap: Duration,
    now: Instant,
) -> usize {
    let loads = targets.loads(now);
    let load = |target: &&&Target| loads.get(&target.facts.id).copied().unwrap_or_default();
    let tolerant = usable.iter().filter(|target| tolerates(&load(target), gap));
    tolerant.count()
}

fn tolerates(load: &Load, gap: Duration) -> bool {
    let strictest = load.strictest_gap;
    strictest.is_none_or(|strictest| strictest >= gap / TOLERANT_GAP_PART)
}

/// Risk that an event which is expected after `expected_ms` misses its
/// objective, 0 to 1.
fn risk(expected_ms: f64, objective: Duration) -> f64 {
    let ratio = expected_ms / (objective.as_secs_f64() * 1e3).max(1.0);
    ratio.powi(RISK_EXPONENT).min(1.0)
}
