//! Routes, services and client accounts of the configuration in force, indexed
//! for look-up.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::{
    ids::{AccountId, ServiceId},
    routing::Priority,
    serving::cost::EngineModel,
    text::SmolStr,
    units::RequestsPerSecond,
};

/// Whether requests on a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another engine may resume the stream after the last event.
        resumable: bool,
    },
}

/// Rank of a route or client account, set by operators. Rank 0 is the most
/// urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank(pub u32);

/// Engine priority levels from one rank to the next. Long prompts of a rank come
/// after its short ones, on the level of the next rank's short prompts.
const PRIORITY_LEVELS_PER_RANK: u32 = 2;

/// Least urgent priority level of engines, from the platform's documentation.
const MAX_PRIORITY_LEVEL: u32 = 9;

impl Rank {
    /// Engine priority of a request of this rank; `long` is whether its prompt is
    /// long.
    pub fn priority(self, long: bool) -> Priority {
        let long_offset = if long { PRIORITY_LEVELS_PER_RANK } else { 0 };
        let level = self
            .0
            .saturating_mul(PRIORITY_LEVELS_PER_RANK)
            .saturating_add(1 + long_offset);
        Priority(level.min(MAX_PRIORITY_LEVEL) as u8)
    }
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }

    /// Whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

crate::data_types! {
    /// Service of a route with its weight in the traffic split.
    pub struct WeightedService {
        /// Id of the service.
        pub service: ServiceId,
        /// Share of the requests, relative to the sum of the route's weights.
        pub weight: u32,
    }

    /// Rule for the requests of a host and path prefix.
    pub struct Route {
        /// Name in the configuration and in logs.
        pub name: SmolStr,
        /// Host in lower case, without a port.
        pub host: SmolStr,
        /// Path prefix; starts and ends with a slash.
        pub prefix: SmolStr,
        /// Whether requests may run more than once, and whether they are streams.
        pub kind: RouteKind,
        /// Longest time from the arrival of a request to the end of its response.
        pub timeout: Duration,
        /// Latency objective: until the first event for streams, until the response
        /// for other requests.
        pub objective: Duration,
        /// Gap objective: longest on-time interval between two events of a stream.
        pub gap_objective: Option<Duration>,
        /// Rank of the requests of accounts without a rank of their own.
        pub rank: Rank,
        /// Services over which requests are split; never empty.
        pub weighted_services: Vec<WeightedService>,
        /// Maximum number of attempts of one request.
        pub max_attempts: u32,
        /// Whether requests need no API key.
        pub public: bool,
    }

    /// A group of interchangeable targets.
    pub struct Service {
        /// Name in the configuration.
        pub id: ServiceId,
        /// Cost model of the service's engines; none for a plain service.
        pub engine: Option<EngineModel>,
        /// How targets start; none if a target that has just started takes as many
        /// requests as any other.
        pub cold_start: Option<ColdStart>,
    }

    /// The first seconds of a target's process, or those after a rest: it takes few requests
    /// then.
    #[derive(Copy)]
    pub struct ColdStart {
        /// Time for which the target is cold.
        pub time: Duration,
        /// Requests that it takes in this time, from all instances together.
        pub rate: RequestsPerSecond,
    }

    /// A client account with its API keys.
    pub struct Account {
        /// Name in the configuration.
        pub id: AccountId,
        /// API keys of the account.
        pub keys: Vec<SmolStr>,
        /// Rank of the account's requests; none for the rank of the route.
        pub rank: Option<Rank>,
    }

    /// Limits on client requests.
    #[derive(Copy)]
    pub struct ClientLimits {
        /// Largest request body.
        pub max_body_bytes: usize,
        /// Largest request head; none if the configuration doesn't name it.
        pub max_header_bytes: Option<usize>,
        /// Longest time for a request head to arrive.
        pub header_timeout: Option<Duration>,
        /// Longest time in which a client does nothing.
        pub idle_timeout: Option<Duration>,
    }

    /// One version of the configuration.
    pub struct Configuration {
        /// Version number; increases with each change.
        pub version: u64,
        /// Routes, in any order.
        pub routes: Vec<Route>,
        /// Services that routes refer to.
        pub services: Vec<Service>,
        /// Client accounts; none if no request needs an API key.
        pub accounts: Option<Vec<Account>>,
        /// Limits on client requests.
        pub limits: ClientLimits,
    }
}

/// Client of a request, by its API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Client {
    /// A client account.
    Account(AccountId),
    /// No account: the route is public or the configuration has no accounts.
    Anonymous,
    /// The key is missing or belongs to no account, and the route is not public.
    Unknown,
}

/// A configuration, indexed by host and API key.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    /// Routes of each host, sorted by descending prefix length.
    hosts: HashMap<SmolStr, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Service>,
    keys: Option<HashMap<SmolStr, AccountId>>,
    /// Ranks of accounts with a rank of their own.
    ranks: HashMap<AccountId, Rank>,
    limits: ClientLimits,
}

impl RouteTable {
    /// Creates the index of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<Rc<Route>>> = HashMap::new();
        for route in configuration.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = configuration.services.into_iter();
        let accounts = configuration.accounts.iter().flatten();
        let ranks = accounts.filter_map(|account| Some((account.id.clone(), account.rank?)));
        let ranks = ranks.collect();
        let keys = configuration.accounts.map(|accounts| {
            let pairs = accounts.into_iter().flat_map(|account| {
                let id = account.id;
                account.keys.into_iter().map(move |key| (key, id.clone()))
            });
            pairs.collect()
        });
        Self {
            version: configuration.version,
            hosts,
            services: services.map(|s| (s.id.clone(), s)).collect(),
            keys,
            ranks,
            limits: configuration.limits,
        }
    }

    /// Version number of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on client requests.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the service with an id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Engine model of each service that has one.
    pub fn engine_models(&self) -> HashMap<ServiceId, EngineModel> {
        let services = self.services();
        let models = services.filter_map(|service| Some((service.id.clone(), service.engine?)));
        models.collect()
    }

    /// Iterates over all services, in any order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Finds the route of a request, by host and longest path prefix. The host may
    /// have a port and any case.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        let found = routes.iter().find(|r| path.starts_with(r.prefix.as_str()));
        found.cloned()
    }

    /// Rank of a request of `account` on `route`; the account's rank takes
    /// precedence.
    pub fn rank(&self, route: &Route, account: Option<&AccountId>) -> Rank {
        let account_rank = account.and_then(|account| self.ranks.get(account));
        account_rank.copied().unwrap_or(route.rank)
    }

    /// Identifies the client of a request on `route` by its API key.
    pub fn identify_client(&self, route: &Route, key: Option<&str>) -> Client {
        let Some(keys) = &self.keys else {
            return Client::Anonymous;
        };
        let account = key.and_then(|key| keys.get(key));
        match account {
            Some(account) => Client::Account(account.clone()),
            None if route.public => Client::Anonymous,
            None => Client::Unknown,
        }
    }
}

impl Route {
    /// Selects a service with a probability by weight. `draw` is a random number,
    /// uniform in 0 to 1.
    pub fn draw_service(&self, draw: f64) -> &ServiceId {
        let weights = self.weighted_services.iter();
        let total: f64 = weights.map(|share| f64::from(share.weight)).sum();
        let mut remaining = draw * total;
        for share in &self.weighted_services {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return &share.service;
            }
        }
        &self.weighted_services[self.weighted_services.len() - 1].service
    }
}
