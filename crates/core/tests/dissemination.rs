//! Time until a new configuration is in force on all 2,600 instances of a
//! full-size deployment.
//!
//! The instances use the real configuration state machine and exchange messages
//! with delay and loss, without the store. As in the daemon, an instance pushes a
//! new configuration to four peers immediately and exchanges with one further
//! peer, round-robin, about every second.

use std::collections::BTreeMap;

use cyclamengauge_core::intent::{CurrentConfiguration, OfferOutcome};
use cyclamengauge_schema::v1;

/// Instances of a full-size deployment.
const INSTANCES: usize = 2_600;
/// Peers to which an instance pushes a new configuration.
const FANOUT: usize = 4;
/// Mean interval between two periodic exchanges of an instance.
const EXCHANGE_PERIOD_MS: u64 = 1_000;
/// Exchanges that are lost.
const LOSS_PERCENT: u8 = 5;

/// Duration of an exchange between regions: two round trips, for the version and
/// for the configuration.
const EXCHANGE_MS: u64 = 300;

/// Documented bound on the time until all instances have a new configuration.
const MAX_SPREAD_MS: u64 = 9_000;

struct Simulation {
    rng: fastrand::Rng,
    states: Vec<CurrentConfiguration>,
    /// Due exchanges by time in milliseconds: instance and number of peers.
    due: BTreeMap<u64, Vec<(usize, usize)>>,
    /// Exchanges under way, by completion time in milliseconds: both instances.
    pending: BTreeMap<u64, Vec<(usize, usize)>>,
    /// Peer of each instance's last exchange.
    last_peers: Vec<usize>,
    /// Number of instances without version 2.
    outdated_count: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut due: BTreeMap<u64, Vec<(usize, usize)>> = BTreeMap::new();
        for instance in 0..INSTANCES {
            let first_ms = rng.u64(..EXCHANGE_PERIOD_MS);
            due.entry(first_ms).or_default().push((instance, 1));
        }
        let mut states = vec![CurrentConfiguration::default(); INSTANCES];
        states.iter_mut().for_each(|state| {
            state.offer(accepted(1));
        });
        Self {
            last_peers: (0..INSTANCES).map(|_| rng.usize(..INSTANCES)).collect(),
            rng,
            states,
            due,
            pending: BTreeMap::new(),
            outdated_count: INSTANCES,
        }
    }

    /// Milliseconds until every instance has version 2, which instance 0 accepts at
    /// time 0.
    fn run(&mut self) -> u64 {
        self.offer_version_2(0, 0);
        for now_ms in 0.. {
            for (from, to) in self.pending.remove(&now_ms).unwrap_or_default() {
                self.complete_exchange(from, to, now_ms);
            }
            if self.outdated_count == 0 {
                return now_ms;
            }
            for (instance, peer_count) in self.due.remove(&now_ms).unwrap_or_default() {
                self.start_exchanges(instance, peer_count, now_ms);
            }
        }
        unreachable!("the loop ends only when all instances have version 2")
    }

    fn start_exchanges(&mut self, instance: usize, peer_count: usize, now_ms: u64) {
        for _ in 0..peer_count {
            self.last_peers[instance] = (self.last_peers[instance] + 1) % INSTANCES;
            let peer = self.last_peers[instance];
            if self.rng.u8(..100) >= LOSS_PERCENT {
                let completions = self.pending.entry(now_ms + EXCHANGE_MS).or_default();
                completions.push((instance, peer));
            }
        }
        if peer_count == 1 {
            let interval_ms = EXCHANGE_PERIOD_MS * 3 / 4 + self.rng.u64(..EXCHANGE_PERIOD_MS / 2);
            self.due
                .entry(now_ms + interval_ms)
                .or_default()
                .push((instance, 1));
        }
    }

    /// Gives both instances the newer of their two versions.
    fn complete_exchange(&mut self, a: usize, b: usize, now_ms: u64) {
        let versions = (self.states[a].version(), self.states[b].version());
        match versions {
            (a_version, b_version) if a_version > b_version => self.offer_version_2(b, now_ms),
            (a_version, b_version) if a_version < b_version => self.offer_version_2(a, now_ms),
            _ => {}
        }
    }

    fn offer_version_2(&mut self, instance: usize, now_ms: u64) {
        if self.states[instance].offer(accepted(2)) == OfferOutcome::Newer {
            self.outdated_count -= 1;
            let due = self.due.entry(now_ms + 1).or_default();
            due.push((instance, FANOUT));
        }
    }
}

fn accepted(version: u64) -> v1::Accepted {
    v1::Accepted {
        version,
        plan_id: format!("p{version}"),
        ..v1::Accepted::default()
    }
}

#[test]
fn new_configuration_reaches_2600_instances_within_nine_seconds() {
    for seed in 0..5 {
        let spread_ms = Simulation::new(seed).run();
        assert!(
            spread_ms <= MAX_SPREAD_MS,
            "seed {seed}: took {spread_ms} ms, at most {MAX_SPREAD_MS} ms allowed"
        );
    }
}
