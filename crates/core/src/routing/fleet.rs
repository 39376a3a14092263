//! State of the engines on this instance.

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

/// Maximum number of prefixes in the prefix index.
pub const PREFIX_INDEX_CAPACITY: usize = 20_000;

/// Age of a load report when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(50);

/// Rule by which engines are selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// Lowest estimated time to first token, from prompt length, load and cached prefixes.
    LengthAware,
    /// Each engine in turn.
    RoundRobin,
    /// A random engine.
    Random,
    /// The engine with the fewest requests.
    LeastRequests,
    /// The engine with the fewest queued prefill tokens.
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
        let policies = [
            Self::LengthAware,
            Self::RoundRobin,
            Self::Random,
            Self::LeastRequests,
            Self::LeastTokens,
        ];
        let found = policies.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| {
            crate::error::Error::new(
                "parse policy",
                format!("`{text}` is not the name of a routing policy"),
            )
        })
    }
}

crate::data_types! {
    /// Settings of a fleet.
    pub struct FleetSettings {
        /// Rule by which engines are selected.
        pub policy: Policy,
        /// Weight of the slowdown of short requests relative to the time to first token
        /// of all requests, 0 to 1.
        pub short_weight: f64,
        /// Number of instances that share the traffic, including this one; at least 1.
        pub instances: u32,
        /// Position of this instance among the instances, from 0.
        pub instance_index: u32,
        /// Seed of the random choice between equal engines. Instances must have different
        /// seeds.
        pub seed: u64,
    }

    /// Declared properties of an engine, without its load.
    pub struct EngineFacts {
        /// Name of the engine.
        pub id: EngineId,
        /// Model that the engine serves.
        pub model: ModelId,
        /// Size of the KV memory.
        pub memory: Tokens,
        /// Maximum number of requests that the engine runs concurrently.
        pub slots: u32,
        /// Prefill throughput.
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
    /// Declared properties.
    pub facts: EngineFacts,
    /// Load from reports and from this instance's requests.
    pub load: Load,
    /// Whether the engine may receive new requests, unless it is isolated.
    pub usable: bool,
    /// Whether the engine is reserved for one suspect request.
    pub isolated: bool,
    /// Whether the engine is in the pool to which long prompts are routed first.
    pub in_long_pool: bool,
    /// Whether this instance routes short requests to the engine first. Each engine is
    /// preferred by one instance.
    pub preferred: bool,
    /// Whether the current declaration contains the engine.
    declared: bool,
    /// Expected number of the first event of the next batch of cache events.
    next_cache_event: u64,
}

/// All engines that have been declared to this instance.
///
/// An engine keeps its index as long as the fleet exists: a removed engine stays in the
/// list and is not usable.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) engines: Vec<Engine>,
    by_id: BTreeMap<EngineId, EngineIndex>,
    /// Engines that are usable and not isolated, by model, in index order.
    pub(crate) routable: BTreeMap<ModelId, Vec<EngineIndex>>,
    pub(crate) prefix_index: PrefixIndex,
    pub(crate) arrival_rates: ArrivalRates,
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
            prefix_index: PrefixIndex::new(PREFIX_INDEX_CAPACITY),
            arrival_rates: ArrivalRates::default(),
            rng,
            round_robin_counter: 0,
        }
    }

    /// Current settings.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// All engines, whether usable or not.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// The engine named `id`.
    pub fn engine(&self, id: &EngineId) -> Option<&Engine> {
        self.by_id.get(id).map(|index| &self.engines[*index])
    }

    /// Number of engines for the model that are usable and not isolated.
    pub fn routable_engine_count(&self, model: &ModelId) -> usize {
        self.routable.get(model).map_or(0, Vec::len)
    }

    /// Largest KV memory of the routable engines for the model; 0 if there are none.
    pub fn largest_memory(&self, model: &ModelId) -> Tokens {
        let routable = self.routable.get(model).into_iter().flatten();
        let largest = routable
            .map(|index| self.engines[*index].facts.memory.0)
            .max();
        Tokens(largest.unwrap_or(0))
    }

    /// Replaces the settings. The state of the random generator stays, so a new seed has no
    /// effect.
    pub fn set_settings(&mut self, settings: FleetSettings) {
        self.settings = settings;
    }

    /// Adds an engine, or replaces the declared properties of the engine with the same
    /// name. A new engine is not usable yet.
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

    /// Updates which engines are in the current declaration.
    pub fn set_declared(&mut self, declared: impl Fn(&EngineId) -> bool) {
        for engine in &mut self.engines {
            engine.declared = declared(&engine.facts.id);
        }
    }

    /// Sets whether an engine may receive new requests.
    pub fn set_usable(&mut self, id: &EngineId, usable: bool) {
        let Some(index) = self.by_id.get(id) else {
            return;
        };
        if self.engines[*index].usable != usable {
            self.engines[*index].usable = usable;
            self.rebuild_routable();
        }
    }

    /// Reserves an engine for one suspect request, or ends the reservation.
    pub fn set_isolated(&mut self, id: &EngineId, isolated: bool) {
        if let Some(index) = self.by_id.get(id) {
            self.engines[*index].isolated = isolated;
            self.rebuild_routable();
        }
    }

    /// Applies a load report that was `REPORT_LAG` old when it arrived.
    pub fn apply_report(&mut self, id: &EngineId, report: &LoadReport, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.apply_report(report, REPORT_LAG, now);
        }
    }

    /// Applies cache events of an engine; `first` is the number of the first event. Skipped
    /// numbers mean that events were lost.
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
            self.prefix_index.record_event_gap(index);
        }
        for event in events {
            self.apply_cache_event(index, *event, now);
        }
        self.engines[index].next_cache_event = first + events.len() as u64;
    }

    /// Sets the number of prefill tokens that all peers together report as queued on an
    /// engine.
    pub fn apply_load_hint(&mut self, id: &EngineId, tokens: Tokens, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.apply_load_hint(tokens, now);
        }
    }

    /// Records that an attempt was sent to an engine.
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

    /// Records the first token of an attempt on an engine.
    pub fn record_first_token(&mut self, id: &EngineId, attempt: AttemptId, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.record_first_token(attempt, now);
        }
    }

    /// Records the end of an attempt on an engine.
    pub fn record_end(&mut self, id: &EngineId, attempt: AttemptId, now: Instant) {
        if let Some(engine) = self.engine_mut(id) {
            engine.load.record_end(attempt, now);
        }
    }

    /// Clears the load and the cached prefixes of an engine that restarted.
    pub fn record_restart(&mut self, id: &EngineId, now: Instant) {
        let Some(index) = self.by_id.get(id).copied() else {
            return;
        };
        self.engines[index].load.reset(now);
        self.engines[index].next_cache_event = 0;
        self.prefix_index.remove_engine(index);
    }

    /// Reassigns the preferred engines and recomputes the long pool of each model.
    pub fn rebalance(&mut self, now: Instant) {
        self.assign_preferred_engines();
        let models: Vec<ModelId> = self.routable.keys().cloned().collect();
        for model in models {
            self.rebalance_model(&model, now);
        }
    }

    /// Records cache changes from a request of this instance. They have no event numbers.
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

    /// Random number from 0 to 1, from the generator seeded by the settings.
    pub fn random(&mut self) -> f64 {
        self.rng.f64()
    }

    /// Prefill rate of all routable engines of a model together.
    pub fn total_prefill_rate(&self, model: &ModelId) -> TokensPerSecond {
        let routable = self.routable.get(model).into_iter().flatten();
        TokensPerSecond(
            routable
                .map(|index| self.engines[*index].facts.prefill_rate.0)
                .sum(),
        )
    }

    /// Assigns the declared engines of each model to the instances in turn, in hash
    /// order. Unusable engines are included: instances detect at different times that an
    /// engine is unusable, and all instances must compute the same assignment.
    fn assign_preferred_engines(&mut self) {
        let mut ranked: Vec<EngineIndex> = (0..self.engines.len()).collect();
        ranked.retain(|index| self.engines[*index].declared);
        ranked.sort_by_key(|index| self.hash_rank(*index));
        let mut counts: BTreeMap<ModelId, u32> = BTreeMap::new();
        for index in ranked {
            let count = counts
                .entry(self.engines[index].facts.model.clone())
                .or_default();
            let preferred = *count % self.settings.instances.max(1) == self.settings.instance_index;
            self.engines[index].preferred = preferred;
            *count += 1;
        }
    }

    fn hash_rank(&self, index: EngineIndex) -> u64 {
        hash::fmix64(hash::fnv1a(self.engines[index].facts.id.as_str()))
    }

    /// Recomputes the long pool of a model from the engines with the lowest hash ranks, so
    /// that all instances route long prompts to the same engines.
    fn rebalance_model(&mut self, model: &ModelId, now: Instant) {
        let total_prefill_rate = self.total_prefill_rate(model);
        let Some(routable) = self.routable.get(model) else {
            return;
        };
        let pool_size = self.arrival_rates.long_pool_size(
            routable.len(),
            total_prefill_rate,
            self.settings.instances,
            now,
        );
        let mut ranked = routable.clone();
        ranked.sort_by_key(|index| self.hash_rank(*index));
        for (position, index) in ranked.into_iter().enumerate() {
            self.engines[index].in_long_pool = position < pool_size;
        }
    }

    fn apply_cache_event(&mut self, index: EngineIndex, event: CacheEvent, now: Instant) {
        match event {
            CacheEvent::Stored(prefix) => self.prefix_index.record_stored(index, prefix, now),
            CacheEvent::Evicted(prefix) => self.prefix_index.record_evicted(index, prefix),
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
    /// The engine now caches the prefix.
    Stored(PrefixHash),
    /// The engine no longer caches the prefix.
    Evicted(PrefixHash),
}
