//! The configuration in force, prepared for look-up.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::{
    ids::{AccountId, ServiceId},
    routing::Priority,
    serving::cost::EngineModel,
    text::SmolStr,
};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another engine may go on after the last event.
        resumable: bool,
    },
}

/// Rank that operators give to routes and accounts; 0 goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank(pub u32);

/// Levels that engines tell apart, between two ranks. It leaves one for long
/// prompts of a rank, which go after its short ones and with the next rank's.
const LEVELS_PER_RANK: u32 = 2;

/// Lowest urgency that engines know, from the platform's documentation.
const LAST_LEVEL: u32 = 9;

impl Rank {
    /// Urgency on an engine of a request of this rank.
    pub fn priority(self, long: bool) -> Priority {
        let after = if long { LEVELS_PER_RANK } else { 0 };
        let level = self
            .0
            .saturating_mul(LEVELS_PER_RANK)
            .saturating_add(1 + after);
        Priority(level.min(LAST_LEVEL) as u8)
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

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

crate::data_types! {
    /// A service among those that a route is split over.
    pub struct Share {
        /// The service.
        pub service: ServiceId,
        /// Its weight among the route's services.
        pub weight: u32,
    }

    /// Where requests of a host and path go.
    pub struct Route {
        /// Its name.
        pub name: SmolStr,
        /// Host in lower case, without a port.
        pub host: SmolStr,
        /// Beginning of the path; starts and ends with a slash.
        pub prefix: SmolStr,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Longest time that a request may be kept.
        pub timeout: Duration,
        /// Latency objective, for streams of the first event.
        pub objective: Duration,
        /// Longest pause between two events of a stream that is on time.
        pub gap_objective: Option<Duration>,
        /// Rank of its requests.
        pub rank: Rank,
        /// Services that take its requests; never empty.
        pub shares: Vec<Share>,
        /// Targets to which one request may be sent.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub public: bool,
    }

    /// A group of targets that answer the same requests.
    pub struct Service {
        /// Its name.
        pub id: ServiceId,
        /// Cost model of its engines; none for a plain service.
        pub engine: Option<EngineModel>,
    }

    /// A client account.
    pub struct Account {
        /// Its name.
        pub id: AccountId,
        /// Keys that its requests may carry.
        pub keys: Vec<SmolStr>,
        /// Rank that replaces the route's for this account's requests.
        pub rank: Option<Rank>,
    }

    /// Bounds on what callers send.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Largest body.
        pub max_body_bytes: usize,
    }

    /// One version of the configuration.
    pub struct Configuration {
        /// Its version; a later one has a higher number.
        pub version: u64,
        /// Routes in any order.
        pub routes: Vec<Route>,
        /// Services.
        pub services: Vec<Service>,
        /// Client accounts; none if requests need no key at all.
        pub accounts: Option<Vec<Account>>,
        /// Bounds on requests.
        pub limits: CallerLimits,
    }
}

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// A client account.
    Account(AccountId),
    /// Nobody in particular: the route is public or there are no accounts.
    Anonymous,
    /// The key belongs to no account.
    Unknown,
}

/// A configuration indexed by host and key.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<SmolStr, Vec<Rc<Route>>>,
    services: HashMap<ServiceId, Service>,
    keys: Option<HashMap<SmolStr, AccountId>>,
    /// Ranks of the accounts that have one.
    ranks: HashMap<AccountId, Rank>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Indexes a configuration.
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

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on requests.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The service of that name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The route of a request, by host and longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        let found = routes.iter().find(|r| path.starts_with(r.prefix.as_str()));
        found.cloned()
    }

    /// Rank of a request of `account` on `route`.
    pub fn rank(&self, route: &Route, account: Option<&AccountId>) -> Rank {
        let own = account.and_then(|account| self.ranks.get(account));
        own.copied().unwrap_or(route.rank)
    }

    /// Whose request it is, by its key.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller {
        let Some(keys) = &self.keys else {
            return Caller::Anonymous;
        };
        let owner = key.and_then(|key| keys.get(key));
        match owner {
            Some(account) => Caller::Account(account.clone()),
            None if route.public => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }
}

impl Route {
    /// The service for a request; `draw` is uniform over 0 to 1.
    pub fn draw_service(&self, draw: f64) -> &ServiceId {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        &self.shares[self.shares.len() - 1].service
    }
}
