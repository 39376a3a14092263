//! Time for a new configuration to come into force at all instances of a fleet, and the
//! bytes on their links, in virtual time and without a network.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, rc::Rc};

use cyclamengauge_core::{
    clock::Instant,
    ids::InstanceId,
    serving::configuration_spread::{
        offers::{Answer, Offers},
        pacing::Pacer,
        sources::{Choice, Source, Sources},
        transfer::Fetch,
        versions::Versions,
    },
    units::MegabitsPerSecond,
};
use cyclamengauge_schema::v1;

use crate::{configuration_spread::encoded, fleet::ms};

/// Delay of a message between two instances.
const TRANSIT_US: u64 = 2_000;

/// Time without an answer after which a source has failed, as in the daemon.
const ANSWER_TIMEOUT_US: u64 = 500_000;

/// Interval at which instances repeat their version to all peers.
const REPORT_INTERVAL_US: u64 = 400_000;

/// Number of times that an instance reports its version.
const REPORTS: u64 = 6;

const DATA_CENTRES: usize = 3;

/// How an instance behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Sound,
    /// It reports its version, but never answers.
    Frozen,
    /// Frozen from this time on, in µs.
    FreezesAt(u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// The store's new version is read.
    Read(usize),
    /// A report of a version.
    Report { from: usize, to: usize },
    /// The instance looks for a source.
    Look(usize),
    /// A request for a part arrives.
    Request { from: usize, to: usize },
    Answered {
        from: usize,
        to: usize,
        number: u64,
        part: Option<v1::ConfigurationPart>,
        busy_us: u64,
    },
    TimedOut {
        at: usize,
        source: usize,
        number: u64,
    },
}

struct Node {
    state: State,
    versions: Versions,
    sources: Sources,
    offers: Offers,
    fetch: Fetch,
    pacer: Pacer,
    /// Number of the latest request; an answer to another one is ignored.
    request: u64,
    is_fetching: bool,
    link: MegabitsPerSecond,
    /// Time until which the link is busy, in each direction.
    sends_until_us: u64,
    receives_until_us: u64,
    sent_bytes: usize,
    received_bytes: usize,
    in_force_us: Option<u64>,
}

struct Fleet {
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    pending: Vec<Option<Event>>,
    rng: fastrand::Rng,
    now_us: u64,
    watchers: Vec<usize>,
    /// Sound instances without the new version.
    missing: usize,
    target: Rc<[u8]>,
}

fn at(us: u64) -> Instant {
    Instant::from_micros(us + 10_000_000)
}

impl Fleet {
    /// A fleet in which all instances have version 1, and two watchers of each data centre
    /// read version 2.
    fn new(count: usize, link_mbps: f64, routes: (usize, usize), seed: u64) -> Self {
        let link = MegabitsPerSecond(link_mbps);
        let (first, target) = (encoded(1, routes.0), encoded(2, routes.1));
        let node = |_| {
            let mut versions = Versions::default();
            versions.push(1, Rc::clone(&first), ms(0));
            Node {
                state: State::Sound,
                versions,
                sources: Sources::default(),
                offers: Offers::new(link),
                fetch: Fetch::default(),
                pacer: Pacer::new(link),
                request: 0,
                is_fetching: false,
                link,
                sends_until_us: 0,
                receives_until_us: 0,
                sent_bytes: 0,
                received_bytes: 0,
                in_force_us: None,
            }
        };
        Self {
            nodes: (0..count).map(node).collect(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            missing: 0,
            watchers: (0..(2 * DATA_CENTRES).min(count)).collect(),
            target,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.pending.push(Some(event));
        self.events.push(Reverse((at_us, self.pending.len() - 1)));
    }

    fn responds(&self, node: usize) -> bool {
        match self.nodes[node].state {
            State::Sound => true,
            State::Frozen => false,
            State::FreezesAt(at_us) => self.now_us < at_us,
        }
    }

    /// Runs until all sound instances have the new version; fails after 30 s. Returns the
    /// time in ms at which the last one has it.
    fn run(&mut self) -> u64 {
        for watcher in self.watchers.clone() {
            let read_us = self.carry_us(watcher, self.target.len() * 4 / 3);
            self.schedule(read_us, Event::Read(watcher));
        }
        let sound = self.nodes.iter().filter(|node| node.state == State::Sound);
        self.missing = sound.count();
        while let Some(Reverse((at_us, index))) = self.events.pop() {
            self.now_us = at_us;
            assert!(at_us < 30_000_000, "not in force everywhere after 30 s");
            let event = self.pending[index].take().unwrap();
            self.handle(event);
            if self.missing == 0 {
                break;
            }
        }
        let in_force = self.nodes.iter().filter(|node| node.state == State::Sound);
        in_force
            .map(|node| node.in_force_us.unwrap())
            .max()
            .unwrap()
            / 1_000
    }

    fn carry_us(&self, node: usize, bytes: usize) -> u64 {
        self.nodes[node].link.time_for(bytes).as_micros() as u64
    }

    fn handle(&mut self, event: Event) {
        let now = at(self.now_us);
        match event {
            Event::Read(node) => {
                let target = Rc::clone(&self.target);
                self.apply(node, target);
            }
            Event::Report { from, to } => self.report(from, to),
            Event::Look(node) => self.look(node),
            Event::Request { from, to } => self.answer(from, to),
            Event::Answered {
                from,
                to,
                number,
                part,
                busy_us,
            } => {
                if number != self.nodes[to].request || !self.responds(to) {
                    return;
                }
                self.nodes[to].request += 1;
                let node = &mut self.nodes[to];
                let Some(part) = part else {
                    let busy = std::time::Duration::from_micros(busy_us);
                    let instance = InstanceId::new(format!("i{from}"));
                    node.sources.record_busy(&instance, busy, now);
                    self.look(to);
                    return;
                };
                node.received_bytes += part.content.len();
                node.pacer.record(part.content.len(), now);
                let arrived = node.fetch.accept(part, &node.versions).unwrap();
                if let Some(arrived) = arrived {
                    node.offers.keep(&arrived);
                    self.apply(to, arrived.encoded);
                } else {
                    let wait_us = self.nodes[to].pacer.wait(now).as_micros() as u64;
                    // The next part comes from the same source.
                    let number = self.nodes[to].request;
                    let sent_us = self.now_us + wait_us;
                    self.schedule(sent_us + TRANSIT_US, Event::Request { from: to, to: from });
                    let timeout = Event::TimedOut {
                        at: to,
                        source: from,
                        number,
                    };
                    self.schedule(sent_us + ANSWER_TIMEOUT_US, timeout);
                }
            }
            Event::TimedOut {
                at: node,
                source,
                number,
            } => {
                if number == self.nodes[node].request && self.responds(node) {
                    self.nodes[node].request += 1;
                    let instance = InstanceId::new(format!("i{source}"));
                    self.nodes[node].sources.record_failure(&instance, now);
                    self.look(node);
                }
            }
        }
    }

    /// The version comes into force at a node, which tells all others, now and again.
    fn apply(&mut self, node: usize, encoded: Rc<[u8]>) {
        if self.nodes[node].in_force_us.is_some() {
            return;
        }
        self.nodes[node].in_force_us = Some(self.now_us);
        self.missing -= usize::from(self.nodes[node].state == State::Sound);
        let now = at(self.now_us);
        self.nodes[node].versions.push(2, encoded, now);
        self.nodes[node].is_fetching = false;
        for peer in 0..self.nodes.len() {
            for round in 0..REPORTS {
                let at_us = self.now_us + TRANSIT_US + round * REPORT_INTERVAL_US;
                self.schedule(
                    at_us,
                    Event::Report {
                        from: node,
                        to: peer,
                    },
                );
            }
        }
    }

    fn report(&mut self, from: usize, to: usize) {
        if from == to || !self.responds(to) || self.watchers.contains(&to) {
            return;
        }
        let source = Source {
            instance: InstanceId::new(format!("i{from}")),
            address: SocketAddr::from(([10, 0, 0, 1], 1)),
            is_local: from % DATA_CENTRES == to % DATA_CENTRES,
            serves_parts: true,
            version: 2,
        };
        let now = at(self.now_us);
        let own = self.nodes[to].versions.current();
        if self.nodes[to].sources.record(source, own, now) && !self.nodes[to].is_fetching {
            self.nodes[to].is_fetching = true;
            self.look(to);
        }
    }

    fn look(&mut self, node: usize) {
        let now = at(self.now_us);
        let own = self.nodes[node].versions.current();
        let choice = self.nodes[node]
            .sources
            .choose(own, false, &mut self.rng, now);
        match choice {
            Choice::UpToDate => self.nodes[node].is_fetching = false,
            Choice::Wait(wait) => {
                let at_us = self.now_us + wait.as_micros().max(1) as u64;
                self.schedule(at_us, Event::Look(node));
            }
            Choice::Fetch(source) => {
                let number = self.nodes[node].request;
                let to = source.instance.as_str()[1..].parse().unwrap();
                // A connection is opened first.
                let at_us = self.now_us + 3 * TRANSIT_US;
                self.schedule(at_us, Event::Request { from: node, to });
                let timeout = Event::TimedOut {
                    at: node,
                    source: to,
                    number,
                };
                self.schedule(self.now_us + ANSWER_TIMEOUT_US, timeout);
            }
        }
    }

    fn answer(&mut self, from: usize, to: usize) {
        if !self.responds(to) {
            return;
        }
        let now = at(self.now_us);
        let number = self.nodes[from].request;
        let request = self.nodes[from].fetch.request(&self.nodes[from].versions);
        let node = &mut self.nodes[to];
        let answer = node.offers.answer(&request, &node.versions, now);
        let (part, busy_us, sent_us) = match answer {
            Answer::Part { part, wait } => (Some(part), 0, self.now_us + wait.as_micros() as u64),
            Answer::Busy(wait) => (None, wait.as_micros() as u64, self.now_us),
            Answer::Nothing => return,
        };
        let bytes = part.as_ref().map_or(20, |part| part.content.len());
        let sent_until = sent_us.max(self.nodes[to].sends_until_us) + self.carry_us(to, bytes);
        self.nodes[to].sends_until_us = sent_until;
        self.nodes[to].sent_bytes += bytes;
        let received_us = (sent_until + TRANSIT_US)
            .max(self.nodes[from].receives_until_us + self.carry_us(from, bytes));
        self.nodes[from].receives_until_us = received_us;
        let answered = Event::Answered {
            from: to,
            to: from,
            number,
            part,
            busy_us,
        };
        self.schedule(received_us, answered);
    }

    /// Most bytes that an instance has sent, and most that one has received.
    fn busiest(&self) -> (usize, usize) {
        let sent = self.nodes.iter().map(|node| node.sent_bytes).max();
        let received = self.nodes.iter().map(|node| node.received_bytes).max();
        (sent.unwrap(), received.unwrap())
    }
}

/// Time in which a configuration must be in force, from the targets of the platform.
const LIMIT_MS: u64 = 3_000;

/// Load: a growth to 40, 400, 1,560 and 3,500 routes (12 kB to 1.1 MB) on links of 14 to
/// 200 Mbit/s. The bytes that the busiest instance sends don't grow with the fleet beyond
/// what its share of the link carries in that time.
#[test]
fn a_growth_is_in_force_in_time_at_all_fleet_sizes() {
    for routes in [40, 1_560, 3_500] {
        for link_mbps in [14.0, 48.0, 200.0] {
            for instances in [5, 130, 300] {
                let mut fleet = Fleet::new(instances, link_mbps, (30, routes), 1);
                let in_force_ms = fleet.run();
                let (sent, received) = fleet.busiest();
                let case = format!("{routes} routes, {link_mbps} Mbit/s, {instances} instances");
                println!("{case}: {in_force_ms} ms, sent {sent}, received {received} bytes");
                assert!(
                    in_force_ms <= LIMIT_MS,
                    "{case}: in force after {in_force_ms} ms"
                );
                let carried = link_mbps * 1e6 / 8.0 * in_force_ms as f64 / 1e3;
                assert!(
                    sent as f64 <= 0.4 * carried + 32_768.0,
                    "{case}: {sent} bytes sent"
                );
                assert!(
                    received <= fleet.target.len() / 5 + 1_024,
                    "{case}: {received}"
                );
            }
        }
    }
}

/// Guards against a wait for a source elsewhere while a local one reports the version.
#[test]
fn a_small_growth_is_in_force_almost_at_once() {
    let mut fleet = Fleet::new(130, 200.0, (30, 40), 1);
    let in_force_ms = fleet.run();
    assert!(in_force_ms <= 100, "in force after {in_force_ms} ms");
}

/// Load: one of 1,560 routes changes on 130 instances with 14 Mbit/s. A few kilobytes are
/// sent by any of them.
#[test]
fn a_change_of_one_route_hardly_uses_the_links() {
    let mut fleet = Fleet::new(130, 14.0, (1_560, 1_560), 1);
    let in_force_ms = fleet.run();
    let (sent, received) = fleet.busiest();
    assert!(in_force_ms <= 1_000, "in force after {in_force_ms} ms");
    assert!(
        sent <= 60_000 && received <= 1_000,
        "sent {sent}, received {received} bytes"
    );
}

/// Failure: watchers that are dead, frozen, or freeze in the middle of a transfer, of which
/// at least one in the fleet stays sound; 130 instances, 1,560 routes, 14 Mbit/s.
#[test]
fn a_growth_is_in_force_in_time_beside_dead_and_frozen_watchers() {
    for seed in 1..=3 {
        for faulty in [1, 2, 4, 5] {
            for state in [
                State::Frozen,
                State::FreezesAt(330_000),
                State::FreezesAt(450_000),
            ] {
                let mut fleet = Fleet::new(130, 14.0, (30, 1_560), seed);
                for watcher in 0..faulty {
                    fleet.nodes[watcher].state = state;
                }
                let in_force_ms = fleet.run();
                assert!(
                    in_force_ms <= LIMIT_MS,
                    "{faulty} watchers {state:?}, seed {seed}: in force after {in_force_ms} ms"
                );
            }
        }
    }
}

/// Failure: all watchers of a data centre are cut off from the store. Its instances fetch
/// from the others.
#[test]
fn a_data_centre_without_watchers_fetches_from_the_others() {
    for instances in [32, 130, 300] {
        let mut fleet = Fleet::new(instances, 14.0, (30, 1_560), 1);
        fleet.watchers.retain(|watcher| watcher % DATA_CENTRES != 0);
        let in_force_ms = fleet.run();
        assert!(
            in_force_ms <= LIMIT_MS,
            "{instances}: in force after {in_force_ms} ms"
        );
    }
}
