//! The engines as this instance sees them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Instant,
    ids::{AttemptId, EngineId, ModelId},
    request::PrefixHash,
    routing::{
        arrival_rates::ArrivalRates,
        hash,
        load::{Load, LoadReport, Priority},
        prefix_index::{EngineIndex, PrefixIndex},
    },
    units::{Tokens, TokensPerSecond},
};

/// Prefixes remembered at most.
pub const PREFIX_INDEX_CAPACITY: usize = 20_000;

/// Age of a load report when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(50);

/// How engines are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// By estimated time to first token, prompt length and cached prefixes.
    LengthAware,
    /// One after the other.
    RoundRobin,
    /// At random.
    Random,
    /// The engine with the fewest requests.
    LeastRequests,
    /// The engine with the fewest prompt tokens to read.
    LeastTokens,
}

impl Policy {
    /// Name used in settings, logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::LengthAware => "ours",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::LeastRequests => "least-requests",
            Self::LeastTokens => "least-tokens",
        }
    }
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl std::str::FromStr for Policy {
    type Err = crate::error::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [
            Self::LengthAware,
            Self::RoundRobin,
            Self::Random,
            Self::LeastRequests,
            Self::LeastTokens,
        ];
        let found = all.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| {
            crate::error::Error::new("parse policy", format!("`{text}` is not a policy"))
        })
    }
}

crate::data_types! {
    /// What the fleet's owner may set.
    pub struct FleetSettings {
        /// How engines are chosen.
        pub policy: Policy,
        /// Weight of the slowdown of short requests against the time to first
        /// token over all lengths, 0 to 1.
        pub short_weight: f64,
        /// Instances that share the traffic, this one included; at least 1.
        pub instances: u32,
        /// Place of this instance among them, from 0.
        pub instance_index: u32,
        /// Seed of the choice between equals; differs between instances.
        pub seed: u64,
    }

    /// The unchanging facts about an engine.
    pub struct EngineFacts {
        /// Its name.
        pub id: EngineId,
        /// Model that it serves.
        pub model: ModelId,
        /// KV memory.
        pub memory: Tokens,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// Speed of reading prompts.
        pub prefill_rate: TokensPerSecond,
        /// One-way network delay from this instance.
        pub network_delay: Duration,
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            policy: Policy::LengthAware,
            short_weight: 0.5,
            instances: 1,
            instance_index: 0,
            seed: 1,
        }
    }
}

/// An engine with its load.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its facts.
    pub facts: EngineFacts,
    /// Its load.
    pub load: Load,
    /// Whether it may receive new requests.
    pub usable: bool,
    /// Whether a suspect request has it to itself.
    pub isolated: bool,
    /// Whether long prompts are to come here first.
    pub in_long_pool: bool,
    /// Whether this instance, of all that share the engine, should come here
    /// first with short requests.
    pub preferred: bool,
    /// Whether the declaration in force names it.
    declared: bool,
    next_cache_event: u64,
}

/// All engines known to this instance.
///
/// Engines keep their index for the life of the fleet; a removed one is closed.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) engines: Vec<Engine>,
    by_id: BTreeMap<EngineId, EngineIndex>,
    /// Open engines by model, in index order.
    pub(crate) routable: BTreeMap<ModelId, Vec<EngineIndex>>,
    pub(crate) index: PrefixIndex,
    pub(crate) mix: ArrivalRates,
    pub(crate) rng: fastrand::Rng,
    pub(crate) round_robin_counter: usize,
}

impl Fleet {
    /// Creates a fleet without engines.
    pub fn new(settings: FleetSettings) -> Self {
        let rng = fastrand::Rng::with_seed(settings.seed);
        Self {
            settings,
            engines: Vec::new(),
            by_id: BTreeMap::new(),
            routable: BTreeMap::new(),
            index: PrefixIndex::new(PREFIX_INDEX_CAPACITY),
            mix: ArrivalRates::default(),
            rng,
            round_robin_counter: 0,
        }
    }

    /// The settings.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// All engines, open or not.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// The engine of that name.
    pub fn engine(&self, id: &EngineId) -> Option<&Engine> {
        self.by_id.get(id).map(|index| &self.engines[*index])
    }

    /// Open engines that serve the model.
    pub fn routable_engine_count(&self, model: &ModelId) -> usize {
        self.routable.get(model).map_or(0, Vec::len)
    }

    /// Memory of the largest engine that serves the model.
    pub fn largest_memory(&self, model: &ModelId) -> Tokens {
        let open = self.routable.get(model).into_iter().flatten();
        let largest = open.map(|index| self.engines[*index].facts.memory.0).max();
        Tokens(largest.unwrap_or(0))
    }

    /// Changes the settings; the random choice goes on as it was.
    pub fn set_settings(&mut self, settings: FleetSettings) {
        self.settings = settings;
    }

    /// Adds an engine, or replaces the facts of the one with that name.
    pub fn upsert(&mut self, facts: EngineFacts) {
        match self.by_id.get(&facts.id) {
            Some(index) => {
                self.engines[*index].facts = facts;
                self.engines[*index].declared = true;
                self.rebuild_routable();
            }
            None => {
                self.by_id.insert(facts.id.clone(), self.engines.len());
                self.engines.push(Engine {
                    facts,
                    load: Load::default(),
                    usable: false,
                    isolated: false,
                    in_long_pool: false,
                    preferred: false,
                    declared: true,
                    next_cache_event: 0,
                });
            }
        }
    }

    /// Notes which engines are declared still.
    pub fn set_declared(&mut self, declared: impl Fn(&EngineId) -> bool) {
        for engine in &mut self.engines {
            engine.declared = declared(&engine.facts.id);
        }
    }

    /// Opens an engine to new requests, or closes it.
    pub fn set_usable(&mut self, id: &EngineId, usable: bool) {
        let Some(index) = self.by_id.get(id) else {
            return;
        };
        if self.engines[*index].usable != usable {
            self.engines[*index].usable = usable;
            self.rebuild_routable();
        }
    }

    /// Gives an engine to one suspect request alone, or ends that.
    pub fn set_isolated(&mut self, id: &EngineId, isolated: bool) {
        if let Some(index) = self.by_id.get(id) {
            self.engines[*index].isolated = isolated;
            self.rebuild_routable();
        }
    }

    /// Takes in a load report.
    pub fn apply_report(&mut self, id: &EngineId, report: &LoadReport, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.apply_report(report, REPORT_LAG, now);
        }
    }

    /// Takes in cache events, of which `first` is the number of the first.
    pub fn apply_cache_events(
        &mut self,
        id: &EngineId,
        first: u64,
        events: &[CacheEvent],
        now: Instant,
    ) {
        let Some(index) = self.by_id.get(id).copied() else {
            return;
        };
        let expected = self.engines[index].next_cache_event;
        if first > expected {
            self.index.gap(index);
        }
        for event in events {
            self.apply_cache_event(index, *event, now);
        }
        self.engines[index].next_cache_event = first + events.len() as u64;
    }

    /// Takes in what the peers say they have waiting on an engine.
    pub fn apply_load_hint(&mut self, id: &EngineId, tokens: Tokens, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.apply_load_hint(tokens, now);
        }
    }

    /// Notes that an attempt was sent to an engine.
    pub fn record_sent(
        &mut self,
        id: &EngineId,
        attempt: AttemptId,
        prefill_tokens: Tokens,
        memory: Tokens,
        now: Instant,
    ) {
        let priority = Priority::for_prefill(prefill_tokens);
        if let Some(engine) = self.engine_mut(id) {
            engine
                .load
                .record_sent(attempt, priority, prefill_tokens, memory, now);
        }
    }

    /// Notes the first token of an attempt on an engine.
    pub fn record_first_token(&mut self, id: &EngineId, attempt: AttemptId, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.record_first_token(attempt, now);
        }
    }

    /// Notes the end of an attempt on an engine.
    pub fn record_end(&mut self, id: &EngineId, attempt: AttemptId, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.record_end(attempt, now);
        }
    }

    /// Notes that an engine restarted: it holds and caches nothing.
    pub fn record_restart(&mut self, id: &EngineId, now: Instant) {
        let Some(index) = self.by_id.get(id).copied() else {
            return;
        };
        self.engines[index].load.reset(now);
        self.engines[index].next_cache_event = 0;
        self.index.forget(index);
    }

    /// Reconsiders how many engines long prompts have as their own.
    pub fn rebalance(&mut self, now: Instant) {
        self.share_out();
        let models: Vec<ModelId> = self.routable.keys().cloned().collect();
        for model in models {
            self.rebalance_model(&model, now);
        }
    }

    /// Notes prefixes that an own request has left in an engine's cache.
    pub fn record_cached_prefixes(&mut self, id: &EngineId, events: &[CacheEvent], now: Instant) {
        let Some(index) = self.by_id.get(id).copied() else {
            return;
        };
        for event in events {
            self.apply_cache_event(index, *event, now);
        }
    }

    /// Names of all engines.
    pub fn ids(&self) -> impl Iterator<Item = &EngineId> {
        self.engines.iter().map(|engine| &engine.facts.id)
    }

    /// A random number from 0 to 1, from this instance's sequence.
    pub fn random(&mut self) -> f64 {
        self.rng.f64()
    }

    /// Speed of all open engines of a model together.
    pub fn speed(&self, model: &ModelId) -> TokensPerSecond {
        let open = self.routable.get(model).into_iter().flatten();
        TokensPerSecond(
            open.map(|index| self.engines[*index].facts.prefill_rate.0)
                .sum(),
        )
    }

    /// Gives each declared engine to one instance in turn. Whether an engine is
    /// open plays no part, as instances learn of that at different times and must
    /// agree all the same.
    fn share_out(&mut self) {
        let mut ranked: Vec<EngineIndex> = (0..self.engines.len()).collect();
        ranked.retain(|index| self.engines[*index].declared);
        ranked.sort_by_key(|index| self.rank(*index));
        let mut turns: BTreeMap<ModelId, u32> = BTreeMap::new();
        for index in ranked {
            let turn = turns
                .entry(self.engines[index].facts.model.clone())
                .or_default();
            let own = *turn % self.settings.instances.max(1) == self.settings.instance_index;
            self.engines[index].preferred = own;
            *turn += 1;
        }
    }

    fn rank(&self, index: EngineIndex) -> u64 {
        hash::fmix64(hash::fnv1a(self.engines[index].facts.id.as_str()))
    }

    /// All instances place the long prompts on the same engines: those whose
    /// names hash lowest.
    fn rebalance_model(&mut self, model: &ModelId, now: Instant) {
        let speed = self.speed(model);
        let Some(open) = self.routable.get(model) else {
            return;
        };
        let count = self
            .mix
            .long_engines(open.len(), speed, self.settings.instances, now);
        let mut ranked = open.clone();
        ranked.sort_by_key(|index| self.rank(*index));
        for (position, index) in ranked.into_iter().enumerate() {
            self.engines[index].in_long_pool = position < count;
        }
    }

    fn apply_cache_event(&mut self, index: EngineIndex, event: CacheEvent, now: Instant) {
        match event {
            CacheEvent::Stored(prefix) => self.index.stored(index, prefix, now),
            CacheEvent::Evicted(prefix) => self.index.evicted(index, prefix),
        }
    }

    fn engine_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        let index = self.by_id.get(id)?;
        Some(&mut self.engines[*index])
    }

    fn rebuild_routable(&mut self) {
        self.routable.clear();
        for (index, engine) in self.engines.iter().enumerate() {
            if engine.usable && !engine.isolated {
                let model = engine.facts.model.clone();
                self.routable.entry(model).or_default().push(index);
            }
        }
    }
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix is cached now.
    Stored(PrefixHash),
    /// The prefix is cached no more.
    Evicted(PrefixHash),
}
