//! Paths to the targets that are cut for some instances, in virtual time and without a
//! network: who notices, where requests go meanwhile, and when they go back.

use std::net::SocketAddr;

use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, EngineId, InstanceId, ServiceId},
    serving::{
        handover::{MAX_TAKEN_OVER, Rejection, TakenOver},
        reachability::{Path, PathState, PeerReport, Reachability, own_link::OwnLink},
        targets::{Outcome, TargetFacts, Targets},
    },
};

use crate::fleet::{facts, id, ms};

const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 400;
const CONNECT_TIMEOUT_MS: u64 = 150;

fn engines() -> ServiceId {
    ServiceId::new("engines")
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Opens,
    Refuses,
    Hangs,
}

struct Node {
    name: InstanceId,
    data_centre: DataCentreId,
    reachability: Reachability,
    targets: Targets,
    /// Connections in progress: end, start, target, whether it opens.
    connecting: Vec<(u64, u64, EngineId, bool)>,
    handed_over_to: Vec<usize>,
}

/// Instances, each with a path of its own to the targets.
struct Fleet {
    nodes: Vec<Node>,
    now_ms: u64,
    rng: fastrand::Rng,
    /// Whether connections from an instance to a target open, by time in ms.
    link: Box<dyn Fn(usize, usize, u64) -> Link>,
    /// Time that a connection takes to open.
    opens_in_ms: u64,
    takes_requests: Vec<bool>,
}

impl Fleet {
    fn new(
        instances: usize,
        engines: usize,
        link: impl Fn(usize, usize, u64) -> Link + 'static,
    ) -> Self {
        let nodes = (0..instances).map(|number| {
            let mut targets = Targets::default();
            for engine in 0..engines {
                targets.upsert(facts(engine), ms(0));
            }
            Node {
                name: InstanceId::new(format!("i{number}")),
                data_centre: DataCentreId::new(format!("dc{}", number % 3)),
                reachability: Reachability::default(),
                targets,
                connecting: Vec::new(),
                handed_over_to: Vec::new(),
            }
        });
        Self {
            nodes: nodes.collect(),
            now_ms: 0,
            rng: fastrand::Rng::with_seed(7),
            link: Box::new(link),
            opens_in_ms: STEP_MS,
            takes_requests: vec![true; instances],
        }
    }

    fn now(&self) -> Instant {
        ms(self.now_ms)
    }

    fn state(&self, node: usize) -> PathState {
        self.nodes[node].reachability.state(&engines())
    }

    /// Begins a connection of an instance to a target.
    fn connect(&mut self, node: usize, target: &EngineId) {
        let engine = (0..).find(|number| &id(*number) == target).unwrap();
        let (ends_in_ms, opens) = match (self.link)(node, engine, self.now_ms) {
            Link::Opens => (self.opens_in_ms, true),
            Link::Refuses => (STEP_MS, false),
            Link::Hangs => (CONNECT_TIMEOUT_MS, false),
        };
        let connection = (self.now_ms + ends_in_ms, self.now_ms, target.clone(), opens);
        self.nodes[node].connecting.push(connection);
    }

    /// Where a request of a client goes; connects to a target if it stays here.
    fn request(&mut self, node: usize, is_first: bool) -> Path {
        let (now, data_centre) = (self.now(), self.nodes[node].data_centre.clone());
        let reachability = &self.nodes[node].reachability;
        let path = reachability.path(&engines(), &data_centre, &[], is_first, &mut self.rng, now);
        match &path {
            Path::Direct => {
                let usable = self.nodes[node].targets.usable(&engines(), &[], now);
                let target = usable[self.rng.usize(..usable.len())].facts.id.clone();
                self.connect(node, &target);
            }
            Path::Peer(peer) => {
                let other = self
                    .nodes
                    .iter()
                    .position(|n| n.name == peer.instance)
                    .unwrap();
                self.nodes[node].handed_over_to.push(other);
                self.nodes[node]
                    .reachability
                    .begin_handover(&engines(), &peer.instance);
                self.nodes[node].reachability.end_handover(&peer.instance);
                if self.state(other) == PathState::Open {
                    self.request(other, true);
                }
            }
            Path::Undecided | Path::Closed => {}
        }
        path
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = self.now();
        for node in 0..self.nodes.len() {
            let Node {
                reachability,
                targets,
                connecting,
                ..
            } = &mut self.nodes[node];
            let (ended, open): (Vec<_>, Vec<_>) = connecting
                .drain(..)
                .partition(|(ends, ..)| *ends <= self.now_ms);
            *connecting = open;
            for (_, started, target, opens) in ended {
                let started = ms(started);
                let change = match opens {
                    true => {
                        reachability.record_connected(&engines(), &target, started, targets, now)
                    }
                    false => reachability.record_failed(&engines(), &target, started, targets, now),
                };
                if let Some(change) = change
                    && change.after == PathState::CutOff
                {
                    targets.forgive_silence(&engines(), Instant::ZERO);
                }
            }
            let probes = reachability.take_probes(targets, now);
            for probe in probes {
                self.connect(node, &probe.target);
            }
        }
        for node in 0..self.nodes.len() {
            let is_due = self.now_ms.is_multiple_of(REPORT_INTERVAL_MS);
            if self.nodes[node].reachability.take_news() || is_due {
                self.report(node);
            }
        }
    }

    fn report(&mut self, node: usize) {
        let now = self.now();
        let sender = &self.nodes[node];
        let report = PeerReport {
            instance: sender.name.clone(),
            address: SocketAddr::from(([10, 1, 0, node as u8], 7_000)),
            incarnation: 1,
            data_centre: sender.data_centre.clone(),
            requests_in_progress: 0,
            takes_requests: self.takes_requests[node],
            paths: sender.reachability.reports(now),
        };
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            let Node {
                reachability,
                targets,
                ..
            } = &mut self.nodes[other];
            reachability.merge_report(report.clone(), targets, now);
        }
    }

    /// Lets time pass; each instance gets a request each `interval_ms`.
    fn run_until(&mut self, end_ms: u64, interval_ms: u64) {
        while self.now_ms < end_ms {
            self.step();
            if self.now_ms.is_multiple_of(interval_ms) {
                for node in 0..self.nodes.len() {
                    self.request(node, true);
                }
            }
        }
    }
}

/// Cuts the first `cut` instances from all targets in a time.
fn cut(cut: usize, how: Link, from_ms: u64, to_ms: u64) -> impl Fn(usize, usize, u64) -> Link {
    move |node, _, now_ms| match node < cut && (from_ms..to_ms).contains(&now_ms) {
        true => how,
        false => Link::Opens,
    }
}

/// Guards against an instance that takes its own cut for that of the targets, or notices it
/// only after seconds.
#[test]
fn a_cut_instance_hands_over_within_half_a_second_and_returns_as_soon() {
    for how in [Link::Refuses, Link::Hangs] {
        let mut fleet = Fleet::new(4, 18, cut(1, how, 2_000, 9_000));
        fleet.run_until(2_000, 50);
        fleet.run_until(2_500, 50);
        assert_eq!(fleet.state(0), PathState::CutOff, "{how:?}");
        for node in 1..4 {
            assert_eq!(fleet.state(node), PathState::Open);
        }
        let before = fleet.nodes[0].handed_over_to.len();
        fleet.run_until(9_000, 50);
        assert_eq!(fleet.nodes[0].handed_over_to.len() - before, 130);
        fleet.run_until(9_500, 50);
        assert_eq!(fleet.state(0), PathState::Open, "{how:?}");
        assert!(matches!(fleet.request(0, true), Path::Direct));
    }
}

/// Guards against an instance without requests of its own, or with peers without any, that
/// never finds out.
#[test]
fn idle_peers_confirm_a_cut() {
    let mut fleet = Fleet::new(3, 6, cut(1, Link::Hangs, 2_000, 60_000));
    for node in 0..3 {
        fleet.request(node, true);
    }
    fleet.run_until(10_000, u64::MAX);
    fleet.request(0, true);
    fleet.run_until(10_800, u64::MAX);
    assert_eq!(fleet.state(0), PathState::CutOff);
    assert!(matches!(fleet.request(0, true), Path::Peer(_)));
}

/// Guards against single targets that are down, silent or restarting and are taken for a
/// cut.
#[test]
fn targets_that_are_down_are_no_cut() {
    let down = |_: usize, engine: usize, now_ms: u64| match (engine, now_ms) {
        // One after the other restarts; a sixth is down for good.
        (engine, now_ms) if now_ms / 500 % 18 == engine as u64 => Link::Refuses,
        (0..3, _) => Link::Hangs,
        _ => Link::Opens,
    };
    let mut fleet = Fleet::new(4, 18, down);
    while fleet.now_ms < 20_000 {
        fleet.run_until(fleet.now_ms + 20, 20);
        for node in 0..4 {
            assert!(matches!(
                fleet.state(node),
                PathState::Open | PathState::Doubtful
            ));
            assert!(fleet.nodes[node].handed_over_to.is_empty());
        }
    }
}

/// Guards against an instance that hands over although only the targets of one data centre
/// are behind its cut.
#[test]
fn targets_of_one_data_centre_that_are_cut_are_no_cut_of_the_service() {
    let partial = |node: usize, engine: usize, _| match node == 0 && engine.is_multiple_of(3) {
        true => Link::Hangs,
        false => Link::Opens,
    };
    let mut fleet = Fleet::new(4, 18, partial);
    fleet.run_until(20_000, 20);
    assert!(fleet.nodes[0].handed_over_to.is_empty());
}

/// Guards against targets of a data centre, or a third of all, that crash together and are
/// taken for a cut: many streams break at once, and those that are sent again are refused
/// nearby before a target further away can accept.
#[test]
fn targets_that_crash_together_are_no_cut() {
    let data_centre = |engine: usize| engine.is_multiple_of(3);
    let first_third = |engine: usize| engine < 6;
    for is_down in [data_centre, first_third] {
        let down =
            move |_: usize, engine: usize, now_ms: u64| match now_ms >= 2_000 && is_down(engine) {
                true => Link::Refuses,
                false => Link::Opens,
            };
        let mut fleet = Fleet::new(4, 18, down);
        fleet.opens_in_ms = 2 * STEP_MS;
        fleet.run_until(2_000, 50);
        for node in 0..4 {
            for engine in (0..18).filter(|engine| is_down(*engine)) {
                fleet.connect(node, &id(engine));
            }
        }
        let mut waiting = 0;
        while fleet.now_ms < 6_000 {
            fleet.run_until(fleet.now_ms + STEP_MS, 20);
            for node in 0..4 {
                let state = fleet.state(node);
                let is_cut = matches!(state, PathState::CutOff | PathState::Unreachable);
                assert!(!is_cut, "{state:?} at {} ms", fleet.now_ms);
                // Some probe has just been answered.
                let is_due = fleet.now_ms >= 2_100 && fleet.now_ms.is_multiple_of(100);
                waiting += u32::from(is_due && fleet.request(node, false) == Path::Undecided);
            }
        }
        // Of 160 requests whose first attempt has failed.
        assert!(waiting <= 8, "{waiting} requests wait for a decision");
    }
}

/// Guards against requests that wait or travel although no instance reaches a target, and
/// against instances that are slow to notice that one is back.
#[test]
fn requests_are_refused_at_once_if_nobody_reaches_a_target() {
    for instances in [1, 4] {
        let all = cut(instances, Link::Refuses, 2_000, 9_000);
        let mut fleet = Fleet::new(instances, 18, all);
        fleet.run_until(3_500, 50);
        for node in 0..instances {
            assert_eq!(fleet.state(node), PathState::Unreachable);
            assert_eq!(fleet.request(node, true), Path::Closed);
        }
        fleet.run_until(9_300, 50);
        for node in 0..instances {
            assert_eq!(fleet.state(node), PathState::Open);
        }
    }
}

/// Guards against cut instances that all choose the same peer, or one that is cut too.
#[test]
fn many_cut_instances_spread_over_the_peers_that_reach_the_targets() {
    let mut fleet = Fleet::new(12, 18, cut(8, Link::Hangs, 2_000, 60_000));
    fleet.run_until(3_500, 50);
    for node in &mut fleet.nodes {
        node.handed_over_to.clear();
    }
    fleet.run_until(8_500, 50);
    let mut counts = [0; 12];
    for node in &fleet.nodes[..8] {
        assert_eq!(node.handed_over_to.len(), 100);
        for peer in &node.handed_over_to {
            counts[*peer] += 1;
        }
    }
    assert_eq!(counts[..8], [0; 8]);
    let most = counts[8..].iter().max().unwrap();
    assert!(*most <= 400, "{counts:?} of 800 requests");
}

/// Guards against requests for a peer that is leaving, full or without the instances' key.
#[test]
fn peers_that_take_no_requests_get_none() {
    let mut fleet = Fleet::new(3, 18, cut(1, Link::Hangs, 2_000, 60_000));
    fleet.takes_requests[1] = false;
    fleet.run_until(8_000, 50);
    assert!(fleet.nodes[0].handed_over_to.len() > 90);
    assert!(fleet.nodes[0].handed_over_to.iter().all(|peer| *peer == 2));
    fleet.takes_requests[2] = false;
    fleet.run_until(8_500, 50);
    assert_eq!(fleet.request(0, true), Path::Closed);
}

/// Guards against an instance that goes back and forth with a path that is cut each second,
/// and sends its callers into each cut.
#[test]
fn a_flapping_path_is_left_until_it_is_stable() {
    let flapping = |node: usize, _: usize, now_ms: u64| {
        let is_cut = node == 0 && (2_000..20_000).contains(&now_ms) && now_ms % 1_000 < 500;
        if is_cut { Link::Hangs } else { Link::Opens }
    };
    let mut fleet = Fleet::new(4, 18, flapping);
    let mut returns = 0;
    while fleet.now_ms < 20_000 {
        let before = fleet.state(0);
        fleet.run_until(fleet.now_ms + STEP_MS, 50);
        returns += usize::from(before == PathState::CutOff && fleet.state(0) == PathState::Open);
    }
    assert!(returns <= 4, "{returns} returns in 18 cuts");
    fleet.run_until(24_000, 50);
    assert_eq!(fleet.state(0), PathState::Open);
}

/// Guards against open connections that are given up although they outlive the cut.
#[test]
fn open_connections_hang_only_if_none_carries_bytes() {
    let mut fleet = Fleet::new(2, 18, cut(1, Link::Refuses, 2_000, 60_000));
    fleet.run_until(3_000, 50);
    assert!(fleet.nodes[0].reachability.hangs(&engines()));
    let now = fleet.now();
    fleet.nodes[0].reachability.record_received(&engines(), now);
    assert!(!fleet.nodes[0].reachability.hangs(&engines()));
    assert!(!fleet.nodes[1].reachability.hangs(&engines()));
}

/// Guards against a service that counts as cut off although only another one is.
#[test]
fn services_are_cut_off_one_by_one() {
    let app = ServiceId::new("app");
    let mut fleet = Fleet::new(2, 3, cut(1, Link::Refuses, 2_000, 60_000));
    for number in 3..6 {
        let facts = TargetFacts {
            service: app.clone(),
            ..facts(number)
        };
        fleet.nodes[0].targets.upsert(facts, ms(0));
    }
    fleet.run_until(4_000, 50);
    let (now, data_centre) = (fleet.now(), DataCentreId::new("dc0"));
    let reachability = &fleet.nodes[0].reachability;
    assert_eq!(reachability.state(&engines()), PathState::CutOff);
    let path = reachability.path(&app, &data_centre, &[], true, &mut fleet.rng, now);
    assert_eq!(path, Path::Direct);
}

/// Guards against targets that stay excluded after a cut, which was not their fault.
#[test]
fn exclusions_of_a_cut_are_forgiven() {
    let mut targets = Targets::default();
    (0..4).for_each(|number| targets.upsert(facts(number), ms(0)));
    targets.record_outcome(&id(0), Outcome::Silent, ms(500));
    for _ in 0..5 {
        targets.record_outcome(&id(1), Outcome::Silent, ms(1_500));
    }
    targets.forgive_silence(&engines(), ms(1_000));
    let is_suspect = |number, at| targets.get(&id(number)).unwrap().is_suspect(at);
    assert!(is_suspect(0, ms(1_000)) && !is_suspect(1, ms(1_600)));
    assert_eq!(targets.usable(&engines(), &[], ms(1_600)).len(), 4);
}

/// Guards against a request that runs twice as its message was copied, and against peers
/// whose requests leave no room for an instance's own.
#[test]
fn a_request_of_a_peer_is_taken_once_and_within_limits() {
    let peer = InstanceId::new("i1");
    let mut taken = TakenOver::default();
    assert_eq!(taken.begin(&peer, 5, 2), Ok(()));
    assert_eq!(taken.begin(&peer, 5, 1), Ok(()));
    assert_eq!(taken.begin(&peer, 5, 2), Err(Rejection::Repeated));
    assert_eq!(taken.begin(&peer, 4, 9), Err(Rejection::Repeated));
    assert_eq!(taken.begin(&peer, 6, 2), Ok(()));
    for number in 10.. {
        match taken.begin(&peer, 6, number) {
            Ok(()) => assert!(number < 10 + MAX_TAKEN_OVER as u64),
            Err(rejection) => {
                assert_eq!(rejection, Rejection::Full);
                break;
            }
        }
    }
    assert!(!taken.has_room());
    (0..MAX_TAKEN_OVER / 2).for_each(|_| taken.end());
    assert!(taken.has_room());
    for number in 1_000..10_000 {
        assert_eq!(taken.begin(&peer, 6, number), Ok(()));
        taken.end();
    }
    assert_eq!(taken.begin(&peer, 6, 11), Err(Rejection::Repeated));
}

/// Guards against a crash that is put down to a target although this instance reaches no
/// other target either.
#[test]
fn other_targets_are_probed_before_a_target_counts_as_crashed() {
    let mut targets = Targets::default();
    (0..18).for_each(|number| targets.upsert(facts(number), ms(0)));
    let reachability = Reachability::default();
    let probes = reachability.control_probes(&id(4), &targets, ms(10));
    assert!(probes.len() >= 2 && probes.iter().all(|probe| probe.target != id(4)));
    assert!(!reachability.has_connected_since(ms(0)));
}

/// Load: a large configuration fills the own link for some time. Connections that are slow
/// meanwhile say nothing of the targets; after a second, or without further bytes, they do.
#[test]
fn slow_connections_are_put_down_to_the_own_link_for_a_limited_time() {
    let mut link = OwnLink::default();
    assert!(!link.explains(ms(0), ms(150)));
    link.record_bytes(1_000, ms(100));
    assert!(!link.explains(ms(0), ms(150)), "a small body fills no link");
    for at_ms in (1_000..3_000).step_by(20) {
        link.record_bytes(100_000, ms(at_ms));
    }
    assert!(link.explains(ms(1_200), ms(1_350)));
    assert!(
        !link.explains(ms(2_200), ms(2_350)),
        "a cut is hidden for too long"
    );
    link.record_bytes(100_000, ms(5_000));
    assert!(link.explains(ms(4_900), ms(5_050)));
    assert!(!link.explains(ms(5_101), ms(5_251)));
}
