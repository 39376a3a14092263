//! The targets of all services: where they are, whether they may be used, and
//! what all instances have running there.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    clock::Instant,
    ids::{DataCentreId, EngineId, InstanceId, ServiceId},
    units::Tokens,
};

/// First time for which a target that failed to answer is left out; doubled with
/// each further failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(800);

/// Longest time for which a target is left out before it is tried again.
const LONGEST_SUSPICION: Duration = Duration::from_secs(6);

/// Time for which a target is left out after it refused a request although it has
/// room: it is leaving, and the list will say so soon.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// Age at which a peer's loads count no more: several lost messages in a row.
const PEER_LOAD_TIME: Duration = Duration::from_millis(2_000);

/// Weight of the newest outcome in a target's failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Time in which a failure rate halves without new outcomes, so that a target
/// that recovered is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of the newest request in a service's usual time.
const TIME_WEIGHT: f64 = 0.1;

/// Part of its reading time for which a flight counts after it should have
/// started: the estimate was too low.
const OVERDUE_SHARE: f64 = 0.7;

/// Time by which a part must be expected before the last one of its flight to
/// count as read once it is due. The first event waits for the last part only.
const CLEARLY_EARLIER: Duration = Duration::from_millis(100);

crate::data_types! {
    /// What the platform's list says of a target.
    pub struct TargetFacts {
        /// Its id, new with each start on most platforms.
        pub id: EngineId,
        /// Service that it belongs to.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// Whether it is leaving.
        pub draining: bool,
        /// Start of its process, in ms since the Unix epoch; 0 if unknown.
        pub born_unix_ms: u64,
    }

    /// Work on one target, of one instance or of all.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests in progress.
        pub requests: u32,
        /// Streams among them that are past their first event.
        pub writers: u32,
        /// Time to read the prompts that are not read yet.
        pub backlog: Duration,
        /// KV memory of the requests.
        pub memory: Tokens,
        /// Shortest gap objective among the streams.
        pub strictest_gap: Option<Duration>,
        /// Value of the streams, in units of a short one.
        pub value: f64,
    }

    /// One target's part in a request.
    pub struct Part {
        /// The target.
        pub target: EngineId,
        /// Time to read its part of the prompt.
        pub read_time: Duration,
        /// KV memory that it holds for the request.
        pub memory: Tokens,
    }
}

/// What the load of a stream depends on besides its parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamTraits {
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// Value of an answer in time, in units of a short stream.
    pub value: f64,
}

/// Number of a flight, unique in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlightId(u64);

/// How a target dealt with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Served,
    /// It answered with a failure of its own, or broke off.
    Failed,
    /// It did not answer at all.
    Silent,
    /// It refused although it has room, as a target that is leaving does.
    Leaving,
    /// Nothing can be said: the caller went away, or another target failed.
    Unknown,
}

#[derive(Clone, Debug)]
struct Flight {
    /// The first part answers.
    parts: Vec<Part>,
    /// When each part should have been read.
    read_by: Vec<Instant>,
    stream: Option<StreamTraits>,
    begun_at: Instant,
    started: bool,
}

/// A target with its standing.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the list says.
    pub facts: TargetFacts,
    /// When it stops being usable; it has vanished from the list.
    gone_at: Option<Instant>,
    suspect_until: Option<Instant>,
    leaving_until: Option<Instant>,
    strikes: u32,
    failure_rate: f64,
    rated_at: Instant,
    heard_at: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct PeerLoads {
    loads: HashMap<EngineId, Load>,
    heard_at: Instant,
}

/// All targets known to this instance.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    targets: BTreeMap<EngineId, Target>,
    flights: BTreeMap<FlightId, Flight>,
    last_flight: u64,
    peers: HashMap<InstanceId, PeerLoads>,
    /// Usual time of a request that was served.
    usual_times: HashMap<ServiceId, Duration>,
}

impl Targets {
    /// The target of that name.
    pub fn get(&self, id: &EngineId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// The target of a service at an address.
    pub fn at_address(&self, service: &ServiceId, address: SocketAddr) -> Option<&Target> {
        let mut targets = self.targets.values();
        targets.find(|t| &t.facts.service == service && t.facts.address == address)
    }

    /// All targets, usable or not.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Takes in a target's entry in the list. A new start of a known target
    /// clears what was held against it.
    pub fn listed(&mut self, facts: TargetFacts, now: Instant) {
        match self.targets.get_mut(&facts.id) {
            Some(known) if known.facts.born_unix_ms == facts.born_unix_ms => {
                known.facts = facts;
                known.gone_at = None;
            }
            _ => {
                let target = Target::new(facts, now);
                self.targets.insert(target.facts.id.clone(), target);
            }
        }
    }

    /// Notes that a target has no entry any more. It stays usable for `linger`,
    /// during which its entry may come back.
    pub fn unlisted(&mut self, id: &EngineId, linger: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            let at = now + linger;
            target.gone_at = Some(target.gone_at.map_or(at, |known| known.min(at)));
        }
    }

    /// Forgets targets that went away and have nothing in progress.
    pub fn forget_gone(&mut self, now: Instant) {
        let flights = &self.flights;
        let in_use = |id: &EngineId| {
            let mut parts = flights.values().flat_map(|flight| &flight.parts);
            parts.any(|part| &part.target == id)
        };
        self.targets
            .retain(|id, target| !target.is_gone(now) || in_use(id));
        self.peers
            .retain(|_, peer| now - peer.heard_at <= PEER_LOAD_TIME);
    }

    /// Notes a request that is being sent; the first part is the one that
    /// answers.
    pub fn begin(
        &mut self,
        parts: Vec<Part>,
        stream: Option<StreamTraits>,
        now: Instant,
    ) -> FlightId {
        let read_by = parts.iter().map(|part| {
            let backlog = self.load(&part.target, now).backlog;
            now + backlog + part.read_time
        });
        let read_by = read_by.collect();
        self.last_flight += 1;
        let id = FlightId(self.last_flight);
        let flight = Flight {
            parts,
            read_by,
            stream,
            begun_at: now,
            started: false,
        };
        self.flights.insert(id, flight);
        id
    }

    /// Notes the first event of a flight: its prompt has been read.
    pub fn started(&mut self, id: FlightId) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.started = true;
        }
    }

    /// Notes bytes from the target that answers a flight.
    pub fn heard(&mut self, id: FlightId, now: Instant) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&flight.parts[0].target) {
            target.heard_at = Some(now);
        }
    }

    /// Notes that a peer heard of a target so long ago.
    pub fn peer_heard(&mut self, id: &EngineId, age: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            let at = Instant::from_start(now.since_start().saturating_sub(age));
            target.heard_at = target.heard_at.max(Some(at));
        }
    }

    /// Notes the end of a flight; returns for how long its target is left out now,
    /// if it is.
    pub fn ended(&mut self, id: FlightId, outcome: Outcome, now: Instant) -> Option<Duration> {
        let flight = self.flights.remove(&id)?;
        let target = flight.parts[0].target.clone();
        if outcome == Outcome::Served {
            self.note_time(&target, now - flight.begun_at);
        }
        self.judged(&target, outcome, now)
    }

    /// Time in which one of a busy target's slots becomes free; none if nothing
    /// is known of the service.
    pub fn time_to_slot(&self, service: &ServiceId) -> Option<Duration> {
        let usual = self.usual_times.get(service)?;
        let targets = self.targets.values().map(|target| &target.facts);
        let slots = targets.filter(|facts| &facts.service == service);
        let slots = slots.map(|facts| facts.slots).min()?;
        Some(*usual / slots.max(1))
    }

    fn note_time(&mut self, id: &EngineId, time: Duration) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let service = target.facts.service.clone();
        let usual = self.usual_times.entry(service).or_insert(time);
        *usual = usual.mul_f64(1.0 - TIME_WEIGHT) + time.mul_f64(TIME_WEIGHT);
    }

    /// Takes in how a target dealt with a request; returns for how long it is left
    /// out now, if it is.
    pub fn judged(&mut self, id: &EngineId, outcome: Outcome, now: Instant) -> Option<Duration> {
        let target = self.targets.get_mut(id)?;
        match outcome {
            Outcome::Unknown => None,
            Outcome::Served => {
                target.rate(0.0, now);
                target.heard_at = Some(now);
                target.strikes = 0;
                target.suspect_until = None;
                None
            }
            Outcome::Failed => {
                target.rate(1.0, now);
                None
            }
            Outcome::Leaving => {
                target.leaving_until = Some(now + LEAVING_TIME);
                Some(LEAVING_TIME)
            }
            Outcome::Silent => {
                target.rate(1.0, now);
                let factor = 1 << target.strikes.min(8);
                let time = (FIRST_SUSPICION * factor).min(LONGEST_SUSPICION);
                target.strikes += 1;
                target.suspect_until = Some(now + time);
                Some(time)
            }
        }
    }

    /// Targets that were found to be leaving, with the time for which they are
    /// left out still.
    pub fn leaving(&self, now: Instant) -> Vec<(EngineId, Duration)> {
        let targets = self.targets.values();
        let leaving = targets.filter_map(|target| {
            let until = target.leaving_until.filter(|until| *until > now)?;
            Some((target.facts.id.clone(), until - now))
        });
        leaving.collect()
    }

    /// Takes in that a peer found a target to be leaving.
    pub fn learn_leaving(&mut self, id: &EngineId, rest: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            let until = now + rest.min(LEAVING_TIME);
            target.leaving_until = target.leaving_until.max(Some(until));
        }
    }

    /// Whether a target has answered anything since `since`.
    pub fn is_heard_since(&self, id: &EngineId, since: Instant) -> bool {
        let heard_at = self.targets.get(id).and_then(|target| target.heard_at);
        heard_at.is_some_and(|at| at > since)
    }

    /// Takes in what a peer has in progress, in place of what it said before.
    pub fn peer_loads(&mut self, peer: InstanceId, loads: HashMap<EngineId, Load>, now: Instant) {
        let heard_at = now;
        self.peers.insert(peer, PeerLoads { loads, heard_at });
    }

    /// What this instance has in progress, by target.
    pub fn own_loads(&self, now: Instant) -> BTreeMap<EngineId, Load> {
        let mut loads: BTreeMap<EngineId, Load> = BTreeMap::new();
        for flight in self.flights.values() {
            for (index, part) in flight.parts.iter().enumerate() {
                let load = loads.entry(part.target.clone()).or_default();
                load.add(&flight.load_of(index, now));
            }
        }
        loads.retain(|_, load| load.requests > 0);
        loads
    }

    /// What all instances have in progress on a target.
    pub fn load(&self, id: &EngineId, now: Instant) -> Load {
        let mut sum = Load::default();
        for flight in self.flights.values() {
            for (index, part) in flight.parts.iter().enumerate() {
                if &part.target == id {
                    sum.add(&flight.load_of(index, now));
                }
            }
        }
        for peer in self.peers.values() {
            if let Some(load) = peer.loads.get(id).and_then(|load| peer.age(load, now)) {
                sum.add(&load);
            }
        }
        sum
    }

    /// What all instances have in progress, by target, in one pass: among hundreds
    /// of instances and thousands of targets, few of them have any in common.
    pub fn loads(&self, now: Instant) -> HashMap<&EngineId, Load> {
        let mut sums: HashMap<&EngineId, Load> = HashMap::new();
        for flight in self.flights.values() {
            for (index, part) in flight.parts.iter().enumerate() {
                let sum = sums.entry(&part.target).or_default();
                sum.add(&flight.load_of(index, now));
            }
        }
        for peer in self.peers.values() {
            for (id, load) in &peer.loads {
                if let Some(load) = peer.age(load, now) {
                    sums.entry(id).or_default().add(&load);
                }
            }
        }
        sums
    }

    /// Targets of a service that may receive new requests: those that no
    /// failure speaks against, or else all that are listed.
    pub fn usable(&self, service: &ServiceId, excluded: &[EngineId], now: Instant) -> Vec<&Target> {
        let listed = self.targets.values().filter(|target| {
            &target.facts.service == service
                && !target.facts.draining
                && !target.is_gone(now)
                && !excluded.contains(&target.facts.id)
        });
        let listed: Vec<&Target> = listed.collect();
        let sound: Vec<&Target> = listed
            .iter()
            .copied()
            .filter(|target| !target.is_suspect(now) && !target.is_leaving(now))
            .collect();
        if sound.is_empty() { listed } else { sound }
    }
}

impl Outcome {
    /// Stable name, for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Leaving => "refused with room",
            Self::Unknown => "unknown",
        }
    }
}

impl Target {
    fn new(facts: TargetFacts, now: Instant) -> Self {
        Self {
            facts,
            gone_at: None,
            suspect_until: None,
            leaving_until: None,
            strikes: 0,
            failure_rate: 0.0,
            rated_at: now,
            heard_at: None,
        }
    }

    /// When it last sent something to any instance.
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard_at
    }

    /// Share of its latest requests that it failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = (now - self.rated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    /// Whether it failed to answer of late.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Whether it refused of late although it had room.
    pub fn is_leaving(&self, now: Instant) -> bool {
        self.leaving_until.is_some_and(|until| now < until)
    }

    fn is_gone(&self, now: Instant) -> bool {
        self.gone_at.is_some_and(|at| now >= at)
    }

    fn rate(&mut self, outcome: f64, now: Instant) {
        let before = self.failure_rate(now);
        self.failure_rate = before + OUTCOME_WEIGHT * (outcome - before);
        self.rated_at = now;
    }
}

impl PeerLoads {
    /// A load as it is likely to be now; none if it was told too long ago.
    fn age(&self, load: &Load, now: Instant) -> Option<Load> {
        let age = now - self.heard_at;
        let backlog = load.backlog.saturating_sub(age);
        (age <= PEER_LOAD_TIME).then_some(Load { backlog, ..*load })
    }
}

impl Load {
    /// Adds the load of another request or instance.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.writers += other.writers;
        self.backlog += other.backlog;
        self.memory += other.memory;
        self.value += other.value;
        self.strictest_gap = match (self.strictest_gap, other.strictest_gap) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
}

impl Flight {
    /// Load of one part. Helpers are free once the answer has begun.
    fn load_of(&self, index: usize, now: Instant) -> Load {
        let part = &self.parts[index];
        let leads = index == 0;
        if self.started && !leads {
            return Load::default();
        }
        let led = self.stream.filter(|_| leads);
        let backlog = if self.started {
            Duration::ZERO
        } else {
            let last = self.read_by.iter().max().copied().unwrap_or_default();
            let least = if self.read_by[index] + CLEARLY_EARLIER < last {
                Duration::ZERO
            } else {
                part.read_time.mul_f64(OVERDUE_SHARE)
            };
            (self.read_by[index] - now).clamp(least, part.read_time)
        };
        Load {
            requests: 1,
            writers: u32::from(self.started && self.stream.is_some()),
            backlog,
            memory: part.memory,
            strictest_gap: led.map(|stream| stream.gap),
            value: led.map_or(0.0, |stream| stream.value),
        }
    }
}
